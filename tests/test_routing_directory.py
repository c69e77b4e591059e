"""Tests which entries are returned to callers."""

import dataclasses
import random
import unittest
from collections import Counter

from benchmarks.fakes import fake_configuration
from carawayhub.clock import ManualClock
from carawayhub.config.model import EndpointState, FleetOptions, Limits
from carawayhub.routing.directory import EntryDirectory


class Answers(unittest.TestCase):
    """Nine entries in three failure domains."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0, wall_offset=1_000_000.0)
        self.cfg = fake_configuration(1, 9, {"org": Limits()})
        self.directory = EntryDirectory(self.clock, random.Random(3))
        self.directory.configure(self.cfg)
        self.domain_of = {e.address: e.failure_domain for e in self.cfg.entries.values()}

    def test_first_addresses_are_even_within_the_callers_domain(self) -> None:
        firsts = Counter(self.directory.answer("domain-a").addresses[0] for _ in range(300))
        self.assertEqual({self.domain_of[address] for address in firsts}, {"domain-a"})
        self.assertEqual(set(firsts.values()), {100})

    def test_first_addresses_are_even_for_callers_of_unknown_domain(self) -> None:
        firsts = Counter(self.directory.answer(None).addresses[0] for _ in range(900))
        self.assertEqual(set(firsts.values()), {100})

    def test_an_unknown_failure_domain_counts_as_none(self) -> None:
        firsts = Counter(self.directory.answer("nowhere").addresses[0] for _ in range(900))
        self.assertEqual(set(firsts.values()), {100})

    def test_a_directory_without_entries_names_none(self) -> None:
        empty = EntryDirectory(self.clock, random.Random(3))
        self.assertEqual(empty.answer("domain-a").addresses, ())

    def test_an_answer_names_another_domain_and_never_all_entries(self) -> None:
        for _ in range(50):
            addresses = self.directory.answer("domain-b").addresses
            self.assertEqual(len(set(addresses)), 3)
            self.assertGreater(len({self.domain_of[address] for address in addresses}), 1)

    def test_small_fleets_have_a_spare_but_not_all(self) -> None:
        sizes = {}
        for entries in (1, 2, 3, 4):
            self.directory.configure(fake_configuration(1, entries, {"org": Limits()}))
            sizes[entries] = len(self.directory.answer("domain-a").addresses)
        self.assertEqual(sizes, {1: 1, 2: 2, 3: 2, 4: 3})

    def test_preferred_entries_come_first_where_enough_of_them_serve(self) -> None:
        preferred = frozenset(f"entry-00{index}" for index in range(5))
        wanted = {self.cfg.entries[name].address for name in preferred}
        for _ in range(50):
            self.assertLessEqual(
                set(self.directory.answer("domain-a", preferred).addresses), wanted
            )
        self.directory.set_excluded(sorted(preferred)[:3])
        others = set(self.directory.answer("domain-a", preferred).addresses) - wanted
        self.assertTrue(others)
        self.directory.set_excluded(sorted(preferred))
        for _ in range(50):
            self.assertFalse(set(self.directory.answer("domain-a", preferred).addresses) & wanted)

    def test_the_wall_time_until_which_an_answer_may_be_kept(self) -> None:
        answer = self.directory.answer(None)
        self.assertEqual(answer.ttl, 20.0)
        self.assertEqual(answer.keep_until, 1_000_120.0)

    def test_entries_that_leave_or_are_suspected_are_not_named(self) -> None:
        away, leaving = "entry-000", "entry-003"
        entry = dataclasses.replace(self.cfg.entries[leaving], state=EndpointState.LEAVING)
        entries = {**self.cfg.entries, leaving: entry}
        self.directory.configure(dataclasses.replace(self.cfg, entries=entries))
        self.directory.set_excluded([away])
        hidden = {self.cfg.entries[name].address for name in (away, leaving)}
        for domain in ("domain-a", None):
            for _ in range(50):
                self.assertFalse(hidden & set(self.directory.answer(domain).addresses))

    def test_a_domain_that_lost_most_entries_does_not_overload_the_last(self) -> None:
        """Guards against overloading the last entry of a failure domain.

        Two of the domain's three entries are suspected. Only a third of its callers may be sent to
        the remaining one; the others are distributed over the other domains.
        """
        self.directory.set_excluded(["entry-000", "entry-003"])
        last = self.cfg.entries["entry-006"].address
        firsts = Counter(self.directory.answer("domain-a").addresses[0] for _ in range(900))
        self.assertAlmostEqual(firsts[last] / 900, 1 / 3, delta=0.05)

    def test_a_directory_that_suspects_everybody_still_answers(self) -> None:
        self.directory.set_excluded(list(self.cfg.entries))
        self.assertEqual(len(self.directory.answer(None).addresses), 3)

    def test_a_stopping_entry_serves_until_the_last_kept_answer_has_passed(self) -> None:
        """Guards against callers that connect to a stopped entry.

        A caller may have cached an answer under an earlier, longer TTL, from an entry that had not
        yet learned that the other one was stopping.
        """
        longer = dataclasses.replace(self.cfg, fleet=FleetOptions(answer_ttl=60.0))
        self.directory.configure(longer)
        self.directory.configure(self.cfg)
        heartbeat = self.cfg.fleet.heartbeat_timeout
        self.assertEqual(self.directory.answers_expire_at(100.0), 100.0 + 60.0 + heartbeat)


if __name__ == "__main__":
    unittest.main()
