"""Which era of the store is believed, and what a view keeps when it enters another one."""

import unittest
from unittest import mock

import anyio
from loguru import logger

from benchmarks.late_configurations import History
from benchmarks.store_fleet import StoreFleet
from carawayhub.clock import ManualClock
from carawayhub.gateway.departures import LAPSE_HEARTBEATS, REMOVAL_MARGIN_SECONDS
from carawayhub.gateway.model import EndpointState
from carawayhub.gateway.ports import EndpointPublished, EndpointRemoved, Published, TablePublished
from carawayhub.gateway.revision import CONFIRMING_ANSWERS, MAX_ERA_ADVANCE, Eras, Revision
from carawayhub.gateway.view import FleetView
from carawayhub.platform.changes import Event
from carawayhub.platform.mirror import StoreMirror
from tests.gateway_world import endpoint, table

HEARTBEAT = 1.2
ENORMOUS = 10**14


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Belief(unittest.TestCase):
    """Statements of the store and of peers."""

    def setUp(self) -> None:
        self.eras = Eras()
        self.assertEqual(self.eras.attribute(3), 3)

    def test_later_era_is_believed_at_once(self) -> None:
        self.assertEqual(self.eras.attribute(4), 4)
        self.assertTrue(self.eras.accept_from_peer(6, "10.0.0.1"))
        self.assertEqual((self.eras.known, self.eras.changes), (6, 2))

    def test_single_wrong_answer_of_the_store_changes_nothing(self) -> None:
        for era in (0, 2, ENORMOUS, None):
            self.assertIsNone(self.eras.attribute(era))
            self.assertEqual(self.eras.attribute(3), 3)
        self.assertEqual(self.eras.known, 3)

    def test_wrong_answers_that_differ_confirm_nothing(self) -> None:
        for at in range(3 * CONFIRMING_ANSWERS):
            self.assertIsNone(self.eras.attribute(at % 3))

    def test_store_that_repeats_an_unlikely_era_is_believed(self) -> None:
        """Guards against an entry that is cut off for good by an era that was stated wrongly."""
        for era in (ENORMOUS, 3, 0):
            answers = [self.eras.attribute(era) for _ in range(CONFIRMING_ANSWERS)]
            self.assertEqual(answers, [None] * (CONFIRMING_ANSWERS - 1) + [era])
            self.assertEqual(self.eras.known, era)

    def test_store_that_stops_stating_its_era_is_believed_to_stay_in_it(self) -> None:
        answers = [self.eras.attribute(None) for _ in range(CONFIRMING_ANSWERS + 1)]
        self.assertEqual(answers, [None] * (CONFIRMING_ANSWERS - 1) + [3, 3])

    def test_return_that_is_not_stated_is_inferred(self) -> None:
        eras = Eras()
        self.assertEqual(eras.attribute(None), 0)
        self.assertEqual(eras.infer_return(), 1)
        self.assertEqual(eras.attribute(None), 1)
        self.assertTrue(eras.accept_from_peer(2, "10.0.0.1"))
        self.assertEqual(eras.attribute(None), 2)

    def test_implausible_era_of_a_peer_is_never_believed(self) -> None:
        for era in (-1, 3 + MAX_ERA_ADVANCE + 1, ENORMOUS):
            for _ in range(2 * CONFIRMING_ANSWERS):
                self.assertFalse(self.eras.accept_from_peer(era, "10.0.0.1"))
        self.assertEqual(self.eras.known, 3)

    def test_era_that_the_store_refuted_is_not_believed_from_peers(self) -> None:
        """Guards against peers that pass a wrong era on to each other for ever."""
        self.assertTrue(self.eras.accept_from_peer(9, "10.0.0.1"))
        for _ in range(CONFIRMING_ANSWERS):
            self.eras.attribute(3)
        self.assertFalse(self.eras.accept_from_peer(9, "10.0.0.1"))
        self.assertTrue(self.eras.accept_from_peer(4, "10.0.0.2"))
        self.assertEqual(self.eras.attribute(9), 9)
        self.assertTrue(self.eras.accept_from_peer(10, "10.0.0.1"))

    def test_news_of_a_former_era_is_no_wrong_statement(self) -> None:
        self.assertFalse(self.eras.accept_from_peer(2, "10.0.0.1"))
        self.assertEqual(self.eras.rejections, 0)

    def test_wrong_era_is_logged_once(self) -> None:
        lines: list[str] = []
        logger.enable("carawayhub")
        self.addCleanup(logger.disable, "carawayhub")
        sink = logger.add(lambda message: lines.append(message.record["message"]))
        self.addCleanup(logger.remove, sink)
        for _ in range(5):
            self.eras.accept_from_peer(ENORMOUS, "10.0.0.1")
        self.assertEqual(lines.count("a stated era of the store is not believed"), 1)
        self.assertEqual(self.eras.rejections, 5)


