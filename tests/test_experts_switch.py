"""Changes of a group's map: no pass runs under two maps, even if orders or their issuers fail."""

import random
import unittest
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from benchmarks.virtual_time import LoopClock, VirtualTimeLoop
from carawayhub.experts.model import Arm, Go, Hold, Placement
from carawayhub.experts.switch import ChangeOutcome, Switch
from tests.expert_group import FakeGroup

RANKS = 3


def setUpModule() -> None:
    logger.disable("carawayhub.experts")


def tearDownModule() -> None:
    logger.enable("carawayhub.experts")


def placement(number: int) -> Placement:
    """Return a map that depends on a number."""
    extra = number % RANKS
    return (tuple(tuple({rank, extra}) for rank in range(RANKS)),)


async def all_reached() -> bool:
    """Announce to the other agents; all of them receive it."""
    return True


def switch(group: FakeGroup) -> Switch:
    """Return the switch of one agent."""
    return Switch(group.ranks(), LoopClock(), all_reached)


def run_scenario(
    group: FakeGroup, scenario: Callable[[anyio.abc.TaskGroup], Awaitable[None]]
) -> None:
    """Run a scenario concurrently with a group in virtual time."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            group.tasks = tasks
            tasks.start_soon(group.run)
            await scenario(tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})


class Change(unittest.TestCase):
    """Changes by one issuer whose orders are lost or late."""

    def change(self, group: FakeGroup, number: int = 1) -> list[ChangeOutcome]:
        ended: list[ChangeOutcome] = []

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            ended.append(await switch(group).change(placement(number)))
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        return ended

    def test_all_ranks_switch_without_standing_still(self) -> None:
        group = FakeGroup(RANKS, random.Random(1))
        self.assertEqual(self.change(group), [ChangeOutcome.SWITCHED])
        self.assertEqual(len({each.version for each in group.states}), 1)
        self.assertGreater(group.states[0].version, 0)
        self.assertEqual(group.mixed, [])
        self.assertEqual(group.stood, 0.0)

    def test_lost_answers_do_not_stop_it(self) -> None:
        for seed in range(20):
            group = FakeGroup(RANKS, random.Random(seed), lost=0.15, answer_lost=0.15)
            with self.subTest(seed=seed):
                self.change(group)
                self.assertEqual(group.mixed, [])
                self.assertEqual({each.held > group.step for each in group.states}, {False})

    def test_idle_group_switches_with_its_next_pass(self) -> None:
        """A group without requests begins no pass, so it switches only with the next request."""
        group = FakeGroup(RANKS, random.Random(2))
        group.idle = True
        ended: list[ChangeOutcome] = []

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            ended.append(await switch(group).change(placement(1)))
            self.assertEqual({each.version for each in group.states}, {0})
            group.idle = False
            await anyio.sleep(2.0)

        run_scenario(group, scenario)
        self.assertEqual(ended, [ChangeOutcome.SWITCHED])
        self.assertEqual(len({each.version for each in group.states} - {0}), 1)
        self.assertEqual(group.mixed, [])

    def test_new_formation_ends_a_change(self) -> None:
        """A rank crashes while experts are copied; the group restarts with its initial map."""
        group = FakeGroup(RANKS, random.Random(3))
        ended: list[ChangeOutcome] = []

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            async def crash() -> None:
                await anyio.sleep(0.15)
                group.reform()

            tasks.start_soon(crash)
            ended.append(await switch(group).change(placement(1)))
            await anyio.sleep(15.0)

        run_scenario(group, scenario)
        self.assertIn(ended[0], (ChangeOutcome.OVERTAKEN, ChangeOutcome.GIVEN_UP))
        self.assertEqual(group.mixed, [])
        self.assertEqual({each.held > group.step for each in group.states}, {False})


class GiverGone(unittest.TestCase):
    """The order issuer dies at any time; another agent finishes its change."""

    def test_held_pass_is_let_go_by_another_agent(self) -> None:
        """The issuer dies after it held a pass.

        All ranks and their callers would wait for that pass forever, unless another agent arms the
        common map and releases the pass.
        """
        group = FakeGroup(RANKS, random.Random(4))

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            with anyio.CancelScope() as issuer:

                async def kill() -> None:
                    while not any(isinstance(order, Hold) for _, order in group.accepted):
                        await anyio.sleep(0.001)
                    issuer.cancel()

                tasks.start_soon(kill)
                await switch(group).change(placement(1))
            await anyio.sleep(1.0)
            self.assertGreater(group.stood, 0.0)
            await switch(group).finish()
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        self.assertEqual(len({each.version for each in group.states} - {0}), 1)
        self.assertEqual(group.mixed, [])

    def test_no_pass_sees_two_maps_whenever_givers_die(self) -> None:
        """No pass runs under two maps, and none stays held.

        Issuers die at random times, orders are lost or take effect up to 12 s late, two agents
        finish the same change concurrently, and the group is formed anew.
        """
        for seed in range(200):
            with self.subTest(seed=seed):
                group = self.run_disturbed(seed)
                self.assertEqual(group.mixed, [])
                self.assertEqual({each.held > group.step for each in group.states}, {False})

    def run_disturbed(self, seed: int) -> FakeGroup:
        rng = random.Random(seed)
        group = FakeGroup(RANKS, rng, late=0.3, lost=0.05, answer_lost=0.1)

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            for number in range(1, 9):
                with anyio.move_on_after(rng.uniform(0.05, 2.0)):
                    await switch(group).change(placement(number))
                if rng.random() < 0.1:
                    group.reform()
                if rng.random() < 0.1:
                    group.restart_rank(rng.randrange(RANKS))
                if rng.random() < 0.5:
                    tasks.start_soon(switch(group).finish)
                group.idle = rng.random() < 0.2
                group.silent = {rng.randrange(RANKS)} if rng.random() < 0.3 else set()
                await anyio.sleep(rng.uniform(0.0, 1.0))
            group.idle = False
            group.silent = set()
            group.late = group.lost = group.answer_lost = 0.0
            for _ in range(16):
                await anyio.sleep(1.0)
                await switch(group).finish()

        run_scenario(group, scenario)
        return group

    def test_group_goes_on_when_a_rank_falls_silent_before_it_is_armed(self) -> None:
        """A VM is suspended right after a pass was held.

        Its rank can be neither armed nor polled for seconds. If the issuer waited for it, all ranks
        of the group and all streams would stall.
        """
        group = FakeGroup(RANKS, random.Random(6))
        ended: list[ChangeOutcome] = []

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            async def suspend() -> None:
                while not any(isinstance(order, Hold) for _, order in group.accepted):
                    await anyio.sleep(0.001)
                group.silent = {1}

            tasks.start_soon(suspend)
            ended.append(await switch(group).change(placement(1)))
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        self.assertEqual(ended, [ChangeOutcome.GIVEN_UP])
        self.assertEqual({each.version for each in group.states}, {0})
        self.assertLess(group.stood, 0.5)
        self.assertEqual(group.mixed, [])

    def test_suspended_relay_of_the_hold_stops_the_group_only_for_a_moment(self) -> None:
        """Guards against a stall of all streams of a group for four seconds.

        Lost and late answers delay the hold order by a third of a second, then the VM that relayed
        it is suspended. If the issuer waits until that rank counts as unreachable, the time within
        which it may release the pass unchanged is over.
        """
        for seed in range(30):
            rng = random.Random(seed)
            group = FakeGroup(RANKS, rng, late=0.2, answer_lost=0.3, silence=0.75)

            async def scenario(tasks: anyio.abc.TaskGroup, group: FakeGroup = group) -> None:
                async def suspend() -> None:
                    while not any(isinstance(order, Hold) for _, order in group.accepted):
                        await anyio.sleep(0.001)
                    group.silent = {1}
                    await anyio.sleep(4.0)
                    group.silent = set()

                tasks.start_soon(suspend)
                changes = switch(group)
                await changes.change(placement(1))
                await anyio.sleep(5.0)
                await changes.finish()
                await anyio.sleep(1.0)

            with self.subTest(seed=seed):
                run_scenario(group, scenario)
                self.assertLess(group.stood, 1.0)
                self.assertEqual(group.mixed, [])

    def test_replica_that_starts_again_under_its_id_ends_a_change(self) -> None:
        """A restarted rank holds nothing, though its id and possibly its formation are the same."""
        group = FakeGroup(RANKS, random.Random(8))
        ended: list[ChangeOutcome] = []

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            async def restart() -> None:
                await anyio.sleep(0.12)
                group.restart_rank(1)
                group.epoch -= 1

            tasks.start_soon(restart)
            ended.append(await switch(group).change(placement(1)))
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        self.assertIn(ended[0], (ChangeOutcome.OVERTAKEN, ChangeOutcome.GIVEN_UP))
        self.assertEqual(group.mixed, [])

    def test_search_finds_what_the_guards_prevent(self) -> None:
        """If ranks are not confirmed as armed before the release, some pass has two maps."""

        async def unchecked_arm(self: Switch, rank: int, point, deadline_at: float) -> None:
            await self._ranks[rank].order(
                Arm(point.version, point.step), point.epoch, point.version
            )

        original, Switch._arm_rank = Switch._arm_rank, unchecked_arm
        try:
            self.assertTrue(any(self.run_disturbed(seed).mixed for seed in range(20)))
        finally:
            Switch._arm_rank = original

    def run_dying_issuer(self, seed: int) -> FakeGroup:
        """Run a change whose issuer dies while rank 0 copies, then a change to another map."""
        group = FakeGroup(RANKS, random.Random(seed))

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            with anyio.CancelScope() as issuer:

                async def kill() -> None:
                    while not any(rank == 0 for rank, _ in group.accepted):
                        await anyio.sleep(0.0001)
                    issuer.cancel()

                tasks.start_soon(kill)
                await switch(group).change(placement(1))
            # Just before the copy is complete: the reports show it soon after, but not yet.
            copied_at = group.states[0].copied_at
            await anyio.sleep(copied_at - anyio.current_time() - group.rng.uniform(0.0, 0.02))
            await switch(group).change(placement(2))
            await anyio.sleep(2.0)

        run_scenario(group, scenario)
        return group

    def test_no_version_has_two_maps(self) -> None:
        """Guards against ranks that run two maps under one version, which no report shows.

        The version of a map that rank 0 is copying when the issuer dies is in no report yet. If the
        next issuer derived its version from the reports, it would use the same one for another map,
        and rank 0 would keep the old map under that version.
        """
        self.assertEqual([seed for seed in range(40) if self.run_dying_issuer(seed).mixed], [])

    def test_version_counted_on_from_reports_has_two_maps(self) -> None:
        def next_version(self: Switch, reports) -> int:
            return 1 + max(max(x.version, x.prepared, x.armed) for x in reports.values())

        original, Switch._next_version = Switch._next_version, next_version
        try:
            self.assertTrue(any(self.run_dying_issuer(seed).mixed for seed in range(40)))
        finally:
            Switch._next_version = original

    def test_nothing_is_held_while_an_agent_has_not_heard_the_giver(self) -> None:
        """An agent that missed the announcement could take over a change at any time.

        It would arm ranks for a pass that the issuer releases because another rank is silent.
        """
        group = FakeGroup(RANKS, random.Random(7))

        async def not_all_reached() -> bool:
            return False

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            await Switch(group.ranks(), LoopClock(), not_all_reached).change(placement(1))

        run_scenario(group, scenario)
        self.assertFalse(any(isinstance(order, Hold) for _, order in group.accepted))

    def test_pass_goes_only_after_every_rank_is_armed(self) -> None:
        group = FakeGroup(RANKS, random.Random(5))

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            await switch(group).change(placement(1))

        run_scenario(group, scenario)
        kinds = [type(order).__name__ for _, order in group.accepted]
        self.assertEqual(kinds.count("Arm"), RANKS)
        self.assertLess(
            max(at for at, kind in enumerate(kinds) if kind == "Arm"), kinds.index("Go")
        )
        self.assertIsInstance(group.accepted[-1][1], Go)


if __name__ == "__main__":
    unittest.main()
