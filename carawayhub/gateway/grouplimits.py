"""Limits the requests in flight at a lock-step group to what its passes can serve in time.

Handles a group that is full while its passes are long. All its streams share each pass, so with one
request too many the pauses of all of them exceed what callers accept. How much longer passes are
than their work depends on the expert map, on changes of demand and on slow ranks, and is observed.
The limit is the one with the highest expected worth under the passes of the last seconds and at the
present rate of requests: fewer requests in flight shorten the passes, but also reduce the number of
callers that can be served. If no limit shortens the passes enough, if callers send no more than the
group can serve in time, or if long passes have not lasted, the group keeps all its slots.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.model import Endpoint, EngineProfile, Repeat, RouteTable

SAMPLE_SECONDS = 0.2
"""Time over which observed pauses are averaged: about two passes."""

HISTORY_SECONDS = 8.0
"""Age of the oldest sample: two changes of demand, each of which is followed by long passes."""

MIN_HISTORY_SECONDS = 6.0
"""Minimum observed time from which a limit is computed. A shorter history may consist of a single
peak, as after a start or a change of demand, which a limit would outlast."""

UPDATE_SECONDS = 0.5
"""Interval between two computations of a limit."""

LEVELS = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5)
"""Considered limits as fractions of a group's slots. Below half, slots would be empty while callers
are refused."""

UNUSABLE_LEVEL = 0.1
"""Limit, as a fraction of its slots, of a group that can end no stream before its deadline, while
another group can. The few requests show when passes are short again."""

LATE_WORTH = 0.5
"""Worth of a stream with too long a pause, relative to one without."""

PASS_SPREAD = 0.1
"""Fraction by which single passes of a sample differ from their mean."""

MIN_ADVANTAGE = 1.25
"""Minimum factor by which a lower limit must increase the expected worth."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupShape:
    """What a group's passes and its callers' expectations depend on.

    Attributes:
        profile: Profile of its engines.
        ranks: Number of ranks.
        gap: Longest time in seconds between two events that callers accept.
        timeout: Seconds within which a stream must end.
        epoch: Number of the group's latest formation.
    """

    profile: EngineProfile
    ranks: int
    gap: float
    timeout: float
    epoch: int = 0

    @property
    def slots(self) -> int:
        """Number of slots of all ranks."""
        return self.profile.places * self.ranks

    @property
    def events(self) -> float:
        """Mean number of events of a stream."""
        return max(1.0, self.profile.mean_answer_tokens / max(1, self.profile.stride))

    def pass_seconds(self, requests: float) -> float:
        """Return the seconds of a pass by the published profile, with all ranks equally loaded."""
        profile = self.profile
        own = requests / max(1, self.ranks)
        reading = own * profile.mean_prompt_tokens / (self.events + 1.0)
        step = profile.step + profile.step_per_request * own
        return profile.stride * step + reading / max(1.0, profile.prefill_rate)


def group_shapes(
    table: RouteTable, service: str, endpoints: Sequence[Endpoint]
) -> dict[str, GroupShape]:
    """Return the shapes of the groups of a service whose streams have a limited gap, by name."""
    found = table.services.get(service)
    if found is None or found.engine is None or not found.engine.stride:
        return {}
    routes = [
        route
        for route in table.routes()
        if route.repeat is Repeat.STREAM
        and route.gap > 0.0
        and any(share.service == service for share in route.shares)
    ]
    if not routes:
        return {}
    seats = [each.membership for each in endpoints if each.membership is not None]
    ranks = Counter(each.group for each in seats)
    epochs: dict[str, int] = {}
    for each in seats:
        epochs[each.group] = max(each.epoch, epochs.get(each.group, each.epoch))
    gap = min(route.gap for route in routes)
    timeout = min(route.timeout for route in routes)
    return {
        group: GroupShape(
            profile=found.engine, ranks=count, gap=gap, timeout=timeout, epoch=epochs[group]
        )
        for group, count in ranks.items()
    }


def expected_worth(
    shape: GroupShape, limit: float, stretches: Sequence[float], arrivals: float
) -> float:
    """Return the worth per second of the streams of a group under a limit.

    Args:
        shape: The group.
        limit: Maximum number of requests in flight.
        stretches: Observed durations of passes in relation to the profile, a sample each.
        arrivals: Requests per second that callers send for each slot of the service.
    """
    stretch = sum(stretches) / len(stretches)
    requests = min(limit, _requests_in_flight(shape, stretch, arrivals * shape.slots))
    usual = shape.pass_seconds(requests)
    duration = shape.events * usual * stretch
    if duration > shape.timeout:
        return 0.0
    samples = min(len(stretches), math.ceil(duration / SAMPLE_SECONDS))
    longest = shape.gap / usual
    starts = range(len(stretches) - samples + 1)
    in_time = sum(_share_in_time(max(stretches[at : at + samples]) / longest) for at in starts)
    return requests / duration * (LATE_WORTH + (1.0 - LATE_WORTH) * in_time / len(starts))


def _requests_in_flight(shape: GroupShape, stretch: float, arrivals: float) -> float:
    """Return the requests in flight without a limit, at so many arrivals per second.

    Each request makes passes longer and thereby itself and the others.
    """
    own = arrivals * shape.events * stretch * shape.pass_seconds(0.0)
    per_request = shape.pass_seconds(1.0) - shape.pass_seconds(0.0)
    growth = arrivals * shape.events * stretch * per_request
    return own / (1.0 - growth) if growth < 1.0 else math.inf