class ViewOfTwoEras(unittest.TestCase):
    """A view that enters the next era."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.view = FleetView(self.clock, HEARTBEAT)
        self.list(1, 60, 7, endpoint("i-1"), endpoint("i-2"), endpoint("i-3"))
        self.view.confirm_revision(Revision(1, 60), 100.0)
        self.clock.advance(1.0)

    def list(self, era: int, number: int, version: int, *endpoints) -> None:
        changes = (TablePublished(table(version)), *map(EndpointPublished, endpoints))
        self.view.replace(Published(revision=Revision(era, number), changes=changes))

    def write(self, era: int, number: int, *changes) -> None:
        self.view.extend(Published(revision=Revision(era, number), changes=changes))

    def serving(self) -> set[str]:
        return {each.id for each in self.view.serving("llm")}

    def test_proof_of_a_dead_era_proves_nothing(self) -> None:
        self.list(2, 40, 7, endpoint("i-1"))
        self.view.confirm_revision(Revision(1, 90), 101.0)
        self.view.confirm_revision(Revision(1, 10), 101.0)
        self.assertEqual(self.view.age, 1.0)
        self.view.confirm_revision(Revision(2, 40), 101.0)
        self.assertEqual(self.view.age, 0.0)

    def test_proof_of_the_next_era_does_not_prove_this_one(self) -> None:
        """Guards against a lower revision of the store that counts as nothing newer."""
        self.view.confirm_revision(Revision(2, 40), 101.0)
        self.assertEqual(self.view.age, 1.0)
        self.list(2, 41, 7, endpoint("i-1"))
        self.assertEqual(self.view.age, 0.0)

    def test_changes_of_another_era_are_not_applied(self) -> None:
        self.list(2, 40, 7, endpoint("i-1"), endpoint("i-2"))
        self.write(1, 61, EndpointRemoved("i-1"))
        self.assertEqual(self.serving(), {"i-1", "i-2", "i-3"})
        self.assertEqual(self.view.revision, Revision(2, 40))

    def test_older_configuration_of_the_copy_is_not_put_into_force(self) -> None:
        self.list(2, 40, 5)
        assert self.view.table is not None
        self.assertEqual(self.view.table.version, 7)

    def test_draining_replica_stays_so_until_it_is_removed(self) -> None:
        self.write(1, 61, EndpointPublished(endpoint("i-1", state=EndpointState.DRAINING)))
        ready = endpoint("i-1"), endpoint("i-2")
        self.list(2, 40, 7, *ready)
        self.clock.advance(60.0)
        self.assertEqual(self.serving(), {"i-2"})
        self.list(3, 40, 7, *ready)
        self.write(3, 41, EndpointPublished(endpoint("i-1")))
        self.assertEqual(self.serving(), {"i-2"})
        self.clock.advance(60.0)
        self.write(3, 42, EndpointRemoved("i-1"))
        self.write(3, 43, EndpointPublished(endpoint("i-1")))
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_removed_replica_is_held_out_for_as_long_as_its_entry_may_lapse(self) -> None:
        self.write(1, 61, EndpointRemoved("i-1"))
        self.list(2, 40, 7, endpoint("i-1"), endpoint("i-2"))
        self.clock.advance(LAPSE_HEARTBEATS * HEARTBEAT + REMOVAL_MARGIN_SECONDS - 0.1)
        self.assertEqual(self.serving(), {"i-2"})
        self.assertIsNone(self.view.endpoint("i-1"))
        self.clock.advance(0.2)
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_second_return_begins_the_wait_anew(self) -> None:
        self.write(1, 61, EndpointRemoved("i-1"))
        self.list(2, 40, 7, endpoint("i-1"), endpoint("i-2"))
        self.clock.advance(5.0)
        self.list(3, 40, 7, endpoint("i-1"))
        self.clock.advance(2.0)
        self.assertEqual(self.serving(), {"i-2"})
        self.clock.advance(4.0)
        self.assertEqual(self.serving(), {"i-1"})

    def test_lapse_that_nobody_looked_at_counts_as_removal(self) -> None:
        """Guards against an entry without requests that forgets what lapsed in an era."""
        self.list(2, 40, 7, endpoint("i-1"))
        self.clock.advance(5.0)
        self.list(3, 40, 7, endpoint("i-1"), endpoint("i-2"))
        self.assertEqual(self.serving(), {"i-1"})

    def test_registrations_before_the_copy_do_not_supersede_later_ones(self) -> None:
        """Guards against the copy's older replica that takes the address from its successor."""
        at = "10.0.0.1:80"
        old = endpoint("i-1", address=at, registered=Revision(1, 30))
        new = endpoint("i-9", address=at, registered=Revision(1, 55))
        self.write(1, 61, EndpointPublished(old), EndpointPublished(new))
        copied = endpoint("i-1", address=at, registered=Revision(2, 30))
        self.list(2, 40, 7, copied, endpoint("i-2"))
        self.assertEqual(self.serving(), {"i-2", "i-3", "i-9"})
        self.write(
            2,
            45,
            EndpointPublished(endpoint("i-7", address=at, registered=Revision(2, 45))),
        )
        self.assertEqual(self.serving(), {"i-2", "i-3", "i-7"})


