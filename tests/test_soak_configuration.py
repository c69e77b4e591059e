"""A short seeded soak of real entries whose route moves, and the checker that judges it."""

import json
import tempfile
import unittest
from datetime import UTC, datetime
from pathlib import Path

import anyio
from loguru import logger

from benchmarks.moved_routes import Disturbance, Probe, Published, going_back, late
from benchmarks.soak_configuration import play, play_with_returns
from benchmarks.soak_timeline import Occurrence, Record, main, time_line, write_record

SEEDS = {12: "connections to the store that go silent again and again made a configuration late"}
"""Seeds with a line on the cause for those that failed once."""

SEED_WITH_RETURNS = 2
"""A seed with which a variant that compares revisions across eras is found."""

MOVES = [Published(at % 6, 10.0 * at) for at in range(9)]


def probe(entry: str, process: int, sent_at: float, service: int) -> Probe:
    """Return a probe that was answered soon."""
    return Probe(entry, process, sent_at, sent_at + 0.02, service)


class SoakTest(unittest.TestCase):
    """Entries as processes, each with a way of its own to the store."""

    def test_configurations_come_in_time_and_never_go_back(self) -> None:
        logger.disable("carawayhub")
        self.addCleanup(logger.enable, "carawayhub")
        for seed, cause in SEEDS.items():
            with self.subTest(seed=seed, cause=cause), tempfile.TemporaryDirectory() as folder:
                soak = anyio.run(play, seed, Path(folder))
                self.assertEqual(soak.problems, [])

    def test_configurations_come_in_time_beside_returns_of_the_store(self) -> None:
        """Guards against entries that ignore a store whose revisions went back."""
        logger.disable("carawayhub")
        self.addCleanup(logger.enable, "carawayhub")
        with tempfile.TemporaryDirectory() as folder:
            soak = anyio.run(play_with_returns, SEED_WITH_RETURNS, Path(folder))
            self.assertEqual(soak.problems, [])
            self.assertGreater(soak.struck["return"], 1)


class CheckerTest(unittest.TestCase):
    """Broken promises are found, and only these."""

    def test_configuration_that_is_late_is_found(self) -> None:
        probes = [probe("a", 1, 11.9, 0), probe("a", 1, 12.1, 0), probe("b", 2, 12.1, 1)]
        found = late(probes, MOVES, [])
        self.assertEqual(len(found), 1)
        self.assertIn("a at 12.100: ran by s0", found[0].text)

    def test_disturbed_entry_is_excused_for_three_seconds(self) -> None:
        disturbed = [Disturbance("a", 5.0, 10.0)]
        self.assertEqual(late([probe("a", 1, 12.9, 0)], MOVES, disturbed), [])
        self.assertEqual(len(late([probe("a", 1, 13.1, 0)], MOVES, disturbed)), 1)
        self.assertEqual(len(late([probe("b", 1, 12.9, 0)], MOVES, disturbed)), 1)

    def test_configuration_of_later_excuses_nothing(self) -> None:
        """Guards against a service that comes round again after the probe."""
        self.assertEqual(len(late([probe("a", 1, 55.0, 0)], MOVES, [])), 1)
        self.assertEqual(late([probe("a", 1, 61.0, 0)], MOVES, []), [])

    def test_probe_that_did_not_run_says_nothing(self) -> None:
        self.assertEqual(late([probe("a", 1, 15.0, -1)], MOVES, []), [])

    def test_configuration_that_comes_back_is_found(self) -> None:
        probes = [probe("a", 1, 21.0, 2), probe("a", 1, 21.2, 1), probe("a", 1, 21.4, 1)]
        found = going_back(probes, MOVES[:4])
        self.assertEqual([each.text for each in found], ["a at 21.400: went back to s1"])

    def test_new_process_may_begin_anywhere(self) -> None:
        probes = [probe("a", 1, 21.0, 2), probe("a", 2, 21.4, 1), probe("a", 2, 21.8, 2)]
        self.assertEqual(going_back(probes, MOVES[:4]), [])

    def test_service_that_comes_round_again_is_no_way_back(self) -> None:
        probes = [probe("a", 1, 10.0 * at + 1.0, at % 6) for at in range(9)]
        self.assertEqual(going_back(probes, MOVES), [])


class TimeLineTest(unittest.TestCase):
    """What a failed seed leaves, in one time line."""

    def test_first_break_with_what_came_before_it(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            at = 1_790_000_000.0
            did = [
                Occurrence(at - 2.5, "configuration 4 acknowledged"),
                Occurrence(at - 9.0, "old"),
            ]
            found = [Occurrence(at, "late", "a/1"), Occurrence(at + 0.1, "late again", "a/2")]
            write_record(folder, Record(did, found))
            rows = [
                (at - 1.0, {"event": "role in reading", "role": "follower"}),
                (at + 0.1, {"event": "request ended", "request": "a/1", "version": 7}),
                (at + 0.2, {"event": "request ended", "request": "a/2", "version": 8}),
            ]
            lines = [{"time": datetime.fromtimestamp(t, UTC).isoformat()} | row for t, row in rows]
            text = "\n".join(json.dumps(each | {"process": "a"}) for each in lines)
            (folder / "a.log").write_text(text + '\n{"time":"2026-')
            shown = time_line(folder, 4.0, 1.0)
        whens = [each.split()[0] for each in shown]
        self.assertEqual(whens, ["-2.500", "-1.000", "+0.000", "+0.100"])
        self.assertIn("version=7", shown[-1])

    def test_folder_without_a_record_is_told(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            self.assertEqual(main([name]), 1)


if __name__ == "__main__":
    unittest.main()
