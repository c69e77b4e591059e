"""The stated targets of rebalancing, set beside the measured table."""

from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.rebalance_rows import Row
from benchmarks.rebalance_timing import Timing

P99_OVER_FULL = 1.10
SKEW_FIRST_BYTES = 0.25
COST_FIRST_BYTES = 0.10
COST_FIRST_WAY = 0.5
DECISION_MS = 100.0
# Below this difference of means, never and full count as equal and there is no way between them.
LEAST_DIFFERENCE = 0.005
WITHOUT_TREND = ("noise", "straggler")


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One target on one trace."""

    size: str
    trace: str
    target: str
    limit: float
    measured: float
    met: bool


def targets(rows: Sequence[Row], timings: Sequence[Timing]) -> list[Target]:
    """Return every target with what was measured."""
    found: list[Target] = []
    for size, trace in dict.fromkeys((row.size, row.trace) for row in rows):
        by_name = {row.strategy: row for row in rows if (row.size, row.trace) == (size, trace)}
        if trace in WITHOUT_TREND:
            found.extend(_still(by_name))
        else:
            found.extend(_skew_first(by_name))
            found.extend(_cost_first(by_name))
    found.extend(
        _target("64x64", "60 layers", "decision ms", DECISION_MS, timing.max_ms)
        for timing in timings
        if timing.call == "decide"
    )
    return found


def _still(rows: dict[str, Row]) -> list[Target]:
    return [
        _of(row, f"{name}: changes", 0.0, row.changes)
        for name, row in rows.items()
        if name.startswith("policy")
    ]


def _skew_first(rows: dict[str, Row]) -> list[Target]:
    full, row = rows["full"], rows["policy, skew first"]
    return [
        _of(row, "skew first: p99 over full", P99_OVER_FULL, row.skew_p99 / full.skew_p99),
        _of(row, "skew first: bytes over full", SKEW_FIRST_BYTES, row.moved_gb / full.moved_gb),
    ]


def _cost_first(rows: dict[str, Row]) -> list[Target]:
    never, full, row = rows["never"], rows["full"], rows["policy, cost first"]
    found = [
        _of(row, "cost first: bytes over full", COST_FIRST_BYTES, row.moved_gb / full.moved_gb)
    ]
    way = never.skew_mean - full.skew_mean
    if way > LEAST_DIFFERENCE:
        part = (row.skew_mean - full.skew_mean) / way
        found.append(_of(row, "cost first: mean, full 0 to never 1", COST_FIRST_WAY, part))
    return found


def _of(row: Row, target: str, limit: float, measured: float) -> Target:
    return _target(row.size, row.trace, target, limit, measured)


def _target(size: str, trace: str, target: str, limit: float, measured: float) -> Target:
    return Target(
        size=size,
        trace=trace,
        target=target,
        limit=limit,
        measured=measured,
        met=measured <= limit,
    )
