"""Places at the endpoints of each service: who gets one, who waits, who is turned away."""

import math
import random
from collections import Counter
from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.freeplaces import FreePlaces
from carawayhub.gateway.health import Health
from carawayhub.gateway.line import Line, Waiter, Wish
from carawayhub.gateway.loads import Loads, Work, work_key
from carawayhub.gateway.model import Endpoint, Repeat
from carawayhub.gateway.outage import Outage, Seen
from carawayhub.gateway.placement import Chosen, Placement
from carawayhub.gateway.refusals import Refusals
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.servicelimits import ServiceLimits
from carawayhub.gateway.view import FleetView
from carawayhub.limits.claims import Claims
from carawayhub.limits.replicarate import ReplicaRates

START_WEIGHT = 0.1
"""Weight of one request in the mean time from its dispatch to its first event."""


LEAST_SAMPLE = 2
"""Endpoints from which one is chosen at the least; the better of two keeps loads close."""

SAMPLE_PART = 2.0
"""Endpoints from which one is chosen, by endpoints over requests that arrive at all entries before
they hear of each other's choices. All of them would send these to the same endpoint that was the
least loaded; each from a sample of its own, they do not."""


RETAKE_PAUSE = 0.05
"""Seconds between two looks at whether an endpoint takes a refused request again: about a pass."""


START_SECONDS = 0.7
"""Seconds that a stream needs from its dispatch to its first event at engines that have just come
back. One that waited longer than its caller listens to silence, less this, would be read in vain:
after a loss of power 130 callers left just before their first event."""


@dataclass(slots=True)
class Place:
    """A place at an endpoint that a request holds.

    Attributes:
        endpoint: The endpoint.
        work: What the request needs there.
        read: Whether its prompt has been read.
    """

    endpoint: Endpoint
    work: Work
    read: bool = False


@dataclass(slots=True)
class _Turn:
    """Where a waiting request finds its place.

    Attributes:
        settled: Set when it has a place or is turned away.
        place: Its place, None where it is turned away.
    """

    settled: anyio.Event
    place: Place | None = None


