"""What links and calls between the system's processes cost each side.

Two processes over the loopback interface, each with one event loop, so that the processor time of
the opening side (this process) and the accepting side (``benchmarks.link_side``) are read apart.
The code is the product's: ``carawayhub/peers`` and ``carawayhub/process/exchange.py``, with the
router and the division of limits behind it. Each figure is the median of several windows, with the
least and the most. Bytes are those that TCP counts on the sockets, and 52 for the headers of IP and
TCP of each segment.
"""

import json
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import asdict, dataclass
from random import Random

import anyio
import uvloop

from benchmarks.link_parts import LONG, SEED, Side, expect, make_side
from benchmarks.link_side import HOST, usage
from benchmarks.tcp_counters import tcp_totals
from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.peers.links import Link, Peer
from carawayhub.peers.messages import ProcessRole, RunRequest
from carawayhub.peers.methods import RUN

US = 1e6
KIB = 1024
WINDOWS = 5
SETTLE = 1.0
PLANNED_RATE = 40.0
BUSY_RATE = 400.0
LINKS = 40
BATCH = 64
CALLS = 150
OPENED = 50
MEMORY_LINKS = (0, 50, 100, 200)
SEGMENT_HEADERS = 52


@dataclass(frozen=True, slots=True)
class Row:
    """One slope.

    Attributes:
        name: What was measured.
        unit: Its unit.
        value: Median over windows.
        least: The least of a window.
        most: The most of a window.
    """

    name: str
    unit: str
    value: float
    least: float
    most: float


@dataclass(frozen=True, slots=True)
class Sample:
    """Totals read at one moment, or their difference."""

    opening: float
    accepting: float
    replies: int
    sent: int
    received: int
    segments: int

    def since(self, before: "Sample") -> "Sample":
        """Return what was added since ``before``."""
        return Sample(
            self.opening - before.opening,
            self.accepting - before.accepting,
            self.replies - before.replies,
            self.sent - before.sent,
            self.received - before.received,
            self.segments - before.segments,
        )


class Accepting:
    """The accepting process."""

    def __init__(self, role: ProcessRole) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.link_side", role.value],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def ask(self, **command: int) -> dict[str, float]:
        """Send a command and return what the process has spent."""
        assert self._process.stdin is not None and self._process.stdout is not None
        self._process.stdin.write(json.dumps(command) + "\n")
        self._process.stdin.flush()
        answer: dict[str, float] = json.loads(self._process.stdout.readline())
        return answer

    def stop(self) -> None:
        """End the process."""
        assert self._process.stdin is not None
        self._process.stdin.close()
        try:
            self._process.wait(5)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait(5)


@contextmanager
def accepting(role: ProcessRole) -> Iterator[Accepting]:
    """Run an accepting process."""
    process = Accepting(role)
    try:
        yield process
    finally:
        process.stop()


class Bench:
    """The opening side together with its accepting process."""

    def __init__(self, process: Accepting, role: ProcessRole, side: Side, repetitions: int) -> None:
        self.process = process
        self.repetitions = repetitions
        self.side = side
        self.address = Address(HOST, process.port)
        self.peer = Peer("endpoint-000", role, self.address)
        expect(self.side, self.peer)

    @classmethod
    async def make(cls, process: Accepting, role: ProcessRole, windows: int) -> "Bench":
        """Return a bench whose opening side is an entry."""
        side = await make_side("entry-000", ProcessRole.ENTRY, Address(HOST, 1))
        return cls(process, role, side, windows)

    @asynccontextmanager
    async def links(self, count: int, pace: float) -> AsyncIterator[None]:
        """Keep links open whose heartbeats are spread evenly over the pace."""
        self.side.exchange.pace.heartbeat = pace
        self.side.exchange.set_opened_peers({self.peer.key: self.peer})
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                link = Link(
                    self.peer, self.side.exchange, self.side.prover, SystemClock(), Random(SEED)
                )
                tasks.start_soon(link.run)
                await anyio.sleep(min(pace, SETTLE) / count)
            await anyio.sleep(SETTLE)
            yield
            tasks.cancel_scope.cancel()
        await anyio.sleep(SETTLE / 4)

    def read(self) -> Sample:
        """Return the totals up to now."""
        sent, received, segments = tcp_totals(self.process.port)
        spent = self.process.ask()
        return Sample(
            time.process_time(),
            spent["cpu"],
            self.side.role.replies,
            sent,
            received,
            segments,
        )

    async def windows(self, seconds: float) -> list[Sample]:
        """Return what each of some windows took."""
        samples = []
        for _ in range(self.repetitions):
            before = self.read()
            await anyio.sleep(seconds)
            samples.append(self.read().since(before))
        return samples


def run(windows: int = WINDOWS) -> list[Row]:
    """Measure everything.

    Args:
        windows: Repetitions of each measurement.
    """
    return uvloop.run(_run(windows))


def slopes(rows: Sequence[Row]) -> dict[str, float]:
    """Return the medians by name."""
    return {row.name: row.value for row in rows}


async def _run(windows: int) -> list[Row]:
    rows: list[Row] = []
    with accepting(ProcessRole.AGENT) as process:
        bench = await Bench.make(process, ProcessRole.AGENT, windows)
        rows += await _memory(bench)
        rows += await _exchanges(bench, "agent heartbeat", PLANNED_RATE, 2.0)
        rows += await _exchanges(bench, "agent heartbeat, 400/s", BUSY_RATE, 1.0)
        process.ask(events=BATCH)
        rows += await _exchanges(bench, f"agent heartbeat, {BATCH} cache events", 200.0, 1.0)
        process.ask(events=0)
        rows += await _pushes(bench)
        rows += await _calls(bench)
        rows += await _openings(bench)
    with accepting(ProcessRole.ENTRY) as process:
        bench = await Bench.make(process, ProcessRole.ENTRY, windows)
        rows += await _exchanges(bench, "entry heartbeat", 200.0, 1.0)
        bench.side.role.announces = True
        name = f"entry heartbeat, {bench.side.role.rows} demand rows"
        rows += await _exchanges(bench, name, 200.0, 1.0)
    return rows


