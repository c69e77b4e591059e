"""Estimates expert popularity from token counters that may be delayed, lost or reset.

Popularity is a share: the shares of all experts in a layer add up to one. Only the growth of a
counter between two reports from one source is used, so a lost report reduces the time resolution
but not the accuracy.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

DEFAULT_TIME_CONSTANT = 120.0
MIN_SAMPLES = 8
NOISE_WEIGHT = 0.05
TREND_WEIGHT = 0.2
# In standard deviations of one sample. Noise alone leaves a third of one such deviation in the
# smoothed trend, so the limit is eight times the noise.
TREND_LIMIT = 2.7
MAX_NOISE_DEVIATIONS = 3.0
# Ratio of the standard deviation of a normal sample to the mean absolute difference of two samples.
DEVIATION_OF_DIFFERENCE = math.sqrt(math.pi) / 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpertCounters:
    """Tokens routed to each expert since the engine of one rank started.

    Attributes:
        source: Rank whose router counted the tokens.
        taken_at: Seconds on that engine's clock; comparable only within one source.
        counts: Tokens sent to each expert, by layer.
    """

    source: int
    taken_at: float
    counts: tuple[tuple[int, ...], ...]


class Observation(Enum):
    """How one report of counters was handled."""

    FIRST = "first"
    TAKEN = "taken"
    RESET = "reset"
    OLD = "old"
    EMPTY = "empty"


class Popularity:
    """Moving mean of every expert's share, with its standard error due to sampling noise.

    The noise is estimated from differences between successive samples. A trend adds little to these
    differences, whereas it would add its full size to a deviation from the mean.

    Args:
        layers: Number of layers with experts.
        experts: Number of experts per layer.
        time_constant: Seconds after which the weight of a sample has decayed to 1/e.
    """

    __slots__ = (
        "_baselines",
        "_experts",
        "_latest",
        "_mean",
        "_noise",
        "_samples",
        "_time_constant",
        "_trend",
        "_weight_squares",
        "volume_rate",
    )

    def __init__(
        self, *, layers: int, experts: int, time_constant: float = DEFAULT_TIME_CONSTANT
    ) -> None:
        self._experts = experts
        self._time_constant = time_constant
        self._baselines: dict[int, ExpertCounters] = {}
        self._latest: list[list[float]] = [[] for _ in range(layers)]
        self._mean: list[list[float]] = [[1.0 / experts] * experts for _ in range(layers)]
        self._noise: list[list[float]] = [[0.0] * experts for _ in range(layers)]
        self._trend: list[list[float]] = [[0.0] * experts for _ in range(layers)]
        self._weight_squares = [1.0] * layers
        self._samples = [0] * layers
        self.volume_rate = 0.0

    @property
    def ready(self) -> bool:
        """Whether every layer has enough samples to distinguish a trend from noise."""
        return min(self._samples) >= MIN_SAMPLES

    def observe(self, counters: ExpertCounters) -> Observation:
        """Process one report.

        Returns:
            How it was handled; only ``TAKEN`` means that the estimate changed.

        Raises:
            ValueError: If the number of layers or experts does not match the group.
        """
        self._check_shape(counters)
        before = self._baselines.get(counters.source)
        if before is not None and counters.taken_at <= before.taken_at:
            return self._handle_older(before, counters)
        self._baselines[counters.source] = counters
        if before is None:
            return Observation.FIRST
        if _has_decreased(before.counts, counters.counts):
            return Observation.RESET
        return self._apply_growth(before, counters)

    def errors(self, index: int) -> Sequence[float]:
        """Return the standard error of each expert's mean share in layer ``index``."""
        factor = math.sqrt(self._weight_squares[index])
        return [factor * deviation for deviation in self._deviations(index)]

    def _deviations(self, index: int) -> list[float]:
        """Return the standard deviation of a single sample of each expert's share.

        The noise of one expert is estimated from few samples at first and may be small by chance.
        Relative to its share, it is therefore never taken as lower than that of the whole layer.
        """
        mean, noise = self._mean[index], self._noise[index]
        squares = sum([share * share for share in mean])
        floor = math.sqrt(sum([deviation * deviation for deviation in noise]) / squares)
        return [max(deviation, floor * share) for share, deviation in zip(mean, noise, strict=True)]

    def mean(self, index: int) -> Sequence[float]:
        """Return the mean share of each expert in layer ``index``."""
        return self._mean[index]

    def deviation(self, index: int) -> Sequence[float]:
        """Return the standard deviation of one sample of each share in layer ``index``."""
        return self._noise[index]

    def expected(self, index: int) -> Sequence[float]:
        """Return the shares to plan for: the mean, plus the trend of experts whose share changes.

        A moving mean lags behind a rise. The trend, which is the smoothed distance of the samples
        from the mean, estimates the lag; it is added only where it is far above the noise.
        """
        adjusted = [
            max(0.0, share + trend) if abs(trend) > TREND_LIMIT * deviation else share
            for share, trend, deviation in zip(
                self._mean[index], self._trend[index], self._deviations(index), strict=True
            )
        ]
        total = sum(adjusted)
        return [share / total for share in adjusted]

    def latest(self, index: int) -> Sequence[float]:
        """Return the shares in the latest interval; empty before the first."""
        return self._latest[index]

    def _check_shape(self, counters: ExpertCounters) -> None:
        layers = len(self._mean)
        if len(counters.counts) != layers:
            raise ValueError(f"counters have {len(counters.counts)} layers, expected {layers}")
        if any(len(row) != self._experts for row in counters.counts):
            raise ValueError(f"every layer must have {self._experts} counters")

    def _handle_older(self, before: ExpertCounters, counters: ExpertCounters) -> Observation:
        # After a restart an engine counts from zero and its clock may also restart, so that a new
        # report looks old. Counters that have decreased identify this case.
        if not _has_decreased(before.counts, counters.counts):
            return Observation.OLD
        restarted = counters.taken_at < before.taken_at / 2
        if not restarted:
            return Observation.OLD
        self._baselines[counters.source] = counters
        return Observation.RESET

    def _apply_growth(self, before: ExpertCounters, counters: ExpertCounters) -> Observation:
        elapsed = counters.taken_at - before.taken_at
        weight = 1.0 - math.exp(-elapsed / self._time_constant)
        total = 0
        for index, (old, new) in enumerate(zip(before.counts, counters.counts, strict=True)):
            growth = [after - early for early, after in zip(old, new, strict=True)]
            tokens = sum(growth)
            if tokens > 0:
                self._update_layer(index, [count / tokens for count in growth], weight)
                total += tokens
        if not total:
            return Observation.EMPTY
        self.volume_rate = total / len(self._mean) / elapsed
        return Observation.TAKEN

    def _update_layer(self, index: int, shares: list[float], weight: float) -> None:
        sample_count = self._samples[index]
        # The first samples are averaged equally; a fixed weight would overweight the first one.
        weight = max(weight, 1.0 / (sample_count + 1))
        old_weight = 1.0 - weight
        if sample_count:
            self._mean[index] = [
                old_weight * mean + weight * share
                for mean, share in zip(self._mean[index], shares, strict=True)
            ]
            self._update_noise(index, shares)
            self._trend[index] = [
                (1.0 - TREND_WEIGHT) * trend + TREND_WEIGHT * (share - mean)
                for trend, share, mean in zip(
                    self._trend[index], shares, self._mean[index], strict=True
                )
            ]
        else:
            self._mean[index] = shares
        squares = old_weight * old_weight * self._weight_squares[index] + weight * weight
        self._weight_squares[index] = squares if sample_count else 1.0
        self._latest[index] = shares
        self._samples[index] = sample_count + 1

    def _update_noise(self, index: int, shares: list[float]) -> None:
        weight = max(NOISE_WEIGHT, 1.0 / self._samples[index])
        old_weight = 1.0 - weight
        factor = weight * DEVIATION_OF_DIFFERENCE
        # A jump in popularity appears as one very large difference. Without a limit it would
        # inflate the noise estimate for a long time and hide the change from later decisions.
        max_deviations = MAX_NOISE_DEVIATIONS if self._samples[index] > MIN_SAMPLES else math.inf
        self._noise[index] = [
            old_weight * noise
            + factor * min(abs(share - last), max_deviations * noise / DEVIATION_OF_DIFFERENCE)
            for noise, share, last in zip(
                self._noise[index], shares, self._latest[index], strict=True
            )
        ]


def _has_decreased(old: Sequence[Sequence[int]], new: Sequence[Sequence[int]]) -> bool:
    return any(
        after < before
        for early, late in zip(old, new, strict=True)
        for before, after in zip(early, late, strict=True)
    )
