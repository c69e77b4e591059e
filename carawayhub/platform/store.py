"""HTTP client of the platform's store."""

import base64
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar
from urllib.parse import urlencode

import anyio
import httpcore
import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.endpoints.boundedreads import BoundedNetwork
from carawayhub.endpoints.sockets import LIVENESS_OPTIONS
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import Published
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.platform.answers import decode_answer
from carawayhub.platform.changes import EVACUATION_PREFIX, Event, decode_published
from carawayhub.platform.mirror import StoreMirror
from carawayhub.platform.registrations import ENDPOINT_PREFIX
from carawayhub.wirenumbers import Count

OK_STATUS = 200
GONE_STATUS = 410
ANSWER_MARGIN_SECONDS = 1.0
"""Time limit of a call beyond its wait; a live store answers within milliseconds."""
MAX_ANSWER_BYTES = 16_777_216
"""Largest answer. A page has a megabyte; the history of some seconds may have many configurations,
each of a megabyte and a third as much again in base64."""

MS_PER_SECOND = 1000
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 15

LISTING_ATTEMPTS = 3
"""Attempts to list everything within one era."""

OPERATOR_PREFIX = "op/"
"""Keys that operators write: the configuration and evacuations."""

KEY_AFTER_OPERATORS = "op/~"
"""A key that sorts after these: a listing from it is empty but has the revision."""

TOLERATED_PREFIXES = (ENDPOINT_PREFIX, EVACUATION_PREFIX)
"""Keys that count although their value cannot be decoded."""


class _Item(msgspec.Struct, rename="pascal"):
    """Item of a listing; ``created_rev`` is the revision at which its key was first written."""

    key: str
    value: str = ""
    rev: Count = 0
    created_rev: Count = 0


class _Listing(msgspec.Struct, rename="pascal"):
    current_rev: Count
    items: list[_Item] = []
    has_more: bool = False


class _WireEvent(msgspec.Struct, rename="pascal"):
    key: str
    value: str = ""
    rev: Count = 0
    created_rev: Count = 0
    deleted: bool = False


class _Watch(msgspec.Struct, rename={"current_rev": "CurrentRev"}):
    current_rev: Count
    events: list[_WireEvent] = []


Content = TypeVar("Content", _Listing, _Watch)


