"""Says in words what a step changes for callers and endpoints, and which changes are risky."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from datetime import UTC, datetime
from enum import Enum
from typing import TypeVar

from carawayhub.config.model import (
    Configuration,
    Endpoint,
    EndpointState,
    EntryNode,
    FleetOptions,
    ModelGroup,
    Organisation,
    ProviderShare,
    Service,
)


class Effect(Enum):
    """Whom a change concerns."""

    FLEET = "fleet"
    ENTRY = "entry"
    ENDPOINT = "endpoint"
    ORGANISATION = "organisation"
    GROUP = "group"
    SERVICE = "service"
    SHARE = "share"


@dataclass(frozen=True, slots=True)
class Change:
    """One change.

    Attributes:
        effect: Whom it concerns.
        name: Name of the object.
        text: What happens, in words.
        risk: Why it should be looked at again before it is published, empty where nothing is odd.
    """

    effect: Effect
    name: str
    text: str
    risk: str = ""


Item = TypeVar("Item")
Shares = tuple[ProviderShare, ...]


def diff(before: Configuration, after: Configuration) -> tuple[Change, ...]:
    """Return what changes from one configuration to another, in the order of the sections."""
    return (
        *_fleet(before, after),
        *_each(before.entries, after.entries, _entry),
        *_each(before.endpoints, after.endpoints, _endpoint),
        *_each(before.organisations, after.organisations, _organisation),
        *_each(before.groups, after.groups, _group),
        *_each(before.services, after.services, _service),
        *_each(before.shares, after.shares, _share),
    )


def _each(
    before: Mapping[str, Item],
    after: Mapping[str, Item],
    compare: Callable[[str, Item | None, Item | None], Iterator[Change]],
) -> Iterator[Change]:
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old is not new and old != new:
            yield from compare(name, old, new)


def _fleet(before: Configuration, after: Configuration) -> Iterator[Change]:
    for text in _fields(before.fleet, after.fleet, _FLEET_FIELDS):
        yield Change(Effect.FLEET, "", text)


def _entry(name: str, old: EntryNode | None, new: EntryNode | None) -> Iterator[Change]:
    if old is None and new is not None:
        text = f"is offered to callers at {new.address} in {new.failure_domain}"
        yield Change(Effect.ENTRY, name, text)
    elif old is not None and new is None:
        text = "is no longer known; callers that keep an answer with it must use the next address"
        yield Change(Effect.ENTRY, name, text, _unless_leaving(old.state))
    elif old is not None and new is not None:
        if old.state is not new.state:
            yield Change(Effect.ENTRY, name, _ENTRY_STATES[new.state])
        risk = "callers keep the old address until their answers run out"
        for text in _fields(old, new, ("address",)):
            yield Change(Effect.ENTRY, name, text, risk)
        for text in _fields(old, new, ("peer_address", "vm", "failure_domain", "region")):
            yield Change(Effect.ENTRY, name, text)


def _endpoint(name: str, old: Endpoint | None, new: Endpoint | None) -> Iterator[Change]:
    if old is None and new is not None:
        text = f"is added at {new.url} in {new.failure_domain}, of {new.provider}; {_entering(new)}"
        yield Change(Effect.ENDPOINT, name, text)
    elif old is not None and new is None:
        risk = _unless_leaving(old.state)
        yield Change(Effect.ENDPOINT, name, "is removed", risk)
    elif old is not None and new is not None:
        yield from _endpoint_state(name, old, new)
        risk = "requests in flight are at the old place; add a new endpoint and let this one leave"
        for text in _fields(old, new, ("url", "agent", "vm")):
            yield Change(Effect.ENDPOINT, name, text, risk)
        for text in _fields(old, new, _ENDPOINT_FIELDS):
            yield Change(Effect.ENDPOINT, name, text)


def _endpoint_state(name: str, old: Endpoint, new: Endpoint) -> Iterator[Change]:
    if old.state is not new.state:
        risk = ""
        if old.state is EndpointState.LEAVING:
            risk = "it was leaving; make sure that its VM stays"
        yield Change(Effect.ENDPOINT, name, _entering(new), risk)
    elif (old.ramp_from, old.ramp_until) != (new.ramp_from, new.ramp_until):
        yield Change(Effect.ENDPOINT, name, f"its ramp changes: it {_entering(new)}")


def _entering(endpoint: Endpoint) -> str:
    match endpoint.state:
        case EndpointState.LEAVING:
            return "takes no new work; what it runs is finished"
        case EndpointState.JOINING if endpoint.ramp_until > endpoint.ramp_from:
            begin, end = _moment(endpoint.ramp_from), _moment(endpoint.ramp_until)
            return f"takes a growing part of the work from {begin} and its full part from {end}"
        case _:
            return "takes its full part of the work"


def _organisation(
    name: str, old: Organisation | None, new: Organisation | None
) -> Iterator[Change]:
    if old is None and new is not None:
        text = f"is served, with priority {new.priority} and {_limits(new)}"
        yield Change(Effect.ORGANISATION, name, text)
    elif old is not None and new is None:
        yield Change(Effect.ORGANISATION, name, "is removed", "all of its requests are refused")
    elif old is not None and new is not None:
        gone = len(set(old.key_digests) - set(new.key_digests))
        fresh = len(set(new.key_digests) - set(old.key_digests))
        if fresh:
            yield Change(Effect.ORGANISATION, name, f"{_count(fresh, 'key')} can be used from now")
        if gone:
            text = f"{_count(gone, 'key')} can no longer be used"
            yield Change(Effect.ORGANISATION, name, text, "requests with it are refused")
        texts = (
            *_fields(old, new, ("priority",)),
            *_fields(old.limits, new.limits, ("rate", "burst", "concurrency", "retry_share")),
        )
        for text in texts:
            yield Change(Effect.ORGANISATION, name, text)


def _group(name: str, old: ModelGroup | None, new: ModelGroup | None) -> Iterator[Change]:
    if old is None and new is not None:
        text = f"serves {new.model} with {_count(new.ranks, 'rank')} on {_names(new.endpoints)}"
        yield Change(Effect.GROUP, name, text)
    elif old is not None and new is None:
        yield Change(Effect.GROUP, name, f"no longer serves {old.model}")
    elif old is not None and new is not None:
        yield from _members(Effect.GROUP, name, old.endpoints, new.endpoints)
        yield from _access(Effect.GROUP, name, old.organisations, new.organisations)
        risk = "the group must be started anew with these values before it can step"
        for text in _fields(old, new, _GROUP_SHAPE):
            yield Change(Effect.GROUP, name, text, risk)
        for text in _fields(old, new, ("skew_weight", "rebalancing_weight")):
            yield Change(Effect.GROUP, name, text)


def _service(name: str, old: Service | None, new: Service | None) -> Iterator[Change]:
    if old is None and new is not None:
        text = f"{_count(len(new.routes), 'route')} on {_names(new.endpoints)}"
        yield Change(Effect.SERVICE, name, f"is served: {text}")
    elif old is not None and new is None:
        yield Change(Effect.SERVICE, name, "is removed", "calls to its paths are refused")
    elif old is not None and new is not None:
        yield from _members(Effect.SERVICE, name, old.endpoints, new.endpoints)
        yield from _access(Effect.SERVICE, name, old.organisations, new.organisations)
        yield from _routes(name, old, new)
        for text in _fields(old, new, ("key_ttl", "key_quarantine")):
            yield Change(Effect.SERVICE, name, text)


def _routes(name: str, old: Service, new: Service) -> Iterator[Change]:
    before = {(route.method, route.path): route.repeatable for route in old.routes}
    after = {(route.method, route.path): route.repeatable for route in new.routes}
    for method, path in sorted(before.keys() | after.keys()):
        was, now = before.get((method, path)), after.get((method, path))
        route = f"{method} {path}"
        if was == now:
            continue
        if now is None:
            yield Change(Effect.SERVICE, name, f"{route} is no longer served")
        elif now:
            risk = "" if was is None else "a call that must run once would now be retried"
            yield Change(Effect.SERVICE, name, f"{route} may run more than once", risk)
        else:
            yield Change(Effect.SERVICE, name, f"{route} runs at most once and needs a key")
    if before == after and old.routes != new.routes:
        text = "its routes stand in another order; the first that matches decides"
        yield Change(Effect.SERVICE, name, text)


def _share(name: str, old: Shares | None, new: Shares | None) -> Iterator[Change]:
    if new is None:
        text = "is no longer split by provider; each endpoint counts by its capacity"
    elif old is None:
        text = f"is split by provider: {_split(new)}"
    else:
        text = f"the split moves from {_split(old)} to {_split(new)}"
    yield Change(Effect.SHARE, name, text)


def _members(effect: Effect, name: str, old: Iterable[str], new: Iterable[str]) -> Iterator[Change]:
    gone, fresh = sorted(set(old) - set(new)), sorted(set(new) - set(old))
    if fresh:
        yield Change(effect, name, f"now runs on {_names(fresh)} too")
    if gone:
        yield Change(effect, name, f"no longer runs on {_names(gone)}")
    if not gone and not fresh and tuple(old) != tuple(new):
        risk = "ranks follow this order" if effect is Effect.GROUP else ""
        yield Change(effect, name, "its endpoints stand in another order", risk)


def _access(
    effect: Effect, name: str, old: tuple[str, ...], new: tuple[str, ...]
) -> Iterator[Change]:
    if set(old) == set(new):
        return
    was, now = _names(old) or "all", _names(new) or "all"
    lost = sorted(set(old) - set(new)) if new else []
    risk = f"refused from now on: {_names(lost)}" if lost else ""
    if not old:
        risk = "refused from now on: all others"
    yield Change(effect, name, f"organisations that may use it: {was} before, {now} now", risk)


def _fields(old: object, new: object, names: Iterable[str]) -> Iterator[str]:
    for name in names:
        was, now = getattr(old, name), getattr(new, name)
        if was != now:
            yield f"{name.replace('_', ' ')} changes from {_value(was)} to {_value(now)}"


def _value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _unless_leaving(state: EndpointState) -> str:
    if state is EndpointState.LEAVING:
        return ""
    return "it was not leaving before; let it leave in a step of its own first"


def _limits(organisation: Organisation) -> str:
    limits = organisation.limits
    return f"up to {limits.rate:g} requests a second, {limits.concurrency} in flight"


def _split(shares: Shares) -> str:
    return ", ".join(f"{each.provider} {each.share:g}" for each in shares)


def _names(names: Iterable[str]) -> str:
    return ", ".join(names)


def _count(number: int, what: str) -> str:
    return f"{number} {what}" if number == 1 else f"{number} {what}s"


def _moment(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


_ENTRY_STATES = {
    EndpointState.SERVING: "is offered to callers again",
    EndpointState.LEAVING: "is named in no new answer and serves on until kept answers run out",
}
_FLEET_FIELDS = tuple(field.name for field in fields(FleetOptions))
_ENDPOINT_FIELDS = (
    "failure_domain",
    "region",
    "provider",
    "capacity",
    "checks_giver",
    "checks_fencing",
    "resumes",
)
_GROUP_SHAPE = ("model", "ranks", "experts", "layers", "spare_slots", "expert_bytes")
