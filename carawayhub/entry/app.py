"""The HTTP interface towards callers."""

import hashlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

import anyio
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Organisation
from carawayhub.entry import calls
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import MODEL_PATHS, Call, Headers, Receive, Scope, Send
from carawayhub.entry.relay import Relay
from carawayhub.entry.replies import Reply, error_event, error_reply, json_reply, send_reply
from carawayhub.entry.runonce import RunOnce
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
STOPPING_RETRY_AFTER = 0.5
CONFIRM_WAIT = 1.0
DOUBT_SECONDS = 5.0
USUAL_TOKENS = 256.0


class AnswerBrokenOff(Exception):  # noqa: N818 - not an error of this process
    """Makes ``uvicorn`` close the caller's connection in the middle of an answer.

    An answer that cannot be completed must not look whole. Closing before the last chunk is what
    every HTTP/1.1 library reports as an incomplete answer.
    """


class EntryAddress(msgspec.Struct):
    """One entry that a caller may use."""

    address: str


class EntriesBody(msgspec.Struct):
    """Which entries a caller should use, in order.

    Attributes:
        entries: The entries.
        keep_until: Unix time until which the answer may be kept.
        ttl_s: The same in seconds from now, for callers whose clock is off.
    """

    entries: list[EntryAddress]
    keep_until: float
    ttl_s: float


class ModelRow(msgspec.Struct):
    """A model in the list of models."""

    id: str
    object: str = "model"


class ModelsBody(msgspec.Struct):
    """The models that an organisation may use."""

    data: list[ModelRow]
    object: str = "list"


@dataclass(slots=True)
class EntryParts:
    """The parts that a request passes through.

    ``doubted`` says whether a pause of this process put in doubt what it knows. ``confirmed`` waits
    for at most the seconds given until nothing of that is unchecked, and says whether that is so.
    """

    clock: Clock
    admission: Admission
    retries: RetryBudget
    relay: Relay
    run_once: RunOnce
    directory: EntryDirectory
    metrics: Metrics
    ready: Callable[[], bool]
    doubted: Callable[[], bool]
    confirmed: Callable[[float], Awaitable[bool]]


