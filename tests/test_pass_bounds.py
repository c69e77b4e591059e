"""Bounds on the requests of lock-step groups whose passes come near the accepted pause."""

import unittest
from collections.abc import Sequence
from dataclasses import replace
from functools import cache
from unittest import mock

from loguru import logger

from benchmarks.group_load import (
    COSTLY_WRITERS,
    NEAR_PAUSE_LOADS,
    Load,
    jump,
    near_pause,
    play,
)
from carawayhub.clock import ManualClock
from carawayhub.gateway.grouplimits import GroupShape, group_shapes
from carawayhub.gateway.model import GroupMembership
from carawayhub.gateway.passbound import (
    HISTORY_SECONDS,
    KEEP_SECONDS,
    MAX_SAMPLES,
    MIN_FRACTION,
    MIN_SAMPLES,
    SAMPLE_SECONDS,
    PassBounds,
    request_bound,
)
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.slotforecast import BUCKET_SECONDS, BUCKETS, SlotForecast
from tests.gateway_world import endpoint, table

SEEDS = 3

SETTLED_FROM = 6.0
"""Time in seconds from which passes were observed for long enough."""


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def shape(epoch: int = 1) -> GroupShape:
    return GroupShape(profile=COSTLY_WRITERS, ranks=24, gap=0.15, timeout=8.0, epoch=epoch)


class BoundTest(unittest.TestCase):
    """The bound that follows from the latest passes."""

    def test_predicted_pass_is_within_the_pause(self) -> None:
        """Guards against a group that is filled until all its streams are late by milliseconds."""
        for stretch in (1.9, 2.0, 2.2):
            bound = request_bound(shape(), [stretch] * MIN_SAMPLES)
            assert bound is not None
            self.assertLessEqual(stretch * shape().pass_seconds(bound), 0.15)
            self.assertGreater(stretch * shape().pass_seconds(bound), 0.85 * 0.15)

    def test_passes_well_within_the_pause_have_no_bound(self) -> None:
        self.assertIsNone(request_bound(shape(), [1.3] * MIN_SAMPLES))

    def test_passes_that_requests_do_not_shorten_have_no_bound(self) -> None:
        """Guards against refusals while a slow rank, not the requests, makes passes long."""
        self.assertIsNone(request_bound(shape(), [4.0] * MIN_SAMPLES))
        flat = replace(COSTLY_WRITERS, step_per_request=0.0, mean_prompt_tokens=0.0)
        self.assertIsNone(request_bound(replace(shape(), profile=flat), [9.0] * MIN_SAMPLES))

    def test_smallest_bound_is_the_stated_fraction_of_the_slots(self) -> None:
        bounds = [request_bound(shape(), [at / 50.0] * MIN_SAMPLES) for at in range(50, 250)]
        least = min(each for each in bounds if each is not None)
        self.assertGreaterEqual(least, int(MIN_FRACTION * shape().slots))

    def test_rare_long_passes_are_no_reason_for_a_bound(self) -> None:
        """Guards against refusals for seconds since one pass in fifty was long."""
        self.assertIsNone(request_bound(shape(), [1.3] * (MAX_SAMPLES - 3) + [2.1] * 3))

    def test_long_passes_after_each_change_of_demand_bound_the_group(self) -> None:
        """Guards against streams that meet the next change and are late by one of their passes."""
        change = [2.1] * 10 + [1.3] * 30
        bound = request_bound(shape(), change * 2)
        assert bound is not None
        self.assertLessEqual(2.1 * shape().pass_seconds(bound), 0.15)


