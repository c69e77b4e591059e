"""Stand-in of an engine's prompt prefix cache, with events that come late and with gaps."""

import hashlib
import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum

BLOCK_CHARS = 64
HASH_BYTES = 8
MAX_EVENTS = 4096


class CacheEventKind(Enum):
    """What happened to a block."""

    ADDED = "added"
    REMOVED = "removed"


@dataclass(slots=True, frozen=True)
class CacheEvent:
    """One change of the cache; numbers rise by one, and a number that is missing was lost."""

    number: int
    kind: CacheEventKind
    block: int


@dataclass(slots=True, frozen=True)
class CacheEventPage:
    """Answer to a reader of events: the last number it may ask after, and what was kept."""

    last: int
    events: list[CacheEvent]


def prefix_blocks(text: str) -> list[int]:
    """Return one hash for each full block of ``text``; each covers all that stands before it.

    Example:
        >>> prefix_blocks("x" * 63)
        []
    """
    blocks: list[int] = []
    previous = b""
    for end in range(BLOCK_CHARS, len(text) + 1, BLOCK_CHARS):
        piece = text[end - BLOCK_CHARS : end].encode()
        previous = hashlib.blake2b(previous + piece, digest_size=HASH_BYTES).digest()
        blocks.append(int.from_bytes(previous, "big"))
    return blocks


class PrefixCache:
    """A bounded set of blocks that forgets the least recently used.

    Args:
        capacity: Blocks that it holds.
        lag: Seconds until an event can be read.
        loss: Part of the events that are never seen.
        seed: Seed of the loss.
    """

    __slots__ = ("_blocks", "_capacity", "_events", "_lag", "_loss", "_number", "_random")

    def __init__(self, capacity: int, lag: float = 0.0, loss: float = 0.0, seed: int = 0) -> None:
        self._capacity = capacity
        self._lag = lag
        self._loss = loss
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
        self._number = 0

    def use(self, blocks: list[int], now: float) -> int:
        """Return how many leading blocks are cached, and cache all of them."""
        hits = 0
        for block in blocks:
            if block not in self._blocks:
                break
            hits += 1
        for block in blocks:
            self._insert(block, now)
        return hits

    def page(self, after: int, now: float) -> CacheEventPage:
        """Return the events with a number above ``after`` that can be read by now."""
        visible = [e for at, e in self._events if e.number > after and at <= now]
        last = visible[-1].number if visible else after
        return CacheEventPage(last, visible)

    def _insert(self, block: int, now: float) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._note(CacheEventKind.ADDED, block, now)
        if len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._note(CacheEventKind.REMOVED, evicted, now)

    def _note(self, kind: CacheEventKind, block: int, now: float) -> None:
        self._number += 1
        if self._random.random() >= self._loss:
            self._events.append((now + self._lag, CacheEvent(self._number, kind, block)))
