"""State that all servers of a process share."""

from carawayhub.clock import Clock
from carawayhub.inbound.connections import ConnectionTable, usable_descriptors
from carawayhub.inbound.memory import RequestMemory
from carawayhub.inbound.refusals import RefusalCounts
from carawayhub.inbound.unread import UnreadAnswers

CALLERS = "callers"
"""Name of the port for requests."""

CALLER_SHARE = 0.375
"""Share of the descriptors for connections of callers. As many are left for connections to
endpoints, since a request in flight takes one of each, and some for the store and peers."""

OTHER_SHARE = 0.0625
"""Share of the descriptors for connections to each of up to three other ports."""

MIN_CONNECTIONS = 4
"""Least connections of a port, for a health check, an operator and some more."""

REQUEST_MEMORY_PART = 8
"""Part of the memory of the machine that requests may take. The memory that bodies occupy is about
twice their size, since the parts of many bodies alternate in the heap while they arrive."""

UNREAD_MEMORY_PART = 8
"""Part of the memory of the machine that answers may take while they wait to be read."""


class Inbound:
    """What clients of all ports of a process use together.

    Args:
        clock: Source of time.
        memory: Bytes of memory that the process may use, 0 if unknown.
        descriptors: Files and sockets that the process may have open, 0 if unknown.

    Attributes:
        refusals: Counts refused clients.
        memory: Memory of unanswered requests.
        unread: Answers that clients have not read yet.
    """

    __slots__ = ("_clock", "_descriptors", "_tables", "memory", "refusals", "unread")

    def __init__(self, clock: Clock, memory: int = 0, descriptors: int = 0) -> None:
        self._clock = clock
        self._descriptors = usable_descriptors(descriptors)
        self._tables: dict[str, ConnectionTable] = {}
        self.refusals = RefusalCounts(clock)
        self.memory = RequestMemory(clock, memory // REQUEST_MEMORY_PART)
        self.unread = UnreadAnswers(memory // UNREAD_MEMORY_PART)

    def connections(self, port: str) -> ConnectionTable:
        """Return the connections of a port, which other ports do not displace."""
        table = self._tables.get(port)
        if table is None:
            share = CALLER_SHARE if port == CALLERS else OTHER_SHARE
            most = max(MIN_CONNECTIONS, int(self._descriptors * share))
            table = self._tables[port] = ConnectionTable(self._clock, most)
        return table

    def metrics(self) -> str:
        """Return all metrics as text."""
        lines = [
            *self.refusals.lines(),
            "# TYPE carawayhub_inbound_request_bytes gauge",
            f"carawayhub_inbound_request_bytes {self.memory.used}",
            "# TYPE carawayhub_inbound_unread_answer_bytes gauge",
            f"carawayhub_inbound_unread_answer_bytes {self.unread.used()}",
            "# TYPE carawayhub_inbound_connections gauge",
            *(
                f'carawayhub_inbound_connections{{port="{port}"}} {len(table)}'
                for port, table in sorted(self._tables.items())
            ),
        ]
        return "\n".join(lines) + "\n"
