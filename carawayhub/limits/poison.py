"""Requests that end the endpoints which run them, found by what they ended.

The failure this answers: one request crashes each endpoint that begins it. Its caller takes that
for a failure of the endpoint and comes again, through any entry and under a new id, and endpoint
after endpoint ends. An entry so keeps under which request each endpoint ended and tells its peers;
what three endpoints ended under is refused from then on.

Other requests run at the same endpoints and end with them. They are told apart in three ways. A
whole answer clears a request of all that was held against it. An end counts against a request only
if none that was there too has as many ends: who stood beside has fewer, and two that were always
together are both let go until a further end parts them. And where endpoints end so often that
requests meet three ends by chance, more are needed.

Records of several entries are joined by union, so it does not matter in which order, how often and
by which way they come. Nothing here outlives the process.
"""

import math
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.limits.fingerprint import FINGERPRINT_BYTES

ENDS_OF_POISON = 3
"""Endpoints that end under a request before it is refused. Two may be chance: one fails of itself,
and so does the next at which the request was tried again."""

MOST_ENDS_NEEDED = 6
"""The same where endpoints end all the time, at the most: what is refused only after more would end
more endpoints than it saves requests from being refused wrongly."""

CHANCE = 0.001
"""Chance at which a request that ends nothing may meet all the ends that are held against it."""

USUAL_ANSWERS = 30.0
"""Answers that an entry reckons with beside those it saw: of two or three nothing follows."""

RATE_HALF_LIFE = 20.0
"""Seconds after which a request counts half in the share of those whose endpoint ended: long enough
for some dozens at an entry of a large fleet, short against troubles that last a minute."""

MOST_RECORDS = 256
"""Requests that are remembered at the most, 0.3 MB: what twenty ends leave with a dozen requests
each. Of what is too much, the requests with the fewest ends go first, and of these the oldest."""

SAME_END_SECONDS = 1.0
"""Seconds within which one endpoint ends once: entries see and tell it within tenths of a second,
and a process takes longer than this to start again and take requests."""

NEWS_SECONDS = 2.0
"""Age up to which a record that a peer tells says something of endpoints now: later on they are
back or known to be gone."""

LIFETIMES = 2**32
"""Bound of the keys of endpoints' lifetimes."""

MOST_ENDS = 8
"""Ends that are remembered of one request; more change nothing."""

SUSPECT_SECONDS = 600.0
"""Seconds after its latest end for which a request that is not refused is remembered. Callers that
repeat by themselves do so within seconds, people within minutes."""

POISON_SECONDS = 3600.0
"""Seconds since it was last sent after which a refused request is forgotten. By then its cause may
have been mended; where it was not, three endpoints tell so again."""

RENEW_PART = 0.25
"""Part of that time after which a refused request that comes again is remembered anew, and peers
are told so: few messages, however often it comes."""


_NONE: frozenset[int] = frozenset()


class EndsRow(msgspec.Struct, array_like=True, frozen=True):
    """A record as it is told to peers.

    Attributes:
        fingerprint: Names the request.
        series: Whole answers that cleared it.
        ends: Keys of the endpoints that ended under it since.
        age: Seconds since the record last changed, when the row was written.
    """

    fingerprint: bytes
    series: int
    ends: list[int]
    age: float


@dataclass(frozen=True, slots=True)
class Changes:
    """Records that changed after some moment.

    Attributes:
        rows: The records.
        number: The number of the last change that they hold.
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
    """The share of this entry's recent requests whose endpoint ended under them.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_answered", "_at", "_clock", "_ended")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered = self._ended = 0.0
        self._at = clock.monotonic()

    def answered(self) -> None:
        """Count a whole answer."""
        self._fade()
        self._answered += 1.0

    def ended(self) -> None:
        """Count a request whose endpoint ended."""
        self._fade()
        self._ended += 1.0

    def ends_needed(self) -> int:
        """Return how many ends show that a request is their cause.

        The load pattern this answers: replicas that end every second for reasons of their own, and
        callers who come again until they are served. At three ends, 3 of 400 such requests were
        refused for good.
        """
        self._fade()
        share = self._ended / (self._answered + self._ended + USUAL_ANSWERS)
        if share <= 0.0:
            return ENDS_OF_POISON
        needed = math.ceil(math.log(CHANCE) / math.log(share))
        return min(MOST_ENDS_NEEDED, max(ENDS_OF_POISON, needed))

    def _fade(self) -> None:
        now = self._clock.monotonic()
        kept = 0.5 ** ((now - self._at) / RATE_HALF_LIFE)
        self._answered *= kept
        self._ended *= kept
        self._at = now


