"""Checks that concern more than one object: names that lead nowhere, clashes and shares.

Each object answers for its own problems, so an object has to be checked again only when it or one
that it is related to has changed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from carawayhub.codes import Code
from carawayhub.config.model import (
    Endpoint,
    EndpointState,
    EntryNode,
    FleetOptions,
    ModelGroup,
    Organisation,
    Service,
)
from carawayhub.config.relations import Index, MarkKind, host_port
from carawayhub.config.schema import Entity, Shares
from carawayhub.config.spelling import hint
from carawayhub.config.syntax import WHOLE, EntityKey, Section


class Fault(NamedTuple):
    """A problem whose place in the files is not looked up yet.

    Attributes:
        key: The object that answers for it.
        rest: Path within the object; an item of a list is written ``name[place]``.
        code: Its number.
        detail: What was found and what is wanted.
    """

    key: EntityKey
    rest: tuple[str, ...]
    code: Code
    detail: str


@dataclass(frozen=True, slots=True)
class Scene:
    """All objects as they would be in force.

    Attributes:
        entities: Those that passed the checks of their own, by section and name.
        broken: Those that did not; nothing is said of references to them.
        index: Which bear which marks.
    """

    entities: dict[Section, dict[str, Entity]]
    broken: frozenset[EntityKey]
    index: Index

    def get(self, key: EntityKey) -> Entity | None:
        """Return one object, or None where there is none."""
        return self.entities[key.section].get(key.name)

    def endpoint(self, name: str) -> Endpoint | None:
        """Return one endpoint, or None where there is none."""
        found = self.entities[Section.ENDPOINTS].get(name)
        return found if isinstance(found, Endpoint) else None


def faults(scene: Scene, key: EntityKey) -> Iterator[Fault]:
    """Yield what is wrong between one object and the others."""
    entity = scene.get(key)
    match entity:
        case None:
            return
        case FleetOptions():
            yield from _fleet(key, entity)
        case EntryNode():
            yield from _entry(scene, key, entity)
        case Endpoint():
            yield from _endpoint(scene, key, entity)
        case Organisation():
            yield from _organisation(scene, key, entity)
        case ModelGroup():
            yield from _group(scene, key, entity)
        case Service():
            yield from _service(scene, key, entity)
        case _:
            yield from _shares(scene, key, entity)


def entry_fault(scene: Scene) -> Fault | None:
    """Return a fault where no entry serves: such a version would leave callers without answer."""
    if any(key.section is Section.ENTRIES for key in scene.broken):
        return None
    for entry in scene.entities[Section.ENTRIES].values():
        if isinstance(entry, EntryNode) and entry.state is EndpointState.SERVING:
            return None
    detail = "no entry is serving; declare one, or take back the step that makes all leave"
    return Fault(EntityKey(Section.ENTRIES, WHOLE), (), Code.CONFIG_MISSING_KEY, detail)


def _fleet(key: EntityKey, fleet: FleetOptions) -> Iterator[Fault]:
    if fleet.report_interval * 2 > fleet.permit_ttl:
        detail = (
            f"{fleet.permit_ttl:g} is less than two report intervals of {fleet.report_interval:g},"
            " so one lost report would stop dispatch"
        )
        yield Fault(key, ("permit_ttl_s",), Code.CONFIG_VALUE_OUT_OF_RANGE, detail)
    if fleet.report_interval * 2 > fleet.heartbeat_timeout:
        detail = (
            f"{fleet.heartbeat_timeout:g} is less than two report intervals of"
            f" {fleet.report_interval:g}, so one lost report would replace the link"
        )
        yield Fault(key, ("heartbeat_timeout_s",), Code.CONFIG_VALUE_OUT_OF_RANGE, detail)


def _entry(scene: Scene, key: EntityKey, entry: EntryNode) -> Iterator[Fault]:
    yield from _address(scene, key, "address", entry.address)
    if entry.peer_address == entry.address:
        detail = f"{entry.address} is the address of callers too; choose another port"
        yield Fault(key, ("peer_address",), Code.CONFIG_DUPLICATE_ADDRESS, detail)
        return
    yield from _address(scene, key, "peer_address", entry.peer_address)


def _endpoint(scene: Scene, key: EntityKey, endpoint: Endpoint) -> Iterator[Fault]:
    yield from _address(scene, key, "url", host_port(endpoint.url))
    if endpoint.agent == host_port(endpoint.url):
        detail = f"{endpoint.agent} is the address of the endpoint itself"
        yield Fault(key, ("agent",), Code.CONFIG_DUPLICATE_ADDRESS, detail)
        return
    for owner in scene.index.owners(MarkKind.ADDRESS, endpoint.agent):
        other = scene.get(owner)
        # One agent may stand beside several endpoints of its VM.
        beside = isinstance(other, Endpoint) and other.agent == endpoint.agent
        if owner != key and not (
            beside and isinstance(other, Endpoint) and other.vm == endpoint.vm
        ):
            detail = f"{endpoint.agent} is in use by {owner.path()} on another VM"
            yield Fault(key, ("agent",), Code.CONFIG_DUPLICATE_ADDRESS, detail)
            return


def _address(scene: Scene, key: EntityKey, field: str, address: str) -> Iterator[Fault]:
    others = [each for each in scene.index.owners(MarkKind.ADDRESS, address) if each != key]
    if others:
        detail = f"{address} is in use by {others[0].path()}"
        yield Fault(key, (field,), Code.CONFIG_DUPLICATE_ADDRESS, detail)


def _organisation(scene: Scene, key: EntityKey, organisation: Organisation) -> Iterator[Fault]:
    for place, digest in enumerate(organisation.key_digests):
        others = scene.index.owners(MarkKind.CREDENTIAL, digest)
        if others != (key,):
            other = next(each for each in others if each != key)
            detail = f"it is a key of {other.path()} too"
            yield Fault(key, (f"keys[{place}]",), Code.CONFIG_DUPLICATE_CREDENTIAL, detail)


def _group(scene: Scene, key: EntityKey, group: ModelGroup) -> Iterator[Fault]:
    yield from _references(scene, key, group)
    if group.ranks % len(group.endpoints):
        detail = (
            f"{group.ranks} ranks cannot be spread evenly over {len(group.endpoints)} endpoints"
        )
        yield Fault(key, ("ranks",), Code.CONFIG_VALUE_OUT_OF_RANGE, detail)
    for place, name in enumerate(group.endpoints):
        others = [each for each in scene.index.owners(MarkKind.ENDPOINT, name) if each != key]
        if others:
            detail = f"{name} is named by {others[0].path()} too"
            code = Code.CONFIG_ENDPOINT_USED_TWICE
            yield Fault(key, (f"endpoints[{place}]",), code, detail)


def _service(scene: Scene, key: EntityKey, service: Service) -> Iterator[Fault]:
    yield from _references(scene, key, service)
    seen: set[str] = set()
    for place, route in enumerate(service.routes):
        mark = f"{route.method} {route.path}"
        others = [each for each in scene.index.owners(MarkKind.ROUTE, mark) if each != key]
        if mark in seen or others:
            where = "earlier in this list" if mark in seen else f"in {others[0].path()}"
            detail = f"{mark} stands {where} too"
            yield Fault(key, (f"routes[{place}]",), Code.CONFIG_DUPLICATE_ROUTE, detail)
        seen.add(mark)


def _references(scene: Scene, key: EntityKey, entity: ModelGroup | Service) -> Iterator[Fault]:
    for field, section, names in (
        ("endpoints", Section.ENDPOINTS, entity.endpoints),
        ("organisations", Section.ORGANISATIONS, entity.organisations),
    ):
        for place, name in enumerate(names):
            target = EntityKey(section, name)
            if name not in scene.entities[section] and target not in scene.broken:
                detail = hint(name, scene.entities[section])
                code = Code.CONFIG_DANGLING_REFERENCE
                yield Fault(key, (f"{field}[{place}]",), code, detail)


def _shares(scene: Scene, key: EntityKey, shares: Shares) -> Iterator[Fault]:
    groups = scene.index.owners(MarkKind.MODEL, key.name)
    if any(each.section is Section.GROUPS for each in scene.broken):
        return
    if not groups:
        groups_now = scene.entities[Section.GROUPS].values()
        models = {each.model for each in groups_now if isinstance(each, ModelGroup)}
        detail = f"no group serves the model {hint(key.name, models)}"
        yield Fault(key, (), Code.CONFIG_DANGLING_REFERENCE, detail)
        return
    members = [scene.endpoint(name) for each in groups for name in _members(scene, each)]
    if any(member is None for member in members):
        return
    for share in shares:
        states = {m.state for m in members if m is not None and m.provider == share.provider}
        if share.share > 0 and not states:
            detail = f"no endpoint of {key.name} has the provider {share.provider!r}"
            yield Fault(key, (share.provider,), Code.CONFIG_DANGLING_REFERENCE, detail)
        elif share.share > 0 and states == {EndpointState.LEAVING}:
            detail = (
                f"all endpoints of {share.provider!r} are leaving, yet it carries {share.share:g};"
                " give its share to another provider in the same step"
            )
            yield Fault(key, (share.provider,), Code.CONFIG_SHARES_DO_NOT_ADD_UP, detail)


def _members(scene: Scene, key: EntityKey) -> tuple[str, ...]:
    group = scene.get(key)
    return group.endpoints if isinstance(group, ModelGroup) else ()
