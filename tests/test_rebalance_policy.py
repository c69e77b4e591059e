"""Whether, what and when to rebalance."""

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
    """A policy fed with seeded counters."""

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
        """Feed ``intervals`` of ten seconds in which ``hot`` has five times its share."""
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
        """Return the decision on the map in force."""
        return self.policy.decide(self.map, situation or Situation())


class WhetherTest(unittest.TestCase):
    """Gain against cost."""

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
        """Counters shake by a fifth, no expert is hotter than another, the weights favour skew.

        Each estimate names some busiest rank, and moving its experts would seem to help: without a
        test against the noise, bytes would be moved for ever.
        """
        group = replace(GROUP, skew_weight=1.0, rebalancing_weight=0.0)
        for seed in range(5):
            fixture = Fixture(group, seed)
            for _ in range(100):
                fixture.feed(3, noise=0.2)
                self.assertIsInstance(fixture.decide(), Keep)

    def test_the_weights_decide(self) -> None:
        slow_store = Situation(staging_rate=300_000.0)
        eager = Fixture(replace(GROUP, skew_weight=0.95, rebalancing_weight=0.05))
        thrifty = Fixture(replace(GROUP, skew_weight=0.05, rebalancing_weight=0.95))
        for fixture in (eager, thrifty):
            fixture.feed(20, hot=3)
        self.assertIsInstance(eager.decide(slow_store), Rebalance)
        self.assertIsInstance(thrifty.decide(slow_store), Keep)

    def test_no_skew_weight_means_no_moves(self) -> None:
        fixture = Fixture(replace(GROUP, skew_weight=0.0))
        fixture.feed(20, hot=3)
        self.assertIs(fixture.decide().reason, Reason.NO_WEIGHT)

    def test_what_routing_can_even_out_is_not_moved(self) -> None:
        fixture = Fixture()
        fixture.feed(20, hot=3)
        self.assertIsInstance(fixture.decide(Situation(routable=1.0)), Keep)


class WhenTest(unittest.TestCase):
    """Times at which a map stays whatever the skew."""

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
        young = Fixture()
        young.feed(3, hot=3)
        self.assertIs(young.decide().reason, Reason.LEARNING)

    def test_not_on_counters_from_before_a_pause(self) -> None:
        """The agent is paused for ten minutes and wakes up in the middle of its loop.

        What it knows of popularity is from before; acting on it would move weights for a past that
        may be gone. It must wait for fresh counters.
        """
        self.fixture.clock.advance(600.0)
        self.assertIs(self.fixture.decide().reason, Reason.STALE)
        self.fixture.feed(2, hot=3)
        self.assertIsInstance(self.fixture.decide(), Rebalance)

    def test_a_surge_raises_the_price(self) -> None:
        store = 2_000_000.0
        while isinstance(self.fixture.decide(Situation(staging_rate=store)), Rebalance):
            store *= 0.8
        near = store / 0.8
        surge = Situation(staging_rate=near, utilisation=0.95)
        self.assertIsInstance(self.fixture.decide(Situation(staging_rate=near)), Rebalance)
        self.assertIsInstance(self.fixture.decide(surge), Keep)


class MeasuredTest(unittest.TestCase):
    """Expected gain against what came of it."""

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
        """An expert is hot for a minute, then another: each change comes too late to pay.

        The policy must learn from what it measured that gains do not last here.
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
    """Slow ranks and hot experts look alike to whoever only times the steps."""

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
