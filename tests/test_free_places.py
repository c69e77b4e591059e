"""Free places and totals of work that are kept up to date, against the same added up anew."""

import random
import unittest

from carawayhub.clock import ManualClock
from carawayhub.gateway.freeplaces import FreePlaces
from carawayhub.gateway.health import LAST_BREAK, REFUSING_SECONDS, Health
from carawayhub.gateway.loads import Loads, Work, work_key
from carawayhub.gateway.placement import Placement
from tests.gateway_world import endpoint

ENDPOINTS = [endpoint(f"i-{at}", places=1 + at % 4) for at in range(30)]
TELLERS = ("10.0.0.2", "10.0.0.3", "10.0.0.4")
STEPS = 3000


class FreePlacesTest(unittest.TestCase):
    """Requests begin and end here and at peers, endpoints come and go."""

    def setUp(self) -> None:
        self.rng = random.Random(11)
        self.loads = Loads()
        self.free = FreePlaces(self.loads)
        self.own: list[tuple[str, Work]] = []
        self.told: dict[str, dict[int, Work]] = {}
        self.listed = tuple(ENDPOINTS)

    def test_sums_are_those_of_all_endpoints_after_any_history(self) -> None:
        """An entry took a service for full, or for free, that was not.

        A change of the work at an endpoint that is not carried into the sum stays wrong for good:
        no later look adds everything up again.
        """
        for _ in range(STEPS):
            self.change()
            if self.rng.random() < 0.3:
                self.compare()
        self.compare()

    def test_endpoints_that_are_gone_leave_nothing_behind(self) -> None:
        """Memory of entries before services whose free places nobody asks for grew for weeks.

        Each lifetime of an endpoint has a key of its own, and each change of its work was kept
        until the next question.
        """
        self.free.of(self.listed)
        for lifetime in range(1000):
            self.loads.begin(f"gone-{lifetime}", Work(1))
            self.loads.end(f"gone-{lifetime}", Work(1))
        self.assertEqual(len(self.free._changed), 0)
        self.compare()

    def change(self) -> None:
        """Let one thing happen."""
        match self.rng.randrange(8):
            case 0 | 1 | 2:
                name, work = self.rng.choice(ENDPOINTS).id, self.work()
                self.loads.begin(name, work)
                self.own.append((name, work))
            case 3 | 4 if self.own:
                self.loads.end(*self.own.pop(self.rng.randrange(len(self.own))))
            case 5 | 6:
                teller = self.rng.choice(TELLERS)
                some = self.rng.sample(ENDPOINTS, self.rng.randrange(len(ENDPOINTS)))
                before = self.told.get(teller, {})
                works = {work_key(each.id): self.work() for each in some}
                works |= dict(list(before.items())[:5])
                self.told[teller] = works
                self.loads.heard(teller, works)
            case 7:
                teller = self.rng.choice(TELLERS)
                self.told.pop(teller, None)
                self.loads.forget(teller)
                self.listed = tuple(self.rng.sample(ENDPOINTS, self.rng.randrange(1, 30)))

    def work(self) -> Work:
        return Work(self.rng.randrange(1, 3), self.rng.randrange(500), self.rng.randrange(900))

    def compare(self) -> None:
        """Fail where a sum is not what adding up gives."""
        free = 0
        for each in ENDPOINTS:
            total = Work()
            for name, work in self.own:
                total.add(work, 1 if name == each.id else 0)
            for works in self.told.values():
                total.add(works.get(work_key(each.id), Work()), 1)
            self.assertEqual(self.loads.total(each.id), total)
            free += max(0, each.places - total.requests) if each in self.listed else 0
        self.assertEqual(self.free.of(self.listed), free)


class OpenTest(unittest.TestCase):
    """Endpoints that refuse or could not be reached, looked for only while there may be some."""

    def test_endpoints_are_left_out_for_as_long_as_they_are_shut(self) -> None:
        clock = ManualClock()
        health = Health(clock)
        placement = Placement(Loads(), health, random.Random(3))
        listed = [endpoint(f"i-{at}") for at in range(3)]

        def chosen() -> set[str]:
            found = (placement.choose(listed, Work(1), 0, frozenset()) for _ in range(60))
            return {each.endpoint.id for each in found if each is not None}

        self.assertTrue(health.all_open())
        health.refused("i-0")
        health.unreachable("i-1")
        self.assertEqual(chosen(), {"i-2"})
        clock.advance(REFUSING_SECONDS)
        self.assertEqual(chosen(), {"i-0", "i-2"})
        clock.advance(LAST_BREAK)
        self.assertTrue(health.all_open())
        self.assertEqual(chosen(), {"i-0", "i-1", "i-2"})


if __name__ == "__main__":
    unittest.main()
