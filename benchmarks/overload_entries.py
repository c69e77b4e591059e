"""Entries, callers and fake engines of the trials in ``benchmarks.overload``."""

import random
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from benchmarks.fakes import (
    DOMAINS,
    MODEL_TARGET,
    REGION,
    FakeEngine,
    FakeRequest,
    Timeline,
    arrivals,
    fake_configuration,
)
from carawayhub.codes import Code, Outcome
from carawayhub.config.model import Limits
from carawayhub.errors import RequestError
from carawayhub.limits.admission import Admission
from carawayhub.limits.query import AdmitQuery, Admitted
from carawayhub.limits.retries import RetryBudget, RetryQuery
from carawayhub.routing.query import InFlight, RouteQuery
from carawayhub.routing.router import Router

SEED = 11
ENDPOINTS = 6
ENTRIES = 3
SLOTS = 32
BLOCKS = 8
TOKENS = 60
PRIORITIES = (2, 5, 8)
PRIORITY_PARTS = (0.3, 0.4, 0.3)
DEADLINE_SECONDS = 5.0
WARM_SECONDS = 5.0
REPORT_SECONDS = 0.5
REPORT_LAG = 0.5
NO_CAPACITY_LIMIT = 1_000_000
ATTEMPT_SECONDS = 2.0
SYSTEM_ATTEMPTS = 4
PERMIT_SECONDS = 2.0
CALLER_ATTEMPTS = 3
CALLER_BACKOFF = 0.5
WIDE = Limits(rate=100_000.0, burst=100_000.0, concurrency=100_000)


@dataclass(slots=True)
class Job:
    """One request of a caller through all attempts.

    Attributes:
        began: When the caller first asked.
        deadline: When the caller gives up.
        asked: How often the caller asked, 1 for once.
    """

    organisation: str
    priority: int
    began: float
    deadline: float
    entry: "Entry"
    asked: int = 1
    attempts: int = 0
    first_at: float | None = None
    admitted: Admitted | None = None
    done: bool = False


@dataclass(slots=True)
class Tally:
    """What became of the jobs."""

    offered: Counter[tuple[str, int]] = field(default_factory=Counter)
    refused: Counter[tuple[str, int]] = field(default_factory=Counter)
    good: Counter[tuple[str, int]] = field(default_factory=Counter)
    first: dict[tuple[str, int], list[float]] = field(default_factory=dict)
    good_at: list[float] = field(default_factory=list)
    attempts: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """What is switched on in a trial."""

    controller: bool = True
    budget: bool = True
    system_retries: bool = False
    caller_retries: bool = False


class Entry:
    """One entry: admission, router, retry budget."""

    def __init__(self, world: "World", index: int) -> None:
        rng = random.Random(SEED * 100 + index)
        name = sorted(world.cfg.entries)[index]
        clock = world.time.clock
        self.world = world
        self.name = name
        self.router = Router(clock, rng, DOMAINS[index % len(DOMAINS)], REGION)
        self.admission = Admission(clock, rng, name, self.router.load_of)
        self.retries = RetryBudget(clock, rng)
        for part in (self.router, self.admission, self.retries):
            part.configure(world.cfg)

    def take(self, job: Job) -> None:
        """Admit or refuse a job and begin its first attempt."""
        world = self.world
        self.retries.record_request(job.organisation)
        if world.options.controller:
            query = AdmitQuery(
                organisation=job.organisation,
                target=MODEL_TARGET,
                priority=job.priority,
                deadline=job.deadline,
            )
            try:
                job.admitted = self.admission.admit(query)
            except RequestError:
                world.refused(job)
                return
        self.attempt(job)

    def attempt(self, job: Job) -> None:
        """Send a job to an endpoint and watch its end."""
        if job.done:
            return
        name = self._choose(job)
        if name is None:
            return
        world = self.world
        job.attempts += 1
        world.tally.attempts += 1
        token = self.router.begin(name)
        engine = world.engines[name]
        req = self._engine_request(job, token)
        engine.submit(req)
        until = job.deadline - world.time.now
        if world.options.system_retries:
            until = min(until, ATTEMPT_SECONDS)
        world.time.after(max(0.0, until), lambda: self._timeout(job, token, engine, req))

    def _choose(self, job: Job) -> str | None:
        """Return an endpoint; where none takes the job, note its end and return None."""
        query = RouteQuery(
            target=MODEL_TARGET,
            organisation=job.organisation,
            priority=job.priority,
            deadline=job.deadline,
        )
        try:
            return self.router.choose(query).endpoint
        except RequestError as exc:
            self._give_back(job, False)
            if exc.code is Code.DEADLINE_PASSED:
                self.world.failed(job)
            else:
                self.world.refused(job)
            return None

    def _engine_request(self, job: Job, token: InFlight) -> FakeRequest:
        rng = self.world.rng
        blocks = tuple(rng.getrandbits(60) for _ in range(BLOCKS))
        tokens = max(1, int(rng.expovariate(1.0 / TOKENS)))
        return FakeRequest(
            blocks,
            tokens,
            job.priority,
            lambda: self._first(job, token),
            lambda: self._ended(job, token),
        )

    def _first(self, job: Job, token: InFlight) -> None:
        self.router.progress(token)
        job.first_at = self.world.time.now
        if job.admitted is not None:
            self.admission.first_byte(job.admitted)

    def _ended(self, job: Job, token: InFlight) -> None:
        self.router.finish(token)
        self._give_back(job, True)
        self.world.served(job)

    def _timeout(self, job: Job, token: InFlight, engine: FakeEngine, req: FakeRequest) -> None:
        """End an attempt: without a first byte in time, or at the deadline."""
        clock = self.world.time
        if token.finished:
            return
        begun = token.first_byte_at is not None
        if begun and clock.now < job.deadline:
            wait = job.deadline - clock.now
            clock.after(wait, lambda: self._timeout(job, token, engine, req))
            return
        engine.cancel(req)
        self.router.finish(token, ok=False)
        if not begun and self._may_retry(job):
            return
        self._give_back(job, False)
        self.world.failed(job)

    def _may_retry(self, job: Job) -> bool:
        """Begin another attempt where that is allowed."""
        clock = self.world.time
        if not self.world.options.system_retries or clock.now >= job.deadline:
            return False
        if not self.world.options.budget:
            if job.attempts < SYSTEM_ATTEMPTS:
                self.attempt(job)
                return True
            return False
        decision = self.retries.decide(
            RetryQuery(
                organisation=job.organisation,
                outcome=Outcome.UNKNOWN,
                repeatable=True,
                attempts=job.attempts,
                deadline=job.deadline,
            )
        )
        if decision.allowed:
            clock.after(decision.at - clock.now, lambda: self.attempt(job))
        return decision.allowed

    def _give_back(self, job: Job, ok: bool) -> None:
        if job.admitted is not None:
            self.admission.release(job.admitted, ok)
            job.admitted = None


