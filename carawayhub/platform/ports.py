"""What the system reads of the users' platform; nothing is ever written to it."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class VmState(Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class PublishedManifest:
    """One published version: which files it has.

    Attributes:
        version: Its number.
        files: SHA-256 in lower-case hex of each file, by name.
    """

    version: int
    files: dict[str, str]


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """One VM of the platform's list."""

    name: str
    state: VmState
    failure_domain: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class VmList:
    """The platform's list of VMs, which lags behind the truth.

    Attributes:
        number: Number of this list; a later list has a greater one.
        vms: Its VMs.
    """

    number: int
    vms: tuple[ListedVm, ...]


class ConfigurationService(Protocol):
    """The read side of the platform's configuration service."""

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """Return the published version, at once or when one above ``after`` is published.

        Args:
            after: Version the caller has; 0 for none.
            wait: Seconds to wait for a newer one; 0 to answer at once.

        Raises:
            PlatformError: The service did not answer, or not with what can be read.
        """

    async def file(self, digest: str) -> bytes:
        """Return the content of the file with this SHA-256, checked.

        Raises:
            PlatformError: As above, or CONFIG_DIGEST_MISMATCH.
        """


class VmDirectory(Protocol):
    """The platform's lagging list of live and leaving VMs."""

    async def vms(self, after: int, wait: float) -> VmList:
        """Return the list, at once or when one numbered above ``after`` is published.

        Raises:
            PlatformError: The service did not answer, or not with what can be read.
        """
