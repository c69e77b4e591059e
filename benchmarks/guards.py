"""Shows that each guard matters: takes one out at a time and runs the test that belongs to it.

A guard is taken out of the daemons by ``tests.unguarded``, in their processes only. It counts as
caught when its test ran and failed; a fleet that did not even start proves nothing.

Run ``python -m benchmarks.guards [--json] [GUARD ...]``; without names all guards are taken out in
turn, which takes some eight minutes.
"""

import json
import os
import sys
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass

from benchmarks.guard_cases import CASES, GuardCase
from carawayhub.output.tables import write_table
from tests.unguarded import VARIABLE

LONGEST_REPORT = 150
NOT_STARTED = "setUpClass"


@dataclass(frozen=True, slots=True)
class GuardRow:
    """What came of taking a guard out.

    Attributes:
        promise: What it keeps.
        guard: Its name.
        what: What it does.
        test: The test that was run.
        caught: Whether the test ran and failed.
        report: What the test said.
    """

    promise: str
    guard: str
    what: str
    test: str
    caught: bool
    report: str


def run(cases: tuple[GuardCase, ...] = CASES) -> Iterator[GuardRow]:
    """Take each guard out in turn and yield what its test reported."""
    for case in cases:
        with _without(case.guard):
            caught, report = _run_test(f"tests.{case.test}")
        yield GuardRow(case.promise, case.guard, case.what, case.test, caught, report)


def main(argv: list[str]) -> int:
    """Print the table, or JSON with ``--json``; 1 where a guard was not missed."""
    names = {name for name in argv if name != "--json"}
    unknown = names - {case.guard for case in CASES}
    if unknown:
        print(f"no such guard: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    chosen = tuple(case for case in CASES if not names or case.guard in names)
    rows = list(run(chosen))
    if "--json" in argv:
        print(json.dumps([asdict(row) for row in rows], indent=2))
    else:
        cells = ((r.promise, r.guard, r.test, r.caught, r.report) for r in rows)
        write_table(sys.stdout, ("promise", "guard", "test", "caught", "report"), cells)
    return 0 if all(row.caught for row in rows) else 1


@contextmanager
def _without(guard: str) -> Iterator[None]:
    os.environ[VARIABLE] = guard
    try:
        yield
    finally:
        del os.environ[VARIABLE]


def _run_test(name: str) -> tuple[bool, str]:
    """Return whether a test ran and failed, and the last line of what it said."""
    result = unittest.TestResult()
    unittest.defaultTestLoader.loadTestsFromName(name).run(result)
    broken = [*result.failures, *result.errors]
    if not broken:
        return False, "it passed"
    test, text = broken[0]
    started = NOT_STARTED not in test.id() and result.testsRun > 0
    return started, _told(text) if started else f"did not start: {_told(text)}"


def _told(text: str) -> str:
    """Return the line of a traceback that names the failure."""
    lines = [line.strip(" |") for line in text.splitlines()]
    named = [line for line in lines if "Error: " in line and not line.startswith("asyncio")]
    return (named or lines)[0 if named else -1][:LONGEST_REPORT]


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
