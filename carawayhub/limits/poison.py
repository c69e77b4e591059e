"""Detects poison requests, which end the endpoints that run them.

A poison request crashes each endpoint that starts to run it. Its caller takes that for a failure
of the endpoint and retries through any entry under a new request id, so one endpoint after another
ends. Each entry therefore records for each request the endpoints that ended while running it (its
ends) and announces the records to its peers; a request with three ends is rejected from then on.

Other requests that run at the same endpoints end with them. Three rules distinguish them. A
complete answer clears all ends of a request. An end counts against a request only if no other
request at that end has as many ends: innocent requests have fewer, and two requests that always
ran together are both allowed until a further end separates them. If endpoints end so often that
requests meet three ends by chance, more ends are needed.

Records of several entries are merged by union, so the order, number of deliveries and path do not
matter. Nothing here outlives the process.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.limits.fingerprint import FINGERPRINT_BYTES

POISON_THRESHOLD = 3
"""Ends after which a request is rejected. Two may be chance: an endpoint fails for its own reasons,
and so does the next one, at which the request was retried."""

MAX_POISON_THRESHOLD = 6
"""Upper bound of the threshold while endpoints end constantly: a higher one would end more
endpoints than it prevents wrong rejections."""

FALSE_POSITIVE_PROBABILITY = 0.001
"""Accepted probability that a harmless request meets as many ends as the threshold by chance."""

PRIOR_ANSWERS = 30.0
"""Answers added to those that an entry observed, since two or three observations prove nothing."""

PRIOR_ANSWERED_REQUESTS = 4.0
"""Requests answered after a first end that are added to those in the records, which may be few."""

RATE_HALF_LIFE_SECONDS = 20.0
"""Half-life of a request's weight in the share of requests whose endpoint ended: long enough to
cover some dozens of requests at an entry of a large fleet, short compared with incidents of a
minute."""

MAX_RECORDS = 256
"""Maximum number of recorded requests, 0.3 MB: enough for twenty ends with a dozen requests each.
Beyond it, the requests with the fewest ends are evicted first, the oldest of them before others."""

END_DEDUPLICATION_SECONDS = 1.0
"""Time within which reports about an endpoint count as one end: entries detect and announce it
within tenths of a second, and a process takes longer than this to restart and accept requests."""

RECENT_RECORD_SECONDS = 2.0
"""Age up to which a peer's record says something about the present state of endpoints: later they
are available again or known to be gone."""

LIFETIME_KEY_BOUND = 2**32
"""Exclusive upper bound of the keys that identify endpoints' lifetimes."""

MAX_ENDS = 8
"""Maximum number of ends recorded per request; more would change no decision."""

SUSPECT_SECONDS = 600.0
"""Time since its latest end for which a request below the threshold is remembered. Automatic
retries follow within seconds, manual ones within minutes."""

POISON_SECONDS = 3600.0
"""Time since it was last sent after which a rejected request is forgotten. By then its cause may
have been fixed; if it was not, three more ends identify it again."""

RENEWAL_FRACTION = 0.25
"""Fraction of ``POISON_SECONDS`` after which a repeated request renews its record, which is then
announced to peers: this limits the number of messages, however often the request is repeated."""


_NONE: frozenset[int] = frozenset()


class EndsRow(msgspec.Struct, array_like=True, frozen=True):
    """A record as it is announced to peers.

    Attributes:
        fingerprint: Identifies the request.
        series: Number of complete answers that cleared it.
        ends: Keys of the endpoints that ended while running it since then.
        age: Seconds between the record's last change and the writing of the row.
    """

    fingerprint: bytes
    series: int
    ends: list[int]
    age: float


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
    series: int
    ends: frozenset[int]
    changed_at: float
    number: int