class MirrorOfTwoEras(unittest.TestCase):
    """Content that entries forward."""

    def mirror(self, era: int) -> StoreMirror:
        eras = Eras()
        eras.attribute(era)
        return StoreMirror(eras)

    def config(self, version: int, revision: int) -> Event:
        return Event("op/config", revision, 1, content=b'{"Version":%d}' % version)

    def test_content_of_a_dead_era_is_not_taken(self) -> None:
        old, new = self.mirror(1), self.mirror(2)
        old.replace(Revision(1, 90), [Event("servers/i-1", 80, 80)])
        new.replace(Revision(2, 40), [Event("servers/i-2", 30, 30)])
        data = old.encode_after(Revision(0, 0))
        assert data is not None
        self.assertIsNone(new.take(data))
        self.assertEqual(list(new._written), ["servers/i-2"])
        self.assertIsNone(old.encode_after(Revision(2, 40)))

    def test_asker_of_the_former_era_gets_everything(self) -> None:
        new, old = self.mirror(2), self.mirror(2)
        old.replace(Revision(1, 90), [Event("servers/i-1", 80, 80)])
        new.replace(Revision(2, 95), [Event("servers/i-2", 94, 94)])
        new.extend(Revision(2, 96), [Event("servers/i-3", 96, 96)])
        data = new.encode_after(old.revision)
        assert data is not None
        taken = old.take(data)
        assert taken is not None
        self.assertTrue(taken.whole)
        self.assertEqual(sorted(old._written), ["servers/i-2", "servers/i-3"])

    def test_configuration_of_the_later_version_is_kept_for_peers(self) -> None:
        """Guards against an entry that starts and takes an older configuration from its peers."""
        mirror = self.mirror(1)
        mirror.replace(Revision(1, 60), [self.config(9, 60)])
        mirror.replace(Revision(2, 40), [self.config(5, 38)])
        self.assertIn(b"9", mirror._written["op/config"].content)
        mirror.extend(Revision(2, 41), [self.config(7, 41)])
        self.assertIn(b"9", mirror._written["op/config"].content)
        mirror.extend(Revision(2, 42), [self.config(11, 42)])
        self.assertIn(b"11", mirror._written["op/config"].content)

    def test_listing_without_a_configuration_keeps_the_known_one(self) -> None:
        mirror = self.mirror(1)
        mirror.replace(Revision(1, 60), [self.config(9, 60)])
        mirror.replace(Revision(2, 0), [])
        self.assertIn(b"9", mirror._written["op/config"].content)


class WrongStatements(unittest.TestCase):
    """Entries whose store or peers state an era wrongly for some time."""

    def check(self, wrong: str | None, seconds: float) -> None:
        fleet = StoreFleet(6, seed=2)

        async def story() -> None:
            fleet.store.stated_era = wrong
            began_at = anyio.current_time()
            await anyio.sleep(seconds)
            fleet.store.stated_era = ""
            fleet.disturbed += [(ip, began_at, anyio.current_time()) for ip in fleet.ips]
            for _ in range(4):
                fleet.move_route()
                await anyio.sleep(1.5)
            await anyio.sleep(3.0)
            ages = [each.process._view.age for each in fleet.live.values()]
            self.assertLess(max(ages), 2.0)

        fleet.play(story)
        self.assertEqual(fleet.late(), [])
        self.assertEqual(fleet.went_back(), [])

    def test_store_states_an_era_wrongly(self) -> None:
        for wrong in ("0", "-3", "zwei", "99999999999999999999", str(ENORMOUS), "5", None):
            for seconds in (0.3, 5.0):
                with self.subTest(wrong=wrong, seconds=seconds):
                    self.check(wrong, seconds)


class HistoriesWithReturns(unittest.TestCase):
    """Seeded histories of disturbances that overlap, returns from copies among them."""

    SEEDS = (7, 8, 11, 12, 166466, 322891, 618077)
    """With the first two, an entry forgot a lapse at which it had not looked. With the last three,
    entries that had not heard of an endpoint were taken for ones that had acted on its leaving."""

    def test_acknowledged_writes_hold(self) -> None:
        broken = {}
        for seed in self.SEEDS:
            history = History(seed, 6, returns=True)
            history.play()
            if history.is_broken:
                broken[seed] = history.line()
        self.assertEqual(broken, {})

    def test_revisions_compared_across_eras_are_found(self) -> None:
        """Guards against histories that would not find the fault that they are for."""
        found = 0
        with (
            mock.patch.object(Eras, "attribute", return_value=0),
            mock.patch.object(Eras, "infer_return", return_value=0),
        ):
            for seed in self.SEEDS:
                history = History(seed, 6, returns=True)
                history.play()
                found += bool(history.late)
        self.assertTrue(found)


if __name__ == "__main__":
    unittest.main()
