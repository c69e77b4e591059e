"""Requests to endpoints, over ``httpcore``.

Each address has idle connections of its own. One on which a request timed out or was cancelled is
closed and never used again, so a late answer finds no reader. ``httpcore``'s own pool looks at all
of its connections, also the busy ones, for each request; here a request takes the idle connection
that was used last, whatever the number of open streams.
"""

import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpcore

from carawayhub.codes import Code
from carawayhub.endpoints.network import (
    CONNECT_TIMEOUT,
    KEEPALIVE_SECONDS,
    Connect,
    Connection,
    StreamBody,
    UpstreamTimeouts,
)
from carawayhub.endpoints.stream import EndpointStream
from carawayhub.errors import RequestError

__all__ = ["Upstream", "UpstreamRequest", "UpstreamResponse", "UpstreamTimeouts"]

MAX_IDLE = 64

NotSent = (httpcore.ConnectError, httpcore.ConnectTimeout)
Broken = (httpcore.NetworkError, httpcore.RemoteProtocolError, httpcore.LocalProtocolError)


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


class UpstreamResponse:
    """The head of an answer, and its body in one of two ways.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
    """

    __slots__ = ("_conn", "headers", "status")

    def __init__(self, conn: Connection, response: httpcore.Response) -> None:
        self._conn = conn
        self.status = response.status
        self.headers = response.headers

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Return the body part by part, as ``httpcore`` reads it."""
        return self._conn.whole_body()

    def stream_body(self, silence: float, join: float) -> StreamBody:
        """Return the body of a chunked answer to be read fast; see ``StreamBody``."""
        return self._conn.stream_body(silence, join)


class Upstream:
    """The connections of one process to endpoints.

    Args:
        source: IP number to connect from, empty for any.
        connect: Opens a connection.
    """

    __slots__ = ("_connect", "_idle", "_next_sweep", "_source")

    def __init__(self, source: str = "", connect: Connect = EndpointStream.connect) -> None:
        self._source = source
        self._connect = connect
        self._idle: dict[str, deque[Connection]] = {}
        self._next_sweep = 0.0

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[UpstreamResponse]:
        """Send a request and give its response while the ``with`` runs.

        Raises:
            RequestError: CONNECT_FAILED or ENDPOINT_LEAVING where no byte was sent; ANSWER_STALLED,
                ANSWER_CUT where the endpoint may have run it.
        """
        conn = await self._connection(req)
        guard = _SendGuard(req)
        try:
            response = UpstreamResponse(conn, await conn.send(_request(req), guard.check))
            try:
                yield response
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await conn.close()
                raise
            if await conn.release():
                await self._keep(req, conn)
        except httpcore.TimeoutException as exc:
            raise RequestError(Code.ANSWER_STALLED, f"{req.endpoint} went silent") from exc
        except Broken as exc:
            if not guard.sent:
                raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
            raise RequestError(Code.ANSWER_CUT, f"{req.endpoint}: {exc}") from exc

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                await conn.close()
        self._idle.clear()

    async def _connection(self, req: UpstreamRequest) -> Connection:
        idle = self._idle.get(_address(req))
        while idle:
            conn = idle.pop()
            if conn.reusable:
                return conn
            await conn.close()
        origin = httpcore.URL(req.url).origin
        try:
            stream = await self._connect(
                origin.host.decode("ascii"), origin.port, self._source, CONNECT_TIMEOUT
            )
        except NotSent as exc:
            raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
        return Connection(origin, stream)

    async def _keep(self, req: UpstreamRequest, conn: Connection) -> None:
        """Keep a connection for the next request to the same address."""
        idle = self._idle.setdefault(_address(req), deque())
        idle.append(conn)
        if len(idle) > MAX_IDLE:
            await idle.popleft().close()
        await self._sweep()

    async def _sweep(self) -> None:
        """Now and then close what lies idle for long, also of endpoints that are gone."""
        now = time.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + KEEPALIVE_SECONDS
        for address, idle in list(self._idle.items()):
            while idle and not idle[0].reusable:
                await idle.popleft().close()
            if not idle:
                del self._idle[address]


def _address(req: UpstreamRequest) -> str:
    """Return where a request goes; an endpoint that moved gets none on an old connection."""
    return req.url.split("/", 3)[2]


def _request(req: UpstreamRequest) -> httpcore.Request:
    return httpcore.Request(
        req.method,
        req.url,
        headers=req.headers,
        content=req.body,
        extensions={"timeout": req.timeouts.values},
    )


class _SendGuard:
    """Checks the permit right before the first byte goes out and notes that it did.

    Between the choice of an endpoint and the first byte lie a connect and, in a process that was
    paused, any length of time. A permit that ran out meanwhile would put new work on an endpoint
    that is leaving, so it is looked at once more at the last moment; raising here makes
    ``httpcore`` close the connection with nothing sent.
    """

    __slots__ = ("_req", "sent")

    def __init__(self, req: UpstreamRequest) -> None:
        self._req = req
        self.sent = False

    def check(self) -> None:
        """Raise where the endpoint may take no new work, else note that the request goes out."""
        if not self._req.still_allowed():
            raise RequestError(Code.ENDPOINT_LEAVING, self._req.endpoint, retry_after=0.1)
        self.sent = True
