"""Three priorities before one service with slots for the usual load: what the callers of each get.

The entries' own pools, queues, claims and orders run in virtual time before replicas with slots.
The rates are those of deployment B: 40.5, 53.5 and 17.9 requests a second, a burst of the least
urgent priority, then one of the most urgent. Number of slots and time to the first event are
assumptions: slots for 1.06 times the usual load, and 0.12 s.

    python -m benchmarks.slot_order [--json] [--seeds N]
"""

import random
import sys
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from functools import cache
from unittest import mock

import anyio
import msgspec
from loguru import logger

from benchmarks.virtual_time import LoopClock, run
from carawayhub.addresses import Address
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.model import (
    CallerLimits,
    Endpoint,
    EndpointState,
    EngineProfile,
    Incarnation,
    Organisation,
    Repeat,
    Route,
    RouteTable,
    Service,
    Share,
)
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.serviceorder import ServiceOrder
from carawayhub.gateway.view import FleetView
from carawayhub.limits.slotorder import SlotOrder
from carawayhub.limits.slotrows import ALL, Demand, RowKey, SlotCounts

SERVICE = "llm"
DEADLINE = 8.0
FIRST_EVENT = 0.12
SLOTS = 5
FOLLOWED_PART = 1.0 / 3.0
"""Part of the remaining time up to which callers follow a Retry-After."""

SEEDS = 6

PROFILE = EngineProfile(
    places=SLOTS,
    kv_tokens=116_666,
    step=0.00455,
    step_per_request=0.00181,
    prefill_rate=61_400.0,
    chunk=512,
    stride=4,
    mean_prompt_tokens=835.0,
    mean_answer_tokens=97.0,
    experts=None,
)

