"""The capacity page is compared with fresh measurements, figure by figure."""

import unittest
from dataclasses import replace

from benchmarks.capacity import PAGE, compare, read_page
from benchmarks.capacity_counts import PLANNED, TODAY
from benchmarks.capacity_model import AGENT, ENTRY, LEADER, WATCHER, Total


class PageTest(unittest.TestCase):
    """A page that nobody compares keeps figures that were true once."""

    def setUp(self) -> None:
        self.row = Total("planned", "agent", 2.4, 15.0, 90.0)

    def test_a_third_is_allowed_and_more_is_named(self) -> None:
        self.assertEqual(list(compare([self.row], [replace(self.row, percent=3.1)])), [])
        for change in ({"percent": 3.3}, {"percent": 1.7}, {"kilobytes": 21.0}, {"mib": 60.0}):
            with self.subTest(change=change):
                found = list(compare([self.row], [replace(self.row, **change)]))
                self.assertEqual(len(found), 1)
                self.assertIn("planned, agent", found[0])

    def test_rows_that_one_side_lacks_are_named(self) -> None:
        self.assertEqual(list(compare([], [self.row])), ["planned, agent: not on the page"])
        said = ["planned, agent: on the page, not measured"]
        self.assertEqual(list(compare([self.row], [])), said)

    def test_the_page_states_every_role_at_both_sizes(self) -> None:
        stated = [(row.size, row.role) for row in read_page(PAGE.read_text())]
        roles = (ENTRY, WATCHER, AGENT, LEADER)
        wanted = [(size.name, role) for size in (TODAY, PLANNED) for role in roles]
        self.assertEqual(stated, wanted)
