"""Reads the counters of tokens per expert from a model engine over HTTP.

``GET /experts/counters`` gives ``ExpertCounters`` as JSON. They lag, may skip reports, and start
anew with the engine. An engine without them answers 404, and its group keeps its map.
"""

import httpcore
import msgspec

from carawayhub.endpoints.watch import read_endpoint
from carawayhub.errors import PlatformError
from carawayhub.groups.popularity import ExpertCounters


class EngineCounters:
    """The counters of the engine at an HTTP address."""

    __slots__ = ("_pool", "_url")

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/") + "/experts/counters"
        self._pool = httpcore.AsyncConnectionPool(max_connections=1, keepalive_expiry=60)

    async def read(self) -> ExpertCounters | None:
        """Return the newest counters, None where there are none to be had."""
        try:
            return msgspec.json.decode(
                await read_endpoint(self._pool, self._url), type=ExpertCounters
            )
        except (PlatformError, msgspec.DecodeError):
            return None

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.aclose()
