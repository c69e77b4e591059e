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
        version: Version of the configuration, -1 if there is none that can be read.
    """

    __slots__ = (
        "_encoded",
        "_eras",
        "_history_start",
        "_removed",
        "_written",
        "revision",
        "version",
    )

    def __init__(self, eras: Eras) -> None:
        self._eras = eras
        self._written: dict[str, Event] = {}
        self._removed: dict[str, Event] = {}
        self._encoded: tuple[tuple[Revision, int, Revision, int], bytes] | None = None
        self._history_start = 0
        self.revision = Revision()
        self.version = -1

    def replace(self, revision: Revision, events: Iterable[Event]) -> None:
        """Replace the content by a listing of all keys, unless it is older than this one.

        A listing of another era is not older: it is only read once that era is believed.
        """
        if revision.era == self.revision.era and revision < self.revision:
            return
        former = self._written.get(CONFIG_KEY)
        self._written = {each.key: each for each in events}
        self._store_configuration(former, self._written.get(CONFIG_KEY), revision.number)
        self._removed = {}
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

    def encode_after(self, revision: Revision, version: int = -1) -> bytes | None:
        """Return the encoded changes after a revision; see ``gateway.ports.Mirror``."""
        if self.revision <= revision and self.version <= version:
            return None
        key = (revision, version, self.revision, self.version)
        if self._encoded is None or self._encoded[0] != key:
            self._encoded = key, self._encoded_after(revision, version)
        data = self._encoded[1]
        return data if len(data) <= MAX_FORWARDED_BYTES else None

    def take(self, data: bytes) -> ForwardedContent | None:
        """Apply content that a peer forwarded; see ``gateway.ports.Mirror``."""
        try:
            content = msgspec.msgpack.decode(data, type=_Content)
        except UNREADABLE as exc:
            raise PlatformError(Code.PLATFORM_MALFORMED, str(exc)) from exc
        revision = content.position
        if revision.era != self._eras.known or revision < self.revision:
            return None
        if revision == self.revision and not self._has_later_configuration(content.events):
            return None
        if content.whole:
            self.replace(revision, content.events)
        elif revision.era == self.revision.era:
            self.extend(revision, content.events)
        else:
            return None
        return ForwardedContent(decode_published(revision, content.events), content.whole)

    def _has_later_configuration(self, events: Iterable[Event]) -> bool:
        versions = [
            configuration_version(each.content) for each in events if each.key == CONFIG_KEY
        ]
        return any(each is not None and each > self.version for each in versions)

    def _encoded_after(self, revision: Revision, version: int) -> bytes:
        is_same_era = revision.era == self.revision.era
        whole = not is_same_era or revision.number < self._history_start
        known = list(self._written.values())
        if not whole:
            known = [*known, *self._removed.values()]
        events = [each for each in known if whole or each.rev > revision.number]
        if 0 <= self.version <= version:
            # The receiver keeps its own; it fills most of a datagram.
            events = [each for each in events if each.key != CONFIG_KEY]
        elif self.version > version and not whole:
            events = [each for each in events if each.key != CONFIG_KEY]
            events.append(self._written[CONFIG_KEY])
        events.sort(key=lambda each: each.rev)
        content = _Content(self.revision.number, whole, events, self.revision.era)
        return msgspec.msgpack.encode(content)

    def _last_revision(self, key: str) -> int:
        last = self._written.get(key) or self._removed.get(key)
        return last.rev if last is not None else 0

    def _store_event(self, event: Event) -> None:
        if event.deleted and event.key == CONFIG_KEY:
            # The last configuration stays in force.
            return
        if event.deleted:
            self._written.pop(event.key, None)
            self._removed[event.key] = event
            return
        self._removed.pop(event.key, None)
        if event.key == CONFIG_KEY:
            self._store_configuration(self._written.get(CONFIG_KEY), event, event.rev)
        else:
            self._written[event.key] = event

    def _store_configuration(self, former: Event | None, now: Event | None, number: int) -> None:
        """Store a configuration, or keep the former one if its version is later.

        One that cannot be read is forwarded as it is.

        Args:
            former: The known one, None if there is none.
            now: The one that the store has, None if it lacks one.
            number: Number of the revision at which the store has it.
        """
        if now is not None:
            version = configuration_version(now.content)
            if former is None or version is None or version >= self.version:
                self._written[CONFIG_KEY] = now
                self.version = -1 if version is None else version
                return
        if former is not None:
            self._written[CONFIG_KEY] = Event(
                CONFIG_KEY, number, former.created_rev, content=former.content
            )
