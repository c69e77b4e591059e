"""The table of promises names what exists, and the page shows the same rows."""

import unittest
from pathlib import Path

from benchmarks.promises import PROMISES, table
from tests.broken_entries import VARIANTS

PAGE = Path(__file__).parent.parent / "docs" / "soaks.md"


class TableTest(unittest.TestCase):
    """Every row is checked somewhere, and every variant belongs to a row."""

    def test_page_shows_the_same_rows(self) -> None:
        lines = PAGE.read_text().splitlines()
        begin = lines.index(table()[0])
        self.assertEqual(lines[begin : begin + len(table())], table())

    def test_every_promise_is_checked_somewhere(self) -> None:
        for each in PROMISES:
            with self.subTest(promise=each.name):
                self.assertTrue(each.checker is not None or each.otherwise)

    def test_every_broken_variant_belongs_to_one_promise(self) -> None:
        named = [variant for each in PROMISES for variant in each.variants]
        self.assertEqual(sorted(named), sorted(VARIANTS))

    def test_names_are_told_apart(self) -> None:
        names = [each.name for each in PROMISES]
        self.assertEqual(len(names), len(set(names)))


if __name__ == "__main__":
    unittest.main()
