"""The kinds of value that keys take, and how a node is checked against each.

``Reader.read`` returns the checked value, or None after noting what is wrong with it.
"""

import math
import re
import sys
from dataclasses import dataclass
from datetime import datetime
from enum import Enum
from ipaddress import ip_address
from urllib.parse import urlsplit

from carawayhub.codes import Code
from carawayhub.config.problem import Problem
from carawayhub.config.spelling import hint
from carawayhub.config.syntax import Array, Node, Object, Scalar

MAX_TEXT = 200


@dataclass(frozen=True, slots=True)
class Text:
    """A string, not empty; ``shared`` where many objects hold the same one."""

    shared: bool = False


@dataclass(frozen=True, slots=True)
class Number:
    """A number from ``low`` to ``high``, both included; ``above`` leaves ``low`` out."""

    low: float
    high: float
    whole: bool = False
    above: bool = False


@dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""


@dataclass(frozen=True, slots=True)
class Choice:
    """One of the values of an enumeration."""

    options: tuple[Enum, ...]


@dataclass(frozen=True, slots=True)
class Address:
    """``ip:port``."""


@dataclass(frozen=True, slots=True)
class Url:
    """``http://ip:port`` with an optional path."""


@dataclass(frozen=True, slots=True)
class Instant:
    """A wall time such as ``2027-01-10T08:00:00Z``, read as seconds since 1970."""


@dataclass(frozen=True, slots=True)
class Credential:
    """``sha256:`` and the 64 hex digits of a key's digest."""


@dataclass(frozen=True, slots=True)
class Method:
    """An HTTP method in capitals, or ``*``."""


@dataclass(frozen=True, slots=True)
class RoutePath:
    """A path that begins with ``/`` and may end in ``*``."""


@dataclass(frozen=True, slots=True)
class Many:
    """A list of one kind, with at least ``least`` items; ``distinct`` refuses a repeated one."""

    item: "Kind"
    least: int = 0
    distinct: bool = True


@dataclass(frozen=True, slots=True)
class Part:
    """An object within an object."""

    fields: tuple["Field", ...]


Kind = (
    Text
    | Number
    | Flag
    | Choice
    | Address
    | Url
    | Instant
    | Credential
    | Method
    | RoutePath
    | Many
    | Part
)


@dataclass(frozen=True, slots=True)
class Field:
    """A key of an object.

    Attributes:
        key: The key as the files spell it.
        kind: What value it takes.
        attr: Name of the value in the typed configuration; empty where it is the key.
        required: Whether it must be given.
    """

    key: str
    kind: Kind
    attr: str = ""
    required: bool = False

    @property
    def target(self) -> str:
        """The name under which the value is returned."""
        return self.attr or self.key


class Reader:
    """Checks nodes and notes what is wrong with them."""

    __slots__ = ("problems",)

    def __init__(self, problems: list[Problem]) -> None:
        self.problems = problems

    def read_object(
        self, node: Node, fields: tuple[Field, ...], path: str
    ) -> dict[str, object] | None:
        """Return the values of an object by target name, or None where any is at fault."""
        if not isinstance(node, Object):
            self._wrong(node, path, "an object")
            return None
        before = len(self.problems)
        known = {field.key for field in fields}
        for key, member in node.members.items():
            if key not in known:
                self._add(member, f"{path}.{key}", Code.CONFIG_UNKNOWN_KEY, hint(key, known))
        values: dict[str, object] = {}
        for field in fields:
            held = node.members.get(field.key)
            if held is not None:
                values[field.target] = self.read(held, field.kind, f"{path}.{field.key}")
            elif field.required:
                self._add(node, f"{path}.{field.key}", Code.CONFIG_MISSING_KEY, "it must be given")
        return values if len(self.problems) == before else None

    def read(self, node: Node, kind: Kind, path: str) -> object:
        """Return the checked value of a node, or None where it is at fault."""
        match kind:
            case Part(fields=fields):
                return self.read_object(node, fields, path)
            case Many():
                return self._many(node, kind, path)
            case Number():
                return self._number(node, kind, path)
            case Flag():
                return self._flag(node, path)
            case _:
                return self._string(node, kind, path)

    def _many(self, node: Node, kind: Many, path: str) -> object:
        if not isinstance(node, Array):
            self._wrong(node, path, "a list")
            return None
        if len(node.items) < kind.least:
            detail = f"the list has {len(node.items)} items, at least {kind.least} are needed"
            self._range(node, path, detail)
            return None
        found: list[object] = []
        for place, item in enumerate(node.items):
            value = self.read(item, kind.item, f"{path}[{place}]")
            if kind.distinct and value is not None and value in found:
                detail = f"the list names {value!r} twice"
                self._add(item, f"{path}[{place}]", Code.CONFIG_DUPLICATE_KEY, detail)
                continue
            found.append(value)
        return tuple(found)

    def _number(self, node: Node, kind: Number, path: str) -> object:
        value = node.value if isinstance(node, Scalar) else None
        if isinstance(value, bool) or not isinstance(value, int | float):
            self._wrong(node, path, "a whole number" if kind.whole else "a number")
            return None
        if kind.whole and not isinstance(value, int):
            self._wrong(node, path, "a whole number")
            return None
        low_holds = value > kind.low if kind.above else value >= kind.low
        if not low_holds or not value <= kind.high:
            start = "above" if kind.above else "from"
            detail = f"{value!r} is not {start} {kind.low:g} to {kind.high:g}"
            self._range(node, path, detail)
            return None
        return value if kind.whole else float(value)

    def _flag(self, node: Node, path: str) -> object:
        if isinstance(node, Scalar) and isinstance(node.value, bool):
            return node.value
        self._wrong(node, path, "true or false")
        return None

    def _string(self, node: Node, kind: Kind, path: str) -> object:
        text = node.value if isinstance(node, Scalar) else None
        if not isinstance(text, str):
            self._wrong(node, path, "a string")
            return None
        if not 0 < len(text) <= MAX_TEXT or not text.isprintable():
            self._range(node, path, f"write 1 to {MAX_TEXT} printable letters")
            return None
        try:
            return _parse(text, kind)
        except ValueError as exc:
            self._range(node, path, f"{text!r} {exc}")
            return None

    def _wrong(self, node: Node, path: str, wanted: str) -> None:
        self._add(node, path, Code.CONFIG_WRONG_TYPE, f"it is {_describe(node)}; write {wanted}")

    def _range(self, node: Node, path: str, detail: str) -> None:
        self._add(node, path, Code.CONFIG_VALUE_OUT_OF_RANGE, detail)

    def _add(self, node: Node, path: str, code: Code, detail: str) -> None:
        self.problems.append(Problem(node.file, node.line, path, code, detail))


