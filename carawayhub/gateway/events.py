"""Whole events out of the pieces of a stream."""

from dataclasses import dataclass

BLANK_LINES = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


@dataclass(slots=True)
class EventBuffer:
    """Cuts a stream at the ends of its events.

    An endpoint that crashes may break off within an event. What was forwarded of it could not be
    taken back, and the endpoint at which the stream goes on sends that event from its start. So an
    event is kept back until it is whole. Events up to the last one forwarded are dropped, should an
    endpoint begin earlier than it was asked to.

    Attributes:
        last_id: Id of the last whole event, empty before the first.
    """

    last_id: bytes = b""
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes, in one piece."""
        pending = self._rest + data
        events: list[bytes] = []
        start = 0
        while (end := _event_end(pending, start)) > 0:
            event = pending[start:end]
            start = end
            if self._take(event):
                events.append(event)
        self._rest = pending[start:]
        return b"".join(events)

    def restart(self) -> None:
        """Forget the unfinished event: the stream goes on over a new connection."""
        self._rest = b""

    @property
    def unfinished(self) -> bool:
        """Whether a part of an event is kept back."""
        return bool(self._rest.strip())

    def _take(self, event: bytes) -> bool:
        """Note the id of an event; return False if it was forwarded before."""
        found = _event_id(event)
        if not found:
            return True
        if _is_at_most(found, self.last_id):
            return False
        self.last_id = found
        return True


def _event_end(data: bytes, start: int) -> int:
    """Return where the event that begins at ``start`` ends, 0 if it is not whole."""
    ends = [at + len(line) for line in BLANK_LINES if (at := data.find(line, start)) >= 0]
    return min(ends, default=0)


def _event_id(event: bytes) -> bytes:
    for line in event.splitlines():
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""


def _is_at_most(event_id: bytes, last: bytes) -> bool:
    if not (event_id.isdigit() and last.isdigit()):
        return False
    return int(event_id) <= int(last)