@dataclass(frozen=True, slots=True)
class _Answer(Generic[Content]):
    """Decoded answer with the era that it states."""

    era: int
    content: Content

    @property
    def revision(self) -> Revision:
        """The store's revision at the time of the answer."""
        return Revision(self.era, self.content.current_rev)


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
        eras: Which era of the store is believed.
        mirror: Copy of the content read so far.
    """

    __slots__ = ("_pool", "_url", "eras", "mirror")

    def __init__(
        self,
        address: Address,
        source: str = "",
        backend: httpcore.AsyncNetworkBackend | None = None,
    ) -> None:
        self.eras = Eras()
        self.mirror = StoreMirror(self.eras)
        self._url = f"http://{address}"
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            max_keepalive_connections=0,
            local_address=source or None,
            socket_options=LIVENESS_OPTIONS,
            network_backend=BoundedNetwork(MAX_ANSWER_BYTES, backend),
        )

    async def snapshot(self) -> Published:
        """Return the complete published state; see ``PublishedState``.

        The pages are not an atomic snapshot: the revision is that of the first page, and changes
        made while the other pages were read are delivered again with the changes after it.
        """
        for _ in range(LISTING_ATTEMPTS):
            pages = await self._list_all()
            if len({page.era for page in pages}) == 1:
                break
        else:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, "each listing was of several eras")
        revision = pages[0].revision
        items = [item for page in pages for item in page.content.items]
        found, unreadable = _decode_events([_listed_event(each) for each in items])
        self.mirror.replace(revision, found)
        return decode_published(revision, found, unreadable)

    async def _list_all(self) -> list[_Answer[_Listing]]:
        pages = []
        for prefix in (OPERATOR_PREFIX, ENDPOINT_PREFIX):
            after = ""
            while True:
                query = {"Prefix": prefix} | ({"After": after} if after else {})
                page = await self._get("/v1/kv-range", query, 0.0, _Listing)
                pages.append(page)
                if not page.content.has_more or not page.content.items:
                    break
                after = page.content.items[-1].key
        return pages

    async def changes(self, after: Revision, wait: float) -> Published | None:
        """Return the changes after a revision; see ``PublishedState``."""
        query = {"Prefix": "", "After": after.number, "WaitMs": int(wait * MS_PER_SECOND)}
        try:
            answer = await self._get("/v1/kv-watch", query, wait, _Watch)
        except _HistoryGoneError:
            return None
        if answer.era != after.era:
            return None
        found, unreadable = _decode_events(answer.content.events)
        self.mirror.extend(answer.revision, found)
        return decode_published(answer.revision, found, unreadable)

    async def revision(self) -> Revision:
        """Return the newest revision; see ``PublishedState``."""
        query = {"Prefix": OPERATOR_PREFIX, "After": KEY_AFTER_OPERATORS}
        return (await self._get("/v1/kv-range", query, 0.0, _Listing)).revision

    async def check_reachable(self) -> None:
        """Check that the store answers; see ``PublishedState``. The answer may be seconds old."""
        query = {"Prefix": OPERATOR_PREFIX, "After": KEY_AFTER_OPERATORS, "StaleOk": 1}
        response = await self._request("/v1/kv-range", query, 0.0)
        # Its era may be a former one, which says nothing.
        decode_answer(response.content, _Listing)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _get(
        self, path: str, query: Mapping[str, object], wait: float, kind: type[Content]
    ) -> _Answer[Content]:
        known = self.mirror.revision
        response = await self._request(path, query, wait)
        stated = _stated_era(response)
        era = self.eras.attribute(stated)
        if era is None:
            raise PlatformError(Code.PLATFORM_MALFORMED, f"{path}: era {stated}")
        if response.status == GONE_STATUS:
            raise _HistoryGoneError(Code.PLATFORM_MALFORMED, path)
        answer = _Answer(era, decode_answer(response.content, kind))
        if era == known.era and answer.revision < known:
            return _Answer(self._era_after(known, answer.revision, path), answer.content)
        return answer

    def _era_after(self, known: Revision, answered: Revision, path: str) -> int:
        """Return the era of an answer whose revision is lower than one that was known before.

        Raises:
            PlatformError: PLATFORM_MALFORMED if the store states its eras, so that this is none.
        """
        if self.eras.is_stated:
            numbers = f"revision {answered.number} after {known.number} in one era"
            raise PlatformError(Code.PLATFORM_MALFORMED, f"{path}: {numbers}")
        return self.eras.infer_return()

    async def _request(
        self, path: str, query: Mapping[str, object], wait: float
    ) -> httpcore.Response:
        url = f"{self._url}{path}?{urlencode(query)}"
        try:
            with anyio.fail_after(wait + ANSWER_MARGIN_SECONDS):
                response = await self._pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: {exc!r}") from exc
        if response.status not in (OK_STATUS, GONE_STATUS):
            raise PlatformError(Code.PLATFORM_UNREACHABLE, f"{path}: status {response.status}")
        return response


class _HistoryGoneError(PlatformError):
    """The store no longer has the history after the requested revision."""


def _stated_era(response: httpcore.Response) -> int | None:
    """Return the era that an answer states, None if it states none that can be read."""
    for name, value in response.headers:
        if name.lower() == ERA_HEADER and value.isdigit() and len(value) <= MAX_ERA_DIGITS:
            return int(value)
    return None


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
            if not each.key.startswith(TOLERATED_PREFIXES):
                unreadable.append(f"{each.key}: {exc}")
                continue
            # Empty content is never a valid entry, so the endpoint is reported as unreadable and
            # no longer used. An evacuation needs no content.
            content = b""
        found.append(Event(each.key, each.rev, each.created_rev, each.deleted, content))
    return found, unreadable
