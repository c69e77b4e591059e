"""One entry or agent on a thread of its own, which can be paused, stopped and killed.

A thread with its own event loop behaves like a process in what matters here: pausing it blocks its
loop, so that its timers stand and its sockets fill, as SIGSTOP does, while all others go on.
"""

import threading
import time
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

import anyio
from anyio.from_thread import BlockingPortal

from carawayhub.process.host import Host
from carawayhub.process.stop import StopRequest
from carawayhub.settings import Settings

JOIN_TIMEOUT = 90.0
POLL = 0.02

Run = Callable[[Any, Host], Awaitable[None]]


class End(Enum):
    """How a local process ended."""

    RUNNING = "running"
    STOPPED = "stopped"
    KILLED = "killed"
    FAILED = "failed"


class LocalProcess:
    """A local entry or agent; its methods are called from another thread.

    Args:
        run: ``run_entry`` or ``run_agent``.
        settings: Its settings.
    """

    __slots__ = (
        "_kill",
        "_portal",
        "_ready",
        "_run",
        "_stop",
        "_thread",
        "end",
        "failure",
        "settings",
    )

    def __init__(self, run: Run, settings: Settings) -> None:
        self._run = run
        self.settings = settings
        self.end = End.RUNNING
        self.failure: BaseException | None = None
        self._portal: BlockingPortal | None = None
        self._stop: StopRequest | None = None
        self._kill: anyio.CancelScope | None = None
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._main, name=settings.name, daemon=True)

    def start(self) -> None:
        """Start the thread and wait until its sockets are bound or it has failed."""
        self._thread.start()
        self._ready.wait(JOIN_TIMEOUT)

    def pause(self, seconds: float) -> None:
        """Block the event loop for ``seconds``, as SIGSTOP and SIGCONT would."""
        self._call(lambda: time.sleep(seconds))

    def stop(self) -> None:
        """Ask for a planned stop."""
        if self._stop is not None:
            self._call(lambda: self._stop_now("stop of the local fleet"))

    def kill(self) -> None:
        """End it at once; its connections break off."""
        self._call(self._kill_now)

    def join(self, timeout: float = JOIN_TIMEOUT) -> End:
        """Wait for its end and return how it ended."""
        self._thread.join(timeout)
        return self.end

    # What the process is given as its host.

    async def watch_stop(self, stop: StopRequest) -> None:
        """Take calls of ``stop`` and ``kill`` from here on; see ``Host``."""
        self._stop = stop
        self._ready.set()
        await anyio.sleep_forever()

    def _main(self) -> None:
        try:
            anyio.run(self._within, backend_options={"use_uvloop": True})
        except BaseException as exc:
            self.end = End.FAILED
            self.failure = exc
        finally:
            self._ready.set()

    async def _within(self) -> None:
        async with BlockingPortal() as portal:
            self._portal = portal
            with anyio.CancelScope() as self._kill:
                await self._run(self.settings, self)
            killed = self._kill.cancelled_caught
            self.end = End.KILLED if killed else End.STOPPED
            await portal.stop(cancel_remaining=True)

    def _stop_now(self, reason: str) -> None:
        if self._stop is not None:
            self._stop.ask(reason)

    def _kill_now(self) -> None:
        if self._kill is not None:
            self._kill.cancel()

    def _call(self, action: Callable[[], None]) -> None:
        """Run ``action`` on the thread's loop without waiting for it."""
        portal = self._portal
        if portal is None or not self._thread.is_alive():
            return
        portal.start_task_soon(_as_task, action)


async def _as_task(action: Callable[[], None]) -> None:
    action()
