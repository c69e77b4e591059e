"""Interfaces to the users' platform; the system only reads from it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class VmState(Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedManifest:
    """Manifest of one published version.

    Attributes:
        version: Number of the version.
        files: SHA-256 in lower-case hex of each file, by name.
    """

    version: int
    files: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """One VM in the platform's list."""

    name: str
    state: VmState
    failure_domain: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class VmList:
    """The platform's list of VMs, which lags behind their actual state.

    Attributes:
        number: Number of this list; a later list has a higher one.
        vms: The listed VMs.
    """

    number: int
    vms: tuple[ListedVm, ...]


class ConfigurationService(Protocol):
    """The read side of the platform's configuration service."""

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """Return the published version, at once or when one above ``after`` is published.

        Args:
            after: Version that the caller has; 0 for none.
            wait: Seconds to wait for a newer one; 0 to answer at once.

        Raises:
            PlatformError: The service did not answer, or its answer cannot be decoded.
        """

    async def file(self, digest: str) -> bytes:
        """Return the content of the file with this SHA-256, after checking the digest.

        Raises:
            PlatformError: As above, or CONFIG_DIGEST_MISMATCH.
        """


class VmDirectory(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def vms(self, after: int, wait: float) -> VmList:
        """Return the list, at once or when one numbered above ``after`` is published.

        Raises:
            PlatformError: The service did not answer, or its answer cannot be decoded.
        """
