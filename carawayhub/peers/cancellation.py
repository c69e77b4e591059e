"""Keeps ``grpclib``'s way of waking tasks from ending tasks that ``anyio`` looks after."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from grpclib.exceptions import StreamTerminatedError


@contextmanager
def settle_cancellation() -> Iterator[None]:
    """Withdraw the cancellation by which ``grpclib`` woke this task.

    When a connection breaks, ``grpclib`` cancels each task that waits on it and turns the
    cancellation into ``StreamTerminatedError``, but does not withdraw it. The task then still
    counts as being cancelled, and the next cancel scope of ``anyio`` that ends passes the
    cancellation on in place of catching it. What it looks like: one peer dies, and all links of the
    process end without a word. Withdrawing it here, where the error comes out, leaves the count as
    it was before.
    """
    try:
        yield
    except StreamTerminatedError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            task.uncancel()
        raise
