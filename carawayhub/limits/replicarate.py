"""Fleet-wide rate limiting of replicas that announce a limit in their answers.

A replica that is short of resources announces how many requests per second it accepts from the
whole fleet, but each entry sees only its own answers and requests. There is no central counter:
each entry announces the limit it read last and the number of requests it sent recently, and uses
what remains of the limit. Entries learn what remains only after a propagation delay, so entries
that compete for the same request draw for it (``Claims``); requests sent in excess are announced
in the next update and deducted from the following ones. The limit is thereby shared by demand.
Fixed shares per entry would leave most of a small limit unused: of three requests per second, each
of 98 entries would get one request in 33 s, and most requests arrive at other entries.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.limits.claims import Claims
from carawayhub.wirenumbers import Sum

WINDOW_SECONDS = 2.0
"""Window over which requests to a limited replica are counted: long enough for excess requests to
be announced and deducted, short enough to avoid bursts at a replica that is short of resources."""

MIN_PROBE_RATE = 0.1
"""Requests per second sent to a replica whose limit is lower. A replica without requests sends no
answers, so it could never announce a higher limit."""

WITHDRAWN_LIMIT_SECONDS = 10.0
"""Time for which entries announce that a replica has withdrawn its limit."""

ROUNDING_ALLOWANCE = 0.5
"""Remaining fraction of a request from which one more is sent: rounding to whole requests lets the
announced limit be used in full."""

SEND_HISTORY_SECONDS = 4.0
"""Time for which sends to a replica without a limit are remembered, so that they are counted as
soon as it announces one."""

MAX_ROWS = 64
"""Replicas in one datagram, those with the latest known limits first: two kilobytes."""

NO_LIMIT = -1.0


class RateRow(msgspec.Struct, array_like=True, frozen=True):
    """What an entry announces about one replica.

    Attributes:
        key: Identifies one lifetime of the replica.
        per_second: Its limit in requests per second, ``NO_LIMIT`` if it has withdrawn the limit.
        age: Seconds between reading the limit and writing the datagram.
        sends: Requests sent to it within the window by the entries that the datagram covers.
    """

    key: int
    per_second: float
    age: float
    sends: Sum


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """The latest known limit of a replica.

    Attributes:
        per_second: Requests per second that it accepts from all entries, None for no limit.
        at: When the replica announced it.
    """

    per_second: float | None
    at: float


@dataclass(frozen=True, slots=True)
class _PeerSends:
    """Requests that a peer has announced as sent.

    Attributes:
        sends: Number of requests.
        at: Time of the count.
    """

    sends: int
    at: float


@dataclass(frozen=True, slots=True)
class FleetEstimate:
    """What an entry knows about the other entries when it decides.

    Attributes:
        expected_arrivals: Requests that arrive at all entries within the propagation delay.
        propagation_delay: Seconds until entries receive each other's updates.
        part: Fraction of all entries whose updates this one receives, itself included.
    """

    expected_arrivals: float
    propagation_delay: float
    part: float


class ReplicaRates:
    """Tracks the rate limits of replicas and the requests that were sent to them.

    Args:
        clock: Source of time; it must include time spent suspended.
        rng: Source of the random draws between competing entries.
        key_of: Returns the number that identifies an endpoint among entries.
    """

    __slots__ = (
        "_claims",
        "_clock",
        "_key_of",
        "_known_limits",
        "_limited_since",
        "_peer_sends",
        "_rng",
        "_sends",
        "_unreadable_keys",
    )

    def __init__(self, clock: Clock, rng: random.Random, key_of: Callable[[str], int]) -> None:
        self._clock = clock
        self._rng = rng
        self._key_of = key_of
        self._known_limits: dict[int, KnownLimit] = {}
        self._limited_since: dict[int, float] = {}
        self._sends: dict[int, deque[float]] = {}
        self._peer_sends: dict[str, dict[int, _PeerSends]] = {}
        self._claims: dict[int, Claims] = {}
        self._unreadable_keys: set[int] = set()

    # Input.

    def record_limit(self, endpoint_id: str, per_second: float | None, sent_at: float) -> None:
        """Record the limit announced in an answer.

        An answer without a limit may have been written before the replica ran short of resources:
        it is dated by when its request was sent, one with a limit by the current time.

        Args:
            endpoint_id: The endpoint.
            per_second: The limit in the answer, None for no limit.
            sent_at: When the request was sent.
        """
        key = self._key_of(endpoint_id)
        if per_second is None and key not in self._known_limits:
            return
        at = sent_at if per_second is None else self._clock.monotonic()
        self._update_limit(key, KnownLimit(per_second, at), endpoint_id)

    def receive_rows(self, peer: str, rows: Iterable[RateRow], written_at: float) -> None:
        """Apply the rows of another entry, which replace its earlier ones.

        Args:
            peer: The entry that announced them.
            rows: The rows.
            written_at: A time no later than when the datagram was written.
        """
        peer_sends = self._peer_sends.setdefault(peer, {})
        for row in rows:
            per_second = None if row.per_second < 0 else row.per_second
            if per_second is not None or row.key in self._known_limits:
                self._update_limit(row.key, KnownLimit(per_second, written_at - row.age), peer)
            known = peer_sends.get(row.key)
            if known is None or known.at <= written_at:
                peer_sends[row.key] = _PeerSends(row.sends, written_at)

    def record_unreadable(self, endpoint_id: str, text: str) -> None:
        """Log an answer with an unreadable limit once per endpoint; no limit changes."""
        key = self._key_of(endpoint_id)
        if key in self._unreadable_keys:
            return
        self._unreadable_keys.add(key)
        logger.bind(endpoint=endpoint_id, text=text).warning(
            "cannot parse the rate limit in a replica's answer"
        )

    def _update_limit(self, key: int, known_limit: KnownLimit, source: str) -> None:
        before = self._known_limits.get(key)
        if before is not None and before.at >= known_limit.at:
            return
        self._known_limits[key] = known_limit
        if before is not None and before.per_second == known_limit.per_second:
            return
        now = self._clock.monotonic()
        self._limited_since[key] = now
        logger.bind(
            endpoint_key=key,
            source=source,
            per_second=known_limit.per_second,
            before=None if before is None else before.per_second,
            age=round(now - known_limit.at, 3),
            sent=self._recent_sends(key, WINDOW_SECONDS),
        ).info(
            "replica rate limit updated"
            if known_limit.per_second is not None
            else "replica rate limit withdrawn"
        )

    # Decisions.

    @property
    def any_limited(self) -> bool:
        """Whether any replica may have a limit; if none has, callers can skip all other checks."""
        return bool(self._known_limits)

    def limit(self, endpoint_id: str) -> float | None:
        """Return the limit of an endpoint in requests per second, None for no limit."""
        known_limit = self._known_limits.get(self._key_of(endpoint_id))
        return None if known_limit is None else known_limit.per_second

    def limits(self) -> dict[int, float]:
        """Return the current limits by the keys of their replicas."""
        found = self._known_limits.items()
        return {key: each.per_second for key, each in found if each.per_second is not None}

    def may_send(self, endpoint_id: str, estimate: FleetEstimate) -> bool:
        """Return whether a request may be sent to an endpoint now; call once per request."""
        key = self._key_of(endpoint_id)
        known_limit = self._known_limits.get(key)
        if known_limit is None or known_limit.per_second is None:
            return True
        rate = max(known_limit.per_second, MIN_PROBE_RATE)
        window = _window(known_limit.per_second)
        allowed = rate * window * estimate.part
        if allowed < 1.0:
            return self._is_due(key, rate * estimate.part)
        sends = self._recent_sends(key, window) + self._recent_peer_sends(key, window)
        free = allowed + ROUNDING_ALLOWANCE - sends
        claims = self._claims.setdefault(key, Claims(self._clock, self._rng))
        return claims.may_acquire(free, estimate.expected_arrivals, estimate.propagation_delay)

    def mean_interval(self, endpoint_ids: Iterable[str]) -> float:
        """Return the mean seconds between requests that endpoints accept from all entries.

        0 if one of them has no limit.
        """
        total = 0.0
        for each in endpoint_ids:
            limit = self.limit(each)
            if limit is None:
                return 0.0
            total += max(limit, MIN_PROBE_RATE)
        return 1.0 / total if total else 0.0

    def record_send(self, endpoint_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        key, now = self._key_of(endpoint_id), self._clock.monotonic()
        times = self._sends.setdefault(key, deque())
        times.append(now)
        oldest = now - max(SEND_HISTORY_SECONDS, self._window_of(key))
        while times[0] < oldest:
            times.popleft()

    def _is_due(self, key: int, rate: float) -> bool:
        """Return whether this entry's own share of a limit has accrued to one request.

        Used when this entry receives updates from few entries, so the others' sends are unknown: it
        uses only an even share, and sends nothing immediately when it learns of the limit.
        """
        times = self._sends.get(key)
        last = max(self._limited_since.get(key, 0.0), times[-1] if times else float("-inf"))
        return self._clock.monotonic() - last >= 1.0 / rate

    def _window_of(self, key: int) -> float:
        known_limit = self._known_limits.get(key)
        if known_limit is None or known_limit.per_second is None:
            return 0.0
        return _window(known_limit.per_second)

    def _recent_sends(self, key: int, window: float) -> int:
        oldest = self._clock.monotonic() - window
        return sum(1 for each in self._sends.get(key, ()) if each >= oldest)

    def _recent_peer_sends(self, key: int, window: float) -> int:
        """Return the requests sent by peers, including those that have since fallen silent."""
        oldest = self._clock.monotonic() - window
        found = (peer_sends.get(key) for peer_sends in self._peer_sends.values())
        return sum(each.sends for each in found if each is not None and each.at >= oldest)

    # Announcements.

    def rows(self, peers: Iterable[str] = ()) -> list[RateRow]:
        """Return rows with the total sends of this entry and the given peers."""
        return self._rows([self._peer_sends[each] for each in peers if each in self._peer_sends])

    def rows_without(self, peer: str) -> list[RateRow]:
        """Return rows with all sends except those of one peer."""
        return self._rows(
            [peer_sends for each, peer_sends in self._peer_sends.items() if each != peer]
        )

    def _rows(self, peer_sends_list: list[dict[int, _PeerSends]]) -> list[RateRow]:
        now = self._clock.monotonic()
        found = sorted(self._known_limits.items(), key=lambda each: -each[1].at)[:MAX_ROWS]
        return [self._row(key, known_limit, peer_sends_list, now) for key, known_limit in found]

    def _row(
        self,
        key: int,
        known_limit: KnownLimit,
        peer_sends_list: list[dict[int, _PeerSends]],
        now: float,
    ) -> RateRow:
        limit = known_limit.per_second
        window = WINDOW_SECONDS if limit is None else _window(limit)
        theirs = (peer_sends.get(key) for peer_sends in peer_sends_list)
        sends = sum(each.sends for each in theirs if each is not None and each.at >= now - window)
        return RateRow(
            key=key,
            per_second=NO_LIMIT if limit is None else limit,
            age=max(0.0, now - known_limit.at),
            sends=self._recent_sends(key, window) + sends,
        )

    def forget(self, endpoint_ids: Iterable[str]) -> None:
        """Drop the state of replicas that are no longer published, and expired state."""
        now = self._clock.monotonic()
        kept = {self._key_of(each) for each in endpoint_ids}
        ended = [
            key
            for key, each in self._known_limits.items()
            if key not in kept
            or (each.per_second is None and now - each.at > WITHDRAWN_LIMIT_SECONDS)
        ]
        for key in ended:
            del self._known_limits[key]
            self._claims.pop(key, None)
            self._limited_since.pop(key, None)
        self._unreadable_keys &= kept
        for key in [each for each in self._sends if each not in kept]:
            del self._sends[key]
        longest = max(map(self._window_of, self._known_limits), default=0.0)
        for peer, peer_sends in list(self._peer_sends.items()):
            fresh = {key: each for key, each in peer_sends.items() if now - each.at <= longest}
            if fresh:
                self._peer_sends[peer] = fresh
            else:
                del self._peer_sends[peer]


def _window(per_second: float) -> float:
    """Return the counting window in seconds, long enough for at least one request."""
    return max(WINDOW_SECONDS, 1.0 / max(per_second, MIN_PROBE_RATE))
