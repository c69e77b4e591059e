"""Gossip between entries: liveness, whether they accept callers, and their work in flight.

Each entry sends a small UDP datagram to each receiver several times a second, at about 0.03 ms of
CPU time per side. A unary ``grpclib`` call costs 0.5 ms, and no reply is needed because the next
datagram replaces a lost one. ``telling.py`` decides who sends to whom. An entry that no other entry
reports any more becomes a seed and is contacted directly again.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Sequence

import anyio
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.hello import (
    Datagram,
    Digest,
    Hello,
    News,
    PeerEntry,
    Phase,
    ReceivedDatagram,
)
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.peers import Peers
from carawayhub.gateway.retryshare import DEFAULT_SHARE
from carawayhub.gateway.revision import KnownContent
from carawayhub.gateway.telling import (
    GOSSIP_INTERVAL_SECONDS,
    VIA_DELEGATE,
    DatagramBuilder,
    OwnAddress,
    OwnState,
    Part,
)
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.poisonnews import PoisonUpdates
from carawayhub.limits.replicarate import RateRow, ReplicaRates
from carawayhub.limits.slotrows import SlotCounts
from carawayhub.tasks import KeptTasks

FULL_MESH_MAX_ENTRIES = 12
"""Largest fleet in which each entry sends to all others. A full mesh of 15 entries in five failure
domains sent 16 MB across them in 50 s, most of it gossip."""

PEER_TIMEOUT_INTERVALS = 6
"""Consecutive datagrams that must be missing before a peer is removed, as single ones get lost."""

DIGEST_TTL_SECONDS = 1.0
"""Time for which work reported by a delegate stays valid without another report, until the next
delegate has taken over."""

SEED_INTERVAL_SECONDS = 0.5
"""Interval between two datagrams to a seed that is not a known peer."""

DISCOVERY_INTERVAL_SECONDS = 0.15
"""Interval to seeds while no peer is known. It is short because a starting entry waits for the
state that its peers have."""

MIN_ROUND_INTERVAL_SECONDS = 0.1
"""Shortest time between two rounds, also for urgent updates."""

INCARNATION_BITS = 32

SETTLED_SECONDS = 1.0
"""Time without a newly discovered entry after which the membership is considered complete. It
covers a few rounds, each of which may list more entries."""

Send = Callable[[str, bytes], Awaitable[None]]


class Gossip:
    """Exchanges state with the other entries.

    Args:
        address: Addresses of this entry.
        seeds: IP addresses of entries that may be running.
        loads: Work in flight; provides this entry's own and stores that of peers.
        records: Requests during which endpoints crashed, here and at peers.
        rates: Rate limits reported by replicas and requests sent to them, here and at peers.
        clock: Source of time.
        rng: Source of jitter.
        slot_counts: Requests by priority and organisation, here and at peers; None for a separate
            set.
        tasks: Counts and logs unexpected errors; None for a separate count.

    Attributes:
        own: State that this entry announces.
        on_loads: Called after each applied datagram with a new hello.
        on_news: Called with what a peer knows of the published state, with the time, by this
            entry's clock, at which that was last proved to be current, and with the peer's IP
            address.
        on_refusing: Called with the endpoints that refuse requests of a peer.
        on_slow: Called with the endpoints that agents reported to a peer as slow ranks.
        on_backing_off: Called with the endpoints that requested a backoff of a peer.
    """

    __slots__ = (
        "_clock",
        "_new_peers",
        "_loads",
        "_peers",
        "_poison_updates",
        "_rates",
        "_rng",
        "_seeds",
        "_builder",
        "_reported_at",
        "_slot_counts",
        "_tasks",
        "_urgent",
        "_wake",
        "on_backing_off",
        "on_loads",
        "on_news",
        "on_refusing",
        "on_slow",
        "own",
    )

    def __init__(
        self,
        address: OwnAddress,
        seeds: frozenset[str],
        loads: Loads,
        records: PoisonRecords,
        rates: ReplicaRates,
        clock: Clock,
        rng: random.Random,
        slot_counts: SlotCounts | None = None,
        tasks: KeptTasks | None = None,
    ) -> None:
        self._slot_counts = slot_counts or SlotCounts(clock)
        self._tasks = tasks or KeptTasks()
        self.own = OwnState(address, f"{rng.getrandbits(INCARNATION_BITS):08x}")
        self._seeds = seeds - {address.ip}
        self._loads = loads
        self._clock = clock
        self._rng = rng
        self._peers = Peers(address.ip, address.failure_domain)
        self._poison_updates = PoisonUpdates(records)
        self._rates = rates
        self._builder = DatagramBuilder(
            self.own, self._peers, loads, self._poison_updates, rates, clock, self._slot_counts
        )
        self._reported_at: dict[str, float] = {}
        self._urgent = False
        self._wake = anyio.Event()
        self._new_peers: set[str] = set()
        self.on_loads = _ignore_loads
        self.on_news = _ignore_news
        self.on_refusing: Callable[[list[str]], None] = _ignore_endpoints
        self.on_slow: Callable[[list[str]], None] = _ignore_endpoints
        self.on_backing_off: Callable[[list[str]], None] = _ignore_endpoints

    @property
    def phase(self) -> Phase:
        """Announced phase of this entry."""
        return self.own.phase

    @property
    def peak_entries(self) -> int:
        """Largest number of entries known at once, including this one; 0 before the first peer."""
        return self._peers.peak

    @property
    def propagation_seconds(self) -> float:
        """Seconds until a routing decision of this entry is known to all entries."""
        return self._builder.propagation_seconds

    def settled_entries(self) -> int:
        """Return the largest number of entries known at once, or 0 while it may still grow.

        A starting entry that has discovered five of forty entries would otherwise claim a fifth of
        the shared retry budget, and so would all others after a power failure.
        """
        settled = self._clock.monotonic() - self._peers.grown_at >= SETTLED_SECONDS
        return self.peak_entries if settled else 0

    def reachable_fraction(self) -> float:
        """Return the fraction of all entries that are reachable, including this one."""
        if not self._peers and not self._seeds:
            return 1.0
        if not self.settled_entries():
            return DEFAULT_SHARE
        return self._peers.reachable_fraction(self._clock.monotonic())

    def add_seeds(self, seeds: frozenset[str]) -> None:
        """Add entries to contact directly until they are known as peers."""
        self._seeds |= seeds - {self.own.address.ip}

    def stale_entry_seconds(self) -> float:
        """Return the propagation delay multiplied by the number of entries.

        During the delay, all entries make their decisions from the same outdated information.
        """
        return self.propagation_seconds * (len(self._peers) + 1)

    def set_phase(self, phase: Phase) -> None:
        """Change the announced phase and send it immediately."""
        self.own.phase = phase
        self._update_part()
        self.send_soon()

    def send_soon(self) -> None:
        """Start the next round early because the state of this entry has changed."""
        self._urgent = True
        self._wake.set()

    def is_reader(self) -> bool:
        """Return whether this entry reads the published state from the store for all entries."""
        fits = self.phase in (Phase.STARTING, Phase.READY) and self.own.news().reads
        return fits and self.own.address.ip in self._peers.readers(own_fits=True)

    def is_domain_delegate(self) -> bool:
        """Return whether this entry is the first one of its failure domain."""
        return self._builder.delegate() == self.own.address.ip

    def peers_ahead_of(self, known: KnownContent, era: int) -> list[str]:
        """Return the peers that know more of an era, those in this failure domain first."""
        found = self._peers.ahead_of(known, era)
        self._rng.shuffle(found)
        found.sort(key=lambda each: each.failure_domain != self.own.address.failure_domain)
        return [each.ip for each in found]

    def entries(self, phase: Phase) -> list[PeerEntry]:
        """Return the live peers in a phase."""
        return self._peers.in_phase(phase, self._clock.monotonic())

    async def run(self) -> None:
        """Send and receive datagrams until cancelled."""
        address = self.own.address
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=address.ip, local_port=address.port
            ) as sock,
            anyio.create_task_group() as tasks,
        ):

            async def send(ip: str, data: bytes) -> None:
                try:
                    await sock.sendto(data, ip, address.port)
                except OSError as exc:
                    logger.bind(peer=ip, error=str(exc)).warning("failed to send a datagram")

            tasks.start_soon(self._receive, sock)
            tasks.start_soon(self.send_rounds, send)

    async def _receive(self, sock: anyio.abc.UDPSocket) -> None:
        async for data, _ in sock:
            try:
                received = self.read(data)
                if received is not None:
                    self.take(received)
            except Exception as exc:
                self._tasks.record("gossip datagram", exc)

    def read(self, data: bytes) -> ReceivedDatagram | None:
        """Decode a datagram; return None if it is malformed."""
        try:
            datagram = msgspec.msgpack.decode(data, type=Datagram)
            hello = msgspec.msgpack.decode(datagram.hello, type=Hello)
            digest = _digest(datagram)
            phase = Phase(hello.phase)
        except (msgspec.DecodeError, ValueError) as exc:
            logger.bind(error=str(exc)).warning("discarded a malformed datagram from a peer")
            return None
        return ReceivedDatagram(
            datagram.answers_run, datagram.answers, hello, phase, digest, datagram.ends
        )

    def take(self, received: ReceivedDatagram) -> None:
        """Apply a received datagram; datagrams may arrive out of order or twice."""
        if received.hello.ip == self.own.address.ip:
            return
        if self._peers.is_newer(received.hello):
            self._apply_hello(received.hello, received.phase)
            self._apply_works(received)
            self.on_loads()
        self._apply_news(received)
        self._poison_updates.records.merge(received.ends)

    def _apply_hello(self, hello: Hello, phase: Phase) -> None:
        timeout = PEER_TIMEOUT_INTERVALS * max(GOSSIP_INTERVAL_SECONDS, hello.interval)
        if self._peers.record_hello(hello, phase, self._clock.monotonic(), timeout):
            self._new_peers.add(hello.ip)
            self._wake.set()
        self._add_unknown_seeds(hello.peers)
        self._update_part()

    def _apply_works(self, received: ReceivedDatagram) -> None:
        """Apply the work of a peer or the digest of a delegate.

        In each role of this entry, exactly one reporter accounts for each request.
        """
        hello, digest = received.hello, received.digest
        same_domain = hello.failure_domain == self.own.address.failure_domain
        match self._builder.part:
            case Part.EQUAL:
                self._apply_reported(hello.ip, hello)
                self._apply_rates(hello.ip, hello.rates, received)
            case Part.DELEGATE if same_domain:
                self._apply_reported(hello.ip, hello)
                self._apply_rates(hello.ip, hello.rates, received)
            case Part.DELEGATE if digest is not None:
                self._apply_digest(hello.failure_domain, digest)
                self._apply_rates(hello.failure_domain, digest.rates, received)
            case Part.MEMBER if digest is not None and hello.ip == self._builder.delegate():
                self._apply_digest(VIA_DELEGATE, digest)
                self._apply_rates(VIA_DELEGATE, digest.rates, received)

    def _apply_digest(self, reporter: str, digest: Digest) -> None:
        self._apply_reported(reporter, digest)
        if digest.members is None:
            return
        domain = None if reporter == VIA_DELEGATE else reporter
        self._peers.record_members(digest.members, domain, self._clock.monotonic())
        self._update_part()

    def _apply_reported(self, reporter: str, report: Hello | Digest) -> None:
        works = {row.key: Work(row.requests, row.reading, row.tokens) for row in report.works}
        self._loads.update_peer(reporter, works)
        self._slot_counts.receive_rows(reporter, report.slots)
        self._reported_at[reporter] = self._clock.monotonic()
        self.own.told_refusing[reporter] = report.refusing
        self.own.told_slow[reporter] = report.slow
        self.own.told_backing_off[reporter] = report.backing_off
        if report.refusing:
            self.on_refusing(report.refusing)
        if report.slow:
            self.on_slow(report.slow)
        if report.backing_off:
            self.on_backing_off(report.backing_off)

    def _apply_rates(
        self, reporter: str, rows: Sequence[RateRow], received: ReceivedDatagram
    ) -> None:
        """Apply rate limits of replicas; their age is computed as in ``_apply_news``."""
        written_at = self._answered_at(received)
        if written_at is not None and rows:
            self._rates.receive_rows(reporter, rows, written_at)

    def _answered_at(self, received: ReceivedDatagram) -> float | None:
        """Return a lower bound for the time at which a datagram was written, None if unknown."""
        if received.answers_run != self.own.incarnation:
            return None
        return self._builder.sent_at(received.answers)

    def _apply_news(self, received: ReceivedDatagram) -> None:
        """Apply what a peer knows of the published state.

        The transit time of a datagram is unknown: it may have waited in the receive buffer while
        this VM was suspended. Its age is therefore counted from the time at which this entry sent
        the datagram that the peer acknowledges, which is before the peer wrote its own.
        """
        if received.answers_run != self.own.incarnation:
            return
        self._poison_updates.acknowledge(
            received.hello.ip, received.hello.incarnation, received.answers
        )
        sent_at = self._answered_at(received)
        if sent_at is not None:
            hello = received.hello
            self.on_news(hello.news, sent_at - hello.news.age, hello.ip)

    def _add_unknown_seeds(self, ips: list[str]) -> None:
        """Add the entries that a peer knows and this one does not to the seeds."""
        unknown = frozenset(ips) - frozenset(self._peers.ips()) - {self.own.address.ip}
        self._seeds |= unknown

    def _update_part(self) -> None:
        """Update the role of this entry, and discard all received reports if it changes.

        Otherwise a request could count twice, once from its own entry and once from a delegate.
        """
        part = Part.EQUAL
        if self.peak_entries > FULL_MESH_MAX_ENTRIES:
            is_delegate = self._builder.delegate() == self.own.address.ip
            part = Part.DELEGATE if is_delegate else Part.MEMBER
        if part is self._builder.part:
            return
        logger.bind(part=part.value, entries=len(self._peers) + 1).info("gossip role changed")
        self._builder.part = part
        for reporter in self._loads.peers():
            self._forget_reporter(reporter)

    def _forget_reporter(self, reporter: str) -> None:
        self._loads.remove_peer(reporter)
        self._slot_counts.forget(reporter)
        self._reported_at.pop(reporter, None)
        self.own.told_refusing.pop(reporter, None)
        self.own.told_slow.pop(reporter, None)
        self.own.told_backing_off.pop(reporter, None)

    async def send_rounds(self, send: Send) -> None:
        """Send rounds of datagrams to receivers and seeds until cancelled.

        Args:
            send: Sends a datagram to an IP address.
        """
        seeds_due = float("-inf")
        while True:
            urgent, self._urgent = self._urgent, False
            self._drop_silent()
            datagrams = self._builder.round(urgent=urgent)
            now = self._clock.monotonic()
            if now >= seeds_due:
                unknown = self._seeds - frozenset(self._peers.ips())
                datagrams |= self._builder.introductions(unknown)
                pause = SEED_INTERVAL_SECONDS if self._peers else DISCOVERY_INTERVAL_SECONDS
                seeds_due = now + pause * self._rng.uniform(0.5, 1.0)
            for ip, data in datagrams.items():
                await send(ip, data)
            await self._wait_for_round(send)

    async def _wait_for_round(self, send: Send) -> None:
        """Wait for the next round, and introduce this entry to new peers immediately meanwhile.

        A starting entry thus receives the state of its peers within a few milliseconds and doesn't
        need to read it from the store.
        """
        began_at = self._clock.monotonic()
        due_at = began_at + self._builder.interval * self._rng.uniform(0.9, 1.1)
        while (now := self._clock.monotonic()) < due_at:
            until = began_at + MIN_ROUND_INTERVAL_SECONDS if self._urgent else due_at
            if now >= until:
                return
            met, self._new_peers = self._new_peers, set()
            for ip, data in self._builder.introductions(met).items():
                await send(ip, data)
            with anyio.move_on_after(until - now):
                await self._wake.wait()
            self._wake = anyio.Event()

    def _drop_silent(self) -> None:
        now = self._clock.monotonic()
        gone = self._peers.silent(now)
        for ip in gone:
            self._seeds |= {ip}
            self._forget_reporter(ip)
        self._peers.drop(gone, "silent", now)
        self._poison_updates.retain(frozenset(self._peers.ips()))
        if self._builder.part is not Part.EQUAL:
            late = [each for each, at in self._reported_at.items() if now - at > DIGEST_TTL_SECONDS]
            for reporter in late:
                self._forget_reporter(reporter)
        if gone:
            self._update_part()


def _digest(datagram: Datagram) -> Digest | None:
    """Decode the digest of a datagram.

    Raises:
        ValueError: A phase is unknown.
    """
    digest: Digest | None = msgspec.msgpack.decode(datagram.digest, type=Digest | None)
    for row in digest.members or () if digest is not None else ():
        Phase(row.phase)
    return digest


def _ignore_loads() -> None:
    return


def _ignore_news(news: News, proved_at: float, peer: str) -> None:
    return


def _ignore_endpoints(endpoint_ids: list[str]) -> None:
    return
