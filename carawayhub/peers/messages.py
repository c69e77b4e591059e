"""Messages between the system's own processes, encoded as MessagePack by ``msgspec``.

Messages contain remaining times rather than timestamps, because the clocks of two machines are not
compared; the exceptions are fields that are documented as timestamps of the agent's clock. Names
are those of the configuration. Frequent messages are encoded as arrays without field names, so all
processes of a system must run releases that agree on the order of fields.
"""

from enum import Enum
from math import inf

import msgspec

from carawayhub.limits.evidence import EndsRow


class ServingState(Enum):
    """State of an endpoint as its agent reports it."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"
    FAILED = "failed"


class CacheEvents(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Prefix-cache events since an earlier report.

    Attributes:
        first: Sequence number of the first event; a gap after the last one received means that
            events were lost and that the earlier content of the cache is unknown.
        added: Hashes of prefix blocks that were added to the cache.
        removed: Hashes of prefix blocks that were evicted.
    """

    first: int
    added: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()


class EndpointReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Report of an agent on its endpoint, sent to each entry that it has a link with.

    Attributes:
        endpoint: Name of the endpoint.
        incarnation: Random number drawn when the agent started.
        state: Whether new work may be dispatched to the endpoint.
        permit: Seconds for which the entry may dispatch on this report, counted from the moment
            the entry sent the heartbeat that this report answers.
        running: Requests that run at the engine, as it last reported.
        queued: Requests that wait at the engine, as it last reported.
        capacity: Requests it can run at once.
        load_age: Seconds since the engine reported its load.
        step_seconds: Recent mean time of one step, 0 where unknown.
        tokens_rate: Tokens per second generated recently.
        ticket_epoch: Number of the agent's ticket period now in force.
        map_number: Number of the expert map in force at its group, 0 for none.
        skew: Busiest rank's load over the mean, 1.0 for none.
        reason: Why it is not serving, empty where it is.
        cache: Prefix-cache events since the previous report.
        reading: Timestamp of the report on the agent's clock, with which an entry can express a
            deadline on that clock.
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
        failure_domain: Its failure domain.
        address: ``ip:port`` at which it accepts calls.
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
        echo: ``pauses`` of the last reply that the sender received from this peer.
        service_age: Seconds since the platform's service last responded, as the sender knows.
        vms: Number of the newest VM list that the sender has, 0 for none.
        leaving: Whether the sender is stopping.
        demand: Demand of the sender's callers, by organisation; only between entries.
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
    """Answers a heartbeat, or reports a changed state at once with sequence 0.

    Attributes:
        sequence: Number of the heartbeat that it answers, 0 for none.
        incarnation: Random number drawn when the sender started.
        pauses: Number of its own pauses that the sender detected; the next heartbeat repeats it.
        version: Configuration version in force at the sender.
        digest: Its digest.
        service_age: Seconds since the platform's service last responded, as the sender knows.
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
        rate: Requests per second that its callers ask for.
        running: Its requests in flight.
        rate_claimed: Share of its rate that the entry holds, in requests per second.
        slots: Requests in flight that its callers ask for.
        slots_claimed: Share of its concurrency that the entry holds.
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
        organisation: Organisation of the caller.
        target: Name of the service or model.
        key: The caller's idempotency key, empty where a ticket is used.
        ticket: The ticket, empty where a key is used.
        version: Configuration version under which the entry chose this agent.
        stamp: Ticket epoch last received from the agent when the complete request had been read.
        method: HTTP method.
        path: Path with query.
        headers: Headers for the endpoint.
        body: Body of the request.
        remaining: Seconds until its deadline.
        deadline: The deadline as a timestamp of the agent's clock, as far as the entry knows it.
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
    """Result of a request that may run at most once.

    Attributes:
        request_id: Id of the request that it answers.
        code: Numeric result code.
        detail: Details of this case.
        retry_after: Seconds after which the caller should retry, 0 for never.
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
    """Reply of a witness to a lease request.

    Attributes:
        named_seconds: Seconds for which its configuration has named the agent, negative if it does
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
        out_of_step: Why it cannot, empty if it can or if the agent does not know.
    """

    out_of_step: str = ""
