"""Decides whether to rebalance a group now, and which experts to move.

Gain and cost are both expressed in seconds of the group's step time. The gain is the step time that
a better balance saves over the horizon. The cost is the time that the weight store spends on the
change, plus the delay of every running request by the one step that the switch may take. The
operator sets the weight of a second of gain and of a second of cost.

Example:
    >>> policy = Policy(group, clock)
    >>> policy.observe(counters)
    >>> match policy.decide(current, Situation()):
    ...     case Keep(reason=reason): print(reason)
    ...     case Rebalance(map=new): change_to(new)
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.balance import LayerBalance
from carawayhub.groups.decisions import (
    Decision,
    Keep,
    PolicyOptions,
    Reason,
    Rebalance,
    Situation,
)
from carawayhub.groups.loads import (
    LayerPlacement,
    evaluate_placement,
    layer_skew,
    load_error,
    rank_loads,
)
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.outcomes import Outcome, Outcomes
from carawayhub.groups.popularity import ExpertCounters, Observation, Popularity
from carawayhub.groups.recompute import matched_row, recomputed_row

MIN_STALE_SECONDS = 60.0
STALE_INTERVALS = 5
STEPS_PER_LAYER = 8
MIN_SAVED_SECONDS = 1e-9


@dataclass(frozen=True, slots=True)
class _LayerPlan:
    layer: int
    row: tuple[int, ...]
    gain: float
    gain_lower_bound: float
    fetches: int


@dataclass(frozen=True, slots=True, kw_only=True)
class _Rates:
    """Weighted seconds saved by lowering one layer's skew by 1.0, and spent on one fetch."""

    skew_value: float
    fetch_cost: float


