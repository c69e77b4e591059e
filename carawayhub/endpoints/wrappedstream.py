"""Connections of ``httpcore`` that another class adds to."""

from typing import Any

import httpcore


class WrappedStream(httpcore.AsyncNetworkStream):
    """One connection without TLS.

    Args:
        stream: The connection.
    """

    __slots__ = ("_stream",)

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the data received, empty at the end of the connection."""
        return await self._stream.read(max_bytes, timeout)

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all data in ``buffer``."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return information on the connection for ``httpcore``."""
        return self._stream.get_extra_info(info)
