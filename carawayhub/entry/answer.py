"""Sends the answer of a request to its caller."""

from collections.abc import Callable

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.constants import CODE_HEADER, HOP_BY_HOP_HEADERS, REQUEST_ID_HEADER
from carawayhub.entry.calls import Send

_REPLACED_HEADERS = HOP_BY_HOP_HEADERS | {REQUEST_ID_HEADER, CODE_HEADER, b"content-length"}


class Answer:
    """Sends one answer and tracks its progress.

    Args:
        send: The ASGI channel to the caller.
        caller_id: Id by which the caller knows the request.
        clock: Source of time.

    Attributes:
        started: Whether the first byte was sent; after that the request cannot be retried.
        first_byte_at: Timestamp of the first byte.
        last_part_at: Timestamp of the latest part.
        dispatched_at: Timestamp at which the request was first sent to an endpoint or agent, None
            before that.
        ended: Whether the end of the answer was passed to the ASGI server.
        on_start: Called at the first byte.
    """

    __slots__ = (
        "_caller_id",
        "_clock",
        "_send",
        "dispatched_at",
        "ended",
        "first_byte_at",
        "last_part_at",
        "on_start",
        "started",
    )

    def __init__(self, send: Send, caller_id: str, clock: Clock) -> None:
        self._send = send
        self._caller_id = caller_id
        self._clock = clock
        self.started = False
        self.on_start: Callable[[], None] = _noop
        self.first_byte_at = 0.0
        self.last_part_at = 0.0
        self.dispatched_at: float | None = None
        self.ended = False

    def dispatched(self) -> None:
        """Record when the request is first sent to an endpoint or agent."""
        if self.dispatched_at is None:
            self.dispatched_at = self._clock.monotonic()

    async def start(self, status: int, headers: list[tuple[bytes, bytes]], code: Code) -> None:
        """Send the status and headers of a streamed answer."""
        self._begin()
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": self._headers(headers, code),
            }
        )

    async def part(self, data: bytes) -> None:
        """Send a part of a streamed answer."""
        self.last_part_at = self._clock.monotonic()
        await self._send({"type": "http.response.body", "body": data, "more_body": True})

    async def end(self) -> None:
        """Send the explicit end of a streamed answer."""
        self.ended = True
        await self._send({"type": "http.response.body", "body": b""})

    async def complete(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes, code: Code
    ) -> None:
        """Send a complete answer with its content length."""
        self._begin()
        length = (b"content-length", b"%d" % len(body))
        self.ended = True
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*self._headers(headers, code), length],
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    def _begin(self) -> None:
        self.started = True
        self.first_byte_at = self.last_part_at = self._clock.monotonic()
        self.on_start()

    def _headers(self, headers: list[tuple[bytes, bytes]], code: Code) -> list[tuple[bytes, bytes]]:
        kept = [(name, value) for name, value in headers if name.lower() not in _REPLACED_HEADERS]
        kept.append((REQUEST_ID_HEADER, self._caller_id.encode()))
        kept.append((CODE_HEADER, b"%d" % code))
        return kept


def _noop() -> None:
    return
