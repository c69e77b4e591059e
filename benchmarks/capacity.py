"""What each role spends at today's and at the planned size, from fresh measurements.

``python -m benchmarks.capacity`` measures the slopes, works out the table of docs/CAPACITY.md from
them, and names each figure where the page and the measurement differ by more than a third; the exit
status is then 1.
"""

import json
import sys
from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.capacity_counts import PLANNED, TODAY
from benchmarks.capacity_model import (
    Slopes,
    Term,
    Total,
    Weighed,
    reads,
    terms,
    totals,
    watchers,
    weigh,
)
from benchmarks.capacity_slopes import measure

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
FACTOR = 4 / 3
SMALL = {"percent": 0.05, "kilobytes": 0.5, "mib": 1.0}
BOUNDS = {"percent": 1.2, "kilobytes": 30.0, "mib": 64.0}
UNITS = {"percent": "% of a core", "kilobytes": "KB/s", "mib": "MiB"}
CELLS = 5
HEADER = "| size | role | % of a core | KB/s | MiB |"


@dataclass(slots=True)
class Result:
    """All that was measured and worked out."""

    slopes: Slopes
    terms: dict[str, list[Term]]
    totals: list[Total]
    weighed: list[Weighed]
    reads: float
    watchers: int
    differences: list[str]


def run(page: Path = PAGE) -> Result:
    """Measure, work out, and compare with a page."""
    slopes = measure()
    found = {size.name: terms(size, slopes) for size in (TODAY, PLANNED)}
    sums = [row for size in (TODAY, PLANNED) for row in totals(size, found[size.name])]
    stated = read_page(page.read_text()) if page.exists() else []
    return Result(
        slopes=slopes,
        terms=found,
        totals=sums,
        weighed=weigh(slopes),
        reads=round(reads(PLANNED), 1),
        watchers=watchers(PLANNED),
        differences=list(compare(stated, sums)),
    )


def read_page(text: str) -> list[Total]:
    """Return the rows of the page's table of totals.

    Example:
        >>> read_page("| today | agent | 1.5 | 5 | 57 |")
        [Total(size='today', role='agent', percent=1.5, kilobytes=5.0, mib=57.0)]
    """
    rows = []
    for line in text.splitlines():
        cells = [cell.strip() for cell in line.strip().strip("|").split("|")]
        if len(cells) == CELLS and cells[0] in (TODAY.name, PLANNED.name):
            rows.append(Total(cells[0], cells[1], *(float(cell) for cell in cells[2:])))
    return rows


def compare(stated: Sequence[Total], measured: Sequence[Total]) -> Iterator[str]:
    """Yield each figure that differs by more than a third, and each that one side lacks."""
    said = {(row.size, row.role): row for row in stated}
    for row in measured:
        before = said.pop((row.size, row.role), None)
        if before is None:
            yield f"{row.size}, {row.role}: not on the page"
            continue
        for field, unit in UNITS.items():
            old, new = getattr(before, field), getattr(row, field)
            if max(old, new) > SMALL[field] and max(old, new) > FACTOR * min(old, new):
                yield f"{row.size}, {row.role}: {old:g} {unit} on the page, {new:g} measured"
    for size, role in said:
        yield f"{size}, {role}: on the page, not measured"


def write_tables(result: Result) -> Iterator[str]:
    """Yield the tables as the page has them."""
    yield HEADER
    yield "|---|---|---:|---:|---:|"
    for row in result.totals:
        figures = f"{row.percent:.2f} | {row.kilobytes:.1f} | {row.mib:.0f}"
        yield f"| {row.size} | {row.role} | {figures} |"
    for size, found in result.terms.items():
        yield ""
        yield f"{size}:"
        yield ""
        yield "| role | what | carried by | a second | µs each | % of a core | KB/s | MiB |"
        yield "|---|---|---|---:|---:|---:|---:|---:|"
        for term in found:
            yield (
                f"| {term.role} | {term.what} | `{term.module}` | {term.rate:.3g} | {term.us:.0f} "
                f"| {term.percent:.2f} | {term.kilobytes:.1f} | {term.kib / 1024:.1f} |"
            )
    yield ""
    yield "| links_per_agent | permit_ttl_s | links | heartbeat s | % of a core | KB/s |"
    yield "|---:|---:|---:|---:|---:|---:|"
    for each in result.weighed:
        yield (
            f"| {each.links_per_agent} | {each.permit_ttl:g} | {each.links:.0f} | {each.beat:.2f} "
            f"| {each.percent:.2f} | {each.kilobytes:.1f} |"
        )


def main(argv: list[str]) -> int:
    """Print tables and differences, or JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
    else:
        print("\n".join(write_tables(result)))
        print(f"\nwatchers {result.watchers}, reads/s {result.reads} of 2000")
        print("\nslopes:")
        for name, value in result.slopes.items():
            print(f"{name:<58}{value:>12.2f}")
        for line in result.differences:
            print(f"differs by more than a third: {line}")
    return 1 if result.differences else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
