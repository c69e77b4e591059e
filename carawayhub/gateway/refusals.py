"""Engines that refuse all requests for a moment: how often to ask again, and for how long to wait.

The load pattern this answers: all VMs lose power. Entries are up again half a second before the
groups of engines, and callers whose streams broke come back in that time with their one further
try. Sent on at once, each would be refused by as many endpoints as it may go to; so a few ask, and
the others wait for an answer to these.
"""

from carawayhub.clock import Clock

CLOSED_AFTER = 3
"""Refusals in a row, with no answer between them, after which engines count as closed. One or two
may be full, or ranks of one group that lost a rank while others serve."""

ASK_SECONDS = 0.3
"""Seconds between two requests by which an entry asks closed engines again: a few in the 0.6 s that
a group takes to form. Repeated sends have a budget for all entries: 40 of them that sent each
refused request again after 0.35 s made 826 repeated sends where 593 were allowed."""

WAIT_SECONDS = 1.6
"""Seconds from the first refusal on for which requests wait for engines that refuse. Groups that
lost all their ranks are back within that time; what takes longer may take any time."""


class Refusals:
    """The refusals of one service's engines since the last answer.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_ask_at", "_clock", "_count", "_last", "_since")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._since = self._last = self._ask_at = float("-inf")

    @property
    def closed(self) -> bool:
        """Whether engines refuse whatever they get."""
        return self._count >= CLOSED_AFTER

    def refused(self) -> bool:
        """Note a refusal; return whether engines count as closed from it on."""
        now = self._clock.monotonic()
        if not self._count or now - self._last > WAIT_SECONDS:
            self._since = now
            self._count = 0
        self._count += 1
        self._last = now
        self._ask_at = now + ASK_SECONDS
        return self._count == CLOSED_AFTER

    def answered(self) -> bool:
        """Note an answer; return whether engines were closed before."""
        closed = self.closed
        self._count = 0
        return closed

    def sent(self) -> None:
        """Note a request that was sent; to closed engines the next one goes some time later."""
        self._ask_at = self._clock.monotonic() + ASK_SECONDS

    def may_send(self) -> bool:
        """Return whether a request may be sent now."""
        return not self.closed or self._clock.monotonic() >= self._ask_at

    def wait_left(self) -> float:
        """Return for how many seconds a request may wait for engines that refuse, 0 for none."""
        if not self._count:
            return 0.0
        return max(0.0, self._since + WAIT_SECONDS - self._clock.monotonic())
