"""Planned stops: SIGTERM and SIGINT ask a process to end when its work is done."""

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
        """Whether a stop was asked for."""
        return self._event.is_set()

    def ask(self, reason: str) -> None:
        """Ask the process to stop; the first reason stays."""
        if not self._event.is_set():
            self.reason = reason
            self._event.set()

    async def wait(self) -> None:
        """Return when a stop is asked for."""
        await self._event.wait()


async def watch_signals(stop: StopRequest) -> None:
    """Turn SIGTERM and SIGINT into a stop request, until cancelled."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logger.info("stop asked for by {}", signal.Signals(number).name)
            stop.ask(signal.Signals(number).name)
