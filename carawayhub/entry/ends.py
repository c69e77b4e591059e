"""What the entry finds out when an endpoint of the configuration breaks an answer off."""

import random
from collections.abc import Callable

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Endpoint
from carawayhub.endpoints.endings import BrokenAnswer, Endings
from carawayhub.entry.calls import Call

SAME_END_SECONDS = 1.0
"""Seconds within which ends of one endpoint are one and the same: requests that it had break off
within milliseconds, and a process takes longer than this to start."""

KEY_BITS = 32


class EndWatch:
    """Finds out whether endpoints ended under calls.

    Endpoints of the configuration do not tell when they started, so each end that this entry sees
    names a lifetime of its own.

    Args:
        endings: Takes what is found out.
        is_leaving: Returns whether an endpoint leaves as planned.
        clock: Source of time.
        rng: Draws the keys of lifetimes.
    """

    __slots__ = ("_clock", "_ends", "_is_leaving", "_rng", "endings")

    def __init__(
        self,
        endings: Endings,
        is_leaving: Callable[[str], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.endings = endings
        self._is_leaving = is_leaving
        self._clock = clock
        self._rng = rng
        self._ends: dict[str, tuple[float, int]] = {}

    async def has_ended(
        self, call: Call, fingerprint: bytes, endpoint: Endpoint, sent_at: float
    ) -> bool:
        """Return whether an endpoint ended that broke the answer to a call off."""
        return await self.endings.broke_off(
            BrokenAnswer(
                request=call.request_id,
                fingerprint=fingerprint,
                endpoint=endpoint.name,
                service=call.target.name,
                address=Address.parse(endpoint.url.split("//", 1)[-1].split("/", 1)[0]),
                lifetime=self._lifetime(endpoint.name),
                planned=self._is_leaving(endpoint.name),
                sent_at=sent_at,
            )
        )

    def _lifetime(self, endpoint: str) -> int:
        now = self._clock.monotonic()
        at, key = self._ends.get(endpoint, (float("-inf"), 0))
        if now - at > SAME_END_SECONDS:
            key = self._rng.getrandbits(KEY_BITS)
        self._ends[endpoint] = now, key
        return key
