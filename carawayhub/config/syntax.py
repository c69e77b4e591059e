"""JSON with comments, read with the position of every value.

A file is read in two steps. ``outline`` checks the whole syntax and notes where each object of each
section lies in the bytes; ``decode`` turns one such object into nodes with lines. Only the outline
is kept, so a fleet of thousands of endpoints costs a few numbers for each in memory, and a change
decodes no more than the objects it touches.
"""

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

import tree_sitter_json
from tree_sitter import Language, Parser
from tree_sitter import Node as SyntaxNode

from carawayhub.codes import Code
from carawayhub.config.files import MAX_FILE_BYTES, ConfigFile
from carawayhub.config.problem import Problem
from carawayhub.config.spelling import hint

MAX_DEPTH = 16
WHOLE = ""

_LANGUAGE = Language(tree_sitter_json.language())


class Section(StrEnum):
    """The top-level keys."""

    FLEET = "fleet"
    ENTRIES = "entries"
    ENDPOINTS = "endpoints"
    ORGANISATIONS = "organisations"
    GROUPS = "groups"
    SERVICES = "services"
    SHARES = "shares"

    # That of Enum runs Python code at each look-up, which shows at thousands of files.
    __hash__ = str.__hash__


class EntityKey(NamedTuple):
    """Names one object of the configuration; the fleet's own object has the name ``WHOLE``."""

    section: Section
    name: str

    def path(self, *rest: str) -> str:
        """Return the dotted path of a key within the object."""
        return ".".join(part for part in (self.section.value, self.name, *rest) if part)


@dataclass(frozen=True, slots=True)
class Scalar:
    """A string, number, truth value or null, which removes what it is merged onto."""

    value: str | int | float | bool | None
    file: str
    line: int


@dataclass(frozen=True, slots=True)
class Array:
    """A list; merged as one value."""

    items: tuple["Node", ...]
    file: str
    line: int


@dataclass(frozen=True, slots=True)
class Object:
    """A mapping; merged key by key.

    Attributes:
        replaces: Whether nothing beneath shows through, because an earlier value was removed or was
            no mapping.
    """

    members: dict[str, "Node"]
    file: str
    line: int
    replaces: bool = False


Node = Scalar | Array | Object


class Span(NamedTuple):
    """Where an object lies in its file: bytes ``start`` to ``end``, first line counted from 1."""

    start: int
    end: int
    line: int


@dataclass(frozen=True, slots=True)
class Outline:
    """What a file holds, without the values.

    Attributes:
        file: The file.
        sections: Place of each object, by section and name.
        problems: Faults of syntax and of the two upper levels; with any, ``sections`` is partial.
    """

    file: ConfigFile
    sections: dict[Section, dict[str, Span]]
    problems: tuple[Problem, ...]

    def text(self, key: EntityKey) -> bytes | None:
        """Return the bytes of one object, or None where this file does not name it."""
        span = self.sections.get(key.section, {}).get(key.name)
        return None if span is None else self.file.content[span.start : span.end]


def outline(file: ConfigFile) -> Outline:
    """Check the syntax of a file and note where its objects lie."""
    problem = _unreadable(file)
    if problem is not None:
        return Outline(file, {}, (problem,))
    root = Parser(_LANGUAGE).parse(file.content).root_node
    problem = _malformed(file, root)
    if problem is not None:
        return Outline(file, {}, (problem,))
    return _Outliner(file).read(_values(root)[0])


def decode(held: Outline, key: EntityKey, problems: list[Problem]) -> Node | None:
    """Return one object of a file as nodes, or None where the file does not name it.

    A key that stands twice is added to ``problems``; the second one is then left out.
    """
    span = held.sections.get(key.section, {}).get(key.name)
    if span is None:
        return None
    text = held.file.content[span.start : span.end]
    root = Parser(_LANGUAGE).parse(text).root_node
    return _Decoder(held.file.name, text, span.line, problems).read(_values(root)[0], key.path())


