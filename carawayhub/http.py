"""Serving HTTP with ``uvicorn`` inside a process that runs other tasks as well."""

import contextlib
import errno
import socket
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import uvicorn

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.codes import Code
from carawayhub.errors import CommandError
from carawayhub.inbound.protocol import MAX_HEAD_BYTES, BoundedConnection, ConnectionLimits
from carawayhub.inbound.requests import ReleasingApp
from carawayhub.inbound.shared import Inbound

__all__ = ["MAX_HEAD_BYTES", "ConnectionLimits", "HttpServer", "bind"]

BACKLOG = 512

RECEIVE_BUFFER_BYTES = 65_536
"""Bytes of one connection that the kernel keeps until they are read. It raises that to megabytes by
itself, for each of a crowd, whenever the process does not read for a moment."""


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
        port: Name of the port, for logs and metrics.
        inbound: What all servers of the process share; None for a separate one.
    """

    __slots__ = ("_server", "_sock")

    def __init__(
        self,
        app: Any,
        sock: socket.socket,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        port: str = "",
        inbound: Inbound | None = None,
    ) -> None:
        shared = inbound or Inbound(SystemClock())
        settings = {
            "limits_now": staticmethod(limits),
            "port": port,
            "inbound": shared,
            "table": shared.connections(port),
        }
        protocol = type("_Connection", (BoundedConnection,), settings)
        cfg = uvicorn.Config(
            ReleasingApp(app),
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
        # Accepted connections inherit it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    async def run(self) -> None:
        """Serve until ``stop`` was called and the last request has ended."""
        await self._server.serve(sockets=[self._sock])

    def stop(self) -> None:
        """Accept nothing more; ``run`` returns when the requests in flight have ended."""
        self._server.leave()


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
