"""What the store holds as last read here, as it was written, to be handed on to other entries."""

from collections.abc import Iterable

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import ForwardedContent
from carawayhub.peers.questions import MAX_DATAGRAM
from carawayhub.platform.answers import UNREADABLE
from carawayhub.platform.changes import Event, published

ANSWER_HEAD = 256
"""Bytes that an answer takes beside its content, with room to spare."""

MOST_HANDED = MAX_DATAGRAM - ANSWER_HEAD
"""Bytes of content that are handed on at once: what a datagram holds when it is unpacked. More
would be sent, cut off by the receiver's bound and asked for in vain; such an entry reads the store.
"""

REMOVALS_KEPT = 512
"""Removed keys that are remembered: those of some minutes in which every endpoint is replaced. Who
is further behind is told everything."""


class _Content(msgspec.Struct, array_like=True):
    """What one entry hands on to another.

    Attributes:
        revision: Everything up to it is known with this.
        whole: Whether this is all that there is, and not what was written since.
        events: What was written and removed, the last of each key.
    """

    revision: int
    whole: bool
    events: list[Event]


class StoreMirror:
    """Keeps the last event of each key; see ``gateway.ports.Mirror``.

    What was told last is kept encoded: after a change all other entries ask for the same.

    Attributes:
        revision: Everything up to it is known.
    """

    __slots__ = ("_known_from", "_removed", "_told", "_written", "revision")

    def __init__(self) -> None:
        self._written: dict[str, Event] = {}
        self._removed: dict[str, Event] = {}
        self._told: tuple[tuple[int, int], bytes] | None = None
        self._known_from = 0
        self.revision = 0

    def replace(self, revision: int, events: Iterable[Event]) -> None:
        """Take in a listing of all keys, unless more is known since it was asked for."""
        if revision < self.revision:
            return
        self._written = {each.key: each for each in events}
        self._removed = {}
        self._known_from = self.revision = revision

    def extend(self, revision: int, events: Iterable[Event]) -> None:
        """Take in what followed."""
        for event in events:
            if event.rev >= self._last_revision(event.key):
                self._keep(event)
        while len(self._removed) > REMOVALS_KEPT:
            oldest = min(self._removed.values(), key=lambda each: each.rev)
            del self._removed[oldest.key]
            self._known_from = max(self._known_from, oldest.rev)
        self.revision = max(self.revision, revision)

    def encode_after(self, revision: int) -> bytes | None:
        """Return what is known beyond a revision; see ``gateway.ports.Mirror``."""
        if self.revision <= revision:
            return None
        asked = (revision, self.revision)
        if self._told is None or self._told[0] != asked:
            self._told = asked, self._encoded_after(revision)
        data = self._told[1]
        return data if len(data) <= MOST_HANDED else None

    def take(self, data: bytes) -> ForwardedContent | None:
        """Take in what a peer handed on; see ``gateway.ports.Mirror``."""
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
        return ForwardedContent(published(content.revision, content.events), content.whole)

    def _encoded_after(self, revision: int) -> bytes:
        whole = revision < self._known_from
        known = list(self._written.values())
        if not whole:
            known = [*known, *self._removed.values()]
        events = [each for each in known if whole or each.rev > revision]
        events.sort(key=lambda each: each.rev)
        return msgspec.msgpack.encode(_Content(self.revision, whole, events))

    def _last_revision(self, key: str) -> int:
        last = self._written.get(key) or self._removed.get(key)
        return last.rev if last is not None else 0

    def _keep(self, event: Event) -> None:
        if event.deleted:
            self._written.pop(event.key, None)
            self._removed[event.key] = event
        else:
            self._removed.pop(event.key, None)
            self._written[event.key] = event
