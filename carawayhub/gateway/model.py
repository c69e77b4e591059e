"""What a gateway knows of routes, services, organisations and endpoints.

All of it is decoded from the platform's spelling in `carawayhub.platform` and never changed after.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from carawayhub.addresses import Address

MIN_STREAM_TIMEOUT_SECONDS = 2.0
STREAM_TIMEOUT_TARGETS = 4.0
STREAM_TIMEOUT_GAPS = 8.0
"""Silence after which callers abandon a stream: seconds, targets and gaps, the longest of them."""


class Repeat(Enum):
    """What may be done again with a request of a route."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class EndpointState(Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a route's requests that one service gets.

    Attributes:
        service: Name of the service.
        weight: Its weight among the shares of the route.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Requests of one host below one path prefix.

    Attributes:
        name: Its name.
        host: Host that it serves, in lower case.
        prefix: Start of the path, with a slash at both ends.
        repeat: What may be repeated.
        timeout: Seconds that a request may be kept waiting.
        target: Seconds to the answer (streams: to the first event) that callers want.
        gap: Seconds between two events of a stream that callers still accept.
        attempts: Most endpoints that one request may be sent to.
        priority: Rank of its requests, 0 is the most urgent.
        public: Whether no key is asked for.
        resumable: Whether a stream may go on at another endpoint after its last whole event.
        shares: Services that get its requests.
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

    @property
    def stream_timeout(self) -> float:
        """Seconds without an event after which callers abandon a stream, before its first as well.

        Ending one sooner would cut an answer that may still come.
        """
        longest = max(MIN_STREAM_TIMEOUT_SECONDS, STREAM_TIMEOUT_TARGETS * self.target)
        return max(longest, STREAM_TIMEOUT_GAPS * self.gap)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        match self.repeat:
            case Repeat.IDEMPOTENT:
                return True
            case Repeat.STREAM:
                return self.resumable
            case Repeat.ONCE:
                return False


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineProfile:
    """Published speed of the engines of a service.

    Attributes:
        places: Requests that one engine runs at once.
        kv_tokens: Tokens that its memory holds.
        step: Seconds of a token step without requests.
        step_per_request: Seconds that each writing request adds to a step.
        read_rate: Prompt tokens read a second.
        chunk: Most prompt tokens read in one step.
        stride: Token steps in a pass that has writers.
        usual_prompt: Mean number of prompt tokens.
        usual_answer: Mean number of answer tokens.
        experts: Shape of its expert maps, None where the engines have no experts.
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
        layers: Sets of layers that share one placement.
        experts: Experts of each set.
        places: Experts that one rank holds of a set at the most.
        spare: New experts of a set that one change may bring to a rank.
        share: Part of the work for a token that experts do.
        expert_bytes: Size of one expert.
        link_rate: Bytes a second over the link by which a rank copies.
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
    """Endpoints that answer alike.

    Attributes:
        name: Its name.
        health_path: Path of its health check.
        connections: Connections that one endpoint takes from all callers together.
        engine: Speed of its engines, None for a plain service.
    """

    name: str
    health_path: str
    connections: int
    engine: EngineProfile | None


@dataclass(frozen=True, slots=True)
class Organisation:
    """A holder of keys.

    Attributes:
        name: Its name.
        priority: Rank that goes before the route's, None where it has none.
    """

    name: str
    priority: int | None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        head_bytes: Size of a request's head.
        body_bytes: Size of its body.
        head_timeout: Seconds for a whole head.
        idle_timeout: Seconds that a connection may lie idle.
    """

    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@dataclass(slots=True)
class RouteTable:
    """One version of the configuration.

    Attributes:
        version: Its number; later ones are greater.
        services: Services by name.
        limits: What callers may send.
        organisations: Organisations by key.
        keyed: Whether requests of routes that are not public need a key.
    """

    version: int
    services: Mapping[str, Service]
    limits: CallerLimits
    organisations: Mapping[str, Organisation]
    keys_required: bool
    _by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    def add(self, route: Route) -> None:
        """Add a route; of two with one host and prefix the later one holds."""
        self._by_host.setdefault(route.host, {})[route.prefix] = route

    def routes(self) -> tuple[Route, ...]:
        """Return all routes."""
        return tuple(route for paths in self._by_host.values() for route in paths.values())

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of that host whose prefix is the longest that starts ``path``."""
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
    """One lifetime of a replica, which may start again under the id that it had.

    Attributes:
        replica: Id of the replica, by which endpoints and the platform know it.
        born: When it started, in milliseconds of its own clock, 0 where it does not say. That clock
            may jump, so two of them are compared and nothing is ever counted from one.
    """

    replica: str
    born: int = 0

    @property
    def id(self) -> str:
        """Name of this lifetime: what is remembered of it ends with it."""
        return f"{self.replica}@{self.born}" if self.born else self.replica

    def is_before(self, other: "Incarnation") -> bool:
        """Return whether the same replica started again after this lifetime."""
        return self.replica == other.replica and self.born < other.born


@dataclass(frozen=True, slots=True)
class GroupMembership:
    """The place of a replica in a lock-step group.

    Attributes:
        group: Name of the group.
        epoch: Formation of the group.
        rank: Its position.
        formed: Whether the group takes work.
        size: Ranks of the group, 0 where it does not say.
    """

    group: str
    epoch: int
    rank: int
    formed: bool
    size: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """One incarnation of a replica, as it registered itself.

    Attributes:
        id: Names this incarnation; a restart has another.
        incarnation: The same with its parts.
        service: Name of its service.
        address: Where it listens.
        failure_domain: Where it stands.
        places: Requests that it runs at once.
        state: What it says of itself.
        seat: Its place in a lock-step group, None where it belongs to none.
        registered: Revision at which its entry was made; later ones are greater.
    """

    id: str
    incarnation: Incarnation
    service: str
    address: Address
    failure_domain: str
    places: int
    state: EndpointState
    membership: GroupMembership | None = None
    registered: int = 0


def superseded(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    """Return the endpoints at whose address a later one has registered itself.

    Guards against replicas that crashed: their entries stay for three heartbeats, while their
    successors are up and have registered themselves. What is sent for the one before is refused by
    its successor. After a loss of power half of all entries were such, and a request that met two
    of them had used up its attempts.
    """
    newest: dict[Address, int] = {}
    listed = tuple(endpoints)
    for each in listed:
        newest[each.address] = max(each.registered, newest.get(each.address, 0))
    return frozenset(each.id for each in listed if each.registered < newest[each.address])


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdecimal() else host
