"""What an entry and an agent cost: latency added, throughput, processor time and memory.

Real processes over the loopback interface: the entry has one thread and so one core, engines are
bare ones (``benchmarks.relay_engine``). Each latency is taken against the same engine called
directly in the same run, in alternation. Each load begins with a time in which the entry's own
limit on concurrency grows to it; nothing is measured while calls are refused.
"""

import asyncio
import json
import sys
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import uvloop

from benchmarks.fakes import percentile
from benchmarks.processes import MIB, Process
from benchmarks.relay_client import Callers, Prompt, Tally
from benchmarks.relay_fleet import BOOKINGS_PATH, ENTRY, KEY, SLOTS_PATH, Fleet

JOIN_WINDOW = 0.02
SETTLE = 2.0
IDLE_SECONDS = 10.0
MS = 1000.0
US = 1e6
PACES = (6.0, 30.0)
LOADS = ((6.0, 60), (30.0, 300), (30.0, 850), (10.0, 400))
LATENCY_STREAMS = 8
LATENCY_ROUNDS = 2
LATENCY_SECONDS = 1.0
LOAD_SECONDS = 2.5
GROWTH_ROUNDS = 6
GROWTH_TOKENS = 10
GROWTH_RATE = 300
FIRST_STREAMS = 8
REQUEST_CALLERS = 32
WAY_CALLERS = 2
OPEN_STREAMS = (100, 1000)
MOST_STREAMS = 1000
ENDLESS = 1_000_000


@dataclass(frozen=True, slots=True)
class LatencyRow:
    """Times in milliseconds, directly and through the entry."""

    join_ms: float
    what: str
    direct_p50: float
    direct_p99: float
    entry_p50: float
    entry_p99: float
    added_p50: float
    added_p99: float


@dataclass(frozen=True, slots=True)
class LoadRow:
    """One entry under load.

    Attributes:
        join_ms: Join window.
        what: The load.
        offered: Tokens or requests a second that the engines or callers offer, 0 for all they can.
        reached: Those that arrived whole.
        cpu_us: Processor time of the entry for each, in microseconds.
        core: Part of one core that the entry used.
        refused: Calls that the entry refused.
        failed: Answers that broke.
    """

    join_ms: float
    what: str
    offered: int
    reached: int
    cpu_us: float
    core: float
    refused: int
    failed: int


@dataclass(frozen=True, slots=True)
class WayRow:
    """A call of a plain service on one of the two ways.

    Attributes:
        way: Straight to the endpoint, or through its agent.
        reached: Calls a second, with a few callers that each wait for their answer.
        p50: Milliseconds.
        p99: Milliseconds.
        entry_us: Processor time of the entry for each call, in microseconds.
        agent_us: Processor time of the agent.
    """

    way: str
    reached: int
    p50: float
    p99: float
    entry_us: float
    agent_us: float


@dataclass(frozen=True, slots=True)
class MemoryRow:
    """Resident memory of the entry with a number of open streams, in MiB."""

    streams: int
    resident: float


@dataclass(frozen=True, slots=True)
class IdleRow:
    """A process without work: part of a core in percent, resident MiB."""

    process: str
    core_percent: float
    resident: float


@dataclass(slots=True)
class Result:
    """All rows of the benchmark."""

    latencies: list[LatencyRow]
    loads: list[LoadRow]
    ways: list[WayRow]
    memory: list[MemoryRow]
    idle: list[IdleRow]


def run() -> Result:
    """Run everything."""
    return uvloop.run(_run())


async def _run() -> Result:
    result = Result([], [], [], [], [])
    with Fleet(JOIN_WINDOW) as fleet:
        await _ready()
        await asyncio.sleep(SETTLE)
        result.idle = await _idle(fleet)
        result.ways = [await _way(fleet, through_agent) for through_agent in (False, True)]
        result.loads.append(await _requests(fleet, JOIN_WINDOW))
        result.memory = await _memory(fleet)
        result.latencies = await _latencies(fleet, JOIN_WINDOW)
        await _load_tokens(fleet, JOIN_WINDOW, result)
    with Fleet(0.0) as fleet:
        await _ready()
        await asyncio.sleep(SETTLE)
        result.latencies.extend(await _latencies(fleet, 0.0))
        await _load_tokens(fleet, 0.0, result)
    return result


