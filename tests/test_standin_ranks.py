"""The stand-in of ranks in an engine: late counters, and ranks that are gone with their engine."""

import unittest

import anyio
import httpcore
import msgspec

from carawayhub.groups.orders import Read, Reply, Term
from carawayhub.standins.drift import DriftingCounters
from carawayhub.standins.engine import Engine
from carawayhub.standins.options import EngineOptions, RankOptions
from carawayhub.standins.rankgroup import RankGroup

ANY_PORT = "127.0.0.1:0"


class CountersTest(unittest.TestCase):
    """Counters of tokens per expert."""

    def test_counters_grow_come_late_and_skip_samples(self) -> None:
        options = RankOptions(counter_lag_s=1.0, counter_loss=0.5, seed=3)
        counters = DriftingCounters(options)
        seen = []
        for tick in range(200):
            now = tick * options.sample_s
            counters.advance(now)
            found = counters.read(now)
            if found is not None:
                self.assertLessEqual(found.taken_at, now - options.counter_lag_s)
                seen.append(found)
        taken = sorted({each.taken_at for each in seen})
        self.assertEqual([each.taken_at for each in seen], sorted(each.taken_at for each in seen))
        self.assertLess(len(taken), 140)
        self.assertGreater(sum(seen[-1].counts[0]), sum(seen[0].counts[0]))

    def test_a_seed_gives_the_same_popularity_again(self) -> None:
        runs = []
        for _ in range(2):
            counters = DriftingCounters(RankOptions(seed=5))
            for tick in range(20):
                counters.advance(float(tick))
            runs.append(counters.read(100.0))
        self.assertEqual(*runs)


class HeldRanksTest(unittest.IsolatedAsyncioTestCase):
    """Ranks behind an engine."""

    async def test_ranks_are_gone_with_their_engine_and_begin_anew(self) -> None:
        group = RankGroup(RankOptions(ranks=2))
        async with group.serving(ANY_PORT) as address:
            options = EngineOptions(ranks_at=address, ranks=(0, 1), checks_giver="first")
            incarnations = []
            for _ in range(2):
                async with Engine(options).serving(ANY_PORT) as engine:
                    incarnations.append((await self.read(engine)).state.incarnation)
                    status = await self.ask(engine, "stranger")
                    self.assertEqual(status.status, 403)
                with anyio.fail_after(5):
                    while not all(rank.stalled for rank in group.group.ranks):
                        await anyio.sleep(0.01)
        self.assertNotEqual(*incarnations)

    async def read(self, engine: str) -> Reply:
        with anyio.fail_after(5):
            while (response := await self.ask(engine, "first")).status != 200:
                await anyio.sleep(0.01)
        return msgspec.json.decode(response.content, type=Reply)

    async def ask(self, engine: str, giver: str) -> httpcore.Response:
        async with httpcore.AsyncConnectionPool() as pool:
            return await pool.request(
                "POST",
                f"http://{engine}/ranks/1/orders/read",
                headers={"carawayhub-giver": giver},
                content=msgspec.json.encode(Read(term=Term())),
            )


if __name__ == "__main__":
    unittest.main()
