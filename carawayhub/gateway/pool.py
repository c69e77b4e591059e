"""Grants requests slots at the endpoints of a service, queues them or rejects them."""

import math
import random
from collections.abc import Callable, Mapping, Sequence, Set
from dataclasses import dataclass

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import RequestError
from carawayhub.gateway.backoff import Backoffs
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.coldreplicas import ColdReplicas
from carawayhub.gateway.freeslots import FreeSlots
from carawayhub.gateway.health import Health
from carawayhub.gateway.line import RequestQueue, Requirements, Waiter
from carawayhub.gateway.loads import Loads, Work, work_key
from carawayhub.gateway.locality import Locality
from carawayhub.gateway.model import Endpoint, Repeat
from carawayhub.gateway.placement import Placement, Selection
from carawayhub.gateway.refusals import Refusals
from carawayhub.gateway.regions import AllowedRegions, RegionSelection
from carawayhub.gateway.regionslots import RegionShares
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.servicelimits import ServiceLimits
from carawayhub.gateway.serviceorder import Holding, ServiceOrder, organisation_hash
from carawayhub.gateway.serviceoutages import ServiceOutages
from carawayhub.gateway.serviceslots import ServiceSlots
from carawayhub.gateway.slotforecast import SlotForecast
from carawayhub.gateway.view import FleetView
from carawayhub.limits.claims import Claims
from carawayhub.limits.replicarate import ReplicaRates
from carawayhub.limits.slotrows import SlotCounts

FIRST_EVENT_WEIGHT = 0.1
"""Weight of one request in the moving average of the time from dispatch to first event."""

MIN_SAMPLE_SIZE = 2
"""Minimum number of endpoints to choose from; the better of two keeps loads close."""

SAMPLE_RATIO = 2.0
"""Factor on the sample size, which is the number of endpoints divided by the number of requests
that arrive at all entries within one propagation delay. Without sampling, all entries would send
these requests to the same least loaded endpoint; each entry draws a sample of its own instead."""

RETRY_POLL_SECONDS = 0.05
"""Interval at which a refused request checks for an endpoint that accepts it: about one engine
pass."""

FIRST_EVENT_SECONDS = 0.7
"""Time that a stream needs from dispatch to first event at engines that have just become available
again. A stream is not queued longer than its caller's silence timeout minus this time: the caller
would disconnect just before the first event, after the engine has processed the prompt, as 130
callers did after a power loss."""

FREE_SLOT_RETRY_SECONDS = 0.03
"""Retry time of a refused caller while slots are free: it reconnects, and can still be in time."""

REJECTED_CODES = frozenset({Code.ENDPOINT_REFUSED, Code.ENDPOINT_LEAVING})
"""Failures of attempts that an endpoint refused, or would have refused, without running them."""

BACKOFF_MARGIN_SECONDS = 0.25
"""Seconds after the end of a backoff within which waiting requests are served."""


@dataclass(slots=True)
class Slot:
    """A slot at an endpoint, held by a request.

    Attributes:
        endpoint: The endpoint.
        work: Work that the request causes at the endpoint.
        read: Whether the endpoint has processed the prompt.
        holding: What counts the request in the order, None if nothing does.
    """

    endpoint: Endpoint
    work: Work
    read: bool = False
    holding: Holding | None = None


@dataclass(slots=True)
class _PendingSlot:
    """The outcome of a queued request.

    Attributes:
        settled: Set when the request has a slot or is rejected.
        slot: The slot, None if the request is rejected.
    """

    settled: anyio.Event
    slot: Slot | None = None


