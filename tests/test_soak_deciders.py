"""A short seeded soak of the deciders of a group, and the check that judges it."""

import tempfile
import unittest
from pathlib import Path

import anyio

from benchmarks.soak_deciders import LEAST_APART, Ordered, beside_each_other, play

SEEDS = (1,)


class SoakTest(unittest.TestCase):
    """Agents that take a group over from each other."""

    def test_one_decider_orders_at_a_time(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed), tempfile.TemporaryDirectory() as folder:
                soak = anyio.run(play, seed, Path(folder))
                self.assertEqual(soak.problems, [])
                self.assertGreater(len({each.decider for each in soak.seen}), 2)


class CheckTest(unittest.TestCase):
    """What counts as two deciders at once."""

    def found(self, *seen: tuple[float, str]) -> int:
        """Return how often one ordered beside another."""
        return len(beside_each_other([Ordered(at, decider) for at, decider in seen]))

    def test_orders_of_two_in_turn_are_found(self) -> None:
        self.assertEqual(self.found((1.0, "a"), (1.1, "b"), (1.2, "a"), (1.3, "b")), 3)

    def test_decider_that_ends_may_be_followed_at_once(self) -> None:
        self.assertEqual(self.found((1.0, "a"), (1.01, "b"), (2.0, "b")), 0)

    def test_decider_that_comes_back_must_have_waited(self) -> None:
        apart = LEAST_APART + 0.1
        self.assertEqual(self.found((1.0, "a"), (1.0 + apart, "b"), (1.0 + 2 * apart, "a")), 0)


if __name__ == "__main__":
    unittest.main()
