"""Decides which free slots an organisation leaves to others of the same priority.

Handles a burst of one organisation while several wait for the slots of a service. Slots in use are
divided max-min fairly over all entries. An organisation above its share leaves the free slots that
those below theirs need, whose requests wait or are expected within one propagation delay; it keeps
the slots that it has until its requests end. The division of
``limits/allotment.py`` isn't used: it divides by arrivals at one process and doesn't know whether
slots are free or others wait.
"""

from collections.abc import Mapping

from carawayhub.limits.fill import water_fill
from carawayhub.limits.slotrows import ALL, Demand, RowKey

SHARE_MARGIN = 1.1
"""Factor on its share beyond which an organisation leaves slots to others. Counts of peers are a
tenth of a second old, in which about a tenth of the slots change hands; without a margin,
organisations with equal demand would hold each other back."""


def waiting_organisations(demands: Mapping[RowKey, Demand]) -> int:
    """Return the number of organisations with waiting requests."""
    return len({key[1] for key, each in demands.items() if key[1] != ALL and each.waiting > 0})


def shares(
    priority: int, free: float, demands: Mapping[RowKey, Demand], held: float
) -> dict[int, float]:
    """Return the slots that each organisation of a priority may use, by its hash.

    Args:
        priority: The priority.
        free: Free slots for requests of this priority.
        demands: Known requests of the service at all entries.
        held: Mean time in seconds for which a request holds a slot.
    """
    known = _of_priority(priority, demands)
    total = sum(each.in_flight for each in known.values()) + max(0.0, free)
    return water_fill(total, {key: _wanted(each, held) for key, each in known.items()})


def slots_left_to_others(
    priority: int,
    organisation: int,
    free: float,
    demands: Mapping[RowKey, Demand],
    held: float,
    delay: float,
) -> float:
    """Return the free slots that an organisation leaves to others, 0 if it is within its share.

    Args:
        priority: Priority of the request.
        organisation: Hash of its organisation.
        free: Free slots for requests of this priority.
        demands: Known requests of the service at all entries.
        held: Mean time in seconds for which a request holds a slot.
        delay: Seconds until entries receive each other's updates.
    """
    known = _of_priority(priority, demands)
    if organisation not in known or free >= sum(each.waiting for each in known.values()):
        return 0.0
    parts = shares(priority, free, demands, held)
    if known[organisation].in_flight + 1 <= SHARE_MARGIN * parts[organisation]:
        return 0.0
    return sum(
        min(each.waiting + each.arrived * delay, max(0.0, parts[key] - each.in_flight))
        for key, each in known.items()
        if key != organisation
    )


def above_share(
    priority: int, joining: int, demands: Mapping[RowKey, Demand], held: float
) -> frozenset[int]:
    """Return the organisations whose waiting requests are served after those of another.

    Args:
        priority: Priority of the request that joins the queue.
        joining: Hash of its organisation.
        demands: Known requests of the service at all entries.
        held: Mean time in seconds for which a request holds a slot.

    Returns:
        Organisations above their shares, empty if ``joining`` is not below its own.
    """
    wanted = dict(demands)
    own = wanted.get((priority, joining), Demand())
    wanted[priority, joining] = Demand(own.arrived, own.waiting + 1, own.in_flight)
    parts = shares(priority, 0.0, wanted, held)
    if own.in_flight + 1 > parts[joining]:
        return frozenset()
    return frozenset(
        key
        for key, each in _of_priority(priority, wanted).items()
        if key != joining and each.waiting and each.in_flight + 1 > SHARE_MARGIN * parts[key]
    )


def _wanted(demand: Demand, held: float) -> float:
    """Return the slots that an organisation would use if none were missing.

    Most requests that find no slot are rejected at once, so those that wait are few.
    """
    return max(demand.in_flight + demand.waiting, demand.arrived * held)


def _of_priority(priority: int, demands: Mapping[RowKey, Demand]) -> dict[int, Demand]:
    return {key[1]: each for key, each in demands.items() if key[0] == priority and key[1] != ALL}
