"""Tests of the bound on the requests to cold replicas, over all entries.

A replica that has just started accepts 26 requests a second, and may get 44 in any one second. If
entries send to it as to a warm one, it gets 78 and more.
"""

import random
import unittest
from collections.abc import Iterable
from dataclasses import replace
from unittest.mock import patch

import anyio
from loguru import logger

from benchmarks.cold_replicas import BOUND, RATE, History, Kind, play
from benchmarks.request_fleet import COLD_OVERAGE, COLD_SECONDS, RequestFleet
from carawayhub.clock import ManualClock
from carawayhub.gateway.coldreplicas import MAX_LOGGED_PER_SECOND, ColdReplicas
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import Endpoint, GroupMembership
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, Source, TablePublished
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.tally import ReplicaLimits, Tally
from carawayhub.gateway.view import FleetView
from carawayhub.limits.coldquota import STARTING_SECONDS, UNKNOWN_PART, ColdQuotas
from carawayhub.limits.coldsends import WINDOW_SECONDS
from carawayhub.limits.replicarate import ReplicaRates
from carawayhub.platform.headers import PlatformWire
from tests.gateway_world import admitted, endpoint, table, work

UNITS = 39


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Entries:
    """The quotas of several entries, and who hears from whom."""

    def __init__(self, count: int, clock: ManualClock) -> None:
        self.names = [f"10.0.0.{at}" for at in range(count)]
        self.heard = {each: set(self.names) - {each} for each in self.names}
        self.settled = True
        self.quotas = {each: self.start(each, clock) for each in self.names}
        self.update()

    def start(self, name: str, clock: ManualClock) -> ColdQuotas:
        return ColdQuotas(
            clock,
            name,
            self.names[:3],
            lambda: dict.fromkeys(self.heard[name], False),
            lambda: self.settled,
        )

    def update(self) -> None:
        for each in self.quotas.values():
            each.update()

    def units(self, key: int) -> int:
        return sum(each.quota(key, UNITS) for each in self.quotas.values())


