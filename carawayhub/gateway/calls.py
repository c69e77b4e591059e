"""Requests of callers and heads of endpoints' answers, independent of the wire format."""

from dataclasses import dataclass
from typing import Any, Protocol

from carawayhub.gateway.loads import Work
from carawayhub.gateway.model import Organisation, Route
from carawayhub.limits.fingerprint import RequestTraits

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One request as received.

    Attributes:
        id: The caller's id of this attempt, empty if it sent none.
        method: HTTP method.
        host: Requested host.
        path: Path without the query, as it was sent.
        target: Path and query, as they were sent.
        headers: Headers to forward to an endpoint.
        key: The caller's key, empty if it sent none.
        wait_seconds: Seconds that the caller is prepared to wait, None if it did not state this.
        prompt_tokens: Tokens of the prompt, 0 for a plain service.
        answer_tokens: Maximum tokens of the answer, 0 for a plain service.
        last_event_id: Event after which a resumed stream continues, empty for a new one.
        prompt_parts: Fingerprints of the parts of its prompt that other prompts may share.
        expects_version: Whether only a certain version of the weights may run it.
        deadline: When the caller gives up, by this process's clock.
        body: The complete body.
    """

    id: bytes
    method: str
    host: str
    path: str
    target: bytes
    headers: Headers
    key: str
    wait_seconds: float | None
    prompt_tokens: int
    answer_tokens: int
    last_event_id: bytes
    prompt_parts: tuple[bytes, ...] = ()
    expects_version: bool = False
    deadline: float = 0.0
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that has a route and is allowed to use it.

    Attributes:
        req: The request.
        route: Its route.
        service: Service that it is sent to.
        organisation: Holder of its key, None on a public route.
        arrived_at: Time of arrival.
        ends_at: Time at which the caller or the route gives up, whichever is first.
        returned: Whether the caller was refused before and is trying again.
        work: Load that it adds to an endpoint.
        traits: What the request may have in common with others.
        version: Version of the configuration that admitted it.
    """

    req: CallerRequest
    route: Route
    service: str
    organisation: Organisation | None
    arrived_at: float
    ends_at: float
    returned: bool
    work: Work
    traits: RequestTraits = RequestTraits()
    version: int = 0

    @property
    def priority(self) -> int:
        """Priority of the request, 0 is the most urgent; that of its organisation goes first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Metadata that an endpoint receives with a request.

    Attributes:
        replica: Id of the replica that may run the request.
        seconds: Seconds left to answer it.
        organisation: Name of the key's holder, empty on a public route.
        urgency: Priority at the endpoint, 0 is the most urgent.
        last_event_id: Event after which a stream continues, empty for a new one.
    """

    replica: str
    seconds: float
    organisation: str
    urgency: int
    last_event_id: bytes


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """A limit in an answer, on the requests that its replica accepts from all entries together.

    Attributes:
        per_second: Requests per second, 0 for none.
    """

    per_second: float


@dataclass(frozen=True, slots=True)
class RequestedBackoff:
    """A time in an answer for which its replica wants no requests from this entry.

    Attributes:
        seconds: Seconds from the answer on, 0 for none.
    """

    seconds: float


@dataclass(frozen=True, slots=True)
class UnreadableValue:
    """A value in an answer that is not a decimal number.

    Attributes:
        text: Beginning of the value, for the log.
    """

    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Head of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers to return to the caller.
        request_id: Id of the request that it answers, empty if the endpoint did not state it.
        sealed: Whether it has a response seal, by which an endpoint marks its own answers.
        not_run: Whether the endpoint reports that it did not run the request.
        misdirected: Whether the endpoint reports that it is not the expected incarnation.
        is_stream: Whether the body is a stream of events.
        encoded: Whether the body was encoded in transit.
        limit: The limit in the answer, None if there is none.
        backoff: The backoff that the answer requests, None if it requests none.
        leaving: Whether the replica announces that it is leaving.
        cold_left: Seconds for which the replica stays cold, None if it does not state this.
    """

    status: int
    headers: Headers
    request_id: bytes
    sealed: bool
    not_run: bool
    misdirected: bool
    is_stream: bool
    encoded: bool
    limit: NamedLimit | UnreadableValue | None = None
    backoff: RequestedBackoff | UnreadableValue | None = None
    leaving: bool = False
    cold_left: float | None = None


class CallerWire(Protocol):
    """Wire format of requests and answers, for callers and endpoints."""

    def request(self, scope: dict[str, Any]) -> CallerRequest:
        """Return the request in an ASGI scope, without its body.

        Raises:
            RequestError: DEADLINE_MALFORMED, BODY_MALFORMED.
        """

    def dispatch(self, req: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request is sent to an endpoint."""

    def answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
