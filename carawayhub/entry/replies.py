"""Replies of the entry itself: JSON answers and errors with their codes."""

import math
from dataclasses import dataclass
from typing import Any

import msgspec

from carawayhub.codes import Code
from carawayhub.constants import CODE_HEADER, JSON_TYPE, REQUEST_ID_HEADER
from carawayhub.entry.calls import Send
from carawayhub.errors import CarawayhubError, RequestError


class ErrorBody(msgspec.Struct, kw_only=True):
    """The error that a caller receives in place of an answer.

    Attributes:
        code: Number of the error code.
        name: Name of the error code.
        outcome: ``not_run`` or ``unknown``.
        message: What happened.
        action: What to do next.
        retry_after_s: Seconds after which to retry, null if a retry is not advised.
    """

    code: int
    name: str
    outcome: str
    message: str
    action: str
    retry_after_s: float | None


class ErrorReply(msgspec.Struct):
    """The JSON object that contains an ``ErrorBody``."""

    error: ErrorBody


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP reply."""

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()


def json_reply(value: Any, status: int = 200) -> Reply:
    """Return a reply with ``value`` as JSON."""
    return Reply(status, msgspec.json.encode(value), ((b"content-type", JSON_TYPE),))


def error_reply(exc: CarawayhubError) -> Reply:
    """Return the reply that reports an error to a caller."""
    known = exc.meaning
    body = ErrorBody(
        code=int(exc.code),
        name=exc.code.name,
        outcome=(exc.outcome if isinstance(exc, RequestError) else known.outcome).value,
        message=str(exc),
        action=known.action,
        retry_after_s=exc.retry_after,
    )
    headers = [(b"content-type", JSON_TYPE), (CODE_HEADER, b"%d" % exc.code)]
    if exc.retry_after is not None:
        headers.append((b"retry-after", b"%d" % math.ceil(exc.retry_after)))
    return Reply(known.status or 500, msgspec.json.encode(ErrorReply(body)), tuple(headers))


def error_event(exc: CarawayhubError) -> bytes:
    """Return the server-sent event that precedes the abort of a stream."""
    return b"event: error\ndata: " + error_reply(exc).body + b"\n\n"


async def send_reply(send: Send, reply: Reply, caller_id: str) -> None:
    """Send a complete reply."""
    headers = [*reply.headers, (b"content-length", b"%d" % len(reply.body))]
    if caller_id:
        headers.append((REQUEST_ID_HEADER, caller_id.encode()))
    if not any(name == CODE_HEADER for name, _ in headers):
        headers.append((CODE_HEADER, b"%d" % Code.OK))
    await send({"type": "http.response.start", "status": reply.status, "headers": headers})
    await send({"type": "http.response.body", "body": reply.body})
