"""The published state as known to an entry, and how long it counts as valid."""

import random
import unittest
import unittest.mock

import anyio

from benchmarks.virtual_time import LoopClock, VirtualTimeLoop
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.errors import PlatformError
from carawayhub.gateway.follower import (
    CATCH_UP_SECONDS,
    MAX_RETRY_SECONDS,
    MAX_TURN_DELAY_SECONDS,
    Follower,
)
from carawayhub.gateway.freshness import Bounds, read_times
from carawayhub.gateway.hello import News
from carawayhub.gateway.model import EndpointState
from carawayhub.gateway.ports import (
    EndpointPublished,
    EndpointRemoved,
    ForwardedContent,
    Published,
    TablePublished,
)
from carawayhub.gateway.process import GatewayProcess
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.gateway.view import LAPSE_GRACE_SECONDS, FleetView
from carawayhub.platform.headers import PlatformWire
from tests.gateway_world import endpoint, entry_options, table

HEARTBEAT = 1.2
TIMES = read_times(Bounds(config_apply=2.0, drain=2.0, revoke_after=5.0))
PROOF_SECONDS = TIMES.proof_after + MAX_TURN_DELAY_SECONDS
FALLBACK_SECONDS = TIMES.fallback_after + TIMES.fallback_spread


def published(revision: int, *changes) -> Published:
    return Published(revision=Revision(0, revision), changes=changes)


