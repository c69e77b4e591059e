"""Keeps a process at the newest configuration that it can learn of.

Each process tells in its heartbeats which version it has in force. One that hears of a newer
version asks a peer that has it for the changed names and small contents in one call, checks every
content and the whole version by digest, and lets the acceptor decide. Nothing older than what was
in force is ever taken, from whichever side it comes.

What the owner of a process calls:

* ``heard(peer, id, service_age)`` for each heartbeat or reply of a peer,
* ``forget(peer)`` when a link to it is lost,
* ``run()`` as a task: fetches what peers have,
* ``published(manifest, service)`` from the watcher: fetches what the service has,
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
REFUSALS_KEPT = 64
NOTES_KEPT = 256


class ConfigSync:
    """The configuration versions that one process knows of.

    Args:
        peers: Calls to other processes.
        acceptor: Checks a complete version and puts it in force.
        clock: Source of time.
        rng: Chooses among peers that have the same version.
        report: Takes what the audit trail should show.
    """

    __slots__ = (
        "_acceptor",
        "_clock",
        "_contents",
        "_fetching",
        "_files",
        "_heard_service_at",
        "_history",
        "_noted",
        "_peers",
        "_published",
        "_refused",
        "_report",
        "_rng",
        "_sources",
        "changed",
        "learned",
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
        self._noted: set[tuple[VersionId, VersionId]] = set()
        self._published = NOTHING
        self._heard_service_at = -NEVER
        self._fetching = anyio.Lock()
        self.changed = Signal()
        self.learned = Signal()

    @property
    def in_force(self) -> VersionId:
        """The version in force, ``NOTHING`` before the first."""
        return self._history.current.id

    def watch_after(self) -> int:
        """Return the version above which the service has something new for this process."""
        if self._wanted(self._published):
            return self.in_force.version
        return max(self.in_force.version, self._published.version)

    @property
    def refusals(self) -> dict[VersionId, CarawayhubError]:
        """Versions that may not come into force and why, oldest first."""
        return dict(self._refused)

    def service_age(self) -> float:
        """Return the seconds since this process, or a peer that told it, last heard the service."""
        return self._clock.monotonic() - self._heard_service_at

    def service_heard(self, age: float = 0.0) -> None:
        """Note that the service answered somebody ``age`` seconds ago."""
        self._heard_service_at = max(self._heard_service_at, self._clock.monotonic() - age)

    def newest_known(self) -> VersionId:
        """Return the newest version that anybody told of and that was not refused."""
        known = list(self._sources.values())
        known += [self._published, self.in_force]
        return max((id for id in known if id not in self._refused), default=self.in_force)

    def heard(self, peer: str, id: VersionId, service_age: float = NEVER) -> None:
        """Take what a peer's heartbeat says it has in force."""
        if service_age != NEVER:
            self.service_heard(service_age)
        known = self._sources.get(peer)
        if known == id:
            return
        self._sources[peer] = id
        self._check_conflict(id, peer)
        if known is None or self._wanted(id):
            self.learned.notify()

    def forget(self, peer: str) -> None:
        """Drop what is known of a peer whose link is lost."""
        self._sources.pop(peer, None)

    def answered(self) -> frozenset[str]:
        """Return the peers that have told their version and are still linked."""
        return frozenset(self._sources)

    def manifest(self, req: ManifestRequest) -> ManifestReply:
        """Answer a peer that asks for what changed since its version."""
        return answer(self._history, req, self._contents)

    def files(self, req: FilesRequest) -> FilesReply:
        """Answer a peer that asks for contents."""
        return self._contents.serve(req)

    async def run(self) -> None:
        """Fetch each newer version that a peer has, until cancelled."""
        while True:
            peer = self._newer_source()
            if peer is None:
                await self.learned.wait()
                continue
            await self._fetch_from(peer)

    def note_published(self, manifest: Manifest) -> bool:
        """Take which version the service serves, and return whether it is wanted."""
        self.service_heard()
        id = manifest.id
        self._check_conflict(id, SERVICE)
        if id.version < self.in_force.version:
            # The service may serve an old version for long. Taking it would bring back what was
            # changed since; the version in force stays, and peers hand it on.
            self._note_stale(id)
            return False
        if id > self._published:
            self._published = id
            self.learned.notify()
        return self._wanted(id)

    async def published(self, manifest: Manifest, service: ServiceFiles) -> None:
        """Take what the service serves, fetching the files that are missing.

        Raises:
            PlatformError: The service did not give a file.
            TimeoutError: Nor an error, in time.
        """
        if not self.note_published(manifest):
            return
        fetched = await self._fetch_missing(manifest, service)
        async with self._fetching:
            if self._wanted(manifest.id) and not self._missing(manifest):
                await self._settle(manifest, SERVICE, fetched)

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
                # Left as a source it would be asked again at once; its next heartbeat brings it
                # back.
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
        await self._settle(manifest, peer, len(missing) + len(reply.contents))

    async def _fetch_missing(self, manifest: Manifest, service: ServiceFiles) -> int:
        # The read budget may stretch this over a long time, so peers may bring the version, or a
        # later one, meanwhile; the lock is left to them.
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

    async def _settle(self, manifest: Manifest, source: str, fetched: int) -> None:
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
        self.learned.notify()

    def _file(self, name: str, digest: str) -> ConfigFile:
        # A file in force has its digest worked out already; a new object would hash it again.
        if self._history.current.files.get(name) == digest:
            return self._files[name]
        return ConfigFile(name, self._contents.get(digest))

    def _refuse(self, id: VersionId, source: str, error: CarawayhubError) -> None:
        # A refused version stays published until a better one comes. Without this record it would
        # be fetched and checked again with every heartbeat.
        self._refused[id] = error
        if len(self._refused) > REFUSALS_KEPT:
            del self._refused[next(iter(self._refused))]
        self._report(VersionRefused(id, source, error))

    def _check_conflict(self, id: VersionId, source: str) -> None:
        in_force = self.in_force
        if id.version == in_force.version and id.digest != in_force.digest:
            self._report_once(in_force, id, VersionConflict(in_force, id, source))

    def _note_stale(self, id: VersionId) -> None:
        self._report_once(self.in_force, id, ServiceStale(self.in_force, id))

    def _report_once(self, in_force: VersionId, other: VersionId, event: SyncEvent) -> None:
        if (in_force, other) in self._noted:
            return
        if len(self._noted) >= NOTES_KEPT:
            self._noted.clear()
        self._noted.add((in_force, other))
        self._report(event)
