"""Tests of the rebalancing policy and of straggler detection."""

import random
import unittest
from dataclasses import replace

from carawayhub.clock import ManualClock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.decisions import Decision, Keep, Reason, Rebalance, Situation
from carawayhub.groups.maps import ExpertMap, check_map, even_map, moved_bytes
from carawayhub.groups.policy import Policy
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.stragglers import RankTiming, StragglerDetector, routing_weight

GROUP = ModelGroup(
    name="catalogue", model="m", endpoints=(), ranks=8, experts=16, layers=3, spare_slots=1
)


class Fixture:
    """A policy that receives counters from a seeded generator."""

    def __init__(self, group: ModelGroup = GROUP, seed: int = 7) -> None:
        self.group = group
        self.clock = ManualClock()
        self.policy = Policy(group, self.clock)
        self.map: ExpertMap = even_map(
            ranks=group.ranks,
            experts=group.experts,
            layers=group.layers,
            spare_slots=group.spare_slots,
        )
        self._rng = random.Random(seed)
        self._counts = [[0] * group.experts for _ in range(group.layers)]

    def feed(self, intervals: int, hot: int | None = None, noise: float = 0.02) -> None:
        """Report ``intervals`` of ten seconds in which ``hot`` has five times its usual share."""
        for _ in range(intervals):
            self.clock.advance(10.0)
            for row in self._counts:
                for expert in range(self.group.experts):
                    weight = 5.0 if expert == hot else 1.0
                    row[expert] += round(10_000 * weight * self._rng.lognormvariate(0.0, noise))
            counts = tuple(tuple(row) for row in self._counts)
            at = self.clock.monotonic()
            self.policy.observe(ExpertCounters(source=0, taken_at=at, counts=counts))

    def decide(self, situation: Situation | None = None) -> Decision:
        """Return the decision on the current map."""
        return self.policy.decide(self.map, situation or Situation())


class WhetherTest(unittest.TestCase):
    """Gain compared with cost."""

    def test_a_hot_expert_is_answered_by_a_whole_map_that_is_better(self) -> None:
        fixture = Fixture()
        fixture.feed(20, hot=3)
        decision = fixture.decide()
        assert isinstance(decision, Rebalance)
        check_map(decision.map, ranks=8, experts=16, layers=3, slots=3)
        self.assertEqual(decision.map.number, 2)
        self.assertLess(fixture.policy.skew(decision.map), decision.skew)
        self.assertAlmostEqual(fixture.policy.skew(decision.map), decision.expected_skew)
        size = moved_bytes(fixture.map, decision.map, expert_bytes=GROUP.expert_bytes)
        self.assertEqual(decision.bytes, size)

    def test_noise_alone_moves_nothing(self) -> None:
        """Counters have 20% noise, all experts are equally popular and the weights favour skew.

        Some rank always appears busiest by chance. Without a significance test the policy would
        move weights indefinitely.
        """
        group = replace(GROUP, skew_weight=1.0, rebalancing_weight=0.0)
        for seed in range(5):
            fixture = Fixture(group, seed)
            for _ in range(100):
                fixture.feed(3, noise=0.2)
                self.assertIsInstance(fixture.decide(), Keep)

    def test_the_weights_decide(self) -> None:
        slow_store = Situation(staging_rate=300_000.0)
        skew_first = Fixture(replace(GROUP, skew_weight=0.95, rebalancing_weight=0.05))
        cost_first = Fixture(replace(GROUP, skew_weight=0.05, rebalancing_weight=0.95))
        for fixture in (skew_first, cost_first):
            fixture.feed(20, hot=3)
        self.assertIsInstance(skew_first.decide(slow_store), Rebalance)
        self.assertIsInstance(cost_first.decide(slow_store), Keep)

    def test_no_skew_weight_means_no_moves(self) -> None:
        fixture = Fixture(replace(GROUP, skew_weight=0.0))
        fixture.feed(20, hot=3)
        self.assertIs(fixture.decide().reason, Reason.NO_WEIGHT)

    def test_what_routing_can_even_out_is_not_moved(self) -> None:
        fixture = Fixture()
        fixture.feed(20, hot=3)
        self.assertIsInstance(fixture.decide(Situation(routing_share=1.0)), Keep)


