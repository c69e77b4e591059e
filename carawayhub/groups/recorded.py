"""Replays the recorded load of a group through the rebalancing policy.

A recording is a file of JSON lines: the group, then one sample per line in order of time::

    {"name": "catalogue", "ranks": 8, "experts": 32, "layers": 1, "spare_slots": 1}
    {"at": 10.0, "counts": [[120, 88, ...]], "utilisation": 0.6}

``counts`` are tokens by layer and expert since the engine started; ``at`` is in seconds.
"""

import math
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import TypeVar

import msgspec

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.config.model import ModelGroup
from carawayhub.errors import CommandError
from carawayhub.groups.decisions import Decision, Keep, Rebalance, Situation
from carawayhub.groups.loads import layer_skew
from carawayhub.groups.maps import ExpertMap, even_map
from carawayhub.groups.outcomes import Outcome
from carawayhub.groups.policy import Policy
from carawayhub.groups.popularity import ExpertCounters, Observation, Popularity

DECISION_INTERVAL_SECONDS = 30.0
MIN_STAGING_SECONDS = 10.0

T = TypeVar("T")


class RecordedGroup(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The first line of a recording; the fields are those of ``ModelGroup``."""

    name: str
    ranks: int
    experts: int
    layers: int
    spare_slots: int = 0
    expert_bytes: int = 44_000_000
    skew_weight: float = 0.5
    rebalancing_weight: float = 0.5


class RecordedSample(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One line of a recording; the fields are those of ``ExpertCounters`` and ``Situation``."""

    at: float
    counts: tuple[tuple[int, ...], ...]
    utilisation: float = 0.5
    running: int = 32
    draining: bool = False
    step_seconds: float = 0.006
    staging_rate: float = 1_000_000_000.0


class Point(msgspec.Struct, kw_only=True):
    """What the policy would have done at one point in time.

    Attributes:
        at: Time in the recording, in seconds.
        map_number: Number of the map in force.
        skew: Step-time skew of the interval under that map.
        kept_skew: Step-time skew of the interval under the first map.
        moves: Whether the policy would have started a change.
        reason: Reason for the decision; empty between decisions.
        expected_skew: Expected skew after the change.
        gain_seconds: Step time that the change was expected to save.
        cost_seconds: Cost of the change in seconds of step time.
        moved_bytes: Bytes of weights that the change loads.
    """

    at: float
    map_number: int
    skew: float
    kept_skew: float
    moves: bool = False
    reason: str = ""
    expected_skew: float = 0.0
    gain_seconds: float = 0.0
    cost_seconds: float = 0.0
    moved_bytes: int = 0


def read_recording(path: Path) -> tuple[RecordedGroup, list[RecordedSample]]:
    """Return the group and the samples of a recording.

    Raises:
        CommandError: With ``USAGE``, naming the file and the invalid line.
    """
    try:
        lines = [line for line in path.read_bytes().splitlines() if line.strip()]
    except OSError as exc:
        raise CommandError(Code.USAGE, f"{path}: {exc.strerror}") from exc
    group = _decode_line(path, 1, lines[0] if lines else b"", RecordedGroup)
    samples = [
        _decode_line(path, number, line, RecordedSample)
        for number, line in enumerate(lines[1:], start=2)
    ]
    _check(path, group, samples)
    return group, samples


def run_policy(
    group: ModelGroup, samples: Sequence[RecordedSample], first: ExpertMap | None = None
) -> tuple[list[Point], list[Outcome]]:
    """Return what the policy would have done, and the outcomes of its changes.

    Args:
        group: The group and its weights.
        samples: The recording.
        first: Map in force at the start; the map of a new group if None.
    """
    return _Replay(group, first or _first_map(group)).replay(samples)


def model_group(recorded: RecordedGroup) -> ModelGroup:
    """Return the group of a recording as a configured model group."""
    return ModelGroup(
        name=recorded.name,
        model=recorded.name,
        endpoints=(),
        ranks=recorded.ranks,
        experts=recorded.experts,
        layers=recorded.layers,
        spare_slots=recorded.spare_slots,
        expert_bytes=recorded.expert_bytes,
        skew_weight=recorded.skew_weight,
        rebalancing_weight=recorded.rebalancing_weight,
    )


class _Replay:
    """One replay of a recording."""

    __slots__ = (
        "_clock",
        "_current",
        "_applies_at",
        "_first",
        "_next_decision_at",
        "_outcomes",
        "_pending",
        "_policy",
    )

    def __init__(self, group: ModelGroup, first: ExpertMap) -> None:
        self._clock = ManualClock()
        self._policy = Policy(group, self._clock)
        self._first = first
        self._current = first
        self._pending: Rebalance | None = None
        self._applies_at = math.inf
        self._next_decision_at = -math.inf
        self._outcomes: list[Outcome] = []

    def replay(self, samples: Sequence[RecordedSample]) -> tuple[list[Point], list[Outcome]]:
        points = list(self._points(samples))
        return points, self._outcomes

    def _points(self, samples: Sequence[RecordedSample]) -> Iterator[Point]:
        shares = Popularity(layers=len(self._first.layers), experts=len(samples[0].counts[0]))
        last = samples[0].at
        for sample in samples:
            self._clock.advance(max(0.0, sample.at - last))
            last = max(last, sample.at)
            counters = ExpertCounters(source=0, taken_at=sample.at, counts=sample.counts)
            self._policy.observe(counters)
            self._outcomes.extend(self._policy.measured())
            self._apply(sample.at)
            if shares.observe(counters) is Observation.TAKEN:
                yield self._point(sample, shares)

    def _apply(self, now: float) -> None:
        if self._pending is None or now < self._applies_at:
            return
        self._policy.applied(self._current, self._pending)
        self._current = self._pending.map
        self._pending = None

    def _point(self, sample: RecordedSample, shares: Popularity) -> Point:
        point = Point(
            at=sample.at,
            map_number=self._current.number,
            skew=_skew(self._current, shares),
            kept_skew=_skew(self._first, shares),
        )
        if sample.at < self._next_decision_at:
            return point
        self._next_decision_at = sample.at + DECISION_INTERVAL_SECONDS
        decision = self._policy.decide(self._current, _situation(sample, self._pending is not None))
        self._record_decision(point, decision, sample)
        return point

    def _record_decision(self, point: Point, decision: Decision, sample: RecordedSample) -> None:
        point.reason = decision.reason.value
        match decision:
            case Keep():
                return
            case Rebalance() as change:
                point.moves = True
                point.expected_skew = change.expected_skew
                point.gain_seconds = change.gain_seconds
                point.cost_seconds = change.cost_seconds
                point.moved_bytes = change.bytes
                self._pending = change
                staging = change.bytes / sample.staging_rate
                self._applies_at = sample.at + max(MIN_STAGING_SECONDS, staging)


def _skew(current: ExpertMap, shares: Popularity) -> float:
    skews = [
        layer_skew(row, shares.latest(layer), current.ranks)
        for layer, row in enumerate(current.layers)
    ]
    return sum(skews) / len(skews)


def _situation(sample: RecordedSample, changing: bool) -> Situation:
    return Situation(
        draining=sample.draining,
        changing=changing,
        utilisation=sample.utilisation,
        running=sample.running,
        step_seconds=sample.step_seconds,
        staging_rate=sample.staging_rate,
    )


def _first_map(group: ModelGroup) -> ExpertMap:
    return even_map(
        ranks=group.ranks,
        experts=group.experts,
        layers=group.layers,
        spare_slots=group.spare_slots,
    )


def _decode_line(path: Path, number: int, line: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        raise CommandError(Code.USAGE, f"{path}, line {number}: {exc}") from exc


def _check(path: Path, group: RecordedGroup, samples: Sequence[RecordedSample]) -> None:
    if min(group.ranks, group.experts, group.layers) < 1 or group.spare_slots < 0:
        raise CommandError(
            Code.USAGE,
            f"{path}, line 1: sizes must be positive, spare_slots at least 0",
        )
    if len(samples) < 2:
        raise CommandError(
            Code.USAGE,
            f"{path}: at least two samples are needed to compute the growth of the counters",
        )
    for number, sample in enumerate(samples, start=2):
        if not sample.staging_rate > 0.0:
            raise CommandError(Code.USAGE, f"{path}, line {number}: staging_rate must be above 0")
        layers_match = len(sample.counts) == group.layers
        if not layers_match or any(len(row) != group.experts for row in sample.counts):
            shape = f"{group.layers} layers of {group.experts} experts"
            raise CommandError(Code.USAGE, f"{path}, line {number}: counts must have {shape}")