async def _exchanges(bench: Bench, name: str, rate: float, seconds: float) -> list[Row]:
    async with bench.links(LINKS, LINKS / rate):
        samples = await bench.windows(seconds)
    return [
        _row(f"{name}: opening side", "us", [US * s.opening / s.replies for s in samples]),
        _row(f"{name}: accepting side", "us", [US * s.accepting / s.replies for s in samples]),
        _row(f"{name}: bytes sent", "bytes", [s.sent / s.replies for s in samples]),
        _row(f"{name}: bytes answered", "bytes", [s.received / s.replies for s in samples]),
        _row(f"{name}: segments", "", [s.segments / s.replies for s in samples]),
        _row(
            f"{name}: bytes on the wire",
            "bytes",
            [(s.sent + s.received + SEGMENT_HEADERS * s.segments) / s.replies for s in samples],
        ),
    ]


async def _pushes(bench: Bench) -> list[Row]:
    """Measure a change of state that is told at once on every link."""
    async with bench.links(LINKS, LONG):
        samples = [await _spent(bench, _push_all(bench)) for _ in range(bench.repetitions)]
    count = 10 * LINKS
    return [
        _row("push: opening side", "us", [US * s.opening / count for s in samples]),
        _row("push: accepting side", "us", [US * s.accepting / count for s in samples]),
        _row(
            "push: bytes on the wire",
            "bytes",
            [(s.sent + s.received + SEGMENT_HEADERS * s.segments) / count for s in samples],
        ),
    ]


def _push_all(bench: Bench) -> Callable[[], Awaitable[None]]:
    async def work() -> None:
        for _ in range(10):
            bench.process.ask(push=1)
            await anyio.sleep(0.1)

    return work


async def _calls(bench: Bench) -> list[Row]:
    req = RunRequest(
        request_id="6f1c2a9e7b1d4c559a0e000000000001",
        organisation="repair-cafe-patra",
        target="service/booking",
        key="6f1c2a9e-7b1d-4c55-9a0e-000000000001",
        ticket="",
        version=1,
        stamp=1,
        method="POST",
        path="/bookings",
        headers=(("content-type", "application/json"),),
        body=bytes(256),
        remaining=10.0,
    )

    async def work() -> None:
        for _ in range(CALLS):
            await bench.side.calls.call(bench.address, RUN, req, 5.0)

    await work()
    samples = [await _spent(bench, work) for _ in range(bench.repetitions)]
    bench.side.calls.close()
    return [
        _row("unary call: calling side", "us", [US * s.opening / CALLS for s in samples]),
        _row("unary call: called side", "us", [US * s.accepting / CALLS for s in samples]),
        _row(
            "unary call: bytes on the wire",
            "bytes",
            [(s.sent + s.received + SEGMENT_HEADERS * s.segments) / CALLS for s in samples],
        ),
    ]


async def _openings(bench: Bench) -> list[Row]:
    """Measure links that open, introduce themselves, beat once and close, as after a restart."""
    samples = []

    async def work() -> None:
        async with bench.links(OPENED, LONG):
            pass

    for _ in range(bench.repetitions):
        samples.append(await _spent(bench, work))
    return [
        _row(
            "link opened and closed: opening side", "us", [US * s.opening / OPENED for s in samples]
        ),
        _row(
            "link opened and closed: accepting side",
            "us",
            [US * s.accepting / OPENED for s in samples],
        ),
    ]


async def _memory(bench: Bench) -> list[Row]:
    """Measure resident memory with some numbers of links; the first fifty also fill pools."""
    own: list[float] = []
    other: list[float] = []
    for count in MEMORY_LINKS:
        async with bench.links(max(count, 1), LONG):
            own.append(usage()["resident"] / KIB)
            other.append(bench.process.ask()["resident"] / KIB)
    return [
        _slope_row("memory of a link: opening side", own),
        _slope_row("memory of a link: accepting side", other),
    ]


def _slope_row(name: str, resident: Sequence[float]) -> Row:
    """Return KiB a link: between the two largest counts, with those of the steps as spread."""
    steps = [
        (after - before) / (more - fewer)
        for fewer, more, before, after in zip(
            MEMORY_LINKS, MEMORY_LINKS[1:], resident, resident[1:], strict=False
        )
    ]
    whole = (resident[-1] - resident[0]) / (MEMORY_LINKS[-1] - MEMORY_LINKS[0])
    return Row(name, "KiB", round(whole, 1), round(min(steps), 1), round(max(steps), 1))


async def _spent(bench: Bench, work: Callable[[], Awaitable[None]]) -> Sample:
    before = bench.read()
    await work()
    return bench.read().since(before)


def _row(name: str, unit: str, values: Sequence[float]) -> Row:
    return Row(
        name,
        unit,
        round(statistics.median(values), 1),
        round(min(values), 1),
        round(max(values), 1),
    )


def main(argv: list[str]) -> int:
    """Print the rows as a table, or as JSON with ``--json``."""
    rows = run()
    if "--json" in argv:
        print(json.dumps([asdict(row) for row in rows]))
        return 0
    print(f"{'what':<58}{'median':>10}{'least':>10}{'most':>10}  unit")
    for row in rows:
        print(f"{row.name:<58}{row.value:>10.1f}{row.least:>10.1f}{row.most:>10.1f}  {row.unit}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
