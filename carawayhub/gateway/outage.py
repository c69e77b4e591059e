"""Predicts how long a service without an available group will be unavailable.

Handles a service with one group that loses a rank every few seconds. Callers that are asked to
retry within 0.75 s use up both retries before the group is available again after 4 s. Callers
follow a retry time of up to a third of their remaining time; given the expected time of recovery,
most of them return to an available group or wait for it.
"""

from dataclasses import dataclass

from carawayhub.clock import Clock

FORM_SECONDS = 1.0
"""Initial estimate of the time that a group takes to form once it has all its ranks."""

OUTAGE_WEIGHT = 0.5
"""Weight of the latest outage in the mean duration, which changes with the causes of outages."""

EXTENSION_RATIO = 0.5
"""Expected remaining time of an outage as a fraction of its duration so far, once it is longer than
expected."""

MIN_LEFT_SECONDS = 0.1
"""Minimum time until a group can accept a request."""

FIRST_OUTAGE_SECONDS = 2.5
"""Expected duration of the first outage, covering the restart of a crashed process."""


@dataclass(frozen=True, slots=True)
class OutageState:
    """Availability of the groups of a service at one moment.

    Attributes:
        available: Whether some group is available, or the service has no groups.
        forming: Whether some unavailable group has all its ranks.
    """

    available: bool
    forming: bool


class Outage:
    """Outages of one service.

    Args:
        clock: Source of time.

    Attributes:
        usual: Mean duration so far, weighted towards recent outages; None before the first.
    """

    __slots__ = ("_clock", "_form_seconds", "_forming_since", "_since", "usual")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: float | None = None
        self._forming_since: float | None = None
        self.usual: float | None = None
        self._form_seconds = FORM_SECONDS

    def update(self, state: OutageState) -> None:
        """Start, update or end the outage according to ``state``."""
        now = self._clock.monotonic()
        if state.available:
            self._end(now)
            return
        if self._since is None:
            self._since = now
        if not state.forming:
            self._forming_since = None
        elif self._forming_since is None:
            self._forming_since = now

    def left(self) -> float | None:
        """Return the expected remaining seconds of the outage, or None if there is none."""
        if self._since is None:
            return None
        now = self._clock.monotonic()
        if self._forming_since is not None:
            return _remaining(self._form_seconds, now - self._forming_since)
        usual = FIRST_OUTAGE_SECONDS if self.usual is None else self.usual
        return _remaining(usual, now - self._since)

    def _end(self, now: float) -> None:
        if self._since is None:
            return
        lasted = now - self._since
        self.usual = lasted if self.usual is None else _mean(self.usual, lasted)
        if self._forming_since is not None:
            self._form_seconds = _mean(self._form_seconds, now - self._forming_since)
        self._since = self._forming_since = None


def _remaining(usual: float, elapsed: float) -> float:
    left = usual - elapsed
    return left if left > MIN_LEFT_SECONDS else max(MIN_LEFT_SECONDS, EXTENSION_RATIO * elapsed)


def _mean(before: float, latest: float) -> float:
    return before + OUTAGE_WEIGHT * (latest - before)
