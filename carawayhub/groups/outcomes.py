"""Measured gains of past rebalances, set beside what was expected of them.

While a change is young, every new interval of counters is laid over both the map before and the
map after it. The difference in skew is the gain that came true; it needs no trial and no clock of
another machine, and holds under the load model of :mod:`carawayhub.groups.loads`.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from carawayhub.groups.loads import layer_skew
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.popularity import Popularity

MOST_OPEN = 4
LEAST_KEPT = 0.05
LEAST_GONE = 0.01
MOST_WINDOWS = 16.0
MOST_FACTOR = 8.0
LEARNING_RATE = 0.3
RECOVERY_SECONDS = 3600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What became of one change.

    Attributes:
        map_number: Number of the map it led to.
        expected: Fall in step-time skew that was expected.
        measured: Mean fall over the time of measurement.
        seconds: How long it was measured.
    """

    map_number: int
    expected: float
    measured: float
    seconds: float


@dataclass(slots=True)
class _Open:
    map_number: int
    layer_count: int
    rows: list[tuple[int, tuple[int, ...], tuple[int, ...]]]
    expected: float
    started: float
    ends: float
    gains: list[float] = field(default_factory=list)


class Outcomes:
    """Follows the latest changes of one group.

    Args:
        ranks: Ranks of the group.
        window: Seconds for which a change is measured.
    """

    __slots__ = ("_finished", "_learnt_at", "_lifetime", "_open", "_ranks", "_window")

    def __init__(self, ranks: int, window: float) -> None:
        self._ranks = ranks
        self._window = window
        self._open: list[_Open] = []
        self._finished: list[Outcome] = []
        self._lifetime = window
        self._learnt_at = 0.0

    def lifetime(self, now: float) -> float:
        """Return for how long a gain lasts, in seconds, as far as past changes tell."""
        if self._lifetime >= self._window:
            return self._lifetime
        # A group whose changes failed would otherwise never make the change that could show that
        # times are better: a short lifetime climbs back within hours without changes.
        age = max(0.0, now - self._learnt_at)
        return self._window - (self._window - self._lifetime) * math.exp(-age / RECOVERY_SECONDS)

    def _learn(self, item: "_Open", measured: float, now: float) -> None:
        """Take in what one change tells.

        With a gain that fades exponentially, the part kept on average over a time gives the time
        after which it has faded to 1/e; this is that relation in a form that is cheap and at most
        a fifth too high.
        """
        kept = min(1.0, max(LEAST_KEPT, measured / item.expected))
        gone = max(1.0 - kept, LEAST_GONE)
        factor = min(MOST_FACTOR, kept * (1.0 + kept / (2.0 * gone)))
        seen = (now - item.started) * factor
        mixed = (1.0 - LEARNING_RATE) * math.log(self.lifetime(now))
        mixed += LEARNING_RATE * math.log(max(1.0, seen))
        self._lifetime = min(MOST_WINDOWS * self._window, math.exp(mixed))
        self._learnt_at = now

    def start(self, old: ExpertMap, new: ExpertMap, expected: float, now: float) -> None:
        """Begin to measure a change."""
        rows = [
            (layer, before, after)
            for layer, (before, after) in enumerate(zip(old.layers, new.layers, strict=True))
            if before != after
        ]
        item = _Open(new.number, len(new.layers), rows, expected, now, now + self._window)
        self._open.append(item)
        if len(self._open) > MOST_OPEN:
            self._finish(self._open.pop(0), now)

    def observe(self, popularity: Popularity, now: float) -> None:
        """Lay the latest interval over every change that is being measured."""
        still_open = []
        for item in self._open:
            item.gains.append(self._gain(item, popularity))
            if now < item.ends:
                still_open.append(item)
            else:
                self._finish(item, now)
        self._open = still_open

    def take_finished(self) -> tuple[Outcome, ...]:
        """Return the outcomes found since the last call."""
        finished = tuple(self._finished)
        self._finished.clear()
        return finished

    def _gain(self, item: _Open, popularity: Popularity) -> float:
        total = 0.0
        for layer, before, after in item.rows:
            shares = popularity.latest(layer)
            total += self._skew(before, shares) - self._skew(after, shares)
        return total / item.layer_count

    def _skew(self, row: tuple[int, ...], shares: Sequence[float]) -> float:
        return layer_skew(row, shares, self._ranks)

    def _finish(self, item: _Open, now: float) -> None:
        measured = sum(item.gains) / len(item.gains) if item.gains else 0.0
        self._finished.append(
            Outcome(
                map_number=item.map_number,
                expected=item.expected,
                measured=measured,
                seconds=now - item.started,
            )
        )
        del self._finished[:-MOST_OPEN]
        if item.expected <= 0 or not item.gains:
            return
        self._learn(item, measured, now)
