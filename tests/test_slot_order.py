"""Order of requests by priority across all entries, and the counts that entries exchange for it."""

import unittest
from dataclasses import replace
from unittest import mock

import anyio
import msgspec
from loguru import logger

from benchmarks.slot_order import (
    ALL_ALIKE,
    DEPLOYMENT_B,
    LEAST_BURST,
    MOST_BURST,
    ONE_BURSTS,
    Fleet,
    Kind,
    Load,
    WeightedDraw,
    _call,
    burst,
    play,
    play_without_order,
    play_without_shares,
)
from benchmarks.virtual_time import run
from carawayhub.clock import ManualClock
from carawayhub.gateway.model import CallerLimits, Organisation, RouteTable
from carawayhub.gateway.serviceorder import OrderStatus, ServiceOrder, priorities
from carawayhub.gateway.tally import Tally
from carawayhub.limits.slotorder import SlotOrder
from carawayhub.limits.slotrows import (
    ALL,
    MAX_ORGANISATION_ROWS,
    MAX_PRIORITY_ROWS,
    MAX_ROW_BYTES,
    ROW_TTL_SECONDS,
    Demand,
    SlotCounts,
    SlotRow,
)
from carawayhub.limits.slotshares import above_share, slots_left_to_others
from tests.gateway_world import route, table
from tests.test_gateway_large import Fleet as LargeFleet
from tests.test_gateway_large import run_scenario, until

