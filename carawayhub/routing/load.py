"""How many requests an endpoint has now, from a late report and this entry's own dispatches."""

from collections import deque

MAX_EVENTS = 4096
GAIN = 0.2
MIN_OWN = 0.1
MAX_ENTRIES = 16.0


class LoadEstimate:
    """The load of one endpoint in requests.

    Guards against the herd that a late report causes: all entries see the same endpoint idle, all
    send to it, and none sees the other's requests until the next report. What this entry itself
    sent or finished after the report was sampled is added on top, times the number of entries that
    seem to share the endpoint: all see the same reports, so the others have done much the same.

    Attributes:
        own: Requests of this entry that are in flight.
        known: Requests at the endpoint that were reported or are this entry's own.
        value: The same with what the other entries are likely to have sent since; for comparing
            endpoints, not for refusing work.
    """

    __slots__ = (
        "_events",
        "_mean_own",
        "_mean_reported",
        "_reported",
        "_sampled_at",
        "_unseen",
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
        self._unseen = 0.0
        self._events: deque[tuple[float, float]] = deque()

    def reported(self, requests: float, sampled_at: float) -> None:
        """Take the endpoint's own count.

        Args:
            requests: Requests running and queued there.
            sampled_at: Reading of this entry's clock before which the count was not taken; what
                this entry sent later counts as not yet contained.
        """
        if sampled_at < self._sampled_at:
            return
        self._reported = requests
        self._sampled_at = sampled_at
        events = self._events
        while events and events[0][0] <= sampled_at:
            self._unseen -= events.popleft()[1]
        if not events:
            self._unseen = 0.0
        own_then = self.own - self._unseen
        self._mean_own += GAIN * (own_then - self._mean_own)
        self._mean_reported += GAIN * (requests - self._mean_reported)
        self._update()

    def begun(self, cost: float, now: float) -> None:
        """Count a request that was sent."""
        self.own += cost
        self._add(cost, now)

    def ended(self, cost: float, now: float) -> None:
        """Count a request that came to its end."""
        self.own = max(0.0, self.own - cost)
        self._add(-cost, now)

    def _add(self, delta: float, now: float) -> None:
        if len(self._events) >= MAX_EVENTS:
            self._events.popleft()
        self._events.append((now, delta))
        self._unseen += delta
        self._update()

    def _update(self) -> None:
        self.known = max(self.own, self._reported + self._unseen)
        self.value = max(self.own, self._reported + self._unseen * self._entries())

    def _entries(self) -> float:
        """Return how many entries like this one seem to send to the endpoint."""
        ratio = self._mean_reported / max(self._mean_own, MIN_OWN)
        return min(MAX_ENTRIES, max(1.0, ratio))
