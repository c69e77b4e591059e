"""Plans which experts to copy to which ranks, so that the load of a group is balanced.

The load is skewed: a few experts get most of the choices (the most popular one a ninth to a fifth
of those of a layer set), and the popular set changes abruptly every two to four seconds. With each
expert on one rank, the busiest rank has about three times the mean load, and in each pass all other
ranks wait for it.

The first copies reduce the skew most: on counters recorded every 0.18 s in groups of 24 ranks with
16 layer sets, three copies per rank reduce it from 3.4 to 1.55, eleven to 1.1. But a change takes
effect only when the rank with the most copies has finished them, so consecutive changes with few
copies per rank give a lower mean skew: 1.86 over 36 s, against 2.16 with all useful copies at once,
with half as many copies made.
"""

from collections.abc import Iterable, Sequence, Set
from dataclasses import dataclass

from carawayhub.experts.model import Placement


@dataclass(frozen=True, slots=True, kw_only=True)
class CopyLimits:
    """Limits on the copies of one change.

    Attributes:
        places: Maximum number of experts per layer set that a rank holds.
        max_new_per_set: Maximum number of new experts per layer set and rank.
        max_new_per_rank: Maximum number of new experts per rank over all layer sets.
        min_gain: Minimum reduction of the skew of its layer set that justifies a copy.
    """

    places: int
    max_new_per_set: int
    max_new_per_rank: int
    min_gain: float


@dataclass(frozen=True, slots=True)
class Plan:
    """A planned map and its effect.

    Attributes:
        placement: The map.
        skew_before: Load of the busiest rank divided by the mean load under the map in force,
            averaged over layer sets.
        skew_after: The same under the new map.
        copies: Number of experts to copy, over all ranks.
        most_copies: Number of experts to copy at the rank with the most copies.
    """

    placement: Placement
    skew_before: float
    skew_after: float
    copies: int
    most_copies: int


@dataclass(frozen=True, slots=True)
class _CandidateCopy:
    """A copy that could be made.

    Attributes:
        gain: Reduction of the skew, by a smooth measure (see ``_eighth_power``).
        expert: Expert to copy.
        rank: Destination rank.
        source: Rank that drops the expert, None if all holders keep it.
    """

    gain: float
    expert: int
    rank: int
    source: int | None = None


def plan(
    current: Placement,
    shares: Sequence[Sequence[float]],
    limits: CopyLimits,
    slowdowns: Sequence[float] = (),
) -> Plan:
    """Return the map that results from the most useful copies.

    Args:
        current: The map in force.
        shares: Share of each expert in the choices of its layer set; they add up to one.
        limits: Limits on the copies.
        slowdowns: Factor by which each rank is slower than usual; empty if none is slow.
    """
    layers = [
        _Layer(held, layer_shares, limits.places, limits.max_new_per_set, slowdowns)
        for held, layer_shares in zip(current, shares, strict=True)
    ]
    before = _mean_skew(layers)
    for layer in layers:
        layer.relieve_slow_ranks()
    copied = _apply_best_copies(layers, limits)
    return Plan(
        tuple(layer.placement() for layer in layers),
        before,
        _mean_skew(layers),
        sum(copied),
        max(copied, default=0),
    )


def skew(
    current: Placement, shares: Sequence[Sequence[float]], slowdowns: Sequence[float] = ()
) -> float:
    """Return the load of the busiest rank divided by the mean, averaged over layer sets.

    The load of a slow rank counts as many times as the rank is slower than usual.
    """
    return _mean_skew(
        [
            _Layer(held, layer_shares, 0, 0, slowdowns)
            for held, layer_shares in zip(current, shares, strict=True)
        ]
    )


def _mean_skew(layers: Sequence["_Layer"]) -> float:
    return sum(layer.skew() for layer in layers) / max(1, len(layers))


def _apply_best_copies(layers: Sequence["_Layer"], limits: CopyLimits) -> list[int]:
    """Apply copies in descending order of gain; return the number of copies per rank."""
    copied = [0] * (layers[0].ranks if layers else 0)
    full: set[int] = set()
    best = [layer.best_copy(full) for layer in layers]
    while True:
        at = max(range(len(best)), key=lambda each: _gain(best[each]), default=-1)
        copy = best[at] if at >= 0 else None
        if copy is None or copy.gain < limits.min_gain:
            return copied
        if copy.rank not in full:
            layers[at].apply_copy(copy)
            copied[copy.rank] += 1
            if copied[copy.rank] >= limits.max_new_per_rank:
                full.add(copy.rank)
        best[at] = layers[at].best_copy(full)


def _gain(copy: _CandidateCopy | None) -> float:
    return 0.0 if copy is None else copy.gain


