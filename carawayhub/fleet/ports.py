"""What the fleet's code needs from links, platform and configuration."""

from typing import Protocol

from carawayhub.config.files import ConfigFile
from carawayhub.fleet.messages import FilesReply, FilesRequest, ManifestReply, ManifestRequest


class FleetPeers(Protocol):
    """Calls to other processes, each under the adapter's own timeout."""

    async def manifest(self, peer: str, req: ManifestRequest) -> ManifestReply:
        """Ask ``peer`` for what changed.

        Raises:
            PeerError: The peer did not answer in time, or not with what can be read.
        """

    async def files(self, peer: str, req: FilesRequest) -> FilesReply:
        """Ask ``peer`` for file contents.

        Raises:
            PeerError: As above.
        """


class Acceptor(Protocol):
    """Decides whether a version may come into force, from its bytes alone."""

    async def accept(self, version: int, files: tuple[ConfigFile, ...]) -> None:
        """Check a version and put it in force.

        A large configuration takes long to check: run the check in a worker thread.

        Raises:
            ConfigError: CONFIG_OLDER_VERSION, CONFIG_VERSION_CONFLICT, or why it is refused.
        """


class ServiceFiles(Protocol):
    """Contents from the platform's service."""

    async def file(self, digest: str) -> bytes:
        """Return the content of the file with this SHA-256.

        Raises:
            PlatformError: The service did not answer, or the content does not match.
        """
