"""Relays repeatable requests directly to endpoints, with retries and stream resumption."""

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
from carawayhub.entry.forwarder import StreamForwarder
from carawayhub.entry.prompts import prompt_blocks
from carawayhub.entry.stream import StreamCheck
from carawayhub.errors import RequestError
from carawayhub.limits.fingerprint import RequestTraits
from carawayhub.limits.retries import RetryBudget, RetryQuery
from carawayhub.output.metrics import Metrics
from carawayhub.routing.query import InFlight, RouteQuery, Target, TargetKind
from carawayhub.routing.router import Router

MAX_RESUMES = 3
MIN_WAIT_SECONDS = 0.05
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

_RETRYABLE_CODES = frozenset(
    {
        Code.CONNECT_FAILED,
        Code.ENDPOINT_LEAVING,
        Code.ANSWER_CUT,
        Code.ANSWER_MIXED,
        Code.ANSWER_STALLED,
        Code.ENDPOINT_ERROR,
    }
)
_RESUMABLE_CODES = frozenset(
    {Code.ANSWER_CUT, Code.ANSWER_MIXED, Code.ANSWER_STALLED, Code.CONNECT_FAILED}
)


class _AnswerId(msgspec.Struct):
    """The field of a model's complete answer that carries the request id."""

    id: str = ""


@dataclass(slots=True)
class _Attempt:
    """One attempt to run a call at one endpoint."""

    endpoint: str
    timeouts: UpstreamTimeouts
    token: InFlight
    traits: RequestTraits
    sent_at: float


class Relay:
    """Relays repeatable calls to endpoints.

    Args:
        clock: Source of time.
        rng: Source of jitter.
        router: Chooses endpoints.
        retries: Budget for further attempts.
        upstream: Connections to endpoints.
        metrics: Records latencies.
        ends: Detects endpoints that ended while they ran a call.
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
        """Apply a configuration."""
        self._cfg = cfg

    async def run(self, call: Call, answer: Answer) -> None:
        """Answer a call from one endpoint, or from another one after a failure.

        Raises:
            RequestError: The call has no complete answer. If ``answer.started`` is set, the caller
                has received a part of one and its connection must be aborted.
        """
        traits = call.traits
        self._ends.endings.admit(traits)
        tried: frozenset[str] = frozenset()
        failure: RequestError | None = None
        attempts = 0
        while True:
            endpoint = self._choose(call, tried, failure)
            try:
                await self._attempt(call, answer, endpoint, traits)
            except RequestError as exc:
                failure = _worse(failure, exc)
                tried |= {endpoint}
                attempts += 1
                if not self._ends.endings.may_resend(traits, attempts):
                    raise failure from exc
                await self._before_retry(call, answer, exc, failure, attempts)
                logger.bind(request=call.request_id, endpoint=endpoint, code=int(exc.code)).info(
                    "attempt failed; retrying"
                )
                continue
            self._ends.endings.answered(traits)
            return

    def _choose(self, call: Call, tried: frozenset[str], failure: RequestError | None) -> str:
        """Return the endpoint for the next attempt, preferably one that was not tried yet.

        A stalled answer may be the fault of a single connection: a device on the path may have
        dropped its state while new connections work. A stalled endpoint is therefore tried again,
        on a new connection and within the same retry budget, if no other endpoint is left.
        """
        query = _query(call)
        try:
            return self._router.choose(query, tried).endpoint
        except RequestError as exc:
            if failure is None:
                raise
            # An earlier attempt may have run, so its failure is reported: the router's "not run"
            # covers only the attempt that it did not dispatch.
            if failure.code is not Code.ANSWER_STALLED:
                raise failure from exc
        try:
            return self._router.choose(query).endpoint
        except RequestError as exc:
            raise failure from exc

    async def _before_retry(
        self, call: Call, answer: Answer, exc: RequestError, worst: RequestError, attempts: int
    ) -> None:
        """Wait until the next attempt may begin, or raise if no further attempt is allowed."""
        if exc.code not in _RETRYABLE_CODES:
            raise worst
        decision = self._retries.decide(
            RetryQuery(
                organisation=call.organisation.name,
                outcome=exc.outcome,
                repeatable=call.repeatable,
                attempts=attempts,
                deadline=call.deadline,
                answer_started=answer.started,
            )
        )
        if not decision.allowed:
            raise worst
        await anyio.sleep(max(0.0, decision.at - self._clock.monotonic()))

    async def _attempt(
        self, call: Call, answer: Answer, endpoint: str, traits: RequestTraits
    ) -> None:
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            raise RequestError(Code.DEADLINE_PASSED)
        # A dead connection can only be detected by a timeout. Waiting at most half of the
        # remaining time leaves the other half for an attempt at another endpoint.
        wait = max(left / 2, MIN_WAIT_SECONDS)
        attempt = _Attempt(
            endpoint,
            UpstreamTimeouts.waiting(wait),
            self._router.begin(endpoint),
            traits,
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
                ).info("stream interrupted; resuming on a new connection")
                await anyio.sleep(self._rng.uniform(0, MIN_WAIT_SECONDS))

    async def _has_ended(self, call: Call, attempt: _Attempt) -> bool:
        """Return whether the endpoint of an attempt ended, which rules out resuming there."""
        found = self._cfg.endpoints.get(attempt.endpoint) if self._cfg is not None else None
        if found is None:
            return False
        return await self._ends.has_ended(call, attempt.traits, found, attempt.sent_at)

    def _may_resume(
        self, answer: Answer, attempt: _Attempt, exc: RequestError, resumes: int
    ) -> bool:
        cfg = self._cfg
        if cfg is None or not answer.started or exc.code not in _RESUMABLE_CODES:
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
                raise RequestError(
                    Code.ANSWER_CUT, f"endpoint rejected the resume with status {response.status}"
                )
            await self._relay_complete(call, answer, response)

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
        forwarder = StreamForwarder(call, answer, check, response, self._clock, self._metrics)
        body = response.stream_body(fleet.stream_stall, fleet.join_window)
        while data := await body.read():
            self._router.progress(attempt.token)
            await forwarder.send(data)
        if not check.ended:
            # The connection was closed normally but without the explicit end of the stream. If
            # the answer ended here, the caller would take a truncated answer for a complete one.
            raise RequestError(Code.ANSWER_CUT, f"{attempt.endpoint} ended the stream early")
        self._metrics.tokens += check.tokens
        await answer.end()

    async def _relay_complete(self, call: Call, answer: Answer, response: UpstreamResponse) -> None:
        body = await _read_complete(response)
        _check_id(call, response, body)
        if response.status >= SERVER_ERROR:
            raise RequestError(
                Code.ENDPOINT_ERROR, f"status {response.status}: {body[:200].decode('latin-1')}"
            )
        await answer.complete(response.status, list(response.headers), body, Code.OK)

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
        """Return whether a request may be sent, and if so record it as dispatched.

        Resuming a stream is always permitted: it is not new work, and an endpoint that is leaving
        still finishes its streams.
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
    """Return the failure with the less certain outcome: "unknown" outweighs "not run"."""
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second