class World:
    """Engines, entries and the callers' requests of one trial.

    Attributes:
        boundaries: Seconds from the start that part the requests by when they began.
        tallies: What became of the requests of each part.
    """

    def __init__(
        self, organisations: Sequence[str], options: Options, boundaries: tuple[float, ...] = ()
    ) -> None:
        self.time = Timeline()
        self.start = self.time.now
        self.rng = random.Random(SEED)
        self.options = options
        self.boundaries = boundaries
        self.tallies = [Tally() for _ in range(len(boundaries) + 1)]
        limits = dict.fromkeys(organisations, WIDE)
        self.cfg = fake_configuration(ENDPOINTS, ENTRIES, limits, capacity=SLOTS)
        self.engines = {
            name: FakeEngine(self.time, name, SLOTS, 1.0, 1000) for name in self.cfg.endpoints
        }
        self.entries = [Entry(self, index) for index in range(ENTRIES)]
        for name, engine in self.engines.items():
            self.time.every(0.1, engine.sample, first=0.0)
            self.time.every(REPORT_SECONDS, lambda n=name: self._report(n), first=0.001)  # type: ignore[misc]
        self.time.every(REPORT_SECONDS, self._tick, first=0.002)

    def offer(
        self, organisation: str, rate: float, begin: float, end: float, priority: int | None = None
    ) -> None:
        """Have an organisation's callers ask at a rate between two times from the start."""
        for at in arrivals(self.rng, rate, end - begin):
            own = priority
            if own is None:
                own = self.rng.choices(PRIORITIES, PRIORITY_PARTS)[0]
            self.time.after(
                0.01 + begin + at, lambda o=organisation, p=own: self._ask(o, p)  # type: ignore[misc]
            )

    def at(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run something at a time from the start."""
        self.time.after(seconds, callback)

    def run(self, seconds: float) -> None:
        """Run the trial."""
        self.time.run_until(self.start + seconds)

    def set_slowness(self, slowness: float) -> None:
        """Slow all engines down, or set them right."""
        for engine in self.engines.values():
            engine.slowness = slowness

    def served(self, job: Job) -> None:
        """Count a whole answer that came in time."""
        if job.done:
            return
        job.done = True
        key = (job.organisation, job.priority)
        self.tally.good_at.append(self.time.now - self.start)
        if job.first_at is not None and self._counted(job):
            tally = self._tally(job)
            tally.good[key] += 1
            tally.first.setdefault(key, []).append(job.first_at - job.began)

    def refused(self, job: Job) -> None:
        """Count a refusal; the caller may ask again."""
        if self._counted(job):
            self._tally(job).refused[job.organisation, job.priority] += 1
        self._ask_again(job)

    def failed(self, job: Job) -> None:
        """Note a timeout; the caller may ask again."""
        self._ask_again(job)

    def _tally(self, job: Job) -> Tally:
        return self.tallies[bisect(self.boundaries, job.began - self.start)]

    @property
    def tally(self) -> Tally:
        """The last part."""
        return self.tallies[-1]

    def _counted(self, job: Job) -> bool:
        return job.began - self.start >= WARM_SECONDS

    def _ask(self, organisation: str, priority: int) -> None:
        now = self.time.now
        entry = self.rng.choice(self.entries)
        job = Job(organisation, priority, now, now + DEADLINE_SECONDS, entry)
        if self._counted(job):
            self._tally(job).offered[organisation, priority] += 1
        entry.take(job)

    def _ask_again(self, job: Job) -> None:
        job.done = True
        if not self.options.caller_retries or job.asked >= CALLER_ATTEMPTS:
            return
        wait = self.rng.uniform(0.5, 1.5) * CALLER_BACKOFF
        entry = self.rng.choice(self.entries)

        def again() -> None:
            deadline = self.time.now + DEADLINE_SECONDS
            entry.take(
                Job(job.organisation, job.priority, self.time.now, deadline, entry, job.asked + 1)
            )

        self.time.after(wait, again)

    def _report(self, name: str) -> None:
        report = self.engines[name].report(REPORT_LAG, PERMIT_SECONDS)
        if not self.options.controller:
            report = msgspec.structs.replace(report, capacity=NO_CAPACITY_LIMIT)
        for entry in self.entries:
            entry.router.observe(report, self.time.now)

    def _tick(self) -> None:
        for entry in self.entries:
            rows = entry.admission.tick()
            for other in self.entries:
                if other is not entry:
                    other.admission.update_demand(entry.name, 1, rows)
