"""Time as a port, so that decisions can be driven by a fake clock.

All deadlines inside one process are absolute readings of its monotonic clock, in seconds. Readings
of two processes are never compared; what crosses a link is a remaining time, and the receiver
turns it into a deadline of its own.
"""

import time
from typing import Protocol


class Clock(Protocol):
    """What the system needs to know of time."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back; its zero means nothing."""

    def wall(self) -> float:
        """Return seconds since 1970-01-01 UTC, for logs and for callers to read."""


class SystemClock:
    """The clock of the machine.

    ``CLOCK_BOOTTIME`` is read where the system has it: unlike the plain monotonic clock it runs on
    while the VM is suspended, so a deadline that passed during a suspension is seen as passed.
    """

    __slots__ = ("_source",)

    def __init__(self) -> None:
        self._source = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

    def monotonic(self) -> float:
        """Return seconds since the VM booted, suspensions included."""
        return time.clock_gettime(self._source)

    def wall(self) -> float:
        """Return seconds since 1970-01-01 UTC."""
        return time.time()


class ManualClock:
    """A clock that moves only when told to.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(2.5)
        >>> clock.monotonic()
        2.5
    """

    __slots__ = ("_now", "_wall_offset")

    def __init__(self, now: float = 0.0, wall_offset: float = 0.0) -> None:
        self._now = now
        self._wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the reading shifted to the wall clock's zero."""
        return self._now + self._wall_offset

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds
