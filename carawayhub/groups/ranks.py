"""The port to one rank of a lock-step group."""

from typing import Protocol

from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, Reply


class RankPort(Protocol):
    """What the decider needs of a rank.

    A call may end with GroupError RANK_UNREACHABLE; the order may then have been obeyed or not,
    and may still arrive. A call that is cancelled leaves the same doubt.
    """

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""

    async def order(self, order: Order) -> Reply:
        """Give an order and return the rank's answer."""

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map that the rank holds or stages.

        Raises:
            GroupError: RANK_UNREACHABLE, or ORDER_REFUSED where the rank does not know the map.
        """
