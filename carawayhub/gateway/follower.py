"""Keeps a fleet view up to date from the published state, and proves how old it is."""

import random
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.errors import PlatformError
from carawayhub.gateway.freshness import ReadTimes
from carawayhub.gateway.ports import ForwardedContent, Published, PublishedState, Source
from carawayhub.gateway.view import FleetView

WATCH_SECONDS = 25.0
"""Longest wait of one watch; a proof detects one whose connection went silent."""

WATCH_GRACE = 0.05
"""Time allowed for a healthy watch to deliver a change that is known to exist."""

CATCH_UP = 0.4
"""Time allowed to reach the revision that a proof named before the proof is repeated."""

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
the other. While 75 endpoints start one by one, each of 40 entries would read after each of them."""

IN_A_ROW_SECONDS = 1.0
"""Time without a change after which the next one is read as soon as the first was."""

WATCH_GATHER_SECONDS = 0.15
"""Time between a change that a watch brought and the next watch, for the same reason."""

TOUCH_SECONDS = 5.0
"""Time between two cheap reads by which an entry that leaves the reading to its peers sees whether
it could read. One that the store turns away is served by its peers' proofs, but is none that could
read for others, and sends its callers on. At 1.5 s these were half of all calls of 98 entries."""

FALLBACK_RETRY = 2.0
"""Longest pause between failed calls of an entry that is no reader. Readers retry more often, and
report the store's return at once."""

ROLE_SECONDS = 0.25
"""Longest time between two looks at whether an entry is to read for its peers."""

LEAST_TURN = 0.05
LONGEST_TURN = 0.15
"""Extra delay before a reader proves twice in a row, so that readers alternate and each path to the
store is tried."""

LEAST_LOOK = 0.01
"""Shortest sleep while a proof is about to fall due."""


class Role(Enum):
    """Whether an entry reads the store.

    Attributes:
        READER: It reads for its peers.
        FALLBACK: It reads because no peer has reported a recent proof.
        FOLLOWER: It is told by its peers.
    """

    READER = "reader"
    FALLBACK = "fallback"
    FOLLOWER = "follower"


async def _nothing_beyond(revision: int) -> ForwardedContent | None:
    return None


def _nothing() -> None:
    return


