"""An event loop whose clock jumps to the next timer, so that minutes pass in the time of the work.

The product's tasks run on it unchanged. Nothing here waits for sockets or threads.
"""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any

import anyio


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time."""

    def __init__(self) -> None:
        self._virtual_now = 0.0
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual_now

    def jump(self, seconds: float) -> None:
        """Move the clock forward."""
        self._virtual_now += seconds


class LoopClock:
    """The clock of the running loop."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return the same; nothing here compares it with another machine's."""
        return self.monotonic()


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self, loop: VirtualTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        if timeout > 0:
            self._loop.jump(timeout)
        return []


def run(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function on virtual time and return its result."""
    return anyio.run(function, *args, backend_options={"loop_factory": VirtualTimeLoop})