async def _load_tokens(fleet: Fleet, window: float, result: Result) -> None:
    await _grow(MOST_STREAMS)
    for step_ms, streams in LOADS:
        result.loads.append(await _tokens(fleet, window, step_ms, streams))


async def _ready() -> None:
    """Return when the entry answers a call whole."""
    for _ in range(100):
        callers = Callers(ENTRY, KEY)
        try:
            await callers.open(1, Prompt(max_tokens=1, stream=False))
            await asyncio.sleep(0.1)
            if callers.tally.whole:
                return
        finally:
            await callers.close()
    raise TimeoutError("the entry does not become ready")


async def _idle(fleet: Fleet) -> list[IdleRow]:
    named = {"entry": fleet.entry, "agent": fleet.agents[0]}
    before = {name: process.usage() for name, process in named.items()}
    began = time.monotonic()
    await asyncio.sleep(IDLE_SECONDS)
    spent = time.monotonic() - began
    rows = []
    for name, process in named.items():
        usage = process.usage()
        part = 100 * (usage.cpu - before[name].cpu) / spent
        rows.append(IdleRow(name, round(part, 2), round(usage.resident / MIB, 1)))
    return rows


async def _latencies(fleet: Fleet, window: float) -> list[LatencyRow]:
    """Time short answers, a few at a time, directly and through the entry in alternation."""
    rows = []
    for step_ms in PACES:
        prompt = Prompt(max_tokens=16, step_ms=step_ms)
        seen = {"direct": Tally(), "entry": Tally()}
        for _ in range(LATENCY_ROUNDS):
            await _time(Callers(fleet.engine_ports[0]), prompt, seen["direct"])
            await _time(Callers(ENTRY, KEY), prompt, seen["entry"])
        direct, entry = seen["direct"], seen["entry"]
        of = f"{step_ms:g} ms steps"
        rows.append(_latency_row(window, f"first token, {of}", direct.first, entry.first))
        rows.append(_latency_row(window, f"between arrivals, {of}", direct.gaps, entry.gaps))
        rows.append(_latency_row(window, f"token's way, {of}", direct.delays, entry.delays))
    return rows


async def _time(callers: Callers, prompt: Prompt, into: Tally) -> None:
    await callers.open(LATENCY_STREAMS, prompt, spread=0.05)
    tally = callers.restart(timed=True)
    await asyncio.sleep(LATENCY_SECONDS)
    into.first.extend(tally.first)
    into.gaps.extend(tally.gaps)
    into.delays.extend(tally.delays)
    await callers.close()


def _latency_row(
    window: float, what: str, direct: Sequence[float], entry: Sequence[float]
) -> LatencyRow:
    d50, d99 = (MS * percentile(direct, part) for part in (0.5, 0.99))
    e50, e99 = (MS * percentile(entry, part) for part in (0.5, 0.99))
    values = (round(each, 2) for each in (d50, d99, e50, e99, e50 - d50, e99 - d99))
    return LatencyRow(MS * window, what, *values)


async def _tokens(fleet: Fleet, window: float, step_ms: float, streams: int) -> LoadRow:
    """Load the entry with streams, one token in each write of the engine."""
    prompt = Prompt(max_tokens=300, step_ms=step_ms)
    what = f"tokens, {streams} streams of {step_ms:g} ms"
    return await _load(fleet.entry, window, what, streams, prompt)


async def _requests(fleet: Fleet, window: float) -> LoadRow:
    prompt = Prompt(max_tokens=1, stream=False)
    return await _load(fleet.entry, window, "whole answers", REQUEST_CALLERS, prompt)


async def _load(process: Process, window: float, what: str, count: int, prompt: Prompt) -> LoadRow:
    callers = Callers(ENTRY, KEY)
    await callers.open(count, prompt, spread=0.5)
    await _until_taken(callers)
    tally = callers.restart(timed=False)
    before, began = process.usage(), time.monotonic()
    await asyncio.sleep(LOAD_SECONDS)
    cpu, spent = process.usage().cpu - before.cpu, time.monotonic() - began
    done = tally.tokens if prompt.stream else tally.whole
    refused, failed = tally.refused, tally.failed
    await callers.close()
    offered = count * prompt.batch * MS / prompt.step_ms if prompt.stream else 0
    return LoadRow(
        join_ms=MS * window,
        what=what,
        offered=round(offered),
        reached=round(done / spent),
        cpu_us=round(US * cpu / max(done, 1), 1),
        core=round(cpu / spent, 2),
        refused=refused,
        failed=failed,
    )


