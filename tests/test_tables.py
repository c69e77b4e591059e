"""Tests of plain-text tables."""

import io
import unittest

from carawayhub.output.tables import write_table


class TableTest(unittest.TestCase):
    """Column widths, alignment and cell formatting."""

    def table_lines(self, headers: tuple[str, ...], *rows: tuple[object, ...]) -> list[str]:
        stream = io.StringIO()
        write_table(stream, headers, rows)
        return stream.getvalue().splitlines()

    def test_numbers_stand_right_and_text_left(self) -> None:
        lines = self.table_lines(("name", "load"), ("brest-1", 3), ("x", 12.5))
        self.assertEqual(lines, ["name     load", "brest-1     3", "x        12.5"])

    def test_a_column_with_text_or_truth_values_stands_left(self) -> None:
        lines = self.table_lines(("a", "ready"), (1, True), ("x", False))
        self.assertEqual(lines, ["a  ready", "1  yes", "x  no"])

    def test_missing_cells_and_line_breaks(self) -> None:
        self.assertEqual(self.table_lines(("n", "why"), (None, "a\nb")), ["n  why", "-  a b"])

    def test_a_table_without_rows_has_its_headers(self) -> None:
        self.assertEqual(self.table_lines(("a", "b")), ["a  b"])


if __name__ == "__main__":
    unittest.main()
