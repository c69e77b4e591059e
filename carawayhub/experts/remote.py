"""Access to a rank through the agent on its VM, and the agent's side that answers."""

from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.experts.demand import GrowthMeter
from carawayhub.experts.mapwire import KnownMaps, MapChange, MapEncoder
from carawayhub.experts.model import (
    Arm,
    Disarm,
    Go,
    Growth,
    HeldExperts,
    Hold,
    OrderAnswer,
    Prepare,
    Rank,
    RankOrder,
    RankReport,
)
from carawayhub.peers.questions import Answer, Question, QuestionLink

RELAY = "relay"
REPORT = "report"
GROWTH = "growth"
EXPERTS = "experts"
MAP_CHANGE = "map change"
ORDER_TYPES: dict[str, type[Any]] = {
    "prepare": Prepare,
    "arm": Arm,
    "disarm": Disarm,
    "hold": Hold,
    "go": Go,
}
ORDER_NAMES = {kind: name for name, kind in ORDER_TYPES.items()}


class RemoteRank:
    """A rank that is accessed through the agent on its VM, or directly if the agent is silent.

    Args:
        link: Sends questions to agents.
        ip: IP address of the rank's VM.
        direct: Client of the rank itself. Direct requests are costly, so they are only made while
            the agent doesn't answer.
        maps: Encoder of the maps sent to the rank, shared by the ranks of its group.

    Attributes:
        silent: Number of consecutive questions that the agent did not answer.
    """

    __slots__ = ("_direct", "_ip", "_link", "_maps", "silent")

    def __init__(
        self, link: QuestionLink, ip: str, direct: Rank, maps: MapEncoder | None = None
    ) -> None:
        self._link = link
        self._ip = ip
        self._direct = direct
        self._maps = maps or MapEncoder()
        self.silent = 0

    async def report(self) -> RankReport:
        """Return the state of the rank; see ``Rank``."""
        content = await self._ask(REPORT)
        if content is None:
            return await self._direct.report()
        return _decode(content, RankReport)

    async def growth(self) -> Growth:
        """Return the growth of the rank's counters since its agent was last asked.

        Raises:
            GroupError: RANK_UNREACHABLE if the agent is silent, since reading the counters directly
                from another VM is costly.
        """
        content = await self._ask(GROWTH)
        if content is None:
            raise GroupError(Code.RANK_UNREACHABLE, self._ip)
        return _decode(content, Growth)

    async def held_experts(self) -> HeldExperts:
        """Return the experts that the rank holds; see ``Rank``."""
        content = await self._ask(EXPERTS)
        if content is None:
            return await self._direct.held_experts()
        return _decode(content, HeldExperts)

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Send an order; see ``Rank``."""
        if self.silent:
            return await self._direct.order(order, epoch, fence)
        if isinstance(order, Prepare):
            return _order_answer(await self._prepare(order, epoch, fence))
        content = msgspec.msgpack.encode(order)
        return _order_answer(await self._send(ORDER_NAMES[type(order)], content, epoch, fence))

    async def _prepare(self, order: Prepare, epoch: int, fence: int) -> Answer | None:
        """Send a map as a difference, or the full map to an agent that cannot apply that."""
        change = self._maps.encode_change(order)
        if change is not None:
            answer = await self._send(MAP_CHANGE, change, epoch, fence)
            if answer is None or answer.ok:
                return answer
            reason = answer.content.decode(errors="replace")
            logger.bind(agent=self._ip, reason=reason).info(
                "agent could not apply the map difference; sending the full map"
            )
        return await self._send(ORDER_NAMES[Prepare], self._maps.encode_full(order), epoch, fence)

    async def _send(self, subject: str, content: bytes, epoch: int, fence: int) -> Answer | None:
        answer = await self._link.ask(self._ip, subject, content, epoch, fence)
        self.silent = 0 if answer is not None else self.silent + 1
        return answer

    async def _ask(self, subject: str) -> bytes | None:
        """Return the agent's answer, None if it is silent.

        Raises:
            GroupError: The agent could not read its rank.
        """
        answer = await self._link.ask(self._ip, subject)
        self.silent = 0 if answer is not None else self.silent + 1
        if answer is None:
            return None
        if not answer.ok:
            raise GroupError(Code.RANK_UNREACHABLE, answer.content.decode(errors="replace"))
        return answer.content


class RelayedOrder(msgspec.Struct, array_like=True):
    """An order that an agent relays to a rank on another VM.

    Attributes:
        instance: Id of the rank's replica.
        host: IP address of its VM.
        port: Port of the replica.
        order: Name of the order.
        content: The order in MessagePack.
    """

    instance: str
    host: str
    port: int
    order: str
    content: bytes


class RelayedOrders:
    """Sends orders to a rank through the agent of another rank.

    Args:
        link: Sends questions to agents.
        ip: IP address of the VM whose agent relays the orders.
        instance: Id of the rank's replica.
        address: Address of the replica.
    """

    __slots__ = ("_address", "_instance", "_ip", "_link")

    def __init__(self, link: QuestionLink, ip: str, instance: str, address: Address) -> None:
        self._link = link
        self._ip = ip
        self._instance = instance
        self._address = address

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Send an order; see ``OrderReceiver``."""
        relayed = RelayedOrder(
            self._instance,
            self._address.host,
            self._address.port,
            ORDER_NAMES[type(order)],
            msgspec.msgpack.encode(order),
        )
        content = msgspec.msgpack.encode(relayed)
        answer = await self._link.ask(self._ip, RELAY, content, epoch, fence)
        return _order_answer(answer)