_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "*")
_HEX = re.compile(r"sha256:([0-9a-f]{64})")
_MAX_PORT = 65_535


def _parse(text: str, kind: Kind) -> object:
    """Return the value that a string gives, or raise ValueError saying what is wanted."""
    match kind:
        case Text(shared=shared):
            return sys.intern(text) if shared else text
        case Choice(options=options):
            return _option(text, options)
        case Address():
            return _address(text)
        case Url():
            return _url(text)
        case Instant():
            return _instant(text)
        case Credential():
            return _credential(text)
        case Method():
            return _one_of(text, _METHODS)
        case RoutePath():
            return _route_path(text)
        case _:
            raise TypeError(f"{kind} is no kind of string")


def _option(text: str, options: tuple[Enum, ...]) -> Enum:
    for option in options:
        if option.value == text:
            return option
    raise ValueError(f"is not one of {', '.join(str(option.value) for option in options)}")


def _one_of(text: str, known: tuple[str, ...]) -> str:
    if text not in known:
        raise ValueError(f"is not one of {', '.join(known)}")
    return sys.intern(text)


def _address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not colon or not port.isascii() or not port.isdecimal() or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("is no ip:port, for example 10.0.0.1:7000")
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    try:
        number = ip_address(bare)
    except ValueError:
        raise ValueError("is no ip:port; write an IP number, names are not looked up") from None
    if (number.version == 6) != (bare != host):
        raise ValueError("is no ip:port; write an IPv6 number in brackets, for example [::1]:7000")
    return text


def _url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or parts.query or parts.fragment or parts.username:
        raise ValueError("is no base address, for example http://10.0.0.1:8000")
    _address(parts.netloc)
    return text.rstrip("/")


def _instant(text: str) -> float:
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        raise ValueError("is no time such as 2027-01-10T08:00:00Z") from None
    if moment.tzinfo is None:
        raise ValueError("names no time zone; end it with Z or an offset")
    seconds = moment.timestamp()
    if not math.isfinite(seconds) or seconds <= 0:
        raise ValueError("lies before 1970")
    return seconds


def _credential(text: str) -> str:
    found = _HEX.fullmatch(text)
    if found is None:
        raise ValueError("is not sha256: and 64 lower-case hex digits; give the digest of the key")
    return found[1]


def _route_path(text: str) -> str:
    if not text.startswith("/") or "*" in text[:-1] or "?" in text or " " in text:
        raise ValueError("is no path such as /v1/bookings or /v1/lookup/*")
    return text


def _describe(node: Node) -> str:
    match node:
        case Object():
            return "an object"
        case Array():
            return "a list"
        case Scalar(value=None):
            return "null"
        case Scalar(value=bool() as value):
            return str(value).lower()
        case Scalar(value=str() as value):
            return f"the string {value[:40]!r}"
        case Scalar(value=value):
            return f"the number {value}"
