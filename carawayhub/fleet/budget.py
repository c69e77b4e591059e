"""Rate limit and retry backoff for reads from the platform."""

import random

import anyio

from carawayhub.clock import Clock

FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 30.0
MAX_DOUBLINGS = 16


class ReadBudget:
    """A token bucket for reads of the platform.

    Args:
        rate: Reads a second that this process may make on average.
        burst: Reads that it may make at once.
        clock: Source of time.
    """

    __slots__ = ("_refilled_at", "_burst", "_clock", "_rate", "_tokens")

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._clock = clock
        self._refilled_at = clock.monotonic()

    def resize(self, rate: float, burst: float) -> None:
        """Change rate and burst; tokens already used aren't restored."""
        self._refill()
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    async def acquire(self) -> None:
        """Wait until one read may be made."""
        self._refill()
        self._tokens -= 1
        if self._tokens < 0:
            await anyio.sleep(-self._tokens / self._rate)

    def _refill(self) -> None:
        now = self._clock.monotonic()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now


class Backoff:
    """Exponential backoff with full jitter.

    Many processes fail at the same moment when the service goes down. Without jitter they would
    also retry at the same moment and exceed its read budget.
    """

    __slots__ = ("_failures", "_first", "_longest", "_rng")

    def __init__(
        self,
        rng: random.Random,
        first: float = FIRST_PAUSE_SECONDS,
        longest: float = MAX_PAUSE_SECONDS,
    ) -> None:
        self._rng = rng
        self._first = first
        self._longest = longest
        self._failures = 0

    def reset(self) -> None:
        """Record a success."""
        self._failures = 0

    def next(self) -> float:
        """Record a failure and return the seconds to wait."""
        ceiling = min(self._longest, self._first * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._rng.uniform(self._first / 2, max(self._first, ceiling))
