"""Order of one service's requests by priority: which free slots a request may compete for."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.model import RouteTable
from carawayhub.limits.allotment import Key
from carawayhub.limits.slotorder import SlotOrder, part_up_to, reserved_slots
from carawayhub.limits.slotrows import ALL, SlotCounts, row_hash

LOG_INTERVAL_SECONDS = 0.1
"""Time between two lines about requests that were held back. At a burst there are a hundred such
requests a second; ten lines state the counts, the others are only counted."""


@dataclass(frozen=True, slots=True)
class OrderStatus:
    """Requests of a service by priority.

    Attributes:
        waiting: First attempts that wait at all known entries.
        in_flight: Requests that hold a slot, of all known entries.
        held_back: Requests of this entry that waited while slots were free.
    """

    waiting: Mapping[int, int] = field(default_factory=dict)
    in_flight: Mapping[int, int] = field(default_factory=dict)
    held_back: Mapping[int, int] = field(default_factory=dict)


class ServiceOrder:
    """Order of the requests of one service, and the counts that it follows from.

    Args:
        service: Name of the service.
        clock: Source of time.
        counts: Requests by priority and organisation, here and at peers.
        table: Returns the configuration in force.
        propagation_delay: Returns the seconds after which entries know of each other's choices.

    Attributes:
        decision: Decides which free slots a priority may compete for.
        held_back: Requests of this entry that waited while slots were free, by priority.
    """

    __slots__ = (
        "_active",
        "_active_from",
        "_clock",
        "_counts",
        "_delay",
        "_hash",
        "_log_at",
        "_service",
        "_table",
        "_unlogged",
        "decision",
        "held_back",
    )

    def __init__(
        self,
        service: str,
        clock: Clock,
        counts: SlotCounts,
        table: Callable[[], RouteTable | None],
        propagation_delay: Callable[[], float],
    ) -> None:
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

    @property
    def active(self) -> bool:
        """Whether requests for the service have different priorities by the configuration."""
        table = self._table()
        if table is not self._active_from:
            self._active_from = table
            self._active = table is not None and len(priorities(table, self._service)) > 1
            if self._active:
                self._counts.ordered.add(self._hash)
            else:
                self._counts.ordered.discard(self._hash)
        return self._active

    def record_arrival(self, call: Admitted) -> None:
        """Count a request that has arrived; returned ones reserve no slots, as they are late."""
        if call.returned:
            return
        self._counts.record_arrival(self._hash, call.priority, _organisation(call))

    def join(self, call: Admitted) -> None:
        """Count a request that waits; returned ones reserve no slots, as they are late."""
        if not call.returned:
            self._counts.add_waiting(self._hash, call.priority, _organisation(call), 1)

    def leave(self, call: Admitted) -> None:
        """Count a request that no longer waits."""
        if not call.returned:
            self._counts.add_waiting(self._hash, call.priority, _organisation(call), -1)

    def begin(self, call: Admitted | None) -> Key | None:
        """Count a request that has a slot; return the key under which it is counted."""
        if call is None:
            return None
        self._counts.add_in_flight(self._hash, call.priority, _organisation(call), 1)
        return Key(call.priority, call.organisation.name if call.organisation is not None else "")

    def record_acquisition(self, call: Admitted | None) -> None:
        """Record that a waiting or new request took a free slot."""
        if call is not None and self.active:
            self.decision.record_acquisition(call.priority)

    def record_end(self, key: Key | None) -> None:
        """Count a request that released its slot."""
        if key is None:
            return
        organisation = row_hash(key.organisation) if key.organisation else ALL
        self._counts.add_in_flight(self._hash, key.priority, organisation, -1)
        if self.active:
            demands = self._counts.demands(self._hash)
            self.decision.record_end(
                priority
                for (priority, organisation), each in demands.items()
                if organisation == ALL and (each.arrived > 0 or each.waiting > 0)
            )

    def entitled(self, call: Admitted) -> bool:
        """Return whether a request may wait since the minimum gives it one of the next slots."""
        return self.active and not call.returned and self.decision.is_due(call.priority)

    def free_for(self, call: Admitted, free: float) -> float:
        """Return the free slots for which a request competes."""
        demands = self._counts.demands(self._hash)
        return self.decision.free_for(call.priority, free, demands, self._delay())

    def competing(self, call: Admitted, expected: float) -> float:
        """Return how many of the expected arrivals compete with a request for free slots.

        Slots for more urgent requests are reserved already. A request that was refused before is
        late in any case and competes with all.
        """
        if call.returned:
            return expected
        return expected * part_up_to(call.priority, self._counts.demands(self._hash))

    def note_waiting(self, call: Admitted, free: int) -> None:
        """Count and log a request that waits though slots are free, because of its priority."""
        if free < 1 or self.free_for(call, free) >= 1.0:
            return
        self.held_back[call.priority] += 1
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
        ).info("request held back: free slots are reserved for more urgent requests")
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
        if not self.active:
            return {}
        demands = self._counts.demands(self._hash)
        return {
            "priority": call.priority,
            "organisation": call.organisation.name if call.organisation is not None else "",
            "reserved": round(reserved_slots(call.priority, demands, self._delay()), 1),
            "rows": {
                priority: (each.arrived, each.waiting, each.in_flight)
                for (priority, organisation), each in sorted(demands.items())
                if organisation == ALL
            },
            "rows_age": round(self._counts.oldest_age(), 3),
        }

    def status(self) -> OrderStatus:
        """Return the requests by priority, nothing if the order is off."""
        if not self.active:
            return OrderStatus()
        totals = {
            priority: each
            for (priority, organisation), each in self._counts.demands(self._hash).items()
            if organisation == ALL
        }
        return OrderStatus(
            {priority: each.waiting for priority, each in totals.items()},
            {priority: each.in_flight for priority, each in totals.items()},
            dict(self.held_back),
        )


def priorities(table: RouteTable, service: str) -> set[int]:
    """Return the priorities that requests for a service may have."""
    routes = [
        each for each in table.routes() if any(part.service == service for part in each.shares)
    ]
    found = {each.priority for each in routes}
    if table.keys_required and any(not each.public for each in routes):
        found |= {
            each.priority for each in table.organisations.values() if each.priority is not None
        }
    return found


def _organisation(call: Admitted) -> int:
    return ALL if call.organisation is None else row_hash(call.organisation.name)