class PassBoundsTest(unittest.TestCase):
    """Bounds of the groups of one service over time."""

    def setUp(self) -> None:
        self.clock = ManualClock(50.0)
        self.bounds = PassBounds(self.clock)
        self.usual_calls = 0

    def observe(
        self, stretch: float, seconds: float = 2.0, every: float = 0.05, epoch: int = 1
    ) -> None:
        """Record a pause of group g0 every so many seconds."""
        for _ in range(round(seconds / every)):
            self.clock.advance(every)
            self.bounds.record_pause("g0", epoch, stretch * self.usual(), self.usual)

    def usual(self) -> float:
        self.usual_calls += 1
        return shape().pass_seconds(90)

    def found(self, epoch: int = 1) -> dict[str, int]:
        return dict(self.bounds.bounds({"g0": shape(epoch)}))

    def test_few_samples_are_no_reason_for_a_bound(self) -> None:
        """Guards against refusals by the first passes after a start."""
        self.observe(2.0, seconds=(MIN_SAMPLES - 1) * SAMPLE_SECONDS)
        self.assertEqual(self.found(), {})

    def test_bound_begins_within_two_seconds_and_ends_with_its_history(self) -> None:
        self.observe(2.0)
        self.assertIn("g0", self.found())
        self.observe(1.3, seconds=HISTORY_SECONDS)
        self.assertEqual(self.found(), {})

    def test_bound_is_corrected_at_each_sample(self) -> None:
        """Guards against a bound that is half a swing late."""
        self.observe(2.0)
        before = self.found()["g0"]
        self.observe(2.2, seconds=1.0)
        self.assertLess(self.found()["g0"], before)

    def test_entry_with_few_streams_keeps_its_bound(self) -> None:
        """Guards against an entry that sees a pause only now and then and fills the group."""
        self.observe(2.0)
        for _ in range(20):
            self.observe(2.0, seconds=0.7, every=0.7)
            self.assertIn("g0", self.found())

    def test_new_formation_of_a_group_has_no_samples(self) -> None:
        """Guards against refusals by the passes of a formation that has ended."""
        self.observe(2.0)
        self.assertEqual(self.found(epoch=2), {})
        self.observe(2.0)
        self.observe(2.0, seconds=0.2, epoch=2)
        self.assertEqual(self.found(epoch=2), {})

    def test_streams_of_a_former_formation_do_not_count(self) -> None:
        self.observe(1.3, epoch=2)
        self.observe(2.0, epoch=1)
        self.assertEqual(self.found(epoch=2), {})

    def test_samples_from_before_a_suspension_do_not_count(self) -> None:
        self.observe(2.0)
        self.clock.advance(KEEP_SECONDS + SAMPLE_SECONDS)
        self.assertEqual(self.found(), {})

    def test_group_that_is_gone_is_forgotten(self) -> None:
        self.observe(2.0)
        self.assertEqual(self.bounds.bounds({}), {})
        self.assertEqual(self.found(), {})

    def test_cost_does_not_grow_with_streams(self) -> None:
        """Guards against a computation for each event of each stream."""
        self.observe(2.0, seconds=1.0, every=0.001)
        self.usual_calls = 0
        for _ in range(1_000):
            self.bounds.record_pause("g0", 1, 0.1, self.usual)
        self.assertLessEqual(self.usual_calls, 1)
        shapes = {"g0": shape()}
        self.assertIs(self.bounds.bounds(shapes), self.bounds.bounds(shapes))

    def test_shapes_have_the_latest_formation(self) -> None:
        ranks = [
            endpoint(f"i-{at}", membership=GroupMembership("g0", 3 + at % 2, at, formed=True))
            for at in range(4)
        ]
        self.assertEqual(group_shapes(table(), "llm", ranks)["g0"].epoch, 4)


@cache
def in_time(load: Load, seed: int, bounded: bool = True) -> float:
    """Return the callers per second that are served in time once passes were observed."""
    if bounded:
        ends = play(load, seed).outcome.total(SETTLED_FROM)
    else:
        with mock.patch.object(PassBounds, "bounds", lambda *_: {}):
            ends = play(load, seed).outcome.total(SETTLED_FROM)
    return ends["in time"] / (load.seconds - SETTLED_FROM)


def sent(load: Load, seed: int) -> list[tuple[str, int]]:
    """Return the endpoint and the prompt tokens of each request that is sent."""
    found = []
    begin = ServicePool._begin

    def note(pool, chosen, work, call=None):
        found.append((chosen.id, work.reading))
        return begin(pool, chosen, work, call)

    with mock.patch.object(ServicePool, "_begin", note):
        play(load, seed)
    return found


