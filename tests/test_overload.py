"""Overload: who is shed, whether the limit finds the capacity, and whether storms end."""

import random
import unittest

from benchmarks.fakes import MODEL_TARGET, fake_configuration
from benchmarks.overload import (
    CAPACITY,
    STORM_FACTOR,
    run_load,
    run_storm,
    run_surge,
)
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.config.model import Limits
from carawayhub.errors import RequestError
from carawayhub.limits.adaptive import AdaptiveLimit
from carawayhub.limits.admission import Admission
from carawayhub.limits.allotment import Allotment, Key
from carawayhub.limits.overload import TargetController
from carawayhub.limits.query import AdmitQuery

WIDE = Limits(rate=100_000.0, burst=100_000.0, concurrency=100_000)


def feed(limit: AdaptiveLimit, wait: float, seconds: float, begin: float) -> float:
    """Let a limit that is used up see one wait for some seconds; return the end."""
    now = begin
    while now < begin + seconds:
        limit.record_running(int(limit.value))
        limit.record_first_byte(wait, int(limit.value), now)
        now += 0.02
    return now


class Limit(unittest.TestCase):
    """The limit on concurrency of one target."""

    def test_it_grows_without_a_queue_and_is_cut_with_one(self) -> None:
        limit = AdaptiveLimit()
        now = feed(limit, 0.05, 3.0, 0.0)
        grown = limit.value
        self.assertGreater(grown, 50.0)
        feed(limit, 1.0, 2.0, now)
        self.assertLess(limit.value, grown / 2)

    def test_a_refusal_further_on_is_no_sign_of_an_idle_target(self) -> None:
        """A target is starved after some of its requests were refused at once.

        Their wait of nothing becomes the estimate of the idle target, and every true wait looks
        like a queue.
        """
        limit = AdaptiveLimit()
        now = feed(limit, 0.3, 3.0, 0.0)
        before = limit.value
        for _ in range(50):
            now += 0.02
            limit.record_failure(0.0001, int(before), now)
        feed(limit, 0.5, 3.0, now)
        self.assertGreaterEqual(limit.value, before)

    def test_requests_that_never_answer_cut_it(self) -> None:
        limit = AdaptiveLimit()
        now = feed(limit, 0.05, 3.0, 0.0)
        before = limit.value
        for _ in range(200):
            now += 0.02
            limit.record_running(int(limit.value))
            limit.record_failure(5.0, int(limit.value), now)
        self.assertLess(limit.value, before / 2)

    def test_long_answers_at_endpoints_with_room_are_no_queue(self) -> None:
        """Callers are refused at an idle target because others ask for whole answers.

        The first byte of a whole answer comes with its last. When such requests become the most,
        waits are long although nothing queues.
        """
        limit = AdaptiveLimit()
        now = feed(limit, 0.05, 3.0, 0.0)
        before = limit.value
        for _ in range(200):
            now += 0.02
            limit.record_running(20)
            limit.record_first_byte(3.0, 20, now, load=lambda: 0.1)
        self.assertGreaterEqual(limit.value, before)
        for _ in range(200):
            now += 0.02
            limit.record_running(20)
            limit.record_first_byte(3.0, 20, now, load=lambda: 0.9)
        self.assertLess(limit.value, before / 2)

    def test_long_streams_of_idle_endpoints_are_let_in(self) -> None:
        """An entry that was restarted refuses nearly all streams of endpoints that idle.

        Streams run for long. Once the first few used up the starting limit no further answer
        began, and without answers nothing raised the limit until the first streams had ended.
        """
        capacity, wanted = 800, 200
        controller = TargetController(lambda: controller.running / capacity)
        key = Key(5, "cafes")
        refused = 0
        for arrival in range(2 * wanted):
            now = arrival * 0.05
            controller.record_arrival(key, now)
            if not controller.has_room(key):
                refused += 1
                continue
            controller.record_start(key)
            controller.first_byte(0.03, now + 0.03)
        self.assertGreaterEqual(controller.running, wanted)
        self.assertLessEqual(refused, wanted)

    def test_a_target_that_became_slower_for_good_is_learned_anew(self) -> None:
        """Goodput stays at a fraction after prompts became ten times longer.

        Without a queue every wait is above three times the wait of before, and stays there however
        far the limit is cut.
        """
        limit = AdaptiveLimit()
        now = feed(limit, 0.1, 1.5, 0.0)
        before = limit.value
        now = feed(limit, 1.0, 8.0, now)
        lowest = limit.value
        feed(limit, 1.0, 8.0, now)
        self.assertLess(lowest, before / 2)
        self.assertGreater(limit.value, before)


