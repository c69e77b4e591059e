"""Adaptive concurrency limit, controlled by the time to the first byte of answers."""

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
    """The number of requests that may run concurrently at one target.

    If a low quantile of the waits in a short window exceeds the allowed wait, a standing queue has
    formed and the limit is cut in proportion. If the limit is reached without such a queue, it is
    raised by steps that grow more slowly than the limit, so the limits of several entries converge.

    The allowed wait is ``ALLOWED_WAIT_SECONDS`` at all entries, or three times the wait at the idle
    target if that is longer. A bound based only on each entry's own estimate would favour an entry
    that started under load and mistakes the queue for the normal wait.

    Attributes:
        value: The limit.
        base: Seconds to the first byte without a queue, None if unknown.
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
        """Record the number of running requests."""
        self._peak = max(self._peak, count)

    def record_first_byte(
        self,
        wait: float,
        running: int,
        now: float,
        load: Callable[[], float | None] = _unknown_load,
    ) -> None:
        """Record how long a request waited for the first byte of its answer.

        Args:
            wait: Seconds waited.
            running: Number of running requests.
            now: Current timestamp.
            load: Returns the load of the target's endpoints relative to their capacity, None if
                unknown.
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
        """Record a request that ended without an answer.

        Only failures slower than the base count. An immediate failure would look like an idle
        target and, as the new base, make every real wait look like a queue. Slow failures must
        count because an endpoint that answers nothing would otherwise produce no waits at all.
        """
        if self.base is not None and wait > self.base:
            self.record_first_byte(wait, running, now, load)

    def _raise_on_fast_answer(
        self, wait: float, running: int, load: Callable[[], float | None]
    ) -> None:
        """Raise the limit by one for each fast answer from endpoints with spare capacity.

        Without this, long streams could block the limit from growing: while they use up the limit
        no further answer begins, and without answers no window ends that could raise it. A
        restarted entry would then reject nearly all streams although the endpoints are idle. Each
        raise admits a request whose answer allows the next raise.
        """
        if running < LIMITING_FRACTION * self.value or self.base is None:
            return
        if wait >= FAR_BELOW_FRACTION * max(ALLOWED_WAIT_SECONDS, ALLOWED_WAIT_FACTOR * self.base):
            return
        known = load()
        if known is not None and known < BUSY_LOAD:
            self.value += 1.0

    def _adjust(self, low: float, load: float | None) -> None:
        """Adjust the limit at the end of a window.

        Prevents self-sustaining overload: once requests wait longer than their callers do, all
        work is wasted and the callers retry. A low quantile is used rather than the mean, since a
        burst delays some requests while only a standing queue delays all. Answers that are slow in
        themselves, such as non-streamed ones, can look the same; they are distinguished by
        endpoints that have spare capacity.
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
        """Return the next increase: larger initially and far below the allowed wait."""
        step = math.sqrt(self.value) / 2.0
        if not far_below:
            return step
        return max(
            step, self.value * (GROWTH_FRACTION if self._settled else INITIAL_GROWTH_FRACTION)
        )

    def _update_base(self, low: float) -> float:
        """Update and return the base: it falls at once and rises slowly, with spare capacity only.

        If the base is outdated, for instance after prompts became longer or endpoints slower, every
        wait looks like a queue and the limit falls to its minimum. Nothing can queue there, so the
        base is relearned within a second or two.
        """
        if self.base is None or low < self.base:
            self.base = low
        elif self.value <= MIN_LIMIT:
            self.base += FLOOR_BASE_GAIN * (low - self.base)
        elif self._peak < LIMITING_FRACTION * self.value:
            self.base += BASE_GAIN * (low - self.base)
        return self.base
