"""Ranks that are lost, restart, join or change their decider; and ranks over HTTP."""

import unittest
from dataclasses import replace

import anyio

from carawayhub.agent.rank_client import HttpRank
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import MapId
from carawayhub.groups.orders import Commit, Read, Term
from carawayhub.standins.ranks import StandInGroup, StandInPort, rank_app
from carawayhub.standins.web import serving
from tests.group_bench import FAST, GroupBench


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    """The group is formed again with one map and reports until then that it is not formed."""

    async def test_rank_that_restarts(self):
        """The engine of a rank dies and restarts without state, twice.

        The others wait in the collective of a formation that can never step again. Its requests
        end, and the group is out of routing until all ranks have joined a new formation under the
        previous map.
        """
        for checks in (True, False):
            with self.subTest(checks_fencing=checks):
                await self.restart_two_ranks(GroupBench(checks_fencing=checks))

    async def restart_two_ranks(self, bench):
        decider = bench.decider()

        def formed_times():
            return sum(text.startswith("map") and "formation" in text for text in bench.events())

        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            decider.map_policy.rows = bench.SECOND
            await bench.until(lambda: decider.status.map_number == 2)
            for times, rank in ((2, bench.ranks[1]), (3, bench.ranks[0])):
                rank.restart()
                await bench.until(lambda times=times: formed_times() == times)
                await bench.until_steps()
            await bench.until_on(bench.SECOND)
            self.assertEqual(decider.status.map_number, 2)
        self.assertEqual(bench.group.two_maps(), ())
        broken = [text for text in bench.events() if text.startswith("not formed")]
        self.assertEqual(len(broken), 2)

    async def test_rank_dies_between_agreement_and_verdict(self):
        """A rank restarts after it agreed to a change and loses its vote.

        The change can never run, since its formation cannot step; the group joins a new formation
        with one map.
        """
        bench = GroupBench(checks_fencing=False)
        decider = bench.decider()
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            decider.ports[2].hold.add(Commit)
            decider.map_policy.rows = bench.SECOND
            await bench.until(lambda: bench.ranks[2].state.armed is not None)
            decider.map_policy.rows = None
            bench.ranks[2].restart()
            decider.ports[2].hold.clear()
            await bench.until(lambda: len({one.formation for one in bench.group.steps}) == 2)
            await bench.until_steps()
            self.assertEqual(len({rank.state.map for rank in bench.ranks}), 1)
        self.assertEqual(bench.group.two_maps(), ())

    async def test_joining_rank_and_the_decider_of_the_old_configuration(self):
        """A configuration adds a rank, but the previous decider still runs the old configuration.

        The new decider forms all three ranks. The old one reads a formation of a later
        configuration and sends no more orders, even if engines ignore fencing numbers.
        """
        bench = GroupBench(checks_fencing=False)
        joining = bench.ranks.pop()
        bench.group.ranks = tuple(bench.ranks)
        old = bench.decider(version=1)
        async with bench.stepping():
            async with bench.running(old):
                await bench.until_steps()
            bench.ranks.append(joining)
            bench.group.ranks = tuple(bench.ranks)
            async with bench.running(bench.decider(version=2)) as new:
                await bench.until(lambda: new.status.formed)
                await bench.until_steps()
                with self.assertRaises(GroupError) as caught:
                    await old.reconcile()
                self.assertEqual(caught.exception.code, Code.CHANGE_OVERTAKEN)
                await bench.until_steps()
        self.assertEqual(bench.group.two_maps(), ())

    async def test_lost_rank(self):
        """A rank stops answering: the group is reported as not formed, with the rank's number."""
        bench = GroupBench()
        decider = bench.decider()
        async with bench.stepping(), bench.running(decider):
            await bench.until_on(bench.FIRST)
            decider.ports[2].cut = True
            bench.ranks[2].stalled = True
            await bench.until(lambda: decider.status.lost_ranks == (2,))
            await bench.until(lambda: not decider.status.formed)


class HttpRankTest(unittest.IsolatedAsyncioTestCase):
    """The HTTP adapter against the stand-in engine on loopback."""

    async def test_change_over_http(self):
        bench = GroupBench()
        async with bench.stepping(), serving(rank_app(bench.group), "127.0.0.1:0") as address:
            ports = [HttpRank(f"http://{address}", rank) for rank in range(3)]
            decider = bench.decider(ports=ports, options=replace(FAST, lead_steps=400))
            async with bench.running(decider):
                await bench.until_on(bench.FIRST)
                decider.map_policy.rows = bench.SECOND
                await bench.until_on(bench.SECOND)
            with self.assertRaises(GroupError) as caught:
                await ports[0].read_map(MapId(9, "none"))
            self.assertEqual(caught.exception.code, Code.ORDER_REFUSED)
            for port in ports:
                await port.close()
        self.assertEqual(bench.group.two_maps(), ())

    async def test_engine_that_is_gone(self):
        """The engine's VM dies: whether the order was obeyed is unknown; it ends as unreachable."""
        bench = GroupBench()
        async with serving(rank_app(bench.group), "127.0.0.1:0") as address:
            port = HttpRank(f"http://{address}", 0)
            await port.order(Read(term=Term()))
        with anyio.fail_after(10), self.assertRaises(GroupError) as caught:
            await port.order(Read(term=Term()))
        self.assertEqual(caught.exception.code, Code.RANK_UNREACHABLE)
        await port.close()


class StandInTest(unittest.IsolatedAsyncioTestCase):
    """The check for steps under two maps detects a violation."""

    async def test_two_maps_are_seen(self):
        """A map replaced outside the protocol shows in the record of steps."""
        bench = GroupBench()
        async with bench.stepping(), bench.running(bench.decider()):
            await bench.until_on(bench.FIRST)
        rank = bench.ranks[1]
        rank.state = type(rank.state)(
            rank=1,
            incarnation=rank.state.incarnation,
            formation=rank.state.formation,
            map=MapId(9, "other"),
            entered=rank.state.entered,
        )
        for _ in range(6):
            bench.group.advance()
        self.assertNotEqual(bench.group.two_maps(), ())

    async def test_group_without_all_members_does_not_step(self):
        bench = GroupBench()
        self.assertFalse(StandInGroup(bench.ranks).advance())
        self.assertEqual((await StandInPort(bench.ranks[0]).order(Read(term=Term(1)))).code, 0)


if __name__ == "__main__":
    unittest.main()
