"""The share of a service's retry budget that this entry may spend.

The budget limits the retries of all entries together in any window. As the entries share no state,
each spends the ratio of its own requests and an equal share of the fixed extra.
"""

from collections import deque

from carawayhub.clock import Clock

SAFETY_FACTOR = 0.8
"""Fraction of the budget that is spent; the rest covers recently replaced entries, whose
predecessors' retries still count in the window."""

RECENT_SECONDS = 2.0
"""Time over which the present rate of requests is measured, at least a few requests per entry."""

DEFAULT_SHARE = 0.01
"""Share of an entry that does not yet know the number of entries: small enough for a hundred that
start at once."""


class RetryShare:
    """Counts the requests and retries of one service at this entry.

    Args:
        clock: Source of time.
        ratio: Retries allowed per request.
        extra: Retries allowed beyond that in one window, over all entries.
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
        """Return the requests per second at this entry over the last window."""
        self._drop_old(self._requests)
        return len(self._requests) / self._window

    def recent_rate(self) -> float:
        """Return the requests per second at this entry over the last ``RECENT_SECONDS``."""
        oldest = self._clock.monotonic() - RECENT_SECONDS
        count = 0
        for arrived_at in reversed(self._requests):
            if arrived_at < oldest:
                break
            count += 1
        return count / RECENT_SECONDS

    def spend(self, entries: int) -> bool:
        """Take one retry from the budget, or return False if it is spent.

        Args:
            entries: Highest number of entries known at one time, 0 if none is known yet.
        """
        self._drop_old(self._requests)
        self._drop_old(self._repeats)
        part = 1.0 / entries if entries else DEFAULT_SHARE
        allowed = SAFETY_FACTOR * (self._ratio * len(self._requests) + self._extra * part)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(self._clock.monotonic())
        return True

    def _drop_old(self, times: deque[float]) -> None:
        oldest = self._clock.monotonic() - self._window
        while times and times[0] < oldest:
            times.popleft()
