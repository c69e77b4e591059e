"""Sends requests that may run at most once to the one agent that may run them.

The entry does not choose the agent: a ticket names it, and the home of an idempotency key follows
from the configuration alone. Resending a request to that agent is safe, since the agent's ledger
runs it only once. No other agent is ever tried.
"""

import random
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.agent.keyset import KeySet, KeySets, model_scope, service_scope
from carawayhub.agent.messages import RunKey
from carawayhub.agent.tickets import TicketCodec
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Organisation
from carawayhub.constants import HOP_BY_HOP_HEADERS, TICKET_HEADER
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import Call, ModelTarget, ServiceTarget
from carawayhub.entry.ends import EndWatch
from carawayhub.entry.replies import Reply, json_reply
from carawayhub.entry.reports import Reports
from carawayhub.entry.services import check_allowed
from carawayhub.errors import PeerError, RequestError
from carawayhub.headers import as_bytes, as_text, without
from carawayhub.limits.fingerprint import RequestTraits
from carawayhub.peers.calls import CallClient
from carawayhub.peers.messages import EndpointReport, RunReply, RunRequest
from carawayhub.peers.methods import RUN

MAX_SENDS = 3
MAX_RESEND_DELAY_SECONDS = 0.1
RETRY_AFTER_SECONDS = 1.0
REPLY_MARGIN_SECONDS = 0.5
REPLAYED_HEADER = b"carawayhub-replayed"
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"authorization", b"content-length", TICKET_HEADER}


class TicketBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a ticket request, which names either a service or a model."""

    service: str = ""
    model: str = ""


class TicketReply(msgspec.Struct):
    """A ticket, which the caller sends in the ``carawayhub-ticket`` header of one request."""

    ticket: str


class LedgerError(RequestError):
    """An error from the agent whose ledger records every attempt of the key or ticket."""

    __slots__ = ()

    def unvouched(self) -> RequestError:
        """Return the same error, since the outcome in a ledger is valid for all attempts."""
        return self


@dataclass(frozen=True, slots=True)
class _Destination:
    """The endpoint and agent that may run a request.

    Attributes:
        endpoint: Name of the endpoint.
        address: Address at which its agent accepts calls.
        stamp: The agent's ticket epoch as last received.
    """

    endpoint: str
    address: Address
    stamp: int


class RunOnce:
    """Sends run-once requests to agents.

    Args:
        clock: Source of time.
        rng: Source of randomness for the choice of endpoints and for jitter.
        reports: Latest reports of the agents.
        ticket_codec: Issues and reads tickets.
        client: Calls agents.
        ends: Detects endpoints that ended while they ran a call.
    """

    __slots__ = (
        "_cfg",
        "_client",
        "_clock",
        "_ends",
        "_key_sets",
        "_ticket_codec",
        "_reports",
        "_rng",
        "_sets",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        reports: Reports,
        ticket_codec: TicketCodec,
        client: CallClient,
        ends: EndWatch,
    ) -> None:
        self._ends = ends
        self._clock = clock
        self._rng = rng
        self._reports = reports
        self._ticket_codec = ticket_codec
        self._client = client
        self._cfg: Configuration | None = None
        self._key_sets = KeySets()
        self._sets: dict[str, KeySet] = {}

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration."""
        self._cfg = cfg
        self._sets = self._key_sets.of(cfg)
        self._reports.configure(cfg)

    def issue(self, cfg: Configuration, organisation: Organisation, body: bytes) -> Reply:
        """Issue a ticket and return the reply that carries it.

        Raises:
            RequestError: BODY_MALFORMED, NOT_SERVED, NOT_ALLOWED, or NO_ENDPOINT if no agent is
                known to be serving at present.
        """
        try:
            requested = msgspec.json.decode(body, type=TicketBody)
        except msgspec.DecodeError as exc:
            raise RequestError(Code.BODY_MALFORMED, str(exc)) from exc
        if bool(requested.service) == bool(requested.model):
            raise RequestError(
                Code.BODY_MALFORMED, "exactly one of 'service' and 'model' is required"
            )
        if requested.service:
            if requested.service in cfg.services:
                check_allowed(cfg.services[requested.service], organisation.name)
            scope, name = service_scope(requested.service), requested.service
        else:
            scope, name = model_scope(requested.model), requested.model
        report = self._least_loaded(self._serving_reports(scope, name, organisation))
        ticket = self._ticket_codec.issue(
            scope, organisation.name, report.endpoint, report.incarnation, report.ticket_epoch
        )
        return json_reply(TicketReply(ticket))

    async def run(self, call: Call, answer: Answer) -> None:
        """Answer a call with the result of its single run.

        Raises:
            RequestError: The call has no answer; the code tells whether it may have run.
        """
        traits = call.traits
        self._ends.endings.admit(traits)
        destination = self._by_ticket(call) if call.ticket else self._by_key(call)
        answer.dispatched()
        sent_at = self._clock.monotonic()
        reply = await self._send(call, destination)
        if reply.code == Code.ANSWER_CUT and not reply.replayed:
            # The ledger identifies requests by key and not by content. A caller that repeats a
            # poison request under new keys would otherwise end one endpoint after the other.
            await self._has_ended(call, traits, destination, sent_at)
        if reply.code == Code.OK and not reply.replayed:
            self._ends.endings.answered(traits)
        if reply.code != Code.OK:
            raise LedgerError(Code(reply.code), reply.detail, reply.retry_after or None)
        headers = as_bytes(reply.headers)
        if reply.replayed:
            headers.append((REPLAYED_HEADER, b"1"))
        await answer.complete(reply.status, headers, reply.body, Code.OK)

    async def _has_ended(
        self, call: Call, traits: RequestTraits, destination: _Destination, sent_at: float
    ) -> None:
        found = None if self._cfg is None else self._cfg.endpoints.get(destination.endpoint)
        if found is not None:
            await self._ends.has_ended(call, traits, found, sent_at)

    def _serving_reports(
        self, scope: str, name: str, organisation: Organisation
    ) -> list[EndpointReport]:
        keyset = self._sets.get(scope)
        if keyset is None:
            raise RequestError(Code.NOT_SERVED, name)
        allowed = [seat for seat in keyset.seats if seat.keeps(organisation.name)]
        if not allowed:
            raise RequestError(Code.NOT_ALLOWED, name)
        now = self._clock.monotonic()
        received = [self._reports.serving(seat.member.endpoint, now) for seat in allowed]
        found = [report for report in received if report is not None]
        if not found:
            raise RequestError(Code.NO_ENDPOINT, name, retry_after=RETRY_AFTER_SECONDS)
        return found

    def _least_loaded(self, reports: list[EndpointReport]) -> EndpointReport:
        pair = self._rng.sample(reports, min(2, len(reports)))
        return min(pair, key=lambda report: (report.running + report.queued) / report.capacity)

    def _by_ticket(self, call: Call) -> _Destination:
        ticket = self._ticket_codec.read_for(call.ticket, _scope(call), call.organisation.name)
        return self._destination(ticket.endpoint)

    def _by_key(self, call: Call) -> _Destination:
        scope = _scope(call)
        keyset = self._sets.get(scope)
        if keyset is None:
            raise RequestError(Code.NOT_SERVED, call.target.name)
        home = keyset.home(RunKey(scope, call.organisation.name, call.key))
        if home is None:
            raise RequestError(Code.NOT_ALLOWED, call.target.name)
        return self._destination(home.endpoint)

    def _destination(self, endpoint: str) -> _Destination:
        """Return the destination for an endpoint.

        If its agent is not known here, the request may still have run earlier through another
        entry, so the outcome is "unknown" and not "not run".
        """
        found = None if self._cfg is None else self._cfg.endpoints.get(endpoint)
        report = self._reports.latest(endpoint)
        if found is None or report is None:
            raise RequestError(Code.RUN_HOME_UNREACHABLE, endpoint, retry_after=RETRY_AFTER_SECONDS)
        return _Destination(endpoint, Address.parse(found.agent), report.ticket_epoch)

    async def _send(self, call: Call, destination: _Destination) -> RunReply:
        failure = RequestError(Code.DEADLINE_PASSED)
        for attempt in range(MAX_SENDS):
            left = call.deadline - self._clock.monotonic()
            if left <= 0:
                raise failure
            try:
                reply: RunReply = await self._client.call(
                    destination.address,
                    RUN,
                    self._request(call, destination, left),
                    left + REPLY_MARGIN_SECONDS,
                )
            except PeerError as exc:
                logger.bind(request=call.request_id, endpoint=destination.endpoint).info(
                    "run-once call to the agent failed, attempt {}: {}", attempt + 1, exc
                )
                failure = _reply_lost(exc)
                await anyio.sleep(self._rng.uniform(0, MAX_RESEND_DELAY_SECONDS))
                continue
            if reply.request_id != call.request_id:
                raise RequestError(
                    Code.ANSWER_MIXED,
                    "the request id in the agent's reply belongs to another request",
                )
            return reply
        raise failure

    def _request(self, call: Call, destination: _Destination, left: float) -> RunRequest:
        assert self._cfg is not None
        return RunRequest(
            request_id=call.request_id,
            organisation=call.organisation.name,
            target=_scope(call),
            key="" if call.ticket else call.key,
            ticket=call.ticket,
            version=self._cfg.version,
            stamp=destination.stamp,
            method=call.method,
            path=call.path,
            headers=as_text(without(call.headers, _DROPPED_HEADERS)),
            body=call.body,
            remaining=left,
            deadline=self._reports.on_agents_clock(destination.endpoint, call.deadline),
        )


def _scope(call: Call) -> str:
    match call.target:
        case ModelTarget(model=model):
            return model_scope(model)
        case ServiceTarget(service=service):
            return service_scope(service.name)


def _reply_lost(exc: PeerError) -> RequestError:
    """Return the error for a lost reply, whose outcome is unknown even if nothing was sent.

    The caller may have sent the same key or ticket earlier, through this entry or another one.
    """
    return RequestError(Code.RUN_REPLY_LOST, str(exc), retry_after=RETRY_AFTER_SECONDS)
