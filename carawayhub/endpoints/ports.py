"""Interface through which an agent reads its local endpoint."""

from dataclasses import dataclass
from typing import Protocol

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """Load as reported by an engine, with some delay.

    Attributes:
        running: Number of running requests.
        queued: Number of queued requests.
        capacity: Maximum number of concurrent requests.
        step_seconds: Recent mean time of one step.
        tokens_rate: Tokens a second generated recently.
    """

    running: int = 0
    queued: int = 0
    capacity: int = 1
    step_seconds: float = 0.0
    tokens_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheChange:
    """One change of an engine's prefix cache.

    Attributes:
        number: Sequence number of the event; a missing number is a lost event.
        added: Whether the block was added; otherwise it was evicted.
        block: Hash of the block.
    """

    number: int
    added: bool
    block: int


class EndpointWatch(Protocol):
    """The read side of an endpoint."""

    async def load(self) -> Load:
        """Return the endpoint's load.

        Raises:
            PlatformError: The endpoint did not answer, or its answer could not be decoded.
        """

    async def cache_changes(self, after: int) -> tuple[CacheChange, ...]:
        """Return changes of the prefix cache numbered above ``after``, oldest first.

        Raises:
            PlatformError: As above.
        """
