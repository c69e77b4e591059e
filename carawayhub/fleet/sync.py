"""Keeps a process at the newest configuration version that any source offers.

Each process announces the version it has in force in its heartbeats. A process that receives a
newer version number requests the changed names and small contents from a peer that has the version,
in one call. It verifies every content and the complete version by digest, and the acceptor decides.
A version older than the one in force is never accepted, from any source.

The owning process calls:

* ``record_peer_version(peer, id, service_age)`` for each heartbeat or reply of a peer,
* ``remove_peer(peer)`` when the link to it is lost,
* ``run()`` as a task: fetches versions from peers,
* ``apply_published(manifest, service)`` from the watcher: fetches from the service,
* ``manifest(req)`` and ``files(req)`` to answer peers,
* ``in_force``, ``service_age()`` for its own heartbeats, and ``changed`` to send them at once.
"""

import random

import anyio

from carawayhub.clock import Clock
from carawayhub.config.files import ConfigFile
from carawayhub.errors import CarawayhubError, ConfigError, PeerError
from carawayhub.fleet.contents import ContentStore
from carawayhub.fleet.deltas import answer, fetch, fetch_files
from carawayhub.fleet.events import (
    FetchFailed,
    Report,
    ServiceStale,
    SyncEvent,
    VersionAccepted,
    VersionConflict,
    VersionRefused,
    ignore,
)
from carawayhub.fleet.manifest import NOTHING, History, Manifest, VersionId
from carawayhub.fleet.messages import (
    Document,
    FilesReply,
    FilesRequest,
    ManifestReply,
    ManifestRequest,
)
from carawayhub.fleet.ports import Acceptor, FleetPeers, ServiceFiles
from carawayhub.peers.signal import Signal

SERVICE = "service"
NEVER = float("inf")
MAX_REFUSED_VERSIONS = 64
MAX_REPORTED_EVENTS = 256


