"""Which experts the requests of a group choose now, from the counters of its ranks."""

import random
from collections.abc import Iterable, Sequence

from carawayhub.experts.model import Growth, RankCounts

CARRY = 0.5
"""Weight of what was known before in the present estimate: it smooths out chance."""

LEAST_CHOICES = 100_000
"""Choices in a layer set that a sample needs: those of about three prompts of 800 tokens at 40
choices a token. Growth is added up until it has as many."""

CHANGED = 0.35
"""Distance of two samples, as the summed differences of their shares, from which on demand has
changed and what was known before is dropped. Samples of one demand lie 0.05 to 0.25 apart, those
before and after a change 0.4 to 0.7 (recorded in groups of 24 ranks, a look every 0.18 s). Carried
on, old demand would be copied for as well, in the place of what is wanted now."""

MOST_LEVEL = 31
"""Steps in which the growth of a counter is told. With 255 a rank of 12 sets of 256 experts takes
1.8 KB compressed, with 31 0.85 KB, which is half the time until 64 ranks have told theirs."""


class GrowthMeter:
    """Turns the counters of one rank into their growth.

    Args:
        rng: Rounds up or down by chance, so that rounding evens out over ranks. Rounded to the next
            step, the many experts with few choices would all count as having none.
    """

    __slots__ = ("_last", "_rng")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._last: RankCounts | None = None
        self._rng = rng or random.Random()

    def take(self, now: RankCounts) -> Growth:
        """Return the growth since the counters were taken before, none after a restart."""
        before, self._last = self._last, now
        if before is None or not _is_continued(before, now):
            return Growth(unit=0.0, levels=bytes(len(now.counts)), present=now.present)
        grown = [late - early for early, late in zip(before.counts, now.counts, strict=True)]
        unit = max(1.0, max(grown, default=0) / MOST_LEVEL)
        chance = self._rng.random
        levels = bytes(max(0, min(MOST_LEVEL, int(each / unit + chance()))) for each in grown)
        return Growth(unit=unit, levels=levels, present=now.present)


class Demand:
    """The shares of the experts in the choices of each layer set.

    Args:
        layers: Layer sets.
        experts: Experts of a set.
    """

    __slots__ = ("_estimate", "_experts", "_grown", "_layers", "_sample")

    def __init__(self, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._grown = [0.0] * (layers * experts)
        self._sample: list[list[float]] | None = None
        self._estimate: list[list[float]] | None = None

    def take(self, growths: Iterable[Growth]) -> list[list[float]] | None:
        """Take the growth at each rank in; return the shares, None while too little is known."""
        self._add(growths)
        layers = [
            self._grown[at : at + self._experts] for at in range(0, len(self._grown), self._experts)
        ]
        if min(sum(layer) for layer in layers) < LEAST_CHOICES:
            return None
        self._grown = [0.0] * len(self._grown)
        fresh = [_shares(layer) for layer in layers]
        before, self._sample = self._sample, fresh
        if self._estimate is None or before is None or _distance(fresh, before) > CHANGED:
            self._estimate = fresh
        else:
            self._estimate = _blended(fresh, self._estimate)
        return self._estimate

    def _add(self, growths: Iterable[Growth]) -> None:
        for each in growths:
            if len(each.levels) == len(self._grown) and each.unit:
                unit = each.unit
                self._grown = [
                    total + unit * level
                    for total, level in zip(self._grown, each.levels, strict=True)
                ]


def _is_continued(before: RankCounts, now: RankCounts) -> bool:
    """Return whether a rank has counted on since; a restart begins again at zero."""
    if (before.epoch, before.born) != (now.epoch, now.born):
        return False
    if len(before.counts) != len(now.counts):
        return False
    return sum(before.counts) <= sum(now.counts)


def _shares(layer: Sequence[float]) -> list[float]:
    total = sum(layer)
    return [count / total for count in layer]


def _distance(fresh: list[list[float]], before: list[list[float]]) -> float:
    """Return the summed differences of two samples, the mean over layer sets; 2.0 at the most."""
    differences = (
        abs(new - old)
        for late, early in zip(fresh, before, strict=True)
        for new, old in zip(late, early, strict=True)
    )
    return sum(differences) / len(fresh)


def _blended(fresh: list[list[float]], before: list[list[float]]) -> list[list[float]]:
    return [
        [(new + CARRY * old) / (1.0 + CARRY) for new, old in zip(late, early, strict=True)]
        for late, early in zip(fresh, before, strict=True)
    ]
