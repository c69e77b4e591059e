"""Which objects of a configuration concern each other.

An index notes by name what each object uses or occupies: the endpoints and organisations it
refers to, its addresses, keys and routes, and its model. Objects that share such a mark are checked
against each other; after a change only those related to a changed object are checked again.
"""

from enum import Enum
from typing import NamedTuple
from urllib.parse import urlsplit

from carawayhub.config.model import Endpoint, EntryNode, ModelGroup, Organisation, Service
from carawayhub.config.schema import Entity
from carawayhub.config.syntax import EntityKey, Section


class MarkKind(Enum):
    """What a mark stands for."""

    ENDPOINT = "endpoint"
    ORGANISATION = "organisation"
    ADDRESS = "address"
    CREDENTIAL = "credential"
    ROUTE = "route"
    MODEL = "model"


class Mark(NamedTuple):
    """Something that several objects may refer to or occupy."""

    kind: MarkKind
    value: str


Owners = tuple[EntityKey, ...]


class Index:
    """Finds the objects that bear a mark."""

    __slots__ = ("_owners",)

    def __init__(self, owners: dict[MarkKind, dict[str, Owners]] | None = None) -> None:
        self._owners = owners or {kind: {} for kind in MarkKind}

    def copy(self) -> "Index":
        """Return an index that can be changed by itself."""
        return Index({kind: dict(owners) for kind, owners in self._owners.items()})

    def owners(self, kind: MarkKind, value: str) -> Owners:
        """Return the objects that bear a mark, in the order of their names."""
        return self._owners[kind].get(value, ())

    def add(self, key: EntityKey, entity: Entity) -> None:
        """Note the marks of an object."""
        for kind, value in marks(entity):
            held = self._owners[kind].get(value, ())
            if key not in held:
                self._owners[kind][value] = tuple(sorted((*held, key))) if held else (key,)

    def remove(self, key: EntityKey, entity: Entity) -> None:
        """Forget the marks of an object."""
        for kind, value in marks(entity):
            left = tuple(owner for owner in self._owners[kind].get(value, ()) if owner != key)
            if left:
                self._owners[kind][value] = left
            else:
                self._owners[kind].pop(value, None)

    def related(self, key: EntityKey, entity: Entity | None) -> set[EntityKey]:
        """Return the objects whose checks may turn out otherwise when this one changes."""
        found: set[EntityKey] = set()
        if entity is not None:
            for kind, value in marks(entity):
                if kind is not MarkKind.MODEL:
                    found.update(self.owners(kind, value))
        match key.section:
            case Section.ENDPOINTS:
                found.update(self.owners(MarkKind.ENDPOINT, key.name))
            case Section.ORGANISATIONS:
                found.update(self.owners(MarkKind.ORGANISATION, key.name))
        return found


def marks(entity: Entity) -> list[Mark]:
    """Return all marks that an object bears."""
    match entity:
        case Endpoint(url=url, agent=agent):
            return [Mark(MarkKind.ADDRESS, host_port(url)), Mark(MarkKind.ADDRESS, agent)]
        case EntryNode(address=address, peer_address=peer):
            return [Mark(MarkKind.ADDRESS, address), Mark(MarkKind.ADDRESS, peer)]
        case Organisation(key_digests=digests):
            return [Mark(MarkKind.CREDENTIAL, each) for each in digests]
        case ModelGroup(model=model):
            return [Mark(MarkKind.MODEL, model), *_references(entity)]
        case Service(routes=routes):
            paths = [Mark(MarkKind.ROUTE, f"{each.method} {each.path}") for each in routes]
            return [*paths, *_references(entity)]
        case _:
            return []


def host_port(url: str) -> str:
    """Return the ``ip:port`` of a base address."""
    return urlsplit(url).netloc


def _references(entity: ModelGroup | Service) -> list[Mark]:
    endpoints = [Mark(MarkKind.ENDPOINT, name) for name in entity.endpoints]
    return endpoints + [Mark(MarkKind.ORGANISATION, name) for name in entity.organisations]
