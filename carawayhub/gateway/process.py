"""The gateway entry as a process: its components, start and planned stop."""

import random
import signal
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.endpoints.boundedreads import AnswerMemory
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Upstream
from carawayhub.errors import CommandError
from carawayhub.gateway.admission import AdmissionControl
from carawayhub.gateway.app import GatewayApp
from carawayhub.gateway.calls import CallerWire
from carawayhub.gateway.coldreplicas import ColdReplicas
from carawayhub.gateway.directory import (
    ANSWER_TTL_SECONDS,
    ANY_CALLER,
    DirectoryQuery,
    EntryDirectory,
)
from carawayhub.gateway.entrychoice import request_capacity
from carawayhub.gateway.follower import Follower
from carawayhub.gateway.freshness import Bounds, read_times
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.handing import ContentForwarder
from carawayhub.gateway.health import Health
from carawayhub.gateway.hello import News, Phase
from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import CallerLimits, Service
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import PublishedState, ReloadableSettings
from carawayhub.gateway.regions import AllowedRegions
from carawayhub.gateway.relay import GatewayRelay, RelayParts
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.statements import ReplicaStatements, StatementCounts
from carawayhub.gateway.tally import LocalityCounts, ReplicaLimits, Tally, ViewStatus
from carawayhub.gateway.telling import OwnAddress
from carawayhub.gateway.view import FleetView
from carawayhub.http import ConnectionLimits, HttpServer, bind
from carawayhub.inbound.shared import CALLERS, Inbound
from carawayhub.limits.coldquota import ColdQuotas
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.replicarate import ReplicaRates
from carawayhub.limits.slotrows import SlotCounts
from carawayhub.peers.pace import LinkPacer
from carawayhub.tasks import KeptTasks

DIRECTORY_TTL_FACTOR = 3.0
"""Some callers cache an answer of the directory for this multiple of the stated time."""

STOP_MARGIN_SECONDS = 0.8
"""Seconds before the end of the grace period at which the process exits by itself."""

TICK_SECONDS = 0.25
"""Seconds between two checks of state that changes with time alone."""

LIMIT_CLEANUP_SECONDS = 3.0
"""Seconds between two removals of the limits of replicas that no longer exist. Each removal has to
compute the keys of all endpoints."""

READY_AGE_FRACTION = 0.7
"""Fraction of the time for which revoked keys may still be accepted, after which an entry without
updates from the store leaves the directories, so that its callers move to other entries before it
must refuse them."""

OUTAGE_ALLOWANCE_SECONDS = 1.1
"""Seconds added to the time without an answer from the store: the store was unreachable already
before the first call failed."""

ANSWER_MEMORY_PART = 8
"""Part of the memory that collected answers may take together: each is in memory up to three times,
as received, in one piece and in the buffer of its caller's connection."""

