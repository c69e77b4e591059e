"""What is known of one trait of requests: the endpoints that ended under it, and its answers."""

import math
from dataclasses import dataclass, field, replace

import msgspec

from carawayhub.limits.fingerprint import FINGERPRINT_BYTES, PART_FINGERPRINT_BYTES
from carawayhub.wirenumbers import MAX_COUNT

MAX_ENDS = 16
"""Maximum number of ends recorded per trait; more would change no decision."""

END_DEDUPLICATION_SECONDS = 1.0
"""Time within which reports about an endpoint count as one end: entries detect and announce it
within tenths of a second, and a process takes longer than this to restart and accept requests."""

SURVIVAL_EVENTS = 2
"""Events by which an answer must have outlasted the shortest run before an end: the last events
before an end may not have been received."""

LIFETIME_KEY_BOUND = 2**32
"""Exclusive upper bound of the keys that identify endpoints' lifetimes."""

MS_PER_SECOND = 1000.0


class EndsRow(msgspec.Struct, array_like=True, frozen=True):
    """A record as it is announced to peers.

    Attributes:
        fingerprint: Identifies the trait.
        series: Number of answers that cleared it.
        ends: Keys of the endpoints that ended while running it since then.
        age: Seconds between the record's last change and the writing of the row.
        end_ages: Milliseconds between each end and the writing of the row; empty if unknown.
        end_events: Most events that a request with the trait got before each end; empty if unknown.
        answered: Whether a complete answer is known, from before or after these ends.
    """

    fingerprint: bytes
    series: int
    ends: list[int]
    age: float
    end_ages: list[int] = []
    end_events: list[int] = []
    answered: bool = False


@dataclass(frozen=True, slots=True)
class End:
    """One end of an endpoint under requests with a trait.

    Attributes:
        at: When it was.
        events: Most events that one of these requests got before it.
    """

    at: float
    events: int = 0

    def merged(self, other: "End | None") -> "End":
        """Return what two entries know of the same end."""
        if other is None:
            return self
        return End(min(self.at, other.at), max(self.events, other.events))


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of a trait.

    Attributes:
        series: Number of answers that cleared it.
        ends: The ends since then, by the key of the endpoint's lifetime.
        answered: Whether a complete answer is known, from before or after these ends.
    """

    series: int = 0
    ends: dict[int, End] = field(default_factory=dict)
    answered: bool = False

    def with_end(self, endpoint: int, now: float, events: int) -> "Evidence":
        """Return the evidence with an end added, or with more events before a known one."""
        known = self.ends.get(endpoint)
        while known is not None and now - known.at > END_DEDUPLICATION_SECONDS:
            # The endpoint restarted under the same id and does not report its start time.
            endpoint = (endpoint + 1) % LIFETIME_KEY_BOUND
            known = self.ends.get(endpoint)
        if known is None and len(self.ends) >= MAX_ENDS:
            return self
        return replace(self, ends=self.ends | {endpoint: End(now, events).merged(known)})

    def cleared(self, *, answered: bool) -> "Evidence":
        """Return the evidence after an answer that speaks for the trait."""
        return Evidence(self.series + 1, answered=self.answered or answered)

    def merged(self, other: "Evidence") -> "Evidence":
        """Return the evidence of two entries."""
        answered = self.answered or other.answered
        if other.series != self.series:
            later = max(self, other, key=lambda each: each.series)
            return replace(later, answered=answered)
        ends = dict(other.ends)
        for key, end in self.ends.items():
            ends[key] = end.merged(ends.get(key))
        kept = sorted(ends)[:MAX_ENDS]
        return Evidence(self.series, {key: ends[key] for key in kept}, answered)

    def differs(self, other: "Evidence") -> bool:
        """Return whether it says something else; times alone depend on the path of a row."""
        return self._key() != other._key()

    def is_outlasted_by(self, events: int) -> bool:
        """Return whether a request with so many events went on after the point of an end."""
        if not self.ends:
            return False
        return events >= min(each.events for each in self.ends.values()) + SURVIVAL_EVENTS

    def row(self, trait: bytes, age: float, now: float) -> EndsRow:
        """Return the row that tells a peer of it."""
        keys = sorted(self.ends)
        return EndsRow(
            fingerprint=trait,
            series=self.series,
            ends=keys,
            age=age,
            end_ages=[max(0, round((now - self.ends[key].at) * MS_PER_SECOND)) for key in keys],
            end_events=[self.ends[key].events for key in keys],
            answered=self.answered,
        )

    def _key(self) -> tuple[int, dict[int, int], bool]:
        return self.series, {key: end.events for key, end in self.ends.items()}, self.answered


def read_row(row: EndsRow, now: float) -> Evidence:
    """Return the evidence in a row; ends without an age were at the last change of the record."""
    ages = [each / MS_PER_SECOND for each in row.end_ages] or [row.age] * len(row.ends)
    events = row.end_events or [0] * len(row.ends)
    ends = {
        key: End(now - age, count) for key, age, count in zip(row.ends, ages, events, strict=True)
    }
    return Evidence(row.series, ends, row.answered)


def is_valid(row: EndsRow) -> bool:
    """Return whether a row of a peer makes sense."""
    return (
        len(row.fingerprint) in (FINGERPRINT_BYTES, PART_FINGERPRINT_BYTES)
        and 0 <= row.series <= MAX_COUNT
        and len(row.ends) <= MAX_ENDS
        and all(len(each) in (0, len(row.ends)) for each in (row.end_ages, row.end_events))
        and all(0 <= each <= MAX_COUNT for each in (*row.end_ages, *row.end_events))
        and math.isfinite(row.age)
        and row.age >= 0.0
    )
