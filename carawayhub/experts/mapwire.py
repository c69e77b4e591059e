"""How a map is told to another agent: by what differs from one that both know.

A whole map of 64 ranks with 12 layer sets of 256 experts is 2.4 KB compressed; told to 63 agents at
one moment it fills a link of 3 Mbit/s for 0.4 s. The 275 to 384 copies of a usual change take 0.8
KB: 64 agents behind such links are told in 0.23 s, paced, where whole maps took 0.56 s, or 0.88 s
with answers that came too late (``tests/test_experts_large.py``, virtual time).
"""

from collections.abc import Iterable

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.experts.model import Placement, Prepare, initial_placement

MAX_CELLS = 1_000_000
"""Experts over all layer sets and ranks of a map that is taken in: thirty times those of a group of
64. A datagram that names more comes from no agent, and its map would fill the memory of the VM."""

MAPS_KEPT = 4
"""Maps that an agent remembers to tell a difference from: the one in force and those that were
prepared since, of which some were given up."""


class Cells(msgspec.Struct, array_like=True):
    """Experts at ranks, as columns of equal length: these compress to half of what rows do."""

    layers: list[int]
    ranks: list[int]
    experts: list[int]


class MapChange(msgspec.Struct, array_like=True):
    """A map to prepare, told by what differs from another.

    Attributes:
        version: Version of the map.
        base: Version of the map that it differs from; a version never names two maps, and 0 is the
            map of each new formation.
        layers: Layer sets of both maps.
        experts: Experts of each set.
        ranks: Ranks of the group.
        coming: Experts that ranks get.
        going: Experts that ranks give up.
    """

    version: int
    base: int
    layers: int
    experts: int
    ranks: int
    coming: Cells
    going: Cells


class MapEncoder:
    """Encodes orders to prepare a map, once for all ranks that are told.

    Attributes:
        in_force: The map in force, None while it is not known.
    """

    __slots__ = ("_change", "_order", "_full_map", "in_force")

    def __init__(self) -> None:
        self.in_force: Prepare | None = None
        self._order: Prepare | None = None
        self._change: bytes | None = None
        self._full_map = b""

    def encode_change(self, order: Prepare) -> bytes | None:
        """Return an order as the difference from the map in force, None while that is unknown."""
        self._encode(order)
        return self._change

    def encode_full(self, order: Prepare) -> bytes:
        """Return an order with its whole map."""
        self._encode(order)
        return self._full_map

    def _encode(self, order: Prepare) -> None:
        if order is self._order:
            return
        self._order = order
        self._full_map = msgspec.msgpack.encode(order)
        self._change = None
        if self.in_force is not None:
            self._change = msgspec.msgpack.encode(map_change(self.in_force, order))


class KnownMaps:
    """The maps that an agent was told, to find the one that a difference is told from."""

    __slots__ = ("_by_version",)

    def __init__(self) -> None:
        self._by_version: dict[int, Prepare] = {}

    def add(self, order: Prepare) -> None:
        """Remember a map that was told."""
        self._by_version[order.version] = order
        while len(self._by_version) > MAPS_KEPT:
            del self._by_version[min(self._by_version)]

    def apply(self, change: MapChange) -> Prepare:
        """Return the order that a difference stands for.

        Raises:
            GroupError: RANK_MALFORMED where it cannot be applied, or differs from a map that is not
                known here, as after a restart of this agent; the giver then tells the whole map.
        """
        base = self._base(change)
        layers = [[set(held) for held in layer] for layer in base]
        try:
            for layer, rank, expert in _rows(change.going):
                layers[layer][rank].discard(expert)
            for layer, rank, expert in _rows(change.coming):
                layers[layer][rank].add(expert)
        except (IndexError, ValueError) as exc:
            raise GroupError(Code.RANK_MALFORMED, f"the change cannot be applied: {exc}") from exc
        return Prepare(
            change.version, tuple(tuple(tuple(sorted(held)) for held in layer) for layer in layers)
        )

    def _base(self, change: MapChange) -> Placement:
        if change.base == 0:
            if not 0 < change.layers * max(change.experts, change.ranks) <= MAX_CELLS:
                raise GroupError(Code.RANK_MALFORMED, "the change names a map of no such size")
            return initial_placement(change.layers, change.experts, change.ranks)
        known = self._by_version.get(change.base)
        if known is None:
            raise GroupError(Code.RANK_MALFORMED, f"map {change.base} is not known here")
        return known.placement


def map_change(base: Prepare, order: Prepare) -> MapChange:
    """Return an order to prepare a map as what differs from ``base``."""
    coming: list[tuple[int, int, int]] = []
    going: list[tuple[int, int, int]] = []
    for layer, (before, after) in enumerate(zip(base.placement, order.placement, strict=True)):
        for rank, (early, late) in enumerate(zip(before, after, strict=True)):
            coming += [(layer, rank, each) for each in sorted(set(late) - set(early))]
            going += [(layer, rank, each) for each in sorted(set(early) - set(late))]
    experts = 1 + max(expert for held in base.placement[0] for expert in held)
    return MapChange(
        order.version,
        base.version,
        len(base.placement),
        experts,
        len(base.placement[0]),
        _columns(coming),
        _columns(going),
    )


def _columns(rows: Iterable[tuple[int, int, int]]) -> Cells:
    layers, ranks, experts = [list(column) for column in zip(*rows, strict=True)] or [[], [], []]
    return Cells(layers, ranks, experts)


def _rows(cells: Cells) -> Iterable[tuple[int, int, int]]:
    """Return the rows of three columns.

    Raises:
        ValueError: The columns differ in length or a position is negative.
    """
    rows = list(zip(cells.layers, cells.ranks, cells.experts, strict=True))
    if any(min(row) < 0 for row in rows):
        raise ValueError("a position is negative")
    return rows
