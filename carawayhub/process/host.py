"""What an entry or agent runs in: a process of its own, or a thread of a local fleet."""

from typing import Protocol

from carawayhub.process.stop import StopRequest, watch_signals


class Host(Protocol):
    """Where planned stops come from."""

    async def watch_stop(self, stop: StopRequest) -> None:
        """Turn what asks for a stop into a stop request, until cancelled."""


class OwnProcess:
    """A process of its own, which is stopped by signals."""

    __slots__ = ()

    async def watch_stop(self, stop: StopRequest) -> None:
        """Take SIGTERM and SIGINT."""
        await watch_signals(stop)