SECONDS = 20.0
"""Length of a replay: until one second after the burst of the most urgent priority."""


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class SlotCountsTest(unittest.TestCase):
    """Rows that entries exchange."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.counts = SlotCounts(self.clock)
        self.counts.ordered.add(1)

    def waiting(self) -> int:
        found = self.counts.demands(1).get((0, ALL))
        return found.waiting if found is not None else 0

    def test_next_row_replaces_a_lost_one(self) -> None:
        """Guards against counts that stay wrong after lost datagrams."""
        self.counts.add_waiting(1, 0, ALL, 1)
        self.counts.receive_rows("a", [SlotRow(1, 0, ALL, 9, 5, 2)])
        self.counts.receive_rows("a", [SlotRow(1, 0, ALL, 9, 3, 2)])
        self.assertEqual(self.waiting(), 4)
        self.counts.receive_rows("a", [])
        self.assertEqual(self.waiting(), 1)

    def test_rows_of_a_silent_entry_expire(self) -> None:
        """Guards against slots that stay reserved for requests of an entry that ended or froze."""
        self.counts.receive_rows("a", [SlotRow(1, 0, ALL, 9, 5, 2)])
        self.clock.advance(ROW_TTL_SECONDS + 0.01)
        self.assertEqual(dict(self.counts.demands(1)), {})

    def test_arrivals_count_for_a_second(self) -> None:
        """Guards against slots reserved for a burst that is over."""
        self.counts.record_arrival(1, 0, ALL)
        self.assertEqual(self.counts.demands(1)[0, ALL].arrived, 1)
        self.clock.advance(1.1)
        self.assertEqual(dict(self.counts.demands(1)), {})

    def test_delegate_leaves_out_the_receiver(self) -> None:
        """Guards against requests that count twice at their own entry."""
        self.counts.add_waiting(1, 0, ALL, 1)
        self.counts.receive_rows("a", [SlotRow(1, 0, ALL, 9, 5, 2)])
        self.counts.receive_rows("b", [SlotRow(1, 0, ALL, 1, 2, 0)])
        self.assertEqual(self.counts.rows_without("a"), [SlotRow(1, 0, ALL, 1, 3, 0)])
        self.assertEqual(self.counts.rows_of(["a"]), [SlotRow(1, 0, ALL, 9, 6, 2)])

    def test_delegate_forwards_rows_of_services_it_has_no_requests_for(self) -> None:
        """Guards against entries that learn nothing of others behind an idle delegate."""
        self.counts.ordered.clear()
        self.counts.receive_rows("a", [SlotRow(7, 0, ALL, 9, 5, 2)])
        self.assertEqual(self.counts.rows_without("b"), [SlotRow(7, 0, ALL, 9, 5, 2)])

    def test_nothing_is_announced_without_need(self) -> None:
        """Guards against traffic in deployments whose requests all have one priority."""
        self.counts.ordered.clear()
        self.counts.record_arrival(1, 0, 77)
        self.counts.add_in_flight(1, 0, 77, 1)
        self.assertEqual(self.counts.rows(), [])
        self.counts.add_waiting(1, 0, 77, 1)
        self.assertEqual(self.counts.rows(), [SlotRow(1, 0, 77, 1, 1, 1)])

    def test_rows_are_bounded(self) -> None:
        """Guards against datagrams that grow with organisations or services."""
        big = 2**32 - 1
        for at in range(400):
            self.counts.receive_rows(
                str(at), [SlotRow(big - at, 255, big, big, big, big), SlotRow(at, 1, ALL, 1, 1, 1)]
            )
        rows = self.counts.rows_without("")
        self.assertEqual(len(rows), MAX_ORGANISATION_ROWS + MAX_PRIORITY_ROWS)
        for row in rows:
            self.assertLessEqual(len(msgspec.msgpack.encode(row)), MAX_ROW_BYTES)


class GossipTest(unittest.TestCase):
    """Counts in the gossip of 98 entries in five failure domains."""

    def test_each_request_is_counted_once_at_all_entries(self) -> None:
        """Guards against counts that miss entries or count requests twice through delegates."""
        fleet = LargeFleet(98)

        def totals() -> set[int]:
            found = (each._slot_counts.demands(1).get((0, ALL)) for each in fleet.entries.values())
            return {each.in_flight if each is not None else 0 for each in found}

        async def scenario() -> None:
            for entry in fleet.entries.values():
                entry._slot_counts.ordered.add(1)
                entry._slot_counts.add_in_flight(1, 0, ALL, 1)
            await until(lambda: totals() == {98}, 0.5)
            fleet.kill("10.1.0.10")
            await until(lambda: totals() == {97}, 3.0)
            for entry in fleet.entries.values():
                entry._slot_counts.add_in_flight(1, 0, ALL, -1)
            await until(lambda: totals() == {0}, 0.5)

        run_scenario(fleet, scenario)


class SlotOrderTest(unittest.TestCase):
    """Which free slots a priority may compete for."""

    def setUp(self) -> None:
        self.order = SlotOrder()
        self.demands = {(0, ALL): Demand(40, 3, 60), (1, ALL): Demand(50, 9, 80)}

    def test_slots_are_left_to_waiting_and_expected_urgent_requests(self) -> None:
        """Guards against less urgent requests in the slots that an urgent burst needs."""
        self.assertAlmostEqual(self.order.free_for(1, 8.0, self.demands, 0.1), 1.0)
        self.assertEqual(self.order.free_for(0, 8.0, self.demands, 0.1), 8.0)

    def test_nobody_is_held_back_while_slots_suffice(self) -> None:
        """Guards against waiting while slots are free for all requests of all priorities."""
        needed = sum(each.waiting + 0.1 * each.arrived for each in self.demands.values())
        self.assertGreaterEqual(self.order.free_for(2, needed + 1.0, self.demands, 0.1), 1.0)

    def test_minimum_is_a_tenth_of_ended_requests(self) -> None:
        """Guards against less urgent requests that never get a slot."""
        served = 0
        for _ in range(200):
            self.order.record_end([0, 1])
            if self.order.free_for(1, 1.0, self.demands, 0.1) >= 1.0:
                self.order.record_acquisition(1)
                served += 1
        self.assertGreaterEqual(served, 20)
        self.assertLess(served, 30)

    def test_off_without_different_priorities(self) -> None:
        """Guards against an order in deployments with one priority."""

        def configuration(*found: int, organisation: int | None = None) -> RouteTable:
            made = RouteTable(
                version=1,
                services={},
                limits=CallerLimits(),
                organisations={"k": Organisation("o", organisation)},
                keys_required=True,
            )
            for at, priority in enumerate(found):
                made.add(replace(route(), host=str(at), priority=priority, public=False))
            return made

        service = route().shares[0].service
        self.assertEqual(priorities(configuration(1, 1), service), {1})
        self.assertEqual(priorities(configuration(1, 1, organisation=1), service), {1})
        self.assertEqual(priorities(configuration(1, 1, organisation=0), service), {1})
        self.assertEqual(priorities(configuration(1, 2), service), {1, 2})
        self.assertEqual(priorities(configuration(1, 2), "another"), set())

    def test_priority_of_the_organisation_precedes_that_of_the_route(self) -> None:
        """Guards against routes that all count alike since all organisations have a priority."""
        clock = ManualClock(0.0)
        found = table(1, route(), replace(route("/others/"), priority=2))
        order = ServiceOrder("llm", clock, SlotCounts(clock), lambda: found, lambda: 0.1)

        def rank(organisation: int | None, priority: int) -> int:
            call = mock.Mock(route=replace(route(), priority=priority))
            call.priority = priority if organisation is None else organisation
            return order.rank(call)

        asked = [(0, 2), (1, 0), (1, 1), (1, 2), (2, 0)]
        ranks = [rank(*each) for each in asked]
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertEqual(rank(None, 1), rank(1, 1))
        found = table(1)
        self.assertEqual(rank(1, 0), rank(1, 2))


class SharesTest(unittest.TestCase):
    """Slots that an organisation leaves to others."""

    def left(self, organisation: int, free: float, demands: dict[int, Demand]) -> float:
        known = {(1, key): each for key, each in demands.items()}
        return slots_left_to_others(1, organisation, free, known, 1.5, 0.1)

    def test_burst_leaves_slots_to_those_below_their_share(self) -> None:
        """Guards against an organisation whose burst takes the slots of others."""
        demands = {7: Demand(110, 20, 130), 8: Demand(30, 3, 25), 9: Demand(30, 2, 25)}
        self.assertGreaterEqual(self.left(7, 4.0, demands), 4.0)
        self.assertEqual(self.left(8, 4.0, demands), 0.0)

    def test_single_active_organisation_uses_all_slots(self) -> None:
        """Guards against slots kept for organisations without requests."""
        self.assertEqual(self.left(7, 1.0, {7: Demand(110, 20, 180)}), 0.0)
        self.assertEqual(self.left(7, 1.0, {7: Demand(110, 20, 170), 8: Demand(5, 0, 7)}), 0.0)

    def test_free_slots_for_all_that_wait_are_left_to_nobody(self) -> None:
        """Guards against requests that wait for their organisation while slots are free."""
        demands = {7: Demand(110, 20, 130), 8: Demand(30, 3, 25)}
        self.assertEqual(self.left(7, 23.0, demands), 0.0)

    def test_burst_does_not_reject_others_at_the_queue(self) -> None:
        """A queue full of requests of one organisation rejected those of others as hopeless."""
        demands = {(1, 7): Demand(110, 20, 130), (1, 8): Demand(30, 0, 25)}
        self.assertEqual(above_share(1, 8, demands, 1.5), {7})
        self.assertEqual(above_share(1, 7, demands, 1.5), frozenset())

    def test_others_are_served_more_often_during_a_burst_of_one_organisation(self) -> None:
        """Guards against others' requests that are rejected during a burst of one organisation."""
        load = replace(ONE_BURSTS, seconds=14.0)
        for kind in (1, 2):
            shared = sum(play(load, seed).outcome.in_time(kind, *LEAST_BURST) for seed in (0, 1))
            alike = sum(
                play_without_shares(load, seed).outcome.in_time(kind, *LEAST_BURST)
                for seed in (0, 1)
            )
            self.assertGreater(shared, alike)

    def test_equal_organisations_lose_nothing(self) -> None:
        """Guards against slots left idle where all organisations have the same demand."""
        load = replace(ALL_ALIKE, seconds=14.0)
        shared = sum(play(load, seed).worth() for seed in (0, 1))
        alike = sum(play_without_shares(load, seed).worth() for seed in (0, 1))
        self.assertGreater(shared, 0.98 * alike)

    def test_no_shares_while_slots_suffice(self) -> None:
        """Guards against other decisions for organisations while none is short of slots."""
        load = replace(ALL_ALIKE, replicas=70, seconds=10.0)
        shared = play(load, 0)
        self.assertEqual(shared.sent, play_without_shares(load, 0).sent)
        self.assertEqual(sum(each.order.held_back_shares for each in shared.pools), 0)


