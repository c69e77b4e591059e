"""The keys of each section, and how a checked object becomes typed data."""

from collections.abc import Callable
from typing import Any

from carawayhub.codes import Code
from carawayhub.config.kinds import (
    Address,
    Choice,
    Credential,
    Field,
    Flag,
    Instant,
    Many,
    Method,
    Number,
    Part,
    RoutePath,
    Text,
    Url,
)
from carawayhub.config.model import (
    Endpoint,
    EndpointState,
    EntryNode,
    FleetOptions,
    Limits,
    ModelGroup,
    Organisation,
    ProviderShare,
    Service,
    ServiceRoute,
)
from carawayhub.config.problem import Problem
from carawayhub.config.reader import Reader
from carawayhub.config.syntax import EntityKey, Node, Object, Section

Shares = tuple[ProviderShare, ...]
Entity = FleetOptions | EntryNode | Endpoint | Organisation | ModelGroup | Service | Shares

_RATIO = Number(0, 1)
_NAME = Text(shared=True)
_NAMES = Many(_NAME)

FLEET = (
    Field("answer_ttl_s", Number(1, 600), "answer_ttl"),
    Field("answer_size", Number(1, 16, whole=True)),
    Field("request_deadline_s", Number(0.1, 3_600), "request_deadline"),
    Field("permit_ttl_s", Number(0.1, 60), "permit_ttl"),
    Field("report_interval_s", Number(0.05, 30), "report_interval"),
    Field("heartbeat_timeout_s", Number(0.1, 60), "heartbeat_timeout"),
    Field("key_ttl_s", Number(1, 86_400), "key_ttl"),
    Field("links_per_agent", Number(1, 64, whole=True)),
    Field("stream_stall_s", Number(0.1, 600), "stream_stall"),
    Field("join_window_s", Number(0, 0.04), "join_window"),
    Field("weight_store_bytes_per_s", Number(1, 1e15), "weight_store_rate"),
    Field("decision_interval_s", Number(0.1, 86_400), "decision_interval"),
    Field("gain_horizon_s", Number(1, 604_800), "gain_horizon"),
)
ENTRY = (
    Field("vm", Text()),
    Field("address", Address(), required=True),
    Field("peer_address", Address(), required=True),
    Field("failure_domain", _NAME, required=True),
    Field("region", _NAME, required=True),
    Field("state", Choice((EndpointState.SERVING, EndpointState.LEAVING))),
)
RAMP = (
    Field("from", Instant(), "ramp_from", required=True),
    Field("for_s", Number(0, 604_800), required=True),
)
ENDPOINT = (
    Field("vm", Text()),
    Field("url", Url(), required=True),
    Field("agent", Address(), required=True),
    Field("failure_domain", _NAME, required=True),
    Field("region", _NAME, required=True),
    Field("provider", _NAME, required=True),
    Field("state", Choice(tuple(EndpointState))),
    Field("ramp", Part(RAMP)),
    Field("capacity", Number(1, 100_000, whole=True)),
    Field("checks_giver", Flag()),
    Field("checks_fencing", Flag()),
    Field("resumes", Flag()),
)
LIMITS = (
    Field("rate_per_s", Number(0, 1_000_000), "rate"),
    Field("burst", Number(0, 1_000_000)),
    Field("concurrency", Number(0, 1_000_000, whole=True)),
    Field("retry_share", _RATIO),
)
ORGANISATION = (
    Field("keys", Many(Credential(), least=1), "key_digests", required=True),
    Field("priority", Number(0, 9, whole=True)),
    Field("limits", Part(LIMITS)),
)
GROUP = (
    Field("model", _NAME, required=True),
    Field("endpoints", Many(_NAME, least=1), required=True),
    Field("organisations", _NAMES),
    Field("ranks", Number(1, 4_096, whole=True)),
    Field("experts", Number(1, 4_096, whole=True)),
    Field("layers", Number(1, 1_024, whole=True)),
    Field("spare_slots", Number(0, 64, whole=True)),
    Field("expert_bytes", Number(1, 10**12, whole=True)),
    Field("skew_weight", _RATIO),
    Field("rebalancing_weight", _RATIO),
)
ROUTE = (
    Field("method", Method(), required=True),
    Field("path", RoutePath(), required=True),
    Field("repeatable", Flag(), required=True),
)
SERVICE = (
    Field("endpoints", Many(_NAME, least=1), required=True),
    Field("routes", Many(Part(ROUTE), least=1, distinct=False), required=True),
    Field("organisations", _NAMES),
    Field("key_ttl_s", Number(1, 86_400), "key_ttl"),
    Field("key_quarantine", Flag()),
)
SHARE = Number(0, 100)

