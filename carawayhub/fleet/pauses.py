"""Detects that this process was paused, and marks its views as unconfirmed until checked again.

A VM or process may be suspended and resume seconds later in the middle of a function, without any
notification. The pause is detected as a gap in a timer: a task that runs every 250 ms finds that
the clock has advanced by more than a second. ``check`` also reads the clock itself, because the
first code to run after the pause may be the code that dispatches a request.
"""

from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock

TICK_SECONDS = 0.25
MAX_GAP_SECONDS = 1.0


class View(Enum):
    """State that a process must confirm after a pause before it acts on it."""

    CONFIGURATION = "configuration"
    MEMBERSHIP = "membership"


class PauseDetector:
    """Reports whether this process was paused since its views were last confirmed.

    Args:
        clock: A clock that continues while the process is paused.
        views: Views that this process has; an agent has no membership view.
        longest_gap: Seconds between two ticks above which the process counts as paused.

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
        "_detected_at",
        "_last_tick_at",
        "_unconfirmed",
        "_views",
        "count",
        "gap",
    )

    def __init__(
        self,
        clock: Clock,
        views: frozenset[View] = frozenset({View.CONFIGURATION, View.MEMBERSHIP}),
        longest_gap: float = MAX_GAP_SECONDS,
    ) -> None:
        self._clock = clock
        self._views = views
        self._longest_gap = longest_gap
        self._last_tick_at = self._detected_at = clock.monotonic()
        self._unconfirmed: set[View] = set()
        self.count = 0
        self.gap = 0.0

    def check(self) -> bool:
        """Return whether any view is unconfirmed after a pause; call before each order."""
        self._update()
        return bool(self._unconfirmed)

    def unconfirmed(self) -> frozenset[View]:
        """Return the views that must be checked again."""
        self._update()
        return frozenset(self._unconfirmed)

    def confirm(self, view: View, count: int, proof: str = "") -> None:
        """Record that ``view`` was checked.

        Args:
            view: The view that was checked.
            count: The value of ``count`` before the check began. A check during which the
                process was paused again doesn't confirm anything and is ignored.
            proof: The evidence of the check, for the log.
        """
        self._update()
        if count != self.count or view not in self._unconfirmed:
            return
        self._unconfirmed.discard(view)
        seconds = self._clock.monotonic() - self._detected_at
        logger.bind(view=view.value, pauses=count, seconds=round(seconds, 3), proof=proof).info(
            "view confirmed after a pause"
        )

    async def run(self) -> None:
        """Tick until cancelled; without ticks an idle period would look like a pause."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            self._update()

    def _update(self) -> None:
        now = self._clock.monotonic()
        gap, self._last_tick_at = now - self._last_tick_at, now
        if gap <= self._longest_gap:
            return
        self.count += 1
        self.gap = gap
        self._unconfirmed = set(self._views)
        self._detected_at = now
        logger.bind(seconds=round(gap, 3), pauses=self.count).warning(
            "this process was paused; its views are unconfirmed until checked again"
        )