CLOSE_FRACTION = 0.5
"""Fraction of the grace period after which connections are closed with their next answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class VmResources:
    """Resources of the VM of an entry; 0 stands for unknown.

    Attributes:
        cores: Processor time that the process gets, in cores.
        memory: Bytes of memory that the process may use.
        descriptors: Maximum number of open files and sockets.
    """

    cores: float = 0.0
    memory: int = 0
    descriptors: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """Options of a gateway entry.

    Attributes:
        callers: Address on which it accepts callers.
        seeds: IP addresses of entries that may be running.
        ip: IP address of the VM.
        peer_port: Port of all entries for gossip.
        content_port: Port of all entries for published content.
        link_rate: Bandwidth of the VM's link in bytes per second, 0 if unknown.
        failure_domain: Failure domain of the VM.
        heartbeat: Seconds between two heartbeats of an endpoint.
        bounds: Seconds within which published changes must be in force.
        grace: Seconds from the stop signal to the exit.
        retry_ratio: Retries allowed per request of a service.
        retry_extra: Additional retries allowed per window, over all entries.
        retry_window: Length of the window in seconds.
        region: Region of the VM, empty if unknown.
        regions: Region of each failure domain, empty if unknown.
        resources: Resources of the VM.
        cold_overage: Factor on the rate that a cold endpoint accepts, up to which it gets requests.
        cold_slack: Additional requests that a cold endpoint may get in one second.
        fair_shares: Whether organisations get even shares of contended slots.
        domain_margin: Relative load by which endpoints of the entry's own failure domain may be
            fuller than others before these get its requests, 0 to ignore failure domains.
    """

    callers: Address
    seeds: frozenset[str]
    ip: str
    peer_port: int
    content_port: int
    link_rate: float
    failure_domain: str
    heartbeat: float
    bounds: Bounds
    grace: float
    retry_ratio: float
    retry_extra: float
    retry_window: float
    region: str = ""
    regions: Mapping[str, str] = field(default_factory=dict)
    resources: VmResources = VmResources()
    cold_overage: float = 1.0
    cold_slack: float = 0.0
    domain_margin: float = 0.0
    fair_shares: bool = False


class GatewayProcess:
    """One gateway entry.

    Args:
        options: Its options.
        state: The published state.
        wire: Wire format of requests and answers.
        clock: Source of time; it must count suspensions.
        rng: Source of randomness.
        read_settings: Reads the settings that can change; raises CommandError if these are invalid.

    Attributes:
        inbound: What the servers of the process share.
    """

    __slots__ = (
        "_allowed",
        "_app",
        "_clock",
        "_cold",
        "_cold_quotas",
        "_directory",
        "_eras",
        "_follower",
        "_limit_cleanup_at",
        "_gossip",
        "_handing",
        "_health",
        "_loads",
        "_options",
        "_pools",
        "_rates",
        "_read_settings",
        "_records",
        "_rng",
        "_slot_counts",
        "_statements",
        "_stopping",
        "_tally",
        "_tasks",
        "_upstream",
        "_view",
        "inbound",
    )

    def __init__(
        self,
        options: GatewayOptions,
        state: PublishedState,
        wire: CallerWire,
        clock: Clock,
        rng: random.Random,
        read_settings: Callable[[], ReloadableSettings],
    ) -> None:
        self._read_settings = read_settings
        self._eras = state.eras
        self._options = options
        self._clock = clock
        self._rng = rng
        self.inbound = Inbound(clock, options.resources.memory, options.resources.descriptors)
        self._tasks = KeptTasks()
        self._loads = Loads()
        self._health = Health(clock)
        self._view = FleetView(clock, options.heartbeat)
        self._pools: dict[str, ServicePool] = {}
        self._upstream = Upstream(options.ip, clock=clock)
        self._tally = Tally(
            lambda: self._view.unreadable_entries,
            self._limits_met,
            self._view_seen,
            self._statements_met,
            lambda: self._records.counts,
            self._locality_counts,
            self._pass_bounds,
            lambda: {name: each.order.status() for name, each in self._pools.items()},
            lambda: self._tasks.failures,
        )
        own_region = {options.failure_domain: options.region}
        self._allowed = AllowedRegions(self._view, own_region | dict(options.regions))
        self._view.on_table = self._table_applied
        own = OwnAddress(
            ip=options.ip,
            port=options.peer_port,
            callers=str(options.callers),
            failure_domain=options.failure_domain,
            capacity=_capacity(options),
        )
        self._records = PoisonRecords(clock)
        self._records.on_ends = self._apply_peer_ends
        self._rates = ReplicaRates(clock, rng, work_key)
        self._cold_quotas = ColdQuotas(
            clock,
            options.ip,
            options.seeds,
            self._known_peers,
            lambda: bool(self._gossip.settled_entries()),
        )
        self._cold = ColdReplicas(
            clock, rng, self._cold_quotas, self._configured_service, options.cold_overage
        )
        self._view.on_registration = self._cold.record_registration
        self._view.on_evacuation_ended = self._cold.record_evacuation_ended
        self._health.on_unreachable = self._cold.record_unreachable
        self._statements = ReplicaStatements(self._rates, self._view, self._cold)
        self._limit_cleanup_at = float("-inf")
        self._slot_counts = SlotCounts(clock)
        self._gossip = Gossip(
            own,
            options.seeds,
            self._loads,
            self._records,
            self._rates,
            clock,
            rng,
            self._slot_counts,
            self._tasks,
        )
        self._handing = ContentForwarder(
            options.ip,
            options.content_port,
            state,
            self._gossip,
            LinkPacer(clock, options.link_rate),
        )
        self._follower = Follower(
            state,
            self._view,
            clock,
            rng,
            read_times(options.bounds),
            self._gossip.is_reader,
            self._handing.fetch_after,
            first=options.ip in options.seeds,
            propagation_seconds=lambda: self._gossip.propagation_seconds,
            lists_first=self._gossip.is_domain_delegate,
        )
        self._follower.on_grown = self._gossip.send_soon
        self._gossip.on_loads = self._serve_queues
        self._gossip.own.news = self._own_news
        self._gossip.on_news = self._apply_news
        self._gossip.own.refusing = self._health.refused_locally
        self._gossip.on_refusing = self._health.peer_refused
        self._gossip.own.slow = self._health.reported_slow
        self._gossip.on_slow = self._health.peer_reported_slow
        self._gossip.own.backing_off = self._backing_off
        self._gossip.on_backing_off = self._health.peer_backing_off
        self._handing.on_slow_ranks = self._report_slow
        uses_domains = options.domain_margin > 0.0
        if uses_domains:
            self._gossip.own.in_flight = self._loads.own_requests
        self._directory = EntryDirectory(
            self._gossip,
            str(options.callers),
            rng,
            self._allowed,
            clock if uses_domains else None,
        )
        self._stopping = anyio.Event()
        relay = GatewayRelay(
            RelayParts(
                clock=clock,
                view=self._view,
                health=self._health,
                upstream=self._upstream,
                wire=wire,
                pool=self.pool,
                entries=self._gossip.settled_entries,
                load=self._loads.total,
                endings=Endings(self._upstream, self._records, clock, self._tally.endpoint_ended),
                statements=self._statements,
                memory=AnswerMemory(options.resources.memory // ANSWER_MEMORY_PART),
                answer_cut=self._tally.answer_cut,
            )
        )
        admission = AdmissionControl(
            self._view,
            clock,
            rng,
            options.bounds.revoke_after,
            lambda: bool(self._gossip.entries(Phase.READY)),
        )
        self._app = GatewayApp(clock, wire, admission, relay, self._limits, self._tally)

    def is_ready(self) -> bool:
        """Return whether this entry accepts callers."""
        return self._gossip.phase is Phase.READY

    def addresses(self, query: DirectoryQuery = ANY_CALLER) -> list[str]:
        """Return the addresses of entries that accept callers."""
        return self._directory.addresses(query)

    def metrics(self) -> str:
        """Return the metrics as text."""
        return self._tally.page() + self.inbound.metrics()

    def pool(self, service: str) -> ServicePool:
        """Return the pool of a service."""
        found = self._pools.get(service)
        if found is None:
            options = self._options
            retries = RetryShare(
                self._clock, options.retry_ratio, options.retry_extra, options.retry_window
            )
            found = self._pools[service] = ServicePool(
                service,
                self._view,
                self._loads,
                self._health,
                self._clock,
                self._rng,
                retries,
                self._gossip.stale_entry_seconds,
                lambda: self._gossip.propagation_seconds,
                self._rates,
                self._gossip.reachable_fraction,
                options.failure_domain,
                options.domain_margin,
                self._allowed,
                self._cold,
                self._slot_counts,
                options.fair_shares,
            )
        return found

    async def run(self, probes: Sequence[HttpServer]) -> None:
        """Serve until a planned stop is complete.

        Args:
            probes: Servers of the readiness check and the directory; they run until the end.
        """
        server = HttpServer(
            self._app,
            bind(self._options.callers),
            self._connection_limits,
            CALLERS,
            self.inbound,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._tasks.run, "follower", self._follower.run)
            tasks.start_soon(self._tasks.run, "gossip", self._gossip.run)
            tasks.start_soon(self._tasks.run, "content", self._handing.run)
            tasks.start_soon(self._tasks.run, "tick", self._tick)
            for probe in probes:
                tasks.start_soon(probe.run)
            tasks.start_soon(server.run)
            await self._stopping.wait()
            await self._stop(server)
            tasks.cancel_scope.cancel()

    async def _stop(self, server: HttpServer) -> None:
        """Stop without failing requests.

        Callers use this entry until their cached directory answers expire. It therefore leaves the
        directories first and continues to serve, then closes each connection with its next answer,
        and stops after the last request.
        """
        stop_at = self._clock.monotonic()
        ends_at = stop_at + self._options.grace - STOP_MARGIN_SECONDS
        logger.info("stopping, out of the directories")
        self._gossip.set_phase(Phase.LEAVING)
        kept_until = min(
            stop_at + DIRECTORY_TTL_FACTOR * ANSWER_TTL_SECONDS,
            stop_at + self._options.grace * CLOSE_FRACTION,
        )
        await anyio.sleep(max(0.0, kept_until - self._clock.monotonic()))
        self._app.closing = True
        server.stop()
        while self._app.running and self._clock.monotonic() < ends_at:
            await anyio.sleep(0.05)
        logger.bind(unfinished=self._app.running).info("stopped")

    async def _watch_signals(self) -> None:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for each in signals:
                if each is not signal.SIGHUP:
                    self._stopping.set()
                    continue
                try:
                    self._reload()
                except Exception as exc:
                    self._tasks.record("reload", exc)

    def _reload(self) -> None:
        """Apply the settings that can change while the process runs."""
        try:
            settings = self._read_settings()
        except CommandError as exc:
            logger.bind(code=int(exc.code), error=str(exc)).error(
                "cannot reload the settings; the current ones stay in force"
            )
            return
        self._gossip.add_seeds(settings.seeds)
        lifted = [each.hex() for each in settings.lifted if self._records.lift(each)]
        logger.bind(seeds=sorted(settings.seeds), lifted=sorted(lifted)).info("settings reloaded")

    async def _tick(self) -> None:
        while True:
            self._update_phase()
            self._update_cold()
            self._check_groups()
            self._serve_queues()
            self._drop_stale_records()
            await anyio.sleep(TICK_SECONDS)

    def _drop_stale_records(self) -> None:
        """Drop records that would otherwise accumulate.

        These are records of endpoints that are no longer published, and of old requests.
        """
        published = self._view.ids()
        self._health.retain(published)
        self._records.expire()
        now = self._clock.monotonic()
        if now >= self._limit_cleanup_at:
            self._limit_cleanup_at = now + LIMIT_CLEANUP_SECONDS
            self._rates.forget(published)
            self._cold.forget(published)

    def _update_phase(self) -> None:
        """Accept callers only while a configuration is known and was recently proved the newest."""
        if self._stopping.is_set() or self._view.table is None:
            return
        most = self._options.bounds.revoke_after * READY_AGE_FRACTION
        fresh = max(self._view.age, self._view.unanswered_seconds + OUTAGE_ALLOWANCE_SECONDS) < most
        phase = Phase.READY if fresh else Phase.OUT_OF_TOUCH
        if phase is not self._gossip.phase:
            logger.bind(phase=phase.name, age=round(self._view.age, 2)).info("phase changes")
            self._gossip.set_phase(phase)

    def _report_slow(self, replicas: list[str]) -> None:
        known = filter(None, (self._view.endpoint_of(each) for each in replicas))
        self._health.report_slow(each.id for each in known)

    def _backing_off(self) -> list[str]:
        return [each for pool in self._pools.values() for each in pool.backing_off()]

    def _own_news(self) -> News:
        view = self._view
        return News(
            revision=view.revision.number,
            age=view.age,
            grace=view.grace,
            reads=view.unanswered_seconds == 0.0,
            era=view.revision.era,
            version=view.table.version if view.table is not None else -1,
        )

    def _apply_news(self, news: News, proved_at: float, peer: str) -> None:
        if not news.revision or not self._eras.accept_from_peer(news.era, peer):
            return
        if news.era != self._view.revision.era:
            self._view.distrust_removals(news.grace)
        elif news.grace > 0:
            self._view.adopt_distrust(news.grace)
        self._follower.note_revision(news.position)
        self._follower.note_version(news.version)
        self._view.confirm_revision(news.position, proved_at)

    def _apply_peer_ends(self, keys: frozenset[int]) -> None:
        """Stop sending to endpoints that a peer reported as ended, and to their groups.

        Otherwise the ranks of a stalled group get requests for 1.5 s more, which wait there and are
        refused: 74 requests if only one entry has seen the end.
        """
        for endpoint in self._view.endpoints_by_keys(keys):
            self._health.unreachable(endpoint.id)
            self._view.rank_ended(endpoint)

    def _update_cold(self) -> None:
        """Update the entries among which the bounds of cold replicas are divided."""
        table = self._view.table
        if table is not None and any(each.cold_rate > 0 for each in table.services.values()):
            self._cold_quotas.update()
        self._cold.expire()

    def _known_peers(self) -> dict[str, bool]:
        """Return the other entries that run, and whether each is leaving."""
        return {
            each.ip: phase is Phase.LEAVING
            for phase in Phase
            for each in self._gossip.entries(phase)
        }

    def _configured_service(self, name: str) -> Service | None:
        table = self._view.table
        return None if table is None else table.services.get(name)

    def _serve_queues(self) -> None:
        for pool in self._pools.values():
            if len(pool.queue):
                pool.serve_queue()

    def _table_applied(self, late_at_most: float) -> None:
        self._tally.table_applied(late_at_most)
        self._allowed.check_table()

    def _check_groups(self) -> None:
        for pool in self._pools.values():
            pool.update_outages()

    def _limits_met(self) -> ReplicaLimits:
        held_back = sum(each.held_back for each in self._pools.values())
        return ReplicaLimits(
            self._rates.limits(), held_back, self._cold.counts(), self._cold.held_back
        )

    def _pass_bounds(self) -> dict[str, int]:
        return {
            group: bound
            for pool in self._pools.values()
            for group, bound in pool.pass_bounds().items()
        }

    def _statements_met(self) -> StatementCounts:
        found = {name: each.backoff_rejections for name, each in self._pools.items()}
        return replace(self._statements.counts, rejections=Counter(found))

    def _locality_counts(self) -> LocalityCounts:
        if self._options.domain_margin <= 0.0:
            return LocalityCounts()
        requests = {
            name: each.locality.counts()
            for name, each in self._pools.items()
            if each.locality is not None
        }
        return LocalityCounts(requests, self._directory.counts())

    def _view_seen(self) -> ViewStatus:
        view = self._view
        version = view.table.version if view.table is not None else 0
        return ViewStatus(
            version=version,
            revision=view.revision,
            age=view.age,
            reads=self._gossip.is_reader(),
            era_changes=self._eras.changes,
            era_rejections=self._eras.rejections,
            evacuated=view.evacuated_domains(),
            evacuation_rejections={
                name: each.evacuation_rejections for name, each in self._pools.items()
            },
            region_rejections={name: each.region_rejections for name, each in self._pools.items()},
        )

    def _connection_limits(self) -> ConnectionLimits:
        limits = self._limits()
        return ConnectionLimits(
            head_bytes=limits.head_bytes,
            body_bytes=limits.body_bytes,
            head_timeout=limits.head_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _limits(self) -> CallerLimits:
        table = self._view.table
        return table.limits if table is not None else CallerLimits()


def _capacity(options: GatewayOptions) -> int:
    """Return the requests that the entry can have in flight, 0 if it need not state them."""
    if options.domain_margin <= 0.0:
        return 0
    vm = options.resources
    return request_capacity(vm.cores, vm.memory, vm.descriptors, options.link_rate)
