"""Soak of lock-step groups: real agents as processes, faults from outside, one map for each pass.

    python -m benchmarks.soak_groups --seed 7       one seed, with its faults and verdict
    python -m benchmarks.soak_groups --seeds 20     fresh seeds, a line each

The ranks of one group stand on loopback addresses, each with an agent beside it. What is wanted
changes every two seconds, so the agents change the map again and again, while they are killed,
paused, stopped and started, orders are lost or take effect seconds late, ranks go silent, the store
is down, and the group is idle or forms anew. No pass may see two maps, and no pass stays held.
"""

import random
import signal
import socket
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import anyio

from benchmarks.soak_command import main_of, subnet
from carawayhub.addresses import Address
from carawayhub.experts.model import (
    Arm,
    HeldExperts,
    Placement,
    RankCounts,
    RankReport,
    experts_of_rank,
    initial_placement,
)
from carawayhub.gateway.model import EngineProfile, ExpertShape
from carawayhub.http import HttpServer, bind
from carawayhub.platform.settings import SETTINGS_VARIABLE
from carawayhub.platform.standin_ranks import StandinRank, agent_settings, engine
from carawayhub.platform.standin_store import StandinStore
from carawayhub.platform.standins import configuration, registration
from tests.expert_group import FakeGroup, FakeRank
from tests.processes import ProcessHandle

RANKS = 4
FAULT_SECONDS = 12.0
CALM_SECONDS = 9.0
"""Seconds after the last fault. Orders take effect up to 12 s late, so the last ones are drawn late
by less; the group must go on and change its map again in this time."""
MOST_STOOD = 3.0
"""Seconds for which the group may stand in that time, for a change that the last fault left behind:
the longest silence after which another agent finishes it, some looks, and orders given twice."""
SHIFT_SECONDS = 2.0
CHOICES_A_PASS = 40_000
HOT_PART = 0.5
SHAPE = ExpertShape(
    layers=2,
    experts=8,
    places=4,
    spare=2,
    share=0.85,
    expert_bytes=1e6,
    link_rate=1e9,
)
PROFILE = EngineProfile(
    places=4,
    kv_tokens=0,
    step=0.006,
    step_per_request=0.0008,
    prefill_rate=60_000.0,
    chunk=512,
    stride=6,
    mean_prompt_tokens=800.0,
    mean_answer_tokens=140.0,
    experts=SHAPE,
)


