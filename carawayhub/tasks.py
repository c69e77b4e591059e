"""Long-running tasks of a process that survive unexpected errors."""

from collections import Counter
from collections.abc import Awaitable, Callable, Mapping

import anyio
from loguru import logger

from carawayhub.errors import CommandError

RESTART_SECONDS = 0.5
"""Time after which a failed task is started again."""


class KeptTasks:
    """Runs tasks of a process and starts those again that fail.

    Guards against one unexpected value of another party that ends the process, and with it all
    requests that it has read.
    """

    __slots__ = ("_failures",)

    def __init__(self) -> None:
        self._failures: Counter[str] = Counter()

    @property
    def failures(self) -> Mapping[str, int]:
        """How often each task failed."""
        return self._failures

    async def run(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Run a task until it returns.

        Args:
            name: Name of the task in logs and metrics.
            work: The task; it is called again after an error.

        Raises:
            CommandError: The task cannot run with these settings.
        """
        while True:
            try:
                await work()
                return
            except CommandError:
                raise
            except Exception as exc:
                self.record(name, exc)
            await anyio.sleep(RESTART_SECONDS)

    def record(self, name: str, exc: Exception) -> None:
        """Count and log an unexpected error of a task."""
        self._failures[name] += 1
        logger.bind(task=name, failures=self._failures[name]).opt(exception=exc).error(
            "unexpected error in a task: {!r}", exc
        )
