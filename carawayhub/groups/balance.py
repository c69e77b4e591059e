"""Small steps that lower the load of the busiest rank in one layer.

Loads and skew are those of :mod:`carawayhub.groups.loads`. A step is judged by what it takes from a
steep norm of the loads for each expert that must be fetched.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from carawayhub.groups.loads import Stage, rank_loads

COOL_RANKS = 8
SHIFT_RANKS = 6
COLD_EXPERTS = 4
DROP_PRICE = 0.25
LEAST_PROGRESS = 1e-9


@dataclass(frozen=True, slots=True)
class Place:
    """Put ``expert`` into the slot at ``at``; what stood there lives on elsewhere."""

    at: int
    expert: int


@dataclass(frozen=True, slots=True)
class Swap:
    """Exchange the experts at ``left`` and ``right``, on two ranks."""

    left: int
    right: int


@dataclass(frozen=True, slots=True)
class Shift:
    """Put ``expert`` into the slot at ``at``, and what stood there into the slot at ``to``."""

    at: int
    expert: int
    to: int


Step = Place | Swap | Shift


class LayerBalance:
    """A layer's placement that is improved step by step.

    Args:
        row: Expert in each slot, rank by rank.
        shares: Share of each expert; they add up to one.
        ranks: Ranks of the group.
    """

    __slots__ = ("_changed", "_holders", "_loads", "_origin", "_part", "_ranks", "_row", "_slots")

    def __init__(self, row: tuple[int, ...], shares: Sequence[float], ranks: int) -> None:
        self._ranks = ranks
        self._slots = len(row) // ranks
        self._row = list(row)
        self._changed: set[int] = set()
        self._part = [share * ranks for share in shares]
        self._loads = rank_loads(row, shares, ranks)
        self._origin = [
            frozenset(row[rank * self._slots : (rank + 1) * self._slots]) for rank in range(ranks)
        ]
        self._holders: list[set[int]] = [set() for _ in shares]
        for at, expert in enumerate(row):
            self._holders[expert].add(at // self._slots)

    def stage(self) -> Stage:
        """Return the present placement."""
        busiest = max(range(self._ranks), key=self._loads.__getitem__)
        return Stage(tuple(self._row), self._loads[busiest], self._fetches(), busiest)

    def stages(self, limit: int, *, shifts: int = 0) -> Iterator[Stage]:
        """Take up to ``limit`` steps and yield the placement after each.

        Args:
            limit: Most steps.
            shifts: How often to search for a shift, which is slow, where nothing simpler helps.
        """
        for _ in range(limit):
            step = self.best_step()
            if step is None and shifts > 0:
                shifts -= 1
                step = self.best_shift()
            if step is None:
                return
            self.apply(step)
            yield self.stage()

    def best_step(self) -> Step | None:
        """Return the step that relieves the busy ranks most for each expert moved, or None."""
        by_load = sorted(range(self._ranks), key=self._loads.__getitem__)
        hot = by_load[-1]
        found = _Found()
        reliefs = [self._relief(expert) for expert in set(self._held(hot))]
        for cool in by_load[: min(COOL_RANKS, self._ranks - 1)]:
            self._try_replicas(cool, reliefs, found)
            self._try_swaps(hot, cool, found)
        self._try_displacements(hot, found)
        return found.step

    def best_shift(self) -> Step | None:
        """Return the shift that relieves the busiest rank most, or None.

        It helps where the cool ranks have no spare slot and the ranks with spare slots are not cool
        enough for a hot expert, yet have room for a light one.
        """
        by_load = sorted(range(self._ranks), key=self._loads.__getitem__)
        reliefs = [self._relief(expert) for expert in set(self._held(by_load[-1]))]
        spots = [spot for rank in by_load[:COOL_RANKS] for spot in self._spots(rank)]
        found = _Found()
        for rank in by_load[:SHIFT_RANKS]:
            held = self._held(rank)
            for offset, old in enumerate(held):
                if not self._is_spare(old, held):
                    self._try_shifts(rank * self._slots + offset, reliefs, spots, found)
        return found.step

    def apply(self, step: Step) -> None:
        """Carry ``step`` out."""
        match step:
            case Place(at, expert):
                self._loads_from(self._loads_after_place(at, expert))
                self._put(at, expert)
            case Swap(left, right):
                self._loads_from(self._loads_after_swap(left, right))
                first, second = self._row[left], self._row[right]
                self._put(left, second)
                self._put(right, first)
            case Shift(at, expert, to):
                self.apply(Place(to, self._row[at]))
                self.apply(Place(at, expert))

    def _loads_from(self, new: dict[int, float]) -> None:
        for rank, load in new.items():
            self._loads[rank] = load

    def _put(self, at: int, expert: int) -> None:
        rank = at // self._slots
        old = self._row[at]
        self._row[at] = expert
        self._changed.add(rank)
        if old not in self._held(rank):
            self._holders[old].discard(rank)
        self._holders[expert].add(rank)

    def _held(self, rank: int) -> list[int]:
        return self._row[rank * self._slots : (rank + 1) * self._slots]

    def _fetches(self) -> int:
        return sum(len(set(self._held(r)) - self._origin[r]) for r in self._changed)

    def _relief(self, expert: int) -> "_Relief":
        """Return what one more replica of ``expert`` does to the ranks that hold it."""
        holders = self._holders[expert]
        after = self._part[expert] / (len(holders) + 1)
        less = self._part[expert] / len(holders) - after
        change = sum([_norm(self._loads[r] - less) - _norm(self._loads[r]) for r in holders])
        return _Relief(expert, after, change)

    def _spots(self, rank: int) -> list["_Spot"]:
        """Return the slots of ``rank`` whose expert lives on elsewhere."""
        held = self._held(rank)
        spots = []
        for offset, old in enumerate(held):
            if self._is_spare(old, held):
                left, pushed = self._removal(rank, old, held)
                spots.append(_Spot(rank * self._slots + offset, rank, old, left, pushed))
        return spots

    def _try_shifts(
        self, at: int, reliefs: Sequence["_Relief"], spots: Sequence["_Spot"], found: "_Found"
    ) -> None:
        """Try to put a hot expert at ``at`` and the only replica that stands there into a spot."""
        rank = at // self._slots
        moved = self._row[at]
        part = self._part[moved]
        held = self._held(rank)
        for relief in reliefs:
            if relief.expert in held:
                continue
            hot_holders = self._holders[relief.expert]
            own = _norm(self._loads[rank] - part + relief.after) - _norm(self._loads[rank])
            start = own + relief.change
            if start >= 0:
                continue
            for spot in spots:
                # Only independent changes may be added up: no rank may take part in two of them.
                others = self._holders[spot.expert]
                if spot.rank == rank or rank in others or spot.rank in hot_holders:
                    continue
                if not hot_holders.isdisjoint(others):
                    continue
                there = _norm(spot.left + part) - _norm(self._loads[spot.rank])
                gain = -(start + spot.pushed + there) / 2.0
                if gain > found.gain:
                    found.take(gain, Shift(at, relief.expert, spot.at))

    def _try_replicas(self, cool: int, reliefs: Sequence["_Relief"], found: "_Found") -> None:
        """Try to put an expert of the busiest rank into a spare slot of ``cool``."""
        held = self._held(cool)
        load = self._loads[cool]
        for offset, old in enumerate(held):
            if not self._is_spare(old, held):
                continue
            left, pushed = self._removal(cool, old, held)
            for relief in reliefs:
                if relief.expert in held:
                    continue
                at = cool * self._slots + offset
                if self._holders[relief.expert].isdisjoint(self._holders[old]):
                    own = _norm(left + relief.after) - _norm(load)
                    change = relief.change + pushed + own
                else:
                    change = self._change_of_norm(at, relief.expert)
                gain = -change / self._price(cool, relief.expert)
                if gain > found.gain:
                    found.take(gain, Place(at, relief.expert))

    def _removal(self, rank: int, old: int, held: list[int]) -> tuple[float, float]:
        """Return the load of ``rank`` without ``old``, and the change of norm on other holders."""
        if held.count(old) > 1:
            return self._loads[rank], 0.0
        rest = self._holders[old]
        before = self._part[old] / len(rest)
        more = self._part[old] / (len(rest) - 1) - before
        loads = self._loads
        change = sum([_norm(loads[r] + more) - _norm(loads[r]) for r in rest if r != rank])
        return loads[rank] - before, change

    def _try_swaps(self, hot: int, cool: int, found: "_Found") -> None:
        """Try to exchange an expert of the busiest rank for a lighter one of ``cool``."""
        mine, theirs = self._held(hot), self._held(cool)
        hot_load, cool_load = self._loads[hot], self._loads[cool]
        now = _norm(hot_load) + _norm(cool_load)
        for left, first in enumerate(mine):
            if first in theirs or mine.count(first) > 1:
                continue
            load = self._part[first] / len(self._holders[first])
            for right, second in enumerate(theirs):
                shift = load - self._part[second] / len(self._holders[second])
                if shift <= 0 or second in mine or theirs.count(second) > 1:
                    continue
                gain = now - _norm(hot_load - shift) - _norm(cool_load + shift)
                if gain <= found.gain * 2 * DROP_PRICE:
                    continue
                gain /= self._price(hot, second) + self._price(cool, first)
                if gain > found.gain:
                    step = Swap(hot * self._slots + left, cool * self._slots + right)
                    found.take(gain, step)

    def _try_displacements(self, hot: int, found: "_Found") -> None:
        """Try to put something light in place of a replica that the busiest rank holds."""
        held = self._held(hot)
        spare = [offset for offset, old in enumerate(held) if self._is_spare(old, held)]
        if not spare:
            return
        cold = sorted(range(len(self._part)), key=self._part.__getitem__)[:COLD_EXPERTS]
        for offset in spare:
            for expert in {*cold, held[offset - 1]} - {held[offset]}:
                at = hot * self._slots + offset
                gain = -self._change_of_norm(at, expert) / self._price(hot, expert)
                if gain > found.gain:
                    found.take(gain, Place(at, expert))

    def _is_spare(self, expert: int, held: list[int]) -> bool:
        return len(self._holders[expert]) > 1 or held.count(expert) > 1

    def _price(self, rank: int, expert: int) -> float:
        free = expert in self._origin[rank] or rank in self._holders[expert]
        return DROP_PRICE if free else 1.0

    def _change_of_norm(self, at: int, expert: int) -> float:
        loads = self._loads
        change = 0.0
        for rank, load in self._loads_after_place(at, expert).items():
            change += _norm(load) - _norm(loads[rank])
        return change

    def _loads_after_place(self, at: int, expert: int) -> dict[int, float]:
        rank = at // self._slots
        old = self._row[at]
        loads, holders, parts = self._loads, self._holders, self._part
        new = {rank: loads[rank]}
        if self._held(rank).count(old) == 1:
            rest = holders[old]
            before = parts[old] / len(rest)
            more = parts[old] / (len(rest) - 1) - before
            for other in rest:
                new[other] = loads[other] + more
            new[rank] = loads[rank] - before
        sharers = holders[expert]
        if rank not in sharers:
            after = parts[expert] / (len(sharers) + 1)
            less = parts[expert] / len(sharers) - after
            for other in sharers:
                new[other] = new.get(other, loads[other]) - less
            new[rank] += after
        return new

    def _loads_after_swap(self, left: int, right: int) -> dict[int, float]:
        first, second = self._row[left], self._row[right]
        hot, cool = left // self._slots, right // self._slots
        shift = self._part[first] / len(self._holders[first])
        shift -= self._part[second] / len(self._holders[second])
        return {hot: self._loads[hot] - shift, cool: self._loads[cool] + shift}


@dataclass(slots=True)
class _Found:
    gain: float = LEAST_PROGRESS
    step: Step | None = None

    def take(self, gain: float, step: Step) -> None:
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
    pushed: float


def _norm(load: float) -> float:
    """Return the eighth power of ``load``.

    Summed over ranks it is near the maximum, yet still rewards relief for one of two ranks that are
    equally busy, where the maximum alone sees no gain in either.
    """
    square = load * load
    fourth = square * square
    return fourth * fourth
