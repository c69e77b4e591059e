"""Carries a request to an endpoint, and after a failure that allows it to another.

What the caller is told follows from one rule: "not run" (503) only where no endpoint was sent the
request or each that was said so itself; anything else that fails is 502, 504 or a broken answer.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code, Outcome
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
    NamedLimit,
    UnreadableLimit,
)
from carawayhub.gateway.events import WholeEvents
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Work, work_key
from carawayhub.gateway.model import Endpoint, Repeat
from carawayhub.gateway.pool import Place, ServicePool
from carawayhub.gateway.view import FleetView
from carawayhub.limits.replicarate import ReplicaRates

OK_STATUS = 200
SERVER_ERROR = 500

FIRST_PART = 0.4
"""Part of the remaining time that the first endpoint of a repeatable request gets to answer. What
went silent then leaves the larger part to a second one."""

SILENT_SECONDS = 0.8
"""Seconds without an answer after which an endpoint counts as failing when its caller leaves: twice
the time that callers want a first event in."""

_LOST = frozenset({Code.CONNECT_FAILED, Code.ANSWER_STALLED})
"""Failures that speak of the endpoint or the way to it, not of one answer."""


@dataclass(slots=True)
class _Course:
    """How far a request has come.

    Attributes:
        call: The request.
        answer: Its answer.
        events: Whole events of a stream that went out.
        tried: Endpoints that it was sent to, that could not be reached or that stand still.
        sends: Times that it was sent.
        sent_to: Endpoints that it was sent to.
        may_have_run: Whether some endpoint may have run it.
        last: Why the latest attempt failed.
    """

    call: Admitted
    answer: CallerAnswer
    events: WholeEvents = field(default_factory=WholeEvents)
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    sent_to: set[str] = field(default_factory=set)
    may_have_run: bool = False
    last: RequestError | None = None


@dataclass(frozen=True, slots=True)
class RelayParts:
    """What a relay works with.

    Attributes:
        clock: Source of time.
        view: What is known of the fleet.
        health: Takes what requests show of endpoints.
        upstream: Connections to endpoints.
        wire: How requests and answers are spelled.
        pool: Gives the pool of a service.
        entries: Gives the most entries known at one time, 0 while none was heard.
        load: Gives the known work at an endpoint.
        endings: Knows under which requests endpoints ended.
        rates: Takes the limits that answers name.
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
    rates: ReplicaRates


