"""Rank ports that withhold orders of an agent that may have been replaced."""

from collections.abc import Awaitable, Callable

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, Reply
from carawayhub.groups.ranks import RankPort

CHECK_TIMEOUT_SECONDS = 5.0


class CheckedRank:
    """A port that withholds orders while the configuration is unverified after a pause.

    A paused agent may resume in the middle of a function with an order about to be sent. Meanwhile
    its VM may have been replaced or its group changed, and engines that don't check fencing numbers
    would accept the order. It is sent only after a peer with the same configuration has replied; a
    newer configuration stops the decider and drops the order. ``HttpRank`` detects a later pause,
    since it checks again at each write. Neither covers an order in flight when the pause begins;
    the rules of the ranks themselves guard against that.

    Args:
        port: The rank.
        checked: Waits up to some seconds for verification; returns whether it succeeded.
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
        """Send an order once the configuration is verified.

        Raises:
            GroupError: RANK_UNREACHABLE, also if the configuration was not verified in time.
        """
        if not await self._checked(CHECK_TIMEOUT_SECONDS):
            raise GroupError(Code.RANK_UNREACHABLE, "paused: the configuration is not verified yet")
        return await self._port.order(order)

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map; reads change nothing and are never withheld."""
        return await self._port.read_map(wanted)


class LeasedRank:
    """A port that sends orders only with a valid lease.

    Args:
        port: The rank.
        leased: Returns whether the lease is valid.
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
        """Send an order.

        Raises:
            GroupError: LEASE_LAPSED if this agent may no longer decide.
        """
        if not self._leased():
            raise self._lapsed_error()
        try:
            return await self._port.order(order)
        except GroupError as exc:
            # An order withheld right before its write doesn't show that the rank is lost.
            if self._leased():
                raise
            raise self._lapsed_error() from exc

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map; reads change nothing and are never withheld."""
        return await self._port.read_map(wanted)

    def _lapsed_error(self) -> GroupError:
        return GroupError(Code.LEASE_LAPSED, f"rank {self.rank}: order withheld")