class EntryApp:
    """The ASGI application of an entry.

    Attributes:
        accepting: Whether new requests are taken; false once no kept answer names this entry.
        running: Requests in flight.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._cfg: Configuration | None = None
        self._by_key: dict[str, Organisation] = {}
        self.accepting = True
        self._doubt_until = 0.0
        self.running = 0

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        self._cfg = cfg
        self._by_key = {
            digest: organisation
            for organisation in cfg.organisations.values()
            for digest in organisation.key_digests
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        if scope["type"] != "http":
            return
        headers = Headers.of(scope)
        request_id = calls.new_request_id()
        caller_id = calls.caller_id(headers, request_id)
        self.running += 1
        try:
            await self._serve(scope, headers, receive, send, request_id, caller_id)
        except RequestError as exc:
            logger.bind(request=request_id, caller_id=caller_id, code=int(exc.code)).info(
                "request refused: {}", exc
            )
            await send_reply(send, error_reply(exc), caller_id)
        finally:
            self.running -= 1

    async def _serve(
        self,
        scope: Scope,
        headers: Headers,
        receive: Receive,
        send: Send,
        request_id: str,
        caller_id: str,
    ) -> None:
        if scope["http_version"] == "1.0":
            raise RequestError(Code.HTTP_VERSION)
        cfg = self._ready_configuration()
        path = scope["path"]
        if path == ENTRIES_PATH and scope["method"] == "GET":
            await send_reply(send, self._entries(scope, headers), caller_id)
            return
        self._note_pause()
        if not await self._parts.confirmed(CONFIRM_WAIT):
            raise RequestError(Code.PAUSED, retry_after=STOPPING_RETRY_AFTER)
        organisation = self._organisation(headers)
        if path == MODELS_PATH and scope["method"] == "GET":
            await send_reply(send, _models(cfg, organisation), caller_id)
            return
        if path == TICKETS_PATH and scope["method"] == "POST":
            body = await calls.read_body(headers, receive)
            reply = self._parts.run_once.issue(cfg, organisation, body)
            await send_reply(send, reply, caller_id)
            return
        call = await self._read_call(scope, headers, receive, request_id, caller_id, organisation)
        if not call.repeatable and self._parts.clock.monotonic() < self._doubt_until:
            raise RequestError(Code.PAUSED, retry_after=STOPPING_RETRY_AFTER).unvouched()
        await self._answer(call, receive, send)

    def _ready_configuration(self) -> Configuration:
        if not self.accepting:
            raise RequestError(Code.ENTRY_STOPPING, retry_after=STOPPING_RETRY_AFTER)
        if self._cfg is None or not self._parts.ready():
            raise RequestError(Code.NOT_READY, retry_after=1.0)
        return self._cfg

    def _note_pause(self) -> None:
        """Take run-once requests for doubtful for a while after a pause of this process.

        A request that lay in a socket while the process was paused may be far older than it looks:
        its key may have expired at the agent that ran an earlier attempt, and a run now would be
        the second one. The time since the caller sent it cannot be known, so for as long as such
        requests may still come out of the sockets they are answered "unknown".
        """
        if self._parts.doubted():
            self._doubt_until = self._parts.clock.monotonic() + DOUBT_SECONDS

    def _entries(self, scope: Scope, headers: Headers) -> Reply:
        """Answer which entries to use; a key is not needed, but one that is known helps.

        A caller with a key is sent to the entries that divide its organisation's limits.
        """
        query = parse_qs(scope["query_string"].decode("latin-1"))
        domain = query.get("failure_domain", [None])[0]
        preferred: frozenset[str] = frozenset()
        if headers.text(b"authorization"):
            organisation = self._organisation(headers)
            preferred = self._parts.admission.shares.entries_for(organisation.name)
        found = self._parts.directory.answer(domain, preferred)
        addresses = [EntryAddress(address) for address in found.addresses]
        return json_reply(EntriesBody(addresses, found.keep_until, found.ttl))

    def _organisation(self, headers: Headers) -> Organisation:
        kind, _, key = headers.text(b"authorization").partition(" ")
        if kind.lower() != "bearer" or not key:
            raise RequestError(Code.KEY_MISSING)
        found = self._by_key.get(hashlib.sha256(key.strip().encode("latin-1")).hexdigest())
        if found is None:
            raise RequestError(Code.KEY_UNKNOWN)
        return found

    async def _read_call(
        self,
        scope: Scope,
        headers: Headers,
        receive: Receive,
        request_id: str,
        caller_id: str,
        organisation: Organisation,
    ) -> Call:
        cfg = self._ready_configuration()
        deadline = calls.deadline(headers, cfg, self._parts.clock)
        body = await calls.read_body(headers, receive)
        method, path = scope["method"], scope["path"]
        is_model = method == "POST" and path in MODEL_PATHS
        query = scope["query_string"].decode("latin-1")
        return Call(
            request_id=request_id,
            caller_id=caller_id,
            organisation=organisation,
            target=(
                calls.model_target(body) if is_model else calls.service_target(cfg, method, path)
            ),
            method=method,
            path=f"{path}?{query}" if query else path,
            headers=tuple(scope["headers"]),
            body=body,
            deadline=deadline,
            key=calls.run_once_key(headers),
            ticket=calls.ticket(headers),
        )

    async def _answer(self, call: Call, receive: Receive, send: Send) -> None:
        parts = self._parts
        began = parts.clock.monotonic()
        code = Code.OK
        try:
            admitted = parts.admission.admit(_admit_query(call))
        except RequestError as exc:
            parts.metrics.ended(call.organisation.name, int(exc.code))
            if call.repeatable:
                raise
            raise exc.unvouched() from exc
        parts.retries.arrived(call.organisation.name)
        answer = Answer(send, call.caller_id, parts.clock)
        try:
            await self._run(call, answer, receive, admitted)
        except RequestError as exc:
            code = exc.code
            if not answer.started:
                raise
            logger.bind(request=call.request_id, code=int(code)).warning("answer cut: {}", exc)
            await answer.part(error_event(exc))
            raise AnswerBrokenOff(str(exc)) from exc
        finally:
            parts.admission.release(admitted, ok=code is Code.OK)
            self._measure(call, answer, began, code)

    async def _run(self, call: Call, answer: Answer, receive: Receive, admitted: Admitted) -> None:
        """Answer the call; end it when the caller goes away, which frees the endpoint's slot."""
        failure: RequestError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_watch_caller, receive, tasks.cancel_scope)
            answer.on_start = lambda: self._parts.admission.first_byte(admitted)
            try:
                if call.repeatable:
                    await self._parts.relay.run(call, answer)
                else:
                    await self._parts.run_once.run(call, answer)
            except RequestError as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    def _measure(self, call: Call, answer: Answer, began: float, code: Code) -> None:
        metrics, name = self._parts.metrics, call.organisation.name
        metrics.ended(name, int(code))
        if answer.started:
            target = call.target.name
            metrics.latency(Latency.FIRST_TOKEN, answer.first_byte_at - began, name, target)
            whole = self._parts.clock.monotonic() - began
            metrics.latency(Latency.WHOLE, whole, name, target)
        logger.bind(
            request=call.request_id,
            caller_id=call.caller_id,
            organisation=name,
            target=call.target.name,
            code=int(code),
        ).debug("request ended")


def _admit_query(call: Call) -> AdmitQuery:
    match call.target:
        case calls.ModelTarget(model=model, max_tokens=tokens):
            target, cost = Target(TargetKind.MODEL, model), tokens / USUAL_TOKENS
        case calls.ServiceTarget(service=service):
            target, cost = Target(TargetKind.SERVICE, service.name), 1.0
    return AdmitQuery(
        organisation=call.organisation.name,
        target=target,
        priority=call.organisation.priority,
        deadline=call.deadline,
        cost=cost,
    )


async def _watch_caller(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _models(cfg: Configuration, organisation: Organisation) -> Reply:
    names = {
        group.model
        for group in cfg.groups.values()
        if not group.organisations or organisation.name in group.organisations
    }
    return json_reply(ModelsBody([ModelRow(name) for name in sorted(names)]))
