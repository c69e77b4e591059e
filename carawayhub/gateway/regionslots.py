"""Claims on the free slots of a service by requests that may run in some regions only.

Handles full regions beside others with free slots. Such requests compete for the slots of their own
regions. If they took part in the draw for all slots of the service, one that finds none in its
regions would use up the draw of the entry, and other requests would wait for the next.
"""

import random
from collections.abc import Mapping, Sequence

from carawayhub.clock import Clock
from carawayhub.gateway.freeslots import FreeSlots
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import Endpoint
from carawayhub.limits.claims import Claims

MAX_REGION_SETS = 64
"""Sets of regions with a count of their own; each costs time whenever the load of an endpoint
changes. Requests with further sets use the count of the whole service."""


class RegionShare:
    """Free slots in some regions, and the draws for them.

    Args:
        clock: Source of time.
        rng: Source of the draws.
        loads: Work in flight.
    """

    __slots__ = ("_claims", "_free")

    def __init__(self, clock: Clock, rng: random.Random, loads: Loads) -> None:
        self._free = FreeSlots(loads)
        self._claims = Claims(clock, rng)

    def may_acquire(
        self,
        endpoints: Sequence[Endpoint],
        limits: Mapping[str, int],
        arrivals: float,
        propagation_delay: float,
        *,
        returned: bool,
    ) -> bool:
        """Return whether this entry may acquire a slot in these regions; see ``Claims``.

        Args:
            endpoints: The endpoints there; the same sequence as long as they do not change.
            limits: Maximum number of requests in flight at each group that has a limit.
            arrivals: Requests that arrive for them at all entries within the propagation delay.
            propagation_delay: Seconds until entries receive each other's updates.
            returned: Whether the slot is for a request that was refused before.
        """
        free = self._free.count_free(endpoints, limits)
        return self._claims.may_acquire(free, arrivals, propagation_delay, returned)


class RegionShares:
    """The shares of a service by set of regions.

    Args:
        clock: Source of time.
        rng: Source of the draws.
        loads: Work in flight.
    """

    __slots__ = ("_clock", "_loads", "_rng", "_shares")

    def __init__(self, clock: Clock, rng: random.Random, loads: Loads) -> None:
        self._clock = clock
        self._rng = rng
        self._loads = loads
        self._shares: dict[frozenset[str], RegionShare] = {}

    def of(self, regions: frozenset[str] | None) -> RegionShare | None:
        """Return the share of some regions, None for all and for one set too many."""
        if regions is None:
            return None
        found = self._shares.get(regions)
        if found is None and len(self._shares) < MAX_REGION_SETS:
            found = self._shares[regions] = RegionShare(self._clock, self._rng, self._loads)
        return found
