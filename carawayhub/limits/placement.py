"""Determines which entries divide an organisation's limits and which its callers are sent to.

A small fleet forms one cell. A larger one forms cells of about ``ENTRIES_PER_CELL`` entries, and
each organisation gets as many cells as its rate requires. Entries exchange demand within their cell
only, so the messages of an entry do not grow with the fleet, and a surge of one organisation
affects only some of the entries. The result depends only on names and limits, so all processes
agree without messages.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from carawayhub.routing.prefixes import name_seed, rendezvous_rank

ENTRIES_PER_CELL = 16
MAX_SINGLE_CELL_ENTRIES = 24
RATE_PER_ENTRY = 10.0
OUTSIDE_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class Placement:
    """An entry's position in the division of one organisation's limits.

    Attributes:
        members: The entries that divide ``part`` among themselves.
        part: Fraction of the limits, from 0 to 1.
    """

    members: frozenset[str]
    part: float


class Cells:
    """Assigns the entries of a fleet to cells.

    Attributes:
        entries: All entries.
        count: Number of cells.
    """

    __slots__ = ("_cell_of", "_members", "count", "entries")

    def __init__(self, entries: Collection[str]) -> None:
        self.entries = frozenset(entries)
        many = len(self.entries) > MAX_SINGLE_CELL_ENTRIES
        self.count = math.ceil(len(self.entries) / ENTRIES_PER_CELL) if many else 1
        self._cell_of = {name: self._find_cell(name) for name in self.entries}
        self._members: dict[int, frozenset[str]] = {
            cell: frozenset(name for name, own in self._cell_of.items() if own == cell)
            for cell in set(self._cell_of.values())
        }

    def neighbours(self, entry: str) -> frozenset[str]:
        """Return the other entries of an entry's cell."""
        return self._members[self._cell_of[entry]] - {entry}

    def entries_for(self, organisation: str, rate: float) -> frozenset[str]:
        """Return the preferred entries for an organisation's callers."""
        cells = self._cells_for(organisation, rate)
        return frozenset().union(*(self._members[cell] for cell in cells))

    def placement(self, entry: str, organisation: str, rate: float) -> Placement:
        """Return an entry's placement in the division of an organisation's limits.

        The limits of an organisation with several cells are divided in proportion to cell size. An
        entry outside these cells has a small fixed share of its own: a caller that did not identify
        itself may reach any entry, which must not reject it outright.
        """
        cells = self._cells_for(organisation, rate)
        inside = sum(len(self._members[cell]) for cell in cells)
        outside = len(self.entries) - inside
        own = self._cell_of[entry]
        if own not in cells:
            return Placement(frozenset((entry,)), OUTSIDE_FRACTION / outside)
        part = 1.0 if outside == 0 else 1.0 - OUTSIDE_FRACTION
        members = self._members[own]
        return Placement(members, part * len(members) / inside)

    def _find_cell(self, entry: str) -> int:
        """Return an entry's cell; if a cell is added, only the entries that fill it move."""
        seed = name_seed(entry)
        return max(range(self.count), key=lambda cell: rendezvous_rank(f"cell-{cell}", seed))

    def _cells_for(self, organisation: str, rate: float) -> list[int]:
        key = name_seed(organisation)
        wanted = math.ceil(rate / (RATE_PER_ENTRY * ENTRIES_PER_CELL))
        ranked = sorted(
            self._members, key=lambda cell: rendezvous_rank(f"cell-{cell}", key), reverse=True
        )
        return ranked[: max(1, wanted)]
