"""Bounds on how often a process reads from the platform and how soon it tries again."""

import random

import anyio

from carawayhub.clock import Clock

FIRST_PAUSE = 0.5
LONGEST_PAUSE = 30.0
MAX_DOUBLINGS = 16


class ReadBudget:
    """A token bucket for reads of the platform.

    Args:
        rate: Reads a second that this process may make on average.
        burst: Reads that it may make at once.
        clock: Source of time.
    """

    __slots__ = ("_at", "_burst", "_clock", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._clock = clock
        self._at = clock.monotonic()

    def resize(self, rate: float, burst: float) -> None:
        """Change the bounds; what was spent stays spent."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    async def take(self) -> None:
        """Wait until one read may be made."""
        self._refill()
        self._tokens -= 1
        if self._tokens < 0:
            await anyio.sleep(-self._tokens / self._rate)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._at) * self._rate)
        self._at = now


class Backoff:
    """Pauses between tries, doubling, with full jitter.

    Many processes fail at the same moment when the service goes down. Without jitter they would
    all come back at the same moment too and overrun its read budget.
    """

    __slots__ = ("_failures", "_first", "_longest", "_rng")

    def __init__(
        self, rng: random.Random, first: float = FIRST_PAUSE, longest: float = LONGEST_PAUSE
    ) -> None:
        self._rng = rng
        self._first = first
        self._longest = longest
        self._failures = 0

    def reset(self) -> None:
        """Note a success."""
        self._failures = 0

    def next(self) -> float:
        """Note a failure and return the seconds to wait."""
        ceiling = min(self._longest, self._first * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._rng.uniform(self._first / 2, max(self._first, ceiling))
