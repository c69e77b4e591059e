"""Polls the endpoint of an agent and builds the reports for entries."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, Endpoint, EndpointState, FleetOptions
from carawayhub.endpoints.ports import CacheChange, EndpointWatch, Load
from carawayhub.errors import PlatformError
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.peers.messages import CacheEvents, EndpointReport, Hello, ServingState
from carawayhub.platform.ports import VmList, VmState

POLL_INTERVAL_SECONDS = 0.5
FAILED_POLL_INTERVAL_SECONDS = 0.25
FAILURES_UNTIL_FAILED = 3
MAX_KEPT_EVENTS = 2048


@dataclass(slots=True)
class Standing:
    """Serving state of the endpoint, with the reason if it is not serving."""

    state: ServingState
    reason: str


@dataclass(slots=True)
class _LeavingSources:
    """Sources that mark the endpoint as leaving; any one is sufficient."""

    configuration: bool = False
    vm_list: bool = False
    stop: bool = False

    def reason(self) -> str:
        named = (
            (self.configuration, "leaving according to the configuration"),
            (self.vm_list, "leaving according to the VM list"),
            (self.stop, "its agent is stopping"),
        )
        return ", ".join(text for applies, text in named if applies)


@dataclass(slots=True)
class _LatestLoad:
    """The latest load and when it was received."""

    load: Load = field(default_factory=Load)
    at: float = 0.0
    failures: int = FAILURES_UNTIL_FAILED


class Reporter:
    """Polls the endpoint and builds its reports.

    Args:
        endpoint: Name of the endpoint.
        vm: Name of its VM.
        incarnation: Incarnation of the agent.
        clock: Source of time.
        audit: Records changes of state.
        announce: Called when entries must receive a change at once.
    """

    def __init__(
        self,
        endpoint: str,
        vm: str,
        incarnation: int,
        clock: Clock,
        audit: AuditTrail,
        announce: Callable[[], None],
    ) -> None:
        self._endpoint = endpoint
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._audit = audit
        self._announce = announce
        self._leaving = _LeavingSources()
        self._latest_load = _LatestLoad()
        self._cfg: Configuration | None = None
        self._events: list[CacheChange] = []
        self._standing = Standing(ServingState.STARTING, "no load received yet")
        self._sent: dict[str, int] = {}
        self.map_number = 0
        self.skew = 1.0
        self.out_of_step = ""
        self.gate_running = 0

    @property
    def state(self) -> ServingState:
        """Whether new work may go to the endpoint."""
        return self._standing.state

    @property
    def reason(self) -> str:
        """Why the endpoint is not serving, empty if it is."""
        return self._standing.reason

    @property
    def load(self) -> Load:
        """The latest load that was received."""
        return self._latest_load.load

    def configured(self, cfg: Configuration) -> None:
        """Apply a configuration version; an endpoint that it doesn't name is leaving."""
        self._cfg = cfg
        found = cfg.endpoints.get(self._endpoint)
        self._leaving.configuration = found is None or found.state is EndpointState.LEAVING
        self._update_standing()

    def listed(self, vms: VmList) -> None:
        """Apply the platform's VM list; a VM missing from it may just be too new."""
        states = {vm.name: vm.state for vm in vms.vms}
        self._leaving.vm_list = states.get(self._vm) is VmState.LEAVING
        self._update_standing()

    def stopping(self) -> None:
        """Record that the agent is stopping."""
        self._leaving.stop = True
        self._update_standing()

    def set_out_of_step(self, reason: str) -> None:
        """Take the endpoint out of routing with a reason, or return it with an empty one."""
        self.out_of_step = reason
        self._update_standing()

    async def poll(self, watch: EndpointWatch) -> None:
        """Poll the endpoint for load and cache events until cancelled."""
        after = 0
        while True:
            pause = POLL_INTERVAL_SECONDS
            try:
                load = await watch.load()
                changes = await watch.cache_changes(after)
            except PlatformError as exc:
                self._failed(exc)
                pause = FAILED_POLL_INTERVAL_SECONDS
            else:
                self._latest_load = _LatestLoad(load, self._clock.monotonic(), 0)
                self._events = [*self._events, *changes][-MAX_KEPT_EVENTS:]
                after = changes[-1].number if changes else after
                self._update_standing()
            await anyio.sleep(pause)

    def report(self, peer: Hello, epoch: int) -> EndpointReport:
        """Return the report for one entry."""
        fleet = FleetOptions() if self._cfg is None else self._cfg.fleet
        serving = self._standing.state is ServingState.SERVING
        load = self._latest_load.load
        return EndpointReport(
            endpoint=self._endpoint,
            incarnation=self._incarnation,
            state=self._standing.state,
            permit=fleet.permit_ttl if serving else 0.0,
            running=max(load.running, self.gate_running),
            queued=load.queued,
            capacity=max(load.capacity, 1),
            load_age=self._clock.monotonic() - self._latest_load.at,
            step_seconds=load.step_seconds,
            tokens_rate=load.tokens_rate,
            ticket_epoch=epoch,
            map_number=self.map_number,
            skew=self.skew,
            reason=self._standing.reason,
            cache=self._unsent_cache_events(peer),
            reading=self._clock.monotonic(),
        )

    def _unsent_cache_events(self, peer: Hello) -> CacheEvents:
        """Return the cache events not yet sent to this peer, up to the first gap.

        Each event is sent once: an open link keeps their order and loses none, and a peer that
        opens a new link gets all kept events. The peer detects a gap by the first number.
        """
        key = f"{peer.name}:{peer.incarnation}"
        sent = self._sent.get(key, 0)
        unsent = [event for event in self._events if event.number > sent]
        run = _contiguous_prefix(unsent)
        if not run:
            return CacheEvents(first=sent + 1)
        self._sent[key] = run[-1].number
        return CacheEvents(
            first=run[0].number,
            added=tuple(event.block for event in run if event.added),
            removed=tuple(event.block for event in run if not event.added),
        )

    def _failed(self, exc: PlatformError) -> None:
        self._latest_load.failures += 1
        if self._latest_load.failures == FAILURES_UNTIL_FAILED:
            logger.bind(endpoint=self._endpoint).warning("polling the endpoint failed: {}", exc)
        self._update_standing()

    def _update_standing(self) -> None:
        standing = self._current_standing()
        before = self._standing
        if standing == before:
            return
        self._standing = standing
        if standing.state is not before.state:
            self._audit.record(
                Subject.ENDPOINT,
                self._endpoint,
                before.state.value,
                standing.state.value,
                standing.reason or "the endpoint is responding",
            )
            self._announce()

    def _current_standing(self) -> Standing:
        leaving = self._leaving.reason()
        if leaving:
            return Standing(ServingState.LEAVING, leaving)
        if self._cfg is None:
            return Standing(ServingState.STARTING, "no configuration is in force yet")
        if self._latest_load.failures >= FAILURES_UNTIL_FAILED:
            return Standing(ServingState.FAILED, "the endpoint is not responding")
        if self.out_of_step:
            return Standing(ServingState.FAILED, self.out_of_step)
        return Standing(ServingState.SERVING, "")


def _contiguous_prefix(events: list[CacheChange]) -> list[CacheChange]:
    run: list[CacheChange] = []
    for event in events:
        if run and event.number != run[-1].number + 1:
            break
        run.append(event)
    return run


def is_engine(cfg: Configuration, endpoint: Endpoint) -> bool:
    """Return whether an endpoint is a model engine and not a plain service."""
    return any(endpoint.name in group.endpoints for group in cfg.groups.values())
