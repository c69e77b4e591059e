"""The lease that allows one agent to issue orders to the ranks of a lock-step group."""

import dataclasses
import random
import unittest

from benchmarks.fakes import fake_configuration
from carawayhub.clock import ManualClock
from carawayhub.config.model import Configuration
from carawayhub.groups.lease import (
    LEASE_SECONDS,
    MAX_WITNESSES,
    MIN_NAMED_SECONDS,
    NOT_NAMED,
    Holder,
    Lease,
    NamedDeciders,
    lease_holder,
    select_witnesses,
)

HISTORIES = 400
STEPS = 250
LONGEST_STEP = 1.2


def group_configuration(endpoints: int = 2, entries: int = 3) -> Configuration:
    """Return a configuration with one lock-step group over all endpoints."""
    cfg = fake_configuration(endpoints, entries, {})
    cfg = dataclasses.replace(
        cfg,
        entries={
            name: dataclasses.replace(node, peer_address=f"10.1.0.{at}:7000")
            for at, (name, node) in enumerate(cfg.entries.items())
        },
        endpoints={
            name: dataclasses.replace(node, agent=f"10.2.0.{at}:7000")
            for at, (name, node) in enumerate(cfg.endpoints.items())
        },
    )
    found, *_ = cfg.groups.values()
    wide = dataclasses.replace(found, name="wide", endpoints=tuple(sorted(cfg.endpoints)), ranks=4)
    return dataclasses.replace(cfg, groups={"wide": wide})


def replaced(cfg: Configuration, vm: str) -> Configuration:
    """Return a later configuration in which rank 0 runs on another VM."""
    name = cfg.groups["wide"].endpoints[0]
    moved = dataclasses.replace(cfg.endpoints[name], vm=vm, agent="10.9.9.9:7000")
    endpoints = {**cfg.endpoints, name: moved}
    return dataclasses.replace(cfg, version=cfg.version + 1, endpoints=endpoints)


class LeaseTest(unittest.TestCase):
    """Confirmation by a majority of three witnesses."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.lease = Lease(self.clock, ("a", "b", "c"))

    def confirm(self, *names: str) -> None:
        """Record confirmations of witnesses that have named the agent long enough."""
        for name in names:
            self.lease.record_confirmation(name, self.clock.monotonic(), MIN_NAMED_SECONDS)

    def test_one_witness_is_not_enough(self) -> None:
        """Guards against orders confirmed only by a peer that is itself disconnected."""
        self.confirm("a")
        self.assertFalse(self.lease.valid)
        self.confirm("b")
        self.assertTrue(self.lease.valid)

    def test_it_ends_by_the_age_of_what_was_asked(self) -> None:
        """Guards against a reply that stayed in the socket buffer while the agent was suspended."""
        asked_at = self.clock.monotonic()
        self.clock.advance(LEASE_SECONDS)
        self.lease.record_confirmation("a", asked_at, MIN_NAMED_SECONDS)
        self.lease.record_confirmation("b", asked_at, MIN_NAMED_SECONDS)
        self.assertFalse(self.lease.valid)

    def test_it_is_renewed_and_lapses(self) -> None:
        self.confirm("a", "b")
        self.clock.advance(LEASE_SECONDS - 0.1)
        self.confirm("b", "c")
        self.clock.advance(LEASE_SECONDS - 0.1)
        self.assertTrue(self.lease.valid)
        self.clock.advance(0.2)
        self.assertFalse(self.lease.valid)

    def test_agent_that_was_named_a_moment_ago_waits(self) -> None:
        """Guards against a successor that starts while its predecessor may still issue orders."""
        for name in ("a", "b", "c"):
            self.lease.record_confirmation(name, self.clock.monotonic(), MIN_NAMED_SECONDS - 0.1)
        self.assertFalse(self.lease.valid)

    def test_witness_that_names_another_takes_its_word_back(self) -> None:
        self.confirm("a", "b")
        self.lease.record_confirmation("b", self.clock.monotonic(), NOT_NAMED)
        self.assertFalse(self.lease.valid)

    def test_words_of_former_witnesses_do_not_count(self) -> None:
        self.confirm("a", "b")
        self.lease.change_witnesses(("b", "d", "e"))
        self.assertFalse(self.lease.valid)
        self.confirm("a", "d")
        self.assertTrue(self.lease.valid)

    def test_without_witnesses_it_never_ends(self) -> None:
        self.assertTrue(Lease(self.clock, ()).valid)


class NamedTest(unittest.TestCase):
    """What a witness reports."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.named = NamedDeciders(self.clock)
        self.cfg = group_configuration()
        self.first = lease_holder(self.cfg, self.cfg.groups["wide"])

    def test_time_runs_on_through_versions_that_name_the_same_agent(self) -> None:
        self.named.apply_configuration(self.cfg)
        self.clock.advance(5.0)
        self.named.apply_configuration(dataclasses.replace(self.cfg, version=9))
        self.assertEqual(self.named.seconds_named("wide", self.first), 5.0)

    def test_another_agent_counts_from_its_version(self) -> None:
        self.named.apply_configuration(self.cfg)
        self.clock.advance(5.0)
        later = replaced(self.cfg, "vm-new")
        self.named.apply_configuration(later)
        self.clock.advance(1.0)
        second = lease_holder(later, later.groups["wide"])
        self.assertEqual(self.named.seconds_named("wide", second), 1.0)
        self.assertEqual(self.named.seconds_named("wide", self.first), NOT_NAMED)

    def test_unknown_groups_and_agents_are_not_named(self) -> None:
        self.assertEqual(self.named.seconds_named("wide", self.first), NOT_NAMED)
        self.named.apply_configuration(self.cfg)
        elsewhere = dataclasses.replace(self.first, vm="vm-old")
        self.assertEqual(self.named.seconds_named("wide", elsewhere), NOT_NAMED)
        self.assertEqual(self.named.seconds_named("other", self.first), NOT_NAMED)