class Quotas(unittest.TestCase):
    """How the bound is divided."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)

    def grown(self, count: int) -> Entries:
        found = Entries(count, self.clock)
        self.clock.advance(STARTING_SECONDS)
        found.update()
        return found

    def test_all_units_are_dealt_out_and_none_twice(self) -> None:
        for count in (1, 7, 45, 98):
            entries = self.grown(count)
            for key in range(0, 2000, 97):
                self.assertEqual(entries.units(key), UNITS, count)

    def test_entries_cut_off_from_each_other_use_no_more_together(self) -> None:
        """Guards against two halves of which each divides the whole bound among its own."""
        entries = self.grown(7)
        for each in entries.names:
            entries.heard[each] = set()
        for _ in range(3):
            self.clock.advance(600.0)
            entries.update()
            self.assertEqual(entries.units(5), UNITS)

    def test_entries_that_start_use_a_hundredth_each(self) -> None:
        """Guards against entries that start in a part of the network and know few others."""
        entries = Entries(98, self.clock)
        sums = [entries.units(key) for key in range(50)]
        self.assertLessEqual(max(sums), UNITS)
        of_one = [entries.quotas["10.0.0.9"].quota(key, UNITS) for key in range(1000)]
        self.assertLessEqual(max(of_one), 1)
        self.assertLess(sum(of_one) / 1000, 0.01 * UNITS + 0.05)

    def test_entries_that_know_nobody_yet_keep_the_bound_together(self) -> None:
        """Guards against a fleet of 98 entries that all start at once before cold replicas."""
        quotas = [
            ColdQuotas(self.clock, f"10.0.0.{at}", ("10.9.9.9",), dict, lambda: False)
            for at in range(98)
        ]
        for each in quotas:
            each.update()
        sums = [sum(each.quota(key, UNITS) for each in quotas) for key in range(256)]
        self.assertLessEqual(max(sums), UNITS)
        self.assertLess(sum(sums) / 256, 98 * (UNKNOWN_PART * UNITS + 0.01))

    def test_entry_that_knows_nobody_for_long_uses_no_more_than_at_its_start(self) -> None:
        """Guards against an entry that takes itself for the only one in a cut-off part."""
        entries = self.grown(7)
        entries.settled = False
        entries.heard["10.0.0.9"] = set()
        alone = entries.start("10.0.0.9", self.clock)
        self.clock.advance(10 * STARTING_SECONDS)
        alone.update()
        of_one = [alone.quota(key, UNITS) for key in range(1000)]
        self.assertLessEqual(max(of_one), 1)
        self.assertLess(sum(of_one) / 1000, UNKNOWN_PART * UNITS + 0.05)

    def test_only_seed_does_not_take_itself_for_the_only_entry(self) -> None:
        """Guards against a seed that starts anew and uses the whole bound beside the others."""
        quotas = ColdQuotas(self.clock, "a", ("a",), dict, lambda: False)
        quotas.update()
        self.assertLessEqual(max(quotas.quota(key, UNITS) for key in range(50)), 1)

    def test_units_of_an_entry_that_leaves_are_dealt_out_anew(self) -> None:
        """Guards against units that are lost with each replaced entry."""
        leaving = {"b": True}
        quotas = ColdQuotas(self.clock, "a", (), lambda: leaving, lambda: True)
        quotas.update()
        self.clock.advance(STARTING_SECONDS)
        quotas.update()
        self.assertLess(quotas.quota(5, UNITS), UNITS)
        leaving.clear()
        self.clock.advance(6.0)
        quotas.update()
        self.assertEqual(quotas.quota(5, UNITS), UNITS)


class ColdCase(unittest.TestCase):
    """One entry, the only one."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.config = table(1)
        self.config.services = {
            name: replace(each, cold_seconds=COLD_SECONDS, cold_rate=RATE)
            for name, each in self.config.services.items()
        }
        quotas = ColdQuotas(self.clock, "a", (), dict, lambda: True)
        self.clock.advance(STARTING_SECONDS)
        quotas.update()
        self.rng = random.Random(1)
        self.cold = ColdReplicas(
            self.clock, self.rng, quotas, self.config.services.get, COLD_OVERAGE
        )

    def register(
        self, left: float, before: Endpoint | None, source: Source = Source.WATCH, epoch: int = 1
    ) -> Endpoint:
        found = replace(
            endpoint("i-1", membership=GroupMembership("g", epoch, 0, True)), cold_left=left
        )
        self.cold.record_registration(found, before, source)
        return found

    def send(self, count: int, name: str = "i-1") -> int:
        """Send as many of ``count`` requests as are allowed."""
        sent = 0
        for _ in range(count):
            if name not in self.cold.without_capacity("llm"):
                self.cold.reserve(endpoint(name))
                sent += self.cold.claim_send(name)
        return sent

    def is_cold_after(self, seconds: float) -> bool:
        self.clock.advance(seconds)
        return self.cold.any_cold


