"""An answer delivered twice must not be read as the answer to the next request."""

import socket
import unittest
from collections.abc import Callable
from itertools import count
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketAttribute, SocketStream

from carawayhub.codes import Outcome
from carawayhub.endpoints.upstream import Upstream, UpstreamRequest, UpstreamTimeouts
from carawayhub.errors import RequestError

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d"
LIMIT_S = 10.0


class SurplusTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint behind an intermediary that delivers an answer twice."""

    async def test_answer_that_came_twice_is_not_given_to_the_next_request(self) -> None:
        """Guards against confirming the wrong booking.

        The answer of a plain service is delivered twice in one piece. The first request reads one
        copy and keeps the connection. The second copy stays in the parser's buffer and would be
        read as the answer to the next booking.
        """
        numbers = count(1)

        async def serve(client: SocketStream) -> None:
            async with client:
                while True:
                    try:
                        await client.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                    await client.send(ANSWER % next(numbers) * 2)

        upstream = Upstream()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(SocketAttribute.local_address)
        with anyio.fail_after(LIMIT_S):
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                answers = [await _ask(upstream, f"http://{host}:{port}/") for _ in range(3)]
                await upstream.close()
                tasks.cancel_scope.cancel()
        self.assertEqual(answers, [b"1", b"2", b"3"])


class GivenUpTest(unittest.IsolatedAsyncioTestCase):
    """A request whose caller leaves before its endpoint has read it."""

    async def test_endpoint_that_wakes_learns_that_its_caller_is_gone(self) -> None:
        """Guards against a replica that works for callers who disconnected a second before.

        A suspended VM still receives the bytes of new requests. If the entry closes the connection
        of a caller who gave up in order, the resumed replica finds a complete request and cannot
        tell it from that of a caller who only closed the sending side.
        """
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        host, port = listener.getsockname()
        upstream = Upstream()
        with anyio.move_on_after(0.3) as caller:
            await _ask(upstream, f"http://{host}:{port}/")
        self.assertTrue(caller.cancelled_caught)
        await anyio.sleep(0.1)
        with listener:
            taken, _ = listener.accept()
        taken.settimeout(LIMIT_S)
        with taken, self.assertRaises(ConnectionResetError):
            while taken.recv(1000):
                pass


class HalfSentTest(unittest.IsolatedAsyncioTestCase):
    """A request whose permit expires before its head or its body is sent."""

    async def test_nothing_follows_a_pause_before_the_request_goes_out(self) -> None:
        """Guards against a booking that runs twice, once on a VM that has been replaced.

        An agent sends the head and its VM is suspended. The booking runs at another agent. If the
        resumed agent sent the body, it would complete the request. One check decides on head and
        body, and if it fails the endpoint receives nothing.
        """
        received: list[bytes] = []
        done = anyio.Event()

        async def serve(client: SocketStream) -> None:
            async with client:
                try:
                    async for part in client:
                        received.append(part)
                except anyio.BrokenResourceError:
                    pass
            done.set()

        upstream = Upstream()
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = listener.extra(SocketAttribute.local_address)
        with anyio.fail_after(LIMIT_S):
            async with listener, anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                with self.assertRaises(RequestError) as caught:
                    url = f"http://{host}:{port}/"
                    await _ask(upstream, url, b"booking", still_allowed=lambda: False)
                await done.wait()
                tasks.cancel_scope.cancel()
        self.assertEqual(caught.exception.outcome, Outcome.NOT_RUN)
        self.assertEqual(received, [])

    async def test_permit_that_runs_out_while_a_request_goes_out_leaves_it_whole(self) -> None:
        """Guards against an entry that answers "unknown" after its permits expire.

        If a permit expired between head and body, the endpoint would have only the head and the
        outcome would be unknown. The permit is checked before anything is written, and a single
        write sends all, also on a reused connection.
        """
        network = CountingNetwork()
        upstream = Upstream(backend=network)
        asked: list[int] = []

        def still_allowed() -> bool:
            asked.append(len(network.writes))
            return True

        for body in (b"booking", b"look", b""):
            await _ask(upstream, "http://127.0.0.1:80/", body, still_allowed)
        await upstream.close()
        self.assertEqual(network.connects, 1)
        self.assertEqual(asked, [0, 1, 2])
        self.assertEqual(len(network.writes), 3)
        ends = [write.partition(b"\r\n\r\n")[2] for write in network.writes]
        self.assertEqual(ends, [b"booking", b"look", b""])


class CountingNetwork(httpcore.AsyncNetworkBackend):
    """Answers each request and records the data of each write."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []
        self.connects = 0

    async def connect_tcp(self, *_args: Any, **_options: Any) -> "CountingStream":
        self.connects += 1
        return CountingStream(self.writes)


class CountingStream(httpcore.AsyncNetworkStream):
    """A connection of ``CountingNetwork``."""

    def __init__(self, writes: list[bytes]) -> None:
        self._writes = writes

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        return ANSWER % 1

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._writes.append(buffer)

    async def aclose(self) -> None:
        pass

    def get_extra_info(self, info: str) -> Any:
        return False if info == "is_readable" else None


async def _ask(
    upstream: Upstream,
    url: str,
    body: bytes = b"",
    still_allowed: Callable[[], bool] = lambda: True,
) -> bytes:
    req = UpstreamRequest(
        endpoint="desk",
        url=url,
        method="POST" if body else "GET",
        headers=[(b"host", b"desk"), (b"content-length", b"%d" % len(body))],
        body=body,
        timeouts=UpstreamTimeouts.waiting(LIMIT_S),
        still_allowed=still_allowed,
    )
    async with upstream.open(req) as response:
        return b"".join([part async for part in response.aiter_stream()])
