"""Tests of the loads, search steps and recomputed placements of one layer."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhub.groups.balance import LayerBalance
from carawayhub.groups.loads import layer_skew, rank_loads
from carawayhub.groups.maps import even_map
from carawayhub.groups.recompute import matched_row, recomputed_row


def random_shares(seed: int, experts: int) -> list[float]:
    rng = random.Random(seed)
    weights = [rng.lognormvariate(0.0, 0.7) for _ in range(experts)]
    total = sum(weights)
    return [weight / total for weight in weights]


def even_row(ranks: int, experts: int, spare: int) -> tuple[int, ...]:
    return even_map(ranks=ranks, experts=experts, layers=1, spare_slots=spare).layers[0]


class LoadTest(unittest.TestCase):
    """The load of each rank."""

    def test_replicas_share_an_expert_evenly(self) -> None:
        loads = rank_loads((0, 1, 0, 2), (0.5, 0.3, 0.2), 2)
        self.assertAlmostEqual(loads[0], 2 * (0.25 + 0.3))
        self.assertAlmostEqual(loads[1], 2 * (0.25 + 0.2))

    def test_an_expert_twice_on_one_rank_counts_once(self) -> None:
        self.assertEqual(rank_loads((0, 0, 1, 1), (0.5, 0.5), 2), [1.0, 1.0])

    def test_mean_load_is_one(self) -> None:
        loads = rank_loads(even_row(8, 32, 1), random_shares(3, 32), 8)
        self.assertAlmostEqual(sum(loads), 8.0)


class StepTest(unittest.TestCase):
    """Local search in steps."""

    def test_a_hot_expert_gets_a_replica_when_each_rank_has_one_expert(self) -> None:
        """One expert of a layer receives a fifth of the tokens, and all ranks wait for its rank.

        With one expert per rank a swap cannot help. The first step must already put a second
        replica into a spare slot of another rank.
        """
        shares = [0.8 / 63] * 64
        shares[5] = 0.2
        start = LayerBalance(even_row(64, 64, 1), shares, 64)
        before = start.placement()
        after = next(start.improve(1))
        self.assertLess(after.skew, before.skew * 0.75)
        self.assertEqual(after.fetches, 1)

    def test_no_step_without_skew(self) -> None:
        balance = LayerBalance(even_row(4, 8, 0), [1 / 8] * 8, 4)
        self.assertEqual(list(balance.improve(5)), [])

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.sampled_from([(4, 8, 1), (8, 32, 1), (6, 6, 2), (5, 10, 0), (16, 16, 1)]),
        st.integers(0, 10_000),
    )
    def test_every_stage_is_a_whole_placement_with_true_figures(
        self, size: tuple[int, int, int], seed: int
    ) -> None:
        ranks, experts, spare = size
        shares = random_shares(seed, experts)
        row = even_row(ranks, experts, spare)
        slots = len(row) // ranks
        for placement in LayerBalance(row, shares, ranks).improve(12):
            self.assertEqual(set(placement.row), set(range(experts)))
            self.assertAlmostEqual(placement.skew, layer_skew(placement.row, shares, ranks))
            new = [
                set(placement.row[r * slots : (r + 1) * slots])
                - set(row[r * slots : (r + 1) * slots])
                for r in range(ranks)
            ]
            self.assertEqual(placement.fetches, sum(map(len, new)))

    def test_steps_come_near_a_whole_recomputation(self) -> None:
        shares = random_shares(11, 32)
        balance = LayerBalance(even_row(8, 32, 1), shares, 8)
        best = min(placement.skew for placement in balance.improve(30))
        recomputed = layer_skew(recomputed_row(shares, ranks=8, slots=5), shares, 8)
        self.assertLess(best, recomputed + 0.05)


class RecomputeTest(unittest.TestCase):
    """Placements computed from scratch."""

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.sampled_from([(4, 8, 3), (8, 32, 5), (64, 64, 2), (3, 3, 3)]), st.integers(0, 9999))
    def test_every_expert_has_a_place(self, size: tuple[int, int, int], seed: int) -> None:
        ranks, experts, slots = size
        row = recomputed_row(random_shares(seed, experts), ranks=ranks, slots=slots)
        self.assertEqual(len(row), ranks * slots)
        self.assertEqual(set(row), set(range(experts)))

    def test_renaming_ranks_undoes_a_rotation(self) -> None:
        old = even_row(4, 8, 1)
        rotated = old[3:] + old[:3]
        self.assertEqual(matched_row(rotated, old, ranks=4), old)


if __name__ == "__main__":
    unittest.main()