class Policy:
    """The rebalancing policy of one group.

    Its estimates are soft state, which a new process rebuilds from new counters.

    Args:
        group: The group and its weights.
        clock: Clock that measures the age of the counters.
        options: Assumptions behind a decision.
        popularity: The estimator; a default ``Popularity`` if None.
    """

    __slots__ = (
        "_clock",
        "_group",
        "_options",
        "_outcomes",
        "_popularity",
        "_observed_at",
        "_report_interval",
        "_decision_count",
    )

    def __init__(
        self,
        group: ModelGroup,
        clock: Clock,
        *,
        options: PolicyOptions | None = None,
        popularity: Popularity | None = None,
    ) -> None:
        self._group = group
        self._clock = clock
        self._options = options or PolicyOptions()
        self._popularity = popularity or Popularity(layers=group.layers, experts=group.experts)
        self._outcomes = Outcomes(group.ranks, self._options.horizon)
        self._observed_at = -math.inf
        self._report_interval = 0.0
        self._decision_count = 0

    @property
    def horizon(self) -> float:
        """Seconds for which a gain is expected to last, estimated from past changes."""
        return self._outcomes.lifetime(self._clock.monotonic())

    def observe(self, counters: ExpertCounters) -> Observation:
        """Update the estimates with a report of counters."""
        result = self._popularity.observe(counters)
        if result is not Observation.TAKEN:
            return result
        now = self._clock.monotonic()
        if self._observed_at > -math.inf:
            self._report_interval = now - self._observed_at
        self._observed_at = now
        self._outcomes.observe(self._popularity, now)
        return result

    def skew(self, current: ExpertMap) -> float:
        """Return the current estimate of the step-time skew under ``current``."""
        return _mean(self._layer_skews(current))

    def loads(self, current: ExpertMap) -> tuple[float, ...]:
        """Return each rank's load over all layers, with mean 1.0."""
        layers = [
            rank_loads(row, self._popularity.expected(layer), self._group.ranks)
            for layer, row in enumerate(current.layers)
        ]
        return tuple(_mean(loads) for loads in zip(*layers, strict=True))

    def decide(self, current: ExpertMap, situation: Situation) -> Decision:
        """Return whether to keep or replace ``current``, the map in force."""
        skews = self._layer_skews(current)
        skew = _mean(skews)
        blocking_reason = self._blocking_reason(situation)
        if blocking_reason is not None:
            return Keep(reason=blocking_reason, skew=skew)
        plans = self._plans(current, skews, situation)
        if not plans:
            no_plan_reason = Reason.STRAGGLER if situation.stragglers else Reason.BALANCED
            return Keep(reason=no_plan_reason, skew=skew)
        return self._decide_from_plans(current, plans, skew, situation)

    def applied(self, old: ExpertMap, decision: Rebalance) -> None:
        """Start to measure the gain of ``decision``, whose map has replaced ``old``."""
        expected = decision.skew - decision.expected_skew
        self._outcomes.start(old, decision.map, expected, self._clock.monotonic())

    def measured(self) -> tuple[Outcome, ...]:
        """Return the outcomes of changes whose measurement ended since the last call."""
        return self._outcomes.take_finished()

    def _layer_skews(self, current: ExpertMap) -> list[float]:
        return [
            layer_skew(row, self._popularity.expected(layer), self._group.ranks)
            for layer, row in enumerate(current.layers)
        ]

    def _blocking_reason(self, situation: Situation) -> Reason | None:
        if situation.draining:
            return Reason.DRAINING
        if situation.changing:
            return Reason.CHANGING
        if self._group.skew_weight <= 0.0:
            return Reason.NO_WEIGHT
        if situation.staging_rate <= 0.0:
            return Reason.NO_STAGING
        if not self._popularity.ready:
            return Reason.LEARNING
        # After a pause, or a loss of contact with the engine, the estimate is out of date. A
        # decision based on it would move weights for a popularity that no longer exists.
        if self._clock.monotonic() - self._observed_at > self._stale_after():
            return Reason.STALE
        return None

    def _stale_after(self) -> float:
        return max(MIN_STALE_SECONDS, STALE_INTERVALS * self._report_interval)

    def _plans(
        self, current: ExpertMap, skews: Sequence[float], situation: Situation
    ) -> list[_LayerPlan]:
        """Return the plans of layers worth changing, most skewed layer first."""
        rates = _Rates(
            skew_value=self._seconds_per_skew(_mean(skews), situation),
            fetch_cost=self._weighted_fetch_cost(situation),
        )
        remaining_steps = self._options.search_budget.steps
        self._decision_count += 1
        plans = []
        for layer in sorted(range(len(skews)), key=lambda index: -skews[index]):
            if remaining_steps <= 0 or (skews[layer] - 1.0) * rates.skew_value <= MIN_SAVED_SECONDS:
                break
            if not self._can_pay_off(current.layers[layer], layer, skews[layer], rates):
                continue
            max_steps = min(remaining_steps, STEPS_PER_LAYER)
            plan, taken = self._plan_layer(current.layers[layer], layer, max_steps, rates)
            remaining_steps -= taken
            if plan is not None:
                plans.append(plan)
        return plans

    def _can_pay_off(self, row: tuple[int, ...], layer: int, skew: float, rates: "_Rates") -> bool:
        """Return whether perfect balance in a layer, less noise, would be worth one fetch."""
        ranks = self._group.ranks
        loads = rank_loads(row, self._popularity.expected(layer), ranks)
        busiest = max(range(ranks), key=loads.__getitem__)
        error = load_error(row, self._popularity.errors(layer), ranks, busiest)
        return (
            skew - 1.0 - self._options.min_standard_errors * error
        ) * rates.skew_value > rates.fetch_cost

    def _plan_layer(
        self, row: tuple[int, ...], layer: int, max_steps: int, rates: "_Rates"
    ) -> tuple[_LayerPlan | None, int]:
        """Return the best plan for a layer, if any, and the number of steps tried."""
        slow_search = self._has_slow_search_turn(layer)
        balance = LayerBalance(row, self._popularity.expected(layer), self._group.ranks)
        start = balance.placement()
        candidates = list(balance.improve(max_steps, shifts=1 if slow_search else 0))
        plan = self._best_plan(layer, start, candidates, rates)
        # Recomputing the placement is the last resort: it moves most of a layer, and no urgent
        # change can begin while the weights are staged.
        least = self._group.ranks * rates.fetch_cost
        if plan is None and slow_search and (start.skew - 1.0) * rates.skew_value > least:
            plan = self._best_plan(layer, start, [self._recomputed_placement(row, layer)], rates)
        return plan, max(1, len(candidates))

    def _has_slow_search_turn(self, layer: int) -> bool:
        """Return whether this decision runs the slow searches for ``layer``."""
        period = -(-self._group.layers // self._options.search_budget.slow_searches)
        return (layer + self._decision_count) % period == 0

    def _recomputed_placement(self, row: tuple[int, ...], layer: int) -> LayerPlacement:
        """Return a placement computed from scratch, for a layer that steps cannot balance."""
        ranks = self._group.ranks
        shares = self._popularity.expected(layer)
        new = recomputed_row(shares, ranks=ranks, slots=len(row) // ranks)
        return evaluate_placement(matched_row(new, row, ranks=ranks), row, shares, ranks)

    def _best_plan(
        self,
        layer: int,
        start: LayerPlacement,
        candidates: Sequence[LayerPlacement],
        rates: "_Rates",
    ) -> _LayerPlan | None:
        ranks = self._group.ranks
        errors = self._popularity.errors(layer)
        before = load_error(start.row, errors, ranks, start.busiest)
        best: _LayerPlan | None = None
        best_value = 0.0
        for candidate in candidates:
            gain = start.skew - candidate.skew
            after = load_error(candidate.row, errors, ranks, candidate.busiest)
            lower_bound = gain - self._options.min_standard_errors * math.hypot(before, after)
            value = lower_bound * rates.skew_value - candidate.fetches * rates.fetch_cost
            if value > best_value:
                best_value = value
                best = _LayerPlan(layer, candidate.row, gain, lower_bound, candidate.fetches)
        return best

    def _seconds_per_skew(self, skew: float, situation: Situation) -> float:
        """Return the weighted seconds saved by lowering one layer's skew by 1.0."""
        saved_seconds = self.horizon * (1.0 - situation.routing_share)
        return self._group.skew_weight * saved_seconds / skew / self._group.layers

    def _weighted_fetch_cost(self, situation: Situation) -> float:
        return self._group.rebalancing_weight * self._staging_cost(1, situation)

    def _staging_cost(self, fetches: int, situation: Situation) -> float:
        """Return the cost of ``fetches`` on the weight store, in seconds of step time."""
        seconds = fetches * self._group.expert_bytes / situation.staging_rate
        return seconds * self._options.staging_cost_factor * self._surge_factor(situation)

    def _surge_factor(self, situation: Situation) -> float:
        in_surge = situation.utilisation >= self._options.surge_utilisation
        return self._options.surge_cost_factor if in_surge else 1.0

    def _within_staging_limit(
        self, plans: Sequence[_LayerPlan], situation: Situation
    ) -> Sequence[_LayerPlan]:
        """Return the plans with the most gain per fetch, up to what one change may stage.

        No other change can begin during staging, so a large change would delay an urgent one.
        """
        seconds = self._group.expert_bytes / situation.staging_rate
        left = self._options.max_staging_seconds / seconds
        selected: list[_LayerPlan] = []
        for plan in sorted(plans, key=lambda item: -item.gain_lower_bound / max(1, item.fetches)):
            if selected and plan.fetches > left:
                continue
            selected.append(plan)
            left -= plan.fetches
        return selected

    def _decide_from_plans(
        self,
        current: ExpertMap,
        plans: Sequence[_LayerPlan],
        skew: float,
        situation: Situation,
    ) -> Decision:
        skew_value = self._seconds_per_skew(skew, situation)
        plans = self._within_staging_limit(plans, situation)
        fetches = sum(plan.fetches for plan in plans)
        surge_factor = self._surge_factor(situation)
        switch_seconds = situation.step_seconds * (1 + situation.running) * surge_factor
        value = sum(plan.gain_lower_bound for plan in plans) * skew_value
        cost_seconds = self._staging_cost(fetches, situation) + switch_seconds
        cost = self._group.rebalancing_weight * cost_seconds
        if value <= cost:
            rejection = Reason.SURGE if surge_factor > 1.0 else Reason.NOT_WORTH_IT
            return Keep(reason=rejection, skew=skew)
        rows = list(current.layers)
        for plan in plans:
            rows[plan.layer] = plan.row
        size = self._group.expert_bytes
        return Rebalance(
            reason=Reason.GAIN,
            map=current.with_layers(rows),
            skew=skew,
            expected_skew=skew - sum(plan.gain for plan in plans) / self._group.layers,
            gain_seconds=value / self._group.skew_weight,
            cost_seconds=cost_seconds,
            fetches=fetches,
            bytes=fetches * size,
        )


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 1.0
