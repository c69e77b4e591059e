"""Bounds the requests in flight at a lock-step group so that its passes stay within the pause.

Handles demand that swings within seconds around what a group can give. All streams of a group share
each pass, so a group that is filled slightly past what its passes bear makes all of them late, by
milliseconds. The published profile says how a pass grows with the requests in flight; by how much
passes are longer than that is observed, since it depends on the expert map and on slow ranks. The
bound is the number of requests at which a pass is predicted to end within the accepted pause.
"""

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.grouplimits import SAMPLE_SECONDS, GroupShape

WINDOW_SAMPLES = 3
"""Sampling intervals with a pass over which passes are averaged: at least 0.6 s, a few passes. The
bound follows from the window with the shorter passes of the two latest: after a change of demand
passes are long for about a second, until the expert map follows, and a bound would refuse callers
for most of that time in vain."""

WINDOWS = 2

KEEP_SECONDS = 2.0
"""Age at which a sample is dropped. An entry that has one or two streams at a group at a time has
none for some intervals; its bound must outlast them, as it would otherwise fill the group alone."""

PASS_MARGIN = 0.1
"""Fraction of the accepted pause that is left for single passes, which differ from the mean by
about that much: one long pass of twenty makes a stream late."""

MIN_FRACTION = 0.5
"""Smallest bound as a fraction of the slots. If passes are so long that fewer requests were needed,
something else than the requests makes them long, and a bound would leave slots empty in vain."""


def request_bound(shape: GroupShape, stretches: Sequence[float]) -> int | None:
    """Return the maximum number of requests in flight, None for no bound.

    Args:
        shape: The group.
        stretches: Observed durations of passes in relation to the profile, a sample each, the
            latest last.
    """
    if len(stretches) < WINDOWS * WINDOW_SAMPLES:
        return None
    most = requests_within(shape, shortest_window(stretches))
    if most >= shape.slots or most < MIN_FRACTION * shape.slots:
        return None
    return int(most)


def shortest_window(stretches: Sequence[float]) -> float:
    """Return the mean stretch of the latest window with the shortest passes."""
    latest = stretches[-WINDOWS * WINDOW_SAMPLES :]
    starts = range(0, len(latest), WINDOW_SAMPLES)
    return min(sum(latest[at : at + WINDOW_SAMPLES]) / WINDOW_SAMPLES for at in starts)


def requests_within(shape: GroupShape, stretch: float) -> float:
    """Return the requests in flight at which a pass takes as long as callers accept.

    Args:
        shape: The group.
        stretch: Duration of passes in relation to the profile.
    """
    longest = shape.gap * (1.0 - PASS_MARGIN) / stretch
    idle = shape.pass_seconds(0.0)
    per_request = shape.pass_seconds(1.0) - idle
    return max(0.0, longest - idle) / per_request if per_request > 0.0 else float("inf")


@dataclass(slots=True)
class _Sample:
    """Passes observed within one sampling interval.

    Attributes:
        number: Number of the interval.
        usual: Seconds that a pass takes by the profile, with the requests in flight at its start.
        total: Sum of the observed pauses in seconds.
        count: Number of observed pauses.
    """

    number: int
    usual: float
    total: float
    count: int

    @property
    def stretch(self) -> float:
        """Mean duration of the passes in relation to the profile."""
        return self.total / (self.count * self.usual)


class _Group:
    """Observed passes of one formation of a group and the bound that follows from them.

    Args:
        epoch: Number of the formation.

    Attributes:
        bound: Maximum number of requests in flight, None for no bound.
        epoch: Number of the formation.
    """

    __slots__ = ("_samples", "bound", "epoch")

    def __init__(self, epoch: int) -> None:
        self.bound: int | None = None
        self.epoch = epoch
        self._samples: deque[_Sample] = deque(maxlen=WINDOWS * WINDOW_SAMPLES + 1)

    def record(self, number: int, seconds: float, usual: Callable[[], float]) -> None:
        """Record a pause; see ``PassBounds.record_pause``."""
        if self._samples and self._samples[-1].number == number:
            self._samples[-1].total += seconds
            self._samples[-1].count += 1
            return
        predicted = usual()
        if predicted > 0.0:
            self._samples.append(_Sample(number, predicted, seconds, 1))

    def stretches(self, number: int) -> list[float]:
        """Return the samples that count in an interval, without that of the interval itself."""
        oldest = number - round(KEEP_SECONDS / SAMPLE_SECONDS)
        while self._samples and self._samples[0].number < oldest:
            self._samples.popleft()
        return [each.stretch for each in self._samples if each.number < number]


class PassBounds:
    """Bounds of the groups of one service.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_found", "_groups", "_number", "_shapes")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._groups: dict[str, _Group] = {}
        self._shapes: Mapping[str, GroupShape] | None = None
        self._number = -1
        self._found: dict[str, int] = {}

    def record_pause(
        self, group: str, epoch: int, seconds: float, usual: Callable[[], float]
    ) -> None:
        """Record the time between two events of a stream.

        Args:
            group: Name of the group.
            epoch: Formation of the group to which the stream belongs.
            seconds: The pause.
            usual: Returns the seconds that a pass of the group takes by the profile with the
                requests in flight, 0 if unknown. Called once per sampling interval.
        """
        found = self._groups.get(group)
        if found is None or found.epoch < epoch:
            found = self._groups[group] = _Group(epoch)
        if found.epoch == epoch:
            found.record(self._sample_number(), seconds, usual)

    def bounds(self, shapes: Mapping[str, GroupShape]) -> Mapping[str, int]:
        """Return the maximum number of requests in flight at each group that has a bound.

        Computed once per sampling interval and when the groups change.

        Args:
            shapes: The groups by name; the same mapping as long as they do not change.
        """
        number = self._sample_number()
        if number == self._number and shapes is self._shapes:
            return self._found
        self._number, self._shapes = number, shapes
        self._drop_former(shapes)
        for name, group in self._groups.items():
            self._update(name, group, shapes[name])
        self._found = {
            name: group.bound for name, group in self._groups.items() if group.bound is not None
        }
        return self._found

    def _sample_number(self) -> int:
        return int(self._clock.monotonic() / SAMPLE_SECONDS)

    def _drop_former(self, shapes: Mapping[str, GroupShape]) -> None:
        """Drop groups that are gone and samples of former formations."""
        for name, group in list(self._groups.items()):
            shape = shapes.get(name)
            if shape is None or group.epoch < shape.epoch:
                del self._groups[name]

    def _update(self, name: str, group: _Group, shape: GroupShape) -> None:
        stretches = group.stretches(self._number)
        bound = request_bound(shape, stretches)
        if (bound is None) != (group.bound is None):
            logger.bind(
                group=name,
                epoch=group.epoch,
                bound=bound,
                slots=shape.slots,
                stretches=[round(each, 2) for each in stretches],
                gap=shape.gap,
            ).info("bound on the requests of a group begins or ends")
        group.bound = bound
