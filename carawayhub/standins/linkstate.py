"""Which fault holds for which connection of a link, and when."""

import random

import anyio

from carawayhub.clock import SystemClock
from carawayhub.standins.faults import LinkFault


class LinkState:
    """The faults of one link.

    Args:
        seed: Seed of the jitter.

    Attributes:
        changed: Set when a fault changes; replaced each time.
    """

    __slots__ = ("_by_source", "_clock", "_fault", "_random", "changed")

    def __init__(self, seed: str) -> None:
        self.changed = anyio.Event()
        self._fault = LinkFault()
        self._by_source: dict[str, LinkFault] = {}
        self._clock = SystemClock()
        self._random = random.Random(seed)

    @property
    def refuses_all(self) -> bool:
        """Whether no source may connect."""
        return self._fault.refuse

    def fault_of(self, source: str) -> LinkFault:
        """Return the fault that holds for connections from an IP number."""
        return self._by_source.get(source, self._fault)

    def set_fault(self, fault: LinkFault, source: str = "") -> None:
        """Replace the fault for one source address, or for all that have none of their own."""
        if source:
            self._by_source[source] = fault
        else:
            self._fault = fault
        self.notify()

    def clear(self) -> None:
        """Take all faults away."""
        self._fault = LinkFault()
        self._by_source.clear()
        self.notify()

    def notify(self) -> None:
        """Wake all that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()

    def due(self, fault: LinkFault) -> float:
        """Return when a piece that was read now is to be delivered."""
        delay = fault.delay_ms + self._random.random() * fault.jitter_ms
        return self._clock.monotonic() + delay / 1000

    async def sleep_until(self, due: float) -> None:
        """Sleep until the clock reads ``due``."""
        remaining = due - self._clock.monotonic()
        if remaining > 0:
            await anyio.sleep(remaining)
