"""Faults on the way to a stand-in rank."""

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, Reply
from carawayhub.groups.ranks import RankPort


class FaultyPort:
    """A port whose orders are lost, held back or repeated.

    Attributes:
        cut: Lose everything, as in a partition.
        lose: Kinds of order of which the next one is lost.
        lose_reply: Kinds of order of which the next one is obeyed and its reply lost.
        hold: Kinds of order that are held back until ``deliver_held``.
        given: Every order that reached the rank, for ``repeat``.
    """

    def __init__(self, port: RankPort) -> None:
        self._port = port
        self.cut = False
        self.lose: set[type] = set()
        self.lose_reply: set[type] = set()
        self.hold: set[type] = set()
        self.held: list[Order] = []
        self.given: list[Order] = []

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._port.rank

    async def order(self, order: Order) -> Reply:
        """Give an order through the faults."""
        kind = type(order)
        if self.cut or kind in self.lose:
            self.lose.discard(kind)
            raise self._lost()
        if kind in self.hold:
            self.held.append(order)
            raise self._lost()
        self.given.append(order)
        reply = await self._port.order(order)
        if kind in self.lose_reply:
            self.lose_reply.discard(kind)
            raise self._lost()
        return reply

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Read a map through the faults."""
        if self.cut:
            raise self._lost()
        return await self._port.read_map(wanted)

    async def deliver_held(self) -> None:
        """Deliver all that was held back; the replies are lost."""
        self.hold.clear()
        held, self.held = self.held, []
        for order in held:
            await self._port.order(order)

    async def repeat(self) -> None:
        """Deliver again, newest first, every order that ever reached the rank."""
        for order in reversed(self.given):
            await self._port.order(order)

    def _lost(self) -> GroupError:
        return GroupError(Code.RANK_UNREACHABLE, f"rank {self.rank} does not answer")
