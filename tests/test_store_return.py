"""Entries that follow a store which returns from an older copy of itself."""

import unittest

import anyio
from loguru import logger

from benchmarks.store_fleet import StoreFleet

SIZES = ((6, 3), (45, 3), (98, 5))
"""Entries and failure domains."""

AWAY_SECONDS = 2.2
DRAIN_SECONDS = 2.0
SETTLE_SECONDS = 4.0
WRITES_LOST = 12


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


if __name__ == "__main__":
    unittest.main()