class WitnessesTest(unittest.TestCase):
    """Selection of witnesses."""

    def test_they_are_few_and_odd_and_leave_the_decider_out(self) -> None:
        for endpoints, entries in ((2, 1), (2, 2), (2, 7), (4, 40)):
            cfg = group_configuration(endpoints, entries)
            group = cfg.groups["wide"]
            found = select_witnesses(cfg, group)
            self.assertEqual(len(found) % 2, 1)
            self.assertLessEqual(len(found), MAX_WITNESSES)
            self.assertNotIn(f"agent {group.endpoints[0]}", {each.name for each in found})

    def test_they_are_spread_over_failure_domains(self) -> None:
        cfg = group_configuration(4, 40)
        found = select_witnesses(cfg, cfg.groups["wide"])
        counts = [
            sum(each.failure_domain == domain for each in found)
            for domain in {each.failure_domain for each in found}
        ]
        self.assertLessEqual(max(counts) - min(counts), 1)

    def test_group_in_one_failure_domain_needs_no_other(self) -> None:
        """Guards against losing the lease of a healthy group when other domains are unreachable."""
        cfg = group_configuration(1, 6)
        own = cfg.endpoints[cfg.groups["wide"].endpoints[0]].failure_domain
        entries = [name for name, node in cfg.entries.items() if node.failure_domain == own]
        self.assertTrue(entries)
        found = select_witnesses(cfg, cfg.groups["wide"])
        self.assertEqual({each.failure_domain for each in found}, {own})


class History:
    """Witnesses that restart and lag, and two agents named one after the other.

    Args:
        seed: Seed of the random number generator.
        waits: Whether an agent waits until it has been named long enough.
        count: Number of witnesses.
    """

    def __init__(self, seed: int, waits: bool = True, count: int = 3) -> None:
        self.rng = random.Random(seed)
        self.clock = ManualClock(100.0)
        first = group_configuration()
        second = replaced(first, "vm-new")
        self.versions = [first, second]
        self.names = [f"w{at}" for at in range(count)]
        self.version = dict.fromkeys(self.names, 0)
        self.named = {name: self.started(name) for name in self.names}
        self.holders = [lease_holder(cfg, cfg.groups["wide"]) for cfg in self.versions]
        self.leases = [Lease(self.clock, self.names) for _ in self.holders]
        self.waits = waits
        self.in_flight: list[tuple[int, str, float, float]] = []
        self.ordered = [0, 0]

    def started(self, name: str) -> NamedDeciders:
        """Return the state of a witness that has just started, possibly from a stale source."""
        named = NamedDeciders(self.clock)
        named.apply_configuration(self.versions[self.version[name]])
        return named

    def step(self) -> None:
        """Apply one random event."""
        name = self.rng.choice(self.names)
        match self.rng.choices(("time", "ask", "answer", "learn", "restart"), (6, 9, 9, 1, 1))[0]:
            case "time":
                self.clock.advance(self.rng.uniform(0.0, LONGEST_STEP))
            case "ask":
                self.ask(self.rng.randrange(2), name)
            case "answer" if self.in_flight:
                at, name, asked_at, seconds = self.in_flight.pop(
                    self.rng.randrange(len(self.in_flight))
                )
                self.leases[at].record_confirmation(name, asked_at, seconds)
            case "learn":
                self.version[name] = 1
                self.named[name].apply_configuration(self.versions[1])
            case "restart":
                self.version[name] = self.rng.choice((0, self.version[name]))
                self.named[name] = self.started(name)

    def ask(self, at: int, name: str) -> None:
        """Send a request from an agent to a witness; the reply arrives at any later time."""
        seconds = self.named[name].seconds_named("wide", self.holders[at])
        if not self.waits and seconds >= 0:
            seconds = MIN_NAMED_SECONDS
        self.in_flight.append((at, name, self.clock.monotonic(), seconds))

    def both_may_order(self) -> bool:
        """Run all steps; return whether both agents could ever issue orders at the same time."""
        for _ in range(STEPS):
            self.step()
            valid = [lease.valid for lease in self.leases]
            for at, each in enumerate(valid):
                self.ordered[at] += each
            if all(valid):
                return True
        return False


class SearchTest(unittest.TestCase):
    """Random histories of lost, late and stale replies."""

    def test_no_two_agents_may_order_at_once(self) -> None:
        """Guards against two active deciders, also if witnesses lose state in a restart."""
        ordered = [0, 0]
        for seed in range(HISTORIES):
            history = History(seed, count=3 + 2 * (seed % 2))
            self.assertFalse(history.both_may_order(), f"seed {seed}")
            ordered = [sum(pair) for pair in zip(ordered, history.ordered, strict=True)]
        self.assertGreater(min(ordered), 0)

    def test_the_search_finds_a_successor_that_does_not_wait(self) -> None:
        found = sum(History(seed, waits=False).both_may_order() for seed in range(HISTORIES))
        self.assertGreater(found, 0)


class HolderTest(unittest.TestCase):
    """The agent that is named as decider."""

    def test_it_is_the_agent_beside_rank_0(self) -> None:
        cfg = group_configuration()
        first = cfg.endpoints[cfg.groups["wide"].endpoints[0]]
        expected = Holder(first.name, first.agent, first.vm)
        self.assertEqual(lease_holder(cfg, cfg.groups["wide"]), expected)


if __name__ == "__main__":
    unittest.main()
