"""Counts requests by priority and organisation at all entries, and exchanges them as rows.

Each entry counts its own requests exactly and receives the sums of its peers with their gossip. A
row replaces the one before, so a lost datagram needs no repetition. The time of an update depends
on the rows of one datagram; reading a sum doesn't depend on the number of entries.
"""

import zlib
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import lru_cache

import msgspec

from carawayhub.clock import Clock
from carawayhub.wirenumbers import Sum

ARRIVAL_WINDOW_SECONDS = 1.0
"""Time over which arrivals are counted: long enough for some requests of each priority, and short
enough to follow a burst of three seconds."""

ROW_TTL_SECONDS = 1.0
"""Age beyond which the rows of a peer no longer count. Slots are held for one or two seconds, so
older counts describe other requests."""

MAX_PRIORITY_ROWS = 48
"""Rows of priorities in one datagram: three priorities of 16 services. Beyond that, those with the
most requests are kept."""

MAX_ORGANISATION_ROWS = 16
"""Rows of organisations in one datagram. Organisations with fewer requests than these are below
an even share, for which the rows aren't needed."""

MAX_ROW_BYTES = 28
"""Largest encoded row: a byte for its length, two hashes of five, a priority of two and three
counts of five."""

ALL = 0
"""Stands for all organisations together in place of the hash of one."""

RowKey = tuple[int, int]
"""Priority and hash of an organisation, or ``ALL``."""


class SlotRow(msgspec.Struct, array_like=True, frozen=True):
    """Requests of one service, priority and organisation.

    Attributes:
        service: Hash of the service.
        priority: Priority, 0 is the most urgent.
        organisation: Hash of the organisation, ``ALL`` for the sum over all requests.
        arrived: First attempts that arrived within the last second.
        waiting: First attempts that wait for a slot.
        in_flight: Requests that hold a slot.
    """

    service: Sum
    priority: Sum
    organisation: Sum
    arrived: Sum
    waiting: Sum
    in_flight: Sum


@dataclass(slots=True)
class Demand:
    """Requests that are counted together.

    Attributes:
        arrived: First attempts that arrived within the last second.
        waiting: First attempts that wait for a slot.
        in_flight: Requests that hold a slot.
    """

    arrived: int = 0
    waiting: int = 0
    in_flight: int = 0

    def add(self, arrived: int, waiting: int, in_flight: int) -> None:
        """Add to the counts; arguments may be negative."""
        self.arrived += arrived
        self.waiting += waiting
        self.in_flight += in_flight

    def empty(self) -> bool:
        """Return whether nothing is counted."""
        return not (self.arrived or self.waiting or self.in_flight)


Demands = dict[int, dict[RowKey, Demand]]
"""Counts by hash of the service, priority and organisation."""

NO_DEMANDS: Mapping[RowKey, Demand] = {}


@lru_cache(maxsize=4_096)
def row_hash(name: str) -> int:
    """Return the hash of a service or organisation in rows, never ``ALL``."""
    return zlib.crc32(name.encode()) or 1


