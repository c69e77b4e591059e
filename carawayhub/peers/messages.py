"""Messages between the system's own processes, encoded as MessagePack by ``msgspec``.

Remaining times cross the wire, never clock readings: two machines' clocks are not compared. Names
are those of the configuration. Every message class is a tagged member of ``Message``.
"""

from dataclasses import dataclass, field
from enum import Enum


class ServingState(Enum):
    """What an agent says of its endpoint."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    FAILED = "failed"


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """Prefix-cache events since an earlier report.

    Attributes:
        first: Sequence number of the first event; a gap to the last one seen means that some were
            lost and that nothing is known of what the cache held before.
        added: Hashes of prefix blocks that came into the cache.
        removed: Hashes of prefix blocks that were evicted.
    """

    first: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """What an agent reports of its endpoint to each entry that it has a link with.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Random number drawn when the agent started.
        state: Whether new work may be dispatched to the endpoint.
        permit: Seconds for which the entry may dispatch on this report, counted from the moment
            the entry sent the heartbeat that this report answers.
        running: Requests that run at the engine, as it last said.
        queued: Requests that wait at the engine, as it last said.
        capacity: Requests it can run at once.
        load_age: Seconds since the engine said so.
        step_seconds: Recent mean time of one step, 0 where unknown.
        tokens_rate: Tokens a second generated recently.
        ticket_epoch: Number of the agent's ticket period now in force.
        map_number: Number of the expert map in force at its group, 0 for none.
        skew: Busiest rank's load over the mean, 1.0 for none.
        reason: Why it is not serving, empty where it is.
        cache: Prefix-cache events since the report before.
    """

    endpoint: str
    incarnation: int
    state: ServingState
    permit: float
    running: int = 0
    queued: int = 0
    capacity: int = 1
    load_age: float = 0.0
    step_seconds: float = 0.0
    tokens_rate: float = 0.0
    ticket_epoch: int = 0
    map_number: int = 0
    skew: float = 1.0
    reason: str = ""
    cache: CacheEvents = field(default_factory=lambda: CacheEvents(first=0))