class Sources(ColdCase):
    """Which information applies."""

    def test_registration_counts_from_its_receipt(self) -> None:
        first = self.register(2.0, None)
        self.assertTrue(self.is_cold_after(1.9))
        self.register(1.0, first)
        self.assertTrue(self.is_cold_after(0.9))
        self.assertFalse(self.is_cold_after(0.2))

    def test_listing_that_repeats_a_registration_says_nothing_new(self) -> None:
        """Guards against replicas that turn cold at each reading of the store."""
        first = self.register(2.0, None)
        self.clock.advance(1.9)
        self.register(2.0, first, Source.LISTING)
        self.assertFalse(self.is_cold_after(0.2))

    def test_new_lifetime_inherits_nothing(self) -> None:
        self.register(3.0, None)
        self.cold.record_registration(endpoint("i-1", born=7), None, Source.WATCH)
        self.assertNotIn("i-1@7", self.cold.without_capacity("llm"))
        self.cold.forget({"i-1@7"})
        self.assertFalse(self.cold.any_cold)

    def test_response_of_any_kind_applies_at_once(self) -> None:
        found = self.register(0.0, None)
        self.cold.record_response(found, 1.5, self.clock.monotonic())
        self.assertTrue(self.is_cold_after(1.4))
        self.cold.record_response(found, 0.0, self.clock.monotonic())
        self.assertFalse(self.cold.any_cold)

    def test_unreachable_replica_is_cold_until_told_otherwise(self) -> None:
        """Guards against an answer from before the failure, which proves nothing."""
        found = self.register(0.0, None)
        self.cold.record_unreachable("i-1")
        self.cold.record_response(found, 0.0, self.clock.monotonic() - 1.0)
        self.assertTrue(self.is_cold_after(COLD_SECONDS - 0.1))
        self.assertFalse(self.is_cold_after(0.2))
        self.cold.record_unreachable("i-1")
        self.register(0.0, found)
        self.assertFalse(self.cold.any_cold)

    def test_group_formed_anew_is_cold(self) -> None:
        found = self.register(0.0, None)
        found = self.register(0.0, found, epoch=2)
        self.assertTrue(self.cold.any_cold)
        self.register(0.0, found, epoch=2)
        self.assertFalse(self.cold.any_cold)

    def test_end_of_an_evacuation_outweighs_registrations_written_before(self) -> None:
        found = self.register(0.0, None)
        self.cold.record_evacuation_ended([found])
        self.register(0.0, found)
        self.assertTrue(self.is_cold_after(COLD_SECONDS - 0.1))
        self.assertFalse(self.is_cold_after(0.2))

    def test_service_that_states_no_cold_time_has_no_cold_replicas(self) -> None:
        """Guards against an error on the way of a request where only the rate is configured."""
        self.register(0.0, None)
        self.config.services["llm"] = replace(self.config.services["llm"], cold_seconds=0.0)
        self.cold.record_unreachable("i-1")
        self.assertEqual(self.cold.counts(), {})

    def test_service_without_a_cold_rate_has_no_cold_replicas(self) -> None:
        self.config.services = table(1).services
        cold = ColdReplicas(
            self.clock,
            self.rng,
            ColdQuotas(self.clock, "a", (), dict, lambda: True),
            self.config.services.get,
            COLD_OVERAGE,
        )
        cold.record_registration(replace(endpoint("i-1"), cold_left=3.0), None, Source.WATCH)
        self.assertEqual(cold.without_capacity("llm"), frozenset())
        self.assertEqual(cold.counts(), {})

    def test_header(self) -> None:
        def read(*values: bytes) -> float | None:
            headers = [(b"Carawayhub-Cold-Remaining", value) for value in values]
            return PlatformWire().answer(200, headers).cold_left

        self.assertEqual(read(b"1500"), 1.5)
        self.assertEqual(read(b"0"), 0.0)
        self.assertEqual(read(b"10", b"20"), 0.02)
        for value in (b"", b"-1", b"soon", b"1e3"):
            self.assertIsNone(read(value))
        self.assertIsNone(read())

    def test_lines_and_metrics(self) -> None:
        with patch("carawayhub.gateway.coldreplicas.logger") as log:
            for at in range(3 * MAX_LOGGED_PER_SECOND):
                found = replace(endpoint(f"i-{at}"), cold_left=3.0)
                self.cold.record_registration(found, None, Source.LISTING)
        self.assertEqual(log.bind.call_count, MAX_LOGGED_PER_SECOND)
        page = Tally(replica_limits=lambda: ReplicaLimits(cold=self.cold.counts())).page()
        self.assertIn('carawayhub_gateway_cold_replicas{service="llm"} 192', page)
        self.assertIn("carawayhub_gateway_held_back_cold_total 0", page)