async def _way(fleet: Fleet, through_agent: bool) -> WayRow:
    """Call the plain service; a call that may not be repeated goes through its agent."""
    callers = Callers(ENTRY, KEY)
    if through_agent:
        await callers.open_service(WAY_CALLERS, "POST", BOOKINGS_PATH, keyed=True)
    else:
        await callers.open_service(WAY_CALLERS, "GET", SLOTS_PATH, keyed=False)
    await _until_taken(callers)
    tally = callers.restart(timed=False)
    processes = (fleet.entry, fleet.service_agent)
    before, began = [process.usage().cpu for process in processes], time.monotonic()
    await asyncio.sleep(LOAD_SECONDS)
    spent = time.monotonic() - began
    cpu = [each.usage().cpu - was for each, was in zip(processes, before, strict=True)]
    await callers.close()
    calls = max(tally.whole, 1)
    return WayRow(
        way="through the agent" if through_agent else "straight",
        reached=round(tally.whole / spent),
        p50=round(MS * percentile(tally.first, 0.5), 2),
        p99=round(MS * percentile(tally.first, 0.99), 2),
        entry_us=round(US * cpu[0] / calls),
        agent_us=round(US * cpu[1] / calls),
    )


async def _grow(count: int) -> None:
    """Let the entry's limit on concurrency grow to ``count``, by streams at a bounded rate."""
    size = FIRST_STREAMS
    while size < count:
        size = min(2 * size, count)
        callers = Callers(ENTRY, KEY)
        step_ms = MS * size / GROWTH_RATE / GROWTH_TOKENS
        await callers.open(size, Prompt(max_tokens=GROWTH_TOKENS, step_ms=step_ms), spread=0.3)
        await _until_taken(callers)
        await callers.close()


async def _until_taken(callers: Callers) -> None:
    """Return when no call was refused for half a second, or after some seconds anyway."""
    for _ in range(GROWTH_ROUNDS):
        callers.restart(timed=False)
        await asyncio.sleep(0.5)
        if not callers.tally.refused:
            return


async def _memory(fleet: Fleet) -> list[MemoryRow]:
    """Open idle streams in a fresh fleet, on an entry whose limit has grown to their number."""
    rows = [MemoryRow(0, round(fleet.entry.usage().resident / MIB, 1))]
    await _grow(MOST_STREAMS)
    callers = Callers(ENTRY, KEY)
    opened = 0
    for streams in OPEN_STREAMS:
        prompt = Prompt(max_tokens=ENDLESS, step_ms=1000.0)
        await callers.open(streams - opened, prompt, spread=2.0)
        opened = streams
        await asyncio.sleep(1.0)
        resident = fleet.entry.usage().resident / MIB
        rows.append(MemoryRow(callers.streaming, round(resident, 1)))
    await callers.close()
    return rows


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print("join ms  ms                                direct p50/p99     entry p50/p99    added")
    for row in result.latencies:
        print(
            f"{row.join_ms:>7g}  {row.what:<32} {row.direct_p50:>8} {row.direct_p99:>8} "
            f"{row.entry_p50:>8} {row.entry_p99:>8} {row.added_p50:>8} {row.added_p99:>8}"
        )
    print(
        "\njoin ms  load                           offered/s reached/s us each  core refused failed"
    )
    for load in result.loads:
        print(
            f"{load.join_ms:>7g}  {load.what:<31} {load.offered:>9} {load.reached:>9} "
            f"{load.cpu_us:>8} {load.core:>5} {load.refused:>7} {load.failed:>6}"
        )
    print("\nservice call         calls/s    p50 ms   p99 ms  entry us  agent us")
    for way in result.ways:
        print(
            f"{way.way:<20} {way.reached:>7} {way.p50:>9} {way.p99:>8} {way.entry_us:>9} "
            f"{way.agent_us:>9}"
        )
    print("\nopen streams  entry MiB")
    for memory in result.memory:
        print(f"{memory.streams:>12} {memory.resident:>10}")
    print("\nidle      core %   MiB")
    for idle in result.idle:
        print(f"{idle.process:<8} {idle.core_percent:>7} {idle.resident:>5}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
