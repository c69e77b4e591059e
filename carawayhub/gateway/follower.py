"""Keeps a fleet view up to date from the published state, and proves its age."""

import random
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.errors import PlatformError
from carawayhub.gateway.freshness import ReadTimes
from carawayhub.gateway.ports import ForwardedContent, Published, PublishedState, Source
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView

WATCH_TIMEOUT_SECONDS = 25.0
"""Longest wait of one watch. Proofs detect a watch whose connection went silent."""

WATCH_GRACE_SECONDS = 0.05
"""Seconds allowed for a healthy watch to deliver a change that is known to exist."""

CATCH_UP_SECONDS = 0.4
"""Seconds allowed to reach the revision of a proof before the proof is repeated."""

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 0.8
"""Minimum and maximum delay before a failed call is retried. While the store is down, each process
makes a few calls a second, and notices early when the store is available again."""


PEER_WAIT_SECONDS = 0.8
"""Longest time for which a starting entry waits for a peer that knows the published state. The VMs
of a fleet start within 0.3 s of each other and need the same time to be up. A peer that is
reached knows the state at once."""

SEED_PEER_WAIT_SECONDS = 0.15
"""Longest time for which a starting seed does. It reads the state for the others if all start at
one moment; if it starts alone, its peers answer within this time, and may know of a configuration
that the store has lost."""

PEER_POLL_SECONDS = 0.03
"""Seconds between two polls for such a peer."""

PEER_REQUEST_JITTER_SECONDS = 0.08
"""Longest random delay before an entry that learned of a change requests it from peers, so that not
all entries send their requests at one moment."""

ADOPTION_INTERVAL_SECONDS = 0.3
"""Seconds between two requests for a configuration that peers have and the store does not list. One
that was just published arrives with its revision in the meantime."""

MIN_BATCH_SECONDS = 0.25
MAX_BATCH_SECONDS = 0.7
"""Minimum and maximum time for which an entry waits for further changes before it reads from the
store a change that no peer can send. The time doubles while changes follow each other closely. If
75 endpoints started one by one, each of 40 entries would otherwise read after each of them."""

BATCH_RESET_SECONDS = 1.0
"""Seconds without a change after which the wait is reset to its minimum."""

WATCH_BATCH_SECONDS = 0.15
"""Seconds between a change that a watch delivered and the next watch, so that changes are read in
batches."""

TOUCH_INTERVAL_SECONDS = 5.0
"""Seconds between two cheap reads by which an entry that relies on its peers checks whether it can
reach the store. An entry that the store rejects stays fresh by its peers' proofs, but cannot read
for others, and directs its callers to other entries. At
an interval of 1.5 s, these reads were half of all calls of 98 entries."""

MAX_FALLBACK_RETRY_SECONDS = 2.0
"""Maximum retry delay of an entry that is not a reader. Readers retry more often, and report it at
once when the store is available again."""

ROLE_CHECK_SECONDS = 0.25
"""Longest time between two checks of whether this entry has to read for its peers."""

MIN_TURN_DELAY_SECONDS = 0.05
MAX_TURN_DELAY_SECONDS = 0.15
"""Extra delay before a reader proves twice in a row, so that the readers alternate and each path to
the store is tested."""

MIN_SLEEP_SECONDS = 0.01
"""Shortest sleep while the next proof is almost due."""


class Role(Enum):
    """Whether an entry reads the store.

    Attributes:
        READER: It reads for its peers.
        FALLBACK: It reads because no peer has reported a recent proof.
        FOLLOWER: It receives updates from its peers.
    """

    READER = "reader"
    FALLBACK = "fallback"
    FOLLOWER = "follower"


async def _no_changes(revision: Revision) -> ForwardedContent | None:
    return None


def _do_nothing() -> None:
    return


