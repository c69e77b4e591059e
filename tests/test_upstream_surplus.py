"""An answer that comes twice must not become the answer of the next request."""

import socket
import unittest
from itertools import count

import anyio
from anyio.abc import SocketAttribute, SocketStream

from carawayhub.codes import Outcome
from carawayhub.endpoints.upstream import Upstream, UpstreamRequest, UpstreamTimeouts
from carawayhub.errors import RequestError

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d"
LIMIT_S = 10.0


class SurplusTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint behind something that delivers an answer twice."""

    async def test_answer_that_came_twice_is_not_given_to_the_next_request(self) -> None:
        """The wrong booking was confirmed to a visitor.

        A plain service answers a booking, and what lies between delivers the answer twice in one
        piece. The first request takes its answer from the connection and keeps it for the next
        one. The second copy lies in the parser's buffer, and would be read as the answer to the
        next booking.
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
        """A replica worked for callers who had left a second before.

        Its VM was suspended and took the bytes of new requests in all the same. The callers gave
        up and the entry closed their connections in order. When the replica woke it found whole
        requests, and could not tell them from those of callers who had only ended their sending.
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
    """A process that is suspended between the head and the body of a request."""

    async def test_body_does_not_follow_its_head_after_a_pause(self) -> None:
        """A booking ran twice: at the endpoint of a VM that had been replaced, and before that.

        The agent had sent the head when its VM was suspended. The caller's booking ran at another
        agent meanwhile. The woken one sent the body, which completed the request. Nobody can tell
        what an endpoint makes of a head alone, so the caller is told "unknown".
        """
        came: list[bytes] = []
        done = anyio.Event()

        async def serve(client: SocketStream) -> None:
            async with client:
                try:
                    async for part in client:
                        came.append(part)
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
                    await _ask(upstream, url, b"booking", may_complete=False)
                await done.wait()
                tasks.cancel_scope.cancel()
        self.assertEqual(caught.exception.outcome, Outcome.UNKNOWN)
        self.assertNotIn(b"booking", b"".join(came))


async def _ask(
    upstream: Upstream,
    url: str,
    body: bytes = b"",
    may_complete: bool = True,
) -> bytes:
    req = UpstreamRequest(
        endpoint="desk",
        url=url,
        method="POST" if body else "GET",
        headers=[(b"host", b"desk"), (b"content-length", b"%d" % len(body))],
        body=body,
        timeouts=UpstreamTimeouts.waiting(LIMIT_S),
        still_allowed=lambda: True,
        may_complete=lambda: may_complete,
    )
    async with upstream.open(req) as response:
        return b"".join([part async for part in response.aiter_stream()])
