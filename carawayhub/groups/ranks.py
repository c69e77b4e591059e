"""Interface to one rank of a lock-step group."""

from typing import Protocol

from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, Reply


class RankPort(Protocol):
    """Operations on a rank that the decider uses.

    A call may raise GroupError RANK_UNREACHABLE. The order may then have been obeyed or not, and
    may still arrive. The same is true of a cancelled call.
    """

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""

    async def order(self, order: Order) -> Reply:
        """Send an order and return the rank's reply."""

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map that the rank holds or is staging.

        Raises:
            GroupError: RANK_UNREACHABLE, or ORDER_REFUSED if the rank does not know the map.
        """
