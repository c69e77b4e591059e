"""What entries tell each other: that they live, whether they take callers, what work they have.

One small datagram to each peer several times a second, about 0.03 ms of processor time for each
side. A unary call of ``grpclib`` costs 0.5 ms, and nothing here needs an answer: the next datagram
replaces a lost one.
"""

import random
import secrets
import socket
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.hello import Datagram, Heard, Hello, News, PeerEntry, Phase, WorkRow
from carawayhub.gateway.loads import Loads, Work

INTERVAL = 0.1
"""Seconds between two datagrams to a peer in a small fleet: a place that a peer frees is known
within a tenth of the second or so that a request takes."""

DATAGRAMS_A_SECOND = 150.0
"""Most datagrams that one entry sends a second; in larger fleets each peer hears less often."""

FAMILY_EVERY = 8
"""Datagrams of which one names the peers, which change seldom."""

ROUNDS_KEPT = 256
"""Rounds of datagrams whose time is remembered, for peers to answer to: several seconds."""

INTERVALS_OF_SILENCE = 6
"""Datagrams in a row that must be missing before a peer counts as gone; single ones get lost."""

SEED_INTERVAL = 0.5
"""Seconds between two datagrams to seeds that are not known to live."""

SETTLED_SECONDS = 1.0
"""Seconds without a further entry after which all are held to be known: a few rounds of datagrams,
each of which may name more."""

READERS = 2
"""Entries that read the published state for all, in different failure domains. With one, its loss
would leave all without proofs until another takes over; a third added calls alone."""

MEETING_INTERVAL = 0.15
"""The same while no peer is known: an entry that starts waits for what its peers know."""

LEAST_INTERVAL = 0.1
"""Seconds between two rounds of datagrams at the least, whatever there is to tell."""

MOST_REFUSING = 64
"""Refusing endpoints that one datagram names: a kilobyte."""

MAX_DATAGRAM = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnPlace:
    """Where this entry is found.

    Attributes:
        ip: IP number that peers send to.
        port: Port of all entries for this exchange.
        callers: ``ip:port`` at which it takes callers.
        failure_domain: Where it stands.
    """

    ip: str
    port: int
    callers: str
    failure_domain: str


