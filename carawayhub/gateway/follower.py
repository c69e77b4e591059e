"""Keeps a fleet view up to date from the published state, and proves how old it is."""

import random
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import Handed, Published, PublishedState, Source
from carawayhub.gateway.view import FleetView

WATCH_SECONDS = 8.0
"""Longest wait of one watch. A connection that went silent under one shows after this."""

PROOF_PART = 0.36
"""Time between two proofs of age, as a part of the time after which a key that was taken away opens
nothing. Two entries read for all, so that usually one comes in half of that; where one of them is
suspended, those of the other still keep views fresh."""

LONELY_PART = 0.5
"""Age of the view, as the same part, from which on an entry reads for itself that leaves it to its
peers: the readers it hears of are gone or out of touch. It has two tries left before its view is
too old to let keys in."""

LONELY_SPREAD_PART = 0.1
"""Part over which entries without news begin to read for themselves. The first one's news keep the
others from it; all 98 at one moment would take a good part of what the store answers."""

CATCH_UP = 0.4
"""Seconds that a watch may lag behind a proof before everything is read anew."""

FIRST_RETRY = 0.1
LAST_RETRY = 0.8
"""Seconds before a failed call is made again, at first and at the most: some calls a second from
each process while the store is down, and an early notice of its return."""


MEET_SECONDS = 0.8
"""Longest time for which an entry that starts waits for a peer that knows what is published. VMs of
a fleet start within 0.3 s of each other and take as long to be up; who is met knows it at once."""

MEET_POLL = 0.03
"""Seconds between two looks at whether such a peer was met."""

ASK_SPREAD = 0.08
"""Seconds over which the entries that were told of a change ask peers for it, so that those who
know it are not asked by all at one moment."""

GATHER_SECONDS = 0.25
LAST_GATHER_SECONDS = 0.7
"""Time that an entry which was told of a change waits for further ones before it reads them from
the store, as no peer can tell them, at first and at the most; it doubles while one change follows
the other. While 75 endpoints start one by one, each of 40 entries would read after each of them. A
configuration is to be in force within two seconds everywhere."""

IN_A_ROW_SECONDS = 1.0
"""Time without a change after which the next one is read as soon as the first was."""

WATCH_GATHER_SECONDS = 0.15
"""Time between a change that a watch brought and the next watch, for the same reason."""

TOUCH_SECONDS = 5.0
"""Time between two cheap reads by which an entry that leaves the reading to its peers sees whether
it could read. One that the store turns away is served by its peers' proofs, but is none that could
read for others, and sends its callers on. At 1.5 s these were half of all calls of 98 entries."""

LONELY_RETRY = 2.0
"""Seconds before an entry tries again that reads only for want of news: those that read for all try
more often, and tell of the store's return at once."""

ROLE_SECONDS = 0.25
"""Time between two looks at whether an entry is to read for its peers."""


class Role(Enum):
    """Why an entry reads the published state, or does not."""

    CHOSEN = "reads for its peers"
    LONELY = "reads for want of news"
    TOLD = "is told by its peers"


async def _nothing_beyond(revision: int) -> Handed | None:
    return None


def _nothing() -> None:
    return


