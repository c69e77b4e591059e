"""How long a request to one target is likely to take."""

GAIN = 0.1
STALE_AFTER_SECONDS = 1.0


class LatencyEstimate:
    """Means of the wait for the first byte and of the time for each unit of work after it."""

    __slots__ = ("_cost", "_per_cost", "_wait", "_waited_at")

    def __init__(self) -> None:
        self._wait = 0.0
        self._per_cost = 0.0
        self._cost = 0.0
        self._waited_at = 0.0

    def record_wait(self, seconds: float, now: float) -> None:
        """Take one wait for a first byte."""
        self._wait = seconds if self._wait <= 0.0 else self._wait + GAIN * (seconds - self._wait)
        self._waited_at = now

    def record_stream(self, seconds: float, cost: float) -> None:
        """Take the time from first byte to end of a request of ``cost``."""
        if cost <= 0.0:
            return
        sample = seconds / cost
        if self._cost <= 0.0:
            self._per_cost = sample
            self._cost = cost
            return
        self._per_cost += GAIN * (sample - self._per_cost)
        self._cost += GAIN * (cost - self._cost)

    def expected(self, cost: float, now: float) -> float:
        """Return the seconds that a request of ``cost`` is likely to take.

        More than the usual cost is taken for the usual: what callers name is a bound, such as the
        most tokens wanted, and few answers reach a high one. Refusing by it would refuse callers
        with a generous bound for ever.

        Guards against refusing for ever: where every request is refused because the wait was once
        long, no new wait is seen. Without samples the estimate halves with each second.
        """
        idle = now - self._waited_at - STALE_AFTER_SECONDS
        factor = 0.5**idle if idle > 0.0 else 1.0
        return (self._wait + self._per_cost * min(cost, self._cost)) * factor
