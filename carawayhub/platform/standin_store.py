"""Simulated platform store, for tests with the real programs."""

import base64
from collections import deque
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import anyio
import msgspec

from carawayhub.constants import JSON_TYPE
from carawayhub.entry.calls import Receive, Send

MAX_HISTORY_EVENTS = 200
"""Most changes that the store keeps for watches."""

MAX_PAGE_ITEMS = 500
"""Most items in a page of a listing."""

OK = 200
GONE = 410
UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One key of the store.

    Attributes:
        created: Revision at which the key was first written.
        revision: Revision of its last write.
        content: The written value.
    """

    created: int
    revision: int
    content: bytes


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the store at one revision."""

    revision: int
    items: dict[str, StoreItem]
    history: tuple[dict[str, Any], ...]


class StandinStore:
    """A store that serves listings and watches, can be unavailable and can return from a copy.

    Attributes:
        down: Whether every call is rejected.
        revision: The newest revision.
        era: Era stated in each answer; it rises with each return from a copy.
        stated_era: Text stated in place of the era, None to leave the header out.
        page_items: Most items in a page of a listing.
        listings: Answered pages of listings with items.
    """

    def __init__(self) -> None:
        self.down = False
        self.revision = 0
        self.era = 1
        self.stated_era: str | None = ""
        self.page_items = MAX_PAGE_ITEMS
        self.listings = 0
        self._items: dict[str, StoreItem] = {}
        self._history: deque[dict[str, Any]] = deque(maxlen=MAX_HISTORY_EVENTS)
        self._compacted = 0
        self._changed = anyio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a value; the write is acknowledged when this returns."""
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known is not None else self.revision
        item = StoreItem(created, self.revision, msgspec.json.encode(value))
        self._items[key] = item
        self._publish(_listed(key, item))

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"Key": key, "Rev": self.revision, "Deleted": True})

    def content(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""
        item = self._items.get(key)
        return item.content if item is not None else None

    def copy(self) -> StoreCopy:
        """Return a copy of everything."""
        return StoreCopy(self.revision, dict(self._items), tuple(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Return from a copy: later writes are lost and their revisions are given out again."""
        self.era += 1
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history.clear()
        self._history.extend(copy.history)
        self._compacted = 0
        self._notify()

    def compact(self) -> None:
        """Drop the history; watches from a former revision are rejected."""
        self._history.clear()
        self._compacted = self.revision
        self._notify()

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer a call."""
        query = {name: found[0] for name, found in parse_qs(scope["query_string"].decode()).items()}
        if self.down:
            await self._answer(send, UNAVAILABLE, {})
            return
        if scope["path"] == "/v1/kv-range":
            await self._answer(send, OK, self._range(query))
            return
        after, era = int(query.get("After", 0)), self.era
        with anyio.move_on_after(int(query.get("WaitMs", 0)) / 1000):
            while self.revision <= after and self.era == era and not self._lacks(after):
                await self._changed.wait()
        if self.down:
            await self._answer(send, UNAVAILABLE, {})
        elif self._lacks(after):
            await self._answer(send, GONE, {})
        else:
            events = [each for each in self._history if each["Rev"] > after]
            await self._answer(send, OK, {"events": events, "CurrentRev": self.revision})

    def _lacks(self, after: int) -> bool:
        """Return whether the history does not reach back to a revision, or not up to it."""
        dropped = bool(self._history) and self._history[0]["Rev"] > after + 1
        return dropped or after < self._compacted or after > self.revision

    def _range(self, query: dict[str, str]) -> dict[str, Any]:
        prefix, after = query.get("Prefix", ""), query.get("After", "")
        items = [
            _listed(key, item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        self.listings += bool(items)
        return {
            "Items": items[: self.page_items],
            "HasMore": len(items) > self.page_items,
            "CurrentRev": self.revision,
        }

    def _publish(self, event: dict[str, Any]) -> None:
        self._history.append(event)
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _answer(self, send: Send, status: int, body: object) -> None:
        headers = []
        if self.stated_era is not None:
            stated = self.stated_era or str(self.era)
            headers.append((b"store-era", stated.encode()))
        await answer_json(send, status, body, headers)


def _listed(key: str, item: StoreItem) -> dict[str, Any]:
    return {
        "Key": key,
        "Value": base64.b64encode(item.content).decode(),
        "Rev": item.revision,
        "CreatedRev": item.created,
    }


async def answer_json(
    send: Send, status: int, body: object, headers: list[tuple[bytes, bytes]] | None = None
) -> None:
    """Send a complete answer with a JSON body."""
    data = msgspec.json.encode(body)
    found = [(b"content-type", JSON_TYPE), (b"content-length", str(len(data)).encode())]
    found += headers or []
    await send({"type": "http.response.start", "status": status, "headers": found})
    await send({"type": "http.response.body", "body": data})