class GatewayRelay:
    """Relays requests.

    Args:
        parts: What it works with.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: RelayParts) -> None:
        self._parts = parts

    async def run(self, call: Admitted, answer: CallerAnswer) -> None:
        """Answer a request.

        Raises:
            RequestError: It has no answer; where ``answer.started`` the connection must be broken.
        """
        self._parts.endings.check(call.fingerprint)
        course = _Course(call, answer)
        pool = self._parts.pool(call.service)
        pool.retries.arrived()
        left = call.ends_at - self._now()
        with anyio.move_on_after(left):
            await self._attempts(course, pool)
            return
        raise self._out_of_time(course, pool)

    async def _attempts(self, course: _Course, pool: ServicePool) -> None:
        with self._parts.endings.waiting(course.call.fingerprint):
            place: Place | None = await pool.take(course.call, self._now())
        while place is not None:
            refused = False
            try:
                await self._attempt(course, pool, place)
                return
            except RequestError as exc:
                course.last = exc
                refused = exc.code is Code.ENDPOINT_REFUSED
            finally:
                pool.release(place, ran=not refused)
            place = self._next_place(course, pool) or await self._later_place(course, pool)
        raise self._final(course, pool)

    def _next_place(self, course: _Course, pool: ServicePool) -> Place | None:
        """Return where the request goes next, None where it must not or cannot go on."""
        call = course.call
        if not self._may_go_on(course):
            return None
        if len(course.sent_to) >= call.route.attempts:
            return None
        if course.may_have_run and not call.route.repeatable:
            return None
        if course.sends and not pool.retries.spend(self._parts.entries()):
            return None
        return pool.retake(call, course.tried)

    def _may_go_on(self, course: _Course) -> bool:
        """Return whether a request may be sent again, for all that endpoints ended under it."""
        return self._parts.endings.may_resend(course.call.fingerprint, course.sends)

    async def _later_place(self, course: _Course, pool: ServicePool) -> Place | None:
        """Return a place for a request that endpoints refused, after a wait for them.

        Where it has been sent to as many endpoints as it may be, it goes to one of these again.
        """
        last = course.last
        if last is None or last.code is not Code.ENDPOINT_REFUSED or course.may_have_run:
            return None
        if not self._may_go_on(course):
            return None
        full = len(course.sent_to) >= course.call.route.attempts
        with self._parts.endings.waiting(course.call.fingerprint):
            place = await pool.retake_later(course.call, course.sent_to if full else None)
        if place is None:
            return None
        if not pool.retries.spend(self._parts.entries()):
            pool.release(place, ran=False)
            return None
        return place

    async def _attempt(self, course: _Course, pool: ServicePool, place: Place) -> None:
        endpoint = place.endpoint
        course.tried.add(endpoint.id)
        sent_at = self._now()
        try:
            await self._exchange(course, pool, place, sent_at)
        except RequestError as exc:
            self._note_failure(course, pool, place, exc, sent_at)
            if exc.code is Code.ANSWER_CUT:
                await self._broke_off(course, place.endpoint, sent_at)
            raise
        except anyio.get_cancelled_exc_class():
            self._note_silence(course, place, sent_at)
            raise

    async def _broke_off(self, course: _Course, endpoint: Endpoint, sent_at: float) -> None:
        """See whether an endpoint ended, and leave it and its group alone."""
        view, call = self._parts.view, course.call
        ended = await self._parts.endings.broke_off(
            BrokenAnswer(
                request=call.req.id.decode("latin-1"),
                fingerprint=call.fingerprint,
                endpoint=endpoint.id,
                service=call.service,
                address=endpoint.address,
                lifetime=work_key(endpoint.id),
                planned=view.endpoint(endpoint.id) is None,
                sent_at=sent_at,
            )
        )
        if ended:
            self._parts.health.unreachable(endpoint.id)
            view.rank_ended(endpoint)

    def _note_silence(self, course: _Course, place: Place, sent_at: float) -> None:
        """Count an endpoint from which nothing came until the caller left.

        An endpoint that takes requests and never answers is the least busy of all, and would get
        the next ones as well: its callers leave before any time of this entry runs out.
        """
        seconds = self._now() - sent_at
        if place.read or course.answer.started or seconds < SILENT_SECONDS:
            return
        self._parts.health.answered(place.endpoint.id, seconds, ok=False)
        logger.bind(
            request=course.call.req.id.decode("latin-1"),
            endpoint=place.endpoint.id,
            seconds=round(seconds, 3),
        ).info("nothing came until the caller left")

    def _note_failure(
        self, course: _Course, pool: ServicePool, place: Place, exc: RequestError, sent_at: float
    ) -> None:
        endpoint = place.endpoint
        if exc.code in _LOST:
            self._parts.health.unreachable(endpoint.id)
        if exc.code is Code.ENDPOINT_REFUSED:
            pool.refused(place)
        if exc.outcome is not Outcome.NOT_RUN:
            course.may_have_run = True
            self._parts.health.answered(endpoint.id, self._now() - sent_at, ok=False)
        logger.bind(
            request=course.call.req.id.decode("latin-1"),
            endpoint=endpoint.id,
            code=int(exc.code),
            detail=exc.detail,
            seconds=round(self._now() - sent_at, 3),
            after_event=course.events.last_id.decode("latin-1"),
        ).info("attempt failed")

    async def _exchange(
        self, course: _Course, pool: ServicePool, place: Place, sent_at: float
    ) -> None:
        req = self._upstream_request(course, place)
        async with self._parts.upstream.open(req) as response:
            head = self._parts.wire.answer(response.status, list(response.headers))
            if head.misdirected:
                self._parts.view.misdirected(place.endpoint.id)
            self._read_limit(course, place.endpoint, head, sent_at)
            self._check(course, head)
            if head.is_stream and head.status == OK_STATUS:
                await self._stream(course, pool, place, sent_at, head, response)
            else:
                await self._whole(course, place, sent_at, head, response)
            if response.framed:
                self._parts.endings.answered(course.call.fingerprint)

    def _read_limit(
        self, course: _Course, endpoint: Endpoint, head: AnswerHead, sent_at: float
    ) -> None:
        """Take the limit that an answer names, if the answer is this endpoint's to this request."""
        if head.request_id not in (b"", course.call.req.id) or head.misdirected:
            return
        if not head.sealed and not head.not_run:
            return
        match head.limit:
            case NamedLimit(per_second=per_second):
                self._parts.rates.read(endpoint.id, per_second, sent_at)
            case UnreadableLimit(text=text):
                self._parts.rates.unreadable(endpoint.id, text)
            case None:
                self._parts.rates.read(endpoint.id, None, sent_at)

    def _check(self, course: _Course, head: AnswerHead) -> None:
        """Raise where an answer must not reach the caller.

        Guards against answers that belong to another request, which arrive where this one's is
        due, and against bytes of something else than the endpoint.
        """
        if head.not_run:
            raise RequestError(Code.ENDPOINT_REFUSED, f"status {head.status}")
        if head.request_id != course.call.req.id:
            raise RequestError(Code.ANSWER_MIXED, "the answer names another request")
        if not head.sealed or head.encoded:
            raise RequestError(Code.ANSWER_MIXED, "the endpoint does not vouch for the answer")
        if head.status >= SERVER_ERROR and (course.answer.started or self._may_repeat(course)):
            raise RequestError(Code.ENDPOINT_ERROR, f"status {head.status}")
        if course.answer.started and head.status != OK_STATUS:
            raise RequestError(Code.ANSWER_CUT, f"resumed with status {head.status}")

    def _may_repeat(self, course: _Course) -> bool:
        call = course.call
        return (
            call.route.repeatable
            and len(course.sent_to) < call.route.attempts
            and len(self._parts.view.serving(call.service)) > 1
        )

    async def _whole(
        self,
        course: _Course,
        place: Place,
        sent_at: float,
        head: AnswerHead,
        response: UpstreamResponse,
    ) -> None:
        body = bytearray()
        async for part in response.aiter_stream():
            body += part
        ok = head.status < SERVER_ERROR
        self._parts.health.answered(place.endpoint.id, self._now() - sent_at, ok=ok)
        await course.answer.whole(head.status, head.headers, bytes(body))

    async def _stream(
        self,
        course: _Course,
        pool: ServicePool,
        place: Place,
        sent_at: float,
        head: AnswerHead,
        response: UpstreamResponse,
    ) -> None:
        events = course.events
        events.restart()
        async for data in response.aiter_stream():
            whole = events.feed(data)
            if not whole:
                continue
            if not place.read:
                seconds = self._now() - sent_at
                pool.started(place, seconds)
                self._parts.health.answered(place.endpoint.id, seconds, ok=True)
            if not course.answer.started:
                await course.answer.start(head.status, head.headers)
            await course.answer.part(whole)
        if events.unfinished:
            raise RequestError(Code.ANSWER_CUT, "the stream ended within an event")
        if not course.answer.started:
            await course.answer.start(head.status, head.headers)
        await course.answer.end()

    def _upstream_request(self, course: _Course, place: Place) -> UpstreamRequest:
        call, endpoint = course.call, place.endpoint
        now = self._now()
        headers = self._parts.wire.dispatch(
            call.req,
            Dispatch(
                replica=endpoint.incarnation.replica,
                seconds=call.ends_at - now,
                organisation=call.organisation.name if call.organisation else "",
                urgency=call.priority,
                last_event_id=course.events.last_id or call.req.last_event_id,
            ),
        )
        if call.route.repeat is Repeat.ONCE:
            # On a kept connection the endpoint may be closing it just now, and whether it ran the
            # request would be unknown: it could neither be repeated nor refused.
            headers.append(CONNECTION_CLOSE)
        return UpstreamRequest(
            endpoint=endpoint.id,
            url=f"http://{endpoint.address}/",
            target=call.req.target,
            method=call.req.method,
            headers=headers,
            body=call.req.body,
            timeouts=UpstreamTimeouts.waiting(self._silence(course, now)),
            still_allowed=lambda: self._still_allowed(course, endpoint.id),
            fresh=call.route.repeat is Repeat.ONCE,
        )

    def _still_allowed(self, course: _Course, endpoint_id: str) -> bool:
        endpoint = self._parts.view.endpoint(endpoint_id)
        if endpoint is None or not self._parts.view.stands(endpoint):
            return False
        if not self._may_go_on(course):
            return False
        course.sends += 1
        course.sent_to.add(endpoint_id)
        self._log_send(course, endpoint_id)
        return True

    def _log_send(self, course: _Course, endpoint_id: str) -> None:
        view, call = self._parts.view, course.call
        load = self._parts.load(endpoint_id)
        logger.bind(
            request=call.req.id.decode("latin-1"),
            content=call.fingerprint.hex(),
            endpoint=endpoint_id,
            attempt=course.sends,
            waited=round(self._now() - call.arrived_at, 4),
            present=load.requests,
            reading=load.reading,
            revision=view.revision,
            view_age=round(view.age, 2),
            after_event=course.events.last_id.decode("latin-1"),
        ).info("sent to an endpoint")

    def _silence(self, course: _Course, now: float) -> float:
        """Return the seconds for which an endpoint may say nothing."""
        route = course.call.route
        left = max(0.01, course.call.ends_at - now)
        match route.repeat:
            case Repeat.STREAM:
                return route.silence
            case Repeat.IDEMPOTENT:
                return left * FIRST_PART if self._may_repeat(course) else left
            case Repeat.ONCE:
                return left

    def _final(self, course: _Course, pool: ServicePool) -> RequestError:
        """Return what the caller is told after the last attempt."""
        last = course.last
        if last is not None and course.may_have_run:
            if last.outcome is Outcome.NOT_RUN:
                return RequestError(Code.ANSWER_CUT, last.detail)
            return last
        self._parts.endings.check(course.call.fingerprint)
        code = last.code if last is not None else Code.NO_ENDPOINT
        return pool.refusal(course.call, self._now(), code)

    def _out_of_time(self, course: _Course, pool: ServicePool) -> RequestError:
        if course.sends:
            return RequestError(Code.ANSWER_TIMEOUT, course.call.route.name)
        return pool.refusal(course.call, self._now(), Code.OVERLOADED)

    def _now(self) -> float:
        return self._parts.clock.monotonic()
