"""The main job in one process, without any service: ``carawayhub demo``.

The platform, two entries, agents, model endpoints, a lock-step group and plain services run inside
this process. Calls flow while a migration step makes one endpoint leave, the VM of another dies,
and the group moves its experts after their popularity.
"""

import contextlib
from collections import Counter
from dataclasses import dataclass

import anyio

from carawayhub.context import Environment
from carawayhub.local.fleet import LocalFleet
from carawayhub.output.logs import quiet_logs
from carawayhub.output.tables import write_table
from carawayhub.standins.callers import Caller, CallerOptions, Once
from carawayhub.standins.checker import Report, check
from carawayhub.standins.fleet import leaving_step
from carawayhub.standins.fleetshape import (
    EndpointKind,
    FleetShape,
    LockStepShape,
    OrganisationPlan,
)
from carawayhub.standins.load import (
    Load,
    Share,
    bookings,
    look_ups,
    run_load,
    streams,
    whole_answers,
)
from carawayhub.standins.records import CallRecord, Result
from carawayhub.status import ExitStatus

SEED = 7
LOAD_SECONDS = 12.0
CALLS_PER_SECOND = 12.0
STEP_AT = 3.0
DEATH_AT = 7.0
STREAM_TOKENS = 60
WHOLE_TOKENS = 8
STATE_POLL = 0.2


@dataclass(frozen=True, slots=True)
class _Scene:
    """Which endpoints take the two parts of the demonstration."""

    leaving: str
    dying: str


def demo(env: Environment) -> ExitStatus:
    """Run the demonstration; success only if every answer was whole and its caller's own."""
    quiet_logs()
    return anyio.run(_run, env, backend_options={"use_uvloop": True})


async def _run(env: Environment) -> ExitStatus:
    fleet = LocalFleet(_shape())
    engines = [each.name for each in fleet.plan.endpoints_of(EndpointKind.ENGINE)]
    scene = _Scene(leaving=engines[0], dying=engines[1])
    _say(env, "starting a platform, 2 entries, 4 model endpoints and 2 plain services,")
    _say(env, "and a lock-step group of 4 ranks behind 2 endpoints")
    async with fleet.running():
        _say(env, "ready; calls begin")
        records: list[CallRecord] = []
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_migrate, env, fleet, scene)
            tasks.start_soon(_follow_group, env, fleet)
            records += await _call(fleet)
            tasks.cancel_scope.cancel()
        report = _report(fleet, records)
    _write_records(env, records)
    return _verdict(env, report, records)


def _shape() -> FleetShape:
    return FleetShape(
        entries=2,
        engines=4,
        lock_step=LockStepShape(),
        services=2,
        organisations=(OrganisationPlan("cafes", priority=1), OrganisationPlan("guides")),
    )


async def _call(fleet: LocalFleet) -> list[CallRecord]:
    model = fleet.plan.shape.model
    mix = (
        Share(5.0, streams(model, STREAM_TOKENS)),
        Share(2.0, whole_answers(model, WHOLE_TOKENS)),
        Share(2.0, look_ups()),
        Share(1.0, bookings(Once.TICKET)),
    )
    load = Load(per_second=CALLS_PER_SECOND, seconds=LOAD_SECONDS, mix=mix, seed=SEED)
    async with contextlib.AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(Caller(_options(fleet, organisation)).open())
            for organisation in fleet.plan.shape.organisations
        ]
        return await run_load(callers, load)


def _options(fleet: LocalFleet, organisation: OrganisationPlan) -> CallerOptions:
    return CallerOptions(name=organisation.name, api_key=organisation.key, seeds=fleet.plan.seeds)


async def _migrate(env: Environment, fleet: LocalFleet, scene: _Scene) -> None:
    """Drop in a migration step while calls flow, then let a VM die."""
    await anyio.sleep(STEP_AT)
    name, content = leaving_step([scene.leaving])
    fleet.note_leaving(scene.leaving)
    version = fleet.publish(name, content)
    _say(env, f"step {name}: {scene.leaving} is leaving (version {version})")
    await _until_leaving(fleet, scene.leaving)
    _say(env, f"{scene.leaving} takes no new work; what runs there goes on to its end")
    await anyio.sleep(max(0.0, DEATH_AT - STEP_AT))
    fleet.kill_vm(scene.dying)
    _say(env, f"the VM of {scene.dying} died with streams in flight")


async def _follow_group(env: Environment, fleet: LocalFleet) -> None:
    """Say what becomes of the group's map, as the agent beside its rank 0 tells it."""
    leader = fleet.plan.lock_step[0].name
    told = 0
    while True:
        status = await fleet.status(leader)
        for group in status.groups if status is not None else ():
            if group.map_number > told and not group.out_of_routing:
                told = group.map_number
                why = f"{group.reason}, skew was {group.skew:.2f}" if group.reason else "it formed"
                _say(env, f"group {group.name} steps on map {told}: {why}")
        await anyio.sleep(STATE_POLL)


async def _until_leaving(fleet: LocalFleet, endpoint: str) -> None:
    entries = [node.name for node in fleet.plan.entries]
    for entry in entries:
        while not await _sees_leaving(fleet, entry, endpoint):
            await anyio.sleep(STATE_POLL)


async def _sees_leaving(fleet: LocalFleet, entry: str, endpoint: str) -> bool:
    status = await fleet.status(entry)
    if status is None:
        return False
    return any(row.name == endpoint and row.condition == "leaving" for row in status.endpoints)


def _report(fleet: LocalFleet, records: list[CallRecord]) -> Report:
    fleet.evidence.records = records
    fleet.evidence.journals = fleet.journals()
    fleet.evidence.steps = fleet.steps()
    return check(fleet.evidence)


def _write_records(env: Environment, records: list[CallRecord]) -> None:
    counts = Counter((record.kind, record.result) for record in records)
    retried = Counter(record.kind for record in records if len(record.attempts) > 1)
    kinds = sorted({kind for kind, _ in counts})
    headers = ("calls", *(result.value for result in Result), "asked again")
    rows = [(kind, *(counts[(kind, result)] for result in Result), retried[kind]) for kind in kinds]
    env.stdout.write("\nwhat callers saw:\n")
    write_table(env.stdout, headers, rows)


def _verdict(env: Environment, report: Report, records: list[CallRecord]) -> ExitStatus:
    for finding in report.findings:
        env.stdout.write(f"broken promise: {finding}\n")
    missed = [record for record in records if record.result is not Result.COMPLETED]
    for record in missed:
        last = record.attempts[-1]
        env.stdout.write(f"no whole answer: {record.kind}: {last.result.value}: {last.detail}\n")
    if report.findings or missed:
        return ExitStatus.OUTCOME_MISSED
    env.stdout.write(f"\nall {len(records)} answers were whole and their callers' own\n")
    env.stdout.write("and in each step all ranks of the group used one map\n")
    return ExitStatus.SUCCESS


def _say(env: Environment, text: str) -> None:
    env.stdout.write(f"{text}\n")
    env.stdout.flush()
