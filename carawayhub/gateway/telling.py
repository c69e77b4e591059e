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
from carawayhub.gateway.loads import Loads, WorkByKey
from carawayhub.gateway.peers import Peers
from carawayhub.limits.poisonnews import PoisonNews
from carawayhub.limits.replicarate import ReplicaRates

INTERVAL = 0.1
"""Seconds between two datagrams to a receiver: a place that a peer frees is known within a tenth of
the second or so that a request takes."""

DATAGRAMS_A_SECOND = 300.0
"""Most datagrams that one entry sends a second: a hundredth of a core or two. A delegate of a large
failure domain tells each entry less often."""

STEPS_OF_NEWS = 3
"""Intervals that news take by way of delegates."""

NEAR_EVERY = 6
"""Rounds of which in one an entry tells those of its own failure domain that are no delegates that
it lives: they take its place as a delegate or it takes theirs."""

FAMILY_EVERY = 8
"""Rounds of which one names the peers, which change seldom."""

GREETING_INTERVAL = 0.5
"""Seconds for which who is greeted waits for a further word: until a delegate has told of it."""

ROUNDS_KEPT = 256
"""Datagrams whose time is remembered, for peers to answer to: those of several seconds."""

MOST_REFUSING = 64
"""Refusing endpoints that one datagram names: a kilobyte."""

MOST_ROWS = 4_000
"""Endpoints whose work one datagram tells; those with most requests where there are more. A row
takes about eleven bytes."""

OTHERS = "others"
"""Teller of the work that an entry's delegate told of."""


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

    __slots__ = ("incarnation", "news", "phase", "place", "refusing", "told_refusing")

    def __init__(self, place: OwnPlace, incarnation: str) -> None:
        self.place = place
        self.incarnation = incarnation
        self.phase = Phase.STARTING
        self.news: Callable[[], News] = _no_news
        self.refusing: Callable[[], list[str]] = list
        self.told_refusing: dict[str, list[str]] = {}

    def row(self) -> MemberRow:
        """Return what others are told of it by its delegate."""
        place = self.place
        return MemberRow(
            place.ip,
            self.incarnation,
            self.phase,
            place.callers,
            place.failure_domain,
            self.news().reads,
        )


@dataclass(frozen=True, slots=True)
class _Numbered:
    """A hello as it is sent, and its number."""

    number: int
    hello: msgspec.Raw


