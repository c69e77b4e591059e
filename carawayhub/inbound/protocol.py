"""HTTP/1.1 connections of clients that may send anything."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from uvicorn.protocols.http.httptools_impl import STATUS_LINE, HttpToolsProtocol

from carawayhub.codes import meaning
from carawayhub.constants import CODE_HEADER, JSON_TYPE
from carawayhub.inbound.connections import ConnectionTable
from carawayhub.inbound.memory import HEADER_BYTES, REQUEST_BYTES, HeldRequest
from carawayhub.inbound.refusals import Refusal
from carawayhub.inbound.requests import EXTENSION
from carawayhub.inbound.shared import Inbound
from carawayhub.inbound.transport import LingeringTransport

MAX_HEAD_BYTES = 65_536
MAX_BODY_BYTES = 8 * 1024 * 1024
HEAD_SECONDS = 10.0
IDLE_SECONDS = 30.0

PARSED_BYTES = 4_096
"""Bytes that are parsed at a time; one read brings up to 256 KiB, and a header that is incomplete
at the end of a part is kept by the parser whatever its size."""

LINE_BYTES = 3
"""Bytes of a header line beside its name and value: the colon and the line break."""

MAX_PIPELINED = 16
"""Requests of a connection that may wait for the answer before them. Callers of these systems send
one at a time; the memory of complete requests is not taken back."""


class RefusedError(Exception):
    """Stops the parser within a callback."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What a client may send, and how long it may take.

    Attributes:
        head_bytes: Size of the head of a request; also of its trailers, and of the size line of a
            chunk.
        body_bytes: Size of the body of a request.
        head_timeout: Seconds from the first byte of a head to its end.
        idle_timeout: Seconds that a connection may lie idle.
    """

    head_bytes: int = MAX_HEAD_BYTES
    body_bytes: int = MAX_BODY_BYTES
    head_timeout: float = HEAD_SECONDS
    idle_timeout: float = IDLE_SECONDS


class BoundedConnection(HttpToolsProtocol):
    """One connection whose client is refused once it sends what no request needs.

    ``uvicorn`` bounds neither the head of a request nor its trailers, and times a connection only
    from its first answer on.

    Attributes:
        limits_now: Returns the limits of a connection that begins now.
        port: Name of the port, for logs and metrics.
        inbound: What all servers of the process share.
        table: The connections of the port.
    """

    limits_now: Callable[[], ConnectionLimits] = ConnectionLimits
    port: str = ""
    inbound: Inbound
    table: ConnectionTable

    _limits = ConnectionLimits()
    _in_message = False
    _in_head = False
    _progressed = False
    _discarding = False
    _discard_left = 0
    _framing_bytes = 0
    _head_bytes = 0
    _idle_until = 0.0
    _request_moved_at = 0.0
    _request: HeldRequest | None = None
    _head_timer: asyncio.TimerHandle | None = None
    _body_timer: asyncio.TimerHandle | None = None
    _unwanted_left = 0
    _unwanted_timer: asyncio.TimerHandle | None = None
    _unread_before = 0
    _unread_timer: asyncio.TimerHandle | None = None
    _linger_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Begin to wait for a first request."""
        super().connection_made(LingeringTransport(transport, self._close))  # type: ignore[arg-type]
        self._socket = transport
        self._limits = self.limits_now()
        # The type is an integer in name only; the event loop takes fractions of a second.
        self.timeout_keep_alive = self._limits.idle_timeout  # type: ignore[assignment]
        self._idle_until = self.loop.time() + self._limits.idle_timeout
        self._time_idling()
        if not self.table.add(self):
            self.give_way()

    def give_way(self) -> None:
        """Close at once, for a new connection or as the new one for which there is no place."""
        self._record(Refusal.CONNECTIONS)
        self._discarding = True
        self._socket.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all timers, and free what no application will free."""
        self.table.remove(self)
        self._end_unread()
        if self._request is not None and self._in_head:
            self._request.release()
        for cycle, _ in self.pipeline:
            cast(dict[str, Any], cycle.scope)["extensions"][EXTENSION].release()
        self._end_head()
        _cancel(self._body_timer)
        _cancel(self._unwanted_timer)
        _cancel(self._linger_timer)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what one read brought, part by part."""
        self.table.moved(self)
        for start in range(0, len(data), PARSED_BYTES):
            if self._discarding or self.transport.is_closing():
                self._discard(len(data) - start)
                return
            self._parse(data[start : start + PARSED_BYTES])

    def _parse(self, part: bytes) -> None:
        """Parse a part, and refuse the client if it goes on with neither a head nor a body."""
        self._progressed = False
        super().data_received(part)
        self._request_moved_at = self.loop.time()
        if self._in_message and not self._in_head and self._body_timer is None:
            self._time_body()
        if not self._in_message and self.timeout_keep_alive_task is None:
            # An empty line has stopped the timer.
            self._time_idling()
        if self._progressed:
            self._framing_bytes = 0
            return
        self._framing_bytes += len(part)
        if self._framing_bytes > self._limits.head_bytes:
            self._refuse(Refusal.HEAD_TOO_LARGE if self._in_head else Refusal.FRAMING_TOO_LARGE)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Note that a head begins.

        Raises:
            RefusedError: Too many requests wait for the answers before them.
        """
        if len(self.pipeline) >= MAX_PIPELINED:
            self._refuse(Refusal.PIPELINE)
            raise RefusedError
        self._in_message = self._in_head = True
        self._head_bytes = 0
        self._time_head()
        super().on_message_begin()
        self._request = HeldRequest(self.inbound.memory, self._refuse_for_memory)
        self.scope["extensions"] = {EXTENSION: self._request}  # type: ignore[dict-item]

    def on_url(self, url: bytes) -> None:
        """Keep a part of the URL."""
        self._grow_head(len(url), len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if self._in_head:
            text = len(name) + len(value)
            self._grow_head(text + LINE_BYTES, text + HEADER_BYTES)
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Note that the head has ended."""
        super().on_headers_complete()
        self._end_head()
        self._progressed = True
        self._grow(REQUEST_BYTES)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body."""
        self._progressed = True
        if self.cycle.response_complete:
            self._count_unwanted(len(body))
        else:
            self._grow(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Note that the request is complete."""
        self._in_message = False
        self._progressed = True
        if self._request is not None:
            self._request.complete()
        self.table.handled(self)
        _cancel(self._body_timer)
        _cancel(self._unwanted_timer)
        self._body_timer = None
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Note that the connection is idle, unless a further request waits."""
        self._idle_until = self.loop.time() + self._limits.idle_timeout
        super().on_response_complete()
        if not self._is_answering():
            self.table.idle(self)
        if self._in_message and not self._in_head and self.cycle.response_complete:
            self._unwanted_left = self._limits.body_bytes
            self._unwanted_timer = self.loop.call_later(
                self._limits.head_timeout, self._refuse, Refusal.BODY_AFTER_ANSWER
            )

    def _count_unwanted(self, size: int) -> None:
        """Count a part of a body whose request has been answered.

        Raises:
            RefusedError: The client sends more than a body that is allowed.
        """
        self._unwanted_left -= size
        if self._unwanted_left < 0:
            self._refuse(Refusal.BODY_AFTER_ANSWER)
            raise RefusedError

    def _grow_head(self, size: int, memory: int) -> None:
        """Count a part of the head.

        Args:
            size: Its bytes as they were sent.
            memory: Its bytes in memory.

        Raises:
            RefusedError: The head is too large, or has no place in memory.
        """
        self._head_bytes += size
        if self._head_bytes > self._limits.head_bytes:
            self._refuse(Refusal.HEAD_TOO_LARGE)
            raise RefusedError
        self._grow(memory)

    def _grow(self, memory: int) -> None:
        """Take memory for a part of the request.

        Raises:
            RefusedError: The request gave way to others.
        """
        assert self._request is not None
        self._request.grow(memory)
        if self._request.refusal is not None:
            raise RefusedError

    # Time limits.

    def _time_idling(self) -> None:
        if not self._is_answering():
            self.timeout_keep_alive_task = self.loop.call_at(
                self._idle_until, self.timeout_keep_alive_handler
            )

    def _end_head(self) -> None:
        self._in_head = False
        _cancel(self._head_timer)
        self._head_timer = None

    def _time_head(self) -> None:
        self._head_timer = self.loop.call_later(self._limits.head_timeout, self._head_is_late)

    def _head_is_late(self) -> None:
        if not self._in_head or self._discarding:
            return
        if self._is_answering():
            self._time_head()
            return
        self._refuse(Refusal.HEAD_LATE)

    def _time_body(self) -> None:
        assert self._request is not None
        idle_until = self._request_moved_at + self._limits.idle_timeout
        self._body_timer = self.loop.call_at(idle_until, self._check_body)

    def _check_body(self) -> None:
        """Refuse a request whose body has not moved for the idle time."""
        self._body_timer = None
        if self._discarding or self._in_head or not self._in_message:
            return
        if self.loop.time() < self._request_moved_at + self._limits.idle_timeout:
            self._time_body()
            return
        self._refuse(Refusal.BODY_IDLE)

    def _is_answering(self) -> bool:
        return self.cycle is not None and not self.cycle.response_complete

    # Answers that the client does not read.

    def pause_writing(self) -> None:
        """Note that the client does not keep up with its answer."""
        super().pause_writing()
        self._watch_reading()

    def resume_writing(self) -> None:
        """Note that the client has caught up."""
        self._end_unread()
        super().resume_writing()

    def unread_bytes(self) -> int:
        """Return the bytes that were written and not yet taken by the network."""
        return self._socket.get_write_buffer_size()

    def cut_answer(self) -> None:
        """Close at once, since the client does not read its answer."""
        self._record(Refusal.ANSWER_UNREAD)
        self._discarding = True
        self._socket.abort()

    def _watch_reading(self) -> None:
        self._unread_before = self.unread_bytes()
        self._unread_timer = self.loop.call_later(self._limits.idle_timeout, self._check_reading)
        self.inbound.unread.add(self)

    def _check_reading(self) -> None:
        """Cut the connection if its client has read nothing for the idle time."""
        if self.unread_bytes() >= self._unread_before:
            self.cut_answer()
            return
        self._watch_reading()

    def _end_unread(self) -> None:
        _cancel(self._unread_timer)
        self._unread_timer = None
        self.inbound.unread.remove(self)

    # Refusals.

    def send_400_response(self, msg: str) -> None:
        """Refuse what could not be parsed."""
        self._refuse(Refusal.MALFORMED)

    def _refuse(self, reason: Refusal) -> None:
        """Refuse the client; nothing more of it is parsed."""
        if self._discarding:
            return
        if self._request is not None and self._in_message:
            self._request.refuse(reason)
        self._record(reason)
        self._stop_parsing()
        if self._in_message and not self._in_head:
            self._refuse_body()
        elif self._is_answering():
            # The client would take a refusal for a part of the answer before it.
            self.cycle.keep_alive = False
        else:
            self._answer_refusal(reason)

    def _record(self, reason: Refusal) -> None:
        client = self.client[0] if self.client else ""
        self.inbound.refusals.record(self.port, reason, client)

    def _refuse_for_memory(self) -> None:
        self._refuse(Refusal.MEMORY)

    def _stop_parsing(self) -> None:
        self._discarding = True
        self._discard_left = self._limits.body_bytes
        if self._in_head:
            # A refused connection may stay open for seconds.
            self.headers.clear()

    def _refuse_body(self) -> None:
        """Let the application refuse a request whose body is incomplete."""
        if self.cycle.response_complete:
            self.transport.close()
            return
        self.cycle.keep_alive = False
        self.cycle.body = bytearray()
        self.cycle.message_event.set()

    def _answer_refusal(self, reason: Refusal) -> None:
        """Answer a request whose head is incomplete, and close the connection."""
        if self._in_head or reason is Refusal.MALFORMED:
            self.transport.write(_refusal_answer(reason))
        self.transport.close()

    # The end of a connection.

    def shutdown(self) -> None:
        """Close the connection, after its answer if there is one, as the server stops."""
        if self._is_answering():
            super().shutdown()
        elif not self.transport.is_closing():
            self.transport.closing = True  # type: ignore[attr-defined]
            self._close_socket()

    def _close(self) -> None:
        """Close the connection; what its client still sends is discarded for some time."""
        if self.transport.is_closing():
            return
        self.transport.closing = True  # type: ignore[attr-defined]
        if not (self._in_message or self._discarding):
            self._close_socket()
            return
        self._stop_parsing()
        if self._socket.can_write_eof():
            self._socket.write_eof()
        self._linger_timer = self.loop.call_later(self._limits.head_timeout, self._close_socket)

    def _close_socket(self) -> None:
        """Close the connection once its client has read what was written."""
        self._socket.close()
        if self._unread_timer is None and self.unread_bytes() > 0:
            self._watch_reading()

    def _discard(self, count: int) -> None:
        """Count bytes that nobody wants, and cut the connection if they do not end."""
        self._discard_left -= count
        if self._discard_left < 0:
            self._socket.abort()


def _refusal_answer(reason: Refusal) -> bytes:
    """Return the bytes of an answer that refuses a request and ends its connection."""
    known = meaning(reason.code)
    body = b'{"error":{"code":%d,"text":"%s"}}' % (int(reason.code), known.text.encode())
    headers = [
        (b"content-type", JSON_TYPE),
        (b"content-length", b"%d" % len(body)),
        (CODE_HEADER, b"%d" % int(reason.code)),
        (b"connection", b"close"),
    ]
    if reason.retry_after is not None:
        headers.append((b"retry-after", f"{reason.retry_after:.3f}".encode()))
    lines = [name + b": " + value + b"\r\n" for name, value in headers]
    return STATUS_LINE[known.status] + b"".join(lines) + b"\r\n" + body


def _cancel(timer: asyncio.TimerHandle | None) -> None:
    if timer is not None:
        timer.cancel()
