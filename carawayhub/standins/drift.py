"""Stand-in of the counters of tokens per expert: seeded popularity that drifts, seen late."""

import math
import random
from collections import deque

from carawayhub.groups.popularity import ExpertCounters
from carawayhub.standins.options import RankOptions

HOT_FALL = 0.7


class DriftingCounters:
    """Counts tokens by a popularity that drifts; readings lag and skip samples.

    Each layer begins with its experts in a random order of popularity. With each sample their
    logarithms take a random step and fall back a little towards where they began.

    Args:
        options: Shape of the group, speed of the drift, lag and loss.

    Attributes:
        hot: An expert that takes half of each layer's tokens, None for none.
    """

    __slots__ = ("_counts", "_first", "_logs", "_options", "_rng", "_samples", "hot")

    def __init__(self, options: RankOptions) -> None:
        self.hot: int | None = None
        self._options = options
        self._rng = random.Random(options.seed)
        self._first = [self._ordered() for _ in range(options.layers)]
        self._logs = [list(row) for row in self._first]
        self._counts = [[0] * options.experts for _ in range(options.layers)]
        self._samples: deque[ExpertCounters] = deque()

    def advance(self, now: float) -> None:
        """Count the tokens of one more interval that ends at clock reading ``now``."""
        options, rng = self._options, self._rng
        tokens = options.tokens_per_second * options.sample_s
        for layer, logs in enumerate(self._logs):
            for expert, start in enumerate(self._first[layer]):
                logs[expert] += 0.01 * (start - logs[expert]) + rng.gauss(0.0, options.drift)
            for expert, share in enumerate(self._shares(logs)):
                mean = share * tokens
                self._counts[layer][expert] += max(0, round(rng.gauss(mean, math.sqrt(mean))))
        lost = rng.random() < options.counter_loss
        if not lost:
            counts = tuple(tuple(row) for row in self._counts)
            self._samples.append(ExpertCounters(source=0, taken_at=now, counts=counts))
        while len(self._samples) > 1 and self._samples[1].taken_at <= now - options.counter_lag_s:
            self._samples.popleft()

    def read(self, now: float) -> ExpertCounters | None:
        """Return the newest counters that can be seen yet, None for none."""
        if not self._samples or self._samples[0].taken_at > now - self._options.counter_lag_s:
            return None
        return self._samples[0]

    def _ordered(self) -> list[float]:
        """Return logarithms that fall geometrically over the experts in a random order."""
        experts = self._options.experts
        logs = [-HOT_FALL * place for place in range(experts)]
        self._rng.shuffle(logs)
        return logs

    def _shares(self, logs: list[float]) -> list[float]:
        weights = [math.exp(log) for log in logs]
        total = sum(weights)
        shares = [weight / total for weight in weights]
        if self.hot is None:
            return shares
        return [0.5 * share + 0.5 * (expert == self.hot) for expert, share in enumerate(shares)]
