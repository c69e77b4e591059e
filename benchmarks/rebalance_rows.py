"""One line of the rebalancing table."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One strategy on one trace.

    Attributes:
        size: Ranks and experts a layer.
        trace: Name of the trace.
        strategy: Name of the strategy.
        skew_mean: Mean step-time skew over the intervals.
        skew_p99: Skew that 99 of 100 intervals do not exceed.
        moved_gb: Weights loaded, in GB.
        changes: Changes of the map.
        steps_stalled: Steps that a switch may have delayed; one for each change.
        decisions: How often the strategy was asked.
        decision_ms_mean: Mean time of an answer.
        decision_ms_max: Longest time of an answer.
    """

    size: str
    trace: str
    strategy: str
    skew_mean: float
    skew_p99: float
    moved_gb: float
    changes: int
    steps_stalled: int
    decisions: int
    decision_ms_mean: float
    decision_ms_max: float
