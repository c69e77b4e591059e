"""Entries that the directory returns to callers, by failure domain, capacity and load."""

import json
import random
import unittest
from collections import Counter
from dataclasses import replace

import anyio
import msgspec
from loguru import logger

from benchmarks.directory_choice import SCENARIOS, compare
from benchmarks.request_fleet import _State
from benchmarks.virtual_time import LoopClock
from carawayhub.clock import ManualClock
from carawayhub.gateway.directory import PLAN_SECONDS, DirectoryQuery, EntryDirectory
from carawayhub.gateway.entrychoice import (
    MAX_ADDRESSES,
    MIN_ADDRESSES,
    EntryOption,
    plan_answers,
    request_capacity,
)
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import Hello, MemberRow, News, Phase
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.ports import ReloadableSettings
from carawayhub.gateway.process import GatewayProcess, VmResources
from carawayhub.gateway.regions import AllowedRegions
from carawayhub.gateway.tally import LocalityCounts, Tally
from carawayhub.gateway.telling import OwnAddress
from carawayhub.gateway.view import FleetView
from carawayhub.limits.poison import PoisonRecords
from carawayhub.platform.headers import PlatformWire
from carawayhub.platform.probes import probe_app
from tests.gateway_world import entry_options, rates
from tests.test_gateway_large import DOMAINS, ENTRIES, Fleet, run_scenario

NO_REGIONS = AllowedRegions(FleetView(ManualClock(0.0), 1.2), {})


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def entries(**counts: int) -> list[EntryOption]:
    """Return equal entries with little load, by failure domain."""
    return [
        EntryOption(f"{domain}{at}", domain, 200, 20)
        for domain, count in counts.items()
        for at in range(count)
    ]


class Answers(unittest.TestCase):
    """Single answers."""

    def setUp(self) -> None:
        self.rng = random.Random(6)

    def listed(self, options: list[EntryOption], domain: str, answers: int = 2_000) -> Counter[str]:
        """Return how many callers choose each entry, one for each answer."""
        plan = plan_answers(options, domain)
        return Counter(self.rng.choice(plan.draw(self.rng)) for _ in range(answers))

    def test_own_entries_suffice_for_their_callers(self) -> None:
        chosen = self.listed(entries(a=10, b=10, c=10), "a")
        self.assertEqual({each[0] for each in chosen}, {"a"})

    def test_callers_of_an_entry_follow_its_capacity(self) -> None:
        """Guards against an entry with half a core that gets as many callers as one with two."""
        options = [
            EntryOption(f"a{at}", "a", (100, 200, 430)[at % 3], (10, 20, 43)[at % 3])
            for at in range(15)
        ]
        chosen = self.listed(options, "a", 12_000)
        total = sum(each.capacity for each in options)
        for each in options:
            share = chosen[each.callers] / 12_000
            self.assertAlmostEqual(share, each.capacity / total, delta=0.015)

    def test_answers_differ_and_each_has_several_addresses(self) -> None:
        """Guards against callers that gather at a few entries, or have only a dead one."""
        for options, domain in (
            (entries(a=21, b=21, c=22), "a"),
            (entries(a=3, b=2, c=2), "a"),
            (entries(a=1, b=30), "a"),
            ([EntryOption("a0", "a", 9_000, 0), *entries(a=0, b=9)], "a"),
            ([EntryOption(f"a{at}", "a", 5_000 if at == 0 else 100) for at in range(9)], "a"),
            (entries(b=300, c=300), "a"),
        ):
            plan = plan_answers(options, domain)
            for _ in range(200):
                found = plan.draw(self.rng)
                self.assertLessEqual(MIN_ADDRESSES, len(found))
                self.assertLessEqual(len(found), MAX_ADDRESSES)
                self.assertEqual(len(set(found)), len(found))
        plan = plan_answers(
            [replace(each, capacity=100 + 50 * at) for at, each in enumerate(entries(a=15))], "a"
        )
        self.assertGreater(len({frozenset(plan.draw(self.rng)) for _ in range(100)}), 60)

    def test_few_own_entries_are_filled_up_with_others(self) -> None:
        """Guards against callers without a choice when the two entries of a domain die."""
        for _ in range(100):
            found = plan_answers(entries(a=2, b=2, c=3), "a").draw(self.rng)
            self.assertLessEqual(2, sum(each[0] != "a" for each in found))

    def test_domain_without_entries_is_spread_over_the_rest(self) -> None:
        chosen = self.listed(entries(b=5, c=10), "a", 6_000)
        by_domain = Counter(each[0] for each in chosen.elements())
        self.assertAlmostEqual(by_domain["c"] / 6_000, 2 / 3, delta=0.03)

    def test_full_own_entries_share_their_callers(self) -> None:
        options = [
            replace(each, in_flight=180) if each.failure_domain == "a" else each
            for each in entries(a=10, b=10, c=10)
        ]
        chosen = self.listed(options, "a")
        others = sum(count for name, count in chosen.items() if name[0] != "a") / 2_000
        self.assertAlmostEqual(others, 1.0 - 0.6 / 0.9, delta=0.05)

    def test_domains_that_are_all_full_keep_their_callers(self) -> None:
        """Guards against traffic across failure domains that relieves nobody."""
        options = [replace(each, in_flight=195) for each in entries(a=10, b=10)]
        self.assertEqual({each[0] for each in self.listed(options, "a")}, {"a"})

    def test_unknown_capacities_count_alike(self) -> None:
        """Guards against a division by zero, or no callers, while entries are being replaced."""
        options = [EntryOption(f"a{at}", "a") for at in range(6)]
        chosen = self.listed(options, "a", 3_000)
        self.assertEqual(len(chosen), 6)
        self.assertLess(max(chosen.values()), 2 * min(chosen.values()))
        strange = [EntryOption("a9", "a", -5, -7), *options]
        self.assertEqual(len(self.listed(strange, "a")), 7)
        mixed = [EntryOption("a9", "a", 200, 0), *options]
        self.assertEqual(len(self.listed(mixed, "a")), 7)

    def test_capacity_is_that_of_the_scarcest_resource(self) -> None:
        self.assertEqual(request_capacity(0.0, 0, 0, 0.0), 0)
        self.assertEqual(request_capacity(2.15, 0, 0, 0.0), 430)
        self.assertEqual(request_capacity(2.15, 30_000_000, 0, 0.0), 1)
        self.assertEqual(request_capacity(2.15, 552_000_000, 8_192, 1_750_000.0), 110)
        self.assertGreater(request_capacity(0.5, 152_000_000, 1_535, 0.0), 90)


