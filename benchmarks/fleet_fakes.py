"""Fakes for the fleet's ports: a service, calls between processes of one test, and an acceptor.

They serve the tests and the measurements. The code behind the ports is the product's own.
"""

import hashlib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.files import ConfigFile
from carawayhub.errors import ConfigError, PeerError, PlatformError
from carawayhub.fleet.messages import FilesReply, FilesRequest, ManifestReply, ManifestRequest
from carawayhub.fleet.sync import ConfigSync
from carawayhub.platform.ports import PublishedManifest

BAD = b"bad"
CALL_TIMEOUT = 1.0


def digest_of(content: bytes) -> str:
    """Return the SHA-256 of ``content``."""
    return hashlib.sha256(content).hexdigest()


class PlainAcceptor:
    """Accepts all but versions with a file that holds ``BAD``.

    Unlike the real one it takes an older version too, so that nothing hides a fault of the code
    that should not have offered it.

    Attributes:
        versions: Versions that came into force, in that order.
        checked: Versions that were offered.
    """

    __slots__ = ("checked", "versions")

    def __init__(self) -> None:
        self.versions: list[int] = []
        self.checked = 0

    async def accept(self, version: int, files: tuple[ConfigFile, ...]) -> None:
        """Put a version in force; see ``carawayhub.fleet.ports.Acceptor``."""
        self.checked += 1
        if any(file.content == BAD for file in files):
            raise ConfigError(Code.CONFIG_SYNTAX, "a bad file")
        self.versions.append(version)