class PoisonRecords:
    """Under which requests endpoints ended, as far as this process knows.

    Args:
        clock: Source of time.

    Attributes:
        number: Number of the latest change; peers are told what follows the last one they know.
        on_poison: Called with the fingerprint of a request that is refused from now on.
        on_ends: Called with the keys of endpoints that peers have just told to have ended.
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
        """Fingerprints of the requests that are refused."""
        return self._poison

    def is_poison(self, fingerprint: bytes) -> bool:
        """Return whether a request is to be refused."""
        return fingerprint in self._poison

    def ends(self, fingerprint: bytes) -> int:
        """Return how many endpoints ended under a request since its last whole answer."""
        record = self._by_fingerprint.get(fingerprint)
        return len(record.ends) if record is not None else 0

    def ended(self, fingerprint: bytes, endpoint: int) -> None:
        """Note that an endpoint ended while it had a request.

        Args:
            fingerprint: Names the request.
            endpoint: Key of this lifetime of the endpoint.
        """
        known = self._by_fingerprint.get(fingerprint)
        series, ends = (known.series, known.ends) if known is not None else (0, frozenset())
        if not ends:
            # Further ends of one request would make it look as if all met them.
            self._rate.ended()
        now = self._clock.monotonic()
        if known is not None and now - known.changed_at > SAME_END_SECONDS:
            # An endpoint that has started again under one id, and does not say when it did.
            while endpoint in ends:
                endpoint = (endpoint + 1) % LIFETIMES
        if endpoint in ends or len(ends) >= MOST_ENDS:
            return
        self._put(fingerprint, series, ends | {endpoint}, now)
        self._judge()

    def answered(self, fingerprint: bytes) -> None:
        """Note a whole answer to a request: what survives running it is not ended by it."""
        self._rate.answered()
        known = self._by_fingerprint.get(fingerprint)
        if known is None or not known.ends:
            return
        self._put(fingerprint, known.series + 1, frozenset(), self._clock.monotonic())
        self._judge()

    def came_again(self, fingerprint: bytes) -> None:
        """Note that a refused request was sent again, so that it is remembered on."""
        known = self._by_fingerprint[fingerprint]
        now = self._clock.monotonic()
        if now - known.changed_at > RENEW_PART * POISON_SECONDS:
            self._put(fingerprint, known.series, known.ends, now)

    def after(self, number: int, most: int) -> Changes:
        """Return records that changed after a change, the earliest ones first.

        Args:
            number: The change.
            most: Rows wanted at the most.
        """
        if number >= self.number:
            return Changes([], self.number)
        newer = [each for each in self._by_fingerprint.items() if each[1].number > number]
        newer.sort(key=lambda each: each[1].number)
        now = self._clock.monotonic()
        rows = [_row(name, record, now) for name, record in newer[:most]]
        return Changes(rows, newer[most - 1][1].number if len(newer) > most else self.number)

    def take(self, rows: Iterable[EndsRow]) -> None:
        """Take in records of a peer; they may come late, twice and in any order."""
        before = self.number
        now = self._clock.monotonic()
        for row in rows:
            if _is_sound(row):
                self._merge(row, now)
        if self.number != before:
            self._judge()

    def forget_old(self) -> None:
        """Drop records that no longer matter."""
        now = self._clock.monotonic()
        old = [
            name
            for name, each in self._by_fingerprint.items()
            if now - each.changed_at > _kept_seconds(len(each.ends))
        ]
        for name in old:
            del self._by_fingerprint[name]
        self._judge()

    def _merge(self, row: EndsRow, now: float) -> None:
        changed_at = now - row.age
        if row.age > _kept_seconds(len(row.ends)):
            return
        ends = frozenset(row.ends)
        known = self._by_fingerprint.get(row.fingerprint)
        if row.age < NEWS_SECONDS and (new := ends - (known.ends if known is not None else _NONE)):
            self.on_ends(new)
        if known is None:
            self._put(row.fingerprint, row.series, ends, changed_at)
            return
        if row.series < known.series:
            return
        if row.series == known.series:
            ends = frozenset(sorted(ends | known.ends)[:MOST_ENDS])
        is_later = changed_at - known.changed_at > RENEW_PART * POISON_SECONDS / 2
        if (row.series, ends) == (known.series, known.ends) and not is_later:
            return
        self._put(row.fingerprint, row.series, ends, max(changed_at, known.changed_at))

    def _put(self, name: bytes, series: int, ends: frozenset[int], changed_at: float) -> None:
        self.number += 1
        self._by_fingerprint[name] = _Record(series, ends, changed_at, self.number)
        if len(self._by_fingerprint) > MOST_RECORDS:
            least = min(self._by_fingerprint.items(), key=lambda each: _rank(each[1]))
            del self._by_fingerprint[least[0]]

    def _judge(self) -> None:
        """Find anew which requests are refused."""
        needed = self._rate.ends_needed()
        counting = self._counting_ends()
        found = frozenset(
            name
            for name, count in counting.items()
            if count >= (ENDS_OF_POISON if name in self._poison else needed)
        )
        new, self._poison = found - self._poison, found
        for name in new:
            logger.bind(
                content=name.hex(),
                ends=len(self._by_fingerprint[name].ends),
                ends_needed=needed,
                requests_known=len(self._by_fingerprint),
            ).warning("endpoints end under a request, it is refused from now on")
            self.on_poison(name)

    def _counting_ends(self) -> dict[bytes, int]:
        """Return how many ends count against each request that has enough of them.

        Guards against refusing one that stood beside: an end is not held against it where another
        that was there has as many ends.
        """
        suspects = {
            name: each.ends
            for name, each in self._by_fingerprint.items()
            if len(each.ends) >= ENDS_OF_POISON
        }
        # Others have fewer ends than any of these, so they take nothing off.
        beside = Counter((end, len(ends)) for ends in suspects.values() for end in ends)
        return {name: _alone(ends, beside) for name, ends in suspects.items()}


def _alone(ends: frozenset[int], beside: Counter[tuple[int, int]]) -> int:
    """Return at how many ends no other request was that has as many of them.

    Args:
        ends: The ends of a request.
        beside: Requests by an end at which they were and the number of their ends.
    """
    counts = range(len(ends), MOST_ENDS + 1)
    return sum(1 for end in ends if sum(beside[end, count] for count in counts) == 1)


def _kept_seconds(ends: int) -> float:
    return POISON_SECONDS if ends >= ENDS_OF_POISON else SUSPECT_SECONDS


def _rank(record: _Record) -> tuple[int, float]:
    """Return how much a record matters; the least goes first."""
    return len(record.ends), record.changed_at


def _row(name: bytes, record: _Record, now: float) -> EndsRow:
    return EndsRow(name, record.series, sorted(record.ends), max(0.0, now - record.changed_at))


def _is_sound(row: EndsRow) -> bool:
    return (
        len(row.fingerprint) == FINGERPRINT_BYTES
        and row.series >= 0
        and len(row.ends) <= MOST_ENDS
        and math.isfinite(row.age)
        and row.age >= 0.0
    )


def _ignore(fingerprint: bytes) -> None:
    return


def _ignore_ends(endpoints: frozenset[int]) -> None:
    return
