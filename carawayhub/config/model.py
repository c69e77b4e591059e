"""The merged configuration as typed, immutable data.

Names are the keys of the mappings. Times are seconds; ``share`` is a percentage from 0 to 100.
"""

from dataclasses import dataclass, field
from enum import Enum


class EndpointState(Enum):
    """What the operators say of an endpoint."""

    JOINING = "joining"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What one organisation may use over all entries together.

    Attributes:
        rate: Requests a second.
        burst: Requests that may come at once above the rate.
        concurrency: Requests in flight.
        retry_share: Retries allowed for each request, as a fraction.
    """

    rate: float = 100.0
    burst: float = 200.0
    concurrency: int = 200
    retry_share: float = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer of the firm.

    Attributes:
        name: Its name.
        key_digests: SHA-256 of each of its keys, as lower-case hex.
        priority: 0 is served first, 9 is shed first.
        limits: What it may use.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int = 5
    limits: Limits = field(default_factory=Limits)


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """A back end: a model engine or a plain service on one VM.

    Attributes:
        name: Its name.
        vm: Name of its VM in the platform's list.
        url: Base of its HTTP address, for example ``http://10.0.0.1:8000``.
        agent: ``ip:port`` of the agent in the slot of its VM.
        failure_domain: Where it stands.
        region: The region of that failure domain.
        provider: Whose machine it is, for shares of traffic.
        state: Joining, serving or leaving.
        ramp_until: Wall time at which a joining endpoint carries its full part, 0 for none.
        ramp_from: Wall time at which the ramp began.
        capacity: Requests it can run at once.
        checks_giver: Whether it checks who gives it an order.
        checks_fencing: Whether it refuses an order with an old fencing number.
        resumes: Whether its streams can be resumed at an offset.
    """

    name: str
    vm: str
    url: str
    agent: str
    failure_domain: str
    region: str
    provider: str
    state: EndpointState = EndpointState.SERVING
    ramp_from: float = 0.0
    ramp_until: float = 0.0
    capacity: int = 64
    checks_giver: bool = False
    checks_fencing: bool = False
    resumes: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ModelGroup:
    """An expert-parallel group whose ranks run in lock-step on one expert map.

    Attributes:
        name: Its name.
        model: The model it serves.
        endpoints: Its endpoints in the order of their ranks; the first holds rank 0.
        organisations: Who may use it; empty for all.
        ranks: Ranks in all, spread evenly over the endpoints.
        experts: Experts a layer.
        layers: Layers with experts.
        spare_slots: Slots a rank and layer beyond an even share of the experts.
        expert_bytes: Size of one expert's weights of one layer.
        skew_weight: What a percent of step-time skew is worth, from 0 to 1.
        rebalancing_weight: What the cost of moving experts is worth, from 0 to 1.
    """

    name: str
    model: str
    endpoints: tuple[str, ...]
    organisations: tuple[str, ...] = ()
    ranks: int = 1
    experts: int = 1
    layers: int = 1
    spare_slots: int = 0
    expert_bytes: int = 44_000_000
    skew_weight: float = 0.5
    rebalancing_weight: float = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRoute:
    """Which calls of a plain service a rule covers.

    Attributes:
        method: HTTP method in capitals, or ``*``.
        path: Path; a final ``*`` matches any rest.
        repeatable: Whether the call may run more than once.
    """

    method: str
    path: str
    repeatable: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A plain service beside the model engines.

    Attributes:
        name: Its name.
        endpoints: Where it runs.
        routes: Its calls; the first that matches decides.
        organisations: Who may use it; empty for all.
        key_ttl: Seconds for which an idempotency key is remembered.
        key_quarantine: Whether an agent that has just started distrusts keys it has not seen; to
            be false only while the service is used for the first time.
    """

    name: str
    endpoints: tuple[str, ...]
    routes: tuple[ServiceRoute, ...]
    organisations: tuple[str, ...] = ()
    key_ttl: float = 600.0
    key_quarantine: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class ProviderShare:
    """The percentage of a model's traffic that a provider's endpoints carry."""

    provider: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryNode:
    """An entry VM.

    Attributes:
        name: Its name.
        vm: Name of its VM in the platform's list.
        address: ``ip:port`` that callers connect to.
        peer_address: ``ip:port`` for the system's own links.
        failure_domain: Where it stands.
        region: The region of that failure domain.
        state: Serving or leaving.
    """

    name: str
    vm: str
    address: str
    peer_address: str
    failure_domain: str
    region: str
    state: EndpointState = EndpointState.SERVING


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOptions:
    """Settings that hold for the whole fleet, in seconds unless named otherwise.

    Attributes:
        answer_ttl: How long a caller may keep the answer to which entries it should use.
        answer_size: Entries named in one such answer.
        request_deadline: Deadline of a request that names none.
        permit_ttl: How long an agent's report lets an entry dispatch to its endpoint.
        report_interval: Time between two reports of an agent.
        heartbeat_timeout: Silence after which a link is replaced.
        key_ttl: How long the key of a run-once model call is remembered.
        links_per_agent: Entries that keep a link to one agent.
        stream_stall: Silence in the middle of a stream after which its connection is given up.
        join_window: Time for which small parts of one stream are joined, 0 for not at all.
        weight_store_rate: Bytes a second that the platform's weight store gives out in all; each
            group fetches at most its even part of it.
        decision_interval: Time between two decisions on a lock-step group's expert map.
        gain_horizon: Time for which a better balance is expected to last, and over which the gain
            of each change is measured.
    """

    answer_ttl: float = 20.0
    answer_size: int = 3
    request_deadline: float = 60.0
    permit_ttl: float = 2.0
    report_interval: float = 0.5
    heartbeat_timeout: float = 2.0
    key_ttl: float = 600.0
    links_per_agent: int = 12
    stream_stall: float = 3.0
    join_window: float = 0.02
    weight_store_rate: float = 1_000_000_000.0
    decision_interval: float = 10.0
    gain_horizon: float = 900.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """One accepted version of the whole configuration.

    Attributes:
        version: Number under which the users published it; never goes back.
        digest: SHA-256 over names and contents of its files, as lower-case hex.
    """

    version: int
    digest: str
    fleet: FleetOptions
    entries: dict[str, EntryNode]
    endpoints: dict[str, Endpoint]
    organisations: dict[str, Organisation]
    groups: dict[str, ModelGroup]
    services: dict[str, Service]
    shares: dict[str, tuple[ProviderShare, ...]]
