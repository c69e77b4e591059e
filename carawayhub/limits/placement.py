"""Which entries divide an organisation's limits among them, and which its callers are sent to.

Few entries form one cell. Many form cells of about ``CELL_ENTRIES``, and each organisation has as
many cells as its rate needs. Entries exchange demand within their cell only, so what an entry
sends does not grow with the fleet, and a surge of one organisation meets a part of it. All of it
follows from names and limits alone, so all processes agree without a message.
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
    """An entry's place in the division of one organisation's limits.

    Attributes:
        members: The entries that divide ``part`` among them.
        part: Part of the limits, from 0 to 1.
    """

    members: frozenset[str]
    part: float


class Cells:
    """The entries of a fleet, sorted into cells.

    Attributes:
        entries: All of them.
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
        """Return the entries that an organisation's callers are best sent to."""
        cells = self._cells_for(organisation, rate)
        return frozenset().union(*(self._members[cell] for cell in cells))

    def placement(self, entry: str, organisation: str, rate: float) -> Placement:
        """Return an entry's place in the division of an organisation's limits.

        An organisation with several cells has its limits divided among them by their sizes. An
        entry outside has a small fixed part to itself: a caller that did not name itself may come
        to any entry, which must not refuse it outright.
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
        """Return an entry's cell; of a larger fleet only what fills a new cell moves."""
        seed = name_seed(entry)
        return max(range(self.count), key=lambda cell: rendezvous_rank(f"cell-{cell}", seed))

    def _cells_for(self, organisation: str, rate: float) -> list[int]:
        key = name_seed(organisation)
        wanted = math.ceil(rate / (RATE_PER_ENTRY * ENTRIES_PER_CELL))
        ranked = sorted(
            self._members, key=lambda cell: rendezvous_rank(f"cell-{cell}", key), reverse=True
        )
        return ranked[: max(1, wanted)]
