"""Read times are derived from the bounds that they have to keep."""

import unittest
from dataclasses import fields, replace
from pathlib import Path

from carawayhub.gateway.follower import (
    MAX_BATCH_SECONDS,
    MAX_TURN_DELAY_SECONDS,
    PEER_REQUEST_JITTER_SECONDS,
    WATCH_GRACE_SECONDS,
)
from carawayhub.gateway.freshness import Bounds, ReadTimes, read_times
from carawayhub.gateway.gossip import MIN_ROUND_INTERVAL_SECONDS
from carawayhub.platform import entry
from carawayhub.platform.settings import GuaranteeBounds

STORE_SECONDS = 0.02
"""Duration of a call to a store that answers in a few milliseconds, over a new connection."""

PROPAGATION_SECONDS = {
    6: MIN_ROUND_INTERVAL_SECONDS,
    45: 3 * MIN_ROUND_INTERVAL_SECONDS,
    98: 3 * MIN_ROUND_INTERVAL_SECONDS,
}
"""Seconds until an update reaches all entries, by number of entries: directly, or through two
delegates."""

PEER_REQUEST_SECONDS = 0.01

USUAL = Bounds(config_apply=2.0, drain=2.0, revoke_after=5.0)


def reader_path_seconds(times: ReadTimes, propagation_seconds: float) -> float:
    """Return the longest time of a change: one reader suspended, the other's watch silent."""
    seen = times.proof_after + MAX_TURN_DELAY_SECONDS + STORE_SECONDS
    read = WATCH_GRACE_SECONDS + STORE_SECONDS
    return seen + read + propagation_seconds + PEER_REQUEST_JITTER_SECONDS + PEER_REQUEST_SECONDS


def fallback_path_seconds(times: ReadTimes) -> float:
    """Return the longest time of a change to an entry that receives no updates."""
    proved = times.fallback_after + times.fallback_spread + STORE_SECONDS
    return proved + PEER_REQUEST_JITTER_SECONDS + STORE_SECONDS


class Derived(unittest.TestCase):
    """The longest time of a change stays below every bound."""

    def test_longest_way_by_readers_is_under_one_and_a_half_seconds(self) -> None:
        for entries, propagation_seconds in PROPAGATION_SECONDS.items():
            with self.subTest(entries=entries):
                self.assertLess(reader_path_seconds(read_times(USUAL), propagation_seconds), 1.5)

    def test_entry_that_is_told_nothing_keeps_the_bound(self) -> None:
        self.assertLess(fallback_path_seconds(read_times(USUAL)), USUAL.config_apply)

    def test_the_shortest_bound_decides(self) -> None:
        for bounds in (
            Bounds(config_apply=1.5, drain=9.0, revoke_after=9.0),
            Bounds(config_apply=9.0, drain=1.5, revoke_after=9.0),
            Bounds(config_apply=9.0, drain=9.0, revoke_after=3.0),
        ):
            with self.subTest(bounds=bounds):
                self.assertLess(fallback_path_seconds(read_times(bounds)), 1.5)

    def test_entries_do_not_call_while_readers_prove_in_time(self) -> None:
        times = read_times(USUAL)
        self.assertGreater(times.fallback_after, times.proof_after + MAX_TURN_DELAY_SECONDS + 0.1)
        self.assertLess(MAX_BATCH_SECONDS, times.fallback_after)


class Read(unittest.TestCase):
    """Bounds stated by the platform."""

    def test_every_bound_that_is_decoded_is_read(self) -> None:
        """Guards against a promise whose bound is decoded but not used."""
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