FIELDS: dict[Section, tuple[Field, ...]] = {
    Section.FLEET: FLEET,
    Section.ENTRIES: ENTRY,
    Section.ENDPOINTS: ENDPOINT,
    Section.ORGANISATIONS: ORGANISATION,
    Section.GROUPS: GROUP,
    Section.SERVICES: SERVICE,
}


def read_entity(key: EntityKey, node: Node, problems: list[Problem]) -> Entity | None:
    """Return an object as typed data, or None after noting what is wrong with it."""
    reader = Reader(problems)
    if key.section is Section.SHARES:
        return _read_shares(reader, key, node)
    values = reader.read_object(node, FIELDS[key.section], key.path())
    return None if values is None else _BUILDERS[key.section](key.name, values)


def _read_shares(reader: Reader, key: EntityKey, node: Node) -> Shares | None:
    if not isinstance(node, Object):
        reader.read_object(node, (), key.path())
        return None
    before = len(reader.problems)
    shares = {
        provider: reader.read(member, SHARE, key.path(provider))
        for provider, member in node.members.items()
    }
    if len(reader.problems) > before:
        return None
    total = sum(float(str(share)) for share in shares.values())
    if abs(total - 100) > SHARE_TOLERANCE:
        given = " + ".join(f"{provider} {share:g}" for provider, share in shares.items())
        detail = f"{given or 'no provider'} makes {total:g}"
        problem = Problem(
            node.file, node.line, key.path(), Code.CONFIG_SHARES_DO_NOT_ADD_UP, detail
        )
        reader.problems.append(problem)
        return None
    return tuple(
        ProviderShare(provider=name, share=float(str(share)))
        for name, share in sorted(shares.items())
    )


SHARE_TOLERANCE = 1e-6

# The values below have passed the checks of their fields, which the type checker cannot see.
Values = dict[str, Any]


def _fleet(_name: str, values: Values) -> Entity:
    return FleetOptions(**values)


def _entry(name: str, values: Values) -> Entity:
    return EntryNode(**{"name": name, "vm": name, **values})


def _endpoint(name: str, values: Values) -> Entity:
    ramp = values.pop("ramp", None)
    if ramp is not None:
        values["ramp_from"] = ramp["ramp_from"]
        values["ramp_until"] = ramp["ramp_from"] + ramp["for_s"]
    return Endpoint(**{"name": name, "vm": name, **values})


def _organisation(name: str, values: Values) -> Entity:
    limits = Limits(**values.pop("limits", {}))
    return Organisation(name=name, limits=limits, **values)


def _group(name: str, values: Values) -> Entity:
    return ModelGroup(**{"name": name, "ranks": len(values["endpoints"]), **values})


def _service(name: str, values: Values) -> Entity:
    routes = tuple(ServiceRoute(**route) for route in values.pop("routes"))
    return Service(name=name, routes=routes, **values)


_BUILDERS: dict[Section, Callable[[str, Values], Entity]] = {
    Section.FLEET: _fleet,
    Section.ENTRIES: _entry,
    Section.ENDPOINTS: _endpoint,
    Section.ORGANISATIONS: _organisation,
    Section.GROUPS: _group,
    Section.SERVICES: _service,
}
