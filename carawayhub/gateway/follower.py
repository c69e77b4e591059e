"""Keeps a fleet view up to date from the published state, and proves how old it is."""

import random
from collections.abc import Callable

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import Published, PublishedState
from carawayhub.gateway.view import FleetView

WATCH_SECONDS = 8.0
"""Longest wait of one watch. A connection that went silent under one shows after this."""

PROOF_SECONDS = 1.6
"""Time between two proofs of age. Two may fail in a row before a view of 5 s is too old."""

CATCH_UP = 0.4
"""Seconds that a watch may lag behind a proof before everything is read anew."""

FIRST_RETRY = 0.1
LAST_RETRY = 0.8
"""Seconds before a failed call is made again, at first and at the most: some calls a second from
each process while the store is down, and an early notice of its return."""


LONELY_SECONDS = 2.2
"""Age of the view from which on an entry reads for itself that leaves it to its peers: the readers
it hears of are gone or out of touch. It has two tries left before a view of 5 s is too old."""

GATHER_SECONDS = 0.25
LAST_GATHER_SECONDS = 0.7
"""Time that an entry which was told of a change waits for further ones before it reads them, at
first and at the most; it doubles while one change follows the other. While 75 endpoints start one
by one, each of 40 entries would read after each of them. A configuration is to be in force within
two seconds everywhere, and a view may be 2.2 s old before its entry reads for itself."""

IN_A_ROW_SECONDS = 1.0
"""Time without a change after which the next one is read as soon as the first was."""

WATCH_GATHER_SECONDS = 0.08
"""Time between a change that a watch brought and the next watch, for the same reason."""

TOUCH_SECONDS = 1.5
"""Time between two cheap reads by which an entry that leaves the reading to its peers sees whether
it could read: what it hears from them may end with a change that it has to read itself."""

ROLE_SECONDS = 0.25
"""Time between two looks at whether an entry is to read for its peers."""