class Gossip:
    """Exchanges news with the other entries.

    Args:
        own: Where this entry is found.
        seeds: IP numbers of entries that may live.
        loads: Own work to tell, and where that of peers goes.
        clock: Source of time.
        rng: Source of jitter.

    Attributes:
        phase: What this entry says of itself.
        most_entries: Most entries known at one time, this one among them; 0 while none was heard.
        on_loads: Called after each datagram that was taken in.
        own_news: Gives what this entry knows of the published state.
        on_news: Called with what a peer knows, and with the time of its proof by this clock.
        own_refusing: Gives the endpoints that have just refused requests of this entry.
        on_refusing: Called with those that refuse requests of a peer.
    """

    __slots__ = (
        "_clock",
        "_greet",
        "_grown_at",
        "_incarnation",
        "_loads",
        "_number",
        "_own",
        "_peers",
        "_rng",
        "_seeds",
        "_urgent",
        "_wake",
        "most_entries",
        "_sent",
        "on_loads",
        "on_news",
        "on_refusing",
        "own_news",
        "own_refusing",
        "phase",
    )

    def __init__(
        self,
        own: OwnPlace,
        seeds: frozenset[str],
        loads: Loads,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._own = own
        self._seeds = seeds - {own.ip}
        self._loads = loads
        self._clock = clock
        self._rng = rng
        self._incarnation = secrets.token_hex(4)
        self._number = 0
        self._peers: dict[str, PeerEntry] = {}
        self._urgent = False
        self._wake = anyio.Event()
        self._greet: set[str] = set()
        self.phase = Phase.STARTING
        self.most_entries = 0
        self._grown_at = float("-inf")
        self._sent: dict[int, float] = {}
        self.on_loads = _nothing
        self.own_news = _no_news
        self.on_news = _ignore
        self.own_refusing: Callable[[], list[str]] = list
        self.on_refusing: Callable[[list[str]], None] = _ignore_refusing

    @property
    def interval(self) -> float:
        """Seconds between two datagrams to each peer."""
        return max(INTERVAL, len(self._peers) / DATAGRAMS_A_SECOND)

    def settled_entries(self) -> int:
        """Return the most entries known at one time, 0 while it may still be growing.

        Guards against an entry that has just started and met five of forty: it would take a fifth
        of what all may spend together, and so would each of the others after a loss of power.
        """
        settled = self._clock.monotonic() - self._grown_at >= SETTLED_SECONDS
        return self.most_entries if settled else 0

    def add_seeds(self, seeds: frozenset[str]) -> None:
        """Say hello to further entries that may live."""
        self._seeds |= seeds - {self._own.ip}

    def spread(self) -> float:
        """Return the seconds for which all entries choose by the same news, times the entries."""
        return self.interval * (len(self._peers) + 1)

    def set_phase(self, phase: Phase) -> None:
        """Change what this entry says of itself, and tell it at once."""
        self.phase = phase
        self.tell_soon()

    def is_reader(self) -> bool:
        """Return whether this entry reads the published state for the others.

        Entries that know the same choose the same ones, in as many failure domains as there are;
        who knows less may read as well, which costs some calls and no more.
        """
        fit = (Phase.STARTING, Phase.READY)
        if self.phase not in fit or not self.own_news().reads:
            return False
        candidates = [(self._own.failure_domain, self._own.ip)] + [
            (each.failure_domain, each.ip)
            for each in self._peers.values()
            if each.phase in fit and each.reads
        ]
        return self._own.ip in first_of_domains(candidates, READERS)

    def peers_beyond(self, revision: int) -> list[str]:
        """Return the peers that know more than ``revision``, those of the own domain first."""
        found = [each for each in self._peers.values() if each.revision > revision]
        self._rng.shuffle(found)
        found.sort(key=lambda each: each.failure_domain != self._own.failure_domain)
        return [each.ip for each in found]

    def tell_soon(self) -> None:
        """Tell all peers at once, as what this entry knows has changed."""
        self._urgent = True
        self._wake.set()

    def entries(self, phase: Phase) -> list[PeerEntry]:
        """Return the peers that live and say this of themselves."""
        now = self._clock.monotonic()
        return [
            each for each in self._peers.values() if each.phase is phase and each.silent_at > now
        ]

    async def run(self) -> None:
        """Exchange news until cancelled."""
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=self._own.ip, local_port=self._own.port
            ) as sock,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._receive, sock)
            tasks.start_soon(self._tell_peers, sock)

    async def _receive(self, sock: anyio.abc.UDPSocket) -> None:
        async for data, _ in sock:
            heard = self.read(data)
            if heard is not None:
                self.take(heard)

    def read(self, data: bytes) -> Heard | None:
        """Return what a datagram says, None where it cannot be read."""
        try:
            datagram = msgspec.msgpack.decode(data, type=Datagram)
            hello = msgspec.msgpack.decode(datagram.hello, type=Hello)
            return Heard(datagram.answers_run, datagram.answers, hello, Phase(hello.phase))
        except (msgspec.DecodeError, ValueError) as exc:
            logger.bind(error=str(exc)).warning("datagram of a peer cannot be read")
            return None

    def take(self, heard: Heard) -> None:
        """Take in what a peer said; datagrams may overtake each other and come twice."""
        if heard.hello.ip == self._own.ip:
            return
        self._take_entry(heard.hello, heard.phase)
        self._take_news(heard)

    def _take_entry(self, hello: Hello, phase: Phase) -> None:
        known = self._peers.get(hello.ip)
        if not _is_newer(hello, known):
            return
        now = self._clock.monotonic()
        silence = INTERVALS_OF_SILENCE * max(INTERVAL, hello.interval)
        self._peers[hello.ip] = PeerEntry(
            hello.ip,
            hello.incarnation,
            hello.number,
            phase,
            hello.callers,
            hello.failure_domain,
            now + silence,
            hello.news.revision,
            hello.news.reads,
        )
        if known is None or known.phase is not phase or known.incarnation != hello.incarnation:
            logger.bind(peer=hello.ip, phase=phase.name).info("peer heard")
        if known is None or known.incarnation != hello.incarnation:
            self._greet.add(hello.ip)
            self._wake.set()
        self._loads.heard(
            hello.ip,
            {row.endpoint_id: Work(row.requests, row.reading, row.tokens) for row in hello.works},
        )
        if hello.refusing:
            self.on_refusing(hello.refusing)
        self._meet(hello.peers)
        if len(self._peers) + 1 > self.most_entries:
            self.most_entries = len(self._peers) + 1
            self._grown_at = now
        self.on_loads()

    def _take_news(self, heard: Heard) -> None:
        """Take in what a peer knows of the published state.

        How long a datagram was on its way cannot be seen: it may have waited here while this VM
        was suspended. So its age is counted from when this entry sent the datagram that the peer
        answers to, which was before the peer wrote its answer.
        """
        if heard.answers_run != self._incarnation:
            return
        sent_at = self._sent.get(heard.answers)
        if sent_at is not None:
            self.on_news(heard.hello.news, sent_at - heard.hello.news.age)

    def _meet(self, ips: list[str]) -> None:
        """Say hello to entries that a peer hears and this one does not."""
        unknown = frozenset(ips) - self._peers.keys() - {self._own.ip}
        self._seeds |= unknown

    async def _tell_peers(self, sock: anyio.abc.UDPSocket) -> None:
        """Tell peers and seeds in turn; a datagram socket takes one sender at a time."""
        seeds_due = float("-inf")
        while True:
            self._urgent = False
            self._drop_silent()
            hello = self._hello()
            told = set(self._peers)
            if self._clock.monotonic() >= seeds_due:
                told |= self._seeds
                pause = SEED_INTERVAL if self._peers else MEETING_INTERVAL
                seeds_due = self._clock.monotonic() + pause * self._rng.uniform(0.5, 1.0)
            for ip in told:
                await self._send(sock, ip, self._datagram(ip, hello))
            await self._wait_for_round(sock)

    async def _wait_for_round(self, sock: anyio.abc.UDPSocket) -> None:
        """Wait until peers are to be told again; greet those that are met meanwhile at once.

        An entry that starts learns so in a few milliseconds what its peers know, and need not read
        it from the store.
        """
        began_at = self._clock.monotonic()
        due_at = began_at + self.interval * self._rng.uniform(0.9, 1.1)
        while (now := self._clock.monotonic()) < due_at:
            until = began_at + LEAST_INTERVAL if self._urgent else due_at
            if now >= until:
                return
            await self._greet_met(sock)
            with anyio.move_on_after(until - now):
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _greet_met(self, sock: anyio.abc.UDPSocket) -> None:
        met, self._greet = self._greet, set()
        if not met:
            return
        hello = self._hello(names_peers=True)
        for ip in met:
            await self._send(sock, ip, self._datagram(ip, hello))

    def hello(self, ip: str = "") -> bytes:
        """Return the next datagram for a peer."""
        return self._datagram(ip, self._hello())

    def _datagram(self, ip: str, hello: msgspec.Raw) -> bytes:
        peer = self._peers.get(ip)
        run, number = (peer.incarnation, peer.number) if peer is not None else ("", 0)
        return msgspec.msgpack.encode(Datagram(run, number, hello))

    async def _send(self, sock: anyio.abc.UDPSocket, ip: str, data: bytes) -> None:
        try:
            await sock.sendto(data, ip, self._own.port)
        except OSError as exc:
            logger.bind(peer=ip, error=str(exc)).warning("datagram could not be sent")

    def _drop_silent(self) -> None:
        now = self._clock.monotonic()
        for peer in [each for each in self._peers.values() if each.silent_at <= now]:
            del self._peers[peer.ip]
            self._seeds |= {peer.ip}
            self._loads.forget(peer.ip)
            logger.bind(peer=peer.ip, phase=peer.phase.name).warning("peer went silent")

    def _hello(self, *, names_peers: bool = False) -> msgspec.Raw:
        self._number += 1
        self._sent[self._number] = self._clock.monotonic()
        self._sent.pop(self._number - ROUNDS_KEPT, None)
        hello = Hello(
            ip=self._own.ip,
            incarnation=self._incarnation,
            number=self._number,
            phase=self.phase,
            callers=self._own.callers,
            failure_domain=self._own.failure_domain,
            interval=self.interval,
            peers=list(self._peers) if names_peers or self._number % FAMILY_EVERY == 1 else [],
            news=self.own_news(),
            refusing=self.own_refusing()[:MOST_REFUSING],
            works=[
                WorkRow(name, work.requests, work.reading, work.tokens)
                for name, work in self._loads.own().items()
            ],
        )
        return msgspec.Raw(msgspec.msgpack.encode(hello))


def first_of_domains(entries: Sequence[tuple[str, str]], count: int) -> frozenset[str]:
    """Return the entries that act for all: the first of each failure domain, then the second ones.

    Args:
        entries: Failure domain and IP number of each that may.
        count: How many are wanted.
    """
    seen: Counter[str] = Counter()
    order = []
    for domain, ip in sorted(entries, key=lambda each: each[1]):
        order.append((seen[domain], ip))
        seen[domain] += 1
    return frozenset(ip for _, ip in sorted(order)[:count])


def _is_newer(hello: Hello, known: PeerEntry | None) -> bool:
    """Return whether a datagram says something new; datagrams may overtake each other."""
    if known is None or known.incarnation != hello.incarnation:
        return True
    return hello.number > known.number


def _nothing() -> None:
    return


def _no_news() -> News:
    return News(0, float("inf"), 0.0)


def _ignore(news: News, proved_at: float) -> None:
    return


def _ignore_refusing(endpoint_ids: list[str]) -> None:
    return
