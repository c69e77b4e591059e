"""Decides which free slots of a service a request may take, by its priority.

Handles a burst of one priority that lasts for seconds while slots are held for one or two seconds:
the result depends on which requests hold slots when an urgent burst begins. Under contention a
request leaves the free slots that more urgent requests need, which wait or are expected within one
propagation delay at any entry. Less urgent requests get at least a tenth of the slots that end.
"""

from collections.abc import Iterable, Mapping

from carawayhub.limits.slotrows import ALL, Demand, RowKey

MIN_LESS_URGENT_PART = 0.12
"""Fraction of the ended requests of an entry whose slots go to less urgent requests there, whatever
else waits: requests of each priority have callers who wait for an answer. Several less urgent
priorities share it evenly. A tenth is guaranteed, and some of what is granted lapses: with 0.1 they
got 0.0998 of the slots in one of six replays of a lasting overload."""

MAX_CREDIT = 2.0
"""Slots that the minimum may save up, so that a pause of less urgent requests isn't followed by a
burst of them while urgent ones wait."""


class SlotOrder:
    """Order of the requests of one service at one entry.

    Attributes:
        minimum: Fraction of ended requests whose slots go to less urgent requests.
    """

    __slots__ = ("_credits", "minimum")

    def __init__(self, minimum: float = MIN_LESS_URGENT_PART) -> None:
        self._credits: dict[int, float] = {}
        self.minimum = minimum

    def free_for(
        self, priority: int, free: float, demands: Mapping[RowKey, Demand], delay: float
    ) -> float:
        """Return the free slots for which requests of a priority compete.

        Args:
            priority: Priority of the request, 0 is the most urgent.
            free: Free slots as far as this entry knows.
            demands: Known requests of the service at all entries.
            delay: Seconds until entries receive each other's updates.
        """
        left = free - reserved_slots(priority, demands, delay)
        if left < 1.0 and self.is_due(priority):
            return free
        return left

    def is_due(self, priority: int) -> bool:
        """Return whether the minimum entitles a priority to the next free slot."""
        return self._credits.get(priority, 0.0) >= 1.0

    def record_acquisition(self, priority: int) -> None:
        """Record that a request took a slot; it counts towards the minimum of its priority."""
        credit = self._credits.get(priority)
        if credit is not None:
            self._credits[priority] = max(0.0, credit - 1.0)

    def record_end(self, present: Iterable[int]) -> None:
        """Record that a request of this entry ended.

        Args:
            present: Priorities of the requests that recently arrived or wait at any known entry.
                Those that are rejected at once count, too, or an overload of urgent requests would
                leave the minimum unused.
        """
        less_urgent = sorted(set(present))[1:]
        for priority in less_urgent:
            credit = self._credits.get(priority, 0.0) + self.minimum / len(less_urgent)
            self._credits[priority] = min(MAX_CREDIT, credit)


def reserved_slots(priority: int, demands: Mapping[RowKey, Demand], delay: float) -> float:
    """Return the slots that requests more urgent than a priority need."""
    return sum(
        max(0, each.waiting) + max(0, each.arrived) * delay
        for (other, organisation), each in demands.items()
        if organisation == ALL and other < priority
    )


def part_up_to(priority: int, demands: Mapping[RowKey, Demand]) -> float:
    """Return the fraction of arrivals that are at least as urgent as a priority, 1 if unknown."""
    arrived = {
        other: max(0, each.arrived)
        for (other, organisation), each in demands.items()
        if organisation == ALL
    }
    total = sum(arrived.values())
    if not total:
        return 1.0
    return sum(count for other, count in arrived.items() if other <= priority) / total
