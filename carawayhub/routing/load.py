"""Estimates an endpoint's current load from delayed reports and this entry's own requests."""

from collections import deque

MAX_EVENTS = 4096
GAIN = 0.2
MIN_MEAN_OWN = 0.1
MAX_ENTRIES = 16.0


class LoadEstimate:
    """Estimated load of one endpoint, in requests.

    Delayed reports cause a thundering herd: all entries see the same idle endpoint and send to it,
    and none sees the others' requests until the next report. To prevent this, the requests that
    this entry sent or finished since the report was sampled are multiplied by the estimated number
    of entries that use the endpoint. Other entries receive the same reports and are likely to act
    alike.

    Attributes:
        own: This entry's requests in flight.
        known: Requests at the endpoint, from the last report and this entry's own requests since.
        value: ``known`` plus the requests that other entries are likely to have sent since. Used
            to compare endpoints, not to reject requests.
    """

    __slots__ = (
        "_events",
        "_mean_own",
        "_mean_reported",
        "_reported",
        "_sampled_at",
        "_unreported",
        "known",
        "own",
        "value",
    )

    def __init__(self) -> None:
        self.own = 0.0
        self.known = 0.0
        self.value = 0.0
        self._mean_own = 0.0
        self._mean_reported = 0.0
        self._reported = 0.0
        self._sampled_at = 0.0
        self._unreported = 0.0
        self._events: deque[tuple[float, float]] = deque()

    def record_report(self, requests: float, sampled_at: float) -> None:
        """Process the request count that the endpoint reports.

        Args:
            requests: Requests running and queued at the endpoint.
            sampled_at: Earliest time, on this entry's clock, at which the count was sampled.
                Requests sent later are treated as not included in it.
        """
        if sampled_at < self._sampled_at:
            return
        self._reported = requests
        self._sampled_at = sampled_at
        events = self._events
        while events and events[0][0] <= sampled_at:
            self._unreported -= events.popleft()[1]
        if not events:
            self._unreported = 0.0
        own_at_sample = self.own - self._unreported
        self._mean_own += GAIN * (own_at_sample - self._mean_own)
        self._mean_reported += GAIN * (requests - self._mean_reported)
        self._update()

    def record_start(self, cost: float, now: float) -> None:
        """Record a request that was sent."""
        self.own += cost
        self._add(cost, now)

    def record_end(self, cost: float, now: float) -> None:
        """Record a request that ended."""
        self.own = max(0.0, self.own - cost)
        self._add(-cost, now)

    def _add(self, delta: float, now: float) -> None:
        if len(self._events) >= MAX_EVENTS:
            self._events.popleft()
        self._events.append((now, delta))
        self._unreported += delta
        self._update()

    def _update(self) -> None:
        self.known = max(self.own, self._reported + self._unreported)
        self.value = max(self.own, self._reported + self._unreported * self._estimated_entries())

    def _estimated_entries(self) -> float:
        """Return the estimated number of entries that use the endpoint.

        It assumes that they send as much to it as this one.
        """
        ratio = self._mean_reported / max(self._mean_own, MIN_MEAN_OWN)
        return min(MAX_ENTRIES, max(1.0, ratio))
