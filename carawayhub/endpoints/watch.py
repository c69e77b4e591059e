"""Reads an endpoint's load and cache events over HTTP.

Model engines answer ``GET /load`` and ``GET /cache/events``. Plain services answer ``GET /health``
only, so their load is what the agent's gate and the entries count.
"""

from enum import Enum

import anyio
import httpcore
import msgspec

from carawayhub.codes import Code
from carawayhub.endpoints.boundedreads import BoundedNetwork
from carawayhub.endpoints.ports import CacheChange, Load
from carawayhub.errors import PlatformError
from carawayhub.platform.answers import decode_answer

ANSWER_TIMEOUT = 1.0
OK_STATUS = 200
MAX_REPORT_BYTES = 2_097_152
"""Largest answer: the counters of a hundred thousand experts are under a megabyte."""


class _EventKind(Enum):
    ADDED = "added"
    REMOVED = "removed"


class _Event(msgspec.Struct):
    number: int
    kind: _EventKind
    block: int


class _EventPage(msgspec.Struct):
    last: int
    events: list[_Event]


class EngineWatch:
    """A model engine at an HTTP address; see ``EndpointWatch``."""

    __slots__ = ("_pool", "_url")

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._pool = _pool()

    async def load(self) -> Load:
        """Return the engine's load."""
        return decode_answer(await self._get("/load"), Load)

    async def cache_changes(self, after: int) -> tuple[CacheChange, ...]:
        """Return changes of the prefix cache numbered above ``after``."""
        page: _EventPage = decode_answer(
            await self._get(f"/cache/events?after={after}"), _EventPage
        )
        return tuple(
            CacheChange(event.number, event.kind is _EventKind.ADDED, event.block)
            for event in page.events
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _get(self, path: str) -> bytes:
        return await read_endpoint(self._pool, self._url + path)


class ServiceWatch:
    """A plain service at an HTTP address; see ``EndpointWatch``."""

    __slots__ = ("_capacity", "_pool", "_url")

    def __init__(self, url: str, capacity: int) -> None:
        self._url = url.rstrip("/")
        self._capacity = capacity
        self._pool = _pool()

    async def load(self) -> Load:
        """Return an empty load if the service answers."""
        await read_endpoint(self._pool, self._url + "/health")
        return Load(capacity=self._capacity)

    async def cache_changes(self, after: int) -> tuple[CacheChange, ...]:
        """Return nothing: a plain service has no prefix cache."""
        return ()

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=2, keepalive_expiry=30, network_backend=BoundedNetwork(MAX_REPORT_BYTES)
    )


async def read_endpoint(pool: httpcore.AsyncConnectionPool, url: str) -> bytes:
    """Return the body of a GET.

    Raises:
        PlatformError: PLATFORM_UNREACHABLE where the endpoint does not answer with status 200.
    """
    try:
        with anyio.fail_after(ANSWER_TIMEOUT):
            response = await pool.request("GET", url)
    except Exception as exc:
        # A connection that fails during a call can also raise an AttributeError or a
        # RuntimeError in the HTTP libraries. It must not end the agent: it is a lost answer.
        raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{url}: {exc!r}") from exc
    if response.status != OK_STATUS:
        raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{url}: status {response.status}")
    return response.content
