"""What a local fleet is made of, and where its nodes stand."""

import socket
from dataclasses import dataclass, field
from enum import Enum

from carawayhub.standins.options import RankOptions

ENDPOINT_PORT = 8000
OPERATOR_PORT = 9000
LEASE_PORT = 6999
LEASE_BLOCK = 250
FIRST_SUBNET, LAST_SUBNET = 16, 250


class EndpointKind(Enum):
    """What stands behind an agent."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class OrganisationPlan:
    """A customer; its key is made from its name."""

    name: str
    priority: int = 5
    rate: float = 10_000.0
    concurrency: int = 1000
    retry_share: float = 0.2

    @property
    def key(self) -> str:
        """Its API key."""
        return f"key-of-{self.name}"


@dataclass(slots=True, frozen=True, kw_only=True)
class LockStepShape:
    """A lock-step group whose ranks are spread evenly over engines of its own.

    Attributes:
        name: Name of the group.
        model: The model it serves, empty for that of the fleet's other engines.
        engines: Its engines.
        ranks: Ranks in all.
        experts: Experts a layer.
        layers: Layers with experts.
        spare_slots: Slots a rank and layer beyond an even share of the experts.
        expert_bytes: Size of one expert's weights of one layer.
        checks_fencing: Whether ranks refuse orders of old terms.
        checks_giver: Whether engines obey only the agent beside rank 0.
        decision_interval_s: Seconds between two decisions on the map.
        gain_horizon_s: Seconds for which a better balance is expected to last.
        seed: Seed of the ranks and of the experts' popularity.
    """

    name: str = "lock-step"
    model: str = ""
    engines: int = 2
    ranks: int = 4
    experts: int = 8
    layers: int = 2
    spare_slots: int = 1
    expert_bytes: int = 1_000_000
    checks_fencing: bool = True
    checks_giver: bool = False
    decision_interval_s: float = 1.0
    gain_horizon_s: float = 60.0
    seed: int = 0

    def options(self, step_ms: float) -> RankOptions:
        """Return how its ranks behave."""
        return RankOptions(
            ranks=self.ranks,
            experts=self.experts,
            layers=self.layers,
            expert_bytes=self.expert_bytes,
            step_ms=step_ms,
            checks_fencing=self.checks_fencing,
            seed=self.seed,
        )


@dataclass(slots=True, frozen=True, kw_only=True)
class FleetShape:
    """What a fleet is made of.

    Attributes:
        failure_domains: Their names; nodes are spread over them in turn.
        entries: Entries.
        engines: Model engines, each with an agent and a group of its own.
        lock_step: A lock-step group with engines and agents beside those, None for none.
        services: Plain services, each with an agent.
        model: Name of the model.
        capacity: Requests that an engine runs at once.
        step_ms: Time of an engine's step.
        resumes: Whether engines resume streams.
        key_quarantine: Whether agents that have just started distrust idempotency keys.
        organisations: Customers.
        options: Fleet-wide options as the configuration writes them.
    """

    failure_domains: tuple[str, ...] = ("attica", "patra", "larisa")
    entries: int = 3
    engines: int = 4
    lock_step: LockStepShape | None = None
    services: int = 2
    model: str = "repair"
    capacity: int = 32
    step_ms: float = 6.0
    resumes: bool = True
    key_quarantine: bool = True
    organisations: tuple[OrganisationPlan, ...] = (
        OrganisationPlan("cafes", priority=1),
        OrganisationPlan("guides", priority=8),
    )
    options: dict[str, float] = field(
        default_factory=lambda: {"answer_ttl_s": 2, "answer_size": 3, "request_deadline_s": 30}
    )


@dataclass(slots=True, frozen=True)
class NodePlan:
    """One VM of the fleet.

    Attributes:
        name: Its name, which its process and its VM share.
        failure_domain: Where it stands.
        outer: IP number that the configuration names.
        inner: IP number at which its processes listen and from which they connect.
    """

    name: str
    failure_domain: str
    outer: str
    inner: str

    @property
    def operators(self) -> str:
        """``ip:port`` of the operators' endpoints, which no fault touches."""
        return f"{self.inner}:{OPERATOR_PORT}"


@dataclass(slots=True, frozen=True)
class EndpointPlan:
    """An endpoint with its agent.

    Attributes:
        node: Its VM.
        kind: What it is.
        ranks: Ranks of the lock-step group that it holds.
    """

    node: NodePlan
    kind: EndpointKind
    ranks: tuple[int, ...] = ()

    @property
    def name(self) -> str:
        """Name of the endpoint and of its agent."""
        return self.node.name

    @property
    def address(self) -> str:
        """``ip:port`` at which the endpoint itself listens."""
        return f"{self.node.inner}:{ENDPOINT_PORT}"


class SubnetLease:
    """Keeps a loopback subnet for one fleet by holding a port in it."""

    __slots__ = ("_sock", "number")

    def __init__(self) -> None:
        for number in range(FIRST_SUBNET, LAST_SUBNET):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                sock.bind((f"127.{number}.{LEASE_BLOCK}.1", LEASE_PORT))
            except OSError:
                sock.close()
                continue
            self.number = number
            self._sock = sock
            return
        raise OSError("no loopback subnet is free; end other local fleets")

    def release(self) -> None:
        """Give the subnet back."""
        self._sock.close()
