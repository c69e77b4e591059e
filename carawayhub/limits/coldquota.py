"""Divides the bound on the requests to a cold replica among all entries.

Handles many replicas that start at once while callers send more than these accept. Entries learn of
each other's requests late, and not at all while they are cut off from each other, so a bound that
may never be exceeded can't rest on counts that they exchange. It is divided into units of one
request instead, and each entry computes its own units from the set of all entries alone: entries
are ranked by a hash for each replica, and the units are dealt out in this order. No messages are
needed, and a lost one changes nothing.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping
from enum import Enum

from loguru import logger

from carawayhub.clock import Clock

STARTING_SECONDS = 20.0
"""Time since its start within which an entry may know too few others: it may have started in a
part of the network that is cut off. Entries that fell silent are assumed to run for the same time
(``MISSING_TTL_SECONDS``)."""

STARTING_PART = 0.01
"""Part of the rate that an entry uses within this time."""

UNKNOWN_PART = 0.005
"""Part of the rate that an entry uses while it knows too few others. After a power failure all
entries and replicas start at once; entries that sent nothing until they knew each other refused 107
callers of four seconds. A hundred entries that all use their part keep within the bound."""

MEMBER_SECONDS = 86_400.0
"""Time for which an entry that fell silent keeps its units: it may be cut off from this entry and
still reach the replicas. A partition that lasts longer is expected to have been repaired."""

LEFT_SECONDS = 5.0
"""Time for which an entry that announced its leaving keeps its units after its last datagram."""

ORDERS = 256
"""Number of orders in which entries are ranked. Replicas that share one have the same entries; with
an order for each of 5,400 replicas, a start of all would take 780 entries over a second of CPU."""

HASH_RANGE = 2**32


class Stage(Enum):
    """How much an entry knows of the others."""

    UNKNOWN = "too few others known"
    STARTING = "others known, started recently"
    MEMBER = "all others known"


class ColdQuotas:
    """Computes the units of one entry.

    Args:
        clock: Source of time; it must count suspensions.
        own: Name of this entry.
        seeds: Names of entries that may be running.
        peers: Returns the other entries that are known to run, and whether each is leaving.
        is_settled: Returns whether no further entries are about to be discovered.

    Attributes:
        version: Number that changes whenever units may have changed.
    """

    __slots__ = (
        "_clock",
        "_is_settled",
        "_members",
        "_names",
        "_own",
        "_peers",
        "_ranks",
        "_seeds",
        "_stage",
        "_started_at",
        "version",
    )

    def __init__(
        self,
        clock: Clock,
        own: str,
        seeds: Iterable[str],
        peers: Callable[[], Mapping[str, bool]],
        is_settled: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._own = own.encode()
        self._seeds = frozenset(seeds) - {own}
        self._peers = peers
        self._is_settled = is_settled
        self._members: dict[str, float] = {}
        self._names = frozenset(each.encode() for each in self._seeds)
        self._started_at = clock.monotonic()
        self._stage = Stage.UNKNOWN
        self._ranks: dict[int, int] = {}
        self.version = 0

    def update(self) -> None:
        """Update the set of all entries."""
        now = self._clock.monotonic()
        for name, leaving in self._peers().items():
            self._members[name] = now + (LEFT_SECONDS if leaving else MEMBER_SECONDS)
        for name in [each for each, until in self._members.items() if until <= now]:
            del self._members[name]
        names = frozenset(each.encode() for each in self._seeds | self._members.keys())
        stage = self._next_stage(now)
        if names != self._names:
            self._names = names
            self._ranks.clear()
            self.version += 1
        if stage is not self._stage:
            logger.bind(before=self._stage.value, now=stage.value, entries=len(names) + 1).info(
                "units for cold replicas changed"
            )
            self._stage = stage
            self.version += 1

    def _next_stage(self, now: float) -> Stage:
        """Return the stage.

        An entry with seeds that never knew another one can't know of the rest. One without seeds
        may be the only one, or the seed of others, which contact it within seconds.
        """
        if not self._members and self._seeds:
            return Stage.UNKNOWN
        if now >= self._started_at + STARTING_SECONDS:
            return Stage.MEMBER
        if self._members and not self._is_settled():
            return Stage.UNKNOWN
        return Stage.STARTING

    def quota(self, key: int, units: int) -> int:
        """Return how many of the units at a cold replica belong to this entry.

        The first call for an order takes time in proportion to the number of entries; see
        ``is_ranked``. The result holds for one ``version``.

        Args:
            key: Identifies one lifetime of the replica.
            units: Requests that all entries together may send in one window.
        """
        if self._stage is Stage.UNKNOWN:
            return int(self._is_drawn(key % ORDERS, units * UNKNOWN_PART))
        entries = len(self._names) + 1
        order = key % ORDERS
        rank = self._ranks.get(order)
        if rank is None:
            rank = self._ranks[order] = self._rank(order)
        quota = units // entries + (rank < units % entries)
        if self._stage is Stage.MEMBER:
            return quota
        return min(quota, int(self._is_drawn(order, units * STARTING_PART)))

    def _is_drawn(self, order: int, part: float) -> bool:
        """Return whether this entry is among a part of all entries, drawn for each order."""
        return _position(order, self._own) < part * HASH_RANGE

    def is_ranked(self, key: int) -> bool:
        """Return whether the order for a replica is known."""
        return self._stage is Stage.UNKNOWN or key % ORDERS in self._ranks

    def _rank(self, order: int) -> int:
        own = (_position(order, self._own), self._own)
        return sum((_position(order, each), each) < own for each in self._names)


def _position(order: int, name: bytes) -> int:
    """Return the position of an entry in an order, as an evenly distributed number.

    CRC-32 is linear: with the number of the order as its initial value, many orders would be alike.
    The multiplications and shifts mix its bits.
    """
    mixed = zlib.crc32(name) ^ order * 0x9E3779B1 % HASH_RANGE
    mixed = (mixed ^ mixed >> 16) * 0x7FEB352D % HASH_RANGE
    mixed = (mixed ^ mixed >> 15) * 0x846CA68B % HASH_RANGE
    return mixed ^ mixed >> 16
