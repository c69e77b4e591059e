"""Estimates how long a request to one target takes."""

GAIN = 0.1
STALE_AFTER_SECONDS = 1.0


class LatencyEstimate:
    """Moving averages of the wait for the first byte and of the time per unit of work after it."""

    __slots__ = ("_mean_cost", "_mean_wait", "_seconds_per_cost", "_waited_at")

    def __init__(self) -> None:
        self._mean_wait = 0.0
        self._seconds_per_cost = 0.0
        self._mean_cost = 0.0
        self._waited_at = 0.0

    def record_wait(self, seconds: float, now: float) -> None:
        """Record one wait for a first byte."""
        self._mean_wait = (
            seconds
            if self._mean_wait <= 0.0
            else self._mean_wait + GAIN * (seconds - self._mean_wait)
        )
        self._waited_at = now

    def record_stream(self, seconds: float, cost: float) -> None:
        """Record the time from the first byte to the end of a request with the given cost."""
        if cost <= 0.0:
            return
        sample = seconds / cost
        if self._mean_cost <= 0.0:
            self._seconds_per_cost = sample
            self._mean_cost = cost
            return
        self._seconds_per_cost += GAIN * (sample - self._seconds_per_cost)
        self._mean_cost += GAIN * (cost - self._mean_cost)

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
        return (self._mean_wait + self._seconds_per_cost * min(cost, self._mean_cost)) * factor
