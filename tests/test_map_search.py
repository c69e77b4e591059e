"""Searches every interleaving of a map change in a small group; broken rules must be detected."""

import unittest
from dataclasses import dataclass, replace

from benchmarks.map_model import Setup, obey_checked, obey_unchecked
from benchmarks.map_states import search
from carawayhub.groups.change import ChangeProgress, Verdict, Vote, take_over
from carawayhub.groups.orders import Abort, Arm
from carawayhub.standins.rank_rules import Answer


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitsEarly(ChangeProgress):
    """Commits as soon as one rank has agreed."""

    @property
    def verdict(self):
        return Verdict.COMMIT if Vote.AGREED in self.votes else ChangeProgress.verdict.fget(self)


@dataclass(frozen=True, slots=True, kw_only=True)
class AbortsOnTimeout(ChangeProgress):
    """Aborts a withdrawn change although no rank is known to have barred it."""

    def order(self, rank):
        if self.withdrawing and self.verdict is Verdict.OPEN:
            return Abort(term=self.term, change=self.change)
        return ChangeProgress.order(self, rank)


@dataclass(frozen=True, slots=True, kw_only=True)
class AbortsWhatItFinds(ChangeProgress):
    """A restarted decider that aborts uncommitted changes and relies on fencing alone."""

    @property
    def verdict(self):
        if self.withdrawing and self.term.number == 2 and Vote.COMMITTED not in self.votes:
            return Verdict.ABORT
        return ChangeProgress.verdict.fget(self)


def aborts_what_it_finds(term, states):
    left = take_over(term, states)
    if left is None:
        return None
    fields = {name: getattr(left, name) for name in ("term", "change", "votes", "withdrawing")}
    return AbortsWhatItFinds(**fields)


def agrees_to_barred_steps(state, order) -> Answer:
    """Rules of a rank that agrees to a step it has barred."""
    if isinstance(order, Arm):
        state = replace(state, barred=0)
    return obey_unchecked(state, order)


class SearchTest(unittest.TestCase):
    """The production rules prevent two maps in one step and stuck changes in every interleaving."""

    def check_sound(self, setup):
        found = search(setup)
        self.assertEqual((found.two_maps, found.stuck), (0, 0))
        self.assertGreater(found.committed, 0)
        self.assertGreater(found.aborted, 0)
        return found

    def test_two_ranks_with_fencing(self):
        found = self.check_sound(Setup(ranks=2, obey=obey_checked))
        self.assertGreater(found.states, 20_000)

    def test_two_ranks_without_fencing(self):
        found = self.check_sound(Setup(ranks=2, obey=obey_unchecked))
        self.assertGreater(found.states, 40_000)

    def test_three_ranks(self):
        setup = Setup(ranks=3, obey=obey_checked, proposes=False, last_step=1)
        self.check_sound(setup)


class BrokenVariantTest(unittest.TestCase):
    """Each of these faults runs one step under two maps; the search must detect every one."""

    def two_maps(self, **options):
        return search(Setup(ranks=2, proposes=False, stops_at_fault=True, **options)).two_maps

    def test_commit_before_all_have_agreed(self):
        self.assertGreater(self.two_maps(obey=obey_checked, handling=CommitsEarly), 0)

    def test_abort_without_a_barred_rank(self):
        self.assertGreater(self.two_maps(obey=obey_checked, handling=AbortsOnTimeout), 0)

    def test_rank_that_does_not_keep_to_its_bar(self):
        self.assertGreater(self.two_maps(obey=agrees_to_barred_steps), 0)

    def test_reliance_on_fencing_breaks_only_where_it_is_ignored(self):
        options = {"handling": AbortsWhatItFinds, "take_over": aborts_what_it_finds}
        self.assertEqual(self.two_maps(obey=obey_checked, **options), 0)
        self.assertGreater(self.two_maps(obey=obey_unchecked, **options), 0)


if __name__ == "__main__":
    unittest.main()
