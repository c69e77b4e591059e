"""Tells peers which requests endpoints ended under, until each has said that it heard.

The load pattern this answers: seldom a change, which all must know before the same request comes to
them, with datagrams lost, entries that start and entries that were cut off. So a datagram to a peer
carries what follows the last change that it is known to have, and nothing once it has all.
"""

from collections import deque
from collections.abc import Set
from dataclasses import dataclass, field

from carawayhub.limits.poison import EndsRow, PoisonRecords

MOST_ROWS = 32
"""Records that one datagram tells, 2 KB: all that one end usually brings. More follow in the next
ones."""

MOST_UNCONFIRMED = 64
"""Datagrams with records that may lack an answer, those of several seconds; answers to older ones
confirm nothing, and their records are told again."""


@dataclass(slots=True)
class _Cursor:
    """How far a run of a peer has been told.

    Attributes:
        run: The run.
        known: Number of the last change that it has.
        sent: Datagrams with records: their number, and that of the last change that they told.
    """

    run: str
    known: int = 0
    sent: deque[tuple[int, int]] = field(default_factory=lambda: deque(maxlen=MOST_UNCONFIRMED))


class PoisonNews:
    """What peers have been told of the records.

    Args:
        records: The records.
    """

    __slots__ = ("_cursors", "records")

    def __init__(self, records: PoisonRecords) -> None:
        self.records = records
        self._cursors: dict[str, _Cursor] = {}

    def rows_for(self, ip: str, run: str, number: int) -> list[EndsRow]:
        """Return the records that a datagram to a peer is to carry.

        Args:
            ip: The peer.
            run: Its run; one that starts anew knows nothing.
            number: Number of the datagram.
        """
        cursor = self._cursor(ip, run)
        if cursor.known >= self.records.number:
            return []
        changes = self.records.after(cursor.known, MOST_ROWS)
        cursor.sent.append((number, changes.number))
        return changes.rows

    def heard(self, ip: str, run: str, number: int) -> None:
        """Note that a peer has heard a datagram, and with it all changes up to those it told."""
        cursor = self._cursor(ip, run)
        for sent, told in cursor.sent:
            if sent == number:
                cursor.known = max(cursor.known, told)
        while cursor.sent and cursor.sent[0][0] <= number:
            cursor.sent.popleft()

    def keep(self, ips: Set[str]) -> None:
        """Drop what peers were told that are gone."""
        for ip in [each for each in self._cursors if each not in ips]:
            del self._cursors[ip]

    def _cursor(self, ip: str, run: str) -> _Cursor:
        found = self._cursors.get(ip)
        if found is None or found.run != run:
            found = self._cursors[ip] = _Cursor(run)
        return found
