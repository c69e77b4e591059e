"""Bounds the requests in flight at a lock-step group so that its passes stay within the pause.

Handles demand that swings within seconds around what a group can give. All streams of a group share
each pass, so a group that is filled slightly past what its passes bear makes all of them late, by
milliseconds. The published profile says how a pass grows with the requests in flight; by how much
passes are longer than that is observed, since it depends on the expert map and on slow ranks. The
bound is the number of requests at which a pass is predicted to end within the accepted pause.
"""

from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.grouplimits import GroupShape

WINDOW_SECONDS = 0.5
"""Time over which passes are averaged: a few of them. The bound follows from the window with the
shorter passes of the two latest: after a change of demand passes are long for about a second, until
the expert map follows, and a bound would refuse callers for most of that time in vain."""

WINDOWS = 2

PASS_MARGIN = 0.1
"""Fraction of the accepted pause that is left for single passes, which differ from the mean by
about that much: one long pass of twenty makes a stream late."""

MIN_FRACTION = 0.5
"""Smallest bound as a fraction of the slots. If passes are so long that fewer requests were needed,
something else than the requests makes them long, and a bound would leave slots empty in vain."""

UPDATE_SECONDS = 0.1
"""Interval between two computations of a bound: about one pass."""


def request_bound(shape: GroupShape, windows: Sequence[Sequence[float]]) -> int | None:
    """Return the maximum number of requests in flight, None for no bound.

    Args:
        shape: The group.
        windows: For each of the latest windows, the observed durations of passes in relation to the
            profile. Windows without a sample say that the group was idle.
    """
    if not windows or not all(windows):
        return None
    stretch = min(sum(each) / len(each) for each in windows)
    most = requests_within(shape, stretch)
    if most >= shape.slots or most < MIN_FRACTION * shape.slots:
        return None
    return int(most)


def requests_within(shape: GroupShape, stretch: float) -> float:
    """Return the requests in flight at which a pass takes as long as callers accept.

    Args:
        shape: The group.
        stretch: Duration of passes in relation to the profile.
    """
    longest = shape.gap * (1.0 - PASS_MARGIN) / stretch
    idle = shape.pass_seconds(0.0)
    per_request = shape.pass_seconds(1.0) - idle
    return max(0.0, longest - idle) / per_request


@dataclass(frozen=True, slots=True)
class _Sample:
    """One observed pass.

    Attributes:
        at: When it was observed.
        stretch: Its duration in relation to the profile.
    """

    at: float
    stretch: float


class _Group:
    """Observed passes of one group and the bound that follows from them."""

    __slots__ = ("bound", "computed_at", "samples")

    def __init__(self) -> None:
        self.samples: deque[_Sample] = deque()
        self.bound: int | None = None
        self.computed_at = float("-inf")


class PassBounds:
    """Bounds of the groups of one service.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_groups")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._groups: dict[str, _Group] = {}

    def record_pause(self, group: str, seconds: float, usual: float) -> None:
        """Record the time between two events of a stream.

        Args:
            group: Name of the group.
            seconds: The pause.
            usual: Seconds that a pass takes by the profile with the requests in flight, 0 if it is
                unknown.
        """
        if usual <= 0.0:
            return
        now = self._clock.monotonic()
        samples = self._groups.setdefault(group, _Group()).samples
        samples.append(_Sample(now, seconds / usual))
        while samples[0].at < now - WINDOWS * WINDOW_SECONDS:
            samples.popleft()

    def bounds(self, shapes: Mapping[str, GroupShape]) -> dict[str, int]:
        """Return the maximum number of requests in flight at each group that has a bound."""
        for each in [each for each in self._groups if each not in shapes]:
            del self._groups[each]
        found = {}
        for name, group in self._groups.items():
            self._update(name, group, shapes[name])
            if group.bound is not None:
                found[name] = group.bound
        return found

    def _update(self, name: str, group: _Group, shape: GroupShape) -> None:
        now = self._clock.monotonic()
        if now < group.computed_at + UPDATE_SECONDS:
            return
        group.computed_at = now
        windows: list[list[float]] = [[] for _ in range(WINDOWS)]
        for each in group.samples:
            window = int((now - each.at) / WINDOW_SECONDS)
            if window < WINDOWS:
                windows[window].append(each.stretch)
        bound = request_bound(shape, windows)
        if (bound is None) != (group.bound is None):
            logger.bind(
                group=name,
                bound=bound,
                slots=shape.slots,
                stretches=[round(sum(each) / len(each), 2) for each in windows if each],
                gap=shape.gap,
            ).info("bound on the requests of a group begins or ends")
        group.bound = bound
