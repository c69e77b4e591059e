"""A process as a member of the fleet: it learns the configuration and keeps links with peers."""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, FleetOptions
from carawayhub.errors import PeerError, PlatformError
from carawayhub.fleet.events import (
    FetchFailed,
    ServiceStale,
    SyncEvent,
    VersionAccepted,
    VersionConflict,
    VersionRefused,
)
from carawayhub.fleet.manifest import VersionId
from carawayhub.fleet.messages import (
    Document,
    FilesReply,
    FilesRequest,
    ManifestReply,
    ManifestRequest,
)
from carawayhub.fleet.pauses import Belief, PauseDetector
from carawayhub.fleet.start import StartReport, Startup
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.watchers import Candidate, PlatformWatcher
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.peers.calls import CallClient
from carawayhub.peers.links import Intervals, Peer, peer_key
from carawayhub.peers.messages import (
    EndpointReport,
    Heartbeat,
    HeartbeatReply,
    Hello,
    OrganisationDemand,
    ProcessRole,
)
from carawayhub.peers.methods import FILES, MANIFEST
from carawayhub.peers.proofs import Prover
from carawayhub.peers.server import PeerServer, UnaryCall
from carawayhub.peers.signal import Signal
from carawayhub.platform.client import PlatformClient
from carawayhub.platform.ports import VmList
from carawayhub.process.acceptance import Acceptance
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.identity import Identity
from carawayhub.process.linkset import LinkSet
from carawayhub.settings import Settings

VM_LIST_WAIT = 5.0
VM_LIST_PAUSE = 2.0
SEED_PAUSE = 1.0