class ServicePool:
    """The endpoints of one service, shared by the requests of this entry.

    Args:
        name: Name of the service.
        view: Provides the endpoints.
        loads: Work in flight.
        health: Failures, refusals and answer times of endpoints.
        clock: Source of time.
        rng: Random number generator.
        retries: This entry's share of the service's retry budget.
        fleet_delay: Returns the propagation delay in seconds, multiplied by the number of entries.
        propagation_delay: Returns the seconds after which entries know of each other's choices.
        rates: Rate limits announced by replicas; None for a separate set for this pool.
        known_share: Returns the share of all entries from which this one receives updates.
        failure_domain: Failure domain of this entry.
        domain_margin: See ``GatewayOptions``.
        allowed: Allowed regions of requests; None if the regions of endpoints are unknown.
        cold: Cold replicas, None if they are not tracked.

    Attributes:
        locality: Preference for the failure domain of this entry, None if the margin is 0.
        slot_counts: Requests by priority and organisation; None for a separate set for this pool.
        fair_shares: See ``GatewayOptions``.

    Attributes:
        order: Order of the service's requests by priority.
        queue: Requests that wait for a slot.
        retries: This entry's share of the service's retry budget.
        backoff_rejections: Requests rejected since all endpoints had requested a backoff.
        evacuation_rejections: Requests rejected since all endpoints are evacuated.
        region_rejections: Requests rejected since no endpoint is in their allowed regions.
    """

    __slots__ = (
        "_allowed",
        "_backoffs",
        "_claims",
        "_clock",
        "_first_event_seconds",
        "_forecast",
        "_fleet_delay",
        "_health",
        "_limits",
        "_loads",
        "_name",
        "_pending",
        "_placement",
        "_propagation_delay",
        "_outages",
        "_refusals",
        "_region_shares",
        "_selected_accepting",
        "_selection",
        "_slots",
        "_view",
        "_warm_slots",
        "backoff_rejections",
        "evacuation_rejections",
        "locality",
        "order",
        "queue",
        "region_rejections",
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
        fleet_delay: Callable[[], float] = lambda: 0.0,
        propagation_delay: Callable[[], float] = lambda: 0.0,
        rates: ReplicaRates | None = None,
        known_share: Callable[[], float] = lambda: 1.0,
        failure_domain: str = "",
        domain_margin: float = 0.0,
        allowed: AllowedRegions | None = None,
        cold: ColdReplicas | None = None,
        slot_counts: SlotCounts | None = None,
        fair_shares: bool = False,
    ) -> None:
        self._name = name
        self.order = ServiceOrder(
            name,
            clock,
            slot_counts or SlotCounts(clock),
            lambda: view.table,
            propagation_delay,
            fair_shares=fair_shares,
        )
        self._view = view
        self._loads = loads
        self._clock = clock
        self._health = health
        self._refusals = Refusals(clock)
        self._backoffs = Backoffs(clock)
        self.backoff_rejections = 0
        self.evacuation_rejections = 0
        self.region_rejections = 0
        self._allowed = allowed or AllowedRegions(view, {})
        self._selection = RegionSelection(self._allowed)
        self._selected_accepting = RegionSelection(self._allowed)
        self._region_shares = RegionShares(clock, rng, loads)
        self._outages = ServiceOutages(name, view, clock)
        self._claims = Claims(clock, rng)
        self._propagation_delay = propagation_delay
        self.locality = (
            Locality(name, failure_domain, domain_margin, loads, clock, rng, self._accepting)
            if domain_margin > 0.0
            else None
        )
        self._placement = Placement(loads, health, rng, self.locality)
        self._slots = ServiceSlots(
            name,
            clock,
            loads,
            lambda: view.table,
            self._accepting,
            self._counted_endpoints,
            self._fleet_rate,
        )
        self._warm_slots = FreeSlots(loads)
        self._fleet_delay = fleet_delay
        self._forecast = SlotForecast(clock)
        self._first_event_seconds = 0.0
        self._pending: dict[int, tuple[_PendingSlot, Admitted]] = {}
        self.queue = RequestQueue(clock, rng)
        self.retries = retries
        rates = rates or ReplicaRates(clock, rng, work_key)
        self._limits = ServiceLimits(
            name, rates, retries.rate, fleet_delay, propagation_delay, known_share, cold
        )

    @property
    def held_back(self) -> int:
        """Number of times that an endpoint was skipped because of its rate limit."""
        return self._limits.held_back

    async def acquire(self, call: Admitted, now: float) -> Slot:
        """Return a slot for a request, waiting in the queue if none is free.

        Raises:
            RequestError: NO_ENDPOINT, OVERLOADED, REGIONS_CONTRADICT, REGION_WITHOUT_ENDPOINT.
        """
        self._check_regions(call, now)
        if not call.returned:
            self._forecast.record_arrival()
        self.order.record_arrival(call)
        slot = self._acquire_now(call)
        if slot is not None:
            return slot
        return await self._wait(call, now)

    def acquire_for_retry(self, call: Admitted, tried: Set[str]) -> Slot | None:
        """Return a slot for another attempt, or None if no other endpoint is left.

        The request is not queued again: its caller has already waited once.
        """
        chosen = self._choose(call, tried)
        return None if chosen is None else self._begin(chosen.endpoint, call.work, call)

    async def wait_for_retry(self, call: Admitted, only: Set[str] | None) -> Slot | None:
        """Return a slot for a refused request once its endpoints accept requests again.

        Args:
            call: The request.
            only: Ids of the endpoints that it may be sent to, None for any.

        Returns:
            The slot, or None if there is none in time.
        """
        now = self._clock.monotonic()
        longest = self._retry_wait(call, now, only)
        if longest <= 0.0:
            return None
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            longest=round(longest, 3),
            endpoints=len(self._endpoints(call, only)),
        ).info("request refused; waiting for endpoints to accept requests again")
        ends_at = now + longest
        while self._clock.monotonic() < ends_at and self._may_recover(call, only):
            chosen = self._choose(call, frozenset(), only)
            if chosen is not None and chosen.free:
                return self._begin(chosen.endpoint, call.work, call)
            await anyio.sleep(RETRY_POLL_SECONDS)
        return None

    def _retry_wait(self, call: Admitted, now: float, only: Set[str] | None) -> float:
        """Return the seconds that a refused request waits for its endpoints, 0 for no wait."""
        longest = _longest_wait(call, now)
        away = self._outages.left()
        if away is not None:
            return longest if away <= longest else 0.0
        backoff = self._backoff_left(call, only)
        if backoff is not None:
            return longest if backoff <= self._backoff_wait(call, now) else 0.0
        return min(self._refusals.wait_left(), longest)

    def _backoff_left(self, call: Admitted, only: Set[str] | None = None) -> float | None:
        """Return the seconds until the first backoff ends, None if some endpoint has none."""
        return self._backoffs.left(self._endpoints(call, only))

    def _backoff_wait(self, call: Admitted, now: float) -> float:
        """Return the seconds that a request may wait while all endpoints have a backoff.

        A new request waits only if it can still be in time. One that returned is late in any case,
        and a second refusal would leave its caller without an answer.
        """
        longest = _longest_wait(call, now)
        return longest if call.returned else min(longest, self._patience(call, now))

    def _patience(self, call: Admitted, now: float) -> float:
        """Return the seconds that a request can wait and still be in time."""
        return call.arrived_at + call.route.target - now - self._first_event_seconds

    def _may_recover(self, call: Admitted, only: Set[str] | None) -> bool:
        return bool(self._endpoints(call, only)) or self._outages.left() is not None

    def record_backoff(self, endpoint_id: str, seconds: float) -> None:
        """Record that an endpoint wants no requests of this entry for so many seconds."""
        self._backoffs.record(endpoint_id, seconds)

    def backing_off(self) -> list[str]:
        """Return the endpoints that requested a backoff of this entry."""
        return self._backoffs.active_ids()

    def is_accepting(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has not requested a backoff."""
        return not self._backoffs.active(endpoint_id)

    def claim_send(self, endpoint_id: str) -> bool:
        """Return whether a request may be sent to an endpoint now, which may be cold, and count it.

        Called right before the first byte, as the last check.
        """
        return self._limits.claim_send(endpoint_id)

    def refused(self, slot: Slot) -> None:
        """Record that an endpoint refused a request without running it.

        Ignored for plain services: they refuse while their queue is full, which lasts a few
        milliseconds. Only a refusal by an engine predicts the outcome of the next request. It
        speaks for that engine alone if it requested a backoff, or while others run requests.
        """
        if not self._kv_tokens():
            return
        self._health.refused(slot.endpoint.id)
        if self._backoffs.active(slot.endpoint.id):
            return
        if self._do_others_run():
            self._health.answered(slot.endpoint.id, 0.0, ok=False)
            return
        if self._refusals.refused():
            logger.bind(service=self._name, endpoint=slot.endpoint.id).warning(
                "engines refuse all requests; sending only occasional probes"
            )

    def _do_others_run(self) -> bool:
        """Return whether engines that refuse nothing are known to run requests.

        Requests count once their prompt is processed: an engine may still refuse the others.
        """
        for each in self._accepting():
            work = self._loads.total(each.id)
            if work.requests and not work.reading and not self._health.refusing(each.id):
                return True
        return False

    def record_first_event(self, slot: Slot, seconds: float) -> None:
        """Record the first event of a request, ``seconds`` after it was sent."""
        weight = FIRST_EVENT_WEIGHT if self._first_event_seconds else 1.0
        self._first_event_seconds += weight * (seconds - self._first_event_seconds)
        if self._refusals.answered():
            logger.bind(service=self._name, endpoint=slot.endpoint.id).info(
                "engines accept requests again"
            )
            self._health.clear_refusals(each.id for each in self._endpoints())
        if not slot.read:
            slot.read = True
            self._loads.mark_prompt_read(slot.endpoint.id, slot.work.reading)

    def record_pause(self, slot: Slot, seconds: float) -> None:
        """Record the time between two events of a stream."""
        self._slots.record_pause(slot.endpoint, seconds)

    def pass_bounds(self) -> Mapping[str, int]:
        """Return the bounds that keep the passes of groups within the accepted pause."""
        return self._slots.pass_bounds()

    def release(self, slot: Slot, *, ran: bool = True) -> None:
        """Release a slot and serve the queue.

        Args:
            slot: The slot.
            ran: Whether its request may have run; one that did not is left out of the rate at
                which slots become free.
        """
        work = slot.work
        left = Work(work.requests, 0 if slot.read else work.reading, work.tokens)
        self._loads.end(slot.endpoint.id, left)
        self._claims.record_release()
        self.order.record_end(slot.holding)
        if ran:
            self.queue.ended()
            self._forecast.record_end()
        self.serve_queue()

    def update_outages(self) -> None:
        """Update the outages from the availability of the service's groups."""
        self._outages.update()

    def serve_queue(self) -> None:
        """Assign free slots to queued requests in queue order."""
        if len(self.queue) and self._is_evacuated():
            self._reject_waiting()
        if self.order.active and len(self.queue):
            self._serve_minimum()
        full: list[frozenset[str]] = []
        while (waiter := self._next_waiter(full)) is not None:
            if self._serve(waiter) or self._serve_others(waiter):
                continue
            regions = self._allowed.of(self._pending[id(waiter)][1])
            if regions is None:
                return
            full.append(regions)

    def _next_waiter(self, full: Sequence[frozenset[str]]) -> Waiter | None:
        """Return the next request to serve.

        Args:
            full: Sets of regions without a free slot; requests within one of them are passed over,
                as they would block those for which there are slots elsewhere.
        """
        if not full:
            return self.queue.first()
        for waiter in self.queue.in_order():
            regions = self._allowed.of(self._pending[id(waiter)][1])
            if regions is None or not any(regions <= each for each in full):
                return waiter
        return None

    def _is_evacuated(self) -> bool:
        """Return whether evacuations leave the service no endpoint, nor a group about to form."""
        if self._endpoints() or not self._view.has_evacuated(self._name):
            return False
        return self._outages.left() is None

    def _reject_waiting(self) -> None:
        """Reject all queued requests: an evacuation lasts longer than any of them can wait."""
        while (waiter := self.queue.first()) is not None:
            self.queue.leave(waiter)
            waiter.notify(False)

    def _serve(self, waiter: Waiter) -> bool:
        """Assign a free slot to a queued request; return whether it has one."""
        pending, call = self._pending[id(waiter)]
        slot = self._acquire_free(call)
        if slot is None:
            return False
        pending.slot = slot
        self.order.leave(call)
        self.queue.serve(waiter)
        return True

    def _serve_minimum(self) -> None:
        """Assign slots to less urgent requests that have waited while urgent ones took them."""
        for waiter in self.queue.heads():
            if not waiter.returned and self.order.decision.is_due(waiter.rank):
                self._serve(waiter)

    def _serve_others(self, held_back: Waiter) -> bool:
        """Assign a slot to a request behind the first one, where an order applies."""
        if not (self.order.active or self.order.sharing) or self._slots.free() < 1:
            return False
        heads = self.queue.heads(by_organisation=self.order.sharing)
        others = (each for each in heads if each is not held_back)
        return any(self._serve(each) for each in others)

    def rejection(self, call: Admitted, now: float, code: Code) -> RequestError:
        """Return the error for a request that is not run now, with its retry time."""
        left = max(0.0, call.ends_at - now)
        regions = self._allowed.of(call)
        if regions is not None and not regions:
            self.region_rejections += 1
            return RequestError(Code.REGIONS_CONTRADICT, call.route.name)
        if regions is not None and self._endpoints() and not self._endpoints(call):
            self.region_rejections += 1
            code = Code.REGION_WITHOUT_ENDPOINT
        away = self._outages.left()
        if away is None:
            away = self._backoff_left(call)
        if away is None and code in REJECTED_CODES and regions is None and self._has_room():
            return RequestError(code, self._name, retry_after=FREE_SLOT_RETRY_SECONDS)
        if away is None:
            away = self._limits.mean_interval(
                self._accepting(call)
            ) or self._outages.group_recovery(left)
        return RequestError(code, self._name, retry_after=self.queue.retry_after(left, away))

    def _has_room(self) -> bool:
        """Return whether a returned request would be served at once.

        A request that was refused as often as it may be sent may go to no other endpoint, but the
        next request of its caller may.
        """
        if self._refusals.suspected or len(self.queue):
            return False
        return self._slots.free() >= self._expected_arrivals() + 1.0

    def _acquire_now(self, call: Admitted) -> Slot | None:
        return None if len(self.queue) else self._acquire_free(call)

    def _count_apart(self, call: Admitted) -> int:
        """Return the number of queued requests that wait for other endpoints than this one."""
        if not self._allowed.restricts:
            return 0
        regions = self._allowed.of(call)
        others = (
            self._allowed.of(other)
            for pending, other in self._pending.values()
            if pending.slot is None
        )
        return sum(each is not None and (regions is None or not regions <= each) for each in others)

    def _acquire_free(self, call: Admitted) -> Slot | None:
        if not self._may_claim(call):
            return None
        chosen = self._choose(call, frozenset())
        if chosen is None or not chosen.free:
            return None
        self._claims.record_acquisition()
        self.order.record_acquisition(call)
        return self._begin(chosen.endpoint, call.work, call)

    def _may_claim(self, call: Admitted) -> bool:
        """Return whether this entry may claim a free slot of the engines for a request."""
        if not self._kv_tokens():
            return True
        share = self._region_shares.of(self._allowed.of(call))
        if share is not None:
            endpoints, every = self._accepting(call), self._accepting()
            return share.may_acquire(
                endpoints,
                self._slots.group_limits(),
                self._expected_arrivals() * len(endpoints) / max(1, len(every)),
                self._propagation_delay(),
                returned=call.returned,
            )
        free = self._claimable() - (self._reserved() if call.returned else 0.0)
        if self.order.active or self.order.sharing:
            return self._claims.may_acquire(
                self.order.free_for(call, free),
                self.order.competing(call, self._expected_arrivals()),
                self._propagation_delay(),
                call.returned,
                self.order.rank(call) if self.order.active else 0,
            )
        return self._claims.may_acquire(
            free, self._expected_arrivals(), self._propagation_delay(), call.returned
        )

    def _claimable(self) -> int:
        """Return the known number of free slots that requests of this entry may take.

        Free slots of cold endpoints that get no request of this entry would let its requests
        claim more slots of warm ones than are free.
        """
        room = self._limits.cold_room()
        if room is None:
            return self._slots.free()
        warm = self._limits.warm_endpoints(self._accepting())
        return min(self._slots.free(), self._warm_slots.count_free(warm) + room)

    def _reserved(self) -> float:
        """Return the slots that new requests at all entries will lack while passes are bounded."""
        return self._forecast.shortage() * self._entries() if self._slots.pass_bounds() else 0.0

    def _entries(self) -> float:
        """Return the number of entries."""
        delay = self._propagation_delay()
        return self._fleet_delay() / delay if delay > 0.0 else 1.0

    def _fleet_rate(self) -> float:
        """Return the requests per second for the service at all entries."""
        return self.retries.recent_rate() * self._entries()

    def _counted_endpoints(self) -> Sequence[Endpoint]:
        return self._limits.counted_endpoints(self._accepting())

    def _expected_arrivals(self) -> float:
        """Return the requests that arrive at all entries within one propagation delay."""
        return self.retries.rate() * self._fleet_delay()

    def _choose(
        self, call: Admitted, tried: Set[str], only: Set[str] | None = None
    ) -> Selection | None:
        if not self._refusals.may_send():
            return None
        endpoints = self._slots.below_limits(self._accepting(call, only))
        arrivals = self._expected_arrivals()
        sample = max(MIN_SAMPLE_SIZE, math.ceil(SAMPLE_RATIO * len(endpoints) / max(1.0, arrivals)))
        tokens = self._kv_tokens()

        def pick(excluded: Set[str]) -> Selection | None:
            return self._placement.choose(endpoints, call.work, tokens, excluded, sample)

        return self._limits.choose(pick, tried, arrivals)

    async def _wait(self, call: Admitted, now: float) -> Slot:
        self.update_outages()
        away = self._outages.left()
        longest = _longest_wait(call, now)
        if not self._endpoints() and (away is None or away > longest):
            self._log_no_endpoint(call, away, longest)
            raise self.rejection(call, now, Code.NO_ENDPOINT)
        backoff = self._backoff_left(call)
        if backoff is not None and backoff > self._backoff_wait(call, now):
            self._log_backoff_rejection(call, backoff, longest)
            raise self.rejection(call, now, Code.NO_ENDPOINT)
        requirements = Requirements(
            rank=self.order.rank(call),
            returned=call.returned,
            patience=self._patience(call, now),
            left=call.ends_at - now,
            longest=longest,
            recovery_wait=self._recovery_wait(call, away, longest),
            apart=self._count_apart(call),
            entitled=self.order.entitled(call),
            organisation=organisation_hash(call),
            precedes=self.order.precedes(call),
        )
        limited = self._limits.expected_wait(self._accepting(call), len(self.queue))
        if limited > min(longest, max(0.0, requirements.patience)):
            self._limits.log_rejection(call, self._accepting(call), limited, longest)
            raise self.rejection(call, now, Code.OVERLOADED)
        pending = _PendingSlot(anyio.Event())
        waiter = self.queue.join(requirements, lambda served: pending.settled.set())
        if waiter is None:
            self._log_rejection(call, requirements)
            raise self.rejection(call, now, Code.OVERLOADED)
        self._pending[id(waiter)] = pending, call
        self.order.join(call)
        try:
            self.serve_queue()
            self._note_held_back(call, pending)
            with anyio.move_on_after(max(0.0, waiter.expires_at - now)):
                await pending.settled.wait()
        except anyio.get_cancelled_exc_class():
            if pending.slot is not None:
                self.release(pending.slot)
            raise
        finally:
            if pending.slot is None:
                self.order.leave(call)
            self._leave(waiter)
        if pending.slot is None and self._is_evacuated():
            self._log_no_endpoint(call, None, longest)
            raise self.rejection(call, self._clock.monotonic(), Code.NO_ENDPOINT)
        if pending.slot is None:
            self._check_regions(call, now)
            self.order.log_expiry(call, self._clock.monotonic() - now)
            raise self.rejection(call, now, Code.OVERLOADED)
        return pending.slot

    def _note_held_back(self, call: Admitted, pending: _PendingSlot) -> None:
        if pending.slot is None and self._kv_tokens():
            self.order.note_waiting(call, self._slots.free())

    def _recovery_wait(self, call: Admitted, away: float | None, longest: float) -> float:
        """Return the seconds that a request waits for endpoints to recover, 0 for no wait.

        While no group is available, a request waits as long as its caller does: it is then served
        sooner than after a retry. A returned request also waits that long for a group that is
        expected to recover in time, since its caller has no further attempt.
        """
        if away is not None:
            return longest
        backoff = self._backoff_left(call)
        if backoff is not None:
            return backoff + BACKOFF_MARGIN_SECONDS
        awaits_group = call.returned or not self._endpoints(call)
        if awaits_group and self._outages.group_recovery(longest) is not None:
            return longest
        return self._refusals.wait_left() if self._refusals.closed else 0.0

    def _leave(self, waiter: Waiter) -> None:
        self._pending.pop(id(waiter), None)
        if not waiter.gone:
            self.queue.leave(waiter)
            self.serve_queue()

    def _log_rejection(self, call: Admitted, requirements: Requirements) -> None:
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            waiting=len(self.queue),
            places_a_second=round(self.queue.rate(), 1),
            expected=round(
                self.queue.expected_wait(requirements.rank, returned=requirements.returned), 3
            ),
            free=self._slots.free(),
            group_limits=self._slots.group_limits(),
            limited_pause=round(self._limits.mean_interval(self._endpoints()), 3),
            patience=round(requirements.patience, 3),
            returned=requirements.returned,
            **self.order.log_fields(call),
        ).info("request rejected: no slot expected in time")

    def _log_no_endpoint(self, call: Admitted, away: float | None, longest: float) -> None:
        evacuated = self._view.has_evacuated(self._name)
        self.evacuation_rejections += evacuated
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            standing_still=len(self._view.standing_still(self._name)),
            away=None if away is None else round(away, 3),
            longest=round(longest, 3),
            evacuated=sorted(self._view.evacuated_domains()) if evacuated else [],
        ).info("request rejected: no endpoint available before the caller gives up")

    def _log_backoff_rejection(self, call: Admitted, backoff: float, longest: float) -> None:
        self.backoff_rejections += 1
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            endpoints=len(self._endpoints()),
            backoff=round(backoff, 3),
            longest=round(longest, 3),
            returned=call.returned,
        ).info("request rejected: all endpoints requested a backoff")

    def _begin(self, endpoint: Endpoint, work: Work, call: Admitted | None = None) -> Slot:
        self._refusals.sent()
        self._limits.sent(endpoint)
        self._placement.sent(endpoint)
        self._loads.begin(endpoint.id, work)
        return Slot(endpoint, work, holding=self.order.begin(call))

    def endpoints(self, call: Admitted) -> Sequence[Endpoint]:
        """Return the endpoints that a request may be sent to."""
        return self._endpoints(call)

    def is_allowed(self, call: Admitted, endpoint: Endpoint) -> bool:
        """Return whether the regions of a request allow an endpoint; if not, log this."""
        if self._allowed.allows(call, endpoint):
            return True
        logger.bind(
            request=call.req.id.decode("latin-1"),
            endpoint=endpoint.id,
            regions=sorted(self._allowed.of(call) or ()),
            region=self._allowed.region_of(endpoint.failure_domain),
            version=call.version,
        ).info("request not sent: the region of the endpoint is no longer allowed")
        return False

    def _check_regions(self, call: Admitted, now: float) -> None:
        """Raise if no endpoint is in the allowed regions of a request, nor a group that forms.

        While the service has no endpoint anywhere, this is the same for all requests.

        Raises:
            RequestError: REGIONS_CONTRADICT, REGION_WITHOUT_ENDPOINT.
        """
        regions = self._allowed.of(call)
        if regions is None or (regions and (self._endpoints(call) or not self._endpoints())):
            return
        stalled = self._view.standing_still(self._name)
        longest = _longest_wait(call, now)
        if any(self._allowed.allows(call, each) for each in stalled):
            self.update_outages()
            if self._outages.group_recovery(longest) is not None:
                return
        evacuated = self._view.evacuated_domains()
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._name,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else "",
            regions=sorted(regions),
            version=call.version,
            view_age=round(self._view.age, 2),
            evacuated=[
                each for each in sorted(evacuated) if self._allowed.region_of(each) in regions
            ],
        ).info("request rejected: no endpoint in its allowed regions")
        raise self.rejection(call, now, Code.REGION_WITHOUT_ENDPOINT)

    def _endpoints(
        self, call: Admitted | None = None, only: Set[str] | None = None
    ) -> Sequence[Endpoint]:
        found: Sequence[Endpoint] = self._view.serving(self._name)
        if call is not None:
            found = self._selection.select(found, self._allowed.of(call))
        return found if only is None else tuple(each for each in found if each.id in only)

    def _accepting(
        self, call: Admitted | None = None, only: Set[str] | None = None
    ) -> Sequence[Endpoint]:
        """Return the endpoints that have not requested a backoff."""
        found = self._backoffs.accepting(self._endpoints())
        if call is not None:
            found = self._selected_accepting.select(found, self._allowed.of(call))
        return found if only is None else tuple(each for each in found if each.id in only)

    def _kv_tokens(self) -> int:
        table = self._view.table
        service = table.services.get(self._name) if table is not None else None
        return service.engine.kv_tokens if service is not None and service.engine else 0


def _longest_wait(call: Admitted, now: float) -> float:
    """Return the seconds that a request may wait before its caller gives up or is about to."""
    left = call.ends_at - now
    if call.route.repeat is not Repeat.STREAM:
        return left
    return min(left, call.arrived_at + call.route.stream_timeout - FIRST_EVENT_SECONDS - now)
