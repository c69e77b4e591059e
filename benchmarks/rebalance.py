"""Skew and cost of rebalancing on seeded traces: ``python -m benchmarks.rebalance [--json]``.

Counters reach the strategies one interval late where intervals are short; 5% of the reports are
lost and the counting engine restarts once. A new map is in force half a minute after its decision,
at the earliest one interval later. A larger one takes the time that the weight store needs for it,
but for the two strategies that recompute: theirs is in force after half a minute whatever its size,
which favours them.
"""

import argparse
import json
import math
import random
import sys
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, replace
from typing import Any

from benchmarks.popularity_traces import FULL_SIZE, TODAY, TRACES, Size, Trace
from benchmarks.rebalance_rows import Row
from benchmarks.rebalance_strategies import (
    THRESHOLD,
    DeviationPopularity,
    Full,
    IndifferencePoint,
    Never,
    Strategy,
    WithPolicy,
    oracle_rows,
)
from benchmarks.rebalance_targets import targets
from benchmarks.rebalance_timing import timings
from carawayhub.clock import ManualClock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.decisions import PolicyOptions, SearchBudget, Situation
from carawayhub.groups.loads import rank_loads
from carawayhub.groups.maps import ExpertMap, moved_bytes
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.recompute import recomputed_row
from carawayhub.groups.stragglers import Straggler

SEED = 20240
TOKENS = 1_000_000
LOST_REPORTS = 0.05
STAGING_SECONDS = 30.0
DECISION_SECONDS = 30.0
EXPERT_BYTES = 44_000_000
STAGING_RATE = 1_000_000_000.0
ORACLE_EVERY = 4
SKEW_FIRST = (0.8, 0.2)
COST_FIRST = (0.2, 0.8)


def group_of(size: Size, weights: tuple[float, float] = (0.5, 0.5)) -> ModelGroup:
    """Return a group whose simulated layers carry the bytes of all the real ones."""
    return ModelGroup(
        name="group",
        model="model",
        endpoints=("endpoint",),
        ranks=size.ranks,
        experts=size.experts,
        layers=size.layers,
        spare_slots=size.spare_slots,
        expert_bytes=EXPERT_BYTES * size.real_layers // size.layers,
        skew_weight=weights[0],
        rebalancing_weight=weights[1],
    )


def options_of(size: Size, trace: Trace, **changes: Any) -> PolicyOptions:
    """Return options whose effort is what a group of the real number of layers can spend.

    A decision of the trace stands for all that are taken in its time, one every half minute.
    """
    spacing = trace.interval * trace.decide_every
    part = size.layers / size.real_layers * max(1.0, spacing / DECISION_SECONDS)
    whole = SearchBudget()
    search_budget = SearchBudget(
        steps=round(whole.steps * part),
        slow_searches=min(size.layers, max(1, round(whole.slow_searches * part))),
    )
    return replace(PolicyOptions(search_budget=search_budget), **changes)


def strategies(size: Size, trace: Trace, clock: ManualClock) -> dict[str, Strategy]:
    """Return the strategies of the table by name."""
    skew_first, cost_first = group_of(size, SKEW_FIRST), group_of(size, COST_FIRST)
    options = options_of(size, trace)
    untested = options_of(size, trace, min_standard_errors=0.0)
    deviation = DeviationPopularity(layers=size.layers, experts=size.experts)
    return {
        "never": Never(),
        "full": Full(group_of(size)),
        "threshold": Full(group_of(size), THRESHOLD),
        "policy, skew first": WithPolicy(skew_first, clock, options),
        "policy, cost first": WithPolicy(cost_first, clock, options),
        "  skew first, paper's deviation": WithPolicy(skew_first, clock, options, deviation),
        "  skew first, no noise test": WithPolicy(skew_first, clock, untested),
        "  paper's point, skew first": IndifferencePoint(skew_first, options.horizon, STAGING_RATE),
    }


def run(sizes: Sequence[Size] = (TODAY, FULL_SIZE), only: str = "", seed: int = SEED) -> list[Row]:
    """Replay every trace at every size under every strategy, in two processes."""
    jobs = [
        (size, number, seed)
        for size in sizes
        for number, make in enumerate(TRACES)
        if only in ("", make.__name__)
    ]
    with ProcessPoolExecutor(max_workers=2) as pool:
        return [row for rows in pool.map(_replay_all, jobs) for row in rows]


def _replay_all(job: tuple[Size, int, int]) -> list[Row]:
    size, number, seed = job
    trace = TRACES[number](size, seed + number)
    names = strategies(size, trace, ManualClock())
    return [*(replay(size, trace, name) for name in names), oracle(size, trace)]


def replay(size: Size, trace: Trace, name: str) -> Row:
    """Run one strategy over one trace."""
    clock = ManualClock()
    strategy = strategies(size, trace, clock)[name]
    group = group_of(size)
    slots = size.experts // size.ranks + size.spare_slots
    layers = [recomputed_row(row, ranks=size.ranks, slots=slots) for row in trace.start]
    current = ExpertMap(number=1, ranks=size.ranks, layers=tuple(layers))
    reports = _Reports(size)
    pending: ExpertMap | None = None
    due = 0
    skews: list[float] = []
    times: list[float] = []
    moved = changes = 0
    for index, shares in enumerate(trace.shares):
        if pending is not None and index >= due:
            current, pending = pending, None
        skews.append(step_skew(current, shares, trace, index))
        clock.advance(trace.interval)
        lag = 1 if trace.interval <= STAGING_SECONDS else 0
        if index >= lag:
            counters = reports.next(trace.shares[index - lag], trace.interval)
            if counters is not None:
                strategy.observe(counters)
        if index % trace.decide_every or pending is not None:
            continue
        situation = situation_of(trace, index)
        started = time.perf_counter()
        wanted = strategy.decide(current, situation, skews[-1])
        times.append(time.perf_counter() - started)
        if wanted is not current:
            size_moved = moved_bytes(current, wanted, expert_bytes=group.expert_bytes)
            moved += size_moved
            changes += 1
            staging = 0.0 if isinstance(strategy, Full) else size_moved / STAGING_RATE
            seconds = max(STAGING_SECONDS, staging)
            pending, due = wanted, index + max(1, math.ceil(seconds / trace.interval))
    return Row(
        size=size.name,
        trace=trace.name,
        strategy=name,
        skew_mean=sum(skews) / len(skews),
        skew_p99=percentile(skews, 0.99),
        moved_gb=moved / 1e9,
        changes=changes,
        steps_stalled=changes,
        decisions=len(times),
        decision_ms_mean=1e3 * sum(times) / len(times),
        decision_ms_max=1e3 * max(times),
    )


