"""Factories for tests of the gateway."""

import random

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.freshness import Bounds
from carawayhub.gateway.loads import Work, work_key
from carawayhub.gateway.model import (
    CallerLimits,
    Endpoint,
    EndpointState,
    EngineProfile,
    GroupMembership,
    Incarnation,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)
from carawayhub.gateway.process import GatewayOptions
from carawayhub.gateway.revision import Revision
from carawayhub.limits.replicarate import ReplicaRates

KEY = "key-of-armor"
UNREGISTERED = Revision()
BOUNDS = Bounds(config_apply=2.0, drain=2.0, revoke_after=5.0)


def endpoint(
    name: str,
    service: str = "llm",
    state: EndpointState = EndpointState.READY,
    places: int = 6,
    address: str = "127.0.0.1:9",
    registered: Revision = UNREGISTERED,
    born: int = 0,
    membership: GroupMembership | None = None,
    domain: str = "brest",
) -> Endpoint:
    """Return an endpoint."""
    incarnation = Incarnation(name, born)
    return Endpoint(
        id=incarnation.id,
        incarnation=incarnation,
        service=service,
        address=Address.parse(address),
        failure_domain=domain,
        places=places,
        state=state,
        membership=membership,
        registered=registered,
    )


def route(
    prefix: str = "/songs/",
    service: str = "llm",
    repeat: Repeat = Repeat.STREAM,
    attempts: int = 2,
    timeout: float = 8.0,
    target: float = 0.4,
    public: bool = False,
) -> Route:
    """Return a route of host ``caraway.example``."""
    return Route(
        name=f"r{prefix}",
        host="caraway.example",
        prefix=prefix,
        repeat=repeat,
        timeout=timeout,
        target=target,
        gap=0.12,
        attempts=attempts,
        priority=1,
        public=public,
        resumable=repeat is Repeat.STREAM,
        shares=(Share(service, 1.0),),
    )


def engine() -> EngineProfile:
    """Return a profile of engines without experts."""
    return EngineProfile(
        places=6,
        kv_tokens=186_000,
        step=0.006,
        step_per_request=0.0007,
        prefill_rate=61_000.0,
        chunk=512,
        stride=5,
        mean_prompt_tokens=800.0,
        mean_answer_tokens=140.0,
        experts=None,
    )


def table(version: int = 1, *routes: Route) -> RouteTable:
    """Return a configuration with two services and one organisation."""
    config = RouteTable(
        version=version,
        services={
            "llm": Service(name="llm", health_path="/health", connections=100, engine=engine()),
            "plain": Service(name="plain", health_path="/health", connections=100, engine=None),
        },
        limits=CallerLimits(),
        organisations={KEY: Organisation("armor", None)},
        keys_required=True,
    )
    for each in routes or (route(),):
        config.add(each)
    return config


def entry_options(ip: str, ips: list[str], bounds: Bounds = BOUNDS) -> GatewayOptions:
    """Return the options of the entry at ``ip``, with the first three entries as seeds."""
    return GatewayOptions(
        callers=Address(ip, 80),
        seeds=frozenset(ips[:3]),
        ip=ip,
        peer_port=7340,
        content_port=7341,
        link_rate=0.0,
        failure_domain=ip.split(".")[1],
        heartbeat=1.2,
        bounds=bounds,
        grace=8.0,
        retry_ratio=0.2,
        retry_extra=90.0,
        retry_window=10.0,
    )


def work(prompt: int = 800, answer: int = 140) -> Work:
    """Return the work of one request."""
    return Work(1, prompt, prompt + answer)


def rates(clock: Clock) -> ReplicaRates:
    """Return rate limits of replicas, of which none is known yet."""
    return ReplicaRates(clock, random.Random(5), work_key)


def admitted(caused: Work | None = None) -> Admitted:
    """Return a first attempt of a stream that causes some work."""
    return Admitted(
        req=CallerRequest(
            id=b"1",
            method="POST",
            host="caraway.example",
            path="/songs/1",
            target=b"/songs/1",
            headers=[],
            key="",
            wait_seconds=None,
            prompt_tokens=0,
            answer_tokens=0,
            last_event_id=b"",
        ),
        route=route(),
        service="llm",
        organisation=None,
        arrived_at=0.0,
        ends_at=8.0,
        returned=False,
        work=caused or work(),
    )