class EndRate:
    """The share of this entry's recent requests whose endpoint ended while running them.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_answered", "_clock", "_ended", "_updated_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered = self._ended = 0.0
        self._updated_at = clock.monotonic()

    def record_answer(self) -> None:
        """Count a complete answer."""
        self._decay()
        self._answered += 1.0

    def record_end(self) -> None:
        """Count a request whose endpoint ended."""
        self._decay()
        self._ended += 1.0

    def ends_needed(self) -> int:
        """Return the number of ends after which a request is considered their cause."""
        self._decay()
        return _ends_needed(self._ended / (self._answered + self._ended + PRIOR_ANSWERS))

    def _decay(self) -> None:
        now = self._clock.monotonic()
        kept = 0.5 ** ((now - self._updated_at) / RATE_HALF_LIFE_SECONDS)
        self._answered *= kept
        self._ended *= kept
        self._updated_at = now


class PoisonRecords:
    """The requests during which endpoints ended, as far as this process knows.

    Args:
        clock: Source of time.

    Attributes:
        number: Number of the latest change; peers receive the changes after the last one they have.
        on_poison: Called with the fingerprint of a request that is rejected from now on.
        on_ends: Called with the keys of endpoints that peers have just reported as ended.
    """

    __slots__ = ("_by_fingerprint", "_clock", "_poison", "_rate", "number", "on_ends", "on_poison")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_fingerprint: dict[bytes, _Record] = {}
        self._poison: frozenset[bytes] = frozenset()
        self._rate = EndRate(clock)
        self.number = 0
        self.on_poison: Callable[[bytes], None] = _ignore
        self.on_ends: Callable[[frozenset[int]], None] = _ignore_ends

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    @property
    def poison(self) -> frozenset[bytes]:
        """Fingerprints of the requests that are rejected."""
        return self._poison

    def is_poison(self, fingerprint: bytes) -> bool:
        """Return whether a request must be rejected."""
        return fingerprint in self._poison

    def ends(self, fingerprint: bytes) -> int:
        """Return how many endpoints ended under a request since its last complete answer."""
        record = self._by_fingerprint.get(fingerprint)
        return len(record.ends) if record is not None else 0

    def record_end(self, fingerprint: bytes, endpoint: int) -> None:
        """Record that an endpoint ended while running a request.

        Args:
            fingerprint: Identifies the request.
            endpoint: Key of this lifetime of the endpoint.
        """
        known = self._by_fingerprint.get(fingerprint)
        series, ends = (known.series, known.ends) if known is not None else (0, frozenset())
        if not ends:
            # Counting further ends of the same request would overestimate the share of requests
            # that meet an end.
            self._rate.record_end()
        now = self._clock.monotonic()
        if known is not None and now - known.changed_at > END_DEDUPLICATION_SECONDS:
            # The endpoint restarted under the same id and does not report its start time.
            while endpoint in ends:
                endpoint = (endpoint + 1) % LIFETIME_KEY_BOUND
        if endpoint in ends or len(ends) >= MAX_ENDS:
            return
        self._store(fingerprint, series, ends | {endpoint}, now)
        self._update_poison()

    def record_answer(self, fingerprint: bytes) -> None:
        """Record a complete answer, which shows that the request does not end its endpoint."""
        self._rate.record_answer()
        known = self._by_fingerprint.get(fingerprint)
        if known is None or not known.ends:
            return
        self._store(fingerprint, known.series + 1, frozenset(), self._clock.monotonic())
        self._update_poison()

    def record_repeat(self, fingerprint: bytes) -> None:
        """Record that a rejected request was sent again, which prolongs its record."""
        known = self._by_fingerprint[fingerprint]
        now = self._clock.monotonic()
        if now - known.changed_at > RENEWAL_FRACTION * POISON_SECONDS:
            self._store(fingerprint, known.series, known.ends, now)

    def after(self, number: int, max_rows: int) -> Changes:
        """Return the records that changed after a given change, earliest first.

        Args:
            number: Number of the change.
            max_rows: Maximum number of rows.
        """
        if number >= self.number:
            return Changes([], self.number)
        newer = [each for each in self._by_fingerprint.items() if each[1].number > number]
        newer.sort(key=lambda each: each[1].number)
        now = self._clock.monotonic()
        rows = [_row(name, record, now) for name, record in newer[:max_rows]]
        return Changes(
            rows, newer[max_rows - 1][1].number if len(newer) > max_rows else self.number
        )

    def merge(self, rows: Iterable[EndsRow]) -> None:
        """Merge a peer's records, which may arrive late, repeatedly and in any order."""
        before = self.number
        now = self._clock.monotonic()
        for row in rows:
            if _is_valid(row):
                self._merge_row(row, now)
        if self.number != before:
            self._update_poison()

    def expire(self) -> None:
        """Drop expired records."""
        now = self._clock.monotonic()
        old = [
            name
            for name, each in self._by_fingerprint.items()
            if now - each.changed_at > _retention_seconds(len(each.ends))
        ]
        for name in old:
            del self._by_fingerprint[name]
        self._update_poison()

    def _merge_row(self, row: EndsRow, now: float) -> None:
        changed_at = now - row.age
        if row.age > _retention_seconds(len(row.ends)):
            return
        ends = frozenset(row.ends)
        known = self._by_fingerprint.get(row.fingerprint)
        if row.age < RECENT_RECORD_SECONDS and (
            new := ends - (known.ends if known is not None else _NONE)
        ):
            self.on_ends(new)
        if known is None:
            self._store(row.fingerprint, row.series, ends, changed_at)
            return
        if row.series < known.series:
            return
        if row.series == known.series:
            ends = frozenset(sorted(ends | known.ends)[:MAX_ENDS])
        is_later = changed_at - known.changed_at > RENEWAL_FRACTION * POISON_SECONDS / 2
        if (row.series, ends) == (known.series, known.ends) and not is_later:
            return
        self._store(row.fingerprint, row.series, ends, max(changed_at, known.changed_at))

    def _store(self, name: bytes, series: int, ends: frozenset[int], changed_at: float) -> None:
        self.number += 1
        self._by_fingerprint[name] = _Record(series, ends, changed_at, self.number)
        if len(self._by_fingerprint) > MAX_RECORDS:
            least = min(self._by_fingerprint.items(), key=lambda each: _retention_key(each[1]))
            del self._by_fingerprint[least[0]]

    def _update_poison(self) -> None:
        """Recompute which requests are rejected."""
        attributable = self._attributable_ends()
        needed = max(self._rate.ends_needed(), _ends_needed(self._repeated_share()))
        found = frozenset(
            name
            for name, count in attributable.items()
            if count >= (POISON_THRESHOLD if name in self._poison else needed)
        )
        new, self._poison = found - self._poison, found
        for name in new:
            logger.bind(
                content=name.hex(),
                ends=len(self._by_fingerprint[name].ends),
                ends_needed=needed,
                requests_known=len(self._by_fingerprint),
            ).warning("request ends the endpoints that run it; rejecting it from now on")
            self.on_poison(name)

    def _repeated_share(self) -> float:
        """Return the share of requests with an end that met another one when they were retried.

        The others were answered then. While replicas end by themselves, this shows within seconds:
        the records are those of all entries, and each entry alone sees too few requests. Requests
        that may be poison are left out.
        """
        oldest = self._clock.monotonic() - RATE_HALF_LIFE_SECONDS
        recent = Counter(
            len(each.ends) for each in self._by_fingerprint.values() if each.changed_at >= oldest
        )
        again, answered = recent[POISON_THRESHOLD - 1], recent[0]
        return again / (again + answered + PRIOR_ANSWERED_REQUESTS)

    def _attributable_ends(self) -> dict[bytes, int]:
        """Return how many ends count against each request that has enough of them.

        Prevents the rejection of a request that merely ran at the same endpoints: an end does not
        count against it if another request at that end has as many ends.
        """
        suspects = {
            name: each.ends
            for name, each in self._by_fingerprint.items()
            if len(each.ends) >= POISON_THRESHOLD
        }
        # All other requests have fewer ends than these and so do not affect the result.
        requests_at_end = Counter((end, len(ends)) for ends in suspects.values() for end in ends)
        return {name: _unshared_ends(ends, requests_at_end) for name, ends in suspects.items()}


