"""The byte stream of one connection to an endpoint, as ``httpcore`` asks for it.

It stands on the event loop's own transport: through ``anyio``'s socket stream a read with a bound
on silence takes about four times the processor time (see docs/design/relay.md), and a stream of a
model has one read for each token.
"""

import asyncio
import ssl
from collections.abc import Callable
from typing import Any, cast

import httpcore

MAX_UNREAD_BYTES = 16_384
LAST_CHUNK = b"0\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
INTERIM_HEAD = b"HTTP/1.1 1"


class EndpointStream(httpcore.AsyncNetworkStream, asyncio.Protocol):
    """One connection; it has one reader at a time.

    Args:
        loop: Source of time, timers and futures; the running event loop if None.

    Attributes:
        before_send: Called once, right before the next byte goes out; what it raises keeps it back.
    """

    __slots__ = (
        "_drained",
        "_error",
        "_hold",
        "_hold_until",
        "_in_head",
        "_loop",
        "_paused",
        "_silence",
        "_size",
        "_transport",
        "_unread",
        "_waiter",
        "_waiting_since",
        "_watch",
        "before_send",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop | None = None) -> None:
        self._loop = loop or asyncio.get_running_loop()
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._unread: list[bytes] = []
        self._size = 0
        self._paused = False
        self._error: Exception | None = None
        self._in_head = True
        self._waiter: asyncio.Future[None] | None = None
        self._waiting_since = 0.0
        self._silence = 0.0
        self._hold: asyncio.TimerHandle | None = None
        self._hold_until = 0.0
        self._watch: asyncio.TimerHandle | None = None
        self._drained: asyncio.Future[None] | None = None
        self.before_send: Callable[[], None] | None = None

    @classmethod
    async def connect(cls, host: str, port: int, source: str, timeout: float) -> "EndpointStream":
        """Open a connection.

        Raises:
            httpcore.ConnectError: It was refused.
            httpcore.ConnectTimeout: Nothing answered.
        """
        loop = asyncio.get_running_loop()
        local = (source, 0) if source else None
        try:
            async with asyncio.timeout(timeout):
                _, made = await loop.create_connection(cls, host, port, local_addr=local)
        except TimeoutError as exc:
            raise httpcore.ConnectTimeout(str(exc)) from exc
        except OSError as exc:
            raise httpcore.ConnectError(str(exc)) from exc
        return made

    # What httpcore calls.

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what came; a read never goes past the end of an answer's head.

        So what follows the head can be read by other means than ``httpcore``'s.
        """
        data = await self.receive(timeout or 0.0)
        if not self._in_head:
            return data
        end = data.find(END_OF_HEAD)
        if end < 0:
            return data
        end += len(END_OF_HEAD)
        self._in_head = data.startswith(INTERIM_HEAD)
        if end < len(data):
            self._unread.insert(0, data[end:])
            self._size += len(data) - end
        return data[:end]

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all of ``buffer``."""
        if self._error is not None or self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        check, self.before_send = self.before_send, None
        if check is not None:
            check()
        self._in_head = True
        self._transport.write(buffer)
        if self._drained is None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._drained
        except TimeoutError as exc:
            raise httpcore.WriteTimeout(str(exc)) from exc

    async def aclose(self) -> None:
        """Close the connection at once."""
        self._stop_watch()
        self._transport.abort()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Refuse: endpoints are met by plain HTTP."""
        raise NotImplementedError("endpoints are met by plain HTTP")

    def get_extra_info(self, info: str) -> Any:
        """Tell whether a read would return at once; nothing else is known."""
        if info != "is_readable":
            return None
        return bool(self._unread) or self._error is not None or self._transport.is_closing()

    # What the body of a stream is read with.

    def time(self) -> float:
        """Return the reading of the loop's clock."""
        return self._loop.time()

    async def receive(self, silence: float, hold_until: float = 0.0) -> bytes:
        """Return all that came, empty at the end of the connection.

        Args:
            silence: Seconds to wait at most, 0 for no bound.
            hold_until: Reading of the loop's clock before which nothing is returned, unless an
                answer has ended, the connection has, or much has come.

        Raises:
            httpcore.ReadTimeout: Nothing came for ``silence`` seconds.
            httpcore.ReadError: The connection broke.
        """
        self._hold_until = hold_until
        if not self._ready():
            await self._wait(silence)
        if self._unread:
            return self._take()
        if self._error is None or isinstance(self._error, _Ended):
            return b""
        raise self._error

    def _ready(self) -> bool:
        """Return whether a read may return now.

        Without anything to return no timer is set: where parts come further apart than the time
        for which reads are held back, holding back costs nothing.
        """
        if self._error is not None:
            return True
        if not self._unread:
            return False
        if self._loop.time() >= self._hold_until or self._size > MAX_UNREAD_BYTES:
            return True
        if self._unread[-1].endswith(LAST_CHUNK):
            return True
        if self._hold is None:
            self._hold = self._loop.call_at(self._hold_until, self._wake)
        return False

    async def _wait(self, silence: float) -> None:
        self._waiting_since = self._loop.time()
        self._silence = silence
        if silence and self._watch is None:
            self._watch = self._loop.call_at(self._waiting_since + silence, self._look)
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
            if self._hold is not None:
                self._hold.cancel()
                self._hold = None

    def _look(self) -> None:
        """Fail the read that waits too long.

        The timer runs on over many reads and is set anew only when it fires: a timer for each
        read would cost more than the read's other work.
        """
        self._watch = None
        if self._waiter is None or self._unread or not self._silence:
            return
        due = self._waiting_since + self._silence
        if due > self._loop.time():
            self._watch = self._loop.call_at(due, self._look)
            return
        self._end(httpcore.ReadTimeout(f"nothing came for {self._silence:g} s"))

    def _take(self) -> bytes:
        unread = self._unread
        data = unread[0] if len(unread) == 1 else b"".join(unread)
        unread.clear()
        self._size = 0
        if self._paused and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()
        return data

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keep what came, up to a bound; past it the other end has to wait."""
        self._unread.append(data)
        self._size += len(data)
        if self._size > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        if self._waiter is not None and self._ready():
            self._wake()

    def eof_received(self) -> bool:
        """Note the other end's close."""
        self._end(_Ended())
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end of the connection."""
        self._stop_watch()
        self._end(_Ended() if exc is None else httpcore.ReadError(str(exc)))
        self.resume_writing()

    def pause_writing(self) -> None:
        """Let writers wait."""
        self._drained = self._loop.create_future()

    def resume_writing(self) -> None:
        """Let writers go on."""
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    def _end(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._wake()


class _Ended(httpcore.ReadError):
    """The other end closed in good order."""
