"""Division of limits: share errors and over-admission through shifts, a partition, a replacement.

The entries of one process exchange demand over a fake network with delay and loss. The callers of
one organisation ask for twice its limit, most of them at a few entries, which change.
"""

import json
import random
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import msgspec

from benchmarks.fakes import MODEL_TARGET, Timeline, fake_configuration
from carawayhub.config.model import Limits
from carawayhub.errors import RequestError
from carawayhub.limits.admission import Admission
from carawayhub.limits.fill import water_fill
from carawayhub.limits.query import AdmitQuery, Admitted

SEED = 5
SIZES = (2, 4, 7, 16, 64)
ORGANISATION = "org"
RATE_PER_ENTRY = 20.0
SLOTS_PER_ENTRY = 8
PRESSURE = 2.0
TICK_SECONDS = 0.5
MAX_DELAY = 0.5
LOSS = 0.01
HOT_PART = 0.7
HOLD_SECONDS = 1.0
WINDOW = 5
SHIFT_AT = 30.0
PARTITION_AT = 60.0
HEAL_AT = 110.0
REPLACE_AT = 130.0
END_AT = 160.0
SETTLED = 12.0
PHASES = {
    "start": (0.0, SETTLED),
    "steady": (SETTLED, SHIFT_AT),
    "shift": (SHIFT_AT, PARTITION_AT),
    "partition": (PARTITION_AT, HEAL_AT),
    "healed": (HEAL_AT, REPLACE_AT),
    "replaced": (REPLACE_AT, END_AT),
}


@dataclass(slots=True)
class PhaseRow:
    """What was admitted in one phase.

    Attributes:
        used: Part of the limit that was admitted, of what was asked for at most.
        over: Most admitted in any five seconds above the limit, in percent of the limit.
        over_requests: The same in requests.
        share_error: Mean over the entries of the difference between what each admitted and its
            even part of the limit by demand, in percent of the limit.
    """

    entries: int
    limit: str
    phase: str
    used: float
    over: float
    over_requests: float
    share_error: float


@dataclass(slots=True)
class CostRow:
    """Price of the division at one entry.

    Attributes:
        tick_us: Processor time of one tick in microseconds, hearing all peers included.
        peers: Entries it exchanges demand with.
        first_ms: Processor time of the first configuration in milliseconds.
        again_ms: The same of one with the same entries and limits.
        bytes_to_peer: Size of what one heartbeat to one peer carries.
    """

    entries: int
    organisations: int
    peers: int
    first_ms: float
    again_ms: float
    tick_us: float
    bytes_to_peer: int


class Node:
    """One entry process."""

    def __init__(self, fleet: "Fleet", name: str, incarnation: int) -> None:
        self.fleet = fleet
        self.name = name
        self.incarnation = incarnation
        rng = random.Random(f"{SEED}/{name}/{incarnation}")
        self.admission = Admission(fleet.time.clock, rng, name)
        self.admission.configure(fleet.cfg)

    def tick(self) -> None:
        """Move the shares and announce them to all that can be reached."""
        fleet = self.fleet
        if fleet.nodes[self.name] is not self:
            return
        rows = self.admission.tick()
        for name in fleet.nodes:
            if name == self.name or fleet.cut(self.name, name) or fleet.rng.random() < LOSS:
                continue
            fleet.time.after(
                fleet.rng.uniform(0.0, MAX_DELAY),
                lambda n=name: fleet.nodes[n].admission.update_demand(  # type: ignore[misc]
                    self.name, self.incarnation, rows
                ),
            )
        fleet.time.after(TICK_SECONDS, self.tick)


