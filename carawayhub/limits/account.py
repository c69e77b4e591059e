"""Rate, concurrency and demand of one organisation at one entry."""

import math

from carawayhub.limits.bucket import TokenBucket
from carawayhub.limits.shares import Allowance, Demand

STEADY_GAIN = 0.1
JUMP_GAIN = 0.5
JUMP_DEVIATIONS = 3.0
HEADROOM = 1.03


class Account:
    """Usage and demand of one organisation at this entry.

    Attributes:
        running: Its requests in flight.
    """

    __slots__ = (
        "_arrivals",
        "_bucket",
        "_measured_at",
        "_peak",
        "_rate",
        "_rejected_slots",
        "_single",
        "_slots",
        "_wanted_slots",
        "running",
    )

    def __init__(self, now: float) -> None:
        self.running = 0
        self._bucket = TokenBucket(0.0, 1.0, 1.0, now)
        self._slots = 0
        self._single = True
        self._arrivals = 0
        self._rate = 0.0
        self._peak = 0
        self._rejected_slots = 0
        self._wanted_slots = 0.0
        self._measured_at = now

    def resize(self, allowance: Allowance, now: float) -> None:
        """Apply new limits."""
        self._bucket.resize(allowance.rate, allowance.depth, now)
        self._slots = allowance.slots
        self._single = allowance.single

    def record_arrival(self) -> None:
        """Count a request, admitted or not."""
        self._arrivals += 1

    def rate_wait(self, now: float) -> float | None:
        """Return the seconds until the rate allows a request, None if the current rate is zero."""
        return self._bucket.seconds_until(1.0, now)

    def has_slot(self) -> bool:
        """Return whether another request may run."""
        if self.running < self._slots:
            return True
        return self.running == 0 and self._single

    def record_slot_rejection(self) -> None:
        """Count a request that was rejected because no slot was free."""
        self._rejected_slots += 1

    def record_start(self, now: float) -> None:
        """Count a request that was admitted."""
        self._bucket.spend(1.0, now)
        self.running += 1
        self._peak = max(self._peak, self.running)

    def record_end(self) -> None:
        """Count the end of a request."""
        self.running -= 1

    def demand(self, now: float) -> Demand:
        """Return the demand of the organisation's callers, measured since the last call."""
        elapsed = now - self._measured_at
        if elapsed > 0.0:
            self._rate = _smoothed(self._rate * elapsed, self._arrivals) / elapsed
            self._wanted_slots = _smoothed(self._wanted_slots, self._peak + self._rejected_slots)
            self._measured_at = now
            self._arrivals = 0
            self._peak = self.running
            self._rejected_slots = 0
        return Demand(self._rate * HEADROOM, self._wanted_slots, self.running)


def _smoothed(mean: float, count: int) -> float:
    """Return a mean moved towards a count: slowly within random variation, fast after a shift.

    If demand followed random variation, every entry would release and claim shares at each tick,
    and a share in transit between two entries is used by neither.
    """
    chance = JUMP_DEVIATIONS * math.sqrt(mean + 1.0)
    gain = STEADY_GAIN if abs(count - mean) <= chance else JUMP_GAIN
    return mean + gain * (count - mean)
