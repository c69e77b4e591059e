"""Splitting of an event stream into complete events."""

from dataclasses import dataclass

BLANK_LINES = (b"\n\n", b"\r\n\r\n")
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
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that ``data`` completes, concatenated."""
        pending = self._partial + data
        events: list[bytes] = []
        start = 0
        while (end := _event_end(pending, start)) > 0:
            event = pending[start:end]
            start = end
            self.complete += 1
            if self._accept(event):
                events.append(event)
        self._partial = pending[start:]
        return b"".join(events)

    def restart(self) -> None:
        """Discard the incomplete event before the stream is resumed on a new connection."""
        self._partial = b""
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


def _event_end(data: bytes, start: int) -> int:
    """Return the end of the event that begins at ``start``, 0 if it is incomplete."""
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