class Fleet:
    """All entries, their network and the callers of one organisation."""

    def __init__(self, size: int, limits: Limits, hold: float, forget: bool = False) -> None:
        """Make a fleet.

        Args:
            size: Number of entries.
            limits: The organisation's limits.
            hold: Seconds for which each request runs.
            forget: Whether silent entries are taken for gone at once, for comparison.
        """
        self.forget = forget
        self.time = Timeline()
        self.start = self.time.now
        self.rng = random.Random(SEED)
        self.hold = hold
        self.cfg = fake_configuration(2, size, {ORGANISATION: limits})
        self.names = sorted(self.cfg.entries)
        self.partitioned = False
        self.hot = self.names[: max(1, size // 4)]
        self.nodes = {name: Node(self, name, 1) for name in self.names}
        self.running = 0
        self.admitted: list[tuple[float, str]] = []
        self.most_running: dict[int, int] = {}
        for node in self.nodes.values():
            self.time.after(self.rng.uniform(0.0, TICK_SECONDS), node.tick)

    def cut(self, one: str, other: str) -> bool:
        """Return whether a partition keeps two entries apart."""
        side = self.names[: len(self.names) // 2]
        return self.partitioned and (one in side) != (other in side)

    def run(self, rate: float) -> None:
        """Run all phases with callers that ask at a rate."""
        self.time.after(SHIFT_AT, self._shift)
        self.time.after(PARTITION_AT, lambda: self._set_partition(True))
        self.time.after((PARTITION_AT + HEAL_AT) / 2, self._shift)
        self.time.after(HEAL_AT, lambda: self._set_partition(False))
        self.time.after(REPLACE_AT, self._replace)
        self._arrive(rate)
        self.time.run_until(self.start + END_AT)

    def part(self, name: str, hot: Sequence[str]) -> float:
        """Return the part of all requests that comes to an entry."""
        own = HOT_PART / len(hot) if name in hot else 0.0
        return own + (1.0 - HOT_PART) / len(self.names)

    def _arrive(self, rate: float) -> None:
        self._ask()
        self.time.after(self.rng.expovariate(rate), lambda: self._arrive(rate))

    def _ask(self) -> None:
        names = self.hot if self.rng.random() < HOT_PART else self.names
        node = self.nodes[self.rng.choice(names)]
        query = AdmitQuery(organisation=ORGANISATION, target=MODEL_TARGET)
        try:
            admitted = node.admission.admit(query)
        except RequestError:
            return
        node.admission.first_byte(admitted)
        self.admitted.append((self.time.now - self.start, node.name))
        self.running += 1
        second = int(self.time.now - self.start)
        self.most_running[second] = max(self.most_running.get(second, 0), self.running)
        if self.hold <= 0.0:
            self._release(node, admitted)
            return
        self.time.after(self.hold, lambda: self._release(node, admitted))

    def _release(self, node: Node, admitted: Admitted) -> None:
        self.running -= 1
        node.admission.release(admitted)

    def _shift(self) -> None:
        """Have the callers come mostly to the last entries, then to the first again."""
        count = len(self.hot)
        self.hot = self.names[-count:] if self.hot == self.names[:count] else self.names[:count]

    def _set_partition(self, on: bool) -> None:
        self.partitioned = on
        if not self.forget:
            return
        for name, node in self.nodes.items():
            node.admission.set_removed_entries(
                frozenset(n for n in self.names if self.cut(name, n))
            )

    def _replace(self) -> None:
        """Replace a quarter of the entries, the busy ones first; their requests end with them."""
        for name in self.hot:
            self.nodes[name] = Node(self, name, 2)
            self.nodes[name].tick()


def run_rate(size: int, forget: bool = False) -> list[PhaseRow]:
    """Measure the division of a rate."""
    rate = RATE_PER_ENTRY * size
    limits = Limits(rate=rate, burst=rate, concurrency=1_000_000)
    fleet = Fleet(size, limits, hold=0.0, forget=forget)
    fleet.run(rate * PRESSURE)
    rows = []
    for phase, (begin, end) in PHASES.items():
        times = [at for at, _ in fleet.admitted if begin <= at < end]
        most = _busiest(times, begin, end)
        over = max(0.0, most - rate * WINDOW)
        rows.append(
            PhaseRow(
                entries=size,
                limit="rate, forget" if forget else "rate",
                phase=phase,
                used=round(len(times) / (rate * (end - begin)), 3),
                over=round(100.0 * over / (rate * WINDOW), 1),
                over_requests=round(over, 1),
                share_error=_share_error(fleet, rate, phase),
            )
        )
    return rows


def run_slots(size: int) -> list[PhaseRow]:
    """Measure the division of a concurrency limit."""
    slots = SLOTS_PER_ENTRY * size
    limits = Limits(rate=1e6, burst=1e6, concurrency=slots)
    fleet = Fleet(size, limits, hold=HOLD_SECONDS)
    fleet.run(slots / HOLD_SECONDS * PRESSURE)
    rows = []
    for phase, (begin, end) in PHASES.items():
        most = max(fleet.most_running.get(at, 0) for at in range(int(begin), int(end)))
        count = sum(1 for at, _ in fleet.admitted if begin <= at < end)
        rows.append(
            PhaseRow(
                entries=size,
                limit="concurrency",
                phase=phase,
                used=round(count * HOLD_SECONDS / (slots * (end - begin)), 3),
                over=round(max(0.0, 100.0 * (most - slots) / slots), 1),
                over_requests=max(0, most - slots),
                share_error=_share_error(fleet, slots / HOLD_SECONDS, phase),
            )
        )
    return rows


def run_cost(entries: int, organisations: int, rounds: int = 200) -> CostRow:
    """Measure one entry's tick among others that all announce demand."""
    timeline = Timeline()
    names = [f"org-{index:03d}" for index in range(organisations)]
    limits = Limits(rate=200.0, burst=200.0, concurrency=200)
    cfg = fake_configuration(2, entries, dict.fromkeys(names, limits))
    admission = Admission(timeline.clock, random.Random(SEED), min(cfg.entries))
    first_ms = _milliseconds(lambda: admission.configure(cfg))
    again_ms = _milliseconds(lambda: admission.configure(cfg))
    others = admission.shares.neighbours()
    rows = admission.tick()
    spent = time.process_time()
    for _ in range(rounds):
        timeline.clock.advance(TICK_SECONDS)
        for name in others:
            admission.update_demand(name, 1, rows)
        rows = admission.tick()
    spent = time.process_time() - spent
    most = max(len(msgspec.msgpack.encode(admission.shares.for_peer(n, rows))) for n in others)
    tick_us = round(1e6 * spent / rounds, 0)
    return CostRow(entries, organisations, len(others), first_ms, again_ms, tick_us, most)


def _milliseconds(work: Callable[[], object]) -> float:
    spent = time.process_time()
    work()
    return round(1e3 * (time.process_time() - spent), 2)


def _busiest(times: Sequence[float], begin: float, end: float) -> float:
    """Return the most admitted in any ``WINDOW`` seconds that begin on a quarter second."""
    most, first, last = 0, 0, 0
    at = begin
    while at + WINDOW <= end:
        while first < len(times) and times[first] < at:
            first += 1
        while last < len(times) and times[last] < at + WINDOW:
            last += 1
        most = max(most, last - first)
        at += 0.25
    return float(most)


def _share_error(fleet: Fleet, rate: float, phase: str) -> float:
    """Compare what each entry admitted with its part, in the settled end of a phase."""
    begin, end = PHASES[phase]
    begin = max(begin, end - SETTLED)
    hot_first = phase in ("start", "steady", "healed", "replaced", "partition")
    count = len(fleet.hot)
    hot = fleet.names[:count] if hot_first else fleet.names[-count:]
    asked = {name: fleet.part(name, hot) * rate * PRESSURE for name in fleet.names}
    parts = water_fill(rate, asked)
    got = dict.fromkeys(fleet.names, 0)
    for at, name in fleet.admitted:
        if begin <= at < end:
            got[name] += 1
    errors = [abs(got[name] / (end - begin) - parts[name]) for name in fleet.names]
    return round(100.0 * sum(errors) / len(errors) / rate, 2)


@dataclass(slots=True)
class Result:
    """All rows of the benchmark."""

    phases: list[PhaseRow]
    costs: list[CostRow]


def run(sizes: Sequence[int] = SIZES) -> Result:
    """Run everything."""
    phases = [row for size in sizes for row in run_rate(size)]
    phases += [row for size in sizes for row in run_slots(size)]
    phases += run_rate(7, forget=True)
    return Result(phases, [run_cost(7, 10), run_cost(64, 40), run_cost(780, 380, rounds=5)])


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print("entries  limit        phase        used   over  requests  share error")
    for row in result.phases:
        print(
            f"{row.entries:>7}  {row.limit:<12} {row.phase:<10} {row.used:>6.1%} "
            f"{row.over:>5}% {row.over_requests:>9} {row.share_error:>11}%"
        )
    print("\nentries  organisations  peers  first ms  again ms  tick us  bytes to a peer")
    for cost in result.costs:
        print(
            f"{cost.entries:>7} {cost.organisations:>14} {cost.peers:>6} "
            f"{cost.first_ms:>9} {cost.again_ms:>9} {cost.tick_us:>8} {cost.bytes_to_peer:>16}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
