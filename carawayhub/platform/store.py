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
from carawayhub.gateway.ports import (
    Change,
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    Published,
    TablePublished,
)
from carawayhub.platform.answers import decode_answer
from carawayhub.platform.published import CONFIG_KEY, decode_route_table
from carawayhub.platform.registrations import ENDPOINT_PREFIX, decode_endpoint

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


class _Event(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""
    rev: int = 0
    created_rev: int = 0
    deleted: bool = False


class _Watch(msgspec.Struct, rename={"current_rev": "CurrentRev"}):
    current_rev: int
    events: list[_Event] = []


Answer = TypeVar("Answer")


class StoreClient:
    """Reads the store.

    Each call stands under a deadline of its own. A connection that went silent would otherwise hold
    a watch for ever and hide every change; the call ends, its connection is closed, and the next
    one opens a new connection.

    Args:
        address: Address of the store.
        source: IP number to connect from, empty for any.
    """

    __slots__ = ("_pool", "_url")

    def __init__(self, address: Address, source: str = "") -> None:
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            keepalive_expiry=20,
            local_address=source or None,
            socket_options=LIVENESS_OPTIONS,
        )

    async def snapshot(self) -> Published:
        """Return all that is published; see ``PublishedState``.

        Pages are no snapshot: the revision is that of the first page, and what changed while the
        others were read comes once more with the changes after it.
        """
        events: list[_Event] = []
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
        return _published(first, events)

    async def changes(self, after: int, wait: float) -> Published | None:
        """Return what changed; see ``PublishedState``."""
        query = {"Prefix": "", "After": after, "WaitMs": int(wait * MS)}
        try:
            answer = await self._get("/v1/kv-watch", query, wait, _Watch)
        except _HistoryGoneError:
            return None
        return _published(answer.current_rev, answer.events)

    async def revision(self) -> int:
        """Return the newest revision; see ``PublishedState``."""
        query = {"Prefix": "op/", "After": PAST_THE_CONFIG}
        return (await self._get("/v1/kv-range", query, 0.0, _Listing)).current_rev

    async def touch(self) -> None:
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


def _published(revision: int, events: Sequence[_Event]) -> Published:
    changes: list[Change] = []
    unreadable: list[str] = []
    for event in events:
        try:
            change = _change(event)
        except PlatformError as exc:
            unreadable.append(str(exc))
            continue
        if change is not None:
            changes.append(change)
    return Published(revision=revision, changes=tuple(changes), unreadable=tuple(unreadable))


def _written(item: _Item) -> _Event:
    """Return an item of a listing as the event of its writing."""
    return _Event(key=item.key, value=item.value, rev=item.rev, created_rev=item.created_rev)


def _change(event: _Event) -> Change | None:
    """Return what an event says, None where it concerns nothing that is known here."""
    if event.key.startswith(ENDPOINT_PREFIX):
        return _endpoint_change(event)
    if event.key == CONFIG_KEY and not event.deleted:
        return TablePublished(decode_route_table(_content(event)))
    return None


def _endpoint_change(event: _Event) -> Change:
    replica = event.key.removeprefix(ENDPOINT_PREFIX)
    if event.deleted:
        return EndpointRemoved(replica)
    try:
        return EndpointPublished(decode_endpoint(event.key, _content(event), event.created_rev))
    except PlatformError as exc:
        return EndpointUnreadable(replica, str(exc), event.rev)


def _content(event: _Event) -> bytes:
    try:
        return base64.b64decode(event.value, validate=True)
    except ValueError as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, f"{event.key}: {exc}") from exc
