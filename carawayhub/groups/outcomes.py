"""Measured gains of past rebalances, set beside what was expected of them.

While a change is young, every new interval of counters is laid over both the map before and the
map after it. The difference in skew is the gain that came true; it needs no trial and no clock of
another machine, and holds under the load model of :mod:`carawayhub.groups.balance`.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from carawayhub.groups.balance import layer_skew
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.popularity import Popularity

MOST_OPEN = 8
LEAST_KEPT = 0.05
LEAST_GONE = 0.01
MOST_WINDOWS = 16.0
# The part kept at which the lifetime equals the window.
START_KEPT = 0.73
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

    __slots__ = ("_finished", "_kept", "_kept_at", "_open", "_ranks", "_window")

    def __init__(self, ranks: int, window: float) -> None:
        self._ranks = ranks
        self._window = window
        self._open: list[_Open] = []
        self._finished: list[Outcome] = []
        self._kept = START_KEPT
        self._kept_at = 0.0

    def lifetime(self, now: float) -> float:
        """Return for how long a gain lasts, in seconds, as far as past changes tell.

        With a gain that fades exponentially, the part that came true over the window gives the
        time after which it has faded to 1/e; this is that relation in a form that is cheap and a
        tenth too high at most.
        """
        kept = self._kept_now(now)
        gone = max(1.0 - kept, LEAST_GONE)
        return self._window * min(MOST_WINDOWS, kept * (1.0 + kept / (2.0 * gone)))

    def _kept_now(self, now: float) -> float:
        if self._kept >= START_KEPT:
            return self._kept
        # A group whose changes failed would otherwise never make the change that could show that
        # times are better: the part climbs back within hours without changes.
        age = max(0.0, now - self._kept_at)
        return START_KEPT - (START_KEPT - self._kept) * math.exp(-age / RECOVERY_SECONDS)

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
        kept = min(1.0, max(LEAST_KEPT, measured / item.expected))
        self._kept = (1.0 - LEARNING_RATE) * self._kept_now(now) + LEARNING_RATE * kept
        self._kept_at = now
