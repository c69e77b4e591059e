"""What an agent needs of the endpoint beside it."""

from dataclasses import dataclass
from typing import Protocol

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine says of its load, some time after it was so.

    Attributes:
        running: Requests that run.
        queued: Requests that wait.
        capacity: Requests that can run at once.
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
        number: Number of the event; one that is missing was lost.
        added: Whether the block came in; else it was evicted.
        block: Its hash.
    """

    number: int
    added: bool
    block: int


class EndpointWatch(Protocol):
    """The read side of an endpoint."""

    async def load(self) -> Load:
        """Return the endpoint's load.

        Raises:
            PlatformError: It does not answer, or not with what can be read.
        """

    async def cache_changes(self, after: int) -> tuple[CacheChange, ...]:
        """Return changes of the prefix cache numbered above ``after``, oldest first.

        Raises:
            PlatformError: As above.
        """
