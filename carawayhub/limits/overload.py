"""Overload control for one target: how many requests run concurrently, and whose."""

from collections.abc import Callable

from carawayhub.limits.adaptive import AdaptiveLimit
from carawayhub.limits.allotment import Allotment, Key
from carawayhub.limits.latency import LatencyEstimate

UNRESTRICTED_FRACTION = 0.7
OVERSHOOT_FACTOR = 1.5


class TargetController:
    """Decides whether a request to one target may run now.

    Attributes:
        running: Number of running requests.
    """

    __slots__ = ("_allotment", "_latency", "_limit", "_load", "running")

    def __init__(self, load: Callable[[], float | None]) -> None:
        """Initialize the controller of one target.

        Args:
            load: Returns the load of its endpoints relative to their capacity, None if unknown.
        """
        self._load = load
        self.running = 0
        self._allotment = Allotment()
        self._latency = LatencyEstimate()
        self._limit = AdaptiveLimit()

    @property
    def limit(self) -> float:
        """Number of requests that may run concurrently."""
        return self._limit.value

    def record_arrival(self, key: Key, now: float) -> None:
        """Count a request, admitted or not, for the division among priorities."""
        self._allotment.record_arrival(key, now, self.limit)

    def has_room(self, key: Key) -> bool:
        """Return whether a request may run now.

        Well below the limit all requests may. Near it, each priority and organisation is held to
        its allotment; they may exceed the limit slightly while requests of others finish.
        """
        if self.running < self.limit * UNRESTRICTED_FRACTION:
            return True
        if self.running >= self.limit * OVERSHOOT_FACTOR:
            return False
        return self._allotment.has_room(key, self.limit, full=self.running >= self.limit)

    def expected_seconds(self, cost: float, now: float) -> float:
        """Return the expected duration in seconds of a request with the given cost."""
        return self._latency.expected(cost, now)

    def record_start(self, key: Key) -> None:
        """Count a request that was admitted."""
        self.running += 1
        self._limit.record_running(self.running)
        self._allotment.record_start(key)

    def first_byte(self, wait: float, now: float) -> None:
        """Record how long a request waited for the first byte of its answer."""
        self._latency.record_wait(wait, now)
        self._limit.record_first_byte(wait, self.running, now, self._load)

    def record_failure(self, held: float, now: float) -> None:
        """Record a request that ended without a first byte after ``held`` seconds."""
        self._limit.record_failure(held, self.running, now, self._load)

    def record_end(self, key: Key, held: float, streamed: float | None, cost: float) -> None:
        """Count the end of a request.

        Args:
            key: Its priority and organisation.
            held: Seconds since it was admitted.
            streamed: Seconds since its first byte, None if the answer is not complete.
            cost: Its expected work.
        """
        self.running -= 1
        self._allotment.record_end(key, held)
        if streamed is not None:
            self._latency.record_stream(streamed, cost)