class Parts(unittest.TestCase):
    """Division among priorities and organisations."""

    def allotted(self, rates: dict[Key, int], limit: float) -> dict[Key, int]:
        """Return how many may run for each key at a target near its limit, held a second each."""
        allotment = Allotment()
        for tenth in range(100):
            for key, rate in rates.items():
                for _ in range(rate // 10):
                    allotment.record_arrival(key, tenth / 10, limit)
                    allotment.record_start(key)
                    allotment.record_end(key, 1.0)
        found = {}
        for key in rates:
            count = 0
            while allotment.has_room(key, limit, full=True):
                allotment.record_start(key)
                count += 1
            found[key] = count
        return found

    def test_the_lowest_priority_goes_first(self) -> None:
        high, middle, low = Key(0, "a"), Key(5, "a"), Key(9, "a")
        found = self.allotted({high: 40, middle: 40, low: 40}, limit=80.0)
        self.assertGreaterEqual(found[high], 40)
        self.assertGreater(found[middle], 10)
        self.assertEqual(found[low], 0)

    def test_a_surge_is_cut_to_its_part_and_its_neighbour_keeps_all(self) -> None:
        quiet, surge = Key(5, "quiet"), Key(5, "surge")
        found = self.allotted({quiet: 20, surge: 1000}, limit=100.0)
        self.assertGreaterEqual(found[quiet], 20)
        self.assertLessEqual(found[quiet] + found[surge], 101)


class Refusals(unittest.TestCase):
    """What a caller sees of overload."""

    def test_a_full_target_refuses_the_lowest_priority_as_not_run(self) -> None:
        clock = ManualClock(1000.0)
        admission = Admission(clock, random.Random(1), "entry-000")
        admission.configure(fake_configuration(1, 1, {"org": WIDE}))
        admission.tick()
        clock.advance(5.0)
        refused = None
        for _ in range(50):
            try:
                admission.admit(AdmitQuery(organisation="org", target=MODEL_TARGET, priority=9))
            except RequestError as exc:
                refused = exc
        assert refused is not None
        self.assertEqual(refused.code, Code.OVERLOADED)
        self.assertGreater(refused.retry_after or 0.0, 0.0)


class Storms(unittest.TestCase):
    """Whole trials with the fakes of the benchmark, on a clock of their own."""

    def test_goodput_stays_flat_past_saturation_and_priorities_hold(self) -> None:
        row = run_load(3.0, controller=True)
        self.assertGreater(row.goodput, 0.85 * CAPACITY)
        self.assertGreater(row.served_part[2], 0.7)
        self.assertLess(row.served_part[8], 0.1)
        self.assertLess(row.first_p99[2], 1200.0)

    def test_one_organisations_surge_leaves_the_other_served(self) -> None:
        """A bar host's lookups fail while another organisation sends four times the capacity."""
        row = run_surge(controller=True)
        before, onset, during = row.victim_p99
        self.assertGreater(min(row.victim_served), 0.95)
        self.assertLess(during, before + 500.0)
        self.assertLess(onset, 1200.0)

    def test_a_retry_storm_ends_after_its_trigger(self) -> None:
        """The system stays down for good after all endpoints were slow for eight seconds.

        Requests time out, callers and the system send them again, and the work of the timed-out
        attempts keeps the endpoints busy. Without the controller that goes on after the trigger.
        """
        without = run_storm(controller=False, budget=False)
        self.assertIsNone(without.recovery_seconds)
        row = run_storm(controller=True, budget=True)
        assert row.recovery_seconds is not None
        self.assertLessEqual(row.recovery_seconds, 9.0)
        self.assertGreater(row.goodput_after, 0.85 * STORM_FACTOR * CAPACITY)


if __name__ == "__main__":
    unittest.main()
