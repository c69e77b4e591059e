"""The platform's store over HTTP: the one client of it."""

import base64
from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.endpoints.sockets import LIVENESS_OPTIONS
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import Published
from carawayhub.platform.answers import decode_answer
from carawayhub.platform.changes import Event, published
from carawayhub.platform.mirror import StoreMirror
from carawayhub.platform.published import CONFIG_KEY
from carawayhub.platform.registrations import ENDPOINT_PREFIX

OK_STATUS = 200
GONE_STATUS = 410
ANSWER_MARGIN = 1.0
"""Seconds beyond the wait of a call in which a live store answers; it does so in milliseconds."""
MS = 1000
PAST_THE_CONFIG = "op/~"
"""A key behind the configuration's: a listing that begins there is empty and names the revision."""


class _Item(msgspec.Struct, rename="pascal"):
    """An item; ``created_rev`` is the revision at which its key was written first."""

    key: str
    value: str = ""
    rev: int = 0
    created_rev: int = 0


class _Listing(msgspec.Struct, rename="pascal"):
    current_rev: int
    items: list[_Item] = []
    has_more: bool = False


class _WireEvent(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""
    rev: int = 0
    created_rev: int = 0
    deleted: bool = False


class _Watch(msgspec.Struct, rename={"current_rev": "CurrentRev"}):
    current_rev: int
    events: list[_WireEvent] = []


Answer = TypeVar("Answer")


class StoreClient:
    """Reads the store.

    Each call opens a connection of its own and stands under a deadline of its own. A connection may
    go silent for good while new ones work: one that was kept would hold up the call that takes it
    until its deadline, and so would the next one of the pool.

    Args:
        address: Address of the store.
        source: IP number to connect from, empty for any.
        backend: Opens connections, None for those of the machine.

    Attributes:
        mirror: What was read so far.
    """

    __slots__ = ("_pool", "_url", "mirror")

    def __init__(
        self,
        address: Address,
        source: str = "",
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.mirror = StoreMirror()
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            max_keepalive_connections=0,
            local_address=source or None,
            socket_options=LIVENESS_OPTIONS,
            network_backend=backend,
        )

    async def snapshot(self) -> Published:
        """Return all that is published; see ``PublishedState``.

        Pages are no snapshot: the revision is that of the first page, and what changed while the
        others were read comes once more with the changes after it.
        """
        events: list[_WireEvent] = []
        first = 0
        for prefix in (CONFIG_KEY, ENDPOINT_PREFIX):
            after = ""
            while True:
                query = {"Prefix": prefix} | ({"After": after} if after else {})
                page = await self._get("/v1/kv-range", query, 0.0, _Listing)
                first = first or page.current_rev
                events += [_written(each) for each in page.items]
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        found, unreadable = _decoded(events)
        self.mirror.replace(first, found)
        return published(first, found, unreadable)

    async def changes(self, after: int, wait: float) -> Published | None:
        """Return what changed; see ``PublishedState``."""
        query = {"Prefix": "", "After": after, "WaitMs": int(wait * MS)}
        try:
            answer = await self._get("/v1/kv-watch", query, wait, _Watch)
        except _HistoryGoneError:
            return None
        found, unreadable = _decoded(answer.events)
        self.mirror.extend(answer.current_rev, found)
        return published(answer.current_rev, found, unreadable)

    async def revision(self) -> int:
        """Return the newest revision; see ``PublishedState``."""
        query = {"Prefix": "op/", "After": PAST_THE_CONFIG}
        return (await self._get("/v1/kv-range", query, 0.0, _Listing)).current_rev

    async def check_reachable(self) -> None:
        """See whether the store answers; see ``PublishedState``. The answer may be seconds old."""
        query = {"Prefix": "op/", "After": PAST_THE_CONFIG, "StaleOk": 1}
        await self._get("/v1/kv-range", query, 0.0, _Listing)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _get(
        self, path: str, query: Mapping[str, object], wait: float, kind: type[Answer]
    ) -> Answer:
        url = f"{self._url}{path}?{urlencode(query)}"
        try:
            with anyio.fail_after(wait + ANSWER_MARGIN):
                response = await self._pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: {exc!r}") from exc
        if response.status == GONE_STATUS:
            raise _HistoryGoneError(Code.PLATFORM_MALFORMED, path)
        if response.status != OK_STATUS:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: status {response.status}")
        return decode_answer(response.content, kind)


class _HistoryGoneError(PlatformError):
    """The store no longer has the history after the revision that was asked for."""


def _written(item: _Item) -> _WireEvent:
    """Return an item of a listing as the event of its writing."""
    return _WireEvent(key=item.key, value=item.value, rev=item.rev, created_rev=item.created_rev)


def _decoded(events: Sequence[_WireEvent]) -> tuple[list[Event], list[str]]:
    """Return events with their content, and what of them cannot be read."""
    found: list[Event] = []
    unreadable: list[str] = []
    for each in events:
        try:
            content = base64.b64decode(each.value, validate=True)
        except ValueError as exc:
            if not each.key.startswith(ENDPOINT_PREFIX):
                unreadable.append(f"{each.key}: {exc}")
                continue
            # Bytes that no entry has, so that the endpoint is named by none and used no more.
            content = b""
        found.append(Event(each.key, each.rev, each.created_rev, each.deleted, content))
    return found, unreadable
