"""Traces: what is wrong with one is named by line, and a missed outcome fails the command."""

import io
import tempfile
import unittest
from pathlib import Path

import msgspec

from carawayhub.cli.replay import ReplayResult
from carawayhub.codes import Code
from carawayhub.config.problem import ConfigRefusedError, Problem
from carawayhub.context import Environment
from carawayhub.core import main
from carawayhub.replay.arrivals import PlayedCall, arrivals_of, recorded
from carawayhub.replay.reading import parse_trace, read_trace
from carawayhub.replay.trace import Arrival, Trace
from carawayhub.standins.callers import Once
from carawayhub.standins.records import Attempt, CallRecord
from carawayhub.status import ExitStatus

TRACES = Path(__file__).parent.parent / "traces"

SMALL = """\
// One entry, one engine and one desk; three calls.
{
  "about": "a small trace",
  "seconds": 0.5,
  "fleet": {
    "failure_domains": ["attica"], "entries": 1, "engines": 1, "services": 1, "step_ms": 6,
    "organisations": {"cafes": {"priority": 1}}
  },
  "arrivals": [
    [0.0, "cafes", "stream", 8],
    [0.1, "cafes", "lookup"],
    [0.2, "cafes", "booking", 0, "ticket", "attica"]
  ],
  "outcomes": [
    {"kind": "no_findings"},
    {"kind": "completed", "at_least": 1.0}%s
  ]
}
"""
MISSED = """,
    {"kind": "no_run_after", "endpoint": "engine-attica-1", "after": 0}"""


def problem_of(text: str) -> Problem:
    """Return the one problem of a trace that is refused."""
    try:
        parse_trace(text.encode(), "t.json")
    except ConfigRefusedError as exc:
        (problem,) = exc.problems
        return problem
    raise AssertionError("the trace was accepted")


class TraceFormatTest(unittest.TestCase):
    """Each fault of a trace is named by line, key and code."""

    def assert_problem(self, old: str, new: str, line: int, key: str, code: Code) -> None:
        self.assertIn(old, SMALL)
        found = problem_of((SMALL % "").replace(old, new))
        self.assertEqual((found.line, found.key, found.code), (line, key, code), str(found))

    def test_unknown_key(self) -> None:
        key = "fleet.entres"
        self.assert_problem('"entries": 1', '"entres": 1', 6, key, Code.CONFIG_UNKNOWN_KEY)

    def test_missing_key(self) -> None:
        old = '"at_least": 1.0'
        code = Code.CONFIG_MISSING_KEY
        self.assert_problem(f", {old}", "", 16, "outcomes[1]", code)

    def test_wrong_type(self) -> None:
        code = Code.CONFIG_WRONG_TYPE
        self.assert_problem("[0.1,", '["soon",', 11, "arrivals[1][0]", code)

    def test_unknown_kind_of_outcome(self) -> None:
        code = Code.CONFIG_VALUE_OUT_OF_RANGE
        self.assert_problem('"no_findings"', '"perfect"', 15, "outcomes[0].kind", code)

    def test_name_that_the_fleet_does_not_have(self) -> None:
        code = Code.CONFIG_DANGLING_REFERENCE
        self.assert_problem('[0.0, "cafes"', '[0.0, "cafe"', 10, "arrivals[0][1]", code)

    def test_time_after_the_end(self) -> None:
        code = Code.CONFIG_VALUE_OUT_OF_RANGE
        self.assert_problem("[0.1,", "[7,", 11, "arrivals[1][0]", code)

    def test_syntax(self) -> None:
        self.assert_problem('"seconds": 0.5,', '"seconds" 0.5,', 4, "", Code.CONFIG_SYNTAX)

    def test_step_that_no_process_would_accept(self) -> None:
        step = '{"at": 0.1, "file": "50.json", "content": {"endpoints": {"x": {"state": "gone"}}}}'
        key, code = "steps[0].content", Code.CONFIG_VALUE_OUT_OF_RANGE
        self.assert_problem(
            '  "outcomes"', f'  "steps": [\n    {step}],\n  "outcomes"', 15, key, code
        )

    def test_all_shipped_traces_are_accepted_and_hold_recorded_arrivals(self) -> None:
        paths = sorted(TRACES.glob("*.json"))
        self.assertGreaterEqual(len(paths), 7)
        for path in paths:
            with self.subTest(path.name):
                trace = read_trace(path)
                self.assertTrue(trace.arrivals)
                self.assertFalse(trace.load)


class RecorderTest(unittest.TestCase):
    """Arrivals are written as they came."""

    def test_arrivals_are_recorded_in_the_order_in_which_they_came(self) -> None:
        planned = [
            Arrival(0.1, "cafes", "stream", 8, Once.NO, "attica"),
            Arrival(0.2, "cafes", "booking", 0, Once.KEY),
        ]
        came = [10.4564, 10.2]
        calls = [
            PlayedCall(each, _record(began)) for each, began in zip(planned, came, strict=True)
        ]
        self.assertEqual(
            recorded(calls, 10.0),
            (
                Arrival(0.2, "cafes", "booking", 0, Once.KEY),
                Arrival(0.456, "cafes", "stream", 8, Once.NO, "attica"),
            ),
        )

    def test_random_load_is_the_same_for_one_seed(self) -> None:
        for path in sorted((TRACES / "sketches").glob("*.json")):
            with self.subTest(path.name):
                trace = read_trace(path)
                self.assertTrue(trace.load)
                self.assertEqual(arrivals_of(trace), arrivals_of(read_trace(path)))


class ReplayCommandTest(unittest.TestCase):
    """The command on a small local fleet."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def replay(self, text: str, *options: str) -> tuple[ExitStatus, str, str]:
        path = self.folder / "small.json"
        path.write_text(text)
        env = Environment(io.StringIO(), io.StringIO(), io.StringIO())
        status = main(["replay", str(path), *options], env)
        assert isinstance(env.stdout, io.StringIO) and isinstance(env.stderr, io.StringIO)
        return status, env.stdout.getvalue(), env.stderr.getvalue()

    def test_met_trace_succeeds_and_its_recording_is_a_trace(self) -> None:
        target = self.folder / "recorded.json"
        status, out, err = self.replay(SMALL % "", "--record", str(target))
        self.assertEqual((status, err), (ExitStatus.SUCCESS, ""), out)
        self.assertIn("calls: 3 completed", out)
        self.assertNotIn("MISSED", out)
        again: Trace = read_trace(target)
        asks = [(each.ask, each.once) for each in again.arrivals]
        self.assertEqual(asks, [("stream", Once.NO), ("lookup", Once.NO), ("booking", Once.TICKET)])

    def test_missed_outcome_makes_the_command_fail(self) -> None:
        status, out, _ = self.replay(SMALL % MISSED, "--json")
        result = msgspec.json.decode(out, type=ReplayResult)
        self.assertEqual(status, ExitStatus.OUTCOME_MISSED)
        self.assertEqual([each.met for each in result.outcomes], [True, True, False])

    def test_malformed_trace_starts_nothing(self) -> None:
        status, out, err = self.replay("{")
        self.assertEqual((status, out), (ExitStatus.CONFIG_REFUSED, ""))
        self.assertIn("small.json:1", err)
        self.assertIn("code 1001", err)


def _record(began: float) -> CallRecord:
    attempts = [Attempt(entry="e", request_id="r", began=began)]
    return CallRecord(caller="c", kind="k", content="d", run_once=False, attempts=attempts)
