"""Interfaces of the fleet package to links, platform and configuration."""

from typing import Protocol

from carawayhub.config.files import ConfigFile
from carawayhub.fleet.messages import FilesReply, FilesRequest, ManifestReply, ManifestRequest


class FleetPeers(Protocol):
    """Calls to other processes; the adapter sets the timeouts."""

    async def manifest(self, peer: str, req: ManifestRequest) -> ManifestReply:
        """Request the changes from ``peer``.

        Raises:
            PeerError: The peer did not answer in time, or its answer is invalid.
        """

    async def files(self, peer: str, req: FilesRequest) -> FilesReply:
        """Request file contents from ``peer``.

        Raises:
            PeerError: See ``manifest``.
        """


class Acceptor(Protocol):
    """Decides whether a version may come into force, from its bytes alone."""

    async def accept(self, version: int, files: tuple[ConfigFile, ...]) -> None:
        """Check a version and put it in force.

        A large configuration takes long to check: run the check in a worker thread.

        Raises:
            ConfigError: CONFIG_OLDER_VERSION, CONFIG_VERSION_CONFLICT, or the reason for a refusal.
        """


class ServiceFiles(Protocol):
    """File contents from the platform's service."""

    async def file(self, digest: str) -> bytes:
        """Return the content of the file with this SHA-256.

        Raises:
            PlatformError: The service did not answer, or the content does not match.
        """
