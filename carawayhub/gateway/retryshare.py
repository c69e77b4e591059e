"""The part of a service's retry budget that this entry may spend.

The budget is one for all entries: so many repeated sends in any window. With no shared state, each
entry spends from its own requests what the ratio allows, and an even part of the fixed extra.
"""

from collections import deque

from carawayhub.clock import Clock

SAFE_PART = 0.8
"""Part of the budget that is spent; the rest covers entries that have just been replaced, whose
predecessors' sends still count in the window."""

LONE_PART = 0.01
"""Part of what all entries may spend together, for an entry that does not know yet how many there
are: small enough for a hundred that start at once."""


class RetryShare:
    """Counts the requests and repeated sends of one service at this entry.

    Args:
        clock: Source of time.
        ratio: Repeated sends for each request.
        extra: Repeated sends beyond that in one window, over all entries.
        window: Length of the window in seconds.
    """

    __slots__ = ("_clock", "_extra", "_ratio", "_repeats", "_requests", "_window")

    def __init__(self, clock: Clock, ratio: float, extra: float, window: float) -> None:
        self._clock = clock
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def arrived(self) -> None:
        """Count a request."""
        self._requests.append(self._clock.monotonic())
        self._drop_old(self._requests)

    def rate(self) -> float:
        """Return the requests a second of the last window at this entry."""
        self._drop_old(self._requests)
        return len(self._requests) / self._window

    def spend(self, entries: int) -> bool:
        """Take one repeated send from the budget, or return False where it is spent.

        Args:
            entries: Most entries that were known at one time, 0 while none was heard.
        """
        self._drop_old(self._requests)
        self._drop_old(self._repeats)
        part = 1.0 / entries if entries else LONE_PART
        allowed = SAFE_PART * (self._ratio * len(self._requests) + self._extra * part)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(self._clock.monotonic())
        return True

    def _drop_old(self, times: deque[float]) -> None:
        oldest = self._clock.monotonic() - self._window
        while times and times[0] < oldest:
            times.popleft()
