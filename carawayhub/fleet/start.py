"""Fetches the newest configuration from peers and the service before a process is ready.

A process keeps no state across restarts, and the service may serve an old version for a long time.
A process that relied on the service alone could use a configuration that the fleet has replaced. It
therefore also asks several peers, uses the newest version, and reports the peers that it did not
reach.
"""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.fleet.manifest import VersionId
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.watchers import PlatformWatcher

MIN_PEERS_ANSWERED = 4
PEER_WAIT_SECONDS = 5.0
CATCH_UP_WAIT_SECONDS = 30.0
SERVICE_FALLBACK_SECONDS = 8.0
POLL_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class StartReport:
    """The state of a process when it became ready.

    Attributes:
        in_force: Version in force.
        newest_known: Newest announced version; later than ``in_force`` if not fetched.
        answered: Peers that announced their version.
        unreached: Peers asked that did not answer.
        service_answered: Whether the service answered.
    """

    in_force: VersionId
    newest_known: VersionId
    answered: tuple[str, ...]
    unreached: tuple[str, ...]
    service_answered: bool


class Startup:
    """Brings a process to the newest configuration of any source that it reaches.

    Args:
        sync: The configuration of this process; its ``run`` must be running.
        watcher: Its reads of the service; its ``run`` must be running.
        peers: Returns the peers to which links are opened.
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
        """Return once the process may serve requests.

        It never returns without a configuration, nor without an answer from at least one peer if
        there are any. A process that reaches no peer reaches no agent either and couldn't serve
        requests, so waiting costs nothing and prevents the use of an old version.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_service)
            await self._wait_for_peers()
            await self._catch_up()
            # The peers may be known only from the first configuration.
            await self._wait_for_peers()
            await self._catch_up()
            tasks.cancel_scope.cancel()
        return self.report()

    def report(self) -> StartReport:
        """Return the current state; operators see it while the process isn't ready."""
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
            await anyio.sleep(
                POLL_SECONDS if self._service_answered else self._watcher.retry_pause()
            )
        # Contents are fetched from peers first: a restarting failure domain would otherwise read
        # each file once per process. If no peer has the contents yet, the watchers need time to
        # read them.
        deadline = started + SERVICE_FALLBACK_SECONDS + self._watcher.full_read_seconds()
        await anyio.sleep(max(0.0, deadline - self._clock.monotonic()))
        while self._behind() and not self._watcher.is_watcher:
            await anyio.sleep(self._watcher.fallback_jitter())
            if self._behind():
                await self._watcher.read()
            await anyio.sleep(self._watcher.retry_pause())

    async def _wait_for_peers(self) -> None:
        deadline = self._clock.monotonic() + PEER_WAIT_SECONDS
        while True:
            peers = self._peers()
            answered = len(self._sync.reporting_peers() & peers)
            if answered >= min(MIN_PEERS_ANSWERED, len(peers)):
                return
            if answered and self._clock.monotonic() >= deadline:
                return
            await self._wait()

    async def _catch_up(self) -> None:
        deadline = self._clock.monotonic() + CATCH_UP_WAIT_SECONDS
        while self._behind() or not self._service_asked(deadline):
            if self._sync.in_force.version and self._clock.monotonic() >= deadline:
                return
            await self._wait()

    def _service_asked(self, deadline: float) -> bool:
        # If the service is down, the newest version of several peers is used after a wait.
        waited = CATCH_UP_WAIT_SECONDS - (deadline - self._clock.monotonic())
        return self._service_answered or waited >= PEER_WAIT_SECONDS

    def _behind(self) -> bool:
        in_force = self._sync.in_force.version
        return in_force == 0 or in_force < self._sync.newest_known().version

    async def _wait(self) -> None:
        with anyio.move_on_after(POLL_SECONDS):
            await self._sync.updated.wait()
