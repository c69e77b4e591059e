"""How many states the exhaustive check of the map change visits, and what it finds.

    python -m benchmarks.map_search [--json]

``map_states`` says what is searched and checked. The exit code is 1 where a property is broken.
"""

import argparse
import sys
from dataclasses import dataclass

import msgspec

from benchmarks.map_model import Found, Setup, obey_checked, obey_unchecked
from benchmarks.map_states import search


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One line of the table.

    Attributes:
        ranks: Ranks of the group.
        fencing: Whether the engines check fencing numbers.
        proposes: Whether the second decider makes a change of its own.
        steps: Steps searched; the first is the one that a change is for.
        found: The result.
    """

    ranks: int
    fencing: bool
    proposes: bool
    steps: int
    found: Found


CASES = (
    (2, True, 2, True),
    (2, True, 2, False),
    (3, True, 1, True),
    (3, True, 1, False),
    (3, False, 2, True),
)


def run() -> list[Row]:
    """Search all cases."""
    rows = []
    for ranks, proposes, steps, fencing in CASES:
        rules = obey_checked if fencing else obey_unchecked
        found = search(Setup(ranks=ranks, obey=rules, proposes=proposes, last_step=steps))
        rows.append(Row(ranks=ranks, fencing=fencing, proposes=proposes, steps=steps, found=found))
    return rows


def main(argv: list[str] | None = None) -> int:
    """Print the table; exit with 1 where a property is broken."""
    parser = argparse.ArgumentParser(prog="benchmarks.map_search")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    rows = run()
    if args.json:
        print(msgspec.json.encode(rows).decode())
    else:
        _print_table(rows)
    return int(any(row.found.two_maps or row.found.stuck for row in rows))


def _print_table(rows: list[Row]) -> None:
    print("ranks fencing 2nd-proposes steps   states    edges two-maps stuck  cpu-s")
    for row in rows:
        found = row.found
        print(
            f"{row.ranks:5} {row.fencing!s:7} {row.proposes!s:12} {row.steps:5} "
            f"{found.states:8} {found.edges:8} {found.two_maps:8} {found.stuck:5} "
            f"{found.seconds:6}"
        )


if __name__ == "__main__":
    sys.exit(main())
