"""How fast, and at what price, a configuration comes into force on every node of a fleet.

The product's synchronisation, watchers and starts run in one process on virtual time, over fakes of
links and service. Every 3.2 s one file of 3 KB out of 500 is rewritten. Bytes and messages are
those of the encoded messages, without the framing of HTTP/2 and TCP. Processor time is that of the
node's tasks with their part of the fakes, without ``grpclib``.
"""

import json
import sys
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass
from typing import Any

import anyio
import anyio.abc

from benchmarks.fleet_nodes import Fleet, FleetNode, Shape
from benchmarks.virtual_time import run as run_virtual
from benchmarks.virtual_time import spent

SEED = 11
CHANGE_EVERY = 3.2
SETTLE = 6.0
PULL_EVERY = 10.0
NEVER = 999.0
FULL_ENTRIES, FULL_AGENTS, FULL_DOMAINS = 780, 5_400, 16
READ_LIMIT = 2_000
IN_FORCE_LIMIT = 17.0
BYTES_LIMIT = 30.0
PROCESSOR_LIMIT = 1.2
GRPC_PERCENT = 0.0075
DOUBLINGS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """What one scenario gave.

    Attributes:
        scenario: Which.
        nodes: Entries and agents.
        changes: Versions published.
        p50: Median time until a version is in force on a node, in seconds.
        p99: The same for 99 in 100.
        slowest: The same for the last node.
        missing: Pairs of node and version where it did not come into force.
        went_back: Times that a node replaced a version by an older one.
        entry_kb: Kilobytes a second that an entry sent and received, mean.
        agent_kb: The same for an agent.
        watcher_kb: The same for a process that watches, with its reads of the service.
        entry_messages: Messages a second that an entry sent and received, mean.
        agent_messages: The same for an agent.
        entry_processor: Percent of a core for an entry, mean.
        agent_processor: The same for an agent.
        reads: Reads of the service a second, mean.
        peak_reads: Reads of the service in the busiest second.
    """

    scenario: str
    nodes: int
    changes: int
    p50: float
    p99: float
    slowest: float
    missing: int
    went_back: int
    entry_kb: float
    agent_kb: float
    watcher_kb: float
    entry_messages: float
    agent_messages: float
    entry_processor: float
    agent_processor: float
    reads: float
    peak_reads: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RestartRow:
    """What a mass start gave.

    Attributes:
        scenario: Which.
        nodes: Nodes of the fleet.
        started: Nodes that started at once.
        first_ready: Seconds until the first was ready.
        all_ready: Seconds until the last was.
        behind: Nodes that were ready with an older version than the newest published before.
        peak_reads: Reads of the service in the busiest second.
        reads_each: Reads of the service for each node that started.
    """

    scenario: str
    nodes: int
    started: int
    first_ready: float
    all_ready: float
    behind: int
    peak_reads: int
    reads_each: float


@dataclass(frozen=True, slots=True, kw_only=True)
class FullSizeRow:
    """A measured slope taken to 780 entries and 5,400 agents, against its limit."""

    what: str
    value: float
    limit: float
    derived: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """All rows."""

    steady: tuple[Row, ...]
    restarts: tuple[RestartRow, ...]
    full_size: tuple[FullSizeRow, ...]


Disturb = Callable[[Fleet, anyio.abc.TaskGroup], Coroutine[Any, Any, None]]


