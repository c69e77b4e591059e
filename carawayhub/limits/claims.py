"""Decides which free slots an entry may acquire before its peers receive an update about it.

If several entries have more requests than there are free slots, each receives the others' choices
a tenth of a second later, and all of them would acquire the same few slots: a group of 72 slots
was given 84 requests, the excess queued in the engines, and the first events of all requests were
late. A slot that this entry's own request released is certainly free and not yet known to any
peer, so it is reused immediately. For the other slots, each entry makes one random draw per
propagation delay. At twice the load that can be served, 30 of 100 callers are served in time with
this rule and 22 without it.
"""

import random
from collections import deque

from carawayhub.clock import Clock

MAX_RELEASES = 64
"""Own released slots that are remembered: more than are released within one propagation delay."""


class Claims:
    """Decides whether this entry may acquire free slots of one group of endpoints.

    Args:
        clock: Source of time.
        rng: Source of the random draws between competing entries.
    """

    __slots__ = ("_clock", "_next_draw_at", "_releases", "_rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._releases: deque[float] = deque(maxlen=MAX_RELEASES)
        self._next_draw_at: dict[int, float] = {}

    def record_release(self) -> None:
        """Record that a request of this entry released its slot."""
        self._releases.append(self._clock.monotonic())

    def may_acquire(
        self,
        free: float,
        expected_arrivals: float,
        propagation_delay: float,
        returned: bool = False,
        rank: int = 0,
    ) -> bool:
        """Return whether this entry may acquire a slot.

        A request that was refused before is late in any case. It leaves the slots that new requests
        at all entries need within the propagation delay, since these would be in time.

        Args:
            free: Slots that are free as far as this entry knows.
            expected_arrivals: Requests that arrive at all entries within the propagation delay.
            propagation_delay: Seconds until entries receive each other's updates.
            returned: Whether the slot is for a request that was refused before.
            rank: Priority of the request where priorities compete for the slots. Each has draws of
                its own, so that a draw for a less urgent request doesn't delay an urgent one.
        """
        if free < 1.0:
            return False
        if returned and free < expected_arrivals + 1.0:
            return False
        now = self._clock.monotonic()
        while self._releases and self._releases[0] < now - propagation_delay:
            self._releases.popleft()
        if self._releases or free >= expected_arrivals:
            return True
        if now < self._next_draw_at.get(rank, now):
            return False
        self._next_draw_at[rank] = now + propagation_delay
        return self._rng.random() < free / expected_arrivals

    def record_acquisition(self) -> None:
        """Record that a slot was acquired; one of this entry's own released slots comes first."""
        if self._releases:
            self._releases.popleft()
