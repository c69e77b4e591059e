"""How long keys are remembered, distrusted and confirmed."""

from dataclasses import dataclass

RATE_BOUND = 1.03
"""Each clock runs within 1% of true time; two of them differ by less than this factor."""

LATE_ARRIVAL = 45.0
"""Default of ``KeyTiming.late_arrival``: 30 s that an entry leaves an idle connection open, 10 s
for which the stamp of a request is good, and 5 s of pause that an entry does not notice."""

LEASE_SHARE = 0.5
RENEWALS = 3


@dataclass(slots=True, frozen=True, kw_only=True)
class KeyTiming:
    """Times of idempotency keys, worked out from the ``key_ttl`` that is promised to callers.

    Attributes:
        late_arrival: Seconds that a request may spend between its caller and the agent.
        lease_share: Part of a key's life for which a peer's confirmation is good.
    """

    late_arrival: float = LATE_ARRIVAL
    lease_share: float = LEASE_SHARE

    def retention(self, key_ttl: float) -> float:
        """Return for how long a key is remembered, in seconds of this agent's clock."""
        return (key_ttl + self.late_arrival) * RATE_BOUND

    def lease(self, key_ttl: float) -> float:
        """Return for how long new keys are run after a majority last confirmed this agent."""
        return key_ttl * self.lease_share

    def renewal(self, key_ttl: float) -> float:
        """Return the time between two rounds of requests while the agent is established."""
        return self.lease(key_ttl) / RENEWALS

    def gone_quarantine(self, key_ttl: float, retention: float) -> float:
        """Return how long the keys of a member that is only presumed gone are distrusted.

        Its peers confirm it no more, so it begins no key once its lease is over; from then on its
        last keys expire as any others do.
        """
        return (self.lease(key_ttl) + retention) * RATE_BOUND
