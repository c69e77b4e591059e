"""Decodes the configuration in the platform's store into the gateway's types."""

from typing import Annotated

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.model import (
    CallerLimits,
    EngineProfile,
    ExpertShape,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)
from carawayhub.platform.answers import UNREADABLE
from carawayhub.wirenumbers import Count

CONFIG_KEY = "op/config"
MS_PER_SECOND = 1000.0
MAX_MS = 1e9
"""Longest time that is taken from a configuration, eleven days; longer ones are lowered to it."""

Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
MEGA = 1e6
BITS_PER_BYTE = 8

_REPEATS = {
    "idempotent": Repeat.IDEMPOTENT,
    "non_idempotent": Repeat.ONCE,
    "streaming": Repeat.STREAM,
}


class _Split(msgspec.Struct, frozen=True, rename="pascal"):
    service: str
    weight: float = 1.0


class _Route(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Name",
        "host": "Host",
        "prefix": "Prefix",
        "kind": "Kind",
        "timeout_ms": "TimeoutMs",
        "target_ms": "FullCreditMs",
        "priority": "Priority",
        "split": "Split",
        "service": "Service",
        "attempts": "MaxAttempts",
        "public": "Public",
        "resumable": "Resumable",
        "gap_ms": "GapTargetMs",
        "regions": "AllowedRegions",
    },
):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float = 8000.0
    target_ms: float = 1000.0
    priority: Priority = 0
    split: list[_Split] = []
    service: str = ""
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_ms: float = 0.0
    regions: list[str] = []


class _Usual(msgspec.Struct, frozen=True):
    prompt: float = 1.0
    answer: float = 1.0


class _Engine(
    msgspec.Struct,
    frozen=True,
    rename={
        "slots": "Slots",
        "kv_tokens": "KvCapacity",
        "stride": "Stride",
        "sets": "Sets",
        "experts": "Experts",
        "places": "Places",
        "spare": "Spare",
        "expert_share": "ExpertShare",
        "expert_mb": "ExpertMb",
        "link_mbit": "LinkMbps",
    },
):
    slots: Count = 1
    kv_tokens: Count = 0
    stride: Count = 1
    step_ms: float = 0.0
    per_seq_ms: float = 0.0
    read_per_s: float = 0.0
    chunk: Count = 0
    usual: _Usual = _Usual()
    sets: Count = 0
    experts: Count = 0
    places: Count = 0
    spare: Count = 0
    expert_share: float = 0.0
    expert_mb: float = 0.0
    link_mbit: float = 0.0


class _Service(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "Name",
        "health": "HealthPath",
        "connections": "MaxConns",
        "engine": "Engine",
        "cold_s": "ColdS",
        "cold_per_s": "ColdPerS",
    },
):
    name: str
    health: str = "/health"
    connections: Count = 100
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(
    msgspec.Struct,
    frozen=True,
    rename={
        "head_bytes": "MaxHeaderBytes",
        "body_bytes": "MaxBodyBytes",
        "head_ms": "HeaderTimeoutMs",
        "idle_ms": "IdleTimeoutMs",
    },
):
    head_bytes: int = 16_384
    body_bytes: int = 4_194_304
    head_ms: float = 3000.0
    idle_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True, rename="pascal"):
    name: str
    keys: list[str] = []
    priority: Priority | None = None
    allowed_regions: list[str] = []


class _Config(msgspec.Struct, frozen=True, rename="pascal"):
    version: Count
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET


class _Version(msgspec.Struct, rename="pascal"):
    version: Count


def configuration_version(value: bytes) -> int | None:
    """Return the version of a configuration, None if it cannot be decoded."""
    try:
        return msgspec.json.decode(value, type=_Version).version
    except UNREADABLE:
        return None


def decode_route_table(value: bytes) -> RouteTable:
    """Decode the configuration that the operators published.

    Raises:
        PlatformError: PLATFORM_MALFORMED with the field that cannot be decoded.
    """
    try:
        wire = msgspec.json.decode(value, type=_Config)
        # An empty list still requires keys: none is valid.
        keys_required = not isinstance(wire.tenants, msgspec.UnsetType)
        tenants = [] if isinstance(wire.tenants, msgspec.UnsetType) else wire.tenants
        table = RouteTable(
            version=wire.version,
            services={each.name: _service(each) for each in wire.services},
            limits=_limits(wire.limits),
            organisations=_organisations(tenants),
            keys_required=keys_required,
        )
        for each in wire.routes:
            table.add(_route(each))
    except UNREADABLE as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, f"{CONFIG_KEY}: {exc}") from exc
    return table


def _route(wire: _Route) -> Route:
    shares = tuple(Share(each.service, each.weight) for each in wire.split)
    kind = _REPEATS.get(wire.kind)
    if kind is None:
        raise ValueError(f"route {wire.name}: unknown kind {wire.kind!r}")
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        prefix=wire.prefix,
        repeat=kind,
        timeout=_seconds(wire.timeout_ms),
        target=_seconds(wire.target_ms),
        gap=_seconds(wire.gap_ms),
        attempts=max(1, wire.attempts),
        priority=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
        shares=shares or (Share(wire.service, 1.0),),
        regions=_regions(wire.regions, f"route {wire.name}"),
    )


def _service(wire: _Service) -> Service:
    return Service(
        name=wire.name,
        health_path=wire.health,
        connections=wire.connections,
        engine=_engine(wire.engine) if wire.engine is not None else None,
        cold_seconds=wire.cold_s,
        cold_rate=wire.cold_per_s,
    )


def _engine(wire: _Engine) -> EngineProfile:
    return EngineProfile(
        places=wire.slots,
        kv_tokens=wire.kv_tokens,
        step=wire.step_ms / MS_PER_SECOND,
        step_per_request=wire.per_seq_ms / MS_PER_SECOND,
        prefill_rate=wire.read_per_s,
        chunk=wire.chunk,
        stride=wire.stride,
        mean_prompt_tokens=wire.usual.prompt,
        mean_answer_tokens=wire.usual.answer,
        experts=_experts(wire),
    )


def _experts(wire: _Engine) -> ExpertShape | None:
    if not wire.sets or not wire.experts:
        return None
    return ExpertShape(
        layers=wire.sets,
        experts=wire.experts,
        places=wire.places,
        spare=wire.spare,
        share=wire.expert_share,
        expert_bytes=wire.expert_mb * MEGA,
        link_rate=wire.link_mbit * MEGA / BITS_PER_BYTE,
    )


def _limits(wire: _Limits) -> CallerLimits:
    return CallerLimits(
        head_bytes=wire.head_bytes,
        body_bytes=wire.body_bytes,
        head_timeout=_seconds(wire.head_ms),
        idle_timeout=_seconds(wire.idle_ms),
    )


def _organisations(tenants: list[_Tenant]) -> dict[str, Organisation]:
    found = {}
    for tenant in tenants:
        regions = _regions(tenant.allowed_regions, f"tenant {tenant.name}")
        for key in tenant.keys:
            found[key] = Organisation(tenant.name, tenant.priority, regions)
    return found


def _seconds(ms: float) -> float:
    return min(MAX_MS, ms) / MS_PER_SECOND


def _regions(names: list[str], owner: str) -> frozenset[str]:
    """Return allowed regions.

    Guards against a name that also stands for the unknown region of a failure domain.

    Raises:
        ValueError: A name is empty.
    """
    if not all(each.strip() for each in names):
        raise ValueError(f"{owner}: a region without a name in AllowedRegions")
    return frozenset(names)
