"""Reads the body of a streamed answer and coalesces small parts.

An engine sends a chunk for each token, and each read of a connection costs far more than the chunk
it returns. Where parts arrive faster than the join window, the next read after one that had to wait
is delayed by that window: data that arrives meanwhile is buffered in the socket and read at once.
Tokens that arrive further apart than the window are never delayed, and neither is the first.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

MIN_WAIT_SECONDS = 0.001
"""Minimum seconds for a read to count as having waited; a buffered part returns sooner."""


class StreamBody:
    """The parts of one body.

    Args:
        parts: The body as ``httpcore`` reads it.
        join: Join window: seconds by which the next read may be delayed, 0 for never.
        now: Source of time.
        sleep: Waits for some seconds.
    """

    __slots__ = ("_join", "_next_read", "_now", "_parts", "_read_at", "_sleep")

    def __init__(
        self,
        parts: AsyncIterator[bytes],
        join: float,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._parts = parts
        self._join = join
        self._now = now
        self._sleep = sleep
        self._read_at = float("-inf")
        self._next_read = float("-inf")

    async def read(self) -> bytes:
        """Return the next part, empty at the end of the body.

        Raises:
            httpcore.ReadTimeout: No data arrived within the read timeout.
            httpcore.NetworkError: The connection failed or closed before the end of the body.
            httpcore.RemoteProtocolError: The data received is not valid HTTP.
        """
        asked_at = self._now()
        if asked_at < self._next_read:
            await self._sleep(self._next_read - asked_at)
            asked_at = self._now()
        try:
            part = await anext(self._parts)
        except StopAsyncIteration:
            return b""
        self._note(asked_at)
        return part

    def _note(self, asked_at: float) -> None:
        """Delay the next read where parts arrive faster than the join window."""
        now = self._now()
        if now - asked_at < MIN_WAIT_SECONDS:
            return
        before, self._read_at = self._read_at, now
        if now - before < self._join:
            self._next_read = now + self._join