class FakeService:
    """A configuration service whose published version, health and silence a test sets.

    Attributes:
        down: Whether reads fail at once.
        stale: Whether reads give the version published before the newest.
        silent: Reads to come that are never answered, as on a connection that went silent.
        unreachable: Names of processes that cannot reach it.
        reads: Reads counted by second of the clock; a waiting watch counts as one each second.
        calls: Calls made, by reader.
        file_calls: Calls for contents, by reader.
        bytes: Bytes of answers, by reader.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._published = anyio.Event()
        self.version = 0
        self.files: dict[str, str] = {}
        self.contents: dict[str, bytes] = {}
        self.down = False
        self.stale = False
        self._previous: tuple[int, dict[str, str]] = (0, {})
        self.silent = 0
        self.unreachable: set[str] = set()
        self.reads: Counter[int] = Counter()
        self.calls: Counter[str] = Counter()
        self.file_calls: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()
        self._manifest_bytes: dict[int, int] = {}

    def publish(
        self, version: int, changed: dict[str, bytes], removed: tuple[str, ...] = ()
    ) -> None:
        """Publish a version that changes some files."""
        files = {name: value for name, value in self.files.items() if name not in removed}
        for name, content in changed.items():
            files[name] = digest_of(content)
            self.contents[files[name]] = content
        self.serve(version, files)

    def serve(self, version: int, files: dict[str, str]) -> None:
        """Serve a version, which may be an old one."""
        self._previous = (self.version, self.files)
        self.version, self.files = version, files
        event, self._published = self._published, anyio.Event()
        event.set()

    def peak(self) -> int:
        """Return the reads in the busiest second."""
        return max(self.reads.values(), default=0)

    def forget_reads(self) -> None:
        """Begin to count anew."""
        self.reads.clear()
        self.calls.clear()
        self.file_calls.clear()
        self.bytes.clear()

    def reader(self, name: str) -> "ServiceReader":
        """Return the service as the process ``name`` sees it."""
        return ServiceReader(self, name)

    async def manifest(self, reader: str, after: int, wait: float) -> PublishedManifest:
        """Answer a read or a watch."""
        self.calls[reader] += 1
        started = self._clock.monotonic()
        await self._answerable(reader)
        if self.stale or self.version <= after:
            with anyio.move_on_after(wait):
                await self._published.wait()
        self._count(started)
        self._check_up(reader)
        version, files = self._previous if self.stale else (self.version, self.files)
        answer = PublishedManifest(version=version, files=dict(files))
        if version not in self._manifest_bytes:
            self._manifest_bytes[version] = len(msgspec.json.encode(answer))
        self.bytes[reader] += self._manifest_bytes[version]
        return answer

    async def file(self, reader: str, digest: str) -> bytes:
        """Answer a read of a content."""
        self.file_calls[reader] += 1
        self._count(self._clock.monotonic())
        await self._answerable(reader)
        self.bytes[reader] += len(self.contents[digest])
        return self.contents[digest]

    async def _answerable(self, reader: str) -> None:
        if self.silent:
            self.silent -= 1
            await anyio.sleep_forever()
        await anyio.sleep(0.003)
        self._check_up(reader)

    def _check_up(self, reader: str) -> None:
        if self.down or reader in self.unreachable:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, "taken down by the test")

    def _count(self, started: float) -> None:
        for second in range(int(started), int(self._clock.monotonic()) + 1):
            self.reads[second] += 1


class ServiceReader:
    """The service as one process sees it."""

    __slots__ = ("_name", "_service")

    def __init__(self, service: FakeService, name: str) -> None:
        self._service = service
        self._name = name

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """See ``carawayhub.platform.ports.ConfigurationService``."""
        return await self._service.manifest(self._name, after, wait)

    async def file(self, digest: str) -> bytes:
        """See ``carawayhub.platform.ports.ConfigurationService``."""
        return await self._service.file(self._name, digest)


@dataclass(slots=True)
class Traffic:
    """What one process sent and received."""

    messages: int = 0
    bytes: int = 0


@dataclass(slots=True)
class FakeNetwork:
    """Calls between processes, encoded as on a real link, with delay, loss and cuts.

    Attributes:
        clock: Source of time.
        syncs: The processes that are up, by name.
        cut: Pairs of groups that do not reach each other; a group is what ``group_of`` returns.
        lose: Returns whether the next message is lost.
        delay: Returns seconds from one process to another.
        traffic: What each process sent and received.
        largest: Bytes of the largest message.
    """

    clock: Clock
    syncs: dict[str, ConfigSync] = field(default_factory=dict)
    unreachable: set[str] = field(default_factory=set)
    group_of: dict[str, str] = field(default_factory=dict)
    cut: set[frozenset[str]] = field(default_factory=set)
    traffic: dict[str, Traffic] = field(default_factory=dict)
    largest: int = 0
    lose: Any = None
    delay: Any = None

    def calls_of(self, name: str) -> "FakePeers":
        """Return the calls as the process ``name`` makes them."""
        return FakePeers(self, name)

    def passes(self, sender: str, receiver: str) -> bool:
        """Return whether a message sent now arrives."""
        if {sender, receiver} & self.unreachable or receiver not in self.syncs:
            return False
        groups = frozenset((self.group_of.get(sender, ""), self.group_of.get(receiver, "")))
        return groups not in self.cut and not (self.lose is not None and self.lose())

    def carry(self, sender: str, receiver: str, message: Any, kind: Any) -> Any:
        """Count, encode and decode a message."""
        data = msgspec.msgpack.encode(message)
        self.largest = max(self.largest, len(data))
        for name in (sender, receiver):
            traffic = self.traffic.setdefault(name, Traffic())
            traffic.messages += 1
            traffic.bytes += len(data)
        return msgspec.msgpack.decode(data, type=kind)

    def reached(self, name: str) -> ConfigSync:
        """Return the process that a message has reached.

        Raises:
            PeerError: It ended while the message was on its way.
        """
        if name not in self.syncs:
            raise PeerError(Code.PEER_SILENT, name)
        return self.syncs[name]

    async def travel(self, sender: str, receiver: str) -> None:
        """Wait as long as a message takes.

        Raises:
            PeerError: It is lost, and the call's timeout has passed.
        """
        if not self.passes(sender, receiver):
            await anyio.sleep(CALL_TIMEOUT)
            raise PeerError(Code.PEER_SILENT, receiver)
        if self.delay is not None:
            await anyio.sleep(self.delay(sender, receiver))


class FakePeers:
    """Calls of one process; see ``carawayhub.fleet.ports.FleetPeers``."""

    __slots__ = ("_name", "_network")

    def __init__(self, network: FakeNetwork, name: str) -> None:
        self._network = network
        self._name = name

    async def manifest(self, peer: str, req: ManifestRequest) -> ManifestReply:
        """Ask a peer for what changed."""
        req = self._network.carry(self._name, peer, req, ManifestRequest)
        await self._network.travel(self._name, peer)
        reply = self._network.reached(peer).manifest(req)
        await self._network.travel(peer, self._name)
        decoded: ManifestReply = self._network.carry(peer, self._name, reply, ManifestReply)
        return decoded

    async def files(self, peer: str, req: FilesRequest) -> FilesReply:
        """Ask a peer for contents."""
        req = self._network.carry(self._name, peer, req, FilesRequest)
        await self._network.travel(self._name, peer)
        reply = self._network.reached(peer).files(req)
        await self._network.travel(peer, self._name)
        decoded: FilesReply = self._network.carry(peer, self._name, reply, FilesReply)
        return decoded
