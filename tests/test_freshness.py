"""Times of reading follow from the bounds that they serve."""

import unittest
from dataclasses import fields, replace
from pathlib import Path

from carawayhub.gateway.follower import (
    ASK_SPREAD,
    LAST_GATHER_SECONDS,
    LONGEST_TURN,
    WATCH_GRACE,
)
from carawayhub.gateway.freshness import Bounds, ReadTimes, read_times
from carawayhub.gateway.gossip import LEAST_INTERVAL
from carawayhub.platform import entry
from carawayhub.platform.settings import GuaranteeBounds

STORE_SECONDS = 0.02
"""A call of a store that answers in a few milliseconds, over a connection of its own."""

TOLD_SECONDS = {6: LEAST_INTERVAL, 45: 3 * LEAST_INTERVAL, 98: 3 * LEAST_INTERVAL}
"""Seconds until all entries are told: directly, or by way of two delegates."""

ASK_SECONDS = 0.01

USUAL = Bounds(config_apply=2.0, drain=2.0, revoke_after=5.0)


def reader_way(times: ReadTimes, told: float) -> float:
    """Return the longest way of a change: one reader suspended, the other's watch silent."""
    seen = times.proof_after + LONGEST_TURN + STORE_SECONDS
    read = WATCH_GRACE + STORE_SECONDS
    return seen + read + told + ASK_SPREAD + ASK_SECONDS


def fallback_way(times: ReadTimes) -> float:
    """Return the longest way to an entry that is told nothing at all."""
    proved = times.fallback_after + times.fallback_spread + STORE_SECONDS
    return proved + ASK_SPREAD + STORE_SECONDS


class Derived(unittest.TestCase):
    """The longest ways of a change stay under every bound."""

    def test_longest_way_by_readers_is_under_one_and_a_half_seconds(self) -> None:
        for entries, told in TOLD_SECONDS.items():
            with self.subTest(entries=entries):
                self.assertLess(reader_way(read_times(USUAL), told), 1.5)

    def test_entry_that_is_told_nothing_keeps_the_bound(self) -> None:
        self.assertLess(fallback_way(read_times(USUAL)), USUAL.config_apply)

    def test_the_shortest_bound_decides(self) -> None:
        for bounds in (
            Bounds(config_apply=1.5, drain=9.0, revoke_after=9.0),
            Bounds(config_apply=9.0, drain=1.5, revoke_after=9.0),
            Bounds(config_apply=9.0, drain=9.0, revoke_after=3.0),
        ):
            with self.subTest(bounds=bounds):
                self.assertLess(fallback_way(read_times(bounds)), 1.5)

    def test_entries_do_not_call_while_readers_prove_in_time(self) -> None:
        times = read_times(USUAL)
        self.assertGreater(times.fallback_after, times.proof_after + LONGEST_TURN + 0.1)
        self.assertLess(LAST_GATHER_SECONDS, times.fallback_after)


class Read(unittest.TestCase):
    """Bounds that the platform states."""

    def test_every_bound_that_is_decoded_is_read(self) -> None:
        """Guards against a promise whose bound is decoded and guarded by nothing."""
        source = Path(entry.__file__).read_text()
        for each in fields(GuaranteeBounds):
            with self.subTest(bound=each.name):
                self.assertIn(f"bounds.{each.name}", source)

    def test_every_bound_for_published_content_shortens_the_times(self) -> None:
        usual = read_times(USUAL)
        for each in fields(Bounds):
            with self.subTest(bound=each.name):
                self.assertLess(
                    read_times(replace(USUAL, **{each.name: 1.0})).fallback_after,
                    usual.fallback_after,
                )


if __name__ == "__main__":
    unittest.main()
