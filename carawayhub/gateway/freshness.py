"""How old the newest proof may grow before an entry reads, derived from the fleet's bounds."""

from dataclasses import dataclass

KEY_BOUND_FRACTION = 0.5
"""Part of the time allowed for a revoked key within which it must be known; the rest is for
refusing keyed requests in time while the store cannot be read."""

PROOF_FRACTION = 0.43
"""Part of the shortest bound after which a reader proves again; what a proof finds is read and
passed on within the rest."""

FALLBACK_FRACTION = 0.65
"""The same for all other entries: by then both readers have missed their turns."""

FALLBACK_SPREAD_FRACTION = 0.1
"""Part over which those entries spread, so that the first one's proof spares most others a call."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Within how many seconds what is published must hold everywhere.

    Attributes:
        config_apply: A configuration is in force.
        drain: An endpoint that leaves gets nothing new.
        revoke_after: A key that was taken away opens nothing.
    """

    config_apply: float
    drain: float
    revoke_after: float

    @property
    def shortest(self) -> float:
        """Seconds in which every change must have reached every entry."""
        return min(self.config_apply, self.drain, self.revoke_after * KEY_BOUND_FRACTION)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTimes:
    """Ages of the newest proof at which an entry acts, in seconds.

    Attributes:
        proof_after: A reader proves again.
        fallback_after: Any other entry does, at the earliest.
        fallback_spread: Random extra for the latter, at the most.
    """

    proof_after: float
    fallback_after: float
    fallback_spread: float


def read_times(bounds: Bounds) -> ReadTimes:
    """Return the times that keep every bound."""
    shortest = bounds.shortest
    return ReadTimes(
        proof_after=shortest * PROOF_FRACTION,
        fallback_after=shortest * FALLBACK_FRACTION,
        fallback_spread=shortest * FALLBACK_SPREAD_FRACTION,
    )