def read_object(file: ConfigFile, problems: list[Problem]) -> Object | None:
    """Return the one object that a file of any other kind holds, None where it cannot be read.

    What is wrong with its syntax is added to ``problems``.
    """
    problem = _unreadable(file)
    if problem is None:
        root = Parser(_LANGUAGE).parse(file.content).root_node
        problem = _malformed(file, root)
    if problem is not None:
        problems.append(problem)
        return None
    read = _Decoder(file.name, file.content, 1, problems).read(_values(root)[0], "")
    return read if isinstance(read, Object) else None


def _unreadable(file: ConfigFile) -> Problem | None:
    if len(file.content) > MAX_FILE_BYTES:
        detail = f"it has {len(file.content)} bytes, more than {MAX_FILE_BYTES}"
        return Problem(file.name, 0, "", Code.CONFIG_FILE_TOO_LARGE, detail)
    try:
        file.content.decode("utf-8")
    except UnicodeDecodeError as exc:
        line = file.content.count(b"\n", 0, exc.start) + 1
        detail = f"byte {exc.start} is not UTF-8"
        return Problem(file.name, line, "", Code.CONFIG_FILE_UNREADABLE, detail)
    return None


def _malformed(file: ConfigFile, root: SyntaxNode) -> Problem | None:
    if root.has_error:
        spot = _first_error(root)
        row, column = spot.start_point
        detail = f"column {column + 1}: {_syntax_advice(spot, file.content)}"
        return Problem(file.name, row + 1, "", Code.CONFIG_SYNTAX, detail)
    values = _values(root)
    if len(values) != 1:
        line = values[1].start_point[0] + 1 if values else 1
        detail = f"it holds {len(values)} values; write one object, {{}} at the least"
        return Problem(file.name, line, "", Code.CONFIG_SYNTAX, detail)
    if values[0].type != "object":
        detail = f"it holds {_article(values[0].type)}; write one object"
        return Problem(file.name, _line(values[0]), "", Code.CONFIG_WRONG_TYPE, detail)
    return None


def _first_error(root: SyntaxNode) -> SyntaxNode:
    spot = root
    while not (spot.is_error or spot.is_missing):
        spot = next(child for child in spot.children if child.has_error)
    return spot


def _syntax_advice(spot: SyntaxNode, content: bytes) -> str:
    if spot.is_missing and spot.type in _PUNCTUATION:
        return f"{spot.type!r} is missing"
    if spot.is_missing:
        return "a value is missing, or the comma before it is too many"
    text = content[spot.start_byte : spot.end_byte].strip()
    if text == b",":
        return "this comma is too many"
    shown = text[:_MAX_SHOWN].decode(errors="replace")
    return f"{shown!r} cannot be read; look here for a missing bracket, quote or comma"


class _Outliner:
    """Collects the places of one file's objects and the faults of the levels above them."""

    __slots__ = ("_file", "_problems", "_sections")

    def __init__(self, file: ConfigFile) -> None:
        self._file = file
        self._sections: dict[Section, dict[str, Span]] = {}
        self._problems: list[Problem] = []

    def read(self, root: SyntaxNode) -> Outline:
        for pair in _pairs(root):
            self._read_section(pair)
        return Outline(self._file, self._sections, tuple(self._problems))

    def _read_section(self, pair: SyntaxNode) -> None:
        name, value = _key(pair, self._file.content), _value(pair)
        if name not in _SECTION_NAMES:
            self._add(pair, name, Code.CONFIG_UNKNOWN_KEY, hint(name, _SECTION_NAMES))
            return
        section = Section(name)
        if section in self._sections:
            self._add(pair, name, Code.CONFIG_DUPLICATE_KEY, "it stands earlier in this file too")
            return
        if value.type != "object":
            detail = f"it is {_article(value.type)}; write an object, and null for single names"
            self._add(pair, name, Code.CONFIG_WRONG_TYPE, detail)
            return
        self._sections[section] = {}
        if section is Section.FLEET:
            self._sections[section][WHOLE] = _span(value)
            return
        for inner in _pairs(value):
            self._read_entity(section, inner)

    def _read_entity(self, section: Section, pair: SyntaxNode) -> None:
        name = _key(pair, self._file.content)
        path = f"{section.value}.{name}"
        if not _is_name(name):
            detail = "a name has 1 to 100 letters, digits and . _ : / - and starts with no sign"
            self._add(pair, path, Code.CONFIG_VALUE_OUT_OF_RANGE, detail)
            return
        if name in self._sections[section]:
            self._add(pair, path, Code.CONFIG_DUPLICATE_KEY, "it stands earlier in this file too")
            return
        self._sections[section][name] = _span(_value(pair))

    def _add(self, node: SyntaxNode, path: str, code: Code, detail: str) -> None:
        self._problems.append(Problem(self._file.name, _line(node), path, code, detail))


