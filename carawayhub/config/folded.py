"""The merged result of all files as plain values, which make one file with the same meaning."""

from carawayhub.config.check import Build, fold, sources
from carawayhub.config.merge import plain
from carawayhub.config.syntax import WHOLE, EntityKey, Section


def folded(made: Build) -> dict[str, dict[str, object]]:
    """Return what the files make, by section and name; defaults are left out."""
    result: dict[str, dict[str, object]] = {}
    for key, held in sources(made.outlines, _keys(made)).items():
        node = fold(held, key)
        if node is None:
            continue
        value = plain(node)
        if key.name == WHOLE and isinstance(value, dict):
            result[key.section.value] = value
            continue
        result.setdefault(key.section.value, {})[key.name] = value
    return result


def _keys(made: Build) -> set[EntityKey]:
    return {
        EntityKey(section, name)
        for held in made.outlines.values()
        for section in Section
        for name in held.sections.get(section, ())
    }
