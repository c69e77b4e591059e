"""A limit on concurrency that follows how long requests wait for their first byte."""

import math
from collections.abc import Callable

WINDOW_SECONDS = 0.25
MIN_SAMPLES = 4
LOW_QUANTILE = 0.25
INITIAL_LIMIT = 8.0
MIN_LIMIT = 4.0
ALLOWED_WAIT_SECONDS = 0.2
ALLOWED_WAIT_FACTOR = 3.0
MIN_CUT_FACTOR = 0.85
GROWTH_FRACTION = 0.1
INITIAL_GROWTH_FRACTION = 0.5
FAR_BELOW_FRACTION = 0.5
BASE_GAIN = 0.01
FLOOR_BASE_GAIN = 0.2
LIMITING_FRACTION = 0.6
BUSY_LOAD = 0.4


def _unknown_load() -> float | None:
    return None


class AdaptiveLimit:
    """Requests that may run at one target at once.

    When a low quantile of the waits of a short window is above what is allowed, a queue stands:
    the limit is cut in proportion. A limit that is used up without such a queue grows, by steps
    that grow more slowly than the limit, so that the limits of several entries converge.

    What is allowed is the same ``WAIT_SECONDS`` at all entries, or three times the wait of the
    idle target where that is longer. A bound that followed each entry's own estimate alone would
    favour the entry that began under load and takes the queue for the usual wait.

    Attributes:
        value: The limit.
        base: Seconds to the first byte without a queue, None for unknown.
    """

    __slots__ = ("_settled", "_peak", "_waits", "_window_until", "base", "value")

    def __init__(self) -> None:
        self.value = INITIAL_LIMIT
        self.base: float | None = None
        self._settled = False
        self._peak = 0
        self._waits: list[float] = []
        self._window_until = 0.0

    def record_running(self, count: int) -> None:
        """Note how many requests run."""
        self._peak = max(self._peak, count)

    def record_first_byte(
        self,
        wait: float,
        running: int,
        now: float,
        load: Callable[[], float | None] = _unknown_load,
    ) -> None:
        """Take the seconds that a request waited for the first byte of its answer.

        Args:
            wait: The seconds.
            running: Requests that run.
            now: Reading of the clock.
            load: Gives the load of the target's endpoints over their capacity, None for unknown.
        """
        self._waits.append(wait)
        self._raise_on_fast_answer(wait, running, load)
        if now < self._window_until or len(self._waits) < MIN_SAMPLES:
            return
        self._waits.sort()
        low = self._waits[int(len(self._waits) * LOW_QUANTILE)]
        self._adjust(low, load())
        self._waits.clear()
        self._peak = running
        self._window_until = now + WINDOW_SECONDS

    def record_failure(
        self,
        wait: float,
        running: int,
        now: float,
        load: Callable[[], float | None] = _unknown_load,
    ) -> None:
        """Take a request that ended without an answer.

        Guards against two misreadings of a failure: one that comes at once would pass for an idle
        target and, as the new base, make every true wait look like a queue; and an endpoint that
        answers nothing would leave no waits at all. So a failure counts only above the base.
        """
        if self.base is not None and wait > self.base:
            self.record_first_byte(wait, running, now, load)

    def _raise_on_fast_answer(
        self, wait: float, running: int, load: Callable[[], float | None]
    ) -> None:
        """Raise the limit by one for each quick answer of endpoints that have room to spare.

        Guards against a limit that starves itself: with streams that run for long, no answer
        begins while the limit is used up, and without answers no window ends that could raise it.
        A restarted entry then refused nearly all streams of idle endpoints. Each request that a
        raise lets in brings an answer, and so the next raise.
        """
        if running < LIMITING_FRACTION * self.value or self.base is None:
            return
        if wait >= FAR_BELOW_FRACTION * max(ALLOWED_WAIT_SECONDS, ALLOWED_WAIT_FACTOR * self.base):
            return
        known = load()
        if known is not None and known < BUSY_LOAD:
            self.value += 1.0

    def _adjust(self, low: float, load: float | None) -> None:
        """Move the limit at the end of a window.

        Guards against overload that feeds itself: once requests wait longer than callers do,
        all work is wasted and callers ask again. A low quantile and not the mean decides, since a
        burst makes some wait and only a standing queue makes all wait. Answers that take long in
        themselves, as whole ones do, can look the same; endpoints with room to spare tell them
        apart.
        """
        busy = load is None or load >= BUSY_LOAD
        allowed = max(ALLOWED_WAIT_SECONDS, ALLOWED_WAIT_FACTOR * self._update_base(low))
        if low > allowed and busy:
            cut = min(self.value, self._peak) * max(MIN_CUT_FACTOR, allowed / low)
            self.value = max(MIN_LIMIT, cut)
            self._settled = True
        elif self._peak >= LIMITING_FRACTION * self.value:
            self.value += self._growth_step(low < allowed * FAR_BELOW_FRACTION)
        else:
            self._settled = True

    def _growth_step(self, far_below: bool) -> float:
        """Return the next step up: a large one at first and far below what is allowed."""
        step = math.sqrt(self.value) / 2.0
        if not far_below:
            return step
        return max(
            step, self.value * (GROWTH_FRACTION if self._settled else INITIAL_GROWTH_FRACTION)
        )

    def _update_base(self, low: float) -> float:
        """Return the base: it falls at once, and rises slowly and only with room to spare.

        Guards against a base that is no longer true, as with longer prompts or slower endpoints:
        every wait then looks like a queue and the limit falls to its floor. There nothing can
        queue, and the base is learned anew within a second or two.
        """
        if self.base is None or low < self.base:
            self.base = low
        elif self.value <= MIN_LIMIT:
            self.base += FLOOR_BASE_GAIN * (low - self.base)
        elif self._peak < LIMITING_FRACTION * self.value:
            self.base += BASE_GAIN * (low - self.base)
        return self.base
