"""How soon one process notices what became of its peers, how often it is wrong, and at what price.

The product's membership runs on virtual time over fakes of links: a task for each peer connects,
exchanges heartbeats, replaces a connection that went silent, and tells the membership when a new
one fails too. Beside it stands what plain rules would have done on the same events: suspect a peer
when its connection goes silent, evict it a minute later, and use a peer whenever it answers.
"""

import json
import random
import sys
from collections.abc import Callable, Coroutine
from dataclasses import asdict, dataclass, field
from typing import Any

import anyio

from benchmarks.virtual_time import OWNER, LoopClock, spent
from benchmarks.virtual_time import run as run_virtual
from carawayhub.fleet.membership import (
    GONE_AFTER_SECONDS,
    Member,
    MemberChange,
    Membership,
    MemberState,
)
from carawayhub.fleet.pace import heartbeat_interval

SEED = 5
SIZES = (10, 50, 101, 200, 400)
FULL_SIZE_LINKS = 101
DOMAINS = 5
SHORTEST_INTERVAL = 0.5
SHORTEST_TIMEOUT = 2.0
CONNECT_TIMEOUT = 1.0
FIRST_BACKOFF, LONGEST_BACKOFF = 0.2, 5.0
WARM = 10.0
GRPC_PERCENT = 0.0075
PROCESSOR_LIMIT = 1.2


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """What one scenario gave.

    Attributes:
        scenario: Which.
        peers: Peers of the process.
        interval: Seconds between two heartbeats of a link.
        died: Peers that died.
        detect_p50: Median seconds from a death until the peer was suspect.
        detect_max: The same for the last.
        false_suspicions: Times that a peer that was well was held for suspect.
        plain_suspicions: The same by the plain rule.
        evicted: Peers that were well and were declared gone.
        plain_evicted: The same by the plain rule.
        uses: Times that a flapping peer was put to use.
        plain_uses: The same by the plain rule.
        messages: Messages a second.
        processor: Percent of a core, without ``grpclib``.
    """

    scenario: str
    peers: int
    interval: float
    died: int
    detect_p50: float
    detect_max: float
    false_suspicions: int
    plain_suspicions: int
    evicted: int
    plain_evicted: int
    uses: int
    plain_uses: int
    messages: float
    processor: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """All rows, and the price at full size."""

    rows: tuple[Row, ...]
    entry_links: int
    entry_processor: float
    processor_limit: float


@dataclass(slots=True)
class FakePeer:
    """A peer and the connection to it.

    Attributes:
        name: Its name.
        dead_since: When it died, None while it is well.
        silent: Whether the present connection was lost track of.
        suspected_at: When it became suspect, None before.
        plain_since: Since when the plain rule suspects it, None while it does not.
    """

    name: str
    dead_since: float | None = None
    silent: bool = False
    suspected_at: float | None = None
    plain_since: float | None = None


@dataclass(slots=True)
class Counts:
    """What happened in a run."""

    messages: int = 0
    false_suspicions: int = 0
    plain_suspicions: int = 0
    evicted: int = 0
    plain_evicted: set[str] = field(default_factory=set)
    uses: int = 0
    plain_uses: int = 0


