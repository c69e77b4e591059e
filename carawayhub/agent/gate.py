"""Admission and execution of run-once requests; none reaches the endpoint on another path."""

import hashlib
from dataclasses import dataclass
from typing import Protocol

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.agent.begin import Ask, Refuse, Replay, Run, Wait
from carawayhub.agent.keyset import model_scope
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    Answer,
    LookUp,
    LookUpReply,
    NotRun,
    OutcomeUnknown,
    RunId,
    RunKey,
    RunResult,
)
from carawayhub.agent.reporter import Reporter
from carawayhub.agent.tickets import Epochs, TicketCodec
from carawayhub.clock import Clock
from carawayhub.codes import Code, Outcome
from carawayhub.config.model import Configuration
from carawayhub.constants import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    MAX_BODY_BYTES,
    REQUEST_ID_HEADER,
)
from carawayhub.endpoints.upstream import (
    CONNECTION_CLOSE,
    Upstream,
    UpstreamRequest,
    UpstreamTimeouts,
)
from carawayhub.errors import PeerError, RequestError
from carawayhub.fleet.pauses import PauseDetector
from carawayhub.headers import as_bytes, as_text, without
from carawayhub.peers.messages import RunReply, RunRequest, ServingState

RUN_GRACE_SECONDS = 30.0
"""Time a run may exceed its deadline, so that a retry with the same key finds its answer."""

OK_STATUS = 200
MAX_LOOK_UPS = 4
RETRY_AFTER = 1.0
_DROPPED_FROM_ANSWER = HOP_BY_HOP_HEADERS | {b"content-length"}
_DROPPED_HEADERS = {name.decode() for name in _DROPPED_FROM_ANSWER} | {
    REQUEST_ID_HEADER.decode(),
    DEADLINE_HEADER.decode(),
}


class _AnswerId(msgspec.Struct):
    """The field of a model's complete answer that identifies its request."""

    id: str = ""


class KeyRules(Protocol):
    """Decides whether this agent may start a key that has no record."""

    def admit(self, key: RunKey) -> Refuse | None:
        """Return why the key may not be started here, or None if it may."""

    def keep_until(self, key: RunKey) -> float:
        """Return the timestamp until which the record of a key that starts now is kept."""

    async def ask(self, question: LookUp) -> LookUpReply:
        """Ask the agent that made an attempt for its outcome.

        Raises:
            PeerError: The agent does not answer.
        """


@dataclass(frozen=True, slots=True)
class _Claim:
    """A request as the ledger identifies it.

    Attributes:
        key: Key of its record in the ledger.
        digest: SHA-256 of method, path and body.
        keep_until: Timestamp until which its record is kept.
        ticket: Whether it carries a ticket.
        stamp: This agent's epoch as last received by the entry.
    """

    key: RunKey
    digest: bytes
    keep_until: float
    ticket: bool
    stamp: int


