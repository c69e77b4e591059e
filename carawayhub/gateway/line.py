"""The line in which requests wait for a place at an endpoint, and when they are turned away.

The load pattern this answers: more requests than the endpoints can serve in time, for seconds on
end. Were all of them to wait, all would be late; so only those wait that can still be in time, and
the others are told at once when to come back, while they have time left to do so. Who comes back is
late in any case and takes what those leave.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carawayhub.clock import Clock

RATE_SAMPLES = 48
"""Ends of requests from which the rate of free places is taken: about two seconds of one entry."""

RATE_SECONDS = 3.0
"""Ends older than this say nothing of the present rate."""

LEAST_PATIENCE = 0.05
"""Seconds that a request may wait though nothing can be in time: one pass of an engine, so that a
place that is just becoming free is not missed."""

RETURNED_PATIENCE = 0.1
"""Part of its remaining time that a request waits which was refused before. Its answer is late in
any case; a second refusal would leave its caller with nothing. It waits behind those that can be in
time: while more come than can be served, each place that it gets makes one of them late or
refused. With it going first, 0.2 of its time and nobody let wait beyond the expected time, 6% of
callers were in time at twice what can be served and 12% where demand moves every 3.7 s; with this
order, a tenth and one that may always wait, 29% and 22%, as many being served
(``benchmarks.group_load``)."""

RETRY_PART = 0.3
"""Part of the caller's remaining time within which it is asked to come back: callers follow a time
of up to a third of it."""

UNKNOWN_RATE_SECONDS = 0.75
"""Longest time after which a caller is asked to come back while no request has ended for a while:
the entry or the engines are just starting, or stand still for the second that a group takes to form
again. Half of what callers would follow made them come back two seconds after all was well."""

SPREAD = 0.5
"""Part of the time to come back that is drawn at random, so that callers do not return at once."""


AWAY_SPREAD = 0.3
"""Seconds over which callers come back to endpoints that were all away."""


@dataclass(slots=True, order=True)
class Waiter:
    """A request in the line; the least of two goes first.

    Attributes:
        rank: Urgency, 0 first.
        returned: Whether it was refused before; one that comes for the first time goes before it.
        arrived_at: When it came.
        leaves_at: When it is turned away.
        wake: Called when it has a place (True) or is turned away (False).
        gone: Whether its caller has left or it was woken.
    """

    rank: int
    returned: bool
    arrived_at: float
    leaves_at: float = field(compare=False)
    wake: Callable[[bool], None] = field(compare=False)
    gone: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Wish:
    """What a request hopes for when it joins the line.

    Attributes:
        rank: Urgency, 0 first.
        returned: Whether it was refused before.
        patience: Seconds that it can wait and still be in time; negative if it cannot be.
        left: Seconds until its caller gives up.
        longest: Seconds after which it would wait in vain, since its caller listens to silence.
        reopening: Seconds within which endpoints are expected to take requests again that refuse
            all of them now, 0 where they do not.
    """

    rank: int
    returned: bool
    patience: float
    left: float
    longest: float
    reopening: float = 0.0


class Line:
    """Requests that wait for the endpoints of one service.

    Args:
        clock: Source of time.
        rng: Spreads the times at which callers come back.
    """

    __slots__ = ("_clock", "_ends", "_heap", "_rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._heap: list[Waiter] = []
        self._ends: deque[float] = deque(maxlen=RATE_SAMPLES)

    def __len__(self) -> int:
        return len(self._heap)

    def ended(self) -> None:
        """Note that a request of this entry ended, which freed a place."""
        self._ends.append(self._clock.monotonic())

    def rate(self) -> float:
        """Return how many places come free a second, as seen by this entry."""
        now = self._clock.monotonic()
        recent = [each for each in self._ends if now - each <= RATE_SECONDS]
        if not recent:
            return 0.0
        return len(recent) / max(now - recent[0], RATE_SECONDS / RATE_SAMPLES)

    def expected_wait(self, rank: int, *, returned: bool) -> float:
        """Return the seconds until a request that joins now would have a place."""
        rate = self.rate()
        return (self._ahead(rank, returned=returned) + 1) / rate if rate > 0 else float("inf")

    def join(self, wish: Wish, wake: Callable[[bool], None]) -> Waiter | None:
        """Let a request wait, or return None where it would wait in vain."""
        patience = self._patience(wish)
        if not wish.reopening and (self._heap or self._ends) and self._in_vain(wish, patience):
            return None
        now = self._clock.monotonic()
        leaves_at = now + min(patience, wish.longest)
        waiter = Waiter(wish.rank, wish.returned, now, leaves_at, wake)
        heapq.heappush(self._heap, waiter)
        return waiter

    def _in_vain(self, wish: Wish, patience: float) -> bool:
        """Return whether more wait already than places are expected to come free in time.

        One may always wait. Places come free at random: with one expected a little later than the
        request can wait, one comes in time in six cases of ten. Entries with four ends a second
        turned all away who did not find a free place at once, with nobody in line.
        """
        ahead = self._ahead(wish.rank, returned=wish.returned)
        return ahead >= max(1.0, self.rate() * patience)

    def _ahead(self, rank: int, *, returned: bool) -> int:
        mine = (rank, returned)
        return sum(1 for each in self._heap if not each.gone and (each.rank, each.returned) <= mine)

    def leave(self, waiter: Waiter) -> None:
        """Take a request off the line whose caller has left or whose time has passed."""
        waiter.gone = True
        self._trim()

    def first(self) -> Waiter | None:
        """Return the request that is next to get a place, None where nobody waits."""
        now = self._clock.monotonic()
        self._trim()
        while self._heap and self._heap[0].leaves_at <= now:
            waiter = heapq.heappop(self._heap)
            waiter.gone = True
            waiter.wake(False)
            self._trim()
        return self._heap[0] if self._heap else None

    def serve(self, waiter: Waiter) -> None:
        """Take the first request off the line and tell it that it has a place."""
        heapq.heappop(self._heap)
        waiter.gone = True
        waiter.wake(True)

    def retry_after(self, left: float, away: float | None = None) -> float:
        """Return the seconds after which a refused caller should come back.

        Long enough for those who wait to be served, spread so that callers do not return together,
        and within what they follow.

        Args:
            left: Seconds that the caller has left.
            away: Seconds for which nothing can be served, None where something can.
        """
        rate = self.rate()
        most = left * RETRY_PART
        if away is not None:
            return min(most, away + self._rng.uniform(0.0, AWAY_SPREAD))
        if rate <= 0:
            most = min(most, UNKNOWN_RATE_SECONDS)
        backlog = len(self._heap) / rate if rate > 0 else most
        least = min(backlog, most * (1.0 - SPREAD))
        return self._rng.uniform(least, max(least, most))

    def _patience(self, wish: Wish) -> float:
        if wish.returned:
            return max(LEAST_PATIENCE, wish.reopening, wish.left * RETURNED_PATIENCE)
        return max(LEAST_PATIENCE, wish.reopening, wish.patience)

    def _trim(self) -> None:
        while self._heap and self._heap[0].gone:
            heapq.heappop(self._heap)
