"""How soon a configuration is in force at entries that nothing has disturbed."""

import unittest

import anyio
from loguru import logger

from benchmarks.late_configurations import History
from benchmarks.store_fleet import StoreFleet


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class LateConfigurations(unittest.TestCase):
    """Each test moves a route at many moments around one failure."""

    MOMENTS = tuple(round(0.2 * at, 1) for at in range(10))
    """Seconds from the failure to the move."""

    LATE_ONCE = (105, 106, 112, 122, 125, 128, 129, 130)
    """Seeds with which a configuration was late before entries without proofs made their own."""

    def check(self, fail, entries: int = 6) -> None:
        """Let something fail, move a route, and see when each undisturbed entry follows."""
        late = {}
        for moment in self.MOMENTS:
            fleet = StoreFleet(entries, seed=int(10 * moment) + 1)

            async def story(fleet: StoreFleet = fleet, moment: float = moment) -> None:
                await fail(fleet)
                await anyio.sleep(moment)
                fleet.move_route()
                await anyio.sleep(5.0)

            fleet.play(story)
            self.assertEqual(fleet.went_back(), [])
            if found := fleet.late():
                late[moment] = max(each.seconds for each in found)
        self.assertEqual(late, {})

    def test_calm_fleet(self) -> None:
        async def nothing(fleet: StoreFleet) -> None:
            self.assertEqual(len(fleet.readers()), 2)

        self.check(nothing)

    def test_watches_of_both_readers_go_silent(self) -> None:
        """Guards against watches that are believed for as long as a revoked key may be."""

        async def fail(fleet: StoreFleet) -> None:
            for ip in fleet.readers():
                fleet.silence_watches(ip)

        self.check(fail)

    def test_all_connections_to_the_store_go_silent(self) -> None:
        """Guards against a proof that waits on one kept connection after the other."""

        async def fail(fleet: StoreFleet) -> None:
            for ip in fleet.ips:
                fleet.silence(ip)

        self.check(fail)

    def test_readers_are_cut_off_from_the_store_alone(self) -> None:
        """Guards against entries that leave the reading to peers which cannot read."""

        async def fail(fleet: StoreFleet) -> None:
            for ip in fleet.readers():
                fleet.start(fleet.cut_off, ip, 6.0)

        self.check(fail)

    def test_readers_lose_the_store_right_after_both_have_proved(self) -> None:
        """Guards against readers whose loss of the store shows only with their next proof."""
        late = {}
        for seed in self.LATE_ONCE:
            fleet = StoreFleet(6, seed)

            async def story(fleet: StoreFleet = fleet, seed: int = seed) -> None:
                for ip in fleet.readers():
                    fleet.start(fleet.cut_off, ip, 6.0)
                await anyio.sleep(0.05 * (seed % 8))
                fleet.move_route()
                await anyio.sleep(5.0)

            fleet.play(story)
            if found := fleet.late():
                late[seed] = max(each.seconds for each in found)
        self.assertEqual(late, {})

    def test_readers_are_cut_off_from_all(self) -> None:
        async def fail(fleet: StoreFleet) -> None:
            for ip in fleet.readers():
                fleet.start(fleet.isolate, ip, 6.0)

        self.check(fail)

    def test_reader_whose_watch_is_silent_asks_its_peer(self) -> None:
        """Guards against a reader that hears of a change and waits for its own watch."""
        fleet = StoreFleet(6, seed=7)

        async def story() -> None:
            fleet.silence_watches(fleet.readers()[0])
            fleet.move_route()
            await anyio.sleep(5.0)

        fleet.play(story)
        self.assertEqual(fleet.late(0.4), [])


class Histories(unittest.TestCase):
    """Seeded histories of disturbances that overlap."""

    SEEDS = (1, 2, 3, 4)

    def test_no_configuration_is_late_or_comes_back(self) -> None:
        broken = {}
        for seed in self.SEEDS:
            history = History(seed, 6)
            history.play()
            self.assertGreater(len(history.delays), 5)
            if history.late or history.back:
                broken[seed] = (history.late, history.back)
        self.assertEqual(broken, {})


if __name__ == "__main__":
    unittest.main()
