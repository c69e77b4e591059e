"""Ways to rebalance that the product's policy is measured against."""

from collections.abc import Sequence
from typing import Protocol

from carawayhub.clock import ManualClock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.balance import LayerBalance
from carawayhub.groups.decisions import Keep, PolicyOptions, Rebalance, Situation
from carawayhub.groups.loads import layer_skew
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.policy import Policy
from carawayhub.groups.popularity import ExpertCounters, Popularity
from carawayhub.groups.recompute import matched_row, recomputed_row

THRESHOLD = 1.25
POLISH_STEPS = 4
DEVIATION_WEIGHT = 0.1


class Strategy(Protocol):
    """What the replay asks."""

    def observe(self, counters: ExpertCounters) -> None:
        """Take a report of counters."""

    def decide(self, current: ExpertMap, situation: Situation, skew: float) -> ExpertMap:
        """Return the map to use; ``skew`` is the step-time skew measured last."""


class Never:
    """Keeps the first map."""

    __slots__ = ()

    def observe(self, counters: ExpertCounters) -> None:
        """Look at nothing."""

    def decide(self, current: ExpertMap, situation: Situation, skew: float) -> ExpertMap:
        """Return ``current``."""
        return current


class Full:
    """Works out the whole map anew at each decision, above a threshold of measured skew.

    Args:
        group: The group.
        threshold: Measured step-time skew from which it acts; 0 for always.
    """

    __slots__ = ("_group", "_popularity", "_threshold")

    def __init__(self, group: ModelGroup, threshold: float = 0.0) -> None:
        self._group = group
        self._threshold = threshold
        self._popularity = Popularity(layers=group.layers, experts=group.experts)

    def observe(self, counters: ExpertCounters) -> None:
        """Take a report of counters."""
        self._popularity.observe(counters)

    def decide(self, current: ExpertMap, situation: Situation, skew: float) -> ExpertMap:
        """Return a new map where the threshold is passed."""
        if skew < self._threshold or not self._popularity.ready:
            return current
        ranks = self._group.ranks
        rows = []
        for layer, old in enumerate(current.layers):
            mean = self._popularity.mean(layer)
            new = recomputed_row(mean, ranks=ranks, slots=current.slots)
            rows.append(matched_row(new, old, ranks=ranks))
        return current.with_layers(rows)


class WithPolicy:
    """The product's policy.

    Args:
        group: The group with its weights.
        clock: The replay's clock.
        options: What a decision assumes.
        popularity: Another estimator, or None.
    """

    __slots__ = ("decisions", "policy")

    def __init__(
        self,
        group: ModelGroup,
        clock: ManualClock,
        options: PolicyOptions | None = None,
        popularity: Popularity | None = None,
    ) -> None:
        self.policy = Policy(group, clock, options=options, popularity=popularity)
        self.decisions: list[str] = []

    def observe(self, counters: ExpertCounters) -> None:
        """Take a report of counters."""
        self.policy.observe(counters)

    def decide(self, current: ExpertMap, situation: Situation, skew: float) -> ExpertMap:
        """Return the map that the policy wants."""
        match self.policy.decide(current, situation):
            case Keep(reason=reason):
                self.decisions.append(reason.name)
                return current
            case Rebalance() as decision:
                self.decisions.append(decision.reason.name)
                self.policy.applied(current, decision)
                return decision.map


class DeviationPopularity(Popularity):
    """The paper's deviation: a moving mean of the distance to the moving mean."""

    __slots__ = ()

    def _update_noise(self, index: int, shares: list[float]) -> None:
        self._noise[index] = [
            (1.0 - DEVIATION_WEIGHT) * noise + DEVIATION_WEIGHT * abs(share - mean)
            for noise, share, mean in zip(
                self._noise[index], shares, self._mean[index], strict=True
            )
        ]


class IndifferencePoint:
    """The paper's rule: act on mean plus deviation beyond a point that is worked out beforehand.

    At the point, the step time that an even balance would save over the horizon equals the cost of
    moving one expert in each layer. Layers beyond it are improved until they are below it.

    Args:
        group: The group with its weights.
        horizon: Seconds over which a better balance is expected to last.
        staging_rate: Bytes a second that the weight store gives.
    """

    __slots__ = ("_group", "_point", "_popularity")

    def __init__(self, group: ModelGroup, horizon: float, staging_rate: float) -> None:
        self._group = group
        cost = group.layers * group.expert_bytes / staging_rate * group.rebalancing_weight
        self._point = 1.0 + cost / (group.skew_weight * horizon)
        self._popularity = DeviationPopularity(layers=group.layers, experts=group.experts)

    def observe(self, counters: ExpertCounters) -> None:
        """Take a report of counters."""
        self._popularity.observe(counters)

    def decide(self, current: ExpertMap, situation: Situation, skew: float) -> ExpertMap:
        """Return a map whose layers are below the point by small steps, where that can be."""
        if not self._popularity.ready:
            return current
        rows = [self._improved(layer, row) for layer, row in enumerate(current.layers)]
        return current if tuple(rows) == current.layers else current.with_layers(rows)

    def _improved(self, layer: int, row: tuple[int, ...]) -> tuple[int, ...]:
        shares = self._upper(layer)
        if layer_skew(row, shares, self._group.ranks) <= self._point:
            return row
        best = row
        for stage in LayerBalance(row, shares, self._group.ranks).improve(8):
            best = stage.row
            if stage.skew <= self._point:
                break
        return best

    def _upper(self, layer: int) -> Sequence[float]:
        deviations = self._popularity.deviation(layer)
        raised = [a + b for a, b in zip(self._popularity.mean(layer), deviations, strict=True)]
        total = sum(raised)
        return [value / total for value in raised]


def oracle_rows(shares: Sequence[Sequence[float]], ranks: int, slots: int) -> list[tuple[int, ...]]:
    """Return the placement for shares that are known, improved by small steps."""
    rows = []
    for layer in shares:
        row = recomputed_row(layer, ranks=ranks, slots=slots)
        best = LayerBalance(row, layer, ranks).placement()
        for stage in LayerBalance(row, layer, ranks).improve(POLISH_STEPS):
            best = min(best, stage, key=lambda item: item.skew)
        rows.append(best.row)
    return rows
