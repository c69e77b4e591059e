"""Which free places an entry may take while its peers do not know of it yet.

The load pattern this answers: more requests than places at several entries at once. Each hears of
the others' choices a tenth of a second later, so all of them took the same few places: a group of
72 places was given 84 requests, the rest queued in the engines, and the first events of all came
late. A place that a request of one's own gave back is free for certain, and no peer knows of it
yet, so it is taken again at once. Of the others, each entry draws its part once for each news. At
twice what can be served, 30 of 100 callers are so in time and 22 without
(``benchmarks.group_load``).
"""

import random
from collections import deque

from carawayhub.clock import Clock

MOST_FREED = 64
"""Places of one's own that are remembered: more than come free between two news."""


class Claims:
    """The places of one group of endpoints that this entry may take.

    Args:
        clock: Source of time.
        rng: Draws who takes a place that several want.
    """

    __slots__ = ("_clock", "_draw_at", "_freed", "_rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._freed: deque[float] = deque(maxlen=MOST_FREED)
        self._draw_at = float("-inf")

    def freed(self) -> None:
        """Note that a request of this entry gave its place back."""
        self._freed.append(self._clock.monotonic())

    def may_take(self, free: float, wanted: float, news: float) -> bool:
        """Return whether this entry may take a place.

        Args:
            free: Places that are free as far as is known.
            wanted: Requests that come to all entries before they hear of each other.
            news: Seconds until they do.
        """
        if free < 1.0:
            return False
        now = self._clock.monotonic()
        while self._freed and self._freed[0] < now - news:
            self._freed.popleft()
        if self._freed or free >= wanted:
            return True
        if now < self._draw_at:
            return False
        self._draw_at = now + news
        return self._rng.random() < free / wanted

    def taken(self) -> None:
        """Note that a place was taken, one of this entry's own where there is one."""
        if self._freed:
            self._freed.popleft()