class Sends(ColdCase):
    """Whether another request may be sent."""

    def test_no_window_holds_more_than_the_units(self) -> None:
        """Guards against excess whatever callers ask, from the first moment on."""
        self.register(60.0, None)
        sent: list[float] = []
        for _ in range(600):
            sent += [self.clock.monotonic()] * self.send(50)
            self.clock.advance(0.05)
        worst = max(sum(at <= each < at + WINDOW_SECONDS - 0.01 for each in sent) for at in sent)
        self.assertLessEqual(worst, UNITS)
        self.assertGreater(len(sent), 0.9 * RATE * 30.0)
        self.assertLess(len(sent), 1.2 * RATE * 30.0)

    def test_warm_replica_that_turns_cold_is_left_alone_for_a_window(self) -> None:
        """Guards against counting none of the requests that other entries have just sent."""
        found = self.register(0.0, None)
        self.assertEqual(self.send(200), 200)
        self.register(3.0, found)
        self.assertEqual(self.send(200), 0)
        self.clock.advance(WINDOW_SECONDS - 0.1)
        self.assertEqual(self.send(200), 0)
        self.clock.advance(0.6)
        self.assertGreater(self.send(200), 0)

    def test_connections_that_open_late_are_checked_when_the_request_is_sent(self) -> None:
        """Guards against requests that got slots seconds apart and arrive together."""
        self.register(60.0, None)
        waiting = 0
        for _ in range(8):
            self.clock.advance(1.0)
            while "i-1" not in self.cold.without_capacity("llm"):
                self.cold.reserve(endpoint("i-1"))
                waiting += 1
        self.assertGreater(waiting, 2 * UNITS)
        self.assertLessEqual(sum(self.cold.claim_send("i-1") for _ in range(waiting)), UNITS)
        self.assertGreater(self.cold.held_back, 0)

    def test_suspended_entry_counts_by_the_time_that_passed(self) -> None:
        self.register(3.0, None)
        self.clock.advance(30.0)
        self.assertEqual(self.send(200), 200)


class Pool(ColdCase):
    """What a pool does with cold replicas."""

    def pool(self, endpoints: Iterable[Endpoint], rates: ReplicaRates | None = None) -> ServicePool:
        view = FleetView(self.clock, 1e9)
        view.on_registration = self.cold.record_registration
        changes = (TablePublished(self.config), *map(EndpointPublished, endpoints))
        view.replace(Published(revision=Revision(0, 1), changes=changes))
        return ServicePool(
            "llm",
            view,
            Loads(),
            Health(self.clock),
            self.clock,
            self.rng,
            RetryShare(self.clock, 0.2, 90.0, 10.0),
            rates=rates,
            cold=self.cold,
        )

    def acquired(self, pool: ServicePool, count: int) -> list[str]:
        slots = (pool._acquire_now(admitted(work(1, 1))) for _ in range(count))
        return [each.endpoint.id for each in slots if each is not None]

    def replicas(self, *places: int) -> list[Endpoint]:
        return [
            replace(
                endpoint(f"i-{at}", places=each, address=f"10.0.0.{at + 1}:80"),
                cold_left=3.0 if at else 0.0,
            )
            for at, each in enumerate(places)
        ]

    def test_warm_replicas_get_no_more_than_their_slots(self) -> None:
        """Guards against a domain that returns cold and leaves its requests to full replicas."""
        found = self.acquired(self.pool(self.replicas(5, 500)), 400)
        self.assertEqual(found.count("i-0"), 5)
        self.assertLessEqual(found.count("i-1"), UNITS)

    def test_cold_and_announced_limits_both_apply(self) -> None:
        rates = ReplicaRates(self.clock, self.rng, work_key)
        pool = self.pool(self.replicas(5, 500)[1:], rates)
        rates.record_limit("i-1", 1.0, self.clock.monotonic())
        self.clock.advance(1.0)
        self.assertEqual(len(self.acquired(pool, 100)), 2)
        rates.record_limit("i-1", 1000.0, self.clock.monotonic())
        self.clock.advance(0.9)
        self.assertLessEqual(len(self.acquired(pool, 100)), UNITS)