class Teller:
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
        "_named",
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
        self._named: dict[str, list[MemberRow]] = {}
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
                receivers = self._receivers_of_delegate()
        return max(INTERVAL, receivers / DATAGRAMS_A_SECOND)

    def _receivers_of_delegate(self) -> int:
        return len(self._peers.near()) + len(self._peers.far_delegates())

    @property
    def news_seconds(self) -> float:
        """Seconds until all entries know of a choice of this one."""
        if self.part is Part.EQUAL:
            return self.interval
        interval = max(INTERVAL, self._receivers_of_delegate() / DATAGRAMS_A_SECOND)
        return STEPS_OF_NEWS * interval

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
        hello = self._hello(self._rows(self._loads.own()), names_peers=self._is_family_due())
        match self.part:
            case Part.EQUAL:
                return {ip: self._datagram(ip, hello) for ip in self._peers.ips()}
            case Part.MEMBER:
                told = self._for_successors(urgent)
                if delegate := self.delegate():
                    told[delegate] = self._datagram(delegate, hello)
                return told
            case Part.DELEGATE:
                return self._for_domain(hello) | self._for_delegates()

    def greeting(self, ips: Iterable[str]) -> dict[str, bytes]:
        """Return the datagrams for entries that have just been met, or may live."""
        hello = self._hello([], names_peers=True, interval=GREETING_INTERVAL)
        return {ip: self._datagram(ip, hello) for ip in sorted(ips)}

    def _for_successors(self, urgent: bool) -> dict[str, bytes]:
        """Return what the others of the failure domain are told, who tell for it one day.

        Requests under which endpoints ended are told to the delegate alone, who tells them on.
        """
        if self._rounds % NEAR_EVERY and not urgent:
            return {}
        hello = self._hello([], interval=NEAR_EVERY * INTERVAL)
        return {
            each.ip: self._datagram(each.ip, hello, tells_ends=False) for each in self._peers.near()
        }

    def _for_delegates(self) -> dict[str, bytes]:
        """Return what the other delegates are told for this entry's failure domain."""
        near = self._peers.near()
        tellers = [each.ip for each in near]
        digest = _raw(
            Digest(
                members=self._names("", [*(each.row() for each in near), self._own.row()]),
                works=self._rows(self._loads.combined(tellers)),
                refusing=self._refusing(tellers),
                rates=self._rates.rows(tellers),
            )
        )
        hello = self._hello([])
        return {ip: self._datagram(ip, hello, digest) for ip in self._peers.far_delegates()}

    def _for_domain(self, hello: _Numbered) -> dict[str, bytes]:
        """Return what the entries of this one's failure domain are told for all others.

        Each is told the work of all but itself, which it knows better.
        """
        names = self._names(OTHERS, [each.row() for each in self._peers.all()])
        refusing = self._refusing(self._own.told_refusing)
        told = {}
        for each in self._peers.near():
            works = self._rows(self._loads.excluding(each.ip))
            rates = self._rates.rows_without(each.ip)
            digest = _raw(Digest(members=names, works=works, refusing=refusing, rates=rates))
            told[each.ip] = self._datagram(each.ip, hello, digest)
        return told

    def _names(self, receivers: str, members: list[MemberRow]) -> list[MemberRow] | None:
        """Return the members where they have changed or are due to be named again."""
        if members == self._named.get(receivers) and not self._is_family_due():
            return None
        self._named[receivers] = members
        return members

    def _is_family_due(self) -> bool:
        return self._rounds % FAMILY_EVERY == 1

    def _refusing(self, tellers: Iterable[str]) -> list[str]:
        found = set(self._own.refusing())
        for teller in tellers:
            found.update(self._own.told_refusing.get(teller, ()))
        return sorted(found)[:MOST_REFUSING]

    def _datagram(
        self,
        ip: str,
        hello: _Numbered,
        digest: msgspec.Raw = NO_DIGEST,
        *,
        tells_ends: bool = True,
    ) -> bytes:
        peer = self._peers.get(ip)
        if peer is None:
            return msgspec.msgpack.encode(Datagram("", 0, hello.hello, digest))
        run = peer.incarnation
        ends = self._poison_news.rows_for(ip, run, hello.number) if tells_ends else []
        return msgspec.msgpack.encode(Datagram(run, peer.number, hello.hello, digest, ends))

    def _rows(self, works: WorkByKey) -> list[WorkRow]:
        rows = [
            WorkRow(key, work.requests, work.reading, work.tokens) for key, work in works.items()
        ]
        if len(rows) > MOST_ROWS:
            rows.sort(key=lambda row: -row.requests)
        return rows[:MOST_ROWS]

    def _hello(
        self, works: list[WorkRow], *, names_peers: bool = False, interval: float = 0.0
    ) -> _Numbered:
        self._number += 1
        self._sent[self._number] = self._clock.monotonic()
        self._sent.pop(self._number - ROUNDS_KEPT, None)
        own = self._own
        hello = Hello(
            ip=own.place.ip,
            incarnation=own.incarnation,
            number=self._number,
            phase=own.phase,
            callers=own.place.callers,
            failure_domain=own.place.failure_domain,
            interval=interval or self.interval,
            peers=self._peers.ips() if names_peers else [],
            news=own.news(),
            refusing=own.refusing()[:MOST_REFUSING],
            works=works,
            rates=self._rates.rows(),
        )
        return _Numbered(self._number, _raw(hello))


def _raw(message: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(message))


def _no_news() -> News:
    return News(0, float("inf"), 0.0)
