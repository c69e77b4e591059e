"""Which agent orders the ranks of a group, and when its orders are withheld."""

import dataclasses
import unittest

import anyio

from carawayhub.agent.checked_rank import CheckedRank, LeasedRank
from carawayhub.agent.grouptask import LocalAgent, led_group
from carawayhub.codes import Code
from carawayhub.endpoints.counters import EngineCounters
from carawayhub.entry.reports import Reports
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Order, RankState, Read, Reply, Term
from carawayhub.peers.messages import ServingState
from carawayhub.standins.options import RankOptions
from carawayhub.standins.rankgroup import RankGroup
from carawayhub.standins.ranks import StandInPort
from tests.group_bench import GroupBench
from tests.routing_fakes import configuration, report


class RecordingRank:
    """A rank that records its orders."""

    rank = 0

    def __init__(self) -> None:
        self.orders: list[Order] = []

    async def order(self, order: Order) -> Reply:
        self.orders.append(order)
        return Reply(code=Code.OK, state=RankState(rank=0, incarnation=1))

    async def read_map(self, wanted: MapId) -> ExpertMap:
        raise NotImplementedError


class PausedAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent resumes after a pause with an order not yet sent."""

    async def test_an_order_waits_until_the_configuration_is_checked(self) -> None:
        """Ranks change their map for an agent whose group was assigned to another agent.

        The agent is stopped after it has created an order and before it sends it. When it resumes
        it still takes itself for the decider. The order may be sent only after the check; if the
        check returns a newer configuration, the decider stops and the order is dropped.
        """
        rank, checked = RecordingRank(), anyio.Event()

        async def until_checked(timeout: float) -> bool:
            await checked.wait()
            return True

        port = CheckedRank(rank, until_checked)
        order = Read(term=Term(1, 1))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(port.order, order)
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(rank.orders, [])
            checked.set()
        self.assertEqual(rank.orders, [order])

    async def test_an_order_is_not_given_where_the_check_fails(self) -> None:
        async def never(timeout: float) -> bool:
            return False

        rank = RecordingRank()
        with self.assertRaises(GroupError) as caught:
            await CheckedRank(rank, never).order(Read(term=Term(1, 1)))
        self.assertEqual(caught.exception.code, Code.RANK_UNREACHABLE)
        self.assertEqual(rank.orders, [])


class LeasedAgentTest(unittest.IsolatedAsyncioTestCase):
    """An agent whose lease expires."""

    async def test_no_order_is_given_without_a_lease(self) -> None:
        rank = RecordingRank()
        with self.assertRaises(GroupError) as caught:
            await LeasedRank(rank, lambda: False).order(Read(term=Term(1, 1)))
        self.assertEqual(caught.exception.code, Code.LEASE_LAPSED)
        self.assertEqual(rank.orders, [])

    async def test_order_held_back_at_its_write_does_not_make_the_rank_a_lost_one(self) -> None:
        """Guards against a group taken out of routing when the lease expires during an order."""
        leased = [True]

        class Withheld(RecordingRank):
            async def order(self, order: Order) -> Reply:
                leased[0] = False
                raise GroupError(Code.RANK_UNREACHABLE, "order withheld")

        with self.assertRaises(GroupError) as caught:
            await LeasedRank(Withheld(), lambda: leased[0]).order(Read(term=Term(1, 1)))
        self.assertEqual(caught.exception.code, Code.LEASE_LAPSED)

    async def test_lost_rank_is_told_of_with_a_lease(self) -> None:
        class Lost(RecordingRank):
            async def order(self, order: Order) -> Reply:
                raise GroupError(Code.RANK_UNREACHABLE, "no answer")

        with self.assertRaises(GroupError) as caught:
            await LeasedRank(Lost(), lambda: True).order(Read(term=Term(1, 1)))
        self.assertEqual(caught.exception.code, Code.RANK_UNREACHABLE)

    async def test_group_stays_in_routing_through_a_short_lapse(self) -> None:
        """Guards against refused callers of a group that steps without a decider."""
        bench = GroupBench()
        leased = [True]
        ports = [LeasedRank(StandInPort(rank), lambda: leased[0]) for rank in bench.ranks]
        decider = bench.decider(ports=ports)
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            await bench.until(lambda: decider.status.formed)
            leased[0] = False
            await bench.until_steps(200)
            self.assertTrue(decider.status.formed)
            leased[0] = True
            decider.map_policy.rows = bench.SECOND
            await bench.until_on(bench.SECOND)


class LedGroupTest(unittest.TestCase):
    """Which agent decides for a group according to the configuration."""

    def setUp(self) -> None:
        cfg = configuration(2)
        self.first, self.second = sorted(cfg.endpoints)
        found, *_ = cfg.groups.values()
        wide = dataclasses.replace(found, endpoints=(self.first, self.second), ranks=4)
        self.cfg = dataclasses.replace(cfg, groups={"wide": wide})
        self.address = cfg.endpoints[self.first].agent

    def test_only_the_agent_beside_rank_0_decides(self) -> None:
        led = led_group(self.cfg, LocalAgent(self.first, self.address))
        self.assertEqual(led, self.cfg.groups["wide"])
        second = self.cfg.endpoints[self.second].agent
        self.assertIsNone(led_group(self.cfg, LocalAgent(self.second, second)))

    def test_the_agent_of_a_replaced_vm_decides_nothing(self) -> None:
        """Two agents of one endpoint run, since its VM was replaced and the old one resumed.

        The configuration names the address of the new agent.
        """
        self.assertIsNone(led_group(self.cfg, LocalAgent(self.first, "10.9.9.9:7000")))

    def test_no_ticket_names_an_endpoint_whose_group_cannot_step(self) -> None:
        """Guards against a ticket for an endpoint that only its own agent reports as serving.

        Its group can't step, and the caller would wait there.
        """
        reports = Reports()
        reports.configure(self.cfg)
        reports.observe(report(self.second), 0.0, 0.0)
        self.assertIsNotNone(reports.serving(self.second, 1.0))
        reports.observe(report(self.first, state=ServingState.FAILED), 0.0, 0.0)
        self.assertIsNone(reports.serving(self.second, 1.0))
        reports.lost(self.first)
        self.assertIsNotNone(reports.serving(self.second, 1.0))


class CountersTest(unittest.IsolatedAsyncioTestCase):
    """Expert counters as an engine returns them."""

    async def test_counters_of_another_shape_are_passed_over(self) -> None:
        """A group configured with the wrong number of experts crashed its agent.

        The engine counts eight experts in two layers. With any other configuration the map is kept
        and the reason is logged.
        """
        ranks = RankGroup(RankOptions(layers=2, experts=8, counter_lag_s=0.0, counter_loss=0.0))
        async with ranks.serving("127.0.0.1:0") as address:
            for layers, experts, fits in ((2, 8, True), (2, 9, False), (3, 8, False)):
                counters = EngineCounters(f"http://{address}", layers, experts)
                self.assertEqual(await counters.read() is not None, fits)
                await counters.close()


if __name__ == "__main__":
    unittest.main()
