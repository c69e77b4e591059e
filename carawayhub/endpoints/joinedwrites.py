"""Connections that send the head of a request together with its body.

``httpcore`` writes the two one after the other. Whatever permits the request may run out between
them, and a process may be suspended there: a body that still followed would complete a request that
may have run elsewhere meanwhile, and one that did not would leave open what the endpoint makes of a
head alone. Here the head waits until the body may follow, so that one look decides on both: the
endpoint gets the whole request or nothing of it.
"""

import ssl
from collections.abc import Iterable
from typing import Any

import httpcore


class JoinedNetwork(httpcore.AsyncNetworkBackend):
    """Opens one connection and holds back what is written to it while it is told to.

    Args:
        network: Opens the connection.
    """

    __slots__ = ("_held", "_holding", "_network")

    def __init__(self, network: httpcore.AsyncNetworkBackend) -> None:
        self._network = network
        self._held = b""
        self._holding = False

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> "JoinedStream":
        """Connect to an address, with the errors of the network given."""
        stream = await self._network.connect_tcp(host, port, timeout, local_address, socket_options)
        return JoinedStream(stream, self)

    def hold(self) -> None:
        """Hold back what is written from now on."""
        self._holding = True

    def release(self) -> None:
        """Let what is held go out with the next write."""
        self._holding = False

    def take(self, buffer: bytes) -> bytes:
        """Return what is to be written now, with what was held back before it."""
        self._held += buffer
        if self._holding:
            return b""
        data, self._held = self._held, b""
        return data


class JoinedStream(httpcore.AsyncNetworkStream):
    """One connection; ``httpcore`` reads and writes it.

    Args:
        stream: The connection.
        writes: Says what is to be written.
    """

    __slots__ = ("_stream", "_writes")

    def __init__(self, stream: httpcore.AsyncNetworkStream, writes: JoinedNetwork) -> None:
        self._stream = stream
        self._writes = writes

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what has come, nothing at the end of the connection."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write ``buffer`` after what is held back, or hold it back as well."""
        data = self._writes.take(buffer)
        if data:
            await self._stream.write(data, timeout)

    async def aclose(self) -> None:
        """Close the connection; what is held back is never written."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> "JoinedStream":
        """Return the connection with TLS on it."""
        stream = await self._stream.start_tls(ssl_context, server_hostname, timeout)
        return JoinedStream(stream, self._writes)

    def get_extra_info(self, info: str) -> Any:
        """Return what ``httpcore`` asks of the connection."""
        return self._stream.get_extra_info(info)
