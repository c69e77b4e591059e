"""Local copy of the store's content, which entries forward to each other undecoded."""

from collections.abc import Iterable

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import ForwardedContent
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.peers.questions import MAX_DATAGRAM
from carawayhub.platform.answers import UNREADABLE
from carawayhub.platform.changes import Event, decode_published
from carawayhub.platform.published import CONFIG_KEY, configuration_version

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
        revision: Number of the revision to which the receiver is up to date after applying it.
        whole: Whether this is the complete content instead of the changes since a revision.
        events: The last write or removal of each key.
        era: Era of the revisions.
    """

    revision: int
    whole: bool
    events: list[Event]
    era: int = 0

    @property
    def position(self) -> Revision:
        """Revision to which the receiver is up to date after applying the content."""
        return Revision(self.era, self.revision)


class StoreMirror:
    """Keeps the last event of each key; see ``gateway.ports.Mirror``.

    The last encoded content is cached, because after a change all other entries ask for the same.
    A configuration is only replaced by one of a later version: if the store returns from a copy
    that is older than the configuration in force, entries that start get the latter from peers.

    Args:
        eras: Which era of the store is believed.

    Attributes:
        revision: Revision up to which all changes are known.
    """

    __slots__ = ("_eras", "_history_start", "_removed", "_encoded", "_written", "revision")

    def __init__(self, eras: Eras) -> None:
        self._eras = eras
        self._written: dict[str, Event] = {}
        self._removed: dict[str, Event] = {}
        self._encoded: tuple[tuple[Revision, Revision], bytes] | None = None
        self._history_start = 0
        self.revision = Revision()

    def replace(self, revision: Revision, events: Iterable[Event]) -> None:
        """Replace the content by a listing of all keys, unless it is older than this one.

        A listing of another era is not older: it is only read once that era is believed.
        """
        if revision.era == self.revision.era and revision < self.revision:
            return
        former = self._written.get(CONFIG_KEY)
        self._written = {each.key: each for each in events}
        if former is not None:
            listed = self._written.get(CONFIG_KEY)
            self._written[CONFIG_KEY] = _later_configuration(former, listed, revision.number)
        self._removed = {}
        self._encoded = None
        self._history_start = revision.number
        self.revision = revision

    def extend(self, revision: Revision, events: Iterable[Event]) -> None:
        """Apply the events up to a newer revision of the same era."""
        if revision.era != self.revision.era:
            return
        for event in events:
            if event.rev >= self._last_revision(event.key):
                self._store_event(event)
        while len(self._removed) > MAX_REMOVED_KEYS:
            oldest = min(self._removed.values(), key=lambda each: each.rev)
            del self._removed[oldest.key]
            self._history_start = max(self._history_start, oldest.rev)
        self.revision = max(self.revision, revision)

    def encode_after(self, revision: Revision) -> bytes | None:
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
        revision = content.position
        if revision.era != self._eras.known or revision <= self.revision:
            return None
        if content.whole:
            self.replace(revision, content.events)
        elif revision.era == self.revision.era:
            self.extend(revision, content.events)
        else:
            return None
        return ForwardedContent(decode_published(revision, content.events), content.whole)

    def _encoded_after(self, revision: Revision) -> bytes:
        is_same_era = revision.era == self.revision.era
        whole = not is_same_era or revision.number < self._history_start
        known = list(self._written.values())
        if not whole:
            known = [*known, *self._removed.values()]
        events = [each for each in known if whole or each.rev > revision.number]
        events.sort(key=lambda each: each.rev)
        content = _Content(self.revision.number, whole, events, self.revision.era)
        return msgspec.msgpack.encode(content)

    def _last_revision(self, key: str) -> int:
        last = self._written.get(key) or self._removed.get(key)
        return last.rev if last is not None else 0

    def _store_event(self, event: Event) -> None:
        if event.deleted:
            self._written.pop(event.key, None)
            self._removed[event.key] = event
            return
        self._removed.pop(event.key, None)
        former = self._written.get(event.key)
        if event.key == CONFIG_KEY and former is not None:
            event = _later_configuration(former, event, event.rev)
        self._written[event.key] = event


def _later_configuration(former: Event, now: Event | None, number: int) -> Event:
    """Return the configuration of the later version, as if it had been written at a revision.

    One that cannot be read is forwarded as it is.
    """
    kept = Event(CONFIG_KEY, number, former.created_rev, content=former.content)
    if now is None:
        return kept
    before, after = configuration_version(former.content), configuration_version(now.content)
    return kept if before is not None and after is not None and after < before else now
