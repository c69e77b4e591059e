"""What one entry knows of one endpoint: permit, load, pace, health and ramp."""

import math

from carawayhub.config.model import Endpoint, EndpointState
from carawayhub.peers.messages import EndpointReport, ServingState
from carawayhub.routing.load import LoadEstimate
from carawayhub.routing.prefixes import KnownBlocks
from carawayhub.routing.query import Condition, EndpointRow

MIN_FACTOR = 0.02
RAMP_FLOOR = 0.05
PACE_GAIN = 0.1
STALL_SECONDS = 3.0
STALL_PACES = 10.0
FAILURES_TO_EJECT = 3
EJECT_SECONDS = 1.0
MAX_EJECT_SECONDS = 30.0
FLAP_MEMORY_SECONDS = 60.0
FORGET_SECONDS = 600.0
FIRST_SETTLE_SECONDS = 0.5
MAX_SETTLE_SECONDS = 32.0
MAX_DOUBLINGS = 10
SLOW_BELOW = 0.7


class Candidate:
    """One endpoint as the router sees it.

    Attributes:
        endpoint: Its configuration.
        load: Estimated requests at it.
        blocks: Prefix blocks it is known to hold.
        weight: Its part of new work against a healthy endpoint of the same size; set by the pool.
        pace: Recent seconds to the first byte of this entry's own requests, 0 for unknown.
        failures: Attempts that failed one after the other.
        leaving: Whether the platform's list of VMs says that it is leaving or gone.
        permit_until: Reading of the clock until which it may be sent work.
        leader: The endpoint with rank 0 of its lock-step group, None where it is itself that, or
            alone, or the leader was never heard.
    """

    __slots__ = (
        "_asked_at",
        "_ejected_until",
        "_flaps",
        "_last_progress",
        "_lost_at",
        "_report",
        "_settled_at",
        "_settling_from",
        "blocks",
        "endpoint",
        "failures",
        "leader",
        "leaving",
        "load",
        "pace",
        "permit_until",
        "weight",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.load = LoadEstimate()
        self.blocks = KnownBlocks()
        self.weight = 1.0
        self.pace = 0.0
        self.failures = 0
        self.leaving = False
        self.leader: Candidate | None = None
        self.permit_until = -math.inf
        self._report: EndpointReport | None = None
        self._asked_at = -math.inf
        self._last_progress = -math.inf
        self._ejected_until = -math.inf
        self._flaps = 0
        self._lost_at = -math.inf
        self._settling_from = -math.inf
        self._settled_at = -math.inf

    @property
    def name(self) -> str:
        """The endpoint's name."""
        return self.endpoint.name

    @property
    def capacity(self) -> int:
        """Requests it can run at once: what it said last, or what the operators declare."""
        report = self._report
        return max(1, report.capacity if report is not None else self.endpoint.capacity)

    @property
    def heard(self) -> bool:
        """Whether a report of it was ever taken."""
        return self._report is not None

    @property
    def step_seconds(self) -> float:
        """Its last reported step time, 0 for unknown."""
        return self._report.step_seconds if self._report is not None else 0.0

    def observe(self, report: EndpointReport, asked_at: float, now: float, room: int) -> bool:
        """Take a report; return whether it is the first or changed if the endpoint may be used.

        An answer to an older heartbeat that comes late is passed over: it would bring back a state
        that a newer one has ended.

        Args:
            report: The report.
            asked_at: Reading of the clock when the heartbeat that it answers was sent.
            now: Reading of the clock.
            room: Prefix blocks to remember at most.
        """
        if asked_at < self._asked_at:
            return False
        self._asked_at = asked_at
        before = self.permitted(now) if self.heard else None
        last = self._report
        if last is not None and last.incarnation != report.incarnation:
            self.blocks.forget()
        if self._lost_at > -math.inf:
            self._regained(now)
        self._report = report
        self.permit_until = self._permit(report, asked_at, last)
        self.load.reported(report.running + report.queued, asked_at - report.load_age)
        self.blocks.observe(report.cache, room)
        return before != self.permitted(now)

    def lost(self, now: float) -> None:
        """Note that its link is gone: the permit ends and cache events were missed."""
        self.permit_until = -math.inf
        self.blocks.forget()
        if self._lost_at == -math.inf:
            self._lost_at = now

    def forgettable(self, now: float) -> bool:
        """Return whether its link has been gone for so long that nothing of it is of use."""
        if self._lost_at == -math.inf or self.load.own > 0.0:
            return False
        return now - self._lost_at > FORGET_SECONDS

    def permitted(self, now: float) -> bool:
        """Return whether work may be sent to it."""
        report = self._report
        if report is None or report.state is not ServingState.SERVING:
            return False
        if self.leaving or self.endpoint.state is EndpointState.LEAVING:
            return False
        return now < self.permit_until and not self.group_failed

    @property
    def group_failed(self) -> bool:
        """Whether the agent beside rank 0 says that the group of this endpoint cannot step.

        Only that agent knows. Without this, work would go to the group's other endpoints, whose
        engines answer their own agents well, and would wait there for steps that are not made. A
        leader without a link says nothing either way.
        """
        return self.leader is not None and self.leader.failed

    @property
    def failed(self) -> bool:
        """Whether its agent can be heard and says that it takes no work for a failure."""
        report = self._report
        heard = report is not None and self._lost_at == -math.inf
        return heard and report is not None and report.state is ServingState.FAILED

    def progressed(self, now: float) -> None:
        """Note that bytes of an answer arrived."""
        self._last_progress = now

    def begun(self, cost: float, now: float) -> None:
        """Count a request that is sent to it."""
        if self.load.own <= 0.0:
            self._last_progress = now
        self.load.begun(cost, now)

    def first_byte(self, seconds: float) -> None:
        """Take the time to the first byte of one answer into its pace."""
        self.pace = seconds if self.pace <= 0.0 else self.pace + PACE_GAIN * (seconds - self.pace)

    def ended(self, cost: float, ok: bool, now: float) -> None:
        """Count the end of a request.

        Guards against an endpoint that refuses at once: it looks idle and would get all work.
        After ``FAILURES_TO_EJECT`` failures in a row it gets few requests for a time that
        doubles with each further failure; one success ends that.
        """
        self.load.ended(cost, now)
        self._last_progress = now
        if ok:
            self.failures = 0
            self._ejected_until = -math.inf
            return
        self.failures += 1
        excess = self.failures - FAILURES_TO_EJECT
        if excess >= 0:
            seconds = min(MAX_EJECT_SECONDS, EJECT_SECONDS * 2.0 ** min(excess, MAX_DOUBLINGS))
            self._ejected_until = now + seconds

    def stalled(self, now: float) -> bool:
        """Return whether its engine or this entry's requests at it make no progress.

        Guards against a rank that hangs without failing: its load stays at what it was, its
        requests never end. It shows as running requests without a token, or as own requests
        without a byte for much longer than its pace.
        """
        if self._engine_silent():
            return True
        if self.load.own <= 0.0:
            return False
        patience = max(STALL_SECONDS, STALL_PACES * self.pace)
        return now - self._last_progress > patience

    def ejected(self, now: float) -> bool:
        """Return whether it is held off after failures in a row."""
        return now < self._ejected_until

    def ramp(self, now: float, wall: float) -> float:
        """Return the part of full work it is to get, from the operators' ramp and its own past."""
        return min(self._declared_ramp(wall), self._settling(now))

    def row(self, now: float, wall: float) -> EndpointRow:
        """Return its row for the status table."""
        condition, reason = self._condition(now, wall)
        return EndpointRow(
            endpoint=self.name,
            provider=self.endpoint.provider,
            failure_domain=self.endpoint.failure_domain,
            condition=condition,
            reason=reason,
            load=self.load.known,
            own=self.load.own,
            capacity=self.capacity,
            weight=self.weight if self.permitted(now) else 0.0,
            permit_until=self.permit_until,
            cached_blocks=len(self.blocks),
        )

    def _engine_silent(self) -> bool:
        report = self._report
        if report is None or report.running == 0 or report.step_seconds <= 0.0:
            return False
        return report.tokens_rate <= 0.0

    def _permit(
        self, report: EndpointReport, asked_at: float, last: EndpointReport | None
    ) -> float:
        """Return until when the report permits dispatch.

        The permit counts from the moment the heartbeat was sent, so a slow answer makes it
        shorter and never longer than what the agent granted. A new grant does not shorten an
        earlier one of the same incarnation.
        """
        until = asked_at + report.permit
        if last is not None and last.incarnation == report.incarnation:
            return max(until, self.permit_until)
        return until

    def _regained(self, now: float) -> None:
        """Hold back an endpoint whose link comes and goes.

        Guards against flapping: each return would send a burst to an endpoint that is about to go
        again. The time until full work doubles with each loss within a minute.
        """
        if now - self._settled_at > FLAP_MEMORY_SECONDS:
            self._flaps = 0
        self._flaps += 1
        self._settling_from = now
        settle = min(MAX_SETTLE_SECONDS, FIRST_SETTLE_SECONDS * 2.0**self._flaps)
        self._settled_at = now + settle
        self._lost_at = -math.inf

    def _settling(self, now: float) -> float:
        if now >= self._settled_at:
            return 1.0
        part = (now - self._settling_from) / (self._settled_at - self._settling_from)
        return max(RAMP_FLOOR, part)

    def _declared_ramp(self, wall: float) -> float:
        endpoint = self.endpoint
        if endpoint.state is not EndpointState.JOINING or endpoint.ramp_until <= endpoint.ramp_from:
            return 1.0
        part = (wall - endpoint.ramp_from) / (endpoint.ramp_until - endpoint.ramp_from)
        return min(1.0, max(RAMP_FLOOR, part))

    def _condition(self, now: float, wall: float) -> tuple[Condition, str]:
        """Return its condition with the reason: what others say comes before what is seen here."""
        return self._told_condition() or self._seen_condition(now, wall)

    def leaves(self) -> bool:
        """Return whether it leaves as planned, by what others say of it."""
        told = self._told_condition()
        return told is not None and told[0] is Condition.LEAVING

    def _told_condition(self) -> tuple[Condition, str] | None:
        report = self._report
        if self.endpoint.state is EndpointState.LEAVING:
            return Condition.LEAVING, "the configuration says that it is leaving"
        if self.leaving:
            return Condition.LEAVING, "the list of VMs says that it is leaving or gone"
        if report is None:
            return Condition.UNHEARD, "no report yet"
        match report.state:
            case ServingState.LEAVING:
                return Condition.LEAVING, report.reason or "its agent says that it is leaving"
            case ServingState.STARTING:
                return Condition.STARTING, report.reason or "its agent says that it is starting"
            case ServingState.FAILED:
                return Condition.FAILED, report.reason or "its agent says that it failed"
        if self.leader is not None and self.leader.failed:
            return Condition.FAILED, f"its group cannot step, says {self.leader.name}"
        return None

    def _seen_condition(self, now: float, wall: float) -> tuple[Condition, str]:
        if now >= self.permit_until:
            return Condition.EXPIRED, "its link is gone or its permit has run out"
        if self.ejected(now):
            return Condition.FAILING, f"{self.failures} attempts failed in a row"
        if self.stalled(now):
            return Condition.STALLED, "requests make no progress"
        if self.ramp(now, wall) < 1.0:
            return Condition.RAMPING, f"gets {self.ramp(now, wall):.0%} of full work"
        if self.weight < SLOW_BELOW:
            return Condition.SLOW, f"its group is slow, weight {self.weight:.2f}"
        return Condition.SERVING, ""
