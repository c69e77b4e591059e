"""What entries tell each other: that they live, whether they take callers, what work they have.

One small datagram to each receiver several times a second, about 0.03 ms of processor time for each
side. A unary call of ``grpclib`` costs 0.5 ms, and nothing here needs an answer: the next datagram
replaces a lost one. Who tells whom is in ``telling.py``; an entry of which none tells any more is
greeted directly again.
"""

import random
import socket
from collections.abc import Awaitable, Callable, Sequence

import anyio
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.hello import Datagram, Digest, Heard, Hello, News, PeerEntry, Phase, WorkRow
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.peers import Peers
from carawayhub.gateway.retryshare import DEFAULT_SHARE
from carawayhub.gateway.telling import INTERVAL, OTHERS, OwnPlace, OwnState, Part, Teller
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.poisonnews import PoisonNews
from carawayhub.limits.replicarate import RateRow, ReplicaRates

ENTRIES_ALL_TELL_ALL = 12
"""Entries up to which each tells all others. With 15 in five failure domains, 16 MB in 50 s went
across these, most of it gossip."""

INTERVALS_OF_SILENCE = 6
"""Datagrams in a row that must be missing before a peer counts as gone; single ones get lost."""

DIGEST_SECONDS = 1.0
"""Seconds for which work holds that a delegate told of and was not told again: until the next
delegate tells."""

SEED_INTERVAL = 0.5
"""Seconds between two datagrams to seeds that are not known to live."""

MEETING_INTERVAL = 0.15
"""The same while no peer is known: an entry that starts waits for what its peers know."""

LEAST_INTERVAL = 0.1
"""Seconds between two rounds of datagrams at the least, whatever there is to tell."""

INCARNATION_BITS = 32

SETTLED_SECONDS = 1.0
"""Seconds without a further entry after which all are held to be known: a few rounds of datagrams,
each of which may name more."""

Send = Callable[[str, bytes], Awaitable[None]]


