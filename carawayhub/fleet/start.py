"""Makes a starting process ask peers and the service before it serves.

A process remembers nothing from before its start, and the service may serve an old version for
long. One that trusted the service alone would bring back a configuration that the rest of the fleet
has left behind. So it asks several peers as well, takes the newest, and names whom it did not
reach.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.fleet.manifest import VersionId
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.watchers import PlatformWatcher

PEERS_WANTED = 4
PEERS_WAIT = 5.0
CATCH_UP_WAIT = 30.0
SERVICE_FALLBACK = 8.0
POLL = 0.5


@dataclass(frozen=True, slots=True)
class StartReport:
    """What a process knew when it became ready.

    Attributes:
        in_force: Version in force.
        newest_known: Newest version it was told of; later than ``in_force`` if it could not be had.
        answered: Peers that told their version.
        unreached: Peers asked that did not answer.
        service_answered: Whether the service answered.
    """

    in_force: VersionId
    newest_known: VersionId
    answered: tuple[str, ...]
    unreached: tuple[str, ...]
    service_answered: bool


class Startup:
    """Brings a process to the newest configuration that anybody it reaches has.

    Args:
        sync: The configuration of this process; its ``run`` is a task by now.
        watcher: Its reads of the service; its ``run`` is a task by now.
        peers: Returns the peers that links are being opened to.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_peers", "_service_answered", "_sync", "_watcher")

    def __init__(
        self,
        sync: ConfigSync,
        watcher: PlatformWatcher,
        peers: Callable[[], frozenset[str]],
        clock: Clock,
    ) -> None:
        self._sync = sync
        self._watcher = watcher
        self._peers = peers
        self._clock = clock
        self._service_answered = False

    async def run(self) -> StartReport:
        """Return once the process may serve.

        It never returns without a configuration, nor without an answer from at least one peer
        where there are any: a process that reaches no peer reaches no agent either and could serve
        nothing, so it loses nothing by waiting, and cannot bring back an old version meanwhile.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_service)
            await self._hear_peers()
            await self._catch_up()
            # The first configuration may be what names the peers.
            await self._hear_peers()
            await self._catch_up()
            tasks.cancel_scope.cancel()
        return self.report()

    def report(self) -> StartReport:
        """Return what is known so far; operators see it while the process is not ready."""
        answered = self._sync.reporting_peers() & self._peers()
        return StartReport(
            self._sync.in_force,
            self._sync.newest_known(),
            tuple(sorted(answered)),
            tuple(sorted(self._peers() - answered)),
            self._service_answered,
        )

    async def _ask_service(self) -> None:
        await anyio.sleep(self._watcher.start_jitter())
        started = self._clock.monotonic()
        while not self._service_answered:
            self._service_answered = await self._watcher.read_version()
            await anyio.sleep(POLL if self._service_answered else self._watcher.retry_pause())
        # Contents come from peers first: a failure domain that restarts as one would otherwise read
        # each file as many times as it has processes. Where nobody has anything yet, the watchers
        # need their time first.
        deadline = started + SERVICE_FALLBACK + self._watcher.full_read_seconds()
        await anyio.sleep(max(0.0, deadline - self._clock.monotonic()))
        while self._behind() and not self._watcher.is_watcher:
            await anyio.sleep(self._watcher.fallback_jitter())
            if self._behind():
                await self._watcher.read()
            await anyio.sleep(self._watcher.retry_pause())

    async def _hear_peers(self) -> None:
        deadline = self._clock.monotonic() + PEERS_WAIT
        while True:
            peers = self._peers()
            answered = len(self._sync.reporting_peers() & peers)
            if answered >= min(PEERS_WANTED, len(peers)):
                return
            if answered and self._clock.monotonic() >= deadline:
                return
            await self._wait()

    async def _catch_up(self) -> None:
        deadline = self._clock.monotonic() + CATCH_UP_WAIT
        while self._behind() or not self._service_asked(deadline):
            if self._sync.in_force.version and self._clock.monotonic() >= deadline:
                return
            await self._wait()

    def _service_asked(self, deadline: float) -> bool:
        # With the service down the newest of several peers must do, after a fair try.
        asked_for = CATCH_UP_WAIT - (deadline - self._clock.monotonic())
        return self._service_answered or asked_for >= PEERS_WAIT

    def _behind(self) -> bool:
        in_force = self._sync.in_force.version
        return in_force == 0 or in_force < self._sync.newest_known().version

    async def _wait(self) -> None:
        with anyio.move_on_after(POLL):
            await self._sync.updated.wait()