class PoolTest(unittest.TestCase):
    """The order in the pool of a service."""

    def test_held_back_request_does_not_block_others(self) -> None:
        """A returned urgent request, which is late anyway, blocked all requests behind it."""
        load = replace(DEPLOYMENT_B, entries=1, replicas=1, delay=1.0)
        served: list[int] = []

        async def main() -> None:
            pool = Fleet(load, 0).pools[0]
            for _ in range(30):
                pool.retries.arrived()
                pool.queue.ended()

            async def ask(kind: int, returned: bool) -> None:
                call = _call(load.kinds[kind], 8.0, returned=returned)
                with anyio.move_on_after(0.4):
                    held.append(await pool.acquire(call, anyio.current_time()))
                    served.append(kind)

            held: list[object] = []
            for _ in range(5):
                held.append(
                    pool._begin(
                        pool._endpoints()[0], _call(load.kinds[1], 8.0, returned=False).work
                    )
                )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask, 0, True)
                await anyio.sleep(0.05)
                tasks.start_soon(ask, 1, False)
                await anyio.sleep(0.05)
                pool.release(held[0])  # type: ignore[arg-type]

        run(main)
        self.assertEqual(served, [1])

    def test_metrics_state_requests_by_priority(self) -> None:
        """Guards against a contention that operators can't see."""
        status = OrderStatus({0: 3}, {0: 9}, {1: 4}, 2, {"acme": 12.5}, {"acme": 14})
        page = Tally(slot_order=lambda: {"llm": status}).page()
        for line in (
            'carawayhub_gateway_order_waiting{service="llm",priority="0"} 3',
            'carawayhub_gateway_order_in_flight{service="llm",priority="0"} 9',
            'carawayhub_gateway_order_held_back_total{service="llm",priority="1"} 4',
            'carawayhub_gateway_share_held_back_total{service="llm"} 2',
            'carawayhub_gateway_organisation_share{service="llm",organisation="acme"} 12.5',
            'carawayhub_gateway_organisation_slots{service="llm",organisation="acme"} 14',
        ):
            self.assertIn(line, page)


