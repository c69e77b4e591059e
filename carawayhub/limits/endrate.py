"""Estimates how often endpoints end under requests that are not the cause."""

import math

from carawayhub.clock import Clock

POISON_THRESHOLD = 3
"""Ends after which a request is rejected. Two may be chance: an endpoint fails for its own reasons,
and so does the next one, at which the request was retried."""

MAX_POISON_THRESHOLD = 6
"""Upper bound of the threshold while endpoints end constantly: a higher one would end more
endpoints than it prevents wrong rejections."""

FALSE_POSITIVE_PROBABILITY = 0.001
"""Accepted probability that a harmless request meets as many ends as the threshold by chance."""

PRIOR_ANSWERS = 30.0
"""Answers added to those that an entry observed, since two or three observations prove nothing."""

RATE_HALF_LIFE_SECONDS = 20.0
"""Half-life of a request's weight in the share of requests whose endpoint ended: long enough to
cover some dozens of requests at an entry of a large fleet, short compared with incidents of a
minute."""


class EndRate:
    """The share of this entry's recent requests whose endpoint ended while running them.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_answered", "_clock", "_ended", "_updated_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered = self._ended = 0.0
        self._updated_at = clock.monotonic()

    def record_answer(self) -> None:
        """Count a complete answer."""
        self._decay()
        self._answered += 1.0

    def record_end(self) -> None:
        """Count a request whose endpoint ended."""
        self._decay()
        self._ended += 1.0

    def ends_needed(self) -> int:
        """Return the number of ends after which a request is considered their cause."""
        self._decay()
        return ends_needed(self._ended / (self._answered + self._ended + PRIOR_ANSWERS))

    def _decay(self) -> None:
        now = self._clock.monotonic()
        kept = 0.5 ** ((now - self._updated_at) / RATE_HALF_LIFE_SECONDS)
        self._answered *= kept
        self._ended *= kept
        self._updated_at = now


def ends_needed(share: float) -> int:
    """Return the ends after which a request is poison if a share of requests meets one by chance.

    If replicas end every second for other reasons and callers retry until they are served, a fixed
    threshold of three ends rejects 3 of 400 such requests permanently.
    """
    if share <= 0.0:
        return POISON_THRESHOLD
    needed = math.ceil(math.log(FALSE_POSITIVE_PROBABILITY) / math.log(share))
    return min(MAX_POISON_THRESHOLD, max(POISON_THRESHOLD, needed))
