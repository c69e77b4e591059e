"""How old the newest proof may grow before an entry reads, derived from the fleet's bounds."""

from dataclasses import dataclass

KEY_PART = 0.5
"""Part of the time in which a revoked key may still open something that reading may use: the rest
is for refusing in time where nothing can be read."""

PROOF_PART = 0.43
"""Part of the shortest bound after which one that reads for its peers proves again. What it finds
is then read, told and asked for within the other part."""

LONELY_PART = 0.65
"""The same for entries that leave the reading to others: proofs of two readers are missing then."""

LONELY_SPREAD_PART = 0.1
"""Part over which such entries begin, so that the proof of the first keeps most from calling."""


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
        return min(self.config_apply, self.drain, self.revoke_after * KEY_PART)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadTimes:
    """Ages of the newest proof at which an entry acts, in seconds.

    Attributes:
        proof: One that reads for its peers proves again.
        lonely: One that does not begins to, at the earliest.
        lonely_spread: Longest time after that at which it does.
    """

    proof: float
    lonely: float
    lonely_spread: float


def read_times(bounds: Bounds) -> ReadTimes:
    """Return the times by which every bound is kept."""
    shortest = bounds.shortest
    return ReadTimes(
        proof=shortest * PROOF_PART,
        lonely=shortest * LONELY_PART,
        lonely_spread=shortest * LONELY_SPREAD_PART,
    )
