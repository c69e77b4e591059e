"""What the gateway asks of the outside: the published state of the fleet."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from carawayhub.gateway.model import Endpoint, RouteTable


@dataclass(frozen=True, slots=True)
class TablePublished:
    """A configuration was published.

    Attributes:
        table: Its routes, services and keys.
    """

    table: RouteTable


@dataclass(frozen=True, slots=True)
class EndpointPublished:
    """An endpoint registered itself or changed its state."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """The entry of an endpoint was removed.

    Attributes:
        replica: Id of the replica.
    """

    replica: str


@dataclass(frozen=True, slots=True)
class EndpointUnreadable:
    """The entry of an endpoint cannot be read, so it names none that may be used.

    Attributes:
        replica: Id under which it stands.
        problem: What is wrong with it.
        revision: Revision at which it was written.
    """

    replica: str
    problem: str
    revision: int


Change = TablePublished | EndpointPublished | EndpointRemoved | EndpointUnreadable


@dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """An answer of the published state.

    Attributes:
        revision: Everything up to this revision is known with this answer.
        changes: What changed, oldest first; for a snapshot, all that there is.
        unreadable: Configurations that could not be decoded; the last readable one holds.
    """

    revision: int
    changes: tuple[Change, ...]
    unreadable: tuple[str, ...] = ()


class Source(Enum):
    """Where content came from."""

    LISTING = "listing"
    WATCH = "watch"
    READ = "read"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class ForwardedContent:
    """Published content that a peer handed on.

    Attributes:
        published: The content.
        whole: Whether it is all that is published, as a snapshot is.
    """

    published: Published
    whole: bool


class Mirror(Protocol):
    """What was read of the published state, as it is handed on among entries.

    Attributes:
        revision: Everything up to it is known.
    """

    revision: int

    def encode_after(self, revision: int) -> bytes | None:
        """Return what is known beyond a revision, None where nothing is or it is too much."""

    def take(self, data: bytes) -> ForwardedContent | None:
        """Take in what a peer told; return it, None where nothing of it is new.

        Raises:
            PlatformError: PLATFORM_MALFORMED.
        """


class PublishedState(Protocol):
    """The read side of what operators and endpoints publish."""

    @property
    def mirror(self) -> Mirror:
        """What was read so far."""

    async def snapshot(self) -> Published:
        """Return all that is published.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def changes(self, after: int, wait: float) -> Published | None:
        """Return what changed after a revision, at once or when something has.

        Args:
            after: Revision that the caller knows.
            wait: Seconds to wait for a change.

        Returns:
            The changes, None where the history no longer reaches back to that revision.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def revision(self) -> int:
        """Return the newest revision, confirmed to be the newest at some time during the call.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def check_reachable(self) -> None:
        """See whether the state can be read at all, at a fraction of a read's price.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """
