"""Bounds on the size of answers, for all clients of other processes.

A server in trouble may send bytes without end, in a head or a body, until its client closes the
connection. A client that collects an answer would run out of memory long before its deadline.
"""

import re
from collections.abc import AsyncIterator, Iterable
from types import TracebackType
from typing import Any

import httpcore
from loguru import logger

from carawayhub.endpoints.wrappedstream import WrappedStream

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Largest body of an answer that an entry collects: four times the largest body that callers may
send by default."""

FREE_BYTES = 65_536
"""Size of an answer up to which it takes nothing of the shared memory, so that common answers pass
while a server in trouble fills it. It is the size of one read."""

MAX_HEAD_BYTES = 32_768
"""Bytes after which nothing more is read of an unfinished head, interim answers included; twice the
size of a head that callers may send by default."""

_BLANK_LINE = re.compile(rb"\n\r?\n")
_INTERIM = re.compile(rb"HTTP/1\.[01] 1[0-9]{2}\b")


class AnswerTooLargeError(httpcore.RemoteProtocolError):
    """An answer has more bytes than its client accepts."""


class HeadMeter:
    """Bounds the head of an answer, together with the interim answers before it."""

    __slots__ = ("_complete", "_pending", "_size")

    def __init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        """Expect the head of the next answer."""
        self._complete = False
        self._pending = b""
        self._size = 0

    def count(self, data: bytes) -> None:
        """Count received data.

        Raises:
            AnswerTooLargeError: The head is too large; the rest of the answer must not be read.
        """
        if self._complete:
            return
        self._size += len(data)
        self._pending += data
        start = 0
        while (blank := _BLANK_LINE.search(self._pending, start)) is not None:
            if not _INTERIM.match(self._pending, start):
                self._complete = True
                self._pending = b""
                return
            start = blank.end()
        self._pending = self._pending[start:]
        if self._size > MAX_HEAD_BYTES:
            raise AnswerTooLargeError(f"head of over {MAX_HEAD_BYTES} bytes")


class AnswerMemory:
    """Memory for the answers that a process collects at the same time.

    Args:
        total: Bytes for the parts of answers beyond ``FREE_BYTES`` each.
    """

    __slots__ = ("_free",)

    def __init__(self, total: int = MAX_ANSWER_BYTES) -> None:
        self._free = max(total, MAX_ANSWER_BYTES)

    def reserve(self, more: int) -> bool:
        """Reserve some bytes; return False if they are not free."""
        if more > self._free:
            return False
        self._free -= more
        return True

    def release(self, reserved: int) -> None:
        """Give reserved bytes back."""
        self._free += reserved


class CollectedAnswer:
    """The body of one answer; its memory is reserved within a ``with`` statement.

    Args:
        memory: Memory that all answers share.
    """

    __slots__ = ("_memory", "_reserved")

    def __init__(self, memory: AnswerMemory) -> None:
        self._memory = memory
        self._reserved = 0

    def __enter__(self) -> "CollectedAnswer":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._memory.release(self._reserved)
        self._reserved = 0

    async def read(self, parts: AsyncIterator[bytes], stated: int = 0) -> bytes:
        """Return a body in one piece.

        Args:
            parts: The body part by part.
            stated: Size that its head states in bytes, 0 for none.

        Raises:
            AnswerTooLargeError: It is larger than ``MAX_ANSWER_BYTES``, or than the memory that
                other answers leave.
        """
        self._require(stated)
        body = bytearray()
        async for part in parts:
            body += part
            self._require(len(body))
        return bytes(body)

    def _require(self, size: int) -> None:
        """Reserve memory for a body of some size."""
        more = size - FREE_BYTES - self._reserved
        if size > MAX_ANSWER_BYTES or (more > 0 and not self._memory.reserve(more)):
            raise AnswerTooLargeError(f"answer of at least {size} bytes")
        self._reserved += max(0, more)


class BoundedNetwork(httpcore.AsyncNetworkBackend):
    """Opens connections on which each answer has a bounded size.

    Args:
        max_bytes: Most bytes from a request to the next one on its connection, heads included.
        network: Opens the connections; that of ``httpcore`` if None.
    """

    __slots__ = ("_max_bytes", "_network")

    def __init__(self, max_bytes: int, network: httpcore.AsyncNetworkBackend | None = None) -> None:
        self._max_bytes = max_bytes
        self._network = network or httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> "BoundedStream":
        """Connect to an address; raises the errors of the wrapped network."""
        stream = await self._network.connect_tcp(host, port, timeout, local_address, socket_options)
        return BoundedStream(stream, self._max_bytes, f"{host}:{port}")


class BoundedStream(WrappedStream):
    """One connection on which each answer has a bounded size.

    Args:
        stream: The connection.
        max_bytes: Most bytes from a request to the next one.
        address: Address of the server, for logs.
    """

    __slots__ = ("_address", "_head", "_max_bytes", "_received")

    def __init__(self, stream: httpcore.AsyncNetworkStream, max_bytes: int, address: str) -> None:
        super().__init__(stream)
        self._max_bytes = max_bytes
        self._address = address
        self._received = 0
        self._head = HeadMeter()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the data received.

        Raises:
            AnswerTooLargeError: The answer is too large; ``httpcore`` closes the connection.
        """
        data = await self._stream.read(max_bytes, timeout)
        self._received += len(data)
        try:
            self._head.count(data)
            if self._received > self._max_bytes:
                raise AnswerTooLargeError(f"answer of over {self._max_bytes} bytes")
        except AnswerTooLargeError as exc:
            logger.bind(server=self._address, bytes=self._received, reason=str(exc)).warning(
                "answer cut: it is larger than its client accepts"
            )
            raise
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request."""
        self._received = 0
        self._head.restart()
        await self._stream.write(buffer, timeout)
