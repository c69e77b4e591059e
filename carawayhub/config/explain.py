"""Tells which file set a value, at which line, and which earlier ones it overrode."""

from collections.abc import Iterator
from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.config.check import build, fold
from carawayhub.config.defaults import default, find_field
from carawayhub.config.files import ConfigFile
from carawayhub.config.merge import plain
from carawayhub.config.problem import ConfigRefusedError
from carawayhub.config.schema import FIELDS
from carawayhub.config.spelling import hint
from carawayhub.config.syntax import (
    WHOLE,
    EntityKey,
    Node,
    Object,
    Outline,
    Section,
    decode,
)
from carawayhub.errors import ConfigError

Path = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Setting:
    """What one file says of a key.

    Attributes:
        file: Name of the file.
        line: Line of the value.
        value: The value as plain data; None removes what earlier files set.
    """

    file: str
    line: int
    value: object


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where the value of one key comes from.

    Attributes:
        key: Dotted path of the key.
        value: The value in force, None where there is none.
        is_default: Whether that is the value that holds where no file sets the key.
        settings: What files say of it, in their order; the last one decides.
    """

    key: str
    value: object
    is_default: bool
    settings: tuple[Setting, ...]


def explain(files: tuple[ConfigFile, ...], key: str) -> tuple[Explanation, ...]:
    """Explain a key, or each key of an object or of a section.

    Example:
        ``explain(read_folder("examples/le-goff"), "endpoints.brest-1.state")``

    Raises:
        ConfigRefusedError: A file cannot be read as JSON with comments.
        ConfigError: CONFIG_UNKNOWN_KEY, where there is no such key.
    """
    outlines = build(files).outlines
    problems = [problem for held in outlines.values() for problem in held.problems]
    if problems:
        raise ConfigRefusedError(tuple(problems))
    found = tuple(
        _explanation(outlines, entity, path)
        for entity, rest in _resolve(outlines, key)
        for path in _paths(outlines, entity, rest)
    )
    if not found:
        raise _unknown(key)
    return found


def _resolve(outlines: dict[str, Outline], key: str) -> list[tuple[EntityKey, Path]]:
    """Return the objects that a dotted path may mean, with the rest of the path."""
    first, _, rest = key.partition(".")
    known = [section.value for section in Section]
    if first not in known:
        raise ConfigError(Code.CONFIG_UNKNOWN_KEY, hint(first, known))
    section = Section(first)
    if section is Section.FLEET:
        return [(EntityKey(section, WHOLE), _split(rest))]
    names = sorted({name for held in outlines.values() for name in held.sections.get(section, ())})
    if not rest:
        return [(EntityKey(section, name), ()) for name in names]
    # Names may hold dots themselves, as those of models do; the longest that fits is meant.
    fitting = [name for name in names if rest == name or rest.startswith(f"{name}.")]
    if not fitting:
        raise ConfigError(Code.CONFIG_UNKNOWN_KEY, f"in {first} there is no {hint(rest, names)}")
    name = max(fitting, key=len)
    return [(EntityKey(section, name), _split(rest[len(name) + 1 :]))]


def _unknown(key: str) -> ConfigError:
    section, _, name = key.partition(".")
    fields = FIELDS.get(Section(section), ())
    meant = hint(name.rpartition(".")[2], (field.key for field in fields))
    detail = f"{key} is set by no file and has no default: {meant}"
    return ConfigError(Code.CONFIG_UNKNOWN_KEY, detail)


def _split(rest: str) -> Path:
    return tuple(rest.split(".")) if rest else ()


def _paths(outlines: dict[str, Outline], entity: EntityKey, rest: Path) -> list[Path]:
    """Return the paths of all values at or below ``rest``, or ``rest`` where it has a default."""
    found: dict[Path, None] = {}
    for node in _nodes(outlines, entity):
        found.update(dict.fromkeys(path for path in _leaves(node) if path[: len(rest)] == rest))
    # A path whose object another file sets key by key is not itself a value.
    inner = {path[:size] for path in found for size in range(len(path))}
    values = [path for path in found if path not in inner]
    if not values and rest and find_field(entity.section, rest) is not None:
        return [rest]
    return sorted(values)


def _leaves(node: Node, path: Path = ()) -> Iterator[Path]:
    if not isinstance(node, Object) or not node.members:
        yield path
        return
    for name, member in node.members.items():
        yield from _leaves(member, (*path, name))


def _explanation(outlines: dict[str, Outline], entity: EntityKey, path: Path) -> Explanation:
    settings = tuple(
        Setting(node.file, node.line, plain(node))
        for node in (_at(whole, path) for whole in _nodes(outlines, entity))
        if node is not None
    )
    value = settings[-1].value if settings else None
    if value is not None or not _exists(outlines, entity):
        return Explanation(entity.path(*path), value, False, settings)
    value = default(entity.section, path)
    return Explanation(entity.path(*path), value, value is not None, settings)


def _exists(outlines: dict[str, Outline], entity: EntityKey) -> bool:
    return entity.section is Section.FLEET or fold(outlines.values(), entity) is not None


def _nodes(outlines: dict[str, Outline], entity: EntityKey) -> list[Node]:
    nodes = (decode(held, entity, []) for held in outlines.values())
    return [node for node in nodes if node is not None]


def _at(node: Node, path: Path) -> Node | None:
    """Return what a file's node says of a path: the value there, or what replaced its object."""
    for part in path:
        if not isinstance(node, Object):
            return node
        if part not in node.members:
            return None
        node = node.members[part]
    return node
