"""Expert maps: which expert each weight slot of each rank holds, layer by layer.

Example:
    >>> first = even_map(ranks=2, experts=2, layers=1, spare_slots=1)
    >>> first.layers
    ((0, 1, 1, 0),)
    >>> second = first.with_layers(((0, 0, 1, 0),))
    >>> second.number, changed_slots(first, second), moved_bytes(first, second, expert_bytes=10)
    (2, (Load(rank=0, layer=0, slot=1, expert=0),), 0)
"""

import hashlib
from array import array
from collections.abc import Sequence
from dataclasses import dataclass, field

from carawayhub.codes import Code
from carawayhub.errors import GroupError

DIGEST_LENGTH = 32


@dataclass(frozen=True, slots=True, order=True)
class MapId:
    """Identifies a map; maps with different content have different ids.

    Attributes:
        number: Increases by one with each change of a group's map.
        digest: Hash of the number and the content, as lower-case hex.
    """

    number: int
    digest: str

    def __str__(self) -> str:
        return f"{self.number}:{self.digest[:8]}"


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpertMap:
    """The experts in each weight slot of one group.

    Attributes:
        number: Increases by one with each change.
        ranks: Number of ranks in the group.
        layers: The expert in each slot, by layer and rank: slot ``i`` of rank ``r`` is
            at ``r * slots + i``. All layers have ``ranks * slots`` slots.
        digest: Hash of the other attributes; computed on creation.
    """

    number: int
    ranks: int
    layers: tuple[tuple[int, ...], ...]
    digest: str = field(init=False, compare=False, default="")

    def __post_init__(self) -> None:
        object.__setattr__(self, "digest", _digest(self))

    @property
    def id(self) -> MapId:
        """The number and digest."""
        return MapId(self.number, self.digest)

    @property
    def slots(self) -> int:
        """Slots per rank in one layer."""
        return len(self.layers[0]) // self.ranks if self.layers else 0

    def held(self, rank: int, layer: int) -> tuple[int, ...]:
        """Return the experts in the slots of ``rank`` in ``layer``; may contain duplicates."""
        slots = self.slots
        return self.layers[layer][rank * slots : (rank + 1) * slots]

    def replicas(self, layer: int, expert: int) -> tuple[int, ...]:
        """Return the distinct ranks that hold ``expert`` in ``layer``, in ascending order."""
        slots = self.slots
        row = self.layers[layer]
        return tuple(sorted({at // slots for at, held in enumerate(row) if held == expert}))

    def with_layers(self, layers: Sequence[Sequence[int]]) -> "ExpertMap":
        """Return the successor of this map, with the next number and ``layers``."""
        rows = tuple(tuple(row) for row in layers)
        return ExpertMap(number=self.number + 1, ranks=self.ranks, layers=rows)


@dataclass(frozen=True, slots=True, order=True)
class Load:
    """One slot whose expert changes.

    Attributes:
        rank: Rank whose slot it is.
        layer: Layer of the slot.
        slot: Slot of the rank in that layer, from 0.
        expert: New expert of the slot.
    """

    rank: int
    layer: int
    slot: int
    expert: int


def even_map(*, ranks: int, experts: int, layers: int, spare_slots: int) -> ExpertMap:
    """Return the first map of a group: experts spread evenly, spare slots filled in order.

    Args:
        ranks: Number of ranks in the group.
        experts: Number of experts per layer.
        layers: Number of layers with experts.
        spare_slots: Slots per rank and layer beyond an even share of the experts.

    Raises:
        GroupError: With ``MAP_INVALID`` if a size is out of range.
    """
    if min(ranks, experts, layers) < 1 or spare_slots < 0:
        raise GroupError(
            Code.MAP_INVALID,
            "ranks, experts and layers must be at least 1, spare_slots at least 0",
        )
    base = -(-experts // ranks)
    row: list[int] = []
    for rank in range(ranks):
        own = [rank * base + i for i in range(base)]
        spare = [(rank + 1) * base + i for i in range(spare_slots)]
        row.extend(expert % experts for expert in own + spare)
    return ExpertMap(number=1, ranks=ranks, layers=(tuple(row),) * layers)


def check_map(new: ExpertMap, *, ranks: int, experts: int, layers: int, slots: int) -> None:
    """Check that ``new`` matches the sizes of a group and places every expert.

    Args:
        new: The map to check.
        ranks: Number of ranks in the group.
        experts: Number of experts per layer.
        layers: Number of layers with experts.
        slots: Slots per rank in one layer.

    Raises:
        GroupError: With ``MAP_INVALID``, naming the first invalid layer.
    """
    if new.ranks != ranks or len(new.layers) != layers:
        raise GroupError(
            Code.MAP_INVALID,
            f"map has {new.ranks} ranks, {len(new.layers)} layers; expected {ranks} and {layers}",
        )
    expected_experts = set(range(experts))
    for layer, row in enumerate(new.layers):
        if len(row) != ranks * slots:
            raise GroupError(
                Code.MAP_INVALID, f"layer {layer} has the wrong number of slots: {len(row)}"
            )
        if set(row) != expected_experts:
            wrong_experts = sorted(expected_experts ^ set(row))
            raise GroupError(
                Code.MAP_INVALID, f"layer {layer}: experts {wrong_experts[:8]} missing or unknown"
            )


def changed_slots(old: ExpertMap, new: ExpertMap) -> tuple[Load, ...]:
    """Return every slot whose expert differs, ordered by rank, layer and slot."""
    slots = new.slots
    changed = []
    for layer, (before, after) in enumerate(zip(old.layers, new.layers, strict=True)):
        if before is after or before == after:
            continue
        for at, (left, right) in enumerate(zip(before, after, strict=True)):
            if left != right:
                changed.append(Load(at // slots, layer, at % slots, right))
    return tuple(sorted(changed))


def fetches(old: ExpertMap, new: ExpertMap) -> tuple[Load, ...]:
    """Return the changed slots whose rank does not yet hold the expert in that layer.

    An expert assigned to two slots of a rank in one layer is fetched once.
    """
    needed: dict[tuple[int, int, int], Load] = {}
    for load in changed_slots(old, new):
        if load.expert not in old.held(load.rank, load.layer):
            needed.setdefault((load.rank, load.layer, load.expert), load)
    return tuple(needed.values())


def moved_bytes(old: ExpertMap, new: ExpertMap, *, expert_bytes: int) -> int:
    """Return the bytes that the weight store must deliver to change ``old`` to ``new``."""
    return len(fetches(old, new)) * expert_bytes


def _digest(item: ExpertMap) -> str:
    hasher = hashlib.sha256(f"{item.number} {item.ranks} {len(item.layers)}".encode())
    for row in item.layers:
        hasher.update(b"/")
        hasher.update(array("q", row).tobytes())
    return hasher.hexdigest()[:DIGEST_LENGTH]
