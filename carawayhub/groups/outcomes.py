"""Compares the measured gains of past rebalances with the expected gains.

For a limited time after a change, the skew in each new interval of counters is computed under both
the old and the new map. The difference is the achieved gain. It needs no experiment and no clock of
another machine, and is valid under the load model of :mod:`carawayhub.groups.loads`.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from carawayhub.groups.loads import layer_skew
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.popularity import Popularity

MAX_OPEN = 4
MIN_KEPT_FRACTION = 0.05
MIN_LOST_FRACTION = 0.01
MAX_LIFETIME_WINDOWS = 16.0
MAX_LIFETIME_FACTOR = 8.0
LEARNING_RATE = 0.3
RECOVERY_SECONDS = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """The measured result of one change.

    Attributes:
        map_number: Number of the new map.
        expected: Expected reduction in step-time skew.
        measured: Mean reduction over the measurement.
        seconds: Duration of the measurement.
    """

    map_number: int
    expected: float
    measured: float
    seconds: float


@dataclass(slots=True)
class _OpenMeasurement:
    map_number: int
    layer_count: int
    rows: list[tuple[int, tuple[int, ...], tuple[int, ...]]]
    expected: float
    started: float
    ends: float
    gains: list[float] = field(default_factory=list)


class Outcomes:
    """Measures the latest changes of one group.

    Args:
        ranks: Number of ranks in the group.
        window: Seconds for which a change is measured.
    """

    __slots__ = ("_finished", "_lifetime_updated_at", "_lifetime", "_open", "_ranks", "_window")

    def __init__(self, ranks: int, window: float) -> None:
        self._ranks = ranks
        self._window = window
        self._open: list[_OpenMeasurement] = []
        self._finished: list[Outcome] = []
        self._lifetime = window
        self._lifetime_updated_at = 0.0

    def lifetime(self, now: float) -> float:
        """Return how many seconds a gain lasts, estimated from past changes."""
        if self._lifetime >= self._window:
            return self._lifetime
        # After changes without lasting gain, a short lifetime would prevent the very change that
        # could show that gains last longer now. Without changes it therefore recovers within hours.
        age = max(0.0, now - self._lifetime_updated_at)
        return self._window - (self._window - self._lifetime) * math.exp(-age / RECOVERY_SECONDS)

    def _update_lifetime(self, item: "_OpenMeasurement", measured: float, now: float) -> None:
        """Update the expected lifetime with the result of one change.

        For a gain that decays exponentially, the mean fraction kept over a period determines the
        time after which it has decayed to 1/e. The formula is a cheap approximation of that
        relation and at most a fifth too high.
        """
        kept_fraction = min(1.0, max(MIN_KEPT_FRACTION, measured / item.expected))
        gone = max(1.0 - kept_fraction, MIN_LOST_FRACTION)
        factor = min(MAX_LIFETIME_FACTOR, kept_fraction * (1.0 + kept_fraction / (2.0 * gone)))
        observed_lifetime = (now - item.started) * factor
        log_lifetime = (1.0 - LEARNING_RATE) * math.log(self.lifetime(now))
        log_lifetime += LEARNING_RATE * math.log(max(1.0, observed_lifetime))
        self._lifetime = min(MAX_LIFETIME_WINDOWS * self._window, math.exp(log_lifetime))
        self._lifetime_updated_at = now

    def start(self, old: ExpertMap, new: ExpertMap, expected: float, now: float) -> None:
        """Start the measurement of a change."""
        rows = [
            (layer, before, after)
            for layer, (before, after) in enumerate(zip(old.layers, new.layers, strict=True))
            if before != after
        ]
        item = _OpenMeasurement(
            new.number, len(new.layers), rows, expected, now, now + self._window
        )
        self._open.append(item)
        if len(self._open) > MAX_OPEN:
            self._finish(self._open.pop(0), now)

    def observe(self, popularity: Popularity, now: float) -> None:
        """Add the gain in the latest interval to every open measurement."""
        still_open = []
        for item in self._open:
            item.gains.append(self._gain(item, popularity))
            if now < item.ends:
                still_open.append(item)
            else:
                self._finish(item, now)
        self._open = still_open

    def take_finished(self) -> tuple[Outcome, ...]:
        """Return the outcomes of measurements finished since the last call."""
        finished = tuple(self._finished)
        self._finished.clear()
        return finished

    def _gain(self, item: _OpenMeasurement, popularity: Popularity) -> float:
        total = 0.0
        for layer, before, after in item.rows:
            shares = popularity.latest(layer)
            total += self._skew(before, shares) - self._skew(after, shares)
        return total / item.layer_count

    def _skew(self, row: tuple[int, ...], shares: Sequence[float]) -> float:
        return layer_skew(row, shares, self._ranks)

    def _finish(self, item: _OpenMeasurement, now: float) -> None:
        measured = sum(item.gains) / len(item.gains) if item.gains else 0.0
        self._finished.append(
            Outcome(
                map_number=item.map_number,
                expected=item.expected,
                measured=measured,
                seconds=now - item.started,
            )
        )
        del self._finished[:-MAX_OPEN]
        if item.expected <= 0 or not item.gains:
            return
        self._update_lifetime(item, measured, now)
