"""The environment of an entry or agent: a separate process, or a thread of a local fleet."""

from typing import Protocol

from carawayhub.process.stop import StopRequest, watch_signals


class Host(Protocol):
    """Source of stop requests."""

    async def watch_stop(self, stop: StopRequest) -> None:
        """Forward requests to stop to ``stop``, until cancelled."""


class OwnProcess:
    """A separate process, which is stopped by signals."""

    __slots__ = ()

    async def watch_stop(self, stop: StopRequest) -> None:
        """Handle SIGTERM and SIGINT."""
        await watch_signals(stop)
