"""Histories of entries that follow a store while routes move, searched for late configurations.

    python -m benchmarks.late_configurations --seed 7              one history
    python -m benchmarks.late_configurations --seeds 50            histories with fresh seeds
    python -m benchmarks.late_configurations --seeds 5 --entries 98

Connections to the store go silent for good, entries are cut off from it or from all, end and start
anew, all in overlapping series, in virtual time. A configuration must be in force at each entry
that nothing disturbs within the stated bound, and none may come back once a newer one was in force.
With ``--returns`` the store also returns from older copies of itself, and endpoints leave; an entry
that has acted on a leaving may not use the endpoint again.
"""

import argparse
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

import anyio
from loguru import logger

from benchmarks.store_fleet import CONFIG_APPLY, Late, StoreFleet, UsedAfterLeaving

STORY_SECONDS = 30.0
CALM_SECONDS = 4.0
"""Seconds at the end of a history without a new disturbance: the last configuration is due too."""

LOST_PART = 0.002


@dataclass(slots=True)
class History:
    """One history.

    Attributes:
        seed: Seed of all its chance.
        entries: How many entries.
        routes: Routes of each configuration.
        lost: Part of the datagrams that is lost.
        returns: Whether the store returns from copies and endpoints leave, too.
        struck: Disturbances by kind.
        late: Versions that came too late.
        back: Entries that went back to an older version.
        used: Endpoints that entries used though they were bound by their leaving.
        delays: Seconds from acknowledgements to configurations in force, at calm entries.
    """

    seed: int
    entries: int
    routes: int = 1
    lost: float = LOST_PART
    returns: bool = False
    struck: Counter[str] = field(default_factory=Counter)
    late: list[Late] = field(default_factory=list)
    back: list[str] = field(default_factory=list)
    used: list[UsedAfterLeaving] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)

    def play(self) -> None:
        """Play it and hold what the entries did against the bound."""
        fleet = StoreFleet(self.entries, self.seed, lost=self.lost, routes=self.routes)
        fleet.play(lambda: self._story(fleet))
        self.late = fleet.late(CONFIG_APPLY)
        self.back = fleet.went_back()
        self.used = fleet.used
        self.delays = sorted(fleet.delays())

    @property
    def is_broken(self) -> bool:
        """Whether some promise was not kept."""
        return bool(self.late or self.back or self.used)

    def line(self) -> str:
        """Return the outcome in one line."""
        worst = self.delays[-1] if self.delays else 0.0
        middle = statistics.median(self.delays) if self.delays else 0.0
        verdict = "BROKEN" if self.is_broken else "kept"
        times = f"{len(self.delays)} in force at calm entries, median {middle:.2f} s"
        counts = f"late {len(self.late)}, gone back {len(self.back)}, left {len(self.used)}"
        return f"seed {self.seed}: {times}, worst {worst:.2f} s, {counts}, {verdict}"

    async def _story(self, fleet: StoreFleet) -> None:
        rng = random.Random(self.seed)
        until = anyio.current_time() + STORY_SECONDS
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._move, fleet, rng, until)
            while anyio.current_time() < until:
                strike = rng.choice(STRIKES_WITH_RETURNS if self.returns else STRIKES)
                self.struck[strike.__name__.strip("_")] += 1
                tasks.start_soon(strike, fleet, rng)
                await anyio.sleep(rng.uniform(0.1, 2.5))
        await anyio.sleep(CALM_SECONDS)

    async def _move(self, fleet: StoreFleet, rng: random.Random, until: float) -> None:
        """Publish configurations, alone and ten in quick succession."""
        while anyio.current_time() < until:
            for _ in range(rng.choice((1, 1, 1, 10))):
                fleet.move_route()
                await anyio.sleep(rng.uniform(0.05, 0.4))
            await anyio.sleep(rng.uniform(0.2, 3.0))


