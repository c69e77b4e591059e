"""One entry's share of one limit of one organisation."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from carawayhub.limits.fill import water_fill

FRESH_TICKS = 3
SILENCE_DETECTION_TICKS = FRESH_TICKS + 2


@dataclass(slots=True)
class PeerShare:
    """Another entry's announced share of a limit.

    Attributes:
        wanted: Demand of its callers.
        claimed: Amount that it claims.
        fresh: Whether an announcement was received within the last few ticks.
        settled: Whether it has been silent for so long that an even share is assumed.
    """

    wanted: float
    claimed: float
    fresh: bool
    settled: bool


class Split:
    """Divides one limit by claims that each entry announces.

    Each entry may use what it claims. All entries compute the same division of the limit from the
    demand and claims last received. An entry above its target lowers its claim at once; an entry
    below raises its claim only from what no entry claims, in proportion with the others that are
    below. Demand counts from the tick after its announcement, when the others have received it.

    In a network partition both sides keep running and neither receives the other's messages. What
    a silent entry last claimed, and at least an even share, stays reserved; each side therefore
    claims only what the other side would not claim as well, and the claims of all sides together
    stay within the limit. After the reservation time all fall back to even shares by the number of
    entries.

    A partition is detected only some ticks after it began, and the other side does not know of
    claims that were raised in between. Such increases are undone when an entry falls silent, so the
    sum exceeds the limit for those few ticks at most, and by no more than what was free before.

    Attributes:
        total: The limit that is divided.
        claimed: What this entry claims.
        announced: The demand that was announced to the others.
    """

    __slots__ = ("_recent", "_silent", "announced", "claimed", "total")

    def __init__(self, total: float) -> None:
        self.total = total
        self.claimed = 0.0
        self.announced = 0.0
        self._recent: deque[float] = deque([0.0], maxlen=SILENCE_DETECTION_TICKS)
        self._silent: frozenset[str] = frozenset()

    def tick(self, peers: Mapping[str, PeerShare], wanted: float, in_use: float) -> None:
        """Move the claim towards this entry's target.

        Args:
            peers: Every other entry that shares the limit.
            wanted: Present demand of this entry's callers.
            in_use: Amount that cannot be released now, such as requests in flight.
        """
        fresh = {name: peer for name, peer in peers.items() if peer.fresh}
        self._undo_unseen_increases(frozenset(peers) - frozenset(fresh))
        silent = [peer for peer in peers.values() if not peer.fresh]
        targets = self._targets(fresh, silent, len(peers) + 1)
        target = max(targets[None], in_use)
        if target <= self.claimed:
            self.claimed = target
        else:
            self.claimed += self._claim_increase(fresh, silent, targets, len(peers) + 1)
        self._recent.append(self.claimed)
        self.announced = wanted

    def _undo_unseen_increases(self, silent: frozenset[str]) -> None:
        """Undo increases that an entry may not have received before it fell silent."""
        if silent - self._silent:
            self.claimed = min(self.claimed, *self._recent)
        self._silent = silent

    def _targets(
        self, fresh: Mapping[str, PeerShare], silent: Iterable[PeerShare], members: int
    ) -> dict[str | None, float]:
        """Divide what silent entries leave available; the key None stands for this entry."""
        even = self.total / members
        held = sum(even if peer.settled else peer.claimed for peer in silent)
        reserved = sum(_reserved(peer, even) for peer in silent)
        present = self.claimed + sum(peer.claimed for peer in fresh.values())
        available = max(0.0, min(self.total - held, max(present, self.total - reserved)))
        wanted: dict[str | None, float] = {name: peer.wanted for name, peer in fresh.items()}
        wanted[None] = self.announced
        parts = water_fill(available, wanted)
        spare = (available - sum(parts.values())) / len(parts)
        return {name: part + spare for name, part in parts.items()}

    def _claim_increase(
        self,
        fresh: Mapping[str, PeerShare],
        silent: Iterable[PeerShare],
        targets: Mapping[str | None, float],
        members: int,
    ) -> float:
        """Return the amount by which the claim may be raised now."""
        even = self.total / members
        free = self.total - self.claimed - sum(peer.claimed for peer in fresh.values())
        free -= sum(_reserved(peer, even) for peer in silent)
        missing = targets[None] - self.claimed
        if free <= 0.0 or missing <= 0.0:
            return 0.0
        others = sum(max(0.0, targets[name] - peer.claimed) for name, peer in fresh.items())
        return min(missing, free * missing / (missing + others))


def _reserved(peer: PeerShare, even: float) -> float:
    return even if peer.settled else max(peer.claimed, even)
