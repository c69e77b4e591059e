"""State that all servers of a process share."""

from carawayhub.clock import Clock
from carawayhub.inbound.memory import RequestMemory
from carawayhub.inbound.refusals import RefusalCounts

REQUEST_MEMORY_PART = 8
"""Part of the memory of the machine that requests may take. The memory that bodies occupy is about
twice their size, since the parts of many bodies alternate in the heap while they arrive."""


class Inbound:
    """What clients of all ports of a process use together.

    Args:
        clock: Source of time.
        memory: Bytes of memory that the process may use, 0 if unknown.

    Attributes:
        refusals: Counts refused clients.
        memory: Memory of unanswered requests.
    """

    __slots__ = ("memory", "refusals")

    def __init__(self, clock: Clock, memory: int = 0) -> None:
        self.refusals = RefusalCounts(clock)
        self.memory = RequestMemory(clock, memory // REQUEST_MEMORY_PART)

    def metrics(self) -> str:
        """Return all metrics as text."""
        lines = [
            *self.refusals.lines(),
            "# TYPE carawayhub_inbound_request_bytes gauge",
            f"carawayhub_inbound_request_bytes {self.memory.used}",
        ]
        return "\n".join(lines) + "\n"