class ForecastTest(unittest.TestCase):
    """Slots that new requests will lack, by the arrivals and ends of the last seconds."""

    def setUp(self) -> None:
        self.clock = ManualClock(50.0)
        self.forecast = SlotForecast(self.clock)

    def play(self, arrivals: Sequence[int], ends: Sequence[int]) -> None:
        """Record so many arrivals and ends in each half second."""
        for arrived, ended in zip(arrivals, ends, strict=True):
            for _ in range(arrived):
                self.forecast.record_arrival()
            for _ in range(ended):
                self.forecast.record_end()
            self.clock.advance(BUCKET_SECONDS)

    def test_more_arrivals_than_ends_lack_slots(self) -> None:
        """Guards against slots for callers who are late while new ones are refused."""
        self.play([20] * BUCKETS, [15] * BUCKETS)
        self.assertAlmostEqual(self.forecast.shortage(), 10.0, delta=0.01)

    def test_fewer_arrivals_than_ends_lack_none(self) -> None:
        self.play([15] * BUCKETS, [20] * BUCKETS)
        self.assertEqual(self.forecast.shortage(), 0.0)
        self.assertEqual(SlotForecast(self.clock).shortage(), 0.0)

    def test_rise_counts_before_its_mean_does(self) -> None:
        """Guards against slots that returned requests take at the start of a peak."""
        self.play(range(10, 10 + 4 * BUCKETS, 4), [28] * BUCKETS)
        self.assertGreater(self.forecast.shortage(), 20.0)

    def test_trend_of_a_few_requests_is_chance(self) -> None:
        """Guards against slots left empty by an entry that counts a request a second."""
        self.play([0, 1, 0, 0, 1, 0, 1, 0, 0, 1], [1, 0, 0, 1, 0, 1, 0, 0, 1, 0])
        self.assertLess(self.forecast.shortage(), 0.5)

    def test_events_before_a_suspension_do_not_count(self) -> None:
        self.play([20] * BUCKETS, [0] * BUCKETS)
        self.clock.advance(BUCKET_SECONDS * (BUCKETS + 1))
        self.assertEqual(self.forecast.shortage(), 0.0)


class UnaffectedTest(unittest.TestCase):
    """Groups whose passes are well within the accepted pause."""

    def test_they_get_exactly_the_requests_that_they_got_before(self) -> None:
        """Guards against an effect of the rule on deployments without contention."""
        for rate in (25.0, 60.0):
            load = replace(near_pause(jump(rate, 1.0, 0.0, 0.0), 12.0), stretch=lambda now: 1.3)
            for seed in range(2):
                with self.subTest(rate=rate, seed=seed):
                    after = sent(load, seed)
                    with (
                        mock.patch.object(PassBounds, "bounds", lambda *_: {}),
                        mock.patch.object(SlotForecast, "shortage", lambda _: 0.0),
                    ):
                        self.assertEqual(after, sent(load, seed))
                    self.assertGreater(len(after), 200)


class OverloadTest(unittest.TestCase):
    """Callers served in time as the load grows beyond what a group can serve."""

    def test_goodput_stays_at_nine_tenths_of_its_best(self) -> None:
        """Guards against fewer callers served in time because more come."""
        rates = {
            factor: sum(
                in_time(NEAR_PAUSE_LOADS[f"{factor} times the capacity"], seed) / SEEDS
                for seed in range(SEEDS)
            )
            for factor in (0.9, 1.3, 1.6, 2.0)
        }
        best = max(rates.values())
        for factor, rate in rates.items():
            if factor >= 1.3:
                with self.subTest(factor=factor, rates=rates):
                    self.assertGreaterEqual(rate, 0.9 * best)

    def test_bound_serves_more_callers_than_full_groups(self) -> None:
        """Guards against a group that is filled until all its streams are late."""
        load = NEAR_PAUSE_LOADS["1.6 times the capacity"]
        self.assertGreater(in_time(load, 1), 2.0 * in_time(load, 1, bounded=False))

    def test_ramp_is_served_as_well_as_without_a_bound(self) -> None:
        """Guards against refusals in vain: the limit by longer history follows a slow ramp, too."""
        load = NEAR_PAUSE_LOADS["ramp from 0.6 to 1.8 times the capacity"]
        self.assertGreater(in_time(load, 1), in_time(load, 1, bounded=False))

    def test_swings_are_served_as_well_as_without_a_bound(self) -> None:
        """Guards against a bound that outlasts the peak of a swing."""
        load = NEAR_PAUSE_LOADS["swing of 70% within 11 s"]
        bounded = sum(in_time(load, seed) for seed in range(2))
        full = sum(in_time(load, seed, bounded=False) for seed in range(2))
        self.assertGreater(bounded, full)


if __name__ == "__main__":
    unittest.main()
