"""Builds the gossip datagrams that an entry sends about itself and, as a delegate, about others.

In a small fleet each entry sends to all others. With 98 entries that would be 98 * 97 datagrams per
round, most of them across failure domains, and the rate limit would delay each one. In a large
fleet each entry therefore sends only to the delegate of its failure domain, which is the entry with
the lowest IP address as a string. Delegates exchange digests of their domains, and each delegate
forwards the rest of the fleet to its own domain. Load information then travels three hops, and only
a few datagrams per round cross failure domains. When a delegate stops sending, its entry expires at
the other entries and the next one takes over.
"""

from collections.abc import Callable, Iterable, Mapping
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
from carawayhub.limits.poisonnews import PoisonUpdates
from carawayhub.limits.replicarate import ReplicaRates
from carawayhub.limits.slotrows import SlotCounts, SlotRow

GOSSIP_INTERVAL_SECONDS = 0.1
"""Interval between two datagrams to one receiver. It is a tenth of a typical request duration of
one second, so a slot released at a peer becomes known soon enough."""

MAX_DATAGRAMS_PER_SECOND = 300.0
"""Limit for one entry, which keeps the cost at one or two hundredths of a core. A delegate of a
large failure domain sends to each entry less often."""

PROPAGATION_HOPS = 3
"""Gossip intervals until an update has passed through both delegates to all entries."""

DOMAIN_HELLO_ROUNDS = 6
"""A member sends a hello to the other members of its failure domain once in this many rounds, so
that they can take over from each other as delegate."""

MEMBER_LIST_ROUNDS = 8
"""The member list is sent once in this many rounds, as it rarely changes."""

INTRODUCTION_INTERVAL_SECONDS = 0.5
"""Interval announced in an introduction. The receiver keeps the sender for a multiple of it, until
a delegate has reported the sender."""

MAX_SENT_TIMES = 256
"""Send times kept for matching acknowledgements by peers; this covers several seconds."""

MAX_ENDPOINTS = 64
"""Endpoints in one list of a datagram, which take about a kilobyte."""

MAX_WORK_ROWS = 4_000
"""Endpoints whose work is listed in one datagram, at about eleven bytes per row. If there are more,
those with the most requests are kept."""

