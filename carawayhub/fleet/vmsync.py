"""Distributes the platform's VM list between processes, like the configuration.

The processes that watch the configuration read the list; the others receive it as the changes
between two lists. If every process read it, 6,180 waiting watches alone would be three times the
load that the platform can answer.

The owning process calls ``record_peer_list_number(peer, number)`` for each heartbeat,
``remove_peer(peer)``, ``run()`` and ``watch()`` as tasks and ``manifest(req)`` to answer peers. It
sends ``number`` in its heartbeats and waits on ``changed`` for a new list in ``current``.
"""

import random
from collections.abc import Callable

import anyio

from carawayhub.clock import Clock
from carawayhub.errors import PeerError, PlatformError
from carawayhub.fleet.budget import Backoff
from carawayhub.fleet.contents import ContentStore
from carawayhub.fleet.deltas import answer, fetch
from carawayhub.fleet.manifest import History, Manifest, VersionId, states_digest
from carawayhub.fleet.messages import Document, ManifestReply, ManifestRequest
from carawayhub.fleet.ports import FleetPeers
from carawayhub.fleet.watchers import (
    EMPTY_RESPONSE_PAUSE_SECONDS,
    RESPONSE_MARGIN_SECONDS,
    WATCH_WAIT_SECONDS,
)
from carawayhub.peers.signal import Signal
from carawayhub.platform.ports import ListedVm, VmDirectory, VmList, VmState

WATCHER_CHECK_SECONDS = 2.0


class VmListSync:
    """Tracks the newest VM list known to one process.

    Args:
        peers: Calls to other processes.
        directory: The platform's VM list.
        is_watcher: Returns whether this process is one of the watchers.
        clock: Source of time.
        rng: Source of jitter and of the choice among peers.
    """

    __slots__ = (
        "_backoff",
        "_clock",
        "_directory",
        "_history",
        "_updated",
        "_no_contents",
        "_is_watcher",
        "_peers",
        "_rng",
        "_sources",
        "changed",
        "current",
    )

    def __init__(
        self,
        peers: FleetPeers,
        directory: VmDirectory,
        is_watcher: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._is_watcher = is_watcher
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(rng)
        self._history = History()
        self._no_contents = ContentStore()
        self._sources: dict[str, int] = {}
        self._updated = Signal()
        self.changed = Signal()
        self.current: VmList | None = None

    @property
    def number(self) -> int:
        """Number of the newest list, 0 if there is none."""
        return self._history.current.id.version

    def record_peer_list_number(self, peer: str, number: int) -> None:
        """Record the list number that a peer announces in a heartbeat."""
        self._sources[peer] = number
        if number > self.number:
            self._updated.notify()

    def remove_peer(self, peer: str) -> None:
        """Remove the list number of a peer whose link is lost."""
        self._sources.pop(peer, None)

    def manifest(self, req: ManifestRequest) -> ManifestReply:
        """Answer a peer's request for the changes since its list."""
        return answer(self._history, req, self._no_contents)

    def apply(self, vms: VmList) -> None:
        """Apply a list unless it is older; the platform may serve an old list for a while."""
        states = {vm.name: _packed(vm) for vm in vms.vms}
        self._advance(Manifest(VersionId(vms.number, states_digest(states)), states), vms)

    async def run(self) -> None:
        """Fetch each newer list that a peer has, until cancelled."""
        while True:
            newer = [peer for peer, number in self._sources.items() if number > self.number]
            if not newer:
                await self._updated.wait()
                continue
            await self._fetch_from(self._rng.choice(newer))

    async def watch(self) -> None:
        """Watch the platform's list while this process is a watcher, until cancelled."""
        while True:
            if not self._is_watcher():
                await anyio.sleep(
                    self._rng.uniform(WATCHER_CHECK_SECONDS / 2, WATCHER_CHECK_SECONDS)
                )
                continue
            await anyio.sleep(await self._watch_once())

    async def read(self) -> bool:
        """Read the list once, for the start; return whether the platform answered."""
        try:
            with anyio.fail_after(RESPONSE_MARGIN_SECONDS):
                self.apply(await self._directory.vms(0, 0.0))
        except (PlatformError, TimeoutError):
            return False
        return True

    async def _watch_once(self) -> float:
        asked_at, before = self._clock.monotonic(), self.number
        try:
            # The timeout replaces a connection that went silent; see BudgetedService.
            with anyio.fail_after(WATCH_WAIT_SECONDS + RESPONSE_MARGIN_SECONDS):
                self.apply(await self._directory.vms(before, WATCH_WAIT_SECONDS))
        except (PlatformError, TimeoutError):
            return self._backoff.next()
        self._backoff.reset()
        at_once = self._clock.monotonic() - asked_at < WATCH_WAIT_SECONDS / 2
        return EMPTY_RESPONSE_PAUSE_SECONDS if at_once and self.number == before else 0.0

    async def _fetch_from(self, peer: str) -> None:
        try:
            fetched = await fetch(self._peers, peer, Document.VM_LIST, self._history.current)
        except PeerError:
            self._sources.pop(peer, None)
            return
        manifest = fetched.manifest
        self._sources[peer] = manifest.id.version
        vms = tuple(_unpacked(name, text) for name, text in manifest.files.items())
        self._advance(manifest, VmList(number=manifest.id.version, vms=vms))

    def _advance(self, manifest: Manifest, vms: VmList) -> None:
        if vms.number <= self.number and self.current is not None:
            return
        self._history.advance(manifest)
        self.current = vms
        self.changed.notify()


def _packed(vm: ListedVm) -> str:
    return f"{vm.state.value} {vm.failure_domain}"


def _unpacked(name: str, text: str) -> ListedVm:
    state, _, failure_domain = text.partition(" ")
    return ListedVm(name=name, state=VmState(state), failure_domain=failure_domain)