class SlotCounts:
    """Requests by service, priority and organisation, here and at peers.

    Args:
        clock: Source of time.

    Attributes:
        ordered: Hashes of the services whose priorities are announced.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_listed_total",
        "_own",
        "_peers",
        "_received_at",
        "_total",
        "ordered",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: Demands = {}
        self._total: Demands = {}
        self._peers: dict[str, tuple[SlotRow, ...]] = {}
        self._received_at: dict[str, float] = {}
        self._arrivals: deque[tuple[float, int, int, int]] = deque()
        self._listed_total: list[SlotRow] | None = None
        self.ordered: set[int] = set()

    def record_arrival(self, service: int, priority: int, organisation: int) -> None:
        """Count a first attempt that arrived at this entry."""
        self._arrivals.append((self._clock.monotonic(), service, priority, organisation))
        self._count(service, priority, organisation, 1, 0, 0)

    def add_waiting(self, service: int, priority: int, organisation: int, sign: int) -> None:
        """Add a waiting request of this entry, or remove it if ``sign`` is -1."""
        self._count(service, priority, organisation, 0, sign, 0)

    def add_in_flight(self, service: int, priority: int, organisation: int, sign: int) -> None:
        """Add a request of this entry that holds a slot, or remove it if ``sign`` is -1."""
        self._count(service, priority, organisation, 0, 0, sign)

    def demands(self, service: int) -> Mapping[RowKey, Demand]:
        """Return the known requests of a service at all entries."""
        self._expire()
        return self._total.get(service, NO_DEMANDS)

    def oldest_age(self) -> float:
        """Return the age in seconds of the oldest rows that count, 0 if no peer sent any."""
        self._expire()
        oldest = next(iter(self._received_at.values()), None)
        return 0.0 if oldest is None else self._clock.monotonic() - oldest

    def rows(self) -> list[SlotRow]:
        """Return the rows of this entry."""
        self._expire()
        return self._listed(self._announced())

    def rows_of(self, reporters: Iterable[str]) -> list[SlotRow]:
        """Return the rows of this entry and some reporters together."""
        self._expire()
        found = self._announced()
        for reporter in reporters:
            _apply(found, self._peers.get(reporter, ()), 1)
        return self._listed(found)

    def rows_without(self, reporter: str) -> list[SlotRow]:
        """Return all known rows except those of one reporter."""
        self._expire()
        if self._listed_total is None:
            self._listed_total = self._listed(self._announced(self._total))
        peer = {
            (row.service, row.priority, row.organisation): row
            for row in self._peers.get(reporter, ())
        }
        return [_subtract(row, peer) for row in self._listed_total]

    def receive_rows(self, reporter: str, rows: Iterable[SlotRow]) -> None:
        """Replace the rows that a reporter sent before."""
        self.forget(reporter)
        listed = tuple(rows)
        if not listed:
            return
        self._listed_total = None
        _apply(self._total, listed, 1)
        self._peers[reporter] = listed
        self._received_at[reporter] = self._clock.monotonic()

    def forget(self, reporter: str) -> None:
        """Drop the rows of a reporter."""
        self._listed_total = None
        _apply(self._total, self._peers.pop(reporter, ()), -1)
        self._received_at.pop(reporter, None)

    def _count(
        self,
        service: int,
        priority: int,
        organisation: int,
        arrived: int,
        waiting: int,
        in_flight: int,
    ) -> None:
        row = SlotRow(service, priority, ALL, arrived, waiting, in_flight)
        rows = [row]
        if organisation != ALL:
            rows.append(SlotRow(service, priority, organisation, arrived, waiting, in_flight))
        self._listed_total = None
        _apply(self._own, rows, 1)
        _apply(self._total, rows, 1)

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._arrivals and now - self._arrivals[0][0] > ARRIVAL_WINDOW_SECONDS:
            _, service, priority, organisation = self._arrivals.popleft()
            self._count(service, priority, organisation, -1, 0, 0)
        while self._received_at:
            reporter, received_at = next(iter(self._received_at.items()))
            if now - received_at <= ROW_TTL_SECONDS:
                return
            self.forget(reporter)

    def _announced(self, demands: Demands | None = None) -> Demands:
        """Return a copy of some demands without own requests that aren't announced.

        Args:
            demands: Demands that contain those of this entry, None for just these.
        """
        found = _copy(self._own if demands is None else demands)
        for service, by_key in self._own.items():
            if service in self.ordered:
                continue
            for (priority, organisation), each in by_key.items():
                if organisation == ALL:
                    row = SlotRow(
                        service, priority, ALL, each.arrived, each.waiting, each.in_flight
                    )
                    _apply(found, (row,), -1)
        return found

    def _listed(self, demands: Demands) -> list[SlotRow]:
        """Return the rows of some demands, within the limits of one datagram."""
        priorities: list[SlotRow] = []
        organisations: list[SlotRow] = []
        for service, by_key in demands.items():
            contended = self._has_waiting(service)
            for (priority, organisation), each in by_key.items():
                row = SlotRow(
                    service,
                    priority,
                    organisation,
                    max(0, each.arrived),
                    max(0, each.waiting),
                    max(0, each.in_flight),
                )
                if organisation == ALL:
                    priorities.append(row)
                elif organisation != ALL and contended and (row.waiting or row.in_flight):
                    organisations.append(row)
        return _most(priorities, MAX_PRIORITY_ROWS) + _most(organisations, MAX_ORGANISATION_ROWS)

    def _has_waiting(self, service: int) -> bool:
        """Return whether a request of some organisation waits at any known entry.

        Rows of organisations cost nothing as long as none waits.
        """
        return any(
            each.waiting > 0
            for key, each in self._total.get(service, NO_DEMANDS).items()
            if key[1] != ALL
        )


def _most(rows: list[SlotRow], count: int) -> list[SlotRow]:
    if len(rows) <= count:
        return rows
    return sorted(rows, key=lambda row: -(row.waiting + row.in_flight + row.arrived))[:count]


def _subtract(row: SlotRow, peer: Mapping[tuple[int, int, int], SlotRow]) -> SlotRow:
    """Return a row of all entries without the part of one peer."""
    known = peer.get((row.service, row.priority, row.organisation))
    if known is None:
        return row
    return SlotRow(
        row.service,
        row.priority,
        row.organisation,
        max(0, row.arrived - known.arrived),
        max(0, row.waiting - known.waiting),
        max(0, row.in_flight - known.in_flight),
    )


def _copy(demands: Demands) -> Demands:
    return {
        service: {
            key: Demand(each.arrived, each.waiting, each.in_flight) for key, each in by_key.items()
        }
        for service, by_key in demands.items()
    }


def _apply(demands: Demands, rows: Iterable[SlotRow], sign: int) -> None:
    for row in rows:
        by_key = demands.setdefault(row.service, {})
        key = row.priority, row.organisation
        found = by_key.setdefault(key, Demand())
        found.add(sign * row.arrived, sign * row.waiting, sign * row.in_flight)
        if found.empty():
            del by_key[key]
        if not by_key:
            del demands[row.service]
