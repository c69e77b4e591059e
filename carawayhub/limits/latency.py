"""Estimates how long a request to one target takes."""

GAIN = 0.1
STALE_AFTER_SECONDS = 1.0


class LatencyEstimate:
    """Moving averages of the wait for the first byte and of the time per unit of work after it."""

    __slots__ = ("_cost", "_per_cost", "_wait", "_waited_at")

    def __init__(self) -> None:
        self._wait = 0.0
        self._per_cost = 0.0
        self._cost = 0.0
        self._waited_at = 0.0

    def record_wait(self, seconds: float, now: float) -> None:
        """Record one wait for a first byte."""
        self._wait = seconds if self._wait <= 0.0 else self._wait + GAIN * (seconds - self._wait)
        self._waited_at = now

    def record_stream(self, seconds: float, cost: float) -> None:
        """Record the time from the first byte to the end of a request with the given cost."""
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
        """Return the expected duration in seconds of a request with the given cost.

        A cost above the mean counts as the mean: callers specify an upper bound, such as the
        maximum number of tokens, and few answers reach a high one. Rejecting by the bound itself
        would permanently reject callers with a generous one.

        Without samples the estimate halves every second. Otherwise requests could be rejected
        forever: if all are rejected because the wait was once long, no new wait is measured.
        """
        idle = now - self._waited_at - STALE_AFTER_SECONDS
        factor = 0.5**idle if idle > 0.0 else 1.0
        return (self._wait + self._per_cost * min(cost, self._cost)) * factor
