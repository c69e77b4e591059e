"""A random mix of all faults on a local fleet of real processes, checked from outside.

``python -m benchmarks.chaos --seed N --seconds S`` exits with 0 only if no promise was broken:
double runs, wrong, mixed or cut answers, false "not run" answers, versions that went back, new work
on leaving endpoints, steps with two maps, and planned stops that did not end in order. It reports
beside them how many repeatable calls were answered, and which codes kept the others from it.
"""

import argparse
import contextlib
import json
import sys
from collections import Counter
from dataclasses import asdict, dataclass

import anyio

from benchmarks.chaos_fleet import ChaosFleet
from benchmarks.chaos_plan import Fault, FaultPlan
from carawayhub.clock import SystemClock
from carawayhub.codes import Code
from carawayhub.output.tables import write_table
from carawayhub.standins.callers import Caller, CallerOptions, Once
from carawayhub.standins.checker import Report, check
from carawayhub.standins.fleet import to_json
from carawayhub.standins.fleetshape import FleetShape, LockStepShape, OrganisationPlan
from carawayhub.standins.load import (
    Load,
    Share,
    bookings,
    look_ups,
    run_load,
    streams,
    whole_answers,
)
from carawayhub.standins.records import Attempt, CallRecord, Result
from tests.processes import process_fleet

LEAST_ENTRIES, LEAST_AGENTS = 3, 6
DESKS, LOCK_STEP_ENGINES = 3, 2
CALLS_PER_SECOND = 10.0
MEAN_GAP = 0.7
CALM_SECONDS = 5.0
SETTLE_SECONDS = 4.0
DEADLINE = 5.0
ATTEMPTS = 4
TOKENS = 20
CLEAN_EXIT = 0
NO_REPLY = "no reply"


@dataclass(slots=True, frozen=True, kw_only=True)
class ChaosRow:
    """One run.

    Attributes:
        seed: Its seed.
        entries: Entries.
        agents: Agents.
        faults: Faults that struck.
        calls: Calls.
        runs: Runs at endpoints.
        broken: Broken promises by kind, zeros included.
        unclean_stops: Planned stops that did not end with status 0.
        planned_stops: Planned stops.
        availability: Part of the repeatable calls that were answered whole.
        calm_availability: The same for calls after the faults were over and their traces gone.
        run_once_answered: Part of the run-once calls that were answered whole.
        limits: Requests without an answer, by result and code.
        findings: The broken promises in words.
        failures: What went wrong with the bench itself.
    """

    seed: int
    entries: int
    agents: int
    faults: int
    calls: int
    runs: int
    broken: dict[str, int]
    unclean_stops: int
    planned_stops: int
    availability: float
    calm_availability: float
    run_once_answered: float
    limits: dict[str, int]
    findings: list[str]
    failures: list[str]

    @property
    def holds(self) -> bool:
        """Whether nothing was broken and the bench itself worked."""
        return not (sum(self.broken.values()) or self.unclean_stops or self.failures)


