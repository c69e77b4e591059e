"""Requests to endpoints, over ``httpcore``.

Each address has its own idle connections. A connection on which a request timed out or was
cancelled is closed and never reused, so a late answer is not read. ``httpcore``'s own pool scans
all of its connections, also the busy ones, for each request; here a request uses the most recently
used idle connection, regardless of the number of open streams.
"""

import math
import re
from collections import deque
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import anyio
import httpcore

from carawayhub.addresses import Address
from carawayhub.clock import Clock, SystemClock
from carawayhub.codes import Code
from carawayhub.endpoints.body import StreamBody
from carawayhub.endpoints.boundedreads import AnswerTooLargeError
from carawayhub.endpoints.joinedwrites import JoinedNetwork
from carawayhub.endpoints.sockets import ABORTING_OPTIONS
from carawayhub.errors import RequestError

CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 15.0
"""Longest time for which an idle connection is kept, unless its endpoint states a shorter one."""

KEEPALIVE_MARGIN_SECONDS = 0.5
"""Time before the end that an endpoint stated from which its connection is not used: it counts from
the end of its answer, and a request takes time to arrive."""

MAX_IDLE = 64
NO_BODY_STATUS = (204, 304)
CONNECTION_CLOSE = (b"connection", b"close")
"""Header that limits a connection to one request.

Guards against an answer that is delivered twice. The second copy would stay in the connection and
be read as the answer to the next request. Answers of a model carry an id that identifies their
request, those of a plain service may not, so its connections carry one request each.
"""

MIN_LATE_READS = 8
"""Number of reads without progress up to which an answer is not late."""

PROBE_TIMEOUT = 0.25
"""Seconds in which a probed endpoint must accept or refuse a connection: some round trips between
failure domains."""

_KEEPALIVE_TIMEOUT = re.compile(rb"(?:^|[,\s])timeout\s*=\s*(\d{1,9})\b", re.IGNORECASE)

NotSent = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
Broken = (httpcore.NetworkError, httpcore.RemoteProtocolError, httpcore.LocalProtocolError)


class Listening(Enum):
    """Result of probing an endpoint's address.

    Attributes:
        YES: A process accepts connections there.
        NO: The VM answers, but no process accepts connections.
        UNKNOWN: Nothing answered in time.
    """

    YES = "yes"
    NO = "no"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class UpstreamTimeouts:
    """Seconds of silence allowed on one request, updated as it proceeds.

    Attributes:
        values: The mapping that ``httpcore`` reads before each wait.
        answer_by: Time by which the answer must get on, though data arrives. Each part of an answer
            that goes on and on ends a silence.
        reads: Number of reads since the answer last got on.
    """

    values: dict[str, float] = field(default_factory=dict)
    answer_by: float = math.inf
    reads: int = 0

    @classmethod
    def waiting(cls, seconds: float, answer_by: float = math.inf) -> "UpstreamTimeouts":
        """Return the timeouts until the answer begins or is complete."""
        values = {"connect": CONNECT_TIMEOUT, "read": seconds, "write": seconds, "pool": seconds}
        return cls(values, answer_by)

    def got_on(self, answer_by: float) -> None:
        """Record that the answer got on, and by when it must do so again."""
        self.answer_by = answer_by
        self.reads = 0

    def is_late(self, now: float) -> bool:
        """Count a read; return whether it must not take place.

        The first reads are exempt: after a suspension of this process they return data that had
        arrived in time.
        """
        self.reads += 1
        return self.reads > MIN_LATE_READS and now > self.answer_by

    def streaming(self, seconds: float) -> None:
        """Allow ``seconds`` of silence between two parts of the answer."""
        self.values["read"] = seconds


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """A request to an endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        url: Complete URL.
        method: HTTP method.
        headers: Headers in order.
        body: Complete body.
        timeouts: Silence allowed.
        still_allowed: Called once when the connection is established, right before the complete
            request is sent; may record that it is sent.
        target: Path and query exactly as sent; those of ``url`` where empty.
        fresh: Whether it needs a connection on which nothing was sent before.
    """

    endpoint: str
    url: str
    method: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    timeouts: UpstreamTimeouts
    still_allowed: Callable[[], bool]
    target: bytes = b""
    fresh: bool = False


