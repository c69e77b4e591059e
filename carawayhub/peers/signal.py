"""A signal that wakes every task which waits for a change."""

import anyio


class Signal:
    """Wakes all waiters at once; a waiter that comes later waits for the next change."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake all tasks that wait now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self) -> None:
        """Return at the next ``notify``."""
        await self._event.wait()
