"""How many requests a group is given at once, and which free places an entry may take."""

import random
import unittest

from loguru import logger

from benchmarks.group_load import GROUP, LOADS, PROFILE, Load, jump, moving_demand, play
from carawayhub.clock import ManualClock
from carawayhub.gateway.claims import Claims
from carawayhub.gateway.loads import Work
from carawayhub.gateway.pace import PAUSE_SECONDS, GroupLoad, Pace, usual_pass

RANKS = 12
ACCEPTED = 0.12
WORK = Work(1, 800, 900)


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def load(requests: int, reading: int = 0) -> GroupLoad:
    return GroupLoad(RANKS, requests, reading)


class PaceTest(unittest.TestCase):
    """The prediction of passes."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.pace = Pace(self.clock)

    def see(self, stretch: float, passes: int, requests: int = 48) -> None:
        for _ in range(passes):
            pause = stretch * usual_pass(load(requests), PROFILE)
            self.clock.advance(pause)
            self.pace.saw(GROUP, pause, load(requests), PROFILE)

    def most(self) -> float:
        return self.pace.most(GROUP, load(48), PROFILE, ACCEPTED)

    def admits(self, requests: int, reading: int = 0) -> bool:
        return self.pace.admits(GROUP, load(requests, reading), WORK, PROFILE, ACCEPTED)

    def test_nothing_known_bounds_nothing(self) -> None:
        self.assertEqual(self.most(), RANKS * PROFILE.places)
        self.assertTrue(self.admits(71))

    def test_even_maps_allow_all_places(self) -> None:
        self.see(1.3, 100)
        self.assertEqual(self.most(), RANKS * PROFILE.places)

    def test_passes_stay_within_the_accepted_pause(self) -> None:
        self.see(2.2, 100)
        most = self.most()
        self.assertLess(most, 60)
        self.assertFalse(self.admits(int(most)))
        self.assertTrue(self.admits(int(most) - 1))
        self.assertLessEqual(2.2 * usual_pass(load(int(most)), PROFILE), ACCEPTED)

    def test_worst_of_the_last_seconds_counts_and_is_forgotten(self) -> None:
        """All streams of a group were late again and again, whenever other experts were in demand.

        Between two changes of demand its map fitted and it was filled; the streams were still
        running when the next change came.
        """
        self.see(2.4, 12)
        self.see(1.3, 40)
        before = self.most()
        self.assertLess(before, 50)
        self.clock.advance(PAUSE_SECONDS)
        self.see(1.3, 40)
        self.assertEqual(self.most(), RANKS * PROFILE.places)

    def test_one_stalled_pass_is_no_sign_of_the_next(self) -> None:
        self.see(1.3, 60)
        self.pace.saw(GROUP, 1.5, load(48), PROFILE)
        self.see(1.3, 30)
        self.assertEqual(self.most(), RANKS * PROFILE.places)

    def test_at_least_half_of_the_places_are_given(self) -> None:
        self.see(3.0, 100)
        self.assertEqual(self.most(), RANKS * PROFILE.places / 2)

    def test_hopeless_passes_bound_nothing(self) -> None:
        """A rank turned twelve times slower; every answer is late, so as many as fit are served."""
        self.see(12.0, 100)
        self.assertEqual(self.most(), RANKS * PROFILE.places)

    def test_prompts_are_not_all_read_in_one_pass(self) -> None:
        self.see(1.7, 100)
        self.assertTrue(self.admits(50, 2_000))
        self.assertFalse(self.admits(50, 24_000))

    def test_services_that_name_no_pause_are_not_bound(self) -> None:
        self.see(3.0, 100)
        self.assertEqual(self.pace.most(GROUP, load(48), PROFILE, 0.0), RANKS * PROFILE.places)


class ClaimsTest(unittest.TestCase):
    """Free places that several entries know of."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)

    def test_few_free_places_are_not_taken_by_all(self) -> None:
        """Nine entries heard of three free places and sent nine requests to them.

        Six waited in engines, behind prompts that were being read, and were late.
        """
        taken = 0
        for seed in range(9 * 40):
            claims = Claims(self.clock, random.Random(seed))
            taken += claims.may_take(3.0, 9.0, 0.1)
        self.assertAlmostEqual(taken / 40, 3.0, delta=0.6)

    def test_one_draw_for_each_news(self) -> None:
        claims = Claims(self.clock, random.Random(1))
        drawn = [claims.may_take(1.0, 1e9, 0.1) for _ in range(50)]
        self.assertEqual(drawn, [False] * 50)

    def test_own_place_is_taken_again_at_once_and_once(self) -> None:
        claims = Claims(self.clock, random.Random(1))
        claims.freed()
        self.assertTrue(claims.may_take(1.0, 1e9, 0.1))
        claims.taken()
        self.assertFalse(claims.may_take(1.0, 1e9, 0.1))

    def test_plenty_is_taken_freely(self) -> None:
        claims = Claims(self.clock, random.Random(1))
        self.assertTrue(all(claims.may_take(30.0, 9.0, 0.1) for _ in range(20)))

    def test_full_groups_are_not_given_more(self) -> None:
        claims = Claims(self.clock, random.Random(1))
        claims.freed()
        self.assertFalse(claims.may_take(0.4, 1.0, 0.1))


class Replay(unittest.TestCase):
    """Loads at which callers were late or turned away, with the product's decisions."""

    def test_moving_demand_does_not_make_all_late(self) -> None:
        """Other experts were in demand every 3.7 s, and 12 of 100 streams were in time.

        The group was filled while its map fitted. At each change passes took longer than the pause
        that callers accept, for all of its streams at once.
        """
        ends = play(LOADS["usual load, demand moves every 3.7 s"], 0).outcome.total()
        self.assertGreater(ends["in time"] / ends.total(), 0.35)
        self.assertLess((ends["refused"] + ends["failed"]) / ends.total(), 0.25)

    def test_more_than_can_be_served_leaves_some_in_time(self) -> None:
        """Twice as many came as could be served, and 6 of 100 were in time.

        Places went to callers who came back late, and entries gave the engines more than they have
        places for. As many are served now, and four times as many of them in time.
        """
        ends = play(LOADS["twice what can be served, for good"], 0).outcome.total()
        self.assertGreater(ends["in time"] / ends.total(), 0.2)
        self.assertGreater((ends["in time"] + ends["late"]) / ends.total(), 0.45)

    def test_jump_is_over_two_seconds_after_its_end(self) -> None:
        """A jump of traffic lasted for six seconds, and callers were late for eight more."""
        fleet = play(LOADS["jump to 1.8, demand stands still"], 0)
        self.assertGreater(fleet.outcome.worth(0.0, 10.0), 0.95)
        self.assertGreater(fleet.outcome.worth(10.0, 16.0), 0.6)
        self.assertGreater(fleet.outcome.worth(18.0, 32.0), 0.95)

    def test_load_that_fits_is_served_whole(self) -> None:
        ends = play(LOADS["three fifths, demand moves every 6 s"], 0).outcome.total()
        self.assertEqual(ends["refused"] + ends["failed"], 0)
        self.assertGreater(ends["in time"] / ends.total(), 0.97)

    def test_group_is_not_given_more_than_its_places(self) -> None:
        """Entries that choose by the same news gave 72 places 84 requests."""
        full = Load(rate=jump(60.0, 1.0, 0.0, 0.0), stretch=moving_demand(1e9, 1.3), seconds=12.0)
        waiting = play(full, 1).most_waiting
        self.assertLess(waiting, 14)


if __name__ == "__main__":
    unittest.main()
