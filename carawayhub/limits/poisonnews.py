"""Announces poison records to peers until each has acknowledged them.

Changes are rare, but every peer must receive them before the same request reaches it, although
datagrams are lost and entries start or were cut off. Each datagram to a peer therefore carries the
changes after the last one that the peer has acknowledged, and none once it has all.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field

from carawayhub.limits.evidence import EndsRow
from carawayhub.limits.poison import PoisonRecords

MAX_ROWS = 32
"""Records in one datagram, 2 KB: usually all that one end produces. The rest follow in later
datagrams."""

MAX_UNCONFIRMED = 64
"""Unacknowledged datagrams remembered per peer, covering several seconds; acknowledgements of older
ones are ignored, and their records are sent again."""


@dataclass(slots=True)
class _Cursor:
    """Which changes a run of a peer has acknowledged.

    Attributes:
        run: The run.
        known: Number of the last change that it has.
        sent: Datagrams with records, each with its number and that of the last change it carried.
    """

    run: str
    known: int = 0
    sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MAX_UNCONFIRMED))


class PoisonUpdates:
    """Tracks which records each peer has received.

    Args:
        records: The records.
    """

    __slots__ = ("_cursors", "records")

    def __init__(self, records: PoisonRecords) -> None:
        self.records = records
        self._cursors: dict[str, _Cursor] = {}

    def rows_for(self, ip: str, run: str, number: int) -> list[EndsRow]:
        """Return the records to include in a datagram to a peer.

        Args:
            ip: The peer.
            run: Its run; a new run has no records.
            number: Number of the datagram.
        """
        cursor = self._cursor(ip, run)
        if cursor.known >= self.records.number:
            return []
        changes = self.records.after(cursor.known, MAX_ROWS)
        cursor.sent.append((number, changes.number))
        return changes.rows

    def acknowledge(self, ip: str, run: str, number: int) -> None:
        """Record that a peer has received a datagram and all changes up to those it carried."""
        cursor = self._cursor(ip, run)
        for sent, last_change in cursor.sent:
            if sent == number:
                cursor.known = max(cursor.known, last_change)
        while cursor.sent and cursor.sent[0][0] <= number:
            cursor.sent.popleft()

    def retain(self, ips: Set[str]) -> None:
        """Drop the state of peers that are gone."""
        for ip in [each for each in self._cursors if each not in ips]:
            del self._cursors[ip]

    def _cursor(self, ip: str, run: str) -> _Cursor:
        found = self._cursors.get(ip)
        if found is None or found.run != run:
            found = self._cursors[ip] = _Cursor(run)
        return found