class Gossip:
    """Exchanges news with the other entries.

    Args:
        place: Where this entry is found.
        seeds: IP numbers of entries that may live.
        loads: Own work to tell, and where that of peers goes.
        records: Under which requests endpoints ended, here and at peers.
        rates: Limits that replicas name, and requests sent to them, here and at peers.
        clock: Source of time.
        rng: Source of jitter.

    Attributes:
        own: What this entry tells of itself.
        on_loads: Called after each datagram that was taken in.
        on_news: Called with what a peer knows, and with the time of its proof by this clock.
        on_refusing: Called with those that refuse requests of a peer.
    """

    __slots__ = (
        "_clock",
        "_greet",
        "_loads",
        "_peers",
        "_poison_news",
        "_rates",
        "_rng",
        "_seeds",
        "_teller",
        "_told_at",
        "_urgent",
        "_wake",
        "on_loads",
        "on_news",
        "on_refusing",
        "own",
    )

    def __init__(
        self,
        place: OwnPlace,
        seeds: frozenset[str],
        loads: Loads,
        records: PoisonRecords,
        rates: ReplicaRates,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.own = OwnState(place, f"{rng.getrandbits(INCARNATION_BITS):08x}")
        self._seeds = seeds - {place.ip}
        self._loads = loads
        self._clock = clock
        self._rng = rng
        self._peers = Peers(place.ip, place.failure_domain)
        self._poison_news = PoisonNews(records)
        self._rates = rates
        self._teller = Teller(self.own, self._peers, loads, self._poison_news, rates, clock)
        self._told_at: dict[str, float] = {}
        self._urgent = False
        self._wake = anyio.Event()
        self._greet: set[str] = set()
        self.on_loads = _nothing
        self.on_news = _ignore
        self.on_refusing: Callable[[list[str]], None] = _ignore_refusing

    @property
    def phase(self) -> Phase:
        """What this entry says of itself."""
        return self.own.phase

    @property
    def most_entries(self) -> int:
        """Most entries known at one time, this one among them; 0 while none was heard."""
        return self._peers.most

    @property
    def news_seconds(self) -> float:
        """Seconds until all entries know of a choice of this one."""
        return self._teller.news_seconds

    def settled_entries(self) -> int:
        """Return the most entries known at one time, 0 while it may still be growing.

        Guards against an entry that has just started and met five of forty: it would take a fifth
        of what all may spend together, and so would each of the others after a loss of power.
        """
        settled = self._clock.monotonic() - self._peers.grown_at >= SETTLED_SECONDS
        return self.most_entries if settled else 0

    def part_heard(self) -> float:
        """Return the part of all entries that this one hears of, itself among them."""
        if not self._peers and not self._seeds:
            return 1.0
        if not self.settled_entries():
            return DEFAULT_SHARE
        return self._peers.part_heard(self._clock.monotonic())

    def add_seeds(self, seeds: frozenset[str]) -> None:
        """Say hello to further entries that may live."""
        self._seeds |= seeds - {self.own.place.ip}

    def spread(self) -> float:
        """Return the seconds for which all entries choose by the same news, times the entries."""
        return self.news_seconds * (len(self._peers) + 1)

    def set_phase(self, phase: Phase) -> None:
        """Change what this entry says of itself, and tell it at once."""
        self.own.phase = phase
        self._look_at_part()
        self.tell_soon()

    def tell_soon(self) -> None:
        """Tell all receivers at once, as what this entry knows has changed."""
        self._urgent = True
        self._wake.set()

    def is_reader(self) -> bool:
        """Return whether this entry reads the published state for the others."""
        fits = self.phase in (Phase.STARTING, Phase.READY) and self.own.news().reads
        return fits and self.own.place.ip in self._peers.readers(own_fits=True)

    def peers_beyond(self, revision: int) -> list[str]:
        """Return the peers that know more than ``revision``, those of the own domain first."""
        found = self._peers.beyond(revision)
        self._rng.shuffle(found)
        found.sort(key=lambda each: each.failure_domain != self.own.place.failure_domain)
        return [each.ip for each in found]

    def entries(self, phase: Phase) -> list[PeerEntry]:
        """Return the peers that live and say this of themselves."""
        return self._peers.in_phase(phase, self._clock.monotonic())

    async def run(self) -> None:
        """Exchange news until cancelled."""
        place = self.own.place
        async with (
            await anyio.create_udp_socket(
                family=socket.AF_INET, local_host=place.ip, local_port=place.port
            ) as sock,
            anyio.create_task_group() as tasks,
        ):

            async def send(ip: str, data: bytes) -> None:
                try:
                    await sock.sendto(data, ip, place.port)
                except OSError as exc:
                    logger.bind(peer=ip, error=str(exc)).warning("datagram could not be sent")

            tasks.start_soon(self._receive, sock)
            tasks.start_soon(self.tell, send)

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
            digest = _digest(datagram)
            phase = Phase(hello.phase)
        except (msgspec.DecodeError, ValueError) as exc:
            logger.bind(error=str(exc)).warning("datagram of a peer cannot be read")
            return None
        return Heard(datagram.answers_run, datagram.answers, hello, phase, digest, datagram.ends)

    def take(self, heard: Heard) -> None:
        """Take in what a peer said; datagrams may overtake each other and come twice."""
        if heard.hello.ip == self.own.place.ip:
            return
        if self._peers.is_news(heard.hello):
            self._take_entry(heard.hello, heard.phase)
            self._take_works(heard)
            self.on_loads()
        self._take_news(heard)
        self._poison_news.records.take(heard.ends)

    def _take_entry(self, hello: Hello, phase: Phase) -> None:
        silence = INTERVALS_OF_SILENCE * max(INTERVAL, hello.interval)
        if self._peers.heard(hello, phase, self._clock.monotonic(), silence):
            self._greet.add(hello.ip)
            self._wake.set()
        self._meet(hello.peers)
        self._look_at_part()

    def _take_works(self, heard: Heard) -> None:
        """Take in work of a peer, or what a delegate tells for others.

        Each request is told of by one teller alone, whatever this entry's part is.
        """
        hello, digest = heard.hello, heard.digest
        near = hello.failure_domain == self.own.place.failure_domain
        match self._teller.part:
            case Part.EQUAL:
                self._take_from(hello.ip, hello.works, hello.refusing)
                self._take_rates(hello.ip, hello.rates, heard)
            case Part.DELEGATE if near:
                self._take_from(hello.ip, hello.works, hello.refusing)
                self._take_rates(hello.ip, hello.rates, heard)
            case Part.DELEGATE if digest is not None:
                self._take_digest(hello.failure_domain, digest)
                self._take_rates(hello.failure_domain, digest.rates, heard)
            case Part.MEMBER if digest is not None and hello.ip == self._teller.delegate():
                self._take_digest(OTHERS, digest)
                self._take_rates(OTHERS, digest.rates, heard)

    def _take_digest(self, teller: str, digest: Digest) -> None:
        self._take_from(teller, digest.works, digest.refusing)
        if digest.members is None:
            return
        domain = None if teller == OTHERS else teller
        self._peers.heard_of(digest.members, domain, self._clock.monotonic())
        self._look_at_part()

    def _take_from(self, teller: str, rows: Sequence[WorkRow], refusing: list[str]) -> None:
        self._loads.update_peer(
            teller, {row.key: Work(row.requests, row.reading, row.tokens) for row in rows}
        )
        self._told_at[teller] = self._clock.monotonic()
        self.own.told_refusing[teller] = refusing
        if refusing:
            self.on_refusing(refusing)

    def _take_rates(self, teller: str, rows: Sequence[RateRow], heard: Heard) -> None:
        """Take in limits of replicas; their age is counted as that of news is."""
        written_at = self._answered_at(heard)
        if written_at is not None and rows:
            self._rates.heard(teller, rows, written_at)

    def _answered_at(self, heard: Heard) -> float | None:
        """Return a moment that is not after the writing of a datagram, None where none is known."""
        if heard.answers_run != self.own.incarnation:
            return None
        return self._teller.sent_at(heard.answers)

    def _take_news(self, heard: Heard) -> None:
        """Take in what a peer knows of the published state.

        How long a datagram was on its way cannot be seen: it may have waited here while this VM
        was suspended. So its age is counted from when this entry sent the datagram that the peer
        answers to, which was before the peer wrote its answer.
        """
        if heard.answers_run != self.own.incarnation:
            return
        self._poison_news.heard(heard.hello.ip, heard.hello.incarnation, heard.answers)
        sent_at = self._answered_at(heard)
        if sent_at is not None:
            self.on_news(heard.hello.news, sent_at - heard.hello.news.age)

    def _meet(self, ips: list[str]) -> None:
        """Say hello to entries that a peer hears and this one does not."""
        unknown = frozenset(ips) - frozenset(self._peers.ips()) - {self.own.place.ip}
        self._seeds |= unknown

    def _look_at_part(self) -> None:
        """See whether this entry tells for others now; what it was told so far ends with a change.

        Kept, a request would count twice: from its own entry and from a delegate.
        """
        part = Part.EQUAL
        if self.most_entries > ENTRIES_ALL_TELL_ALL:
            is_delegate = self._teller.delegate() == self.own.place.ip
            part = Part.DELEGATE if is_delegate else Part.MEMBER
        if part is self._teller.part:
            return
        logger.bind(part=part.value, entries=len(self._peers) + 1).info("part in the exchange")
        self._teller.part = part
        for teller in self._loads.peers():
            self._forget_teller(teller)

    def _forget_teller(self, teller: str) -> None:
        self._loads.remove_peer(teller)
        self._told_at.pop(teller, None)
        self.own.told_refusing.pop(teller, None)

    async def tell(self, send: Send) -> None:
        """Tell receivers and seeds in turn until cancelled.

        Args:
            send: Sends a datagram to an IP number.
        """
        seeds_due = float("-inf")
        while True:
            urgent, self._urgent = self._urgent, False
            self._drop_silent()
            datagrams = self._teller.round(urgent=urgent)
            now = self._clock.monotonic()
            if now >= seeds_due:
                unknown = self._seeds - frozenset(self._peers.ips())
                datagrams |= self._teller.greeting(unknown)
                pause = SEED_INTERVAL if self._peers else MEETING_INTERVAL
                seeds_due = now + pause * self._rng.uniform(0.5, 1.0)
            for ip, data in datagrams.items():
                await send(ip, data)
            await self._wait_for_round(send)

    async def _wait_for_round(self, send: Send) -> None:
        """Wait until peers are to be told again; greet those that are met meanwhile at once.

        An entry that starts learns so in a few milliseconds what its peers know, and need not read
        it from the store.
        """
        began_at = self._clock.monotonic()
        due_at = began_at + self._teller.interval * self._rng.uniform(0.9, 1.1)
        while (now := self._clock.monotonic()) < due_at:
            until = began_at + LEAST_INTERVAL if self._urgent else due_at
            if now >= until:
                return
            met, self._greet = self._greet, set()
            for ip, data in self._teller.greeting(met).items():
                await send(ip, data)
            with anyio.move_on_after(until - now):
                await self._wake.wait()
            self._wake = anyio.Event()

    def _drop_silent(self) -> None:
        now = self._clock.monotonic()
        gone = self._peers.silent(now)
        for ip in gone:
            self._seeds |= {ip}
            self._forget_teller(ip)
        self._peers.drop(gone, "silent", now)
        self._poison_news.keep(frozenset(self._peers.ips()))
        if self._teller.part is not Part.EQUAL:
            late = [each for each, at in self._told_at.items() if now - at > DIGEST_SECONDS]
            for teller in late:
                self._forget_teller(teller)
        if gone:
            self._look_at_part()


def _digest(datagram: Datagram) -> Digest | None:
    """Return what a datagram tells for others.

    Raises:
        ValueError: A phase is not known.
    """
    digest: Digest | None = msgspec.msgpack.decode(datagram.digest, type=Digest | None)
    for row in digest.members or () if digest is not None else ():
        Phase(row.phase)
    return digest


def _nothing() -> None:
    return


def _ignore(news: News, proved_at: float) -> None:
    return


def _ignore_refusing(endpoint_ids: list[str]) -> None:
    return
