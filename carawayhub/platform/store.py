"""HTTP client of the platform's store."""

import base64
from collections.abc import Mapping, Sequence
from typing import TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.endpoints.sockets import LIVENESS_OPTIONS
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import Published
from carawayhub.platform.answers import decode_answer
from carawayhub.platform.changes import Event, decode_published
from carawayhub.platform.mirror import StoreMirror
from carawayhub.platform.published import CONFIG_KEY
from carawayhub.platform.registrations import ENDPOINT_PREFIX

OK_STATUS = 200
GONE_STATUS = 410
ANSWER_MARGIN_SECONDS = 1.0
"""Time limit of a call beyond its wait; a live store answers within milliseconds."""
MS_PER_SECOND = 1000
ERA_HEADER = b"store-era"
KEY_AFTER_CONFIG = "op/~"
"""A key that sorts after the configuration: a listing from it is empty but has the revision."""


class _Item(msgspec.Struct, rename="pascal"):
    """Item of a listing; ``created_rev`` is the revision at which its key was first written."""

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

    Each call has its own connection and its own deadline. A connection may stop delivering data for
    good while new ones work: a call that reuses such a connection would block until its deadline,
    and so would the call that uses the next one of the pool.

    Args:
        address: Address of the store.
        source: Local IP address to connect from, empty for any.
        backend: Opens connections, None for the default network.

    Attributes:
        mirror: Copy of the content read so far.
    """

    __slots__ = ("_era", "_pool", "_url", "mirror")

    def __init__(
        self,
        address: Address,
        source: str = "",
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.mirror = StoreMirror()
        self._era = ""
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            max_keepalive_connections=0,
            local_address=source or None,
            socket_options=LIVENESS_OPTIONS,
            network_backend=backend,
        )

    async def snapshot(self) -> Published:
        """Return the complete published state; see ``PublishedState``.

        The pages are not an atomic snapshot: the revision is that of the first page, and changes
        made while the other pages were read are delivered again with the changes after it.
        """
        events: list[_WireEvent] = []
        first = 0
        for prefix in (CONFIG_KEY, ENDPOINT_PREFIX):
            after = ""
            while True:
                query = {"Prefix": prefix} | ({"After": after} if after else {})
                page = await self._get("/v1/kv-range", query, 0.0, _Listing)
                first = first or page.current_rev
                events += [_listed_event(each) for each in page.items]
                if not page.has_more or not page.items:
                    break
                after = page.items[-1].key
        found, unreadable = _decode_events(events)
        self.mirror.replace(first, found)
        return decode_published(first, found, unreadable)

    async def changes(self, after: int, wait: float) -> Published | None:
        """Return the changes after a revision; see ``PublishedState``."""
        query = {"Prefix": "", "After": after, "WaitMs": int(wait * MS_PER_SECOND)}
        try:
            answer = await self._get("/v1/kv-watch", query, wait, _Watch)
        except _HistoryGoneError:
            return None
        found, unreadable = _decode_events(answer.events)
        self.mirror.extend(answer.current_rev, found)
        return decode_published(answer.current_rev, found, unreadable)

    async def revision(self) -> int:
        """Return the newest revision; see ``PublishedState``."""
        query = {"Prefix": "op/", "After": KEY_AFTER_CONFIG}
        return (await self._get("/v1/kv-range", query, 0.0, _Listing)).current_rev

    async def check_reachable(self) -> None:
        """Check that the store answers; see ``PublishedState``. The answer may be seconds old."""
        query = {"Prefix": "op/", "After": KEY_AFTER_CONFIG, "StaleOk": 1}
        await self._get("/v1/kv-range", query, 0.0, _Listing)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _get(
        self, path: str, query: Mapping[str, object], wait: float, kind: type[Answer]
    ) -> Answer:
        url = f"{self._url}{path}?{urlencode(query)}"
        try:
            with anyio.fail_after(wait + ANSWER_MARGIN_SECONDS):
                response = await self._pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: {exc!r}") from exc
        self._note_era(response, path)
        if response.status == GONE_STATUS:
            raise _HistoryGoneError(Code.PLATFORM_MALFORMED, path)
        if response.status != OK_STATUS:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: status {response.status}")
        return decode_answer(response.content, kind)

    def _note_era(self, response: httpcore.Response, path: str) -> None:
        """Log a change of the era that the store states in its answers."""
        era = next((value for name, value in response.headers if name.lower() == ERA_HEADER), b"")
        stated = era.decode("latin-1")
        if stated == self._era:
            return
        logger.bind(before=self._era, now=stated, call=path, revision=self.mirror.revision).warning(
            "the store states another era"
        )
        self._era = stated


class _HistoryGoneError(PlatformError):
    """The store no longer has the history after the requested revision."""


def _listed_event(item: _Item) -> _WireEvent:
    """Convert an item of a listing to the event that wrote it."""
    return _WireEvent(key=item.key, value=item.value, rev=item.rev, created_rev=item.created_rev)


def _decode_events(events: Sequence[_WireEvent]) -> tuple[list[Event], list[str]]:
    """Return events with decoded content, and a description of each that cannot be decoded."""
    found: list[Event] = []
    unreadable: list[str] = []
    for each in events:
        try:
            content = base64.b64decode(each.value, validate=True)
        except ValueError as exc:
            if not each.key.startswith(ENDPOINT_PREFIX):
                unreadable.append(f"{each.key}: {exc}")
                continue
            # Empty content is never a valid entry, so the endpoint is reported as unreadable and
            # no longer used.
            content = b""
        found.append(Event(each.key, each.rev, each.created_rev, each.deleted, content))
    return found, unreadable
