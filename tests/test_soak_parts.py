"""A short seeded soak of a part of prompts that ends replicas, before real entries."""

import tempfile
import unittest
from pathlib import Path

import anyio
from loguru import logger

from benchmarks.soak_parts import play


class SoakPartsTest(unittest.TestCase):
    """Entries as processes, with kills and pauses of them and ends of replicas."""

    def test_part_is_refused_and_sound_requests_are_served(self) -> None:
        logger.disable("carawayhub")
        self.addCleanup(logger.enable, "carawayhub")
        with tempfile.TemporaryDirectory() as folder:
            soak = anyio.run(play, 1, Path(folder))
        self.assertEqual(soak.problems, [])


if __name__ == "__main__":
    unittest.main()