class UpstreamResponse:
    """The head of an answer, and access to its body.

    Attributes:
        status: HTTP status.
        headers: Headers in order.
    """

    __slots__ = ("_clock", "_response", "_timeouts", "headers", "status")

    def __init__(
        self, response: httpcore.Response, timeouts: UpstreamTimeouts, clock: Clock
    ) -> None:
        self._response = response
        self._timeouts = timeouts
        self._clock = clock
        self.status = response.status
        self.headers = response.headers

    @property
    def framed(self) -> bool:
        """Whether the head defines where the body ends.

        Without a length or chunks the end of the connection is the end of the answer, and a
        truncated answer appears complete.
        """
        names = {name.lower() for name, _ in self.headers}
        if b"content-length" in names or b"transfer-encoding" in names:
            return True
        return self.status in NO_BODY_STATUS

    @property
    def stated_length(self) -> int:
        """Size of the body that the head states in bytes, 0 if it states none."""
        # The parser has accepted the value: at most 20 digits.
        stated = [int(value) for name, value in self.headers if name.lower() == b"content-length"]
        return max(stated, default=0)

    def aiter_stream(self) -> AsyncIterator[bytes]:
        """Return the body part by part."""
        return self._response.aiter_stream()

    def stream_body(self, silence: float, join: float) -> StreamBody:
        """Return the body of a stream.

        Args:
            silence: Seconds without data after which the connection is closed.
            join: Seconds for which small parts may be coalesced, 0 for none.
        """
        self._timeouts.streaming(silence)
        return StreamBody(self._response.aiter_stream(), join, self._clock.monotonic)


