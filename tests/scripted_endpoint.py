"""An endpoint on a loopback port that answers each request as a test says."""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream

SEAL = b"Carawayhub-Response-Seal: s1\r\n"


@dataclass(slots=True)
class Taken:
    """A request that an endpoint got.

    Attributes:
        line: Its first line.
        headers: Its headers, names in lower case.
        body: Its body.
        left: Set when the caller closed the connection while the request was answered.
    """

    line: str
    headers: dict[str, str]
    body: bytes = b""
    left: anyio.Event = field(default_factory=anyio.Event)

    @property
    def id(self) -> bytes:
        """The id that the request carries."""
        return self.headers.get("carawayhub-request-id", "").encode()


Script = Callable[[SocketStream, Taken], Awaitable[None]]


class ScriptedEndpoint:
    """Listens on a port of 127.0.0.1.

    Args:
        script: Answers a request; the connection is closed when it raises ``ClosedError``.

    Attributes:
        taken: The requests so far.
        connections: Connections so far.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.taken: list[Taken] = []
        self.connections = 0
        self.address = ""
        self._scope: anyio.CancelScope | None = None
        self._socket: Any = None

    async def serve(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self._socket = listener.extra(anyio.abc.SocketAttribute.raw_socket)
        bound = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.address = f"{bound[0]}:{bound[1]}"
        task_status.started()
        async with listener:
            with anyio.CancelScope() as self._scope:
                await listener.serve(self._connection)

    def end(self) -> None:
        """End as a crashed process does: further connections are refused, and all close."""
        assert self._scope is not None
        self._socket.shutdown(socket.SHUT_RDWR)
        self._scope.cancel()

    async def _connection(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            buffered = b""
            try:
                while True:
                    buffered = await self._request(stream, buffered)
            except (anyio.EndOfStream, anyio.BrokenResourceError, ClosedError):
                return

    async def _request(self, stream: SocketStream, buffered: bytes) -> bytes:
        while b"\r\n\r\n" not in buffered:
            buffered += await stream.receive()
        head, rest = buffered.split(b"\r\n\r\n", 1)
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines[1:])
        }
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            rest += await stream.receive()
        taken = Taken(lines[0], headers, rest[:length])
        self.taken.append(taken)
        await self.script(stream, taken)
        return rest[length:]


class ClosedError(Exception):
    """The endpoint closes the connection."""


def whole(taken: Taken, body: bytes = b"ok", status: str = "200 OK", extra: bytes = SEAL) -> bytes:
    """Return a whole answer to a request."""
    head = b"HTTP/1.1 %s\r\nCarawayhub-Request-Id: %s\r\n" % (status.encode(), taken.id)
    return head + extra + b"Content-Length: %d\r\n\r\n" % len(body) + body


def refused(extra: bytes = b"") -> bytes:
    """Return the answer of an endpoint that is full."""
    head = b"HTTP/1.1 503 Service Unavailable\r\nCarawayhub-Not-Executed: 1\r\n"
    return head + extra + b"Content-Length: 0\r\n\r\n"


def stream_head(taken: Taken) -> bytes:
    """Return the head of a stream of events."""
    return (
        b"HTTP/1.1 200 OK\r\nCarawayhub-Request-Id: %s\r\n%sContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n" % (taken.id, SEAL)
    )


def chunk(data: bytes) -> bytes:
    """Return a chunk of a stream, the last one where there is no data."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return an event."""
    return b"id: %d\ndata: line %d\n\n" % (number, number)
