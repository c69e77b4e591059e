"""Limits requests to engines that temporarily refuse all of them.

Handles a power loss of all VMs. Entries are up again half a second before the groups of engines,
and callers whose streams broke use their one retry in that time. If each request were forwarded at
once, it would be refused by every endpoint that it may be sent to; so a few requests are sent as
probes, and the others wait for the result.
"""

from carawayhub.clock import Clock

CLOSED_AFTER_REFUSALS = 3
"""Consecutive refusals, with no answer between them, after which engines are considered closed. One
or two may come from full engines, or from a group that lost a rank while others serve."""

PROBE_INTERVAL_SECONDS = 0.3
"""Interval between two probe requests of an entry to closed engines: a few in the 0.6 s that a
group takes to form. Retries have a budget shared by all entries, which 40 entries exceed if each
sends every refused request again after 0.35 s: 826 retries where 593 are allowed."""

MAX_WAIT_SECONDS = 1.6
"""Time from the first refusal during which requests wait for refusing engines. Groups that lost all
their ranks are available again within it; the duration of longer outages is unpredictable."""


class Refusals:
    """Refusals by one service's engines since the last answer.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_count", "_last", "_probe_at", "_since")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._count = 0
        self._since = self._last = self._probe_at = float("-inf")

    @property
    def closed(self) -> bool:
        """Whether the engines are considered to refuse all requests."""
        return self._count >= CLOSED_AFTER_REFUSALS

    @property
    def suspected(self) -> bool:
        """Whether an engine refused a request since one was last seen to run requests."""
        return self._count > 0

    def refused(self) -> bool:
        """Record a refusal; return whether it closes the engines."""
        now = self._clock.monotonic()
        if not self._count or now - self._last > MAX_WAIT_SECONDS:
            self._since = now
            self._count = 0
        self._count += 1
        self._last = now
        self._probe_at = now + PROBE_INTERVAL_SECONDS
        return self._count == CLOSED_AFTER_REFUSALS

    def answered(self) -> bool:
        """Record an answer; return whether the engines were closed before."""
        closed = self.closed
        self._count = 0
        return closed

    def sent(self) -> None:
        """Record a sent request, which delays the next probe of closed engines."""
        self._probe_at = self._clock.monotonic() + PROBE_INTERVAL_SECONDS

    def may_send(self) -> bool:
        """Return whether a request may be sent now."""
        return not self.closed or self._clock.monotonic() >= self._probe_at

    def wait_left(self) -> float:
        """Return the seconds that a request may wait for refusing engines, 0 for no wait."""
        if not self._count:
            return 0.0
        return max(0.0, self._since + MAX_WAIT_SECONDS - self._clock.monotonic())
