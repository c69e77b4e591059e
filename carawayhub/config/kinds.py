"""The kinds of value that keys take."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Text:
    """A string, not empty; ``shared`` where many objects hold the same one."""

    shared: bool = False


@dataclass(frozen=True, slots=True)
class Number:
    """A number from ``low`` to ``high``, both included."""

    low: float
    high: float
    whole: bool = False


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
