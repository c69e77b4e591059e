"""Which processes watch the platform's configuration service, and how one of them does it.

The service answers some 2,000 reads a second over all readers, and a waiting watch counts as one
read a second, so the fleet cannot watch as a whole. In each failure domain a few processes watch,
chosen by rendezvous hash over the published names: every process works out the same few without a
vote, and when two views differ for a while one process more watches, which does no harm. All others
learn of versions from their peers. One that hears of no process that reaches the service steps in
with single reads, after a random time that grows with the fleet.
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
WATCH_WAIT = 5.0
SILENCE_MARGIN = 4.0
SERVICE_UNHEARD = 20.0
STAND_BY_CHECK = 5.0
FLEET_READS_PER_SECOND = 600.0
STEP_IN_READS_PER_SECOND = 100.0
LARGEST_RATE = 100.0
FALLBACKS_PER_SECOND = 50.0
SMALLEST_BURST = 5.0
BURST_SECONDS = 0.25
LEAVE_A_FILE = 0.01
LONGEST_LEAVE = 5.0
EMPTY_ANSWER_PAUSE = 1.0


@dataclass(frozen=True, slots=True)
class Candidate:
    """A process that may watch.

    Attributes:
        name: Its name.
        failure_domain: Where it stands.
        light: Whether it has bytes and processor time to spare. At full size an entry spends most
            of its budget on its links, and a watcher reads the whole manifest with each version.
    """

    name: str
    failure_domain: str
    light: bool = False


def choose_watchers(
    candidates: Iterable[Candidate],
    down: frozenset[str] = frozenset(),
    per_failure_domain: int = WATCHERS_PER_FAILURE_DOMAIN,
) -> frozenset[str]:
    """Return who watches.

    Args:
        candidates: Who may, from the configuration or the VM list.
        down: Those that the caller holds for suspect or gone; the next in order take their place.
        per_failure_domain: How many watch in each failure domain.
    """
    domains: dict[str, list[Candidate]] = defaultdict(list)
    for each in candidates:
        if each.name not in down:
            domains[each.failure_domain].append(each)
    chosen: set[str] = set()
    for domain, able in domains.items():
        light = ranked(f"watch {domain}", (each.name for each in able if each.light))
        others = ranked(f"watch {domain}", (each.name for each in able if not each.light))
        chosen.update([*light, *others][:per_failure_domain])
    return frozenset(chosen)


class BudgetedService:
    """The configuration service, each read within the budget of this process.

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
        await self._budget.take()
        self.reads += 1
        # A watch's connection may go silent for good while new ones work: no answer and no error
        # would ever come, and every change would be missed. The service answers a watch at the
        # latest after the wait, so past it and a margin the read is cancelled, which closes its
        # connection; the next read opens a new one.
        with anyio.fail_after(wait + SILENCE_MARGIN):
            return await self._service.manifest(after, wait)

    async def file(self, digest: str) -> bytes:
        """Return a content; see ``ConfigurationService``."""
        await self._budget.take()
        self.reads += 1
        with anyio.fail_after(SILENCE_MARGIN):
            return await self._service.file(digest)


