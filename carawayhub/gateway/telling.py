"""What an entry tells other entries of itself, and as a delegate for others.

In a small fleet each entry tells all others. In a large one that would be 98 times 97 datagrams a
round, each of them late for want of rate and most of them across failure domains; there each entry
tells the delegate of its failure domain, the first one by IP number, delegates tell each other for
their domains, and each tells its domain for all others. What is known of load is so three short
steps old, and across domains go a few datagrams a round. Where a delegate is lost, the next one
finds that out by its silence.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from carawayhub.clock import Clock
from carawayhub.gateway.hello import (
    NO_DIGEST,
    Datagram,
    Digest,
    Hello,
    MemberRow,
    News,
    Phase,
    WorkRow,
)
from carawayhub.gateway.loads import Loads, Works
from carawayhub.gateway.peers import Peers
from carawayhub.limits.poisonnews import PoisonNews
from carawayhub.limits.replicarate import ReplicaRates

GOSSIP_INTERVAL_SECONDS = 0.1
"""Seconds between two datagrams to a receiver: a place that a peer frees is known within a tenth of
the second or so that a request takes."""

MAX_DATAGRAMS_PER_SECOND = 300.0
"""Most datagrams that one entry sends a second: a hundredth of a core or two. A delegate of a large
failure domain tells each entry less often."""

PROPAGATION_HOPS = 3
"""Intervals that news take by way of delegates."""

DOMAIN_HELLO_ROUNDS = 6
"""Rounds of which in one an entry tells those of its own failure domain that are no delegates that
it lives: they take its place as a delegate or it takes theirs."""

MEMBER_LIST_ROUNDS = 8
"""Rounds of which one names the peers, which change seldom."""

INTRODUCTION_INTERVAL_SECONDS = 0.5
"""Seconds for which who is greeted waits for a further word: until a delegate has told of it."""

MAX_SENT_TIMES = 256
"""Datagrams whose time is remembered, for peers to answer to: those of several seconds."""

MAX_REFUSING = 64
"""Refusing endpoints that one datagram names: a kilobyte."""

MAX_WORK_ROWS = 4_000
"""Endpoints whose work one datagram tells; those with most requests where there are more. A row
takes about eleven bytes."""

VIA_DELEGATE = "others"
"""Teller of the work that an entry's delegate told of."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnAddress:
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


class Part(Enum):
    """The part of an entry in the exchange."""

    EQUAL = "each tells all"
    MEMBER = "tells its delegate"
    DELEGATE = "tells for its failure domain"


class OwnState:
    """What this entry has to tell of itself.

    Args:
        place: Where it is found.
        incarnation: Names this run, drawn at random.

    Attributes:
        place: The same.
        incarnation: The same.
        phase: What it says of itself.
        news: Gives what it knows of the published state.
        refusing: Gives the endpoints that have just refused requests of it.
        told_refusing: Those that refused requests of others, by who told of them.
    """

    __slots__ = ("address", "incarnation", "news", "phase", "refusing", "told_refusing")

    def __init__(self, address: OwnAddress, incarnation: str) -> None:
        self.address = address
        self.incarnation = incarnation
        self.phase = Phase.STARTING
        self.news: Callable[[], News] = _no_news
        self.refusing: Callable[[], list[str]] = list
        self.told_refusing: dict[str, list[str]] = {}

    def row(self) -> MemberRow:
        """Return what others are told of it by its delegate."""
        address = self.address
        return MemberRow(
            address.ip,
            self.incarnation,
            self.phase,
            address.callers,
            address.failure_domain,
            self.news().reads,
        )


@dataclass(frozen=True, slots=True)
class _NumberedHello:
    """A hello as it is sent, and its number."""

    number: int
    hello: msgspec.Raw