class Gate:
    """Runs each run-once request at most once.

    Args:
        clock: Source of time.
        endpoint: Name of the endpoint.
        ledger: Records of the requests that ran.
        epochs: Ticket epochs of this incarnation.
        ticket_codec: Decodes tickets.
        rules: Decides which idempotency keys may start here.
        reporter: Reports whether the endpoint accepts new work.
        pauses: Detects that this process was paused and has not verified its state since.
        upstream: Connections to the endpoint.
        tasks: Task group of the runs, which continue after the caller disconnects.
    """

    def __init__(
        self,
        clock: Clock,
        endpoint: str,
        ledger: Ledger,
        epochs: Epochs,
        ticket_codec: TicketCodec,
        rules: KeyRules,
        reporter: Reporter,
        pauses: PauseDetector,
        upstream: Upstream,
        tasks: TaskGroup,
    ) -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._ledger = ledger
        self._epochs = epochs
        self._ticket_codec = ticket_codec
        self._rules = rules
        self._reporter = reporter
        self._pauses = pauses
        self._upstream = upstream
        self._tasks = tasks
        self._cfg: Configuration | None = None

    def configured(self, cfg: Configuration) -> None:
        """Apply a configuration version."""
        self._cfg = cfg

    async def run(self, sender: str, req: RunRequest) -> RunReply:
        """Handle a run-once request from an entry."""
        deadline = min(self._clock.monotonic() + req.remaining, req.deadline)
        try:
            claim = self._claim(req)
            if isinstance(claim, Refuse):
                return _rejection_reply(req, claim)
            return await self._run_or_replay(req, claim, deadline)
        except RequestError as exc:
            return RunReply(request_id=req.request_id, code=int(exc.code), detail=exc.detail)

    def _claim(self, req: RunRequest) -> _Claim | Refuse:
        digest = hashlib.sha256(f"{req.method}\n{req.path}\n".encode() + req.body).digest()
        if not req.ticket:
            key = RunKey(req.target, req.organisation, req.key)
            return _Claim(key, digest, self._rules.keep_until(key), False, req.stamp)
        ticket = self._ticket_codec.read_for(req.ticket, req.target, req.organisation)
        admitted = self._epochs.admit(ticket)
        if isinstance(admitted, Refuse):
            return admitted
        return _Claim(ticket.run_key, digest, admitted.keep_until, True, req.stamp)

    async def _run_or_replay(self, req: RunRequest, claim: _Claim, deadline: float) -> RunReply:
        """Run a request, wait for its current run, or replay the recorded answer."""
        started = False
        look_ups = 0
        while True:
            match self._ledger.begin(
                claim.key, claim.digest, claim.keep_until, self._refusal(claim, deadline)
            ):
                case Run(run=run):
                    if started:
                        self._ledger.finish(claim.key, run, NotRun(int(Code.CONNECT_FAILED)))
                        return _rejection_reply(req, Refuse(Code.CONNECT_FAILED, RETRY_AFTER))
                    started = True
                    self._tasks.start_soon(self._execute, req, claim, run, deadline)
                case Replay(answer=answer):
                    return _answer_reply(req, answer, replayed=not started)
                case Wait(done=done):
                    if not await self._wait(done, deadline):
                        return _rejection_reply(req, Refuse(Code.RUN_STILL_RUNNING, RETRY_AFTER))
                case Ask(look_up=question):
                    look_ups += 1
                    if look_ups > MAX_LOOK_UPS:
                        return _rejection_reply(req, Refuse(Code.RUN_STILL_RUNNING, RETRY_AFTER))
                    if not await self._look_up(question):
                        return _rejection_reply(req, Refuse(Code.RUN_HOME_UNREACHABLE, RETRY_AFTER))
                case Refuse() as refusal:
                    return _rejection_reply(req, refusal)

    def _refusal(self, claim: _Claim, deadline: float) -> Refuse | None:
        """Return why a request without a record may not start now.

        The rules for keys are checked first. The other reasons are reported as "not run", which is
        true only if no other agent can have run the key.
        """
        paused = self._pauses.check()
        if not claim.ticket:
            if paused:
                return Refuse(Code.RUN_HOME_UNREACHABLE, RETRY_AFTER, "the agent was paused")
            refusal = self._epochs.stamp_refusal(claim.stamp) or self._rules.admit(claim.key)
            if refusal is not None:
                return refusal
        if paused:
            return Refuse(Code.PAUSED, RETRY_AFTER)
        if self._clock.monotonic() >= deadline:
            return Refuse(Code.DEADLINE_PASSED)
        if self._reporter.state is ServingState.LEAVING:
            return Refuse(Code.ENDPOINT_LEAVING, RETRY_AFTER)
        if self._reporter.state is not ServingState.SERVING:
            return Refuse(Code.NO_ENDPOINT, RETRY_AFTER, self._reporter.reason)
        return None

    async def _wait(self, done: anyio.Event, deadline: float) -> bool:
        with anyio.move_on_after(max(0.0, deadline - self._clock.monotonic())):
            await done.wait()
            return True
        return False

    async def _look_up(self, question: LookUp) -> bool:
        try:
            reply = await self._rules.ask(question)
        except PeerError:
            return False
        self._ledger.resolve(reply)
        return True

    async def _execute(self, req: RunRequest, claim: _Claim, run: RunId, deadline: float) -> None:
        """Run a request to its end, whether or not its caller still waits.

        The request is not cancelled when its caller disconnects: the ledger must record the result,
        or the outcome of the key would stay unknown although the endpoint finished.
        """
        self._reporter.gate_running += 1
        result: RunResult = OutcomeUnknown(int(Code.ANSWER_CUT))
        try:
            result = await self._exchange(req, deadline)
        finally:
            self._reporter.gate_running -= 1
            self._ledger.finish(claim.key, run, result)

    async def _exchange(self, req: RunRequest, deadline: float) -> RunResult:
        limit = max(0.0, deadline - self._clock.monotonic()) + RUN_GRACE_SECONDS
        try:
            with anyio.fail_after(limit):
                return await self._send(req, limit, deadline)
        except TimeoutError:
            return OutcomeUnknown(int(Code.ANSWER_TIMEOUT))
        except RequestError as exc:
            logger.bind(request=req.request_id, code=int(exc.code)).info(
                "run-once request failed: {}", exc
            )
            if exc.outcome is Outcome.NOT_RUN:
                return NotRun(int(exc.code))
            return OutcomeUnknown(int(exc.code))
        except Exception as exc:
            # An internal error in one run must not end the agent: the in-memory ledger would be
            # lost, and with it the outcome of every request that the agent ran.
            logger.bind(request=req.request_id).opt(exception=exc).error(
                "unexpected error while running a run-once request"
            )
            return OutcomeUnknown(int(Code.ENDPOINT_ERROR))

    async def _send(self, req: RunRequest, limit: float, deadline: float) -> RunResult:
        async with self._upstream.open(self._request(req, limit, deadline)) as response:
            headers = as_text(without(response.headers, _DROPPED_FROM_ANSWER))
            body = b""
            async for part in response.aiter_stream():
                body += part
                if len(body) > MAX_BODY_BYTES:
                    return OutcomeUnknown(int(Code.ENDPOINT_ERROR))
        _check_id(req, headers)
        _check_body(req, response.status, body)
        return Answer(response.status, headers, body)

    def _request(self, req: RunRequest, limit: float, deadline: float) -> UpstreamRequest:
        endpoint = None if self._cfg is None else self._cfg.endpoints.get(self._endpoint)
        if endpoint is None:
            raise RequestError(Code.ENDPOINT_LEAVING, self._endpoint)
        left = max(0.0, deadline - self._clock.monotonic())
        headers = as_bytes(pair for pair in req.headers if pair[0] not in _DROPPED_HEADERS)
        headers.append((b"host", endpoint.url.split("//", 1)[-1].encode()))
        headers.append((b"content-length", b"%d" % len(req.body)))
        headers.append((REQUEST_ID_HEADER, req.request_id.encode()))
        headers.append((DEADLINE_HEADER, b"%d" % (left * 1000)))
        headers.append(CONNECTION_CLOSE)
        return UpstreamRequest(
            endpoint=self._endpoint,
            url=endpoint.url + req.path,
            method=req.method,
            headers=headers,
            body=req.body,
            timeouts=UpstreamTimeouts.waiting(limit),
            still_allowed=lambda: self._may_run(deadline),
        )

    def _may_run(self, deadline: float) -> bool:
        """Return whether a request may still be sent to the endpoint."""
        return (
            self._reporter.state is ServingState.SERVING
            and not self._pauses.check()
            and self._clock.monotonic() < deadline
        )


