"""What the scenarios of ``benchmarks.dissemination`` give: rows, rates, and the full size."""

from dataclasses import dataclass

from benchmarks.fleet_nodes import Fleet, FleetNode
from benchmarks.virtual_time import spent

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


@dataclass(frozen=True, slots=True)
class Rates:
    """What each node used, a second, and what the service answered."""

    kilobytes: dict[str, float]
    messages: dict[str, float]
    processor: dict[str, float]
    from_service: dict[str, float]
    reads: float
    peak_reads: int


class Mark:
    """A moment from which traffic, reads and processor time are counted."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._at = fleet.clock.monotonic()
        self._spent = dict(spent())
        fleet.network.traffic.clear()
        fleet.service.forget_reads()

    def rates(self) -> Rates:
        """Return the rates since that moment."""
        fleet, now = self._fleet, spent()
        seconds = fleet.clock.monotonic() - self._at
        traffic = fleet.network.traffic
        return Rates(
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


def row_of(scenario: str, fleet: Fleet, published: dict[int, float], rates: Rates) -> Row:
    """Return the row of a scenario that published versions at the times given."""
    times = [_in_force(node, published) for node in fleet.nodes.values()]
    delays = sorted(delay for each in times for delay in each) or [0.0]
    entries = [name for name, node in fleet.nodes.items() if node.is_entry]
    agents = [name for name, node in fleet.nodes.items() if not node.is_entry]
    watchers = [name for name, node in fleet.nodes.items() if node.watcher.is_watcher]
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


def full_size(
    sizes: tuple[Row, ...], others: tuple[Row, ...], restarts: tuple[RestartRow, ...]
) -> tuple[FullSizeRow, ...]:
    """Take what was measured to the planned size."""
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
