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
from carawayhub.gateway.grouplimits import GroupShape

SAMPLE_SECONDS = 0.1
"""Time over which observed pauses are averaged, from the first on, and for which a bound is used
before it is computed again: about one pass. Entries must not do so at the same instants: all would
send the requests that a higher bound allows."""

HISTORY_SECONDS = 8.0
"""Age of the oldest sample: two changes of demand, each of which is followed by long passes until
the expert map follows. A stream of two or three seconds meets one of them as likely as not."""

MAX_SAMPLES = round(HISTORY_SECONDS / SAMPLE_SECONDS)
"""Samples of a group that are kept."""

MIN_SAMPLES = 8
"""Samples from which a bound is computed: about a second of one stream."""

LONG_QUANTILE = 0.95
"""Quantile of the observed passes that has to stay within the pause. One of the twenty passes of a
stream that is too long makes it late, so the mean says too little."""

KEEP_SECONDS = 2.0
"""Time for which a bound outlasts the newest pause. An entry that has one or two streams at a group
often sees none for a second, and would fill the group alone without its bound."""

PASS_MARGIN = 0.05
"""Fraction of the accepted pause that is left for the passes that are longer than the quantile."""

MIN_FRACTION = 0.5
"""Smallest bound as a fraction of the slots. If passes are so long that fewer requests were needed,
something else than the requests makes them long, and a bound would leave slots empty in vain."""


def request_bound(shape: GroupShape, stretches: Sequence[float]) -> int | None:
    """Return the maximum number of requests in flight, None for no bound.

    Args:
        shape: The group.
        stretches: Observed durations of passes in relation to the profile, at least one.
    """
    found = sorted(stretches)
    longest = found[min(len(found) - 1, int(LONG_QUANTILE * len(found)))]
    most = requests_within(shape, longest)
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
    return max(0.0, longest - idle) / per_request if per_request > 0.0 else float("inf")


@dataclass(slots=True)
class _Sample:
    """Passes observed within one sampling interval.

    Attributes:
        began_at: Time of the first pause.
        usual: Seconds that a pass takes by the profile, with the requests in flight at its start.
        stretches: Sum of the observed durations in relation to the profile.
        count: Number of observed pauses.
    """

    began_at: float
    usual: float
    stretches: float = 0.0
    count: int = 0


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
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)

    def record(self, now: float, seconds: float, usual: Callable[[], float]) -> None:
        """Record a pause; see ``PassBounds.record_pause``."""
        if seconds <= 0.0:
            return
        if not self._samples or now >= self._samples[-1].began_at + SAMPLE_SECONDS:
            predicted = usual()
            if predicted <= 0.0:
                return
            self._samples.append(_Sample(now, predicted))
        sample = self._samples[-1]
        sample.stretches += seconds / sample.usual
        sample.count += 1

    def stretches(self, now: float) -> list[float]:
        """Return the mean stretch of each sample that is recent enough."""
        oldest = now - HISTORY_SECONDS
        return [each.stretches / each.count for each in self._samples if each.began_at >= oldest]

    def is_outdated(self, now: float) -> bool:
        """Return whether the newest pause is too old for a bound to be kept."""
        return not self._samples or self._samples[-1].began_at < now - KEEP_SECONDS


class PassBounds:
    """Bounds of the groups of one service.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_expires_at", "_found", "_groups", "_shapes")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._groups: dict[str, _Group] = {}
        self._shapes: Mapping[str, GroupShape] | None = None
        self._expires_at = float("-inf")
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
            found.record(self._clock.monotonic(), seconds, usual)

    def bounds(self, shapes: Mapping[str, GroupShape]) -> Mapping[str, int]:
        """Return the maximum number of requests in flight at each group that has a bound.

        Computed once per sampling interval and when the groups change.

        Args:
            shapes: The groups by name; the same mapping as long as they do not change.
        """
        now = self._clock.monotonic()
        if now < self._expires_at and shapes is self._shapes:
            return self._found
        self._expires_at, self._shapes = now + SAMPLE_SECONDS, shapes
        self._drop_former(shapes)
        for name, group in self._groups.items():
            _update(name, group, shapes[name], now)
        self._found = {
            name: group.bound for name, group in self._groups.items() if group.bound is not None
        }
        return self._found

    def _drop_former(self, shapes: Mapping[str, GroupShape]) -> None:
        """Drop groups that are gone and samples of former formations."""
        for name, group in list(self._groups.items()):
            shape = shapes.get(name)
            if shape is None or group.epoch < shape.epoch:
                del self._groups[name]


def _update(name: str, group: _Group, shape: GroupShape, now: float) -> None:
    stretches = group.stretches(now)
    bound = _next_bound(group, shape, stretches, now)
    if (bound is None) != (group.bound is None):
        logger.bind(
            group=name,
            epoch=group.epoch,
            bound=bound,
            slots=shape.slots,
            longest_stretch=round(max(stretches, default=0.0), 2),
            samples=len(stretches),
            gap=shape.gap,
        ).info("bound on the requests of a group begins or ends")
    group.bound = bound


def _next_bound(
    group: _Group, shape: GroupShape, stretches: Sequence[float], now: float
) -> int | None:
    """Return the bound of a group; with too few samples for a new one, that in force."""
    if group.is_outdated(now):
        return None
    if len(stretches) < MIN_SAMPLES:
        return group.bound
    return request_bound(shape, stretches)
