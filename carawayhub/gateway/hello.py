"""Gossip messages between entries, and the record kept of each peer."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from carawayhub.gateway.revision import Revision
from carawayhub.limits.evidence import EndsRow
from carawayhub.limits.replicarate import RateRow
from carawayhub.limits.slotrows import SlotRow
from carawayhub.wirenumbers import Sum


class Phase(IntEnum):
    """Phase that an entry announces."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    OUT_OF_TOUCH = 3


class WorkRow(msgspec.Struct, array_like=True):
    """Work in flight at one endpoint; see ``Work``.

    Attributes:
        key: Hash that identifies the endpoint; see ``loads.work_key``.
        requests: Requests sent and not yet answered completely.
        reading: Prompt tokens of requests whose first event hasn't been received.
        tokens: Tokens that the requests hold in engine memory.
    """

    key: int
    requests: Sum
    reading: Sum
    tokens: Sum


class News(msgspec.Struct, array_like=True, frozen=True):
    """What an entry knows of the published state.

    Attributes:
        revision: Number of the revision up to which everything is known.
        age: Seconds between the last proof that this revision was the newest and the writing of
            the datagram.
        grace: Seconds for which removed registrations are assumed to have merely expired.
        reads: Whether the sender can read the published state.
        era: Era of that revision.
        version: Version of the configuration in force, -1 if there is none.
    """

    revision: Sum
    age: float
    grace: float
    reads: bool = True
    era: Sum = 0
    version: Sum = -1

    @property
    def position(self) -> Revision:
        """Revision up to which everything is known."""
        return Revision(self.era, self.revision)


class Hello(msgspec.Struct, array_like=True, kw_only=True):
    """State that an entry announces.

    Attributes:
        ip: IP address of the sender.
        incarnation: Random ID of this run of the sender.
        number: Sequence number, which increases with each round within this run.
        phase: Phase of the sender.
        callers: ``ip:port`` at which it accepts callers.
        failure_domain: Failure domain of the sender.
        interval: Seconds until its next datagram.
        peers: IP addresses of its known peers; empty if this datagram doesn't list them.
        works: Its own work in flight; empty if the receiver gets it from a delegate.
        news: What it knows of the published state.
        refusing: Endpoints that recently refused its requests.
        rates: Replicas that report a rate limit, and its own requests to them.
        slow: Endpoints that agents reported to it as slow ranks.
        backing_off: Endpoints that requested a backoff of it.
        capacity: Requests that it can have in flight, 0 if unknown.
        in_flight: Requests that it has in flight, -1 if not stated.
        slots: Its own requests by priority and organisation.
    """

    ip: str
    incarnation: str
    number: Sum
    phase: int
    callers: str
    failure_domain: str
    interval: float
    peers: list[str]
    works: list[WorkRow]
    news: News
    refusing: list[str] = []
    rates: list[RateRow] = []
    slow: list[str] = []
    backing_off: list[str] = []
    capacity: Sum = 0
    in_flight: Sum = -1
    slots: list[SlotRow] = []


class MemberRow(msgspec.Struct, array_like=True):
    """An entry as another one knows it; the fields have the meaning they have in ``Hello``."""

    ip: str
    incarnation: str
    phase: int
    callers: str
    failure_domain: str
    reads: bool
    capacity: Sum = 0
    in_flight: Sum = -1

    def lasting(self) -> "MemberRow":
        """Return the row without the requests in flight, which change all the time."""
        return msgspec.structs.replace(self, in_flight=-1)


class Digest(msgspec.Struct, array_like=True, kw_only=True):
    """State of other entries that a delegate reports.

    Attributes:
        members: The reported entries, or None if this datagram doesn't list them.
        works: Sum of their work in flight.
        refusing: Endpoints that recently refused their requests.
        rates: Replicas that report a rate limit, and their requests to them.
        slow: Endpoints that agents reported to them as slow ranks.
        backing_off: Endpoints that requested a backoff of them.
        slots: Sum of their requests by priority and organisation.
    """

    members: list[MemberRow] | None
    works: list[WorkRow]
    refusing: list[str]
    rates: list[RateRow] = []
    slow: list[str] = []
    backing_off: list[str] = []
    slots: list[SlotRow] = []


NO_DIGEST = msgspec.Raw(msgspec.msgpack.encode(None))


class Datagram(msgspec.Struct, array_like=True):
    """One datagram.

    Attributes:
        answers_run: Incarnation of the receiver from which the sender last received a datagram.
        answers: Number of that datagram, 0 if there is none.
        hello: Encoded ``Hello`` of the sender.
        digest: Encoded ``Digest``, or ``NO_DIGEST``.
        ends: Requests during which endpoints crashed and which the receiver doesn't have yet.
    """

    answers_run: str
    answers: int
    hello: msgspec.Raw
    digest: msgspec.Raw = NO_DIGEST
    ends: list[EndsRow] = []


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A decoded datagram.

    Attributes:
        answers_run: Incarnation of the receiver from which the sender last received a datagram.
        answers: Number of that datagram.
        hello: State that the sender announces.
        phase: Phase of the sender.
        digest: State of other entries, None if the sender isn't a delegate.
        ends: Requests during which endpoints crashed.
    """

    answers_run: str
    answers: int
    hello: Hello
    phase: Phase
    digest: Digest | None = None
    ends: Sequence[EndsRow] = ()


@dataclass(slots=True)
class PeerEntry:
    """Last known state of another entry, from its own datagrams or a delegate's report.

    Attributes:
        ip: Its IP address.
        incarnation: Random ID of its run.
        number: Number of its last datagram, 0 if it is only known from reports.
        phase: Its phase.
        callers: ``ip:port`` at which it accepts callers.
        failure_domain: Its failure domain.
        expires_at: Time at which it is removed without another datagram or report.
        revision: Published revision that it knows, the first one if it is only known from reports.
        reads: Whether it can read the published state.
        heard_at: Time at which its last datagram was received.
        version: Version of its configuration, -1 if it is only known from reports.
        reported_until: Time until which a delegate's report of it is valid.
        capacity: Requests that it can have in flight, 0 if unknown.
        in_flight: Requests that it had in flight, -1 if not stated.
    """

    ip: str
    incarnation: str
    number: int
    phase: Phase
    callers: str
    failure_domain: str
    expires_at: float
    revision: Revision
    reads: bool
    heard_at: float
    version: int = -1
    reported_until: float = float("-inf")
    capacity: int = 0
    in_flight: int = -1

    def row(self) -> MemberRow:
        """Return the row that a delegate sends about this entry."""
        return MemberRow(
            self.ip,
            self.incarnation,
            self.phase,
            self.callers,
            self.failure_domain,
            self.reads,
            self.capacity,
            self.in_flight,
        )