class _Layer:
    """One layer set whose placement is improved one copy at a time.

    Args:
        held: Experts of each rank.
        shares: Share of each expert.
        places: Maximum number of experts per rank.
        max_new: Maximum number of new experts per rank.
        slowdowns: Factor by which each rank is slower than usual; empty if none is slow.
    """

    __slots__ = (
        "_held",
        "_holders",
        "_initial",
        "_loads",
        "_max_new",
        "_new",
        "_places",
        "_relative_loads",
        "_slowdowns",
    )

    def __init__(
        self,
        held: Sequence[Sequence[int]],
        shares: Sequence[float],
        places: int,
        max_new: int,
        slowdowns: Sequence[float],
    ) -> None:
        ranks = len(held)
        self._slowdowns = slowdowns or [1.0] * ranks
        self._relative_loads = [share * ranks for share in shares]
        self._held = [set(each) for each in held]
        self._initial = [frozenset(each) for each in held]
        self._holders: list[set[int]] = [set() for _ in shares]
        for rank, experts in enumerate(self._held):
            for expert in experts:
                self._holders[expert].add(rank)
        self._loads = [self._load(rank) for rank in range(ranks)]
        self._places = places
        self._max_new = max_new
        self._new = [0] * ranks

    @property
    def ranks(self) -> int:
        """Number of ranks."""
        return len(self._held)

    def skew(self) -> float:
        """Return the load of the busiest rank divided by the mean."""
        return max(self._loads)

    def placement(self) -> tuple[tuple[int, ...], ...]:
        """Return the experts of each rank."""
        return tuple(tuple(sorted(each)) for each in self._held)

    def best_copy(self, full: set[int]) -> _CandidateCopy | None:
        """Return the copy that relieves the busiest rank most, None if no copy does.

        Args:
            full: Ranks that have reached their limit of new experts.
        """
        busiest = max(range(self.ranks), key=self._loads.__getitem__)
        candidates = [
            rank
            for rank in sorted(range(self.ranks), key=self._loads.__getitem__)
            if rank != busiest and rank not in full and self._accepts_copies(rank)
        ]
        sources = (None, busiest) if self._is_slow(busiest) else (None,)
        best: tuple[float, int, int, int | None] | None = None
        for expert in self._held[busiest]:
            rank = next((each for each in candidates if expert not in self._held[each]), None)
            if rank is None:
                continue
            for source in sources:
                holders = self._holders[expert] | {rank}
                change = self._power_sum_change(expert, holders - {source})
                if best is None or change < best[0]:
                    best = change, expert, rank, source
        if best is None or best[0] >= 0.0:
            return None
        total = sum(map(_eighth_power, self._loads))
        gain = total**_POWER_SUM_ROOT - max(0.0, total + best[0]) ** _POWER_SUM_ROOT
        return _CandidateCopy(gain, best[1], best[2], best[3])

    def relieve_slow_ranks(self) -> None:
        """Drop experts of slow ranks that other ranks hold too, where that balances the load.

        A drop copies nothing, and the group waits for its slowest rank in each pass.
        """
        for rank in filter(self._is_slow, range(self.ranks)):
            for expert in sorted(self._held[rank]):
                left = self._holders[expert] - {rank}
                if left and self._power_sum_change(expert, left) < 0.0:
                    self._drop(expert, rank)
                    self._update_loads(left | {rank})

    def _is_slow(self, rank: int) -> bool:
        return self._slowdowns[rank] > 1.0

    def apply_copy(self, copy: _CandidateCopy) -> None:
        """Apply a copy; it replaces the least useful expert of a rank without room."""
        rank, expert = copy.rank, copy.expert
        affected_ranks = {rank} | self._holders[expert]
        if len(self._held[rank]) >= self._places:
            dropped = self._least_useful(rank)
            if dropped is not None:
                affected_ranks |= self._holders[dropped]
                self._drop(dropped, rank)
        self._held[rank].add(expert)
        self._holders[expert].add(rank)
        self._new[rank] += 1
        if copy.source is not None:
            self._drop(expert, copy.source)
        self._update_loads(affected_ranks)

    def _drop(self, expert: int, rank: int) -> None:
        self._held[rank].discard(expert)
        self._holders[expert].discard(rank)

    def _update_loads(self, ranks: Iterable[int]) -> None:
        for each in ranks:
            self._loads[each] = self._load(each)

    def _power_sum_change(self, expert: int, holders: Set[int]) -> float:
        """Return the change of the sum of powers if ``holders`` hold ``expert``."""
        known = self._holders[expert]
        expert_load = self._relative_loads[expert]
        before, after = expert_load / len(known), expert_load / len(holders)
        change = 0.0
        for each in known | holders:
            growth = (after if each in holders else 0.0) - (before if each in known else 0.0)
            load = self._loads[each]
            change += _eighth_power(load + growth * self._slowdowns[each]) - _eighth_power(load)
        return change

    def _accepts_copies(self, rank: int) -> bool:
        if self._new[rank] >= self._max_new or self._is_slow(rank):
            return False
        return len(self._held[rank]) < self._places or self._least_useful(rank) is not None

    def _least_useful(self, rank: int) -> int | None:
        """Return the redundant expert with the lowest load at a rank, None if there is none."""
        spare = [
            expert
            for expert in self._held[rank]
            if len(self._holders[expert]) > 1 and expert in self._initial[rank]
        ]
        return min(
            spare,
            key=lambda each: self._relative_loads[each] / len(self._holders[each]),
            default=None,
        )

    def _load(self, rank: int) -> float:
        usual = sum(
            self._relative_loads[each] / len(self._holders[each]) for each in self._held[rank]
        )
        return usual * self._slowdowns[rank]


_POWER_SUM_ROOT = 0.125


def _eighth_power(load: float) -> float:
    """Return the eighth power of ``load``.

    The eighth root of its sum over ranks approximates the maximum. Unlike the maximum, it also
    decreases when only one of two equally busy ranks is relieved.
    """
    square = load * load
    fourth = square * square
    return fourth * fourth