class View(unittest.TestCase):
    """Changes and snapshots."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.view = FleetView(self.clock, HEARTBEAT)
        self.view.record_store_answer()
        self.view.replace(
            published(
                5,
                TablePublished(table(3)),
                EndpointPublished(endpoint("i-1")),
                EndpointPublished(endpoint("i-2")),
            )
        )

    def serving(self) -> set[str]:
        return {each.id for each in self.view.serving("llm")}

    def test_configuration_never_goes_back(self) -> None:
        """The store is available again with old history and serves a replaced configuration.

        Callers of a route that was added since would get 404.
        """
        self.view.extend(published(6, TablePublished(table(2))))
        self.assertEqual(self.view.table.version, 3)
        self.view.replace(published(6, TablePublished(table(1))))
        self.assertEqual(self.view.table.version, 3)

    def test_draining_endpoint_gets_nothing(self) -> None:
        self.view.extend(
            published(6, EndpointPublished(endpoint("i-1", state=EndpointState.DRAINING)))
        )
        self.assertEqual(self.serving(), {"i-2"})
        self.assertIsNone(self.view.endpoint("i-1"))

    def test_removed_endpoint_gets_nothing(self) -> None:
        self.view.extend(published(6, EndpointRemoved("i-1")))
        self.assertEqual(self.serving(), {"i-2"})

    def test_snapshot_removes_what_it_does_not_name(self) -> None:
        self.view.replace(published(9, EndpointPublished(endpoint("i-2"))))
        self.assertEqual(self.serving(), {"i-2"})

    def test_lapsed_entries_stay_in_use_until_they_should_be_back(self) -> None:
        """The store is unavailable for four seconds, so no endpoint can renew its entry.

        All entries lapse. Treating them as removed would refuse every caller until they are
        renewed.
        """
        self.view.failed(self.clock.monotonic())
        self.clock.advance(4.0)
        self.view.record_store_answer()
        self.view.extend(published(6, EndpointRemoved("i-1"), EndpointRemoved("i-2")))
        self.assertEqual(self.serving(), {"i-1", "i-2"})
        self.view.extend(published(7, EndpointPublished(endpoint("i-2"))))
        self.clock.advance(LAPSE_GRACE_SECONDS + 0.01)
        self.assertEqual(self.serving(), {"i-2"})
        self.assertIsNone(self.view.endpoint("i-1"))

    def hear_that_store_was_away(self, seconds: float) -> None:
        """Hear of a peer that the store did not answer for a while."""

        async def hear() -> None:
            options = entry_options("127.0.0.1", ["127.0.0.1"])
            state, rng = unittest.mock.Mock(), random.Random(1)
            process = GatewayProcess(options, state, PlatformWire(), self.clock, rng, frozenset)
            process._view = self.view
            process._apply_news(News(5, 0.0, seconds), float("-inf"), "10.0.0.9")

        anyio.run(hear)

    def test_removal_counts_while_only_a_peer_was_cut_off(self) -> None:
        """Guards against holding a replica that left because another entry had lost the store.

        That entry takes its own partition for an outage, in which entries lapse, and says so.
        """
        for _ in range(20):
            self.clock.advance(0.5)
            self.view.confirm(self.clock.monotonic() - 0.2)
        self.hear_that_store_was_away(LAPSE_GRACE_SECONDS)
        self.view.extend(published(6, EndpointRemoved("i-1")))
        self.assertEqual(self.serving(), {"i-2"})

    def test_removal_is_held_while_the_store_was_away_for_all(self) -> None:
        """An entry that has no proof of its own either goes by what a peer says of the outage."""
        self.view.confirm(self.clock.monotonic())
        self.clock.advance(4.0)
        self.hear_that_store_was_away(LAPSE_GRACE_SECONDS)
        self.view.confirm(self.clock.monotonic())
        self.hear_that_store_was_away(LAPSE_GRACE_SECONDS)
        self.view.extend(published(6, EndpointRemoved("i-1")))
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_successor_at_an_address_ends_the_one_before(self) -> None:
        """A replica crashes and another one starts at its address.

        The entry of the first remains for three heartbeats, in which each request sent to it is
        refused.
        """
        self.view.misdirected("i-1")
        self.view.extend(published(6, EndpointPublished(endpoint("i-1"))))
        self.assertEqual(self.serving(), {"i-2"})

    def test_entry_left_by_a_crash_gets_nothing_once_its_successor_is_there(self) -> None:
        """After a power loss, callers that retry must not be refused while engines are up.

        The entries of all replicas remain for three heartbeats, while their successors register at
        the same addresses. A request sent to two former replicas in a row has used up its attempts.
        """
        self.view.extend(
            published(
                7,
                EndpointPublished(
                    endpoint("i-1", address="10.0.0.1:80", registered=Revision(0, 3))
                ),
                EndpointPublished(
                    endpoint("i-9", address="10.0.0.1:80", registered=Revision(0, 7))
                ),
            )
        )
        self.assertEqual(self.serving(), {"i-2", "i-9"})
        self.assertIsNone(self.view.endpoint("i-1"))

    def test_renewed_entry_does_not_end_its_successor(self) -> None:
        """The last heartbeat of the former replica is late, but its entry was registered first."""
        for name, registered in (("i-9", 7), ("i-1", 3)):
            entry = endpoint(name, address="10.0.0.1:80", registered=Revision(0, registered))
            self.view.extend(published(8, EndpointPublished(entry)))
        self.assertEqual(self.serving(), {"i-2", "i-9"})

    def test_former_one_is_back_when_its_successor_is_gone(self) -> None:
        for name, registered in (("i-1", 3), ("i-9", 7)):
            entry = endpoint(name, address="10.0.0.1:80", registered=Revision(0, registered))
            self.view.extend(published(8, EndpointPublished(entry)))
        self.view.extend(published(9, EndpointRemoved("i-9")))
        self.assertEqual(self.serving(), {"i-1", "i-2"})

    def test_age_counts_from_the_sending_of_the_proof(self) -> None:
        sent_at = self.clock.monotonic()
        self.clock.advance(0.8)
        self.view.confirm(sent_at)
        self.assertAlmostEqual(self.view.age, 0.8)
        self.view.confirm(sent_at - 5.0)
        self.assertAlmostEqual(self.view.age, 0.8)


class FakeState:
    """A published state whose watch can stall and whose reads can fail."""

    def __init__(self) -> None:
        self.eras = Eras()
        self.now = 1
        self.watch_stalled = False
        self.cut = False
        self.down = False
        self.snapshots = 0
        self.reads = 0
        self.touches = 0
        self.changed = anyio.Event()

    def change(self) -> None:
        self.now += 1
        self.changed.set()
        self.changed = anyio.Event()

    async def snapshot(self) -> Published:
        await self._answer()
        self.snapshots += 1
        return published(self.now, TablePublished(table(self.now)))

    async def changes(self, after: Revision, wait: float) -> Published | None:
        self.reads += 1
        with anyio.move_on_after(wait):
            while (self.watch_stalled or self.now <= after.number) and not self.cut:
                await self.changed.wait()
        if self.cut:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, "cut")
        await self._answer()
        if self.watch_stalled:
            return published(after.number)
        return published(self.now, TablePublished(table(self.now)))

    async def revision(self) -> Revision:
        self.reads += 1
        await self._answer()
        return Revision(0, self.now)

    async def check_reachable(self) -> None:
        self.touches += 1
        await self._answer()

    async def _answer(self) -> None:
        await anyio.sleep(0.004)
        if self.down:
            raise PlatformError(Code.PLATFORM_UNREACHABLE, "down")


class Follow(unittest.TestCase):
    """The tasks that keep a view up to date."""

    def setUp(self) -> None:
        self.first = True
        self.peers: FakeState | None = None
        self.peer_requests = 0
        self.propagation_seconds = 0.0

    async def fetch_changes(self, revision: Revision) -> ForwardedContent | None:
        """Answer like peers that know the complete published state, None while there are none."""
        self.peer_requests += 1
        await anyio.sleep(0.002)
        if self.peers is None or self.peers.now <= revision.number:
            return None
        return ForwardedContent(
            published(self.peers.now, TablePublished(table(self.peers.now))), True
        )

    def run_follower(self, scenario, *, reads: bool = True) -> tuple[FleetView, FakeState]:
        async def main() -> None:
            clock = LoopClock()
            self.state = FakeState()
            self.view = FleetView(clock, HEARTBEAT)
            async with anyio.create_task_group() as tasks:
                follower = Follower(
                    self.state,
                    self.view,
                    clock,
                    random.Random(1),
                    TIMES,
                    lambda: reads,
                    self.fetch_changes,
                    first=self.first,
                    propagation_seconds=lambda: self.propagation_seconds,
                )
                self.follower = follower
                tasks.start_soon(follower.run)
                await anyio.sleep(PROOF_SECONDS)
                await scenario()
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
        return self.view, self.state

    def test_change_is_in_force_at_once(self) -> None:
        async def scenario() -> None:
            self.state.change()
            await anyio.sleep(0.05)
            self.assertEqual(self.view.table.version, 2)

        self.run_follower(scenario)

    def test_quiet_store_keeps_the_view_fresh(self) -> None:
        async def scenario() -> None:
            await anyio.sleep(30.0)
            self.assertLess(self.view.age, PROOF_SECONDS + 0.1)

        self.run_follower(scenario)
        self.assertEqual(self.state.snapshots, 1)

    def test_deaf_watch_is_found_out(self) -> None:
        """A watch stays open but delivers nothing while the configuration changes.

        A revoked key would still be accepted. The next proof reports a revision that the watch has
        not reached, so the complete state is read again.
        """

        async def scenario() -> None:
            self.state.watch_stalled = True
            self.state.change()
            await anyio.sleep(PROOF_SECONDS + CATCH_UP_SECONDS + 0.1)
            self.assertEqual(self.view.table.version, 2)

        self.run_follower(scenario)

    def test_entry_that_hears_of_others_reads_only_changes(self) -> None:
        """One entry of a failure domain reads for all; the others receive the changes."""

        async def scenario() -> None:
            reads = self.state.reads
            for _ in range(40):
                self.view.confirm_revision(Revision(0, self.state.now), anyio.current_time())
                await anyio.sleep(0.25)
            self.assertEqual(self.state.reads, reads)
            self.state.change()
            self.follower.note_revision(Revision(0, self.state.now))
            self.view.confirm_revision(Revision(0, self.state.now), anyio.current_time())
            await anyio.sleep(0.6)
            self.assertEqual(self.state.reads, reads + 1)
            self.assertEqual(self.view.table.version, 2)

        self.run_follower(scenario, reads=False)

    def test_changes_in_a_row_are_read_together(self) -> None:
        """All endpoints start, one every 70 ms, and each of 40 entries would read after each.

        Calls have a cost and a rate limit that all entries share.
        """

        async def scenario() -> None:
            reads = self.state.reads
            for _ in range(70):
                self.state.change()
                self.follower.note_revision(Revision(0, self.state.now))
                self.view.confirm_revision(Revision(0, self.state.now), anyio.current_time())
                await anyio.sleep(0.07)
            self.assertLessEqual(self.state.reads - reads, 12)
            await anyio.sleep(1.0)
            self.assertEqual(self.view.table.version, self.state.now)

        self.run_follower(scenario, reads=False)

    def test_watch_takes_changes_in_a_row_together(self) -> None:
        async def scenario() -> None:
            reads = self.state.reads
            for _ in range(100):
                self.state.change()
                await anyio.sleep(0.02)
            self.assertLessEqual(self.state.reads - reads, 28)
            await anyio.sleep(0.1)
            self.assertEqual(self.view.table.version, self.state.now)

        self.run_follower(scenario)

    def test_proof_of_a_newer_revision_proves_nothing_here(self) -> None:
        """A peer knows that a key was revoked; this entry does not, and must not count as fresh."""

        async def scenario() -> None:
            age = self.view.age
            self.view.confirm_revision(Revision(0, self.state.now + 1), anyio.current_time())
            self.assertEqual(self.view.age, age)

        self.run_follower(scenario, reads=False)

    def test_entry_whose_peers_fall_silent_reads_for_itself(self) -> None:
        async def scenario() -> None:
            await anyio.sleep(8.0)
            self.assertLess(self.view.age, FALLBACK_SECONDS + PROOF_SECONDS)

        self.run_follower(scenario, reads=False)

    def test_slow_news_of_a_large_fleet_are_no_lack_of_news(self) -> None:
        """Guards against hundreds of entries that all call the store since proofs arrive late."""
        self.propagation_seconds = 1.5

        async def scenario() -> None:
            reads = self.state.reads
            for _ in range(20):
                self.view.confirm_revision(Revision(0, self.state.now), anyio.current_time() - 1.3)
                await anyio.sleep(1.0)
            self.assertEqual(self.state.reads, reads)

        self.run_follower(scenario, reads=False)

    def test_changes_that_a_peer_knows_are_not_read_from_the_store(self) -> None:
        """Guards against 98 entries that each read every change, as each call has a cost."""

        async def scenario() -> None:
            self.peers = self.state
            reads = self.state.reads
            for _ in range(20):
                self.state.change()
                self.follower.note_revision(Revision(0, self.state.now))
                await anyio.sleep(0.2)
                self.assertEqual(self.view.table.version, self.state.now)
                self.view.confirm_revision(Revision(0, self.state.now), anyio.current_time())
            self.assertEqual(self.state.reads, reads)

        self.run_follower(scenario, reads=False)

    def test_entry_that_starts_learns_from_a_peer_what_is_published(self) -> None:
        """Guards against every entry listing the complete state when all VMs start at once."""
        self.first = False

        async def scenario() -> None:
            self.assertEqual(self.view.table.version, 1)

        async def fetch_once_peers_are_up(revision: int) -> ForwardedContent | None:
            if anyio.current_time() > 0.3:
                self.peers = self.state
            return await Follow.fetch_changes(self, revision)

        self.fetch_changes = fetch_once_peers_are_up
        self.run_follower(scenario, reads=False)
        self.assertEqual(self.state.snapshots, 0)

    def test_entry_that_meets_nobody_reads_for_itself(self) -> None:
        self.first = False

        async def scenario() -> None:
            self.assertEqual(self.view.table.version, 1)

        self.run_follower(scenario, reads=False)
        self.assertEqual(self.state.snapshots, 1)

    def test_proof_of_a_revision_counts_once_that_is_known(self) -> None:
        """Guards against entries that count as outdated while changes follow each other closely."""

        async def scenario() -> None:
            self.state.change()
            proved_at = anyio.current_time()
            self.view.confirm_revision(Revision(0, self.state.now), proved_at)
            self.assertLess(self.view.confirmed_at, proved_at)
            self.view.extend(published(self.state.now, TablePublished(table(2))))
            self.assertEqual(self.view.confirmed_at, proved_at)

        self.run_follower(scenario, reads=False)

    def test_reader_that_hears_of_a_change_does_not_wait_for_its_own_watch(self) -> None:
        """Guards against a reader that ignores its peers while its own watch is silent."""

        async def scenario() -> None:
            self.state.watch_stalled = True
            self.state.change()
            self.peers = self.state
            self.follower.note_revision(Revision(0, self.state.now))
            await anyio.sleep(0.1)
            self.assertEqual(self.view.table.version, self.state.now)

        self.run_follower(scenario)

    def test_entry_that_the_store_turns_away_asks_its_peers(self) -> None:
        """Guards against an entry that waits only for the store after a read failed."""

        async def scenario() -> None:
            self.state.down = True
            for _ in range(8):
                self.state.change()
                self.follower.note_revision(Revision(0, self.state.now))
                await anyio.sleep(0.5)
            self.peers = self.state
            self.follower.note_revision(Revision(0, self.state.now))
            await anyio.sleep(MAX_RETRY_SECONDS + 0.5)
            self.assertEqual(self.view.table.version, self.state.now)
            for _ in range(4):
                self.state.change()
                self.follower.note_revision(Revision(0, self.state.now))
                await anyio.sleep(0.2)
                self.assertEqual(self.view.table.version, self.state.now)

        self.run_follower(scenario)

    def test_peer_that_names_a_revision_which_does_not_exist_costs_few_reads(self) -> None:
        async def scenario() -> None:
            reads = self.state.reads
            for _ in range(100):
                self.follower.note_revision(Revision(0, self.state.now + 1))
                await anyio.sleep(0.1)
            self.assertLessEqual(self.state.reads - reads, 30)

        self.run_follower(scenario)

    def test_listing_that_was_overtaken_takes_nothing_back(self) -> None:
        """Guards against a listing that ends after a watch or peer delivered a later change."""

        async def scenario() -> None:
            self.state.change()
            await anyio.sleep(0.1)
            old = published(1, TablePublished(table(1)))

            async def stale_snapshot() -> Published:
                return old

            self.state.snapshot = stale_snapshot
            await self.follower._read_all()
            self.assertEqual((self.view.revision, self.view.table.version), (Revision(0, 2), 2))

        self.run_follower(scenario)

    def test_peer_that_is_behind_changes_nothing(self) -> None:
        """A peer answers late with an older state. The configuration must not revert to it."""

        async def scenario() -> None:
            self.state.change()
            await anyio.sleep(0.1)
            revision = self.view.revision
            old = ForwardedContent(published(1, TablePublished(table(1))), True)

            async def late(revision: int) -> ForwardedContent | None:
                return old

            self.follower._fetch_changes = late
            self.assertFalse(await self.follower._apply_from_peers())
            self.assertEqual(self.view.revision, revision)

        self.run_follower(scenario)

    def test_entries_without_news_do_not_call_a_store_that_is_away_all_the_time(self) -> None:
        """The store is down for ten seconds, and every process would call it ten times a second.

        Refused calls have a cost as well, and the store would have to recover under that load.
        """

        async def scenario() -> None:
            self.state.down = True
            reads, touches = self.state.reads, self.state.touches
            await anyio.sleep(10.0)
            calls = self.state.reads - reads + self.state.touches - touches
            self.assertLessEqual(calls, 25)

        self.run_follower(scenario, reads=False)

    def test_cut_watch_is_no_outage(self) -> None:
        """The store cuts a watch that has waited for seconds, and serves all other calls.

        An entry that counts the wait as an outage would leave the directories, and would still send
        requests to endpoints removed since, as if their entries had only lapsed.
        """

        async def scenario() -> None:
            await anyio.sleep(4.0)
            self.state.cut = True
            self.state.changed.set()
            self.state.changed = anyio.Event()
            await anyio.sleep(0.01)
            self.assertLess(self.view.unanswered_seconds, 0.1)
            self.state.cut = False
            await anyio.sleep(0.5)
            self.assertEqual(self.view.grace, 0.0)
            self.assertEqual(self.view.unanswered_seconds, 0.0)

        self.run_follower(scenario)

    def test_age_grows_while_the_store_is_down(self) -> None:
        async def scenario() -> None:
            self.state.down = True
            await anyio.sleep(6.0)
            self.assertGreater(self.view.age, 6.0)
            self.state.down = False
            await anyio.sleep(2.0)
            self.assertLess(self.view.age, 2.0)

        self.run_follower(scenario)


if __name__ == "__main__":
    unittest.main()