def main(argv: list[str]) -> int:
    """Run with the arguments of the command line; 0 only if all promises held."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.chaos", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--entries", type=int, default=LEAST_ENTRIES)
    parser.add_argument("--agents", type=int, default=LEAST_AGENTS)
    parser.add_argument("--altered-service-answers", action="store_true")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    if args.entries < LEAST_ENTRIES or args.agents < LEAST_AGENTS:
        parser.error(f"at least {LEAST_ENTRIES} entries and {LEAST_AGENTS} agents are needed")
    altered = args.altered_service_answers
    row = run(args.seed, args.seconds, args.entries, args.agents, altered)
    if args.json:
        sys.stdout.write(json.dumps(asdict(row), indent=2) + "\n")
    else:
        _write(row)
    return 0 if row.holds else 1


def run(
    seed: int, seconds: float, entries: int, agents: int, alters_services: bool = False
) -> ChaosRow:
    """Run one fleet for some seconds and return what was seen; see ``FaultPlan``."""
    return anyio.run(_run, seed, seconds, _shape(entries, agents), alters_services)


def _shape(entries: int, agents: int) -> FleetShape:
    return FleetShape(
        entries=entries,
        engines=agents - DESKS - LOCK_STEP_ENGINES,
        services=DESKS,
        lock_step=LockStepShape(engines=LOCK_STEP_ENGINES, decision_interval_s=0.5),
        key_quarantine=False,
        organisations=(
            OrganisationPlan("cafes", priority=1, retry_share=0.5),
            OrganisationPlan("guides", priority=8, retry_share=0.5),
        ),
    )


async def _run(seed: int, seconds: float, shape: FleetShape, alters_services: bool) -> ChaosRow:
    async with process_fleet(shape, seed) as fleet, contextlib.AsyncExitStack() as stack:
        # Keys may run at once only because the service is used for the first time: from now on
        # agents that start distrust keys, as a replaced agent must.
        fleet.publish("45-quarantine.json", _quarantine())
        for name in fleet.daemons:
            await fleet.wait_for_version(name, 2)
        chaos = ChaosFleet(fleet)
        callers = [
            await stack.enter_async_context(Caller(options).open())
            for options in _caller_options(shape, fleet.plan.seeds)
        ]
        clock = SystemClock()
        began = clock.monotonic()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(chaos.sample)
            async with anyio.create_task_group() as striking:
                plan = FaultPlan(fleet.plan, seed, alters_services)
                until = seconds - CALM_SECONDS - SETTLE_SECONDS
                for fault in plan.draw(until, MEAN_GAP):
                    striking.start_soon(_strike, chaos, fault)
                chaos.evidence.records = await run_load(callers, _load(shape, seed, seconds))
            tasks.cancel_scope.cancel()
        chaos.evidence.journals = fleet.journals()
        chaos.evidence.steps = await chaos.steps()
        return _row(seed, chaos, began + seconds - CALM_SECONDS)


async def _strike(chaos: ChaosFleet, fault: Fault) -> None:
    await anyio.sleep(fault.at)
    await chaos.strike(fault)


def _quarantine() -> bytes:
    return to_json({"services": {"booking": {"key_quarantine": True}}})


def _caller_options(shape: FleetShape, seeds: tuple[str, ...]) -> list[CallerOptions]:
    return [
        CallerOptions(
            name=f"{organisation.name}-{domain}",
            api_key=organisation.key,
            seeds=seeds,
            failure_domain=domain,
            deadline_s=DEADLINE,
            attempts=ATTEMPTS,
        )
        for organisation in shape.organisations
        for domain in shape.failure_domains
    ]


def _load(shape: FleetShape, seed: int, seconds: float) -> Load:
    mix = (
        Share(4.0, streams(shape.model, TOKENS)),
        Share(1.0, whole_answers(shape.model, 8)),
        Share(1.0, whole_answers(shape.model, 8, Once.TICKET)),
        Share(2.0, look_ups()),
        Share(1.5, bookings(Once.KEY)),
        Share(1.5, bookings(Once.TICKET)),
    )
    return Load(per_second=CALLS_PER_SECOND, seconds=seconds, mix=mix, seed=seed)


def _row(seed: int, chaos: ChaosFleet, calm_since: float) -> ChaosRow:
    report = check(chaos.evidence)
    records = chaos.evidence.records
    shape = chaos.fleet.plan.shape
    repeatable = [record for record in records if not record.run_once]
    calm = [record for record in repeatable if record.attempts[0].began >= calm_since]
    return ChaosRow(
        seed=seed,
        entries=shape.entries,
        agents=len(chaos.fleet.plan.endpoints),
        faults=sum(chaos.struck.values()),
        calls=len(records),
        runs=report.runs,
        broken=report.counts(),
        unclean_stops=sum(status != CLEAN_EXIT for _, status in chaos.exits),
        planned_stops=len(chaos.exits),
        availability=_part(repeatable),
        calm_availability=_part(calm),
        run_once_answered=_part([record for record in records if record.run_once]),
        limits=_limits(repeatable),
        findings=_findings(report, chaos),
        failures=chaos.failures,
    )


def _findings(report: Report, chaos: ChaosFleet) -> list[str]:
    unclean = [
        f"planned stop of {name} ended with status {status}"
        for name, status in chaos.exits
        if status != CLEAN_EXIT
    ]
    return [*(str(finding) for finding in report.findings), *unclean]


def _part(records: list[CallRecord]) -> float:
    whole = sum(record.result is Result.COMPLETED for record in records)
    return round(whole / len(records), 4) if records else 1.0


def _limits(records: list[CallRecord]) -> dict[str, int]:
    """Count the requests of repeatable calls that brought no answer, by what they met."""
    attempts = [each for record in records for each in record.attempts]
    counts = Counter(_met(each) for each in attempts if each.result is not Result.COMPLETED)
    return dict(counts.most_common())


def _met(attempt: Attempt) -> str:
    what = f"{attempt.code} {Code(attempt.code).name}" if attempt.code else NO_REPLY
    return f"{attempt.result.value}: {what}"


def _write(row: ChaosRow) -> None:
    figures = {
        "seed": row.seed,
        "entries": row.entries,
        "agents": row.agents,
        "faults": row.faults,
        "calls": row.calls,
        "runs": row.runs,
        "broken": sum(row.broken.values()),
        "unclean stops": row.unclean_stops,
        "availability": row.availability,
        "after the faults": row.calm_availability,
        "run-once answered": row.run_once_answered,
    }
    write_table(sys.stdout, tuple(figures), [tuple(figures.values())])
    for text in (*row.findings, *row.failures):
        sys.stdout.write(f"{text}\n")
    rows = list(row.limits.items())
    write_table(sys.stdout, ("requests without an answer", "count"), rows)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
