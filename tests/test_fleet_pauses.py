"""How a process notices that it was paused."""

import unittest

import anyio

from benchmarks.virtual_time import LoopClock, run
from carawayhub.clock import ManualClock
from carawayhub.fleet.pauses import Belief, PauseDetector

BOTH = frozenset({Belief.CONFIGURATION, Belief.MEMBERSHIP})


class PauseTest(unittest.TestCase):
    """The first check after a pause must tell, whichever code comes first."""

    def test_the_first_check_after_a_pause_tells(self) -> None:
        """A request goes to an endpoint that left ten seconds ago.

        The VM of an entry is suspended between the choice of an endpoint and the dispatch, and
        wakes up believing what it knew. No timer has run yet when the dispatch comes.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        self.assertFalse(pauses.check())
        clock.advance(10)
        self.assertTrue(pauses.check())
        self.assertTrue(pauses.check())

    def test_only_what_was_checked_again_is_believed(self) -> None:
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        clock.advance(10)
        pauses.check()
        pauses.confirm(Belief.CONFIGURATION, pauses.count)
        self.assertEqual(pauses.unconfirmed(), {Belief.MEMBERSHIP})
        pauses.confirm(Belief.MEMBERSHIP, pauses.count)
        self.assertFalse(pauses.check())

    def test_a_check_that_was_itself_paused_confirms_nothing(self) -> None:
        """An entry is stopped twice, the second time while it asks its peers what is in force.

        The answer was given before the second stop. Taken as a confirmation it would make what is
        twenty seconds old look fresh.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        clock.advance(10)
        pauses.check()
        count = pauses.count
        clock.advance(20)
        pauses.confirm(Belief.CONFIGURATION, count)
        self.assertEqual(pauses.unconfirmed(), BOTH)

    def test_a_quiet_process_that_ticks_was_not_paused(self) -> None:
        async def story() -> None:
            pauses = PauseDetector(LoopClock(), BOTH)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pauses.run)
                await anyio.sleep(60)
                self.assertFalse(pauses.check())
                tasks.cancel_scope.cancel()

        run(story)
