"""Staging of weights: within the store's rate, shared by groups, without delaying steps."""

import random
import unittest
from dataclasses import replace

import anyio

from benchmarks.virtual_time import LoopClock, run
from carawayhub.clock import ManualClock
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, check_map, even_map, fetches, moved_bytes
from carawayhub.groups.orders import Prepare
from carawayhub.groups.staging import StoreBudget, fair_rate, needed_loads
from carawayhub.standins.ranks import WeightStore
from tests.group_bench import FAST, GroupBench


class MapTest(unittest.TestCase):
    """Identity, differences and validation of maps."""

    def test_digest_names_number_and_content(self):
        first = even_map(ranks=2, experts=4, layers=2, spare_slots=1)
        same = ExpertMap(number=1, ranks=2, layers=first.layers)
        later = first.with_layers(first.layers)
        other = ExpertMap(number=1, ranks=2, layers=first.layers[::-1] + first.layers[:1])
        self.assertEqual(first.id, same.id)
        self.assertEqual(len({first.digest, later.digest, other.digest}), 3)

    def test_fetches_only_what_a_rank_lacks(self):
        first = ExpertMap(number=1, ranks=2, layers=((0, 1, 1, 0, 2, 3),))
        second = first.with_layers(((1, 0, 2, 0, 2, 3),))
        self.assertEqual([(one.rank, one.expert) for one in fetches(first, second)], [(0, 2)])
        self.assertEqual(moved_bytes(first, second, expert_bytes=7), 7)

    def test_map_without_an_expert_is_refused(self):
        bad = ExpertMap(number=1, ranks=2, layers=((0, 1, 1, 0),))
        with self.assertRaisesRegex(GroupError, r"layer 0: experts \[2\]"):
            check_map(bad, ranks=2, experts=3, layers=1, slots=2)

    def test_even_map_fits_every_shape(self):
        for ranks, experts, spare in ((1, 1, 0), (3, 8, 0), (4, 6, 1), (64, 64, 2), (8, 3, 0)):
            made = even_map(ranks=ranks, experts=experts, layers=2, spare_slots=spare)
            check_map(made, ranks=ranks, experts=experts, layers=2, slots=made.slots)


class BudgetTest(unittest.TestCase):
    """The token bucket of a group and the sharing of a store."""

    def test_groups_together_keep_within_the_store(self):
        clock = ManualClock()
        store = WeightStore(900.0, clock)
        rng = random.Random(3)
        budgets = [StoreBudget(fair_rate(900.0, 3), clock, rng) for _ in range(3)]
        ready = [budget.reserve(100) for budget in budgets]
        while clock.monotonic() < 60.0:
            clock.advance(0.01)
            for index, budget in enumerate(budgets):
                if clock.monotonic() >= ready[index]:
                    self.assertEqual(store.take(100), 0.0)
                    ready[index] = budget.reserve(100)
        self.assertEqual(store.refusals, 0)
        self.assertGreater(store.delivered, 0.9 * 900.0 * 60)

    def test_refusals_make_the_pauses_longer(self):
        clock = ManualClock()
        budget = StoreBudget(1_000.0, clock, random.Random(3))
        pauses = []
        for _ in range(8):
            until = budget.back_off(0.0)
            pauses.append(until - clock.monotonic())
            clock.advance(pauses[-1])
        self.assertGreaterEqual(pauses[0], 0.5)
        self.assertGreater(pauses[4], 4 * pauses[0])
        self.assertLessEqual(max(pauses), 45.0)
        budget.reset_backoff()
        self.assertLess(budget.back_off(0.0) - clock.monotonic(), 1.0)

    def test_new_rank_needs_all_that_it_will_hold(self):
        first = ExpertMap(number=1, ranks=2, layers=((0, 0, 1, 2),))
        self.assertEqual([one.expert for one in needed_loads(0, None, first)], [0])
        self.assertEqual([one.expert for one in needed_loads(1, None, first)], [1, 2])


