"""Requests of callers and the heads of endpoints' answers, free of how they are spelled."""

from dataclasses import dataclass
from typing import Any, Protocol

from carawayhub.gateway.loads import Work
from carawayhub.gateway.model import Organisation, Route

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, kw_only=True)
class CallerRequest:
    """One request as it came in.

    Attributes:
        id: The caller's id of this attempt; empty where it sent none.
        method: HTTP method.
        host: Host that was asked for.
        path: Path without the query, as it was sent.
        target: Path and query, as they were sent.
        headers: Headers that go on to an endpoint.
        key: The key that it carries, empty where it carries none.
        waits: Seconds that the caller said it would wait, None where it did not say.
        prompt_tokens: Tokens of its prompt, 0 for a plain service.
        answer_tokens: Tokens that its answer has at the most, 0 likewise.
        last_event_id: Event after which a resumed stream goes on, empty for a new one.
        deadline: When the caller gives up, by this process's clock.
        body: Its whole body.
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
    deadline: float = 0.0
    body: bytes = b""


@dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """A request that has a route and may use it.

    Attributes:
        req: The request.
        route: Its route.
        service: Service that it goes to.
        organisation: Holder of its key, None on a public route.
        arrived_at: When it came.
        ends_at: When the caller or the route gives up, whichever is first.
        returned: Whether the caller was refused before and has come back.
        work: What it needs of an endpoint.
        fingerprint: Names what it asks; see ``fingerprint``.
        version: Version of the configuration by which it was admitted.
    """

    req: CallerRequest
    route: Route
    service: str
    organisation: Organisation | None
    arrived_at: float
    ends_at: float
    returned: bool
    work: Work
    fingerprint: bytes = b""
    version: int = 0

    @property
    def priority(self) -> int:
        """Rank of the request, 0 is the most urgent; that of its organisation goes first."""
        if self.organisation is not None and self.organisation.priority is not None:
            return self.organisation.priority
        return self.route.priority


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """What an endpoint is told beside the request itself.

    Attributes:
        replica: Id of the replica that may run it.
        seconds: Time that is left for it.
        organisation: Name of the key's holder, empty on a public route.
        urgency: Rank within the endpoint, 0 is the most urgent.
        last_event_id: Event after which a stream goes on, empty for a new one.
    """

    replica: str
    seconds: float
    organisation: str
    urgency: int
    last_event_id: bytes


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """An answer names the requests that its replica takes from all entries together.

    Attributes:
        per_second: Requests a second; 0 for none.
    """

    per_second: float


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """An answer names a limit that is no decimal number.

    Attributes:
        text: Its beginning, for the log.
    """

    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Head of an endpoint's answer.

    Attributes:
        status: HTTP status.
        headers: Headers that go back to the caller.
        request_id: Request that it belongs to, empty where it does not say.
        sealed: Whether the endpoint vouches for it.
        not_run: Whether it says that it did not run the request.
        misdirected: Whether it says that it is another incarnation than was expected.
        is_stream: Whether its body is a stream of events.
        encoded: Whether something on the way has encoded its body.
        limit: The limit that it names, None where it names none.
    """

    status: int
    headers: Headers
    request_id: bytes
    sealed: bool
    not_run: bool
    misdirected: bool
    is_stream: bool
    encoded: bool
    limit: NamedLimit | UnreadableLimit | None = None


class CallerWire(Protocol):
    """How requests and answers are spelled towards callers and endpoints."""

    def request(self, scope: dict[str, Any]) -> CallerRequest:
        """Return the request in an ASGI scope, without its body.

        Raises:
            RequestError: DEADLINE_MALFORMED, BODY_MALFORMED.
        """

    def dispatch(self, req: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request goes to an endpoint."""

    def answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