class Follower:
    """Follows the published state.

    Two tasks: a watch brings changes at once, and short reads of the newest revision prove that
    none was missed. A watch alone proves nothing: one whose connection went silent, or that the
    store has stopped feeding, looks like a fleet in which nothing changes.

    Each call has a price, so two entries do this for all. The others hear from them which revision
    is the newest, and as of when, and ask them or each other for what has changed.

    Args:
        state: The published state.
        view: The view to keep up to date.
        clock: Source of time.
        rng: Source of jitter.
        revoke_after: Seconds after which a key that was taken away must open nothing.
        reads: Whether this entry is to read for its peers.
        beyond: Gives what peers know beyond a revision, None where none can tell.
        first: Whether this entry reads at its start without waiting for peers.

    Attributes:
        on_grown: Called when this entry has read something new for its peers.
    """

    __slots__ = (
        "_behind",
        "_beyond",
        "_clock",
        "_first",
        "_gather",
        "_grown",
        "_lonely_seconds",
        "_proof_seconds",
        "_read_at",
        "_reads",
        "_role",
        "_rng",
        "_state",
        "_told_at",
        "_view",
        "_watch_scope",
        "on_grown",
    )

    def __init__(
        self,
        state: PublishedState,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        revoke_after: float,
        reads: Callable[[], bool] = lambda: True,
        beyond: Callable[[int], Awaitable[Handed | None]] = _nothing_beyond,
        first: bool = True,
    ) -> None:
        self._state = state
        self._view = view
        self._clock = clock
        self._rng = rng
        self._reads = reads
        self._beyond = beyond
        self._first = first
        spread = rng.uniform(0.0, LONELY_SPREAD_PART)
        self._lonely_seconds = revoke_after * (LONELY_PART + spread)
        self._proof_seconds = revoke_after * PROOF_PART
        self._told_at = float("-inf")
        self._role = Role.TOLD
        self.on_grown: Callable[[], None] = _nothing
        self._grown = anyio.Event()
        self._behind = anyio.Event()
        self._watch_scope = anyio.CancelScope()
        self._gather = GATHER_SECONDS
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._first or not await self._learn_from_peers():
            await self._read_all()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._prove)

    def heard_of(self, revision: int) -> None:
        """Note that a peer knows of a revision."""
        if revision > self._view.revision:
            self._behind.set()

    def _is_reader(self) -> bool:
        role = self._role_now()
        if role is not self._role:
            logger.bind(role=role.value, age=round(self._view.age, 2)).info("role in reading")
            self._role = role
        return role is not Role.TOLD

    def _role_now(self) -> Role:
        if self._reads():
            return Role.CHOSEN
        # What a peer told is proved to be new by the next datagram of a peer, a moment later.
        since_told = self._clock.monotonic() - self._told_at
        lonely = min(self._view.age, since_told) > self._lonely_seconds
        return Role.LONELY if lonely else Role.TOLD

    async def _learn_from_peers(self) -> bool:
        """Learn from a peer what is published, at the start; return whether one told.

        The load pattern this answers: all VMs lose power and start at one moment, and each of 98
        entries lists all that is published.
        """
        until = self._clock.monotonic() + MEET_SECONDS
        while self._clock.monotonic() < until:
            if await self._take_from_peers():
                return True
            await anyio.sleep(MEET_POLL)
        return False

    async def _take_from_peers(self) -> bool:
        """Take in what a peer knows beyond this view; return whether there was something."""
        handed = await self._beyond(self._view.revision)
        if handed is None or handed.published.revision <= self._view.revision:
            return False
        if handed.whole:
            self._view.replace(handed.published, Source.PEER)
        else:
            self._view.extend(handed.published, Source.PEER)
        self._told_at = self._clock.monotonic()
        logger.bind(revision=self._view.revision, whole=handed.whole).info("told by a peer")
        self._note_growth()
        return True

    def _note_growth(self) -> None:
        self._grown.set()
        self._grown = anyio.Event()

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
            self.on_grown()
            return

    async def _watch(self) -> None:
        delay = FIRST_RETRY
        while True:
            # After a failure the answer is wanted at once: it tells how long the store was away.
            failed = delay > FIRST_RETRY
            wait = WATCH_SECONDS if self._is_reader() and not failed else 0.0
            if not wait and not failed:
                if not await self._told_of_change() or await self._take_from_peers():
                    continue
                await self._gather_changes()
                if await self._take_from_peers():
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
        await anyio.sleep(self._rng.uniform(0.0, ASK_SPREAD))
        self._behind = anyio.Event()
        return True

    async def _gather_changes(self) -> None:
        """Wait for further changes before they are read from the store."""
        await anyio.sleep(self._gather_seconds() * self._rng.uniform(0.5, 1.0))
        self._behind = anyio.Event()
        self._read_at = self._clock.monotonic()

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
            if published.changes:
                self.on_grown()
        self._note_growth()

    async def _prove(self) -> None:
        delay = touch_delay = FIRST_RETRY
        await anyio.sleep(self._rng.uniform(0, self._proof_seconds))
        while True:
            if not self._is_reader():
                touch_delay = await self._touch(touch_delay)
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
                self.on_grown()
            else:
                logger.bind(revision=revision, known=self._view.revision).warning(
                    "watch lags behind, reading everything"
                )
                await self._read_all()
                self._watch_scope.cancel()
            await anyio.sleep(self._proof_seconds)

    async def _touch(self, delay: float) -> float:
        """See whether the store answers, then wait a while or until this entry is to read.

        Args:
            delay: Seconds to wait where it does not.

        Returns:
            The same for the next time.
        """
        sent_at = self._clock.monotonic()
        try:
            await self._state.touch()
        except PlatformError as exc:
            return await self._pause(exc, "touch", delay, sent_at)
        self._view.heard()
        until = self._clock.monotonic() + TOUCH_SECONDS * self._rng.uniform(0.8, 1.2)
        while self._clock.monotonic() < until and not self._is_reader():
            await anyio.sleep(ROLE_SECONDS)
        return FIRST_RETRY

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
        return min(delay * 2, LAST_RETRY if self._reads() else LONELY_RETRY)