class Follower:
    """Follows the published state.

    A watch brings changes at once to entries that read for all, and short reads of the newest
    revision prove that none was missed. A watch alone proves nothing: one whose connection went
    silent, or that the store has stopped feeding, looks like a fleet in which nothing changes.

    Each call has a price, so two entries do this for all. The others hear from them which revision
    is the newest, and as of when. An entry that learns of a revision which it lacks, from any
    source, asks peers for it and reads it from the store where none has it.

    Args:
        state: The published state.
        view: The view to keep up to date.
        clock: Source of time.
        rng: Source of jitter.
        times: Ages of the newest proof at which this entry reads.
        reads: Whether this entry is to read for its peers.
        beyond: Gives what peers know beyond a revision, None where none can tell.
        first: Whether this entry reads at its start without waiting for peers.
        news_seconds: Gives the seconds that news take to reach all entries.

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
        "_fallback_age",
        "_newest",
        "_news_seconds",
        "_proof_age",
        "_proved",
        "_proved_at",
        "_read_at",
        "_reads",
        "_rng",
        "_role",
        "_state",
        "_told_at",
        "_turn",
        "_view",
        "_watch_scope",
        "_watching",
        "on_grown",
    )

    def __init__(
        self,
        state: PublishedState,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        times: ReadTimes,
        reads: Callable[[], bool] = lambda: True,
        beyond: Callable[[int], Awaitable[ForwardedContent | None]] = _nothing_beyond,
        first: bool = True,
        news_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._state = state
        self._view = view
        self._clock = clock
        self._rng = rng
        self._reads = reads
        self._beyond = beyond
        self._first = first
        self._news_seconds = news_seconds
        self._fallback_age = times.fallback_after + rng.uniform(0.0, times.fallback_spread)
        self._proof_age = times.proof_after
        self._proved = 0
        self._proved_at = float("-inf")
        self._turn = rng.uniform(LEAST_TURN, LONGEST_TURN)
        self._told_at = float("-inf")
        self._role = Role.FOLLOWER
        self.on_grown: Callable[[], None] = _nothing
        self._newest = 0
        self._grown = anyio.Event()
        self._behind = anyio.Event()
        self._watch_scope = anyio.CancelScope()
        self._watching = False
        self._gather = GATHER_SECONDS
        self._read_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        if self._first or not await self._learn_from_peers():
            await self._read_all()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._catch_up)
            tasks.start_soon(self._prove)
            tasks.start_soon(self._touch)

    def heard_of(self, revision: int) -> None:
        """Note that a revision exists."""
        self._newest = max(self._newest, revision)
        if self._lacks_some():
            self._behind.set()

    def _lacks_some(self) -> bool:
        return self._newest > self._view.revision

    def _look_at_role(self) -> Role:
        role = self._role_now()
        if role is not self._role:
            logger.bind(role=role.value, age=round(self._view.age, 2)).info("role in reading")
            self._role = role
        return role

    def _role_now(self) -> Role:
        if self._reads():
            return Role.READER
        return Role.FALLBACK if self._age_of_news() > self._fallback_after() else Role.FOLLOWER

    def _fallback_after(self) -> float:
        """Return the age of the newest proof from which on an entry that is no reader reads.

        Never below the age that proofs usually have when they arrive: in a very large fleet every
        entry would otherwise call the store all the time.
        """
        usual = self._proof_age + LONGEST_TURN + self._news_seconds()
        return max(self._fallback_age, usual)

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
            # What was taken in while the listing was under way must not be taken back.
            if published.revision >= self._view.revision:
                self._view.replace(published)
            self._view.confirm(sent_at)
            self.on_grown()
            return

    async def _watch(self) -> None:
        """Wait for changes at the store while this entry reads for its peers."""
        delay = FIRST_RETRY
        while True:
            if not self._reads():
                await anyio.sleep(ROLE_SECONDS)
                continue
            # After a failure the answer is wanted at once: it tells how long the store was away.
            wait = WATCH_SECONDS if delay == FIRST_RETRY else 0.0
            with anyio.CancelScope() as self._watch_scope:
                delay = await self._wait_for_changes(wait, delay)

    async def _wait_for_changes(self, wait: float, delay: float) -> float:
        """Take in what a watch brings.

        Args:
            wait: Seconds to wait for a change.
            delay: Seconds to wait after a failure.

        Returns:
            The same for the next time.
        """
        try:
            published = await self._watch_once(wait)
        except PlatformError as exc:
            # A watch may have waited for seconds at a sound store before it was cut.
            return await self._pause(exc, "watch", delay, self._clock.monotonic())
        await self._take(published, Source.WATCH)
        if published is not None and published.changes:
            await anyio.sleep(WATCH_GATHER_SECONDS)
        return FIRST_RETRY

    async def _watch_once(self, wait: float) -> Published | None:
        self._watching = True
        try:
            return await self._state.changes(self._view.revision, wait)
        finally:
            self._watching = False

    async def _catch_up(self) -> None:
        """Fetch revisions that exist and that no watch of this entry has delivered."""
        delay = FIRST_RETRY
        while True:
            await self._until_behind()
            if not self._lacks_some():
                continue
            known = self._view.revision
            if not await self._take_from_peers():
                delay = await self._read_missing(delay)
            if self._watching and self._view.revision > known:
                # The watch did not deliver these changes, so its connection may be silent.
                self._watch_scope.cancel()

    async def _until_behind(self) -> None:
        """Wait until a revision is missing here, and give a watch in flight time to deliver it."""
        self._behind = anyio.Event()
        if not self._lacks_some():
            await self._behind.wait()
        if self._watching:
            await anyio.sleep(WATCH_GRACE)
        else:
            await anyio.sleep(self._rng.uniform(0.0, ASK_SPREAD))

    async def _read_missing(self, delay: float) -> float:
        """Read from the store what no peer can tell.

        Args:
            delay: Seconds to wait after a failure.

        Returns:
            The same for the next time.
        """
        if self._look_at_role() is Role.FOLLOWER:
            await self._gather_changes()
            if not self._lacks_some() or await self._take_from_peers():
                return FIRST_RETRY
        sent_at = self._clock.monotonic()
        try:
            published = await self._state.changes(self._view.revision, 0.0)
        except PlatformError as exc:
            return await self._pause(exc, "changes", delay, sent_at)
        known = self._view.revision
        await self._take(published, Source.READ)
        # The store is the authority: a peer that named a later revision was wrong.
        self._newest = self._view.revision
        if self._view.revision < self._proved:
            logger.bind(revision=self._proved, known=self._view.revision).warning(
                "the store does not tell what has changed, reading everything"
            )
            await self._read_all()
        if self._view.revision > known:
            return FIRST_RETRY
        await anyio.sleep(delay)
        return min(2 * delay, LAST_RETRY)

    async def _gather_changes(self) -> None:
        """Wait for further changes before they are read from the store."""
        left = self._fallback_after() - self._view.age
        seconds = min(self._gather_seconds(), max(GATHER_SECONDS, left))
        await anyio.sleep(seconds * self._rng.uniform(0.5, 1.0))
        self._read_at = self._clock.monotonic()

    def _gather_seconds(self) -> float:
        """Return for how long to wait for further changes."""
        in_a_row = self._clock.monotonic() - self._read_at < IN_A_ROW_SECONDS
        self._gather = min(2 * self._gather, LAST_GATHER_SECONDS) if in_a_row else GATHER_SECONDS
        return self._gather

    async def _take(self, published: Published | None, source: Source) -> None:
        self._view.heard()
        if published is None:
            logger.info("history is gone, reading everything")
            await self._read_all()
        else:
            self._view.extend(published, source)
            if published.changes:
                self.on_grown()
        self._note_growth()

    async def _prove(self) -> None:
        """Prove that this view is the newest whenever the last proof has grown too old."""
        delay = FIRST_RETRY
        while True:
            await self._until_proof_is_due()
            sent_at = self._clock.monotonic()
            try:
                revision = await self._state.revision()
            except PlatformError as exc:
                delay = await self._pause(exc, "proof", delay, sent_at)
                continue
            delay = FIRST_RETRY
            self._view.heard()
            self._proved = revision
            self.heard_of(revision)
            self._view.confirm_revision(revision, sent_at)
            self._proved_at = sent_at
            self._turn = self._rng.uniform(LEAST_TURN, LONGEST_TURN)
            if await self._reaches(revision):
                self.on_grown()
            else:
                logger.bind(revision=revision, known=self._view.revision).warning(
                    "changes that the store has do not come"
                )

    async def _until_proof_is_due(self) -> None:
        """Wait until the newest proof, whoever made it, has grown too old."""
        while (left := self._seconds_to_proof()) > 0:
            await anyio.sleep(max(LEAST_LOOK, min(left, ROLE_SECONDS)))

    def _seconds_to_proof(self) -> float:
        if self._look_at_role() is not Role.READER:
            return self._fallback_after() - self._age_of_news()
        is_own = self._proved_at >= self._view.confirmed_at
        return self._proof_age + (self._turn if is_own else 0.0) - self._view.age

    def _age_of_news(self) -> float:
        # What a peer told is proved to be new by the next datagram of a peer, a moment later.
        return min(self._view.age, self._clock.monotonic() - self._told_at)

    async def _touch(self) -> None:
        """See now and then whether the store answers, while peers do the reading."""
        delay = FIRST_RETRY
        while True:
            if self._look_at_role() is not Role.FOLLOWER:
                await anyio.sleep(ROLE_SECONDS)
                continue
            sent_at = self._clock.monotonic()
            try:
                await self._state.check_reachable()
            except PlatformError as exc:
                delay = await self._pause(exc, "touch", delay, sent_at)
                continue
            delay = FIRST_RETRY
            self._view.heard()
            await anyio.sleep(TOUCH_SECONDS * self._rng.uniform(0.8, 1.2))

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
        return min(delay * 2, LAST_RETRY if self._reads() else FALLBACK_RETRY)
