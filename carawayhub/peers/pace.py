"""Paces outgoing datagrams so that a burst does not overrun a slow link.

For example, one agent asks 63 others for the same data at once over a link of 3 Mbit/s. The
questions, or the answers that arrive together, fill the queue in front of the link. The last ones
are late or dropped, and the tasks that wait for them time out.
"""

from carawayhub.clock import Clock

LINK_SHARE = 0.7
"""Share of the link's rate for questions and their answers. The rest is reserved for orders to the
rank and for questions from other agents."""

BURST_SECONDS = 0.02
"""Burst size in seconds of the link's rate; it lets a small group send without delay."""

DATAGRAM_OVERHEAD_BYTES = 60
"""Bytes of overhead that each datagram adds on the link."""


class LinkPacer:
    """Spreads the datagrams of one link over time.

    Args:
        clock: Source of time.
        rate: Capacity of the link in bytes per second, 0 if unknown.
    """

    __slots__ = ("_clock", "_free_at", "_rate")

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate * LINK_SHARE
        self._free_at = float("-inf")

    def delay(self, size: int) -> float:
        """Reserve link time for ``size`` bytes; return the seconds until it begins."""
        if self._rate <= 0.0:
            return 0.0
        now = self._clock.monotonic()
        begins_at = max(self._free_at, now - BURST_SECONDS)
        self._free_at = begins_at + (size + DATAGRAM_OVERHEAD_BYTES) / self._rate
        return max(0.0, begins_at - now)