class Upstream:
    """The connections of one process to endpoints.

    Args:
        source: IP number to connect from, empty for any.
        backend: Opens connections; that of ``httpcore`` if None.
        clock: Source of time; that of the machine if None. It must count suspensions, during which
            an endpoint closes idle connections.
    """

    __slots__ = ("_backend", "_clock", "_idle", "_next_sweep", "_source")

    def __init__(
        self,
        source: str = "",
        backend: httpcore.AsyncNetworkBackend | None = None,
        clock: Clock | None = None,
    ) -> None:
        self._source = source
        self._clock = clock or SystemClock()
        self._backend = backend or httpcore.AnyIOBackend()
        self._idle: dict[str, deque[_Connection]] = {}
        self._next_sweep = 0.0

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[UpstreamResponse]:
        """Send a request and yield its response.

        Raises:
            RequestError: CONNECT_FAILED or ENDPOINT_LEAVING where no byte was sent; ANSWER_STALLED,
                ANSWER_CUT, ANSWER_TOO_LARGE where the endpoint may have run it.
        """
        conn = await self._connection(req)
        conn.writes.is_late = lambda: req.timeouts.is_late(self._clock.monotonic())
        guard = _SendGuard(req, conn.writes)
        began_at = self._clock.monotonic()
        try:
            response = await conn.handle_async_request(_request(req, guard))
            try:
                yield UpstreamResponse(response, req.timeouts, self._clock)
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
            await self._keep(req, conn, response.headers)
        except NotSent as exc:
            raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
        except httpcore.TimeoutException as exc:
            await self._close_unverified(req, began_at)
            raise RequestError(Code.ANSWER_STALLED, f"{req.endpoint} timed out") from exc
        except AnswerTooLargeError as exc:
            detail = f"{req.endpoint}: {exc}"
            raise RequestError(Code.ANSWER_TOO_LARGE, detail) from exc
        except Broken as exc:
            if not guard.sent:
                raise RequestError(Code.CONNECT_FAILED, req.endpoint, retry_after=1.0) from exc
            raise RequestError(Code.ANSWER_CUT, f"{req.endpoint}: {exc}") from exc

    async def probe(self, address: Address) -> Listening:
        """Return whether a process accepts connections at an address.

        Distinguishes an endpoint that has ended from one that only closed a connection: the VM of
        the former refuses new connections at once.
        """
        try:
            stream = await self._backend.connect_tcp(
                address.host,
                address.port,
                timeout=PROBE_TIMEOUT,
                local_address=self._source or None,
            )
        except NotSent as exc:
            return Listening.NO if _is_refusal(exc) else Listening.UNKNOWN
        await stream.aclose()
        return Listening.YES

    async def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for conn in idle:
                await conn.aclose()
        self._idle.clear()

    async def _connection(self, req: UpstreamRequest) -> "_Connection":
        idle = None if req.fresh else self._idle.get(_address(req))
        while idle:
            conn = idle.pop()
            if conn.is_available() and not self._is_expired(conn):
                return conn
            await conn.aclose()
        return _Connection(req, self._source, JoinedNetwork(self._backend))

    async def _keep(
        self, req: UpstreamRequest, conn: "_Connection", headers: Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Keep a connection with a complete answer for the next request to the same address."""
        seconds = _idle_seconds(headers)
        if not conn.is_idle() or _has_trailing_data(conn) or seconds <= 0.0:
            await conn.aclose()
            return
        idle = self._idle.setdefault(_address(req), deque())
        conn.kept_at = self._clock.monotonic()
        conn.expires_at = conn.kept_at + seconds
        idle.append(conn)
        if len(idle) > MAX_IDLE:
            await idle.popleft().aclose()
        await self._sweep()

    def _is_expired(self, conn: "_Connection") -> bool:
        """Return whether a kept connection was idle too long or was closed by the endpoint."""
        return self._clock.monotonic() >= conn.expires_at or conn.has_expired()

    async def _close_unverified(self, req: UpstreamRequest, since: float) -> None:
        """Close the idle connections to an endpoint that have answered nothing since then.

        Where a middlebox lost the state of one connection it may have lost the others, and each
        would fail a request.
        """
        idle = self._idle.get(_address(req))
        while idle and idle[0].kept_at < since:
            await idle.popleft().aclose()

    async def _sweep(self) -> None:
        """Periodically close expired idle connections, also those of endpoints that are gone."""
        now = self._clock.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + KEEPALIVE_SECONDS
        for address, idle in list(self._idle.items()):
            while idle and self._is_expired(idle[0]):
                await idle.popleft().aclose()
            if not idle:
                del self._idle[address]


class _Connection(httpcore.AsyncHTTPConnection):
    """A connection to an endpoint.

    Args:
        req: The first request on it.
        source: IP number to connect from, empty for any.
        writes: Opens the connection and joins head and body in one write.

    Attributes:
        kept_at: When its newest answer ended, by the clock of ``Upstream``.
        expires_at: When it may no longer be used, by the same clock.
    """

    def __init__(self, req: UpstreamRequest, source: str, writes: JoinedNetwork) -> None:
        super().__init__(
            origin=httpcore.URL(req.url).origin,
            keepalive_expiry=None,
            local_address=source or None,
            network_backend=writes,
            socket_options=ABORTING_OPTIONS,
        )
        self.writes = writes
        self.kept_at = 0.0
        self.expires_at = 0.0


def _idle_seconds(headers: Iterable[tuple[bytes, bytes]]) -> float:
    """Return the seconds for which a connection may be idle after an answer with these headers."""
    stated = [
        int(found.group(1)) - KEEPALIVE_MARGIN_SECONDS
        for name, value in headers
        if name.lower() == b"keep-alive"
        for found in _KEEPALIVE_TIMEOUT.finditer(value)
    ]
    return min([KEEPALIVE_SECONDS, *stated])


def _is_refusal(exc: BaseException | None) -> bool:
    """Return whether a connect failed because it was refused."""
    while exc is not None:
        if isinstance(exc, ConnectionRefusedError):
            return True
        exc = exc.__cause__
    return False


def _has_trailing_data(conn: httpcore.AsyncHTTPConnection) -> bool:
    """Return whether bytes were received after the answer.

    Guards against an answer that is delivered twice in one piece. The second copy stays in the
    parser's buffer, where a check of the socket does not find it, and would be read as the answer
    to the next request. ``httpcore`` exposes that buffer only for upgraded connections; a test
    fails if its location changes.
    """
    parser = getattr(getattr(conn, "_connection", None), "_h11_state", None)
    return parser is not None and bool(parser.trailing_data[0])


def _address(req: UpstreamRequest) -> str:
    """Return host and port; an endpoint that moved gets no request on an old connection."""
    return req.url.split("/", 3)[2]


def _request(req: UpstreamRequest, guard: "_SendGuard") -> httpcore.Request:
    return httpcore.Request(
        req.method,
        _url(req),
        headers=req.headers,
        content=req.body,
        extensions={"timeout": req.timeouts.values, "trace": guard.trace},
    )


def _url(req: UpstreamRequest) -> httpcore.URL:
    """Return the URL of a request, with the target as given if there is one.

    Parsing would drop what follows a semicolon in the last part of a path.
    """
    url = httpcore.URL(req.url)
    if not req.target:
        return url
    return httpcore.URL(scheme=url.scheme, host=url.host, port=url.port, target=req.target)


class _SendGuard:
    """Checks the permit right before a request is sent, and records that it is sent.

    Between the choice of an endpoint and the first byte lie a connect and, in a process that was
    suspended, any length of time. A permit that expired meanwhile would send new work to an
    endpoint that is leaving, so it is checked again right before sending; raising here makes
    ``httpcore`` close the connection with nothing sent. The head is buffered until then, since a
    check before the head alone would let the body follow after a suspension.
    """

    __slots__ = ("_req", "_writes", "sent")

    def __init__(self, req: UpstreamRequest, writes: JoinedNetwork) -> None:
        self._req = req
        self._writes = writes
        self.sent = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Handle a trace event of ``httpcore``; check the permit before the body is sent."""
        if event == "http11.send_request_headers.started":
            self._writes.hold()
        elif event == "http11.send_request_body.started":
            self._check()
            self._writes.release()

    def _check(self) -> None:
        """Raise if the endpoint may receive no new work, else record that the request is sent."""
        if not self._req.still_allowed():
            raise RequestError(Code.ENDPOINT_LEAVING, self._req.endpoint, retry_after=0.1)
        self.sent = True
