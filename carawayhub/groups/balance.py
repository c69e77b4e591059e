"""Local search that lowers the load of the busiest rank in one layer.

Loads and skew are defined in :mod:`carawayhub.groups.loads`. A step is scored by how much it lowers
a high-order norm of the rank loads per expert that must be fetched.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from carawayhub.groups.loads import LayerPlacement, rank_loads

LEAST_LOADED_RANKS = 8
SHIFT_RANKS = 6
COLD_EXPERTS = 4
NO_FETCH_COST = 0.25  # relative to a step that fetches an expert
MIN_GAIN = 1e-9


@dataclass(frozen=True, slots=True)
class Assign:
    """Put ``expert`` into ``slot``, whose previous expert keeps a replica elsewhere."""

    slot: int
    expert: int


@dataclass(frozen=True, slots=True)
class Swap:
    """Exchange the experts in the slots ``left`` and ``right`` of two ranks."""

    left: int
    right: int


@dataclass(frozen=True, slots=True)
class Shift:
    """Put ``expert`` into ``slot``, and the previous expert of ``slot`` into ``to_slot``."""

    slot: int
    expert: int
    to_slot: int


Step = Assign | Swap | Shift


class LayerBalance:
    """The placement of one layer, improved one step at a time.

    Args:
        row: Expert in each slot, rank by rank.
        shares: Share of each expert; they add up to one.
        ranks: Ranks of the group.
    """

    __slots__ = (
        "_changed",
        "_holders",
        "_loads",
        "_origin",
        "_expert_loads",
        "_ranks",
        "_row",
        "_slots",
    )

    def __init__(self, row: tuple[int, ...], shares: Sequence[float], ranks: int) -> None:
        self._ranks = ranks
        self._slots = len(row) // ranks
        self._row = list(row)
        self._changed: set[int] = set()
        self._expert_loads = [share * ranks for share in shares]
        self._loads = rank_loads(row, shares, ranks)
        self._origin = [
            frozenset(row[rank * self._slots : (rank + 1) * self._slots]) for rank in range(ranks)
        ]
        self._holders: list[set[int]] = [set() for _ in shares]
        for slot, expert in enumerate(row):
            self._holders[expert].add(slot // self._slots)

    def placement(self) -> LayerPlacement:
        """Return the current placement."""
        busiest = max(range(self._ranks), key=self._loads.__getitem__)
        return LayerPlacement(tuple(self._row), self._loads[busiest], self._fetches(), busiest)

    def improve(self, limit: int, *, shifts: int = 0) -> Iterator[LayerPlacement]:
        """Apply up to ``limit`` steps and yield the placement after each.

        Args:
            limit: Maximum number of steps.
            shifts: How often to search for a shift, which is slow, when no simpler step helps.
        """
        for _ in range(limit):
            step = self.best_step()
            if step is None and shifts > 0:
                shifts -= 1
                step = self.best_shift()
            if step is None:
                return
            self.apply(step)
            yield self.placement()

    def best_step(self) -> Step | None:
        """Return the step with the largest gain per expert fetched, or None."""
        by_load = sorted(range(self._ranks), key=self._loads.__getitem__)
        hot_rank = by_load[-1]
        best = _BestStep()
        replica_effects = [
            self._replica_effect(expert) for expert in set(self._rank_experts(hot_rank))
        ]
        for cold_rank in by_load[: min(LEAST_LOADED_RANKS, self._ranks - 1)]:
            self._try_replicas(cold_rank, replica_effects, best)
            self._try_swaps(hot_rank, cold_rank, best)
        self._try_displacements(hot_rank, best)
        return best.step

    def best_shift(self) -> Step | None:
        """Return the shift with the largest gain, or None.

        A shift helps when the least loaded ranks have no spare slot, and the ranks with spare slots
        are too loaded for a hot expert but can take a light one.
        """
        by_load = sorted(range(self._ranks), key=self._loads.__getitem__)
        replica_effects = [
            self._replica_effect(expert) for expert in set(self._rank_experts(by_load[-1]))
        ]
        spare_slots = [
            spare_slot
            for rank in by_load[:LEAST_LOADED_RANKS]
            for spare_slot in self._spare_slots(rank)
        ]
        best = _BestStep()
        for rank in by_load[:SHIFT_RANKS]:
            held = self._rank_experts(rank)
            for index, old in enumerate(held):
                if not self._is_spare(old, held):
                    self._try_shifts(rank * self._slots + index, replica_effects, spare_slots, best)
        return best.step

    def apply(self, step: Step) -> None:
        """Apply ``step`` to the placement."""
        match step:
            case Assign(slot, expert):
                self._update_loads(self._loads_after_assign(slot, expert))
                self._set_slot(slot, expert)
            case Swap(left, right):
                self._update_loads(self._loads_after_swap(left, right))
                left_expert, right_expert = self._row[left], self._row[right]
                self._set_slot(left, right_expert)
                self._set_slot(right, left_expert)
            case Shift(slot, expert, to_slot):
                self.apply(Assign(to_slot, self._row[slot]))
                self.apply(Assign(slot, expert))

    def _update_loads(self, new: dict[int, float]) -> None:
        for rank, load in new.items():
            self._loads[rank] = load

    def _set_slot(self, slot: int, expert: int) -> None:
        rank = slot // self._slots
        old = self._row[slot]
        self._row[slot] = expert
        self._changed.add(rank)
        if old not in self._rank_experts(rank):
            self._holders[old].discard(rank)
        self._holders[expert].add(rank)

    def _rank_experts(self, rank: int) -> list[int]:
        return self._row[rank * self._slots : (rank + 1) * self._slots]

    def _fetches(self) -> int:
        return sum(len(set(self._rank_experts(r)) - self._origin[r]) for r in self._changed)

    def _replica_effect(self, expert: int) -> "_ReplicaEffect":
        """Return how one more replica of ``expert`` relieves the ranks that hold it."""
        holders = self._holders[expert]
        after = self._expert_loads[expert] / (len(holders) + 1)
        decrease = self._expert_loads[expert] / len(holders) - after
        change = sum([_norm(self._loads[r] - decrease) - _norm(self._loads[r]) for r in holders])
        return _ReplicaEffect(expert, after, change)

    def _spare_slots(self, rank: int) -> list["_SpareSlot"]:
        """Return the slots of ``rank`` whose expert has another replica."""
        held = self._rank_experts(rank)
        spare_slots = []
        for index, old in enumerate(held):
            if self._is_spare(old, held):
                remaining_load, others_change = self._removal(rank, old, held)
                spare_slots.append(
                    _SpareSlot(rank * self._slots + index, rank, old, remaining_load, others_change)
                )
        return spare_slots

    def _try_shifts(
        self,
        slot: int,
        replica_effects: Sequence["_ReplicaEffect"],
        spare_slots: Sequence["_SpareSlot"],
        best: "_BestStep",
    ) -> None:
        """Try a hot expert in ``slot``, with the only replica held there moved to a spare slot."""
        rank = slot // self._slots
        displaced = self._row[slot]
        displaced_load = self._expert_loads[displaced]
        held = self._rank_experts(rank)
        for effect in replica_effects:
            if effect.expert in held:
                continue
            hot_holders = self._holders[effect.expert]
            own_change = _norm(self._loads[rank] - displaced_load + effect.after) - _norm(
                self._loads[rank]
            )
            start = own_change + effect.change
            if start >= 0:
                continue
            for spare_slot in spare_slots:
                # Only independent changes may be added up: no rank may be affected by two of them.
                others = self._holders[spare_slot.expert]
                if spare_slot.rank == rank or rank in others or spare_slot.rank in hot_holders:
                    continue
                if not hot_holders.isdisjoint(others):
                    continue
                spare_change = _norm(spare_slot.remaining_load + displaced_load) - _norm(
                    self._loads[spare_slot.rank]
                )
                gain = -(start + spare_slot.others_change + spare_change) / 2.0
                if gain > best.gain:
                    best.update(gain, Shift(slot, effect.expert, spare_slot.slot))

    def _try_replicas(
        self, cold_rank: int, replica_effects: Sequence["_ReplicaEffect"], best: "_BestStep"
    ) -> None:
        """Try to put an expert of the busiest rank into a spare slot of ``cold_rank``."""
        held = self._rank_experts(cold_rank)
        load = self._loads[cold_rank]
        for index, old in enumerate(held):
            if not self._is_spare(old, held):
                continue
            remaining_load, others_change = self._removal(cold_rank, old, held)
            for effect in replica_effects:
                if effect.expert in held:
                    continue
                slot = cold_rank * self._slots + index
                if self._holders[effect.expert].isdisjoint(self._holders[old]):
                    own_change = _norm(remaining_load + effect.after) - _norm(load)
                    change = effect.change + others_change + own_change
                else:
                    change = self._change_of_norm(slot, effect.expert)
                gain = -change / self._step_cost(cold_rank, effect.expert)
                if gain > best.gain:
                    best.update(gain, Assign(slot, effect.expert))

    def _removal(self, rank: int, old: int, held: list[int]) -> tuple[float, float]:
        """Return the load of ``rank`` without ``old``, and the change in norm on other holders."""
        if held.count(old) > 1:
            return self._loads[rank], 0.0
        old_holders = self._holders[old]
        before = self._expert_loads[old] / len(old_holders)
        increase = self._expert_loads[old] / (len(old_holders) - 1) - before
        loads = self._loads
        change = sum(
            [_norm(loads[r] + increase) - _norm(loads[r]) for r in old_holders if r != rank]
        )
        return loads[rank] - before, change

    def _try_swaps(self, hot_rank: int, cold_rank: int, best: "_BestStep") -> None:
        """Try to exchange an expert of ``hot_rank`` for a lighter one of ``cold_rank``."""
        hot_experts, cold_experts = self._rank_experts(hot_rank), self._rank_experts(cold_rank)
        hot_load, cold_load = self._loads[hot_rank], self._loads[cold_rank]
        norm_before = _norm(hot_load) + _norm(cold_load)
        for left, left_expert in enumerate(hot_experts):
            if left_expert in cold_experts or hot_experts.count(left_expert) > 1:
                continue
            load = self._expert_loads[left_expert] / len(self._holders[left_expert])
            for right, right_expert in enumerate(cold_experts):
                shift = load - self._expert_loads[right_expert] / len(self._holders[right_expert])
                if (
                    shift <= 0
                    or right_expert in hot_experts
                    or cold_experts.count(right_expert) > 1
                ):
                    continue
                gain = norm_before - _norm(hot_load - shift) - _norm(cold_load + shift)
                if gain <= best.gain * 2 * NO_FETCH_COST:
                    continue
                gain /= self._step_cost(hot_rank, right_expert) + self._step_cost(
                    cold_rank, left_expert
                )
                if gain > best.gain:
                    step = Swap(hot_rank * self._slots + left, cold_rank * self._slots + right)
                    best.update(gain, step)

    def _try_displacements(self, hot_rank: int, best: "_BestStep") -> None:
        """Try to replace a replica on the busiest rank with a light expert."""
        held = self._rank_experts(hot_rank)
        spare_indexes = [index for index, old in enumerate(held) if self._is_spare(old, held)]
        if not spare_indexes:
            return
        cold = sorted(range(len(self._expert_loads)), key=self._expert_loads.__getitem__)[
            :COLD_EXPERTS
        ]
        for index in spare_indexes:
            for expert in {*cold, held[index - 1]} - {held[index]}:
                slot = hot_rank * self._slots + index
                gain = -self._change_of_norm(slot, expert) / self._step_cost(hot_rank, expert)
                if gain > best.gain:
                    best.update(gain, Assign(slot, expert))

    def _is_spare(self, expert: int, held: list[int]) -> bool:
        return len(self._holders[expert]) > 1 or held.count(expert) > 1

    def _step_cost(self, rank: int, expert: int) -> float:
        free = expert in self._origin[rank] or rank in self._holders[expert]
        return NO_FETCH_COST if free else 1.0

    def _change_of_norm(self, slot: int, expert: int) -> float:
        loads = self._loads
        change = 0.0
        for rank, load in self._loads_after_assign(slot, expert).items():
            change += _norm(load) - _norm(loads[rank])
        return change

    def _loads_after_assign(self, slot: int, expert: int) -> dict[int, float]:
        rank = slot // self._slots
        old = self._row[slot]
        loads, holders, loads_by_expert = self._loads, self._holders, self._expert_loads
        new = {rank: loads[rank]}
        if self._rank_experts(rank).count(old) == 1:
            old_holders = holders[old]
            before = loads_by_expert[old] / len(old_holders)
            increase = loads_by_expert[old] / (len(old_holders) - 1) - before
            for other in old_holders:
                new[other] = loads[other] + increase
            new[rank] = loads[rank] - before
        expert_holders = holders[expert]
        if rank not in expert_holders:
            after = loads_by_expert[expert] / (len(expert_holders) + 1)
            decrease = loads_by_expert[expert] / len(expert_holders) - after
            for other in expert_holders:
                new[other] = new.get(other, loads[other]) - decrease
            new[rank] += after
        return new

    def _loads_after_swap(self, left: int, right: int) -> dict[int, float]:
        left_expert, right_expert = self._row[left], self._row[right]
        hot_rank, cold_rank = left // self._slots, right // self._slots
        shift = self._expert_loads[left_expert] / len(self._holders[left_expert])
        shift -= self._expert_loads[right_expert] / len(self._holders[right_expert])
        return {hot_rank: self._loads[hot_rank] - shift, cold_rank: self._loads[cold_rank] + shift}


@dataclass(slots=True)
class _BestStep:
    gain: float = MIN_GAIN
    step: Step | None = None

    def update(self, gain: float, step: Step) -> None:
        self.gain = gain
        self.step = step


@dataclass(frozen=True, slots=True)
class _ReplicaEffect:
    expert: int
    after: float
    change: float


@dataclass(frozen=True, slots=True)
class _SpareSlot:
    slot: int
    rank: int
    expert: int
    remaining_load: float
    others_change: float


def _norm(load: float) -> float:
    """Return the eighth power of ``load``.

    The sum over ranks approximates the maximum, but also falls when only one of two equally busy
    ranks is relieved, whereas the maximum would stay the same.
    """
    square = load * load
    fourth = square * square
    return fourth * fourth
