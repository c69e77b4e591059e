"""Readiness, directory and metrics endpoints of a process."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from carawayhub.constants import JSON_TYPE
from carawayhub.entry.calls import Receive, Send
from carawayhub.gateway.directory import ANSWER_TTL_SECONDS, DirectoryQuery

OK_STATUS = 200
UNAVAILABLE_STATUS = 503
NOT_FOUND_STATUS = 404

METRICS_PORT = 9464
METRICS_PATH = "/metrics"
"""Port and path of the metrics; ``deploy/system.toml`` announces both to the platform."""

Application = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]


class _EntryList(msgspec.Struct, rename={"addresses": "Addrs", "keep_seconds": "TtlS"}):
    """Entries that a caller may use, and for how many seconds it may cache the answer."""

    addresses: list[str]
    keep_seconds: float


def probe_app(
    ready: Callable[[], bool],
    addresses: Callable[[DirectoryQuery], list[str]],
    metrics: Callable[[], str],
) -> Application:
    """Return the ASGI application that serves readiness, directory and metrics.

    Args:
        ready: Returns whether this entry accepts callers.
        addresses: Returns the addresses of entries that accept callers.
        metrics: Returns the metrics as text.
    """

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        match scope["path"]:
            case "/v1/ready":
                await _answer(send, OK_STATUS if ready() else UNAVAILABLE_STATUS, b"{}")
            case "/v1/resolve":
                found = addresses(_directory_query(scope))
                body = msgspec.json.encode(_EntryList(found, ANSWER_TTL_SECONDS))
                await _answer(send, OK_STATUS if found else UNAVAILABLE_STATUS, body)
            case _ if scope["path"] == METRICS_PATH:
                await _answer(send, OK_STATUS, metrics().encode(), b"text/plain")
            case _:
                await _answer(send, NOT_FOUND_STATUS, b"{}")

    return app


def _directory_query(scope: dict[str, Any]) -> DirectoryQuery:
    """Return what a caller states in the query of a look-up; unknown fields are ignored."""
    text = scope.get("query_string", b"").decode("latin-1")
    fields = {name: values[0] for name, values in parse_qs(text).items()}
    return DirectoryQuery(fields.get("Name", ""), fields.get("Region", ""), fields.get("Zone", ""))


def metrics_app(metrics: Callable[[], str]) -> Application:
    """Return the ASGI application that serves only metrics.

    Args:
        metrics: Returns the metrics as text.
    """

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["path"] == METRICS_PATH:
            await _answer(send, OK_STATUS, metrics().encode(), b"text/plain")
        else:
            await _answer(send, NOT_FOUND_STATUS, b"{}")

    return app


async def _answer(send: Send, status: int, body: bytes, kind: bytes = JSON_TYPE) -> None:
    headers = [(b"content-type", kind), (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
