"""What both ends of a measured link are made of: the product's exchange with a role of its own.

Paces are set by the measurement; a real process takes them from the configuration and from
``carawayhub.fleet.pace``. All links of one measurement lead to one peer, so what a process keeps
for each peer besides the connection is not in these figures.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from benchmarks.fakes import DOMAINS, REGION, fake_configuration
from benchmarks.fleet_fakes import PlainAcceptor, digest_of
from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.config.model import Configuration, Limits
from carawayhub.fleet.manifest import Manifest
from carawayhub.fleet.membership import Member
from carawayhub.fleet.sync import ConfigSync
from carawayhub.limits.admission import Admission
from carawayhub.limits.evidence import EndsRow
from carawayhub.output.audit import AuditTrail
from carawayhub.peers.calls import CallClient
from carawayhub.peers.links import Intervals, Peer
from carawayhub.peers.messages import (
    CacheEvents,
    EndpointReport,
    Heartbeat,
    HeartbeatReply,
    Hello,
    OrganisationDemand,
    ProcessRole,
    ServingState,
)
from carawayhub.peers.proofs import Prover
from carawayhub.platform.client import PlatformClient
from carawayhub.platform.ports import PublishedManifest, VmList
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.exchange import Exchange
from carawayhub.process.identity import Identity
from carawayhub.process.knowledge import Knowledge
from carawayhub.process.role import WantedPeer
from carawayhub.routing.router import Router

SYSTEM_KEY = "the key of a measurement"
SEED = 7
ENTRIES, ORGANISATIONS = 780, 380
LIMITS = Limits(rate=200.0, burst=200.0, concurrency=200)
HASH_BITS = 63
LONG = 600.0
VERSION = 9_855_000
FILE, CONTENT = "00.json", b"{}"


@dataclass(slots=True)
class Pace:
    """Seconds between two heartbeats of a link, set before links are opened."""

    heartbeat: float = LONG


class PacedExchange(Exchange):
    """The product's exchange at a pace that the measurement sets."""

    def __init__(
        self, identity: Identity, knowledge: Knowledge, role: "BenchRole", book: AddressBook
    ) -> None:
        super().__init__(identity, knowledge, role, book, SystemClock())
        self.pace = Pace()

    def intervals(self) -> Intervals:
        """Return the measurement's pace, and a timeout that is never reached."""
        return Intervals(self.pace.heartbeat, 2 * LONG)


class BenchRole:
    """A role that does what an entry or an agent does with what links bring; see ``MemberRole``.

    Attributes:
        replies: Replies taken so far.
        events: Prefix-cache events in each report.
        announces: Whether heartbeats between entries carry demand.
    """

    def __init__(self, role: ProcessRole) -> None:
        clock, rng = SystemClock(), random.Random(SEED)
        organisations = {f"org-{number:03d}": LIMITS for number in range(ORGANISATIONS)}
        cfg = fake_configuration(100, ENTRIES, organisations)
        self.replies = 0
        self.events = 0
        self.announces = False
        self._role = role
        self._rng = rng
        self._first = 1
        self._router = Router(clock, rng, DOMAINS[0], REGION)
        self._router.configure(cfg)
        self._admission = Admission(clock, rng, min(cfg.entries))
        self._admission.configure(cfg)
        self._neighbour = min(self._admission.shares.neighbours())
        self._rows = self._admission.tick()

    def configured(self, cfg: Configuration) -> None:
        """Take nothing."""

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return nothing."""
        return ()

    def vm_list_received(self, vms: VmList) -> None:
        """Take nothing."""

    def peer_lost(self, peer: Peer) -> None:
        """Take nothing."""

    def members_changed(self) -> None:
        """Take nothing."""

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take a report as an entry does."""
        self.replies += 1
        if reply.report is not None:
            self._router.observe(reply.report, asked_at)

    def heartbeat_received(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Take demand as an entry does."""
        if self._role is ProcessRole.ENTRY:
            self._admission.update_demand(self._neighbour, 1, heartbeat.demand)

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return a report as an agent's, with the events that are set."""
        if self._role is ProcessRole.ENTRY:
            return None
        return EndpointReport(
            endpoint="endpoint-000",
            incarnation=1 << 52,
            state=ServingState.SERVING,
            permit=2.0,
            running=30,
            queued=3,
            capacity=64,
            load_age=0.1234567,
            step_seconds=0.0062345,
            tokens_rate=4074.25,
            ticket_epoch=12,
            map_number=7,
            skew=1.0723,
            cache=self._cache(),
        )

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return the rows of an entry at full size, where they are switched on."""
        return self._rows if self.announces else ()

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return nothing."""
        return ()

    @property
    def rows(self) -> int:
        """Rows that a heartbeat carries where they are switched on."""
        return len(self._rows)

    def _cache(self) -> CacheEvents:
        first, self._first = self._first, self._first + self.events
        hashes = tuple(self._rng.getrandbits(HASH_BITS) for _ in range(self.events))
        half = self.events // 2
        return CacheEvents(first=first, added=hashes[:half], removed=hashes[half:])


@dataclass(slots=True)
class Side:
    """One process of a measured link."""

    identity: Identity
    role: BenchRole
    knowledge: Knowledge
    exchange: PacedExchange
    prover: Prover
    calls: CallClient


class _Content:
    """A service that has one file."""

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """Return what is published."""
        return PublishedManifest(version=VERSION, files={FILE: digest_of(CONTENT)})

    async def file(self, digest: str) -> bytes:
        """Return the one content."""
        return CONTENT


async def make_side(name: str, role: ProcessRole, address: Address) -> Side:
    """Return one process with nothing around it but what its links need."""
    identity = Identity(
        name=name,
        role=role,
        incarnation=1 << 51,
        vm=f"vm-{name}",
        failure_domain=DOMAINS[0],
        region=REGION,
        address=str(address),
    )
    clock, rng = SystemClock(), random.Random(SEED)
    prover = Prover(SYSTEM_KEY, identity.key)
    calls = CallClient(prover)
    book = AddressBook(calls)
    knowledge = Knowledge.empty(
        identity,
        book,
        PlatformClient("http://127.0.0.1:9"),
        clock,
        rng,
        AuditTrail(identity.key, clock),
    )
    # A digest of full length in every message, without a configuration to check.
    knowledge.sync = ConfigSync(book, PlainAcceptor(), clock, rng)
    manifest = Manifest.of(VERSION, {FILE: digest_of(CONTENT)})
    await knowledge.sync.apply_published(manifest, _Content())
    assert knowledge.sync.in_force.version == VERSION
    bench = BenchRole(role)
    exchange = PacedExchange(identity, knowledge, bench, book)
    return Side(identity, bench, knowledge, exchange, prover, calls)


def expect(side: Side, peer: Peer) -> None:
    """Let a process know of a peer as its membership would."""
    member = Member(peer.key, f"vm-{peer.name}", DOMAINS[0], False)
    side.knowledge.membership.set_peers((member,))
