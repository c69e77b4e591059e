"""Tests of the log stream when its reader stalls or the rate limit is exceeded."""

import json
import os
import unittest

from carawayhub.output.bounded import MAX_BUFFERED_BYTES, MAX_LINES_PER_SECOND, BoundedLines


class Bounded(unittest.TestCase):
    """Writes to a pipe with and without an active reader."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.now = 100.0
        self.lines = BoundedLines(self.writer, lambda: self.now)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def read(self) -> list[str]:
        return self.read_available().decode().splitlines()

    def read_available(self) -> bytes:
        data = b""
        try:
            while part := os.read(self.reader, 65_536):
                data += part
        except BlockingIOError:
            return data
        return data

    def test_reader_that_stops_reading_stops_nothing(self) -> None:
        """A stalled log collector does not block the process.

        When the pipe is full, a blocking write would stall the entry and all of its requests.
        Lines are buffered up to a limit and then dropped, and the count is reported once the
        reader reads again.
        """
        line = "x" * 999 + "\n"
        for _ in range(1000):
            self.now += 0.01
            self.lines.write(line)
        self.assertGreater(self.lines.dropped, 0)
        self.assertLess(1000 - self.lines.dropped, (MAX_BUFFERED_BYTES + 70_000) / 1000)
        data = self.read_available()
        for _ in range(10):
            self.lines.flush()
            data += self.read_available()
        self.lines.write(line)
        notice = json.loads(self.read()[0])
        self.assertEqual(notice["count"], self.lines.dropped)
        self.assertTrue(all(each == "x" * 999 for each in data.decode().splitlines()))

    def test_more_lines_than_the_bound_are_dropped_and_counted(self) -> None:
        for _ in range(3000):
            self.lines.write("a line\n")
        self.assertEqual(self.lines.dropped, 3000 - int(MAX_LINES_PER_SECOND))
        self.now += 1.0
        self.read()
        self.lines.write("a line\n")
        self.assertEqual(json.loads(self.read()[0])["count"], self.lines.dropped)


if __name__ == "__main__":
    unittest.main()
