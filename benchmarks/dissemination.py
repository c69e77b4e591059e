"""How fast, and at what price, a configuration comes into force on every node of a fleet.

The product's synchronisation, watchers and starts run in one process on virtual time, over fakes of
links and service. Every 3.2 s one file of 3 KB out of 500 is rewritten. Bytes and messages are
those of the encoded messages, without the framing of HTTP/2 and TCP. Processor time is that of the
node's tasks with their part of the fakes, without ``grpclib``.
"""

import json
import sys
from collections.abc import Callable, Coroutine
from dataclasses import asdict
from typing import Any

import anyio
import anyio.abc

from benchmarks.fleet_nodes import Fleet, FleetNode, Shape
from benchmarks.fleet_rates import (
    IN_FORCE_LIMIT,
    NEVER,
    Mark,
    RestartRow,
    Result,
    Row,
    full_size,
    row_of,
)
from benchmarks.virtual_time import run as run_virtual

SEED = 11
CHANGE_EVERY = 3.2
SETTLE = 6.0
PULL_EVERY = 10.0

Disturb = Callable[[Fleet, anyio.abc.TaskGroup], Coroutine[Any, Any, None]]
Start = Callable[[Fleet, anyio.abc.TaskGroup], Coroutine[Any, Any, None]]


def run() -> Result:
    """Run all scenarios."""
    sizes = tuple(
        _changes(f"changes, {nodes} nodes", Shape(nodes=nodes), 5 if nodes > 100 else 12)
        for nodes in (10, 50, 200, 400)
    )
    idle = _changes("no changes, 400 nodes", Shape(nodes=400), 0)
    others = (
        _changes("heartbeats only, no announcement", Shape(nodes=100, announce=False), 8),
        _changes("5% of messages lost", Shape(nodes=100, loss=0.05), 8),
        _changes("a region cut off for 20 s", Shape(nodes=100), 8, _cut_region),
        _changes("service stale for 12 s", Shape(nodes=100), 8, _stale_service),
        _changes("a file of 1 MB rewritten", Shape(nodes=40, files=4, file_bytes=1_000_000), 5),
        _changes("baseline: every node watches", Shape(nodes=100, watch=True, links=False), 8),
        _changes(
            "baseline: every node reads each 10 s",
            Shape(nodes=100, links=False),
            8,
            start=_start_readers,
        ),
    )
    restarts = (
        run_virtual(_restart, "a failure domain restarts", Shape(nodes=400), False),
        run_virtual(_restart, "a failure domain restarts, service stale", Shape(nodes=200), True),
        run_virtual(_cold_start, "all start, none has anything", Shape(nodes=200)),
    )
    return Result(
        steady=(*sizes, idle, *others),
        restarts=restarts,
        full_size=full_size(sizes, others, restarts),
    )


def _changes(
    scenario: str,
    shape: Shape,
    changes: int,
    disturb: Disturb | None = None,
    start: Start | None = None,
) -> Row:
    row: Row = run_virtual(
        _publish_changes, scenario, shape, changes, start or _start_seeded, disturb
    )
    return row


async def _publish_changes(
    scenario: str, shape: Shape, changes: int, start: Start, disturb: Disturb | None
) -> Row:
    fleet = Fleet(shape, SEED)
    fleet.publish_first()
    async with anyio.create_task_group() as tasks:
        await start(fleet, tasks)
        await anyio.sleep(SETTLE)
        mark = Mark(fleet)
        published = await _change(fleet, tasks, changes, disturb)
        rates = mark.rates()
        await _all_in_force(fleet)
        row = row_of(scenario, fleet, published, rates)
        tasks.cancel_scope.cancel()
    return row