def oracle(size: Size, trace: Trace) -> Row:
    """Return the skew of a map made for each interval's own shares; sampled to save time."""
    slots = size.experts // size.ranks + size.spare_slots
    skews = []
    for index in range(0, len(trace.shares), ORACLE_EVERY):
        shares = trace.shares[index]
        rows = oracle_rows(shares, size.ranks, slots)
        made = ExpertMap(number=1, ranks=size.ranks, layers=tuple(rows))
        skews.append(step_skew(made, shares, trace, index))
    return Row(
        size=size.name,
        trace=trace.name,
        strategy="oracle (knows the trace)",
        skew_mean=sum(skews) / len(skews),
        skew_p99=percentile(skews, 0.99),
        moved_gb=0.0,
        changes=len(skews),
        steps_stalled=0,
        decisions=len(skews),
        decision_ms_mean=0.0,
        decision_ms_max=0.0,
    )


def step_skew(
    current: ExpertMap, shares: Sequence[Sequence[float]], trace: Trace, index: int
) -> float:
    """Return the step time over that of an even load on ranks of ordinary speed."""
    total = 0.0
    for row, share in zip(current.layers, shares, strict=True):
        loads = rank_loads(row, share, current.ranks)
        if trace.slow_rank is not None:
            loads[trace.slow_rank] *= trace.slowness(index)
        total += max(loads)
    return total / len(current.layers)


def situation_of(trace: Trace, index: int) -> Situation:
    """Return what a strategy is told beside the counters."""
    slow: tuple[Straggler, ...] = ()
    if trace.slow_rank is not None and index > trace.slow_from + 3:
        slow = (Straggler(trace.slow_rank, trace.slowdown),)
    used = trace.utilisation[index]
    return Situation(
        utilisation=used,
        running=round(64 * used),
        staging_rate=STAGING_RATE,
        stragglers=slow,
    )


def percentile(values: Sequence[float], part: float) -> float:
    """Return the value that ``part`` of ``values`` do not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(part * len(ordered)) - 1)]


class _Reports:
    """Cumulative counters with lost reports and one restart of the engine."""

    __slots__ = ("_at", "_counts", "_made", "_rng")

    def __init__(self, size: Size) -> None:
        self._rng = random.Random(SEED)
        self._counts = [[0] * size.experts for _ in range(size.layers)]
        self._at = 0.0
        self._made = 0

    def next(self, shares: Sequence[Sequence[float]], interval: float) -> ExpertCounters | None:
        """Count one interval and return the report unless it is lost."""
        self._made += 1
        self._at += interval
        if self._made == 100:
            self._counts = [[0] * len(row) for row in self._counts]
        self._counts = [
            [count + round(TOKENS * share) for count, share in zip(row, layer, strict=True)]
            for row, layer in zip(self._counts, shares, strict=True)
        ]
        if self._rng.random() < LOST_REPORTS:
            return None
        counts = tuple(tuple(row) for row in self._counts)
        return ExpertCounters(source=0, taken_at=self._at, counts=counts)


def main(argv: Sequence[str] | None = None) -> int:
    """Print the table, or JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--trace", default="", help="only this trace")
    parser.add_argument("--seed", type=int, default=SEED, help="another set of traces")
    args = parser.parse_args(argv)
    rows = run(only=args.trace, seed=args.seed)
    times = timings(args.seed)
    goals = targets(rows, times)
    if args.json:
        parts = {
            "rows": [asdict(row) for row in rows],
            "timings": [asdict(timing) for timing in times],
            "targets": [asdict(goal) for goal in goals],
        }
        print(json.dumps(parts, indent=1))
        return 0
    print(table(rows))
    for timing in times:
        print(f"{timing.call}: mean {timing.mean_ms:.1f} ms, most {timing.max_ms:.1f} ms")
    for goal in goals:
        verdict = "met" if goal.met else "MISSED"
        print(
            f"{goal.size:6} {goal.trace:10} {goal.target:40} {goal.measured:8.3f} "
            f"(at most {goal.limit:g}) {verdict}"
        )
    return 0


def table(rows: Sequence[Row]) -> str:
    """Return ``rows`` as text."""
    lines = [
        f"{'size':6} {'trace':10} {'strategy':32} {'mean':>6} {'p99':>6} {'GB':>9} "
        f"{'changes':>7} {'ms':>6} {'max':>6}"
    ]
    for row in rows:
        lines.append(
            f"{row.size:6} {row.trace:10} {row.strategy:32} {row.skew_mean:6.3f} "
            f"{row.skew_p99:6.3f} {row.moved_gb:9.1f} {row.changes:7} "
            f"{row.decision_ms_mean:6.1f} {row.decision_ms_max:6.1f}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
