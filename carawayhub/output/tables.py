"""Plain-text tables for people."""

from collections.abc import Iterable, Sequence
from typing import TextIO

COLUMN_GAP = "  "


def write_table(stream: TextIO, headers: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Write a table with numeric columns aligned right and all others aligned left.

    Example:
        >>> import sys
        >>> write_table(sys.stdout, ("endpoint", "running"), [("brest-1", 3), ("brest-2", 12)])
        endpoint  running
        brest-1         3
        brest-2        12
    """
    held = [list(row) for row in rows]
    texts = [[_text(cell) for cell in row] for row in held]
    widths = [max(map(len, column)) for column in zip(headers, *texts, strict=True)]
    right = [_is_numeric(column) for column in zip(*held, strict=True)] or [False] * len(headers)
    for line in [list(headers), *texts]:
        cells = (
            cell.rjust(width) if to_right else cell.ljust(width)
            for cell, width, to_right in zip(line, widths, right, strict=True)
        )
        stream.write(COLUMN_GAP.join(cells).rstrip() + "\n")


def _text(cell: object) -> str:
    if cell is None:
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, float):
        return f"{cell:g}"
    # A line break within a cell would break the table.
    return " ".join(str(cell).splitlines())


def _is_numeric(column: Sequence[object]) -> bool:
    return all(
        isinstance(cell, int | float) and not isinstance(cell, bool)
        for cell in column
        if cell is not None
    )
