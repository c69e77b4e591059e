"""Rate limits that stand-in replicas name, and whether entries keep to them together."""

import random
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass, field

WINDOW_SECONDS = 4.0
ALLOWED_TIMES = 1.5
ALLOWED_MORE = 5
STABLE_SECONDS = 3.0
"""Seconds from the first answer that names a limit on after which the bound holds."""

KNOWN_SECONDS = 0.5
"""Seconds after which an entry that passed such an answer on must keep to it."""

PARTS_A_SECOND = 20
ROUNDING = 1e-6


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a replica.

    Attributes:
        at: When.
        entry: Who sent it.
        replica: Id of the replica.
        in_touch: Whether the entry was in touch.
    """

    at: float
    entry: str
    replica: str
    in_touch: bool


@dataclass(frozen=True, slots=True)
class Window:
    """What a replica got in four seconds.

    Attributes:
        replica: Its id.
        until: End of the window.
        came: Requests that count.
        bound: What was allowed.
    """

    replica: str
    until: float
    came: int
    bound: float


@dataclass(slots=True)
class NamedLimits:
    """What replicas say of their limits over time.

    Attributes:
        changes: Moments and limits from them on, by replica; None for no limit.
        passed: When an entry first got an answer that names a limit, by replica and entry.
        swing: Part by which each answer names more or less than the limit.
    """

    changes: dict[str, list[tuple[float, float | None]]] = field(default_factory=dict)
    passed: dict[tuple[str, str], float] = field(default_factory=dict)
    swing: float = 0.0
    _middle: dict[str, float | None] = field(default_factory=dict)

    def name(self, replica: str, per_second: float | None, now: float) -> None:
        """Have a replica name a limit from now on, or none."""
        self._middle[replica] = per_second
        self.changes.setdefault(replica, []).append((now, per_second))

    def answered(self, replica: str, now: float, rng: random.Random) -> float | None:
        """Return the limit that an answer of a replica names."""
        limit = self._middle.get(replica)
        if limit is None or not self.swing:
            return limit
        limit *= rng.uniform(1.0 - self.swing, 1.0 + self.swing)
        self.changes[replica].append((now, limit))
        return limit

    def passed_on(self, replica: str, entry: str, now: float) -> None:
        """Note that an entry gets an answer that names a limit."""
        self.passed.setdefault((replica, entry), now)

    def at(self, replica: str, moment: float) -> float | None:
        """Return the limit that a replica named at a moment."""
        found = self.changes.get(replica, [])
        place = bisect_right([at for at, _ in found], moment)
        return found[place - 1][1] if place else None

    def exceeded(self, arrivals: Sequence[Arrival]) -> list[Window]:
        """Return the windows in which more came than the bound allows, each by its last arrival."""
        return [each for each in self._all_windows(arrivals) if each.came > each.bound + ROUNDING]

    def worst(self, arrivals: Sequence[Arrival]) -> float:
        """Return the largest part of its bound that a window took."""
        return max((each.came / each.bound for each in self._all_windows(arrivals)), default=0.0)

    def _all_windows(self, arrivals: Sequence[Arrival]) -> list[Window]:
        found = []
        for replica in self.changes:
            first = min((at for (of, _), at in self.passed.items() if of == replica), default=None)
            if first is None:
                continue
            counted = [
                each.at
                for each in arrivals
                if each.replica == replica
                and each.in_touch
                and self._must_keep(each)
                and each.at >= first + STABLE_SECONDS
            ]
            found += self._windows(replica, counted)
        return found

    def allowed(self, replica: str, since: float, until: float) -> float:
        """Return the requests that a replica's limit allows in a span, inf while it names none."""
        parts = max(1, round((until - since) * PARTS_A_SECOND))
        step = (until - since) / parts
        limits = [self.at(replica, since + step * (part + 0.5)) for part in range(parts)]
        if None in limits:
            return float("inf")
        return sum(each * step for each in limits if each is not None)

    def _must_keep(self, arrival: Arrival) -> bool:
        passed = self.passed.get((arrival.replica, arrival.entry))
        return passed is not None and passed <= arrival.at - KNOWN_SECONDS

    def _windows(self, replica: str, times: Sequence[float]) -> list[Window]:
        found = []
        for place, until in enumerate(times):
            since = until - WINDOW_SECONDS
            came = place + 1 - bisect_right(times, since, 0, place + 1)
            bound = ALLOWED_TIMES * self.allowed(replica, since, until) + ALLOWED_MORE
            found.append(Window(replica, until, came, bound))
        return found
