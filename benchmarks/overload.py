"""Overload: goodput and latency with and without the controller, retry storms, and surges.

Entries with the product's admission, router and retry budget send requests to fake engines that
can be cancelled. Without the controller nothing is refused, and each request waits its turn.
"""

import json
import random
import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import asdict, dataclass

from benchmarks.fakes import (
    BLOCK_SECONDS,
    MODEL_TARGET,
    PREFILL_SECONDS,
    Timeline,
    fake_configuration,
    percentile,
)
from benchmarks.overload_entries import (
    BLOCKS,
    DEADLINE_SECONDS,
    ENDPOINTS,
    PRIORITIES,
    SEED,
    WARM_SECONDS,
    WIDE,
    Options,
    World,
)
from carawayhub.errors import RequestError
from carawayhub.limits.admission import Admission
from carawayhub.limits.query import AdmitQuery

CAPACITY = ENDPOINTS / (PREFILL_SECONDS + BLOCK_SECONDS * BLOCKS)
FACTORS = (0.5, 0.9, 1.2, 2.0, 3.0, 5.0)
LOAD_SECONDS = 20.0
STORM_FACTOR = 0.7
STORM_FROM = 10.0
STORM_UNTIL = 18.0
STORM_SECONDS = 60.0
SETTLE_SECONDS = 5.0
STORM_SLOWNESS = 5.0
RECOVERED = 0.9
RECOVERED_SECONDS = 5
SURGE_FROM = 12.0
SURGE_SECONDS = 24.0
ONSET_SECONDS = 3.0
VICTIM_PART = 0.2
CALM_PART = 0.4
SURGE_PART = 4.0
SURGE_PRIORITY = 5


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
        goodput_after=_mean(by_second, STORM_UNTIL + SETTLE_SECONDS, STORM_SECONDS),
        recovery_seconds=_recovery(by_second, offered),
    )


def run_surge(controller: bool) -> SurgeRow:
    """Measure one organisation's latency under another's surge, both of one priority."""
    boundaries = (SURGE_FROM, SURGE_FROM + ONSET_SECONDS)
    world = World(["victim", "surge"], Options(controller=controller), boundaries)
    world.offer("victim", VICTIM_PART * CAPACITY, 0.0, SURGE_SECONDS, priority=SURGE_PRIORITY)
    world.offer("surge", CALM_PART * CAPACITY, 0.0, SURGE_FROM, priority=SURGE_PRIORITY)
    world.offer("surge", SURGE_PART * CAPACITY, SURGE_FROM, SURGE_SECONDS, priority=SURGE_PRIORITY)
    world.run(SURGE_SECONDS + DEADLINE_SECONDS)
    key, surge = ("victim", SURGE_PRIORITY), ("surge", SURGE_PRIORITY)
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
