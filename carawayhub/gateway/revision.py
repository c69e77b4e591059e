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
        era: How often the store has returned from a copy; 0 if it does not say.
        number: Number of changes up to this position in that era.
    """

    era: int = 0
    number: int = 0


class Eras:
    """Decides which era of the store this entry believes in.

    An era may be stated wrongly. A later one is believed at once, unless it is implausibly late; a
    former or implausible one only if the store repeats it. What the store has refuted in this way
    is not believed from peers again.

    Attributes:
        known: The era that is believed.
        changes: How often another one was learned.
        rejections: Statements that were not believed.
    """

    __slots__ = (
        "_candidate",
        "_is_known",
        "_logged",
        "_refuted_from",
        "_repeats",
        "changes",
        "known",
        "rejections",
    )

    def __init__(self) -> None:
        self.known = 0
        self.changes = 0
        self.rejections = 0
        self._is_known = False
        self._candidate = 0
        self._repeats = 0
        self._refuted_from: int | None = None
        self._logged: set[tuple[str, int]] = set()

    def accept_from_store(self, era: int) -> bool:
        """Return whether an answer of the store that states ``era`` may be used."""
        if self._is_plausible(era):
            self._repeats = 0
            self._learn(era, "store")
            return True
        self._repeats = self._repeats + 1 if era == self._candidate else 1
        self._candidate = era
        if self._repeats < CONFIRMING_ANSWERS:
            self._reject(era, "store")
            return False
        if era < self.known:
            self._refuted_from = self.known
        self._repeats = 0
        self._learn(era, "store")
        return True

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

    def _reject(self, era: int, source: str) -> None:
        self.rejections += 1
        if (source, era) in self._logged or len(self._logged) >= MAX_LOGGED_ERAS:
            return
        self._logged.add((source, era))
        logger.bind(era=era, known=self.known, source=source).warning(
            "a stated era of the store is not believed"
        )
