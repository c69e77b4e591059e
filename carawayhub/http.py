"""Serving HTTP with ``uvicorn`` inside a process that runs other tasks as well."""

import asyncio
import contextlib
import errno
import socket
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import anyio
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError

BACKLOG = 512
MAX_HEAD_BYTES = 65_536
HEAD_SECONDS = 10.0
IDLE_SECONDS = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What a peer may send before a request is known, and how long it may take.

    Attributes:
        head_bytes: Size of the head of a request.
        head_timeout: Seconds from its first byte to its end.
        idle_timeout: Seconds that a connection may lie idle.
    """

    head_bytes: int = MAX_HEAD_BYTES
    head_timeout: float = HEAD_SECONDS
    idle_timeout: float = IDLE_SECONDS


def bind(address: Address) -> socket.socket:
    """Return a listening TCP socket.

    Raises:
        CommandError: PORT_IN_USE where another process has the address, SETTINGS_INVALID where
            this machine has no such address or the process may not use the port.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((address.host, address.port))
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        code = Code.PORT_IN_USE if exc.errno == errno.EADDRINUSE else Code.SETTINGS_INVALID
        raise CommandError(code, f"{address}: {exc.strerror}") from exc
    sock.setblocking(False)
    return sock


class HttpServer:
    """One ASGI application on one socket.

    Args:
        app: The ASGI application.
        sock: A listening socket; its address is known before the server runs.
        limits: Gives what holds for a connection that begins now.
    """

    __slots__ = ("_server", "_sock")

    def __init__(
        self,
        app: Any,
        sock: socket.socket,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        protocol = type("_Limited", (_BoundedHeads,), {"limits_now": staticmethod(limits)})
        cfg = uvicorn.Config(
            app,
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            log_level="critical",
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        self._server = _EmbeddedServer(cfg)
        self._sock = sock

    async def run(self) -> None:
        """Serve until ``stop`` was called and the last request has ended."""
        await self._server.serve(sockets=[self._sock])

    def stop(self) -> None:
        """Accept nothing more; ``run`` returns when the requests in flight have ended."""
        self._server.leave()


class _BoundedHeads(HttpToolsProtocol):
    """HTTP/1.1 whose requests have heads of bounded size that come within bounded time.

    Guards against a peer, which needs no key for it, that sends a header without end: ``httptools``
    keeps all of it, and the process would run out of memory before it could refuse anything. The
    read in which a head begins is not counted, since it may hold the body before; one read is at
    most 256 KiB. Guards as well against peers that connect and send nothing, or a byte now and
    then: ``uvicorn`` times a connection only from its first answer on, and each would keep one of a
    few thousand descriptors for ever.
    """

    limits_now: Callable[[], ConnectionLimits] = ConnectionLimits
    _limits = ConnectionLimits()
    _in_head = False
    _head_bytes = 0
    _head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for a first request."""
        super().connection_made(transport)
        self._limits = self.limits_now()
        # The type is an integer in name only; the event loop takes fractions of a second.
        self.timeout_keep_alive = self._limits.idle_timeout  # type: ignore[assignment]
        self.timeout_keep_alive_task = self.loop.call_later(
            self._limits.idle_timeout, self.timeout_keep_alive_handler
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the timer of a head that will not come."""
        self._end_head()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take what one read brought; close the connection when its head is too large."""
        begun = self._in_head
        super().data_received(data)
        if not (begun and self._in_head) or self.transport.is_closing():
            return
        self._head_bytes += len(data)
        if self._head_bytes > self._limits.head_bytes:
            self._refuse("The head of the request is too large.")

    def on_message_begin(self) -> None:
        """Note that a head begins."""
        self._in_head = True
        self._head_bytes = 0
        self._time_head()
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Note that the head has ended."""
        self._end_head()
        super().on_headers_complete()

    def _end_head(self) -> None:
        self._in_head = False
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _time_head(self) -> None:
        self._head_timer = self.loop.call_later(self._limits.head_timeout, self._head_is_late)

    def _head_is_late(self) -> None:
        if not self._in_head or self.transport.is_closing():
            return
        if self._is_answering():
            self._time_head()
            return
        self._refuse("The head of the request did not come in time.")

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    def _refuse(self, reason: str) -> None:
        """Say why and close; say nothing within the answer to the request before this one."""
        if self._is_answering():
            self.transport.close()
            return
        self.send_400_response(reason)


class _EmbeddedServer(uvicorn.Server):
    """A server that leaves the process's signals alone and sleeps until it is to stop.

    ``uvicorn`` looks ten times a second whether it should stop and once a second sets the headers
    of all answers. Here both are known beforehand, and a process has two of these servers.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._leaving = anyio.Event()

    def leave(self) -> None:
        """Accept nothing more."""
        self.should_exit = True
        self._leaving.set()

    async def main_loop(self) -> None:
        """Return when the server is to stop."""
        await self.on_tick(0)
        await self._leaving.wait()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield
