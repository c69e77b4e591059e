"""Random and exhaustive search over histories of one key, with real ledgers and homes."""

import contextlib
import pickle
import random
import unittest
from collections import Counter
from unittest import mock

from carawayhub.agent.fence import Fence
from carawayhub.agent.homes import Homes
from carawayhub.agent.ledger import Ledger
from tests.key_world import DoubleRunError, World, key_of, member, set_of

A, B = member("a"), member("b")


class RandomHistory:
    """One random history with a fixed seed.

    Args:
        seed: Seed of all choices.
        sets: Configurations in their order.
        false_gone: Whether the platform's list may report a VM as gone that runs but is cut off.
    """

    STEPS = 70
    MOVES = {
        "talk": 16,
        "call": 16,
        "deliver": 6,
        "duplicate": 2,
        "drop": 1,
        "finish": 6,
        "adopt": 4,
        "publish": 2,
        "restart": 3,
        "stop": 3,
        "crash": 1,
        "note_gone": 1,
        "wait": 3,
    }
    WAITS = (0.2, 0.5, 1.0, 2.0, 4.0, 12.0, 18.0)
    PROMPT = 0.85

    def __init__(self, seed, sets, false_gone=False):
        self.rng = random.Random(seed)
        self.world = World([set_of(names) for names in sets])
        self.slots = sorted({m for one in self.world.sets for m in one.members})
        self.false_gone = false_gone
        self.keys = 0
        for slot in self.world.sets[0].members:
            self.world.start(slot, 1)
        self.world.advance(20.0)
        for slot in self.world.sets[0].members:
            self.world.ask(slot)
        while self.world.in_transit:
            self.world.deliver(0)

    def run(self):
        names, weights = list(self.MOVES), list(self.MOVES.values())
        for name in self.rng.choices(names, weights, k=self.STEPS):
            getattr(self, name)()
        return self.world

    def agent(self):
        return self.rng.choice(sorted(self.world.agents)) if self.world.agents else None

    def deliver_new(self, first):
        """Deliver most messages in transit from index ``first`` onwards, including replies."""
        place = first
        while place < len(self.world.in_transit):
            if self.rng.random() < self.PROMPT:
                self.world.deliver(place)
            else:
                place += 1

    def talk(self):
        slot = self.agent()
        if slot is not None:
            first = len(self.world.in_transit)
            self.world.ask(slot)
            self.deliver_new(first)

    def call(self):
        known = self.world.open_keys()
        if known and self.rng.random() < 0.75:
            key = self.rng.choice(known)
        else:
            self.keys += 1
            key = key_of(self.keys)
        first = len(self.world.in_transit)
        self.world.send(key, self.rng.randint(max(1, self.world.latest - 1), self.world.latest))
        self.deliver_new(first)

    def deliver(self):
        if self.world.in_transit:
            self.world.deliver(self.rng.randrange(len(self.world.in_transit)))

    def duplicate(self):
        # The network does not repeat callers' requests; only the callers retry them.
        places = [i for i, one in enumerate(self.world.in_transit) if one.sender is not None]
        if places:
            self.world.deliver(self.rng.choice(places), keep=True)

    def drop(self):
        if self.world.in_transit:
            self.world.in_transit.pop(self.rng.randrange(len(self.world.in_transit)))

    def finish(self):
        running = self.world.finishable()
        if running:
            self.world.finish(self.rng.choice(running), sent=self.rng.random() < 0.7)

    def adopt(self):
        slot = self.agent()
        if slot is None or self.world.agents[slot].version >= self.world.latest:
            return
        newer = self.rng.randint(self.world.agents[slot].version + 1, self.world.latest)
        self.world.adopt(slot, newer)

    def publish(self):
        world = self.world
        if world.latest == len(world.sets):
            return
        old, new = world.sets[world.latest - 1], world.sets[world.latest]
        removed = [s.member for s in old.seats if s.leaving and new.seat(s.member) is None]
        if any(slot in world.agents for slot in removed):
            return
        world.gone.update(removed)
        world.latest += 1

    def restart(self):
        dead = [s for s in self.slots if s not in self.world.agents and s not in self.world.gone]
        if dead:
            self.world.start(self.rng.choice(dead), self.rng.randint(1, self.world.latest))

    def stop(self):
        stopping = [s for s, agent in self.world.agents.items() if agent.stopping]
        slot = self.rng.choice(stopping) if stopping else self.agent()
        if slot is None:
            return
        first = len(self.world.in_transit)
        self.world.stop(slot)
        self.deliver_new(first)

    def crash(self):
        slot = self.agent()
        if slot is not None:
            self.world.crash(slot)

    def note_gone(self):
        lost = [s for s in self.slots if self.false_gone or s not in self.world.agents]
        at = self.agent()
        if at is None or not lost:
            return
        slot = self.rng.choice(lost)
        if slot != at:
            self.world.note_gone(slot, at)

    def wait(self):
        self.world.advance(self.rng.choice(self.WAITS))


SCENARIOS = {
    "join": ["a b", "a b c"],
    "leave": ["a b c", "a- b c", "b c"],
    "migrate": ["a b", "a b c", "a- b c", "b c", "b c d", "a b c d"],
    "abrupt": ["a b c", "b c d", "c d", "a c d"],
    "back": ["a b", "a b c", "a b", "a b c"],
}
SEEDS = 120


