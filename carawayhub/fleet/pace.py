"""How often the links of one process may carry heartbeats.

Both the processor time and the bytes of a process for control grow with its links times the rate of
their heartbeats. A small fleet can afford the interval that the configuration names; in a large one
an entry has some hundred links and must beat each of them less often.

It may not beat them so seldom that permits run out in between: an agent's report lets an entry
dispatch for ``permit_ttl_s`` and no longer, so with heartbeats further apart all endpoints would be
out of use for a part of each interval. Where the two clash the permits win and the budget is
overrun, which docs/CAPACITY.md counts.
"""

import math

HEARTBEATS_PER_SECOND = 25.0
REPORTS_PER_PERMIT = 2


def heartbeat_interval(links: int, shortest: float, longest: float = math.inf) -> float:
    """Return the seconds between two heartbeats of one link.

    Args:
        links: Links that the process has, opened and accepted.
        shortest: The interval that the configuration names, used while the links are few.
        longest: The interval that no number of links exceeds.

    Example:
        >>> heartbeat_interval(12, 0.5)
        0.5
        >>> heartbeat_interval(100, 0.5)
        4.0
        >>> heartbeat_interval(100, 0.5, permit_bound(2.0))
        1.0
    """
    return max(shortest, min(longest, links / HEARTBEATS_PER_SECOND))


def permit_bound(permit_ttl: float) -> float:
    """Return the longest interval at which one lost report does not let permits run out."""
    return permit_ttl / REPORTS_PER_PERMIT
