"""Tests of logs, the audit trail and metrics."""

import io
import json
import logging
import re
import unittest

from loguru import logger

from carawayhub.clock import ManualClock
from carawayhub.output.audit import MAX_CHANGES, AuditTrail, Subject
from carawayhub.output.logs import configure_logs, quiet_logs
from carawayhub.output.metrics import HIGHEST_MS, Latency, Metrics, as_text

SAMPLE = re.compile(r'[a-z_]+(\{([a-z]+="(\\["\\n]|[^"\\\n])*",?)+\})? [0-9.]+')


class LogsTest(unittest.TestCase):
    """Every log record is written as one JSON object on one line."""

    def setUp(self) -> None:
        self.stream = io.StringIO()
        self.addCleanup(logging.basicConfig, force=True)
        self.addCleanup(quiet_logs)
        configure_logs(self.stream, "debug", "entry:e1")

    def line(self) -> dict:
        text = self.stream.getvalue()
        self.assertTrue(text.endswith("\n"))
        self.assertEqual(text.count("\n"), 1, text)
        self.stream.truncate(self.stream.seek(0))
        return json.loads(text)

    def test_a_line_carries_what_was_bound_to_it(self) -> None:
        logger.bind(request="r1", code=2020).info("one\ntwo {}", "{three}")
        found = self.line()
        self.assertEqual(found["event"], "one\ntwo {three}")
        self.assertEqual((found["request"], found["code"]), ("r1", 2020))
        self.assertEqual((found["process"], found["level"]), ("entry:e1", "INFO"))
        self.assertRegex(found["time"], r"^\d{4}-\d\d-\d\dT[\d:.]{12}\+00:00$")

    def test_values_that_are_no_json_are_written_as_text(self) -> None:
        for value in (
            object(),
            {(1, 2): 3},
            "\ud800",
            1 << 80,
            float("nan"),
            b"\xff",
            ValueError(),
        ):
            logger.bind(request="r1", odd=value).info("odd \ud800" if value == "\ud800" else "odd")
            found = self.line()
            self.assertIn("r1", found["request"])
            self.assertIn("odd", found)

    def test_an_exception_stays_on_its_line(self) -> None:
        try:
            raise ValueError("one\ntwo")
        except ValueError:
            logger.exception("it failed")
        self.assertEqual(self.line()["error"], "ValueError('one\\ntwo')")

    def test_libraries_write_the_same_lines(self) -> None:
        """Collectors drop lines that are not JSON, which may be the ones that explain a failure.

        Libraries log braces, custom levels, mismatched arguments and tracebacks.
        """
        library = logging.getLogger("some.library")
        for level, words in ((logging.WARNING, ("{x} %d", 3)), (35, ("own",)), (40, ("%d", "x"))):
            library.log(level, *words)
            found = self.line()
            self.assertEqual(found["library"], "some.library")
        library.warning("failed", exc_info=ValueError("why"))
        self.assertEqual(self.line()["error"], "ValueError('why')")
        library.info("too much")
        self.assertEqual(self.stream.getvalue(), "")


class AuditTest(unittest.TestCase):
    """Retention and numbering of recorded changes."""

    def test_the_newest_changes_are_kept_under_their_numbers(self) -> None:
        logger.disable("carawayhub.output.audit")
        self.addCleanup(logger.enable, "carawayhub.output.audit")
        clock = ManualClock(0.0, wall_offset=1e9)
        trail = AuditTrail("entry:e1", clock)
        trail.version = 7
        for number in range(MAX_CHANGES + 10):
            clock.advance(1.0)
            trail.record(Subject.ENDPOINT, f"b{number}", "serving", "leaving", "why {not}")
        kept = trail.since()
        self.assertEqual((len(kept), kept[0].sequence), (MAX_CHANGES, 11))
        last = trail.since(MAX_CHANGES + 9)
        self.assertEqual([change.sequence for change in last], [MAX_CHANGES + 10])
        self.assertEqual((last[0].at, last[0].version), (1e9 + MAX_CHANGES + 10, 7))
        self.assertEqual(trail.since(MAX_CHANGES + 10), ())


class MetricsTest(unittest.TestCase):
    """Latency histograms and the metrics text format."""

    def test_each_measurement_is_told_by_organisation_and_by_target(self) -> None:
        metrics = Metrics()
        metrics.latency(Latency.QUEUE, 0.1, "bar", "cat")
        metrics.latency(Latency.QUEUE, 0.3, "cafe", "cat")
        counts = {(row.dimension, row.name): row.count for row in metrics.page().latencies}
        expected = {("organisation", "bar"): 1, ("organisation", "cafe"): 1, ("target", "cat"): 2}
        self.assertEqual(counts, expected)

    def test_values_out_of_range_are_counted_at_its_ends(self) -> None:
        metrics = Metrics()
        for seconds in (-1.0, 0.0, 1e9):
            metrics.latency(Latency.WHOLE, seconds, "bar", "cat")
        row = metrics.page().latencies[0]
        self.assertEqual((row.count, row.p50), (3, 1.0))
        self.assertAlmostEqual(row.max, HIGHEST_MS, delta=HIGHEST_MS / 100)

    def test_many_different_values_keep_their_percentiles(self) -> None:
        recorder = Metrics().target_recorder(Latency.BETWEEN_TOKENS, "cat")
        for ms in range(1, 1001):
            recorder.record(ms / 1000)
        histogram = recorder.histogram()
        self.assertEqual(histogram.get_total_count(), 1000)
        self.assertAlmostEqual(histogram.get_value_at_percentile(50), 500, delta=5)

    def test_the_text_can_be_read_whatever_the_names(self) -> None:
        metrics = Metrics()
        for name in ("", "plain", 'a"b', "a\\", "a\nb", "Le Goff & Fils {é}"):
            metrics.latency(Latency.QUEUE, 0.1, name, name)
            metrics.ended(name, 0)
        lines = as_text(metrics.page()).splitlines()
        samples = [line for line in lines if not line.startswith("#")]
        self.assertEqual(len(samples), 6 * 9 + 1)
        for line in samples:
            self.assertIsNotNone(SAMPLE.fullmatch(line), line)


if __name__ == "__main__":
    unittest.main()
