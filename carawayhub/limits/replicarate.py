"""How many requests a replica that names a rate limit gets, from all entries together.

The load pattern this answers: a replica in need says in its answers how many requests a second it
takes from the whole fleet, while each entry sees its own answers and its own requests only. With
nobody who counts for all, each entry tells the others what it read last and how many requests it
has sent of late, and takes from what is left of the limit. What is left is known late, so entries
that want the same request draw for it (``Claims``); what they send too much is told with the next
news and taken off what follows. Parts by demand follow from that by themselves. Fixed parts, one
for each entry, would leave most of a small limit unused: of three a second, each of 98 entries had
one request in 33 s, and most requests arrive elsewhere.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.limits.claims import Claims

WINDOW = 2.0
"""Seconds in which the requests to a limited replica are counted: long enough that what was sent
too much is known and made up for, short enough that a replica in need gets no bursts."""

ASK_RATE = 0.1
"""Requests a second to a replica that takes fewer. One that gets none never answers, and so could
never say that it takes requests again."""

TAKEN_BACK_SECONDS = 10.0
"""Seconds for which entries tell that a replica names no limit any more."""

ROUNDED = 0.5
"""Part of a request that is left of a limit from which on one more goes out: whole requests are
rounded, so that as much as is named is used."""

SENDS_SECONDS = 4.0
"""Seconds for which the sends to a replica are remembered that names no limit, so that they count
from the moment at which it does."""

MOST_ROWS = 64
"""Replicas that one datagram tells of, those of which was read last: two kilobytes."""

NO_LIMIT = -1.0


class RateRow(msgspec.Struct, array_like=True, frozen=True):
    """What an entry tells of one replica.

    Attributes:
        key: Stands for one lifetime of the replica.
        per_second: Requests a second that it takes, ``NO_LIMIT`` where it names none any more.
        age: Seconds since that was read, when the datagram was written.
        sends: Requests sent to it in the window, by those whom the datagram tells of.
    """

    key: int
    per_second: float
    age: float
    sends: int


@dataclass(frozen=True, slots=True)
class Reading:
    """The last that is known of a replica's limit.

    Attributes:
        per_second: Requests a second that it takes from all entries, None where it names none.
        at: When it said so.
    """

    per_second: float | None
    at: float


@dataclass(frozen=True, slots=True)
class _Told:
    """Requests that others have sent.

    Attributes:
        sends: How many.
        at: When that was so.
    """

    sends: int
    at: float


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What an entry knows of the others when it decides.

    Attributes:
        wanted: Requests that come to all entries before they hear of each other.
        news: Seconds until they do.
        part: Part of all entries that this one hears of, itself among them.
    """

    wanted: float
    news: float
    part: float


