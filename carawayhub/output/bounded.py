"""A non-blocking log stream with a bounded buffer."""

import os
import time
from collections.abc import Callable

import msgspec

MAX_LINES_PER_SECOND = 400.0
"""Rate limit: ten times the usual rate of an entry and, at about 250 bytes a line, less than a
hundredth of the bandwidth of its link."""

MAX_BUFFERED_BYTES = 262_144
"""Buffer limit while the log reader does not read; holds a few seconds of lines."""


class BoundedLines:
    """Writes complete lines to a file descriptor without blocking.

    If the log reader stops reading, a pipe fills up after about 64 KB and a blocking write would
    stall the process and all of its requests. Output that cannot be written is buffered up to a
    limit. Lines beyond that limit or the rate limit are dropped, counted and reported in a
    separate log line.

    Args:
        descriptor: File descriptor to write to; it is set to non-blocking mode.
        now: Source of time in seconds.

    Attributes:
        dropped: Lines dropped since the process started.
    """

    __slots__ = (
        "_allowance",
        "_buffer",
        "_descriptor",
        "_now",
        "_refilled_at",
        "_unreported",
        "dropped",
    )

    def __init__(self, descriptor: int, now: Callable[[], float] = time.monotonic) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._now = now
        self._buffer = b""
        self._allowance = MAX_LINES_PER_SECOND
        self._refilled_at = now()
        self._unreported = 0
        self.dropped = 0

    def write(self, line: str) -> None:
        """Write a line that ends with a newline, or drop it if a limit is exceeded."""
        self._refill()
        if self._allowance < 1.0 or len(self._buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        self._allowance -= 1.0
        self._buffer += self._dropped_notice() + line.encode()
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        try:
            while self._buffer:
                written = os.write(self._descriptor, self._buffer)
                self._buffer = self._buffer[written:]
        except BlockingIOError:
            return
        except OSError:
            # The reader is gone; the lost lines are counted and reported with the next line.
            self._unreported += self._buffer.count(b"\n")
            self.dropped += self._buffer.count(b"\n")
            self._buffer = b""

    def _dropped_notice(self) -> bytes:
        """Return a log line that reports newly dropped lines, or nothing if there are none."""
        if not self._unreported:
            return b""
        count, self._unreported = self._unreported, 0
        line = {"level": "WARNING", "event": "log lines dropped", "count": count}
        return msgspec.json.encode(line | {"total": self.dropped}) + b"\n"

    def _refill(self) -> None:
        now = self._now()
        gained = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._allowance = min(MAX_LINES_PER_SECOND, self._allowance + gained)
        self._refilled_at = now
