"""An event loop whose clock jumps to the next timer, so that minutes pass in the time of the work.

The product's tasks run on it unchanged. Nothing here waits for sockets or threads.
"""

import asyncio
import selectors
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar
from typing import Any
from unittest import mock

import anyio
from anyio._backends import _asyncio as backend

LONGEST_RUN = 3_600.0

OWNER: ContextVar[str] = ContextVar("owner", default="")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop on virtual time.

    Attributes:
        spent: Processor time in seconds by the ``OWNER`` of the tasks that spent it.
    """

    def __init__(self) -> None:
        self._virtual_now = 0.0
        self.spent: defaultdict[str, float] = defaultdict(float)
        super().__init__(_JumpingSelector(self))

    def time(self) -> float:
        """Return virtual seconds."""
        return self._virtual_now

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        """Schedule a callback whose processor time is put down to its owner, if it has one."""
        return super().call_soon(self._timed, callback, args, context=context)

    def _timed(self, callback: Callable[..., Any], args: tuple[Any, ...]) -> None:
        owner = OWNER.get()
        if not owner:
            # Looking at the clock costs as much as most callbacks.
            callback(*args)
            return
        started = time.thread_time()
        callback(*args)
        self.spent[owner] += time.thread_time() - started

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

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        if timeout > 0:
            self._loop.jump(timeout)
        return []


def spent() -> defaultdict[str, float]:
    """Return the processor time of the running loop by owner."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    return loop.spent


def run(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function on virtual time and return its result.

    Raises:
        TimeoutError: It has not ended within ``LONGEST_RUN`` virtual seconds. Something that waits
            for ever would otherwise never be noticed, since virtual time goes on without end.
    """

    async def bounded() -> Any:
        with anyio.fail_after(LONGEST_RUN):
            return await function(*args)

    with _cancelling_in_order():
        return anyio.run(bounded, backend_options={"loop_factory": VirtualTimeLoop})


class _OrderedSet(dict[Any, None]):
    """A set that yields its members in the order in which they came."""

    def add(self, member: Any) -> None:
        self[member] = None

    def discard(self, member: Any) -> None:
        self.pop(member, None)

    def remove(self, member: Any) -> None:
        del self[member]


@contextmanager
def _cancelling_in_order() -> Iterator[None]:
    """Have tasks cancelled in the order in which they began.

    ``anyio`` keeps them in sets, whose order follows addresses in memory: two runs of one seed
    would go different ways.
    """
    begin = backend.CancelScope.__init__

    def begin_in_order(scope: Any, *args: Any, **kwargs: Any) -> None:
        begin(scope, *args, **kwargs)
        scope._tasks = _OrderedSet()
        scope._child_scopes = _OrderedSet()

    with mock.patch.object(backend.CancelScope, "__init__", begin_in_order):
        yield
