"""Runs all measurements one after the other and prints one table: ``make bench``.

Each runs as ``python -m benchmarks.NAME --json`` in a process of its own, so that none changes the
memory or the caches of the next. ``python -m benchmarks NAME ...`` runs only those named.
"""

import json
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

from carawayhub.output.tables import write_table

NAMES = (
    "configuration",
    "routing",
    "limits",
    "overload",
    "group_load",
    "ledger",
    "dissemination",
    "membership",
    "links",
    "rebalance",
    "expert_shift",
    "relay",
)
TIMEOUT = 150.0
DIGITS = 4


def main(argv: list[str]) -> int:
    """Run the measurements and return 0 if all of them ended well."""
    names = argv or list(NAMES)
    rows: list[tuple[str, str, str]] = []
    failed = 0
    for name in names:
        began = time.monotonic()
        result = _run(name)
        seconds = time.monotonic() - began
        if result is None:
            failed += 1
            rows.append((name, "failed", f"seconds={seconds:.0f}"))
            continue
        rows.append((name, "whole run", f"seconds={seconds:.0f}"))
        rows.extend((name, case, figures) for case, figures in _rows(result, ""))
    write_table(sys.stdout, ("measurement", "case", "figures"), rows)
    return 1 if failed else 0


def _run(name: str) -> Any:
    command = [sys.executable, "-m", f"benchmarks.{name}", "--json"]
    try:
        done = subprocess.run(command, capture_output=True, timeout=TIMEOUT, check=False)
    except subprocess.TimeoutExpired:
        sys.stderr.write(f"{name}: not ended after {TIMEOUT:.0f} s\n")
        return None
    if done.returncode != 0:
        sys.stderr.write(f"{name}: status {done.returncode}\n{done.stderr.decode()[-2000:]}\n")
        return None
    return json.loads(done.stdout)


def _rows(value: Any, case: str) -> Iterator[tuple[str, str]]:
    """Yield a case and its figures for each object that holds numbers."""
    if isinstance(value, list):
        for item in value:
            yield from _rows(item, case)
        return
    if not isinstance(value, dict):
        return
    words = [str(item) for item in value.values() if isinstance(item, str | bool)]
    label = " ".join([case, *words]).strip()
    figures = [f"{key}={_short(item)}" for key, item in value.items() if _is_number(item)]
    if figures:
        yield label, " ".join(figures)
    for key, item in value.items():
        if isinstance(item, list | dict):
            yield from _rows(item, f"{label} {key}".strip())


def _is_number(item: Any) -> bool:
    return isinstance(item, int | float) and not isinstance(item, bool)


def _short(number: float) -> str:
    return f"{number:.{DIGITS}g}" if isinstance(number, float) else str(number)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
