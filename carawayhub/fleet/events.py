"""Events that the configuration sync reports to the audit trail and the operators."""

from collections.abc import Callable
from dataclasses import dataclass

from carawayhub.errors import CarawayhubError
from carawayhub.fleet.manifest import VersionId


@dataclass(frozen=True, slots=True)
class VersionAccepted:
    """A version came into force; ``source`` is a peer's name or ``service``."""

    id: VersionId
    source: str
    files_fetched: int


@dataclass(frozen=True, slots=True)
class VersionRefused:
    """A version may not come into force; it is not fetched again."""

    id: VersionId
    source: str
    error: CarawayhubError


@dataclass(frozen=True, slots=True)
class VersionConflict:
    """One number has two contents; all processes end with the greater digest."""

    in_force: VersionId
    other: VersionId
    source: str


@dataclass(frozen=True, slots=True)
class ServiceStale:
    """The service serves a version older than the one in force."""

    in_force: VersionId
    served: VersionId


@dataclass(frozen=True, slots=True)
class FetchFailed:
    """A newer version could not be fetched from a source that has it."""

    id: VersionId
    source: str
    reason: str


SyncEvent = VersionAccepted | VersionRefused | VersionConflict | ServiceStale | FetchFailed
Report = Callable[[SyncEvent], None]


def ignore(event: SyncEvent) -> None:
    """Ignore an event."""