class Follower:
    """Follows the published state.

    Two tasks: a watch brings changes at once, and short reads of the newest revision prove that
    none was missed. A watch alone proves nothing: one whose connection went silent, or that the
    store has stopped feeding, looks like a fleet in which nothing changes.

    Each call has a price, so one entry of each failure domain does this for all. The others hear
    from it which revision is the newest, and as of when; they read only what has changed. With 40
    entries that is a fifth of the calls.

    Args:
        state: The published state.
        view: The view to keep up to date.
        clock: Source of time.
        rng: Source of jitter.
        reads: Whether this entry is to read for its peers.
    """

    __slots__ = (
        "_behind",
        "_clock",
        "_gather",
        "_grown",
        "_read_at",
        "_reads",
        "_rng",
        "_state",
        "_view",
        "_watch_scope",
    )

    def __init__(
        self,
        state: PublishedState,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        reads: Callable[[], bool] = lambda: True,
    ) -> None:
        self._state = state
        self._view = view
        self._clock = clock
        self._rng = rng
        self._reads = reads
        self._grown = anyio.Event()
        self._behind = anyio.Event()
        self._watch_scope = anyio.CancelScope()
        self._gather = GATHER_SECONDS
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._read_all()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._prove)

    def heard_of(self, revision: int) -> None:
        """Note that a peer knows of a revision."""
        if revision > self._view.revision:
            self._behind.set()

    def _is_reader(self) -> bool:
        return self._reads() or self._view.age > LONELY_SECONDS

    async def _read_all(self) -> None:
        delay = FIRST_RETRY
        while True:
            sent_at = self._clock.monotonic()
            try:
                published = await self._state.snapshot()
            except PlatformError as exc:
                delay = await self._pause(exc, "snapshot", delay, sent_at)
                continue
            self._view.heard()
            self._view.replace(published)
            self._view.confirm(sent_at)
            return

    async def _watch(self) -> None:
        delay = FIRST_RETRY
        while True:
            # After a failure the answer is wanted at once: it tells how long the store was away.
            failed = delay > FIRST_RETRY
            wait = WATCH_SECONDS if self._is_reader() and not failed else 0.0
            if not wait and not failed and not await self._told_of_change():
                continue
            with anyio.CancelScope() as self._watch_scope:
                try:
                    published = await self._state.changes(self._view.revision, wait)
                except PlatformError as exc:
                    # A watch may have waited for seconds at a sound store before it was cut.
                    seen_at = self._clock.monotonic()
                    delay = await self._pause(exc, "watch", delay, seen_at)
                    continue
                delay = FIRST_RETRY
                await self._take(published)
                if wait and published is not None and published.changes:
                    await anyio.sleep(WATCH_GATHER_SECONDS)

    async def _told_of_change(self) -> bool:
        """Return whether a peer told of a change, after waiting a while for that."""
        with anyio.move_on_after(ROLE_SECONDS):
            await self._behind.wait()
        if not self._behind.is_set():
            return False
        await anyio.sleep(self._gather_seconds() * self._rng.uniform(0.5, 1.0))
        self._behind = anyio.Event()
        self._read_at = self._clock.monotonic()
        return True

    def _gather_seconds(self) -> float:
        """Return for how long to wait for further changes."""
        in_a_row = self._clock.monotonic() - self._read_at < IN_A_ROW_SECONDS
        self._gather = min(2 * self._gather, LAST_GATHER_SECONDS) if in_a_row else GATHER_SECONDS
        return self._gather

    async def _take(self, published: Published | None) -> None:
        self._view.heard()
        if published is None:
            logger.info("history is gone, reading everything")
            await self._read_all()
        else:
            self._view.extend(published)
        self._grown.set()
        self._grown = anyio.Event()

    async def _prove(self) -> None:
        delay = FIRST_RETRY
        await anyio.sleep(self._rng.uniform(0, PROOF_SECONDS))
        while True:
            if not self._is_reader():
                await self._touch()
                continue
            sent_at = self._clock.monotonic()
            try:
                revision = await self._state.revision()
            except PlatformError as exc:
                delay = await self._pause(exc, "proof", delay, sent_at)
                continue
            delay = FIRST_RETRY
            self._view.heard()
            if await self._reaches(revision):
                self._view.confirm(sent_at)
            else:
                logger.bind(revision=revision, known=self._view.revision).warning(
                    "watch lags behind, reading everything"
                )
                await self._read_all()
                self._watch_scope.cancel()
            await anyio.sleep(PROOF_SECONDS)

    async def _touch(self) -> None:
        """See whether the store answers, then wait a while or until this entry is to read."""
        sent_at = self._clock.monotonic()
        try:
            await self._state.touch()
        except PlatformError as exc:
            await self._pause(exc, "touch", FIRST_RETRY, sent_at)
            return
        self._view.heard()
        until = self._clock.monotonic() + TOUCH_SECONDS * self._rng.uniform(0.8, 1.2)
        while self._clock.monotonic() < until and not self._is_reader():
            await anyio.sleep(ROLE_SECONDS)

    async def _reaches(self, revision: int) -> bool:
        """Return whether the view gets to ``revision`` soon."""
        with anyio.move_on_after(CATCH_UP):
            while self._view.revision < revision:
                await self._grown.wait()
        return self._view.revision >= revision

    async def _pause(self, exc: PlatformError, call: str, delay: float, since: float) -> float:
        """Wait before a failed call is made again; return the next wait.

        Args:
            exc: Why it failed.
            call: Which one it was.
            delay: Seconds to wait.
            since: From when on the store is known not to answer.
        """
        self._view.failed(since)
        logger.bind(call=call, error=str(exc), age=round(self._view.age, 2)).warning(
            "store did not answer"
        )
        await anyio.sleep(delay * self._rng.uniform(0.7, 1.3))
        return min(delay * 2, LAST_RETRY)
