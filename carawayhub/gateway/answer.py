"""The answer to one request as its caller receives it."""

from carawayhub.clock import Clock
from carawayhub.constants import CODE_HEADER, JSON_TYPE
from carawayhub.entry.calls import Send
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Headers

RETRY_AFTER_HEADER = b"retry-after"
CLOSE_HEADERS: Headers = [(b"connection", b"close")]
CONTENT_LENGTH = b"content-length"


class CallerAnswer:
    """Sends one answer and tracks its progress.

    Args:
        send: The ASGI channel to the caller.
        closing: Whether to close the connection with this answer.
        clock: Source of time.

    Attributes:
        started: Whether the head was sent. A started answer can no longer be replaced by an error,
            only broken off.
        ended: Whether the end was sent.
        status: HTTP status that was sent, 0 before.
        longest_pause: Longest time between two parts, in seconds.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_part_at",
        "_send",
        "ended",
        "longest_pause",
        "started",
        "status",
    )

    def __init__(self, send: Send, *, closing: bool, clock: Clock) -> None:
        self._send = send
        self._clock = clock
        self._part_at: float | None = None
        self.longest_pause = 0.0
        self._closing = closing
        self.started = False
        self.ended = False
        self.status = 0

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in parts."""
        self.started = True
        self.status = status
        forwarded = [(name, value) for name, value in headers if name.lower() != CONTENT_LENGTH]
        await self._send_head(status, forwarded)

    async def part(self, data: bytes) -> None:
        """Send a part of the body."""
        now = self._clock.monotonic()
        if self._part_at is not None:
            self.longest_pause = max(self.longest_pause, now - self._part_at)
        self._part_at = now
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Send the end of the body."""
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer with its length."""
        self.started = self.ended = True
        self.status = status
        forwarded = [(name, value) for name, value in headers if name.lower() != CONTENT_LENGTH]
        await self._send_head(status, [*forwarded, (CONTENT_LENGTH, str(len(body)).encode())])
        await self._send({"type": "http.response.body", "body": body})

    async def refuse(self, exc: RequestError) -> None:
        """Send an error generated here, for a request without an answer from an endpoint."""
        headers = [(b"content-type", JSON_TYPE), (CODE_HEADER, str(int(exc.code)).encode())]
        if exc.retry_after is not None:
            headers.append((RETRY_AFTER_HEADER, f"{exc.retry_after:.3f}".encode()))
        text = exc.meaning.text.encode()
        body = b'{"error":{"code":%d,"text":"%s"}}' % (int(exc.code), text)
        await self.whole(exc.meaning.status, headers, body)

    async def _send_head(self, status: int, headers: Headers) -> None:
        closing = CLOSE_HEADERS if self._closing else []
        head = {"type": "http.response.start", "status": status, "headers": [*headers, *closing]}
        await self._send(head)
