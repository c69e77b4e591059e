"""Paces the requests of one entry to one cold replica.

Handles callers that send more than a cold replica accepts, for seconds, from the moment at which it
is used. The number of requests in a window of a second is bounded; over longer times the mean rate
is close to that which the replica accepts. What callers didn't need can be used later, as far as
the bound allows.
"""

from collections import deque

WINDOW_SECONDS = 1.1
"""Window in which an entry sends at most its units. The bound counts arrivals in one second; two
requests that are sent a window apart may approach each other by 0.1 s in transit."""

PACE = 1.1
"""Factor on the rate at which an entry may send on average. Some entries are asked for less than
their part, and what they leave is lost: at a factor of 1, 98 entries used 0.88 of the rate."""

SAVED_SECONDS = 3.0
"""Time over which an entry saves up what it was not asked for: two requests for each unit, so that
a gap between two requests of callers loses nothing that the window still allows."""


class ColdSends:
    """Requests of one entry to one replica, for the time of the window.

    Requests count from the time at which they got a slot, and again from that of their first byte:
    a connection may take long to open.
    """

    __slots__ = ("_reserved", "_saved", "_saved_at", "_sent")

    def __init__(self) -> None:
        self._sent: deque[float] = deque()
        self._reserved: deque[float] = deque()
        self._saved = 0.0
        self._saved_at = float("-inf")

    def reserve(self, now: float) -> None:
        """Count a request that got a slot."""
        _add(self._reserved, now)
        self._saved -= 1.0

    def send(self, now: float) -> None:
        """Count a request whose first byte is sent."""
        _add(self._sent, now)

    def unreserve(self) -> None:
        """Drop the oldest reservation, whose request is about to be sent."""
        if self._reserved:
            self._reserved.popleft()

    def begin(self, now: float, saved: float) -> None:
        """Start pacing as the replica turns cold.

        Args:
            now: Current time.
            saved: Requests that may be sent at once, as far as the window allows.
        """
        self._saved, self._saved_at = saved, now

    def may_reserve(self, now: float, quota: int, rate: float) -> bool:
        """Return whether another request may have a slot.

        Args:
            now: Current time.
            quota: Requests that this entry may send in one window.
            rate: This entry's part of the requests per second that the replica accepts.
        """
        pace = PACE * rate
        most = quota + pace * SAVED_SECONDS
        self._saved = min(most, self._saved + pace * max(0.0, now - self._saved_at))
        self._saved_at = now
        return self._saved >= 1.0 and self._recent(now) < quota

    def may_send(self, now: float, quota: int) -> bool:
        """Return whether a request may be sent, its reservation not counted."""
        return self._recent(now) < quota

    def _recent(self, now: float) -> int:
        oldest = now - WINDOW_SECONDS
        return sum(each > oldest for times in (self._sent, self._reserved) for each in times)


def _add(times: deque[float], now: float) -> None:
    times.append(now)
    while times[0] <= now - WINDOW_SECONDS:
        times.popleft()
