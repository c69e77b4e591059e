"""All ranks of a group use one map in each step, whatever fails between agent, engines and ranks.

Entries, agents, engines and the ranks are processes; the ranks write down each step with its map.
"""

from typing import Any

import anyio

from carawayhub.groups.decisions import Reason
from carawayhub.standins.asks import Generate
from carawayhub.standins.faults import LinkFault, RankFault
from carawayhub.standins.fleet import leaving_step, to_json
from carawayhub.standins.records import Result
from tests.group_fleet import ALL, MODEL, GroupTestCase, lock_step
from tests.stories import condition_at, publish_everywhere, until


class GroupTest(GroupTestCase):
    """The stories where ranks check fencing numbers."""

    shape = lock_step(checks_fencing=True)

    async def test_stalled_rank_holds_the_group_up_and_takes_the_new_map_with_it(self) -> None:
        """A rank stalls, and a change of the map is agreed on meanwhile.

        The group cannot step without the rank, so callers wait. The stalled rank still answers
        orders. When it goes on, it must enter the step of the switch under the new map as the
        others do.
        """
        await self.faults({3: RankFault(stalled=True)})
        number = await self.provoke()

        async def committed() -> bool:
            return all(state.committed for state in await self.states())

        await until(committed, "the change is committed")
        self.assertEqual(await self.map_number(), number)
        await self.faults({3: RankFault()})
        await self.until_map_beyond(number)
        await self.assert_one_map_and_steps()
        await self.until_routed()
        await self.assert_answers()

    async def test_lost_and_repeated_orders_change_the_map_once(self) -> None:
        """Orders and replies are lost on the way, and all orders ever given come again later.

        The map must change all the same, once for all ranks, and no order of the past may move a
        rank back to an old map.
        """
        lost = ("prepare", "fetch", "arm", "commit")
        await self.faults({1: RankFault(lose=lost), 2: RankFault(lose_reply=lost)})
        number = await self.provoke()
        await self.until_map_beyond(number)
        newest = await self.map_number()
        for rank in ALL:
            await self.ranks(f"/control/ranks/{rank}/repeat")
        await self.assert_one_map_and_steps()
        self.assertGreaterEqual(await self.map_number(), newest)
        await self.until_routed()
        await self.assert_answers()

    async def test_agent_killed_between_agreement_and_verdict(self) -> None:
        """Three ranks have agreed to a change, the fourth was not reached, and the decider dies.

        The three wait at the step of the switch. The new agent must find the change, settle it
        for all, and have the group step. The order that was held back comes last and must do
        nothing.
        """
        await self.faults({3: RankFault(hold=("arm", "withdraw"))})
        await self.provoke()
        step = await self.until_armed(3)
        self.fleet.daemons[self.leader].kill()
        self.fleet.daemons[self.leader].start()
        await self.faults({3: RankFault()})
        await until(lambda: self._all_beyond(step + 1), "the group steps past the switch")
        await self.until_routed()
        await self.assert_one_map_and_steps()
        await self.ranks("/control/ranks/3/deliver")
        await self.assert_one_map_and_steps()
        await self.assert_answers()

    async def test_paused_agent_of_a_replaced_vm_gives_no_order_when_it_wakes(self) -> None:
        """A VM is frozen in the middle of a change, is replaced, and comes back.

        Its agent still believes that the group is its own, with a change half done. Meanwhile the
        agent of the new VM has settled the change and made others. The old one must give no more
        orders: it cannot confirm that its configuration is still the newest.

        Orders that had passed the check for a pause were written only as the agent woke, since a
        connection and the event loop stood between the check and the write. ``rank 1 Read
        Term(number=2, ...)`` came 6 ms after the wake, and ``PAUSE seen 2.21`` 3 ms after that. So
        each write asks once more; what it holds back is logged as ``order withheld``. On a slow
        machine the new agent's own readings made a second giver, since the first of each named
        nobody: ``'0': 14`` became 18 where the old agent stood still. Now each names its decider.
        A stop within the look itself let one order out, ``32`` became 33, beside three that were
        held back; the clock is read once more right before the write.
        """
        await self.faults({3: RankFault(hold=("arm", "withdraw"))})
        await self.provoke()
        step = await self.until_armed(3)
        old = self.fleet.daemons[self.leader]
        old.pause()
        new = self._replacement()
        new.start()
        try:
            await self._publish_agent(new.name)
            await self.faults({3: RankFault()})
            await until(lambda: self._all_beyond(step + 1), "the group steps past the switch")
            await self.until_routed()
            await self.assert_one_map_and_steps()
            given = await self.read("/control/givers", dict[str, int])
            old.resume()
            await self._until_orders_of_another(given)
            after = await self.read("/control/givers", dict[str, int])
            self.assertEqual(self._grown(given, after), 1)
            await self.assert_one_map_and_steps()
            await self.assert_answers()
        finally:
            new.kill()
            old.kill()

    async def test_links_cut_inside_the_group(self) -> None:
        """The two failure domains of the group lose each other while nothing is armed.

        The agent beside rank 0 cannot reach half of the ranks. They have nothing to wait for, so
        the group steps on under its map. Each side keeps its callers told; when the cut heals the
        group is routed to again, in the same formation.
        """
        formation = (await self.states())[0].formation
        self.fleet.plan.partition(self.fleet.proxy, ["attica"], ["patra"])

        async def noticed() -> bool:
            return bool((await self.fleet.status(self.leader))["groups"][0]["out_of_routing"])

        await until(noticed, "the agent misses ranks")
        await self.assert_one_map_and_steps()
        self.fleet.plan.heal(self.fleet.proxy)
        await self.until_routed()
        await self.assert_one_map_and_steps()
        self.assertEqual((await self.states())[0].formation, formation)
        await self.assert_answers()

    async def test_lost_engine_takes_the_group_out_of_routing_until_it_is_back(self) -> None:
        """The engine of half of the ranks dies with a stream in flight, and starts again.

        The stream must not look whole. The other engine still answers its agent, which reports
        that it serves; requests must be refused as not run all the same, since the group cannot
        step. Then all ranks join anew, under the map the others had.
        """
        number = await self.map_number()
        engine = self.fleet.endpoints[self.leader]
        records = []
        async with self.caller("cut").open() as caller, anyio.create_task_group() as tasks:

            async def call() -> None:
                ask = Generate(model=MODEL, prompt="long", max_tokens=2000)
                records.append(await caller.call(ask))

            tasks.start_soon(call)
            await until(lambda: any(run.started for run in self.runs()), "the stream runs")
            engine.kill()
            await self.until_routed(False)
            await self.assert_refused_as_not_run()
            engine.start()
        self.assert_whole(records, completed=False)
        self.assertIn(records[0].result, (Result.CUT, Result.UNKNOWN), records[0].attempts)
        await self.until_routed()
        self.assertGreaterEqual(await self.map_number(), number)
        await self.assert_one_map_and_steps()
        await self.assert_answers()

    async def test_entries_without_a_link_to_the_leader_send_nothing_either(self) -> None:
        """The group cannot step, and an entry hears only the agent that sees no fault.

        In a large fleet an entry keeps links with few agents. Here the entries have lost the one
        beside rank 0 when its engine dies. The other agent's engine answers; the agent must have
        learnt from the other that the group cannot step, and the entries from it.
        """
        silence = LinkFault(silent_to_target=True, silent_to_client=True)
        for node in self.fleet.plan.entries:
            link = self.fleet.proxy.links[f"{self.leader}.peer"]
            link.state.set_fault(silence, node.inner)
        for entry in self.entries:
            await until(lambda at=entry: self._is(at, self.leader, "expired"), "the link is lost")
        self.fleet.endpoints[self.leader].kill()
        for entry in self.entries:
            await until(lambda at=entry: self._is(at, self.follower, "failed"), "it is passed on")
        await self.assert_refused_as_not_run()
        self.fleet.endpoints[self.leader].start()
        self.fleet.plan.heal(self.fleet.proxy)
        await self.until_routed()
        await self.assert_one_map_and_steps()
        await self.assert_answers()

    async def _is(self, entry: str, endpoint: str, condition: str) -> bool:
        return await condition_at(self.fleet, entry, endpoint) == condition

    async def test_group_that_drains_keeps_its_map(self) -> None:
        """One endpoint of a group leaves, and experts are still moved onto its ranks.

        The decider was started by an earlier version, in which the endpoint served.
        """
        await publish_everywhere(self.fleet, *leaving_step([self.follower]))

        async def told() -> bool:
            rows = (await self.fleet.status(self.leader))["groups"]
            return bool(rows) and rows[0]["reason"] == Reason.DRAINING.value

        await until(told, "the decider sees the group drain")

    async def test_changed_weight_leaves_the_group_in_routing(self) -> None:
        """Operators publish another weight for a group, and its callers are refused for a moment.

        The agent beside rank 0 begins with a new decider, which has not read the ranks yet. That
        it knows nothing of them must not pass for a group that cannot step.
        """
        number = await self.map_number()
        before = await self.standing_changes()
        weight = to_json({"groups": {self.shape_of_group.name: {"rebalancing_weight": 1}}})
        version = await publish_everywhere(self.fleet, "70-weight.json", weight)

        async def read_again() -> bool:
            status = await self.fleet.status(self.leader)
            rows = status["groups"]
            return status["version"] >= version and bool(rows) and rows[0]["map_number"] >= number

        await until(read_again, "the new decider knows the group")
        await self.assert_one_map_and_steps()
        self.assertEqual(await self.standing_changes(), before)

    async def standing_changes(self) -> int:
        """Return how often the agent beside rank 0 let entries in or shut them out."""
        changes = await self.fleet.page(self.leader, "/audit?since=0", list[dict[str, Any]])
        return sum(change["subject"] == "endpoint" for change in changes)


class UncheckedFencingTest(GroupTest):
    """The same stories where ranks ignore fencing numbers."""

    shape = lock_step(checks_fencing=False)