class MemberRole(Protocol):
    """What differs between an entry and an agent as members."""

    def configured(self, cfg: Configuration) -> None:
        """Take a version that came into force."""

    def peers(self, cfg: Configuration, vms: VmList | None) -> Iterable[Peer]:
        """Return the peers to open links to."""

    def listed(self, vms: VmList) -> None:
        """Take a VM list."""

    def replied(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take what a peer reports on a link that this process opened."""

    def lost(self, peer: Peer) -> None:
        """Note that a peer cannot be reached."""

    def heard(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Take a heartbeat on a link that a peer opened."""

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return the report on this process's endpoint, None from an entry."""

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return what this entry's callers ask for, for another entry."""


@dataclass(slots=True)
class _Inbound:
    hello: Hello
    heard_at: float


class Member:
    """Keeps one process at the newest configuration and in touch with its peers.

    Args:
        identity: Who this process is.
        settings: Its settings.
        clock: Source of time.
        rng: Source of jitter.
        audit: Takes changes.

    Attributes:
        changed: Notified when this process's state must reach its peers at once.
        leaving: Whether this process is stopping.
        start_report: What it knew when it became ready, None before.
    """

    def __init__(
        self,
        identity: Identity,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
    ) -> None:
        self.identity = identity
        self.changed = Signal()
        self.leaving = False
        self.start_report: StartReport | None = None
        self.audit = audit
        self.prover = Prover(settings.system_key, identity.key)
        self._source = Address.parse(settings.peer_listen).host
        self.calls = CallClient(self.prover, self._source)
        self.acceptance = Acceptance(audit)
        self.platform = PlatformClient(settings.platform, self._source)
        self.pauses = PauseDetector(clock, _beliefs(identity.role))
        self._confirmed = Signal()
        self.vms: VmList | None = None
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._book = AddressBook(self.calls)
        self.sync = ConfigSync(self._book, self.acceptance, clock, rng, self._note)
        self.watcher = PlatformWatcher(identity.key, self.sync, self.platform, clock, rng)
        self._startup = Startup(self.sync, self.watcher, self._known_peers, clock)
        self._links: LinkSet | None = None
        self._wanted: dict[str, Peer] = {}
        self._inbound: dict[str, _Inbound] = {}
        self._pauses_at_send: dict[str, int] = {}
        self._role: MemberRole | None = None
        self._server: PeerServer | None = None

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self.acceptance.configuration

    @property
    def ready(self) -> bool:
        """Whether this process knows the newest configuration that anybody it reached has."""
        return self.start_report is not None

    def startup_state(self) -> StartReport:
        """Return what the start has reached so far."""
        return self.start_report or self._startup.report()

    async def run(self, role: MemberRole, sock: object, calls: tuple[UnaryCall, ...]) -> None:
        """Take part in the fleet until cancelled.

        Args:
            role: What this process does with what it learns.
            sock: Listening socket for links and calls.
            calls: Calls that this role answers besides those of every member.
        """
        self._role = role
        self.acceptance.subscribe(self._configured)
        if self.identity.role is ProcessRole.ENTRY:
            own = Candidate(self.identity.key, self.identity.failure_domain)
            self.watcher.update((own,))
        shared = (UnaryCall(MANIFEST, self._manifest), UnaryCall(FILES, self._files))
        self._server = PeerServer(self, self.prover, (*shared, *calls))
        await self._server.start(sock)
        try:
            async with anyio.create_task_group() as tasks:
                self._links = LinkSet(
                    self, self.prover, self._clock, self._rng, tasks, self._source
                )
                self._start_tasks(tasks)
                await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await self._close()

    def _start_tasks(self, tasks: TaskGroup) -> None:
        tasks.start_soon(self.sync.run)
        tasks.start_soon(self.watcher.run)
        tasks.start_soon(self.pauses.run)
        tasks.start_soon(self._start)
        tasks.start_soon(self._spread)
        tasks.start_soon(self._watch_vms)
        if self._settings.seeds:
            tasks.start_soon(self._ask_seeds)

    async def _close(self) -> None:
        if self._server is not None:
            with anyio.move_on_after(1.0):
                await self._server.stop()
        self.calls.close()
        with anyio.move_on_after(1.0):
            await self.platform.close()

    async def _start(self) -> None:
        report = await self._startup.run()
        self.start_report = report
        logger.bind(
            version=report.in_force.version,
            answered=report.answered,
            unreached=report.unreached,
            service=report.service_answered,
        ).info("ready")

    async def _spread(self) -> None:
        """Tell peers of a new version at once."""
        while True:
            await self.sync.changed.wait()
            self.changed.notify()

    async def _ask_seeds(self) -> None:
        """Ask the addresses in the settings until there is a configuration that names peers."""
        for seed in self._settings.seeds:
            self._book.note(f"seed:{seed}", Address.parse(seed))
        while self.configuration is None:
            for seed in self._settings.seeds:
                await self._ask_seed(f"seed:{seed}")
            await anyio.sleep(self._rng.uniform(SEED_PAUSE / 2, SEED_PAUSE))

    async def _ask_seed(self, key: str) -> None:
        try:
            req = ManifestRequest(document=Document.CONFIGURATION)
            reply = await self._book.manifest(key, req)
        except PeerError:
            return
        if reply.version:
            self.sync.heard(key, VersionId(reply.version, reply.digest))

    async def _watch_vms(self) -> None:
        after = 0
        while True:
            try:
                vms = await self.platform.vms(after, VM_LIST_WAIT)
            except PlatformError:
                await anyio.sleep(self._rng.uniform(VM_LIST_PAUSE / 2, VM_LIST_PAUSE))
                continue
            if vms.number > after:
                after = vms.number
                self._listed(vms)
                continue
            await anyio.sleep(self._rng.uniform(0, VM_LIST_PAUSE))

    def _listed(self, vms: VmList) -> None:
        self.vms = vms
        if self._role is not None:
            self._role.listed(vms)
        self._update_links()

    def _configured(self, cfg: Configuration) -> None:
        if self._role is not None:
            self._role.configured(cfg)
        candidates = [
            Candidate(peer_key(ProcessRole.ENTRY, entry.name), entry.failure_domain)
            for entry in cfg.entries.values()
        ]
        self.watcher.update(candidates, fleet_size=len(cfg.entries) + len(cfg.endpoints))
        self._update_links()

    def _update_links(self) -> None:
        cfg = self.configuration
        if cfg is None or self._links is None or self._role is None:
            return
        wanted = {peer.key: peer for peer in self._role.peers(cfg, self.vms)}
        self._wanted = wanted
        for peer in self._links.want(wanted.values()):
            if peer.key not in wanted:
                self.sync.forget(peer.key)
                self._role.lost(peer)

    def _known_peers(self) -> frozenset[str]:
        return frozenset(self._wanted) | frozenset(self._inbound)

    def _note(self, event: SyncEvent) -> None:
        match event:
            case VersionAccepted(id=id, source=source):
                logger.bind(version=id.version, source=source).info("version in force")
            case VersionRefused(id=id, source=source, error=error):
                self.audit.record(
                    Subject.CONFIGURATION, source, "", f"{id.version} refused", str(error)
                )
            case VersionConflict(in_force=held, other=other, source=source):
                reason = f"{other.version} has another content at {source}"
                self.audit.record(
                    Subject.CONFIGURATION, "conflict", held.digest, other.digest, reason
                )
            case ServiceStale(in_force=held, served=served):
                self.audit.record(
                    Subject.CONFIGURATION,
                    "service",
                    str(held.version),
                    str(served.version),
                    "the service serves an old version; the newer one stays in force",
                )
            case FetchFailed(id=id, source=source, reason=reason):
                logger.bind(version=id.version, source=source).info("fetch failed: {}", reason)

    async def _manifest(self, sender: str, req: ManifestRequest) -> ManifestReply:
        return self.sync.manifest(req)

    async def _files(self, sender: str, req: FilesRequest) -> FilesReply:
        return self.sync.files(req)

    # The opening end of links.

    def hello(self) -> Hello:
        """Return the introduction of this process."""
        return self.identity.hello()

    def intervals(self) -> Intervals:
        """Return the times in force now."""
        cfg = self.configuration
        fleet = FleetOptions() if cfg is None else cfg.fleet
        return Intervals(fleet.report_interval, fleet.heartbeat_timeout)

    def heartbeat(self, peer: Peer, sequence: int) -> Heartbeat:
        """Return the next heartbeat for ``peer``."""
        self.pauses.check()
        self._pauses_at_send[peer.key] = self.pauses.count
        held = self.sync.in_force
        return Heartbeat(
            sequence=sequence,
            version=held.version,
            digest=held.digest,
            leaving=self.leaving,
            service_age=self.sync.service_age(),
            demand=() if self._role is None else self._role.demand(peer),
        )

    def link_up(self, peer: Peer, hello: Hello) -> None:
        """Note that ``peer`` answered on a new connection."""
        self._book.note(peer.key, peer.address)

    def replied(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take a reply."""
        self.sync.heard(peer.key, VersionId(reply.version, reply.digest), reply.service_age)
        if reply.sequence:
            self._confirm(peer, reply)
        if self._role is not None:
            self._role.replied(peer, reply, asked_at)

    def link_lost(self, peer: Peer, reason: str) -> None:
        """Note that a new connection to ``peer`` failed as well."""
        logger.bind(peer=peer.key, reason=reason).debug("peer lost")
        self.sync.forget(peer.key)
        if self._role is not None:
            self._role.lost(peer)

    async def confirmed(self, timeout: float) -> bool:
        """Return whether nothing that a pause put in doubt is unchecked.

        A process that was stopped goes on with what it knew before: it would dispatch to endpoints
        that have left and under limits and keys that were changed. Waiting for one exchange with a
        peer that began after the pause shows whether anything newer exists.

        Args:
            timeout: Seconds to wait for the check.
        """
        with anyio.move_on_after(timeout):
            while self.pauses.check():
                await self._confirmed.wait()
        return not self.pauses.check()

    def _confirm(self, peer: Peer, reply: HeartbeatReply) -> None:
        """Take an exchange that began after the last pause as a check of what was believed."""
        count = self._pauses_at_send.get(peer.key, -1)
        self.pauses.confirm(Belief.MEMBERSHIP, count)
        if reply.version <= self.sync.in_force.version:
            self.pauses.confirm(Belief.CONFIGURATION, count)
        self._confirmed.notify()

    # The accepting end of links.

    def reply(self, peer: Hello, heartbeat: Heartbeat | None) -> HeartbeatReply:
        """Answer a heartbeat, or with None tell of a changed state."""
        if heartbeat is not None:
            self._heard(peer, heartbeat)
        held = self.sync.in_force
        return HeartbeatReply(
            sequence=0 if heartbeat is None else heartbeat.sequence,
            version=held.version,
            digest=held.digest,
            leaving=self.leaving,
            service_age=self.sync.service_age(),
            report=None if self._role is None else self._role.report(peer),
        )

    def _heard(self, peer: Hello, heartbeat: Heartbeat) -> None:
        key = peer_key(peer.role, peer.name)
        self._book.note(key, Address.parse(peer.address))
        self._inbound[key] = _Inbound(peer, self._clock.monotonic())
        self._drop_silent()
        self.sync.heard(key, VersionId(heartbeat.version, heartbeat.digest), heartbeat.service_age)
        if heartbeat.version <= self.sync.in_force.version:
            self.pauses.confirm(Belief.CONFIGURATION, self.pauses.count)
            self._confirmed.notify()
        if self._role is not None:
            self._role.heard(peer, heartbeat)

    def _drop_silent(self) -> None:
        oldest = self._clock.monotonic() - 2 * self.intervals().timeout
        for key in [key for key, each in self._inbound.items() if each.heard_at < oldest]:
            del self._inbound[key]
            if key not in self._wanted:
                self.sync.forget(key)

    def linked_entries(self) -> list[Hello]:
        """Return the entries whose heartbeats come in."""
        self._drop_silent()
        return [
            each.hello for each in self._inbound.values() if each.hello.role is ProcessRole.ENTRY
        ]


def _beliefs(role: ProcessRole) -> frozenset[Belief]:
    """Return what a pause puts in doubt; an agent knows of no other members."""
    if role is ProcessRole.AGENT:
        return frozenset({Belief.CONFIGURATION})
    return frozenset({Belief.CONFIGURATION, Belief.MEMBERSHIP})
