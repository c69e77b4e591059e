"""Distinguishes ranks that are slow at a normal load from ranks that hold hot experts.

The load of a rank with hot experts explains its busy time, and moving experts helps it. A rank that
is slower than others at the same load has a fault of its own, such as a throttled accelerator or a
bad link. That is a health problem: routing sends the group less work until it is fixed.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from statistics import median

SLOWDOWN_LIMIT = 1.25
REPORTS_NEEDED = 3
MIN_RANKS = 3


@dataclass(frozen=True, slots=True)
class RankTiming:
    """Time that one rank spends on its own part of a step, without waiting for others.

    Attributes:
        rank: The rank.
        busy_seconds: Mean time of its own work per step.
        load: Its load, scaled to a mean of 1.0, computed from the map and the popularity.
    """

    rank: int
    busy_seconds: float
    load: float


@dataclass(frozen=True, slots=True)
class Straggler:
    """A rank that is slow for a reason other than its load.

    Attributes:
        rank: The rank.
        slowdown: Ratio of its time to the time that its load explains.
    """

    rank: int
    slowdown: float


class StragglerDetector:
    """Detects stragglers over several consecutive reports, so that one long pause is ignored."""

    __slots__ = ("_consecutive_reports", "_slowdowns")

    def __init__(self) -> None:
        self._consecutive_reports: dict[int, int] = {}
        self._slowdowns: dict[int, float] = {}

    def observe(self, timings: Sequence[RankTiming]) -> tuple[Straggler, ...]:
        """Process one report of all ranks and return the current stragglers."""
        slowdowns = _slowdowns(timings)
        self._consecutive_reports = {
            rank: self._consecutive_reports.get(rank, 0) + 1 for rank in slowdowns
        }
        self._slowdowns = slowdowns
        return self.stragglers()

    def stragglers(self) -> tuple[Straggler, ...]:
        """Return the current stragglers, slowest first."""
        found = [
            Straggler(rank, self._slowdowns[rank])
            for rank, run in self._consecutive_reports.items()
            if run >= REPORTS_NEEDED
        ]
        return tuple(sorted(found, key=lambda item: -item.slowdown))


def routing_weight(stragglers: Sequence[Straggler]) -> float:
    """Return the fraction of its usual work that a group can do, from 0 to 1.

    The slowest rank sets the pace of a lock-step group.
    """
    return 1.0 / max([1.0, *(item.slowdown for item in stragglers)])


def _slowdowns(timings: Sequence[RankTiming]) -> dict[int, float]:
    if len(timings) < MIN_RANKS:
        return {}
    slope = _slope(timings)
    base = median(item.busy_seconds - slope * item.load for item in timings)
    ratios = {}
    for item in timings:
        expected_seconds = base + slope * item.load
        if expected_seconds > 0 and item.busy_seconds > SLOWDOWN_LIMIT * expected_seconds:
            ratios[item.rank] = item.busy_seconds / expected_seconds
    return ratios


def _slope(timings: Sequence[RankTiming]) -> float:
    """Return seconds per unit of load: the median over pairs, robust to a few slow ranks."""
    slopes = [
        (right.busy_seconds - left.busy_seconds) / (right.load - left.load)
        for index, left in enumerate(timings)
        for right in timings[index + 1 :]
        if abs(right.load - left.load) > 0.01
    ]
    return max(0.0, median(slopes)) if slopes else 0.0
