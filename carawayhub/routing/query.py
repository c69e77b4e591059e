"""Types for routing requests, routing decisions and the operators' status table."""

import math
from dataclasses import dataclass
from enum import Enum


class TargetKind(Enum):
    """Kind of back end that a request targets."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Target:
    """A model or plain service, identified by name."""

    kind: TargetKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteQuery:
    """The properties of a request that affect routing.

    Attributes:
        target: Model or plain service that the request targets.
        organisation: Organisation that sends the request.
        priority: From 0, served first, to 9, shed first.
        prefix_blocks: Hashes of the prompt's prefix blocks, in order. Each hash covers all text
            from the start of the prompt to the end of its block.
        deadline: Timestamp after which the answer is no longer useful.
        expected_tokens: Maximum tokens in the answer, 0 if unknown.
    """

    target: Target
    organisation: str
    priority: int = 5
    prefix_blocks: tuple[int, ...] = ()
    deadline: float = math.inf
    expected_tokens: int = 0


class Reason(Enum):
    """Reason why an endpoint was selected."""

    CACHED_PREFIX = "cached_prefix"
    PREFIX_HOME = "prefix_home"
    LOWER_LOAD = "lower_load"
    LAST_RESORT = "last_resort"


@dataclass(frozen=True, slots=True)
class Choice:
    """The endpoint selected for one attempt.

    Attributes:
        endpoint: Name of the endpoint.
        reason: Reason why it was selected.
        cached_blocks: Number of leading prefix blocks that it is known to hold.
    """

    endpoint: str
    reason: Reason
    cached_blocks: int


class Condition(Enum):
    """Health of an endpoint as seen by the router."""

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
    """Row of one endpoint in the operators' status table.

    Attributes:
        endpoint: Name of the endpoint.
        provider: Provider of its VM.
        failure_domain: Failure domain of its VM.
        condition: Its health.
        reason: Cause of the condition.
        load: Requests at the endpoint, from the last report and this entry's own requests since.
        own: This entry's requests in flight.
        capacity: Maximum concurrent requests.
        weight: Its share of new requests relative to a healthy endpoint of the same capacity, 1.0
            for a full share.
        permit_until: Timestamp on this entry's clock until which requests may be sent to it.
        cached_blocks: Number of prefix blocks that it is known to hold.
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
    """An attempt in flight at an endpoint, returned by ``Router.begin``.

    Attributes:
        endpoint: Name of the endpoint.
        cost: Load that it adds, 1.0 for an ordinary request.
        sent_at: Timestamp at which it was sent.
        first_byte_at: Timestamp of the first response byte, None before it.
        finished: Whether ``Router.finish`` was called.
    """

    __slots__ = ("sent_at", "cost", "endpoint", "finished", "first_byte_at")

    def __init__(self, endpoint: str, cost: float, sent_at: float) -> None:
        self.endpoint = endpoint
        self.cost = cost
        self.sent_at = sent_at
        self.first_byte_at: float | None = None
        self.finished = False
