"""Requests to endpoints, over ``httpcore``.

Each endpoint has idle connections of its own. One on which a request timed out or was cancelled is
closed and never used again, so a late answer finds no reader. ``httpcore``'s own pool looks at all
of its connections, also the busy ones, for each request; here a request takes the idle connection
that was used last, whatever the number of open streams.
"""

from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import httpcore

from carawayhub.codes import Code
from carawayhub.endpoints.network import (
    CONNECT_TIMEOUT,
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

    __slots__ = ("_conn", "_response", "headers", "status")

    def __init__(self, conn: Connection, response: httpcore.Response) -> None:
        self._conn = conn
        self._response = response
        self.status = response.status
        self.headers = response.headers

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Return the body part by part, as ``httpcore`` reads it."""
        return self._response.aiter_stream()

    def stream_body(self, silence: float, join: float) -> StreamBody:
        """Return the body of a chunked answer to be read fast; see ``StreamBody``."""
        return self._conn.stream_body(silence, join)


class Upstream:
    """The connections of one process to endpoints.

    Args:
        source: IP number to connect from, empty for any.
        connect: Opens a connection.
    """

    __slots__ = ("_connect", "_idle", "_source")

    def __init__(self, source: str = "", connect: Connect = EndpointStream.connect) -> None:
        self._source = source
        self._connect = connect
        self._idle: dict[str, deque[Connection]] = {}

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[UpstreamResponse]:
        """Send a request and give its response while the ``with`` runs.

        Raises:
            RequestError: CONNECT_FAILED or ENDPOINT_LEAVING where no byte was sent; ANSWER_STALLED,
                ANSWER_CUT where the endpoint may have run it.
        """
        request = httpcore.Request(
            req.method,
            req.url,
            headers=req.headers,
            content=req.body,
            extensions={"timeout": req.timeouts.values},
        )
        conn = await self._connection(req.endpoint, request.url)
        guard = _SendGuard(req)
        try:
            response = await conn.send(request, guard.check)
            try:
                yield UpstreamResponse(conn, response)
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await conn.close()
                raise
            if await conn.release(response):
                await self._keep(req.endpoint, conn)
        except httpcore.TimeoutException as exc:
            raise RequestError(Code.ANSWER_STALLED, f"{req.endpoint} went silent") from exc
        except Broken as exc:
            if not guard.sent:
                raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
            raise RequestError(Code.ANSWER_CUT, f"{req.endpoint}: {exc}") from exc

    async def forget(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint that is gone."""
        for conn in self._idle.pop(endpoint, ()):
            await conn.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle):
            await self.forget(endpoint)

    async def _connection(self, endpoint: str, url: httpcore.URL) -> Connection:
        idle = self._idle.get(endpoint)
        while idle:
            conn = idle.pop()
            if conn.reusable:
                return conn
            await conn.close()
        try:
            stream = await self._connect(
                url.origin.host.decode("ascii"), url.origin.port, self._source, CONNECT_TIMEOUT
            )
        except NotSent as exc:
            raise RequestError(Code.CONNECT_FAILED, endpoint, retry_after=1.0) from exc
        return Connection(url.origin, stream)

    async def _keep(self, endpoint: str, conn: Connection) -> None:
        """Keep a connection for the next request; drop the one that lay idle longest if expired."""
        idle = self._idle.setdefault(endpoint, deque())
        idle.append(conn)
        oldest = idle[0]
        if len(idle) > MAX_IDLE or not oldest.reusable:
            idle.popleft()
            await oldest.close()


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