def _check_id(req: RunRequest, headers: tuple[tuple[str, str], ...]) -> None:
    """Reject the answer to another request, as the relay does for idempotent requests."""
    for name, value in headers:
        if name.lower() == REQUEST_ID_HEADER.decode() and value != req.request_id:
            raise RequestError(
                Code.ANSWER_MIXED,
                "the request id in the answer's header belongs to another request",
            )


def _check_body(req: RunRequest, status: int, body: bytes) -> None:
    """Reject a model's answer that does not contain the id of its request.

    Guards against an answer that was swapped with another one in transit, which need not carry the
    header: a caller that received the engine's reply to a load poll would take it for the complete
    answer to its request.
    """
    if status != OK_STATUS or not req.target.startswith(model_scope("")):
        return
    try:
        found = msgspec.json.decode(body, type=_AnswerId).id
    except msgspec.DecodeError as exc:
        raise RequestError(Code.ENDPOINT_ERROR, "the model's answer is not valid JSON") from exc
    if req.request_id not in found:
        raise RequestError(
            Code.ANSWER_MIXED, "the request id in the answer's body belongs to another request"
        )


def _answer_reply(req: RunRequest, answer: Answer, replayed: bool) -> RunReply:
    return RunReply(
        request_id=req.request_id,
        code=int(Code.OK),
        replayed=replayed,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


def _rejection_reply(req: RunRequest, refusal: Refuse) -> RunReply:
    return RunReply(
        request_id=req.request_id,
        code=int(refusal.code),
        detail=refusal.detail,
        retry_after=refusal.retry_after,
    )
