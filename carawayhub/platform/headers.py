"""Maps requests and answers to the headers of the platform."""

import re
from itertools import islice
from typing import Any

from carawayhub.codes import Code
from carawayhub.constants import HOP_BY_HOP_HEADERS, STREAM_TYPE
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import (
    AnswerHead,
    CallerRequest,
    Dispatch,
    Headers,
    NamedLimit,
    RequestedBackoff,
    UnreadableValue,
)
from carawayhub.limits.fingerprint import MAX_PARTS, part_fingerprint

REQUEST_ID = b"carawayhub-request-id"
DEADLINE = b"carawayhub-request-deadline"
PROMPT_PARTS = b"carawayhub-prompt-prefix"
MODEL = b"carawayhub-model"
TOKEN_COUNTS = b"carawayhub-token-counts"
EXPECT_INSTANCE = b"carawayhub-expect-instance"
EXPECT_VERSION = b"carawayhub-expect-version"
ORGANISATION = b"carawayhub-tenant"
URGENCY = b"carawayhub-request-urgency"
SEAL = b"carawayhub-response-seal"
NOT_RUN = b"carawayhub-not-executed"
LAST_EVENT_ID = b"last-event-id"
LIMIT = b"server-limit"
LEAVING = b"server-leaving"
COLD_REMAINING = b"carawayhub-cold-remaining"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"
BEARER = "bearer "
MS_PER_SECOND = 1000.0
MIN_DEADLINE_MS = 1
MAX_WAIT_SECONDS = 86_400.0
"""Longest time that a caller may state; longer ones are lowered to it."""

MAX_TOKENS = 2**31 - 1
"""Largest number of tokens that is counted; larger ones are lowered to it. Entries add these
numbers up and exchange the sums in 64 bits, and no endpoint has memory for as many tokens."""

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
LEAST_URGENT = 9

_FLEET_ONLY_HEADERS = frozenset({DEADLINE, EXPECT_INSTANCE, ORGANISATION, URGENCY, LAST_EVENT_ID})
"""Headers that only the fleet may set; values sent by a caller are dropped."""

_NOT_FORWARDED = (
    HOP_BY_HOP_HEADERS | _FLEET_ONLY_HEADERS | {b"content-length", b"expect", AUTHORIZATION}
)
_NOT_RETURNED = HOP_BY_HOP_HEADERS | {b"proxy-connection", LIMIT, LEAVING, COLD_REMAINING}
"""Callers cannot act on what one replica states of itself: the entry chooses the replica."""

_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]+)?")
_SECONDS = re.compile(rb"[0-9]{1,19}(\.[0-9]+)?")
MAX_CONVERTED_BYTES = 40
"""Bytes of a number that are converted; further digits of its fraction do not change it."""

MAX_LOGGED_BYTES = 40
"""Bytes of an unreadable value that are logged."""


class PlatformWire:
    """Decodes requests and answers, and encodes request headers; see ``CallerWire``."""

    __slots__ = ()

    def request(self, scope: dict[str, Any]) -> CallerRequest:
        """Decode the request of an ASGI scope, without its body."""
        headers: Headers = scope["headers"]
        found = dict(headers)
        named = _connection_headers(headers)
        prompt, answer = _token_counts(found.get(TOKEN_COUNTS, b""))
        query = scope["query_string"]
        raw_path: bytes = scope["raw_path"]
        return CallerRequest(
            id=found.get(REQUEST_ID, b""),
            method=scope["method"],
            host=found.get(b"host", b"").decode("latin-1"),
            path=raw_path.decode("latin-1"),
            target=raw_path + b"?" + query if query else raw_path,
            headers=[
                (name, value)
                for name, value in headers
                if name not in _NOT_FORWARDED and name not in named
            ],
            key=_key(found.get(AUTHORIZATION, b"")),
            wait_seconds=_wait_seconds(found.get(DEADLINE)),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event_id=found.get(LAST_EVENT_ID, b""),
            prompt_parts=_shared_parts(headers, found.get(MODEL, b"")),
            expects_version=EXPECT_VERSION in found,
        )

    def dispatch(self, req: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers of a request to an endpoint."""
        left = max(MIN_DEADLINE_MS, int(dispatch.seconds * MS_PER_SECOND))
        headers = [
            (b"host", req.host.encode("latin-1")),
            *req.headers,
            (DEADLINE, str(left).encode()),
            (EXPECT_INSTANCE, dispatch.replica.encode()),
            (URGENCY, str(min(LEAST_URGENT, dispatch.urgency)).encode()),
        ]
        if dispatch.organisation:
            headers.append((ORGANISATION, dispatch.organisation.encode()))
        if dispatch.last_event_id:
            headers.append((LAST_EVENT_ID, dispatch.last_event_id))
        if req.body or req.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(req.body)).encode()))
        return headers

    def answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return the head of an endpoint's answer."""
        found = {name.lower(): value for name, value in headers}
        named = _connection_headers(headers)
        return AnswerHead(
            status=status,
            headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _NOT_RETURNED and name.lower() not in named
            ],
            request_id=found.get(REQUEST_ID, b""),
            sealed=SEAL in found,
            not_run=NOT_RUN in found or status == MISDIRECTED_STATUS,
            misdirected=status == MISDIRECTED_STATUS,
            is_stream=found.get(b"content-type", b"").startswith(STREAM_TYPE),
            encoded=b"content-encoding" in found,
            limit=_limit(_values(headers, LIMIT)),
            backoff=_backoff(status, _values(headers, RETRY_AFTER)),
            leaving=found.get(LEAVING, b"").strip() == b"1",
            cold_left=_cold_left(_values(headers, COLD_REMAINING)),
        )


