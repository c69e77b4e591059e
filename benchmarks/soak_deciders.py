"""Soak: real agents take a lock-step group over from each other while they are stopped and cut off.

    python -m benchmarks.soak_deciders --seed 7       one seed, with its faults and verdict
    python -m benchmarks.soak_deciders --seeds 50     fifty fresh seeds, a line each

Two VMs take turns at rank 0 by configuration. Their agents are stopped for a moment or for seconds,
cut off from all but their ranks, killed and started; so are entries, which confirm who decides. The
ranks ignore fencing numbers and tell who ordered them. No decider may order beside another, no step
may be made under two maps, and the group steps on once all is well.
"""

import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

import anyio
import httpcore
import msgspec

from benchmarks.soak_command import main_of
from carawayhub.groups.orders import RankState
from carawayhub.standins.checker import Evidence, StepSample, check
from carawayhub.standins.faults import LinkFault
from carawayhub.standins.fleet import to_json
from tests.group_fleet import lock_step, replacement_agent
from tests.processes import ProcessFleet, ProcessHandle, process_fleet

SETTLE_SECONDS = 5.0
STRIKE_SECONDS = 30.0
CALM_SECONDS = 15.0
"""Seconds for the group to step on after the last fault: a lease and the settling of a change."""

LOOK_SECONDS = 0.02
LEAST_APART = 0.3
"""Seconds between the orders of two deciders, one of which orders again: less than the half second
by which a successor waits longer than a lease lasts."""

STEPS_ON = 5
SILENCE = LinkFault(silent_to_target=True, silent_to_client=True)
SHAPE = lock_step(checks_fencing=False)

Kind = TypeVar("Kind")


@dataclass(frozen=True, slots=True)
class Ordered:
    """Orders of one decider seen at one look.

    Attributes:
        at: When.
        decider: Its number.
    """

    at: float
    decider: str


def beside_each_other(seen: list[Ordered]) -> list[str]:
    """Return where a decider that orders again had another one order within its lease.

    The decider of one process may hand over to the next at once, but then never orders again.
    """
    first: dict[str, float] = {}
    last: dict[str, float] = {}
    for each in seen:
        first.setdefault(each.decider, each.at)
        last[each.decider] = each.at
    found = []
    for before, after in zip(seen, seen[1:], strict=False):
        if before.decider == after.decider:
            continue
        returns = last[before.decider] > after.at or first[after.decider] < before.at
        apart = after.at - before.at
        if returns and apart < LEAST_APART:
            found.append(f"{after.decider} ordered {apart:.3f} s after {before.decider}")
    return found


