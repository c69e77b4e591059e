"""Who belongs to a group: found by the agent beside rank 0, told to the others."""

import hashlib
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.errors import GroupError
from carawayhub.experts.mapwire import MapEncoder
from carawayhub.experts.model import Rank, RankReport, ReadableRank, TakesOrders
from carawayhub.experts.remote import RelayedOrders, RemoteRank
from carawayhub.gateway.model import EngineProfile
from carawayhub.peers.questions import QuestionLink

FIRST_ROSTER_SECONDS = 0.3
ROSTER_SECONDS = 2.0
"""Seconds between two readings of the published endpoints while ranks of the group are missing, at
first and at the most. Some ranks register themselves half a second after their group is open; two
seconds more under the first map made a backlog after a loss of power that lasted four."""

MEMBERS = "members"
"""Subject of the message by which the agent beside rank 0 tells who belongs together."""

ALIVE = "alive"
"""Subject of its message that it lives. It names the members by a checksum: their list, a kilobyte
for each agent and look, took 40 ms on a link of 4 Mbit/s before each change."""


SURE_TRIES = 2
"""Times that an agent is told which must have heard it for a change to go on. Its silence would end
the change and with it what all ranks have copied."""


class Roster(Protocol):
    """Where the agents of a service are found."""

    async def replicas(self, group: str) -> Sequence[tuple[str, Address]]:
        """Return the instance id and address of each replica that may belong to a group.

        Raises:
            PlatformError: The store does not answer.
        """

    async def profile(self) -> EngineProfile | None:
        """Return the profile of the service's engines, None while the store has not named it.

        Raises:
            PlatformError: As above.
        """


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Where a rank of the group is found.

    Attributes:
        rank: Its position.
        instance: Id of its replica.
        host: IP number of its VM.
        port: Port of its replica.
    """

    rank: int
    instance: str
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Where its replica listens."""
        return Address(self.host, self.port)


class Family(msgspec.Struct, frozen=True, array_like=True):
    """The ranks of one formation of a group.

    Attributes:
        group: Name of the group.
        epoch: The formation; in a new one a replica may be another incarnation.
        members: Its ranks.
    """

    group: str
    epoch: int
    members: tuple[Member, ...]

    def is_of(self, report: RankReport) -> bool:
        """Return whether a rank that reports so belongs to it."""
        return (self.group, self.epoch) == (report.group, report.epoch)


class GroupMembers:
    """The ranks of one group as one agent reaches them.

    Args:
        ip: IP number of this VM.
        link: Reaches agents.
        direct: Makes a client of a replica at an address, which must have an instance id.
        roster: Finds replicas.
        clock: Source of time.

    Attributes:
        family: The ranks, None while they are not known.
        maps: Encodes the maps that the ranks returned last are told.
    """

    __slots__ = (
        "_clock",
        "_direct",
        "_due",
        "_ip",
        "_link",
        "_roster",
        "_roster_pause",
        "family",
        "maps",
    )

    def __init__(
        self,
        ip: str,
        link: QuestionLink,
        direct: Callable[[Address, str], Rank],
        roster: Roster,
        clock: Clock,
    ) -> None:
        self._ip = ip
        self._link = link
        self._direct = direct
        self._roster = roster
        self._clock = clock
        self._due = 0.0
        self._roster_pause = FIRST_ROSTER_SECONDS
        self.family: Family | None = None
        self.maps = MapEncoder()

    async def find(self, report: RankReport) -> bool:
        """Find all ranks of the group of a rank; return whether all were found.

        Raises:
            PlatformError: The store does not answer.
        """
        if not self.is_due():
            return False
        listed = await self._roster.replicas(report.group)
        found: dict[int, Member] = {}

        async def ask(instance: str, address: Address) -> None:
            rank = RemoteRank(self._link, address.host, self._direct(address, instance))
            try:
                told = await rank.report()
            except GroupError as exc:
                logger.bind(replica=instance, error=str(exc)).info("replica cannot be read")
                return
            if (told.group, told.epoch) == (report.group, report.epoch):
                found[told.rank] = Member(told.rank, instance, address.host, address.port)

        async with anyio.create_task_group() as tasks:
            for instance, address in listed:
                tasks.start_soon(ask, instance, address)
        if len(found) != report.size:
            logger.bind(found=len(found), size=report.size).info("ranks are missing")
            return False
        members = tuple(found[rank] for rank in sorted(found))
        self.family = Family(report.group, report.epoch, members)
        self._roster_pause = FIRST_ROSTER_SECONDS
        return True

    def is_due(self) -> bool:
        """Return whether the store may be read again; each reading has a price."""
        now = self._clock.monotonic()
        if now < self._due:
            return False
        self._due = now + self._roster_pause
        self._roster_pause = min(2 * self._roster_pause, ROSTER_SECONDS)
        return True

    def ranks(self, own: int, beside: Rank) -> dict[int, ReadableRank]:
        """Return all ranks by position.

        Args:
            own: Position of the rank on this VM.
            beside: That rank.
        """
        maps = self.maps = MapEncoder()
        ranks: dict[int, ReadableRank] = {}
        for each in self.family.members if self.family is not None else ():
            direct = self._direct(each.address, each.instance)
            ranks[each.rank] = RemoteRank(self._link, each.host, direct, maps)
        ranks[own] = beside
        return ranks

    def detour(self) -> TakesOrders | None:
        """Return the way to rank 0 over the agent beside rank 1, None for a group of one.

        The orders name no instance. After a crash the entries of two incarnations stand at one
        address for some seconds, and the one found need not be the one that lives; it would refuse
        every hold. The formation that an order names tells incarnations apart as well.
        """
        members = self.family.members if self.family is not None else ()
        if len(members) < 2:
            return None
        first, second = members[0], members[1]
        return RelayedOrders(self._link, second.host, "", first.address)

    async def tell(self, tries: int = 1) -> bool:
        """Tell all agents that this one lives and who belongs together.

        Args:
            tries: How often an agent is told that does not answer.

        Returns:
            Whether every one of them has heard it.
        """
        if self.family is None:
            return False
        content = msgspec.msgpack.encode(self.family)
        checksum = _checksum(content)
        others = [each.host for each in self.family.members if each.host != self._ip]
        heard: list[str] = []

        async def tell(host: str) -> None:
            for _ in range(tries):
                answer = await self._link.ask(host, ALIVE, checksum)
                if answer is not None and not answer.ok:
                    answer = await self._link.ask(host, MEMBERS, content)
                if answer is not None:
                    heard.append(host)
                    return

        async with anyio.create_task_group() as tasks:
            for host in others:
                tasks.start_soon(tell, host)
        return len(heard) == len(others)

    async def tell_surely(self) -> bool:
        """Tell all agents as ``tell`` does, those that do not answer again."""
        return await self.tell(SURE_TRIES)

    def knows(self, checksum: bytes) -> bool:
        """Return whether the ranks known here are those that a checksum stands for."""
        if self.family is None:
            return False
        return _checksum(msgspec.msgpack.encode(self.family)) == checksum


def _checksum(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=8).digest()
