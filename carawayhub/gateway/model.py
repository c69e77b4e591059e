"""Data model of routes, services, organisations and endpoints in a gateway.

`carawayhub.platform` decodes it from the platform's wire format. It is never changed afterwards.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from carawayhub.addresses import Address
from carawayhub.gateway.revision import Revision

MIN_STREAM_TIMEOUT_SECONDS = 2.0
STREAM_TIMEOUT_TARGETS = 4.0
STREAM_TIMEOUT_GAPS = 8.0
"""Callers abandon a stream after the longest of these: a minimum, a multiple of the route's target
and a multiple of its gap between events."""


class Repeat(Enum):
    """How requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class EndpointState(Enum):
    """State that an endpoint registers."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's requests that one service receives.

    Attributes:
        service: Name of the service.
        weight: Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Route for the requests to one host below one path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case.
        prefix: Path prefix, with a slash at both ends.
        repeat: How requests may be repeated.
        timeout: Longest time in seconds that a request may wait.
        target: Response time in seconds that callers expect, for streams until the first event.
        gap: Longest time in seconds between two events of a stream that callers accept.
        attempts: Maximum number of endpoints that one request may be sent to.
        priority: Priority of its requests; 0 is the most urgent.
        public: Whether requests need no key.
        resumable: Whether a stream may be resumed at another endpoint after its last complete
            event.
        shares: Services that receive its requests.
        regions: Regions in which its requests may run, empty for any.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: float
    target: float
    gap: float
    attempts: int
    priority: int
    public: bool
    resumable: bool
    shares: tuple[Share, ...]
    regions: frozenset[str] = frozenset()

    @property
    def stream_timeout(self) -> float:
        """Seconds without an event, or before the first one, after which callers abandon a stream.

        Ending a stream sooner would cut off an answer that may still arrive.
        """
        longest = max(MIN_STREAM_TIMEOUT_SECONDS, STREAM_TIMEOUT_TARGETS * self.target)
        return max(longest, STREAM_TIMEOUT_GAPS * self.gap)

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        match self.repeat:
            case Repeat.IDEMPOTENT:
                return True
            case Repeat.STREAM:
                return self.resumable
            case Repeat.ONCE:
                return False


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Published performance profile of the engines of a service.

    Attributes:
        places: Slots of one engine, which is the number of requests that it runs concurrently.
        kv_tokens: Capacity of its KV cache in tokens.
        step: Seconds that a decoding step takes without requests.
        step_per_request: Seconds that each decoding request adds to a step.
        prefill_rate: Prompt tokens processed per second.
        chunk: Maximum number of prompt tokens processed in one step.
        stride: Decoding steps in a pass that includes decoding requests.
        mean_prompt_tokens: Mean number of prompt tokens.
        mean_answer_tokens: Mean number of answer tokens.
        experts: Shape of its expert maps, None if the engines have no experts.
    """

    places: int
    kv_tokens: int
    step: float
    step_per_request: float
    prefill_rate: float
    chunk: int
    stride: int
    mean_prompt_tokens: float
    mean_answer_tokens: float
    experts: "ExpertShape | None"


@dataclass(frozen=True, slots=True, kw_only=True)
class ExpertShape:
    """Shape of the expert maps of a lock-step group.

    Attributes:
        layers: Number of layer sets; the layers of a set share one placement.
        experts: Experts in each set.
        places: Maximum number of experts of a set that one rank holds.
        spare: Maximum number of new experts of a set that one change may copy to a rank.
        share: Fraction of the work for a token that is done by experts.
        expert_bytes: Size of one expert in bytes.
        link_rate: Bytes per second of the link over which a rank copies experts.
    """

    layers: int
    experts: int
    places: int
    spare: int
    share: float
    expert_bytes: float
    link_rate: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Service with interchangeable endpoints.

    Attributes:
        name: Name of the service.
        health_path: Path of the health check.
        connections: Maximum number of connections to one endpoint from all entries together.
        engine: Performance profile of its engines, None for a plain service.
        cold_seconds: Seconds for which an endpoint is cold after its start, 0 if it never is.
        cold_rate: Requests per second that a cold endpoint accepts from all entries together.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineProfile | None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """Organisation that owns API keys.

    Attributes:
        name: Name of the organisation.
        priority: Priority that overrides the route's, or None.
        regions: Regions in which its requests may run, empty for any.
    """

    name: str
    priority: int | None
    regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for callers.

    Attributes:
        head_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        head_timeout: Seconds within which a complete head must be received.
        idle_timeout: Seconds that a connection may be idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(slots=True)
