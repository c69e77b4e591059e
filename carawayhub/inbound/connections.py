"""The number of connections that clients may have open at a port."""

import resource
from typing import Protocol

from carawayhub.clock import Clock

STALLED_SECONDS = 1.0
"""Time without any byte after which an incomplete request gives way to a new connection."""

RESERVED_FOR_FILES = 200
"""Descriptors that the platform reserves for files."""

MAX_DESCRIPTORS = 16_384
"""Descriptors that a process uses at most where no number is stated."""


class Connection(Protocol):
    """A connection that may have to give way."""

    def give_way(self) -> None:
        """Close at once."""


class ConnectionTable:
    """The open connections of one port.

    When there are too many, one is closed for a new one: first that which has sent an incomplete
    request, or nothing, and has not moved for longest; then the one that has been idle for longest
    since its last answer. Connections whose requests are being handled stay.

    Args:
        clock: Source of time.
        max_connections: Most connections at one time.
    """

    __slots__ = ("_busy", "_clock", "_idle", "_max_connections", "_receiving")

    def __init__(self, clock: Clock, max_connections: int) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._receiving: dict[Connection, float] = {}
        """When connections that wait for a complete request have moved, the oldest first."""
        self._idle: dict[Connection, None] = {}
        self._busy: set[Connection] = set()

    def __len__(self) -> int:
        return len(self._receiving) + len(self._idle) + len(self._busy)

    def add(self, connection: Connection) -> bool:
        """Add a new connection; return False if it has to be closed itself."""
        if len(self) >= self._max_connections and not self._make_room():
            return False
        self._receiving[connection] = self._clock.monotonic()
        return True

    def moved(self, connection: Connection) -> None:
        """Note that bytes of a request have arrived."""
        if connection in self._receiving or connection in self._idle:
            self._forget(connection)
            self._receiving[connection] = self._clock.monotonic()

    def handled(self, connection: Connection) -> None:
        """Note that a complete request is being handled."""
        if self._forget(connection):
            self._busy.add(connection)

    def idle(self, connection: Connection) -> None:
        """Note that the last request of a connection was answered."""
        if self._forget(connection):
            self._idle[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closed."""
        self._forget(connection)

    def _forget(self, connection: Connection) -> bool:
        """Remove a connection; return False if it was not there."""
        before = len(self)
        self._receiving.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.discard(connection)
        return len(self) < before

    def _make_room(self) -> bool:
        """Close a connection; return False if none gives way."""
        oldest = next(iter(self._receiving), None)
        stalled_before = self._clock.monotonic() - STALLED_SECONDS
        if oldest is not None and self._receiving[oldest] < stalled_before:
            victim: Connection | None = oldest
        else:
            victim = next(iter(self._idle), oldest)
        if victim is None:
            return False
        self._forget(victim)
        victim.give_way()
        return True


def usable_descriptors(stated: int) -> int:
    """Return the descriptors for sockets.

    Args:
        stated: Descriptors that the process may use, 0 if unknown.
    """
    if stated == 0:
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        stated = MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(soft, MAX_DESCRIPTORS)
    return max(RESERVED_FOR_FILES, stated) - RESERVED_FOR_FILES
