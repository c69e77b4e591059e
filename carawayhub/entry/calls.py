"""Reads and validates callers' requests."""

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
from carawayhub.entry.prompts import prompt_parts
from carawayhub.errors import RequestError
from carawayhub.inbound.requests import receive_part
from carawayhub.limits.fingerprint import RequestTraits, fingerprint

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
MODEL_PATHS = frozenset({CHAT_PATH, COMPLETIONS_PATH})

BODY_TIMEOUT_SECONDS = 30.0
"""Time limit for a complete body; limits how late an idempotency key may reach its agent."""

MAX_LENGTH_DIGITS = 20
MAX_TOKENS = 1_000_000
DEFAULT_MAX_TOKENS = 256

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,64}\Z")


@dataclass(frozen=True, slots=True)
class ModelTarget:
    """A call of a model, which any group that serves the model may answer."""

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
        request_id: Unique id of this request within the system, sent to the endpoint and logged.
        caller_id: The id that the caller sent, or else ``request_id``.
        organisation: Organisation of the caller.
        target: The model or the service that is called.
        method: HTTP method.
        path: Path with query.
        headers: Headers as received, with lower-case names.
        body: The complete body.
        deadline: Clock timestamp after which the call is abandoned.
        key: Idempotency key, empty if there is none.
        ticket: Ticket, empty if there is none.
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
    def traits(self) -> RequestTraits:
        """What the call may have in common with others; computed on each access."""
        content = fingerprint(
            self.organisation.name, self.method, "", self.path.encode(), self.body
        )
        is_model_call = isinstance(self.target, ModelTarget)
        return RequestTraits(content, prompt_parts(self.body) if is_model_call else ())

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once.

        A key or a ticket requests a single run, even of a call that could be repeated.
        """
        if self.key or self.ticket:
            return False
        match self.target:
            case ServiceTarget(route=route):
                return route.repeatable
            case ModelTarget():
                return True


class ModelBody(msgspec.Struct):
    """The fields that are read from the body of a model call."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    @property
    def tokens(self) -> int:
        """Maximum number of tokens of the answer, 256 if the caller does not set it.

        It is only used to weigh the request; the engine validates the number.
        """
        given = self.max_completion_tokens or self.max_tokens or 0
        return min(given, MAX_TOKENS) if given > 0 else DEFAULT_MAX_TOKENS


@dataclass(frozen=True, slots=True)
class Headers:
    """The headers of a request by lower-case name; the last of repeated headers is used."""

    values: dict[bytes, bytes]

    @classmethod
    def of(cls, scope: Scope) -> "Headers":
        """Read the headers of an ASGI scope."""
        return cls(dict(scope["headers"]))

    def text(self, name: bytes) -> str:
        """Return a header as text, empty if it is missing."""
        return self.values.get(name, b"").decode("latin-1").strip()


def new_request_id() -> str:
    """Return a random id, which is unique without coordination between entries."""
    return secrets.token_hex(10)


def caller_id(headers: Headers, request_id: str) -> str:
    """Return the caller's own id of the request if it is valid, else ``request_id``."""
    given = headers.text(REQUEST_ID_HEADER)
    return given if _ID_PATTERN.match(given) else request_id


def deadline(headers: Headers, cfg: Configuration, clock: Clock) -> float:
    """Return the request's deadline on this process's clock.

    The header carries the remaining time in milliseconds, since the caller's clock may differ.

    Raises:
        RequestError: DEADLINE_MALFORMED, or DEADLINE_PASSED if no time remains.
    """
    text = headers.text(DEADLINE_HEADER)
    if not text:
        return clock.monotonic() + cfg.fleet.request_deadline
    try:
        left = float(text) / 1000
    except ValueError as exc:
        raise RequestError(Code.DEADLINE_MALFORMED, repr(text)) from exc
    if not math.isfinite(left):
        raise RequestError(Code.DEADLINE_MALFORMED, repr(text))
    if left <= 0:
        raise RequestError(Code.DEADLINE_PASSED, "no time remained when the request arrived")
    return clock.monotonic() + min(left, MAX_DEADLINE_SECONDS)


def run_once_key(headers: Headers) -> str:
    """Return the idempotency key, empty if there is none.

    Raises:
        RequestError: BODY_MALFORMED if the key is too long.
    """
    key = headers.text(KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        raise RequestError(
            Code.BODY_MALFORMED, f"idempotency-key exceeds {MAX_KEY_LENGTH} characters"
        )
    return key


def ticket(headers: Headers) -> str:
    """Return the ticket, empty if there is none."""
    return headers.text(TICKET_HEADER)


async def read_body(scope: Scope, headers: Headers, receive: Receive) -> bytes:
    """Return the complete body.

    Raises:
        RequestError: BODY_TOO_LARGE, BODY_MALFORMED if the body is incomplete, or the reason for
            which its connection refuses the rest.
    """
    declared = headers.text(b"content-length")
    if declared.isdecimal() and int(declared[:MAX_LENGTH_DIGITS]) > MAX_BODY_BYTES:
        raise RequestError(Code.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
    try:
        with anyio.fail_after(BODY_TIMEOUT_SECONDS):
            return await _read_parts(scope, receive)
    except TimeoutError as exc:
        raise RequestError(
            Code.BODY_MALFORMED, f"incomplete after {BODY_TIMEOUT_SECONDS:.0f} s"
        ) from exc


async def _read_parts(scope: Scope, receive: Receive) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive_part(scope, receive)
        if message["type"] == "http.disconnect":
            raise RequestError(
                Code.BODY_MALFORMED, "the caller disconnected before the end of the body"
            )
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > MAX_BODY_BYTES:
            raise RequestError(Code.BODY_TOO_LARGE, f"at most {MAX_BODY_BYTES} bytes")
        if not message.get("more_body", False):
            return b"".join(parts)


def forwarded_path(scope: Scope) -> str:
    """Return the path and query for the endpoint, percent-encoded as the caller sent them.

    ``scope["path"]`` is decoded. If it were forwarded, a space or a non-ASCII letter would make the
    request line invalid, and an encoded ``?`` would start a query.
    """
    path: bytes = scope["raw_path"]
    query: bytes = scope["query_string"]
    return (path + b"?" + query if query else path).decode("ascii", "replace")


def forwarded_headers(scope: Scope, target: Target) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers for the endpoint, without ``accept-encoding`` for model calls.

    The entry checks that each part of a model's answer carries the request's id. It cannot find the
    id in a compressed answer and would reject it as that of another request.
    """
    headers: list[tuple[bytes, bytes]] = scope["headers"]
    match target:
        case ModelTarget():
            return tuple(each for each in headers if each[0] != b"accept-encoding")
        case ServiceTarget():
            return tuple(headers)


def model_target(body: bytes) -> ModelTarget:
    """Return the target of a model call.

    Raises:
        RequestError: BODY_MALFORMED if the body is not valid JSON or names no model.
    """
    try:
        fields = msgspec.json.decode(body, type=ModelBody)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise RequestError(Code.BODY_MALFORMED, str(exc)) from exc
    return ModelTarget(fields.model, fields.stream, fields.tokens)
