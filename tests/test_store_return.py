"""Entries that follow a store which returns from an older copy of itself."""

import unittest
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from benchmarks.store_fleet import StoreFleet
from carawayhub.platform.standins import registration

SIZES = ((6, 3), (45, 3), (98, 5))
"""Entries and failure domains."""

AWAY_SECONDS = 2.2
DRAIN_SECONDS = 2.0
SETTLE_SECONDS = 4.0
WRITES_LOST = 12
HEARTBEAT = 1.2
ROUTES_OVER_A_DATAGRAM = 600
MAX_LISTINGS = 5
"""Listings at one return: one for each failure domain. Each has two pages."""


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


async def lose_writes(fleet: StoreFleet, away: float = AWAY_SECONDS) -> None:
    """Let the store return from a copy that lacks the writes of the last two seconds."""
    copy = fleet.store.copy()
    for at in range(WRITES_LOST):
        if at % 3:
            fleet.write_endpoint(at % 6)
        else:
            fleet.move_route()
        await anyio.sleep(0.15)
    await fleet.return_from(copy, away)


class WritesAfterTheReturn(unittest.TestCase):
    """What is acknowledged after the return holds everywhere in time."""

    def test_configurations_with_revisions_given_out_again_come_in_time(self) -> None:
        """Guards against entries that ignore a store whose revisions went back."""
        broken = {}
        for entries, domains in SIZES:
            fleet = StoreFleet(entries, seed=entries, domains=domains)

            async def story(fleet: StoreFleet = fleet) -> None:
                await lose_writes(fleet)
                await anyio.sleep(SETTLE_SECONDS)
                for _ in range(3):
                    fleet.move_route()
                    await anyio.sleep(1.0)
                await anyio.sleep(SETTLE_SECONDS)

            fleet.play(story)
            broken[entries] = len(fleet.late()) + len(fleet.went_back())
        self.assertEqual(broken, dict.fromkeys(broken, 0))

    def test_leaving_with_a_revision_given_out_again_is_honoured_in_time(self) -> None:
        """Guards against requests to a replica whose leaving was acknowledged after the return."""
        users = {}
        for entries, domains in SIZES:
            fleet = StoreFleet(entries, seed=entries, domains=domains)

            async def story(fleet: StoreFleet = fleet, entries: int = entries) -> None:
                await lose_writes(fleet)
                await anyio.sleep(SETTLE_SECONDS)
                before = len(fleet.users(2))
                fleet.write_endpoint(2, "draining")
                await anyio.sleep(DRAIN_SECONDS)
                users[entries] = before, len(fleet.users(2))

            fleet.play(story)
        self.assertEqual(users, {entries: (entries, 0) for entries, _ in SIZES})