class Observer:
    """One process with its links."""

    def __init__(self, peers: int) -> None:
        self.clock = LoopClock()
        self.rng = random.Random(SEED)
        self.interval = heartbeat_interval(peers, SHORTEST_INTERVAL)
        self.timeout = max(SHORTEST_TIMEOUT, 2 * self.interval)
        self.counts = Counts()
        self.peers = {f"peer-{number}": FakePeer(f"peer-{number}") for number in range(peers)}
        self.members = Membership(self.clock, self._changed)
        self.members.set_peers(Member(name, f"vm-{name}", domain_of(name)) for name in self.peers)
        self.cut_off = False
        self.stopped = anyio.Event()
        self.stopped.set()

    async def link(self, peer: FakePeer) -> None:
        """Keep a link to one peer up."""
        OWNER.set("observer")
        failures = 0
        while True:
            if not await self._connect(peer):
                failures += 1
                self.members.failed(peer.name, "no connection")
                ceiling = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**failures)
                await anyio.sleep(self.rng.uniform(FIRST_BACKOFF, ceiling))
                continue
            failures = 0
            await self._exchange(peer)
            self._plain_suspects(peer)

    async def evaluate(self) -> None:
        """Declare gone what is due."""
        OWNER.set("observer")
        while True:
            await anyio.sleep(1.0)
            await self.stopped.wait()
            self.members.evaluate()
            self._plain_evicts()

    async def _connect(self, peer: FakePeer) -> bool:
        await self.stopped.wait()
        peer.silent = False
        if not self._reaches(peer):
            await anyio.sleep(CONNECT_TIMEOUT)
            return False
        await anyio.sleep(0.003)
        self._heard(peer)
        return True

    async def _exchange(self, peer: FakePeer) -> None:
        heard_at = self.clock.monotonic()
        await anyio.sleep(self.rng.uniform(0, self.interval))
        while self.clock.monotonic() - heard_at < self.timeout:
            await self.stopped.wait()
            self.counts.messages += 1
            if self._reaches(peer) and not peer.silent:
                self.counts.messages += 1
                heard_at = self.clock.monotonic()
                self._heard(peer)
            await anyio.sleep(self.interval)

    def _reaches(self, peer: FakePeer) -> bool:
        return peer.dead_since is None and not self.cut_off

    def _heard(self, peer: FakePeer) -> None:
        before = self.members.usable(peer.name)
        self.members.record_heartbeat(peer.name, incarnation=1)
        if not before and self.members.usable(peer.name):
            self.counts.uses += 1
        if peer.plain_since is not None:
            self.counts.plain_uses += 1
            peer.plain_since = None

    def _plain_suspects(self, peer: FakePeer) -> None:
        if peer.plain_since is None:
            peer.plain_since = self.clock.monotonic()
            self.counts.plain_suspicions += peer.dead_since is None

    def _plain_evicts(self) -> None:
        now = self.clock.monotonic()
        for peer in self.peers.values():
            due = peer.plain_since is not None and now - peer.plain_since >= GONE_AFTER_SECONDS
            if due and peer.dead_since is None:
                self.counts.plain_evicted.add(peer.name)

    def _changed(self, change: MemberChange) -> None:
        peer = self.peers[change.name]
        if change.after is MemberState.SUSPECT:
            peer.suspected_at = peer.suspected_at or self.clock.monotonic()
            self.counts.false_suspicions += peer.dead_since is None
        if change.after is MemberState.GONE and peer.dead_since is None:
            self.counts.evicted += 1


Story = Callable[[Observer], Coroutine[Any, Any, None]]


def run() -> Result:
    """Run all scenarios."""
    rows = [run_virtual(_scenario, f"3 of {size} die", size, _deaths) for size in SIZES]
    size = FULL_SIZE_LINKS
    rows += [
        run_virtual(_scenario, "a connection goes silent each 2 s", size, _silent_connections),
        run_virtual(_scenario, "a failure domain dies", size, _domain_dies),
        run_virtual(_scenario, "the process is cut off for 90 s", size, _cut_off),
        run_virtual(_scenario, "the process is stopped for 90 s", size, _stopped),
        run_virtual(_scenario, "a peer flaps each 12 s for 10 min", size, _flapping),
    ]
    full = next(row for row in rows if row.peers == size)
    return Result(
        rows=tuple(rows),
        entry_links=size,
        entry_processor=round(full.processor + full.messages * GRPC_PERCENT, 3),
        processor_limit=PROCESSOR_LIMIT,
    )


