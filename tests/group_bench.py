"""A small lock-step group with its decider, for tests."""

import random
from contextlib import asynccontextmanager

import anyio

from carawayhub.clock import SystemClock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.decider import DeciderOptions, GroupDecider
from carawayhub.groups.policy import Keep, Reason, Rebalance, Situation
from carawayhub.output.audit import AuditTrail
from carawayhub.standins.rank_faults import FaultyPort
from carawayhub.standins.ranks import StandInGroup, StandInPort, StandInRank, WeightStore

EXPERT_BYTES = 1_000
FAST = DeciderOptions(
    watch_interval=0.005,
    full_read_interval=0.1,
    decision_interval=0.01,
    lead_steps=20,
    agree_timeout=0.2,
    lost_after=0.6,
    stage_timeout=30.0,
    overtaken_pause=0.02,
    staging_rate=10_000_000.0,
)


class FakePolicy:
    """Requests a change to the map given by ``rows``."""

    def __init__(self):
        self.rows = None
        self.applied_maps = []

    def observe(self, counters):
        return None

    def decide(self, current, situation):
        if self.rows is None or current.layers == self.rows:
            return Keep(reason=Reason.BALANCED, skew=1.0)
        return Rebalance(
            reason=Reason.GAIN,
            map=current.with_layers(self.rows),
            skew=1.5,
            expected_skew=1.1,
            gain_seconds=9.0,
            cost_seconds=1.0,
            fetches=1,
            bytes=EXPERT_BYTES,
        )

    def applied(self, old, decision):
        self.applied_maps.append(decision.map.id)

    def measured(self):
        return ()


class Signals:
    """Signals without counters and with the default situation."""

    async def counters(self):
        return None

    def situation(self):
        return Situation()

    async def wait_until_permitted(self):
        return None


class GroupBench:
    """Three ranks with three experts in one layer and one spare slot each."""

    FIRST = ((0, 1, 1, 2, 2, 0),)
    SECOND = ((0, 1, 1, 0, 2, 0),)
    THIRD = ((0, 1, 1, 2, 2, 1),)

    def __init__(self, *, checks_fencing=True, ranks=3, clock=None):
        self.clock = clock or SystemClock()
        self.rng = random.Random(7)
        self.store = WeightStore(100_000_000.0, self.clock)
        self.ranks = [
            StandInRank(n, self.store, EXPERT_BYTES, self.rng, checks_fencing=checks_fencing)
            for n in range(ranks)
        ]
        self.group = StandInGroup(self.ranks)
        self.trail = AuditTrail("agent", self.clock)
        self.deciders = []

    def decider(self, *, version=1, options=FAST, ports=None):
        """Return a decider with its own ports, so that injected faults affect only its orders."""
        count = len(self.ranks)
        config = ModelGroup(
            name="g",
            model="m",
            endpoints=("e",),
            ranks=count,
            experts=3,
            layers=1,
            spare_slots=1,
            expert_bytes=EXPERT_BYTES,
        )
        ports = ports or [FaultyPort(StandInPort(rank)) for rank in self.ranks]
        map_policy = FakePolicy()
        group_decider = GroupDecider(
            config, version, ports, map_policy, Signals(), self.clock, self.trail, self.rng, options
        )
        group_decider.ports, group_decider.map_policy = ports, map_policy
        return group_decider

    @asynccontextmanager
    async def stepping(self):
        """Step the ranks while the body runs, with a timeout so that a hang fails the test."""
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.group.run, 0.0005)
                yield tasks
                tasks.cancel_scope.cancel()

    @asynccontextmanager
    async def running(self, decider):
        """Run ``decider`` while the body runs, then cancel it as if its process had died."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(decider.run)
            yield decider
            tasks.cancel_scope.cancel()

    async def until(self, condition):
        """Wait until the condition holds."""
        while not condition():
            await anyio.sleep(0.001)

    async def until_on(self, rows):
        """Wait until all ranks step under the map with these rows."""
        await self.until(lambda: all(self.rows_of(rank) == rows for rank in self.ranks))

    async def until_steps(self, count=30):
        """Wait until every rank has made ``count`` more steps."""
        target = min(rank.state.entered for rank in self.ranks) + count
        await self.until(lambda: all(rank.state.entered >= target for rank in self.ranks))

    def rows_of(self, rank):
        content = rank.content(rank.state.map) if rank.state.map else None
        return content.layers if content else None

    def events(self):
        return [change.after + "; " + change.reason for change in self.trail.since()]