class WhenTest(unittest.TestCase):
    """Situations in which the map is kept regardless of the skew."""

    def setUp(self) -> None:
        self.fixture = Fixture()
        self.fixture.feed(20, hot=3)

    def test_not_while_the_group_drains(self) -> None:
        self.assertIs(self.fixture.decide(Situation(draining=True)).reason, Reason.DRAINING)

    def test_not_while_a_change_is_under_way(self) -> None:
        self.assertIs(self.fixture.decide(Situation(changing=True)).reason, Reason.CHANGING)

    def test_not_when_the_store_gives_nothing(self) -> None:
        self.assertIs(self.fixture.decide(Situation(staging_rate=0.0)).reason, Reason.NO_STAGING)

    def test_not_before_noise_is_known(self) -> None:
        new_fixture = Fixture()
        new_fixture.feed(3, hot=3)
        self.assertIs(new_fixture.decide().reason, Reason.LEARNING)

    def test_not_on_counters_from_before_a_pause(self) -> None:
        """The agent is paused for ten minutes and resumes in the middle of its loop.

        Its popularity estimate dates from before the pause and may no longer be valid. It must wait
        for new counters before it moves weights.
        """
        self.fixture.clock.advance(600.0)
        self.assertIs(self.fixture.decide().reason, Reason.STALE)
        self.fixture.feed(2, hot=3)
        self.assertIsInstance(self.fixture.decide(), Rebalance)

    def test_a_surge_raises_the_price(self) -> None:
        rate = 2_000_000.0
        while isinstance(self.fixture.decide(Situation(staging_rate=rate)), Rebalance):
            rate *= 0.8
        lowest_worthwhile_rate = rate / 0.8
        surge = Situation(staging_rate=lowest_worthwhile_rate, utilisation=0.95)
        self.assertIsInstance(
            self.fixture.decide(Situation(staging_rate=lowest_worthwhile_rate)), Rebalance
        )
        self.assertIsInstance(self.fixture.decide(surge), Keep)


class MeasuredTest(unittest.TestCase):
    """Expected gain compared with the measured gain."""

    def test_a_gain_that_lasts_is_measured_as_expected(self) -> None:
        fixture = Fixture()
        fixture.feed(20, hot=3)
        decision = fixture.decide()
        assert isinstance(decision, Rebalance)
        fixture.policy.applied(fixture.map, decision)
        fixture.feed(95, hot=3)
        (outcome,) = fixture.policy.measured()
        self.assertEqual(outcome.map_number, 2)
        self.assertAlmostEqual(outcome.measured, outcome.expected, delta=0.1 * outcome.expected)

    def test_gains_that_fade_shorten_the_horizon(self) -> None:
        """Another expert is hot every 200 seconds: each map change comes too late to pay off.

        The policy must shorten its horizon based on the measured gains.
        """
        fixture = Fixture()
        first = fixture.policy.horizon
        for turn in range(8):
            fixture.feed(20, hot=turn)
            decision = fixture.decide()
            if isinstance(decision, Rebalance):
                fixture.policy.applied(fixture.map, decision)
                fixture.map = decision.map
            fixture.feed(20, hot=turn + 8)
        fixture.feed(95)
        self.assertLess(fixture.policy.horizon, first)


class StragglerTest(unittest.TestCase):
    """Slow ranks and hot experts both lengthen the steps, but only slow ranks are stragglers."""

    def test_a_slow_rank_at_an_even_load_is_named(self) -> None:
        detector = StragglerDetector()
        timings = [RankTiming(rank, 0.009 if rank == 5 else 0.006, 1.0) for rank in range(8)]
        for _ in range(2):
            self.assertEqual(detector.observe(timings), ())
        (found,) = detector.observe(timings)
        self.assertEqual(found.rank, 5)
        self.assertAlmostEqual(routing_weight((found,)), 1 / 1.5)

    def test_a_rank_with_hot_experts_is_not(self) -> None:
        detector = StragglerDetector()
        loads = [0.8, 0.9, 1.0, 0.7, 0.9, 2.1, 0.8, 0.8]
        timings = [RankTiming(r, 0.004 + 0.002 * load, load) for r, load in enumerate(loads)]
        for _ in range(4):
            self.assertEqual(detector.observe(timings), ())

    def test_one_pause_names_nobody(self) -> None:
        detector = StragglerDetector()
        even = [RankTiming(rank, 0.006, 1.0) for rank in range(8)]
        paused = [replace(item, busy_seconds=0.5) if item.rank == 2 else item for item in even]
        for timings in (even, paused, even, even):
            self.assertEqual(detector.observe(timings), ())

    def test_the_policy_leaves_it_to_health(self) -> None:
        fixture = Fixture()
        fixture.feed(20)
        detector = StragglerDetector()
        timings = [RankTiming(rank, 0.009 if rank == 5 else 0.006, 1.0) for rank in range(8)]
        for _ in range(3):
            stragglers = detector.observe(timings)
        decision = fixture.decide(Situation(stragglers=stragglers))
        self.assertEqual(decision.reason, Reason.STRAGGLER)


if __name__ == "__main__":
    unittest.main()
