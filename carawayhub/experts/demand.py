"""Estimates the current demand for each expert from the counters of a group's ranks."""

import random
from collections.abc import Iterable, Sequence

from carawayhub.experts.model import Growth, RankCounts

PREVIOUS_WEIGHT = 0.5
"""Weight of the previous estimate in the new one, to smooth out random variation."""

MIN_SAMPLE_CHOICES = 100_000
"""Minimum number of choices per layer set in a sample: those of about three prompts of 800 tokens
at 40 choices per token. Growth is accumulated until this number is reached."""

CHANGE_DISTANCE = 0.35
"""Distance between two samples (the sum of the absolute differences of their shares) above which
the demand counts as changed and the previous estimate is discarded. Samples of unchanged demand
differ by 0.05 to 0.25, those before and after a change by 0.4 to 0.7 (recorded in groups of 24
ranks, polled every 0.18 s). With the old estimate kept, experts that are no longer popular would be
copied instead of those that are."""

MAX_LEVEL = 31
"""Highest quantisation level of a counter's growth. The growth of a rank with 12 sets of 256
experts takes 1.8 KB compressed with 255 levels and 0.85 KB with 31, which halves the time until 64
ranks have reported."""


class GrowthMeter:
    """Measures the growth of one rank's counters between two polls.

    Args:
        rng: Source of randomness for stochastic rounding, whose errors average out over ranks.
            Rounding to the nearest level would turn the growth of the many experts with few choices
            into zero.
    """

    __slots__ = ("_last", "_rng")

    def __init__(self, rng: random.Random | None = None) -> None:
        self._last: RankCounts | None = None
        self._rng = rng or random.Random()

    def measure(self, now: RankCounts) -> Growth:
        """Return the growth since the previous call, zero after a restart of the rank."""
        before, self._last = self._last, now
        if before is None or not _is_same_run(before, now):
            return Growth(
                unit=0.0,
                levels=bytes(len(now.counts)),
                present=now.present,
                slowdown=now.slowdown,
            )
        growth = [late - early for early, late in zip(before.counts, now.counts, strict=True)]
        unit = max(1.0, max(growth, default=0) / MAX_LEVEL)
        random_fraction = self._rng.random
        levels = bytes(
            max(0, min(MAX_LEVEL, int(each / unit + random_fraction()))) for each in growth
        )
        return Growth(unit=unit, levels=levels, present=now.present, slowdown=now.slowdown)


class Demand:
    """Estimated share of each expert in the choices of its layer set.

    Args:
        layers: Number of layer sets.
        experts: Number of experts per set.
    """

    __slots__ = ("_estimate", "_experts", "_layers", "_pending_choices", "_sample")

    def __init__(self, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._pending_choices = [0.0] * (layers * experts)
        self._sample: list[list[float]] | None = None
        self._estimate: list[list[float]] | None = None

    def update(self, growths: Iterable[Growth]) -> list[list[float]] | None:
        """Add the growth at each rank; return the shares, None until a sample is complete."""
        self._add(growths)
        layers = [
            self._pending_choices[at : at + self._experts]
            for at in range(0, len(self._pending_choices), self._experts)
        ]
        if min(sum(layer) for layer in layers) < MIN_SAMPLE_CHOICES:
            return None
        self._pending_choices = [0.0] * len(self._pending_choices)
        sample = [_shares(layer) for layer in layers]
        before, self._sample = self._sample, sample
        if self._estimate is None or before is None or _distance(sample, before) > CHANGE_DISTANCE:
            self._estimate = sample
        else:
            self._estimate = _smoothed(sample, self._estimate)
        return self._estimate

    def _add(self, growths: Iterable[Growth]) -> None:
        for each in growths:
            if len(each.levels) == len(self._pending_choices) and each.unit:
                unit = each.unit
                self._pending_choices = [
                    total + unit * level
                    for total, level in zip(self._pending_choices, each.levels, strict=True)
                ]


def _is_same_run(before: RankCounts, now: RankCounts) -> bool:
    """Return whether a rank kept counting; after a restart its counters begin at zero."""
    if (before.epoch, before.born) != (now.epoch, now.born):
        return False
    if len(before.counts) != len(now.counts):
        return False
    return sum(before.counts) <= sum(now.counts)


def _shares(layer: Sequence[float]) -> list[float]:
    total = sum(layer)
    return [count / total for count in layer]


def _distance(sample: list[list[float]], before: list[list[float]]) -> float:
    """Return the sum of absolute differences, averaged over layer sets; at most 2.0."""
    differences = (
        abs(new - old)
        for late, early in zip(sample, before, strict=True)
        for new, old in zip(late, early, strict=True)
    )
    return sum(differences) / len(sample)


def _smoothed(sample: list[list[float]], before: list[list[float]]) -> list[list[float]]:
    return [
        [
            (new + PREVIOUS_WEIGHT * old) / (1.0 + PREVIOUS_WEIGHT)
            for new, old in zip(late, early, strict=True)
        ]
        for late, early in zip(sample, before, strict=True)
    ]