class LostWrites(unittest.TestCase):
    """What was acknowledged before the return and is not written again yet."""

    ENTRIES = 6

    def play(self, story: Callable[[StoreFleet], Awaitable[None]], seed: int = 3) -> StoreFleet:
        fleet = StoreFleet(self.ENTRIES, seed)
        fleet.play(lambda: story(fleet))
        return fleet

    async def users_during(self, fleet: StoreFleet, at: int, seconds: float) -> set[int]:
        """Return how many entries used an endpoint, at any moment of some seconds."""
        found = set()
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            found.add(len(fleet.users(at)))
            await anyio.sleep(0.02)
        return found

    def test_configuration_stays_in_force(self) -> None:
        """Guards against an entry that starts after the return and takes the older copy's word."""

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.move_route()
            fleet.move_route()
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(1.0)
            for ip in (fleet.ips[0], fleet.ips[5]):
                fleet.start(fleet.restart, ip, 0.5)
            await anyio.sleep(8.0)

        fleet = self.play(story)
        self.assertEqual(fleet.late(), [])
        self.assertEqual(fleet.went_back(), [])

    def test_entry_that_starts_alone_adopts_the_later_configuration(self) -> None:
        """Guards against an entry whose peers, all of its revision, have a later configuration."""

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(1.0)
            alone = fleet.ips[5]
            fleet.deaf.add(alone)
            await fleet.restart(alone, 0.5)
            await anyio.sleep(4.0)
            fleet.disturbed.append((alone, 0.0, anyio.current_time()))
            fleet.deaf.discard(alone)
            await anyio.sleep(8.0)
            versions = {each.process._view.table.version for each in fleet.live.values()}
            self.assertEqual(versions, {max(fleet.acks)})

        fleet = self.play(story)
        self.assertEqual(fleet.late(), [])

    def test_replica_that_was_draining_is_not_used(self) -> None:
        """Guards against a copy that lists a leaving replica as ready."""
        used: list[set[int]] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.write_endpoint(1, "draining")
            await anyio.sleep(2.0)
            used.append(await self.users_during(fleet, 1, 0.1))
            await fleet.return_from(copy, AWAY_SECONDS)
            used.append(await self.users_during(fleet, 1, 8.0))
            fleet.write_endpoint(1, "draining")
            used.append(await self.users_during(fleet, 1, 1.0))

        self.play(story)
        self.assertEqual(used, [{0}, {0}, {0}])

    def test_replica_that_was_removed_is_not_used(self) -> None:
        """Guards against a copy that lists a replica which is gone."""
        used: list[set[int]] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.remove("servers/i-1")
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            used.append(await self.users_during(fleet, 1, 3.0 * HEARTBEAT))
            fleet.store.remove("servers/i-1")
            used.append(await self.users_during(fleet, 1, 8.0))

        self.play(story)
        self.assertEqual(used, [{0}, {0}])

    def test_removed_replica_that_registers_anew_is_used(self) -> None:
        """Guards against a memory of removals that outlives them."""
        users: list[int] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.remove("servers/i-1")
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(2.0)
            fleet.write_endpoint(1)
            await anyio.sleep(1.0)
            users.append(len(fleet.users(1)))
            fleet.store.remove("servers/i-2")
            await anyio.sleep(3.0)
            users.append(len(fleet.users(2)))
            fleet.write_endpoint(2)
            await anyio.sleep(1.0)
            users.append(len(fleet.users(2)))

        self.play(story)
        self.assertEqual(users, [self.ENTRIES, 0, self.ENTRIES])

    def test_replica_that_stays_listed_is_used_again(self) -> None:
        """Guards against a running replica, removed by mistake, that is held out for good."""
        users: list[int] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.store.remove("servers/i-1")
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(7.0)
            users.append(len(fleet.users(1)))

        self.play(story)
        self.assertEqual(users, [self.ENTRIES])

    def test_missing_replica_is_used_until_it_is_overdue(self) -> None:
        """Guards against running replicas that are dropped, and gone ones that are kept."""
        used: list[set[int]] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.write_endpoint(7)
            fleet.write_endpoint(8)
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            used.append(await self.users_during(fleet, 7, 1.5))
            fleet.write_endpoint(7)
            used.append(await self.users_during(fleet, 7, 4.0))
            used.append(await self.users_during(fleet, 8, 1.0))

        self.play(story)
        self.assertEqual(used, [{self.ENTRIES}, {self.ENTRIES}, {0}])

    def test_successor_at_an_address_is_used(self) -> None:
        """Guards against registrations of two eras that are ordered by their numbers alone."""
        users: list[tuple[int, int]] = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            for _ in range(20):
                fleet.write_endpoint(3)
            fleet.store.put("servers/i-20", registration("desk", "10.9.0.99:80"))
            await anyio.sleep(3.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(0.5)
            fleet.store.put("servers/i-21", registration("desk", "10.9.0.99:80"))
            await anyio.sleep(1.0)
            users.append((len(fleet.users(20)), len(fleet.users(21))))

        self.play(story)
        self.assertEqual(users, [(0, self.ENTRIES)])


class EntriesThatLearnLate(unittest.TestCase):
    """Entries that the return passes by, while revisions pass what they knew."""

    SEEDS = (1, 2, 3)

    def check(
        self, strike: Callable[[StoreFleet, str], Awaitable[None]], *, entries: int = 6
    ) -> None:
        broken = {}
        for seed in self.SEEDS:
            fleet = StoreFleet(entries, seed)

            async def story(fleet: StoreFleet = fleet) -> None:
                struck = fleet.ips[fleet.rng.randrange(len(fleet.ips))]
                copy = fleet.store.copy()
                for _ in range(4):
                    fleet.move_route()
                    await anyio.sleep(0.3)
                fleet.start(strike, fleet, struck)
                await fleet.return_from(copy, AWAY_SECONDS)
                for _ in range(8):
                    fleet.move_route()
                    await anyio.sleep(0.2)
                fleet.write_endpoint(2, "draining")
                await anyio.sleep(9.0)
                self.assertEqual(fleet.users(2), [])

            fleet.play(story)
            broken[seed] = fleet.late(), fleet.went_back()
        self.assertEqual(broken, dict.fromkeys(self.SEEDS, ([], [])))

    def test_entry_cut_off_from_the_store(self) -> None:
        async def strike(fleet: StoreFleet, ip: str) -> None:
            await fleet.cut_off(ip, 5.0)

        self.check(strike)

    def test_entry_cut_off_from_all(self) -> None:
        """Guards against an entry whose revision has been passed, so that it gets no 410."""

        async def strike(fleet: StoreFleet, ip: str) -> None:
            await fleet.isolate(ip, 6.0)

        self.check(strike)

    def test_entries_whose_connections_went_silent(self) -> None:
        async def strike(fleet: StoreFleet, ip: str) -> None:
            for each in fleet.ips:
                fleet.silence(each)

        self.check(strike)

    def test_peer_of_the_former_era_with_a_higher_revision(self) -> None:
        """Guards against a peer whose higher revision of a dead era is taken for newer."""
        fleet = StoreFleet(6, seed=8)

        async def story() -> None:
            copy = fleet.store.copy()
            fleet.start(fleet.isolate, fleet.ips[4], 10.0)
            for _ in range(30):
                fleet.move_route()
                await anyio.sleep(0.05)
            await fleet.return_from(copy, AWAY_SECONDS)
            for _ in range(3):
                fleet.move_route()
                await anyio.sleep(3.0)
            await anyio.sleep(4.0)

        fleet.play(story)
        self.assertEqual(fleet.late(), [])
        self.assertEqual(fleet.went_back(), [])

    def test_entry_that_reads_the_store_while_it_rejects_peers_news(self) -> None:
        """Guards against an entry that only listens to the store, which rejects it."""
        fleet = StoreFleet(6, seed=5)

        async def story() -> None:
            copy = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            fleet.start(fleet.cut_off, fleet.ips[5], 14.0)
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(SETTLE_SECONDS)
            fleet.move_route()
            await anyio.sleep(2.0)
            versions = {each.process._view.table.version for each in fleet.live.values()}
            self.assertEqual(versions, {max(fleet.acks)})

        fleet.play(story)


class Returns(unittest.TestCase):
    """Returns of the store beside other trouble."""

    def check(
        self,
        story: Callable[[StoreFleet], Awaitable[None]],
        *,
        entries: int = 6,
        domains: int = 3,
        seed: int = 4,
        routes: int = 1,
    ) -> StoreFleet:
        fleet = StoreFleet(entries, seed, domains, routes=routes)
        fleet.play(lambda: story(fleet))
        self.assertEqual(fleet.late(), [])
        self.assertEqual(fleet.went_back(), [])
        return fleet

    def test_two_returns_in_quick_succession(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            first = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            second = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            await fleet.return_from(second, 1.0)
            fleet.move_route()
            await fleet.return_from(first, 0.5)
            for _ in range(4):
                await anyio.sleep(0.5)
                fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)

        self.check(story)

    def test_return_in_the_middle_of_a_listing(self) -> None:
        """Guards against a listing whose pages are of two eras."""

        async def story(fleet: StoreFleet) -> None:
            fleet.store.page_items = 1
            copy = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            fleet.store.compact()
            for _ in range(12):
                fleet.move_route()
                await anyio.sleep(0.006)
                await fleet.return_from(copy, 0.0)
            fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)
            fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)

        self.check(story)

    def test_return_beside_a_dropped_history(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            fleet.store.compact()
            await fleet.return_from(copy, 1.0)
            fleet.move_route()
            fleet.store.compact()
            await anyio.sleep(SETTLE_SECONDS)
            fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)

        self.check(story)

    def test_return_beside_a_loss_of_power_of_all_entries(self) -> None:
        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            await anyio.sleep(1.0)
            for ip in fleet.ips:
                fleet.start(fleet.restart, ip, 1.5)
            await fleet.return_from(copy, 2.0)
            fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)
            fleet.move_route()
            await anyio.sleep(SETTLE_SECONDS)

        self.check(story)

    def test_store_that_does_not_state_its_era(self) -> None:
        """Guards against a return that only shows in revisions that went back."""

        async def story(fleet: StoreFleet) -> None:
            fleet.store.stated_era = None
            await anyio.sleep(5.0)
            began_at = anyio.current_time()
            fleet.disturbed += [(ip, began_at - 5.0, began_at) for ip in fleet.ips]
            for _ in range(2):
                await lose_writes(fleet)
                await anyio.sleep(1.0)
                fleet.move_route()
                fleet.write_endpoint(2, "draining")
                await anyio.sleep(SETTLE_SECONDS)
                self.assertEqual(fleet.users(2), [])
                fleet.move_route()
                await anyio.sleep(SETTLE_SECONDS)

        self.check(story)

    def test_few_entries_list_at_the_return(self) -> None:
        """Guards against a store that refuses the listings of all entries at one moment.

        A configuration that fills more than a datagram does not change that.
        """
        listings = []

        async def story(fleet: StoreFleet) -> None:
            copy = fleet.store.copy()
            fleet.move_route()
            await anyio.sleep(1.0)
            before = fleet.store.listings
            await fleet.return_from(copy, AWAY_SECONDS)
            await anyio.sleep(SETTLE_SECONDS)
            listings.append(fleet.store.listings - before)
            fleet.move_route()
            await anyio.sleep(3.0)

        self.check(story, entries=98, domains=5, routes=ROUTES_OVER_A_DATAGRAM)
        self.assertLessEqual(listings[0], 2 * MAX_LISTINGS)


if __name__ == "__main__":
    unittest.main()
