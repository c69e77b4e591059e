"""Messages between entries, and what is remembered of a peer that sent one."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

import msgspec

from carawayhub.limits.poison import EndsRow
from carawayhub.limits.replicarate import RateRow


class Phase(IntEnum):
    """What an entry says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    OUT_OF_TOUCH = 3


class WorkRow(msgspec.Struct, array_like=True):
    """Work at one endpoint; see ``Work``.

    Attributes:
        key: Stands for the endpoint; see ``loads.work_key``.
        requests: Requests that were sent and not answered in full.
        reading: Prompt tokens of those whose first event has not come.
        tokens: Tokens that they hold in memory.
    """

    key: int
    requests: int
    reading: int
    tokens: int


class News(msgspec.Struct, array_like=True, frozen=True):
    """What an entry knows of the published state.

    Attributes:
        revision: Everything up to it is known.
        age: Seconds since that was proved to be the newest, when the datagram was written.
        grace: Seconds for which entries that are removed are held to have lapsed only.
        reads: Whether the published state answers the sender.
    """

    revision: int
    age: float
    grace: float
    reads: bool = True


class Hello(msgspec.Struct, array_like=True, kw_only=True):
    """What an entry says of itself.

    Attributes:
        ip: IP number of the sender.
        incarnation: Names this run of the sender.
        number: Grows with each round of datagrams of this run.
        phase: Its phase.
        callers: ``ip:port`` at which it takes callers.
        failure_domain: Where it stands.
        interval: Seconds to its next datagram.
        peers: IP numbers of entries that it hears; empty where this datagram does not name them.
        works: Its own work in flight, empty for receivers that hear of it from others.
        news: What it knows of the published state.
        refusing: Endpoints that have just refused requests of its own.
        rates: Replicas that name a rate limit, and its own requests to them.
    """

    ip: str
    incarnation: str
    number: int
    phase: int
    callers: str
    failure_domain: str
    interval: float
    peers: list[str]
    works: list[WorkRow]
    news: News
    refusing: list[str] = []
    rates: list[RateRow] = []


class MemberRow(msgspec.Struct, array_like=True):
    """An entry as another one knows it; the fields are those of ``Hello``."""

    ip: str
    incarnation: str
    phase: int
    callers: str
    failure_domain: str
    reads: bool


class Digest(msgspec.Struct, array_like=True, kw_only=True):
    """What a delegate tells for other entries.

    Attributes:
        members: The entries it tells for, None where this datagram does not name them.
        works: Their work in flight together.
        refusing: Endpoints that have just refused requests of theirs.
        rates: Replicas that name a rate limit, and their requests to them.
    """

    members: list[MemberRow] | None
    works: list[WorkRow]
    refusing: list[str]
    rates: list[RateRow] = []


NO_DIGEST = msgspec.Raw(msgspec.msgpack.encode(None))


class Datagram(msgspec.Struct, array_like=True):
    """One datagram.

    Attributes:
        answers_run: The run of its receiver which the sender heard last.
        answers: Number of the datagram that the sender heard last of it, 0 for none.
        hello: What the sender says of itself.
        digest: What it tells for others, ``NO_DIGEST`` where it is no delegate.
        ends: Requests under which endpoints ended, as far as its receiver lacks them.
    """

    answers_run: str
    answers: int
    hello: msgspec.Raw
    digest: msgspec.Raw = NO_DIGEST
    ends: list[EndsRow] = []


@dataclass(frozen=True, slots=True)
class ReceivedDatagram:
    """A datagram that could be read.

    Attributes:
        answers_run: The run of its receiver that the sender heard last.
        answers: Number of the datagram of that run that it heard last.
        hello: The hello.
        phase: What the sender says of itself.
        digest: What it tells for others.
        ends: Requests under which endpoints ended.
    """

    answers_run: str
    answers: int
    hello: Hello
    phase: Phase
    digest: Digest | None = None
    ends: Sequence[EndsRow] = ()


@dataclass(slots=True)
class PeerEntry:
    """Another entry as it was last heard, or heard of.

    Attributes:
        ip: Its IP number.
        incarnation: Names its run.
        number: Number of its last datagram, 0 while only others told of it.
        phase: What it said of itself.
        callers: ``ip:port`` at which it takes callers.
        failure_domain: Where it stands.
        silent_at: When it counts as gone.
        revision: Everything published up to it is known there, 0 where only others told of it.
        reads: Whether the published state answers it.
        heard_at: When it was heard itself.
        told_until: Until when a delegate vouches for it.
    """

    ip: str
    incarnation: str
    number: int
    phase: Phase
    callers: str
    failure_domain: str
    expires_at: float
    revision: int
    reads: bool
    heard_at: float
    reported_until: float = float("-inf")

    def row(self) -> MemberRow:
        """Return what others are told of it."""
        return MemberRow(
            self.ip, self.incarnation, self.phase, self.callers, self.failure_domain, self.reads
        )