def search(scenario, seeds, **options):
    """Run a scenario with each seed and count the events."""
    counts = Counter()
    for seed in seeds:
        world = RandomHistory(seed, SCENARIOS[scenario], **options).run()
        counts += Counter(runs=world.runs, replays=world.replays)
    return counts


class RandomSearchTest(unittest.TestCase):
    """No history runs a key twice or reports a run as "not run"."""

    def test_no_key_runs_twice_in_any_story(self):
        for scenario in SCENARIOS:
            with self.subTest(scenario):
                counts = search(scenario, range(SEEDS))
                self.assertGreater(counts["runs"], SEEDS)
                self.assertGreater(counts["replays"], SEEDS)

    def test_no_key_runs_twice_while_the_platform_calls_live_vms_gone(self):
        counts = search("leave", range(SEEDS), false_gone=True)
        self.assertGreater(counts["runs"], SEEDS)


class BrokenVariantsTest(unittest.TestCase):
    """The same search finds a double run once a safeguard is removed."""

    def assert_found(self, scenario, *patches):
        with contextlib.ExitStack() as stack:
            for one in patches:
                stack.enter_context(one)
            with self.assertRaises(DoubleRunError):
                search(scenario, range(400))

    def test_without_the_fence(self):
        self.assert_found(
            "leave",
            mock.patch.object(Fence, "missing", lambda fence: ()),
            mock.patch.object(Fence, "_quarantine_until", lambda fence, peer: 0.0),
        )

    def test_without_quarantine(self):
        started = mock.patch.object(Fence, "_own_quarantine_until", lambda fence: fence._started)
        self.assert_found("leave", started)

    def test_without_the_handed_over_entries(self):
        self.assert_found("leave", mock.patch.object(Ledger, "export", lambda *given: ()))

    def test_with_homes_by_the_live_view(self):
        """Each entry sends a key to the best of the agents that it considers alive.

        If agents run every key they receive, two entries with different views run a key twice.
        """
        self.assert_found(
            "join",
            mock.patch.object(Homes, "admit", lambda homes, key: None),
            mock.patch.object(World, "home", lambda world, key, version: live_home(world, key)),
        )


def live_home(world, key):
    return world.sets[-1].home_without(key, next(iter(sorted({A, B} - set(world.agents))), None))


class Explorer:
    """Visits all histories of one key within a budget, each state once.

    Args:
        names: Two sets; the key's home differs between them.
        budget: How often each kind of move may be made; other moves are unlimited.
    """

    FREE = "free"

    def __init__(self, names, budget):
        sets = [set_of(one) for one in names]
        keys = map(key_of, range(1000))
        self.key = next(key for key in keys if sets[0].home(key) != sets[1].home(key))
        self.slots = sets[1].members
        self.start = World(sets)
        for slot in self.slots:
            self.start.start(slot, 1 if sets[0].seat(slot) else 2)
        self.start.advance(20.0)
        for slot in self.slots:
            self.start.ask(slot)
        while self.start.in_transit:
            self.start.deliver(0)
        self.start.latest = 2
        self.budget = tuple(sorted(budget.items()))

    def explore(self):
        """Return the number of states.

        Raises:
            AssertionError: A history violates a guarantee.
        """
        first = (pickle.dumps(self.start), self.budget)
        seen = {hash(first)}
        frontier = [first]
        while frontier:
            state = frontier.pop()
            for follower in self.followers(*state):
                mark = hash(follower)
                if mark not in seen:
                    seen.add(mark)
                    frontier.append(follower)
        return len(seen)

    def followers(self, blob, budget):
        left = dict(budget)
        for kind, name, *arguments in self.moves(pickle.loads(blob)):
            if kind != self.FREE and not left.get(kind):
                continue
            world = pickle.loads(blob)
            getattr(world, name)(*arguments)
            spent = {**left, kind: left[kind] - 1} if kind != self.FREE else left
            yield pickle.dumps(world), tuple(sorted(spent.items()))

    def moves(self, world):
        for slot, agent in sorted(world.agents.items()):
            for version in range(agent.version + 1, world.latest + 1):
                yield self.FREE, "adopt", slot, version
            yield "ask", "ask", slot
            yield "crash", "crash", slot
        for version in range(1, world.latest + 1):
            yield "send", "send", self.key, version
            for slot in self.slots:
                if slot not in world.agents:
                    yield "start", "start", slot, version
        for place, message in enumerate(world.in_transit):
            yield self.FREE, "deliver", place
            if message.sender is not None:
                yield "duplicate", "deliver", place, True
        for run in world.finishable():
            yield self.FREE, "finish", run, True
            yield self.FREE, "finish", run, False


class ExhaustiveSearchTest(unittest.TestCase):
    """All message orders of a planned leave in which one key is sent twice."""

    LEAVE = ("a b", "a- b")

    def test_no_order_of_a_planned_leave_runs_the_key_twice(self):
        states = Explorer(self.LEAVE, {"ask": 1, "send": 2}).explore()
        self.assertGreater(states, 1000)

    def test_an_order_is_found_once_running_entries_are_not_handed_over(self):
        with (
            mock.patch.object(Ledger, "export", lambda *given: ()),
            self.assertRaises(DoubleRunError),
        ):
            Explorer(self.LEAVE, {"ask": 1, "send": 2}).explore()


if __name__ == "__main__":
    unittest.main()