Curve = Callable[[float], float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """Requests of one route and organisation.

    Attributes:
        rate: Requests a second, by time.
        priority: Priority, 0 is the most urgent.
        target: Seconds within which callers want the first event.
        worth: Worth of an answer in time.
        late: Worth of a late answer, as a fraction of ``worth``.
        organisation: Name of the organisation, empty for a public route.
    """

    rate: Curve
    priority: int
    target: float = 0.5
    worth: float = 1.0
    late: float = 0.5
    organisation: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """One load pattern.

    Attributes:
        kinds: Kinds of requests.
        seconds: Seconds for which requests arrive.
        entries: Number of entries.
        replicas: Number of replicas.
        delay: Seconds between two datagrams of an entry to its peers.
        loss: Fraction of datagrams that are lost.
        cut: Seconds from and to which entries hear nothing of each other.
    """

    kinds: tuple[Kind, ...]
    seconds: float = 24.0
    entries: int = 15
    replicas: int = 36
    delay: float = 0.1
    loss: float = 0.0
    cut: tuple[float, float] = (0.0, 0.0)


def burst(usual: float, factor: float = 1.0, start: float = 0.0, end: float = 0.0) -> Curve:
    """Return a rate that is ``factor`` times the usual from ``start`` to ``end``."""
    return lambda now: usual * (factor if start <= now < end else 1.0)


class WeightedDraw(SlotOrder):
    """Draws whether a priority may compete for free slots, by what waits and is expected.

    Args:
        rng: Source of the draws.
        ratio: Weight of a priority divided by that of the next less urgent one.
    """

    __slots__ = ("_ratio", "_rng")

    def __init__(self, rng: random.Random, ratio: float = 4.0) -> None:
        super().__init__()
        self._rng = rng
        self._ratio = ratio

    def free_for(
        self, priority: int, free: float, demands: Mapping[RowKey, Demand], delay: float
    ) -> float:
        """Return all free slots if the draw is won, otherwise none."""
        needs = {
            other: each.waiting + each.arrived * delay
            for (other, organisation), each in demands.items()
            if organisation == ALL
        }
        if free >= sum(needs.values()):
            return free
        weights = {other: need * self._ratio**-other for other, need in needs.items()}
        urgent = sum(weight for other, weight in weights.items() if other < priority)
        own = max(weights.get(priority, 0.0), self._ratio**-priority)
        return free if self._rng.random() < own / (own + urgent) else 0.0


class NoOrder(SlotOrder):
    """Lets all priorities compete for all free slots."""

    __slots__ = ()

    def free_for(
        self, priority: int, free: float, demands: Mapping[RowKey, Demand], delay: float
    ) -> float:
        """Return all free slots."""
        return free


@dataclass(slots=True)
class Outcome:
    """What callers got.

    Attributes:
        ends: Callers by kind and end (in time, late, refused), by second of arrival.
    """

    ends: dict[tuple[int, int], Counter[str]] = field(default_factory=dict)

    def total(self, kind: int, first: float = 0.0, last: float = 1e9) -> Counter[str]:
        """Return the ends of a kind that arrived between two times."""
        found: Counter[str] = Counter()
        for (second, of), ends in self.ends.items():
            if of == kind and first <= second < last:
                found += ends
        return found

    def in_time(self, kind: int, first: float = 0.0, last: float = 1e9) -> float:
        """Return the fraction of a kind that was in time."""
        ends = self.total(kind, first, last)
        return ends["in time"] / max(1, ends.total())


class Fleet:
    """Entries before one service, with their callers.

    Args:
        load: The load pattern.
        seed: Draws arrivals, hold times and entries.
        decision: Returns the decision of each entry, None for that of the product.
    """

    def __init__(
        self, load: Load, seed: int, decision: Callable[[random.Random], SlotOrder] | None = None
    ) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.outcome = Outcome()
        self.slots = [anyio.Semaphore(SLOTS) for _ in range(load.replicas)]
        self.loads = [Loads() for _ in range(load.entries)]
        self.counts = [SlotCounts(self.clock) for _ in range(load.entries)]
        self.pools = [self._pool(at) for at in range(load.entries)]
        self.in_flight: Counter[int] = Counter()
        self.row_bytes = 0
        self.sent: list[tuple[float, int, str]] = []
        if decision is not None:
            for each in self.pools:
                each.order.decision = decision(random.Random(self.rng.random()))

    def _pool(self, at: int) -> ServicePool:
        view = FleetView(self.clock, 1.2)
        view.record_store_answer()
        published = [EndpointPublished(_endpoint(each)) for each in range(self.load.replicas)]
        table = TablePublished(_table(self.load.kinds))
        view.replace(Published(revision=Revision(0, 1), changes=(table, *published)))
        return ServicePool(
            SERVICE,
            view,
            self.loads[at],
            Health(self.clock),
            self.clock,
            random.Random(self.rng.random()),
            RetryShare(self.clock, 0.2, 94.0, 10.0),
            lambda: self.load.delay * self.load.entries,
            lambda: self.load.delay,
            slot_counts=self.counts[at],
            fair_shares=True,
        )

    async def run(self) -> None:
        """Play the load."""
        async with anyio.create_task_group() as tasks:
            for at in range(self.load.entries):
                tasks.start_soon(self._gossip, at)
            async with anyio.create_task_group() as callers:
                for number in range(len(self.load.kinds)):
                    callers.start_soon(self._arrive, callers, number)
            tasks.cancel_scope.cancel()

    async def _arrive(self, callers: anyio.abc.TaskGroup, number: int) -> None:
        rng = random.Random(self.rng.random())
        kind = self.load.kinds[number]
        while (now := anyio.current_time()) < self.load.seconds:
            rate = kind.rate(now)
            await anyio.sleep(rng.expovariate(rate) if rate > 0.0 else 0.1)
            if rate > 0.0:
                seed = rng.random()
                callers.start_soon(self._caller, number, random.Random(seed))

    async def _gossip(self, at: int) -> None:
        """Send the other entries the work and the counts of one, as often as entries do."""
        rng = random.Random(self.rng.random())
        await anyio.sleep(rng.uniform(0.0, self.load.delay))
        while True:
            works = {
                name: Work(each.requests, each.reading, each.tokens)
                for name, each in self.loads[at].own().items()
            }
            rows = self.counts[at].rows()
            self.row_bytes = max(self.row_bytes, len(msgspec.msgpack.encode(rows)))
            cut = self.load.cut[0] <= anyio.current_time() < self.load.cut[1]
            for peer, loads in enumerate(self.loads):
                if peer == at or cut or rng.random() < self.load.loss:
                    continue
                loads.update_peer(str(at), works)
                self.counts[peer].receive_rows(str(at), rows)
                self.pools[peer].serve_queue()
            await anyio.sleep(self.load.delay * rng.uniform(0.9, 1.1))

    async def _caller(self, number: int, rng: random.Random) -> None:
        arrived = anyio.current_time()
        held = rng.uniform(1.0, 2.0)
        gives_up = arrived + DEADLINE
        end = "refused"
        for attempt in range(2):
            left = gives_up - anyio.current_time()
            pool = self.pools[rng.randrange(len(self.pools))]
            with anyio.move_on_after(left):
                end, pause = await self._attempt(pool, number, held, arrived, left, attempt > 0)
                if end != "refused" or attempt:
                    break
                await anyio.sleep(min(pause, FOLLOWED_PART * left))
        key = int(arrived), number
        self.outcome.ends.setdefault(key, Counter())[end] += 1

    async def _attempt(
        self,
        pool: ServicePool,
        number: int,
        held: float,
        arrived: float,
        left: float,
        returned: bool,
    ) -> tuple[str, float]:
        """Send one request; return how it ended, and when a refused one may come back."""
        pool.retries.arrived()
        kind = self.load.kinds[number]
        try:
            slot = await pool.acquire(_call(kind, left, returned=returned), anyio.current_time())
        except RequestError as exc:
            return "refused", exc.retry_after or 0.0
        sent_at = anyio.current_time()
        self.in_flight[number] += 1
        self.sent.append((sent_at, number, slot.endpoint.id))
        try:
            async with self.slots[int(slot.endpoint.id)]:
                await anyio.sleep(FIRST_EVENT)
                in_time = anyio.current_time() - arrived <= kind.target
                pool.record_first_event(slot, anyio.current_time() - sent_at)
                await anyio.sleep(held - FIRST_EVENT)
        finally:
            self.in_flight[number] -= 1
            pool.release(slot)
        return ("in time" if in_time else "late"), 0.0

    def worth(self, first: float = 0.0, last: float = 1e9) -> float:
        """Return the worth of the answers divided by that of all in time."""
        got = most = 0.0
        for number, kind in enumerate(self.load.kinds):
            ends = self.outcome.total(number, first, last)
            got += kind.worth * (ends["in time"] + kind.late * ends["late"])
            most += kind.worth * ends.total()
        return got / max(most, 1e-9)


def play(
    load: Load, seed: int, decision: Callable[[random.Random], SlotOrder] | None = None
) -> Fleet:
    """Play a load in virtual time; return the fleet with what its callers got."""
    fleets: list[Fleet] = []

    async def main() -> None:
        fleets.append(Fleet(load, seed, decision))
        await fleets[0].run()

    run(main)
    return fleets[0]


def _call(kind: Kind, left: float, *, returned: bool) -> Admitted:
    now = anyio.current_time()
    req = CallerRequest(
        id=b"r",
        method="POST",
        host="h",
        path="/",
        target=b"/",
        headers=[],
        key=kind.organisation,
        wait_seconds=left,
        prompt_tokens=800,
        answer_tokens=90,
        last_event_id=b"",
    )
    return Admitted(
        req=req,
        route=_route(kind),
        service=SERVICE,
        organisation=Organisation(kind.organisation, None) if kind.organisation else None,
        arrived_at=now,
        ends_at=now + left,
        returned=returned,
        work=Work(1, 800, 890),
    )


@cache
def _route(kind: Kind) -> Route:
    return Route(
        name=f"p{kind.priority}",
        host=f"p{kind.priority}",
        prefix="/",
        repeat=Repeat.STREAM,
        timeout=DEADLINE,
        target=kind.target,
        gap=0.15,
        attempts=2,
        priority=kind.priority,
        public=not kind.organisation,
        resumable=True,
        shares=(Share(SERVICE, 1.0),),
    )


def _table(kinds: tuple[Kind, ...]) -> RouteTable:
    service = Service(name=SERVICE, health_path="/", connections=300, engine=PROFILE)
    names = {each.organisation for each in kinds if each.organisation}
    table = RouteTable(
        version=1,
        services={SERVICE: service},
        limits=CallerLimits(),
        organisations={each: Organisation(each, None) for each in names},
        keys_required=bool(names),
    )
    for each in kinds:
        table.add(_route(each))
    return table


def _endpoint(number: int) -> Endpoint:
    return Endpoint(
        id=str(number),
        incarnation=Incarnation(str(number)),
        service=SERVICE,
        address=Address("127.0.0.1", 1 + number),
        failure_domain="z",
        places=SLOTS,
        state=EndpointState.READY,
    )


LEAST_BURST = 6.0, 12.0
MOST_BURST = 16.0, 19.0

DEPLOYMENT_B = Load(
    kinds=(
        Kind(rate=burst(40.5, 1.75, *MOST_BURST), priority=0, worth=3.1, late=0.3),
        Kind(rate=burst(53.5), priority=1, worth=1.6, late=0.41),
        Kind(rate=burst(17.9, 2.3, *LEAST_BURST), priority=2, target=1.0, worth=0.8, late=0.3),
    )
)
"""The load of deployment B, with the means of the stated ranges of the bursts."""

ONE_BURSTS = Load(
    kinds=(
        Kind(rate=burst(45.0, 2.5, *LEAST_BURST), priority=1, organisation="large"),
        Kind(rate=burst(30.0), priority=1, organisation="medium"),
        Kind(rate=burst(30.0), priority=1, organisation="small"),
    ),
)
"""One priority; an organisation has a burst beyond its share of the slots."""

ALL_ALIKE = Load(
    kinds=tuple(Kind(rate=burst(16.0), priority=1, organisation=f"o{at}") for at in range(8)),
)
"""One priority and eight organisations with equal rates, a little more than can be served."""

LOADS = {
    "deployment B": DEPLOYMENT_B,
    "deployment B, a tenth fewer slots": replace(DEPLOYMENT_B, replicas=32),
    "deployment B, slots for all": replace(DEPLOYMENT_B, replicas=60),
    "deployment B, news after 0.3 s": replace(DEPLOYMENT_B, delay=0.3),
    "deployment B, half of datagrams lost": replace(DEPLOYMENT_B, loss=0.5),
    "deployment B, cut off for 8 s": replace(DEPLOYMENT_B, cut=(8.0, 16.0)),
}

WAYS: dict[str, Callable[[random.Random], SlotOrder] | None] = {
    "reservation": None,
    "weighted draw": WeightedDraw,
    "queue order only": lambda rng: NoOrder(),
}


def play_without_shares(load: Load, seed: int) -> Fleet:
    """Play a load without shares of organisations."""
    with (
        mock.patch.object(ServiceOrder, "sharing", False),
        mock.patch.object(ServiceOrder, "precedes", lambda self, call: frozenset()),
    ):
        return play(load, seed)


def play_without_order(load: Load, seed: int) -> Fleet:
    """Play a load with the decisions that services without priorities have."""
    with mock.patch.object(ServiceOrder, "active", False):
        return play(load, seed)


def figures(fleets: list[Fleet]) -> dict[str, float]:
    """Return the means over some fleets."""

    def mean(of: Callable[[Fleet], float]) -> float:
        return round(sum(of(each) for each in fleets) / len(fleets), 3)

    found = {
        "worth": mean(lambda each: each.worth()),
        "worth least burst": mean(lambda each: each.worth(*LEAST_BURST)),
        "worth most burst": mean(lambda each: each.worth(*MOST_BURST)),
    }
    for number, kind in enumerate(fleets[0].load.kinds):
        in_time = sum(each.outcome.in_time(number) for each in fleets) / len(fleets)
        found[kind.organisation or f"p{kind.priority}"] = round(in_time, 3)
    return found


def main(argv: list[str]) -> int:
    """Play all loads in all ways and print what callers got."""
    logger.disable("carawayhub")
    seeds = int(argv[argv.index("--seeds") + 1]) if "--seeds" in argv else SEEDS
    rows = {
        f"{name}: {way}": figures([play(load, seed, decision) for seed in range(seeds)])
        for name, load in LOADS.items()
        for way, decision in WAYS.items()
    }
    for name, load in LOADS.items():
        alike = [play_without_order(load, seed) for seed in range(seeds)]
        rows[f"{name}: no order"] = figures(alike)
    for name, load in {"one bursts": ONE_BURSTS, "all alike": ALL_ALIKE}.items():
        rows[f"{name}: shares"] = figures([play(load, seed) for seed in range(seeds)])
        rows[f"{name}: no shares"] = figures(
            [play_without_shares(load, seed) for seed in range(seeds)]
        )
    if "--json" in argv:
        print(msgspec.json.encode(rows).decode())
        return 0
    for name, row in rows.items():
        print(f"{name:55}", "  ".join(f"{key} {value:5.3f}" for key, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
