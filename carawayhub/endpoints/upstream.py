"""Connections for requests to endpoints, over ``httpcore``.

Each endpoint has a pool of its own. A connection on which a request timed out or was cancelled is
closed by ``httpcore`` and never used again, so a late answer finds no reader.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import httpcore

from carawayhub.codes import Code
from carawayhub.errors import RequestError

CONNECT_TIMEOUT = 1.0
KEEPALIVE_EXPIRY = 15.0

NotSent = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
Broken = (httpcore.NetworkError, httpcore.RemoteProtocolError, httpcore.LocalProtocolError)


@dataclass(slots=True)
class UpstreamTimeouts:
    """Seconds of silence allowed on one request, changed as it proceeds.

    Attributes:
        values: The mapping that ``httpcore`` reads before each wait.
    """

    values: dict[str, float] = field(default_factory=dict)

    @classmethod
    def waiting(cls, seconds: float) -> "UpstreamTimeouts":
        """Return the times that hold until the answer's first byte."""
        return cls({"connect": CONNECT_TIMEOUT, "read": seconds, "write": seconds, "pool": seconds})

    def streaming(self, seconds: float) -> None:
        """Allow ``seconds`` of silence between two parts of the answer."""
        self.values["read"] = seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """What goes to an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        url: Whole URL.
        method: HTTP method.
        headers: Headers in order.
        body: The whole body.
        timeouts: Silence allowed.
        still_allowed: Called when the connection stands, right before the first byte goes out.
    """

    endpoint: str
    url: str
    method: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeouts: UpstreamTimeouts
    still_allowed: Callable[[], bool]


class Upstream:
    """The pools of one process, one for each endpoint.

    Args:
        source: IP number to connect from, empty for any.
    """

    __slots__ = ("_pools", "_source")

    def __init__(self, source: str = "") -> None:
        self._source = source
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[httpcore.Response]:
        """Send a request and give its response while the ``with`` runs.

        Raises:
            RequestError: CONNECT_FAILED or ENDPOINT_LEAVING where no byte was sent; ANSWER_TIMEOUT,
                ANSWER_CUT where the endpoint may have run it.
        """
        guard = _SendGuard(req)
        extensions = {"timeout": req.timeouts.values, "trace": guard.trace}
        try:
            async with self._pool(req.endpoint).stream(
                req.method, req.url, headers=req.headers, content=req.body, extensions=extensions
            ) as response:
                yield response
        except NotSent as exc:
            raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
        except httpcore.TimeoutException as exc:
            raise RequestError(Code.ANSWER_STALLED, f"{req.endpoint} went silent") from exc
        except Broken as exc:
            if not guard.sent:
                raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
            raise RequestError(Code.ANSWER_CUT, f"{req.endpoint}: {exc}") from exc

    async def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        pool = self._pools.pop(endpoint, None)
        if pool is not None:
            await pool.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for pool in list(self._pools.values()):
            await pool.aclose()
        self._pools.clear()

    def _pool(self, endpoint: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(endpoint)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=None,
                max_keepalive_connections=32,
                keepalive_expiry=KEEPALIVE_EXPIRY,
                local_address=self._source or None,
            )
            self._pools[endpoint] = pool
        return pool


class _SendGuard:
    """Checks the permit when the connection stands and notes that bytes went out.

    Between the choice of an endpoint and the first byte lie a connect and, in a process that was
    paused, any length of time. A permit that ran out meanwhile would put new work on an endpoint
    that is leaving, so it is looked at once more at the last moment; raising here makes
    ``httpcore`` close the connection with nothing sent.
    """

    __slots__ = ("_req", "sent")

    def __init__(self, req: UpstreamRequest) -> None:
        self._req = req
        self.sent = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Take an event of ``httpcore``."""
        if event != "http11.send_request_headers.started":
            return
        if not self._req.still_allowed():
            raise RequestError(Code.ENDPOINT_LEAVING, self._req.endpoint, retry_after=0.1)
        self.sent = True
