"""Relays a request that may be repeated straight to an endpoint, with retries and resumption."""

import random
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code, Outcome
from carawayhub.config.model import Configuration
from carawayhub.constants import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    PRIORITY_HEADER,
    REQUEST_ID_HEADER,
    RESUME_HEADER,
    STREAM_TYPE,
)
from carawayhub.endpoints.upstream import (
    CONNECTION_CLOSE,
    Upstream,
    UpstreamRequest,
    UpstreamResponse,
    UpstreamTimeouts,
)
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import Call, ModelTarget, ServiceTarget
from carawayhub.entry.ends import EndWatch
from carawayhub.entry.passage import Passage
from carawayhub.entry.prompts import prompt_blocks
from carawayhub.entry.stream import StreamCheck
from carawayhub.errors import RequestError
from carawayhub.limits.retries import RetryBudget, RetryQuery
from carawayhub.output.metrics import Metrics
from carawayhub.routing.query import InFlight, RouteQuery, Target, TargetKind
from carawayhub.routing.router import Router

MAX_RESUMES = 3
LEAST_WAIT = 0.05
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {
    b"authorization",
    b"content-length",
    REQUEST_ID_HEADER,
    DEADLINE_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
}
SERVER_ERROR = 500
OK_STATUS = 200

_RETRIED = frozenset(
    {
        Code.CONNECT_FAILED,
        Code.ENDPOINT_LEAVING,
        Code.ANSWER_CUT,
        Code.ANSWER_MIXED,
        Code.ANSWER_STALLED,
        Code.ENDPOINT_ERROR,
    }
)
_RESUMED = frozenset({Code.ANSWER_CUT, Code.ANSWER_MIXED, Code.ANSWER_STALLED, Code.CONNECT_FAILED})


class _AnswerId(msgspec.Struct):
    """The part of a model's whole answer that names its request."""

    id: str = ""


@dataclass(slots=True)
class _Attempt:
    """One try of a call at one endpoint."""

    endpoint: str
    timeouts: UpstreamTimeouts
    token: InFlight
    fingerprint: bytes
    sent_at: float


