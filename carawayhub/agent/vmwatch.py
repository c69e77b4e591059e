"""Which VMs the platform's list says are gone.

The list lags and may be an old copy, so a name that is missing once proves nothing. A VM counts as
gone when it was listed before, has been missing from every list for a while, and no list in that
time had shrunk so much that the list itself is to be doubted.
"""

from collections.abc import Iterable

from carawayhub.clock import Clock

ABSENT_SECONDS = 60.0
MIN_LISTED_SHARE = 0.8


class VmWatch:
    """Watches the platform's list for VMs that have gone.

    Args:
        clock: The agent's clock.
        absent_seconds: Time for which a VM must be missing.
    """

    __slots__ = ("_absent", "_absent_seconds", "_clock", "_listed", "_accepted_count")

    def __init__(self, clock: Clock, absent_seconds: float = ABSENT_SECONDS) -> None:
        self._clock = clock
        self._absent_seconds = absent_seconds
        self._listed: set[str] = set()
        self._absent: dict[str, float] = {}
        self._accepted_count = 0

    def observe(self, names: Iterable[str]) -> tuple[str, ...]:
        """Take in a list that was read; return the VMs that count as gone by now."""
        now = self._clock.monotonic()
        listed = set(names)
        if len(listed) < MIN_LISTED_SHARE * self._accepted_count:
            # A list that lost many names at once is more likely wrong than right, and stays so
            # until it has recovered: an old copy may be served for hours.
            self._absent = {}
            return ()
        self._accepted_count = len(listed)
        self._listed |= listed
        self._absent = {name: self._absent.get(name, now) for name in sorted(self._listed - listed)}
        gone = tuple(
            name for name, since in self._absent.items() if now - since >= self._absent_seconds
        )
        self._listed -= set(gone)
        return gone
