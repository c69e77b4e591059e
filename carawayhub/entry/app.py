"""The HTTP interface for callers."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Organisation
from carawayhub.entry import calls
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import MODEL_PATHS, Call, Receive, Scope, Send
from carawayhub.entry.incoming import Incoming
from carawayhub.entry.lists import entries_reply, models_reply
from carawayhub.entry.relay import Relay
from carawayhub.entry.replies import Reply, error_event, error_reply, send_reply
from carawayhub.entry.runonce import RunOnce
from carawayhub.entry.services import check_allowed, service_target
from carawayhub.errors import RequestError
from carawayhub.limits.admission import Admission
from carawayhub.limits.query import AdmitQuery, Admitted
from carawayhub.limits.retries import RetryBudget
from carawayhub.output.metrics import Latency, Metrics
from carawayhub.routing.directory import EntryDirectory
from carawayhub.routing.query import Target, TargetKind

ENTRIES_PATH = "/v1/entries"
TICKETS_PATH = "/v1/tickets"
MODELS_PATH = "/v1/models"
RETRY_SOON_SECONDS = 0.5
CONFIRM_WAIT_SECONDS = 1.0
UNVERIFIED_SECONDS = 5.0
MAX_NAME_CHARS = 100


class AnswerAborted(Exception):  # noqa: N818 - not an error of this process
    """Makes ``uvicorn`` close the caller's connection in the middle of an answer.

    An answer that cannot be completed must not appear complete. Every HTTP/1.1 library reports a
    connection that is closed before the last chunk as an incomplete answer.
    """


@dataclass(slots=True)
class EntryParts:
    """The components that handle a request.

    ``unverified`` returns whether the state of this process is unverified after a pause.
    ``confirmed`` waits for up to the given seconds until that state is verified again, and returns
    whether it is.
    """

    clock: Clock
    admission: Admission
    retries: RetryBudget
    relay: Relay
    run_once: RunOnce
    directory: EntryDirectory
    metrics: Metrics
    ready: Callable[[], bool]
    unverified: Callable[[], bool]
    confirmed: Callable[[float], Awaitable[bool]]


class EntryApp:
    """The ASGI application of an entry.

    Attributes:
        accepting: Whether new requests are accepted; false once no cached list of entries
            contains this entry.
        running: Number of requests in flight.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._cfg: Configuration | None = None
        self._by_key: dict[str, Organisation] = {}
        self._model_names: frozenset[str] = frozenset()
        self.accepting = True
        self._unverified_until = 0.0
        self.running = 0

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration."""
        self._cfg = cfg
        self._model_names = frozenset(group.model for group in cfg.groups.values())
        self._by_key = {
            digest: organisation
            for organisation in cfg.organisations.values()
            for digest in organisation.key_digests
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        req = Incoming.of(scope, receive, send, self._parts.clock.monotonic())
        with logger.contextualize(request=req.request_id, caller_id=req.caller_id):
            try:
                await self._handle(req)
            except RequestError as exc:
                req.code = exc.code
                await _reject(req, exc.unvouched() if req.runs_once else exc)
            except AnswerAborted:
                raise
            except Exception as exc:  # unexpected error, see ``_internal_error``
                req.code = Code.ENTRY_FAILED
                await _reject(req, _internal_error(exc))
            finally:
                self._parts.metrics.ended(req.organisation, int(req.code))

    async def _handle(self, req: Incoming) -> None:
        if req.scope["http_version"] == "1.0":
            raise RequestError(Code.HTTP_VERSION)
        cfg = self._ready_configuration()
        if req.matches("GET", ENTRIES_PATH):
            await req.reply(self._entries(req))
            return
        self._note_pause()
        if not await self._parts.confirmed(CONFIRM_WAIT_SECONDS):
            raise RequestError(Code.PAUSED, retry_after=RETRY_SOON_SECONDS)
        organisation = self._organisation(req)
        if req.matches("GET", MODELS_PATH):
            await req.reply(models_reply(cfg, organisation))
            return
        if req.matches("POST", TICKETS_PATH):
            body = await calls.read_body(req.scope, req.headers, req.receive)
            await req.reply(self._parts.run_once.issue(cfg, organisation, body))
            return
        call = await self._read_call(req, organisation)
        if not call.repeatable and self._parts.clock.monotonic() < self._unverified_until:
            raise RequestError(Code.PAUSED, retry_after=RETRY_SOON_SECONDS)
        await self._answer(call, req)

    def _ready_configuration(self) -> Configuration:
        if not self.accepting:
            raise RequestError(Code.ENTRY_STOPPING, retry_after=RETRY_SOON_SECONDS)
        if self._cfg is None or not self._parts.ready():
            raise RequestError(Code.NOT_READY, retry_after=1.0)
        return self._cfg

    def _note_pause(self) -> None:
        """Reject run-once requests for a while after a pause of this process.

        A request may have waited in a socket buffer during the pause. Its key may since have
        expired at the agent that ran an earlier attempt, so that it would run a second time. The
        time at which the caller sent it is unknown, so for as long as such requests may still be
        read from the sockets they are answered with the outcome "unknown".
        """
        if self._parts.unverified():
            self._unverified_until = self._parts.clock.monotonic() + UNVERIFIED_SECONDS

    def _entries(self, req: Incoming) -> Reply:
        """Return the list of entries to use; an API key is optional.

        Callers with a key are directed to the entries that share their organisation's limits.
        """
        query = parse_qs(req.scope["query_string"].decode("latin-1"))
        domain = query.get("failure_domain", [None])[0]
        preferred: frozenset[str] = frozenset()
        if req.headers.text(b"authorization"):
            organisation = self._organisation(req)
            preferred = self._parts.admission.shares.entries_for(organisation.name)
        return entries_reply(self._parts.directory.answer(domain, preferred))

    def _organisation(self, req: Incoming) -> Organisation:
        kind, _, key = req.headers.text(b"authorization").partition(" ")
        if kind.lower() != "bearer" or not key:
            raise RequestError(Code.KEY_MISSING)
        found = self._by_key.get(hashlib.sha256(key.strip().encode("latin-1")).hexdigest())
        if found is None:
            raise RequestError(Code.KEY_UNKNOWN)
        req.organisation = found.name
        return found

    async def _read_call(self, req: Incoming, organisation: Organisation) -> Call:
        cfg = self._ready_configuration()
        deadline = calls.deadline(req.headers, cfg, self._parts.clock)
        body = await calls.read_body(req.scope, req.headers, req.receive)
        target = self._target(cfg, req, body)
        call = Call(
            request_id=req.request_id,
            caller_id=req.caller_id,
            organisation=organisation,
            target=target,
            method=req.scope["method"],
            path=calls.forwarded_path(req.scope),
            headers=calls.forwarded_headers(req.scope, target),
            body=body,
            deadline=deadline,
            key=calls.run_once_key(req.headers),
            ticket=calls.ticket(req.headers),
        )
        if not (call.repeatable or call.key or call.ticket):
            raise RequestError(Code.RUN_ONCE_NEEDS_KEY)
        return call

    def _target(self, cfg: Configuration, req: Incoming, body: bytes) -> calls.Target:
        """Return the target of a call, and reject unknown names.

        Admission keeps statistics for each target and never drops them, so unknown model names that
        reached it would fill the memory of this process.
        """
        method, path = req.scope["method"], req.scope["path"]
        if method != "POST" or path not in MODEL_PATHS:
            found = service_target(cfg, method, path)
            check_allowed(found.service, req.organisation)
            return found
        target = calls.model_target(body)
        if target.model not in self._model_names:
            raise RequestError(Code.NOT_SERVED, target.model[:MAX_NAME_CHARS])
        return target

    async def _answer(self, call: Call, req: Incoming) -> None:
        parts = self._parts
        admitted = parts.admission.admit(_admit_query(call))
        parts.retries.record_request(call.organisation.name)
        answer = Answer(req.send, call.caller_id, parts.clock)
        try:
            await self._run(call, answer, req.receive, admitted)
            if answer.ended:
                req.code = Code.OK
        except RequestError as exc:
            req.code = exc.code
            if not answer.started:
                raise
            logger.bind(code=int(exc.code)).warning("answer aborted: {}", exc)
            # A part of the answer was sent, so the request did run, whatever outcome the code of
            # the last attempt implies.
            await answer.part(error_event(exc.unvouched()))
            raise AnswerAborted(str(exc)) from exc
        finally:
            # A caller that disconnects before the first byte is no sign of a failing endpoint, and
            # one that disconnects later gives no duration of a complete answer.
            left_early = req.code is Code.CALLER_LEFT and not answer.started
            parts.admission.release(admitted, ok=req.code is Code.OK or left_early)
            self._measure(call, answer, req)

    async def _run(self, call: Call, answer: Answer, receive: Receive, admitted: Admitted) -> None:
        """Answer the call; cancel it when the caller disconnects, to free the endpoint's slot."""
        failure: RequestError | None = None
        async with anyio.create_task_group() as tasks:

            def caller_left() -> None:
                # ``uvicorn`` also sends ``http.disconnect`` after a complete answer. To cancel then
                # would close the connection to the endpoint instead of keeping it for reuse.
                if not answer.ended:
                    tasks.cancel_scope.cancel()

            tasks.start_soon(_watch_caller, receive, caller_left)
            answer.on_start = lambda: self._parts.admission.first_byte(admitted)
            try:
                if call.repeatable:
                    await self._parts.relay.run(call, answer)
                else:
                    await self._parts.run_once.run(call, answer)
            except RequestError as exc:
                failure = exc
            except Exception as exc:  # unexpected error, see ``_internal_error``
                failure = _internal_error(exc)
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def _measure(self, call: Call, answer: Answer, req: Incoming) -> None:
        metrics, name, target = self._parts.metrics, call.organisation.name, call.target.name
        if answer.dispatched_at is not None:
            queued = answer.dispatched_at - req.arrived_at
            metrics.latency(Latency.QUEUE, queued, name, target)
        if answer.started:
            first = answer.first_byte_at - req.arrived_at
            metrics.latency(Latency.FIRST_TOKEN, first, name, target)
            whole = self._parts.clock.monotonic() - req.arrived_at
            metrics.latency(Latency.WHOLE, whole, name, target)
        log = logger.bind(organisation=name, target=target, code=int(req.code))
        log.debug("request ended")


def _internal_error(exc: Exception) -> RequestError:
    """Log an unexpected exception and return the error for the caller.

    ``uvicorn`` would answer without an error code and log nothing: its own log is disabled, since
    it would have a line for each answer that is aborted on purpose.
    """
    logger.exception("unexpected error while serving a request")
    return RequestError(Code.ENTRY_FAILED, type(exc).__name__)


async def _reject(req: Incoming, exc: RequestError) -> None:
    logger.bind(code=int(exc.code)).info("request rejected: {}", exc)
    await send_reply(req.send, error_reply(exc), req.caller_id)


def _admit_query(call: Call) -> AdmitQuery:
    match call.target:
        case calls.ModelTarget(model=model, max_tokens=tokens):
            target, cost = Target(TargetKind.MODEL, model), tokens / calls.DEFAULT_MAX_TOKENS
        case calls.ServiceTarget(service=service):
            target, cost = Target(TargetKind.SERVICE, service.name), 1.0
    return AdmitQuery(
        organisation=call.organisation.name,
        target=target,
        priority=call.organisation.priority,
        deadline=call.deadline,
        cost=cost,
    )


async def _watch_caller(receive: Receive, left: Callable[[], None]) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            left()
            return
