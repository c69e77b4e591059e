"""Ages of the newest proof at which an entry reads the store, derived from the fleet's bounds."""

import math
from dataclasses import dataclass

KEY_BOUND_FRACTION = 0.5
"""Fraction of the bound for revoked keys within which every entry must know of the revocation. The
rest is for refusing requests with keys in time while the store cannot be read."""

PROOF_FRACTION = 0.43
"""Fraction of the shortest bound after which a reader proves again. What a proof finds is read and
forwarded within the rest."""

FALLBACK_FRACTION = 0.65
"""The same fraction for all other entries. By then both readers have missed their turns."""

FALLBACK_SPREAD_FRACTION = 0.1
"""Fraction of the shortest bound over which the fallback reads of those entries are spread, so that
the first proof makes most other calls unnecessary."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Seconds within which published changes must be in force at every entry.

    Attributes:
        config_apply: Until a configuration is in force.
        drain: Until a draining endpoint gets no new requests.
        revoke_after: Until a revoked key is rejected.
        evacuate: Until an evacuated failure domain gets no requests, infinite if not stated.
    """

    config_apply: float
    drain: float
    revoke_after: float
    evacuate: float = math.inf

    @property
    def shortest(self) -> float:
        """Seconds within which every change must have reached every entry."""
        keys = self.revoke_after * KEY_BOUND_FRACTION
        return min(self.config_apply, self.drain, self.evacuate, keys)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTimes:
    """Ages of the newest proof at which an entry acts, in seconds.

    Attributes:
        proof_after: Age at which a reader proves again.
        fallback_after: Lowest age at which any other entry does.
        fallback_spread: Longest random time added to ``fallback_after``.
    """

    proof_after: float
    fallback_after: float
    fallback_spread: float


def read_times(bounds: Bounds) -> ReadTimes:
    """Return the ages that keep every bound."""
    shortest = bounds.shortest
    return ReadTimes(
        proof_after=shortest * PROOF_FRACTION,
        fallback_after=shortest * FALLBACK_FRACTION,
        fallback_spread=shortest * FALLBACK_SPREAD_FRACTION,
    )
