"""Changing the map of a running group through faults of links, ranks and deciders."""

import unittest
from dataclasses import replace

import anyio

from carawayhub.codes import Code
from carawayhub.groups.orders import Abort, Arm, Change, Commit, Form, Prepare, Withdraw
from tests.group_bench import FAST, GroupBench


class MapChangeTest(unittest.IsolatedAsyncioTestCase):
    """With and without fencing checks; every test ends with no step made under two maps."""

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
        """Without faults the verdict is everywhere before the step: no rank waits for it."""

        async def scenario(bench):
            decider = bench.decider(options=replace(FAST, lead_steps=400))
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
            self.assertEqual(bench.group.waits, 0)

        await self.run_with_and_without_fencing(scenario)

    async def test_lost_orders_and_replies(self):
        """Orders and replies of the change are lost, one of each kind at each rank.

        The decider cannot tell a lost order from a lost reply and gives it again. A caller would
        see steps stop if a rank waited for a verdict that nobody repeats.
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
        """After two changes the network delivers every order ever given once more, newest first.

        Without the bar and the base in each order, an old Arm or Form would put ranks back or
        hold them at a step for ever, and callers would wait.
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
        """A rank stops stepping just before a change and goes on after it was committed.

        The others wait for it in the collective, as they would without a change, and the whole
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

        The group goes quiet until the next decider reads the ranks, has the others bar the step
        and frees the one that waits. The old map goes on.
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
        """The decider dies when all ranks have agreed and one knows the verdict.

        Two ranks wait at the step. The next decider finds that all agreed and completes the
        change; to abort it would set the rank that knows the verdict apart.
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
        """A decider is paused with orders on their way; a new one changes to another map.

        Then the old one wakes: it goes on with its change, and its held orders arrive. Where
        engines ignore fencing numbers, nothing but the ranks' votes keeps the maps one.
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
        """Orders of two deciders are counted where one gives them all.

        The decider in charge reads all ranks anew each ten seconds, and its first reading named
        nobody. Who counts the orders of each decider found a second one, number 0, beside it: on a
        slow machine, where the ten seconds ran out, 14 orders of number 0 became 18 while the
        decider that had been replaced stood still at 28.
        """

        async def scenario(bench):
            decider = bench.decider()
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                await bench.until(lambda: decider.status.formed)
                read = len(decider.ports[0].given)
                await bench.until(lambda: len(decider.ports[0].given) > read + 100)
            givers = {order.term.decider for port in decider.ports for order in port.given}
            self.assertEqual(givers, {decider._term.decider})

        await self.run_with_and_without_fencing(scenario)

    async def test_change_of_a_stopped_decider_is_settled_before_its_step(self):
        """Callers of a group wait for two seconds at a step that nobody in charge asked for.

        A stopped decider had staged a map and written its orders to agree too late: they come to
        the ranks while its successor watches, and ranks that ignore fencing numbers obey. The
        successor looked at rank 0 and passed over what it was armed for; it found the change once
        the ranks stood still at its step, 2.2 s later (``longest stall 2.241``, three ranks, steps
        of 6 ms, looks each second). Here the step is so far ahead that the group never stands
        still, so nothing but that look can tell.
        """
        bench = GroupBench(checks_fencing=False)
        seldom = replace(FAST, full_read_interval=1000.0, decision_interval=1000.0)
        async with bench.stepping():
            old = bench.decider()
            async with bench.running(old):
                await bench.until_on(bench.FIRST)
                await bench.until(lambda: old.status.formed)
                base = bench.ranks[0].content(bench.ranks[0].state.map)
                target = base.with_layers(bench.SECOND)
                await old._stage(base, target)
            async with bench.running(bench.decider(options=seldom)) as new:
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

        Each map that comes into force does so at all ranks; the group never stops for good.
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
        """The decider loses one rank between its agreement and the verdict.

        Requests must not be routed to a group that waits at the step: it is reported as not
        formed. When the link is back, the change is completed and the group takes requests.
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
        """The decider loses one rank before any has agreed: the group steps on as if unasked."""

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
        """One rank never hears of the change; it is withdrawn, and later orders find it barred."""

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
    """Ranks that answer what cannot be."""

    async def test_rank_that_says_it_is_another(self):
        """Two ranks' addresses are swapped in the configuration: nothing is ordered."""
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
