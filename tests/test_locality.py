"""Selection of replicas by failure domain, without a network."""

import random
import unittest
from collections import Counter
from dataclasses import replace
from unittest import mock

import anyio
from loguru import logger

from benchmarks.locality import SCENARIOS, compare
from benchmarks.request_fleet import RequestFleet
from carawayhub.clock import ManualClock
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.locality import Locality, Origin
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.placement import Placement, Selection
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import (
    DomainEvacuated,
    EndpointPublished,
    EvacuationEnded,
    Published,
    TablePublished,
)
from carawayhub.gateway.process import GatewayOptions
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from tests.gateway_world import admitted, endpoint, entry_options, table, work

MARGIN = 0.2
KV_TOKENS = 186_000


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def replicas(**counts: int) -> list[Endpoint]:
    """Return endpoints with five slots, by failure domain."""
    return [
        endpoint(f"{domain}{at}", places=5, domain=domain)
        for domain, count in counts.items()
        for at in range(count)
    ]


class WithoutDomains(Placement):
    """The selection that ignores failure domains, as it is specified for a margin of 0."""

    def choose(self, endpoints, work, kv_tokens, tried, sample=0):
        usable = self._usable(endpoints, tried)
        if not usable:
            return None
        usual = self._median_seconds(usable) if kv_tokens == 0 else 0.0
        sampled = self._rng.sample(usable, sample) if 0 < sample < len(usable) else usable
        best = min(sampled, key=lambda each: self._cost(each, work, kv_tokens, usual))
        if not self.is_free(best, work, kv_tokens) and len(sampled) < len(usable):
            best = min(usable, key=lambda each: self._cost(each, work, kv_tokens, usual))
        return Selection(best, self.is_free(best, work, kv_tokens))


