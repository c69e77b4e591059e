"""Messages between the system's own processes, encoded as MessagePack by ``msgspec``.

Remaining times cross the wire, never clock readings: two machines' clocks are not compared. Names
are those of the configuration. What is sent often goes as an array without the names of its fields,
so all processes of a system run releases that agree on their order.
"""

from enum import Enum
from math import inf

import msgspec

from carawayhub.limits.poison import EndsRow


class ServingState(Enum):
    """What an agent says of its endpoint."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    FAILED = "failed"


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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


class EndpointReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
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
        reading: The agent's clock when it made the report, by which an entry can say a deadline in
            terms of that clock.
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
    cache: CacheEvents = CacheEvents(first=0)
    reading: float = 0.0


class ProcessRole(Enum):
    """Which kind of process a peer is."""

    ENTRY = "entry"
    AGENT = "agent"


class Hello(msgspec.Struct, tag=True, frozen=True, kw_only=True, array_like=True):
    """The first message on a link, in each direction.

    Attributes:
        name: Name of the sending process.
        role: Its kind.
        incarnation: Random number drawn when it started.
        failure_domain: Where it stands.
        address: ``ip:port`` at which it takes calls.
    """

    name: str
    role: ProcessRole
    incarnation: int
    failure_domain: str
    address: str


class Heartbeat(msgspec.Struct, tag=True, frozen=True, kw_only=True, array_like=True):
    """Sent by the process that opened the link, at each report interval.

    Attributes:
        sequence: Number of this heartbeat on this link, from 1.
        version: Configuration version in force at the sender.
        digest: Its digest.
        echo: ``pauses`` of the last reply that the sender had from this peer.
        service_age: Seconds since the platform's service was last heard, as the sender knows.
        vms: Number of the newest VM list that the sender has, 0 for none.
        leaving: Whether the sender is stopping.
        demand: What the sender's callers ask for, by organisation; only between entries.
        ends: Requests under which endpoints ended, as far as the receiver lacks them; only between
            entries.
    """

    sequence: int
    version: int
    digest: str
    echo: int = 0
    service_age: float = inf
    vms: int = 0
    leaving: bool = False
    demand: tuple["OrganisationDemand", ...] = ()
    ends: tuple[EndsRow, ...] = ()


class HeartbeatReply(msgspec.Struct, tag=True, frozen=True, kw_only=True, array_like=True):
    """Answers a heartbeat, or tells at once of a changed state with sequence 0.

    Attributes:
        sequence: Number of the heartbeat that it answers, 0 for none.
        incarnation: Random number drawn when the sender started.
        pauses: Pauses that the sender has noticed of itself; the next heartbeat repeats it.
        version: Configuration version in force at the sender.
        digest: Its digest.
        service_age: Seconds since the platform's service was last heard, as the sender knows.
        vms: Number of the newest VM list that the sender has, 0 for none.
        leaving: Whether the sender is stopping.
        report: State of the sender's endpoint; none from an entry.
    """

    sequence: int
    version: int
    digest: str
    incarnation: int = 0
    pauses: int = 0
    service_age: float = inf
    vms: int = 0
    leaving: bool = False
    report: EndpointReport | None = None


class OrganisationDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Demand of one organisation at one entry.

    Attributes:
        organisation: Its name.
        rate: Requests a second that its callers ask for.
        running: Its requests in flight.
        rate_claimed: Part of its rate that the entry holds, in requests a second.
        slots: Requests in flight that its callers ask for.
        slots_claimed: Part of its concurrency that the entry holds.
    """

    organisation: str
    rate: float
    running: int
    rate_claimed: float = 0.0
    slots: float = 0.0
    slots_claimed: float = 0.0


class RunRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that may run at most once, for the ledger of an agent.

    Attributes:
        request_id: Id of the caller's request, for logs.
        organisation: Who sends it.
        target: Name of the service or model.
        key: The caller's idempotency key, empty where a ticket is used.
        ticket: The ticket, empty where a key is used.
        version: Configuration version under which the entry chose this agent.
        stamp: The agent's ticket epoch as last heard when the whole request had been read.
        method: HTTP method.
        path: Path with query.
        headers: Headers for the endpoint.
        body: Body of the request.
        remaining: Seconds until its deadline.
        deadline: The same as a reading of the agent's clock, as far as the entry knows that clock.
    """

    request_id: str
    organisation: str
    target: str
    key: str
    ticket: str
    version: int
    stamp: int
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    remaining: float
    deadline: float = inf


class RunReply(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a request that may run at most once.

    Attributes:
        request_id: Id of the request that it answers.
        code: Number of the result.
        detail: What is particular to this case.
        retry_after: Seconds after which asking again is sensible, 0 for never.
        replayed: Whether the answer is that of an earlier run.
        status: HTTP status of the endpoint's answer, 0 where there is none.
        headers: Headers of the endpoint's answer.
        body: Body of the endpoint's answer.
    """

    request_id: str
    code: int
    detail: str = ""
    retry_after: float = 0.0
    replayed: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a witness whether its configuration names an agent to decide for a lock-step group.

    Attributes:
        group: Name of the group.
        endpoint: Name of the endpoint that holds rank 0.
        agent: ``ip:port`` of the agent that asks.
        vm: Name of its VM.
    """

    group: str
    endpoint: str
    agent: str
    vm: str


class LeaseReply(msgspec.Struct, frozen=True, kw_only=True):
    """What a witness answers.

    Attributes:
        named_seconds: For how long its configuration has named the agent, negative where it does
            not.
    """

    named_seconds: float


class StandingRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks the agent beside rank 0 of a lock-step group whether the group can step.

    Attributes:
        endpoint: Name of the endpoint that holds rank 0.
    """

    endpoint: str


class StandingReply(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a lock-step group can step, as far as the agent asked knows.

    Attributes:
        out_of_step: Why it cannot, empty where it can or where the agent does not know.
    """

    out_of_step: str = ""
