"""Graceful shutdown: on SIGTERM or SIGINT a process ends once its work is done."""

import signal

import anyio
from loguru import logger


class StopRequest:
    """Whether and why the process was asked to stop."""

    __slots__ = ("_event", "reason")

    def __init__(self) -> None:
        self._event = anyio.Event()
        self.reason = ""

    @property
    def asked(self) -> bool:
        """Whether a stop was requested."""
        return self._event.is_set()

    def ask(self, reason: str) -> None:
        """Request a stop; only the first reason is kept."""
        if not self._event.is_set():
            self.reason = reason
            self._event.set()

    async def wait(self) -> None:
        """Wait until a stop is requested."""
        await self._event.wait()


async def watch_signals(stop: StopRequest) -> None:
    """Turn SIGTERM and SIGINT into a stop request, until cancelled."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("stop requested by {}", signal.Signals(number).name)
            stop.ask(signal.Signals(number).name)