class Replay(unittest.TestCase):
    """Deployment B's load at 15 entries, with the product's decisions."""

    def test_bursts_do_not_displace_urgent_requests(self) -> None:
        """The fraction of urgent requests in time fell at bursts, with slots held by others."""
        load = replace(DEPLOYMENT_B, seconds=SECONDS)
        for seed in range(2):
            ordered, alike = play(load, seed), play_without_order(load, seed)
            self.assertGreater(ordered.worth(), alike.worth())
            for kind in (0, 1):
                self.assertGreater(ordered.outcome.in_time(kind), alike.outcome.in_time(kind))
            self.assertGreater(
                ordered.outcome.in_time(0, *MOST_BURST), alike.outcome.in_time(0, *MOST_BURST)
            )

    def test_reservation_serves_more_than_a_draw(self) -> None:
        load = replace(DEPLOYMENT_B, seconds=SECONDS)
        self.assertGreater(play(load, 0).worth(), play(load, 0, WeightedDraw).worth())

    def test_lost_datagrams_and_partition(self) -> None:
        """Guards against an order that is worse than none where entries hear little."""
        for changes in ({"loss": 0.5}, {"cut": (6.0, 14.0)}):
            load = replace(DEPLOYMENT_B, seconds=SECONDS, **changes)  # type: ignore[arg-type]
            self.assertGreater(play(load, 0).worth(), play_without_order(load, 0).worth())

    def test_nobody_is_held_back_where_slots_suffice(self) -> None:
        """Guards against an order that costs callers something while slots are free."""
        load = replace(DEPLOYMENT_B, replicas=60, seconds=SECONDS)
        ordered = play(load, 0)
        self.assertEqual(sum(each.order.held_back.total() for each in ordered.pools), 0)
        self.assertEqual(ordered.sent, play_without_order(load, 0).sent)

    def test_least_urgent_are_never_starved(self) -> None:
        """Guards against an urgent overload that takes all slots for good."""
        kinds = (
            Kind(rate=burst(90.0), priority=0),
            Kind(rate=burst(20.0), priority=2, target=1.0),
        )
        for seed in range(2):
            fleet = play(Load(kinds=kinds, seconds=16.0, replicas=14), seed)
            late = [number for at, number, _ in fleet.sent if at > 4.0]
            self.assertGreater(late.count(1) / len(late), 0.1)

    def test_one_priority_decides_as_before(self) -> None:
        """Guards against other decisions in deployments whose requests all have one priority."""
        kinds = tuple(replace(each, priority=1) for each in DEPLOYMENT_B.kinds)
        load = replace(DEPLOYMENT_B, kinds=kinds, seconds=10.0)
        for seed in range(2):
            self.assertEqual(play(load, seed).sent, play_without_order(load, seed).sent)
            self.assertEqual(play(load, seed).row_bytes, 1)

    def test_bytes_of_rows(self) -> None:
        """Guards against rows larger than the cost stated in docs/design/slot-order.md."""
        self.assertLess(play(replace(DEPLOYMENT_B, seconds=8.0), 0).row_bytes, 64)


if __name__ == "__main__":
    unittest.main()
