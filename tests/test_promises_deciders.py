"""A group has one decider at a time, however its agent is stopped, cut off or replaced."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from carawayhub.standins.faults import LinkFault, RankFault
from carawayhub.standins.fleet import to_json
from carawayhub.standins.fleetshape import NodePlan
from tests.group_fleet import GroupTestCase, lock_step
from tests.processes import ProcessHandle
from tests.stories import publish_everywhere, until

SILENCE = LinkFault(silent_to_target=True, silent_to_client=True)
SHORT_STOP_S = 0.6
WATCHED_S = 4.0
POLL_S = 0.01
READY = b'"event":"ready"'


class OrdersSeen:
    """Who gave orders, in the order of time.

    Attributes:
        givers: Numbers of deciders, each change of the one that orders.
    """

    def __init__(self) -> None:
        self.givers: list[str] = []
        self._counts: dict[str, int] | None = None

    def take(self, counts: dict[str, int]) -> None:
        """Take how many orders each decider has given."""
        before, self._counts = self._counts, counts
        if before is None:
            return
        grown = [name for name, count in counts.items() if count > before.get(name, 0)]
        if len(grown) == 1 and self.givers[-1:] == grown:
            return
        # Where two ordered since the last look, the one that went on is named first.
        self.givers += sorted(grown, key=lambda name: name not in self.givers[-1:])


class DeciderTestCase(GroupTestCase):
    """A change is half done as the agent beside rank 0 is replaced."""

    @property
    def node(self) -> NodePlan:
        """Where the agent beside rank 0 runs."""
        return self.fleet.plan.node(self.leader)

    @asynccontextmanager
    async def replacement(self) -> AsyncIterator[ProcessHandle]:
        """Run the agent of the VM that takes over; no configuration names it yet."""
        new: ProcessHandle = self._replacement()
        new.start()
        try:
            await until(lambda: READY in new.log.read_bytes(), "the replacement runs")
            yield new
        finally:
            new.kill()
            self.fleet.daemons[self.leader].kill()

    async def half_done(self) -> int:
        """Have three ranks agree to a change that the fourth does not hear of."""
        await self.faults({3: RankFault(hold=("arm", "withdraw"))})
        await self.provoke()
        return await self.until_armed(3)

    async def publish_replaced(self, vm: str, entries: list[str]) -> None:
        """Have some entries learn that the group is another agent's."""
        change = {"vm": vm, "agent": f"127.{self.fleet.plan.subnet}.230.1:7000"}
        step = to_json({"endpoints": {self.leader: change}})
        await publish_everywhere(self.fleet, "60-replaced.json", step, entries)

    async def watch(self, seen: OrdersSeen) -> None:
        """Note who orders the ranks until cancelled."""
        while True:
            seen.take(await self.read("/control/givers", dict[str, int]))
            await anyio.sleep(POLL_S)

    def assert_handed_over_once(self, seen: OrdersSeen) -> None:
        """Fail unless the second decider began after the last order of the first."""
        self.assertLessEqual(len(seen.givers), 2, "the first decider ordered beside the second")
        self.assertGreaterEqual(len(seen.givers), 1)


class CutOffStory(DeciderTestCase):
    """A story for groups of both kinds."""

    async def test_agent_that_is_cut_off_from_its_successors_configuration_stops(self) -> None:
        """Guards against two deciders, one of which hears nothing but its ranks."""
        step = await self.half_done()
        seen = OrdersSeen()
        async with self.replacement() as new, anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch, seen)
            self._cut_off()
            await self.publish_replaced(new.name, self.entries)
            await self.faults({3: RankFault()})
            await until(lambda: self._all_beyond(step + 1), "the group steps past the switch")
            await anyio.sleep(WATCHED_S)
            tasks.cancel_scope.cancel()
        self.assert_handed_over_once(seen)
        await self.assert_one_map_and_steps()

    def _cut_off(self) -> None:
        """Let the agent beside rank 0 reach and hear nobody but the ranks."""
        for name, link in self.fleet.proxy.links.items():
            if name == f"{self.leader}.peer":
                for node in self.fleet.plan.nodes:
                    link.state.set_fault(SILENCE, node.inner)
            elif name == "platform" or name.endswith(".peer"):
                link.state.set_fault(SILENCE, self.node.inner)


class CutOffTest(CutOffStory):
    """Ranks check fencing numbers."""

    shape = lock_step(checks_fencing=True)
    mended = False


class ReplacedTest(CutOffStory):
    """Ranks ignore fencing numbers: nothing but the deciders themselves keeps them apart."""

    shape = lock_step(checks_fencing=False)

    async def test_agent_stopped_for_less_than_a_second_orders_nothing_beside_its_successor(
        self,
    ) -> None:
        """Guards against a stop that is too short to be noticed, during which another took over."""
        step = await self.half_done()
        seen = OrdersSeen()
        old = self.fleet.daemons[self.leader]
        async with self.replacement() as new, anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch, seen)
            await anyio.sleep(0.1)
            old.pause()
            stopped_at = anyio.current_time()
            await self.publish_replaced(new.name, self.entries)
            await self.faults({3: RankFault()})
            await anyio.sleep(stopped_at + SHORT_STOP_S - anyio.current_time())
            old.resume()
            await until(lambda: self._all_beyond(step + 1), "the group steps past the switch")
            await anyio.sleep(WATCHED_S)
            tasks.cancel_scope.cancel()
        self.assert_handed_over_once(seen)
        await self.assert_one_map_and_steps()

    async def test_peer_that_is_cut_off_itself_lets_no_replaced_agent_order(self) -> None:
        """Guards against the word of one peer that knows no newer configuration either."""
        plan, links = self.fleet.plan, self.fleet.proxy.links
        stale, informed = plan.entries
        step = await self.half_done()
        seen = OrdersSeen()
        old = self.fleet.daemons[self.leader]
        async with self.replacement() as new, anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch, seen)
            old.pause()
            for node in plan.nodes:
                if node not in (self.node, stale):
                    self._cut(self.node, node)
                    self._cut(stale, node)
            for node in (self.node, stale):
                links["platform"].state.set_fault(SILENCE, node.inner)
            links[f"{stale.name}.peer"].state.set_fault(SILENCE, f"127.{plan.subnet}.230.1")
            await self.publish_replaced(new.name, [informed.name])
            await self.faults({3: RankFault()})
            await until(lambda: self._all_beyond(step + 1), "the group steps past the switch")
            old.resume()
            await anyio.sleep(WATCHED_S)
            tasks.cancel_scope.cancel()
        self.assert_handed_over_once(seen)
        await self.assert_one_map_and_steps()

    def _cut(self, one: NodePlan, other: NodePlan) -> None:
        links = self.fleet.proxy.links
        links[f"{other.name}.peer"].state.set_fault(SILENCE, one.inner)
        links[f"{one.name}.peer"].state.set_fault(SILENCE, other.inner)


# The loader would play the story without a shape of its own.
del CutOffStory, DeciderTestCase