class ConfigSync:
    """Tracks and fetches the configuration versions known to one process.

    Args:
        peers: Calls to other processes.
        acceptor: Checks a complete version and puts it in force.
        clock: Source of time.
        rng: Chooses among peers that have the same version.
        report: Receives events for the audit trail.
    """

    __slots__ = (
        "_acceptor",
        "_clock",
        "_contents",
        "_fetching",
        "_files",
        "_service_responded_at",
        "_history",
        "_reported",
        "_peers",
        "_published",
        "_refused",
        "_report",
        "_rng",
        "_sources",
        "changed",
        "updated",
    )

    def __init__(
        self,
        peers: FleetPeers,
        acceptor: Acceptor,
        clock: Clock,
        rng: random.Random,
        report: Report = ignore,
    ) -> None:
        self._peers = peers
        self._acceptor = acceptor
        self._clock = clock
        self._rng = rng
        self._report = report
        self._history = History()
        self._contents = ContentStore()
        self._files: dict[str, ConfigFile] = {}
        self._sources: dict[str, VersionId] = {}
        self._refused: dict[VersionId, CarawayhubError] = {}
        self._reported: set[tuple[VersionId, VersionId]] = set()
        self._published = NOTHING
        self._service_responded_at = -NEVER
        self._fetching = anyio.Lock()
        self.changed = Signal()
        self.updated = Signal()

    @property
    def in_force(self) -> VersionId:
        """The version in force, ``NOTHING`` before the first."""
        return self._history.current.id

    def watch_after(self) -> int:
        """Return the version after which a version from the service is new to this process."""
        if self._wanted(self._published):
            return self.in_force.version
        return max(self.in_force.version, self._published.version)

    @property
    def refusals(self) -> dict[VersionId, CarawayhubError]:
        """Refused versions with the reason, oldest first."""
        return dict(self._refused)

    def service_age(self) -> float:
        """Return the seconds since the service last answered this process or a reporting peer."""
        return self._clock.monotonic() - self._service_responded_at

    def record_service_response(self, age: float = 0.0) -> None:
        """Record that the service answered some process ``age`` seconds ago."""
        self._service_responded_at = max(self._service_responded_at, self._clock.monotonic() - age)

    def newest_known(self) -> VersionId:
        """Return the newest version reported by any source that was not refused."""
        known = list(self._sources.values())
        known += [self._published, self.in_force]
        return max((id for id in known if id not in self._refused), default=self.in_force)

    def record_peer_version(self, peer: str, id: VersionId, service_age: float = NEVER) -> None:
        """Record the version in force that a peer announces in a heartbeat."""
        if service_age != NEVER:
            self.record_service_response(service_age)
        known = self._sources.get(peer)
        if known == id:
            return
        self._sources[peer] = id
        self._check_conflict(id, peer)
        if known is None or self._wanted(id):
            self.updated.notify()

    def remove_peer(self, peer: str) -> None:
        """Remove the version of a peer whose link is lost."""
        self._sources.pop(peer, None)

    def reporting_peers(self) -> frozenset[str]:
        """Return the linked peers that have announced their version."""
        return frozenset(self._sources)

    def manifest(self, req: ManifestRequest) -> ManifestReply:
        """Answer a peer's request for the changes since its version."""
        return answer(self._history, req, self._contents)

    def files(self, req: FilesRequest) -> FilesReply:
        """Answer a peer's request for contents."""
        return self._contents.serve(req)

    async def run(self) -> None:
        """Fetch each newer version that a peer has, until cancelled."""
        while True:
            peer = self._newer_source()
            if peer is None:
                await self.updated.wait()
                continue
            await self._fetch_from(peer)

    def record_published(self, manifest: Manifest) -> bool:
        """Record the version that the service serves; return whether to fetch it."""
        self.record_service_response()
        id = manifest.id
        self._check_conflict(id, SERVICE)
        if id.version < self.in_force.version:
            # The service may serve an old version for a long time. Accepting it would revert later
            # changes. The version in force is kept, and peers forward it.
            self._report_stale(id)
            return False
        if id > self._published:
            self._published = id
            self.updated.notify()
        return self._wanted(id)

    async def apply_published(self, manifest: Manifest, service: ServiceFiles) -> None:
        """Apply the version that the service serves, after fetching its missing files.

        Raises:
            PlatformError: The service did not return a file.
            TimeoutError: The service did not answer in time.
        """
        if not self.record_published(manifest):
            return
        fetched = await self._fetch_missing(manifest, service)
        async with self._fetching:
            if self._wanted(manifest.id) and not self._missing(manifest):
                await self._accept(manifest, SERVICE, fetched)

    def _wanted(self, id: VersionId) -> bool:
        return id > self.in_force and id not in self._refused

    def _newer_source(self) -> str | None:
        newer = {peer: id for peer, id in self._sources.items() if self._wanted(id)}
        if not newer:
            return None
        newest = max(newer.values())
        return self._rng.choice([peer for peer, id in newer.items() if id == newest])

    async def _fetch_from(self, peer: str) -> None:
        id = self._sources[peer]
        async with self._fetching:
            if not self._wanted(id):
                return
            try:
                await self._transfer(peer)
            except PeerError as exc:
                self._report(FetchFailed(id, peer, str(exc)))
                # If it stayed a source, it would be asked again at once. Its next heartbeat adds it
                # again.
                if self._sources.get(peer) == id:
                    del self._sources[peer]

    async def _transfer(self, peer: str) -> None:
        reply = await fetch(self._peers, peer, Document.CONFIGURATION, self._history.current)
        manifest = reply.manifest
        self._sources[peer] = manifest.id
        if not self._wanted(manifest.id):
            return
        for packed in reply.contents:
            self._contents.add_packed(packed)
        missing = self._missing(manifest)
        await fetch_files(self._peers, peer, missing, self._contents)
        await self._accept(manifest, peer, len(missing) + len(reply.contents))

    async def _fetch_missing(self, manifest: Manifest, service: ServiceFiles) -> int:
        # With the read budget this may take long, and peers may deliver this or a later version
        # meanwhile. The lock is not held, so that fetches from peers can proceed.
        fetched = 0
        for digest in self._missing(manifest):
            if not self._wanted(manifest.id):
                break
            if digest not in self._contents:
                self._contents.add(digest, await service.file(digest))
                fetched += 1
        return fetched

    def _missing(self, manifest: Manifest) -> list[str]:
        wanted = dict.fromkeys(manifest.files.values())
        return [digest for digest in wanted if digest not in self._contents]

    async def _accept(self, manifest: Manifest, source: str, fetched: int) -> None:
        files = {name: self._file(name, digest) for name, digest in manifest.files.items()}
        try:
            await self._acceptor.accept(manifest.id.version, tuple(files.values()))
        except ConfigError as exc:
            self._refuse(manifest.id, source, exc)
        else:
            self._history.advance(manifest)
            self._files = files
            self._report(VersionAccepted(manifest.id, source, fetched))
            self.changed.notify()
        self._contents.keep_only(self._history.current.files.values())
        self.updated.notify()

    def _file(self, name: str, digest: str) -> ConfigFile:
        # The digest of a file in force is already computed; a new object would compute it again.
        if self._history.current.files.get(name) == digest:
            return self._files[name]
        return ConfigFile(name, self._contents.get(digest))

    def _refuse(self, id: VersionId, source: str, error: CarawayhubError) -> None:
        # A refused version stays published until a newer one replaces it. Without this record it
        # would be fetched and checked again with every heartbeat.
        self._refused[id] = error
        if len(self._refused) > MAX_REFUSED_VERSIONS:
            del self._refused[next(iter(self._refused))]
        self._report(VersionRefused(id, source, error))

    def _check_conflict(self, id: VersionId, source: str) -> None:
        in_force = self.in_force
        if id.version == in_force.version and id.digest != in_force.digest:
            self._report_unless_repeated(in_force, id, VersionConflict(in_force, id, source))

    def _report_stale(self, id: VersionId) -> None:
        self._report_unless_repeated(self.in_force, id, ServiceStale(self.in_force, id))

    def _report_unless_repeated(
        self, in_force: VersionId, other: VersionId, event: SyncEvent
    ) -> None:
        if (in_force, other) in self._reported:
            return
        if len(self._reported) >= MAX_REPORTED_EVENTS:
            self._reported.clear()
        self._reported.add((in_force, other))
        self._report(event)
