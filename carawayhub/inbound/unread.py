"""Answers that clients have not read yet."""

from typing import Protocol

MIN_TOTAL_BYTES = 16 * 1024 * 1024
"""Least memory for unread answers, so that a single answer of the largest size fits."""


class Reader(Protocol):
    """A connection whose client has to read an answer."""

    def unread_bytes(self) -> int:
        """Return the bytes that were written and not yet taken by the network."""

    def cut_answer(self) -> None:
        """Close the connection at once."""


class UnreadAnswers:
    """Bounds the memory of answers that wait to be read.

    An answer that has arrived from its endpoint is written to its caller's connection in one piece.
    When those that wait take too much, the connection that has waited for longest is cut.

    Args:
        total: Bytes for all answers together, 0 if unknown.
    """

    __slots__ = ("_total", "_waiting")

    def __init__(self, total: int) -> None:
        self._total = max(total, MIN_TOTAL_BYTES)
        self._waiting: dict[Reader, None] = {}
        """Connections whose clients do not keep up, that which has waited for longest first."""

    def add(self, reader: Reader) -> None:
        """Add a connection whose client does not keep up; this may cut others."""
        self._waiting[reader] = None
        used = self.used()
        for each in list(self._waiting):
            if used <= self._total or each is reader:
                return
            used -= each.unread_bytes()
            self.remove(each)
            each.cut_answer()

    def remove(self, reader: Reader) -> None:
        """Remove a connection whose client has caught up, or which is closed."""
        self._waiting.pop(reader, None)

    def used(self) -> int:
        """Return the bytes that wait to be read."""
        return sum(each.unread_bytes() for each in self._waiting)
