"""The gateway entry as a process: its parts, its start and its planned stop."""

import random
import signal
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Upstream
from carawayhub.errors import CommandError
from carawayhub.gateway.app import GatewayApp
from carawayhub.gateway.calls import CallerWire
from carawayhub.gateway.desk import Desk
from carawayhub.gateway.directory import ANSWER_SECONDS, EntryDirectory
from carawayhub.gateway.follower import Follower
from carawayhub.gateway.freshness import Bounds, read_times
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.handing import Handing
from carawayhub.gateway.health import Health
from carawayhub.gateway.hello import News, Phase
from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import CallerLimits
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import PublishedState
from carawayhub.gateway.relay import GatewayRelay, RelayParts
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.tally import LimitsMet, Tally, ViewSeen
from carawayhub.gateway.telling import OwnPlace
from carawayhub.gateway.view import FleetView
from carawayhub.http import ConnectionLimits, HttpServer, bind
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.replicarate import ReplicaRates
from carawayhub.peers.pace import LinkPacer

KEPT_TIMES = 3.0
"""Times the stated seconds for which some callers keep an answer of the directory."""

STOP_MARGIN = 0.8
"""Seconds before the end of the grace time by which the process ends by itself."""

TICK = 0.25
"""Seconds between two looks at what changes with time alone."""

FORGET_SECONDS = 3.0
"""Seconds between two looks at which limits are those of replicas that are gone: each look works
out the keys of all endpoints."""

TOUCH_PART = 0.7
"""Part of the time in which keys that were taken away may still open something after which an entry
without news of the store leaves the directories: its callers go to others before it must refuse."""

CUT_ALLOWANCE = 1.1
"""Seconds added to the time without an answer of the store: it was lost before a call showed it."""