async def relay(question: Question, direct: Callable[[Address, str], Rank]) -> Answer:
    """Send an order to a rank on another VM, on behalf of another agent.

    Args:
        question: The question with the relayed order.
        direct: Creates a client for the replica with an instance id at an address.
    """
    try:
        relayed = msgspec.msgpack.decode(question.content, type=RelayedOrder)
        order = msgspec.msgpack.decode(relayed.content, type=ORDER_TYPES[relayed.order])
    except (msgspec.DecodeError, KeyError) as exc:
        return _answer(question, ok=False, content=repr(exc).encode())
    rank = direct(Address(relayed.host, relayed.port), relayed.instance)
    answer = await rank.order(order, question.epoch, question.fence)
    return _answer(question, ok=True, content=answer.value.encode())


def _order_answer(answer: Answer | None) -> OrderAnswer:
    if answer is None or not answer.ok:
        return OrderAnswer.UNKNOWN
    try:
        return OrderAnswer(answer.content.decode())
    except ValueError:
        return OrderAnswer.UNKNOWN


class RankResponder:
    """Answers questions of other agents about the rank on this VM.

    Args:
        rank: The rank.
        meter: Measures the growth of its counters.
    """

    __slots__ = ("_maps", "_meter", "_rank")

    def __init__(self, rank: Rank, meter: GrowthMeter) -> None:
        self._rank = rank
        self._meter = meter
        self._maps = KnownMaps()

    async def answer(self, question: Question) -> Answer:
        """Return the answer to a question."""
        try:
            content = await self._content(question)
        except (GroupError, msgspec.DecodeError) as exc:
            return _answer(question, ok=False, content=str(exc).encode())
        return _answer(question, ok=True, content=content)

    async def _content(self, question: Question) -> bytes:
        match question.subject:
            case "report":
                return msgspec.msgpack.encode(await self._rank.report())
            case "growth":
                return msgspec.msgpack.encode(self._meter.measure(await self._rank.counts()))
            case "experts":
                return msgspec.msgpack.encode(await self._rank.held_experts())
            case "map change":
                change = msgspec.msgpack.decode(question.content, type=MapChange)
                return await self._order(self._maps.apply(change), question)
            case name if name in ORDER_TYPES:
                order = msgspec.msgpack.decode(question.content, type=ORDER_TYPES[name])
                return await self._order(order, question)
            case other:
                raise GroupError(Code.RANK_MALFORMED, f"unknown question {other!r}")

    async def _order(self, order: RankOrder, question: Question) -> bytes:
        if isinstance(order, Prepare):
            self._maps.add(order)
        answer = await self._rank.order(order, question.epoch, question.fence)
        return answer.value.encode()


def _answer(question: Question, *, ok: bool, content: bytes) -> Answer:
    return Answer(number=question.number, asker=question.asker, ok=ok, content=content)


def _decode(content: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except msgspec.DecodeError as exc:
        raise GroupError(Code.RANK_MALFORMED, str(exc)) from exc