async def _watches_go_silent(fleet: StoreFleet, rng: random.Random) -> None:
    for ip in fleet.ips:
        fleet.silence_watches(ip)


async def _connections_go_silent(fleet: StoreFleet, rng: random.Random) -> None:
    fleet.silence(rng.choice(fleet.ips))


async def _all_connections_go_silent(fleet: StoreFleet, rng: random.Random) -> None:
    for ip in fleet.ips:
        fleet.silence(ip)


async def _readers_lose_the_store(fleet: StoreFleet, rng: random.Random) -> None:
    async with anyio.create_task_group() as tasks:
        for ip in fleet.readers():
            tasks.start_soon(fleet.cut_off, ip, rng.uniform(1.0, 6.0))


async def _one_loses_the_store(fleet: StoreFleet, rng: random.Random) -> None:
    await fleet.cut_off(rng.choice(fleet.ips), rng.uniform(0.5, 6.0))


async def _one_loses_all(fleet: StoreFleet, rng: random.Random) -> None:
    await fleet.isolate(rng.choice(fleet.ips), rng.uniform(0.5, 6.0))


async def _one_starts_anew(fleet: StoreFleet, rng: random.Random) -> None:
    await fleet.restart(rng.choice(fleet.ips), rng.uniform(0.2, 3.0))


async def _endpoints_come_and_go(fleet: StoreFleet, rng: random.Random) -> None:
    await fleet.replace_endpoints(rng.randint(1, 12), rng.uniform(0.05, 0.4))


async def _endpoint_leaves(fleet: StoreFleet, rng: random.Random) -> None:
    await fleet.leave(drains=rng.random() < 0.5)


async def _store_returns_from_a_copy(fleet: StoreFleet, rng: random.Random) -> None:
    copy = fleet.store.copy()
    await anyio.sleep(rng.uniform(0.0, 4.0))
    await fleet.return_from(copy, rng.uniform(0.3, 3.0))
    if rng.random() < 0.3:
        fleet.store.compact()
    await anyio.sleep(rng.uniform(0.0, 1.0))
    fleet.move_route()


Strike = Callable[[StoreFleet, random.Random], Coroutine[Any, Any, None]]

STRIKES: tuple[Strike, ...] = (
    _watches_go_silent,
    _connections_go_silent,
    _all_connections_go_silent,
    _readers_lose_the_store,
    _one_loses_the_store,
    _one_loses_all,
    _one_starts_anew,
    _endpoints_come_and_go,
)

STRIKES_WITH_RETURNS: tuple[Strike, ...] = (
    *STRIKES,
    _endpoint_leaves,
    _endpoint_leaves,
    _store_returns_from_a_copy,
    _store_returns_from_a_copy,
)


def main(argv: list[str]) -> int:
    """Play histories and return 0 if all configurations came in time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--seeds", type=int, default=0, help="fresh seeds")
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--routes", type=int, default=1, help="of each configuration")
    parser.add_argument("--returns", action="store_true", help="the store returns from copies")
    parser.add_argument("--lost", type=float, default=LOST_PART, help="part of the datagrams")
    options = parser.parse_args(argv)
    logger.disable("carawayhub")
    fresh = [random.SystemRandom().randrange(1_000_000) for _ in range(options.seeds)]
    broken = 0
    delays: list[float] = []
    for seed in [*options.seed, *fresh]:
        history = History(seed, options.entries, options.routes, options.lost, options.returns)
        history.play()
        print(history.line(), flush=True)
        for late in history.late[:5]:
            print(f"  {late.ip}: version {late.version} after {late.seconds} s", flush=True)
        for used in history.used[:5]:
            print(f"  {used.ip}: endpoint {used.endpoint} after {used.seconds} s", flush=True)
        broken += history.is_broken
        delays += history.delays
    delays.sort()
    worst = f"{delays[-1]:.2f}" if delays else "none"
    print(f"{broken} broken, worst {worst} s of {len(delays)}", flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
