"""Orders to ranks that had no answer and take effect after the group's state has changed."""

import random
import unittest
from collections.abc import Callable

import anyio
from loguru import logger

from benchmarks.virtual_time import LoopClock
from carawayhub.experts.agent import AgentOptions, ExpertAgent, _LeaderState
from carawayhub.experts.members import Family
from carawayhub.experts.model import Arm, Go, Hold, OrderAnswer, RankOrder
from carawayhub.experts.switch import ChangeOutcome, Switch
from carawayhub.gateway.model import ExpertShape
from tests.expert_group import FakeGroup, FakeRank
from tests.test_experts_switch import all_reached, placement, run_scenario, switch

RANKS = 3
SUSPENDED = 2


def setUpModule() -> None:
    logger.disable("carawayhub.experts")


def tearDownModule() -> None:
    logger.enable("carawayhub.experts")


class DelayedOrders(FakeGroup):
    """A group that keeps chosen orders back until they are carried out, long after their sending.

    Attributes:
        delays: Returns whether an order to a rank gets no answer and is kept back.
        kept: The orders that were kept back, the oldest first.
    """

    def __init__(self, ranks: int, rng: random.Random) -> None:
        super().__init__(ranks, rng)
        self.delays: Callable[[int, RankOrder], bool] = lambda rank, order: False
        self.kept: list[tuple[int, RankOrder, int]] = []

    async def order(self, rank: int, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        if rank not in self.silent and self.delays(rank, order):
            self.kept.append((rank, order, epoch))
            await anyio.sleep(0.1)
            return OrderAnswer.UNKNOWN
        return await super().order(rank, order, epoch, fence)

    def carry_out(self, kind: type[RankOrder]) -> None:
        """Carry out the orders of one kind that were kept back."""
        for rank, order, epoch in [each for each in self.kept if isinstance(each[1], kind)]:
            self.kept.remove((rank, order, epoch))
            self.apply(rank, order, epoch, 0)

    async def wait_for(self, kind: type[RankOrder], rank: int) -> None:
        """Wait until a rank has accepted an order of one kind."""
        while not any(at == rank and isinstance(each, kind) for at, each in self.accepted):
            await anyio.sleep(0.001)

    def others_are_armed(self) -> bool:
        """Return whether every rank but the suspended one is armed."""
        return all(each.armed for at, each in enumerate(self.states) if at != SUSPENDED)

    async def wait_until_others_are_armed(self, seconds: float) -> bool:
        """Wait until every rank but the suspended one is armed; return whether they are."""
        with anyio.move_on_after(seconds):
            while not self.others_are_armed():
                await anyio.sleep(0.001)
        return self.others_are_armed()

    async def suspend_after_hold(self, seconds: float) -> None:
        """Suspend the VM of one rank as soon as a pass is held."""
        await self.wait_for(Hold, 0)
        self.silent = {SUSPENDED}
        await anyio.sleep(seconds)
        self.silent = set()


class LateReleases(FakeGroup):
    """A group in which orders to release a pass take effect seconds late while it is disturbed."""

    async def order(self, rank: int, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        if not self.late or not isinstance(order, Go):
            return await super().order(rank, order, epoch, fence)
        assert self.tasks is not None
        self.tasks.start_soon(self._release_late, rank, order, epoch)
        await anyio.sleep(0.1)
        return OrderAnswer.UNKNOWN

    async def _release_late(self, rank: int, order: RankOrder, epoch: int) -> None:
        await anyio.sleep(self.rng.uniform(2.0, 12.0))
        self.apply(rank, order, epoch, 0)


def is_release_or_last_arm(rank: int, order: RankOrder) -> bool:
    """Return whether an order releases a pass or arms the rank that was suspended."""
    return isinstance(order, Go) or (isinstance(order, Arm) and rank == SUSPENDED)


class LateRelease(unittest.TestCase):
    """A release of a held pass takes effect while the ranks are armed for that pass."""

    def run_late_release(self, finisher: Callable[[FakeGroup, Switch], Switch]) -> DelayedOrders:
        """Run a change that is released unchanged, then finished while that release arrives.

        Args:
            finisher: Returns the switch that finishes the change of the given one.
        """
        group = DelayedOrders(RANKS, random.Random(11))
        group.delays = is_release_or_last_arm

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            async def release() -> None:
                await group.wait_until_others_are_armed(10.0)
                group.carry_out(Go)

            tasks.start_soon(group.suspend_after_hold, 2.6)
            tasks.start_soon(release)
            issuer = switch(group)
            with anyio.move_on_after(2.5):
                await issuer.change(placement(1))
            while group.silent:
                await anyio.sleep(0.01)
            with anyio.move_on_after(5.0):
                await finisher(group, issuer).finish()
            group.delays = lambda rank, order: False
            group.carry_out(Go)
            group.carry_out(Arm)
            await anyio.sleep(0.5)
            await finisher(group, issuer).finish()
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        return group

    def assert_one_map(self, group: DelayedOrders) -> None:
        self.assertEqual(group.mixed, [])
        self.assertEqual({each.held > group.step for each in group.states}, {False})
        self.assertEqual(len({each.version for each in group.states}), 1)

    def test_release_by_the_agent_that_finishes_the_change(self) -> None:
        """Guards against a pass under two maps after an agent's own release arrives late.

        The agent released the pass because a rank was silent, had no answer, and completes the
        change when that rank is back.
        """
        self.assert_one_map(self.run_late_release(lambda group, issuer: issuer))

    def test_release_by_a_former_process_of_the_agent(self) -> None:
        """Guards against the same by a process that was restarted and knows of no release."""
        self.assert_one_map(self.run_late_release(lambda group, issuer: switch(group)))

    def test_release_by_another_agent(self) -> None:
        """Guards against the same by an agent that takes over from the one that released."""

        def standby(group: FakeGroup, issuer: Switch) -> Switch:
            return Switch(group.ranks(), LoopClock(), all_reached, own_rank=1)

        self.assert_one_map(self.run_late_release(standby))

    def test_release_of_the_change_before_in_an_idle_group(self) -> None:
        """Guards against a late release of one change that takes effect in the next one.

        An idle group begins no pass, so both changes hold a pass of the same number.
        """
        group = DelayedOrders(RANKS, random.Random(12))
        group.idle = True

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            releases: list[int] = []

            def delays(rank: int, order: RankOrder) -> bool:
                if isinstance(order, Go) and len(releases) < 2:
                    releases.append(rank)
                    return True
                return isinstance(order, Arm) and rank == SUSPENDED

            async def arrive() -> None:
                await group.wait_until_others_are_armed(10.0)
                group.carry_out(Go)
                group.idle = False

            group.delays = delays
            tasks.start_soon(group.suspend_after_hold, 0.5)
            issuer = switch(group)
            self.assertIs(await issuer.change(placement(1)), ChangeOutcome.GIVEN_UP)
            self.assertEqual(len(releases), 2)
            await anyio.sleep(1.0)
            tasks.start_soon(arrive)
            with anyio.move_on_after(5.0):
                await issuer.change(placement(2))
            group.delays = lambda rank, order: False
            group.carry_out(Arm)
            await anyio.sleep(0.5)
            await issuer.finish()
            await anyio.sleep(1.0)

        run_scenario(group, scenario)
        self.assert_one_map(group)

    def test_search_with_suspended_vms(self) -> None:
        """Guards against a pass under two maps, or one held for good, in random changes.

        A VM is suspended right after a pass is held, orders take effect up to 12 s late, issuers
        restart, and other agents finish their changes.
        """
        for seed in range(60):
            with self.subTest(seed=seed):
                group = self.run_suspended(seed)
                self.assertEqual(group.mixed, [])
                self.assertEqual({each.held > group.step for each in group.states}, {False})

    def run_suspended(self, seed: int) -> FakeGroup:
        """Run changes after whose holds a VM is suspended."""
        rng = random.Random(seed)
        group = LateReleases(RANKS, rng, late=0.35, answer_lost=0.1)

        def agent(rank: int) -> Switch:
            return Switch(group.ranks(), LoopClock(), all_reached, own_rank=rank)

        async def suspend_after_holds(until: float) -> None:
            seen = 0
            while anyio.current_time() < until:
                await anyio.sleep(0.005)
                holds = sum(isinstance(each, Hold) for _, each in group.accepted)
                if holds > seen and rng.random() < 0.7:
                    group.silent = {rng.randrange(1, RANKS)}
                    await anyio.sleep(rng.uniform(0.3, 3.0))
                    group.silent = set()
                    holds = sum(isinstance(each, Hold) for _, each in group.accepted)
                seen = holds

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            tasks.start_soon(suspend_after_holds, anyio.current_time() + 20.0)
            issuer = agent(0)
            for number in range(1, 11):
                with anyio.move_on_after(rng.uniform(0.5, 4.0)):
                    await issuer.change(placement(number))
                if rng.random() < 0.4:
                    issuer = agent(0)
                if rng.random() < 0.3:
                    tasks.start_soon(agent(rng.randrange(1, RANKS)).finish)
                await anyio.sleep(rng.uniform(0.0, 0.5))
            await anyio.sleep(5.0)
            group.late = group.answer_lost = 0.0
            for _ in range(16):
                await anyio.sleep(1.0)
                if await agent(0).finish() is ChangeOutcome.STUCK:
                    await agent(0).change(placement(0))

        run_scenario(group, scenario)
        return group

    def test_search_finds_what_the_second_hold_prevents(self) -> None:
        """If ranks are armed for a pass that rank 0 alone holds, some pass has two maps."""

        async def unconfirmed(self: Switch, point, deadline_at: float) -> int:
            return 0

        original, Switch._hold_second = Switch._hold_second, unconfirmed
        try:
            self.assertTrue(any(self.run_suspended(seed).mixed for seed in range(60)))
        finally:
            Switch._hold_second = original


class CalmBalancer:
    """A balancer that plans no change."""

    pressure = 0.0

    def decide(self, *args: object) -> None:
        """Plan no change."""


class LateHold(unittest.TestCase):
    """An order to hold a pass takes effect after its change was given up."""

    def run_held(self) -> FakeGroup:
        """Run the agent beside rank 0 while rank 1 holds a pass that rank 0 does not."""
        group = FakeGroup(RANKS, random.Random(13))

        async def scenario(tasks: anyio.abc.TaskGroup) -> None:
            clock = LoopClock()
            options = AgentOptions(ip="127.0.0.1", port=9, link_rate=0.0, direct=lambda *_: None)
            agent = ExpertAgent(options, FakeRank(group, 0), None, clock)
            shape = ExpertShape(
                layers=1,
                experts=RANKS,
                places=2,
                spare=2,
                share=1.0,
                expert_bytes=1.0,
                link_rate=1.0,
            )
            agent._leader_state = _LeaderState(
                Family("g", 1, ()), group.ranks(), shape, switch(group), CalmBalancer()
            )
            group.states[1].held = group.step + 2
            group.states[2].prepared = group.states[2].highest = 3
            for _ in range(50):
                await anyio.sleep(0.1)
                await agent._run_leader(await FakeRank(group, 0).report())

        run_scenario(group, scenario)
        return group

    def test_hold_at_another_rank_is_found_and_released(self) -> None:
        """Guards against a group that stands still because of a hold that rank 0 doesn't report.

        The ranks have no common map, so none of them could be armed for the held pass.
        """
        group = self.run_held()
        self.assertEqual(group.mixed, [])
        self.assertEqual({each.held > group.step for each in group.states}, {False})
        self.assertLess(group.stood, 2.5)


if __name__ == "__main__":
    unittest.main()
