"""Overload: goodput and latency with and without the controller, retry storms, and surges.

Entries with the product's admission, router and retry budget send requests to fake engines that
can be cancelled. Without the controller nothing is refused, and each request waits its turn.
"""

import json
import random
import sys
import time
from bisect import bisect
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field

import msgspec

from benchmarks.fakes import (
    BLOCK_SECONDS,
    DOMAINS,
    MODEL_TARGET,
    PREFILL_SECONDS,
    REGION,
    FakeEngine,
    FakeRequest,
    Timeline,
    arrivals,
    fake_configuration,
    percentile,
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
CAPACITY = ENDPOINTS / (PREFILL_SECONDS + BLOCK_SECONDS * BLOCKS)
FACTORS = (0.5, 0.9, 1.2, 2.0, 3.0, 5.0)
PRIORITIES = (2, 5, 8)
PRIORITY_PARTS = (0.3, 0.4, 0.3)
DEADLINE_SECONDS = 5.0
LOAD_SECONDS = 20.0
WARM_SECONDS = 5.0
REPORT_SECONDS = 0.5
REPORT_LAG = 0.5
NO_CAPACITY_LIMIT = 1_000_000
ATTEMPT_SECONDS = 2.0
STORM_FACTOR = 0.7
STORM_FROM = 10.0
STORM_UNTIL = 18.0
STORM_SECONDS = 60.0
STORM_SLOWNESS = 5.0
RECOVERED = 0.9
RECOVERED_SECONDS = 5
CALLER_ATTEMPTS = 3
CALLER_BACKOFF = 0.5
SURGE_FROM = 12.0
SURGE_SECONDS = 24.0
ONSET_SECONDS = 3.0
VICTIM_PART = 0.2
SURGE_PART = 4.0
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
        self.retries.arrived(job.organisation)
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
        world, clock = self.world, self.world.time
        if job.done:
            return
        query = RouteQuery(
            target=MODEL_TARGET,
            organisation=job.organisation,
            priority=job.priority,
            deadline=job.deadline,
        )
        try:
            name = self.router.choose(query).endpoint
        except RequestError as exc:
            self._give_back(job, False)
            if exc.code is Code.DEADLINE_PASSED:
                world.failed(job)
            else:
                world.refused(job)
            return
        job.attempts += 1
        world.tally.attempts += 1
        token = self.router.begin(name)
        engine = world.engines[name]
        blocks = tuple(world.rng.getrandbits(60) for _ in range(BLOCKS))
        tokens = max(1, int(world.rng.expovariate(1.0 / TOKENS)))
        req = FakeRequest(
            blocks,
            tokens,
            job.priority,
            lambda: self._first(job, token),
            lambda: self._ended(job, token),
        )
        engine.submit(req)
        until = job.deadline - clock.now
        if world.options.system_retries:
            until = min(until, ATTEMPT_SECONDS)
        clock.after(max(0.0, until), lambda: self._timeout(job, token, engine, req))

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
            if job.attempts < 4:
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
        report = self.engines[name].report(REPORT_LAG, 2.0)
        if not self.options.controller:
            report = msgspec.structs.replace(report, capacity=NO_CAPACITY_LIMIT)
        for entry in self.entries:
            entry.router.observe(report, self.time.now)

    def _tick(self) -> None:
        for entry in self.entries:
            rows = entry.admission.tick()
            for other in self.entries:
                if other is not entry:
                    other.admission.hear(entry.name, 1, rows)


@dataclass(slots=True)
class LoadRow:
    """Goodput in requests a second and p99 of the first token in milliseconds.

    Attributes:
        factor: Offered load over capacity.
        goodput: Whole answers within the deadline, each second.
        served_part: By priority, whole answers in time over requests offered.
        first_p99: By priority, of those.
    """

    factor: float
    controller: bool
    offered: float
    goodput: float
    served_part: dict[int, float]
    first_p99: dict[int, float]


@dataclass(slots=True)
class StormRow:
    """A trigger that slows all engines for some seconds, with callers and system retrying.

    Attributes:
        amplification: Attempts at engines over requests that callers first made.
        goodput_after: Whole answers in time each second, from 5 s after the trigger's end.
        recovery_seconds: From the trigger's end until goodput is back for good, None for never.
    """

    controller: bool
    budget: bool
    amplification: float
    goodput_before: float
    goodput_during: float
    goodput_after: float
    recovery_seconds: float | None


@dataclass(slots=True)
class SurgeRow:
    """An organisation with steady load while another surges.

    Attributes:
        victim_p99: Of its first token in milliseconds, before the surge, in its first seconds, and
            after those.
        victim_served: Whole answers in time over requests, in the same parts.
        surge_served: The same for the organisation that surges, in the last part.
    """

    controller: bool
    victim_p99: list[float]
    victim_served: list[float]
    surge_served: float


@dataclass(slots=True)
class CostRow:
    """Processor time of one admission or refusal in microseconds."""

    organisations: int
    endpoints: int
    admit_us: float
    refuse_us: float


@dataclass(slots=True)
class Result:
    """All rows of the benchmark."""

    capacity: float
    load: list[LoadRow]
    storm: list[StormRow]
    surge: list[SurgeRow]
    costs: list[CostRow]


def run_load(factor: float, controller: bool) -> LoadRow:
    """Measure a steady load."""
    world = World(["org"], Options(controller=controller))
    world.offer("org", factor * CAPACITY, 0.0, LOAD_SECONDS)
    world.run(LOAD_SECONDS + DEADLINE_SECONDS)
    tally = world.tally
    seconds = LOAD_SECONDS - WARM_SECONDS
    keys = [("org", priority) for priority in PRIORITIES]
    return LoadRow(
        factor=factor,
        controller=controller,
        offered=round(sum(tally.offered.values()) / seconds, 1),
        goodput=round(sum(tally.good.values()) / seconds, 1),
        served_part={k[1]: round(tally.good[k] / max(1, tally.offered[k]), 3) for k in keys},
        first_p99={k[1]: round(1000 * percentile(tally.first.get(k, []), 0.99), 0) for k in keys},
    )


def run_storm(controller: bool, budget: bool) -> StormRow:
    """Measure recovery from a trigger while everybody retries."""
    options = Options(
        controller=controller, budget=budget, system_retries=True, caller_retries=True
    )
    world = World(["org"], options)
    offered = STORM_FACTOR * CAPACITY
    world.offer("org", offered, 0.0, STORM_SECONDS)
    world.at(STORM_FROM, lambda: world.set_slowness(STORM_SLOWNESS))
    world.at(STORM_UNTIL, lambda: world.set_slowness(1.0))
    world.run(STORM_SECONDS)
    by_second = Counter(int(at) for at in world.tally.good_at)
    return StormRow(
        controller=controller,
        budget=budget,
        amplification=round(world.tally.attempts / (offered * STORM_SECONDS), 2),
        goodput_before=_mean(by_second, WARM_SECONDS, STORM_FROM),
        goodput_during=_mean(by_second, STORM_FROM, STORM_UNTIL),
        goodput_after=_mean(by_second, STORM_UNTIL + 5.0, STORM_SECONDS),
        recovery_seconds=_recovery(by_second, offered),
    )


def run_surge(controller: bool) -> SurgeRow:
    """Measure one organisation's latency under another's surge, both of one priority."""
    boundaries = (SURGE_FROM, SURGE_FROM + ONSET_SECONDS)
    world = World(["victim", "surge"], Options(controller=controller), boundaries)
    world.offer("victim", VICTIM_PART * CAPACITY, 0.0, SURGE_SECONDS, priority=5)
    world.offer("surge", 0.4 * CAPACITY, 0.0, SURGE_FROM, priority=5)
    world.offer("surge", SURGE_PART * CAPACITY, SURGE_FROM, SURGE_SECONDS, priority=5)
    world.run(SURGE_SECONDS + DEADLINE_SECONDS)
    key, surge = ("victim", 5), ("surge", 5)
    last = world.tallies[-1]
    return SurgeRow(
        controller=controller,
        victim_p99=[
            round(1000 * percentile(tally.first.get(key, []), 0.99), 0) for tally in world.tallies
        ],
        victim_served=[round(tally.good[key] / tally.offered[key], 3) for tally in world.tallies],
        surge_served=round(last.good[surge] / last.offered[surge], 3),
    )


def run_cost(organisations: int, endpoints: int, rounds: int = 10_000) -> CostRow:
    """Measure the processor time of admission with its release, and of a refusal."""
    timeline = Timeline()
    rng = random.Random(SEED)
    names = [f"org-{index:03d}" for index in range(organisations)]
    cfg = fake_configuration(endpoints, 1, dict.fromkeys(names, WIDE))
    admission = Admission(timeline.clock, rng, sorted(cfg.entries)[0])
    admission.configure(cfg)
    admission.tick()
    queries = [AdmitQuery(organisation=name, target=MODEL_TARGET) for name in names]
    spent = time.process_time()
    for index in range(rounds):
        timeline.clock.advance(0.001)
        admitted = admission.admit(queries[index % organisations])
        admission.first_byte(admitted)
        admission.release(admitted)
    admit_us = 1e6 * (time.process_time() - spent) / rounds
    late = AdmitQuery(organisation=names[0], target=MODEL_TARGET, deadline=0.0)
    refused = 0
    spent = time.process_time()
    for _ in range(rounds):
        try:
            admission.admit(late)
        except RequestError:
            refused += 1
    refuse_us = 1e6 * (time.process_time() - spent) / refused
    return CostRow(organisations, endpoints, round(admit_us, 1), round(refuse_us, 1))


def _mean(by_second: Counter[int], begin: float, end: float) -> float:
    seconds = range(int(begin), int(end))
    return round(sum(by_second[second] for second in seconds) / len(seconds), 1)


def _recovery(by_second: Counter[int], offered: float) -> float | None:
    last = int(STORM_SECONDS) - RECOVERED_SECONDS
    for second in range(int(STORM_UNTIL), last):
        span = range(second, second + RECOVERED_SECONDS)
        if all(by_second[at] >= RECOVERED * offered * 0.9 for at in span):
            return second - STORM_UNTIL
    return None


def run(factors: Sequence[float] = FACTORS) -> Result:
    """Run everything."""
    return Result(
        capacity=round(CAPACITY, 1),
        load=[run_load(factor, on) for factor in factors for on in (False, True)],
        storm=[run_storm(on, budget) for on in (False, True) for budget in (False, True)],
        surge=[run_surge(on) for on in (False, True)],
        costs=[run_cost(10, 12), run_cost(380, 200)],
    )


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print(f"capacity {result.capacity} requests/s; p99 of the first token in ms, by priority")
    print("load  controller  offered  goodput  served 2/5/8              p99 2/5/8")
    for row in result.load:
        parts = " ".join(f"{row.served_part[p]:7.1%}" for p in PRIORITIES)
        times = " ".join(f"{row.first_p99[p]:7.0f}" for p in PRIORITIES)
        print(
            f"{row.factor:<5} {row.controller!s:<11} {row.offered:>7} {row.goodput:>8}  "
            f"{parts}  {times}"
        )
    print("\ncontroller  budget  attempts/request  before  during   after  recovery s")
    for storm in result.storm:
        print(
            f"{storm.controller!s:<11} {storm.budget!s:<7} {storm.amplification:>16} "
            f"{storm.goodput_before:>7} {storm.goodput_during:>7} {storm.goodput_after:>7} "
            f"{'never' if storm.recovery_seconds is None else storm.recovery_seconds:>11}"
        )
    print("\ncontroller  victim p99 before/onset/during  served before/onset/during  surge served")
    for surge in result.surge:
        times = " ".join(f"{value:>9.0f}" for value in surge.victim_p99)
        parts = " ".join(f"{value:>8.1%}" for value in surge.victim_served)
        print(f"{surge.controller!s:<11} {times} {parts} {surge.surge_served:>12.1%}")
    print("\norganisations  endpoints  admit us  refuse us")
    for cost in result.costs:
        print(
            f"{cost.organisations:>13} {cost.endpoints:>10} {cost.admit_us:>9} {cost.refuse_us:>10}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
