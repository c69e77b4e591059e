"""Forwards one connection of the proxy, with the faults of its link."""

import socket
import struct
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum

import anyio
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from carawayhub.standins.faults import LinkFault
from carawayhub.standins.linkstate import LinkState

PIECES_IN_FLIGHT = 256
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# uvloop reports work on a stream that is closed already as RuntimeError or ValueError.
Broken = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    RuntimeError,
    ValueError,
)


class Direction(Enum):
    """Where a piece of data goes."""

    TO_TARGET = "to_target"
    TO_CLIENT = "to_client"


@dataclass(slots=True, frozen=True)
class _Piece:
    """Data and when it is due; no data stands for the end of the direction."""

    data: bytes
    due: float


def set_reset_on_close(stream: SocketStream) -> None:
    """Make the peer of ``stream`` see a reset, and not an orderly end, when it is closed."""
    # A transport that is closed already has no socket, which shows as AttributeError.
    with suppress(*Broken, AttributeError):
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@dataclass(slots=True, eq=False)
class Connection:
    """One client's connection through a link.

    Attributes:
        state: The faults of the link.
        crossing: Where answers wait to be crossed.
        source: IP number of the client.
        client: The stream of the client.
        target: The stream of the target.
        silenced: Whether it is silent for good.
        sent_to_client: Bytes delivered to the client.
        open_directions: Directions that have not ended.
    """

    state: LinkState
    crossing: "Crossing"
    source: str
    client: SocketStream
    target: SocketStream
    silenced: bool = False
    sent_to_client: int = 0
    open_directions: int = 2
    ended: anyio.Event = field(default_factory=anyio.Event)
    _writing: anyio.Lock = field(default_factory=anyio.Lock)

    @property
    def fault(self) -> LinkFault:
        """What is wrong with this connection at present."""
        return self.state.fault_of(self.source)

    def reset(self) -> None:
        """End the connection at once; both ends see a reset."""
        set_reset_on_close(self.client)
        set_reset_on_close(self.target)
        self.ended.set()

    async def run(self) -> None:
        """Forward in both directions until both have ended or the connection is reset."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._forward, Direction.TO_TARGET, self.client, self.target)
            tg.start_soon(self._forward, Direction.TO_CLIENT, self.target, self.client)
            await self.ended.wait()
            tg.cancel_scope.cancel()

    async def _forward(
        self, direction: Direction, reader: SocketStream, writer: SocketStream
    ) -> None:
        send, receive = anyio.create_memory_object_stream[_Piece](PIECES_IN_FLIGHT)
        async with send, receive, anyio.create_task_group() as tg:
            tg.start_soon(self._read, direction, reader, send)
            await self._write(direction, receive, writer)
        self.open_directions -= 1
        if self.open_directions == 0:
            self.ended.set()

    async def _read(
        self,
        direction: Direction,
        reader: SocketStream,
        pieces: MemoryObjectSendStream[_Piece],
    ) -> None:
        due = 0.0
        while True:
            data = b""
            try:
                data = await reader.receive()
            except anyio.EndOfStream:
                pass
            except Broken:
                await self._wait_while_silent(direction)
                self.reset()
                return
            # A later piece is never due before an earlier one: TCP keeps the order.
            due = max(due, self.state.due(self.fault))
            await pieces.send(_Piece(data, due))
            if not data:
                return

    async def _write(
        self,
        direction: Direction,
        pieces: MemoryObjectReceiveStream[_Piece],
        writer: SocketStream,
    ) -> None:
        async for piece in pieces:
            await self.state.sleep_until(piece.due)
            await self._wait_while_silent(direction)
            try:
                if not piece.data:
                    await writer.send_eof()
                    return
                await self._deliver(direction, piece.data, writer)
            except Broken:
                self.reset()
                return

    async def _wait_while_silent(self, direction: Direction) -> None:
        while self.silenced or self._is_silent(direction):
            await self.state.changed.wait()

    def _is_silent(self, direction: Direction) -> bool:
        match direction:
            case Direction.TO_TARGET:
                return self.fault.silent_to_target
            case Direction.TO_CLIENT:
                return self.fault.silent_to_client

    async def _deliver(self, direction: Direction, data: bytes, writer: SocketStream) -> None:
        fault = self.fault
        if fault.bytes_per_second:
            await anyio.sleep(len(data) / fault.bytes_per_second)
        if direction is Direction.TO_TARGET:
            await writer.send(data)
            return
        if fault.cross_count > 0:
            await self.crossing.give(self, data)
            return
        data = self.crossing.take_back(self) + data
        if fault.duplicate_count > 0:
            fault.duplicate_count -= 1
            data += data
        await self.send_to_client(data)

    async def send_to_client(self, data: bytes) -> None:
        """Deliver data to the client, or end the connection where that fails or a fault says so."""
        async with self._writing:
            try:
                await self._send_or_cut(data)
            except Broken:
                self.reset()

    async def _send_or_cut(self, data: bytes) -> None:
        fault = self.fault
        limit = fault.cut_after
        if limit is not None and fault.cut_count > 0 and self.sent_to_client + len(data) >= limit:
            fault.cut_count -= 1
            await self.client.send(data[: limit - self.sent_to_client])
            self.reset()
            return
        self.sent_to_client += len(data)
        await self.client.send(data)


class Crossing:
    """Holds an answer until another connection has one, then gives each the other's.

    What found no partner goes out with the next piece of its own connection.
    """

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held: tuple[Connection, bytes] | None = None

    async def give(self, connection: Connection, data: bytes) -> None:
        """Take data that was meant for the client of ``connection``."""
        if self._held is None:
            self._held = (connection, data)
            return
        other, held = self._held
        if other is connection:
            self._held = (connection, held + data)
            return
        self._held = None
        connection.fault.cross_count -= 1
        await connection.send_to_client(held)
        await other.send_to_client(data)

    def take_back(self, connection: Connection) -> bytes:
        """Return what is held of ``connection``, and hold it no longer."""
        if self._held is None or self._held[0] is not connection:
            return b""
        _, held = self._held
        self._held = None
        return held
