"""Keeps cancellations raised by ``grpclib`` from ending tasks managed by ``anyio``."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.exceptions import StreamTerminatedError


@contextmanager
def withdraw_cancellation() -> Iterator[None]:
    """Withdraw the cancellation with which ``grpclib`` interrupted this task.

    When a connection breaks, ``grpclib`` cancels each task that waits on it and converts the
    cancellation into ``StreamTerminatedError``, but does not withdraw it. The task still counts as
    being cancelled, and the next ``anyio`` cancel scope that exits propagates the cancellation
    instead of catching it. As a result, one failed peer silently ends all links of the process.
    Withdrawing the cancellation where the error is raised restores the previous count.
    """
    try:
        yield
    except StreamTerminatedError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            task.uncancel()
        raise