class DatagramBuilder:
    """Makes the datagrams that an entry sends.

    Args:
        own: What it has to tell of itself.
        peers: The other entries.
        loads: Work in flight.
        poison_news: Requests under which endpoints ended.
        rates: Limits that replicas name, and requests sent to them.
        clock: Source of time.

    Attributes:
        part: Its part in the exchange.
    """

    __slots__ = (
        "_clock",
        "_loads",
        "_last_members",
        "_number",
        "_own",
        "_peers",
        "_poison_news",
        "_rates",
        "_rounds",
        "_sent",
        "part",
    )

    def __init__(
        self,
        own: OwnState,
        peers: Peers,
        loads: Loads,
        poison_news: PoisonNews,
        rates: ReplicaRates,
        clock: Clock,
    ) -> None:
        self._own = own
        self._rates = rates
        self._peers = peers
        self._loads = loads
        self._poison_news = poison_news
        self._clock = clock
        self._number = 0
        self._rounds = 0
        self._sent: dict[int, float] = {}
        self._last_members: dict[str, list[MemberRow]] = {}
        self.part = Part.EQUAL

    @property
    def interval(self) -> float:
        """Seconds between two datagrams to each receiver."""
        match self.part:
            case Part.EQUAL:
                receivers = len(self._peers)
            case Part.MEMBER:
                receivers = 1
            case Part.DELEGATE:
                receivers = self._delegate_receivers()
        return max(GOSSIP_INTERVAL_SECONDS, receivers / MAX_DATAGRAMS_PER_SECOND)

    def _delegate_receivers(self) -> int:
        return len(self._peers.in_own_domain()) + len(self._peers.other_delegates())

    @property
    def propagation_seconds(self) -> float:
        """Seconds until all entries know of a choice of this one."""
        if self.part is Part.EQUAL:
            return self.interval
        interval = max(
            GOSSIP_INTERVAL_SECONDS, self._delegate_receivers() / MAX_DATAGRAMS_PER_SECOND
        )
        return PROPAGATION_HOPS * interval

    def sent_at(self, number: int) -> float | None:
        """Return when a datagram was sent, None where that is too long ago."""
        return self._sent.get(number)

    def delegate(self) -> str:
        """Return the entry that tells for this one's failure domain, empty where there is none."""
        return self._peers.delegate(self._own.phase is Phase.LEAVING)

    def round(self, *, urgent: bool) -> dict[str, bytes]:
        """Return the datagrams of one round by receiver.

        Args:
            urgent: Whether there is news that all should have at once.
        """
        self._rounds += 1
        hello = self._hello(self._rows(self._loads.own()), names_peers=self._is_member_list_due())
        match self.part:
            case Part.EQUAL:
                return {ip: self._datagram(ip, hello) for ip in self._peers.ips()}
            case Part.MEMBER:
                datagrams = self._to_own_domain(urgent)
                if delegate := self.delegate():
                    datagrams[delegate] = self._datagram(delegate, hello)
                return datagrams
            case Part.DELEGATE:
                return self._to_members(hello) | self._to_delegates()

    def introductions(self, ips: Iterable[str]) -> dict[str, bytes]:
        """Return the datagrams for entries that have just been met, or may live."""
        hello = self._hello([], names_peers=True, interval=INTRODUCTION_INTERVAL_SECONDS)
        return {ip: self._datagram(ip, hello) for ip in sorted(ips)}

    def _to_own_domain(self, urgent: bool) -> dict[str, bytes]:
        """Return what the others of the failure domain are told, who tell for it one day.

        Requests under which endpoints ended are told to the delegate alone, who tells them on.
        """
        if self._rounds % DOMAIN_HELLO_ROUNDS and not urgent:
            return {}
        hello = self._hello([], interval=DOMAIN_HELLO_ROUNDS * GOSSIP_INTERVAL_SECONDS)
        return {
            each.ip: self._datagram(each.ip, hello, with_ends=False)
            for each in self._peers.in_own_domain()
        }

    def _to_delegates(self) -> dict[str, bytes]:
        """Return what the other delegates are told for this entry's failure domain."""
        in_own_domain = self._peers.in_own_domain()
        reporters = [each.ip for each in in_own_domain]
        digest = _raw(
            Digest(
                members=self._members_if_due(
                    "", [*(each.row() for each in in_own_domain), self._own.row()]
                ),
                works=self._rows(self._loads.of(reporters)),
                refusing=self._refusing(reporters),
                rates=self._rates.rows(reporters),
            )
        )
        hello = self._hello([])
        return {ip: self._datagram(ip, hello, digest) for ip in self._peers.other_delegates()}

    def _to_members(self, hello: _NumberedHello) -> dict[str, bytes]:
        """Return what the entries of this one's failure domain are told for all others.

        Each is told the work of all but itself, which it knows better.
        """
        names = self._members_if_due(VIA_DELEGATE, [each.row() for each in self._peers.all()])
        refusing = self._refusing(self._own.told_refusing)
        datagrams = {}
        for each in self._peers.in_own_domain():
            works = self._rows(self._loads.without(each.ip))
            rates = self._rates.rows_without(each.ip)
            digest = _raw(Digest(members=names, works=works, refusing=refusing, rates=rates))
            datagrams[each.ip] = self._datagram(each.ip, hello, digest)
        return datagrams

    def _members_if_due(self, receivers: str, members: list[MemberRow]) -> list[MemberRow] | None:
        """Return the members where they have changed or are due to be named again."""
        if members == self._last_members.get(receivers) and not self._is_member_list_due():
            return None
        self._last_members[receivers] = members
        return members

    def _is_member_list_due(self) -> bool:
        return self._rounds % MEMBER_LIST_ROUNDS == 1

    def _refusing(self, reporters: Iterable[str]) -> list[str]:
        found = set(self._own.refusing())
        for reporter in reporters:
            found.update(self._own.told_refusing.get(reporter, ()))
        return sorted(found)[:MAX_REFUSING]

    def _datagram(
        self,
        ip: str,
        hello: _NumberedHello,
        digest: msgspec.Raw = NO_DIGEST,
        *,
        with_ends: bool = True,
    ) -> bytes:
        peer = self._peers.get(ip)
        if peer is None:
            return msgspec.msgpack.encode(Datagram("", 0, hello.hello, digest))
        run = peer.incarnation
        ends = self._poison_news.rows_for(ip, run, hello.number) if with_ends else []
        return msgspec.msgpack.encode(Datagram(run, peer.number, hello.hello, digest, ends))

    def _rows(self, works: Works) -> list[WorkRow]:
        rows = [
            WorkRow(key, work.requests, work.reading, work.tokens) for key, work in works.items()
        ]
        if len(rows) > MAX_WORK_ROWS:
            rows.sort(key=lambda row: -row.requests)
        return rows[:MAX_WORK_ROWS]

    def _hello(
        self, works: list[WorkRow], *, names_peers: bool = False, interval: float = 0.0
    ) -> _NumberedHello:
        self._number += 1
        self._sent[self._number] = self._clock.monotonic()
        self._sent.pop(self._number - MAX_SENT_TIMES, None)
        own = self._own
        hello = Hello(
            ip=own.address.ip,
            incarnation=own.incarnation,
            number=self._number,
            phase=own.phase,
            callers=own.address.callers,
            failure_domain=own.address.failure_domain,
            interval=interval or self.interval,
            peers=self._peers.ips() if names_peers else [],
            news=own.news(),
            refusing=own.refusing()[:MAX_REFUSING],
            works=works,
            rates=self._rates.rows(),
        )
        return _NumberedHello(self._number, _raw(hello))


def _raw(message: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(message))


def _no_news() -> News:
    return News(0, float("inf"), 0.0)
