"""Local copy of the store's content, which entries forward to each other undecoded."""

from collections.abc import Iterable

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import ForwardedContent
from carawayhub.peers.questions import MAX_DATAGRAM
from carawayhub.platform.answers import UNREADABLE
from carawayhub.platform.changes import Event, decode_published

ANSWER_OVERHEAD_BYTES = 256
"""Upper bound for the bytes of an answer besides its content."""

MAX_FORWARDED_BYTES = MAX_DATAGRAM - ANSWER_OVERHEAD_BYTES
"""Largest content that is forwarded: what an unpacked datagram can hold. The receiver's size bound
would cut off anything larger, so a peer that needs more than this reads the store instead."""

MAX_REMOVED_KEYS = 512
"""Removed keys that are remembered: those of some minutes in which every endpoint is replaced. A
peer that is further behind receives the complete content."""


class _Content(msgspec.Struct, array_like=True):
    """Store content that one entry forwards to another.

    Attributes:
        revision: The receiver is up to date to this revision after applying the content.
        whole: Whether this is the complete content instead of the changes since a revision.
        events: The last write or removal of each key.
    """

    revision: int
    whole: bool
    events: list[Event]


class StoreMirror:
    """Keeps the last event of each key; see ``gateway.ports.Mirror``.

    The last encoded content is cached, because after a change all other entries ask for the same.

    Attributes:
        revision: Revision up to which all changes are known.
    """

    __slots__ = ("_history_start", "_removed", "_encoded", "_written", "revision")

    def __init__(self) -> None:
        self._written: dict[str, Event] = {}
        self._removed: dict[str, Event] = {}
        self._encoded: tuple[tuple[int, int], bytes] | None = None
        self._history_start = 0
        self.revision = 0

    def replace(self, revision: int, events: Iterable[Event]) -> None:
        """Replace the content by a listing of all keys, unless a newer revision is known."""
        if revision < self.revision:
            return
        self._written = {each.key: each for each in events}
        self._removed = {}
        self._history_start = self.revision = revision

    def extend(self, revision: int, events: Iterable[Event]) -> None:
        """Apply the events up to a newer revision."""
        for event in events:
            if event.rev >= self._last_revision(event.key):
                self._store_event(event)
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = min(self._removed.values(), key=lambda each: each.rev)
            del self._removed[oldest.key]
            self._history_start = max(self._history_start, oldest.rev)
        self.revision = max(self.revision, revision)

    def encode_after(self, revision: int) -> bytes | None:
        """Return the encoded changes after a revision; see ``gateway.ports.Mirror``."""
        if self.revision <= revision:
            return None
        revisions = (revision, self.revision)
        if self._encoded is None or self._encoded[0] != revisions:
            self._encoded = revisions, self._encoded_after(revision)
        data = self._encoded[1]
        return data if len(data) <= MAX_FORWARDED_BYTES else None

    def take(self, data: bytes) -> ForwardedContent | None:
        """Apply content that a peer forwarded; see ``gateway.ports.Mirror``."""
        try:
            content = msgspec.msgpack.decode(data, type=_Content)
        except UNREADABLE as exc:
            raise PlatformError(Code.PLATFORM_MALFORMED, str(exc)) from exc
        if content.revision <= self.revision:
            return None
        if content.whole:
            self.replace(content.revision, content.events)
        else:
            self.extend(content.revision, content.events)
        return ForwardedContent(decode_published(content.revision, content.events), content.whole)

    def _encoded_after(self, revision: int) -> bytes:
        whole = revision < self._history_start
        known = list(self._written.values())
        if not whole:
            known = [*known, *self._removed.values()]
        events = [each for each in known if whole or each.rev > revision]
        events.sort(key=lambda each: each.rev)
        return msgspec.msgpack.encode(_Content(self.revision, whole, events))

    def _last_revision(self, key: str) -> int:
        last = self._written.get(key) or self._removed.get(key)
        return last.rev if last is not None else 0

    def _store_event(self, event: Event) -> None:
        if event.deleted:
            self._written.pop(event.key, None)
            self._removed[event.key] = event
        else:
            self._removed.pop(event.key, None)
            self._written[event.key] = event
