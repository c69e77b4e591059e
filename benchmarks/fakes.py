"""Small stand-ins for time and engines, for benchmarks of the routing and limits code."""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from carawayhub.clock import ManualClock
from carawayhub.config.model import (
    Configuration,
    Endpoint,
    EntryNode,
    FleetOptions,
    Limits,
    ModelGroup,
    Organisation,
    ProviderShare,
)
from carawayhub.peers.messages import CacheEvents, EndpointReport, ServingState
from carawayhub.routing.query import Target, TargetKind

MODEL = "model"
MODEL_TARGET = Target(TargetKind.MODEL, MODEL)
REGION = "region"
DOMAINS = ("domain-a", "domain-b", "domain-c")
STEP_SECONDS = 0.006
BLOCK_SECONDS = 0.004
PREFILL_SECONDS = 0.005


class Timeline:
    """Runs callbacks in the order of their times and moves a manual clock to each.

    Attributes:
        clock: The clock; product code under measurement reads it.
    """

    __slots__ = ("_heap", "_sequence", "clock")

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    @property
    def now(self) -> float:
        """The clock's reading in seconds."""
        return self.clock.monotonic()

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` after ``seconds``."""
        self._sequence += 1
        heapq.heappush(self._heap, (self.now + seconds, self._sequence, callback))

    def every(self, seconds: float, callback: Callable[[], None], first: float) -> None:
        """Run ``callback`` after ``first`` seconds and then each ``seconds``."""

        def again() -> None:
            callback()
            self.after(seconds, again)

        self.after(first, again)

    def run_until(self, end: float) -> None:
        """Run everything due up to the reading ``end``."""
        while self._heap and self._heap[0][0] <= end:
            at, _, callback = heapq.heappop(self._heap)
            self.clock.advance(at - self.now)
            callback()
        self.clock.advance(end - self.now)


class Stage(Enum):
    """How far a request has come at a fake engine."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


@dataclass(slots=True)
class FakeRequest:
    """A request at a fake engine."""

    blocks: Sequence[int]
    tokens: int
    priority: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    stage: Stage = Stage.QUEUED
    cancelled: bool = False


@dataclass(frozen=True, slots=True)
class _Sample:
    """What the engine's load was at one time."""

    at: float
    running: int
    queued: int


@dataclass(frozen=True, slots=True)
class _CacheEvent:
    """A prefix block that entered or left the cache."""

    at: float
    block: int
    added: bool


class FakeEngine:
    """An engine with slots, one prefill at a time, and a prefix cache of limited size.

    Attributes:
        slowness: How many times longer than usual everything takes.
        running: Requests in slots.
        load: Requests in slots and in the queue.
        served_blocks: Prefix blocks of all requests so far.
        hit_blocks: Those among them that were cached.
    """

    __slots__ = (
        "_cache",
        "_cache_size",
        "_capacity",
        "_events",
        "_events_first",
        "_history",
        "_name",
        "_prefill_free_at",
        "_queue",
        "_time",
        "hit_blocks",
        "running",
        "served_blocks",
        "slowness",
    )

    def __init__(
        self, time: Timeline, name: str, capacity: int, slowness: float, cache_size: int
    ) -> None:
        self._time = time
        self._name = name
        self._capacity = capacity
        self.slowness = slowness
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._cache_size = cache_size
        self._prefill_free_at = 0.0
        self._queue: dict[int, deque[FakeRequest]] = {}
        self._events_first = 0
        self._events: deque[_CacheEvent] = deque()
        self._history: deque[_Sample] = deque(maxlen=64)
        self.running = 0
        self.served_blocks = 0
        self.hit_blocks = 0

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return sum(len(queue) for queue in self._queue.values())

    @property
    def load(self) -> int:
        """Requests in slots and in the queue."""
        return self.running + self.queued

    def submit(self, req: FakeRequest) -> None:
        """Take a request; lower priority numbers are served first."""
        if self.running < self._capacity:
            self._start(req)
            return
        self._queue.setdefault(req.priority, deque()).append(req)

    def sample(self) -> None:
        """Keep the present counts, for later reports."""
        self._history.append(_Sample(self._time.now, self.running, self.queued))

    def report(self, lag: float, permit: float) -> EndpointReport:
        """Return a report on the state some seconds ago."""
        now = self._time.now
        sample = next((old for old in reversed(self._history) if old.at <= now - lag), None)
        if sample is None or lag <= 0.0:
            sample = _Sample(now, self.running, self.queued)
        return EndpointReport(
            endpoint=self._name,
            incarnation=1,
            state=ServingState.SERVING,
            permit=permit,
            running=sample.running,
            queued=sample.queued,
            capacity=self._capacity,
            load_age=now - sample.at,
            step_seconds=STEP_SECONDS * self.slowness,
            tokens_rate=sample.running / (STEP_SECONDS * self.slowness),
            cache=self._due_events(now - lag),
        )

    def _due_events(self, until: float) -> CacheEvents:
        added: list[int] = []
        removed: list[int] = []
        first = self._events_first
        while self._events and self._events[0].at <= until:
            event = self._events.popleft()
            (added if event.added else removed).append(event.block)
        self._events_first += len(added) + len(removed)
        return CacheEvents(first=first, added=tuple(added), removed=tuple(removed))

    def cancel(self, req: FakeRequest) -> None:
        """Give up a request; a slot that it decodes in is free at once, a begun prefill ends."""
        req.cancelled = True
        if req.stage is Stage.DECODE:
            self._leave(req)

    def _start(self, req: FakeRequest) -> None:
        self.running += 1
        req.stage = Stage.PREFILL
        hits = self._hits(req.blocks)
        self.served_blocks += len(req.blocks)
        self.hit_blocks += hits
        prefill = (PREFILL_SECONDS + BLOCK_SECONDS * (len(req.blocks) - hits)) * self.slowness
        self._prefill_free_at = max(self._time.now, self._prefill_free_at) + prefill
        self._time.after(self._prefill_free_at - self._time.now, lambda: self._first(req))

    def _first(self, req: FakeRequest) -> None:
        self._keep(req.blocks)
        if req.cancelled:
            self._leave(req)
            return
        req.stage = Stage.DECODE
        req.on_first()
        step = STEP_SECONDS * self.slowness * (1.0 + 0.5 * self.running / self._capacity)
        self._time.after(req.tokens * step, lambda: self._end(req))

    def _end(self, req: FakeRequest) -> None:
        if req.stage is Stage.ENDED:
            return
        self._leave(req)
        req.on_end()

    def _leave(self, req: FakeRequest) -> None:
        req.stage = Stage.ENDED
        self.running -= 1
        while self.running < self._capacity:
            waiting = self._next()
            if waiting is None:
                return
            if not waiting.cancelled:
                self._start(waiting)

    def _next(self) -> FakeRequest | None:
        for priority in sorted(self._queue):
            if self._queue[priority]:
                return self._queue[priority].popleft()
        return None

    def _hits(self, blocks: Sequence[int]) -> int:
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            count += 1
        return count

    def _keep(self, blocks: Sequence[int]) -> None:
        for block in blocks:
            if block not in self._cache:
                self._events.append(_CacheEvent(self._time.now, block, True))
                self._cache[block] = None
            self._cache.move_to_end(block)
        while len(self._cache) > self._cache_size:
            evicted, _ = self._cache.popitem(last=False)
            self._events.append(_CacheEvent(self._time.now, evicted, False))


def fake_configuration(
    endpoints: int,
    entries: int,
    organisations: dict[str, Limits],
    shares: dict[str, float] | None = None,
    capacity: int = 32,
) -> Configuration:
    """Return a configuration with one model, its endpoints spread over domains and providers."""
    names = [f"endpoint-{index:03d}" for index in range(endpoints)]
    return Configuration(
        version=1,
        digest="",
        fleet=FleetOptions(),
        entries={entry.name: entry for entry in map(_fake_entry, range(entries))},
        endpoints=_fake_endpoints(names, list(shares or {"provider": 100.0}), capacity),
        organisations={
            name: Organisation(name=name, key_digests=(), limits=limits)
            for name, limits in organisations.items()
        },
        groups={name: ModelGroup(name=name, model=MODEL, endpoints=(name,)) for name in names},
        services={},
        shares=_fake_shares(shares or {}),
    )


def _fake_entry(index: int) -> EntryNode:
    return EntryNode(
        name=f"entry-{index:03d}",
        vm=f"entry-vm-{index:03d}",
        address=f"10.0.{index // 250}.{index % 250}:80",
        peer_address="",
        failure_domain=DOMAINS[index % len(DOMAINS)],
        region=REGION,
    )


def _fake_endpoints(names: list[str], providers: list[str], capacity: int) -> dict[str, Endpoint]:
    return {
        name: Endpoint(
            name=name,
            vm=f"vm-{name}",
            url="",
            agent="",
            failure_domain=DOMAINS[index % len(DOMAINS)],
            region=REGION,
            provider=providers[index // len(DOMAINS) % len(providers)],
            capacity=capacity,
        )
        for index, name in enumerate(names)
    }


def _fake_shares(shares: dict[str, float]) -> dict[str, tuple[ProviderShare, ...]]:
    if not shares:
        return {}
    rows = tuple(ProviderShare(provider=name, share=share) for name, share in shares.items())
    return {MODEL: rows}


def percentile(values: Sequence[float], part: float) -> float:
    """Return a percentile of unsorted values, 0 for none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def arrivals(rng: random.Random, rate: float, seconds: float) -> list[float]:
    """Return Poisson arrival times within ``seconds``."""
    times: list[float] = []
    at = rng.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times
