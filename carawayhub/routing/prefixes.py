"""Which prompt prefixes each endpoint is known to hold, from late cache events with gaps."""

import hashlib
from collections.abc import Sequence

from carawayhub.peers.messages import CacheEvents

TOTAL_BLOCKS = 60_000
MIN_BLOCKS = 256
HOME_DEPTH = 4


class KnownBlocks:
    """The prefix blocks that one endpoint is known to hold.

    Guards against lost events: an eviction that was never heard would leave a block that is gone
    looking cached, and requests would keep going to a loaded endpoint for nothing. Events carry
    sequence numbers; at a gap all that was known is dropped, and only what later events add counts.
    Memory holds because the oldest blocks are forgotten past the room that is given.
    """

    __slots__ = ("_blocks", "_next", "gaps")

    def __init__(self) -> None:
        self._blocks: dict[int, None] = {}
        self._next: int | None = None
        self.gaps = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def __len__(self) -> int:
        return len(self._blocks)

    def observe(self, events: CacheEvents, room: int) -> None:
        """Apply the events of one report; events heard before are skipped.

        Args:
            events: The events.
            room: Blocks to remember at most.
        """
        count = len(events.added) + len(events.removed)
        if events.first + count <= (self._next or 0):
            return
        if self._next is not None and events.first != self._next:
            self._blocks.clear()
            self.gaps += 1
        self._next = events.first + count
        self._apply(events, room)

    def forget(self) -> None:
        """Drop everything: the endpoint was restarted, or its events were not heard for a time."""
        self._blocks.clear()
        self._next = None

    def leading(self, blocks: Sequence[int]) -> int:
        """Return how many of ``blocks``, counted from the start, are held."""
        known = self._blocks
        count = 0
        for block in blocks:
            if block not in known:
                return count
            count += 1
        return count

    def _apply(self, events: CacheEvents, room: int) -> None:
        for block in events.added:
            self._blocks.pop(block, None)
            self._blocks[block] = None
        for block in events.removed:
            self._blocks.pop(block, None)
        while len(self._blocks) > room:
            del self._blocks[next(iter(self._blocks))]


def blocks_room(endpoints: int) -> int:
    """Return how many blocks to remember of each endpoint, about 75 bytes each."""
    return max(MIN_BLOCKS, TOTAL_BLOCKS // max(1, endpoints))


def home_key(blocks: Sequence[int]) -> int:
    """Return the number by which the home of a prefix is found.

    The endpoint with the highest ``rendezvous_rank`` for it is the home. Entries agree without a
    message, so a prefix is computed once and not once for each entry.

    Args:
        blocks: Hashes of the prompt's prefix blocks, at least one; the first ``HOME_DEPTH`` decide.
    """
    return blocks[min(len(blocks), HOME_DEPTH) - 1]


def rendezvous_rank(name: str, key: int) -> int:
    """Return the rank of ``name`` for ``key``; the highest of all names is the key's home."""
    mixed = (name_seed(name) ^ (key & _MASK)) * _MULTIPLIER & _MASK
    return (mixed ^ mixed >> 32) * _MULTIPLIER & _MASK


_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15
_SEEDS: dict[str, int] = {}


def name_seed(name: str) -> int:
    """Return a 64-bit number for ``name`` that is the same in every process."""
    seed = _SEEDS.get(name)
    if seed is None:
        digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
        seed = _SEEDS[name] = int.from_bytes(digest, "big")
    return seed
