"""Detects VMs that are gone according to the platform's list.

The list lags and may be an old copy, so a name that is missing once proves nothing. A VM counts as
gone if it was listed before, has since been missing from every list for a while, and no list in
that time had shrunk so much that it was probably wrong.
"""

from collections.abc import Iterable

from carawayhub.clock import Clock

ABSENT_SECONDS = 60.0
MIN_LISTED_SHARE = 0.8


class VmWatch:
    """Compares successive lists of the platform to detect VMs that are gone.

    Args:
        clock: The agent's clock.
        absent_seconds: Seconds for which a VM must be missing.
    """

    __slots__ = ("_absent", "_absent_seconds", "_accepted_count", "_clock", "_listed")

    def __init__(self, clock: Clock, absent_seconds: float = ABSENT_SECONDS) -> None:
        self._clock = clock
        self._absent_seconds = absent_seconds
        self._listed: set[str] = set()
        self._absent: dict[str, float] = {}
        self._accepted_count = 0

    def observe(self, names: Iterable[str]) -> tuple[str, ...]:
        """Process a list; return the VMs that now count as gone."""
        now = self._clock.monotonic()
        listed = set(names)
        if len(listed) < MIN_LISTED_SHARE * self._accepted_count:
            # A list that lost many names at once is probably wrong. Lists are ignored until one is
            # large enough again, since an old copy may be served for hours.
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
