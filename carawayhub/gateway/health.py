"""Failures, silence and slowness of each endpoint, as observed by callers' requests.

Health checks are not used: they can succeed while requests fail, and the reverse.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from loguru import logger

from carawayhub.clock import Clock

ERROR_HALF_LIFE_SECONDS = 2.0
"""Half-life of the weight of a failure. Faults of endpoints last some seconds."""

ERROR_WEIGHT = 0.3
"""Weight of one answer in the moving average of failures."""

MIN_AVOID_SECONDS = 0.5
MAX_AVOID_SECONDS = 4.0
"""Initial and maximum time for which an endpoint that could not be reached is avoided. The initial
time is short enough that a restarted endpoint is used again at once."""

ANSWER_TIME_WEIGHT = 0.2
"""Weight of one answer in the moving average of answer times."""

MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 8.0
"""Bounds on the ratio of an endpoint's answer time to the median."""

REFUSING_SECONDS = 0.35
"""Time for which an engine that refused a request gets none. After a crash, all ranks of a group
refuse requests for 0.6 s or more while the group forms, and as empty ranks they would be selected
for each next request."""

PEER_REFUSING_SECONDS = 0.2
"""The same for an engine that refused a request of a peer, from each message that reports it."""

SLOW_SECONDS = 0.8
"""Time for which a rank that an agent reports as slow gets no requests, from each report: three
intervals between reports."""

PEER_SLOW_SECONDS = 1.0
"""The same for a rank that an agent reported to a peer, from each message that lists it."""

PEER_BACKOFF_SECONDS = 1.0
"""Time for which an endpoint that requested a backoff of a peer counts as loaded, from each message
that lists it."""


@dataclass(slots=True)
class _Record:
    errors: float = 0.0
    errors_at: float = 0.0
    seconds: float = 0.0
    avoided_until: float = field(default=-math.inf)
    backoff: float = MIN_AVOID_SECONDS
    refusing_until: float = field(default=-math.inf)
    refused_locally_until: float = field(default=-math.inf)
    slow_until: float = field(default=-math.inf)
    reported_slow_until: float = field(default=-math.inf)
    backs_off_peer_until: float = field(default=-math.inf)