class Selecting(unittest.TestCase):
    """Single decisions of an entry in failure domain ``a``."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.loads = Loads()
        self.health = Health(self.clock)

    def placement(self, endpoints: list[Endpoint]) -> Placement:
        rng = random.Random(4)
        self.locality = Locality("llm", "a", MARGIN, self.loads, self.clock, rng, lambda: endpoints)
        return Placement(self.loads, self.health, rng, self.locality)

    def fill(self, endpoints: list[Endpoint], requests: int) -> None:
        for each in endpoints:
            for _ in range(requests):
                self.loads.begin(each.id, work())

    def chosen(self, endpoints: list[Endpoint], sample: int = 2) -> Endpoint:
        placement = self.placement(endpoints)
        found = placement.choose(endpoints, work(), KV_TOKENS, frozenset(), sample)
        placement.sent(found.endpoint)
        return found.endpoint

    def test_own_endpoints_are_used_up_to_the_margin(self) -> None:
        endpoints = replicas(a=4, b=4, c=4)
        self.loads.begin("a0", work())
        self.assertEqual(self.chosen(endpoints).failure_domain, "a")
        self.fill(endpoints[1:4], 1)
        self.assertNotEqual(self.chosen(endpoints).failure_domain, "a")
        self.assertEqual(self.locality.sent_requests[Origin.OVERFLOW], 1)

    def test_margin_bounds_the_distance_between_domains(self) -> None:
        """Guards against ranks of one domain that slow down each pass of a lock-step group."""
        endpoints = replicas(a=4, b=4, c=4)
        placement = self.placement(endpoints)
        for _ in range(36):
            found = placement.choose(endpoints, work(), KV_TOKENS, frozenset(), 2)
            self.loads.begin(found.endpoint.id, work())
        present = [sum(self.loads.total(e.id).requests for e in endpoints[:4])]
        present.append(36 - present[0])
        self.assertLessEqual(present[0] / 20 - present[1] / 40, MARGIN + 1 / 20)

    def test_own_endpoint_without_a_free_slot_is_not_waited_for(self) -> None:
        """Guards against requests that queue at home while other failure domains are free."""
        endpoints = replicas(a=1, b=5)
        self.fill(endpoints[:1], 5)
        self.fill(endpoints[1:], 4)
        self.assertEqual(self.chosen(endpoints).failure_domain, "b")

    def test_full_samples_are_no_reason_to_wait(self) -> None:
        endpoints = replicas(a=3, b=30)
        self.fill(endpoints[:-1], 5)
        self.assertEqual(self.chosen(endpoints).id, endpoints[-1].id)

    def test_failing_own_domain_gets_less(self) -> None:
        """Guards against a domain that stays empty because it fails all its requests at once."""
        endpoints = replicas(a=4, b=4)
        for each in endpoints[:4]:
            for _ in range(4):
                self.health.answered(each.id, 0.0, ok=False)
        self.fill(endpoints[4:], 1)
        self.assertEqual(self.chosen(endpoints).failure_domain, "b")

    def test_unreachable_own_domain_is_left_to_the_others(self) -> None:
        endpoints = replicas(a=4, b=4)
        for each in endpoints[:4]:
            self.health.unreachable(each.id)
        self.assertEqual(self.chosen(endpoints).failure_domain, "b")
        self.assertEqual(self.locality.sent_requests[Origin.ABSENT], 1)

    def test_without_own_endpoints_load_is_even_over_the_rest(self) -> None:
        """Guards against sending all requests of an evacuated domain to one other domain."""
        endpoints = replicas(b=4, c=8)
        placement = self.placement(endpoints)
        for _ in range(36):
            found = placement.choose(endpoints, work(), KV_TOKENS, frozenset())
            self.loads.begin(found.endpoint.id, work())
        self.assertEqual({self.loads.total(e.id).requests for e in endpoints}, {3})

    def test_domain_that_is_lost_and_back_is_followed(self) -> None:
        """Guards against averages of endpoints that are published no more."""
        before, after = replicas(a=2, b=4), replicas(b=4)
        current = before
        rng = random.Random(4)
        locality = Locality("llm", "a", MARGIN, self.loads, self.clock, rng, lambda: current)
        placement = Placement(self.loads, self.health, rng, locality)
        for current, domain in ((before, "a"), (after, "b"), (before, "a")):
            found = placement.choose(current, work(), KV_TOKENS, frozenset(), 2)
            self.assertEqual(found.endpoint.failure_domain, domain)

    def test_margin_of_0_chooses_as_without_domains(self) -> None:
        """Guards against other selections, or draws, where no margin is configured."""
        endpoints = replicas(a=12, b=11, c=3)
        rngs = [random.Random(9), random.Random(9)]
        view = FleetView(self.clock, 1.2)
        changes = (TablePublished(table()), *(EndpointPublished(each) for each in endpoints))
        view.replace(Published(revision=Revision(0, 1), changes=changes))
        pools = []
        for rng in rngs:
            retries = RetryShare(self.clock, 0.2, 90.0, 10.0)
            pool = ServicePool("llm", view, Loads(), self.health, self.clock, rng, retries)
            pools.append(pool)
        pools[1]._placement = WithoutDomains(pools[1]._loads, self.health, rngs[1])
        script = random.Random(2)
        held: list[tuple[str, str]] = []
        for at in range(3_000):
            self.clock.advance(0.003)
            if held and script.random() < 0.49:
                ended = held.pop(script.randrange(len(held)))
                for pool, each in zip(pools, ended, strict=True):
                    pool._loads.end(each, work())
            if at % 50 == 0:
                self.health.unreachable(script.choice(endpoints).id)
            tried = frozenset({script.choice(endpoints).id} if at % 7 == 0 else ())
            found = [pool._choose(admitted(), tried) for pool in pools]
            self.assertEqual(*(each and (each.endpoint.id, each.free) for each in found))
            self.assertEqual(*(rng.getstate() for rng in rngs))
            if found[0].free:
                held.append(tuple(each.endpoint.id for each in found))
                for pool, each in zip(pools, found, strict=True):
                    pool._begin(each.endpoint, work())

    def test_pool_uses_and_counts_the_own_domain(self) -> None:
        endpoints = replicas(a=3, b=3)
        view = FleetView(self.clock, 1.2)
        changes = (TablePublished(table()), *(EndpointPublished(each) for each in endpoints))
        view.replace(Published(revision=Revision(0, 1), changes=changes))
        retries = RetryShare(self.clock, 0.2, 90.0, 10.0)
        pool = ServicePool(
            "llm",
            view,
            self.loads,
            self.health,
            self.clock,
            random.Random(1),
            retries,
            failure_domain="b",
            domain_margin=MARGIN,
        )
        slot = pool._acquire_free(admitted())
        self.assertEqual(slot.endpoint.failure_domain, "b")
        self.assertEqual(pool.locality.counts(), {"own": 1, "overflow": 0, "absent": 0})


class Ways(unittest.TestCase):
    """Ways to prefer the own failure domain, on the same seeds."""

    def test_fewer_requests_cross_and_ranks_stay_as_even(self) -> None:
        """Guards against locality at the expense of balance, under each load of the model."""
        for name, scenario in SCENARIOS.items():
            with self.subTest(load=name):
                found = compare(scenario, ("0", "0.2", "weights"), 1)
                ignoring, margin, weights = (found[way] for way in ("0", "0.2", "weights"))
                self.assertLess(margin.crossing, weights.crossing)
                self.assertLess(margin.crossing, 0.7 * ignoring.crossing)
                self.assertLess(margin.deviation, 1.05 * ignoring.deviation)
                self.assertLess(margin.excess, 1.05 * ignoring.excess)
                self.assertLess(margin.domain_excess, ignoring.domain_excess + MARGIN)
                self.assertLess(margin.beyond, ignoring.beyond + 0.02)
                self.assertLess(margin.seconds, 1.03 * ignoring.seconds)


class Fleets(unittest.TestCase):
    """Entries in virtual time, with gossip that loses datagrams and requests through the relay."""

    def fleet(self, entries: int, margin: float) -> RequestFleet:
        """Return a fleet in which entries and replicas share three failure domains."""
        fleet = RequestFleet(entries=entries, ranks=24, domains=3, lost=0.02)

        def options(ip: str, ips: list[str]) -> GatewayOptions:
            domain = f"d{ips.index(ip) % 3}"
            return replace(entry_options(ip, ips), domain_margin=margin, failure_domain=domain)

        patch = mock.patch("benchmarks.request_fleet.entry_options", options)
        patch.start()
        self.addCleanup(patch.stop)
        return fleet

    async def ask(self, fleet: RequestFleet, requests: int) -> None:
        async with anyio.create_task_group() as tasks:
            for at in range(requests):
                tasks.start_soon(fleet.ask, b"%d" % at)
                await anyio.sleep(0.01)

    def crossing(self, fleet: RequestFleet) -> float:
        crossed = sum(
            fleet.domain_of(each.replica) != f"d{fleet.ips.index(each.entry) % 3}"
            for each in fleet.sent
        )
        return crossed / len(fleet.sent)

    def run_for(self, entries: int) -> None:
        shares = []
        for margin in (0.0, MARGIN):
            fleet = self.fleet(entries, margin)

            async def story(fleet: RequestFleet = fleet) -> None:
                await self.ask(fleet, 300)

            fleet.play(story)
            self.assertTrue(all(each.served for each in fleet.told))
            shares.append(self.crossing(fleet))
        self.assertGreater(shares[0], 0.5)
        self.assertLess(shares[1], 0.25)

    def test_few_requests_cross_among_7_entries(self) -> None:
        """Guards against a margin that reaches the selection, but not the requests."""
        self.run_for(7)

    def test_few_requests_cross_among_45_entries(self) -> None:
        """Guards against loads that arrive through delegates too late to stay local."""
        self.run_for(45)

    def test_evacuated_domain_is_replaced_by_all_others_and_used_again(self) -> None:
        """Guards against callers of an evacuated domain that fill one other domain."""
        fleet = self.fleet(7, MARGIN)

        async def story() -> None:
            fleet.publish(DomainEvacuated("d1", Revision(0, fleet.revision + 1)))
            await self.ask(fleet, 300)
            used = Counter(fleet.domain_of(each.replica) for each in fleet.sent)
            self.assertEqual(used["d1"], 0)
            self.assertLess(max(used.values()), 0.65 * sum(used.values()))
            pages = "".join(each.process.metrics() for each in fleet.live.values())
            self.assertRegex(pages, r'locality_requests_total{service="llm",origin="absent"} [1-9]')
            fleet.sent.clear()
            fleet.publish(EvacuationEnded("d1"))
            await self.ask(fleet, 300)
            self.assertLess(self.crossing(fleet), 0.25)
            self.assertTrue(all(each.served for each in fleet.told))

        fleet.play(story)


if __name__ == "__main__":
    unittest.main()