class PlatformWatcher:
    """Watches the configuration service whenever this process is one of those that should.

    Args:
        name: Name of this process among the candidates.
        sync: Takes what is published.
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
        "_updated",
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
        self._budget = ReadBudget(1.0, SMALLEST_BURST, clock)
        self._backoff = Backoff(rng)
        self._updated = Signal()
        self._watchers: frozenset[str] = frozenset()
        self._chosen_from: tuple[tuple[Candidate, ...], frozenset[str]] = ((), frozenset())
        self._fleet_size = 1
        self._published_files = 0
        self.service = BudgetedService(service, self._budget)

    @property
    def on_duty(self) -> bool:
        """Whether this process watches."""
        return self._name in self._watchers

    @property
    def watchers(self) -> frozenset[str]:
        """Who watches, in the view of this process."""
        return self._watchers

    def update(
        self,
        candidates: Iterable[Candidate],
        down: frozenset[str] = frozenset(),
        fleet_size: int = 1,
    ) -> None:
        """Work out anew who watches.

        Args:
            candidates: Entries of the configuration, or all of the VM list while there is none.
            down: Candidates held for suspect or gone.
            fleet_size: Processes in the fleet, over which single reads are spread.
        """
        known = tuple(candidates)
        if (known, down) != self._chosen_from:
            # Ranking all names takes longer than checking a version, and few versions change them.
            self._watchers = choose_watchers(known, down)
            self._chosen_from = (known, down)
        self._fleet_size = max(1, fleet_size)
        # A process that starts may know no candidate but itself, and so may all others that start
        # at the same moment.
        chosen = self.on_duty and len(known) > 1
        readers = len(self._watchers) if chosen else self._fleet_size
        rate = min(LARGEST_RATE, FLEET_READS_PER_SECOND / max(1, readers))
        self._budget.resize(rate, max(SMALLEST_BURST, BURST_SECONDS * rate))
        self._updated.notify()

    def reading_time(self) -> float:
        """Return seconds in which the watchers together can read all published files."""
        return self._published_files * len(self._watchers) / FLEET_READS_PER_SECOND

    def fallback_jitter(self) -> float:
        """Return seconds to wait before files are read that peers should have brought."""
        return self._rng.uniform(0, self._fleet_size / FALLBACKS_PER_SECOND)

    def start_jitter(self) -> float:
        """Return seconds to wait before a first read, so that a mass restart stays in budget."""
        return self._rng.uniform(0, self._fleet_size / FLEET_READS_PER_SECOND)

    async def run(self) -> None:
        """Watch, or stand by, until cancelled."""
        await anyio.sleep(self.start_jitter())
        left = False
        while True:
            if self.on_duty and not left and self._sync.in_force.version == 0:
                left = await self._leave_to_peers()
            elif self.on_duty:
                await self._watch()
            else:
                await self._stand_by()

    async def _leave_to_peers(self) -> bool:
        """Give peers time to bring the first configuration, the more the larger it is.

        Returns:
            Whether the service told how large it is.

        When a failure domain restarts, each of its processes may take itself for a watcher until it
        knows the others. Reading all files at once they would overrun the service, although peers
        elsewhere have every file.
        """
        if not await self.note():
            await anyio.sleep(self._backoff.next())
            return False
        self._backoff.reset()
        with anyio.move_on_after(min(LONGEST_LEAVE, self._published_files * LEAVE_A_FILE)):
            while self._sync.in_force.version == 0:
                await self._sync.learned.wait()
        return True

    async def _watch(self) -> None:
        after = self._sync.watch_after()
        asked_at = self._clock.monotonic()
        if not await self.read(after, WATCH_WAIT):
            await anyio.sleep(self._backoff.next())
            return
        self._backoff.reset()
        waited = self._clock.monotonic() - asked_at
        if self._sync.watch_after() <= after and waited < WATCH_WAIT / 2:
            # A service that answers a watch at once with nothing new, as a stale one may, would
            # be asked again without end.
            await anyio.sleep(EMPTY_ANSWER_PAUSE + self._rng.random())

    def retry_pause(self) -> float:
        """Return seconds to wait after a read that failed."""
        return self._backoff.next()

    async def note(self) -> bool:
        """Learn which version is published, fetch nothing; return whether the service answered."""
        try:
            published = await self.service.manifest(0, 0.0)
            self._published_files = len(published.files)
            self._sync.note_published(Manifest.of(published.version, published.files))
        except (CarawayhubError, TimeoutError, ValueError):
            return False
        return True

    async def read(self, after: int = 0, wait: float = 0.0) -> bool:
        """Read what is published once, and take it; return whether the service answered."""
        try:
            published = await self.service.manifest(after, wait)
            manifest = Manifest.of(published.version, published.files)
            await self._sync.published(manifest, self.service)
        except (CarawayhubError, TimeoutError, ValueError):
            return False
        return True

    async def _stand_by(self) -> None:
        with anyio.move_on_after(STAND_BY_CHECK):
            await self._updated.wait()
            return
        if self._sync.service_age() < SERVICE_UNHEARD:
            return
        # No peer has told of a service that answers: this process may be cut off together with
        # peers of which none watches. Single reads of the whole fleet stay within a small rate.
        spread = max(STAND_BY_CHECK, self._fleet_size / STEP_IN_READS_PER_SECOND)
        with anyio.move_on_after(self._rng.uniform(0, spread)):
            await self._updated.wait()
        if not self.on_duty and self._sync.service_age() >= SERVICE_UNHEARD:
            await self.read()
