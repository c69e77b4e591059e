"""Concurrency of one target, held where requests do not wait, and divided by priority."""

from carawayhub.limits.allotment import Allotment, Key
from carawayhub.limits.latency import LatencyEstimate

WINDOW_SECONDS = 0.25
MIN_SAMPLES = 8
LOW_QUANTILE = 0.25
FIRST_LIMIT = 64.0
MIN_LIMIT = 4.0
TOLERANCE = 2.0
TOLERANCE_SECONDS = 0.01
MAX_CUT = 0.7
GROWTH = 0.05
FAST_GROWTH = 0.5
BASE_DRIFT = 0.01
BINDING = 0.8
FREE_BELOW = 0.7
OVERSHOOT = 1.1


class TargetController:
    """Decides how many requests to one target run at once, and whose.

    The limit follows the wait for the first byte. A low quantile of the waits of a short window
    above twice the wait of an idle target means a standing queue: the limit is cut in proportion.
    A limit that is used up without a queue grows.

    Attributes:
        limit: Requests that may run at once.
        running: Requests that run.
    """

    __slots__ = (
        "_allotment",
        "_base",
        "_congested_before",
        "_latency",
        "_peak",
        "_waits",
        "_window_until",
        "limit",
        "running",
    )

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self.running = 0
        self._allotment = Allotment()
        self._latency = LatencyEstimate()
        self._base: float | None = None
        self._congested_before = False
        self._peak = 0
        self._waits: list[float] = []
        self._window_until = 0.0

    @property
    def base_wait(self) -> float:
        """Seconds to the first byte without a queue, 0 for unknown."""
        return self._base or 0.0

    def arrived(self, key: Key, now: float) -> None:
        """Count a request, admitted or not, for the division among priorities."""
        self._allotment.arrived(key, now, self.limit)

    def has_room(self, key: Key) -> bool:
        """Return whether a request may run now.

        With room to spare all may. Near the limit each priority and organisation may have what
        the allotment gives it; those may then pass the limit a little while others drain.
        """
        if self.running < self.limit * FREE_BELOW:
            return True
        if self.running >= self.limit * OVERSHOOT:
            return False
        return self._allotment.has_room(key, self.limit, full=self.running >= self.limit)

    def expected_seconds(self, cost: float, now: float) -> float:
        """Return how long a request of ``cost`` is likely to take."""
        return self._latency.expected(cost, now)

    def begun(self, key: Key) -> None:
        """Count a request that was admitted."""
        self.running += 1
        self._peak = max(self._peak, self.running)
        self._allotment.begun(key)

    def first_byte(self, wait: float, now: float) -> None:
        """Take the seconds that a request waited for the first byte of its answer."""
        self._latency.waited(wait, now)
        self._waits.append(wait)
        if now >= self._window_until:
            self._adjust(now)

    def ended(self, key: Key, held: float, streamed: float | None, cost: float) -> None:
        """Count the end of a request.

        Args:
            key: Its priority and organisation.
            held: Seconds since it was admitted.
            streamed: Seconds since its first byte, None where there was none.
            cost: Its expected work.
        """
        self.running -= 1
        self._allotment.ended(key, held)
        if streamed is not None:
            self._latency.streamed(streamed, cost)

    def _adjust(self, now: float) -> None:
        """Move the limit at the end of a window.

        Guards against overload that feeds itself: once requests wait longer than callers do,
        all work is wasted and callers ask again. A low quantile and not the mean decides, since a
        burst makes some wait and only a standing queue makes all wait.
        """
        if len(self._waits) < MIN_SAMPLES:
            return
        self._waits.sort()
        low = self._waits[int(len(self._waits) * LOW_QUANTILE)]
        self._learn_base(low)
        allowed = self.base_wait * TOLERANCE + TOLERANCE_SECONDS
        if low > allowed:
            self.limit = max(MIN_LIMIT, min(self.limit, self._peak) * max(MAX_CUT, allowed / low))
            self._congested_before = True
        elif self._peak >= BINDING * self.limit:
            growth = GROWTH if self._congested_before else FAST_GROWTH
            self.limit += max(1.0, self.limit * growth)
        self._waits.clear()
        self._peak = self.running
        self._window_until = now + WINDOW_SECONDS

    def _learn_base(self, low: float) -> None:
        if self._base is None or low < self._base:
            self._base = low
            return
        self._base += BASE_DRIFT * (low - self._base)
