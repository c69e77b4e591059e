"""HTTP client of the platform's services."""

import hashlib

import anyio
import httpcore

from carawayhub.codes import Code
from carawayhub.endpoints.boundedreads import BoundedNetwork
from carawayhub.errors import PlatformError
from carawayhub.platform.answers import decode_answer
from carawayhub.platform.ports import PublishedManifest, VmList

OK_STATUS = 200
ANSWER_MARGIN_SECONDS = 3.0
MAX_VALUE_BYTES = 1_048_576
MAX_ANSWER_BYTES = 2 * MAX_VALUE_BYTES
"""Largest answer with its head; a value beyond its own bound is refused as malformed."""


class PlatformClient:
    """Reads configuration and VM list from the platform's HTTP address.

    Each read has its own deadline, a watch its wait plus a margin: a watch whose connection stopped
    delivering data would otherwise block forever and miss every change. After such a timeout
    ``httpcore`` closes the connection and the next read opens a new one.

    Args:
        url: Base URL, for example ``http://10.0.0.9:7000``.
        source: Local IP address to connect from, empty for any.
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, url: str, source: str = "") -> None:
        self._url = url.rstrip("/")
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=8,
            keepalive_expiry=60,
            local_address=source or None,
            network_backend=BoundedNetwork(MAX_ANSWER_BYTES),
        )

    async def manifest(self, after: int, wait: float) -> PublishedManifest:
        """Return the published version; see ``ConfigurationService``."""
        body = await self._get(f"/config/manifest?after={after}&wait={wait:g}", wait)
        return decode_answer(body, PublishedManifest)

    async def file(self, digest: str) -> bytes:
        """Return the content of a file; see ``ConfigurationService``."""
        body = await self._get(f"/config/files/{digest}", 0)
        if hashlib.sha256(body).hexdigest() != digest:
            raise PlatformError(Code.CONFIG_DIGEST_MISMATCH, f"file {digest}")
        return body

    async def vms(self, after: int, wait: float) -> VmList:
        """Return the list of VMs; see ``VmDirectory``."""
        body = await self._get(f"/vms?after={after}&wait={wait:g}", wait)
        return decode_answer(body, VmList)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _get(self, path: str, wait: float) -> bytes:
        try:
            with anyio.fail_after(wait + ANSWER_MARGIN_SECONDS):
                response = await self._pool.request("GET", self._url + path)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: {exc!r}") from exc
        if response.status != OK_STATUS:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: status {response.status}")
        if len(response.content) > MAX_VALUE_BYTES:
            raise PlatformError(Code.PLATFORM_MALFORMED, f"{path}: over {MAX_VALUE_BYTES} bytes")
        return response.content
