"""Computes the heartbeat interval of the links of one process.

The CPU time and bytes that a process uses for control grow with its links times their heartbeat
rate. A small fleet can use the configured interval; in a large one an entry has some hundred links
and must send heartbeats on each less often.

The interval must stay short enough that permits don't expire in between: an agent's report lets an
entry dispatch for ``permit_ttl_s`` only, so with longer intervals all endpoints would be unusable
for a part of each interval. If both limits conflict, the permits take precedence and the budget is
exceeded, which docs/CAPACITY.md counts.
"""

import math

HEARTBEATS_PER_SECOND = 25.0
REPORTS_PER_PERMIT = 2


def heartbeat_interval(links: int, shortest: float, longest: float = math.inf) -> float:
    """Return the seconds between two heartbeats of one link.

    Args:
        links: Links that the process has, opened and accepted.
        shortest: The configured interval, used with few links.
        longest: Upper bound of the interval for any number of links.

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
    """Return the longest interval at which permits don't expire after one lost report."""
    return permit_ttl / REPORTS_PER_PERMIT
