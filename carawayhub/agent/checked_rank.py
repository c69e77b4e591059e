"""A rank that gets no orders from an agent that may have been replaced."""

from collections.abc import Awaitable, Callable

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, Reply
from carawayhub.groups.ranks import RankPort

CHECK_TIMEOUT_SECONDS = 5.0


class CheckedRank:
    """A port that holds orders back while a pause leaves the configuration in doubt.

    A paused agent wakes in the middle of a function with an order in hand. Its VM may have been
    replaced meanwhile, or its group changed: engines that check no fencing numbers would take the
    order. It is given only after a peer was heard that has the same configuration; a newer one
    ends the decider, and the order with it. A pause after that is for the port to notice, which
    looks once more as it writes (``HttpRank``). What is in flight when the pause begins is beyond
    both, and is what the ranks' own rules are for.

    Args:
        port: The rank.
        checked: Waits some seconds for the doubt to end; returns whether it did.
    """

    __slots__ = ("_checked", "_port")

    def __init__(self, port: RankPort, checked: Callable[[float], Awaitable[bool]]) -> None:
        self._port = port
        self._checked = checked

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._port.rank

    async def order(self, order: Order) -> Reply:
        """Give an order once nothing is in doubt.

        Raises:
            GroupError: RANK_UNREACHABLE, also where the doubt did not end in time.
        """
        if not await self._checked(CHECK_TIMEOUT_SECONDS):
            raise GroupError(Code.RANK_UNREACHABLE, "paused: the configuration is not checked yet")
        return await self._port.order(order)

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map; reading changes nothing and is not held back."""
        return await self._port.read_map(wanted)


class LeasedRank:
    """A port that gives no order without a valid lease.

    Args:
        port: The rank.
        leased: Whether the lease is valid.
    """

    __slots__ = ("_leased", "_port")

    def __init__(self, port: RankPort, leased: Callable[[], bool]) -> None:
        self._port = port
        self._leased = leased

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._port.rank

    async def order(self, order: Order) -> Reply:
        """Give an order.

        Raises:
            GroupError: LEASE_LAPSED where this agent may no longer decide.
        """
        if not self._leased():
            raise self._lapsed()
        try:
            return await self._port.order(order)
        except GroupError as exc:
            # An order held back right before its write says nothing of the rank.
            if self._leased():
                raise
            raise self._lapsed() from exc

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map; reading changes nothing and is not held back."""
        return await self._port.read_map(wanted)

    def _lapsed(self) -> GroupError:
        return GroupError(Code.LEASE_LAPSED, f"rank {self.rank}: order withheld")
