"""What the router is asked, what it answers and what it shows to operators."""

import math
from dataclasses import dataclass
from enum import Enum


class TargetKind(Enum):
    """What kind of back end a request is for."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """A model or a plain service by its name."""

    kind: TargetKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteQuery:
    """A request as far as routing needs to know it.

    Attributes:
        target: What the request is for.
        organisation: Whose request it is.
        priority: 0 is served first, 9 is shed first.
        prefix_blocks: Hashes of the prompt's prefix blocks from its start, each over all text up
            to the end of its block.
        deadline: Reading of the clock after which the answer is of no use.
        expected_tokens: Tokens the answer may have, 0 where unknown.
    """

    target: Target
    organisation: str
    priority: int = 5
    prefix_blocks: tuple[int, ...] = ()
    deadline: float = math.inf
    expected_tokens: int = 0


class Reason(Enum):
    """Why an endpoint was chosen."""

    CACHED_PREFIX = "cached_prefix"
    PREFIX_HOME = "prefix_home"
    LOWER_LOAD = "lower_load"
    LAST_RESORT = "last_resort"


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint for one attempt.

    Attributes:
        endpoint: Its name.
        reason: Why it was chosen.
        cached_blocks: Leading prefix blocks that it is known to hold.
    """

    endpoint: str
    reason: Reason
    cached_blocks: int


class Condition(Enum):
    """What the router thinks of an endpoint."""

    SERVING = "serving"
    RAMPING = "ramping"
    SLOW = "slow"
    STALLED = "stalled"
    FAILING = "failing"
    STARTING = "starting"
    LEAVING = "leaving"
    FAILED = "failed"
    EXPIRED = "expired"
    UNHEARD = "unheard"


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRow:
    """One endpoint in an operator's status table.

    Attributes:
        endpoint: Its name.
        provider: Whose machine it is.
        failure_domain: Where it stands.
        condition: Whether and how well it serves.
        reason: What led to the condition.
        load: Requests at the endpoint that were reported or are this entry's own.
        own: Requests of this entry among them.
        capacity: Requests it can run at once.
        weight: Its part of new work against a healthy endpoint of the same size, 1.0 for full.
        permit_until: Reading of this entry's clock until which it may be sent work.
        cached_blocks: Prefix blocks it is known to hold.
    """

    endpoint: str
    provider: str
    failure_domain: str
    condition: Condition
    reason: str
    load: float
    own: float
    capacity: int
    weight: float
    permit_until: float
    cached_blocks: int


class InFlight:
    """One attempt that runs at an endpoint; given by ``Router.begin``.

    Attributes:
        endpoint: Name of the endpoint.
        cost: Its weight in load, 1.0 for an ordinary request.
        began: Reading of the clock when it was sent.
        first_byte_at: Reading of the clock at the first byte of the answer, None before.
        finished: Whether ``Router.finish`` was called.
    """

    __slots__ = ("sent_at", "cost", "endpoint", "finished", "first_byte_at")

    def __init__(self, endpoint: str, cost: float, sent_at: float) -> None:
        self.endpoint = endpoint
        self.cost = cost
        self.sent_at = sent_at
        self.first_byte_at: float | None = None
        self.finished = False
