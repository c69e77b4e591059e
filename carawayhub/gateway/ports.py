"""Interfaces through which the gateway reads the published state of the fleet."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from carawayhub.gateway.model import Endpoint, RouteTable
from carawayhub.gateway.revision import Eras, Revision


@dataclass(frozen=True, slots=True)
class TablePublished:
    """A configuration was published.

    Attributes:
        table: Routes, services and keys of the configuration.
    """

    table: RouteTable


@dataclass(frozen=True, slots=True)
class EndpointPublished:
    """An endpoint registered or changed its state."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """The registration of an endpoint was removed.

    Attributes:
        replica: ID of the replica.
    """

    replica: str


@dataclass(frozen=True, slots=True)
class EndpointUnreadable:
    """The registration of an endpoint is malformed, so the endpoint can't be used.

    Attributes:
        replica: ID under which it was registered.
        problem: Description of the error.
        revision: Revision at which it was written.
    """

    replica: str
    problem: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class DomainEvacuated:
    """Operators requested that the endpoints of a failure domain get no more requests.

    Attributes:
        domain: The failure domain.
        revision: Revision at which the request was written.
    """

    domain: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class EvacuationEnded:
    """Operators withdrew the evacuation of a failure domain.

    Attributes:
        domain: The failure domain.
    """

    domain: str


Change = (
    TablePublished
    | EndpointPublished
    | EndpointRemoved
    | EndpointUnreadable
    | DomainEvacuated
    | EvacuationEnded
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Published:
    """Content read from the published state.

    Attributes:
        revision: Revision up to which the content is complete.
        changes: Changes, oldest first; for a snapshot, the complete content.
        unreadable: Configurations that couldn't be decoded; the last valid one stays active.
    """

    revision: Revision
    changes: tuple[Change, ...]
    unreadable: tuple[str, ...] = ()


class Source(Enum):
    """Source of published content."""

    LISTING = "listing"
    WATCH = "watch"
    READ = "read"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class ForwardedContent:
    """Published content that a peer forwarded.

    Attributes:
        published: The content.
        whole: Whether it is a snapshot of everything that is published.
    """

    published: Published
    whole: bool


@dataclass(frozen=True, slots=True)
class ReloadableSettings:
    """Settings that can change while an entry runs.

    Attributes:
        seeds: IP addresses of entries that may be running.
        lifted: Fingerprints of requests or parts of prompts that an operator allows again.
    """

    seeds: frozenset[str]
    lifted: frozenset[bytes] = frozenset()


class Mirror(Protocol):
    """Local copy of the published state, in the form in which entries forward it.

    Attributes:
        revision: Revision up to which the copy is complete.
        version: Version of its configuration, -1 if it has none.
    """

    revision: Revision
    version: int

    def encode_after(self, revision: Revision, version: int = -1) -> bytes | None:
        """Return the encoded content after a revision, None if there is none or it is too large.

        Args:
            revision: Revision that the receiver knows.
            version: Version of the configuration that it knows, -1 for none.
        """

    def take(self, data: bytes) -> ForwardedContent | None:
        """Apply content from a peer and return it, or None if none of it is new.

        Raises:
            PlatformError: PLATFORM_MALFORMED.
        """


class PublishedState(Protocol):
    """Read access to the state that operators and endpoints publish."""

    @property
    def mirror(self) -> Mirror:
        """Local copy of what has been read so far."""

    @property
    def eras(self) -> Eras:
        """Which era of the state is believed; content of others is not returned."""

    async def snapshot(self) -> Published:
        """Return everything that is published.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def changes(self, after: Revision, wait: float) -> Published | None:
        """Return the changes after a revision, waiting for one if there are none yet.

        Args:
            after: Last known revision.
            wait: Maximum time in seconds to wait for a change.

        Returns:
            The changes, or None if the history does not have that revision: it no longer reaches
            back to it, or the state is in another era.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def revision(self) -> Revision:
        """Return the newest revision, which was current at some time during the call.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """

    async def check_reachable(self) -> None:
        """Check whether the state can be read, at a fraction of the cost of a read.

        Raises:
            PlatformError: PLATFORM_UNREACHABLE.
        """