def run() -> Result:
    """Run all scenarios."""
    sizes = tuple(
        _steady(f"changes, {nodes} nodes", Shape(nodes=nodes), 5 if nodes > 100 else 12)
        for nodes in (10, 50, 200, 400)
    )
    idle = _steady("no changes, 400 nodes", Shape(nodes=400), 0)
    others = (
        _steady("heartbeats only, no announcement", Shape(nodes=100, announce=False), 8),
        _steady("5% of messages lost", Shape(nodes=100, loss=0.05), 8),
        _steady("a region cut off for 20 s", Shape(nodes=100), 8, _cut_region),
        _steady("service stale for 12 s", Shape(nodes=100), 8, _stale_service),
        _steady("a file of 1 MB rewritten", Shape(nodes=40, files=4, file_bytes=1_000_000), 5),
        _steady("baseline: every node watches", Shape(nodes=100, watch=True, links=False), 8),
        _pull("baseline: every node reads each 10 s", Shape(nodes=100, links=False), 8),
    )
    restarts = (
        run_virtual(_restart, "a failure domain restarts", Shape(nodes=400), False),
        run_virtual(_restart, "a failure domain restarts, service stale", Shape(nodes=200), True),
        run_virtual(_cold_start, "all start, none has anything", Shape(nodes=200)),
    )
    return Result(
        steady=(*sizes, idle, *others),
        restarts=restarts,
        full_size=_full_size(sizes, others, restarts),
    )


def _steady(scenario: str, shape: Shape, changes: int, disturb: Disturb | None = None) -> Row:
    row: Row = run_virtual(_publish_changes, scenario, shape, changes, disturb)
    return row


async def _publish_changes(
    scenario: str, shape: Shape, changes: int, disturb: Disturb | None
) -> Row:
    fleet = Fleet(shape, SEED)
    fleet.publish_first()
    async with anyio.create_task_group() as tasks:
        await fleet.start(fleet.names(), tasks, seeded=True)
        await anyio.sleep(SETTLE)
        mark = _Mark(fleet)
        published = await _change(fleet, tasks, changes, disturb)
        rates = mark.rates()
        await _all_in_force(fleet)
        row = _row(scenario, fleet, published, rates)
        tasks.cancel_scope.cancel()
    return row


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


def _pull(scenario: str, shape: Shape, changes: int) -> Row:
    row: Row = run_virtual(_pull_changes, scenario, shape, changes)
    return row


async def _pull_changes(scenario: str, shape: Shape, changes: int) -> Row:
    fleet = Fleet(shape, SEED)
    fleet.publish_first()
    async with anyio.create_task_group() as tasks:
        for name in fleet.names():
            node = await fleet.place(name, seeded=True)
            tasks.start_soon(_read_each, fleet, node)
        await anyio.sleep(SETTLE)
        mark = _Mark(fleet)
        published = await _change(fleet, tasks, changes, None)
        rates = mark.rates()
        await _all_in_force(fleet)
        row = _row(scenario, fleet, published, rates)
        tasks.cancel_scope.cancel()
    return row


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


@dataclass(frozen=True, slots=True)
class _Rates:
    """What each node used, a second, and what the service answered."""

    kilobytes: dict[str, float]
    messages: dict[str, float]
    processor: dict[str, float]
    from_service: dict[str, float]
    reads: float
    peak_reads: int


