"""A process as a member of the fleet: its view of the fleet, its links and its tasks."""

import random
import socket

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration
from carawayhub.errors import PeerError
from carawayhub.fleet.manifest import VersionId
from carawayhub.fleet.messages import (
    Document,
    FilesReply,
    FilesRequest,
    ManifestReply,
    ManifestRequest,
)
from carawayhub.fleet.start import StartReport, Startup
from carawayhub.fleet.watchers import Candidate
from carawayhub.groups.lease import Holder, NamedDeciders
from carawayhub.output.audit import AuditTrail
from carawayhub.peers.calls import CallClient
from carawayhub.peers.links import peer_key
from carawayhub.peers.messages import LeaseReply, LeaseRequest, ProcessRole
from carawayhub.peers.methods import FILES, LEASE, MANIFEST
from carawayhub.peers.proofs import Prover
from carawayhub.peers.server import PeerServer, UnaryCall
from carawayhub.peers.signal import Signal
from carawayhub.platform.client import PlatformClient
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.exchange import Exchange
from carawayhub.process.identity import Identity
from carawayhub.process.knowledge import Knowledge
from carawayhub.process.linkset import LinkSet
from carawayhub.process.role import MemberRole
from carawayhub.settings import Settings

SEED_RETRY_SECONDS = 1.0
EVALUATE_INTERVAL_SECONDS = 2.0
CLOSE_TIMEOUT_SECONDS = 1.0


