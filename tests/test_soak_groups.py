"""A short seeded soak of groups with real agents, and every seed that ever failed."""

import tempfile
import unittest
from pathlib import Path

import anyio
from loguru import logger

from benchmarks.soak_groups import play

SEEDS = {1: "the short run of each test"}
"""Seeds with a line on the cause for those that failed once."""


class GroupSoakTest(unittest.TestCase):
    """Agents as processes, with faults from outside them."""

    def test_no_pass_sees_two_maps_and_none_stays_held(self) -> None:
        logger.disable("carawayhub")
        self.addCleanup(logger.enable, "carawayhub")
        for seed, cause in SEEDS.items():
            with self.subTest(seed=seed, cause=cause), tempfile.TemporaryDirectory() as folder:
                soak = anyio.run(play, seed, Path(folder))
                self.assertEqual(soak.problems, [])
                self.assertGreater(soak.outcome["switches"], 1)


if __name__ == "__main__":
    unittest.main()
