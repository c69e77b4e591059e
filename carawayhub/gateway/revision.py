"""Positions in the history of the published state, and which of its histories is believed."""

from loguru import logger
from msgspec import Struct

MAX_ERA_ADVANCE = 64
"""Most eras by which one statement may be ahead. The store counts each of its returns from a copy
once, and an entry misses few of them."""

CONFIRMING_ANSWERS = 3
"""Answers of the store in a row, all with one era, after which an unlikely era is believed."""

MAX_LOGGED_ERAS = 64
"""Most rejected eras that are remembered as logged."""


class Revision(Struct, frozen=True, order=True, array_like=True):
    """Position in the history of the published state.

    Numbers are given out again when the store returns from an older copy of itself, so they are
    only comparable within an era. A later era goes before a higher number.

    Attributes:
        era: How often the store has returned from a copy.
        number: Number of changes up to this position in that era.
    """

    era: int = 0
    number: int = 0


class KnownContent(Struct, frozen=True, array_like=True):
    """What an entry knows of the published state.

    Attributes:
        era: Era of the revision.
        number: Number of the revision up to which everything is known.
        version: Version of the known configuration, -1 if there is none. It may be later than the
            one that the store lists after a return from a copy.
    """

    era: int = 0
    number: int = 0
    version: int = -1

    @property
    def revision(self) -> Revision:
        """Revision up to which everything is known."""
        return Revision(self.era, self.number)


class Eras:
    """Decides which era of the store this entry believes in.

    An era may be stated wrongly. A later one is believed at once, unless it is implausibly late; a
    former or implausible one only if the store repeats it. What the store has refuted in this way
    is not believed from peers again. If the store states none, its returns are inferred from
    revisions that go back, and entries agree on the highest count.

    Attributes:
        known: The era that is believed.
        changes: How often another one was learned.
        rejections: Statements that were not believed.
        is_stated: Whether the store states its era.
    """

    __slots__ = (
        "_candidate",
        "_is_known",
        "_logged",
        "_refuted_from",
        "_repeats",
        "changes",
        "is_stated",
        "known",
        "rejections",
    )

    def __init__(self) -> None:
        self.known = 0
        self.changes = 0
        self.rejections = 0
        self._is_known = False
        self.is_stated = False
        self._candidate: int | None = None
        self._repeats = 0
        self._refuted_from: int | None = None
        self._logged: set[tuple[str, int | None]] = set()

    def attribute(self, stated: int | None) -> int | None:
        """Return the era of an answer of the store, None if the answer may not be used.

        Args:
            stated: Era that the answer states, None if it states none that can be read.
        """
        if not self._is_expected(stated):
            self._repeats = self._repeats + 1 if stated == self._candidate else 1
            self._candidate = stated
            if self._repeats < CONFIRMING_ANSWERS:
                self._reject(stated, "store")
                return None
            if stated is not None and stated < self.known:
                self._refuted_from = self.known
        self._repeats = 0
        self.is_stated = stated is not None
        self._learn(self.known if stated is None else stated, "store")
        return self.known

    def infer_return(self) -> int:
        """Return the era that begins as the store's revisions went back without a statement."""
        self._learn(self.known + 1, "revisions that went back")
        return self.known

    def accept_from_peer(self, era: int, peer: str) -> bool:
        """Return whether what a peer says of the published state in ``era`` may be used."""
        if self._is_known and 0 <= era < self.known:
            # News of a peer that has not learned of the store's return yet.
            return False
        is_refuted = self._refuted_from is not None and era >= self._refuted_from
        if is_refuted or not self._is_plausible(era):
            self._reject(era, peer)
            return False
        self._learn(era, peer)
        return True

    def _is_expected(self, stated: int | None) -> bool:
        if stated is None:
            return not self.is_stated
        return self._is_plausible(stated)

    def _is_plausible(self, era: int) -> bool:
        if not self._is_known:
            return era >= 0
        return self.known <= era <= self.known + MAX_ERA_ADVANCE

    def _learn(self, era: int, source: str) -> None:
        if self._refuted_from is not None and era >= self._refuted_from:
            self._refuted_from = None
        if self._is_known and era == self.known:
            return
        if self._is_known:
            self.changes += 1
            logger.bind(before=self.known, now=era, source=source).warning(
                "learned that the store is in another era"
            )
        self._is_known = True
        self.known = era

    def _reject(self, era: int | None, source: str) -> None:
        self.rejections += 1
        if (source, era) in self._logged or len(self._logged) >= MAX_LOGGED_ERAS:
            return
        self._logged.add((source, era))
        logger.bind(era=era, known=self.known, source=source).warning(
            "a stated era of the store is not believed"
        )
