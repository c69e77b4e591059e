"""Writes are withheld after a suspension between the decision to send and the write."""

import socket
import unittest
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import count

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from carawayhub.agent.checked_rank import CheckedRank
from carawayhub.agent.rank_client import HttpRank
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.endpoints.checkedwrites import CheckedNetwork, CheckedStream, WithheldError
from carawayhub.errors import GroupError
from carawayhub.fleet.pauses import PauseDetector, View
from carawayhub.groups.orders import Read, Term
from carawayhub.standins.options import RankOptions
from carawayhub.standins.rankgroup import RankGroup

LIMIT_S = 10.0
SUSPENDED_S = 10.0
LARGE = b"x" * 8_000_000
BODY_WRITE = 2


class SuspendedAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent is suspended after the check of an order and before its write."""

    async def test_no_order_leaves_after_a_pause_that_came_after_its_check(self) -> None:
        """Ranks that ignore fencing numbers obey two deciders at once.

        The VM is suspended after the check of an order, before the connection for it is open, and
        is replaced. The old VM resumes during the connect and sends the order beside those of its
        successor. In a fleet of processes an agent was stopped for 2.2 s when four orders had
        passed the check: one reached its rank before the stop, and two reached theirs 6 and 27 ms
        after the agent resumed.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, frozenset({View.CONFIGURATION}))

        async def checked(timeout: float) -> bool:
            passed = not pauses.check()
            clock.advance(SUSPENDED_S)
            return passed

        async with serving_ranks() as (ranks, url):
            client = HttpRank(url, 0, may_send=lambda: not pauses.check())
            with self.assertRaises(GroupError) as caught:
                await CheckedRank(client, checked).order(Read(term=Term(1, 1)))
            await client.close()
        self.assertEqual(caught.exception.code, Code.RANK_UNREACHABLE)
        self.assertEqual(ranks.ports[0].given, [])

    async def test_no_order_leaves_after_a_pause_within_its_last_check(self) -> None:
        """Guards against an order of a replaced agent that is suspended during its last check.

        The suspension falls after the check has read the clock and before the order is written. A
        delay of 1 ms at this point reproduced the fault in a fleet of processes.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, frozenset({View.CONFIGURATION}))

        check_calls = count(1)

        def may_send() -> bool:
            passed = not pauses.check()
            if next(check_calls) == BODY_WRITE:
                clock.advance(SUSPENDED_S)
            return passed

        async with serving_ranks() as (ranks, url):
            client = HttpRank(url, 0, may_send=may_send, clock=clock)
            with self.assertRaises(GroupError):
                await client.order(Read(term=Term(1, 1)))
            await client.close()
        self.assertEqual(ranks.ports[0].given, [])

    async def test_an_order_that_was_begun_is_not_completed_after_a_pause(self) -> None:
        """The VM is suspended after it has sent the head of an order and before the body.

        The engine waits for the body and would obey the order once the resumed agent sends it.
        """
        answers = iter((True, False))
        async with serving_ranks() as (ranks, url):
            client = HttpRank(url, 0, may_send=lambda: next(answers))
            with self.assertRaises(GroupError):
                await client.order(Read(term=Term(1, 1)))
            await client.close()
        self.assertIsNone(next(answers, None))
        self.assertEqual(ranks.ports[0].given, [])

    async def test_orders_go_out_again_once_the_pause_was_checked(self) -> None:
        allowed = [False]
        async with serving_ranks() as (ranks, url):
            client = HttpRank(url, 0, may_send=lambda: allowed[0])
            with self.assertRaises(GroupError):
                await client.order(Read(term=Term(1, 1)))
            allowed[0] = True
            for _ in range(2):
                reply = await client.order(Read(term=Term(1, 1)))
                self.assertEqual(reply.code, Code.OK)
            await client.close()
        self.assertEqual(len(ranks.ports[0].given), 2)


class CheckedStreamTest(unittest.IsolatedAsyncioTestCase):
    """The checked connection without an HTTP client."""

    async def test_a_large_message_is_cut_where_the_doubt_began(self) -> None:
        """A pause begins while a message larger than the socket buffer is being sent.

        If only its first write were checked, the rest would be sent when the process resumes.
        """
        received_bytes = 0
        check_calls = 0

        def may_send() -> bool:
            nonlocal check_calls
            check_calls += 1
            return check_calls < 3

        async def count_bytes(client: SocketStream) -> None:
            nonlocal received_bytes
            async with client:
                async for part in client:
                    received_bytes += len(part)

        async with connected(count_bytes, may_send) as stream:
            with self.assertRaises(WithheldError):
                await stream.write(LARGE)
        self.assertGreater(received_bytes, 0)
        self.assertLess(received_bytes, len(LARGE))

    async def test_large_messages_pass_whole(self) -> None:
        async def echo(client: SocketStream) -> None:
            async with client:
                async for part in client:
                    await client.send(part)

        async with connected(echo, lambda: True) as stream, anyio.create_task_group() as tasks:
            tasks.start_soon(stream.write, LARGE)
            echoed = b""
            while len(echoed) < len(LARGE):
                echoed += await stream.read(65536)
        self.assertEqual(echoed, LARGE)

    async def test_end_and_silence_show_as_httpcore_expects(self) -> None:
        async def leave(client: SocketStream) -> None:
            await client.receive()
            await client.aclose()

        async with connected(leave, lambda: True) as stream:
            self.assertFalse(stream.get_extra_info("is_readable"))
            with self.assertRaises(httpcore.ReadTimeout):
                await stream.read(1, timeout=0.01)
            await stream.write(b"go")
            self.assertEqual(await stream.read(1), b"")
            self.assertTrue(stream.get_extra_info("is_readable"))

    async def test_a_refused_connect_is_told_as_such(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = unused.getsockname()[1]
            with self.assertRaises(httpcore.ConnectError):
                await CheckedNetwork(lambda: True).connect_tcp("127.0.0.1", port, timeout=1.0)


@asynccontextmanager
async def serving_ranks() -> AsyncIterator[tuple[RankGroup, str]]:
    """Serve ranks that ignore fencing numbers; yield them and their URL."""
    ranks = RankGroup(RankOptions(checks_fencing=False))
    with anyio.fail_after(LIMIT_S):
        async with ranks.serving("127.0.0.1:0") as address, anyio.create_task_group() as tasks:
            held = anyio.Event()
            tasks.start_soon(_act_as_engine, f"http://{address}/hold/0", held)
            await held.wait()
            yield ranks, f"http://{address}"
            tasks.cancel_scope.cancel()


async def _act_as_engine(url: str, held: anyio.Event) -> None:
    """Act as the engine of rank 0, which is available while this connection is open."""
    async with httpcore.AsyncConnectionPool() as pool, pool.stream("POST", url) as response:
        async for _ in response.aiter_stream():
            held.set()


@asynccontextmanager
async def connected(serve: Callable, may_send: Callable[[], bool]) -> AsyncIterator[CheckedStream]:
    """Connect to a server that stops after the body has ended and all data was read."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    host, port = listener.extra(SocketAttribute.local_address)
    with anyio.fail_after(LIMIT_S):
        async with listener, anyio.create_task_group() as tasks:
            done = anyio.Event()

            async def serve_one(client: SocketStream) -> None:
                await serve(client)
                done.set()

            tasks.start_soon(listener.serve, serve_one)
            stream = await CheckedNetwork(may_send).connect_tcp(host, port, timeout=1.0)
            try:
                yield stream
            finally:
                await stream.aclose()
            await done.wait()
            tasks.cancel_scope.cancel()


if __name__ == "__main__":
    unittest.main()