def _is_stream(status: int, headers: list[tuple[bytes, bytes]]) -> bool:
    if status != OK_STATUS:
        return False
    return any(
        name.lower() == b"content-type" and value.startswith(STREAM_TYPE) for name, value in headers
    )


async def _read_complete(response: UpstreamResponse) -> bytes:
    parts: list[bytes] = []
    size = 0
    async for part in response.aiter_stream():
        parts.append(part)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise RequestError(Code.ENDPOINT_ERROR, f"answer is larger than {MAX_BODY_BYTES} bytes")
    if not response.framed:
        raise RequestError(
            Code.ANSWER_CUT, "answer has neither a content length nor chunked framing"
        )
    return b"".join(parts)


def _check_id(call: Call, response: UpstreamResponse, body: bytes) -> None:
    """Reject an answer that belongs to another request.

    The endpoint or something on the path may mix up answers, and the caller would then receive the
    text of another caller. Endpoints echo the request id, and ids are random.
    """
    for name, value in response.headers:
        if name.lower() == REQUEST_ID_HEADER and value.decode("latin-1") != call.request_id:
            raise RequestError(
                Code.ANSWER_MIXED,
                "the request id in the answer's header belongs to another request",
            )
    if response.status != OK_STATUS or not isinstance(call.target, ModelTarget):
        return
    try:
        found = msgspec.json.decode(body, type=_AnswerId).id
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestError(Code.ENDPOINT_ERROR, "the model's answer is not valid JSON") from exc
    if call.request_id not in found:
        raise RequestError(
            Code.ANSWER_MIXED, "the request id in the answer's body belongs to another request"
        )
