"""Selection of the entries announced to callers."""

import random
from dataclasses import dataclass

from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import Phase
from carawayhub.gateway.regions import AllowedRegions

MAX_ADDRESSES = 64
"""Maximum number of addresses that a caller reads from one answer."""

ANSWER_TTL_SECONDS = 1.0
"""Time for which callers are asked to cache an answer. Some cache it for three times as long. A
stopping entry must keep serving until then, and a caller of a crashed entry may lose that time."""


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """What a caller states when it looks up entries.

    Attributes:
        host: Host name that it wants to reach, empty if not stated.
        region: Its region, empty if not stated.
        failure_domain: Its failure domain, empty if not stated.
    """

    host: str = ""
    region: str = ""
    failure_domain: str = ""


class EntryDirectory:
    """Provides the addresses to which callers may connect.

    Args:
        gossip: Provides the other entries.
        own: ``ip:port`` of this entry for callers.
        rng: Selects the entries for an answer that can't list all of them.
        allowed: Allowed regions of hosts, and regions of failure domains.
    """

    __slots__ = ("_allowed", "_gossip", "_own", "_rng")

    def __init__(
        self, gossip: Gossip, own: str, rng: random.Random, allowed: AllowedRegions
    ) -> None:
        self._allowed = allowed
        self._gossip = gossip
        self._own = own
        self._rng = rng

    def addresses(self, query: DirectoryQuery) -> list[str]:
        """Return the addresses of entries that accept callers, a uniform sample if there are many.

        For a host with allowed regions these are entries there or in the caller's region, if any.
        If no entry can reach the store, the entries out of touch with it are returned. They still
        serve requests that need no key, and return an accurate retry time for others.
        """
        by_domain = self._in_phase(Phase.READY) or self._in_phase(Phase.OUT_OF_TOUCH)
        found = self._in_regions(by_domain, query) or [address for address, _ in by_domain]
        if len(found) > MAX_ADDRESSES:
            return self._rng.sample(found, MAX_ADDRESSES)
        return found

    def _in_regions(self, entries: list[tuple[str, str]], query: DirectoryQuery) -> list[str]:
        """Return the entries in the regions that suit a query, none if any region does."""
        allowed = self._allowed.of_host(query.host)
        if not allowed:
            return []
        wanted = allowed | {query.region} if query.region else allowed
        return [address for address, domain in entries if self._allowed.region_of(domain) in wanted]

    def _in_phase(self, phase: Phase) -> list[tuple[str, str]]:
        """Return the addresses and failure domains of the entries in a phase."""
        found = [(each.callers, each.failure_domain) for each in self._gossip.entries(phase)]
        own = (self._own, self._gossip.own.address.failure_domain)
        return [*found, own] if self._gossip.phase is phase else found
