"""Who works on what: requests in flight at each endpoint, of this entry and of its peers.

Endpoints report their load late, and what they report counts the same for every entry, so all would
send to the same one. An entry knows its own requests exactly and hears of its peers' several times
a second; together they show each endpoint's load before it reports it.
"""

import zlib
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

KEYS_KEPT = 16_384
"""Endpoints whose keys are kept at hand: three times those of the largest fleet planned for."""


@lru_cache(maxsize=KEYS_KEPT)
def work_key(endpoint_id: str) -> int:
    """Return the number that stands for an endpoint among entries: four bytes for thirteen.

    Of 5,400 endpoints two share a number with a chance of 0.3%; each is then held to have the
    load of both.
    """
    return zlib.crc32(endpoint_id.encode())


@dataclass(slots=True)
class Work:
    """Work in flight at one endpoint.

    Attributes:
        requests: Requests that were sent and not answered in full.
        reading: Prompt tokens of those whose first event has not come.
        tokens: Tokens, of prompt and expected answer, that they hold in memory.
    """

    requests: int = 0
    reading: int = 0
    tokens: int = 0

    def add(self, other: "Work", sign: int) -> None:
        """Add ``other``, or take it away where ``sign`` is -1."""
        self.requests += sign * other.requests
        self.reading += sign * other.reading
        self.tokens += sign * other.tokens


IDLE = Work()

Works = Mapping[int, Work]
"""Work by the keys of endpoints."""


class Loads:
    """Work in flight at the endpoints."""

    __slots__ = ("_own", "_peers", "_total", "_watchers")

    def __init__(self) -> None:
        self._watchers: list[Callable[[int], None]] = []
        self._own: dict[int, Work] = {}
        self._peers: dict[str, dict[int, Work]] = {}
        self._total: dict[int, Work] = {}

    def begin(self, endpoint_id: str, work: Work) -> None:
        """Count work that goes to an endpoint."""
        key = work_key(endpoint_id)
        self._own.setdefault(key, Work()).add(work, 1)
        self._total.setdefault(key, Work()).add(work, 1)
        self._changed(key)

    def watch(self, on_change: Callable[[int], None]) -> None:
        """Call ``on_change`` with the key of each endpoint whose requests change from now on."""
        self._watchers.append(on_change)

    def _changed(self, key: int) -> None:
        for on_change in self._watchers:
            on_change(key)

    def has_read(self, endpoint_id: str, tokens: int) -> None:
        """Note that an endpoint has read a prompt."""
        read = Work(reading=tokens)
        key = work_key(endpoint_id)
        self._own[key].add(read, -1)
        self._total[key].add(read, -1)

    def end(self, endpoint_id: str, work: Work) -> None:
        """Take work that has ended off the count."""
        key = work_key(endpoint_id)
        _take_off(self._own, key, work)
        _take_off(self._total, key, work)
        self._changed(key)

    def heard(self, teller: str, works: Works) -> None:
        """Put what is told of work in place of what the same teller said before."""
        before = self._peers.get(teller, {})
        self._peers[teller] = dict(works)
        for key, work in works.items():
            if work != (known := before.pop(key, IDLE)):
                self._move(key, known, work)
        for key, work in before.items():
            self._move(key, work, IDLE)

    def _move(self, key: int, before: Work, now: Work) -> None:
        """Put one work in place of another in the total of an endpoint."""
        total = self._total.setdefault(key, Work())
        total.add(now, 1)
        _take_off(self._total, key, before)
        self._changed(key)

    def forget(self, teller: str) -> None:
        """Drop what was told: a peer that is gone has no requests any more."""
        self.heard(teller, {})
        del self._peers[teller]

    def tellers(self) -> list[str]:
        """Return who told of work."""
        return list(self._peers)

    def own(self) -> Works:
        """Return the work of this entry."""
        return self._own

    def total(self, endpoint_id: str) -> Work:
        """Return all known work at an endpoint."""
        return self._total.get(work_key(endpoint_id), IDLE)

    def requests(self, key: int) -> int:
        """Return the requests known to be in flight at the endpoint that a key stands for."""
        return self._total.get(key, IDLE).requests

    def of(self, tellers: Iterable[str]) -> Works:
        """Return the work of this entry and of some tellers together."""
        found: dict[int, Work] = {}
        for works in (self._own, *(self._peers.get(each, {}) for each in tellers)):
            for key, work in works.items():
                found.setdefault(key, Work()).add(work, 1)
        return found

    def without(self, teller: str) -> Works:
        """Return all known work but what one teller told."""
        left = dict(self._total)
        for key, work in self._peers.get(teller, {}).items():
            total = left.get(key, IDLE)
            rest = Work(total.requests, total.reading, total.tokens)
            rest.add(work, -1)
            left[key] = rest
        return {key: work for key, work in left.items() if work.requests > 0}


def _take_off(works: dict[int, Work], key: int, work: Work) -> None:
    found = works.get(key)
    if found is None:
        return
    found.add(work, -1)
    if found.requests <= 0:
        del works[key]
