"""Computes the load of each rank in one layer, and its skew.

A layer's placement is a row of :class:`carawayhub.groups.maps.ExpertMap`: the expert in each slot,
rank by rank. An expert's load is split evenly over the ranks that hold it. Loads are scaled to a
mean of 1.0 over the ranks; the skew of a layer is the load of its busiest rank.

All ranks wait for the busiest one in every layer, so a step takes as long as the sum of these
maxima over the layers. The step-time skew of a map is their mean; 1.0 is perfect balance.
"""

import math
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache

LAYOUT_CACHE_SIZE = 256


@dataclass(frozen=True, slots=True)
class LayerPlacement:
    """A placement of one layer and its cost relative to the original placement.

    Attributes:
        row: Expert in each slot, rank by rank.
        skew: Load of the busiest rank, relative to the mean.
        fetches: Number of experts that ranks must load to reach this placement.
        busiest: The busiest rank.
    """

    row: tuple[int, ...]
    skew: float
    fetches: int
    busiest: int


@dataclass(frozen=True, slots=True)
class _Layout:
    held: tuple[tuple[int, ...], ...]
    holders: dict[int, int]


@lru_cache(maxsize=LAYOUT_CACHE_SIZE)
def _layout(row: tuple[int, ...], ranks: int) -> _Layout:
    slots = len(row) // ranks
    held = tuple(tuple(set(row[at : at + slots])) for at in range(0, len(row), slots))
    return _Layout(held, Counter(expert for experts in held for expert in experts))


def rank_loads(row: tuple[int, ...], shares: Sequence[float], ranks: int) -> list[float]:
    """Return the load of each rank, scaled to a mean of 1.0.

    Args:
        row: Expert in each slot, rank by rank.
        shares: Share of each expert; they add up to one.
        ranks: Number of ranks in the group.
    """
    layout = _layout(row, ranks)
    holders = layout.holders
    part = [share * ranks / holders[expert] for expert, share in enumerate(shares)]
    return [sum([part[expert] for expert in experts]) for experts in layout.held]


def load_error(row: tuple[int, ...], errors: Sequence[float], ranks: int, rank: int) -> float:
    """Return the standard error of one rank's load, given the errors of the shares."""
    layout = _layout(row, ranks)
    parts = [errors[expert] * ranks / layout.holders[expert] for expert in layout.held[rank]]
    return math.hypot(*parts)


def layer_skew(row: tuple[int, ...], shares: Sequence[float], ranks: int) -> float:
    """Return the load of the busiest rank, relative to the mean."""
    return max(rank_loads(row, shares, ranks))


def evaluate_placement(
    row: tuple[int, ...], origin: tuple[int, ...], shares: Sequence[float], ranks: int
) -> LayerPlacement:
    """Return the placement ``row`` with its skew and the fetches to reach it from ``origin``."""
    loads = rank_loads(row, shares, ranks)
    busiest = max(range(ranks), key=loads.__getitem__)
    before, after = _layout(origin, ranks).held, _layout(row, ranks).held
    fetches = sum(
        len(set(new).difference(old)) for old, new in zip(before, after, strict=True) if new != old
    )
    return LayerPlacement(row, loads[busiest], fetches, busiest)
