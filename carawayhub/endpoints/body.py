"""The body of a streamed answer, read so that small parts cost little.

An engine sends a chunk for each token, and each read of a connection costs far more than the chunk
it brings. So where parts come faster than the join window, the next read after one that had to wait
is put off for that window: what comes meanwhile gathers in the socket and is read at once. Tokens
that come further apart than the window are never held back, and neither is the first.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import anyio

WAITED = 0.001
"""Seconds from which on a part counts as waited for; one that was read before comes at once."""


class StreamBody:
    """Parts of one body.

    Args:
        parts: The body as ``httpcore`` reads it.
        join: Seconds for which the next read may be put off, 0 for never.
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
            httpcore.ReadTimeout: Nothing came for too long.
            httpcore.NetworkError: The connection broke or ended before the body did.
            httpcore.RemoteProtocolError: What came is no HTTP.
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
        """Put the next read off where parts come faster than the window."""
        now = self._now()
        if now - asked_at < WAITED:
            return
        before, self._read_at = self._read_at, now
        if now - before < self._join:
            self._next_read = now + self._join