class WantedGroup(FakeGroup):
    """A group whose requests choose one expert of each layer set more than all others."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(RANKS, rng)
        self.hot = [0] * SHAPE.layers
        self.counts = [[0] * (SHAPE.layers * SHAPE.experts) for _ in range(RANKS)]

    def placement(self, version: int) -> Placement:
        """Return the map of a version."""
        start = initial_placement(SHAPE.layers, SHAPE.experts, RANKS)
        return start if version == 0 else self.states[0].maps[version]

    def count(self) -> None:
        """Count the choices of a pass at each rank."""
        even = round(CHOICES_A_PASS * (1 - HOT_PART) / SHAPE.experts)
        for row in self.counts:
            for layer, hot in enumerate(self.hot):
                for expert in range(SHAPE.experts):
                    row[layer * SHAPE.experts + expert] += even
                row[layer * SHAPE.experts + hot] += round(CHOICES_A_PASS * HOT_PART)

    def _begin_pass(self) -> None:
        super()._begin_pass()
        self.count()


class WantedRank(FakeRank):
    """One rank of it."""

    group: WantedGroup

    async def report(self) -> RankReport:
        """Return what the rank says of itself, with all its places taken."""
        return replace(await super().report(), running=PROFILE.places)

    async def counts(self) -> RankCounts:
        """Return how often each expert was chosen."""
        group = self.group
        counts = tuple(group.counts[self.rank])
        return RankCounts(epoch=group.epoch, step=group.step, counts=counts, present=PROFILE.places)

    async def held_experts(self) -> HeldExperts:
        """Return the experts of the rank now."""
        version = self.group.states[self.rank].version
        return HeldExperts(
            version=version, experts=experts_of_rank(self.group.placement(version), self.rank)
        )


@dataclass(slots=True)
class GroupSoak:
    """One run.

    Attributes:
        seed: Its seed.
        folder: Where logs and settings go.
        struck: Faults that struck.
        problems: Broken promises.
        outcome: What became of it, in numbers.
    """

    seed: int
    folder: Path
    struck: Counter[str] = field(default_factory=Counter)
    problems: list[str] = field(default_factory=list)
    outcome: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    store: StandinStore = field(default_factory=StandinStore)
    agents: list[ProcessHandle] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)
    sockets: list[socket.socket] = field(default_factory=list)

    async def run(self) -> None:
        """Start everything, let faults strike while maps change, and check the promises."""
        self.rng.seed(self.seed)
        group = WantedGroup(random.Random(self.seed))
        async with anyio.create_task_group() as tasks:
            group.tasks = tasks
            self._start(tasks, group)
            tasks.start_soon(group.run)
            tasks.start_soon(self._shift, group)
            try:
                await self._until_changed(group, 20.0)
                await self._strike(group)
                self._calm(group)
                stood, switched = group.stood, self._switches(group)
                await anyio.sleep(CALM_SECONDS)
                await self._until_released(group)
                self.outcome = {
                    "passes": group.step,
                    "switches": self._switches(group),
                    "stood": round(group.stood, 2),
                    "stood_in_calm": round(group.stood - stood, 2),
                }
                self._check(group, self._switches(group) - switched)
            finally:
                for each in self.agents:
                    each.resume()
                    each.kill()
                for sock in self.sockets:
                    sock.close()
            tasks.cancel_scope.cancel()

    def _start(self, tasks: anyio.abc.TaskGroup, group: WantedGroup) -> None:
        self._publish()
        store_address = self._serve(tasks, "127.0.0.1", self.store)
        for rank in range(RANKS):
            ip = f"{subnet()}.{31 + rank}"
            replica = self._serve(tasks, ip, StandinRank(WantedRank(group, rank)))
            self.store.put(f"servers/i-{rank}", registration("llm", replica))
            path = self.folder / f"{ip}.toml"
            path.write_text(agent_settings(ip, replica, "llm", store_address))
            agent = ProcessHandle(
                ip,
                ["carawayhub.platform", "agent"],
                self.folder / f"{ip}.log",
                env={SETTINGS_VARIABLE: str(path)},
            )
            self.agents.append(agent)
            agent.start()

    def _serve(self, tasks: anyio.abc.TaskGroup, ip: str, app: object) -> str:
        sock = bind(Address(ip, 0))
        self.sockets.append(sock)
        tasks.start_soon(HttpServer(app, sock).run)
        return "{}:{}".format(*sock.getsockname())

    def _publish(self) -> None:
        value = configuration(1, ["k1"], {"/stream/": ("streaming", "llm")})
        value["Services"] = [{"Name": "llm", "Engine": engine(PROFILE)}]
        self.store.put("op/config", value)

    async def _shift(self, group: WantedGroup) -> None:
        while True:
            group.hot = [self.rng.randrange(SHAPE.experts) for _ in group.hot]
            await anyio.sleep(SHIFT_SECONDS)

    async def _until_changed(self, group: WantedGroup, seconds: float) -> None:
        with anyio.fail_after(seconds):
            while not self._switches(group):
                await anyio.sleep(0.1)

    def _switches(self, group: WantedGroup) -> int:
        return len({order.version for _, order in group.accepted if isinstance(order, Arm)})

    async def _strike(self, group: WantedGroup) -> None:
        acts: list[Callable[[WantedGroup], Coroutine[Any, Any, None]]] = [
            self._kill,
            self._kill,
            self._pause,
            self._pause,
            self._stop,
            self._late_orders,
            self._lost_orders,
            self._silent_rank,
            self._idle,
            self._form_again,
            self._store_down,
        ]
        with anyio.move_on_after(FAULT_SECONDS + 8.0):
            async with anyio.create_task_group() as tasks:
                ends_at = anyio.current_time() + FAULT_SECONDS
                while anyio.current_time() < ends_at:
                    act = self.rng.choice(acts)
                    self.struck[act.__name__.strip("_")] += 1
                    tasks.start_soon(act, group)
                    await anyio.sleep(self.rng.uniform(0.1, 1.2))

    def _calm(self, group: WantedGroup) -> None:
        group.late = group.lost = group.answer_lost = 0.0
        group.silent = set()
        group.idle = self.store.down = False

    def _free(self) -> ProcessHandle | None:
        found = [each for each in self.agents if each.name not in self.busy]
        return self.rng.choice(found) if found else None

    async def _kill(self, group: WantedGroup) -> None:
        agent = self._free()
        if agent is None:
            return
        self.busy.add(agent.name)
        agent.kill()
        await anyio.sleep(self.rng.uniform(0.05, 2.0))
        agent.start()
        await anyio.sleep(0.5)
        self.busy.discard(agent.name)

    async def _pause(self, group: WantedGroup) -> None:
        agent = self._free()
        if agent is None:
            return
        self.busy.add(agent.name)
        agent.pause()
        await anyio.sleep(self.rng.uniform(0.2, 5.0))
        agent.resume()
        self.busy.discard(agent.name)

    async def _stop(self, group: WantedGroup) -> None:
        agent = self._free()
        if agent is None:
            return
        self.busy.add(agent.name)
        status = await agent.stop()
        if status not in (0, -signal.SIGTERM):
            self.problems.append(f"planned stop of {agent.name} ended with {status}")
        agent.start()
        await anyio.sleep(0.5)
        self.busy.discard(agent.name)

    async def _late_orders(self, group: WantedGroup) -> None:
        group.late = 0.4
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        group.late = 0.0

    async def _lost_orders(self, group: WantedGroup) -> None:
        group.lost, group.answer_lost = 0.2, 0.2
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        group.lost = group.answer_lost = 0.0

    async def _silent_rank(self, group: WantedGroup) -> None:
        group.silent = {self.rng.randrange(RANKS)}
        await anyio.sleep(self.rng.uniform(0.3, 3.0))
        group.silent = set()

    async def _idle(self, group: WantedGroup) -> None:
        group.idle = True
        await anyio.sleep(self.rng.uniform(0.2, 2.0))
        group.idle = False

    async def _form_again(self, group: WantedGroup) -> None:
        group.open = False
        await anyio.sleep(0.6)
        group.reform()
        group.open = True

    async def _store_down(self, group: WantedGroup) -> None:
        self.store.down = True
        await anyio.sleep(self.rng.uniform(0.3, 4.0))
        self.store.down = False

    async def _until_released(self, group: WantedGroup) -> None:
        """See that no pass stays held.

        A change that is under way holds one for some passes, so a look at a single moment proves
        nothing; between two changes none is held.
        """
        with anyio.move_on_after(MOST_STOOD) as scope:
            while any(each.held > group.step for each in group.states):
                await anyio.sleep(0.02)
        if scope.cancelled_caught:
            self.problems.append(f"a pass was held all of {MOST_STOOD:.0f} s")

    def _check(self, group: WantedGroup, switched_in_calm: int) -> None:
        if group.mixed:
            self.problems.append(f"passes under two maps: {group.mixed[:3]}")
        if self.outcome["stood_in_calm"] > MOST_STOOD:
            self.problems.append(f"the group stood for {self.outcome['stood_in_calm']} s in calm")
        if not switched_in_calm:
            self.problems.append(f"no change of map in {CALM_SECONDS:.0f} s of calm")

    def line(self) -> str:
        """Return the outcome in one line."""
        return f"{self.outcome}"


async def play(seed: int, folder: Path) -> GroupSoak:
    """Play one seed and return what became of it."""
    soak = GroupSoak(seed, folder)
    await soak.run()
    return soak


if __name__ == "__main__":
    sys.exit(main_of(play, __doc__ or ""))