class Relay:
    """Relays calls.

    Args:
        clock: Source of time.
        rng: Source of jitter.
        router: Chooses endpoints.
        retries: Budget for further attempts.
        upstream: Connections to endpoints.
        metrics: Takes latencies.
        ends: Knows under which requests endpoints ended.
    """

    __slots__ = (
        "_cfg",
        "_clock",
        "_ends",
        "_metrics",
        "_retries",
        "_rng",
        "_router",
        "_upstream",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        router: Router,
        retries: RetryBudget,
        upstream: Upstream,
        metrics: Metrics,
        ends: EndWatch,
    ) -> None:
        self._ends = ends
        self._clock = clock
        self._rng = rng
        self._router = router
        self._retries = retries
        self._upstream = upstream
        self._metrics = metrics
        self._cfg: Configuration | None = None

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        self._cfg = cfg

    async def run(self, call: Call, answer: Answer) -> None:
        """Answer a call from one endpoint, or after a failure from another.

        Raises:
            RequestError: It has no answer; where ``answer.started`` the caller has seen a part of
                one and the connection must be broken off.
        """
        fingerprint = call.fingerprint
        self._ends.endings.check(fingerprint)
        tried: frozenset[str] = frozenset()
        failure: RequestError | None = None
        attempts = 0
        while True:
            endpoint = self._choose(call, tried, failure)
            try:
                await self._attempt(call, answer, endpoint, fingerprint)
            except RequestError as exc:
                failure = _worse(failure, exc)
                tried |= {endpoint}
                attempts += 1
                if not self._ends.endings.may_resend(fingerprint, attempts):
                    raise failure from exc
                await self._before_retry(call, answer, exc, failure, attempts)
                logger.bind(request=call.request_id, endpoint=endpoint, code=int(exc.code)).info(
                    "attempt failed, trying another endpoint"
                )
                continue
            self._ends.endings.answered(fingerprint)
            return

    def _choose(self, call: Call, tried: frozenset[str], failure: RequestError | None) -> str:
        """Return the endpoint for the next attempt: one that was not tried, else any.

        What went silent may be one connection and not the endpoint: something between the two ends
        may have lost track of it while new connections work. Where a silent endpoint is the only
        one left it is so tried again, on a new connection and within the same budget.
        """
        query = _query(call)
        try:
            return self._router.choose(query, tried).endpoint
        except RequestError as exc:
            if failure is None:
                raise
            # An attempt that may have run makes the whole request unknown: "not run" would be a
            # lie although the router itself dispatched nothing this time.
            if failure.code is not Code.ANSWER_STALLED:
                raise failure from exc
        try:
            return self._router.choose(query).endpoint
        except RequestError as exc:
            raise failure from exc

    async def _before_retry(
        self, call: Call, answer: Answer, exc: RequestError, worst: RequestError, attempts: int
    ) -> None:
        """Wait until the next attempt may begin, or raise where there is to be none."""
        if exc.code not in _RETRIED:
            raise worst
        decision = self._retries.decide(
            RetryQuery(
                organisation=call.organisation.name,
                outcome=exc.outcome,
                repeatable=call.repeatable,
                attempts=attempts,
                deadline=call.deadline,
                answer_begun=answer.started,
            )
        )
        if not decision.allowed:
            raise worst
        await anyio.sleep(max(0.0, decision.at - self._clock.monotonic()))

    async def _attempt(self, call: Call, answer: Answer, endpoint: str, fingerprint: bytes) -> None:
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            raise RequestError(Code.DEADLINE_PASSED)
        # A silent connection shows only by its silence. Half of the time left keeps the other half
        # for another endpoint.
        wait = max(left / 2, LEAST_WAIT)
        attempt = _Attempt(
            endpoint,
            UpstreamTimeouts.waiting(wait),
            self._router.begin(endpoint),
            fingerprint,
            self._clock.monotonic(),
        )
        ok = False
        try:
            with anyio.fail_after(left):
                await self._exchange(call, answer, attempt)
            ok = True
        except TimeoutError as exc:
            raise RequestError(Code.ANSWER_TIMEOUT, endpoint) from exc
        except anyio.get_cancelled_exc_class():
            ok = True
            raise
        finally:
            self._router.finish(attempt.token, ok)

    async def _exchange(self, call: Call, answer: Answer, attempt: _Attempt) -> None:
        check = StreamCheck(call.request_id)
        resumes = 0
        while True:
            try:
                await self._connection(call, answer, attempt, check)
                return
            except RequestError as exc:
                ended = exc.code is Code.ANSWER_CUT and await self._has_ended(call, attempt)
                if ended or not self._may_resume(answer, attempt, exc, resumes):
                    raise
                resumes += 1
                check.reconnected()
                logger.bind(
                    request=call.request_id, endpoint=attempt.endpoint, offset=check.tokens
                ).info("stream broke off, resuming on a new connection")
                await anyio.sleep(self._rng.uniform(0, LEAST_WAIT))

    async def _has_ended(self, call: Call, attempt: _Attempt) -> bool:
        """Return whether the endpoint of an attempt ended, so that nothing can be resumed there."""
        found = self._cfg.endpoints.get(attempt.endpoint) if self._cfg is not None else None
        if found is None:
            return False
        return await self._ends.has_ended(call, attempt.fingerprint, found, attempt.sent_at)

    def _may_resume(
        self, answer: Answer, attempt: _Attempt, exc: RequestError, resumes: int
    ) -> bool:
        cfg = self._cfg
        if cfg is None or not answer.started or exc.code not in _RESUMED:
            return False
        endpoint = cfg.endpoints.get(attempt.endpoint)
        return endpoint is not None and endpoint.resumes and resumes < MAX_RESUMES

    async def _connection(
        self, call: Call, answer: Answer, attempt: _Attempt, check: StreamCheck
    ) -> None:
        req = self._request(call, answer, attempt, check.tokens if answer.started else 0)
        async with self._upstream.open(req) as response:
            self._router.progress(attempt.token)
            headers = list(response.headers)
            if _is_stream(response.status, headers):
                await self._relay_stream(call, answer, attempt, check, response)
                return
            if answer.started:
                raise RequestError(Code.ANSWER_CUT, f"resume refused, status {response.status}")
            await self._relay_whole(call, answer, response)

    async def _relay_stream(
        self,
        call: Call,
        answer: Answer,
        attempt: _Attempt,
        check: StreamCheck,
        response: UpstreamResponse,
    ) -> None:
        assert self._cfg is not None
        fleet = self._cfg.fleet
        passage = Passage(call, answer, check, response, self._clock, self._metrics)
        body = response.stream_body(fleet.stream_stall, fleet.join_window)
        while data := await body.read():
            self._router.progress(attempt.token)
            await passage.send(data)
        if not check.ended:
            # The connection ended in good order but the stream did not: the endpoint gave up on
            # it. Ended here, the caller would take a short answer for a whole one.
            raise RequestError(Code.ANSWER_CUT, f"{attempt.endpoint} ended the stream early")
        self._metrics.tokens += check.tokens
        await answer.end()

    async def _relay_whole(self, call: Call, answer: Answer, response: UpstreamResponse) -> None:
        body = await _read_whole(response)
        _check_id(call, response, body)
        if response.status >= SERVER_ERROR:
            raise RequestError(
                Code.ENDPOINT_ERROR, f"status {response.status}: {body[:200].decode('latin-1')}"
            )
        await answer.whole(response.status, list(response.headers), body, Code.OK)

    def _request(
        self, call: Call, answer: Answer, attempt: _Attempt, offset: int
    ) -> UpstreamRequest:
        assert self._cfg is not None
        endpoint = self._cfg.endpoints.get(attempt.endpoint)
        if endpoint is None:
            raise RequestError(Code.ENDPOINT_LEAVING, attempt.endpoint)
        left = max(call.deadline - self._clock.monotonic(), 0.0)
        headers = [each for each in call.headers if each[0] not in DROPPED_HEADERS]
        headers.append((b"host", endpoint.url.split("//", 1)[-1].encode()))
        headers.append((b"content-length", b"%d" % len(call.body)))
        headers.append((REQUEST_ID_HEADER, call.request_id.encode()))
        headers.append((DEADLINE_HEADER, b"%d" % (left * 1000)))
        headers.append((PRIORITY_HEADER, b"%d" % call.organisation.priority))
        if isinstance(call.target, ServiceTarget):
            headers.append(CONNECTION_CLOSE)
        if offset:
            headers.append((RESUME_HEADER, b"%d" % offset))
        return UpstreamRequest(
            endpoint=attempt.endpoint,
            url=endpoint.url + call.path,
            method=call.method,
            headers=headers,
            body=call.body,
            timeouts=attempt.timeouts,
            still_allowed=lambda: self._may_send(answer, attempt.endpoint, offset),
        )

    def _may_send(self, answer: Answer, endpoint: str, offset: int) -> bool:
        """Say whether a request may go out, which it then does.

        A stream that is being resumed is no new work: an endpoint that leaves finishes it.
        """
        if offset == 0 and not self._router.permitted(endpoint):
            return False
        answer.dispatched()
        return True


