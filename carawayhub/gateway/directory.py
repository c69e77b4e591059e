"""Selection of the entries announced to callers."""

import random

from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import Phase

MAX_ADDRESSES = 64
"""Maximum number of addresses that a caller reads from one answer."""

ANSWER_TTL_SECONDS = 1.0
"""Time for which callers are asked to cache an answer. Some cache it for three times as long. A
stopping entry must keep serving until then, and a caller of a crashed entry may lose that time."""


class EntryDirectory:
    """Provides the addresses to which callers may connect.

    Args:
        gossip: Provides the other entries.
        own: ``ip:port`` of this entry for callers.
        rng: Selects the entries for an answer that can't list all of them.
    """

    __slots__ = ("_gossip", "_own", "_rng")

    def __init__(self, gossip: Gossip, own: str, rng: random.Random) -> None:
        self._gossip = gossip
        self._own = own
        self._rng = rng

    def addresses(self) -> list[str]:
        """Return the addresses of entries that accept callers, a uniform sample if there are many.

        If no entry can reach the store, the entries out of touch with it are returned. They still
        serve requests that need no key, and return an accurate retry time for others.
        """
        found = self._in_phase(Phase.READY) or self._in_phase(Phase.OUT_OF_TOUCH)
        if len(found) > MAX_ADDRESSES:
            return self._rng.sample(found, MAX_ADDRESSES)
        return found

    def _in_phase(self, phase: Phase) -> list[str]:
        found = [each.callers for each in self._gossip.entries(phase)]
        return [*found, self._own] if self._gossip.phase is phase else found
