"""Tests of popularity estimates from counters that are delayed, lost or reset."""

import random
import unittest

from carawayhub.groups.popularity import ExpertCounters, Observation, Popularity


def report(at: float, *counts: int, source: int = 0) -> ExpertCounters:
    return ExpertCounters(source=source, taken_at=at, counts=(counts,))


class CounterTest(unittest.TestCase):
    """Growth of counters."""

    def setUp(self) -> None:
        self.popularity = Popularity(layers=1, experts=2)

    def test_first_report_only_sets_the_baseline(self) -> None:
        self.assertIs(self.popularity.observe(report(10, 900, 100)), Observation.FIRST)
        self.assertEqual(list(self.popularity.mean(0)), [0.5, 0.5])

    def test_growth_gives_the_shares(self) -> None:
        self.popularity.observe(report(10, 900, 100))
        self.assertIs(self.popularity.observe(report(20, 910, 130)), Observation.TAKEN)
        self.assertEqual(list(self.popularity.mean(0)), [0.25, 0.75])

    def test_a_lost_report_costs_no_tokens(self) -> None:
        """One of three reports is lost.

        The difference from the last received report must include the tokens of both intervals, not
        only those of the latest.
        """
        self.popularity.observe(report(10, 0, 0))
        self.popularity.observe(report(30, 90, 10))
        self.assertEqual(list(self.popularity.mean(0)), [0.9, 0.1])

    def test_a_restarted_engine_does_not_give_negative_shares(self) -> None:
        """The engine restarts, and its counters and clock start again at zero.

        If the decrease were taken as growth, the estimated shares would be negative.
        """
        self.popularity.observe(report(1000, 500, 500))
        self.popularity.observe(report(1010, 600, 600))
        self.assertIs(self.popularity.observe(report(5, 10, 30)), Observation.RESET)
        self.assertEqual(list(self.popularity.mean(0)), [0.5, 0.5])
        self.assertIs(self.popularity.observe(report(15, 20, 40)), Observation.TAKEN)

    def test_a_late_report_is_left_out(self) -> None:
        self.popularity.observe(report(10, 0, 0))
        self.popularity.observe(report(20, 50, 50))
        self.assertIs(self.popularity.observe(report(15, 40, 10)), Observation.OLD)

    def test_an_idle_interval_changes_nothing(self) -> None:
        self.popularity.observe(report(10, 5, 5))
        self.assertIs(self.popularity.observe(report(20, 5, 5)), Observation.EMPTY)

    def test_sources_are_compared_only_with_themselves(self) -> None:
        self.popularity.observe(report(10, 0, 0))
        self.assertIs(self.popularity.observe(report(9, 70, 30, source=1)), Observation.FIRST)

    def test_a_wrong_shape_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            self.popularity.observe(report(10, 1, 2, 3))


class ErrorTest(unittest.TestCase):
    """The standard error of the mean."""

    def test_it_covers_the_true_share(self) -> None:
        rng = random.Random(4)
        popularity = Popularity(layers=1, experts=8)
        counts = [0] * 8
        for step in range(200):
            popularity.observe(report(10.0 * step, *counts))
            for expert in range(8):
                counts[expert] += round(1000 * rng.lognormvariate(0.0, 0.2))
        misses = [
            abs(mean - 1 / 8) / error
            for mean, error in zip(popularity.mean(0), popularity.errors(0), strict=True)
        ]
        self.assertLess(max(misses), 4.0)
        self.assertGreater(max(misses), 0.2)

    def test_a_jump_does_not_pass_for_noise(self) -> None:
        popularity = Popularity(layers=1, experts=2)
        counts = [0, 0]
        for step in range(60):
            popularity.observe(report(10.0 * step, *counts))
            heavy = 900 if step >= 40 else 500 + step % 3
            counts[0] += heavy
            counts[1] += 1000 - heavy
        self.assertLess(popularity.errors(0)[0], 0.02)
        self.assertGreater(popularity.mean(0)[0], 0.7)


class TrendTest(unittest.TestCase):
    """Shares to plan for."""

    def estimate(self, spread: float, jump_at: int) -> Popularity:
        rng = random.Random(9)
        popularity = Popularity(layers=1, experts=8)
        counts = [0] * 8
        for step in range(64):
            popularity.observe(report(10.0 * step, *counts))
            for expert in range(8):
                weight = 4 if expert == 0 and step >= jump_at else 1
                counts[expert] += round(1000 * weight * rng.lognormvariate(0.0, spread))
        return popularity

    def test_a_rise_is_planned_for_before_the_mean_has_followed(self) -> None:
        """A release makes one expert four times as popular within seconds.

        The moving mean lags behind for two minutes. Changes sized by it would be too small and need
        repeating, while every step waits for that expert's rank.
        """
        popularity = self.estimate(0.03, jump_at=60)
        self.assertGreater(popularity.expected(0)[0], popularity.mean(0)[0] * 1.15)
        self.assertAlmostEqual(sum(popularity.expected(0)), 1.0)

    def test_noise_is_not_a_rise(self) -> None:
        popularity = self.estimate(0.25, jump_at=100)
        for expected, mean in zip(popularity.expected(0), popularity.mean(0), strict=True):
            self.assertAlmostEqual(expected, mean)


if __name__ == "__main__":
    unittest.main()
