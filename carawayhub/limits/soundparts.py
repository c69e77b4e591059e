"""Remembers which parts of prompts were in requests with complete answers."""

from collections import OrderedDict

from carawayhub.clock import Clock

SOUND_SECONDS = 600.0
"""Time for which an answer speaks for a part: what reads it may change with a release."""

MAX_SOUND_PARTS = 1024
"""Parts remembered, 0.2 MB; those not answered for longest are dropped first. The popular parts,
which stand beside most ends, are answered every few seconds."""


class SoundParts:
    """The parts that complete answers speak for.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_answered_at", "_clock")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at: OrderedDict[bytes, float] = OrderedDict()

    def add(self, part: bytes) -> None:
        """Record a complete answer to a request with a part."""
        self._answered_at[part] = self._clock.monotonic()
        self._answered_at.move_to_end(part)
        if len(self._answered_at) > MAX_SOUND_PARTS:
            self._answered_at.popitem(last=False)

    def __contains__(self, part: bytes) -> bool:
        answered_at = self._answered_at.get(part)
        return answered_at is not None and self._clock.monotonic() - answered_at < SOUND_SECONDS
