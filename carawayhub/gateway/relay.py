"""Forwards a request to an endpoint, and retries it at another one where the failure allows that.

The caller gets "not run" (503) only if the request was sent to no endpoint, or if every endpoint
that received it reported that it did not run it. Any other failure is a 502, a 504 or a broken
answer.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code, Outcome
from carawayhub.endpoints.boundedreads import AnswerMemory, CollectedAnswer
from carawayhub.endpoints.endings import BrokenAnswer, Endings
from carawayhub.endpoints.upstream import (
    CONNECTION_CLOSE,
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
    UpstreamTimeouts,
)
from carawayhub.errors import RequestError
from carawayhub.gateway.answer import CallerAnswer
from carawayhub.gateway.calls import (
    Admitted,
    AnswerHead,
    CallerWire,
    Dispatch,
)
from carawayhub.gateway.events import EventBuffer
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Work, work_key
from carawayhub.gateway.model import Endpoint, Repeat
from carawayhub.gateway.pool import REJECTED_CODES, ServicePool, Slot
from carawayhub.gateway.statements import ReplicaStatements
from carawayhub.gateway.view import FleetView

OK_STATUS = 200
SERVER_ERROR = 500

FIRST_ATTEMPT_FRACTION = 0.4
"""Fraction of the remaining time that the first endpoint of a repeatable request has to answer. If
it stays silent, a second endpoint has the larger part left."""

MIN_SILENCE_SECONDS = 0.8
"""Seconds without an answer after which an endpoint counts as failing if the caller disconnects:
twice the time within which callers want a first event."""

_UNREACHABLE_CODES = frozenset({Code.CONNECT_FAILED, Code.ANSWER_STALLED})
"""Failures of the endpoint or of the path to it, as opposed to failures of one answer."""

_REFUSED_CODES = frozenset({Code.ENDPOINT_REFUSED, Code.WEIGHTS_DIFFER})
"""Requests that their endpoint did not run."""

_CUT_CODES = frozenset({Code.ANSWER_TOO_LARGE, Code.ANSWER_STALLED})
"""Answers that are cut off here, since they are too large or do not get on."""


@dataclass(slots=True)
class _Progress:
    """Progress of a request.

    Attributes:
        call: The request.
        answer: Its answer.
        events: Complete events of a stream that were sent to the caller.
        tried: Endpoints that the request was sent to, that were unreachable or that are stalled.
        sends: Number of times the request was sent.
        sent_to: Endpoints that the request was sent to.
        may_have_run: Whether an endpoint may have run the request.
        last: Error of the latest attempt.
    """

    call: Admitted
    answer: CallerAnswer
    events: EventBuffer = field(default_factory=EventBuffer)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    sent_to: set[str] = field(default_factory=set)
    may_have_run: bool = False
    last: RequestError | None = None


def _may_belong_to(head: AnswerHead, call: Admitted) -> bool:
    """Return whether an answer names the request or none; a late second answer names another."""
    return head.request_id in (b"", call.req.id)


def _ignore_cut(service: str, code: Code) -> None:
    return


@dataclass(frozen=True, slots=True)
class RelayParts:
    """Dependencies of a relay.

    Attributes:
        clock: Source of time.
        view: Known state of the fleet.
        health: Records the success and failure of requests at endpoints.
        upstream: Connections to endpoints.
        wire: Wire format of requests and answers.
        pool: Returns the pool of a service.
        entries: Returns the most entries known at one time, 0 before any was received.
        load: Returns the known work at an endpoint.
        endings: Records which requests were running when an endpoint ended.
        statements: Evaluates what replicas state in their answers.
        memory: Memory for answers that are collected.
        answer_cut: Called with the service and the code of each answer that was cut off here.
    """

    clock: Clock
    view: FleetView
    health: Health
    upstream: Upstream
    wire: CallerWire
    pool: Callable[[str], ServicePool]
    entries: Callable[[], int]
    load: Callable[[str], Work]
    endings: Endings
    statements: ReplicaStatements
    memory: AnswerMemory = field(default_factory=AnswerMemory)
    answer_cut: Callable[[str, Code], None] = _ignore_cut


class GatewayRelay:
    """Relays requests.

    Args:
        parts: Its dependencies.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts

    async def run(self, call: Admitted, answer: CallerAnswer) -> None:
        """Answer a request.

        Raises:
            RequestError: The request has no answer. If ``answer.started``, the connection must be
                closed.
        """
        self._parts.endings.admit(call.traits)
        progress = _Progress(call, answer)
        pool = self._parts.pool(call.service)
        pool.retries.arrived()
        left = call.ends_at - self._now()
        with anyio.move_on_after(left):
            await self._try_endpoints(progress, pool)
            return
        raise self._timeout_error(progress, pool)

    async def _try_endpoints(self, progress: _Progress, pool: ServicePool) -> None:
        with self._parts.endings.waiting(progress.call.traits):
            slot: Slot | None = await pool.acquire(progress.call, self._now())
        while slot is not None:
            refused = False
            try:
                await self._try_endpoint(progress, pool, slot)
                return
            except RequestError as exc:
                progress.last = exc
                refused = exc.code in _REFUSED_CODES
            finally:
                pool.release(slot, ran=not refused)
            slot = self._next_slot(progress, pool) or await self._wait_for_slot(progress, pool)
        raise self._final_error(progress, pool)

    def _next_slot(self, progress: _Progress, pool: ServicePool) -> Slot | None:
        """Return the slot of the next attempt, None if another one is not allowed or possible."""
        call = progress.call
        if not self._may_resend(progress):
            return None
        if len(progress.sent_to) >= call.route.attempts:
            return None
        if progress.may_have_run and not call.route.repeatable:
            return None
        if progress.sends and not pool.retries.spend(self._parts.entries()):
            return None
        return pool.acquire_for_retry(call, progress.tried)

    def _may_resend(self, progress: _Progress) -> bool:
        """Return whether a request may be sent again, given the endpoints that ended running it."""
        return self._parts.endings.may_resend(
            progress.call.traits, progress.sends, begun=bool(progress.events.last_id)
        )

    async def _wait_for_slot(self, progress: _Progress, pool: ServicePool) -> Slot | None:
        """Wait for a slot for a request that endpoints refused, and return it.

        A request that was sent to its maximum number of endpoints returns to one of these.
        """
        last = progress.last
        if last is None or last.code not in REJECTED_CODES or progress.may_have_run:
            return None
        if not self._may_resend(progress):
            return None
        full = len(progress.sent_to) >= progress.call.route.attempts
        with self._parts.endings.waiting(progress.call.traits):
            slot = await pool.wait_for_retry(progress.call, progress.sent_to if full else None)
        if slot is None:
            return None
        if not pool.retries.spend(self._parts.entries()):
            pool.release(slot, ran=False)
            return None
        return slot

    async def _try_endpoint(self, progress: _Progress, pool: ServicePool, slot: Slot) -> None:
        endpoint = slot.endpoint
        progress.tried.add(endpoint.id)
        sent_at = self._now()
        try:
            await self._exchange(progress, pool, slot, sent_at)
        except RequestError as exc:
            self._record_failure(progress, pool, slot, exc, sent_at)
            if exc.code is Code.ANSWER_CUT:
                await self._handle_broken_answer(progress, slot.endpoint, sent_at)
            raise
        except anyio.get_cancelled_exc_class():
            self._record_silence(progress, slot, sent_at)
            raise

    async def _handle_broken_answer(
        self, progress: _Progress, endpoint: Endpoint, sent_at: float
    ) -> None:
        """Check whether an endpoint ended, and if so stop sending to it and its group."""
        view, call = self._parts.view, progress.call
        ended = await self._parts.endings.broke_off(
            BrokenAnswer(
                request=call.req.id.decode("latin-1"),
                traits=call.traits,
                endpoint=endpoint.id,
                service=call.service,
                address=endpoint.address,
                lifetime=work_key(endpoint.id),
                planned=view.is_departing(endpoint.id),
                sent_at=sent_at,
                events=progress.events.complete,
            )
        )
        if ended:
            self._parts.health.unreachable(endpoint.id)
            view.rank_ended(endpoint)

    def _record_silence(self, progress: _Progress, slot: Slot, sent_at: float) -> None:
        """Count a failure of an endpoint that sent nothing until the caller disconnected.

        An endpoint that accepts requests and never answers appears least loaded and would be
        chosen again. Its callers disconnect before any timeout of this entry expires.
        """
        seconds = self._now() - sent_at
        if slot.read or progress.answer.started or seconds < MIN_SILENCE_SECONDS:
            return
        self._parts.health.answered(slot.endpoint.id, seconds, ok=False)
        logger.bind(
            request=progress.call.req.id.decode("latin-1"),
            endpoint=slot.endpoint.id,
            seconds=round(seconds, 3),
        ).info("nothing came until the caller left")

    def _record_failure(
        self, progress: _Progress, pool: ServicePool, slot: Slot, exc: RequestError, sent_at: float
    ) -> None:
        endpoint = slot.endpoint
        if exc.code in _UNREACHABLE_CODES:
            self._parts.health.unreachable(endpoint.id)
        if exc.code is Code.ENDPOINT_REFUSED:
            pool.refused(slot)
        if exc.code in _CUT_CODES:
            self._parts.answer_cut(progress.call.service, exc.code)
        if exc.outcome is not Outcome.NOT_RUN:
            progress.may_have_run = True
            self._parts.health.answered(endpoint.id, self._now() - sent_at, ok=False)
        logger.bind(
            request=progress.call.req.id.decode("latin-1"),
            endpoint=endpoint.id,
            code=int(exc.code),
            detail=exc.detail,
            seconds=round(self._now() - sent_at, 3),
            after_event=progress.events.last_id.decode("latin-1"),
        ).info("attempt failed")

    async def _exchange(
        self, progress: _Progress, pool: ServicePool, slot: Slot, sent_at: float
    ) -> None:
        """Send a request and relay its answer.

        Raises:
            RequestError: The request has no complete answer.
        """
        req = self._upstream_request(progress, pool, slot)
        progress.events.restart()
        async with self._parts.upstream.open(req) as response:
            await self._relay_answer(progress, pool, slot, sent_at, response, req.timeouts)

    async def _relay_answer(
        self,
        progress: _Progress,
        pool: ServicePool,
        slot: Slot,
        sent_at: float,
        response: UpstreamResponse,
        timeouts: UpstreamTimeouts,
    ) -> None:
        head = self._parts.wire.answer(response.status, list(response.headers))
        if head.misdirected and _may_belong_to(head, progress.call):
            self._record_misdirected(progress.call, slot.endpoint)
        self._parts.statements.evaluate(progress.call, pool, slot.endpoint, head, sent_at)
        self._check_answer(progress, head)
        if head.is_stream and head.status == OK_STATUS:
            complete = await self._relay_stream(
                progress, pool, slot, sent_at, head, response, timeouts
            )
        else:
            complete = await self._relay_complete_answer(progress, slot, sent_at, head, response)
        if complete:
            self._parts.endings.answered(progress.call.traits)

    def _record_misdirected(self, call: Admitted, endpoint: Endpoint) -> None:
        """Record that another incarnation has the address of an endpoint.

        An endpoint with another version of the weights answers a request for a certain version with
        the same status, which says nothing of other requests.
        """
        if not call.req.expects_version:
            self._parts.view.misdirected(endpoint.id)

    def _check_answer(self, progress: _Progress, head: AnswerHead) -> None:
        """Raise if an answer must not reach the caller.

        Guards against the answer to another request in place of this one's, and against bytes
        that the endpoint did not send.
        """
        if head.not_run and _may_belong_to(head, progress.call):
            versions = head.misdirected and progress.call.req.expects_version
            code = Code.WEIGHTS_DIFFER if versions else Code.ENDPOINT_REFUSED
            raise RequestError(code, f"status {head.status}")
        if head.request_id != progress.call.req.id:
            raise RequestError(
                Code.ANSWER_MIXED, "the answer does not carry the id of this request"
            )
        if not head.sealed or head.encoded:
            raise RequestError(Code.ANSWER_MIXED, "the answer has no response seal or is encoded")
        if head.status >= SERVER_ERROR and (progress.answer.started or self._may_repeat(progress)):
            raise RequestError(Code.ENDPOINT_ERROR, f"status {head.status}")
        if progress.answer.started and head.status != OK_STATUS:
            raise RequestError(Code.ANSWER_CUT, f"the resumed stream has status {head.status}")

    def _may_repeat(self, progress: _Progress) -> bool:
        call = progress.call
        return (
            call.route.repeatable
            and len(progress.sent_to) < call.route.attempts
            and len(self._parts.pool(call.service).endpoints(call)) > 1
        )

    async def _relay_complete_answer(
        self,
        progress: _Progress,
        slot: Slot,
        sent_at: float,
        head: AnswerHead,
        response: UpstreamResponse,
    ) -> bool:
        """Relay an answer in one piece; return whether it is known to be complete."""
        with CollectedAnswer(self._parts.memory) as collected:
            body = await collected.read(response.aiter_stream(), response.stated_length)
            complete = await self._verify_end(slot.endpoint, response)
            ok = head.status < SERVER_ERROR
            self._parts.health.answered(slot.endpoint.id, self._now() - sent_at, ok=ok)
            await progress.answer.whole(head.status, head.headers, body)
        return complete

    async def _verify_end(self, endpoint: Endpoint, response: UpstreamResponse) -> bool:
        """Return whether the end of an answer is known to be its own end.

        Raises:
            RequestError: ANSWER_CUT.
        """
        if response.framed:
            return True
        if not self._parts.view.is_group_available(endpoint):
            # Ranks of a group that stands still break off their answers and go on listening.
            raise RequestError(Code.ANSWER_CUT, "the group stands still")
        return await self._parts.endings.verify_end(endpoint.address)

    async def _relay_stream(
        self,
        progress: _Progress,
        pool: ServicePool,
        slot: Slot,
        sent_at: float,
        head: AnswerHead,
        response: UpstreamResponse,
        timeouts: UpstreamTimeouts,
    ) -> bool:
        """Relay a stream event by event; return whether it is known to be complete."""
        events = progress.events
        event_at = sent_at
        async for data in response.aiter_stream():
            whole = events.feed(data)
            if not whole:
                continue
            now = self._now()
            if slot.read:
                pool.record_pause(slot, now - event_at)
            else:
                pool.record_first_event(slot, now - sent_at)
                self._parts.health.answered(slot.endpoint.id, now - sent_at, ok=True)
            event_at = now
            if not progress.answer.started:
                await progress.answer.start(head.status, head.headers)
            await progress.answer.part(whole)
            timeouts.got_on(self._now() + progress.call.route.stream_timeout)
        if events.unfinished:
            raise RequestError(Code.ANSWER_CUT, "the stream ended in the middle of an event")
        resumed = events.last_id or progress.call.req.last_event_id
        if not response.framed and not events.complete and not resumed:
            raise RequestError(Code.ANSWER_CUT, "the stream ended before its first event")
        complete = await self._verify_end(slot.endpoint, response)
        if not progress.answer.started:
            await progress.answer.start(head.status, head.headers)
        await progress.answer.end()
        return complete

    def _upstream_request(
        self, progress: _Progress, pool: ServicePool, slot: Slot
    ) -> UpstreamRequest:
        call, endpoint = progress.call, slot.endpoint
        now = self._now()
        headers = self._parts.wire.dispatch(
            call.req,
            Dispatch(
                replica=endpoint.incarnation.replica,
                seconds=call.ends_at - now,
                organisation=call.organisation.name if call.organisation else "",
                urgency=call.priority,
                last_event_id=progress.events.last_id or call.req.last_event_id,
            ),
        )
        silence = self._silence_timeout(progress, now)
        left = call.ends_at - now
        answer_by = now + silence if silence < left else math.inf
        if call.route.repeat is Repeat.ONCE:
            # The endpoint may be closing a reused connection at this moment. It would then be
            # unknown whether the request ran, so it could be neither repeated nor refused.
            headers.append(CONNECTION_CLOSE)
        return UpstreamRequest(
            endpoint=endpoint.id,
            url=f"http://{endpoint.address}/",
            target=call.req.target,
            method=call.req.method,
            headers=headers,
            body=call.req.body,
            timeouts=UpstreamTimeouts.waiting(silence, answer_by),
            still_allowed=lambda: self._claim_send(progress, pool, endpoint.id),
            fresh=call.route.repeat is Repeat.ONCE,
        )

    def _claim_send(self, progress: _Progress, pool: ServicePool, endpoint_id: str) -> bool:
        endpoint = self._parts.view.endpoint(endpoint_id)
        if endpoint is None or not self._parts.view.is_group_available(endpoint):
            return False
        if not pool.is_accepting(endpoint_id) or not pool.is_allowed(progress.call, endpoint):
            return False
        if not self._may_resend(progress):
            return False
        if not pool.claim_send(endpoint_id):
            return False
        progress.sends += 1
        progress.sent_to.add(endpoint_id)
        self._log_send(progress, endpoint_id)
        return True

    def _log_send(self, progress: _Progress, endpoint_id: str) -> None:
        view, call = self._parts.view, progress.call
        load = self._parts.load(endpoint_id)
        logger.bind(
            request=call.req.id.decode("latin-1"),
            content=call.traits.content.hex(),
            endpoint=endpoint_id,
            attempt=progress.sends,
            waited=round(self._now() - call.arrived_at, 4),
            present=load.requests,
            reading=load.reading,
            revision=view.revision.number,
            era=view.revision.era,
            view_age=round(view.age, 2),
            after_event=progress.events.last_id.decode("latin-1"),
        ).info("sent to an endpoint")

    def _silence_timeout(self, progress: _Progress, now: float) -> float:
        """Return the seconds for which an endpoint may send nothing."""
        route = progress.call.route
        left = max(0.01, progress.call.ends_at - now)
        match route.repeat:
            case Repeat.STREAM:
                return route.stream_timeout
            case Repeat.IDEMPOTENT:
                return left * FIRST_ATTEMPT_FRACTION if self._may_repeat(progress) else left
            case Repeat.ONCE:
                return left

    def _final_error(self, progress: _Progress, pool: ServicePool) -> RequestError:
        """Return the error for the caller after the last attempt."""
        last = progress.last
        if last is not None and progress.may_have_run:
            if last.outcome is Outcome.NOT_RUN:
                return RequestError(Code.ANSWER_CUT, last.detail)
            return last
        self._parts.endings.check(progress.call.traits)
        code = last.code if last is not None else Code.NO_ENDPOINT
        return pool.rejection(progress.call, self._now(), code)

    def _timeout_error(self, progress: _Progress, pool: ServicePool) -> RequestError:
        if progress.sends:
            return RequestError(Code.ANSWER_TIMEOUT, progress.call.route.name)
        return pool.rejection(progress.call, self._now(), Code.OVERLOADED)

    def _now(self) -> float:
        return self._parts.clock.monotonic()
