"""Chooses the processes that watch the platform's configuration service, and runs a watcher.

The service answers some 2,000 reads a second over all readers, and a waiting watch counts as one
read a second, so not every process can watch. In each failure domain a few processes watch, chosen
by rendezvous hash over the published names. Every process computes the same set without a vote;
while two views differ, one process more watches, which does no harm. All others receive versions
from their peers. A process that receives no report of a reachable service makes single reads, after
a random delay that grows with the fleet.
"""

import random
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.errors import CarawayhubError
from carawayhub.fleet.budget import Backoff, ReadBudget
from carawayhub.fleet.manifest import Manifest
from carawayhub.fleet.rendezvous import ranked
from carawayhub.fleet.sync import ConfigSync
from carawayhub.peers.signal import Signal
from carawayhub.platform.ports import ConfigurationService, PublishedManifest

WATCHERS_PER_FAILURE_DOMAIN = 3
WATCH_WAIT_SECONDS = 5.0
RESPONSE_MARGIN_SECONDS = 4.0
SERVICE_SILENT_SECONDS = 20.0
STANDBY_CHECK_SECONDS = 5.0
FLEET_READS_PER_SECOND = 600.0
STANDBY_READS_PER_SECOND = 100.0
MAX_READS_PER_SECOND = 100.0
FALLBACKS_PER_SECOND = 50.0
MIN_BURST_READS = 5.0
BURST_SECONDS = 0.25
PEER_WAIT_SECONDS_PER_FILE = 0.01
MAX_PEER_WAIT_SECONDS = 5.0
EMPTY_RESPONSE_PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that can be chosen as a watcher.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain of its VM.
        has_spare_capacity: Whether it has bandwidth and CPU time to spare. At full fleet size an
            entry spends most of its budget on its links, and a watcher reads the complete manifest
            with each version.
    """

    name: str
    failure_domain: str
    has_spare_capacity: bool = False


def choose_watchers(
    candidates: Iterable[Candidate],
    down: frozenset[str] = frozenset(),
    per_failure_domain: int = WATCHERS_PER_FAILURE_DOMAIN,
) -> frozenset[str]:
    """Return the names of the processes that watch.

    Args:
        candidates: Eligible processes, from the configuration or the VM list.
        down: Candidates in state suspect or gone; the next in order replace them.
        per_failure_domain: Number of watchers in each failure domain.
    """
    domains: dict[str, list[Candidate]] = defaultdict(list)
    for each in candidates:
        if each.name not in down:
            domains[each.failure_domain].append(each)
    chosen: set[str] = set()
    for domain, eligible in domains.items():
        preferred = ranked(
            f"watch {domain}", (each.name for each in eligible if each.has_spare_capacity)
        )
        others = ranked(
            f"watch {domain}", (each.name for each in eligible if not each.has_spare_capacity)
        )
        chosen.update([*preferred, *others][:per_failure_domain])
    return frozenset(chosen)


class BudgetedService:
    """The configuration service, with each read limited by the read budget of this process.

    Attributes:
        reads: Reads made so far.
    """

    __slots__ = ("_budget", "_service", "reads")

    def __init__(self, service: ConfigurationService, budget: ReadBudget) -> None:
        self._service = service
        self._budget = budget
        self.reads = 0

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """Return the published version; see ``ConfigurationService``.

        Raises:
            PlatformError: The service did not answer.
            TimeoutError: The connection went silent.
        """
        await self._budget.acquire()
        self.reads += 1
        # The connection of a watch may go silent permanently while new connections work: neither a
        # response nor an error would arrive, and all changes would be missed. The service answers a
        # watch at the latest after the wait, so the read is cancelled after the wait plus a margin.
        # That closes the connection, and the next read opens a new one.
        with anyio.fail_after(wait + RESPONSE_MARGIN_SECONDS):
            return await self._service.manifest(after, wait)

    async def file(self, digest: str) -> bytes:
        """Return the content of a file; see ``ConfigurationService``."""
        await self._budget.acquire()
        self.reads += 1
        with anyio.fail_after(RESPONSE_MARGIN_SECONDS):
            return await self._service.file(digest)


class PlatformWatcher:
    """Watches the configuration service while this process is one of the chosen watchers.

    Args:
        name: Name of this process among the candidates.
        sync: Receives the published versions.
        service: The platform's service.
        clock: Source of time.
        rng: Source of jitter.
    """

    __slots__ = (
        "_backoff",
        "_budget",
        "_chosen_from",
        "_clock",
        "_fleet_size",
        "_name",
        "_published_files",
        "_rng",
        "_sync",
        "_watchers_updated",
        "_watchers",
        "service",
    )

    def __init__(
        self,
        name: str,
        sync: ConfigSync,
        service: ConfigurationService,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = name
        self._sync = sync
        self._clock = clock
        self._rng = rng
        self._budget = ReadBudget(1.0, MIN_BURST_READS, clock)
        self._backoff = Backoff(rng)
        self._watchers_updated = Signal()
        self._watchers: frozenset[str] = frozenset()
        self._chosen_from: tuple[tuple[Candidate, ...], frozenset[str]] = ((), frozenset())
        self._fleet_size = 1
        self._published_files = 0
        self.service = BudgetedService(service, self._budget)

    @property
    def is_watcher(self) -> bool:
        """Whether this process is one of the watchers."""
        return self._name in self._watchers

    @property
    def watchers(self) -> frozenset[str]:
        """Names of the watchers, as seen by this process."""
        return self._watchers

    def update(
        self,
        candidates: Iterable[Candidate],
        down: frozenset[str] = frozenset(),
        fleet_size: int = 1,
    ) -> None:
        """Recompute the watchers and the read budget.

        Args:
            candidates: Entries of the configuration, or the complete VM list while there is none.
            down: Candidates in state suspect or gone.
            fleet_size: Number of processes in the fleet, over which single reads are spread.
        """
        current = tuple(candidates)
        if (current, down) != self._chosen_from:
            # Ranking all names takes longer than checking a version, and few versions change names.
            self._watchers = choose_watchers(current, down)
            self._chosen_from = (current, down)
        self._fleet_size = max(1, fleet_size)
        # A starting process may know no candidate but itself, as may all others that start at the
        # same time.
        chosen = self.is_watcher and len(current) > 1
        readers = len(self._watchers) if chosen else self._fleet_size
        rate = min(MAX_READS_PER_SECOND, FLEET_READS_PER_SECOND / max(1, readers))
        self._budget.resize(rate, max(MIN_BURST_READS, BURST_SECONDS * rate))
        self._watchers_updated.notify()

    def full_read_seconds(self) -> float:
        """Return the seconds that the watchers need together to read all published files."""
        return self._published_files * len(self._watchers) / FLEET_READS_PER_SECOND

    def fallback_jitter(self) -> float:
        """Return seconds to wait before reading files that peers should have delivered."""
        return self._rng.uniform(0, self._fleet_size / FALLBACKS_PER_SECOND)

    def start_jitter(self) -> float:
        """Return seconds to wait before the first read, to keep a mass restart within budget."""
        return self._rng.uniform(0, self._fleet_size / FLEET_READS_PER_SECOND)

    async def run(self) -> None:
        """Watch while chosen, otherwise stand by, until cancelled."""
        await anyio.sleep(self.start_jitter())
        waited_for_peers = False
        while True:
            if self.is_watcher and not waited_for_peers and self._sync.in_force.version == 0:
                waited_for_peers = await self._wait_for_peers()
            elif self.is_watcher:
                await self._watch()
            else:
                await self._stand_by()

    async def _wait_for_peers(self) -> bool:
        """Wait for peers to deliver the first configuration, longer if it has more files.

        Returns:
            Whether the service reported the number of files.

        When a failure domain restarts, each of its processes may consider itself a watcher until it
        knows the others. If all read all files at once, they would overload the service, although
        peers in other failure domains have every file.
        """
        if not await self.read_version():
            await anyio.sleep(self._backoff.next())
            return False
        self._backoff.reset()
        with anyio.move_on_after(
            min(MAX_PEER_WAIT_SECONDS, self._published_files * PEER_WAIT_SECONDS_PER_FILE)
        ):
            while self._sync.in_force.version == 0:
                await self._sync.updated.wait()
        return True

    async def _watch(self) -> None:
        after = self._sync.watch_after()
        asked_at = self._clock.monotonic()
        if not await self.read(after, WATCH_WAIT_SECONDS):
            await anyio.sleep(self._backoff.next())
            return
        self._backoff.reset()
        waited = self._clock.monotonic() - asked_at
        if self._sync.watch_after() <= after and waited < WATCH_WAIT_SECONDS / 2:
            # A stale service may answer a watch at once with nothing new. Without this delay it
            # would be polled in a tight loop.
            await anyio.sleep(EMPTY_RESPONSE_PAUSE_SECONDS + self._rng.random())

    def retry_pause(self) -> float:
        """Return seconds to wait after a read that failed."""
        return self._backoff.next()

    async def read_version(self) -> bool:
        """Read the published version without its files; return whether the service answered."""
        try:
            published = await self.service.manifest(0, 0.0)
            self._published_files = len(published.files)
            self._sync.record_published(Manifest.of(published.version, published.files))
        except (CarawayhubError, TimeoutError, ValueError):
            return False
        return True

    async def read(self, after: int = 0, wait: float = 0.0) -> bool:
        """Read the published version once and apply it; return whether the service answered."""
        try:
            published = await self.service.manifest(after, wait)
            manifest = Manifest.of(published.version, published.files)
            await self._sync.apply_published(manifest, self.service)
        except (CarawayhubError, TimeoutError, ValueError):
            return False
        return True

    async def _stand_by(self) -> None:
        with anyio.move_on_after(STANDBY_CHECK_SECONDS):
            await self._watchers_updated.wait()
            return
        if self._sync.service_age() < SERVICE_SILENT_SECONDS:
            return
        # No peer has reported that the service answers: this process may be isolated together with
        # peers none of which is a watcher. Single reads of the complete fleet stay within a small
        # rate.
        spread = max(STANDBY_CHECK_SECONDS, self._fleet_size / STANDBY_READS_PER_SECOND)
        with anyio.move_on_after(self._rng.uniform(0, spread)):
            await self._watchers_updated.wait()
        if not self.is_watcher and self._sync.service_age() >= SERVICE_SILENT_SECONDS:
            await self.read()
