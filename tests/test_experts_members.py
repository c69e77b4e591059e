"""How the agent beside rank 0 finds the members of a group and communicates with them."""

import socket
import unittest
from dataclasses import replace

import anyio
import msgspec

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.codes import Code
from carawayhub.errors import GroupError, PlatformError
from carawayhub.experts.agent import AgentOptions, ExpertAgent
from carawayhub.experts.mapwire import Cells, KnownMaps, MapChange
from carawayhub.experts.model import (
    HeldExperts,
    Hold,
    OrderAnswer,
    Prepare,
    RankCounts,
    RankOrder,
    RankReport,
)

REPORT = RankReport(
    group="g",
    epoch=4,
    rank=0,
    size=2,
    open=True,
    step=9,
    version=0,
    prepared=0,
    armed=0,
    armed_step=0,
    held=0,
    running=0,
    waiting=0,
)


class FakeReplica:
    """A replica that refuses orders to another incarnation."""

    def __init__(self, rank: int, instance: str) -> None:
        self.reported = replace(REPORT, rank=rank)
        self.instance = instance
        self.orders: list[tuple[RankOrder, str]] = []

    def client(self, instance: str) -> "FakeClient":
        return FakeClient(self, instance)


class FakeClient:
    """A client of a replica that sends an instance id, or none."""

    def __init__(self, replica: FakeReplica, instance: str = "") -> None:
        self.replica = replica
        self.instance = instance

    async def report(self) -> RankReport:
        return self.replica.reported

    async def counts(self) -> RankCounts:
        return RankCounts(epoch=4, step=9, counts=(1, 2), present=0)

    async def held_experts(self) -> HeldExperts:
        return HeldExperts(version=0, experts=((0,),))

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        if self.instance not in ("", self.replica.instance):
            return OrderAnswer.REFUSED
        self.replica.orders.append((order, self.instance))
        return OrderAnswer.ACCEPTED


class FakeRoster:
    """A store that may list two incarnations at the address of rank 0."""

    def __init__(self, listed: list[tuple[str, Address]]) -> None:
        self.listed = listed

    async def replicas(self, group: str) -> list[tuple[str, Address]]:
        return self.listed

    async def profile(self) -> None:
        return None