class RouteTable:
    """One version of the configuration.

    Attributes:
        version: Version number; later ones are greater.
        services: Services by name.
        limits: Limits for callers.
        organisations: Organisations by key.
        keys_required: Whether requests to routes that aren't public need a key.
    """

    version: int
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation]
    keys_required: bool
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    def add(self, route: Route) -> None:
        """Add a route, replacing one with the same host and prefix."""
        self._by_host.setdefault(route.host, {})[route.prefix] = route

    def routes(self) -> tuple[Route, ...]:
        """Return all routes."""
        return tuple(route for paths in self._by_host.values() for route in paths.values())

    def routes_of(self, host: str) -> tuple[Route, ...]:
        """Return all routes of a host."""
        paths = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host.lower()))
        return tuple(paths.values()) if paths is not None else ()

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the host with the longest prefix that matches ``path``."""
        prefixes = self._by_host.get(host.lower()) or self._by_host.get(_without_port(host.lower()))
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One run of a replica, which may restart under the same ID.

    Attributes:
        replica: ID of the replica at endpoints and in the platform.
        born: Start time in milliseconds of its own clock, 0 if not reported. That clock may jump,
            so start times are only compared with each other, never used to compute an age.
    """

    replica: str
    born: int = 0

    @property
    def id(self) -> str:
        """ID of this run; state recorded under it isn't used for a later run."""
        return f"{self.replica}@{self.born}" if self.born else self.replica

    def is_before(self, other: "Incarnation") -> bool:
        """Return whether ``other`` is a later run of the same replica."""
        return self.replica == other.replica and self.born < other.born


@dataclass(frozen=True, slots=True)
class GroupMembership:
    """Membership of a replica in a lock-step group.

    Attributes:
        group: Name of the group.
        epoch: Number of the group's formation.
        rank: Rank of the replica.
        formed: Whether the group is complete and accepts requests.
        size: Number of ranks in the group, 0 if not reported.
    """

    group: str
    epoch: int
    rank: int
    formed: bool
    size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """Registration of one run of a replica.

    Attributes:
        id: ID of this run; it changes with a restart.
        incarnation: Replica ID and start time that make up ``id``.
        service: Name of its service.
        address: Address on which it listens.
        failure_domain: Its failure domain.
        places: Number of slots, which is the number of requests that it runs concurrently.
        state: Registered state.
        membership: Membership in a lock-step group, None if it belongs to none.
        registered: Revision at which it registered; later ones are greater.
        cold_left: Seconds for which it stays cold, as of the writing of the registration.
    """

    id: str
    incarnation: Incarnation
    service: str
    address: Address
    failure_domain: str
    places: int
    state: EndpointState
    membership: GroupMembership | None = None
    registered: Revision = Revision()
    cold_left: float = 0.0


def superseded(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    """Return the endpoints at whose address a later one has registered.

    The registration of a crashed replica stays for three heartbeats, while its successor is already
    running at the same address and refuses requests sent to the old ID. After a power failure half
    of all registrations may be outdated, and a request routed to two of them has used up its
    attempts.
    """
    newest: dict[Address, Revision] = {}
    listed = tuple(endpoints)
    for each in listed:
        newest[each.address] = max(each.registered, newest.get(each.address, Revision()))
    return frozenset(each.id for each in listed if each.registered < newest[each.address])


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host