class StagingTest(unittest.IsolatedAsyncioTestCase):
    """Staging while the group steps."""

    async def test_store_that_refuses(self):
        """The weight store refuses for a while; the group keeps stepping under the old map.

        A decider that arms before all weights are staged leaves ranks waiting; one that gives up
        the change early leaves the new map unapplied.
        """
        bench = GroupBench()
        decider = bench.decider()
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            bench.store.refuse_all = True
            decider.map_policy.rows = bench.SECOND
            await bench.until(lambda: bench.store.refusals > 0)
            await bench.until_steps()
            self.assertTrue(all(rank.state.armed is None for rank in bench.ranks))
            self.assertIn("staging", decider.status.changing)
            bench.store.refuse_all = False
            await bench.until_on(bench.SECOND)
            self.assertLess(bench.store.refusals, 5)
        self.assertEqual(bench.group.two_maps(), ())

    async def test_rank_lost_while_staging_takes_the_group_out(self):
        """A rank dies while weights are staged, which takes minutes; callers wait in vain.

        The group cannot step from then on. If the decider did not watch the ranks while staging,
        it would report the group as formed until the staging deadline, and requests would still be
        routed to it.
        """
        bench = GroupBench()
        decider = bench.decider()
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            bench.store.refuse_all = True
            decider.map_policy.rows = bench.SECOND
            await bench.until(lambda: bench.store.refusals > 0)
            decider.ports[1].cut = True
            bench.ranks[1].stalled = True
            await bench.until(lambda: not decider.status.formed)
            decider.ports[1].cut = bench.ranks[1].stalled = bench.store.refuse_all = False
            bench.ranks[1].restart()
            await bench.until_on(bench.SECOND)
            self.assertTrue(decider.status.formed)
        self.assertEqual(bench.group.two_maps(), ())

    def test_ranks_cut_off_are_told_of_in_time_though_a_change_begins(self):
        """Guards against reporting unreachable ranks only after 20 seconds.

        The group keeps stepping, so the loss is detected only when all ranks are read. A map change
        that begins just before that read is due must not postpone it by another interval.
        """
        interval = 10.0
        options = replace(FAST, full_read_interval=interval, watch_interval=0.25)

        async def scenario():
            clock = LoopClock()
            bench = GroupBench(clock=clock)
            decider = bench.decider(options=options)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.group.run, 0.05)
                tasks.start_soon(decider.run)
                await bench.until(lambda: decider.status.formed)
                cut_at = clock.monotonic()
                decider.ports[1].cut = True
                await anyio.sleep(0.9 * interval)
                bench.store.refuse_all = True
                decider.map_policy.rows = bench.SECOND
                await bench.until(lambda: not decider.status.formed)
                self.assertLess(clock.monotonic() - cut_at, interval + 2.0)
                tasks.cancel_scope.cancel()

        run(scenario)

    async def test_rank_that_never_prepares(self):
        """One rank never receives the order to stage: the change is given up, the old map stays."""
        bench = GroupBench()
        decider = bench.decider(options=replace(FAST, stage_timeout=0.1))
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            decider.ports[1].hold.add(Prepare)
            decider.map_policy.rows = bench.SECOND
            await bench.until(lambda: any("not staged in time" in e for e in bench.events()))
            await bench.until_steps()
            await bench.until_on(bench.FIRST)


class ClosedLoopTest(unittest.IsolatedAsyncioTestCase):
    """Cancellation of staging."""

    async def test_staging_is_cancelled_at_once(self):
        """The agent stops while the store delays a change: the stop does not wait for the store."""
        bench = GroupBench()
        decider = bench.decider()
        async with bench.stepping():
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                bench.store.refuse_all = True
                decider.map_policy.rows = bench.SECOND
                await bench.until(lambda: bench.store.refusals > 0)
            with anyio.fail_after(5):
                await bench.until_steps()


if __name__ == "__main__":
    unittest.main()
