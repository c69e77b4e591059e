"""Reads the token counters of each expert from a model engine over HTTP.

``GET /experts/counters`` returns ``ExpertCounters`` as JSON. The counters lag, may skip reports,
and restart with the engine. An engine without them answers 404, and its group keeps its map.
"""

import httpcore
import msgspec
from loguru import logger

from carawayhub.endpoints.boundedreads import BoundedNetwork
from carawayhub.endpoints.watch import MAX_REPORT_BYTES, read_endpoint
from carawayhub.errors import PlatformError
from carawayhub.groups.popularity import ExpertCounters


class EngineCounters:
    """The counters of the engine at an HTTP address.

    Args:
        url: Base URL of the engine.
        layers: Number of layers with experts in the configuration.
        experts: Number of experts per layer in the configuration.
    """

    __slots__ = ("_experts", "_layers", "_pool", "_url")

    def __init__(self, url: str, layers: int, experts: int) -> None:
        self._layers = layers
        self._experts = experts
        self._url = url.rstrip("/") + "/experts/counters"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=1,
            keepalive_expiry=60,
            network_backend=BoundedNetwork(MAX_REPORT_BYTES),
        )

    async def read(self) -> ExpertCounters | None:
        """Return the newest counters, None where none are available."""
        try:
            body = await read_endpoint(self._pool, self._url)
            found = msgspec.json.decode(body, type=ExpertCounters)
        except (PlatformError, msgspec.DecodeError):
            return None
        shape = {len(row) for row in found.counts}
        if len(found.counts) != self._layers or shape != {self._experts}:
            logger.bind(url=self._url).warning(
                "counters do not match the configured {} layers of {} experts; map is kept",
                self._layers,
                self._experts,
            )
            return None
        return found

    async def close(self) -> None:
        """Close the connection."""
        await self._pool.aclose()
