"""Regions in which requests may run: which replicas they reach, and what callers are told."""

import random
import unittest
from collections.abc import Awaitable, Callable, Iterator, Sequence, Set
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest import mock

import anyio
from loguru import logger

from benchmarks.request_fleet import RequestFleet
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.directory import DirectoryQuery
from carawayhub.gateway.health import Health
from carawayhub.gateway.line import RequestQueue, Requirements, Waiter
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import Endpoint, Organisation, RouteTable
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import (
    Change,
    DomainEvacuated,
    EndpointPublished,
    EvacuationEnded,
    Published,
    TablePublished,
)
from carawayhub.gateway.regions import AllowedRegions, allowed_regions, faults
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from tests.gateway_world import KEY, endpoint, route, table, work

WEST, EAST = frozenset({"west"}), frozenset({"east"})
REGIONS = {"d0": "west", "d1": "east"}
ANYWHERE = b"/anywhere/1"


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def fleet_of(**options: Any) -> RequestFleet:
    """Return entries before two failure domains in two regions."""
    defaults: dict[str, Any] = {
        "entries": 2,
        "ranks": 4,
        "domains": 2,
        "regions": REGIONS,
        "allowed": WEST,
    }
    return RequestFleet(**(defaults | options))


def reached(fleet: RequestFleet, since: int = 0) -> set[str]:
    """Return the failure domains of the replicas that requests reached."""
    return {fleet.domain_of(each.replica) for each in fleet.sent[since:]}


def pages(fleet: RequestFleet) -> str:
    return "".join(each.process.metrics() for each in fleet.live.values())


@contextmanager
def logged() -> Iterator[list[Any]]:
    found: list[Any] = []
    logger.enable("carawayhub")
    sink = logger.add(lambda each: found.append(each.record))
    try:
        yield found
    finally:
        logger.remove(sink)
        logger.disable("carawayhub")


class Sending(unittest.TestCase):
    """Ways on which a request reaches a replica."""

    def test_first_and_second_attempts_and_resumed_streams_stay_in_the_region(self) -> None:
        """Guards against a choice that ignores the list, under load and as replicas break off."""
        fleet = fleet_of(entries=3, ranks=6, events=20, places=2)

        async def story() -> None:
            for at in range(30):
                fleet.start(fleet.ask, b"%d" % at)
                await anyio.sleep(0.03)
                if at % 10 == 9:
                    for replica in fleet.by_host.values():
                        replica.break_off()
            await anyio.sleep(5.0)
            self.assertEqual(reached(fleet), {"d0"})
            self.assertGreater(len(fleet.sent), len({each.content for each in fleet.sent}))

        fleet.play(story)

    def test_refused_request_that_waits_for_replicas_stays_in_the_region(self) -> None:
        """Guards against a last resort elsewhere while all replicas in the region refuse."""
        fleet = fleet_of(ranks=4, plain=True)

        async def story() -> None:
            for replica in fleet.by_host.values():
                if replica.domain == "d0":
                    fleet.stated.turning_away[replica.id] = 1.0
            for at in range(10):
                await fleet.ask(b"%d" % at)
            self.assertEqual(reached(fleet), {"d0"})
            self.assertFalse(any(each.served for each in fleet.told))

        fleet.play(story)

    def test_list_of_the_organisation_counts_and_both_together(self) -> None:
        organisation = Organisation("armor", None, frozenset({"west", "north"}))
        fleet = fleet_of(allowed=frozenset({"west", "east"}), organisation=organisation)

        async def story() -> None:
            for at in range(12):
                await fleet.ask(b"%d" % at, path=ANYWHERE if at % 2 else b"/songs/1")
            self.assertEqual(reached(fleet), {"d0"})
            self.assertTrue(all(each.served for each in fleet.told))

        fleet.play(story)

    def test_replica_whose_region_is_unknown_gets_no_such_request(self) -> None:
        """Guards against a failure domain that the settings of an entry do not name."""
        fleet = fleet_of(regions={"d0": "west"}, ranks=4)

        async def story() -> None:
            for at in range(12):
                await fleet.ask(b"%d" % at)
            self.assertEqual(reached(fleet), {"d0"})

        fleet.play(story)

    def test_change_of_the_list_applies_to_requests_that_are_about_to_be_sent(self) -> None:
        """Guards against a way of sending without the last check: first attempts and resumed ones.

        Each delay is another point between the choice of an endpoint and the first byte.
        """
        for delay in (0.1, 0.3):
            fleet = fleet_of(entries=3, allowed=WEST | EAST, events=40)

            async def story(fleet: RequestFleet = fleet, delay: float = delay) -> None:
                for at in range(12):
                    fleet.start(fleet.ask, b"%d" % at)
                await anyio.sleep(1.0)
                for replica in fleet.by_host.values():
                    replica.break_off()
                for at in range(12):
                    fleet.start(fleet.ask, b"new-%d" % at)
                await anyio.sleep(delay)
                before = len(fleet.sent)
                fleet.allowed = WEST
                fleet.publish(TablePublished(fleet.table(2)))
                await anyio.sleep(4.0)
                self.assertEqual(reached(fleet, before), {"d0"})

            with mock.patch("benchmarks.request_fleet.CONNECT_SECONDS", 0.2):
                fleet.play(story)

    def test_list_that_the_configuration_lacks_no_more_restricts_nothing(self) -> None:
        fleet = fleet_of()

        async def story() -> None:
            fleet.allowed = frozenset()
            fleet.publish(TablePublished(fleet.table(2)))
            for at in range(12):
                await fleet.ask(b"%d" % at)
            self.assertEqual(reached(fleet), {"d0", "d1"})

        fleet.play(story)

    def test_only_replica_in_the_region_has_all_the_time_there_is(self) -> None:
        """Guards against an attempt that ends early to leave time for one elsewhere."""
        fleet = fleet_of(ranks=2, plain=True, first_seconds=5.0)

        async def story() -> None:
            told = await fleet.ask(b"a")
            self.assertTrue(told.served)
            self.assertEqual(len(fleet.sent), 1)

        fleet.play(story)


