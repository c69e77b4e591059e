"""Evacuated failure domains: what entries know of them, and which requests still reach replicas."""

import unittest
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import anyio
from loguru import logger

from benchmarks.request_fleet import RequestFleet
from benchmarks.store_fleet import StoreFleet
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.gateway.evacuations import HOLD_SECONDS
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.ports import (
    Change,
    DomainEvacuated,
    EndpointPublished,
    EvacuationEnded,
    Published,
    TablePublished,
)
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.tally import Tally, ViewStatus
from carawayhub.gateway.view import FleetView
from carawayhub.platform.standins import registration
from tests.gateway_world import endpoint, table

HEARTBEAT = 1.2
EVACUATE_SECONDS = 5.0
"""Seconds within which no entry in touch with the store may use an evacuated domain."""

SIZES = ((7, 3), (45, 3))
"""Entries and failure domains."""

DOMAIN = "brest"


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class ViewCase(unittest.TestCase):
    """A view of two endpoints in one failure domain."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.view = FleetView(self.clock, HEARTBEAT)
        self.number = 1
        self.list_all(1)

    def list_all(self, era: int, *more: Change) -> None:
        self.number += 1
        endpoints = [EndpointPublished(endpoint(name)) for name in ("i-1", "i-2")]
        changes = (TablePublished(table(1)), *endpoints, *more)
        self.view.replace(Published(revision=Revision(era, self.number), changes=changes))

    def write(self, era: int, *changes: Change) -> None:
        self.number += 1
        revision = Revision(era, self.number)
        self.view.extend(Published(revision=revision, changes=changes))

    def evacuate(self, era: int = 1, domain: str = DOMAIN) -> None:
        self.write(era, DomainEvacuated(domain, Revision(era, self.number + 1)))

    def used(self) -> list[str]:
        return [each.id for each in self.view.serving("llm")]


class View(ViewCase):
    """What one entry believes."""

    def test_no_way_to_an_endpoint_of_an_evacuated_domain_is_left(self) -> None:
        self.evacuate()
        self.assertEqual(self.used(), [])
        self.assertIsNone(self.view.endpoint("i-1"))
        self.assertIsNone(self.view.endpoint_of("i-1"))
        self.assertEqual(self.view.standing_still("llm"), ())
        self.assertTrue(self.view.has_evacuated("llm"))

    def test_endpoint_that_registers_in_an_evacuated_domain_is_not_used(self) -> None:
        self.evacuate()
        self.write(1, EndpointPublished(endpoint("i-3")))
        self.assertEqual(self.used(), [])

    def test_other_and_unknown_domains_change_nothing(self) -> None:
        self.evacuate(domain="nowhere")
        self.assertEqual(self.used(), ["i-1", "i-2"])
        self.assertFalse(self.view.has_evacuated("llm"))

    def test_withdrawal_uses_the_domain_again_and_names_its_endpoints(self) -> None:
        ended: list[str] = []
        self.view.on_evacuation_ended = lambda found: ended.extend(each.id for each in found)
        self.evacuate()
        self.write(1, EvacuationEnded(DOMAIN))
        self.assertEqual(self.used(), ["i-1", "i-2"])
        self.assertEqual(ended, ["i-1", "i-2"])
        self.write(1, EvacuationEnded(DOMAIN))
        self.assertEqual(len(ended), 2)

    def test_set_and_withdrawn_and_set_again_in_one_read_is_evacuated(self) -> None:
        """Guards against a withdrawal that wins over a later request in the same read."""
        ended: list[Endpoint] = []
        self.view.on_evacuation_ended = ended.extend
        begin = DomainEvacuated(DOMAIN, Revision(1, self.number + 1))
        again = DomainEvacuated(DOMAIN, Revision(1, self.number + 3))
        self.write(1, begin, EvacuationEnded(DOMAIN), again)
        self.assertEqual(self.used(), [])
        self.assertEqual(ended, [])

    def test_listing_without_the_key_ends_the_evacuation(self) -> None:
        """Guards against a domain that stays unused as its withdrawal is in no history any more."""
        self.evacuate()
        self.list_all(1)
        self.assertEqual(self.used(), ["i-1", "i-2"])

    def test_answer_that_a_newer_one_has_overtaken_changes_no_evacuation(self) -> None:
        """Guards against a watch and a read in parallel, of which the older answer comes last."""
        withdrawn = Published(revision=Revision(1, 3), changes=(EvacuationEnded(DOMAIN),))
        self.number = 4
        self.evacuate()
        self.view.extend(withdrawn)
        self.assertEqual(self.used(), [])
        self.write(1, EvacuationEnded(DOMAIN))
        begun = (DomainEvacuated(DOMAIN, Revision(1, 5)),)
        self.view.extend(Published(revision=Revision(1, 5), changes=begun))
        self.assertEqual(self.used(), ["i-1", "i-2"])

    def test_evacuations_are_logged_with_revision_source_and_age(self) -> None:
        """Guards against an evacuation that operators cannot follow in the logs."""
        found: list[dict[str, Any]] = []
        logger.enable("carawayhub")
        self.addCleanup(logger.disable, "carawayhub")
        sink = logger.add(lambda each: found.append(each.record))
        self.addCleanup(logger.remove, sink)
        self.view.confirm(self.clock.monotonic() - 2.0)
        self.evacuate()
        self.write(1, EvacuationEnded(DOMAIN))
        self.evacuate()
        self.list_all(2)
        self.clock.advance(HOLD_SECONDS)
        self.used()
        lines = {each["message"]: each["extra"] for each in found if "evacuat" in each["message"]}
        self.assertEqual(len(lines), 4)
        begun = lines["failure domain is evacuated"]
        self.assertEqual((begun["domain"], begun["era"], begun["age"]), (DOMAIN, 1, 2.0))
        ended = lines["evacuation of a failure domain ended"]
        self.assertEqual((ended["revision"], ended["source"]), (3, begun["source"]))

    def test_domain_with_any_name_leaves_the_metrics_readable(self) -> None:
        """Guards against a key that makes the whole metrics page unreadable."""
        status = ViewStatus(evacuated={'a"b\nc': Revision(1, 7)})
        lines = Tally(view_status=lambda: status).page().splitlines()
        expected = r'evacuated_domains{domain="a\"b\nc",revision="7"} 1'
        self.assertIn(f"carawayhub_gateway_{expected}", lines)

    def test_replica_that_ends_in_an_evacuated_domain_did_not_end_as_planned(self) -> None:
        """Guards against a request that ends replicas and is not found out in such a domain."""
        self.evacuate()
        self.assertFalse(self.view.is_departing("i-1"))
        self.assertTrue(self.view.is_departing("i-9"))


class ViewOfTwoEras(ViewCase):
    """The store returns from a copy that lacks the evacuation."""

    def setUp(self) -> None:
        super().setUp()
        self.evacuate()
        self.list_all(2)

    def test_evacuation_stays_in_force(self) -> None:
        """Guards against requests to a domain whose evacuation was acknowledged and then lost."""
        self.assertEqual(self.used(), [])
        self.list_all(2)
        self.clock.advance(HOLD_SECONDS - 1.0)
        self.assertEqual(self.used(), [])

    def test_held_evacuation_ends_after_its_time(self) -> None:
        """Guards against a domain that stays unused for good: no withdrawal can be written."""
        ended: list[Endpoint] = []
        self.view.on_evacuation_ended = ended.extend
        self.clock.advance(HOLD_SECONDS)
        self.assertEqual(self.used(), ["i-1", "i-2"])
        self.assertEqual(len(ended), 2)

    def test_evacuation_written_again_lasts_until_it_is_withdrawn(self) -> None:
        self.evacuate(2)
        self.clock.advance(2 * HOLD_SECONDS)
        self.assertEqual(self.used(), [])
        self.write(2, EvacuationEnded(DOMAIN))
        self.assertEqual(self.used(), ["i-1", "i-2"])

    def test_second_return_does_not_prolong_the_hold(self) -> None:
        self.clock.advance(HOLD_SECONDS - 1.0)
        self.list_all(3)
        self.clock.advance(1.0)
        self.assertEqual(self.used(), ["i-1", "i-2"])


class Entries(unittest.TestCase):
    """Entries that follow a store, in virtual time."""

    def play(self, story: Callable[[StoreFleet], Awaitable[None]], entries: int = 7) -> None:
        fleet = StoreFleet(entries, seed=entries, domains=3, lost=0.002)

        async def main() -> None:
            for at in range(6):
                self.write_endpoint(fleet, at)
            await anyio.sleep(1.0)
            await story(fleet)

        fleet.play(main)

    def write_endpoint(self, fleet: StoreFleet, at: int) -> None:
        """Register an endpoint in one of three failure domains."""
        record = registration("desk", f"10.9.0.{at + 1}:80", zone=f"z{at % 3}")
        fleet.store.put(f"servers/i-{at}", record)

    def users(self, fleet: StoreFleet, *domains: int) -> list[str]:
        """Return the entries that may send requests to one of these failure domains."""
        return [ip for at in range(6) if at % 3 in domains for ip in fleet.users(at)]

    def test_evacuation_holds_at_all_entries_in_time(self) -> None:
        for entries, _ in SIZES:
            users: list[int] = []

            async def story(fleet: StoreFleet, users: list[int] = users) -> None:
                users.append(len(self.users(fleet, 1)))
                fleet.store.put("op/evacuate/z1", {})
                await anyio.sleep(EVACUATE_SECONDS)
                users.append(len(self.users(fleet, 1)))
                users.append(len(self.users(fleet, 0)))
                fleet.store.remove("op/evacuate/z1")
                await anyio.sleep(EVACUATE_SECONDS)
                users.append(len(self.users(fleet, 1)))

            self.play(story, entries)
            self.assertEqual(users, [2 * entries, 0, 2 * entries, 2 * entries])

    def test_evacuations_in_quick_succession_end_in_the_last_state(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            for _ in range(3):
                fleet.store.put("op/evacuate/z1", {})
                fleet.store.put("op/evacuate/z2", {})
                await anyio.sleep(0.2)
                fleet.store.remove("op/evacuate/z1")
                await anyio.sleep(0.2)
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(len(self.users(fleet, 1)), 14)
            self.assertEqual(self.users(fleet, 2), [])

        self.play(story)

    def test_all_domains_at_once(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            for at in range(3):
                fleet.store.put(f"op/evacuate/z{at}", {})
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(self.users(fleet, 0, 1, 2), [])

        self.play(story)

    def test_entry_that_starts_does_not_use_an_evacuated_domain(self) -> None:
        """Guards against an entry that knows registrations and not yet the evacuation."""

        async def story(fleet: StoreFleet) -> None:
            fleet.store.put("op/evacuate/z1", {})
            await anyio.sleep(EVACUATE_SECONDS)
            fleet.start(fleet.restart, fleet.ips[4], 0.3)
            for _ in range(60):
                await anyio.sleep(0.05)
                self.assertEqual(self.users(fleet, 1), [])
            self.assertIn(fleet.ips[4], fleet.users(0))

        self.play(story)

    def test_entry_that_the_store_turns_away_learns_of_it_from_peers(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            fleet.start(fleet.cut_off, fleet.ips[5], 10.0)
            await anyio.sleep(0.5)
            fleet.store.put("op/evacuate/z1", {})
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(self.users(fleet, 1), [])

        self.play(story)

    def test_withdrawal_that_no_history_has_reaches_all_entries(self) -> None:
        """Guards against entries that miss a removal since the store dropped its history."""

        async def story(fleet: StoreFleet) -> None:
            fleet.store.put("op/evacuate/z1", {})
            await anyio.sleep(EVACUATE_SECONDS)
            fleet.store.down = True
            await anyio.sleep(0.5)
            fleet.store.remove("op/evacuate/z1")
            fleet.store.compact()
            fleet.store.down = False
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(len(self.users(fleet, 1)), 14)

        self.play(story)

    def test_evacuation_that_the_returned_store_has_lost_stays_in_force(self) -> None:
        """Guards against entries that believe a copy of the store over what was acknowledged."""

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.put("op/evacuate/z1", {})
            await anyio.sleep(2.0)
            await fleet.return_from(copy, 2.2)
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(self.users(fleet, 1), [])
            fleet.store.put("op/evacuate/z1", {})
            await anyio.sleep(1.0)
            fleet.store.remove("op/evacuate/z1")
            await anyio.sleep(EVACUATE_SECONDS)
            self.assertEqual(len(self.users(fleet, 1)), 14)

        self.play(story)


class Requests(unittest.TestCase):
    """Requests that are under way as a domain is evacuated."""

    def test_waiting_and_retried_requests_go_to_other_domains(self) -> None:
        """Guards against a request that was chosen, waits or is resumed, and goes there later."""
        fleet = RequestFleet(entries=3, ranks=4, domains=2, events=20)

        async def story() -> None:
            async with anyio.create_task_group() as tasks:
                for at in range(24):
                    tasks.start_soon(fleet.ask, b"%d" % at)
                    await anyio.sleep(0.02)
                evacuated_at = anyio.current_time()
                fleet.publish(DomainEvacuated("d1", Revision(0, fleet.revision + 1)))
                await anyio.sleep(0.3)
                for replica in fleet.by_host.values():
                    if replica.domain == "d1":
                        replica.break_off()
            late = [each for each in fleet.sent if each.at > evacuated_at + 0.01]
            self.assertGreater(len(late), 4)
            self.assertEqual({fleet.domain_of(each.replica) for each in late}, {"d0"})
            self.assertTrue(all(each.served or each.code for each in fleet.told))
            self.assertTrue(any(each.served for each in fleet.told))

        fleet.play(story)

    def test_request_whose_connection_is_being_opened_is_not_sent(self) -> None:
        """Guards against a way of sending without the last check: first attempts and resumed ones.

        Each delay is another point between the choice of an endpoint and the first byte.
        """
        for delay in (0.1, 0.3):
            fleet = RequestFleet(entries=3, ranks=4, domains=2, events=40)

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
                fleet.publish(DomainEvacuated("d1", Revision(0, fleet.revision + 1)))
                await anyio.sleep(4.0)
                domains = {fleet.domain_of(each.replica) for each in fleet.sent[before:]}
                self.assertLessEqual(domains, {"d0"})

            with mock.patch("benchmarks.request_fleet.CONNECT_SECONDS", 0.2):
                fleet.play(story)

    def test_waiting_requests_are_rejected_when_all_replicas_are_evacuated(self) -> None:
        """Guards against callers that wait in vain and are told of an overload."""
        fleet = RequestFleet(entries=1, ranks=2, places=1, events=60)

        async def story() -> None:
            for at in range(3):
                fleet.start(fleet.ask, b"%d" % at)
            await anyio.sleep(0.05)
            fleet.publish(DomainEvacuated("d0", Revision(0, fleet.revision + 1)))
            await anyio.sleep(0.3)
            rejected = [each.code for each in fleet.told if each.code]
            self.assertEqual(rejected, [Code.NO_ENDPOINT])
            pages = "".join(each.process.metrics() for each in fleet.live.values())
            self.assertIn('evacuation_rejections_total{service="llm"} 1', pages)

        fleet.play(story)

    def test_requests_are_rejected_at_once_if_all_replicas_are_evacuated(self) -> None:
        """Guards against callers that wait for replicas which get nothing for minutes."""
        fleet = RequestFleet(entries=2, ranks=4, domains=2)

        async def story() -> None:
            for domain in ("d0", "d1"):
                fleet.publish(DomainEvacuated(domain, Revision(0, fleet.revision + 1)))
            told = await fleet.ask(b"a")
            self.assertEqual((told.status, fleet.sent), (503, []))
            self.assertLess(told.seconds, 0.1)
            self.assertGreater(told.retry_after, 0.0)
            pages = "".join(each.process.metrics() for each in fleet.live.values())
            self.assertIn('evacuated_domains{domain="d1",revision="3"} 1', pages)
            self.assertIn('evacuation_rejections_total{service="llm"} 1', pages)

        fleet.play(story)


if __name__ == "__main__":
    unittest.main()