class Fleets(unittest.TestCase):
    """Whole entries in virtual time."""

    def test_no_second_exceeds_the_bound(self) -> None:
        """Entries start and are cut off, datagrams are lost, replicas return, restart and turn."""
        for kind in (Kind.RETURN, Kind.RESTART, Kind.AGAIN):
            for seed in (1, 2):
                with self.subTest(kind=kind, seed=seed):
                    history = History(
                        entries=7,
                        seed=seed,
                        kind=kind,
                        replicas=6,
                        demand=400.0,
                        troubles=True,
                        lost=0.1,
                    )
                    self.assertEqual(play(history).exceeded, 0)

    def test_start_of_all_entries_and_lock_step_groups_keep_to_the_bound(self) -> None:
        for plain, lead in ((True, 0.0), (False, STARTING_SECONDS)):
            with self.subTest(plain=plain):
                history = History(
                    entries=7, seed=1, kind=Kind.AGAIN, demand=300.0, plain=plain, lead=lead
                )
                self.assertEqual(play(history).exceeded, 0)

    def test_bound_holds_beside_an_announced_limit(self) -> None:
        history = History(entries=7, seed=1, demand=300.0, limit=5.0)
        found = play(history)
        self.assertEqual(found.exceeded, 0)
        self.assertEqual(found.limits_exceeded, 0)
        self.assertLess(found.used * RATE, 1.5 * 5.0)

    def test_steady_demand_uses_the_rate(self) -> None:
        found = play(History(entries=7, seed=1, demand=300.0))
        self.assertEqual(found.exceeded, 0)
        self.assertGreaterEqual(found.used, 0.9)
        self.assertLessEqual(found.worst, BOUND)

    def test_bound_can_be_exceeded(self) -> None:
        """Guards against histories that would pass without any limit."""
        history = History(entries=7, seed=1, kind=Kind.RETURN, replicas=6, demand=400.0)
        self.assertGreater(play(history, limited=False).exceeded, 0)


class Disabled(unittest.TestCase):
    """Services without a cold rate."""

    def sent(self, plain: bool, seed: int) -> list[tuple[float, str, str, bytes]]:
        fleet = RequestFleet(
            entries=7, groups=6 if plain else 1, ranks=1 if plain else 6, seed=seed, plain=plain
        )
        rng = random.Random(seed)

        async def story() -> None:
            fleet.cold_until["i-1-0"] = anyio.current_time() + COLD_SECONDS
            fleet.publish(EndpointPublished(list(fleet.by_host.values())[1].endpoint()))
            for at in range(300):
                if at == 150:
                    next(iter(fleet.by_host.values())).end()
                fleet.start(fleet.ask, b"ask %d" % at)
                await anyio.sleep(rng.expovariate(60.0))

        fleet.play(story)
        return [(each.at, each.entry, each.replica, each.content) for each in fleet.sent]

    def test_same_requests_are_sent_as_without_this_part(self) -> None:
        for plain in (True, False):
            for seed in (1, 2):
                with self.subTest(plain=plain, seed=seed):
                    now = self.sent(plain, seed)
                    with (
                        patch.object(ColdReplicas, "any_cold", False),
                        patch.object(ColdReplicas, "claim_send", lambda *_: True),
                        patch.object(ColdReplicas, "reserve", lambda *_: None),
                        patch.object(ColdQuotas, "update", lambda *_: None),
                    ):
                        self.assertEqual(now, self.sent(plain, seed))
                    self.assertGreater(len(now), 100)


if __name__ == "__main__":
    unittest.main()
