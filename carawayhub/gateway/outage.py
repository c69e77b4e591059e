"""How long a service without any group that stands will be away.

The load pattern this answers: a group that serves alone loses a rank every few seconds. Callers
were asked back within 0.75 s, twice, and had no further try when the group stood again after four.
They follow a time of up to a third of what they have left; told when the group is expected, most of
them come back to one that stands, or wait for it.
"""

from dataclasses import dataclass

from carawayhub.clock import Clock

FORM_SECONDS = 1.0
"""Seconds that a group takes to form with all its ranks there, before one was seen to."""

WEIGHT = 0.5
"""Weight of the latest outage in the mean of their lengths, which change with their causes."""

LONGER_PART = 0.5
"""Part of the time that an outage has lasted for which it is expected to last on, once it is longer
than usual or none was seen before."""

LEAST_LEFT = 0.1
"""Seconds that a group needs at the least until a request could begin."""

UNKNOWN_LEFT = 2.5
"""Seconds expected of the first outage: a process that crashed takes some to be back."""


@dataclass(frozen=True, slots=True)
class Seen:
    """What is known of the groups of a service at one moment.

    Attributes:
        stands: Whether some group stands, or the service has no groups.
        complete: Whether some group that does not stand has all its ranks.
    """

    stands: bool
    complete: bool


class Outage:
    """Outages of one service.

    Args:
        clock: Source of time.

    Attributes:
        usual: Mean length of those so far, the latest ones counting most; None before the first.
    """

    __slots__ = ("_clock", "_complete_since", "_form_seconds", "_since", "usual")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._since: float | None = None
        self._complete_since: float | None = None
        self.usual: float | None = None
        self._form_seconds = FORM_SECONDS

    def look(self, seen: Seen) -> None:
        """Take in what is known now."""
        now = self._clock.monotonic()
        if seen.stands:
            self._end(now)
            return
        if self._since is None:
            self._since = now
        if not seen.complete:
            self._complete_since = None
        elif self._complete_since is None:
            self._complete_since = now

    def left(self) -> float | None:
        """Return the seconds for which the outage will last on, None where there is none."""
        if self._since is None:
            return None
        now = self._clock.monotonic()
        if self._complete_since is not None:
            return _rest(self._form_seconds, now - self._complete_since)
        usual = UNKNOWN_LEFT if self.usual is None else self.usual
        return _rest(usual, now - self._since)

    def _end(self, now: float) -> None:
        if self._since is None:
            return
        lasted = now - self._since
        self.usual = lasted if self.usual is None else _mean(self.usual, lasted)
        if self._complete_since is not None:
            self._form_seconds = _mean(self._form_seconds, now - self._complete_since)
        self._since = self._complete_since = None


def _rest(usual: float, elapsed: float) -> float:
    left = usual - elapsed
    return left if left > LEAST_LEFT else max(LEAST_LEFT, LONGER_PART * elapsed)


def _mean(before: float, latest: float) -> float:
    return before + WEIGHT * (latest - before)
