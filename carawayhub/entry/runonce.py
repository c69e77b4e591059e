"""Requests that may run at most once, on their way to the one agent that may run them.

The entry decides nothing about running: a ticket names the agent, and the home of an idempotency
key follows from the configuration alone. Sending a request again to that agent is safe, since its
ledger runs it once. No other agent is ever tried.
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
from carawayhub.peers.calls import CallClient
from carawayhub.peers.messages import EndpointReport, RunReply, RunRequest
from carawayhub.peers.methods import RUN

SENDS = 3
RESEND_PAUSE = 0.1
RETRY_AFTER = 1.0
REPLY_MARGIN = 0.5
REPLAYED_HEADER = b"carawayhub-replayed"
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {b"authorization", b"content-length", TICKET_HEADER}


class TicketBody(msgspec.Struct, forbid_unknown_fields=True):
    """What a caller wants a ticket for: one service or one model."""

    service: str = ""
    model: str = ""


class TicketReply(msgspec.Struct):
    """A ticket, to be sent in the header ``carawayhub-ticket`` of one request."""

    ticket: str


class LedgerError(RequestError):
    """A refusal by the agent whose ledger knows every attempt of the key or ticket."""

    __slots__ = ()

    def unvouched(self) -> RequestError:
        """Return the same error: what a ledger says of a run holds for all attempts."""
        return self


@dataclass(frozen=True, slots=True)
class _Place:
    """Where a request may run.

    Attributes:
        endpoint: Name of the endpoint.
        address: Where its agent takes calls.
        stamp: The agent's ticket epoch as last heard.
    """

    endpoint: str
    address: Address
    stamp: int


class RunOnce:
    """Sends run-once requests to agents.

    Args:
        clock: Source of time.
        rng: Chooses endpoints for tickets.
        reports: What agents last reported.
        office: Issues and reads tickets.
        client: Calls agents.
        ends: Knows under which requests endpoints ended.
    """

    __slots__ = (
        "_cfg",
        "_client",
        "_clock",
        "_ends",
        "_key_sets",
        "_office",
        "_reports",
        "_rng",
        "_sets",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        reports: Reports,
        office: TicketCodec,
        client: CallClient,
        ends: EndWatch,
    ) -> None:
        self._ends = ends
        self._clock = clock
        self._rng = rng
        self._reports = reports
        self._office = office
        self._client = client
        self._cfg: Configuration | None = None
        self._key_sets = KeySets()
        self._sets: dict[str, KeySet] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        self._cfg = cfg
        self._sets = self._key_sets.of(cfg)
        self._reports.configure(cfg)

    def issue(self, cfg: Configuration, organisation: Organisation, body: bytes) -> Reply:
        """Return the reply with a new ticket.

        Raises:
            RequestError: BODY_MALFORMED, NOT_SERVED, or NO_ENDPOINT where no agent is known to
                serve now.
        """
        try:
            wanted = msgspec.json.decode(body, type=TicketBody)
        except msgspec.DecodeError as exc:
            raise RequestError(Code.BODY_MALFORMED, str(exc)) from exc
        if bool(wanted.service) == bool(wanted.model):
            raise RequestError(Code.BODY_MALFORMED, "name either a service or a model")
        if wanted.service:
            if wanted.service in cfg.services:
                check_allowed(cfg.services[wanted.service], organisation.name)
            scope, name = service_scope(wanted.service), wanted.service
        else:
            scope, name = model_scope(wanted.model), wanted.model
        report = self._least_loaded(self._may_run(scope, name, organisation))
        ticket = self._office.issue(
            scope, organisation.name, report.endpoint, report.incarnation, report.ticket_epoch
        )
        return json_reply(TicketReply(ticket))

    async def run(self, call: Call, answer: Answer) -> None:
        """Answer a call with what its one run gave.

        Raises:
            RequestError: It has no answer; the code says whether it may have run.
        """
        fingerprint = call.fingerprint
        self._ends.endings.check(fingerprint)
        place = self._by_ticket(call) if call.ticket else self._by_key(call)
        answer.dispatched()
        sent_at = self._clock.monotonic()
        reply = await self._send(call, place)
        if reply.code == Code.ANSWER_CUT and not reply.replayed:
            # A caller that repeats such a call under new keys would end one endpoint after the
            # other: the ledger knows keys, and not what they ask.
            await self._has_ended(call, fingerprint, place, sent_at)
        if reply.code == Code.OK and not reply.replayed:
            self._ends.endings.answered(fingerprint)
        if reply.code != Code.OK:
            raise LedgerError(Code(reply.code), reply.detail, reply.retry_after or None)
        headers = as_bytes(reply.headers)
        if reply.replayed:
            headers.append((REPLAYED_HEADER, b"1"))
        await answer.whole(reply.status, headers, reply.body, Code.OK)

    async def _has_ended(
        self, call: Call, fingerprint: bytes, place: _Place, sent_at: float
    ) -> None:
        found = None if self._cfg is None else self._cfg.endpoints.get(place.endpoint)
        if found is not None:
            await self._ends.has_ended(call, fingerprint, found, sent_at)

    def _may_run(self, scope: str, name: str, organisation: Organisation) -> list[EndpointReport]:
        keyset = self._sets.get(scope)
        if keyset is None:
            raise RequestError(Code.NOT_SERVED, name)
        allowed = [seat for seat in keyset.seats if seat.keeps(organisation.name)]
        if not allowed:
            raise RequestError(Code.NOT_ALLOWED, name)
        now = self._clock.monotonic()
        heard = [self._reports.serving(seat.member.endpoint, now) for seat in allowed]
        found = [report for report in heard if report is not None]
        if not found:
            raise RequestError(Code.NO_ENDPOINT, name, retry_after=RETRY_AFTER)
        return found

    def _least_loaded(self, reports: list[EndpointReport]) -> EndpointReport:
        pair = self._rng.sample(reports, min(2, len(reports)))
        return min(pair, key=lambda report: (report.running + report.queued) / report.capacity)

    def _by_ticket(self, call: Call) -> _Place:
        ticket = self._office.read_for(call.ticket, _scope(call), call.organisation.name)
        return self._place(ticket.endpoint)

    def _by_key(self, call: Call) -> _Place:
        scope = _scope(call)
        keyset = self._sets.get(scope)
        if keyset is None:
            raise RequestError(Code.NOT_SERVED, call.target.name)
        home = keyset.home(RunKey(scope, call.organisation.name, call.key))
        if home is None:
            raise RequestError(Code.NOT_ALLOWED, call.target.name)
        return self._place(home.endpoint)

    def _place(self, endpoint: str) -> _Place:
        """Return where an endpoint's agent is.

        An agent that cannot be found says nothing of a try that was made earlier through another
        entry, so the outcome is unknown and not "not run".
        """
        found = None if self._cfg is None else self._cfg.endpoints.get(endpoint)
        report = self._reports.latest(endpoint)
        if found is None or report is None:
            raise RequestError(Code.RUN_HOME_UNREACHABLE, endpoint, retry_after=RETRY_AFTER)
        return _Place(endpoint, Address.parse(found.agent), report.ticket_epoch)

    async def _send(self, call: Call, place: _Place) -> RunReply:
        failure = RequestError(Code.DEADLINE_PASSED)
        for attempt in range(SENDS):
            left = call.deadline - self._clock.monotonic()
            if left <= 0:
                raise failure
            try:
                reply: RunReply = await self._client.call(
                    place.address, RUN, self._request(call, place, left), left + REPLY_MARGIN
                )
            except PeerError as exc:
                logger.bind(request=call.request_id, endpoint=place.endpoint).info(
                    "run-once request lost, attempt {}: {}", attempt + 1, exc
                )
                failure = _lost(exc)
                await anyio.sleep(self._rng.uniform(0, RESEND_PAUSE))
                continue
            if reply.request_id != call.request_id:
                raise RequestError(Code.ANSWER_MIXED, "the agent's reply names another request")
            return reply
        raise failure

    def _request(self, call: Call, place: _Place, left: float) -> RunRequest:
        assert self._cfg is not None
        return RunRequest(
            request_id=call.request_id,
            organisation=call.organisation.name,
            target=_scope(call),
            key="" if call.ticket else call.key,
            ticket=call.ticket,
            version=self._cfg.version,
            stamp=place.stamp,
            method=call.method,
            path=call.path,
            headers=as_text(without(call.headers, _DROPPED_HEADERS)),
            body=call.body,
            remaining=left,
            deadline=self._reports.on_agents_clock(place.endpoint, call.deadline),
        )


def _scope(call: Call) -> str:
    match call.target:
        case ModelTarget(model=model):
            return model_scope(model)
        case ServiceTarget(service=service):
            return service_scope(service.name)


def _lost(exc: PeerError) -> RequestError:
    """Return what is known when no reply came: nothing, not even where nothing was sent now.

    The caller may have sent the same key or ticket before, through this entry or another.
    """
    return RequestError(Code.RUN_REPLY_LOST, str(exc), retry_after=RETRY_AFTER)
