"""Order of one service's requests: which free slots a request may compete for.

Priorities are ordered where the configuration gives a service's requests different ones, and slots
are shared among organisations where more than one waits.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.model import Repeat, RouteTable
from carawayhub.limits.slotorder import SlotOrder, part_up_to, reserved_slots
from carawayhub.limits.slotrows import ALL, SlotCounts, row_hash
from carawayhub.limits.slotshares import (
    above_share,
    shares,
    slots_left_to_others,
    waiting_organisations,
)

LOG_INTERVAL_SECONDS = 0.1
"""Time between two lines about requests that were held back. At a burst there are a hundred such
requests a second; ten lines state the counts, the others are only counted."""

SHARING_CHECK_SECONDS = 0.02
"""Time for which a division among organisations is kept: a fifth of the time between two datagrams.
Each passes over all known organisations, which would otherwise happen for each waiting request at
each datagram."""

ROUTE_PRIORITIES = 10
"""Number of priorities that routes may have; the lowest one stands for all below it."""

MAX_STATUS_ORGANISATIONS = 8
"""Organisations on the metrics page, those with the most slots."""


HOLD_TIME_GAIN = 0.05
"""Weight of one request in the mean time for which a slot is held, about three seconds of one
entry."""


@dataclass(frozen=True, slots=True)
class Holding:
    """A slot in use.

    Attributes:
        rank: Rank under which the request is counted.
        organisation: Hash under which it is counted.
        began_at: Time since which the slot is in use.
    """

    rank: int
    organisation: int
    began_at: float


@dataclass(frozen=True, slots=True)
class OrderStatus:
    """Requests of a service by priority and organisation.

    Attributes:
        waiting: First attempts that wait at all known entries.
        in_flight: Requests that hold a slot, of all known entries.
        held_back: Requests of this entry that waited while slots were free.
        held_back_shares: Those of them that were held back by the share of their organisation.
        shares: Slots that the largest organisations may use, by name.
        uses: Slots that they use, by name.
    """

    waiting: Mapping[int, int] = field(default_factory=dict)
    in_flight: Mapping[int, int] = field(default_factory=dict)
    held_back: Mapping[int, int] = field(default_factory=dict)
    held_back_shares: int = 0
    shares: Mapping[str, float] = field(default_factory=dict)
    uses: Mapping[str, int] = field(default_factory=dict)


class ServiceOrder:
    """Order of the requests of one service, and the counts that it follows from.

    Args:
        service: Name of the service.
        clock: Source of time.
        counts: Requests by priority and organisation, here and at peers.
        table: Returns the configuration in force.
        propagation_delay: Returns the seconds after which entries know of each other's choices.
        fair_shares: See ``GatewayOptions``.

    Attributes:
        decision: Decides which free slots a priority may compete for.
        held_back: Requests of this entry that waited while slots were free, by priority.
        held_back_shares: Requests that waited because of the share of their organisation.
    """

    __slots__ = (
        "_active",
        "_active_from",
        "_clock",
        "_counts",
        "_delay",
        "_fair_shares",
        "_hash",
        "_held",
        "_left_to_others",
        "_log_at",
        "_precedes",
        "_service",
        "_sharing",
        "_sharing_until",
        "_table",
        "_unlogged",
        "_waiting",
        "decision",
        "held_back",
        "held_back_shares",
    )

    def __init__(
        self,
        service: str,
        clock: Clock,
        counts: SlotCounts,
        table: Callable[[], RouteTable | None],
        propagation_delay: Callable[[], float],
        fair_shares: bool = False,
    ) -> None:
        self._fair_shares = fair_shares
        self._waiting: dict[int, tuple[int, int]] = {}
        self._service = service
        self._hash = row_hash(service)
        self._clock = clock
        self._counts = counts
        self._table = table
        self._delay = propagation_delay
        self._active = False
        self._active_from: RouteTable | None = None
        self._log_at = float("-inf")
        self._unlogged = 0
        self.decision = SlotOrder()
        self.held_back: Counter[int] = Counter()
        self.held_back_shares = 0
        self._held = 0.0
        self._left_to_others: dict[tuple[int, int, int], float] = {}
        self._precedes: dict[tuple[int, int], frozenset[int]] = {}
        self._sharing = False
        self._sharing_until = float("-inf")

    def rank(self, call: Admitted) -> int:
        """Return the rank of a request, the lowest first.

        The priority of its organisation takes precedence; among equal ones that of the route
        decides. Where no order applies, it is the former alone.
        """
        if not self.active:
            return call.priority
        return call.priority * ROUTE_PRIORITIES + min(call.route.priority, ROUTE_PRIORITIES - 1)

    @property
    def active(self) -> bool:
        """Whether streams of the service have routes of different priorities."""
        table = self._table()
        if table is not self._active_from:
            self._active_from = table
            self._active = (
                table is not None
                and _has_engine(table, self._service)
                and len(priorities(table, self._service)) > 1
            )
            if self._active:
                self._counts.ordered.add(self._hash)
            else:
                self._counts.ordered.discard(self._hash)
        return self._active

    @property
    def sharing(self) -> bool:
        """Whether several organisations wait for the service, as far as this entry knows."""
        self._refresh()
        return self._sharing

    def _refresh(self) -> None:
        if not self._fair_shares:
            return
        now = self._clock.monotonic()
        if now < self._sharing_until:
            return
        self._sharing_until = now + SHARING_CHECK_SECONDS
        self._sharing = (
            _has_engine(self._table(), self._service)
            and waiting_organisations(self._counts.demands(self._hash)) > 1
        )
        self._left_to_others.clear()
        self._precedes.clear()

    def record_arrival(self, call: Admitted) -> None:
        """Count a request that has arrived; returned ones reserve no slots, as they are late."""
        if call.returned:
            return
        self._counts.record_arrival(self._hash, self.rank(call), self._counted_as(call))

    def join(self, call: Admitted) -> None:
        """Count a request that waits; returned ones reserve no slots, as they are late."""
        if call.returned:
            return
        key = self._waiting[id(call)] = self.rank(call), self._counted_as(call)
        self._counts.add_waiting(self._hash, *key, 1)

    def leave(self, call: Admitted) -> None:
        """Count a request that no longer waits."""
        key = self._waiting.pop(id(call), None)
        if key is not None:
            self._counts.add_waiting(self._hash, *key, -1)

    def begin(self, call: Admitted | None) -> Holding | None:
        """Count a request that has a slot; return what counts it."""
        if call is None:
            return None
        rank, organisation = self.rank(call), self._counted_as(call)
        self._counts.add_in_flight(self._hash, rank, organisation, 1)
        return Holding(rank, organisation, self._clock.monotonic())

    def _counted_as(self, call: Admitted) -> int:
        """Return the hash under which a request is counted, ``ALL`` where shares don't apply."""
        return organisation_hash(call) if self._fair_shares else ALL

    def record_acquisition(self, call: Admitted | None) -> None:
        """Record that a waiting or new request took a free slot."""
        if call is not None and self.active:
            self.decision.record_acquisition(self.rank(call))

    def record_end(self, holding: Holding | None) -> None:
        """Count a request that released its slot."""
        if holding is None:
            return
        seconds = self._clock.monotonic() - holding.began_at
        gain = HOLD_TIME_GAIN if self._held else 1.0
        self._held += gain * (seconds - self._held)
        self._counts.add_in_flight(self._hash, holding.rank, holding.organisation, -1)
        if self.active:
            demands = self._counts.demands(self._hash)
            self.decision.record_end(
                priority
                for (priority, organisation), each in demands.items()
                if organisation == ALL and (each.arrived > 0 or each.waiting > 0)
            )

    def entitled(self, call: Admitted) -> bool:
        """Return whether a request may wait since the minimum gives it one of the next slots."""
        return self.active and not call.returned and self.decision.is_due(self.rank(call))

    def free_for(self, call: Admitted, free: float) -> float:
        """Return the free slots for which a request competes."""
        left = self._free_for_priority(call, free)
        if call.organisation is None or not self.sharing:
            return left
        key = self.rank(call), organisation_hash(call), int(left)
        others = self._left_to_others.get(key)
        if others is None:
            demands = self._counts.demands(self._hash)
            others = self._left_to_others[key] = slots_left_to_others(
                self.rank(call), key[1], left, demands, self._held, self._delay()
            )
        return left - others

    def _free_for_priority(self, call: Admitted, free: float) -> float:
        if not self.active:
            return free
        demands = self._counts.demands(self._hash)
        return self.decision.free_for(self.rank(call), free, demands, self._delay())

    def precedes(self, call: Admitted) -> frozenset[int]:
        """Return the organisations whose waiting requests are served after a request."""
        if not self._fair_shares or call.organisation is None or call.returned:
            return frozenset()
        if not _has_engine(self._table(), self._service):
            return frozenset()
        self._refresh()
        key = self.rank(call), organisation_hash(call)
        found = self._precedes.get(key)
        if found is None:
            demands = self._counts.demands(self._hash)
            found = self._precedes[key] = above_share(*key, demands, self._held)
        return found

    def competing(self, call: Admitted, expected: float) -> float:
        """Return how many of the expected arrivals compete with a request for free slots.

        Slots for more urgent requests are reserved already. A request that was refused before is
        late in any case and competes with all.
        """
        if call.returned:
            return expected
        rank = self.rank(call)
        if self.active:
            expected *= part_up_to(rank, self._counts.demands(self._hash))
        if not self.sharing:
            return expected
        preceded = self.precedes(call)
        arrived = yielding = 0
        for (priority, organisation), each in self._counts.demands(self._hash).items():
            if priority == rank and organisation != ALL:
                arrived += each.arrived
                yielding += each.arrived if organisation in preceded else 0
        return expected * (1.0 - yielding / max(1, arrived))

    def note_waiting(self, call: Admitted, free: int) -> None:
        """Count and log a request that waits though slots are free for others."""
        if free < 1 or not (self.active or self.sharing) or self.free_for(call, free) >= 1.0:
            return
        self.held_back[self.rank(call)] += 1
        self.held_back_shares += self._free_for_priority(call, free) >= 1.0
        now = self._clock.monotonic()
        if now < self._log_at + LOG_INTERVAL_SECONDS:
            self._unlogged += 1
            return
        self._log_at = now
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._service,
            free=free,
            unlogged=self._unlogged,
            **self.log_fields(call),
        ).info("request held back: free slots are left to other requests")
        self._unlogged = 0

    def log_expiry(self, call: Admitted, waited: float) -> None:
        """Log that a request is rejected after it waited for ``waited`` seconds."""
        if not self.active:
            return
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._service,
            waited=round(waited, 3),
            **self.log_fields(call),
        ).info("request rejected: no slot became free for its priority in time")

    def log_fields(self, call: Admitted) -> dict[str, object]:
        """Return what a log line states about the order of a request, nothing if it is off."""
        if not (self.active or self.sharing):
            return {}
        demands = self._counts.demands(self._hash)
        return {
            "priority": self.rank(call),
            "organisation": call.organisation.name if call.organisation is not None else "",
            "reserved": round(reserved_slots(self.rank(call), demands, self._delay()), 1),
            "rows": {
                priority: (each.arrived, each.waiting, each.in_flight)
                for (priority, organisation), each in sorted(demands.items())
                if organisation == ALL
            },
            "own_row": self._own_row(call),
            "rows_age": round(self._counts.oldest_age(), 3),
        }

    def _own_row(self, call: Admitted) -> tuple[int, int, int]:
        """Return the counts of a request's organisation."""
        key = self.rank(call), organisation_hash(call)
        found = self._counts.demands(self._hash).get(key)
        return (found.arrived, found.waiting, found.in_flight) if found is not None else (0, 0, 0)

    def status(self) -> OrderStatus:
        """Return the requests by priority and organisation, those of the order that applies."""
        parts, uses = self._largest()
        if not self.active:
            return OrderStatus({}, {}, {}, self.held_back_shares, parts, uses)
        totals = {
            priority: each
            for (priority, organisation), each in self._counts.demands(self._hash).items()
            if organisation == ALL
        }
        return OrderStatus(
            {priority: each.waiting for priority, each in totals.items()},
            {priority: each.in_flight for priority, each in totals.items()},
            dict(self.held_back),
            self.held_back_shares,
            parts,
            uses,
        )

    def _largest(self) -> tuple[dict[str, float], dict[str, int]]:
        """Return shares and slots in use of the largest organisations, by name."""
        demands = self._counts.demands(self._hash)
        table = self._table()
        if table is None or not self.sharing:
            return {}, {}
        names = {row_hash(each.name): each.name for each in table.organisations.values()}
        parts: Counter[str] = Counter()
        uses: Counter[str] = Counter()
        for priority in {key[0] for key in demands}:
            for key, part in shares(priority, 0.0, demands, self._held).items():
                name = names.get(key, f"{key:08x}")
                parts[name] += part  # type: ignore[assignment]
                uses[name] += demands[priority, key].in_flight
        largest = [name for name, _ in uses.most_common(MAX_STATUS_ORGANISATIONS)]
        return {name: float(parts[name]) for name in largest}, {
            name: uses[name] for name in largest
        }


def _has_engine(table: RouteTable | None, service: str) -> bool:
    """Return whether a service has engines; plain services have no claims and thus no order."""
    found = table.services.get(service) if table is not None else None
    return found is not None and found.engine is not None


def priorities(table: RouteTable, service: str) -> set[int]:
    """Return the priorities of the routes whose streams hold slots of a service.

    Where only the organisations differ, the queue of each entry orders their requests.
    """
    return {
        each.priority
        for each in table.routes()
        if each.repeat is Repeat.STREAM and any(part.service == service for part in each.shares)
    }


def organisation_hash(call: Admitted) -> int:
    """Return the hash of a request's organisation in rows, ``ALL`` if it has none."""
    return ALL if call.organisation is None else row_hash(call.organisation.name)