class Waiting(unittest.TestCase):
    """Requests that wait for a slot."""

    def test_request_whose_regions_are_full_blocks_nobody_else(self) -> None:
        """Guards against idle replicas elsewhere behind the first request of the queue."""
        fleet = fleet_of(entries=1, ranks=2, places=1, events=100)

        async def story() -> None:
            await self.fill(fleet, b"/songs/1", 2)
            fleet.start(fleet.ask, b"free-0", "", ANYWHERE)
            await anyio.sleep(0.1)
            self.assertEqual(reached(fleet), {"d0", "d1"})
            self.assertEqual([each.content for each in fleet.sent], [b"0", b"free-0"])

        fleet.play(story)

    def test_queued_request_behind_one_whose_regions_are_full_gets_a_slot(self) -> None:
        """Guards against a slot elsewhere that becomes free and stays so until the first is served.

        The route's list excludes one of the waiting requests from it.
        """
        fleet = fleet_of(entries=1, ranks=2, places=1, events=100)

        async def story() -> None:
            await self.fill(fleet, b"/songs/1", 1)
            await self.fill(fleet, ANYWHERE, 1)
            self.assertEqual(reached(fleet), {"d0", "d1"})
            fleet.start(fleet.ask, b"blocked")
            await anyio.sleep(0.02)
            fleet.start(fleet.ask, b"behind", "", ANYWHERE)
            await anyio.sleep(0.02)
            before = len(fleet.sent)
            self.complete(fleet, "d1")
            await anyio.sleep(0.1)
            self.assertEqual([each.content for each in fleet.sent[before:]], [b"behind"])

        fleet.play(story)

    def test_change_of_the_list_gives_a_waiting_request_the_slots_elsewhere(self) -> None:
        fleet = fleet_of(entries=1, ranks=2, places=1, events=100)

        async def story() -> None:
            await self.fill(fleet, b"/songs/1", 1)
            fleet.start(fleet.ask, b"waits")
            await anyio.sleep(0.02)
            fleet.allowed = EAST
            fleet.publish(TablePublished(fleet.table(2)))
            await anyio.sleep(0.3)
            self.assertEqual(fleet.domain_of(fleet.sent[-1].replica), "d1")

        fleet.play(story)

    async def fill(self, fleet: RequestFleet, path: bytes, count: int) -> None:
        for _ in range(count):
            fleet.start(fleet.ask, b"%d" % len(fleet.told), "", path)
            await anyio.sleep(0.02)

    def complete(self, fleet: RequestFleet, domain: str) -> None:
        """Let the replicas of a failure domain end what they run."""
        for replica in fleet.by_host.values():
            if replica.domain == domain:
                for line in list(replica.running):
                    del replica.running[line]
                    line.send(b"0\r\n\r\n")