async def _scenario(name: str, size: int, story: Story) -> Row:
    observer = Observer(size)
    async with anyio.create_task_group() as tasks:
        for peer in observer.peers.values():
            tasks.start_soon(observer.link, peer)
        tasks.start_soon(observer.evaluate)
        await anyio.sleep(WARM)
        observer.counts = Counts()
        begun, before = observer.clock.monotonic(), spent()["observer"]
        await story(observer)
        seconds = observer.clock.monotonic() - begun
        used = 100 * (spent()["observer"] - before) / seconds
        tasks.cancel_scope.cancel()
    return _row(name, observer, seconds, used)


def _row(name: str, observer: Observer, seconds: float, used: float) -> Row:
    counts = observer.counts
    delays = sorted(
        peer.suspected_at - peer.dead_since
        for peer in observer.peers.values()
        if peer.dead_since is not None and peer.suspected_at is not None
    )
    return Row(
        scenario=name,
        peers=len(observer.peers),
        interval=round(observer.interval, 2),
        died=sum(peer.dead_since is not None for peer in observer.peers.values()),
        detect_p50=round(delays[len(delays) // 2], 2) if delays else 0.0,
        detect_max=round(delays[-1], 2) if delays else 0.0,
        false_suspicions=counts.false_suspicions,
        plain_suspicions=counts.plain_suspicions,
        evicted=counts.evicted,
        plain_evicted=len(counts.plain_evicted),
        uses=counts.uses,
        plain_uses=counts.plain_uses,
        messages=round(counts.messages / seconds, 1),
        processor=round(used, 3),
    )


async def _deaths(observer: Observer) -> None:
    for name in list(observer.peers)[:3]:
        observer.peers[name].dead_since = observer.clock.monotonic()
        await anyio.sleep(7.3)
    await anyio.sleep(30.0)


async def _silent_connections(observer: Observer) -> None:
    for _ in range(30):
        observer.rng.choice(list(observer.peers.values())).silent = True
        await anyio.sleep(2.0)
    await anyio.sleep(20.0)


async def _domain_dies(observer: Observer) -> None:
    for peer in observer.peers.values():
        if domain_of(peer.name) == "domain-1":
            peer.dead_since = observer.clock.monotonic()
    await anyio.sleep(90.0)


async def _cut_off(observer: Observer) -> None:
    observer.cut_off = True
    await anyio.sleep(90.0)
    observer.cut_off = False
    await anyio.sleep(30.0)


async def _stopped(observer: Observer) -> None:
    observer.stopped = anyio.Event()
    await anyio.sleep(90.0)
    observer.members.reset_to_unconfirmed()
    observer.stopped.set()
    await anyio.sleep(30.0)


async def _flapping(observer: Observer) -> None:
    peer = observer.peers["peer-0"]
    for _ in range(50):
        peer.dead_since = observer.clock.monotonic()
        await anyio.sleep(9.0)
        peer.dead_since = None
        await anyio.sleep(3.0)


def domain_of(name: str) -> str:
    """Return the failure domain of a peer."""
    return f"domain-{int(name.split('-')[1]) % DOMAINS}"


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print(
        f"{'':<74}{'suspected well':>16}{'evicted well':>14}{'put to use':>12}\n"
        f"{'scenario':<36}{'peers':>6}{'beat s':>7}{'died':>5}{'p50 s':>7}{'max s':>7}"
        f"{'':>6}{'ours':>8}{'plain':>8}{'ours':>7}{'plain':>7}{'ours':>6}{'plain':>6}"
        f"{'msg/s':>8}{'cpu %':>7}"
    )
    for row in result.rows:
        print(
            f"{row.scenario:<36}{row.peers:>6}{row.interval:>7.2f}{row.died:>5}"
            f"{row.detect_p50:>7.2f}{row.detect_max:>7.2f}{'':>6}{row.false_suspicions:>8}"
            f"{row.plain_suspicions:>8}{row.evicted:>7}{row.plain_evicted:>7}{row.uses:>6}"
            f"{row.plain_uses:>6}{row.messages:>8.1f}{row.processor:>7.2f}"
        )
    print(
        f"\nan entry with {result.entry_links} links: {result.entry_processor} % of a core with "
        f"0.075 ms a message for grpclib, limit {result.processor_limit}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