@dataclass(slots=True)
class DeciderSoak:
    """One run.

    Attributes:
        seed: Its seed.
        folder: Where logs go.
        struck: Faults that struck.
        seen: Who ordered, in order of time.
        problems: Broken promises.
    """

    seed: int
    folder: Path
    struck: Counter[str] = field(default_factory=Counter)
    seen: list[Ordered] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    _fleet: ProcessFleet | None = None
    _agents: list[ProcessHandle] = field(default_factory=list)
    _counts: dict[str, int] = field(default_factory=dict)
    _turn: int = 0

    @property
    def fleet(self) -> ProcessFleet:
        """The fleet that is played."""
        assert self._fleet is not None
        return self._fleet

    def line(self) -> str:
        """Return the outcome in one line."""
        deciders = len({each.decider for each in self.seen})
        return f"{deciders} deciders, {sum(self._counts.values())} orders, {self._turn} turns"

    async def run(self) -> None:
        """Play the seed and judge it."""
        rng = random.Random(self.seed)
        async with AsyncExitStack() as stack:
            self._fleet = await stack.enter_async_context(process_fleet(SHAPE, self.seed))
            self._agents = [self.fleet.daemons[self._leader], self._other_agent()]
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._watch)
                    await anyio.sleep(SETTLE_SECONDS)
                    await self._strike(rng)
                    await self._heal()
                    await self._until_steps()
                    tasks.cancel_scope.cancel()
                await self._judge()
            finally:
                self._agents[1].kill()
                self._keep_logs()

    @property
    def _leader(self) -> str:
        return self.fleet.plan.lock_step[0].name

    @property
    def _host(self) -> str:
        return f"127.{self.fleet.plan.subnet}.230.1"

    def _other_agent(self) -> ProcessHandle:
        handle = replacement_agent(self.fleet)
        handle.start()
        return handle

    async def _strike(self, rng: random.Random) -> None:
        kinds: dict[str, Callable[[random.Random], Coroutine[Any, Any, None]]] = {
            "turn": self._take_turns,
            "short stop": self._stop_shortly,
            "long stop": self._stop_for_long,
            "cut off": self._cut_off,
            "agent killed": self._kill_agent,
            "entry stopped": self._stop_entry,
            "entry killed": self._kill_entry,
        }
        weights = (4, 4, 2, 3, 1, 1, 1)
        until = anyio.current_time() + STRIKE_SECONDS
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                (name,) = rng.choices(list(kinds), weights)
                self.struck[name] += 1
                tasks.start_soon(kinds[name], rng)
                await anyio.sleep(rng.uniform(0.1, 1.5))

    async def _take_turns(self, rng: random.Random) -> None:
        self._turn += 1
        if self._turn % 2:
            change = {"vm": "replacement", "agent": f"{self._host}:7000"}
            step = to_json({"endpoints": {self._leader: change}})
        else:
            step = to_json({})
        self.fleet.publish("60-replaced.json", step)

    async def _stop_shortly(self, rng: random.Random) -> None:
        await self._stop(rng.choice(self._agents), rng.uniform(0.05, 1.0))

    async def _stop_for_long(self, rng: random.Random) -> None:
        await self._stop(rng.choice(self._agents), rng.uniform(1.0, 5.0))

    async def _stop_entry(self, rng: random.Random) -> None:
        entry = rng.choice(self.fleet.plan.entries).name
        await self._stop(self.fleet.daemons[entry], rng.uniform(0.2, 3.0))

    async def _stop(self, handle: ProcessHandle, seconds: float) -> None:
        handle.pause()
        await anyio.sleep(seconds)
        handle.resume()

    async def _kill_agent(self, rng: random.Random) -> None:
        handle = rng.choice(self._agents)
        handle.kill()
        await anyio.sleep(rng.uniform(0.0, 1.0))
        if not handle.running:
            handle.start()

    async def _kill_entry(self, rng: random.Random) -> None:
        handle = self.fleet.daemons[rng.choice(self.fleet.plan.entries).name]
        handle.kill()
        await anyio.sleep(rng.uniform(0.0, 1.0))
        if not handle.running:
            handle.start()

    async def _cut_off(self, rng: random.Random) -> None:
        """Let one agent hear nobody but its ranks."""
        own = rng.choice((self.fleet.plan.node(self._leader).inner, self._host))
        links = [
            link
            for name, link in self.fleet.proxy.links.items()
            if name == "platform" or name.endswith(".peer")
        ]
        for link in links:
            link.state.set_fault(SILENCE, own)
        await anyio.sleep(rng.uniform(0.5, 6.0))
        for link in links:
            link.state.set_fault(LinkFault(), own)

    async def _heal(self) -> None:
        self.fleet.plan.heal(self.fleet.proxy)
        for handle in (*self.fleet.daemons.values(), *self._agents):
            handle.resume()
            if not handle.running:
                handle.start()

    async def _watch(self) -> None:
        while True:
            counts = await self._read("/control/givers", dict[str, int])
            now = anyio.current_time()
            for decider, count in counts.items():
                if count > self._counts.get(decider, 0):
                    self.seen.append(Ordered(now, decider))
            self._counts = counts
            await anyio.sleep(LOOK_SECONDS)

    async def _until_steps(self) -> None:
        begun = max(state.entered for state in await self._states())
        with anyio.move_on_after(CALM_SECONDS):
            while min(state.entered for state in await self._states()) < begun + STEPS_ON:
                await anyio.sleep(LOOK_SECONDS)
            return
        self.problems.append(f"the group made no {STEPS_ON} steps in {CALM_SECONDS:g} s of calm")

    async def _judge(self) -> None:
        self.problems += beside_each_other(self.seen)
        steps = await self._read("/control/steps", list[StepSample])
        self.problems += [str(each) for each in check(Evidence(steps=steps)).findings]

    async def _states(self) -> list[RankState]:
        return await self._read("/control/states", list[RankState])

    async def _read(self, path: str, kind: type[Kind]) -> Kind:
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://{self.fleet.plan.ranks}{path}")
        return msgspec.json.decode(response.content, type=kind)

    def _keep_logs(self) -> None:
        for log in self.fleet.folder.glob("*.log"):
            (self.folder / log.name).write_bytes(log.read_bytes())


async def play(seed: int, folder: Path) -> DeciderSoak:
    """Play one seed."""
    soak = DeciderSoak(seed, folder)
    await soak.run()
    return soak


if __name__ == "__main__":
    sys.exit(main_of(play, "soak of the deciders of a lock-step group"))