def _values(headers: Headers, header: bytes) -> list[bytes]:
    return [value for name, value in headers if name.lower() == header]


def _limit(values: list[bytes]) -> NamedLimit | UnreadableValue | None:
    """Return the limit in an answer; of several values, the lowest that can be parsed."""
    if not values:
        return None
    found = _decimals(values, _DECIMAL)
    return NamedLimit(min(found)) if found else _unreadable(values)


def _backoff(status: int, values: list[bytes]) -> RequestedBackoff | UnreadableValue | None:
    """Return the backoff that an answer requests; of several values, the longest one.

    Only 503 speaks of the replica: ``Retry-After`` beside another status is for the caller.
    """
    if status != UNAVAILABLE_STATUS or not values:
        return None
    found = _decimals(values, _SECONDS)
    return RequestedBackoff(max(found)) if found else _unreadable(values)


def _cold_left(values: list[bytes]) -> float | None:
    """Return the seconds for which a replica stays cold; of several values, the longest time."""
    found = _decimals(values, _SECONDS)
    return max(found) / MS_PER_SECOND if found else None


def _decimals(values: list[bytes], form: re.Pattern[bytes]) -> list[float]:
    return [float(value[:MAX_CONVERTED_BYTES]) for value in values if form.fullmatch(value)]


def _unreadable(values: list[bytes]) -> UnreadableValue:
    return UnreadableValue(values[0][:MAX_LOGGED_BYTES].decode("latin-1"))


def _connection_headers(headers: Headers) -> frozenset[bytes]:
    """Return the names of the hop-by-hop headers that ``Connection`` lists."""
    values = [value for name, value in headers if name.lower() == b"connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(b","))


def _token_counts(value: bytes) -> tuple[int, int]:
    if not value:
        return 0, 0
    try:
        prompt, answer = value.split(b",")
        return _token_count(prompt), _token_count(answer)
    except ValueError as exc:
        raise RequestError(Code.BODY_MALFORMED, "token counts are not two numbers") from exc


def _token_count(text: bytes) -> int:
    digits = text.strip().lstrip(b"0")
    if digits.isdigit() and len(digits) > len(str(MAX_TOKENS)):
        # Conversion fails for numbers of thousands of digits.
        return MAX_TOKENS
    return max(0, min(MAX_TOKENS, int(text)))


def _shared_parts(headers: Headers, model: bytes) -> tuple[bytes, ...]:
    """Return the fingerprints of the parts of a prompt, without the last, which is its own.

    The same id is the same part, whatever its place or token count. An entry without an id is
    skipped.
    """
    entries = b",".join(_values(headers, PROMPT_PARTS)).split(b",")[:-1]
    ids = (entry.partition(b":")[0].strip().lower() for entry in entries)
    found = dict.fromkeys(filter(None, ids))
    return tuple(part_fingerprint(model, part) for part in islice(found, MAX_PARTS))


def _wait_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        waits = float(value) / MS_PER_SECOND
    except ValueError as exc:
        raise RequestError(Code.DEADLINE_MALFORMED, repr(value)) from exc
    if not waits > 0:
        raise RequestError(Code.DEADLINE_MALFORMED, repr(value))
    return min(MAX_WAIT_SECONDS, waits)


def _key(value: bytes) -> str:
    text = value.decode("latin-1")
    return text[len(BEARER) :].strip() if text.lower().startswith(BEARER) else ""