class ReplicaRates:
    """The rate limits of replicas and the requests that were sent to them.

    Args:
        clock: Source of time; it must count suspensions.
        rng: Draws who sends what several want to send.
        key_of: Gives the number that stands for an endpoint among entries.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_key_of",
        "_readings",
        "_rng",
        "_sends",
        "_since",
        "_told",
        "_unreadable",
    )

    def __init__(self, clock: Clock, rng: random.Random, key_of: Callable[[str], int]) -> None:
        self._clock = clock
        self._rng = rng
        self._key_of = key_of
        self._readings: dict[int, Reading] = {}
        self._since: dict[int, float] = {}
        self._sends: dict[int, deque[float]] = {}
        self._told: dict[str, dict[int, _Told]] = {}
        self._claims: dict[int, Claims] = {}
        self._unreadable: set[int] = set()

    # What is learned.

    def read(self, endpoint_id: str, per_second: float | None, sent_at: float) -> None:
        """Take what an answer says.

        An answer that names no limit may have been written before the replica was in need: it
        counts from when its request was sent, one that names a limit from now.

        Args:
            endpoint_id: The endpoint.
            per_second: The limit that the answer names, None for none.
            sent_at: When its request was sent.
        """
        key = self._key_of(endpoint_id)
        if per_second is None and key not in self._readings:
            return
        at = sent_at if per_second is None else self._clock.monotonic()
        self._learn(key, Reading(per_second, at), endpoint_id)

    def heard(self, teller: str, rows: Iterable[RateRow], written_at: float) -> None:
        """Take what another entry tells, in place of what it told before.

        Args:
            teller: Who tells.
            rows: What it tells.
            written_at: A moment that is not after the writing of its datagram.
        """
        told = self._told.setdefault(teller, {})
        for row in rows:
            per_second = None if row.per_second < 0 else row.per_second
            if per_second is not None or row.key in self._readings:
                self._learn(row.key, Reading(per_second, written_at - row.age), teller)
            known = told.get(row.key)
            if known is None or known.at <= written_at:
                told[row.key] = _Told(row.sends, written_at)

    def unreadable(self, endpoint_id: str, text: str) -> None:
        """Note an answer whose limit cannot be read, which changes nothing; logged once each."""
        key = self._key_of(endpoint_id)
        if key in self._unreadable:
            return
        self._unreadable.add(key)
        logger.bind(endpoint=endpoint_id, text=text).warning("limit of a replica cannot be read")

    def _learn(self, key: int, reading: Reading, source: str) -> None:
        before = self._readings.get(key)
        if before is not None and before.at >= reading.at:
            return
        self._readings[key] = reading
        if before is not None and before.per_second == reading.per_second:
            return
        now = self._clock.monotonic()
        self._since[key] = now
        logger.bind(
            endpoint_key=key,
            source=source,
            per_second=reading.per_second,
            before=None if before is None else before.per_second,
            age=round(now - reading.at, 3),
            sent=self._sent_lately(key, WINDOW),
        ).info("limit of a replica is known" if reading.per_second is not None else "limit ended")

    # What is decided.

    @property
    def any_limited(self) -> bool:
        """Whether some replica may name a limit: where none does, nothing else need be asked."""
        return bool(self._readings)

    def limit(self, endpoint_id: str) -> float | None:
        """Return the requests a second that an endpoint takes, None where it names no limit."""
        reading = self._readings.get(self._key_of(endpoint_id))
        return None if reading is None else reading.per_second

    def limits(self) -> dict[int, float]:
        """Return the limits in force, by the keys of their replicas."""
        found = self._readings.items()
        return {key: each.per_second for key, each in found if each.per_second is not None}

    def may_send(self, endpoint_id: str, around: Surroundings) -> bool:
        """Return whether a request may go to an endpoint now; ask once for each request."""
        key = self._key_of(endpoint_id)
        reading = self._readings.get(key)
        if reading is None or reading.per_second is None:
            return True
        rate = max(reading.per_second, ASK_RATE)
        window = _window(reading.per_second)
        allowed = rate * window * around.part
        if allowed < 1.0:
            return self._is_due(key, rate * around.part)
        sends = self._sent_lately(key, window) + self._told_lately(key, window)
        free = allowed + ROUNDED - sends
        claims = self._claims.setdefault(key, Claims(self._clock, self._rng))
        return claims.may_take(free, around.wanted, around.news)

    def wait(self, endpoint_ids: Iterable[str]) -> float:
        """Return the mean seconds between two requests that endpoints take from all entries.

        0 where one of them names no limit.
        """
        total = 0.0
        for each in endpoint_ids:
            limit = self.limit(each)
            if limit is None:
                return 0.0
            total += max(limit, ASK_RATE)
        return 1.0 / total if total else 0.0

    def sent(self, endpoint_id: str) -> None:
        """Count a request that goes to an endpoint."""
        key, now = self._key_of(endpoint_id), self._clock.monotonic()
        times = self._sends.setdefault(key, deque())
        times.append(now)
        oldest = now - max(SENDS_SECONDS, self._window_of(key))
        while times[0] < oldest:
            times.popleft()

    def _is_due(self, key: int, rate: float) -> bool:
        """Return whether an entry's own part of a limit has come to one request.

        So where it hears of few entries, or the others' sends are unknown: it takes a part as if
        each entry did, and none at once when it learns of the limit.
        """
        times = self._sends.get(key)
        last = max(self._since.get(key, 0.0), times[-1] if times else float("-inf"))
        return self._clock.monotonic() - last >= 1.0 / rate

    def _window_of(self, key: int) -> float:
        reading = self._readings.get(key)
        if reading is None or reading.per_second is None:
            return 0.0
        return _window(reading.per_second)

    def _sent_lately(self, key: int, window: float) -> int:
        oldest = self._clock.monotonic() - window
        return sum(1 for each in self._sends.get(key, ()) if each >= oldest)

    def _told_lately(self, key: int, window: float) -> int:
        """Return the requests of others, also of entries that have fallen silent since."""
        oldest = self._clock.monotonic() - window
        found = (told.get(key) for told in self._told.values())
        return sum(each.sends for each in found if each is not None and each.at >= oldest)

    # What is told.

    def rows(self, tellers: Iterable[str] = ()) -> list[RateRow]:
        """Return what is told of the sends of this entry and of some tellers together."""
        return self._rows([self._told[each] for each in tellers if each in self._told])

    def rows_without(self, teller: str) -> list[RateRow]:
        """Return what is told of all sends but those of one teller."""
        return self._rows([told for each, told in self._told.items() if each != teller])

    def _rows(self, tolds: list[dict[int, _Told]]) -> list[RateRow]:
        now = self._clock.monotonic()
        found = sorted(self._readings.items(), key=lambda each: -each[1].at)[:MOST_ROWS]
        return [self._row(key, reading, tolds, now) for key, reading in found]

    def _row(
        self, key: int, reading: Reading, tolds: list[dict[int, _Told]], now: float
    ) -> RateRow:
        limit = reading.per_second
        window = WINDOW if limit is None else _window(limit)
        theirs = (told.get(key) for told in tolds)
        sends = sum(each.sends for each in theirs if each is not None and each.at >= now - window)
        return RateRow(
            key=key,
            per_second=NO_LIMIT if limit is None else limit,
            age=max(0.0, now - reading.at),
            sends=self._sent_lately(key, window) + sends,
        )

    def forget(self, endpoint_ids: Iterable[str]) -> None:
        """Drop what is known of replicas that are no longer published, and what has passed."""
        now = self._clock.monotonic()
        kept = {self._key_of(each) for each in endpoint_ids}
        ended = [
            key
            for key, each in self._readings.items()
            if key not in kept or (each.per_second is None and now - each.at > TAKEN_BACK_SECONDS)
        ]
        for key in ended:
            del self._readings[key]
            self._claims.pop(key, None)
            self._since.pop(key, None)
        self._unreadable &= kept
        for key in [each for each in self._sends if each not in kept]:
            del self._sends[key]
        longest = max(map(self._window_of, self._readings), default=0.0)
        for teller, told in list(self._told.items()):
            fresh = {key: each for key, each in told.items() if now - each.at <= longest}
            if fresh:
                self._told[teller] = fresh
            else:
                del self._told[teller]


def _window(per_second: float) -> float:
    """Return the seconds in which requests are counted: one may be sent in them at the least."""
    return max(WINDOW, 1.0 / max(per_second, ASK_RATE))