class ServicePool:
    """The endpoints of one service, shared by the requests of this entry.

    Args:
        name: Name of the service.
        view: Knows its endpoints.
        loads: Work in flight.
        health: What requests showed of endpoints.
        clock: Source of time.
        rng: Source of chance.
        retries: This entry's part of the service's retry budget.
        spread: Gives the seconds for which entries choose by the same news, times the entries.
        news: Gives those seconds alone.
        rates: Limits that replicas name; this pool's own where None is given.
        part_heard: Gives the part of all entries that this one hears of.

    Attributes:
        line: Requests that wait.
        retries: This entry's part of the service's retry budget.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_free",
        "_limits",
        "_loads",
        "_name",
        "_news",
        "_health",
        "_outage",
        "_partly_out",
        "_placement",
        "_refusals",
        "_spread",
        "_start_seconds",
        "_turns",
        "_view",
        "line",
        "retries",
    )

    def __init__(
        self,
        name: str,
        view: FleetView,
        loads: Loads,
        health: Health,
        clock: Clock,
        rng: random.Random,
        retries: RetryShare,
        spread: Callable[[], float] = lambda: 0.0,
        news: Callable[[], float] = lambda: 0.0,
        rates: ReplicaRates | None = None,
        part_heard: Callable[[], float] = lambda: 1.0,
    ) -> None:
        self._name = name
        self._view = view
        self._loads = loads
        self._clock = clock
        self._health = health
        self._refusals = Refusals(clock)
        self._outage = Outage(clock)
        self._partly_out = Outage(clock)
        self._claims = Claims(clock, rng)
        self._news = news
        self._placement = Placement(loads, health, rng)
        self._free = FreePlaces(loads)
        self._spread = spread
        self._start_seconds = 0.0
        self._turns: dict[int, tuple[_Turn, Work]] = {}
        self.line = Line(clock, rng)
        self.retries = retries
        rates = rates or ReplicaRates(clock, rng, work_key)
        self._limits = ServiceLimits(name, rates, retries.rate, spread, news, part_heard)

    @property
    def held_back(self) -> int:
        """Times that a request did not go to an endpoint because of its limit."""
        return self._limits.held_back

    async def take(self, call: Admitted, now: float) -> Place:
        """Return a place for a request, at once or when one is free.

        Raises:
            RequestError: NO_ENDPOINT, OVERLOADED.
        """
        place = self._place_now(call.work)
        if place is not None:
            return place
        return await self._wait(call, now)

    def retake(self, call: Admitted, tried: Set[str]) -> Place | None:
        """Return a place for another attempt, None where no other endpoint is left.

        It does not wait in line again: its caller has waited once.
        """
        chosen = self._choose(call.work, tried)
        return None if chosen is None else self._begin(chosen.endpoint, call.work)

    async def retake_later(self, call: Admitted, only: Set[str] | None) -> Place | None:
        """Return a place for a request that was refused, once its endpoints take requests again.

        Args:
            call: The request.
            only: Endpoints that it may be sent to, None for any.

        Returns:
            The place, None where there is none in time.
        """
        now = self._clock.monotonic()
        longest = self._retake_wait(_longest_wait(call, now))
        if longest <= 0.0:
            return None
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            longest=round(longest, 3),
            endpoints=len(self._endpoints(only)),
        ).info("refused, waits for endpoints that take requests again")
        ends_at = now + longest
        while self._clock.monotonic() < ends_at and self._may_return(only):
            chosen = self._choose(call.work, frozenset(), only)
            if chosen is not None and chosen.free:
                return self._begin(chosen.endpoint, call.work)
            await anyio.sleep(RETAKE_PAUSE)
        return None

    def _retake_wait(self, longest: float) -> float:
        """Return for how long a refused request waits for its endpoints, 0 for not at all."""
        away = self._outage.left()
        if away is None:
            return min(self._refusals.wait_left(), longest)
        return longest if away <= longest else 0.0

    def _may_return(self, only: Set[str] | None) -> bool:
        return bool(self._endpoints(only)) or self._outage.left() is not None

    def refused(self, place: Place) -> None:
        """Note that an endpoint refused a request without running it.

        A plain service refuses while its queue is full, which lasts some milliseconds; only what
        engines refuse says something of the next request.
        """
        if not self._kv_tokens():
            return
        self._health.refused(place.endpoint.id)
        if self._refusals.refused():
            logger.bind(service=self._name, endpoint=place.endpoint.id).warning(
                "engines refuse all requests, few ask them again"
            )

    def started(self, place: Place, seconds: float) -> None:
        """Note the first event of a request, ``seconds`` after it was sent."""
        weight = START_WEIGHT if self._start_seconds else 1.0
        self._start_seconds += weight * (seconds - self._start_seconds)
        if self._refusals.answered():
            logger.bind(service=self._name, endpoint=place.endpoint.id).info(
                "engines take requests again"
            )
            self._health.take_again(each.id for each in self._endpoints())
        if not place.read:
            place.read = True
            self._loads.has_read(place.endpoint.id, place.work.reading)

    def release(self, place: Place, *, ran: bool = True) -> None:
        """Give a place back and hand it to who is next.

        Args:
            place: The place.
            ran: Whether its request may have run; one that did not says nothing of how fast
                places come free.
        """
        work = place.work
        left = Work(work.requests, 0 if place.read else work.reading, work.tokens)
        self._loads.end(place.endpoint.id, left)
        self._claims.record_release()
        if ran:
            self.line.ended()
        self.serve_line()

    def look_at_groups(self) -> None:
        """See whether some group of the service stands."""
        still = self._view.standing_still(self._name)
        stands = bool(self._endpoints()) or not still
        before = self._outage.left()
        complete = _is_complete(still)
        self._outage.look(Seen(stands, complete))
        self._partly_out.look(Seen(not still, complete))
        after = self._outage.left()
        if (before is None) is not (after is None):
            logger.bind(
                service=self._name,
                expected=None if after is None else round(after, 2),
                usual=None if self._outage.usual is None else round(self._outage.usual, 2),
                standing_still=len(still),
            ).warning("no group stands" if after is not None else "a group stands again")

    def serve_line(self) -> None:
        """Hand free places to those who wait, in their order."""
        while (waiter := self.line.first()) is not None:
            turn, work = self._turns[id(waiter)]
            place = self._free_place(work)
            if place is None:
                return
            turn.place = place
            self.line.serve(waiter)

    def refusal(self, call: Admitted, now: float, code: Code) -> RequestError:
        """Return what a caller is told whose request is not run now."""
        left = max(0.0, call.ends_at - now)
        away = self._outage.left()
        if away is None:
            away = self._limits.pause(self._endpoints()) or self._group_back(left)
        return RequestError(code, self._name, retry_after=self.line.retry_after(left, away))

    def _group_back(self, left: float) -> float | None:
        """Return when a group that stands still is expected, None where none is in time.

        The others get more than they can run until then. A caller that comes back in that time goes
        behind all new ones and is refused for good; with the group it finds free places.
        """
        back = self._partly_out.left()
        return back if back is not None and back <= left else None

    def _place_now(self, work: Work) -> Place | None:
        return None if len(self.line) else self._free_place(work)

    def _free_place(self, work: Work) -> Place | None:
        if not self._may_claim():
            return None
        chosen = self._choose(work, frozenset())
        if chosen is None or not chosen.free:
            return None
        self._claims.record_acquisition()
        return self._begin(chosen.endpoint, work)

    def _may_claim(self) -> bool:
        """Return whether a free place of the engines is this entry's to take."""
        if not self._kv_tokens():
            return True
        return self._claims.may_acquire(self._free_places(), self._wanted(), self._news())

    def _free_places(self) -> int:
        """Return the places that are free as far as is known."""
        return self._free.of(self._limits.to_count_on(self._endpoints()))

    def _wanted(self) -> float:
        """Return the requests that come to all entries before they hear of each other."""
        return self.retries.rate() * self._spread()

    def _choose(self, work: Work, tried: Set[str], only: Set[str] | None = None) -> Chosen | None:
        if not self._refusals.may_send():
            return None
        endpoints = self._endpoints(only)
        arrivals = self._wanted()
        sample = max(LEAST_SAMPLE, math.ceil(SAMPLE_PART * len(endpoints) / max(1.0, arrivals)))
        tokens = self._kv_tokens()

        def pick(passed: Set[str]) -> Chosen | None:
            return self._placement.choose(endpoints, work, tokens, passed, sample)

        return self._limits.choose(pick, tried, arrivals)

    async def _wait(self, call: Admitted, now: float) -> Place:
        self.look_at_groups()
        away = self._outage.left()
        longest = _longest_wait(call, now)
        if not self._endpoints() and (away is None or away > longest):
            self._log_no_endpoint(call, away, longest)
            raise self.refusal(call, now, Code.NO_ENDPOINT)
        wish = Wish(
            rank=call.priority,
            returned=call.returned,
            patience=call.arrived_at + call.route.target - now - self._start_seconds,
            left=call.ends_at - now,
            longest=longest,
            reopening=self._reopening(call, away, longest),
        )
        limited = self._limits.expected_wait(self._endpoints(), len(self.line))
        if limited > min(longest, max(0.0, wish.patience)):
            self._limits.log_in_vain(call, self._endpoints(), limited, longest)
            raise self.refusal(call, now, Code.OVERLOADED)
        turn = _Turn(anyio.Event())
        waiter = self.line.join(wish, lambda served: turn.settled.set())
        if waiter is None:
            self._log_refusal(call, wish)
            raise self.refusal(call, now, Code.OVERLOADED)
        self._turns[id(waiter)] = turn, call.work
        self.serve_line()
        try:
            with anyio.move_on_after(max(0.0, waiter.leaves_at - now)):
                await turn.settled.wait()
        except anyio.get_cancelled_exc_class():
            if turn.place is not None:
                self.release(turn.place)
            raise
        finally:
            self._leave(waiter)
        if turn.place is None:
            raise self.refusal(call, now, Code.OVERLOADED)
        return turn.place

    def _reopening(self, call: Admitted, away: float | None, longest: float) -> float:
        """Return for how long a request waits for endpoints that take none now, 0 for not at all.

        While no group stands, as long as its caller listens: what it then gets is sooner than what
        it would come back for. So does one that has come back, for a group that is expected while
        its caller listens: it has no further try.
        """
        if away is not None:
            return longest
        back = self._partly_out.left()
        if call.returned and back is not None and back <= longest:
            return longest
        return self._refusals.wait_left() if self._refusals.closed else 0.0

    def _leave(self, waiter: Waiter) -> None:
        self._turns.pop(id(waiter), None)
        if not waiter.gone:
            self.line.leave(waiter)
            self.serve_line()

    def _log_refusal(self, call: Admitted, wish: Wish) -> None:
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            waiting=len(self.line),
            places_a_second=round(self.line.rate(), 1),
            expected=round(self.line.expected_wait(wish.rank, returned=wish.returned), 3),
            free=self._free_places(),
            limited_pause=round(self._limits.pause(self._endpoints()), 3),
            patience=round(wish.patience, 3),
            returned=wish.returned,
        ).info("turned away, it would wait in vain")

    def _log_no_endpoint(self, call: Admitted, away: float | None, longest: float) -> None:
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            standing_still=len(self._view.standing_still(self._name)),
            away=None if away is None else round(away, 3),
            longest=round(longest, 3),
        ).info("turned away, no endpoint can run it while its caller listens")

    def _begin(self, endpoint: Endpoint, work: Work) -> Place:
        self._refusals.sent()
        self._limits.sent(endpoint)
        self._loads.begin(endpoint.id, work)
        return Place(endpoint, work)

    def _endpoints(self, only: Set[str] | None = None) -> tuple[Endpoint, ...]:
        found = self._view.serving(self._name)
        return found if only is None else tuple(each for each in found if each.id in only)

    def _kv_tokens(self) -> int:
        table = self._view.table
        service = table.services.get(self._name) if table is not None else None
        return service.engine.kv_tokens if service is not None and service.engine else 0


def _is_complete(still: Sequence[Endpoint]) -> bool:
    """Return whether some group that does not stand has all its ranks: it is about to form.

    Only those count that say themselves that it does not: the entry of a rank that ended stays for
    some seconds and says what it said before.
    """
    seats = [
        each.membership
        for each in still
        if each.membership is not None and not each.membership.formed
    ]
    ranks = Counter((seat.group, seat.size) for seat in seats)
    return any(size and count >= size for (_, size), count in ranks.items())


def _longest_wait(call: Admitted, now: float) -> float:
    """Return for how long a request may wait before its caller gives it up, or would soon."""
    left = call.ends_at - now
    if call.route.repeat is not Repeat.STREAM:
        return left
    return min(left, call.arrived_at + call.route.stream_timeout - START_SECONDS - now)
