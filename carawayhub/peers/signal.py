"""A signal that resumes all tasks that wait for a change."""

import anyio


class Signal:
    """Resumes all waiting tasks at once; later waiters wait for the next change."""

    __slots__ = ("_event",)

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify(self) -> None:
        """Resume all tasks that are waiting now."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self) -> None:
        """Return at the next ``notify``."""
        await self._event.wait()
