"""Bounds on the requests of lock-step groups whose passes come near the accepted pause."""

import unittest
from dataclasses import replace
from unittest import mock

from loguru import logger

from benchmarks.group_load import COSTLY_WRITERS, Load, play
from carawayhub.clock import ManualClock
from carawayhub.gateway.grouplimits import SAMPLE_SECONDS, GroupShape, group_shapes
from carawayhub.gateway.model import GroupMembership
from carawayhub.gateway.passbound import (
    KEEP_SECONDS,
    MIN_FRACTION,
    WINDOW_SAMPLES,
    WINDOWS,
    PassBounds,
    request_bound,
)
from carawayhub.gateway.pool import ServicePool
from tests.gateway_world import endpoint, table

ENOUGH = WINDOWS * WINDOW_SAMPLES
"""Samples from which a bound is computed."""

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
            bound = request_bound(shape(), [stretch] * ENOUGH)
            assert bound is not None
            self.assertLessEqual(stretch * shape().pass_seconds(bound), 0.15)
            self.assertGreater(stretch * shape().pass_seconds(bound), 0.85 * 0.15)

    def test_passes_well_within_the_pause_have_no_bound(self) -> None:
        self.assertIsNone(request_bound(shape(), [1.3] * ENOUGH))

    def test_passes_that_requests_do_not_shorten_have_no_bound(self) -> None:
        """Guards against refusals while a slow rank, not the requests, makes passes long."""
        self.assertIsNone(request_bound(shape(), [4.0] * ENOUGH))
        flat = replace(COSTLY_WRITERS, step_per_request=0.0, mean_prompt_tokens=0.0)
        self.assertIsNone(request_bound(replace(shape(), profile=flat), [9.0] * ENOUGH))

    def test_smallest_bound_is_the_stated_fraction_of_the_slots(self) -> None:
        bounds = [request_bound(shape(), [at / 50.0] * ENOUGH) for at in range(50, 250)]
        least = min(each for each in bounds if each is not None)
        self.assertGreaterEqual(least, int(MIN_FRACTION * shape().slots))

    def test_peak_after_a_change_of_demand_is_no_reason_for_a_bound(self) -> None:
        """Guards against refusals for the second until the expert map follows."""
        for stretches in ([1.3] * 3 + [2.1] * 3, [2.1] * 3 + [1.3] * 3):
            self.assertIsNone(request_bound(shape(), stretches))

    def test_few_samples_are_no_reason_for_a_bound(self) -> None:
        self.assertIsNone(request_bound(shape(), [2.1] * (ENOUGH - 1)))


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

    def test_bound_follows_passes_within_two_seconds(self) -> None:
        self.observe(2.0)
        self.assertIn("g0", self.found())
        self.observe(1.3, seconds=0.9)
        self.assertEqual(self.found(), {})

    def test_bound_is_corrected_at_each_sample(self) -> None:
        """Guards against a bound that is half a swing late."""
        self.observe(2.0)
        before = self.found()["g0"]
        self.observe(2.2, seconds=ENOUGH * SAMPLE_SECONDS + 0.2)
        self.assertLess(self.found()["g0"], before)

    def test_entry_with_few_streams_keeps_its_bound(self) -> None:
        """Guards against an entry that sees a pause in every other sample and fills the group."""
        self.observe(2.0)
        for _ in range(20):
            self.observe(2.0, seconds=0.33, every=0.33)
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


def costly(rate: float, stretch: float = 2.0, seconds: float = 24.0) -> Load:
    """Return a steady load of a group whose passes come near the accepted pause."""
    return Load(
        rate=lambda now: rate,
        stretch=lambda now: stretch,
        seconds=seconds,
        entries=15,
        ranks=24,
        events=19.0,
        profile=COSTLY_WRITERS,
        pause=0.15,
    )


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

    def note(pool, chosen, work):
        found.append((chosen.id, work.reading))
        return begin(pool, chosen, work)

    with mock.patch.object(ServicePool, "_begin", note):
        play(load, seed)
    return found


class UnaffectedTest(unittest.TestCase):
    """Groups whose passes are well within the accepted pause."""

    def test_they_get_exactly_the_requests_that_they_got_before(self) -> None:
        """Guards against an effect of the rule on deployments without contention."""
        for rate in (25.0, 60.0):
            load = costly(rate, stretch=1.3, seconds=12.0)
            for seed in range(2):
                with self.subTest(rate=rate, seed=seed):
                    after = sent(load, seed)
                    with mock.patch.object(PassBounds, "bounds", lambda *_: {}):
                        self.assertEqual(after, sent(load, seed))
                    self.assertGreater(len(after), 200)


if __name__ == "__main__":
    unittest.main()