VIA_DELEGATE = "others"
"""Reporter name under which a member stores what its delegate reports about all other entries."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OwnAddress:
    """Addresses of this entry.

    Attributes:
        ip: IP address that peers send to.
        port: UDP port that all entries use for gossip.
        callers: ``ip:port`` that accepts callers.
        failure_domain: Failure domain of this entry.
        capacity: Requests that this entry can have in flight, 0 if unknown.
    """

    ip: str
    port: int
    callers: str
    failure_domain: str
    capacity: int = 0


class Part(Enum):
    """Role of an entry in the gossip exchange."""

    EQUAL = "each tells all"
    MEMBER = "tells its delegate"
    DELEGATE = "tells for its failure domain"


class OwnState:
    """State that this entry announces to its peers.

    Args:
        address: Addresses of this entry.
        incarnation: Random ID of this run of the process.

    Attributes:
        address: Addresses of this entry.
        incarnation: Random ID of this run of the process.
        phase: Announced phase.
        news: Returns what this entry knows of the published state.
        refusing: Returns the endpoints that recently refused requests of this entry.
        told_refusing: Endpoints that refused requests of other entries, by reporter.
        slow: Returns the endpoints that agents recently reported to this entry as slow ranks.
        told_slow: Endpoints that agents reported to other entries, by reporter.
        backing_off: Returns the endpoints that requested a backoff of this entry.
        told_backing_off: Endpoints that requested a backoff of other entries, by reporter.
        in_flight: Returns the requests that this entry has in flight, -1 if it does not state them.
    """

    __slots__ = (
        "address",
        "backing_off",
        "in_flight",
        "incarnation",
        "news",
        "phase",
        "refusing",
        "slow",
        "told_backing_off",
        "told_refusing",
        "told_slow",
    )

    def __init__(self, address: OwnAddress, incarnation: str) -> None:
        self.address = address
        self.incarnation = incarnation
        self.phase = Phase.STARTING
        self.news: Callable[[], News] = _no_news
        self.refusing: Callable[[], list[str]] = list
        self.told_refusing: dict[str, list[str]] = {}
        self.slow: Callable[[], list[str]] = list
        self.told_slow: dict[str, list[str]] = {}
        self.backing_off: Callable[[], list[str]] = list
        self.told_backing_off: dict[str, list[str]] = {}
        self.in_flight: Callable[[], int] = _not_stated

    def row(self) -> MemberRow:
        """Return the row that a delegate sends about this entry."""
        address = self.address
        return MemberRow(
            address.ip,
            self.incarnation,
            self.phase,
            address.callers,
            address.failure_domain,
            self.news().reads,
            address.capacity,
            self.in_flight(),
        )


@dataclass(frozen=True, slots=True)
class _NumberedHello:
    """An encoded hello and its sequence number."""

    number: int
    hello: msgspec.Raw


class DatagramBuilder:
    """Builds the datagrams of each gossip round.

    Args:
        own: State that this entry announces.
        peers: The other known entries.
        loads: Work in flight.
        poison_updates: Requests during which endpoints crashed.
        rates: Rate limits reported by replicas, and requests sent to them.
        clock: Source of time.
        slot_counts: Requests by priority and organisation; None for a separate set.

    Attributes:
        part: Role of this entry in the exchange.
    """

    __slots__ = (
        "_clock",
        "_loads",
        "_last_members",
        "_number",
        "_own",
        "_peers",
        "_poison_updates",
        "_rates",
        "_rounds",
        "_sent",
        "_slot_counts",
        "part",
    )

    def __init__(
        self,
        own: OwnState,
        peers: Peers,
        loads: Loads,
        poison_updates: PoisonUpdates,
        rates: ReplicaRates,
        clock: Clock,
        slot_counts: SlotCounts | None = None,
    ) -> None:
        self._slot_counts = slot_counts or SlotCounts(clock)
        self._own = own
        self._rates = rates
        self._peers = peers
        self._loads = loads
        self._poison_updates = poison_updates
        self._clock = clock
        self._number = 0
        self._rounds = 0
        self._sent: dict[int, float] = {}
        self._last_members: dict[str, list[MemberRow]] = {}
        self.part = Part.EQUAL

    @property
    def interval(self) -> float:
        """Seconds between two datagrams to one receiver."""
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
        """Seconds until a routing decision of this entry is known to all entries."""
        if self.part is Part.EQUAL:
            return self.interval
        interval = max(
            GOSSIP_INTERVAL_SECONDS, self._delegate_receivers() / MAX_DATAGRAMS_PER_SECOND
        )
        return PROPAGATION_HOPS * interval

    def sent_at(self, number: int) -> float | None:
        """Return when a datagram was sent, or None if its send time is no longer kept."""
        return self._sent.get(number)

    def delegate(self) -> str:
        """Return the IP address of this failure domain's delegate, or an empty string."""
        return self._peers.delegate(self._own.phase is Phase.LEAVING)

    def round(self, *, urgent: bool) -> dict[str, bytes]:
        """Return the datagrams of one round, by receiver.

        Args:
            urgent: Whether there is an update that all entries need immediately.
        """
        self._rounds += 1
        hello = self._hello(
            self._rows(self._loads.own()),
            lists_peers=self._is_member_list_due(),
            slots=self._slot_counts.rows(),
        )
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
        """Return datagrams for newly discovered entries and for seeds that may be running."""
        hello = self._hello([], lists_peers=True, interval=INTRODUCTION_INTERVAL_SECONDS)
        return {ip: self._datagram(ip, hello) for ip in sorted(ips)}

    def _to_own_domain(self, urgent: bool) -> dict[str, bytes]:
        """Return the hellos to other members of the failure domain, which may become delegates.

        Requests during which endpoints crashed are sent only to the delegate, which forwards them.
        """
        if self._rounds % DOMAIN_HELLO_ROUNDS and not urgent:
            return {}
        hello = self._hello([], interval=DOMAIN_HELLO_ROUNDS * GOSSIP_INTERVAL_SECONDS)
        return {
            each.ip: self._datagram(each.ip, hello, with_ends=False)
            for each in self._peers.in_own_domain()
        }

    def _to_delegates(self) -> dict[str, bytes]:
        """Return the datagrams to other delegates, with a digest of this failure domain."""
        in_own_domain = self._peers.in_own_domain()
        reporters = [each.ip for each in in_own_domain]
        digest = _raw(
            Digest(
                members=self._members_if_due(
                    "", [*(each.row() for each in in_own_domain), self._own.row()]
                ),
                works=self._rows(self._loads.combined(reporters)),
                refusing=self._refusing(reporters),
                rates=self._rates.rows(reporters),
                slow=self._slow(reporters),
                backing_off=self._backing_off(reporters),
                slots=self._slot_counts.rows_of(reporters),
            )
        )
        hello = self._hello([])
        return {ip: self._datagram(ip, hello, digest) for ip in self._peers.other_delegates()}

    def _to_members(self, hello: _NumberedHello) -> dict[str, bytes]:
        """Return the datagrams to members of this failure domain, with a digest of the fleet.

        The digest for a member leaves out that member's own work, which it knows more exactly.
        """
        member_rows = self._members_if_due(VIA_DELEGATE, [each.row() for each in self._peers.all()])
        refusing = self._refusing(self._own.told_refusing)
        slow = self._slow(self._own.told_slow)
        backing_off = self._backing_off(self._own.told_backing_off)
        datagrams = {}
        for each in self._peers.in_own_domain():
            works = self._rows(self._loads.excluding(each.ip))
            rates = self._rates.rows_without(each.ip)
            digest = _raw(
                Digest(
                    members=member_rows,
                    works=works,
                    refusing=refusing,
                    rates=rates,
                    slow=slow,
                    backing_off=backing_off,
                    slots=self._slot_counts.rows_without(each.ip),
                )
            )
            datagrams[each.ip] = self._datagram(each.ip, hello, digest)
        return datagrams

    def _members_if_due(self, receivers: str, members: list[MemberRow]) -> list[MemberRow] | None:
        """Return the members if they have changed or are due to be sent again, otherwise None."""
        lasting = [each.lasting() for each in members]
        if lasting == self._last_members.get(receivers) and not self._is_member_list_due():
            return None
        self._last_members[receivers] = lasting
        return members

    def _is_member_list_due(self) -> bool:
        return self._rounds % MEMBER_LIST_ROUNDS == 1

    def _refusing(self, reporters: Iterable[str]) -> list[str]:
        return _union(self._own.refusing(), self._own.told_refusing, reporters)

    def _slow(self, reporters: Iterable[str]) -> list[str]:
        return _union(self._own.slow(), self._own.told_slow, reporters)

    def _backing_off(self, reporters: Iterable[str]) -> list[str]:
        return _union(self._own.backing_off(), self._own.told_backing_off, reporters)

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
        ends = self._poison_updates.rows_for(ip, run, hello.number) if with_ends else []
        return msgspec.msgpack.encode(Datagram(run, peer.number, hello.hello, digest, ends))

    def _rows(self, works: WorkByKey) -> list[WorkRow]:
        rows = [
            WorkRow(key, work.requests, work.reading, work.tokens) for key, work in works.items()
        ]
        if len(rows) > MAX_WORK_ROWS:
            rows.sort(key=lambda row: -row.requests)
        return rows[:MAX_WORK_ROWS]

    def _hello(
        self,
        works: list[WorkRow],
        *,
        lists_peers: bool = False,
        interval: float = 0.0,
        slots: list[SlotRow] | None = None,
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
            peers=self._peers.ips() if lists_peers else [],
            news=own.news(),
            refusing=own.refusing()[:MAX_ENDPOINTS],
            slow=own.slow()[:MAX_ENDPOINTS],
            backing_off=own.backing_off()[:MAX_ENDPOINTS],
            works=works,
            rates=self._rates.rows(),
            capacity=own.address.capacity,
            in_flight=own.in_flight(),
            slots=slots or [],
        )
        return _NumberedHello(self._number, _raw(hello))


def _union(own: list[str], told: Mapping[str, list[str]], reporters: Iterable[str]) -> list[str]:
    """Return the endpoints that this entry or some reporters list."""
    found = set(own)
    for reporter in reporters:
        found.update(told.get(reporter, ()))
    return sorted(found)[:MAX_ENDPOINTS]


def _raw(message: msgspec.Struct) -> msgspec.Raw:
    return msgspec.Raw(msgspec.msgpack.encode(message))


def _not_stated() -> int:
    return -1


def _no_news() -> News:
    return News(0, float("inf"), 0.0)
