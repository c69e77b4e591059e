"""State of one endpoint as seen by this entry: permit, load, latency, health and ramp."""

import math

from carawayhub.config.model import Endpoint, EndpointState
from carawayhub.peers.messages import EndpointReport, ServingState
from carawayhub.routing.load import LoadEstimate
from carawayhub.routing.prefixes import KnownBlocks
from carawayhub.routing.query import Condition, EndpointRow

MIN_FACTOR = 0.02
RAMP_FLOOR = 0.05
TTFB_SMOOTHING = 0.1
STALL_SECONDS = 3.0
STALL_TTFB_MULTIPLE = 10.0
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
    """Routing state of one endpoint.

    Attributes:
        endpoint: Its configuration.
        load: Estimated number of requests at the endpoint.
        blocks: Prefix blocks that it is known to hold.
        weight: Its share of new requests relative to a healthy endpoint of the same capacity; set
            by the pool.
        ttfb_seconds: Moving average of the time to first byte of this entry's requests, 0 if
            unknown.
        failures: Number of consecutive failed attempts.
        leaving: Whether the platform lists its VM as leaving or gone.
        permit_until: Timestamp until which requests may be sent to it.
        leader: The endpoint with rank 0 of its lock-step group. None if this endpoint is the
            leader or the only one of its group, or if the leader has not sent a report.
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
        "ttfb_seconds",
        "permit_until",
        "weight",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.load = LoadEstimate()
        self.blocks = KnownBlocks()
        self.weight = 1.0
        self.ttfb_seconds = 0.0
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
        """Maximum concurrent requests: the last reported value, or else the configured one."""
        report = self._report
        return max(1, report.capacity if report is not None else self.endpoint.capacity)

    @property
    def has_report(self) -> bool:
        """Whether a report has been received."""
        return self._report is not None

    @property
    def step_seconds(self) -> float:
        """Last reported step time, 0 if unknown."""
        return self._report.step_seconds if self._report is not None else 0.0

    def observe(self, report: EndpointReport, asked_at: float, now: float, max_blocks: int) -> bool:
        """Process a report.

        A delayed answer to an older heartbeat is ignored, since it would restore an outdated
        state.

        Args:
            report: The report.
            asked_at: Timestamp at which the heartbeat that it answers was sent.
            now: Current timestamp.
            max_blocks: Maximum number of prefix blocks to remember.

        Returns:
            Whether this is the first report or changed whether the endpoint is permitted.
        """
        if asked_at < self._asked_at:
            return False
        self._asked_at = asked_at
        before = self.permitted(now) if self.has_report else None
        last = self._report
        if last is not None and last.incarnation != report.incarnation:
            self.blocks.forget()
        if self._lost_at > -math.inf:
            self._on_link_restored(now)
        self._report = report
        self.permit_until = self._permit(report, asked_at, last)
        self.load.record_report(report.running + report.queued, asked_at - report.load_age)
        self.blocks.observe(report.cache, max_blocks)
        return before != self.permitted(now)

    def mark_link_lost(self, now: float) -> None:
        """Record the loss of its link: the permit ends, and cache events were missed."""
        self.permit_until = -math.inf
        self.blocks.forget()
        if self._lost_at == -math.inf:
            self._lost_at = now

    def evictable(self, now: float) -> bool:
        """Return whether its link was lost so long ago that its state can be dropped."""
        if self._lost_at == -math.inf or self.load.own > 0.0:
            return False
        return now - self._lost_at > FORGET_SECONDS

    def permitted(self, now: float) -> bool:
        """Return whether requests may be sent to it."""
        report = self._report
        if report is None or report.state is not ServingState.SERVING:
            return False
        if self.leaving or self.endpoint.state is EndpointState.LEAVING:
            return False
        return now < self.permit_until and not self.group_failed

    @property
    def group_failed(self) -> bool:
        """Whether the agent of rank 0 reports that this endpoint's group cannot step.

        Only that agent knows. Without this check, requests would go to the group's other
        endpoints, whose engines still answer their own agents, and would wait for steps that never
        run. If the link to the leader is lost, the group is not considered failed.
        """
        return self.leader is not None and self.leader.failed

    @property
    def failed(self) -> bool:
        """Whether its link is up and its agent reports a failure."""
        report = self._report
        has_link = report is not None and self._lost_at == -math.inf
        return has_link and report is not None and report.state is ServingState.FAILED

    def record_progress(self, now: float) -> None:
        """Record that response bytes arrived."""
        self._last_progress = now

    def record_start(self, cost: float, now: float) -> None:
        """Record a request that is sent to it."""
        if self.load.own <= 0.0:
            self._last_progress = now
        self.load.record_start(cost, now)

    def record_first_byte(self, seconds: float) -> None:
        """Add one time to first byte to the moving average."""
        self.ttfb_seconds = (
            seconds
            if self.ttfb_seconds <= 0.0
            else self.ttfb_seconds + TTFB_SMOOTHING * (seconds - self.ttfb_seconds)
        )

    def record_end(self, cost: float, ok: bool, now: float) -> None:
        """Record the end of a request and eject the endpoint after repeated failures.

        An endpoint that rejects requests immediately looks idle and would attract all of them.
        After ``FAILURES_TO_EJECT`` consecutive failures it gets few requests for a period that
        doubles with each further failure. One success ends the ejection.
        """
        self.load.record_end(cost, now)
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
        """Return whether its engine or this entry's requests make no progress.

        A rank that hangs without failing keeps its load, and its requests never end. It is
        detected when its running requests produce no tokens, or when this entry's requests receive
        no bytes for much longer than its usual time to first byte.
        """
        if self._engine_silent():
            return True
        if self.load.own <= 0.0:
            return False
        patience = max(STALL_SECONDS, STALL_TTFB_MULTIPLE * self.ttfb_seconds)
        return now - self._last_progress > patience

    def ejected(self, now: float) -> bool:
        """Return whether it is ejected after consecutive failures."""
        return now < self._ejected_until

    def ramp(self, now: float, wall: float) -> float:
        """Return the fraction of its full share that the configured and settling ramps allow."""
        return min(self._declared_ramp(wall), self._settling(now))

    def row(self, now: float, wall: float) -> EndpointRow:
        """Return its status row."""
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
        """Return the timestamp until which the report permits dispatch.

        The permit counts from when the heartbeat was sent, so a slow answer can only shorten it
        and never extend it beyond what the agent granted. A new grant does not shorten an earlier
        one of the same incarnation.
        """
        until = asked_at + report.permit
        if last is not None and last.incarnation == report.incarnation:
            return max(until, self.permit_until)
        return until

    def _on_link_restored(self, now: float) -> None:
        """Start a settling ramp after the link is restored.

        Without it, a flapping endpoint would get a burst of requests each time its link is
        restored, shortly before it is lost again. The settling time doubles with each loss within
        a minute.
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
        """Return its condition and reason; reported conditions override observed ones."""
        return self._reported_condition() or self._observed_condition(now, wall)

    def leaving_as_planned(self) -> bool:
        """Return whether the configuration, the VM list or its agent marks it as leaving."""
        reported = self._reported_condition()
        return reported is not None and reported[0] is Condition.LEAVING

    def _reported_condition(self) -> tuple[Condition, str] | None:
        report = self._report
        if self.endpoint.state is EndpointState.LEAVING:
            return Condition.LEAVING, "marked as leaving in the configuration"
        if self.leaving:
            return Condition.LEAVING, "listed by the platform as leaving or gone"
        if report is None:
            return Condition.UNHEARD, "no report received yet"
        match report.state:
            case ServingState.LEAVING:
                return Condition.LEAVING, report.reason or "reported as leaving by its agent"
            case ServingState.STARTING:
                return Condition.STARTING, report.reason or "reported as starting by its agent"
            case ServingState.FAILED:
                return Condition.FAILED, report.reason or "reported as failed by its agent"
        if self.leader is not None and self.leader.failed:
            return Condition.FAILED, f"its group cannot step, reported by {self.leader.name}"
        return None

    def _observed_condition(self, now: float, wall: float) -> tuple[Condition, str]:
        if now >= self.permit_until:
            return Condition.EXPIRED, "its link is lost or its permit expired"
        if self.ejected(now):
            return Condition.FAILING, f"{self.failures} consecutive attempts failed"
        if self.stalled(now):
            return Condition.STALLED, "requests make no progress"
        if self.ramp(now, wall) < 1.0:
            return Condition.RAMPING, f"receives {self.ramp(now, wall):.0%} of its full share"
        if self.weight < SLOW_BELOW:
            return Condition.SLOW, f"its group is slow, weight {self.weight:.2f}"
        return Condition.SERVING, ""
