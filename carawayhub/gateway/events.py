"""Splitting of an event stream into complete events."""

from dataclasses import dataclass, field

from carawayhub.codes import Code
from carawayhub.errors import RequestError

MAX_EVENT_BYTES = 1_048_576
"""Largest event that is buffered; it holds the tokens of one pass, a few hundred bytes."""

BLANK_LINES = (b"\n\n", b"\r\n\r\n")
MAX_BLANK_LINE_BYTES = max(map(len, BLANK_LINES))
ID_FIELD = b"id:"


@dataclass(slots=True)
class EventBuffer:
    """Buffers a stream so that only complete events are forwarded.

    A crashing endpoint may cut off the stream in the middle of an event. The forwarded part can't
    be taken back, and the endpoint that resumes the stream sends the event again from its start. An
    event is therefore buffered until it is complete. If an endpoint resumes earlier than requested,
    the events up to the last forwarded one are dropped.

    Attributes:
        last_id: ID of the last complete event, empty before the first.
        complete: Number of complete events since the stream was last started.
    """

    last_id: bytes = b""
    complete: int = 0
    _partial: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, concatenated.

        Raises:
            RequestError: ANSWER_TOO_LARGE, an event does not end.
        """
        pending = self._partial
        # A blank line may have begun in the data before.
        search_from = max(0, len(pending) - MAX_BLANK_LINE_BYTES + 1)
        pending += data
        events: list[bytes] = []
        start = 0
        while (end := _event_end(pending, max(start, search_from))) > 0:
            event = bytes(pending[start:end])
            start = end
            self.complete += 1
            if self._accept(event):
                events.append(event)
        del pending[:start]
        if len(pending) > MAX_EVENT_BYTES:
            raise RequestError(Code.ANSWER_TOO_LARGE, f"event of over {MAX_EVENT_BYTES} bytes")
        return b"".join(events)

    def restart(self) -> None:
        """Discard the incomplete event before the stream is resumed on a new connection."""
        self._partial = bytearray()
        self.complete = 0

    @property
    def unfinished(self) -> bool:
        """Whether a part of an event is buffered."""
        return bool(self._partial.strip())

    def _accept(self, event: bytes) -> bool:
        """Record the ID of an event; return False if it was forwarded before."""
        found = _event_id(event)
        if not found:
            return True
        if _is_at_most(found, self.last_id):
            return False
        self.last_id = found
        return True


def _event_end(data: bytearray, start: int) -> int:
    """Return the end of the first blank line from ``start`` on, 0 if there is none."""
    ends = [at + len(line) for line in BLANK_LINES if (at := data.find(line, start)) >= 0]
    return min(ends, default=0)


def _event_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def _is_at_most(event_id: bytes, last: bytes) -> bool:
    """Return whether an id is a number up to another one; both may have any number of digits."""
    if not (event_id.isdigit() and last.isdigit()):
        return False
    first, second = event_id.lstrip(b"0"), last.lstrip(b"0")
    return (len(first), first) <= (len(second), second)
