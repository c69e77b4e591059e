"""Detects endpoints of the configuration that ended while they ran a call."""

import random
from collections.abc import Callable

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Endpoint
from carawayhub.endpoints.endings import BrokenAnswer, Endings
from carawayhub.entry.calls import Call
from carawayhub.limits.fingerprint import RequestTraits

SAME_END_WINDOW_SECONDS = 1.0
"""Interrupted answers of an endpoint within this window count as one end: the answers in flight
break off within milliseconds, and a process takes longer than this to start."""

LIFETIME_KEY_BITS = 32


class EndWatch:
    """Determines whether an endpoint ended while it ran a call.

    Endpoints of the configuration do not report when they started, so each end that this entry
    detects gets a random key that identifies the lifetime of the endpoint.

    Args:
        endings: Checks interrupted answers and records the ends of endpoints.
        is_leaving: Returns whether an endpoint is leaving as planned.
        clock: Source of time.
        rng: Source of the lifetime keys.
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
        self, call: Call, traits: RequestTraits, endpoint: Endpoint, sent_at: float
    ) -> bool:
        """Return whether the endpoint that interrupted the answer to a call has ended."""
        return await self.endings.broke_off(
            BrokenAnswer(
                request=call.request_id,
                traits=traits,
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
        if now - at > SAME_END_WINDOW_SECONDS:
            key = self._rng.getrandbits(LIFETIME_KEY_BITS)
        self._ends[endpoint] = now, key
        return key
