"""Checks the files of a version and builds the configuration that they make.

Whether a version is accepted is a pure function of the names and bytes of its files, so all
processes decide alike. ``build`` may start from an earlier accepted build: it then merges and
checks only the objects whose text has changed and those related to them, with the same result.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from typing import Any

from carawayhub.codes import Code
from carawayhub.config.files import ConfigFile, digest
from carawayhub.config.merge import finished, merge
from carawayhub.config.model import Configuration, FleetOptions, ModelGroup
from carawayhub.config.problem import ConfigRefusedError, Problem
from carawayhub.config.references import Fault, Scene, entry_fault, faults
from carawayhub.config.relations import Index
from carawayhub.config.schema import Entity, read_entity
from carawayhub.config.syntax import (
    WHOLE,
    Array,
    EntityKey,
    Node,
    Object,
    Outline,
    Section,
    decode,
    outline,
)


@dataclass(frozen=True, slots=True)
class Build:
    """What the files of a version make.

    Attributes:
        outlines: The files in the order of their names.
        scene: All objects; partial where there are problems.
        problems: All that is wrong, in the order of files and lines.
    """

    outlines: dict[str, Outline]
    scene: Scene
    problems: tuple[Problem, ...]

    def configuration(self, version: int, total: str) -> Configuration:
        """Return the typed configuration of a build without problems."""
        entities: dict[Section, dict[str, Any]] = self.scene.entities
        return Configuration(
            version=version,
            digest=total,
            fleet=entities[Section.FLEET].get(WHOLE) or FleetOptions(),
            entries=entities[Section.ENTRIES],
            endpoints=entities[Section.ENDPOINTS],
            organisations=entities[Section.ORGANISATIONS],
            groups=entities[Section.GROUPS],
            services=entities[Section.SERVICES],
            shares=entities[Section.SHARES],
        )


def load(files: tuple[ConfigFile, ...], version: int) -> Configuration:
    """Return the configuration that the files make.

    Raises:
        ConfigRefusedError: With all problems, where there are any.
    """
    made = build(files)
    if made.problems:
        raise ConfigRefusedError(made.problems)
    return made.configuration(version, digest(files))


def build(files: tuple[ConfigFile, ...], base: Build | None = None) -> Build:
    """Check and merge the files; ``base`` is an earlier build that may be reused in part."""
    if base is not None and base.problems:
        base = None
    outlines = _outlines(files, base)
    problems = [problem for held in outlines.values() for problem in held.problems]
    problems += _file_problems(files)
    if problems:
        # Without these files' objects, what refers to them would seem to lead nowhere.
        return Build(outlines, _empty_scene(), tuple(sorted(problems)))
    return _Builder(outlines, base).run()


def fold(
    held: Iterable[Outline], key: EntityKey, problems: list[Problem] | None = None
) -> Node | None:
    """Return one object merged over files in their order, or None where there is none left."""
    noted: list[Problem] = [] if problems is None else problems
    merged: Node | None = None
    for each in held:
        node = decode(each, key, noted)
        if node is None:
            continue
        if finished(node) is None and (merged is None or finished(merged) is None):
            detail = f"null removes {key.path()}, but no file before this one declares it"
            code = Code.CONFIG_DANGLING_REFERENCE
            noted.append(Problem(node.file, node.line, key.path(), code, detail))
        merged = merge(merged, node)
    return None if merged is None else finished(merged)


class _Builder:
    """One run of ``build`` over files without faults of syntax."""

    __slots__ = ("_base", "_broken", "_entities", "_index", "_outlines", "_problems")

    def __init__(self, outlines: dict[str, Outline], base: Build | None) -> None:
        self._outlines = outlines
        self._base = base
        scene = _empty_scene() if base is None else base.scene
        self._entities = {section: dict(held) for section, held in scene.entities.items()}
        self._index = scene.index.copy()
        self._broken: set[EntityKey] = set()
        self._problems: list[Problem] = []

    def run(self) -> Build:
        touched = _touched(self._outlines, {} if self._base is None else self._base.outlines)
        concerned = set(touched)
        for key, held in sources(self._outlines, touched).items():
            concerned |= self._replace(key, held)
        scene = Scene(self._entities, frozenset(self._broken), self._index)
        for key in concerned | self._shares_of(concerned):
            self._problems += [self._located(fault) for fault in faults(scene, key)]
        fault = entry_fault(scene)
        if fault is not None:
            self._problems.append(self._located(fault))
        return Build(self._outlines, scene, tuple(sorted(set(self._problems))))

    def _replace(self, key: EntityKey, sources: list[Outline]) -> set[EntityKey]:
        """Put one object in its new form and return those that are related to either form."""
        held = self._entities[key.section]
        before = held.pop(key.name, None)
        concerned = self._index.related(key, before)
        if before is not None:
            self._index.remove(key, before)
            concerned |= self._shares_of_models(before)
        node = fold(sources, key, self._problems)
        if node is None:
            return concerned
        entity = read_entity(key, node, self._problems)
        if entity is None:
            self._broken.add(key)
            return concerned
        held[key.name] = entity
        self._index.add(key, entity)
        return concerned | self._index.related(key, entity)

    def _shares_of(self, keys: set[EntityKey]) -> set[EntityKey]:
        found: set[EntityKey] = set()
        for key in keys:
            entity = self._entities[key.section].get(key.name)
            if entity is not None:
                found |= self._shares_of_models(entity)
        return found

    def _shares_of_models(self, entity: Entity) -> set[EntityKey]:
        if not isinstance(entity, ModelGroup):
            return set()
        return {EntityKey(Section.SHARES, entity.model)}

    def _located(self, fault: Fault) -> Problem:
        file, line = _place(self._outlines, fault)
        return Problem(file, line, fault.key.path(*fault.rest), fault.code, fault.detail)


def _outlines(files: tuple[ConfigFile, ...], base: Build | None) -> dict[str, Outline]:
    known = {} if base is None else base.outlines
    found: dict[str, Outline] = {}
    for file in sorted(files, key=attrgetter("name")):
        held = known.get(file.name)
        if held is None or not (held.file is file or held.file.mark == file.mark):
            held = outline(file)
        found[file.name] = held
    return found


def _file_problems(files: tuple[ConfigFile, ...]) -> list[Problem]:
    if not files:
        return [Problem("", 0, "", Code.CONFIG_NO_FILES, "the version has no files")]
    counts = Counter(file.name for file in files)
    if len(counts) == len(files):
        return []
    code, detail = Code.CONFIG_FILE_UNREADABLE, "two files have this name"
    return [Problem(name, 0, "", code, detail) for name, count in counts.items() if count > 1]


def _touched(new: dict[str, Outline], old: dict[str, Outline]) -> set[EntityKey]:
    """Return the objects whose text differs in any file."""
    touched: set[EntityKey] = set()
    changed = [name for name, held in new.items() if old.get(name) is not held]
    for name in (*changed, *(old.keys() - new.keys())):
        held, before = new.get(name), old.get(name)
        for key in _keys(held) | _keys(before):
            if _text(held, key) != _text(before, key):
                touched.add(key)
    return touched


def sources(outlines: dict[str, Outline], wanted: set[EntityKey]) -> dict[EntityKey, list[Outline]]:
    """Return which files name each object, in their order."""
    names: dict[Section, set[str]] = {}
    for section, name in wanted:
        names.setdefault(section, set()).add(name)
    found: dict[EntityKey, list[Outline]] = {key: [] for key in sorted(wanted)}
    for held in outlines.values():
        for section, sought in names.items():
            spans = held.sections.get(section)
            if spans is None:
                continue
            # The intersection walks the smaller side, so a small step stays cheap.
            for name in spans.keys() & sought:
                found[EntityKey(section, name)].append(held)
    return found


def _keys(held: Outline | None) -> set[EntityKey]:
    if held is None:
        return set()
    return {EntityKey(section, name) for section, names in held.sections.items() for name in names}


def _text(held: Outline | None, key: EntityKey) -> bytes | None:
    return None if held is None else held.text(key)


def _place(outlines: dict[str, Outline], fault: Fault) -> tuple[str, int]:
    """Return file and line of the value that a fault names, or of the nearest one around it."""
    node = fold(outlines.values(), fault.key)
    if node is None:
        return next(reversed(outlines)), 0
    for part in fault.rest:
        name, _, place = part.partition("[")
        inner = node.members.get(name) if isinstance(node, Object) else None
        if inner is None:
            break
        node = inner
        if place and isinstance(node, Array):
            node = node.items[int(place.rstrip("]"))]
    return node.file, node.line


def _empty_scene() -> Scene:
    return Scene({section: {} for section in Section}, frozenset(), Index())
