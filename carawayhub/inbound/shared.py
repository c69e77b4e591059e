"""State that all servers of a process share."""

from carawayhub.clock import Clock
from carawayhub.inbound.refusals import RefusalCounts


class Inbound:
    """What clients of all ports of a process use together.

    Args:
        clock: Source of time.

    Attributes:
        refusals: Counts refused clients.
    """

    __slots__ = ("refusals",)

    def __init__(self, clock: Clock) -> None:
        self.refusals = RefusalCounts(clock)

    def metrics(self) -> str:
        """Return all metrics as text."""
        return "\n".join(self.refusals.lines()) + "\n"
