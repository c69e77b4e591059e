"""Which entries an organisation's callers are sent to."""

import math
from collections.abc import Collection

from carawayhub.routing.prefixes import name_seed, rendezvous_rank

MIN_ENTRIES = 16
RATE_PER_ENTRY = 10.0
OUTSIDER_PART = 0.1


def entries_for(organisation: str, rate: float, entries: Collection[str]) -> frozenset[str]:
    """Return the entries among which an organisation's limits are divided.

    With few entries it is all of them. With many, each organisation has a part that grows with its
    rate, chosen by rendezvous hashing: entries then exchange demand only with those that share an
    organisation with them, and a surge of one organisation meets a part of the fleet. A new or lost
    entry changes one member at most.

    Args:
        organisation: Its name.
        rate: Its limit in requests a second.
        entries: Names of all entries that are declared and not gone.
    """
    size = max(MIN_ENTRIES, math.ceil(rate / RATE_PER_ENTRY))
    if len(entries) <= size:
        return frozenset(entries)
    key = name_seed(organisation)
    ranked = sorted(entries, key=lambda name: rendezvous_rank(name, key), reverse=True)
    return frozenset(ranked[:size])


def outsider_part(members: int, entries: int) -> float:
    """Return the fixed part of a limit that each entry outside the members may use.

    A caller that did not name itself may come to any entry, which must not refuse it outright.
    """
    return OUTSIDER_PART / (entries - members) if entries > members else 0.0


def member_part(members: int, entries: int) -> float:
    """Return the part of a limit that the members divide among them."""
    return 1.0 - OUTSIDER_PART if entries > members else 1.0