class Draws(unittest.TestCase):
    """Draws between entries for the free slots of engines."""

    def test_request_whose_regions_are_full_does_not_use_up_the_draw(self) -> None:
        """Guards against slots elsewhere that wait for the next draw, one propagation delay on."""
        clock = ManualClock(100.0)
        view = FleetView(clock, 1.2)
        view.replace(Published(revision=Revision(0, 1), changes=self.published()))
        rng = random.Random(1)
        retries = RetryShare(clock, 0.2, 88.0, 10.0)
        for _ in range(60):
            retries.arrived()
        pool = ServicePool(
            "llm",
            view,
            Loads(),
            Health(clock),
            clock,
            rng,
            retries,
            lambda: 10.0,
            lambda: 0.1,
            allowed=AllowedRegions(view, REGIONS),
        )
        west = next(each for each in view.serving("llm") if each.failure_domain == "d0")
        pool._begin(west, work())
        with mock.patch.object(rng, "random", return_value=0.0):
            self.assertIsNone(pool._acquire_free(self.call(WEST)))
            slot = pool._acquire_free(self.call(frozenset()))
        self.assertIsNotNone(slot)

    def published(self) -> tuple[Change, ...]:
        listed = [
            replace(
                endpoint(f"i-{at}", places=1, address=f"127.0.0.{at + 1}:9"),
                failure_domain=f"d{at % 2}",
            )
            for at in range(2)
        ]
        return (TablePublished(table()), *map(EndpointPublished, listed))

    def call(self, regions: frozenset[str]) -> Admitted:
        req = mock.Mock(id=b"r")
        return Admitted(
            req=req,
            route=replace(route(), regions=regions),
            service="llm",
            organisation=None,
            arrived_at=100.0,
            ends_at=108.0,
            returned=False,
            work=work(),
            version=1,
        )

    def test_endpoint_whose_region_is_unknown_is_not_allowed(self) -> None:
        """Guards against a last check that passes what the settings do not name."""
        allowed = AllowedRegions(FleetView(ManualClock(1.0), 1.2), REGIONS)
        unknown = endpoint("i-1")
        self.assertFalse(allowed.allows(self.call(WEST), unknown))
        self.assertTrue(allowed.allows(self.call(frozenset()), unknown))
        self.assertTrue(allowed.allows(self.call(WEST), replace(unknown, failure_domain="d0")))


class Queue(unittest.TestCase):
    """The queue itself."""

    def test_request_from_the_middle_is_removed_and_the_order_stays(self) -> None:
        """Guards against a request that is removed in place of an equal one."""
        clock = ManualClock(5.0)
        queue = RequestQueue(clock, random.Random(1))
        needs = Requirements(
            rank=1, returned=False, patience=1.0, left=4.0, longest=4.0, recovery_wait=1.0
        )
        served: list[int] = []
        joined = []
        for at in range(4):
            joined.append(queue.join(needs, lambda ok, at=at: served.append(at)))
        second = queue.in_order()[1]
        queue.serve(second)
        self.assertEqual(len(queue), 3)
        self.assertTrue(all(each is not second for each in queue.in_order()))
        while isinstance(first := queue.first(), Waiter):
            queue.serve(first)
        self.assertEqual(sorted(served), [0, 1, 2, 3])


