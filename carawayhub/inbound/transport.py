"""Closing of connections whose clients still send."""

import asyncio
from collections.abc import Callable
from typing import Any


class LingeringTransport:
    """A transport whose ``close`` is left to the protocol.

    To close a socket with unread bytes resets the connection, which may destroy an answer before
    its client has read it.

    Args:
        transport: The transport of the connection.
        close: Closes the connection.
    """

    __slots__ = ("close", "closing", "socket")

    def __init__(self, transport: asyncio.Transport, close: Callable[[], None]) -> None:
        self.socket = transport
        self.close = close
        self.closing = False

    def is_closing(self) -> bool:
        """Return whether nothing more is to be written."""
        return self.closing or self.socket.is_closing()

    def write(self, data: bytes) -> None:
        """Write data."""
        self.socket.write(data)

    def __getattr__(self, name: str) -> Any:
        """Return any other attribute of the transport."""
        return getattr(self.socket, name)
