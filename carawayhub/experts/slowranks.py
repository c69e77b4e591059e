"""Informs entries of ranks that slow down their group, so that these get no further requests.

All ranks of a group wait for the slowest in each pass. Without experts, a slow rank still delays
each pass by its own part of the work, which grows with its requests. Only the agents know the speed
of each rank: entries see the same pauses in the streams of all ranks.
"""

import statistics
from collections.abc import Mapping, Sequence

import anyio
import msgspec

from carawayhub.clock import Clock
from carawayhub.peers.questions import QuestionLink

SLOW_RANKS = "slow ranks"
"""Subject of the message that lists the slow ranks of a group."""

NOTIFY_SECONDS = 0.25
"""Interval between two messages to an entry while some rank is slow."""

EXPIRY_SECONDS = 1.0
"""Age from which a list of slow ranks is no longer sent: the agent has lost sight of its group."""

MIN_RELATIVE_SLOWDOWN = 1.5
"""Minimum slowdown in relation to the median of the group from which a rank is avoided. Ranks that
are all equally slow are all used."""


def slow_ranks(slowdowns: Mapping[int, float]) -> list[int]:
    """Return the ranks that are much slower than most of their group.

    Args:
        slowdowns: Factor by which each rank is slower than usual.
    """
    if not slowdowns:
        return []
    usual = max(1.0, statistics.median(slowdowns.values()))
    return [
        rank
        for rank, slowdown in sorted(slowdowns.items())
        if slowdown >= MIN_RELATIVE_SLOWDOWN * usual
    ]


class SlowRankNotifier:
    """Sends the slow ranks of a group to entries while there are some.

    Args:
        link: Sends messages to entries.
        entries: IP addresses of entries that may be running; they inform the others.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_entries", "_expires_at", "_link", "_replicas")

    def __init__(self, link: QuestionLink, entries: Sequence[str], clock: Clock) -> None:
        self._link = link
        self._entries = entries
        self._clock = clock
        self._replicas: list[str] = []
        self._expires_at = float("-inf")

    def update(self, replicas: list[str]) -> None:
        """Replace the ids of the replicas that are slow ranks."""
        self._replicas = replicas
        self._expires_at = self._clock.monotonic() + EXPIRY_SECONDS

    async def run(self) -> None:
        """Send messages until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._link.run)
            while True:
                if self._replicas and self._clock.monotonic() < self._expires_at:
                    content = msgspec.msgpack.encode(self._replicas)
                    for ip in self._entries:
                        tasks.start_soon(self._link.ask, ip, SLOW_RANKS, content)
                await anyio.sleep(NOTIFY_SECONDS)