def _share_in_time(mean: float) -> float:
    """Return the share of streams in time if passes take ``mean`` of the accepted gap."""
    return min(1.0, max(0.0, (1.0 + PASS_SPREAD - mean) / (2.0 * PASS_SPREAD)))


def best_level(shape: GroupShape, stretches: Sequence[float], arrivals: float) -> float:
    """Return the best limit as a fraction of the slots, 0 if no stream can end in time.

    Arguments are those of ``expected_worth``.
    """
    worths = {
        each: expected_worth(shape, each * shape.slots, stretches, arrivals) for each in LEVELS
    }
    best = max(worths, key=lambda each: worths[each])
    if not worths[best]:
        return 0.0
    return best if worths[best] > MIN_ADVANTAGE * worths[LEVELS[0]] else LEVELS[0]


def lasting_level(shape: GroupShape, stretches: Sequence[float], arrivals: float) -> float:
    """Return the best limit for both halves of the samples, the higher one if they differ.

    A peak in one half is over, or may soon be, when a limit takes effect.
    """
    half = len(stretches) // 2
    return max(best_level(shape, each, arrivals) for each in (stretches[:half], stretches[half:]))


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


class PassHistory:
    """Observed passes of one group.

    Args:
        group: Name of the group.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_group", "_level", "_level_expires_at", "_samples")

    def __init__(self, group: str, clock: Clock) -> None:
        self._group = group
        self._clock = clock
        self._samples: deque[_Sample] = deque()
        self._level = 1.0
        self._level_expires_at = float("-inf")

    def record(self, seconds: float, usual: Callable[[], float]) -> None:
        """Record a pause; see ``GroupLimits.record_pause``."""
        number = int(self._clock.monotonic() / SAMPLE_SECONDS)
        if self._samples and self._samples[-1].number == number:
            self._samples[-1].total += seconds
            self._samples[-1].count += 1
            return
        predicted = usual()
        if predicted > 0.0:
            self._samples.append(_Sample(number, predicted, seconds, 1))
        self._drop_old(number)

    def level(self, shape: GroupShape, arrivals: float) -> float:
        """Return the current limit as a fraction of the slots; see ``lasting_level``."""
        now = self._clock.monotonic()
        if now < self._level_expires_at:
            return self._level
        self._level_expires_at = now + UPDATE_SECONDS
        self._drop_old(int(now / SAMPLE_SECONDS))
        stretches = [each.stretch for each in self._samples]
        level = LEVELS[0]
        if arrivals > 0.0 and len(stretches) * SAMPLE_SECONDS >= MIN_HISTORY_SECONDS:
            level = lasting_level(shape, stretches, arrivals)
        self._set_level(level, shape, stretches, arrivals)
        return self._level

    def _set_level(
        self, level: float, shape: GroupShape, stretches: Sequence[float], arrivals: float
    ) -> None:
        if level != self._level:
            logger.bind(
                group=self._group,
                before=self._level,
                now=level,
                slots=shape.slots,
                longest_stretch=round(max(stretches, default=0.0), 2),
                mean_stretch=round(sum(stretches) / max(1, len(stretches)), 2),
                samples=len(stretches),
                gap=shape.gap,
                arrivals=round(arrivals * shape.slots, 1),
            ).info("limit of a group changed")
        self._level = level

    def _drop_old(self, number: int) -> None:
        oldest = number - round(HISTORY_SECONDS / SAMPLE_SECONDS)
        while self._samples and self._samples[0].number < oldest:
            self._samples.popleft()


class GroupLimits:
    """Limits of the groups of one service.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_histories")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._histories: dict[str, PassHistory] = {}

    def record_pause(self, group: str, seconds: float, usual: Callable[[], float]) -> None:
        """Record the time between two events of a stream.

        Args:
            group: Name of the group.
            seconds: The pause.
            usual: Returns the seconds that a pass of the group takes by the profile with the
                requests in flight, 0 if unknown. Called once per sampling interval.
        """
        self._history(group).record(seconds, usual)

    def _history(self, group: str) -> PassHistory:
        found = self._histories.get(group)
        if found is None:
            found = self._histories[group] = PassHistory(group, self._clock)
        return found

    def limits(self, shapes: dict[str, GroupShape], arrivals: float) -> dict[str, int]:
        """Return the maximum number of requests in flight at each group that has a limit.

        Args:
            shapes: The groups by name.
            arrivals: Requests per second that callers send to the service.
        """
        for each in [each for each in self._histories if each not in shapes]:
            del self._histories[each]
        per_slot = arrivals / max(1, sum(each.slots for each in shapes.values()))
        levels = {
            group: self._history(group).level(shape, per_slot) for group, shape in shapes.items()
        }
        if any(level <= 0.0 for level in levels.values()):
            usable = any(level > 0.0 for level in levels.values())
            unusable = UNUSABLE_LEVEL if usable else LEVELS[0]
            levels = {group: level or unusable for group, level in levels.items()}
        return {
            group: max(1, int(level * shapes[group].slots))
            for group, level in levels.items()
            if level < LEVELS[0]
        }
