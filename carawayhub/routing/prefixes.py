"""Tracks the prompt prefixes that each endpoint holds, from delayed and lossy cache events."""

import hashlib
from collections.abc import Sequence

from carawayhub.peers.messages import CacheEvents

TOTAL_BLOCKS = 60_000
MIN_BLOCKS = 256
HOME_DEPTH = 4


class KnownBlocks:
    """Prefix blocks that one endpoint is known to hold.

    If an eviction event is lost, the block still looks cached, and requests keep going to a loaded
    endpoint without a cache hit. Events carry sequence numbers, so a gap in them drops all known
    blocks, and only blocks added by later events count. To bound memory, the oldest blocks are
    dropped above a maximum.
    """

    __slots__ = ("_blocks", "_next_sequence", "gaps")

    def __init__(self) -> None:
        self._blocks: dict[int, None] = {}
        self._next_sequence: int | None = None
        self.gaps = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def observe(self, events: CacheEvents, max_blocks: int) -> None:
        """Apply the events of one report, skipping a report that was applied before.

        Args:
            events: The events.
            max_blocks: Maximum number of blocks to remember.
        """
        count = len(events.added) + len(events.removed)
        if events.first + count <= (self._next_sequence or 0):
            return
        if self._next_sequence is not None and events.first != self._next_sequence:
            self._blocks.clear()
            self.gaps += 1
        self._next_sequence = events.first + count
        self._apply(events, max_blocks)

    def forget(self) -> None:
        """Drop all blocks after the endpoint restarted or its events may have been missed."""
        self._blocks.clear()
        self._next_sequence = None

    def count_leading(self, blocks: Sequence[int]) -> int:
        """Return the number of leading ``blocks`` that are held."""
        known = self._blocks
        count = 0
        for block in blocks:
            if block not in known:
                return count
            count += 1
        return count

    def _apply(self, events: CacheEvents, max_blocks: int) -> None:
        for block in events.added:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        for block in events.removed:
            self._blocks.pop(block, None)
        while len(self._blocks) > max_blocks:
            del self._blocks[next(iter(self._blocks))]


def max_blocks_per_endpoint(endpoints: int) -> int:
    """Return how many blocks to remember per endpoint; each takes about 75 bytes."""
    return max(MIN_BLOCKS, TOTAL_BLOCKS // max(1, endpoints))


def home_key(blocks: Sequence[int]) -> int:
    """Return the rendezvous hashing key of a prefix.

    The endpoint with the highest ``rendezvous_rank`` for the key is the prefix's home. All entries
    choose the same home without exchanging messages, so a prefix is computed once and not once per
    entry.

    Args:
        blocks: Hashes of the prompt's prefix blocks, at least one. Only the first ``HOME_DEPTH``
            determine the key.
    """
    return blocks[min(len(blocks), HOME_DEPTH) - 1]


def rendezvous_rank(name: str, key: int) -> int:
    """Return the rank of ``name`` for ``key``; the name with the highest rank is the home."""
    mixed = (name_seed(name) ^ (key & _MASK)) * _MULTIPLIER & _MASK
    return (mixed ^ mixed >> 32) * _MULTIPLIER & _MASK


_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15
_SEEDS: dict[str, int] = {}


def name_seed(name: str) -> int:
    """Return a 64-bit hash of ``name`` that is the same in every process."""
    seed = _SEEDS.get(name)
    if seed is None:
        digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
        seed = _SEEDS[name] = int.from_bytes(digest, "big")
    return seed
