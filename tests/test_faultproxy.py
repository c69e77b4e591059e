"""The fault proxy really does to connections what tests ask of it."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream

from carawayhub.standins.faults import LinkFault
from carawayhub.standins.link import Link
from carawayhub.standins.proxy import Proxy

WAIT_S = 10.0
QUIET_S = 0.1


async def echo(stream: SocketStream) -> None:
    with suppress(anyio.BrokenResourceError):
        async with stream:
            async for data in stream:
                await stream.send(data)


@asynccontextmanager
async def echo_link() -> AsyncIterator[Link]:
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    proxy = Proxy(seed=1)
    link = proxy.add("echo", "127.0.0.1:0", f"127.0.0.1:{port}")
    async with listener, anyio.create_task_group() as tg:
        tg.start_soon(listener.serve, echo)
        with anyio.fail_after(WAIT_S):
            async with proxy.running():
                yield link
        tg.cancel_scope.cancel()


async def connect(link: Link, source: str | None = None) -> SocketStream:
    host, port = link.listen.split(":")
    return await anyio.connect_tcp(host, int(port), local_host=source)


async def say(stream: SocketStream, text: bytes) -> bytes:
    await stream.send(text)
    return await receive(stream, len(text))


async def receive(stream: SocketStream, length: int) -> bytes:
    found = b""
    while len(found) < length:
        found += await stream.receive(length - len(found))
    return found


async def is_quiet(stream: SocketStream) -> bool:
    """Return whether nothing comes; a link that is not silent answers far sooner."""
    with anyio.move_on_after(QUIET_S):
        await stream.receive()
        return False
    return True


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """Each fault, seen from a client of an echo server."""

    async def test_silence_for_good_leaves_new_connections_working(self) -> None:
        async with echo_link() as link, await connect(link) as old:
            self.assertEqual(await say(old, b"a"), b"a")
            self.assertEqual(link.silence_open(), 1)
            async with await connect(link) as new:
                self.assertEqual(await say(new, b"b"), b"b")
            await old.send(b"c")
            self.assertTrue(await is_quiet(old))

    async def test_silence_of_one_direction_heals_with_nothing_lost(self) -> None:
        async with echo_link() as link, await connect(link) as stream:
            self.assertEqual(await say(stream, b"a"), b"a")
            link.state.set_fault(LinkFault(silent_to_client=True))
            await stream.send(b"b")
            self.assertTrue(await is_quiet(stream))
            link.state.clear()
            self.assertEqual(await receive(stream, 1), b"b")

    async def test_fault_of_one_source_spares_the_others(self) -> None:
        async with echo_link() as link:
            link.state.set_fault(
                LinkFault(silent_to_target=True, silent_to_client=True), "127.0.0.2"
            )
            async with await connect(link, "127.0.0.2") as cut_off, await connect(link) as other:
                await cut_off.send(b"a")
                self.assertTrue(await is_quiet(cut_off))
                self.assertEqual(await say(other, b"b"), b"b")

    async def test_cut_now_and_after_some_bytes_is_seen_as_a_reset(self) -> None:
        async with echo_link() as link:
            async with await connect(link) as stream:
                self.assertEqual(await say(stream, b"a"), b"a")
                self.assertEqual(link.cut_open(), 1)
                with self.assertRaises(anyio.BrokenResourceError):
                    await stream.receive()
            link.state.set_fault(LinkFault(cut_after=3))
            async with await connect(link) as stream:
                await stream.send(b"abcdef")
                with self.assertRaises(anyio.BrokenResourceError):
                    await receive(stream, 4)

    async def test_refused_then_accepted_again(self) -> None:
        async with echo_link() as link:
            async with await connect(link) as kept:
                self.assertEqual(await say(kept, b"a"), b"a")
                link.state.set_fault(LinkFault(refuse=True))
                await self._until_refused(link)
                self.assertEqual(await say(kept, b"b"), b"b")
            link.state.clear()
            await self._until_accepted(link)

    async def _until_refused(self, link: Link) -> None:
        while True:
            try:
                await (await connect(link)).aclose()
            except OSError:
                return

    async def _until_accepted(self, link: Link) -> None:
        while True:
            try:
                async with await connect(link) as stream:
                    self.assertEqual(await say(stream, b"c"), b"c")
                    return
            except (OSError, anyio.BrokenResourceError, anyio.EndOfStream):
                await anyio.sleep(0.002)

    async def test_link_is_refused_while_its_target_is_down(self) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)
        proxy = Proxy()
        link = proxy.add("echo", "127.0.0.3:0", f"127.0.0.1:{port}")
        with anyio.fail_after(WAIT_S):
            async with proxy.running():
                await listener.aclose()
                await self._until_refused(link)
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
                async with listener, anyio.create_task_group() as tg:
                    tg.start_soon(listener.serve, echo)
                    await self._until_accepted(link)
                    tg.cancel_scope.cancel()

    async def test_crossed_answers_reach_the_other_client(self) -> None:
        async with echo_link() as link, await connect(link) as one, await connect(link) as two:
            link.state.set_fault(LinkFault(cross_count=1))
            await one.send(b"one")
            await two.send(b"two")
            self.assertEqual(await receive(one, 3), b"two")
            self.assertEqual(await receive(two, 3), b"one")

    async def test_crossing_of_many_pieces_loses_and_doubles_nothing(self) -> None:
        async with echo_link() as link, await connect(link) as one, await connect(link) as two:
            link.state.set_fault(LinkFault(cross_count=20, delay_ms=1, jitter_ms=1))
            for _ in range(50):
                await one.send(b"1" * 1000)
                await two.send(b"2" * 1000)
            link.state.clear()
            # What found no partner comes with the next piece of its own connection.
            await one.send(b"1")
            await two.send(b"2")
            received = bytearray()

            async def read(stream: SocketStream) -> None:
                while True:
                    received.extend(await stream.receive())
                    if len(received) >= 100_002:
                        tg.cancel_scope.cancel()

            async with anyio.create_task_group() as tg:
                tg.start_soon(read, one)
                tg.start_soon(read, two)
        self.assertEqual((received.count(b"1"), received.count(b"2")), (50_001, 50_001))

    async def test_duplicate_delay_and_throttle_keep_order(self) -> None:
        async with echo_link() as link, await connect(link) as stream:
            link.state.set_fault(LinkFault(duplicate_count=1))
            await stream.send(b"ab")
            self.assertEqual(await receive(stream, 4), b"abab")
            link.state.set_fault(LinkFault(delay_ms=5, jitter_ms=20, bytes_per_second=10_000))
            began = anyio.current_time()
            for number in range(10):
                await stream.send(bytes([number]))
            self.assertEqual(await receive(stream, 10), bytes(range(10)))
            self.assertGreaterEqual(anyio.current_time() - began, 0.010)

    async def test_end_of_one_direction_is_passed_on(self) -> None:
        async with echo_link() as link, await connect(link) as stream:
            await stream.send(b"last")
            await stream.send_eof()
            self.assertEqual(await receive(stream, 4), b"last")
            with self.assertRaises(anyio.EndOfStream):
                await stream.receive()
