"""Connections that send the head of a request together with its body.

``httpcore`` writes the two one after the other. The permit for the request may expire between them,
and the process may be suspended there: a body sent after that would complete a request that may
have run elsewhere meanwhile, and without the body it is unknown what the endpoint does with the
head alone. Here the head is buffered until the body may follow, so that one check decides on both:
the endpoint receives the complete request or nothing of it. The head of the answer has a bound.
"""

import ssl
from collections.abc import Callable, Iterable
from typing import Any

import httpcore

from carawayhub.endpoints.boundedreads import HeadMeter
from carawayhub.endpoints.wrappedstream import WrappedStream


class JoinedNetwork(httpcore.AsyncNetworkBackend):
    """Opens one connection and buffers writes to it on request.

    Args:
        network: Opens the connection.

    Attributes:
        is_late: Returns whether nothing more of the answer is to be read.
    """

    __slots__ = ("_buffered", "_buffering", "_network", "is_late")

    def __init__(self, network: httpcore.AsyncNetworkBackend) -> None:
        self._network = network
        self._buffered = b""
        self._buffering = False
        self.is_late: Callable[[], bool] = _is_never_late

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> "JoinedStream":
        """Connect to an address; raises the errors of the wrapped network."""
        stream = await self._network.connect_tcp(host, port, timeout, local_address, socket_options)
        return JoinedStream(stream, self)

    def hold(self) -> None:
        """Start to buffer writes."""
        self._buffering = True

    def release(self) -> None:
        """Stop buffering; buffered data is sent with the next write."""
        self._buffering = False

    def take_buffered(self, buffer: bytes) -> bytes:
        """Return the data to write now, with buffered data first."""
        self._buffered += buffer
        if self._buffering:
            return b""
        data, self._buffered = self._buffered, b""
        return data


class JoinedStream(WrappedStream):
    """One connection; ``httpcore`` reads and writes it.

    Args:
        stream: The connection.
        writes: Buffers writes and returns the data to send.
    """

    __slots__ = ("_head", "_writes")

    def __init__(self, stream: httpcore.AsyncNetworkStream, writes: JoinedNetwork) -> None:
        super().__init__(stream)
        self._writes = writes
        self._head = HeadMeter()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the data received, empty at the end of the connection.

        Raises:
            AnswerTooLargeError: The head of the answer is too large.
            httpcore.ReadTimeout: The answer does not get on in time, though data arrives.
        """
        if self._writes.is_late():
            raise httpcore.ReadTimeout("the answer did not get on in time")
        data = await self._stream.read(max_bytes, timeout)
        self._head.count(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write buffered data and ``buffer``, or buffer it as well."""
        data = self._writes.take_buffered(buffer)
        if data:
            self._head.restart()
            await self._stream.write(data, timeout)

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> "JoinedStream":
        """Return the connection with TLS on it."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return JoinedStream(stream, self._writes)


def _is_never_late() -> bool:
    return False
