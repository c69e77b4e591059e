"""Membership of a group: the agent beside rank 0 finds the members and announces them."""

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
from carawayhub.experts.model import OrderReceiver, Rank, RankReport, ReadableRank
from carawayhub.experts.remote import RelayedOrders, RemoteRank
from carawayhub.gateway.model import EngineProfile
from carawayhub.peers.questions import QuestionLink

MIN_ROSTER_SECONDS = 0.3
MAX_ROSTER_SECONDS = 2.0
"""Initial and maximum interval between reads of the published endpoints while ranks of the group
are missing. Some ranks register only half a second after their group opens; two more seconds under
the initial map cause a backlog that lasts four seconds after a power loss."""

MEMBERS = "members"
"""Subject of the message in which the agent beside rank 0 announces the members."""

ALIVE = "alive"
"""Subject of its heartbeat, which contains a checksum of the members instead of their list: a
kilobyte per agent and poll takes 40 ms on a link of 4 Mbit/s before each change."""


CONFIRM_ATTEMPTS = 2
"""Number of attempts to reach an agent that must acknowledge before a change continues. Without its
answer the change is given up, and the copies at all ranks are wasted."""


class Roster(Protocol):
    """Lists the replicas of a service."""

    async def replicas(self, group: str) -> Sequence[tuple[str, Address]]:
        """Return the instance id and address of each replica that may belong to a group.

        Raises:
            PlatformError: The store does not answer.
        """

    async def profile(self) -> EngineProfile | None:
        """Return the profile of the service's engines, None while the store does not contain it.

        Raises:
            PlatformError: As above.
        """


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Address of a rank of the group.

    Attributes:
        rank: Its position.
        instance: Id of its replica.
        host: IP address of its VM.
        port: Port of its replica.
    """

    rank: int
    instance: str
    host: str
    port: int

    @property
    def address(self) -> Address:
        """Address of its replica."""
        return Address(self.host, self.port)


class Family(msgspec.Struct, frozen=True, array_like=True):
    """The ranks of one formation of a group.

    Attributes:
        group: Name of the group.
        epoch: The formation; replicas may have new incarnations in each formation.
        members: Its ranks.
    """

    group: str
    epoch: int
    members: tuple[Member, ...]

    def includes(self, report: RankReport) -> bool:
        """Return whether the rank of a report belongs to this formation."""
        return (self.group, self.epoch) == (report.group, report.epoch)


class GroupMembers:
    """The ranks of one group as seen by one agent.

    Args:
        ip: IP address of this VM.
        link: Sends questions to agents.
        direct: Creates a client for the replica with an instance id at an address.
        roster: Lists the replicas.
        clock: Source of time.

    Attributes:
        family: The ranks, None while they are unknown.
        maps: Encoder of the maps sent to the ranks that ``ranks`` returned last.
    """

    __slots__ = (
        "_clock",
        "_direct",
        "_ip",
        "_link",
        "_next_read_at",
        "_roster",
        "_roster_interval",
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
        self._next_read_at = 0.0
        self._roster_interval = MIN_ROSTER_SECONDS
        self.family: Family | None = None
        self.maps = MapEncoder()

    async def find(self, report: RankReport) -> bool:
        """Find all ranks of the group that a report belongs to; return whether all were found.

        Raises:
            PlatformError: The store does not answer.
        """
        if not self.claim_store_read():
            return False
        listed = await self._roster.replicas(report.group)
        found: dict[int, Member] = {}

        async def ask(instance: str, address: Address) -> None:
            rank = RemoteRank(self._link, address.host, self._direct(address, instance))
            try:
                reply = await rank.report()
            except GroupError as exc:
                logger.bind(replica=instance, error=str(exc)).info(
                    "could not read the report of a replica"
                )
                return
            if (reply.group, reply.epoch) == (report.group, report.epoch):
                found[reply.rank] = Member(reply.rank, instance, address.host, address.port)

        async with anyio.create_task_group() as tasks:
            for instance, address in listed:
                tasks.start_soon(ask, instance, address)
        if len(found) != report.size:
            logger.bind(found=len(found), size=report.size).info(
                "not all ranks of the group were found"
            )
            return False
        members = tuple(found[rank] for rank in sorted(found))
        self.family = Family(report.group, report.epoch, members)
        self._roster_interval = MIN_ROSTER_SECONDS
        return True

    def claim_store_read(self) -> bool:
        """Return whether the store may be read now, and if so delay the next read."""
        now = self._clock.monotonic()
        if now < self._next_read_at:
            return False
        self._next_read_at = now + self._roster_interval
        self._roster_interval = min(2 * self._roster_interval, MAX_ROSTER_SECONDS)
        return True

    def ranks(self, own_rank: int, local_rank: Rank) -> dict[int, ReadableRank]:
        """Return all ranks by position.

        Args:
            own_rank: Position of the rank on this VM.
            local_rank: The rank on this VM.
        """
        maps = self.maps = MapEncoder()
        ranks: dict[int, ReadableRank] = {}
        for each in self.family.members if self.family is not None else ():
            direct = self._direct(each.address, each.instance)
            ranks[each.rank] = RemoteRank(self._link, each.host, direct, maps)
        ranks[own_rank] = local_rank
        return ranks

    def relay_to_first_rank(self) -> OrderReceiver | None:
        """Return a relay to rank 0 by the agent beside rank 1, None for a group of one.

        The orders contain no instance id. After a crash the store lists two incarnations at the
        same address for some seconds, and orders for the old one would be refused. The formation
        in each order distinguishes incarnations as well.
        """
        members = self.family.members if self.family is not None else ()
        if len(members) < 2:
            return None
        first, second = members[0], members[1]
        return RelayedOrders(self._link, second.host, "", first.address)

    async def announce(self, attempts: int = 1) -> bool:
        """Send a heartbeat to all agents, and the members to those that do not know them.

        Args:
            attempts: Number of attempts for an agent that does not answer.

        Returns:
            Whether all agents have answered.
        """
        if self.family is None:
            return False
        content = msgspec.msgpack.encode(self.family)
        checksum = _checksum(content)
        others = [each.host for each in self.family.members if each.host != self._ip]
        reached: list[str] = []

        async def announce(host: str) -> None:
            for _ in range(attempts):
                answer = await self._link.ask(host, ALIVE, checksum)
                if answer is not None and not answer.ok:
                    answer = await self._link.ask(host, MEMBERS, content)
                if answer is not None:
                    reached.append(host)
                    return

        async with anyio.create_task_group() as tasks:
            for host in others:
                tasks.start_soon(announce, host)
        return len(reached) == len(others)

    async def announce_with_retry(self) -> bool:
        """Send an announcement with ``CONFIRM_ATTEMPTS`` attempts per agent."""
        return await self.announce(CONFIRM_ATTEMPTS)

    def matches_checksum(self, checksum: bytes) -> bool:
        """Return whether a checksum matches the known members."""
        if self.family is None:
            return False
        return _checksum(msgspec.msgpack.encode(self.family)) == checksum


def _checksum(content: bytes) -> bytes:
    return hashlib.blake2b(content, digest_size=8).digest()