def _query(call: Call) -> RouteQuery:
    match call.target:
        case ModelTarget(model=model, max_tokens=tokens):
            return RouteQuery(
                target=Target(TargetKind.MODEL, model),
                organisation=call.organisation.name,
                priority=call.organisation.priority,
                prefix_blocks=prompt_blocks(call.body),
                deadline=call.deadline,
                expected_tokens=tokens,
            )
        case ServiceTarget(service=service):
            return RouteQuery(
                target=Target(TargetKind.SERVICE, service.name),
                organisation=call.organisation.name,
                priority=call.organisation.priority,
                deadline=call.deadline,
            )


def _worse(first: RequestError | None, second: RequestError) -> RequestError:
    """Return the failure that says less: "unknown" outweighs "not run"."""
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second


def _is_stream(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status != OK_STATUS:
        return False
    return any(
        name.lower() == b"content-type" and value.startswith(STREAM_TYPE) for name, value in headers
    )


async def _read_whole(response: UpstreamResponse) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        parts.append(part)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise RequestError(Code.ENDPOINT_ERROR, f"the answer is over {MAX_BODY_BYTES} bytes")
    if not response.framed:
        raise RequestError(Code.ANSWER_CUT, "the endpoint does not say where its answer ends")
    return b"".join(parts)


def _check_id(call: Call, response: UpstreamResponse, body: bytes) -> None:
    """Refuse the answer of another request.

    Guards against an endpoint or a path between that crosses answers. The caller would see someone
    else's text. The endpoint repeats the id that it was given, and ids are random.
    """
    for name, value in response.headers:
        if name.lower() == REQUEST_ID_HEADER and value.decode("latin-1") != call.request_id:
            raise RequestError(Code.ANSWER_MIXED, "the answer's header names another request")
    if response.status != OK_STATUS or not isinstance(call.target, ModelTarget):
        return
    try:
        found = msgspec.json.decode(body, type=_AnswerId).id
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestError(Code.ENDPOINT_ERROR, "the model's answer is no JSON") from exc
    if call.request_id not in found:
        raise RequestError(Code.ANSWER_MIXED, "the answer's id names another request")
