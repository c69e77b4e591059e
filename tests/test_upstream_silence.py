"""Kept connections to an endpoint that stop answering while new ones work."""

import unittest

import anyio
from anyio.abc import SocketAttribute, SocketStream

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.endpoints.upstream import (
    KEEPALIVE_MARGIN_SECONDS,
    KEEPALIVE_SECONDS,
    Upstream,
    UpstreamRequest,
    UpstreamTimeouts,
)
from carawayhub.errors import RequestError

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
SILENCE = 0.5
"""Read timeout of a request on a silent connection."""

LIMIT_S = 10.0
KEPT = 3


class Endpoint:
    """Answers each request, except on connections whose state a middlebox has lost."""

    def __init__(self) -> None:
        self.lost: set[SocketStream] = set()
        self.open: set[SocketStream] = set()
        self.hold = anyio.Event()
        self.loses_next = False
        self.extra = b""

    def lose_all(self) -> None:
        """Let all open connections go silent."""
        self.lost |= self.open

    async def serve(self, client: SocketStream) -> None:
        """Answer on one connection."""
        self.open.add(client)
        async with client:
            while True:
                try:
                    await client.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                if self.loses_next:
                    self.loses_next = False
                    self.lost.add(client)
                if client in self.lost:
                    await anyio.sleep_forever()
                await self.hold.wait()
                await client.send(ANSWER.replace(b"\r\n\r\n", b"\r\n" + self.extra + b"\r\n"))


class SilenceTest(unittest.IsolatedAsyncioTestCase):
    """Several connections to one endpoint."""

    async def asyncSetUp(self) -> None:
        self.endpoint = Endpoint()
        self.upstream = Upstream()
        self.listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        host, port = self.listener.extra(SocketAttribute.local_address)
        self.url = f"http://{host}:{port}/"

    async def ask(self, silence: float = LIMIT_S) -> bytes:
        """Send one request and return the body of its answer."""
        req = UpstreamRequest(
            endpoint="i-1",
            url=self.url,
            method="GET",
            headers=[(b"host", b"x")],
            body=b"",
            timeouts=UpstreamTimeouts.waiting(silence),
            still_allowed=lambda: True,
        )
        async with self.upstream.open(req) as response:
            return b"".join([part async for part in response.aiter_stream()])

    async def keep(self, count: int) -> None:
        """Open connections by requests at the same time, and keep them."""
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(self.ask)
            while len(self.endpoint.open) < count:
                await anyio.sleep(0.01)
            self.endpoint.hold.set()

    async def test_one_silent_connection_costs_one_request(self) -> None:
        """Guards against requests that use one silent connection after the other."""
        with anyio.fail_after(LIMIT_S):
            async with self.listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self.listener.serve, self.endpoint.serve)
                await self.keep(KEPT)
                self.endpoint.lose_all()
                await self.stall()
                self.assertEqual(await self.ask(), b"ok")
                tasks.cancel_scope.cancel()

    async def test_connection_that_answered_meanwhile_is_kept(self) -> None:
        with anyio.fail_after(LIMIT_S):
            async with self.listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self.listener.serve, self.endpoint.serve)
                await self.keep(2)
                opened = len(self.endpoint.open)
                self.endpoint.loses_next = True
                async with anyio.create_task_group() as both:
                    both.start_soon(self.stall)
                    while not self.endpoint.lost:
                        await anyio.sleep(0.01)
                    self.assertEqual(await self.ask(), b"ok")
                self.assertEqual(await self.ask(), b"ok")
                self.assertEqual(len(self.endpoint.open), opened)
                tasks.cancel_scope.cancel()

    async def test_connection_that_lay_idle_through_a_suspension_is_not_used(self) -> None:
        """Guards against a request on a connection whose state a middlebox has dropped."""
        clock = ManualClock()
        self.upstream = Upstream(clock=clock)
        with anyio.fail_after(LIMIT_S):
            async with self.listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self.listener.serve, self.endpoint.serve)
                await self.keep(1)
                clock.advance(KEEPALIVE_SECONDS - 0.1)
                await self.ask()
                self.assertEqual(len(self.endpoint.open), 1)
                clock.advance(KEEPALIVE_SECONDS)
                await self.ask()
                self.assertEqual(len(self.endpoint.open), 2)
                tasks.cancel_scope.cancel()

    async def test_connection_is_not_used_after_the_time_that_its_endpoint_states(self) -> None:
        """Guards against a request on a connection that the endpoint is just closing."""
        cases = (
            (b"timeout=5", 5.0 - KEEPALIVE_MARGIN_SECONDS),
            (b"max=100, Timeout=3", 3.0 - KEEPALIVE_MARGIN_SECONDS),
            (b"timeout=0", 0.0),
            (b"timeout=soon", KEEPALIVE_SECONDS),
            (b"timeout=600", KEEPALIVE_SECONDS),
        )
        with anyio.fail_after(LIMIT_S):
            async with self.listener, anyio.create_task_group() as tasks:
                tasks.start_soon(self.listener.serve, self.endpoint.serve)
                for stated, seconds in cases:
                    with self.subTest(stated=stated):
                        clock = ManualClock()
                        self.upstream = Upstream(clock=clock)
                        self.endpoint.hold.set()
                        self.endpoint.extra = b"Keep-Alive: %s\r\n" % stated
                        await self.ask()
                        opened = len(self.endpoint.open)
                        clock.advance(max(0.0, seconds - 0.1))
                        if seconds:
                            await self.ask()
                            self.assertEqual(len(self.endpoint.open), opened)
                            clock.advance(seconds)
                        await self.ask()
                        self.assertEqual(len(self.endpoint.open), opened + 1)
                tasks.cancel_scope.cancel()

    async def stall(self) -> None:
        """Send a request whose connection is silent."""
        with self.assertRaises(RequestError) as caught:
            await self.ask(SILENCE)
        self.assertIs(caught.exception.code, Code.ANSWER_STALLED)


if __name__ == "__main__":
    unittest.main()
