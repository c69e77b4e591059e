"""Notices that this process was paused, and keeps a stale view from being used unchecked.

A VM may be suspended or a process stopped, and go on seconds later in the middle of a function.
Nothing tells it. What it sees is a gap in its own timer: a task that ticks each 250 ms finds that
the clock has moved by more than a second. ``check`` looks at the clock itself as well, because the
code that goes on first after the pause may be the one that dispatches a request.
"""

from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock

TICK = 0.25
LONGEST_GAP = 1.0


class View(Enum):
    """What a process must check again after a pause, before it acts on it."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"


class PauseDetector:
    """Tells whether this process was paused since its views were last confirmed.

    Args:
        clock: A clock that runs on while the process is paused.
        views: What this process holds; an agent knows of no other members.
        longest_gap: Seconds between two ticks above which it was paused.

    Example:
        >>> from carawayhub.clock import ManualClock
        >>> clock = ManualClock()
        >>> pauses = PauseDetector(clock, frozenset({View.CONFIGURATION}))
        >>> clock.advance(20)
        >>> pauses.check()
        True
        >>> pauses.confirm(View.CONFIGURATION, pauses.count)
        >>> pauses.check()
        False
    """

    __slots__ = (
        "_clock",
        "_longest_gap",
        "_noticed_at",
        "_seen_at",
        "_unconfirmed",
        "_views",
        "count",
        "gap",
    )

    def __init__(
        self,
        clock: Clock,
        views: frozenset[View] = frozenset({View.CONFIGURATION, View.MEMBERSHIP}),
        longest_gap: float = LONGEST_GAP,
    ) -> None:
        self._clock = clock
        self._views = views
        self._longest_gap = longest_gap
        self._seen_at = self._noticed_at = clock.monotonic()
        self._unconfirmed: set[View] = set()
        self.count = 0
        self.gap = 0.0

    def check(self) -> bool:
        """Return whether there is anything that a pause put in doubt; call before each order."""
        self._look()
        return bool(self._unconfirmed)

    def unconfirmed(self) -> frozenset[View]:
        """Return what must be checked again."""
        self._look()
        return frozenset(self._unconfirmed)

    def confirm(self, view: View, count: int, proof: str = "") -> None:
        """Note that ``view`` was checked.

        Args:
            view: What was checked.
            count: The value of ``count`` before the check began. A check that itself was paused
                half way says nothing of the time after, and is not taken.
            proof: What it was checked by, for the log.
        """
        self._look()
        if count != self.count or view not in self._unconfirmed:
            return
        self._unconfirmed.discard(view)
        seconds = self._clock.monotonic() - self._noticed_at
        logger.bind(view=view.value, pauses=count, seconds=round(seconds, 3), proof=proof).info(
            "checked again after a pause"
        )

    async def run(self) -> None:
        """Tick until cancelled; without ticks each quiet spell would look like a pause."""
        while True:
            await anyio.sleep(TICK)
            self._look()

    def _look(self) -> None:
        now = self._clock.monotonic()
        gap, self._seen_at = now - self._seen_at, now
        if gap <= self._longest_gap:
            return
        self.count += 1
        self.gap = gap
        self._unconfirmed = set(self._views)
        self._noticed_at = now
        logger.bind(seconds=round(gap, 3), pauses=self.count).warning(
            "this process was paused: what it knows is in doubt"
        )
