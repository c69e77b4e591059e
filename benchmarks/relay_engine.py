"""A bare model engine for the relay's benchmark: it streams tokens at a pace and does nothing else.

Any path that is no model's is answered whole and at once, so it stands in for a plain service too.

It takes the pace from the body of each call, so that one engine serves every measurement:
``step_ms`` between two writes, ``batch`` tokens in each write, ``max_tokens`` in all. Each event
carries the engine's clock reading in nanoseconds, from which the client works out the delay.

Example:
    python -m benchmarks.relay_engine 20101
"""

import asyncio
import sys
import time
from typing import Any, cast

import httptools
import msgspec
import uvloop

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
DONE = b"data: [DONE]\n\n"
LOAD = b'{"running":0,"queued":0,"capacity":100000,"step_seconds":0.006,"tokens_rate":0.0}'
NO_EVENTS = b'{"last":0,"events":[]}'


class _Body(msgspec.Struct):
    max_tokens: int = 1
    stream: bool = False
    step_ms: float = 6.0
    batch: int = 1


class _Connection(asyncio.Protocol):
    """One connection; it answers one request at a time."""

    def __init__(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._url = b""
        self._id = b""
        self._content = b""
        self._sent = 0
        self._due = 0.0
        self._body = _Body()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._url, self._id, self._content = b"", b"", b""

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self._id = value

    def on_body(self, body: bytes) -> None:
        self._content += body

    def on_message_complete(self) -> None:
        if self._url.startswith(b"/load"):
            self._whole(LOAD)
            return
        if self._url.startswith(b"/cache/events"):
            self._whole(NO_EVENTS)
            return
        if not self._url.startswith(b"/v1/"):
            self._whole(b"{}")
            return
        self._body = msgspec.json.decode(self._content, type=_Body)
        if not self._body.stream:
            self._whole(b'{"id":"%s","choices":[{"index":0,"finish_reason":"stop"}]}' % self._id)
            return
        self._transport.write(HEAD)
        self._sent = 0
        self._due = self._loop.time()
        self._step()

    def _whole(self, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
        self._transport.write(head % len(body) + body)

    def _step(self) -> None:
        body = self._body
        if not self._paused:
            last = min(self._sent + body.batch, body.max_tokens)
            events = b"".join([self._event(at) for at in range(self._sent, last)])
            self._sent = last
            if last == body.max_tokens:
                self._transport.write(_chunk(events) + _chunk(DONE) + LAST_CHUNK)
                return
            self._transport.write(_chunk(events))
        self._due += body.step_ms / 1000
        self._timer = self._loop.call_at(self._due, self._step)

    def _event(self, offset: int) -> bytes:
        return (
            b'data: {"id":"%s","object":"chat.completion.chunk","model":"model","offset":%d,'
            b'"choices":[{"index":0,"finish_reason":null,"delta":{"content":"word "}}],'
            b'"sent":%d}\n\n' % (self._id, offset, time.monotonic_ns())
        )


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _serve(port: int) -> None:
    server = await asyncio.get_running_loop().create_server(_Connection, "127.0.0.1", port)
    await server.serve_forever()


def main(argv: list[str]) -> int:
    """Serve on the port given until the process is ended."""
    serving: Any = _serve(int(argv[0]))
    uvloop.run(serving)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
