"""Recognises callers that come back after a refusal, by the time that they have left.

Callers state how long they are prepared to wait, and one that comes back has less time left. But
callers of one route differ in patience, by more than a tenth: taken for returned, those with less
patience would be queued behind all others. So the usual times are learned while nothing is refused.
"""

from collections import deque

from carawayhub.clock import Clock

SAMPLES = 64
"""Number of stated times that are remembered for a route."""

MIN_SAMPLES = 8
"""Minimum number of samples from which the usual times are known."""

LOW_QUANTILE = 0.05
"""Quantile of the learned times that counts as the shortest usual time. Callers refused by another
entry may be among the samples."""

USUAL_RATIO = 0.97
"""Fraction of the shortest usual time below which a caller has come back."""

UNKNOWN_RATIO = 0.75
"""Fraction of the longest stated time below which a caller has come back, while the usual times are
unknown: refused callers are asked back after up to three tenths of their time."""

LEARNING_PAUSE_SECONDS = 4.0
"""Time without refusals after which times are learned again: until then refused callers return."""


class _Route:
    """Stated times of the callers of one route.

    Attributes:
        longest: Longest stated time in seconds.
        usual: Learned times in seconds, in the order of arrival.
        shortest: Shortest usual time in seconds, 0 while it is unknown.
    """

    __slots__ = ("longest", "shortest", "usual")

    def __init__(self) -> None:
        self.longest = 0.0
        self.usual: deque[float] = deque(maxlen=SAMPLES)
        self.shortest = 0.0

    def learn(self, seconds: float) -> None:
        """Add a time of a caller that has not come back."""
        self.usual.append(seconds)
        if len(self.usual) >= MIN_SAMPLES:
            self.shortest = sorted(self.usual)[int(len(self.usual) * LOW_QUANTILE)]


class ReturnDetector:
    """Recognises returned callers.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_learning_from", "_routes")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._learning_from = float("-inf")
        self._routes: dict[str, _Route] = {}

    def refused(self) -> None:
        """Record that a caller was refused and may come back, to this entry or to another."""
        self._learning_from = self._clock.monotonic() + LEARNING_PAUSE_SECONDS

    def has_returned(self, route: str, seconds: float) -> bool:
        """Return whether a caller has come back, given the time that it states.

        Args:
            route: Name of its route.
            seconds: Time that it is prepared to wait.
        """
        known = self._routes.setdefault(route, _Route())
        known.longest = max(known.longest, seconds)
        if self._clock.monotonic() >= self._learning_from:
            known.learn(seconds)
        if known.shortest:
            return seconds < USUAL_RATIO * known.shortest
        return seconds < UNKNOWN_RATIO * known.longest
