"""The operators' HTTP endpoints, on a separate address."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from carawayhub.codes import Code
from carawayhub.constants import JSON_TYPE
from carawayhub.inbound.shared import Inbound
from carawayhub.output.audit import AuditTrail
from carawayhub.output.metrics import Metrics, as_text

Scope = dict[str, Any]

TEXT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
READ_METHODS = frozenset({"GET", "HEAD"})


class HealthBody(msgspec.Struct, kw_only=True):
    """Liveness and readiness of a process.

    Attributes:
        name: Name of the process.
        ready: Whether it may serve.
        reason: Why it may not, empty where it may.
    """

    name: str
    ready: bool
    reason: str


class OperatorApp:
    """The ASGI application for operators.

    ``/healthz`` reports liveness, ``/readyz`` whether the process may serve (200 or 503),
    ``/metrics`` returns metrics as text and with ``?format=json`` as JSON, ``/status`` and
    ``/audit?since=N`` what ``carawayhub status`` and ``carawayhub audit`` show.

    Args:
        audit: The audit trail to show.
        metrics: The metrics to show.
        health: Returns the health of the process.
        status: Returns the status page of the process.
        inbound: What the servers of the process share; its metrics are shown as text.
    """

    __slots__ = ("_audit", "_health", "_inbound", "_metrics", "_status")

    def __init__(
        self,
        audit: AuditTrail,
        metrics: Metrics,
        health: Callable[[], HealthBody],
        status: Callable[[], Any],
        inbound: Inbound | None = None,
    ) -> None:
        self._inbound = inbound
        self._audit = audit
        self._metrics = metrics
        self._health = health
        self._status = status

    async def __call__(self, scope: Scope, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        if scope["method"] not in READ_METHODS:
            await _send_json(
                send, _Unknown(int(Code.USAGE), "only GET and HEAD are supported"), 405
            )
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        match scope["path"]:
            case "/healthz":
                await _send_json(send, self._health())
            case "/readyz":
                health = self._health()
                await _send_json(send, health, 200 if health.ready else 503)
            case "/metrics":
                await self._send_metrics(send, query)
            case "/status":
                await _send_json(send, self._status())
            case "/audit":
                await self._send_audit(send, query.get("since", ["0"])[0])
            case _:
                await _send_json(send, _Unknown(int(Code.USAGE), "no such page"), 404)

    async def _send_audit(self, send: Any, since: str) -> None:
        try:
            changes = self._audit.since(int(since))
        except ValueError:
            unusable = _Unknown(int(Code.USAGE), "'since' must be the number of a change")
            await _send_json(send, unusable, 400)
            return
        await _send_json(send, changes)

    async def _send_metrics(self, send: Any, query: dict[str, list[str]]) -> None:
        page = self._metrics.page()
        if query.get("format") == ["json"]:
            await _send_json(send, page)
            return
        own = self._inbound.metrics() if self._inbound is not None else ""
        await _send(send, 200, TEXT_TYPE, (as_text(page) + own).encode())


class _Unknown(msgspec.Struct):
    code: int
    message: str


async def _send_json(send: Any, value: Any, status: int = 200) -> None:
    await _send(send, status, JSON_TYPE, msgspec.json.encode(value))


async def _send(send: Any, status: int, kind: bytes, body: bytes) -> None:
    headers = [(b"content-type", kind), (b"content-length", b"%d" % len(body))]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