class _Mark:
    """A moment from which traffic, reads and processor time are counted."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._at = fleet.clock.monotonic()
        self._spent = dict(spent())
        fleet.network.traffic.clear()
        fleet.service.forget_reads()

    def rates(self) -> _Rates:
        fleet, now = self._fleet, spent()
        seconds = fleet.clock.monotonic() - self._at
        traffic = fleet.network.traffic
        return _Rates(
            kilobytes={name: each.bytes / seconds / 1_000 for name, each in traffic.items()},
            messages={name: each.messages / seconds for name, each in traffic.items()},
            processor={
                name: 100 * (now[name] - self._spent.get(name, 0)) / seconds for name in now
            },
            from_service={
                name: size / seconds / 1_000 for name, size in fleet.service.bytes.items()
            },
            reads=fleet.service.reads.total() / seconds,
            peak_reads=fleet.service.peak(),
        )


def _row(scenario: str, fleet: Fleet, published: dict[int, float], rates: _Rates) -> Row:
    times = [_in_force(node, published) for node in fleet.nodes.values()]
    delays = sorted(delay for each in times for delay in each) or [0.0]
    entries = [name for name, node in fleet.nodes.items() if node.is_entry]
    agents = [name for name, node in fleet.nodes.items() if not node.is_entry]
    watchers = [name for name, node in fleet.nodes.items() if node.watcher.on_duty]
    watched = _mean(rates.kilobytes, watchers) + _mean(rates.from_service, watchers)
    return Row(
        scenario=scenario,
        nodes=fleet.shape.nodes,
        changes=len(published),
        p50=round(delays[len(delays) // 2], 3),
        p99=round(delays[int(len(delays) * 0.99)], 3),
        slowest=round(delays[-1], 3),
        missing=sum(delay >= NEVER for delay in delays),
        went_back=sum(_went_back(node) for node in fleet.nodes.values()),
        entry_kb=_mean(rates.kilobytes, entries),
        agent_kb=_mean(rates.kilobytes, agents),
        watcher_kb=round(watched, 3),
        entry_messages=_mean(rates.messages, entries),
        agent_messages=_mean(rates.messages, agents),
        entry_processor=_mean(rates.processor, entries),
        agent_processor=_mean(rates.processor, agents),
        reads=round(rates.reads, 1),
        peak_reads=rates.peak_reads,
    )


def _in_force(node: FleetNode, published: dict[int, float]) -> list[float]:
    delays = []
    for version, at in published.items():
        times = [when - at for when, held in node.accepted if held >= version]
        delays.append(min(times, default=NEVER))
    return delays


def _went_back(node: FleetNode) -> int:
    versions = [version for _, version in node.accepted]
    return sum(later < earlier for earlier, later in zip(versions, versions[1:], strict=False))


def _mean(values: dict[str, float], names: list[str]) -> float:
    return round(sum(values.get(name, 0.0) for name in names) / max(1, len(names)), 3)


def _full_size(
    sizes: tuple[Row, ...], others: tuple[Row, ...], restarts: tuple[RestartRow, ...]
) -> tuple[FullSizeRow, ...]:
    largest, smaller = sizes[-1], sizes[-2]
    growth = max(0.0, largest.slowest - smaller.slowest)
    everywhere = largest.slowest + growth * DOUBLINGS
    watch, pull = others[-2], others[-1]
    full = FULL_ENTRIES + FULL_AGENTS
    domain = full / FULL_DOMAINS
    return (
        FullSizeRow(
            what="in force everywhere, s",
            value=round(everywhere, 2),
            limit=IN_FORCE_LIMIT,
            derived="last node at 400, plus its growth from 200 for each further doubling",
        ),
        FullSizeRow(
            what="an entry, KB/s",
            value=largest.entry_kb,
            limit=BYTES_LIMIT,
            derived="at 400 nodes an entry has the links of the full size",
        ),
        FullSizeRow(
            what="an agent, KB/s",
            value=largest.agent_kb,
            limit=BYTES_LIMIT,
            derived="the same",
        ),
        FullSizeRow(
            what="a watching agent, KB/s",
            value=largest.watcher_kb,
            limit=BYTES_LIMIT,
            derived="the same, with a whole manifest of 500 files a change",
        ),
        FullSizeRow(
            what="an entry, % of a core",
            value=round(largest.entry_processor + largest.entry_messages * GRPC_PERCENT, 3),
            limit=PROCESSOR_LIMIT,
            derived="its tasks at 400 nodes, their fakes included, plus 0.075 ms a message",
        ),
        FullSizeRow(
            what="reads/s, changes",
            value=largest.reads,
            limit=READ_LIMIT,
            derived="watchers are counted by failure domain, 16 at 400 nodes as at full size",
        ),
        FullSizeRow(
            what="reads/s, a failure domain restarts, peak",
            value=round(largest.peak_reads + restarts[0].reads_each * domain),
            limit=READ_LIMIT,
            derived="the peak of changes, and all reads of 386 starts within one second",
        ),
        FullSizeRow(
            what="reads/s, baseline: every node watches",
            value=round(watch.reads / watch.nodes * full),
            limit=READ_LIMIT,
            derived="by nodes",
        ),
        FullSizeRow(
            what="reads/s, baseline: every node reads each 10 s",
            value=round(pull.reads / pull.nodes * full),
            limit=READ_LIMIT,
            derived="by nodes",
        ),
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
