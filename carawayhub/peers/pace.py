"""When the next datagram may go out, so that a burst does not overrun a slow link.

The load pattern this answers: one agent that asks 63 others for the same thing at one moment, over
a link of 3 Mbit/s. The questions, or the answers that come back together, fill the queue before the
link, the last ones are late or dropped, and whoever waits for them gives up.
"""

from carawayhub.clock import Clock

LINK_PART = 0.7
"""Part of the link's rate that questions and their answers may fill; the rest is for orders to the
rank and for what other agents ask of this one."""

BURST_SECONDS = 0.02
"""Seconds of the link's rate that may go out at once: a small group waits for nothing."""

DATAGRAM_HEAD = 60
"""Bytes that a datagram takes on the link beside its content."""


class LinkPace:
    """Spreads the datagrams of one link over time.

    Args:
        clock: Source of time.
        rate: Bytes a second that the link carries, 0 where that is not known.
    """

    __slots__ = ("_clock", "_free_at", "_rate")

    def __init__(self, clock: Clock, rate: float) -> None:
        self._clock = clock
        self._rate = rate * LINK_PART
        self._free_at = float("-inf")

    def delay(self, size: int) -> float:
        """Take the time for ``size`` bytes on the link; return the seconds until it begins."""
        if self._rate <= 0.0:
            return 0.0
        now = self._clock.monotonic()
        begins_at = max(self._free_at, now - BURST_SECONDS)
        self._free_at = begins_at + (size + DATAGRAM_HEAD) / self._rate
        return max(0.0, begins_at - now)
