"""The queue in which requests wait for a slot at an endpoint, and when they are rejected.

Handles an overload that lasts for seconds. If all requests waited, all would be late; so only those
that can still be in time are queued. The others are rejected at once with a retry time, while they
have time left for a retry. Requests that return are late in any case and get the remaining slots.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carawayhub.clock import Clock

RATE_SAMPLES = 48
"""Number of completed requests from which the rate of free slots is computed: about two seconds of
one entry."""

RATE_WINDOW_SECONDS = 3.0
"""Age in seconds beyond which a completed request no longer counts towards the rate."""

MIN_WAIT_SECONDS = 0.05
"""Minimum wait of a queued request, even if it can no longer be in time: one engine pass, so that a
slot that is just becoming free is not missed."""

RETURNED_WAIT_RATIO = 0.1
"""Fraction of its remaining time that a request waits if it was refused before. Its answer is late
in any case, and a second refusal would leave its caller without one. It waits behind requests that
can be in time: under overload, each slot that it gets makes one of them late or refused. At
twice the load that can be served, 29% of callers are in time with this order and ratio, and 22% if
demand moves every 3.7 s; with returned requests first and a ratio of 0.2, 6% and 12%."""

MAX_RETRY_AFTER_RATIO = 0.3
"""Maximum retry time as a fraction of the caller's remaining time: callers follow a retry time of
up to a third of it."""

UNKNOWN_RATE_RETRY_SECONDS = 0.75
"""Maximum retry time while no request has completed for a while: the entry or the engines are just
starting, or are stalled for the second that a group takes to form again. With half of the time that
callers would follow, they would return two seconds after the recovery."""

RETRY_JITTER_RATIO = 0.5
"""Randomised fraction of the retry time, so that callers do not all return at the same time."""

OUTAGE_JITTER_SECONDS = 0.3
"""Seconds over which retries are spread after all endpoints were unavailable."""


@dataclass(slots=True, order=True)
class Waiter:
    """A queued request; the lesser of two is served first.

    Attributes:
        rank: Priority, 0 is the highest.
        returned: Whether it was refused before; first attempts are served before it.
        arrived_at: When it arrived.
        expires_at: When it is rejected.
        notify: Called with True when it has a slot, with False when it is rejected.
        gone: Whether its caller has left or it was notified.
        organisation: Hash of its organisation, 0 if it has none.
    """

    rank: int
    returned: bool
    arrived_at: float
    expires_at: float = field(compare=False)
    notify: Callable[[bool], None] = field(compare=False)
    gone: bool = field(default=False, compare=False)
    organisation: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Requirements:
    """Priority and time limits of a request that joins the queue.

    Attributes:
        rank: Priority, 0 is the highest.
        returned: Whether it was refused before.
        patience: Seconds that it can wait and still be in time; negative if it will be late.
        left: Seconds until its caller gives up.
        longest: Maximum wait in seconds; after it, the caller's silence timeout would be exceeded.
        recovery_wait: Seconds within which endpoints that refuse all requests are expected to
            accept them again, 0 if they do not refuse all.
        apart: Queued requests that wait for other endpoints and delay this one by nothing.
        entitled: Whether it gets one of the next slots, however many requests wait.
        organisation: Hash of its organisation, 0 if it has none.
        precedes: Organisations whose requests are served after it.
    """

    rank: int
    returned: bool
    patience: float
    left: float
    longest: float
    recovery_wait: float = 0.0
    apart: int = 0
    entitled: bool = False
    organisation: int = 0
    precedes: frozenset[int] = frozenset()


class RequestQueue:
    """Requests that wait for the endpoints of one service.

    Args:
        clock: Source of time.
        rng: Randomises retry times.
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
        """Record that a request of this entry ended and freed a slot."""
        self._ends.append(self._clock.monotonic())

    def rate(self) -> float:
        """Return the slots that become free per second, as observed by this entry."""
        now = self._clock.monotonic()
        recent = [each for each in self._ends if now - each <= RATE_WINDOW_SECONDS]
        if not recent:
            return 0.0
        return len(recent) / max(now - recent[0], RATE_WINDOW_SECONDS / RATE_SAMPLES)

    def expected_wait(self, rank: int, *, returned: bool) -> float:
        """Return the expected seconds until a request that joins now has a slot."""
        rate = self.rate()
        return (self._count_ahead(rank, returned=returned) + 1) / rate if rate > 0 else float("inf")

    def join(self, requirements: Requirements, notify: Callable[[bool], None]) -> Waiter | None:
        """Queue a request, or return None if it is not expected to get a slot in time."""
        patience = self._max_wait(requirements)
        if (
            not requirements.recovery_wait
            and not requirements.entitled
            and (self._heap or self._ends)
            and self._is_futile(requirements, patience)
        ):
            return None
        now = self._clock.monotonic()
        expires_at = now + min(patience, requirements.longest)
        waiter = Waiter(requirements.rank, requirements.returned, now, expires_at, notify)
        waiter.organisation = requirements.organisation
        heapq.heappush(self._heap, waiter)
        return waiter

    def _is_futile(self, requirements: Requirements, patience: float) -> bool:
        """Return whether more requests wait than slots are expected to become free in time.

        One request may always wait. Slots become free at random: if the next is expected slightly
        later than the request can wait, one is free in time in six cases of ten. Without this rule,
        an entry with four completions a second would reject every request that does not find a
        free slot at once, even with an empty queue.
        """
        ahead = self._count_ahead(
            requirements.rank, returned=requirements.returned, precedes=requirements.precedes
        )
        ahead -= requirements.apart
        return ahead >= max(1.0, self.rate() * patience)

    def _count_ahead(
        self, rank: int, *, returned: bool, precedes: frozenset[int] = frozenset()
    ) -> int:
        mine = (rank, returned)
        return sum(
            1
            for each in self._heap
            if not each.gone
            and (each.rank, each.returned) <= mine
            and not (each.rank == rank and each.organisation in precedes)
        )

    def leave(self, waiter: Waiter) -> None:
        """Remove a request whose caller has left or whose time has expired."""
        waiter.gone = True
        self._drop_gone()

    def first(self) -> Waiter | None:
        """Return the next request to serve, or None if the queue is empty."""
        now = self._clock.monotonic()
        self._drop_gone()
        while self._heap and self._heap[0].expires_at <= now:
            waiter = heapq.heappop(self._heap)
            waiter.gone = True
            waiter.notify(False)
            self._drop_gone()
        return self._heap[0] if self._heap else None

    def in_order(self) -> list[Waiter]:
        """Return all requests that may still be served, the next one first."""
        now = self._clock.monotonic()
        return sorted(each for each in self._heap if not each.gone and each.expires_at > now)

    def heads(self, *, by_organisation: bool = False) -> list[Waiter]:
        """Return the first request of each priority, first attempts and returned ones apart.

        One that may not be served yet doesn't block those of other priorities.

        Args:
            by_organisation: Whether to return the first request of each organisation, too.
        """
        found: dict[tuple[int, bool, int], Waiter] = {}
        now = self._clock.monotonic()
        for each in self._heap:
            if each.gone or each.expires_at <= now:
                continue
            key = each.rank, each.returned, each.organisation if by_organisation else 0
            if key not in found or each < found[key]:
                found[key] = each
        return sorted(found.values())

    def serve(self, waiter: Waiter) -> None:
        """Remove a request and notify it that it has a slot."""
        if self._heap[0] is waiter:
            heapq.heappop(self._heap)
        else:
            self._heap = [each for each in self._heap if each is not waiter]
            heapq.heapify(self._heap)
        waiter.gone = True
        waiter.notify(True)

    def retry_after(self, left: float, away: float | None = None) -> float:
        """Return the seconds after which a refused caller should retry.

        The time is long enough to serve the requests in the queue, randomised so that callers do
        not return together, and no longer than callers follow.

        Args:
            left: Seconds that the caller has left.
            away: Seconds for which nothing can be served, None if requests can be served now.
        """
        rate = self.rate()
        most = left * MAX_RETRY_AFTER_RATIO
        if away is not None:
            return min(most, away + self._rng.uniform(0.0, OUTAGE_JITTER_SECONDS))
        if rate <= 0:
            most = min(most, UNKNOWN_RATE_RETRY_SECONDS)
        backlog = len(self._heap) / rate if rate > 0 else most
        least = min(backlog, most * (1.0 - RETRY_JITTER_RATIO))
        return self._rng.uniform(least, max(least, most))

    def _max_wait(self, requirements: Requirements) -> float:
        if requirements.returned:
            return max(
                MIN_WAIT_SECONDS,
                requirements.recovery_wait,
                requirements.left * RETURNED_WAIT_RATIO,
            )
        return max(MIN_WAIT_SECONDS, requirements.recovery_wait, requirements.patience)

    def _drop_gone(self) -> None:
        while self._heap and self._heap[0].gone:
            heapq.heappop(self._heap)
