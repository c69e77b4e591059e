"""Connections that check before each write whether it is still permitted.

A process may be suspended at any point, also between a check and the write it was made for; the
result of the check is then out of date. An event loop widens that gap, since it opens connections,
schedules other tasks and buffers writes between the two. Here the check is made right before the
system call, with no step of the event loop in between, and a message that was begun before a
suspension is not completed after it. The check itself takes time, so it is repeated if its result
has expired when the call is about to be made. What remains is a suspension between reading the
clock and the call, less than a microsecond; a receiver that must be safe from that too has to check
the identity of the sender.
"""

import errno
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import anyio.lowlevel
import httpcore

from carawayhub.clock import Clock, SystemClock

CHECK_VALID_SECONDS = 0.1
"""Seconds for which a check is valid: longer than the check takes, less than a relevant pause."""

MaySend = Callable[[], bool]


class WithheldError(Exception):
    """A write was not made, since it is no longer permitted."""


class CheckedNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections whose writes are checked.

    Args:
        may_send: Called right before each write.
        clock: Source of time; it must count suspensions.
    """

    __slots__ = ("_clock", "_may_send")

    def __init__(self, may_send: MaySend, clock: Clock | None = None) -> None:
        self._may_send = may_send
        self._clock = clock or SystemClock()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> "CheckedStream":
        """Connect to an address.

        Raises:
            httpcore.ConnectError: The connection was refused, or the name is unknown.
            httpcore.ConnectTimeout: The connection was not established in time.
        """
        with (
            _map_errors(httpcore.ConnectError),
            _raise_on_timeout(timeout, httpcore.ConnectTimeout),
        ):
            found = await anyio.getaddrinfo(host, port, type=socket.SOCK_STREAM)
            family, kind, protocol, _, address = found[0]
            sock = socket.socket(family, kind, protocol)
            try:
                await _connect(sock, address, local_address, socket_options or ())
            except BaseException:
                sock.close()
                raise
        return CheckedStream(sock, self._may_send, self._clock)


class CheckedStream(httpcore.AsyncNetworkStream):
    """One connection; ``httpcore`` reads and writes it.

    Args:
        sock: A connected, non-blocking socket.
        may_send: Called right before each write.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_may_send", "_sock")

    def __init__(self, sock: socket.socket, may_send: MaySend, clock: Clock) -> None:
        self._sock = sock
        self._may_send = may_send
        self._clock = clock

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the data received, empty at the end of the connection."""
        with _map_errors(httpcore.ReadError), _raise_on_timeout(timeout, httpcore.ReadTimeout):
            while True:
                await anyio.wait_readable(self._sock)
                try:
                    return self._sock.recv(max_bytes)
                except BlockingIOError:
                    continue

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all of ``buffer``.

        Raises:
            WithheldError: The rest of the buffer may no longer be sent.
        """
        left = memoryview(buffer)
        send, now = self._sock.send, self._clock.monotonic
        with _map_errors(httpcore.WriteError), _raise_on_timeout(timeout, httpcore.WriteTimeout):
            await anyio.lowlevel.checkpoint()
            while left:
                valid_until = now() + CHECK_VALID_SECONDS
                if not self._may_send():
                    raise WithheldError
                if now() > valid_until:
                    continue
                try:
                    left = left[send(left) :]
                except BlockingIOError:
                    await anyio.wait_writable(self._sock)

    async def aclose(self) -> None:
        """Close the connection and resume the tasks that wait for it."""
        if self._sock.fileno() >= 0:
            anyio.notify_closing(self._sock)
            self._sock.close()

    def get_extra_info(self, info: str) -> Any:
        """Return the socket, or whether an idle connection is readable, for ``httpcore``."""
        if info == "is_readable":
            return self._has_input()
        return self._sock if info == "socket" else None

    def _has_input(self) -> bool:
        """Return whether a read would not block, as at the end of the connection."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True


async def _connect(
    sock: socket.socket, address: Any, local_address: str | None, options: Iterable[Any]
) -> None:
    sock.setblocking(False)
    for option in (*options, (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)):
        sock.setsockopt(*option)
    if local_address is not None:
        sock.bind((local_address, 0))
    state = sock.connect_ex(address)
    if state == errno.EINPROGRESS:
        await anyio.wait_writable(sock)
        state = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if state:
        raise OSError(state, errno.errorcode.get(state, "connect failed"))


@contextmanager
def _raise_on_timeout(seconds: float | None, timeout_error: type[Exception]) -> Iterator[None]:
    try:
        with anyio.fail_after(seconds):
            yield
    except TimeoutError as exc:
        raise timeout_error from exc


@contextmanager
def _map_errors(error: type[Exception]) -> Iterator[None]:
    try:
        yield
    except (OSError, anyio.ClosedResourceError, anyio.BusyResourceError) as exc:
        raise error(str(exc)) from exc
