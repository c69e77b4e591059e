"""Map changes in a running group during faults of links, ranks and deciders."""

import unittest
from dataclasses import replace

import anyio

from carawayhub.codes import Code
from carawayhub.groups.orders import Abort, Arm, Change, Commit, Form, Prepare, Withdraw
from tests.group_bench import FAST, GroupBench


class MapChangeTest(unittest.IsolatedAsyncioTestCase):
    """Map changes with and without fencing checks; no step may run under two maps."""

    async def run_with_and_without_fencing(self, scenario):
        for checks in (True, False):
            with self.subTest(checks_fencing=checks):
                bench = GroupBench(checks_fencing=checks)
                async with bench.stepping():
                    await scenario(bench)
                self.assertEqual(bench.group.two_maps(), ())
                formations = {one.formation for one in bench.group.steps}
                self.assertEqual(len(formations), 1)

    async def test_new_group_forms_and_changes(self):
        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
                await bench.until(lambda: decider.status.map_number == 2)
            self.assertTrue(decider.status.formed)
            self.assertEqual(decider.status.digest, bench.ranks[0].state.map.digest)
            self.assertEqual(decider.map_policy.applied_maps, [bench.ranks[0].state.map])
            changed = bench.events()[-1]
            self.assertIn("expected gain 9.000 s, cost 1.000 s; moved 1000 bytes", changed)

        await self.run_with_and_without_fencing(scenario)

    async def test_switch_costs_no_step(self):
        """Without faults every rank has the verdict before the step, so none waits for it."""

        async def scenario(bench):
            decider = bench.decider(options=replace(FAST, lead_steps=400))
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
            self.assertEqual(bench.group.waits, 0)

        await self.run_with_and_without_fencing(scenario)

    async def test_lost_orders_and_replies(self):
        """One rank loses each kind of order and another one each kind of reply during a change.

        The decider cannot distinguish a lost order from a lost reply and sends it again. Without
        the retry a rank waits for its verdict forever and the group stops stepping.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.ports[1].lose |= {Prepare, Arm, Commit}
                decider.ports[2].lose_reply |= {Prepare, Arm, Commit}
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
                await bench.until_steps()
            self.assertEqual(decider.ports[1].lose | decider.ports[2].lose_reply, set())

        await self.run_with_and_without_fencing(scenario)

    async def test_late_repeats_change_nothing(self):
        """After two changes the network delivers every sent order again, newest first.

        Without the barred step and the replaced map or formation in each order, an old Arm or Form
        would revert ranks or block them at a step forever, and callers would wait.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
                decider.map_policy.rows = bench.THIRD
                await bench.until_on(bench.THIRD)
            before = [(rank.state.map, rank.state.formation) for rank in bench.ranks]
            for port in decider.ports:
                self.assertTrue({Form, Arm, Commit} <= {type(one) for one in port.given})
                await port.repeat()
            await bench.until_steps()
            after = [(rank.state.map, rank.state.formation) for rank in bench.ranks]
            self.assertEqual(after, before)
            self.assertTrue(all(rank.state.armed is None for rank in bench.ranks))

        await self.run_with_and_without_fencing(scenario)

    async def test_stalled_rank(self):
        """A rank stops stepping just before a change and continues after the commit.

        The others wait for it in the collective, as they do without a change, and the complete
        group switches at the agreed step.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                bench.ranks[2].stalled = True
                decider.map_policy.rows = bench.SECOND
                await bench.until(lambda: all(rank.state.committed for rank in bench.ranks))
                bench.ranks[2].stalled = False
                await bench.until_on(bench.SECOND)
                await bench.until_steps()

        await self.run_with_and_without_fencing(scenario)

    async def test_decider_dies_before_all_agreed(self):
        """The decider dies when one rank has agreed; that rank will wait at the step.

        The group is stalled until the next decider reads the ranks, has the others bar the step
        and aborts the change at the waiting rank. The old map stays in force.
        """

        async def scenario(bench):
            first = bench.decider()
            async with bench.running(first):
                await bench.until_on(bench.FIRST)
                first.ports[1].hold |= {Arm, Withdraw}
                first.ports[2].hold |= {Arm, Withdraw}
                first.map_policy.rows = bench.SECOND
                await bench.until(lambda: bench.ranks[0].state.armed is not None)
                await bench.until(lambda: bench.group.waits > 0)
            async with bench.running(bench.decider()):
                await bench.until(lambda: any("aborted" in text for text in bench.events()))
                await bench.until_steps()
            await bench.until_on(bench.FIRST)

        await self.run_with_and_without_fencing(scenario)

    async def test_decider_dies_after_all_agreed(self):
        """The decider dies when all ranks have agreed and one has received the verdict.

        Two ranks wait at the step. The next decider reads that all have agreed and completes the
        change; aborting it would leave the rank that has the verdict on another map.
        """

        async def scenario(bench):
            first = bench.decider()
            async with bench.running(first):
                await bench.until_on(bench.FIRST)
                first.ports[1].hold.add(Commit)
                first.ports[2].hold.add(Commit)
                first.map_policy.rows = bench.SECOND
                await bench.until(lambda: bench.ranks[0].state.committed)
            async with bench.running(bench.decider()):
                await bench.until_on(bench.SECOND)
                await bench.until_steps()

        await self.run_with_and_without_fencing(scenario)

    async def test_paused_decider_wakes_beside_its_successor(self):
        """A decider is paused with orders in flight; a new one changes to another map.

        Then the old one resumes its change and its delayed orders arrive. If engines ignore fencing
        numbers, only the votes of the ranks ensure that all run the same map.
        """

        async def scenario(bench):
            old = bench.decider()
            async with bench.running(old):
                await bench.until_on(bench.FIRST)
                old.ports[1].hold |= {Arm, Withdraw}
                old.map_policy.rows = bench.SECOND
                await bench.until(lambda: bench.ranks[0].state.armed is not None)
                for port in old.ports:
                    port.cut = True
                async with bench.running(bench.decider()) as new:
                    new.map_policy.rows = bench.THIRD
                    await bench.until_on(bench.THIRD)
                    old.map_policy.rows = None
                    for port in old.ports:
                        port.cut = False
                        await port.deliver_held()
                        await port.repeat()
                    await bench.until_steps()
            await bench.until_on(bench.THIRD)

        await self.run_with_and_without_fencing(scenario)

    async def test_every_order_names_its_decider(self):
        """Guards against orders of one decider that seem to come from two.

        The decider reads all ranks again every ten seconds. If the first read of a round carries no
        decider number, counting orders by decider finds a second decider with number 0.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                await bench.until(lambda: decider.status.formed)
                read = len(decider.ports[0].given)
                await bench.until(lambda: len(decider.ports[0].given) > read + 100)
            issuers = {order.term.decider for port in decider.ports for order in port.given}
            self.assertEqual(issuers, {decider._term.decider})

        await self.run_with_and_without_fencing(scenario)

    async def test_change_of_a_stopped_decider_is_settled_before_its_step(self):
        """Guards against a stall of two seconds at the step of a stopped decider's change.

        Arm orders of a stopped decider arrive while its successor watches the group, and ranks that
        ignore fencing numbers obey them. If the successor ignores the armed change when it polls
        rank 0, it finds the change only once the ranks are stalled at its step, 2.2 s later with
        three ranks, steps of 6 ms and a poll each second. Here the step is so far ahead that the
        group never stalls, so only the poll can detect the change.
        """
        bench = GroupBench(checks_fencing=False)
        rare_reads = replace(FAST, full_read_interval=1000.0, decision_interval=1000.0)
        async with bench.stepping():
            old = bench.decider()
            async with bench.running(old):
                await bench.until_on(bench.FIRST)
                await bench.until(lambda: old.status.formed)
                base = bench.ranks[0].content(bench.ranks[0].state.map)
                target = base.with_layers(bench.SECOND)
                await old._stage(base, target)
            async with bench.running(bench.decider(options=rare_reads)) as new:
                await bench.until(lambda: new.status.formed)
                state = bench.ranks[0].state
                change = Change(
                    formation=state.formation.id,
                    base=base.id,
                    target=target.id,
                    step=state.entered + 1_000_000,
                )
                late = Arm(term=old._term, change=change)
                for rank in bench.ranks:
                    self.assertEqual(rank.handle(late).code, Code.OK)
                await bench.until(lambda: all(rank.state.committed for rank in bench.ranks))
        self.assertEqual(bench.group.two_maps(), ())

    async def test_two_deciders_want_different_maps(self):
        """Two deciders that both believe they are in charge change the map at the same time.

        Each map that comes into force does so at all ranks; the group never stops permanently.
        """

        async def scenario(bench):
            first, second = bench.decider(), bench.decider()
            async with bench.running(first):
                await bench.until_on(bench.FIRST)
                async with bench.running(second):
                    first.map_policy.rows, second.map_policy.rows = bench.SECOND, bench.THIRD
                    await bench.until(lambda: bench.ranks[0].state.map.number > 2)
                    first.map_policy.rows = None
                    second.map_policy.rows = None
            async with bench.running(bench.decider()):
                await bench.until_steps()

        await self.run_with_and_without_fencing(scenario)

    async def test_partition_while_agreeing(self):
        """The decider loses the link to one rank between its agreement and the verdict.

        Requests must not be routed to a group that waits at the step, so it is reported as not
        formed. When the link is available again, the change is completed and the group is formed.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.ports[2].hold |= {Commit}
                decider.map_policy.rows = bench.SECOND
                await bench.until(lambda: bench.ranks[2].state.armed is not None)
                decider.ports[2].cut = True
                await bench.until(lambda: not decider.status.formed)
                decider.ports[2].hold.clear()
                decider.ports[2].cut = False
                await bench.until(lambda: decider.status.formed)
                await bench.until_on(bench.SECOND)
                await bench.until_steps()

        await self.run_with_and_without_fencing(scenario)

    async def test_partition_while_staging(self):
        """The decider loses one rank before any has agreed: the group keeps stepping unchanged."""

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.ports[2].cut = True
                decider.map_policy.rows = bench.SECOND
                await bench.until_steps()
                self.assertTrue(all(rank.state.armed is None for rank in bench.ranks))
                decider.ports[2].cut = False
                await bench.until_on(bench.SECOND)

        await self.run_with_and_without_fencing(scenario)

    async def test_change_that_not_all_agree_to_is_aborted(self):
        """One rank never receives Arm; the change is withdrawn and a late Arm finds it barred."""

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.ports[1].hold.add(Arm)
                decider.map_policy.rows = bench.SECOND
                await bench.until(lambda: any("not all ranks agreed" in e for e in bench.events()))
                decider.map_policy.rows = None
                self.assertTrue(any(isinstance(one, Abort) for one in decider.ports[0].given))
                await decider.ports[1].deliver_held()
                await bench.until_steps()
            await bench.until_on(bench.FIRST)

        await self.run_with_and_without_fencing(scenario)


class MalformedRankTest(unittest.IsolatedAsyncioTestCase):
    """Ranks that send invalid replies."""

    async def test_rank_that_says_it_is_another(self):
        """The configuration swaps the addresses of two ranks: no rank joins a formation."""
        bench = GroupBench()
        ports = bench.decider().ports
        swapped = [ports[0], _RenumberedPort(ports[2], 1), _RenumberedPort(ports[1], 2)]
        decider = bench.decider(ports=swapped)
        with anyio.fail_after(10):
            with self.assertRaisesRegex(Exception, "rank 1 says it is 2"):
                await decider.reconcile()
        self.assertTrue(all(rank.state.formation is None for rank in bench.ranks))


class _RenumberedPort:
    def __init__(self, port, rank):
        self.rank = rank
        self.order = port.order


if __name__ == "__main__":
    unittest.main()