class _Decoder:
    """Turns the syntax tree of one object into nodes."""

    __slots__ = ("_file", "_first_line", "_problems", "_text")

    def __init__(self, file: str, text: bytes, first_line: int, problems: list[Problem]) -> None:
        self._file = file
        self._text = text
        self._first_line = first_line
        self._problems = problems

    def read(self, node: SyntaxNode, path: str, depth: int = 0) -> Node:
        line = self._line(node)
        if depth > MAX_DEPTH:
            self._add(line, path, Code.CONFIG_WRONG_TYPE, f"it is nested over {MAX_DEPTH} deep")
            return Scalar(None, self._file, line)
        match node.type:
            case "object":
                return Object(self._members(node, path, depth), self._file, line)
            case "array":
                items = (
                    self.read(item, f"{path}[{place}]", depth + 1)
                    for place, item in enumerate(_values(node))
                )
                return Array(tuple(items), self._file, line)
            case _:
                return Scalar(self._scalar(node, path), self._file, line)

    def _members(self, node: SyntaxNode, path: str, depth: int) -> dict[str, Node]:
        members: dict[str, Node] = {}
        for pair in _pairs(node):
            name = _key(pair, self._text)
            inner = f"{path}.{name}" if path else name
            if name in members:
                detail = "it stands earlier in this object too"
                self._add(self._line(pair), inner, Code.CONFIG_DUPLICATE_KEY, detail)
                continue
            members[name] = self.read(_value(pair), inner, depth + 1)
        return members

    def _scalar(self, node: SyntaxNode, path: str) -> str | int | float | bool | None:
        raw = self._text[node.start_byte : node.end_byte]
        if node.type == "string" and b"\\" not in raw:
            return raw[1:-1].decode()
        try:
            value = json.loads(raw)
            if isinstance(value, str):
                value.encode()
        except (ValueError, UnicodeEncodeError):
            # A number of thousands of digits, or half of a surrogate pair: the grammar allows both,
            # but no value can be made of the one and no UTF-8 of the other.
            self._add(self._line(node), path, Code.CONFIG_SYNTAX, "this value cannot be read")
            return None
        return value

    def _line(self, node: SyntaxNode) -> int:
        return self._first_line + node.start_point[0]

    def _add(self, line: int, path: str, code: Code, detail: str) -> None:
        self._problems.append(Problem(self._file, line, path, code, detail))


_SECTION_NAMES = tuple(section.value for section in Section)
_NAME_SIGNS = frozenset("._:/-")
_MAX_NAME = 100
_PUNCTUATION = frozenset('{}[],:"')
_MAX_SHOWN = 20


def _is_name(name: str) -> bool:
    if not 0 < len(name) <= _MAX_NAME or not name.isascii() or not name[0].isalnum():
        return False
    return all(letter.isalnum() or letter in _NAME_SIGNS for letter in name)


def _pairs(node: SyntaxNode) -> list[SyntaxNode]:
    return [child for child in node.named_children if child.type == "pair"]


def _values(node: SyntaxNode) -> list[SyntaxNode]:
    return [child for child in node.named_children if child.type != "comment"]


def _key(pair: SyntaxNode, content: bytes) -> str:
    node = _values(pair)[0]
    raw = content[node.start_byte : node.end_byte]
    return raw[1:-1].decode() if b"\\" not in raw else str(json.loads(raw))


def _value(pair: SyntaxNode) -> SyntaxNode:
    return _values(pair)[1]


def _span(node: SyntaxNode) -> Span:
    return Span(node.start_byte, node.end_byte, _line(node))


def _line(node: SyntaxNode) -> int:
    return int(node.start_point[0]) + 1


def _article(kind: str) -> str:
    return f"an {kind}" if kind[0] in "ao" else f"a {kind}"