class Members(unittest.TestCase):
    """Two agents at loopback addresses."""

    def run_agents(self, scenario) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        hosts = ["127.0.0.1", "127.0.0.2"]
        self.replicas = [FakeReplica(at, f"i-{at}-new") for at in range(2)]
        by_host = dict(zip(hosts, self.replicas, strict=True))
        listed = [
            ("i-0-new", Address(hosts[0], 80)),
            ("i-1-new", Address(hosts[1], 80)),
            ("i-0-old", Address(hosts[0], 80)),
        ]

        async def main() -> None:
            agents = [
                ExpertAgent(
                    AgentOptions(
                        ip=host,
                        port=port,
                        link_rate=0.0,
                        direct=lambda address, name: by_host[address.host].client(name),
                    ),
                    FakeClient(replica),
                    FakeRoster(listed),
                    SystemClock(),
                )
                for host, replica in by_host.items()
            ]
            self.agents = agents
            async with anyio.create_task_group() as tasks:
                for agent in agents:
                    tasks.start_soon(agent._link.run)
                await anyio.sleep(0.05)
                with anyio.fail_after(10.0):
                    await scenario(agents[0]._members)
                tasks.cancel_scope.cancel()

        self.agents: list[ExpertAgent] = []
        anyio.run(main)

    def test_hold_reaches_rank_0_though_its_former_incarnation_is_still_listed(self) -> None:
        """Guards against a group whose map can no longer change after a power loss.

        The store still lists the crashed incarnation at the address of rank 0. A hold order that
        contains its instance id is refused by the new incarnation each time.
        """

        async def scenario(members) -> None:
            self.assertTrue(await members.find(REPORT))
            answer = await members.relay_to_first_rank().order(Hold(12), 4, 1)
            self.assertIs(answer, OrderAnswer.ACCEPTED)

        self.run_agents(scenario)
        self.assertEqual([order for order, _ in self.replicas[0].orders], [Hold(12)])

    def test_store_that_does_not_answer_is_an_error_of_the_store(self) -> None:
        """Guards against an agent that exits if the store is silent while it finds its group.

        An error raised in a task group is wrapped in an exception group, which is not handled.
        """

        async def scenario(members) -> None:
            async def silent(group: str) -> list[tuple[str, Address]]:
                raise PlatformError(Code.PLATFORM_UNREACHABLE, "silent")

            members._roster.replicas = silent
            with self.assertRaises(PlatformError):
                await members.find(REPORT)

        self.run_agents(scenario)

    def test_all_ranks_are_reached_and_told(self) -> None:
        async def scenario(members) -> None:
            self.assertTrue(await members.find(REPORT))
            self.assertTrue(await members.announce())
            ranks = members.ranks(0, FakeClient(self.replicas[0]))
            self.assertEqual((await ranks[1].report()).rank, 1)
            self.assertEqual((await ranks[1].held_experts()).experts, ((0,),))

        self.run_agents(scenario)

    def test_ranks_of_another_formation_are_not_taken_for_its_own(self) -> None:
        async def scenario(members) -> None:
            self.replicas[1].reported = replace(REPORT, rank=1, epoch=3)
            self.assertFalse(await members.find(REPORT))
            self.assertIsNone(members.family)

        self.run_agents(scenario)

    def test_agent_that_restarted_is_told_the_members_again(self) -> None:
        """The heartbeat contains only a checksum of the members, unknown to a new agent."""

        async def scenario(members) -> None:
            self.assertTrue(await members.find(REPORT))
            self.assertTrue(await members.announce())
            other = self.agents[1]._members
            self.assertEqual(other.family, members.family)
            other.family = None
            self.assertTrue(await members.announce())
            self.assertEqual(other.family, members.family)

        self.run_agents(scenario)

    def test_map_is_told_by_what_differs_from_the_one_in_force(self) -> None:
        """Guards against full maps to all agents overloading the link, with one lost per change."""
        start = Prepare(0, (((0, 2), (1,)), ((0, 2), (1,))))
        first = Prepare(7, (((0, 2), (1, 2)), ((0, 2), (1,))))
        second = Prepare(9, (((0, 2), (0, 1)), ((0, 2), (0, 1))))

        async def scenario(members) -> None:
            await members.find(REPORT)
            rank = members.ranks(0, FakeClient(self.replicas[0]))[1]
            for before, order in ((start, first), (first, second)):
                members.maps.in_force = before
                change = members.maps.encode_change(order)
                self.assertLess(len(change), len(msgspec.msgpack.encode(order)) + 16)
                self.assertIs(await rank.order(order, 4, 0), OrderAnswer.ACCEPTED)
            self.assertEqual([order for order, _ in self.replicas[1].orders], [first, second])

        self.run_agents(scenario)

    def test_whole_map_is_told_to_an_agent_that_does_not_know_the_one_before(self) -> None:
        """An agent restarts between two changes.

        A difference must not be applied to the wrong base map: the agent rejects it, and the issuer
        sends the full map.
        """
        first = Prepare(7, (((0, 1), (2,)),))
        second = Prepare(9, (((0,), (1, 2)),))

        async def scenario(members) -> None:
            await members.find(REPORT)
            rank = members.ranks(0, FakeClient(self.replicas[0]))[1]
            await rank.order(first, 4, 0)
            members.maps.in_force = first
            self.agents[1]._responder._maps = KnownMaps()
            self.assertIs(await rank.order(second, 4, 0), OrderAnswer.ACCEPTED)
            self.assertEqual([order for order, _ in self.replicas[1].orders], [first, second])

        self.run_agents(scenario)

    def test_change_that_cannot_be_applied_reaches_no_rank(self) -> None:
        """An agent receives malformed datagrams.

        They contain columns of unequal length, positions that don't exist, or sizes that would
        exhaust the memory. Each is rejected with an error code and not forwarded to the rank.
        """
        whole = MapChange(7, 0, 1, 4, 2, Cells([0], [0], [1]), Cells([], [], []))
        malformed = [
            msgspec.structs.replace(whole, coming=Cells([0], [0, 1], [1])),
            msgspec.structs.replace(whole, coming=Cells([0], [2], [1])),
            msgspec.structs.replace(whole, coming=Cells([0], [-1], [1])),
            msgspec.structs.replace(whole, layers=10**9),
            msgspec.structs.replace(whole, ranks=0),
            msgspec.structs.replace(whole, base=3),
        ]
        known = KnownMaps()
        self.assertEqual(known.apply(whole).placement, (((0, 1, 2), (1, 3)),))
        for change in malformed:
            with self.subTest(change=change), self.assertRaises(GroupError) as raised:
                known.apply(change)
            self.assertIs(raised.exception.code, Code.RANK_MALFORMED)


if __name__ == "__main__":
    unittest.main()
