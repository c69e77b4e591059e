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
    """Put ``expert`` into slot ``at``, whose previous expert keeps a replica elsewhere."""

    at: int
    expert: int


@dataclass(frozen=True, slots=True)
class Swap:
    """Exchange the experts in the slots ``left`` and ``right`` of two ranks."""

    left: int
    right: int


@dataclass(frozen=True, slots=True)
class Shift:
    """Put ``expert`` into slot ``at``, and the previous expert of ``at`` into ``to_slot``."""

    at: int
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
        for at, expert in enumerate(row):
            self._holders[expert].add(at // self._slots)

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
        found = _BestStep()
        reliefs = [self._relief(expert) for expert in set(self._rank_experts(hot_rank))]
        for cold_rank in by_load[: min(LEAST_LOADED_RANKS, self._ranks - 1)]:
            self._try_replicas(cold_rank, reliefs, found)
            self._try_swaps(hot_rank, cold_rank, found)
        self._try_displacements(hot_rank, found)
        return found.step

    def best_shift(self) -> Step | None:
        """Return the shift with the largest gain, or None.

        A shift helps when the least loaded ranks have no spare slot, and the ranks with spare slots
        are too loaded for a hot expert but can take a light one.
        """
        by_load = sorted(range(self._ranks), key=self._loads.__getitem__)
        reliefs = [self._relief(expert) for expert in set(self._rank_experts(by_load[-1]))]
        spare_slots = [
            spare_slot
            for rank in by_load[:LEAST_LOADED_RANKS]
            for spare_slot in self._spare_slots(rank)
        ]
        found = _BestStep()
        for rank in by_load[:SHIFT_RANKS]:
            held = self._rank_experts(rank)
            for offset, old in enumerate(held):
                if not self._is_spare(old, held):
                    self._try_shifts(rank * self._slots + offset, reliefs, spare_slots, found)
        return found.step

    def apply(self, step: Step) -> None:
        """Apply ``step`` to the placement."""
        match step:
            case Assign(at, expert):
                self._update_loads(self._loads_after_assign(at, expert))
                self._set_slot(at, expert)
            case Swap(left, right):
                self._update_loads(self._loads_after_swap(left, right))
                first, second = self._row[left], self._row[right]
                self._set_slot(left, second)
                self._set_slot(right, first)
            case Shift(at, expert, to_slot):
                self.apply(Assign(to_slot, self._row[at]))
                self.apply(Assign(at, expert))

    def _update_loads(self, new: dict[int, float]) -> None:
        for rank, load in new.items():
            self._loads[rank] = load

    def _set_slot(self, at: int, expert: int) -> None:
        rank = at // self._slots
        old = self._row[at]
        self._row[at] = expert
        self._changed.add(rank)
        if old not in self._rank_experts(rank):
            self._holders[old].discard(rank)
        self._holders[expert].add(rank)

    def _rank_experts(self, rank: int) -> list[int]:
        return self._row[rank * self._slots : (rank + 1) * self._slots]

    def _fetches(self) -> int:
        return sum(len(set(self._rank_experts(r)) - self._origin[r]) for r in self._changed)

    def _relief(self, expert: int) -> "_Relief":
        """Return how one more replica of ``expert`` relieves the ranks that hold it."""
        holders = self._holders[expert]
        after = self._expert_loads[expert] / (len(holders) + 1)
        decrease = self._expert_loads[expert] / len(holders) - after
        change = sum([_norm(self._loads[r] - decrease) - _norm(self._loads[r]) for r in holders])
        return _Relief(expert, after, change)

    def _spare_slots(self, rank: int) -> list["_Spot"]:
        """Return the slots of ``rank`` whose expert has another replica."""
        held = self._rank_experts(rank)
        spare_slots = []
        for offset, old in enumerate(held):
            if self._is_spare(old, held):
                left, others_change = self._removal(rank, old, held)
                spare_slots.append(
                    _Spot(rank * self._slots + offset, rank, old, left, others_change)
                )
        return spare_slots

    def _try_shifts(
        self,
        at: int,
        reliefs: Sequence["_Relief"],
        spare_slots: Sequence["_Spot"],
        found: "_BestStep",
    ) -> None:
        """Try a hot expert in slot ``at``, with the only replica there moved to a spare slot."""
        rank = at // self._slots
        displaced = self._row[at]
        part = self._expert_loads[displaced]
        held = self._rank_experts(rank)
        for relief in reliefs:
            if relief.expert in held:
                continue
            hot_holders = self._holders[relief.expert]
            own_change = _norm(self._loads[rank] - part + relief.after) - _norm(self._loads[rank])
            start = own_change + relief.change
            if start >= 0:
                continue
            for spare_slot in spare_slots:
                # Only independent changes may be added up: no rank may be affected by two of them.
                others = self._holders[spare_slot.expert]
                if spare_slot.rank == rank or rank in others or spare_slot.rank in hot_holders:
                    continue
                if not hot_holders.isdisjoint(others):
                    continue
                spare_change = _norm(spare_slot.left + part) - _norm(self._loads[spare_slot.rank])
                gain = -(start + spare_slot.others_change + spare_change) / 2.0
                if gain > found.gain:
                    found.update(gain, Shift(at, relief.expert, spare_slot.at))

    def _try_replicas(
        self, cold_rank: int, reliefs: Sequence["_Relief"], found: "_BestStep"
    ) -> None:
        """Try to put an expert of the busiest rank into a spare slot of ``cold_rank``."""
        held = self._rank_experts(cold_rank)
        load = self._loads[cold_rank]
        for offset, old in enumerate(held):
            if not self._is_spare(old, held):
                continue
            left, others_change = self._removal(cold_rank, old, held)
            for relief in reliefs:
                if relief.expert in held:
                    continue
                at = cold_rank * self._slots + offset
                if self._holders[relief.expert].isdisjoint(self._holders[old]):
                    own_change = _norm(left + relief.after) - _norm(load)
                    change = relief.change + others_change + own_change
                else:
                    change = self._change_of_norm(at, relief.expert)
                gain = -change / self._step_cost(cold_rank, relief.expert)
                if gain > found.gain:
                    found.update(gain, Assign(at, relief.expert))

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

    def _try_swaps(self, hot_rank: int, cold_rank: int, found: "_BestStep") -> None:
        """Try to exchange an expert of ``hot_rank`` for a lighter one of ``cold_rank``."""
        hot_experts, cold_experts = self._rank_experts(hot_rank), self._rank_experts(cold_rank)
        hot_load, cold_load = self._loads[hot_rank], self._loads[cold_rank]
        now = _norm(hot_load) + _norm(cold_load)
        for left, first in enumerate(hot_experts):
            if first in cold_experts or hot_experts.count(first) > 1:
                continue
            load = self._expert_loads[first] / len(self._holders[first])
            for right, second in enumerate(cold_experts):
                shift = load - self._expert_loads[second] / len(self._holders[second])
                if shift <= 0 or second in hot_experts or cold_experts.count(second) > 1:
                    continue
                gain = now - _norm(hot_load - shift) - _norm(cold_load + shift)
                if gain <= found.gain * 2 * NO_FETCH_COST:
                    continue
                gain /= self._step_cost(hot_rank, second) + self._step_cost(cold_rank, first)
                if gain > found.gain:
                    step = Swap(hot_rank * self._slots + left, cold_rank * self._slots + right)
                    found.update(gain, step)

    def _try_displacements(self, hot_rank: int, found: "_BestStep") -> None:
        """Try to replace a replica on the busiest rank with a light expert."""
        held = self._rank_experts(hot_rank)
        spare = [offset for offset, old in enumerate(held) if self._is_spare(old, held)]
        if not spare:
            return
        cold = sorted(range(len(self._expert_loads)), key=self._expert_loads.__getitem__)[
            :COLD_EXPERTS
        ]
        for offset in spare:
            for expert in {*cold, held[offset - 1]} - {held[offset]}:
                at = hot_rank * self._slots + offset
                gain = -self._change_of_norm(at, expert) / self._step_cost(hot_rank, expert)
                if gain > found.gain:
                    found.update(gain, Assign(at, expert))

    def _is_spare(self, expert: int, held: list[int]) -> bool:
        return len(self._holders[expert]) > 1 or held.count(expert) > 1

    def _step_cost(self, rank: int, expert: int) -> float:
        free = expert in self._origin[rank] or rank in self._holders[expert]
        return NO_FETCH_COST if free else 1.0

    def _change_of_norm(self, at: int, expert: int) -> float:
        loads = self._loads
        change = 0.0
        for rank, load in self._loads_after_assign(at, expert).items():
            change += _norm(load) - _norm(loads[rank])
        return change

    def _loads_after_assign(self, at: int, expert: int) -> dict[int, float]:
        rank = at // self._slots
        old = self._row[at]
        loads, holders, parts = self._loads, self._holders, self._expert_loads
        new = {rank: loads[rank]}
        if self._rank_experts(rank).count(old) == 1:
            old_holders = holders[old]
            before = parts[old] / len(old_holders)
            increase = parts[old] / (len(old_holders) - 1) - before
            for other in old_holders:
                new[other] = loads[other] + increase
            new[rank] = loads[rank] - before
        expert_holders = holders[expert]
        if rank not in expert_holders:
            after = parts[expert] / (len(expert_holders) + 1)
            decrease = parts[expert] / len(expert_holders) - after
            for other in expert_holders:
                new[other] = new.get(other, loads[other]) - decrease
            new[rank] += after
        return new

    def _loads_after_swap(self, left: int, right: int) -> dict[int, float]:
        first, second = self._row[left], self._row[right]
        hot_rank, cold_rank = left // self._slots, right // self._slots
        shift = self._expert_loads[first] / len(self._holders[first])
        shift -= self._expert_loads[second] / len(self._holders[second])
        return {hot_rank: self._loads[hot_rank] - shift, cold_rank: self._loads[cold_rank] + shift}


@dataclass(slots=True)
class _BestStep:
    gain: float = MIN_GAIN
    step: Step | None = None

    def update(self, gain: float, step: Step) -> None:
        self.gain = gain
        self.step = step


@dataclass(frozen=True, slots=True)
class _Relief:
    expert: int
    after: float
    change: float


@dataclass(frozen=True, slots=True)
class _Spot:
    at: int
    rank: int
    expert: int
    left: float
    others_change: float


def _norm(load: float) -> float:
    """Return the eighth power of ``load``.

    The sum over ranks approximates the maximum, but also falls when only one of two equally busy
    ranks is relieved, whereas the maximum would stay the same.
    """
    square = load * load
    fourth = square * square
    return fourth * fourth
