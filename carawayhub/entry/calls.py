"""A caller's request, read and checked."""

import math
import re
import secrets
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import msgspec

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Organisation, Service, ServiceRoute
from carawayhub.constants import (
    DEADLINE_HEADER,
    KEY_HEADER,
    MAX_BODY_BYTES,
    MAX_DEADLINE_SECONDS,
    MAX_KEY_LENGTH,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
)
from carawayhub.errors import RequestError
from carawayhub.limits.fingerprint import fingerprint

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODEL_PATHS = frozenset({CHAT_PATH, COMPLETIONS_PATH})

BODY_TIMEOUT_SECONDS = 30.0
"""Seconds for a whole request; how late an idempotency key may reach its agent builds on it."""

MAX_LENGTH_DIGITS = 20
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 256

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}\Z")


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """A call of a model, which any group that serves it may answer."""

    model: str
    streamed: bool
    max_tokens: int

    @property
    def name(self) -> str:
        """Name of the model."""
        return self.model


@dataclass(frozen=True, slots=True)
class ServiceTarget:
    """A call of a plain service."""

    service: Service
    route: ServiceRoute

    @property
    def name(self) -> str:
        """Name of the service."""
        return self.service.name


Target = ModelTarget | ServiceTarget


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request of a caller.

    Attributes:
        request_id: Unique id of this request within the system; goes to the endpoint and the logs.
        caller_id: The id the caller gave, or the same as ``request_id``.
        organisation: Who sends it.
        target: What it asks for.
        method: HTTP method.
        path: Path with query.
        headers: Lower-case headers as they came.
        body: The whole body.
        deadline: Reading of the clock after which nothing more is done.
        key: Idempotency key, empty for none.
        ticket: Ticket, empty for none.
    """

    request_id: str
    caller_id: str
    organisation: Organisation
    target: Target
    method: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    deadline: float
    key: str
    ticket: str

    @property
    def fingerprint(self) -> bytes:
        """Names what it asks; see ``fingerprint``. Hashes the body."""
        return fingerprint(self.organisation.name, self.method, "", self.path.encode(), self.body)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once.

        A caller that sends a key or a ticket wants one run, also of a call that could be repeated.
        """
        if self.key or self.ticket:
            return False
        match self.target:
            case ServiceTarget(route=route):
                return route.repeatable
            case ModelTarget():
                return True


class ModelBody(msgspec.Struct):
    """The fields of a model call's body that the system reads."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Most tokens that the answer may have, 256 where the caller does not say.

        Whether the number is good is for the engine to say; here it only weighs the request.
        """
        given = self.max_completion_tokens or self.max_tokens or 0
        return min(given, MAX_TOKENS) if given > 0 else DEFAULT_MAX_TOKENS


@dataclass(frozen=True, slots=True)
class Headers:
    """The headers of a request by lower-case name; of a repeated name the last one counts."""

    values: dict[bytes, bytes]

    @classmethod
    def of(cls, scope: Scope) -> "Headers":
        """Read the headers of an ASGI scope."""
        return cls(dict(scope["headers"]))

    def text(self, name: bytes) -> str:
        """Return a header as text, empty where it is missing."""
        return self.values.get(name, b"").decode("latin-1").strip()


def new_request_id() -> str:
    """Return a fresh id; it is random, so that entries need not agree on one."""
    return secrets.token_hex(10)


def caller_id(headers: Headers, request_id: str) -> str:
    """Return the id that the caller knows its request by."""
    given = headers.text(REQUEST_ID_HEADER)
    return given if _ID_PATTERN.match(given) else request_id


def deadline(headers: Headers, cfg: Configuration, clock: Clock) -> float:
    """Return the request's deadline on this process's clock.

    The header carries the time that is left in milliseconds: the caller's clock is not ours.

    Raises:
        RequestError: DEADLINE_MALFORMED, or DEADLINE_PASSED where no time is left.
    """
    text = headers.text(DEADLINE_HEADER)
    if not text:
        return clock.monotonic() + cfg.fleet.request_deadline
    try:
        remaining = float(text) / 1000
    except ValueError as exc:
        raise RequestError(Code.DEADLINE_MALFORMED, repr(text)) from exc
    if not math.isfinite(remaining):
        raise RequestError(Code.DEADLINE_MALFORMED, repr(text))
    if remaining <= 0:
        raise RequestError(Code.DEADLINE_PASSED, "no time was left when it came")
    return clock.monotonic() + min(remaining, MAX_DEADLINE_SECONDS)


def run_once_key(headers: Headers) -> str:
    """Return the idempotency key, empty for none.

    Raises:
        RequestError: BODY_MALFORMED where the key is too long.
    """
    key = headers.text(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        raise RequestError(Code.BODY_MALFORMED, f"idempotency-key is over {MAX_KEY_LENGTH} long")
    return key


def ticket(headers: Headers) -> str:
    """Return the ticket, empty for none."""
    return headers.text(TICKET_HEADER)


async def read_body(headers: Headers, receive: Receive) -> bytes:
    """Return the whole body.

    Raises:
        RequestError: BODY_TOO_LARGE, or BODY_MALFORMED where the caller left before its end.
    """
    declared = headers.text(b"content-length")
    if declared.isdecimal() and int(declared[:MAX_LENGTH_DIGITS]) > MAX_BODY_BYTES:
        raise RequestError(Code.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            return await _read_parts(receive)
    except TimeoutError as exc:
        raise RequestError(
            Code.BODY_MALFORMED, f"not whole after {BODY_TIMEOUT_SECONDS:.0f} s"
        ) from exc


async def _read_parts(receive: Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise RequestError(Code.BODY_MALFORMED, "the body broke off")
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            raise RequestError(Code.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
        if not message.get("more_body", False):
            return b"".join(parts)


def forwarded_path(scope: Scope) -> str:
    """Return path and query as the caller wrote them, for the endpoint.

    ``scope["path"]`` has its escapes resolved. Sent on like that, a space or an accent would make
    a request line that no HTTP library accepts, and an escaped ``?`` would become a query.
    """
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return (path + b"?" + query if query else path).decode("ascii", "replace")


def forwarded_headers(scope: Scope, target: Target) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers as they came, those for an endpoint's answer aside that no entry can read.

    The entry checks that each part of a model's answer is the request's own. An engine that
    compresses for callers who accept it would seem to answer someone else's request, each time.
    """
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    match target:
        case ModelTarget():
            return tuple(each for each in headers if each[0] != b"accept-encoding")
        case ServiceTarget():
            return tuple(headers)


def model_target(body: bytes) -> ModelTarget:
    """Return what a model call asks for.

    Raises:
        RequestError: BODY_MALFORMED where the body is no JSON or names no model.
    """
    try:
        fields = msgspec.json.decode(body, type=ModelBody)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestError(Code.BODY_MALFORMED, str(exc)) from exc
    return ModelTarget(fields.model, fields.stream, fields.tokens)