class Rejected(unittest.TestCase):
    """Requests that no configuration of the moment can serve."""

    def test_contradictory_lists_are_rejected_at_once_without_a_retry(self) -> None:
        fleet = fleet_of(organisation=Organisation("armor", None, EAST))

        async def story() -> None:
            told = await fleet.ask(b"a")
            self.assertEqual((told.status, told.code), (403, Code.REGIONS_CONTRADICT))
            self.assertLess(told.seconds, 0.1)
            self.assertLess(told.retry_after, 0.0)
            self.assertEqual(fleet.sent, [])
            self.assertIn('region_rejections_total{service="llm"} 1', pages(fleet))

        fleet.play(story)

    def test_regions_without_replicas_are_rejected_at_once_and_logged(self) -> None:
        fleet = fleet_of(allowed=frozenset({"north"}))

        async def story() -> None:
            with logged() as found:
                told = await fleet.ask(b"a")
            self.assertEqual((told.status, told.code), (503, Code.REGION_WITHOUT_ENDPOINT))
            self.assertLess(told.seconds, 0.1)
            self.assertGreater(told.retry_after, 0.0)
            self.assertLess(told.retry_after, 8.0 / 3)
            self.assertEqual(fleet.sent, [])
            (line,) = [each["extra"] for each in found if "allowed regions" in each["message"]]
            self.assertEqual((line["regions"], line["service"]), (["north"], "llm"))

        fleet.play(story)

    def test_evacuated_region_is_used_again_after_the_evacuation(self) -> None:
        """Guards against a request that leaves its regions since they are evacuated."""
        fleet = fleet_of(entries=1)

        async def story() -> None:
            fleet.publish(DomainEvacuated("d0", Revision(0, fleet.revision + 1)))
            told = await fleet.ask(b"a")
            self.assertEqual(told.code, Code.REGION_WITHOUT_ENDPOINT)
            self.assertTrue((await fleet.ask(b"b", path=ANYWHERE)).served)
            fleet.publish(EvacuationEnded("d0"))
            self.assertTrue((await fleet.ask(b"c")).served)
            self.assertEqual([fleet.domain_of(each.replica) for each in fleet.sent], ["d1", "d0"])

        fleet.play(story)

    def test_request_waits_for_the_stalled_group_of_its_region(self) -> None:
        """Guards against a rejection, or a send elsewhere, while the group there forms anew."""
        fleet = fleet_of(entries=1, groups=2, ranks=3, tells_groups=True)

        async def story() -> None:
            await fleet.ask(b"first")
            next(each for each in fleet.by_host.values() if each.domain == "d0").end()
            await anyio.sleep(3.2)
            told = await fleet.ask(b"a")
            self.assertTrue(told.served)
            self.assertGreater(told.seconds, 0.3)
            self.assertEqual(reached(fleet), {"d0"})

        fleet.play(story)

    def test_lists_that_turn_contradictory_are_stated_to_requests_that_wait(self) -> None:
        """Guards against a request that is told of an overload, or sent by its former list."""
        fleet = fleet_of(entries=1, ranks=2, places=1, events=100)

        async def story() -> None:
            for at in range(2):
                fleet.start(fleet.ask, b"%d" % at)
                await anyio.sleep(0.02)
            fleet.organisation = Organisation("armor", None, EAST)
            fleet.publish(TablePublished(fleet.table(2)))
            await anyio.sleep(1.0)
            self.assertEqual(len(fleet.sent), 1)
            self.assertEqual(fleet.told[1].code, Code.REGIONS_CONTRADICT)
            self.assertIn('region_rejections_total{service="llm"} 1', pages(fleet))

        fleet.play(story)

    def test_lists_that_turn_contradictory_before_the_first_byte_are_stated(self) -> None:
        """Guards against an attempt that ends as if its endpoint were leaving."""
        fleet = fleet_of(entries=1)

        async def story() -> None:
            fleet.start(fleet.ask, b"a")
            await anyio.sleep(0.1)
            fleet.organisation = Organisation("armor", None, EAST)
            fleet.publish(TablePublished(fleet.table(2)))
            await anyio.sleep(1.0)
            self.assertEqual(fleet.sent, [])
            self.assertEqual(fleet.told[0].code, Code.REGIONS_CONTRADICT)
            self.assertIn('region_rejections_total{service="llm"} 1', pages(fleet))

        with mock.patch("benchmarks.request_fleet.CONNECT_SECONDS", 0.2):
            fleet.play(story)


class Directory(unittest.TestCase):
    """Entries that callers of a host with allowed regions are told to use."""

    def play(self, story: Callable[[RequestFleet], Awaitable[None]], **options: Any) -> None:
        fleet = fleet_of(
            entries=6, entry_regions={"1": "west", "2": "east", "3": "north"}, **options
        )
        fleet.play(lambda: story(fleet))

    def found(self, fleet: RequestFleet, query: DirectoryQuery) -> set[str]:
        """Return the failure domains of the entries in an answer."""
        entry = next(iter(fleet.live.values()))
        return {each.split(".")[1] for each in entry.process.addresses(query)}

    def test_entries_in_the_regions_of_the_caller_and_of_the_host(self) -> None:
        async def story(fleet: RequestFleet) -> None:
            for host in ("caraway.example", "Caraway.example:80"):
                self.assertEqual(self.found(fleet, DirectoryQuery(host=host)), {"1"})
            asked = DirectoryQuery(host="caraway.example", region="north")
            self.assertEqual(self.found(fleet, asked), {"1", "3"})

        self.play(story)

    def test_all_entries_for_other_hosts_and_where_none_is_in_the_regions(self) -> None:
        async def story(fleet: RequestFleet) -> None:
            every = {"1", "2", "3", "4", "5"}
            for query in (DirectoryQuery(), DirectoryQuery(host="other.example", region="north")):
                self.assertEqual(self.found(fleet, query), every)
            fleet.allowed = frozenset({"south"})
            fleet.publish(TablePublished(fleet.table(2)))
            self.assertEqual(self.found(fleet, DirectoryQuery(host="caraway.example")), every)

        self.play(story)


