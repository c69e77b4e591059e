"""Popularity of experts, estimated from token counters that arrive late, with gaps and resets.

Popularity is a share: within a layer the shares of all experts add up to one. Only the growth of a
counter between two reports of one source is used, so a lost report costs detail and no accuracy.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

DEFAULT_TIME_CONSTANT = 120.0
MIN_SAMPLES = 8
NOISE_WEIGHT = 0.05
TREND_WEIGHT = 0.2
# In deviations of one sample. Noise alone leaves a third of one in the smoothed distance, so this
# is eight times as much.
TREND_LIMIT = 2.7
CLIP = 3.0
# Standard deviation of a normal sample over the mean absolute difference of two.
DEVIATION_OF_DIFFERENCE = math.sqrt(math.pi) / 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpertCounters:
    """Tokens routed to each expert since the engine of one rank started.

    Attributes:
        source: Rank whose router counted.
        taken_at: Seconds on that engine's clock; compared only with others of the same source.
        counts: For each layer the tokens sent to each expert.
    """

    source: int
    taken_at: float
    counts: tuple[tuple[int, ...], ...]


class Observation(Enum):
    """What became of one report of counters."""

    FIRST = "first"
    TAKEN = "taken"
    RESET = "reset"
    OLD = "old"
    EMPTY = "empty"


class Popularity:
    """Moving mean of every expert's share, with the error that sampling noise leaves in it.

    The noise is taken from differences between successive samples. A trend adds little to those,
    whereas it would add its whole size to a deviation from the mean.

    Args:
        layers: Layers with experts.
        experts: Experts a layer.
        time_constant: Seconds after which a sample has lost all but 1/e of its weight.
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
        """Whether every layer has enough samples to tell a trend from noise."""
        return min(self._samples) >= MIN_SAMPLES

    def observe(self, counters: ExpertCounters) -> Observation:
        """Take one report in.

        Returns:
            What became of it; only ``TAKEN`` changed the estimate.

        Raises:
            ValueError: When its shape is not that of the group.
        """
        self._check_shape(counters)
        before = self._baselines.get(counters.source)
        if before is not None and counters.taken_at <= before.taken_at:
            return self._older(before, counters)
        self._baselines[counters.source] = counters
        if before is None:
            return Observation.FIRST
        if _fell(before.counts, counters.counts):
            return Observation.RESET
        return self._take(before, counters)

    def errors(self, index: int) -> Sequence[float]:
        """Return the standard error of each expert's mean share in layer ``index``."""
        factor = math.sqrt(self._weight_squares[index])
        return [factor * deviation for deviation in self._deviations(index)]

    def _deviations(self, index: int) -> list[float]:
        """Return the deviation of a single sample of each expert's share.

        An expert's own noise is known from few samples at first and may look small by chance; it
        counts as no smaller, for its share, than that of the layer's experts together.
        """
        mean, noise = self._mean[index], self._noise[index]
        squares = sum([share * share for share in mean])
        floor = math.sqrt(sum([deviation * deviation for deviation in noise]) / squares)
        return [max(deviation, floor * share) for share, deviation in zip(mean, noise, strict=True)]

    def mean(self, index: int) -> Sequence[float]:
        """Return the share of each expert in layer ``index``."""
        return self._mean[index]

    def deviation(self, index: int) -> Sequence[float]:
        """Return the deviation of a single sample of each expert's share in layer ``index``."""
        return self._noise[index]

    def expected(self, index: int) -> Sequence[float]:
        """Return the shares to plan for: the mean, and for each expert on the move its lead on it.

        A moving mean trails a rise. The smoothed distance of the samples to the mean is what it
        trails by; it is added only where it is far above what noise makes of it.
        """
        led = [
            max(0.0, share + lead) if abs(lead) > TREND_LIMIT * deviation else share
            for share, lead, deviation in zip(
                self._mean[index], self._trend[index], self._deviations(index), strict=True
            )
        ]
        total = sum(led)
        return [share / total for share in led]

    def latest(self, index: int) -> Sequence[float]:
        """Return the shares in the last interval seen; empty before the first."""
        return self._latest[index]

    def _check_shape(self, counters: ExpertCounters) -> None:
        layers = len(self._mean)
        if len(counters.counts) != layers:
            raise ValueError(f"{len(counters.counts)} layers of counters, expected {layers}")
        if any(len(row) != self._experts for row in counters.counts):
            raise ValueError(f"a layer does not have {self._experts} counters")

    def _older(self, before: ExpertCounters, counters: ExpertCounters) -> Observation:
        # An engine that restarted counts from zero on a clock that may also start again. Its report
        # then looks old although it is new; it is told apart by counters that fell.
        if not _fell(before.counts, counters.counts):
            return Observation.OLD
        restarted = counters.taken_at < before.taken_at / 2
        if not restarted:
            return Observation.OLD
        self._baselines[counters.source] = counters
        return Observation.RESET

    def _take(self, before: ExpertCounters, counters: ExpertCounters) -> Observation:
        elapsed = counters.taken_at - before.taken_at
        weight = 1.0 - math.exp(-elapsed / self._time_constant)
        total = 0
        for index, (old, new) in enumerate(zip(before.counts, counters.counts, strict=True)):
            grown = [after - early for early, after in zip(old, new, strict=True)]
            tokens = sum(grown)
            if tokens > 0:
                self._take_layer(index, [count / tokens for count in grown], weight)
                total += tokens
        if not total:
            return Observation.EMPTY
        self.volume_rate = total / len(self._mean) / elapsed
        return Observation.TAKEN

    def _take_layer(self, index: int, shares: list[float], weight: float) -> None:
        seen = self._samples[index]
        # The first samples are averaged evenly: a fixed weight would keep the first one for long.
        weight = max(weight, 1.0 / (seen + 1))
        rest = 1.0 - weight
        if seen:
            self._mean[index] = [
                rest * mean + weight * share
                for mean, share in zip(self._mean[index], shares, strict=True)
            ]
            self._update_noise(index, shares)
            self._trend[index] = [
                (1.0 - TREND_WEIGHT) * lead + TREND_WEIGHT * (share - mean)
                for lead, share, mean in zip(
                    self._trend[index], shares, self._mean[index], strict=True
                )
            ]
        else:
            self._mean[index] = shares
        squares = rest * rest * self._weight_squares[index] + weight * weight
        self._weight_squares[index] = squares if seen else 1.0
        self._latest[index] = shares
        self._samples[index] = seen + 1

    def _update_noise(self, index: int, shares: list[float]) -> None:
        weight = max(NOISE_WEIGHT, 1.0 / self._samples[index])
        rest = 1.0 - weight
        factor = weight * DEVIATION_OF_DIFFERENCE
        # A jump in popularity is one huge difference. Unclipped it would pass for noise for long
        # after, and hide the very change that a decision should answer.
        most = CLIP if self._samples[index] > MIN_SAMPLES else math.inf
        self._noise[index] = [
            rest * noise + factor * min(abs(share - last), most * noise / DEVIATION_OF_DIFFERENCE)
            for noise, share, last in zip(
                self._noise[index], shares, self._latest[index], strict=True
            )
        ]


def _fell(old: Sequence[Sequence[int]], new: Sequence[Sequence[int]]) -> bool:
    return any(
        after < before
        for early, late in zip(old, new, strict=True)
        for before, after in zip(early, late, strict=True)
    )
