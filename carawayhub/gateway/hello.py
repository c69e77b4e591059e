"""Messages between entries, and what is remembered of a peer that sent one."""

from dataclasses import dataclass
from enum import IntEnum

import msgspec


class Phase(IntEnum):
    """What an entry says of itself."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    OUT_OF_TOUCH = 3


class WorkRow(msgspec.Struct, array_like=True):
    """Work of the sender at one endpoint; see ``Work``."""

    endpoint_id: str
    requests: int
    reading: int
    tokens: int


class Hello(msgspec.Struct, array_like=True, kw_only=True):
    """One datagram.

    Attributes:
        ip: IP number of the sender.
        incarnation: Names this run of the sender.
        number: Grows with each datagram of this run.
        phase: Its phase.
        callers: ``ip:port`` at which it takes callers.
        failure_domain: Where it stands.
        interval: Seconds to its next datagram.
        peers: IP numbers of entries that it hears; empty where this datagram does not name them.
        works: Its own work in flight.
        news: What it knows of the published state.
        refusing: Endpoints that have just refused requests of its own.
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
    news: "News"
    refusing: list[str] = []


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


class Datagram(msgspec.Struct, array_like=True):
    """A hello to one peer.

    Attributes:
        answers_run: The run of that peer which the sender heard last.
        answers: Number of the datagram that the sender heard last of it, 0 for none.
        hello: The hello, the same for all peers.
    """

    answers_run: str
    answers: int
    hello: msgspec.Raw


@dataclass(frozen=True, slots=True)
class Heard:
    """A datagram that could be read.

    Attributes:
        answers_run: The run of its receiver that the sender heard last.
        answers: Number of the datagram of that run that it heard last.
        hello: The hello.
        phase: What the sender says of itself.
    """

    answers_run: str
    answers: int
    hello: Hello
    phase: Phase


@dataclass(slots=True)
class PeerEntry:
    """Another entry as it was last heard.

    Attributes:
        ip: Its IP number.
        incarnation: Names its run.
        number: Number of its last datagram.
        phase: What it said of itself.
        callers: ``ip:port`` at which it takes callers.
        failure_domain: Where it stands.
        silent_at: When it counts as gone.
        revision: Everything published up to it is known there.
        reads: Whether the published state answers it.
    """

    ip: str
    incarnation: str
    number: int
    phase: Phase
    callers: str
    failure_domain: str
    silent_at: float
    revision: int
    reads: bool