class Directory(unittest.TestCase):
    """The directory of one entry."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        own = OwnAddress(ip="10.1.0.10", port=1, callers="10.1.0.10:80", failure_domain="a")
        self.gossip = Gossip(
            own,
            frozenset(),
            Loads(),
            PoisonRecords(self.clock),
            rates(self.clock),
            self.clock,
            random.Random(1),
        )
        self.gossip.own.phase = Phase.READY
        self.directory = EntryDirectory(
            self.gossip, own.callers, random.Random(2), NO_REGIONS, self.clock
        )

    def hear(self, ip: str, domain: str, phase: Phase = Phase.READY, number: int = 1) -> None:
        hello = Hello(
            ip=ip,
            incarnation="r",
            number=number,
            phase=phase,
            callers=f"{ip}:80",
            failure_domain=domain,
            interval=10.0,
            peers=[],
            works=[],
            news=News(0, 0.0, 0.0),
        )
        self.gossip._apply_hello(hello, phase)

    def asked(self, domain: str) -> set[str]:
        self.clock.advance(PLAN_SECONDS)
        return set(self.directory.addresses(DirectoryQuery(failure_domain=domain)))

    def test_entries_that_stop_or_are_out_of_touch_are_not_named(self) -> None:
        for at in range(6):
            self.hear(f"10.1.0.{at + 20}", "a")
        self.hear("10.1.0.20", "a", Phase.LEAVING, 2)
        self.hear("10.1.0.21", "a", Phase.OUT_OF_TOUCH, 2)
        named = set().union(*(self.asked("a") for _ in range(50)))
        self.assertEqual(named & {"10.1.0.20:80", "10.1.0.21:80"}, set())
        self.assertEqual(len(named), 5)

    def test_entries_out_of_touch_are_named_where_no_other_is_ready(self) -> None:
        """Guards against empty answers during an outage of the store."""
        self.hear("10.1.0.20", "b", Phase.OUT_OF_TOUCH)
        self.gossip.own.phase = Phase.OUT_OF_TOUCH
        self.assertEqual(self.asked("a"), {"10.1.0.10:80", "10.1.0.20:80"})
        self.gossip.own.phase = Phase.LEAVING
        self.assertEqual(self.asked("a"), {"10.1.0.20:80"})

    def test_lost_failure_domain_is_replaced_by_the_others(self) -> None:
        for at in range(6):
            self.hear(f"10.2.0.{at + 20}", "b")
            self.hear(f"10.3.0.{at + 20}", "c")
        self.assertTrue(all(each.startswith("10.2.") for each in self.asked("b")))
        for at in range(6):
            self.hear(f"10.2.0.{at + 20}", "b", Phase.LEAVING, 2)
        named = self.asked("b")
        self.assertGreaterEqual(len(named), MIN_ADDRESSES)
        self.assertFalse(any(each.startswith("10.2.") for each in named))

    def test_silent_entries_are_not_named(self) -> None:
        """Guards against entries that were killed or froze, and are still in a stored plan."""
        for at in range(6):
            self.hear(f"10.1.0.{at + 20}", "a")
        self.assertGreaterEqual(len(self.asked("a")), MIN_ADDRESSES)
        self.clock.advance(61.0)
        self.assertEqual(self.asked("a"), {"10.1.0.10:80"})

    def test_texts_of_callers_take_no_memory(self) -> None:
        """Guards against callers that state a new failure domain in each query."""
        for at in range(500):
            self.assertEqual(self.asked(f"nowhere-{at}"), {"10.1.0.10:80"})
        self.assertEqual(len(self.directory._reported), 1)
        self.assertEqual(self.directory.counts(), {"all": 500})

    def test_without_a_margin_answers_and_draws_are_as_before(self) -> None:
        """Guards against other answers, or draws, where failure domains are ignored."""
        for entries_known in (5, 90):
            for at in range(entries_known):
                self.hear(f"10.{at % 3 + 1}.0.{at // 3 + 20}", "abc"[at % 3])
            before, rng = random.Random(3), random.Random(3)
            directory = EntryDirectory(self.gossip, "10.1.0.10:80", rng, NO_REGIONS)
            for domain in ("a", "b", "", "nowhere") * 5:
                ready = [each.callers for each in self.gossip.entries(Phase.READY)]
                ready.append("10.1.0.10:80")
                sampled = before.sample(ready, 64) if len(ready) > 64 else ready
                self.assertEqual(
                    directory.addresses(DirectoryQuery(failure_domain=domain)), sampled
                )
                self.assertEqual(before.getstate(), rng.getstate())


class Ways(unittest.TestCase):
    """Ways to list entries, on the same seeds."""

    def test_fewer_callers_cross_and_entries_are_as_even(self) -> None:
        """Guards against own entries that get more callers than their capacity."""
        for name, scenario in SCENARIOS.items():
            with self.subTest(load=name):
                found = compare(scenario, 1)
                alike, threshold, gradual = found.values()
                self.assertLess(gradual.crossing, alike.crossing)
                self.assertLess(gradual.over, 0.03)
                self.assertLessEqual(gradual.swing, threshold.swing + 0.01)
                self.assertLess(gradual.spread, alike.spread + 0.03)
                self.assertLess(gradual.failed, alike.failed + 0.005)


class Telling(unittest.TestCase):
    """Capacities and loads of entries in the gossip."""

    def test_all_entries_learn_capacity_and_load_of_all_within_seconds(self) -> None:
        """Guards against members of a large fleet that know only their own failure domain."""
        fleet = Fleet(ENTRIES)

        async def scenario() -> None:
            for at, entry in enumerate(fleet.entries.values()):
                entry.own.address = replace(entry.own.address, capacity=100 + at)
                entry.own.in_flight = entry._loads.own_requests
                entry._loads.begin("i-1", Work(1 + at % 7, 0, 800))
            await anyio.sleep(2.0)
            stated = {
                ip: (entry.own.address.capacity, entry.own.in_flight())
                for ip, entry in fleet.entries.items()
            }
            for ip, entry in fleet.entries.items():
                known = {
                    each.ip: (each.capacity, each.in_flight) for each in entry.entries(Phase.READY)
                }
                self.assertEqual(known, {k: v for k, v in stated.items() if k != ip})
            directory = EntryDirectory(
                entry, entry.own.address.callers, random.Random(1), NO_REGIONS, LoopClock()
            )
            for domain in range(1, DOMAINS + 1):
                query = DirectoryQuery(failure_domain=str(domain))
                for address in directory.addresses(query):
                    self.assertTrue(address.startswith(f"10.{domain}."))

        run_scenario(fleet, scenario)

    def test_entries_of_an_older_version_are_understood(self) -> None:
        """Guards against entries that lose each other while they are replaced."""
        row = ["10.0.0.1", "r", 1, "10.0.0.1:80", "a", True]
        found = msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=MemberRow)
        self.assertEqual((found.capacity, found.in_flight), (0, -1))

    def test_changes_of_load_alone_send_no_member_list(self) -> None:
        """Guards against the whole list in each datagram, since loads change all the time."""
        row = MemberRow("10.0.0.1", "r", 1, "10.0.0.1:80", "a", True, 300, 7)
        other = replace_load(row, 9)
        self.assertEqual(row.lasting(), other.lasting())
        self.assertNotEqual(row.lasting(), MemberRow("10.0.0.1", "r", 2, "", "a", True).lasting())


def replace_load(row: MemberRow, in_flight: int) -> MemberRow:
    """Return the row of an entry with other requests in flight."""
    return MemberRow(
        row.ip,
        row.incarnation,
        row.phase,
        row.callers,
        row.failure_domain,
        row.reads,
        row.capacity,
        in_flight,
    )


class Wiring(unittest.IsolatedAsyncioTestCase):
    """An entry as a process, with and without a margin."""

    def process(self, margin: float) -> GatewayProcess:
        options = replace(
            entry_options("10.1.0.10", ["10.1.0.10"]),
            domain_margin=margin,
            resources=VmResources(cores=0.5),
        )
        return GatewayProcess(
            options,
            _State(),
            PlatformWire(),
            ManualClock(5.0),
            random.Random(1),
            lambda: ReloadableSettings(options.seeds),
        )

    async def test_margin_enables_selection_directory_and_statements(self) -> None:
        process = self.process(0.2)
        own = process._gossip.own
        self.assertEqual((own.address.capacity, own.in_flight()), (100, 0))
        process._loads.begin("i-1", Work(1, 5, 5))
        self.assertEqual(own.in_flight(), 1)
        self.assertIsNotNone(process.pool("llm").locality)
        process._gossip.own.phase = Phase.READY
        query = DirectoryQuery(failure_domain="1")
        self.assertEqual(process.addresses(query), ["10.1.0.10:80"])
        page = process.metrics().splitlines()
        self.assertIn('carawayhub_gateway_directory_answers_total{kind="own"} 1', page)
        name = "carawayhub_gateway_locality_requests_total"
        self.assertIn(f'{name}{{service="llm",origin="own"}} 0', page)

    async def test_entry_without_a_margin_states_nothing(self) -> None:
        """Guards against other gossip or selections in deployments that ignore domains."""
        process = self.process(0.0)
        own = process._gossip.own
        self.assertEqual((own.address.capacity, own.in_flight()), (0, -1))
        self.assertIsNone(process.pool("llm").locality)
        self.assertIsNone(process._directory._clock)
        self.assertEqual(process._locality_counts(), LocalityCounts())


class Queries(unittest.IsolatedAsyncioTestCase):
    """The directory query on the wire, and the counters."""

    async def resolve(self, query: bytes) -> DirectoryQuery:
        asked: list[DirectoryQuery] = []
        bodies: list[bytes] = []

        def addresses(found: DirectoryQuery) -> list[str]:
            asked.append(found)
            return ["10.0.0.1:80"]

        async def send(message: dict) -> None:
            bodies.append(message.get("body", b""))

        app = probe_app(lambda: True, addresses, str)
        scope = {"path": "/v1/resolve", "query_string": query}
        await app(scope, None, send)
        self.assertEqual(json.loads(bodies[-1])["Addrs"], ["10.0.0.1:80"])
        return asked[0]

    async def test_callers_state_host_region_and_failure_domain(self) -> None:
        found = await self.resolve(b"Name=caraway.example&Region=r1&Zone=brest%20hall")
        expected = DirectoryQuery(host="caraway.example", region="r1", failure_domain="brest hall")
        self.assertEqual(found, expected)

    async def test_malformed_queries_are_answered(self) -> None:
        for query in (b"", b"Zone", b"Zone=&Zone", b"Zone=a&Zone=b", b"\xff\xfe=%", b"a=1&" * 99):
            self.assertEqual(await self.resolve(query), DirectoryQuery(), query)

    def test_counters_are_on_the_page(self) -> None:
        counts = LocalityCounts({"llm": {"own": 3, "overflow": 1}}, {"mixed": 2})
        page = Tally(locality_counts=lambda: counts).page().splitlines()
        for line in (
            'carawayhub_gateway_locality_requests_total{service="llm",origin="own"} 3',
            'carawayhub_gateway_directory_answers_total{kind="mixed"} 2',
        ):
            self.assertIn(line, page)


if __name__ == "__main__":
    unittest.main()