class Health:
    """Health record of each endpoint.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_blocked_until", "_clock", "_records", "on_unreachable")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._blocked_until = -math.inf
        self.on_unreachable: Callable[[str], None] = _ignore_endpoint

    def answered(self, endpoint_id: str, seconds: float, *, ok: bool) -> None:
        """Record an answer, whether it is a success, and the time to it."""
        record = self._record(endpoint_id)
        now = self._clock.monotonic()
        share = self._errors(record, now)
        record.errors = share + ERROR_WEIGHT * ((0.0 if ok else 1.0) - share)
        record.errors_at = now
        if not ok:
            return
        record.backoff = MIN_AVOID_SECONDS
        record.avoided_until = -math.inf
        record.refusing_until = record.refused_locally_until = -math.inf
        weight = ANSWER_TIME_WEIGHT if record.seconds else 1.0
        record.seconds += weight * (seconds - record.seconds)

    def unreachable(self, endpoint_id: str) -> None:
        """Avoid an endpoint that could not be reached or went silent, with exponential backoff."""
        record = self._record(endpoint_id)
        now = self._clock.monotonic()
        record.avoided_until = now + record.backoff
        self._blocked_until = max(self._blocked_until, record.avoided_until)
        record.backoff = min(record.backoff * 2, MAX_AVOID_SECONDS)
        self.on_unreachable(endpoint_id)

    def refused(self, endpoint_id: str) -> None:
        """Record that an endpoint refused a request of this entry without running it."""
        record = self._record(endpoint_id)
        record.refused_locally_until = self._clock.monotonic() + REFUSING_SECONDS
        record.refusing_until = max(record.refusing_until, record.refused_locally_until)
        self._blocked_until = max(self._blocked_until, record.refusing_until)

    def peer_refused(self, endpoint_ids: Iterable[str]) -> None:
        """Record endpoints that refuse requests of a peer."""
        until = self._clock.monotonic() + PEER_REFUSING_SECONDS
        for each in endpoint_ids:
            record = self._record(each)
            record.refusing_until = max(record.refusing_until, until)
        self._blocked_until = max(self._blocked_until, until)

    def clear_refusals(self, endpoint_ids: Iterable[str]) -> None:
        """Discard the recorded refusals of endpoints."""
        for each in endpoint_ids:
            record = self._record(each)
            record.refusing_until = record.refused_locally_until = -math.inf

    def refused_locally(self) -> list[str]:
        """Return the endpoints that recently refused requests of this entry."""
        now = self._clock.monotonic()
        return [name for name, each in self._records.items() if each.refused_locally_until > now]

    def report_slow(self, endpoint_ids: Iterable[str]) -> None:
        """Record ranks that their agent reports as slow."""
        until = self._clock.monotonic() + SLOW_SECONDS
        for each in endpoint_ids:
            if not self.slow(each):
                logger.bind(endpoint=each).info("slow rank is avoided")
            record = self._record(each)
            record.reported_slow_until = until
            record.slow_until = max(record.slow_until, until)
        self._blocked_until = max(self._blocked_until, until)

    def peer_reported_slow(self, endpoint_ids: Iterable[str]) -> None:
        """Record ranks that their agent reported to a peer as slow."""
        until = self._clock.monotonic() + PEER_SLOW_SECONDS
        for each in endpoint_ids:
            record = self._record(each)
            record.slow_until = max(record.slow_until, until)
        self._blocked_until = max(self._blocked_until, until)

    def reported_slow(self) -> list[str]:
        """Return the ranks that their agent recently reported to this entry as slow."""
        now = self._clock.monotonic()
        return [name for name, each in self._records.items() if each.reported_slow_until > now]

    def slow(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is a rank that slows down its group."""
        record = self._records.get(endpoint_id)
        return record is not None and record.slow_until > self._clock.monotonic()

    def peer_backing_off(self, endpoint_ids: Iterable[str]) -> None:
        """Record endpoints that requested a backoff of a peer."""
        until = self._clock.monotonic() + PEER_BACKOFF_SECONDS
        for each in endpoint_ids:
            self._record(each).backs_off_peer_until = until

    def backs_off_peer(self, endpoint_id: str) -> bool:
        """Return whether an endpoint recently requested a backoff of a peer."""
        record = self._records.get(endpoint_id)
        if record is None or math.isinf(record.backs_off_peer_until):
            return False
        return record.backs_off_peer_until > self._clock.monotonic()

    def all_available(self) -> bool:
        """Return whether no endpoint refuses, is avoided or is slow, so none need be checked."""
        return self._clock.monotonic() >= self._blocked_until

    def refusing(self, endpoint_id: str) -> bool:
        """Return whether an endpoint recently refused a request."""
        record = self._records.get(endpoint_id)
        return record is not None and record.refusing_until > self._clock.monotonic()

    def avoided(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is avoided after a failed connection or silence."""
        record = self._records.get(endpoint_id)
        return record is not None and record.avoided_until > self._clock.monotonic()

    def errors(self, endpoint_id: str) -> float:
        """Return the recent share of failures, 0 to 1."""
        record = self._records.get(endpoint_id)
        return 0.0 if record is None else self._errors(record, self._clock.monotonic())

    def seconds(self, endpoint_id: str) -> float:
        """Return the mean answer time, 0 if there was no answer yet."""
        record = self._records.get(endpoint_id)
        return 0.0 if record is None else record.seconds

    def retain(self, keep: frozenset[str]) -> None:
        """Drop the records of endpoints that are not in ``keep``."""
        self._records = {name: each for name, each in self._records.items() if name in keep}

    def _record(self, endpoint_id: str) -> _Record:
        return self._records.setdefault(endpoint_id, _Record())

    def _errors(self, record: _Record, now: float) -> float:
        return record.errors * 0.5 ** ((now - record.errors_at) / ERROR_HALF_LIFE_SECONDS)


def _ignore_endpoint(endpoint_id: str) -> None:
    return