def _ends_needed(share: float) -> int:
    """Return the ends after which a request is poison if a share of requests meets one by chance.

    If replicas end every second for other reasons and callers retry until they are served, a fixed
    threshold of three ends rejects 3 of 400 such requests permanently.
    """
    if share <= 0.0:
        return POISON_THRESHOLD
    needed = math.ceil(math.log(FALSE_POSITIVE_PROBABILITY) / math.log(share))
    return min(MAX_POISON_THRESHOLD, max(POISON_THRESHOLD, needed))


def _unshared_ends(ends: frozenset[int], requests_at_end: Counter[tuple[int, int]]) -> int:
    """Return the number of ends that no other request with at least as many ends shares.

    Args:
        ends: The ends of a request.
        requests_at_end: Number of requests by end and by how many ends these requests have.
    """
    counts = range(len(ends), MAX_ENDS + 1)
    return sum(1 for end in ends if sum(requests_at_end[end, count] for count in counts) == 1)


def _retention_seconds(ends: int) -> float:
    return POISON_SECONDS if ends >= POISON_THRESHOLD else SUSPECT_SECONDS


def _retention_key(record: _Record) -> tuple[int, float]:
    """Return the sort key for eviction; the lowest is evicted first."""
    return len(record.ends), record.changed_at


def _row(name: bytes, record: _Record, now: float) -> EndsRow:
    return EndsRow(name, record.series, sorted(record.ends), max(0.0, now - record.changed_at))


def _is_valid(row: EndsRow) -> bool:
    return (
        len(row.fingerprint) == FINGERPRINT_BYTES
        and row.series >= 0
        and len(row.ends) <= MAX_ENDS
        and math.isfinite(row.age)
        and row.age >= 0.0
    )


def _ignore(fingerprint: bytes) -> None:
    return


def _ignore_ends(endpoints: frozenset[int]) -> None:
    return