class Member:
    """Keeps the configuration of one process up to date and its peers linked.

    Args:
        identity: Identity of this process.
        settings: Its settings.
        clock: Source of time.
        rng: Source of jitter.
        audit: Records changes.

    Attributes:
        knowledge: Its view of the fleet.
        calls: Calls peers.
        start_report: Result of the startup, None until the process is ready.
    """

    def __init__(
        self,
        identity: Identity,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
    ) -> None:
        source = Address.parse(settings.peer_listen).host
        self.identity = identity
        self.start_report: StartReport | None = None
        self.prover = Prover(settings.system_key, identity.key)
        self.calls = CallClient(self.prover, source)
        self._platform = PlatformClient(settings.platform, source)
        self._book = AddressBook(self.calls)
        self.knowledge = Knowledge.empty(identity, self._book, self._platform, clock, rng, audit)
        self._seeds = settings.seeds
        self._source = source
        self._clock = clock
        self._rng = rng
        self._startup = Startup(
            self.knowledge.sync, self.knowledge.watcher, self._known_peers, clock
        )
        self._exchange: Exchange | None = None
        self._links: LinkSet | None = None
        self._role: MemberRole | None = None
        self._relink = Signal()
        self._named_deciders = NamedDeciders(clock)

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self.knowledge.configuration

    @property
    def ready(self) -> bool:
        """Whether this process has the newest configuration of all the peers it reached."""
        return self.start_report is not None

    @property
    def leaving(self) -> bool:
        """Whether this process is stopping."""
        return self._exchange is not None and self._exchange.leaving

    def leave(self) -> None:
        """Announce to all peers that this process is stopping."""
        if self._exchange is not None:
            self._exchange.leaving = True
            self._exchange.changed.notify()

    def announce(self) -> None:
        """Announce a changed state to peers at once."""
        if self._exchange is not None:
            self._exchange.changed.notify()

    def heartbeat_interval(self) -> float:
        """Return the seconds between two heartbeats of a link."""
        if self._exchange is None:
            return self.knowledge.fleet.report_interval
        return self._exchange.intervals().heartbeat

    def startup_state(self) -> StartReport:
        """Return the progress of the startup."""
        return self.start_report or self._startup.report()

    async def run(
        self, role: MemberRole, sock: socket.socket, calls: tuple[UnaryCall, ...]
    ) -> None:
        """Take part in the fleet until cancelled.

        Args:
            role: Handles updates as an entry or an agent.
            sock: Listening socket for links and calls.
            calls: Calls that this role serves in addition to those of every member.
        """
        self._role = role
        exchange = Exchange(self.identity, self.knowledge, role, self._book, self._clock)
        self._exchange = exchange
        self.knowledge.in_force.subscribe(self._named_deciders.apply_configuration)
        self.knowledge.in_force.subscribe(self._configured)
        self._watch_as_only_candidate()
        shared = (
            UnaryCall(MANIFEST, self._manifest),
            UnaryCall(FILES, self._files),
            UnaryCall(LEASE, self._confirm_decider),
        )
        server = PeerServer(exchange, self.prover, (*shared, *calls))
        await server.start(sock)
        try:
            async with anyio.create_task_group() as tasks:
                self._links = LinkSet(
                    exchange, self.prover, self._clock, self._rng, tasks, self._source
                )
                self._start_tasks(tasks, exchange)
                await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self._close(server)

    def _start_tasks(self, tasks: TaskGroup, exchange: Exchange) -> None:
        knowledge = self.knowledge
        tasks.start_soon(knowledge.sync.run)
        tasks.start_soon(knowledge.watcher.run)
        tasks.start_soon(knowledge.vms.run)
        tasks.start_soon(knowledge.vms.watch)
        tasks.start_soon(knowledge.pauses.run)
        tasks.start_soon(self._start)
        tasks.start_soon(self._announce_versions, exchange)
        tasks.start_soon(self._handle_vm_list_changes)
        tasks.start_soon(self._handle_member_changes)
        tasks.start_soon(self._keep_links, exchange)
        tasks.start_soon(self._evaluate)
        if self._seeds:
            tasks.start_soon(self._ask_seeds)

    async def _close(self, server: PeerServer) -> None:
        with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await server.stop()
        self.calls.close()
        with anyio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            await self._platform.close()

    def _watch_as_only_candidate(self) -> None:
        """Let an entry read the platform before it knows of any other process."""
        if self.identity.role is ProcessRole.ENTRY:
            own = Candidate(self.identity.key, self.identity.failure_domain)
            vms = self.knowledge.vms.current
            size = 1 if vms is None else len(vms.vms)
            self.knowledge.watcher.update((own,), fleet_size=size)

    async def _start(self) -> None:
        report = await self._startup.run()
        self.start_report = report
        logger.bind(
            version=report.in_force.version,
            answered=report.answered,
            unreached=report.unreached,
            service=report.service_answered,
        ).info("ready")

    async def _announce_versions(self, exchange: Exchange) -> None:
        """Announce a new version to peers at once, unless they receive it by another path.

        Agents receive versions from the entries that they are linked with. At full size an entry
        has some eighty agents, and each would send every change back to it. An agent that doesn't
        read the platform therefore reports the version only in heartbeat replies, which is soon
        enough.
        """
        while True:
            await self.knowledge.sync.changed.wait()
            if self.identity.role is ProcessRole.ENTRY or self.knowledge.watcher.is_watcher:
                exchange.changed.notify()

    async def _handle_vm_list_changes(self) -> None:
        while True:
            await self.knowledge.vms.changed.wait()
            vms = self.knowledge.vms.current
            if vms is None or self._role is None:
                continue
            if self.configuration is None:
                self._watch_as_only_candidate()
            self.knowledge.membership.update_vm_list(vms)
            self._role.vm_list_received(vms)
            self._relink.notify()

    async def _handle_member_changes(self) -> None:
        while True:
            await self.knowledge.members_changed.wait()
            self._update_watchers()
            if self._role is not None:
                self._role.members_changed()

    async def _evaluate(self) -> None:
        while True:
            await anyio.sleep(EVALUATE_INTERVAL_SECONDS)
            self.knowledge.membership.evaluate()

    async def _ask_seeds(self) -> None:
        """Poll the seed addresses until there is a configuration, which names the peers."""
        for seed in self._seeds:
            self._book.add_address(f"seed:{seed}", Address.parse(seed))
        while self.configuration is None:
            for seed in self._seeds:
                await self._ask_seed(f"seed:{seed}")
            await anyio.sleep(self._rng.uniform(SEED_RETRY_SECONDS / 2, SEED_RETRY_SECONDS))

    async def _ask_seed(self, key: str) -> None:
        try:
            req = ManifestRequest(document=Document.CONFIGURATION)
            reply = await self._book.manifest(key, req)
        except PeerError:
            return
        if reply.version:
            self.knowledge.sync.record_peer_version(key, VersionId(reply.version, reply.digest))

    def _configured(self, cfg: Configuration) -> None:
        if self._role is not None:
            self._role.configured(cfg)
        self._update_watchers()
        self._relink.notify()

    def _update_watchers(self) -> None:
        cfg = self.configuration
        if cfg is None:
            return
        candidates = [
            Candidate(peer_key(ProcessRole.ENTRY, entry.name), entry.failure_domain)
            for entry in cfg.entries.values()
        ]
        # Agents have few links, so polling the platform costs them least; they are preferred.
        candidates += [
            Candidate(
                peer_key(ProcessRole.AGENT, each.name), each.failure_domain, has_spare_capacity=True
            )
            for each in cfg.endpoints.values()
        ]
        size = len(cfg.entries) + len(cfg.endpoints)
        self.knowledge.watcher.update(candidates, self.knowledge.membership.down(), size)

    async def _keep_links(self, exchange: Exchange) -> None:
        """Open and end links after each change of the configuration or the VM list."""
        while True:
            await self._relink.wait()
            planned: tuple[int, int] | None = None
            while planned != (planned := self._plan_inputs()):
                await self._update_links(exchange)

    def _plan_inputs(self) -> tuple[int, int]:
        return self.knowledge.sync.in_force.version, self.knowledge.vms.number

    async def _update_links(self, exchange: Exchange) -> None:
        cfg = self.configuration
        if cfg is None or self._links is None or self._role is None:
            return
        wanted = await self._role.peers(cfg, self.knowledge.vms.current)
        self.knowledge.membership.set_peers(each.member for each in wanted)
        opened = {each.peer.key: each.peer for each in wanted}
        exchange.set_opened_peers(opened)
        for peer in self._links.set_peers(opened.values()):
            if peer.key not in opened:
                self.knowledge.sync.remove_peer(peer.key)
                self.knowledge.vms.remove_peer(peer.key)
                self._role.peer_lost(peer)

    def _known_peers(self) -> frozenset[str]:
        return frozenset() if self._exchange is None else self._exchange.known_peers

    async def _manifest(self, sender: str, req: ManifestRequest) -> ManifestReply:
        return self.knowledge.manifest(req)

    async def _confirm_decider(self, sender: str, req: LeaseRequest) -> LeaseReply:
        asking = Holder(req.endpoint, req.agent, req.vm)
        return LeaseReply(named_seconds=self._named_deciders.seconds_named(req.group, asking))

    async def _files(self, sender: str, req: FilesRequest) -> FilesReply:
        return self.knowledge.sync.files(req)
