"""What callers' requests have shown of each endpoint: failures, silence and slowness.

Health checks are not asked: they can be good while requests fail, and the reverse.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from carawayhub.clock import Clock

ERROR_HALF_LIFE = 2.0
"""Seconds after which a failure counts half. Faults of endpoints last some seconds."""

ERROR_WEIGHT = 0.3
"""Weight of one answer in the share of failures."""

FIRST_BREAK = 0.5
LAST_BREAK = 4.0
"""Seconds for which an endpoint that could not be reached gets nothing, at first and at the most.
The first is short enough that a restarted endpoint is used again at once."""

TIME_WEIGHT = 0.2
"""Weight of one answer in the mean time of answers."""

LEAST_FACTOR = 0.5
MOST_FACTOR = 8.0
"""Bounds of the slowness that one endpoint is held to have against the others."""


REFUSING_SECONDS = 0.35
"""Seconds for which an engine that refused a request gets none. The ranks of a group that forms
anew after a crash refuse all alike for 0.6 s or more, and being empty each would get the next."""

HEARD_REFUSING_SECONDS = 0.2
"""The same for an engine that refused a request of a peer, from each time that the peer says so."""


@dataclass(slots=True)
class _Record:
    errors: float = 0.0
    errors_at: float = 0.0
    seconds: float = 0.0
    avoided_until: float = field(default=-math.inf)
    pause: float = FIRST_BREAK
    refusing_until: float = field(default=-math.inf)
    refused_here_until: float = field(default=-math.inf)


class Health:
    """The record of each endpoint.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_records", "_shut_until")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._shut_until = -math.inf

    def answered(self, endpoint_id: str, seconds: float, *, ok: bool) -> None:
        """Note an answer, good or not, and the time to it."""
        record = self._record(endpoint_id)
        now = self._clock.monotonic()
        share = self._errors(record, now)
        record.errors = share + ERROR_WEIGHT * ((0.0 if ok else 1.0) - share)
        record.errors_at = now
        if not ok:
            return
        record.pause = FIRST_BREAK
        record.avoided_until = -math.inf
        record.refusing_until = record.refused_here_until = -math.inf
        weight = TIME_WEIGHT if record.seconds else 1.0
        record.seconds += weight * (seconds - record.seconds)

    def unreachable(self, endpoint_id: str) -> None:
        """Note that an endpoint could not be reached or went silent, and avoid it for a while."""
        record = self._record(endpoint_id)
        now = self._clock.monotonic()
        record.avoided_until = now + record.pause
        self._shut_until = max(self._shut_until, record.avoided_until)
        record.pause = min(record.pause * 2, LAST_BREAK)

    def refused(self, endpoint_id: str) -> None:
        """Note that an endpoint refused a request of this entry without running it."""
        record = self._record(endpoint_id)
        record.refused_here_until = self._clock.monotonic() + REFUSING_SECONDS
        record.refusing_until = max(record.refusing_until, record.refused_here_until)
        self._shut_until = max(self._shut_until, record.refusing_until)

    def heard_refusing(self, endpoint_ids: Iterable[str]) -> None:
        """Note which endpoints refuse requests of a peer."""
        until = self._clock.monotonic() + HEARD_REFUSING_SECONDS
        for each in endpoint_ids:
            record = self._record(each)
            record.refusing_until = max(record.refusing_until, until)
        self._shut_until = max(self._shut_until, until)

    def take_again(self, endpoint_ids: Iterable[str]) -> None:
        """Forget that endpoints refused requests."""
        for each in endpoint_ids:
            record = self._record(each)
            record.refusing_until = record.refused_here_until = -math.inf

    def refused_here(self) -> list[str]:
        """Return the endpoints that have just refused requests of this entry."""
        now = self._clock.monotonic()
        return [name for name, each in self._records.items() if each.refused_here_until > now]

    def all_open(self) -> bool:
        """Return whether no endpoint refuses or is avoided, so that none need be asked for."""
        return self._clock.monotonic() >= self._shut_until

    def refusing(self, endpoint_id: str) -> bool:
        """Return whether an endpoint has just refused a request."""
        record = self._records.get(endpoint_id)
        return record is not None and record.refusing_until > self._clock.monotonic()

    def avoided(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is to get nothing now."""
        record = self._records.get(endpoint_id)
        return record is not None and record.avoided_until > self._clock.monotonic()

    def errors(self, endpoint_id: str) -> float:
        """Return the recent share of failures, 0 to 1."""
        record = self._records.get(endpoint_id)
        return 0.0 if record is None else self._errors(record, self._clock.monotonic())

    def seconds(self, endpoint_id: str) -> float:
        """Return the mean time of answers, 0 where none came yet."""
        record = self._records.get(endpoint_id)
        return 0.0 if record is None else record.seconds

    def forget(self, keep: frozenset[str]) -> None:
        """Drop the records of endpoints that are not in ``keep``."""
        self._records = {name: each for name, each in self._records.items() if name in keep}

    def _record(self, endpoint_id: str) -> _Record:
        return self._records.setdefault(endpoint_id, _Record())

    def _errors(self, record: _Record, now: float) -> float:
        return record.errors * 0.5 ** ((now - record.errors_at) / ERROR_HALF_LIFE)