class Configured(unittest.TestCase):
    """What a configuration says."""

    def test_both_lists_apply(self) -> None:
        both = Organisation("armor", None, WEST)
        self.assertIsNone(allowed_regions(route(), None))
        self.assertEqual(allowed_regions(replace(route(), regions=WEST | EAST), both), WEST)
        self.assertEqual(allowed_regions(route(), both), WEST)
        self.assertEqual(allowed_regions(replace(route(), regions=EAST), both), frozenset())

    def test_faults_name_unknown_regions_and_contradictions_once(self) -> None:
        config: RouteTable = table(1, replace(route(), regions=EAST))
        organisation = Organisation("armor", None, frozenset({"west", "nowhere"}))
        config.organisations = {KEY: organisation, "another-key": organisation}
        found = list(faults(config, WEST | EAST))
        self.assertEqual(len(found), 2)
        self.assertIn("nowhere", found[0])
        self.assertIn("no region in common", found[1])

    def test_faults_are_logged_when_the_configuration_comes_into_force(self) -> None:
        fleet = fleet_of()

        async def story() -> None:
            with logged() as found:
                fleet.organisation = Organisation("armor", None, EAST)
                fleet.publish(TablePublished(fleet.table(2)))
            lines = [each for each in found if "exclude" in each["message"]]
            self.assertEqual(len(lines), len(fleet.live))

        fleet.play(story)


class FormerPool(ServicePool):
    """A pool with the rules that it had before there were allowed regions."""

    def _check_regions(self, call: Admitted, now: float) -> None:
        return

    def is_allowed(self, call: Admitted, endpoint: Endpoint) -> bool:
        return True

    def _count_apart(self, call: Admitted) -> int:
        return 0

    def serve_queue(self) -> None:
        while (waiter := self.queue.first()) is not None:
            pending, call = self._pending[id(waiter)]
            slot = self._acquire_free(call)
            if slot is None:
                return
            pending.slot = slot
            self.queue.serve(waiter)

    def _may_claim(self, call: Admitted) -> bool:
        if not self._kv_tokens():
            return True
        arrivals, delay = self._expected_arrivals(), self._propagation_delay()
        return self._claims.may_acquire(self._slots.free(), arrivals, delay, call.returned)

    def _endpoints(
        self, call: Admitted | None = None, only: Set[str] | None = None
    ) -> Sequence[Endpoint]:
        found = self._view.serving(self._name)
        return found if only is None else tuple(each for each in found if each.id in only)

    def _accepting(
        self, call: Admitted | None = None, only: Set[str] | None = None
    ) -> Sequence[Endpoint]:
        found = self._backoffs.accepting(self._endpoints())
        return found if only is None else tuple(each for each in found if each.id in only)


class Unchanged(unittest.TestCase):
    """Configurations without any list."""

    def test_same_requests_reach_the_same_replicas_as_without_the_feature(self) -> None:
        """Guards against decisions that differ where no list asks for it; paired seeds."""
        for seed in (1, 2, 3):
            for plain in (False, True):
                with mock.patch("carawayhub.gateway.process.ServicePool", FormerPool):
                    former = self.choices(seed, {}, plain)
                self.assertEqual(former, self.choices(seed, REGIONS, plain))
                self.assertGreater(len(former), 60)

    def choices(
        self, seed: int, regions: dict[str, str], plain: bool
    ) -> list[tuple[float, bytes, str, str]]:
        """Play an overload with refusals and broken streams; return what reached replicas."""
        fleet = fleet_of(
            entries=3,
            seed=seed,
            regions=regions,
            allowed=frozenset(),
            places=4,
            events=8,
            plain=plain,
        )

        async def story() -> None:
            for at in range(120):
                fleet.start(fleet.ask, b"%d" % at)
                await anyio.sleep(0.015)
                if at == 40:
                    fleet.stated.turning_away[next(iter(fleet.by_host.values())).id] = 0.5
                if at % 50 == 49:
                    for replica in fleet.by_host.values():
                        replica.break_off()
            await anyio.sleep(4.0)

        fleet.play(story)
        return [(each.at, each.content, each.entry, each.replica) for each in fleet.sent]


if __name__ == "__main__":
    unittest.main()
