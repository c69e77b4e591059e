"""How often the links of one process may carry heartbeats.

Both the processor time and the bytes of a process for control grow with its links times the rate of
their heartbeats. A small fleet can afford the interval that the configuration names; in a large one
an entry has some hundred links and must beat each of them less often.
"""

HEARTBEATS_PER_SECOND = 40.0


def heartbeat_interval(links: int, shortest: float) -> float:
    """Return the seconds between two heartbeats of one link.

    Args:
        links: Links that the process has, opened and accepted.
        shortest: The interval that the configuration names, used while the links are few.

    Example:
        >>> heartbeat_interval(12, 0.5)
        0.5
        >>> heartbeat_interval(100, 0.5)
        2.5
    """
    return max(shortest, links / HEARTBEATS_PER_SECOND)