LAST_CALL = 0.5
"""Part of the grace time after which connections are closed with their next answer."""


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayOptions:
    """What a gateway entry is given.

    Attributes:
        callers: Where it takes callers.
        seeds: IP numbers of entries that may live.
        ip: IP number of the VM.
        peer_port: Port of all entries for what they tell each other of themselves.
        content_port: Port of all entries for published content.
        link_rate: Bytes a second that the link of the VM carries, 0 where that is not known.
        failure_domain: Where it stands.
        heartbeat: Seconds between two heartbeats of an endpoint.
        bounds: Within how many seconds what is published must hold here.
        grace: Seconds from the stop signal to the end.
        retry_ratio: Repeated sends for each request of a service.
        retry_extra: Repeated sends beyond that in one window, over all entries.
        retry_window: Length of that window in seconds.
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


class GatewayProcess:
    """One gateway entry.

    Args:
        options: What it is given.
        state: The published state.
        wire: How requests and answers are spelled.
        clock: Source of time; it must count suspensions.
        rng: Source of chance.
        read_seeds: Reads the IP numbers of entries that may live from the settings as they are now;
            raises CommandError where these cannot be used.
    """

    __slots__ = (
        "_app",
        "_clock",
        "_directory",
        "_follower",
        "_forget_limits_at",
        "_gossip",
        "_handing",
        "_health",
        "_loads",
        "_options",
        "_pools",
        "_rates",
        "_read_seeds",
        "_records",
        "_rng",
        "_stopping",
        "_tally",
        "_upstream",
        "_view",
    )

    def __init__(
        self,
        options: GatewayOptions,
        state: PublishedState,
        wire: CallerWire,
        clock: Clock,
        rng: random.Random,
        read_seeds: Callable[[], frozenset[str]],
    ) -> None:
        self._read_seeds = read_seeds
        self._options = options
        self._clock = clock
        self._rng = rng
        self._loads = Loads()
        self._health = Health(clock)
        self._view = FleetView(clock, options.heartbeat)
        self._pools: dict[str, ServicePool] = {}
        self._upstream = Upstream(options.ip, clock=clock)
        self._tally = Tally(
            lambda: self._view.unreadable_entries, self._limits_met, self._view_seen
        )
        self._view.on_table = self._tally.table_in_force
        own = OwnPlace(
            ip=options.ip,
            port=options.peer_port,
            callers=str(options.callers),
            failure_domain=options.failure_domain,
        )
        self._records = PoisonRecords(clock)
        self._records.on_ends = self._hear_of_ends
        self._rates = ReplicaRates(clock, rng, work_key)
        self._forget_limits_at = float("-inf")
        self._gossip = Gossip(
            own, options.seeds, self._loads, self._records, self._rates, clock, rng
        )
        self._handing = Handing(
            options.ip,
            options.content_port,
            state.mirror,
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
            self._handing.beyond,
            first=options.ip in options.seeds,
            news_seconds=lambda: self._gossip.news_seconds,
        )
        self._follower.on_grown = self._gossip.tell_soon
        self._gossip.on_loads = self._serve_lines
        self._gossip.own.news = self._news
        self._gossip.on_news = self._take_news
        self._gossip.own.refusing = self._health.refused_here
        self._gossip.on_refusing = self._health.heard_refusing
        self._directory = EntryDirectory(self._gossip, str(options.callers), rng)
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
                rates=self._rates,
            )
        )
        desk = Desk(self._view, clock, rng, options.bounds.revoke_after)
        self._app = GatewayApp(clock, wire, desk, relay, self._limits, self._tally)

    def is_ready(self) -> bool:
        """Return whether this entry takes callers."""
        return self._gossip.phase is Phase.READY

    def addresses(self) -> list[str]:
        """Return the addresses of entries that take callers."""
        return self._directory.addresses()

    def metrics(self) -> str:
        """Return the metrics as text."""
        return self._tally.page()

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
                self._gossip.spread,
                lambda: self._gossip.news_seconds,
                self._rates,
                self._gossip.part_heard,
            )
        return found

    async def run(self, probes: Sequence[HttpServer]) -> None:
        """Serve until a planned stop has come to its end.

        Args:
            probes: The servers of readiness and directory; they run until the end.
        """
        server = HttpServer(self._app, bind(self._options.callers), self._connection_limits)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_signals)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._gossip.run)
            tasks.start_soon(self._handing.run)
            tasks.start_soon(self._tick)
            for probe in probes:
                tasks.start_soon(probe.run)
            tasks.start_soon(server.run)
            await self._stopping.wait()
            await self._stop(server)
            tasks.cancel_scope.cancel()

    async def _stop(self, server: HttpServer) -> None:
        """End so that no caller notices.

        Callers go on using this entry until their kept answers run out, so it leaves the answers
        of all directories first, serves on, then closes connections with their next answers, and
        ends when the last request has.
        """
        stop_at = self._clock.monotonic()
        ends_at = stop_at + self._options.grace - STOP_MARGIN
        logger.info("stopping, out of the directories")
        self._gossip.set_phase(Phase.LEAVING)
        kept_until = min(
            stop_at + KEPT_TIMES * ANSWER_SECONDS, stop_at + self._options.grace * LAST_CALL
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
                if each is signal.SIGHUP:
                    self._reload()
                    continue
                self._stopping.set()

    def _reload(self) -> None:
        """Take over what a changed settings file may change while the process runs."""
        try:
            seeds = self._read_seeds()
        except CommandError as exc:
            logger.bind(code=int(exc.code), error=str(exc)).error("settings stay as they are")
            return
        self._gossip.add_seeds(seeds)
        logger.bind(seeds=sorted(seeds)).info("settings read again")

    async def _tick(self) -> None:
        while True:
            self._look_at_readiness()
            self._look_at_groups()
            self._serve_lines()
            self._forget_the_gone()
            await anyio.sleep(TICK)

    def _forget_the_gone(self) -> None:
        """Drop what is no longer of use and would only pile up.

        Records of endpoints that are no longer published, and of requests long past.
        """
        published = self._view.ids()
        self._health.forget(published)
        self._records.forget_old()
        now = self._clock.monotonic()
        if now >= self._forget_limits_at:
            self._forget_limits_at = now + FORGET_SECONDS
            self._rates.forget(published)

    def _look_at_readiness(self) -> None:
        """Take callers once the configuration is known, and only while it can be proved new."""
        if self._stopping.is_set() or self._view.table is None:
            return
        most = self._options.bounds.revoke_after * TOUCH_PART
        fresh = max(self._view.age, self._view.cut_off + CUT_ALLOWANCE) < most
        phase = Phase.READY if fresh else Phase.OUT_OF_TOUCH
        if phase is not self._gossip.phase:
            logger.bind(phase=phase.name, age=round(self._view.age, 2)).info("phase changes")
            self._gossip.set_phase(phase)

    def _news(self) -> News:
        view = self._view
        return News(view.revision, view.age, view.grace, view.cut_off == 0.0)

    def _take_news(self, news: News, proved_at: float) -> None:
        if news.grace > 0:
            self._view.distrust(news.grace)
        self._follower.heard_of(news.revision)
        self._view.confirm_revision(news.revision, proved_at)

    def _hear_of_ends(self, keys: frozenset[int]) -> None:
        """Leave endpoints alone that a peer saw end, and their groups.

        Sent to for 1.5 s more, ranks of a group that stood still were given 74 requests where an
        entry knew alone (``benchmarks.outage``), which waited there and were refused.
        """
        for endpoint in self._view.named_by(keys):
            self._health.unreachable(endpoint.id)
            self._view.rank_ended(endpoint)

    def _serve_lines(self) -> None:
        for pool in self._pools.values():
            if len(pool.line):
                pool.serve_line()

    def _look_at_groups(self) -> None:
        for pool in self._pools.values():
            pool.look_at_groups()

    def _limits_met(self) -> LimitsMet:
        held_back = sum(each.held_back for each in self._pools.values())
        return LimitsMet(self._rates.limits(), held_back)

    def _view_seen(self) -> ViewSeen:
        view = self._view
        version = view.table.version if view.table is not None else 0
        return ViewSeen(version, view.revision, view.age, self._gossip.is_reader())

    def _connection_limits(self) -> ConnectionLimits:
        limits = self._limits()
        return ConnectionLimits(
            head_bytes=limits.head_bytes,
            head_timeout=limits.head_timeout,
            idle_timeout=limits.idle_timeout,
        )

    def _limits(self) -> CallerLimits:
        table = self._view.table
        return table.limits if table is not None else CallerLimits()
