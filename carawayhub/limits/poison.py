"""Detects poison requests, which end the endpoints that run them.

A poison request crashes each endpoint that starts to run it. Its caller takes that for a failure
of the endpoint and retries through any entry under a new request id, so one endpoint after another
ends. The cause may also be a part of the prompt that requests share which differ otherwise. Each
entry therefore records for each trait of a request, its whole content and the parts of its prompt,
the endpoints that ended while running it (its ends) and announces the records to its peers; after
three ends, requests with that trait are rejected.

Other requests that run at the same endpoints end with them. Four rules distinguish them. A complete
answer clears all ends of the request's traits; for its parts, so does an answer that went on at an
endpoint which survived. An end counts against a request only if no other request at that end has a
trait with as many ends; see ``blame``. More ends are needed for a part that was answered completely
before or that most requests have, while one that is both is never rejected, and if endpoints end so
often that requests meet three ends by chance.

Records of several entries are merged by union, so the order, number of deliveries and path do not
matter. Nothing here outlives the process.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.limits.blame import Suspects, is_part
from carawayhub.limits.endrate import (
    MAX_POISON_THRESHOLD,
    POISON_THRESHOLD,
    RATE_HALF_LIFE_SECONDS,
    EndRate,
    ends_needed,
)
from carawayhub.limits.evidence import MAX_ENDS, End, EndsRow, Evidence, is_valid, read_row
from carawayhub.limits.fingerprint import RequestTraits
from carawayhub.limits.parthistory import PartHistory

PRIOR_ANSWERED_REQUESTS = 4.0
"""Requests answered after a first end that are added to those in the records, which may be few."""

MAX_RECORDS = 512
"""Maximum number of recorded traits, 1 MB: enough for twenty ends with a dozen requests each.
Beyond it, the traits with the fewest ends are evicted first, the oldest of them before others."""

RECENT_RECORD_SECONDS = 2.0
"""Age up to which a peer's record says something about the present state of endpoints: later they
are available again or known to be gone."""

SUSPECT_SECONDS = 600.0
"""Time since its latest end for which a request below the threshold is remembered. Automatic
retries follow within seconds, manual ones within minutes."""

POISON_SECONDS = 3600.0
"""Time since it was last sent after which a rejected request is forgotten. By then its cause may
have been fixed; if it was not, three more ends identify it again."""

PART_POISON_SECONDS = 600.0
"""Time since its latest end after which a rejected part is forgotten, also if it is still sent:
other callers may depend on a part, and a wrong rejection must not last while they ask."""

RENEWAL_FRACTION = 0.25
"""Fraction of ``POISON_SECONDS`` after which a repeated request renews its record, which is then
announced to peers: this limits the number of messages, however often the request is repeated."""


@dataclass(frozen=True, slots=True)
class Changes:
    """Records that changed after a given change.

    Attributes:
        rows: The records.
        number: Number of the last change included.
    """

    rows: list[EndsRow]
    number: int


@dataclass(slots=True)
class _Record:
    evidence: Evidence
    changed_at: float
    number: int

    @property
    def ends(self) -> dict[int, End]:
        return self.evidence.ends


@dataclass(frozen=True, slots=True)
class PoisonCounts:
    """Numbers of decisions for the metrics.

    Attributes:
        rejected: Requests rejected for their whole content.
        rejected_parts: Requests rejected for a part of their prompt.
        cleared: Suspected traits that an answer cleared.
        suspects: Traits with several ends at present.
    """

    rejected: int = 0
    rejected_parts: int = 0
    cleared: int = 0
    suspects: int = 0


class PoisonRecords:
    """The requests during which endpoints ended, as far as this process knows.

    Args:
        clock: Source of time.

    Attributes:
        number: Number of the latest change; peers receive the changes after the last one they have.
        on_update: Called when requests that were allowed may now be rejected.
        on_ends: Called with the keys of endpoints that peers have just reported as ended.
    """

    __slots__ = (
        "_by_trait",
        "_clock",
        "_counts",
        "_history",
        "_needed",
        "_poison",
        "_rate",
        "_suspects",
        "number",
        "on_ends",
        "on_update",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_trait: dict[bytes, _Record] = {}
        self._suspects = Suspects({})
        self._poison: frozenset[bytes] = frozenset()
        self._needed = POISON_THRESHOLD
        self._rate = EndRate(clock)
        self._history = PartHistory(clock)
        self._counts: Counter[str] = Counter()
        self.number = 0
        self.on_update: Callable[[], None] = _ignore
        self.on_ends: Callable[[frozenset[int]], None] = _ignore_ends

    def __len__(self) -> int:
        return len(self._by_trait)

    @property
    def poison(self) -> frozenset[bytes]:
        """Traits for each of which alone a request is rejected."""
        return frozenset(
            each for each in self._suspects if self._is_cause(each, RequestTraits(each))
        )

    @property
    def counts(self) -> PoisonCounts:
        """Numbers of decisions so far."""
        return PoisonCounts(
            rejected=self._counts["content"],
            rejected_parts=self._counts["part"],
            cleared=self._counts["cleared"],
            suspects=len(self._suspects),
        )

    def is_poison(self, traits: RequestTraits) -> bool:
        """Return whether a request must be rejected."""
        return self.cause(traits) is not None

    def cause(self, traits: RequestTraits) -> bytes | None:
        """Return the trait for which a request must be rejected, None if it is allowed.

        Of several, it is the last one: the first parts of prompts are shared the most.
        """
        for each in reversed(traits.all):
            if each in self._suspects and self._is_cause(each, traits):
                self._note_cause(each)
                return each
        return None

    def ends(self, traits: RequestTraits) -> int:
        """Return the most endpoints that ended under one trait of a request."""
        return max(len(self._ends(each)) for each in traits.all)

    def may_become_poison(self, traits: RequestTraits) -> bool:
        """Return whether an endpoint may end under a request for what it holds.

        That is the case if one more end would suffice to reject it, or if an end is known under a
        part of its prompt that was never answered.
        """
        if len(self._ends(traits.content)) >= POISON_THRESHOLD - 1:
            return True
        return any(self._ends(each) and not self._was_answered(each) for each in traits.parts)

    def record_request(self, traits: RequestTraits) -> None:
        """Record that a caller sent a request."""
        self._history.record_request(traits.parts)

    def record_end(self, traits: RequestTraits, endpoint: int, events: int = 0) -> None:
        """Record that an endpoint ended while running a request.

        Args:
            traits: Traits of the request.
            endpoint: Key of this lifetime of the endpoint.
            events: Number of events of the answer that had come.
        """
        if not self._ends(traits.content):
            # Counting further ends of the same request would overestimate the share of requests
            # that meet an end.
            self._rate.record_end()
        now = self._clock.monotonic()
        for each in traits.all:
            self._add_end(each, endpoint, now, events)
        self._update_suspects()

    def record_answer(self, traits: RequestTraits) -> None:
        """Record a complete answer, which shows that the request does not end its endpoint."""
        self._rate.record_answer()
        self._history.record_answer(traits.parts)
        self._clear(traits.all, answered=True)

    def record_survival(self, traits: RequestTraits, events: int) -> None:
        """Record that an endpoint broke an answer off but did not end under it.

        That speaks for the parts of the prompt if the answer went on for longer than others did
        before an end. Nothing is said of the whole request, whose next event may be the cause.
        """
        self._clear(
            [
                each
                for each in traits.parts
                if (known := self._by_trait.get(each)) is not None
                and known.evidence.is_outlasted_by(events)
            ]
        )

    def record_repeat(self, traits: RequestTraits) -> None:
        """Record that a rejected request was sent again, which prolongs the record of its content.

        A part is not prolonged: it is rejected for a limited time.
        """
        cause = self.cause(traits)
        if cause is None:
            return
        self._counts["part" if is_part(cause) else "content"] += 1
        known = self._by_trait[cause]
        now = self._clock.monotonic()
        if not is_part(cause) and now - known.changed_at > RENEWAL_FRACTION * POISON_SECONDS:
            self._store(cause, known.evidence, now)

    def lift(self, trait: bytes) -> bool:
        """Clear a trait at an operator's request, here and at all peers.

        Its ends are cleared for all traits, or those that were always with it would be blamed.

        Returns:
            Whether any ends were recorded for it.
        """
        ends = self._ends(trait).keys()
        if not ends:
            return False
        logger.bind(trait=trait.hex(), ends=len(ends)).warning("an operator lifted a rejection")
        self._clear([each for each in self._by_trait if ends & self._ends(each).keys()])
        return True

    def after(self, number: int, max_rows: int) -> Changes:
        """Return the records that changed after a given change, earliest first.

        Args:
            number: Number of the change.
            max_rows: Maximum number of rows.
        """
        if number >= self.number:
            return Changes([], self.number)
        newer = [each for each in self._by_trait.items() if each[1].number > number]
        newer.sort(key=lambda each: each[1].number)
        now = self._clock.monotonic()
        rows = [
            each.evidence.row(trait, max(0.0, now - each.changed_at), now)
            for trait, each in newer[:max_rows]
        ]
        return Changes(
            rows, newer[max_rows - 1][1].number if len(newer) > max_rows else self.number
        )

    def merge(self, rows: Iterable[EndsRow]) -> None:
        """Merge a peer's records, which may arrive late, repeatedly and in any order."""
        before = self.number
        now = self._clock.monotonic()
        for row in rows:
            if is_valid(row):
                self._merge_row(row, now)
        if self.number != before:
            self._update_suspects()

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock.monotonic()
        old = [
            trait
            for trait, each in self._by_trait.items()
            if now - each.changed_at > _retention_seconds(trait, len(each.ends))
        ]
        for trait in old:
            del self._by_trait[trait]
        if old or self._suspects:
            self._update_suspects()

    def _ends(self, trait: bytes) -> dict[int, End]:
        record = self._by_trait.get(trait)
        return record.ends if record is not None else {}

    def _is_cause(self, trait: bytes, traits: RequestTraits) -> bool:
        return self._suspects.counted_ends(trait, traits) >= self._ends_needed(trait)

    def _ends_needed(self, trait: bytes) -> int:
        if trait in self._poison:
            return POISON_THRESHOLD
        if not is_part(trait):
            return self._needed
        match self._was_answered(trait), self._history.is_common(trait):
            case True, True:
                return MAX_ENDS + 1
            case False, False:
                return min(MAX_POISON_THRESHOLD, POISON_THRESHOLD + self._other_ends(trait) // 2)
            case _:
                return MAX_POISON_THRESHOLD

    def _other_ends(self, trait: bytes) -> int:
        """Return the recent ends without a trait: endpoints end for other reasons as well."""
        since = self._clock.monotonic() - RATE_HALF_LIFE_SECONDS
        return self._suspects.other_ends(trait, since)

    def _was_answered(self, part: bytes) -> bool:
        known = self._by_trait.get(part)
        return self._history.was_answered(part) or (known is not None and known.evidence.answered)

    def _note_cause(self, trait: bytes) -> None:
        if trait in self._poison:
            return
        needed = self._ends_needed(trait)
        self._poison = self._poison | {trait}
        logger.bind(
            content=trait.hex() if not is_part(trait) else "",
            part=trait.hex() if is_part(trait) else "",
            ends=len(self._ends(trait)),
            ends_needed=needed,
            answered_before=self._was_answered(trait),
            requests_known=len(self._by_trait),
        ).warning(
            "a part of prompts ends endpoints; rejecting requests with it from now on"
            if is_part(trait)
            else "request ends the endpoints that run it; rejecting it from now on"
        )

    def _add_end(self, trait: bytes, endpoint: int, now: float, events: int) -> None:
        known = self._by_trait.get(trait)
        before = known.evidence if known is not None else Evidence()
        evidence = before.with_end(endpoint, now, events)
        evidence = replace(
            evidence, answered=evidence.answered or self._history.was_answered(trait)
        )
        if not evidence.differs(before):
            return
        self._store(trait, evidence, now)
        if len(before.ends) < len(evidence.ends) == POISON_THRESHOLD and is_part(trait):
            logger.bind(
                part=trait.hex(), ends=len(evidence.ends), answered_before=evidence.answered
            ).info("a part of prompts is suspected of ending endpoints")

    def _clear(self, traits: Iterable[bytes], *, answered: bool = False) -> None:
        now = self._clock.monotonic()
        cleared = [each for each in traits if self._ends(each)]
        for each in cleared:
            if each in self._suspects:
                self._counts["cleared"] += 1
                logger.bind(trait=each.hex(), ends=len(self._ends(each))).info(
                    "what was suspected of ending endpoints is cleared"
                )
            evidence = self._by_trait[each].evidence
            self._store(each, evidence.cleared(answered=answered and is_part(each)), now)
        if cleared:
            self._update_suspects()

    def _merge_row(self, row: EndsRow, now: float) -> None:
        changed_at = now - row.age
        if row.age > _retention_seconds(row.fingerprint, len(row.ends)):
            return
        known = self._by_trait.get(row.fingerprint)
        received = read_row(row, now)
        if self._history.was_answered(row.fingerprint):
            received = replace(received, answered=True)
        if row.age < RECENT_RECORD_SECONDS and (
            new := frozenset(row.ends) - self._ends(row.fingerprint).keys()
        ):
            self.on_ends(new)
        if known is None:
            self._store(row.fingerprint, received, changed_at)
            return
        if received.series < known.evidence.series:
            # The peer does not know of an answer, so what it records would be ignored.
            self._store(row.fingerprint, known.evidence, known.changed_at)
            return
        merged = known.evidence.merged(received)
        is_later = changed_at - known.changed_at > RENEWAL_FRACTION * POISON_SECONDS / 2
        if not merged.differs(known.evidence) and not is_later:
            return
        self._store(row.fingerprint, merged, max(changed_at, known.changed_at))

    def _store(self, trait: bytes, evidence: Evidence, changed_at: float) -> None:
        self.number += 1
        self._by_trait[trait] = _Record(evidence, changed_at, self.number)
        if len(self._by_trait) > MAX_RECORDS:
            least = min(self._by_trait.items(), key=lambda each: _retention_key(each[1]))
            del self._by_trait[least[0]]

    def _update_suspects(self) -> None:
        """Compare all traits anew, and remember how many ends are needed at present."""
        ends = {trait: each.ends for trait, each in self._by_trait.items()}
        self._poison = frozenset(
            each for each in self._poison if len(self._ends(each)) >= POISON_THRESHOLD
        )
        self._suspects = Suspects(ends, self._poison)
        self._needed = max(self._rate.ends_needed(), ends_needed(self._repeated_share()))
        for each in self._suspects:
            if self._is_cause(each, RequestTraits(each)):
                self._note_cause(each)
        if self._suspects:
            self.on_update()

    def _repeated_share(self) -> float:
        """Return the share of requests with an end that met another one when they were retried.

        The others were answered then. While replicas end by themselves, this shows within seconds:
        the records are those of all entries, and each entry alone sees too few requests. Requests
        that may be poison are left out, and so are parts, which are in many requests.
        """
        oldest = self._clock.monotonic() - RATE_HALF_LIFE_SECONDS
        recent = Counter(
            len(each.ends)
            for trait, each in self._by_trait.items()
            if each.changed_at >= oldest and not is_part(trait)
        )
        again, answered = recent[POISON_THRESHOLD - 1], recent[0]
        return again / (again + answered + PRIOR_ANSWERED_REQUESTS)


def _retention_seconds(trait: bytes, ends: int) -> float:
    if ends < POISON_THRESHOLD:
        return SUSPECT_SECONDS
    return PART_POISON_SECONDS if is_part(trait) else POISON_SECONDS


def _retention_key(record: _Record) -> tuple[int, float]:
    """Return the sort key for eviction; the lowest is evicted first."""
    return len(record.ends), record.changed_at


def _ignore() -> None:
    return


def _ignore_ends(endpoints: frozenset[int]) -> None:
    return
