"""Connections to endpoints: each carries one request after the other."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

import httpcore
import httptools

from carawayhub.endpoints.stream import EndpointStream

CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 15.0
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

Connect = Callable[[str, int, str, float], Awaitable[EndpointStream]]


@dataclass(slots=True)
class UpstreamTimeouts:
    """Seconds of silence allowed on one request until its answer begins or comes whole.

    Attributes:
        values: The mapping that ``httpcore`` reads before each wait.
    """

    values: dict[str, float] = field(default_factory=dict)

    @classmethod
    def waiting(cls, seconds: float) -> "UpstreamTimeouts":
        """Return the same bound for each wait."""
        return cls({"connect": CONNECT_TIMEOUT, "read": seconds, "write": seconds})


class StreamBody:
    """The body of a streamed answer.

    ``httptools`` takes 0.2 us for a chunk where the parser of ``httpcore`` takes 9 us, and a model
    sends a chunk for each token, so the body is read past ``httpcore``.

    Args:
        stream: The connection; its next byte is the first after the answer's head.
        silence: Seconds of silence after which the connection is given up.
        join: Least seconds between two reads, 0 to read whatever comes at once.

    Attributes:
        ended: Whether the last chunk came.
        surplus: Whether something came after it.
    """

    __slots__ = (
        "_fault",
        "_join",
        "_next_read",
        "_parser",
        "_parts",
        "_silence",
        "_stream",
        "ended",
        "surplus",
    )

    def __init__(self, stream: EndpointStream, silence: float, join: float) -> None:
        self._stream = stream
        self._silence = silence
        self._join = join
        self._next_read = 0.0
        self._parts: list[bytes] = []
        self._fault: httpcore.RemoteProtocolError | None = None
        self.ended = False
        self.surplus = False
        self._parser = httptools.HttpResponseParser(self)
        self._parser.feed_data(CHUNKED_HEAD)

    async def read(self) -> bytes:
        """Return what one read brings, empty at the end of the body.

        Raises:
            httpcore.ReadTimeout: Nothing came for too long.
            httpcore.NetworkError: The connection broke or ended before the body did.
            httpcore.RemoteProtocolError: What came is no chunked body.
        """
        parts = self._parts
        while not parts and not self.ended:
            if self._fault is not None:
                raise self._fault
            data = await self._stream.receive(self._silence, self._next_read)
            if not data:
                raise httpcore.ReadError("the connection ended within the answer")
            self._feed(data)
        if not parts:
            return b""
        self._next_read = self._stream.time() + self._join if self._join else 0.0
        joined = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        return joined

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            # What was parsed before the fault is returned first, so that it can reach the caller
            # and a resumed stream goes on after it.
            self._fault = httpcore.RemoteProtocolError(str(exc))
            self.surplus = self.ended

    # What the parser calls.

    def on_body(self, part: bytes) -> None:
        """Take the content of a chunk."""
        self._parts.append(part)

    def on_message_begin(self) -> None:
        """Note what follows the last chunk."""
        self.surplus = self.ended

    def on_message_complete(self) -> None:
        """Note the last chunk."""
        self.ended = True


class Connection:
    """One connection to an endpoint.

    Args:
        origin: Where it leads.
        stream: Its bytes.
    """

    __slots__ = ("_body", "_closing", "_http", "_idle_until", "_origin", "_response", "_stream")

    def __init__(self, origin: httpcore.Origin, stream: EndpointStream) -> None:
        self._origin = origin
        self._stream = stream
        self._http: httpcore.AsyncHTTP11Connection | None = None
        self._response: httpcore.Response | None = None
        self._body: StreamBody | None = None
        self._closing = False
        self._idle_until = 0.0

    @property
    def reusable(self) -> bool:
        """Whether it may carry another request: it is not old and the other end sent nothing."""
        if time.monotonic() > self._idle_until:
            return False
        return not self._stream.get_extra_info("is_readable")

    async def send(
        self, request: httpcore.Request, before_send: Callable[[], None]
    ) -> httpcore.Response:
        """Send a request and return the head of its answer.

        Args:
            request: The request.
            before_send: Called right before the first byte goes out; what it raises keeps it back.
        """
        self._stream.before_send = before_send
        if self._http is None:
            self._http = httpcore.AsyncHTTP11Connection(self._origin, self._stream)
        self._response = response = await self._http.handle_async_request(request)
        self._closing = _closes(response)
        return response

    def whole_body(self) -> AsyncIterator[bytes]:
        """Return the body of the answer part by part, as ``httpcore`` reads it."""
        assert self._response is not None
        return self._response.aiter_stream()

    def stream_body(self, silence: float, join: float) -> StreamBody:
        """Return the body of a chunked answer whose head was returned.

        What ``httpcore`` keeps of the request, some 8 KB, is let go: a stream lasts for long.
        """
        self._http = self._response = None
        self._body = StreamBody(self._stream, silence, join)
        return self._body

    async def release(self) -> bool:
        """End a request in good order; return whether the connection may carry another."""
        body, self._body = self._body, None
        response, self._response = self._response, None
        self._idle_until = time.monotonic() + KEEPALIVE_SECONDS
        if response is not None and self._http is not None:
            await response.aclose()
            if self._http.is_idle() and not _holds_surplus(self._http):
                return True
            await self.close()
            return False
        if body is None or not body.ended or body.surplus or self._closing:
            await self.close()
            return False
        return True

    async def close(self) -> None:
        """Close the connection."""
        await self._stream.aclose()


def _holds_surplus(http: httpcore.AsyncHTTP11Connection) -> bool:
    """Return whether bytes came after the answer.

    Guards against an answer that is delivered twice in one piece. The second copy stays in the
    parser's buffer, where a look at the socket does not find it, and would be read as the answer to
    the next request. ``httpcore`` shows that buffer only for upgraded connections.
    """
    surplus, _ = http._h11_state.trailing_data
    return bool(surplus)


def _closes(response: httpcore.Response) -> bool:
    return any(
        name.lower() == b"connection" and value.lower() == b"close"
        for name, value in response.headers
    )
