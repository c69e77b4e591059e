"""Retention, quarantine and lease times of idempotency keys."""

from dataclasses import dataclass

RATE_BOUND = 1.03
"""Each clock rate is within 1% of true time; two clocks differ by less than this factor."""

LATE_ARRIVAL = 45.0
"""Default of ``KeyTiming.late_arrival``: 30 s that an entry leaves an idle connection open, 10 s
for which the stamp of a request is valid, and 5 s of pause that an entry does not detect."""

LEASE_SHARE = 0.5
RENEWALS = 3


@dataclass(slots=True, frozen=True, kw_only=True)
class KeyTiming:
    """Times of idempotency keys, derived from the ``key_ttl`` that callers rely on.

    Attributes:
        late_arrival: Seconds that a request may spend between its caller and the agent.
        lease_share: Fraction of ``key_ttl`` for which a peer's confirmation is valid.
    """

    late_arrival: float = LATE_ARRIVAL
    lease_share: float = LEASE_SHARE

    def retention(self, key_ttl: float) -> float:
        """Return how long the record of a key is kept, in seconds of this agent's clock."""
        return (key_ttl + self.late_arrival) * RATE_BOUND

    def lease(self, key_ttl: float) -> float:
        """Return how long new keys may start after a majority last confirmed this agent."""
        return key_ttl * self.lease_share

    def renewal(self, key_ttl: float) -> float:
        """Return the time between two rounds of requests while the agent is established."""
        return self.lease(key_ttl) / RENEWALS

    def gone_quarantine(self, key_ttl: float, retention: float) -> float:
        """Return the quarantine of the keys of a member that is only presumed gone.

        Its peers no longer confirm it, so it starts no key once its lease has expired; from then on
        its last keys expire like any others.
        """
        return (self.lease(key_ttl) + retention) * RATE_BOUND