class Follower:
    """Follows the published state.

    In entries that read for all, a watch delivers changes at once, and short reads of the newest
    revision prove that none was missed. A watch alone proves nothing: if its connection went silent
    or the store stopped serving it, it looks the same as a fleet without changes.

    Each call has a cost, so two entries read for all. They report the newest revision and the time
    of its proof to the others. An entry that learns of a missing revision, from any source,
    requests it from peers, and reads it from the store if no peer has it.

    Args:
        state: The published state.
        view: The view to keep up to date.
        clock: Source of time.
        rng: Source of jitter.
        times: Ages of the newest proof at which this entry reads.
        reads: Returns whether this entry has to read for its peers.
        fetch_changes: Returns what peers know after a revision, None if no peer knows more.
        first: Whether this entry reads the store at its start without waiting for peers.
        propagation_seconds: Returns the seconds that an update takes to reach all entries.
        lists_first: Returns whether this entry lists the state of a new era without waiting for
            peers.

    Attributes:
        on_grown: Called when this entry has read something new for its peers.
    """

    __slots__ = (
        "_revision_missing",
        "_fetch_changes",
        "_clock",
        "_configuration_missing",
        "_first",
        "_listing",
        "_lists_first",
        "_batch_seconds",
        "_view_changed",
        "_fallback_age",
        "_newest_revision",
        "_propagation_seconds",
        "_proof_age",
        "_proved_revision",
        "_proved_at",
        "_batch_ended_at",
        "_reads",
        "_rng",
        "_role",
        "_state",
        "_peer_update_at",
        "_turn_delay",
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
        fetch_changes: Callable[[Revision], Awaitable[ForwardedContent | None]] = _no_changes,
        first: bool = True,
        propagation_seconds: Callable[[], float] = lambda: 0.0,
        lists_first: Callable[[], bool] = lambda: True,
    ) -> None:
        self._state = state
        self._view = view
        self._clock = clock
        self._rng = rng
        self._reads = reads
        self._fetch_changes = fetch_changes
        self._first = first
        self._lists_first = lists_first
        self._propagation_seconds = propagation_seconds
        self._fallback_age = times.fallback_after + rng.uniform(0.0, times.fallback_spread)
        self._proof_age = times.proof_after
        self._proved_revision = Revision()
        self._proved_at = float("-inf")
        self._turn_delay = rng.uniform(MIN_TURN_DELAY_SECONDS, MAX_TURN_DELAY_SECONDS)
        self._peer_update_at = float("-inf")
        self._role = Role.FOLLOWER
        self.on_grown: Callable[[], None] = _do_nothing
        self._newest_revision = Revision()
        self._view_changed = anyio.Event()
        self._revision_missing = anyio.Event()
        self._configuration_missing = anyio.Event()
        self._watch_scope = anyio.CancelScope()
        self._watching = False
        self._listing = anyio.Lock()
        self._batch_seconds = MIN_BATCH_SECONDS
        self._batch_ended_at = float("-inf")

    async def run(self) -> None:
        """Follow until cancelled."""
        wait = SEED_PEER_WAIT_SECONDS if self._first else PEER_WAIT_SECONDS
        if not await self._get_from_peers(wait):
            await self._read_all()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch)
            tasks.start_soon(self._catch_up)
            tasks.start_soon(self._prove)
            tasks.start_soon(self._touch)
            tasks.start_soon(self._adopt_configurations)

    def note_revision(self, revision: Revision) -> None:
        """Record that a revision of the believed era exists."""
        if revision.era != self._newest_revision.era:
            self._newest_revision = revision
        self._newest_revision = max(self._newest_revision, revision)
        if self._is_behind():
            self._revision_missing.set()

    def note_version(self, version: int) -> None:
        """Record that a peer has a configuration of this version in force."""
        table = self._view.table
        if table is not None and version > table.version:
            self._configuration_missing.set()

    async def _adopt_configurations(self) -> None:
        """Get configurations of a later version than the store lists from peers.

        After its return from a copy, an entry that starts beside it knows only the copy's.
        """
        while True:
            await self._configuration_missing.wait()
            await anyio.sleep(ADOPTION_INTERVAL_SECONDS)
            self._configuration_missing = anyio.Event()
            if not self._is_behind():
                await self._apply_from_peers()

    def _is_behind(self) -> bool:
        return self._is_in_other_era() or self._newest_revision > self._view.revision

    def _is_in_other_era(self) -> bool:
        """Return whether the view is of an era that is over."""
        return self._view.revision.era != self._state.eras.known

    def _update_role(self) -> Role:
        role = self._current_role()
        if role is not self._role:
            logger.bind(role=role.value, age=round(self._view.age, 2)).info("role in reading")
            self._role = role
        return role

    def _current_role(self) -> Role:
        if self._reads():
            return Role.READER
        return Role.FALLBACK if self._age_of_update() > self._fallback_after() else Role.FOLLOWER

    def _fallback_after(self) -> float:
        """Return the age of the newest proof above which an entry that is not a reader reads.

        It is never below the usual age of proofs at their arrival. Otherwise every entry of a very
        large fleet would call the store all the time.
        """
        usual = self._proof_age + MAX_TURN_DELAY_SECONDS + self._propagation_seconds()
        return max(self._fallback_age, usual)

    async def _get_from_peers(self, wait: float) -> bool:
        """Get the complete published state from a peer; return whether a peer sent it.

        Guards against a burst of load on the store: all VMs lose power and start at one moment, or
        the store returns in another era, and each of 98 entries lists the published state.

        Args:
            wait: Longest time in seconds to wait for a peer that knows it.
        """
        known = self._view.revision
        until = self._clock.monotonic() + wait
        while self._clock.monotonic() < until:
            if await self._apply_from_peers() or self._view.revision != known:
                return True
            await anyio.sleep(PEER_POLL_SECONDS)
        return False

    async def _enter_known_era(self) -> None:
        """Get the state of the era that is believed, while the view is of another one."""
        if self._lists_first() or not await self._get_from_peers(PEER_WAIT_SECONDS):
            await self._read_all()

    async def _apply_from_peers(self) -> bool:
        """Apply what a peer knows beyond this view; return whether there was anything new."""
        update = await self._fetch_changes(self._view.revision)
        if update is None or update.published.revision < self._view.revision:
            return False
        if update.published.revision == self._view.revision and update.whole:
            return False
        if update.whole:
            self._view.replace(update.published, Source.PEER)
        else:
            self._view.extend(update.published, Source.PEER)
        self._peer_update_at = self._clock.monotonic()
        logger.bind(
            revision=self._view.revision.number, era=self._view.revision.era, whole=update.whole
        ).info("received an update from a peer")
        self._notify_view_changed()
        return True

    def _notify_view_changed(self) -> None:
        self._view_changed.set()
        self._view_changed = anyio.Event()

    async def _read_all(self) -> None:
        """Read the complete state, unless it is applied meanwhile by another task."""
        known = self._view.revision
        async with self._listing:
            if self._view.revision == known:
                await self._list_until_applied()

    async def _list_until_applied(self) -> None:
        known = self._view.revision
        delay = MIN_RETRY_SECONDS
        while True:
            sent_at = self._clock.monotonic()
            try:
                published = await self._state.snapshot()
            except PlatformError as exc:
                delay = await self._back_off(exc, "snapshot", delay, sent_at)
                if self._view.revision != known or await self._apply_from_peers():
                    return
                continue
            self._view.record_store_answer()
            if published.revision.era != self._state.eras.known:
                # A peer reported the next era while this one was being listed.
                continue
            # The listing must not undo changes that were applied while it was in progress.
            is_same_era = published.revision.era == self._view.revision.era
            if not is_same_era or published.revision >= self._view.revision:
                self._view.replace(published)
            self._view.confirm(sent_at)
            self._notify_view_changed()
            self.on_grown()
            return

    async def _watch(self) -> None:
        """Wait for changes at the store while this entry reads for its peers."""
        delay = MIN_RETRY_SECONDS
        while True:
            if not self._reads():
                await anyio.sleep(ROLE_CHECK_SECONDS)
                continue
            # After a failure, do not wait: the answer shows how long the store was unavailable.
            wait = WATCH_TIMEOUT_SECONDS if delay == MIN_RETRY_SECONDS else 0.0
            with anyio.CancelScope() as self._watch_scope:
                delay = await self._wait_for_changes(wait, delay)

    async def _wait_for_changes(self, wait: float, delay: float) -> float:
        """Apply what a watch delivers.

        Args:
            wait: Seconds to wait for a change.
            delay: Seconds to wait after a failure.

        Returns:
            The delay after the next failure.
        """
        if self._is_in_other_era():
            await self._enter_known_era()
            return MIN_RETRY_SECONDS
        try:
            published = await self._watch_once(wait)
        except PlatformError as exc:
            # A watch may have waited for seconds at a healthy store before it was cut.
            return await self._back_off(exc, "watch", delay, self._clock.monotonic())
        await self._apply(published, Source.WATCH)
        if published is not None and published.changes:
            await anyio.sleep(WATCH_BATCH_SECONDS)
        return MIN_RETRY_SECONDS

    async def _watch_once(self, wait: float) -> Published | None:
        self._watching = True
        try:
            return await self._state.changes(self._view.revision, wait)
        finally:
            self._watching = False

    async def _catch_up(self) -> None:
        """Fetch revisions that exist but that no watch of this entry has delivered."""
        delay = MIN_RETRY_SECONDS
        while True:
            await self._wait_until_behind()
            if not self._is_behind():
                continue
            known = self._view.revision
            if not await self._apply_from_peers():
                delay = await self._read_missing(delay)
            if self._watching and self._view.revision > known:
                # The watch did not deliver these changes, so its connection may be silent.
                self._watch_scope.cancel()

    async def _wait_until_behind(self) -> None:
        """Wait until a revision is missing, then give a running watch time to deliver it."""
        self._revision_missing = anyio.Event()
        if not self._is_behind():
            await self._revision_missing.wait()
        if self._watching:
            await anyio.sleep(WATCH_GRACE_SECONDS)
        else:
            await anyio.sleep(self._rng.uniform(0.0, PEER_REQUEST_JITTER_SECONDS))

    async def _read_missing(self, delay: float) -> float:
        """Read from the store the changes that no peer can send.

        Args:
            delay: Seconds to wait after a failure.

        Returns:
            The delay after the next failure.
        """
        if self._is_in_other_era():
            await self._enter_known_era()
            return MIN_RETRY_SECONDS
        if self._update_role() is Role.FOLLOWER:
            await self._wait_for_batch()
            if not self._is_behind() or await self._apply_from_peers():
                return MIN_RETRY_SECONDS
        sent_at = self._clock.monotonic()
        try:
            published = await self._state.changes(self._view.revision, 0.0)
        except PlatformError as exc:
            return await self._back_off(exc, "changes", delay, sent_at)
        known = self._view.revision
        await self._apply(published, Source.READ)
        # The store is authoritative: a peer that reported a later revision was wrong.
        self._newest_revision = self._view.revision
        if self._view.revision < self._proved_revision:
            logger.bind(
                revision=self._proved_revision.number, known=self._view.revision.number
            ).warning("the store does not return the missing changes; reading the complete state")
            await self._read_all()
        if self._view.revision > known:
            return MIN_RETRY_SECONDS
        await anyio.sleep(delay)
        return min(2 * delay, MAX_RETRY_SECONDS)

    async def _wait_for_batch(self) -> None:
        """Wait for further changes before they are read from the store."""
        left = self._fallback_after() - self._view.age
        seconds = min(self._next_batch_seconds(), max(MIN_BATCH_SECONDS, left))
        await anyio.sleep(seconds * self._rng.uniform(0.5, 1.0))
        self._batch_ended_at = self._clock.monotonic()

    def _next_batch_seconds(self) -> float:
        """Return for how long to wait for further changes."""
        in_a_row = self._clock.monotonic() - self._batch_ended_at < BATCH_RESET_SECONDS
        self._batch_seconds = (
            min(2 * self._batch_seconds, MAX_BATCH_SECONDS) if in_a_row else MIN_BATCH_SECONDS
        )
        return self._batch_seconds

    async def _apply(self, published: Published | None, source: Source) -> None:
        self._view.record_store_answer()
        if published is None:
            logger.bind(
                revision=self._view.revision.number,
                era=self._view.revision.era,
                known_era=self._state.eras.known,
            ).info("the store does not have the history since this revision; reading everything")
            await self._read_all()
        else:
            self._view.extend(published, source)
            if published.changes:
                self.on_grown()
        self._notify_view_changed()

    async def _prove(self) -> None:
        """Prove that this view is the newest whenever the latest proof is too old."""
        delay = MIN_RETRY_SECONDS
        while True:
            await self._wait_until_proof_is_due()
            sent_at = self._clock.monotonic()
            try:
                revision = await self._state.revision()
            except PlatformError as exc:
                delay = await self._back_off(exc, "proof", delay, sent_at)
                continue
            delay = MIN_RETRY_SECONDS
            self._view.record_store_answer()
            self._proved_revision = revision
            self.note_revision(revision)
            self._view.confirm_revision(revision, sent_at)
            self._proved_at = sent_at
            logger.bind(
                revision=revision.number, era=revision.era, known=self._view.revision.number
            ).info("revision proved")
            self._turn_delay = self._rng.uniform(MIN_TURN_DELAY_SECONDS, MAX_TURN_DELAY_SECONDS)
            if await self._reaches(revision):
                self.on_grown()
            else:
                logger.bind(
                    revision=revision.number, era=revision.era, known=self._view.revision.number
                ).warning("changes known to the store were not delivered in time")

    async def _wait_until_proof_is_due(self) -> None:
        """Wait until the newest proof, by any entry, is too old."""
        while (left := self._seconds_to_proof()) > 0:
            await anyio.sleep(max(MIN_SLEEP_SECONDS, min(left, ROLE_CHECK_SECONDS)))

    def _seconds_to_proof(self) -> float:
        if self._update_role() is not Role.READER:
            return self._fallback_after() - self._age_of_update()
        is_own = self._proved_at >= self._view.confirmed_at
        return self._proof_age + (self._turn_delay if is_own else 0.0) - self._view.age

    def _age_of_update(self) -> float:
        # The next datagram of a peer proves an update from a peer to be the newest shortly after.
        return min(self._view.age, self._clock.monotonic() - self._peer_update_at)

    async def _touch(self) -> None:
        """Check periodically whether the store answers, while peers read for this entry."""
        delay = MIN_RETRY_SECONDS
        while True:
            if self._update_role() is not Role.FOLLOWER:
                await anyio.sleep(ROLE_CHECK_SECONDS)
                continue
            sent_at = self._clock.monotonic()
            try:
                await self._state.check_reachable()
            except PlatformError as exc:
                delay = await self._back_off(exc, "touch", delay, sent_at)
                continue
            delay = MIN_RETRY_SECONDS
            self._view.record_store_answer()
            await anyio.sleep(TOUCH_INTERVAL_SECONDS * self._rng.uniform(0.8, 1.2))

    async def _reaches(self, revision: Revision) -> bool:
        """Return whether the view reaches ``revision`` within ``CATCH_UP_SECONDS``."""
        with anyio.move_on_after(CATCH_UP_SECONDS):
            while self._view.revision < revision:
                await self._view_changed.wait()
        return self._view.revision >= revision

    async def _back_off(self, exc: PlatformError, call: str, delay: float, since: float) -> float:
        """Wait before a failed call is retried; return the next delay.

        Args:
            exc: Error of the call.
            call: Name of the call.
            delay: Seconds to wait.
            since: Time since which the store is known not to answer.
        """
        self._view.failed(since)
        logger.bind(call=call, error=str(exc), age=round(self._view.age, 2)).warning(
            "store did not answer"
        )
        await anyio.sleep(delay * self._rng.uniform(0.7, 1.3))
        return min(delay * 2, MAX_RETRY_SECONDS if self._reads() else MAX_FALLBACK_RETRY_SECONDS)