async def _start_seeded(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Start all nodes with the first version in force."""
    await fleet.start(fleet.names(), tasks, seeded=True)


async def _start_readers(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Start all nodes without links; each reads the service by itself."""
    for name in fleet.names():
        node = await fleet.place(name, seeded=True)
        tasks.start_soon(_read_each, fleet, node)


async def _change(
    fleet: Fleet, tasks: anyio.abc.TaskGroup, changes: int, disturb: Disturb | None
) -> dict[int, float]:
    if disturb is not None:
        tasks.start_soon(disturb, fleet, tasks)
    published: dict[int, float] = {}
    if changes == 0:
        await anyio.sleep(5 * CHANGE_EVERY)
    for _ in range(changes):
        published[fleet.publish_change()] = fleet.clock.monotonic()
        await anyio.sleep(CHANGE_EVERY)
    return published


async def _all_in_force(fleet: Fleet) -> None:
    newest = fleet.service.version
    with anyio.move_on_after(IN_FORCE_LIMIT):
        while any(node.sync.in_force.version < newest for node in fleet.nodes.values()):
            await anyio.sleep(0.5)


async def _read_each(fleet: Fleet, node: FleetNode) -> None:
    await anyio.sleep(fleet.rng.uniform(0, PULL_EVERY))
    while True:
        await node.watcher.read()
        await anyio.sleep(PULL_EVERY)


async def _cut_region(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Cut one region off from the others and from the service, and heal it."""
    await anyio.sleep(1.0)
    regions = {place.region for place in fleet.places} - {"region-0"}
    fleet.network.cut = {frozenset(("region-0", other)) for other in regions}
    fleet.service.unreachable = set(fleet.names(lambda place: place.region == "region-0"))
    await anyio.sleep(20.0)
    fleet.network.cut = set()
    fleet.service.unreachable = set()


async def _stale_service(fleet: Fleet, tasks: anyio.abc.TaskGroup) -> None:
    """Let watchers read an old version for a while, although newer ones were published."""
    await anyio.sleep(7.0)
    fleet.service.stale = True
    await anyio.sleep(12.0)
    fleet.service.stale = False


async def _restart(scenario: str, shape: Shape, stale: bool) -> RestartRow:
    fleet = Fleet(shape, SEED)
    fleet.publish_first()
    async with anyio.create_task_group() as tasks:
        await fleet.start(fleet.names(), tasks, seeded=True)
        await anyio.sleep(SETTLE)
        newest = fleet.publish_change()
        await anyio.sleep(SETTLE)
        fleet.service.stale = stale
        names = fleet.names(lambda place: place.failure_domain == "domain-3")
        for name in names:
            fleet.stop(name)
        await anyio.sleep(1.0)
        started = await _start_all(fleet, names, tasks)
        row = _restart_row(scenario, fleet, names, started, newest)
        tasks.cancel_scope.cancel()
    return row


async def _cold_start(scenario: str, shape: Shape) -> RestartRow:
    fleet = Fleet(shape, SEED)
    fleet.publish_first()
    async with anyio.create_task_group() as tasks:
        started = await _start_all(fleet, fleet.names(), tasks)
        row = _restart_row(scenario, fleet, fleet.names(), started, 1)
        tasks.cancel_scope.cancel()
    return row


async def _start_all(fleet: Fleet, names: list[str], tasks: anyio.abc.TaskGroup) -> float:
    fleet.service.forget_reads()
    started = fleet.clock.monotonic()
    await fleet.start(names, tasks)
    with anyio.move_on_after(180):
        while any(fleet.nodes[name].ready_at > fleet.clock.monotonic() for name in names):
            await anyio.sleep(0.1)
    return started


def _restart_row(
    scenario: str, fleet: Fleet, names: list[str], started: float, newest: int
) -> RestartRow:
    nodes = [fleet.nodes[name] for name in names]
    ready = sorted(min(node.ready_at - started, NEVER) for node in nodes)
    reads = sum(fleet.service.calls[name] + fleet.service.file_calls[name] for name in names)
    return RestartRow(
        scenario=scenario,
        nodes=fleet.shape.nodes,
        started=len(names),
        first_ready=round(ready[0], 2),
        all_ready=round(ready[-1], 2),
        behind=sum(node.sync.in_force.version < newest for node in nodes),
        peak_reads=fleet.service.peak(),
        reads_each=round(reads / len(names), 1),
    )


def main(argv: list[str]) -> int:
    """Print the result as tables, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print(
        f"{'scenario':<42}{'nodes':>6}{'p50 s':>8}{'p99 s':>8}{'max s':>8}{'miss':>5}{'back':>5}"
        f"{'entry KB/s':>11}{'agent':>7}{'watcher':>8}{'entry msg/s':>12}{'agent':>7}"
        f"{'entry cpu%':>11}{'agent':>7}{'reads/s':>8}{'peak':>6}"
    )
    for row in result.steady:
        print(
            f"{row.scenario:<42}{row.nodes:>6}{row.p50:>8.2f}{row.p99:>8.2f}{row.slowest:>8.2f}"
            f"{row.missing:>5}{row.went_back:>5}{row.entry_kb:>11.1f}{row.agent_kb:>7.1f}{row.watcher_kb:>8.1f}"
            f"{row.entry_messages:>12.1f}{row.agent_messages:>7.1f}{row.entry_processor:>11.2f}"
            f"{row.agent_processor:>7.2f}{row.reads:>8.1f}{row.peak_reads:>6}"
        )
    print(
        f"\n{'starts':<42}{'nodes':>6}{'started':>8}{'first s':>8}{'all s':>8}{'behind':>7}", end=""
    )
    print(f"{'peak reads/s':>13}{'reads each':>11}")
    for start in result.restarts:
        print(
            f"{start.scenario:<42}{start.nodes:>6}{start.started:>8}{start.first_ready:>8.2f}"
            f"{start.all_ready:>8.2f}{start.behind:>7}{start.peak_reads:>13}{start.reads_each:>11.1f}"
        )
    print(f"\n{'at 780 entries and 5,400 agents':<46}{'value':>9}{'limit':>8}  from")
    for full in result.full_size:
        print(f"{full.what:<46}{full.value:>9.2f}{full.limit:>8.1f}  {full.derived}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
