"""The values that hold where the files give none."""

import dataclasses
from enum import Enum

from carawayhub.config.kinds import Field, Part
from carawayhub.config.model import (
    Endpoint,
    EntryNode,
    FleetOptions,
    Limits,
    ModelGroup,
    Organisation,
    Service,
)
from carawayhub.config.schema import FIELDS
from carawayhub.config.syntax import Section

_MODELS: dict[Section, type] = {
    Section.FLEET: FleetOptions,
    Section.ENTRIES: EntryNode,
    Section.ENDPOINTS: Endpoint,
    Section.ORGANISATIONS: Organisation,
    Section.GROUPS: ModelGroup,
    Section.SERVICES: Service,
}
_DERIVED = {
    (Section.ENTRIES, "vm"): "the name of the entry",
    (Section.ENDPOINTS, "vm"): "the name of the endpoint",
    (Section.GROUPS, "ranks"): "one for each endpoint",
}


def find_field(section: Section, path: tuple[str, ...]) -> Field | None:
    """Return the field that a path within an object names, or None where there is none."""
    fields = FIELDS.get(section, ())
    found: Field | None = None
    for part in path:
        found = next((field for field in fields if field.key == part), None)
        if found is None:
            return None
        fields = found.kind.fields if isinstance(found.kind, Part) else ()
    return found


def default(section: Section, path: tuple[str, ...]) -> object:
    """Return the default of a key as the files would write it, None where there is none."""
    field = find_field(section, path)
    if field is None or field.required:
        return None
    derived = _DERIVED.get((section, path[0]))
    if derived is not None:
        return derived
    model = Limits if path[0] == "limits" else _MODELS[section]
    held = {each.name: each.default for each in dataclasses.fields(model)}
    return _written(held.get(field.target))


def _written(value: object) -> object:
    if value is dataclasses.MISSING:
        return None
    if isinstance(value, Enum):
        return value.value
    return list(value) if isinstance(value, tuple) else value
