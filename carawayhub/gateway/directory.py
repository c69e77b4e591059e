"""Which entries callers are told to use."""

import random

from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import Phase

MAX_ADDRESSES = 64
"""Addresses that a caller reads of one answer."""

ANSWER_TTL_SECONDS = 1.0
"""Seconds for which callers are asked to keep an answer. Some keep it three times as long; a
stopping entry must serve until then, and a caller of a dead one loses up to that time."""


class EntryDirectory:
    """Answers callers that ask where to connect.

    Args:
        gossip: Knows the other entries.
        own: ``ip:port`` of this entry for callers.
        rng: Draws the entries named by answers that cannot name all.
    """

    __slots__ = ("_gossip", "_own", "_rng")

    def __init__(self, gossip: Gossip, own: str, rng: random.Random) -> None:
        self._gossip = gossip
        self._own = own
        self._rng = rng

    def addresses(self) -> list[str]:
        """Return the addresses of entries that take callers, each with equal chance.

        While the store answers none of them, all are out of touch with it: then those are named,
        since they still serve what needs no key and tell the rest truly when to come back.
        """
        found = self._in_phase(Phase.READY) or self._in_phase(Phase.OUT_OF_TOUCH)
        if len(found) > MAX_ADDRESSES:
            return self._rng.sample(found, MAX_ADDRESSES)
        return found

    def _in_phase(self, phase: Phase) -> list[str]:
        found = [each.callers for each in self._gossip.entries(phase)]
        return [*found, self._own] if self._gossip.phase is phase else found
