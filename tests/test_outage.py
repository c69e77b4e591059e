"""Stalled groups: which endpoints may get work, and how long an outage is expected to last."""

import unittest

from loguru import logger

from benchmarks.outage import play
from carawayhub.clock import ManualClock
from carawayhub.gateway.groupavailability import LOSS_NOTICE_SECONDS
from carawayhub.gateway.model import GroupMembership
from carawayhub.gateway.outage import FIRST_OUTAGE_SECONDS, FORM_SECONDS, Outage, OutageState
from carawayhub.gateway.ports import EndpointPublished, EndpointRemoved, Published
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from tests.gateway_world import endpoint

AVAILABLE, STALLED, FORMING = (
    OutageState(True, False),
    OutageState(False, False),
    OutageState(False, True),
)


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Standing(unittest.TestCase):
    """Which endpoints may get work."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.view = FleetView(self.clock, 1.2)
        self.revision = 0
        for rank in range(3):
            self.register(rank, epoch=1)

    def register(self, rank: int, epoch: int, formed: bool = True, name: str = "") -> None:
        """Register a rank of a group of three."""
        name = name or f"i-{rank}"
        seat = GroupMembership("g0", epoch, rank, formed, 3)
        self.revision += 1
        change = EndpointPublished(endpoint(name, membership=seat, address=f"127.0.0.{rank + 1}:9"))
        self.view.extend(Published(revision=Revision(0, self.revision), changes=(change,)))

    def serving(self) -> set[str]:
        return {each.id for each in self.view.serving("llm")}

    def test_group_that_says_that_it_stands_still_gets_nothing(self) -> None:
        """The registration of an ended rank remains for some seconds and reports a formed group."""
        self.register(1, epoch=1, formed=False)
        self.register(2, epoch=1, formed=False)
        self.assertEqual(self.serving(), set())
        self.assertEqual({each.id for each in self.view.standing_still("llm")}, self.all())
        self.register(0, epoch=1, formed=False, name="i-new")
        self.register(1, epoch=2)
        self.assertEqual(self.serving(), {"i-1"})
        self.register(2, epoch=2)
        self.register(0, epoch=2, name="i-new")
        self.assertEqual(self.serving(), {"i-new", "i-1", "i-2"})

    def all(self) -> set[str]:
        return {"i-0", "i-1", "i-2"}

    def test_group_whose_rank_was_seen_to_end_gets_nothing_until_it_has_formed_anew(self) -> None:
        self.view.rank_ended(self.view.endpoint("i-0"))
        self.assertEqual(self.serving(), set())
        self.clock.advance(1.5)
        self.register(1, epoch=1, formed=False)
        self.clock.advance(LOSS_NOTICE_SECONDS)
        self.assertEqual(self.serving(), set())
        self.register(1, epoch=2)
        self.assertEqual(self.serving(), {"i-1"})

    def test_end_that_no_rank_registers_was_none(self) -> None:
        """Only the connection to one replica broke, so its group is soon used again."""
        self.view.rank_ended(self.view.endpoint("i-0"))
        self.clock.advance(LOSS_NOTICE_SECONDS + 0.1)
        self.assertEqual(self.serving(), self.all())

    def test_end_of_a_formation_says_nothing_of_the_next(self) -> None:
        ended = self.view.endpoint("i-0")
        for rank in range(3):
            self.register(rank, epoch=2)
        self.view.rank_ended(ended)
        self.assertEqual(self.serving(), set())
        for rank in range(3):
            self.register(rank, epoch=3)
        self.assertEqual(self.serving(), self.all())

    def test_endpoints_without_groups_are_not_touched(self) -> None:
        plain = endpoint("i-9", "desk")
        self.view.extend(Published(revision=Revision(0, 9), changes=(EndpointPublished(plain),)))
        self.view.rank_ended(plain)
        self.assertEqual([each.id for each in self.view.serving("desk")], ["i-9"])
        self.view.extend(Published(revision=Revision(0, 10), changes=(EndpointRemoved("i-9"),)))
        self.assertEqual(self.view.serving("desk"), ())


class Expected(unittest.TestCase):
    """Expected remaining time of an outage."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.outage = Outage(self.clock)

    def last(self, seconds: float, forming: float = 0.6) -> None:
        """Run an outage of some seconds, the last ``forming`` of which all ranks are present."""
        self.outage.update(STALLED)
        self.clock.advance(seconds - forming)
        self.outage.update(FORMING)
        self.clock.advance(forming)
        self.outage.update(AVAILABLE)

    def test_none_while_a_group_stands(self) -> None:
        self.outage.update(AVAILABLE)
        self.assertIsNone(self.outage.left())
        self.last(4.0)
        self.assertIsNone(self.outage.left())

    def test_first_one_is_taken_to_last_some_seconds_and_then_on(self) -> None:
        self.outage.update(STALLED)
        self.assertEqual(self.outage.left(), FIRST_OUTAGE_SECONDS)
        self.clock.advance(10.0)
        self.assertEqual(self.outage.left(), 5.0)

    def test_later_ones_as_long_as_those_before(self) -> None:
        for _ in range(6):
            self.last(4.2)
            self.clock.advance(20.0)
        self.outage.update(STALLED)
        self.clock.advance(1.2)
        self.assertAlmostEqual(self.outage.left(), 3.0, delta=0.1)

    def test_group_with_all_its_ranks_forms_soon(self) -> None:
        self.outage.update(STALLED)
        self.clock.advance(1.0)
        self.outage.update(FORMING)
        self.assertEqual(self.outage.left(), FORM_SECONDS)
        self.outage.update(STALLED)
        self.assertGreater(self.outage.left(), FORM_SECONDS)


class Replayed(unittest.TestCase):
    """One of 24 ranks in two groups ends every ten seconds; two thirds of the slots are in use."""

    def test_few_requests_reach_ranks_that_stand_still_and_more_callers_are_served(self) -> None:
        """Guards against sending requests to ranks of a broken group.

        They would wait for 1.5 s and be refused, until the ranks report the loss.
        """
        found = play(seed=1, groups=2, back_seconds=4.5)
        self.assertLess(found.wasted, 30)
        self.assertGreater(found.worth, 0.8)

    def test_one_of_two_groups_serves_new_callers_before_returned_ones(self) -> None:
        """Guards against slots for late callers while the group that is left is overloaded."""
        self.assertGreater(play(seed=7, groups=2, back_seconds=4.5).worth, 0.8)


if __name__ == "__main__":
    unittest.main()
