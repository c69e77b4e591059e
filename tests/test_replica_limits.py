"""Replicas in need that name the requests a second which they take from all entries together.

A replica that is short of memory says ``Server-Limit: 3`` in its answers. Each entry sees its own
answers and its own requests only. Entries that read the header and kept to it each by itself would
send seven times what it says; entries that do not know the header send what they always sent: in a
fleet of seven, with 20 requests a second for three replicas, 6.7 a second went to each.
"""

import random
import unittest

import anyio
from loguru import logger

from benchmarks.named_limits import Arrival, NamedLimits
from benchmarks.rate_limit import History, Kind, Policy, drawn, play
from benchmarks.request_fleet import RequestFleet
from carawayhub.clock import ManualClock
from carawayhub.gateway.calls import NamedLimit, UnreadableLimit
from carawayhub.gateway.hello import Hello, News, Phase
from carawayhub.gateway.peers import MISSING_TTL_SECONDS, Peers
from carawayhub.limits.replicarate import (
    ASK_RATE,
    MOST_ROWS,
    NO_LIMIT,
    TAKEN_BACK_SECONDS,
    RateRow,
    ReplicaRates,
    Surroundings,
)
from carawayhub.platform.headers import PlatformWire

RATE = 3.0


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def arrivals(fleet: RequestFleet) -> list[Arrival]:
    """Return what reached replicas."""
    return [Arrival(each.at, each.entry, each.replica, each.in_touch) for each in fleet.sent]


class Limited(unittest.TestCase):
    """One of three replicas, or all of them, name a limit."""

    def play(self, limited: int, rate: float = RATE, seconds: float = 24.0) -> RequestFleet:
        """Let 20 requests a second come to seven entries; replicas name a limit after ten seconds.

        Entries know by then how much is asked of them.
        """
        fleet = RequestFleet(entries=7, ranks=3, places=60, events=3)

        async def story() -> None:
            for at in range(int(20 * seconds)):
                if at == 200:
                    for each in list(fleet.by_host.values())[:limited]:
                        fleet.limits.name(each.id, rate, anyio.current_time())
                fleet.start(fleet.ask, b"ask %d" % at)
                await anyio.sleep(0.05)
            await anyio.sleep(1.0)

        fleet.play(story)
        self.assertEqual(fleet.limits.exceeded(arrivals(fleet)), [])
        return fleet

    def test_one_limited_replica_leaves_the_others_to_serve(self) -> None:
        fleet = self.play(limited=1)
        self.assertGreater(sum(each.served for each in fleet.told), 0.97 * len(fleet.told))

    def test_limited_replicas_refuse_what_is_beyond_their_limits(self) -> None:
        """All three take nine a second together; who gets no place is told at once."""
        fleet = self.play(limited=3)
        refused = [each for each in fleet.told if each.status == 503]
        at_once = sum(each.seconds < 0.1 for each in refused)
        self.assertGreater(len(refused), 0.2 * len(fleet.told))
        self.assertGreater(at_once, 0.8 * len(refused))
        self.assertTrue(all(each.retry_after > 0 for each in refused))

    def test_a_limit_of_no_requests_is_no_missing_limit(self) -> None:
        fleet = self.play(limited=1, rate=0.0)
        self.assertGreater(sum(each.served for each in fleet.told), 0.97 * len(fleet.told))


class Histories(unittest.TestCase):
    """Limits that change, entries that start anew and are cut off, datagrams that are lost."""

    def test_no_window_exceeds_the_bound(self) -> None:
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.assertEqual(play(drawn(7, seed)).exceeded, 0)

    def test_plain_services_and_limits_that_come_and_go_keep_to_the_bound(self) -> None:
        """Plain services name limits too; some name another with each answer, or take it back."""
        for kind in (Kind.PLAIN, Kind.SWINGING, Kind.TAKEN_BACK):
            with self.subTest(kind=kind):
                self.assertEqual(play(drawn(7, 2, kind)).exceeded, 0)

    def test_limits_are_used_while_more_is_asked(self) -> None:
        found = play(History(entries=7, seed=1, limited=3))
        self.assertGreaterEqual(found.used, 0.9)

    def test_large_fleet(self) -> None:
        """Each of 98 entries has a request for a replica of three a second in five minutes."""
        found = play(History(entries=98, seed=1, limited=3))
        self.assertEqual(found.exceeded, 0)
        self.assertGreaterEqual(found.used, 0.7)

    def test_the_bound_can_be_exceeded(self) -> None:
        history = History(entries=7, seed=1, limited=3)
        for policy in (Policy.IGNORED, Policy.ALONE):
            with self.subTest(policy=policy):
                self.assertGreater(play(history, policy).exceeded, 0)


class Wire(unittest.TestCase):
    """What the header says."""

    def read(self, *values: bytes) -> NamedLimit | UnreadableLimit | None:
        headers = [(b"Server-Limit", value) for value in values]
        return PlatformWire().answer(200, headers).limit

    def test_decimal_numbers(self) -> None:
        for value, limit in ((b"3", 3.0), (b"0", 0.0), (b"0.25", 0.25), (b"007.50", 7.5)):
            self.assertEqual(self.read(value), NamedLimit(limit))
        self.assertIsNone(self.read())

    def test_what_cannot_be_read(self) -> None:
        long = b"9" * 10_000
        for value in (
            b"",
            b"1e3",
            b"-1",
            b"+1",
            b"nan",
            b"inf",
            b"three",
            b"1,5",
            b".",
            b"2.",
            long,
        ):
            with self.subTest(value=value[:20]):
                self.assertIsInstance(self.read(value), UnreadableLimit)
        self.assertLessEqual(len(self.read(long).text), 40)

    def test_the_least_of_several_holds(self) -> None:
        self.assertEqual(self.read(b"5", b"2", b"x"), NamedLimit(2.0))

    def test_callers_do_not_see_it(self) -> None:
        head = PlatformWire().answer(200, [(b"Server-Limit", b"3"), (b"x-kind", b"song")])
        self.assertEqual(head.headers, [(b"x-kind", b"song")])


class Knowing(unittest.TestCase):
    """Which of several words on a limit holds."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rates = ReplicaRates(self.clock, random.Random(1), key)

    def test_an_answer_to_an_earlier_request_takes_no_limit_back(self) -> None:
        """A replica in need gets all that comes for a moment, each time an old answer ends.

        Its limit is known from a quick answer. A long stream that was asked for before ends its
        wait for a first event then; its head was written before the replica was in need.
        """
        self.rates.read("1", 3.0, sent_at=99.9)
        self.rates.read("1", None, sent_at=99.0)
        self.assertEqual(self.rates.limit("1"), 3.0)
        self.clock.advance(1.0)
        self.rates.read("1", None, sent_at=100.5)
        self.assertIsNone(self.rates.limit("1"))

    def test_the_newest_word_holds_whoever_says_it(self) -> None:
        self.rates.read("1", 3.0, sent_at=99.9)
        self.rates.heard("peer", [RateRow(1, 9.0, 2.0, 0)], written_at=99.0)
        self.assertEqual(self.rates.limit("1"), 3.0)
        self.clock.advance(2.0)
        self.rates.heard("peer", [RateRow(1, NO_LIMIT, 0.5, 0)], written_at=101.9)
        self.assertIsNone(self.rates.limit("1"))

    def test_datagrams_that_waited_bring_no_old_limit_back(self) -> None:
        """An entry that was suspended reads ten seconds of datagrams in one moment.

        Their ages speak of when they were written; each is dated by what it answers to.
        """
        self.rates.read("1", 3.0, sent_at=99.9)
        self.clock.advance(10.0)
        self.rates.heard("peer", [RateRow(1, 8.0, 0.0, 0)], written_at=95.0)
        self.assertEqual(self.rates.limit("1"), 3.0)

    def test_a_limit_ends_with_its_replica(self) -> None:
        self.rates.read("1", 3.0, sent_at=99.9)
        self.rates.read("2", 3.0, sent_at=99.9)
        self.rates.forget(["2"])
        self.assertEqual(self.rates.limits(), {2: 3.0})

    def test_that_a_limit_ended_is_told_for_some_time(self) -> None:
        self.rates.read("1", 3.0, sent_at=99.9)
        self.clock.advance(1.0)
        self.rates.read("1", None, sent_at=100.9)
        self.assertEqual([row.per_second for row in self.rates.rows()], [NO_LIMIT])
        self.clock.advance(TAKEN_BACK_SECONDS + 1.0)
        self.rates.forget(["1"])
        self.assertEqual(self.rates.rows(), [])
        self.assertFalse(self.rates.any_limited)

    def test_what_is_told_is_bounded(self) -> None:
        for at in range(3 * MOST_ROWS):
            self.clock.advance(0.01)
            self.rates.read(str(at), 3.0, sent_at=99.9)
        told = {row.key for row in self.rates.rows()}
        self.assertEqual(told, set(range(2 * MOST_ROWS, 3 * MOST_ROWS)))


class Deciding(unittest.TestCase):
    """Whether one more request may go to a limited replica."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rates = ReplicaRates(self.clock, random.Random(1), key)
        self.rates.read("1", 3.0, sent_at=99.9)

    def send(self, count: int, around: Surroundings) -> int:
        """Ask for some requests at once; return how many may go."""
        sent = 0
        for _ in range(count):
            if self.rates.may_send("1", around):
                self.rates.sent("1")
                sent += 1
        return sent

    def test_a_window_holds_what_the_limit_says(self) -> None:
        alone = Surroundings(wanted=0.0, news=0.1, part=1.0)
        self.assertEqual(self.send(50, alone), 6)
        self.clock.advance(2.1)
        self.assertEqual(self.send(50, alone), 6)

    def test_what_others_sent_is_taken_off(self) -> None:
        around = Surroundings(wanted=0.0, news=0.1, part=1.0)
        self.rates.heard("a", [RateRow(1, 3.0, 0.1, 3)], written_at=100.0)
        self.rates.heard("b", [RateRow(1, 3.0, 0.1, 2)], written_at=100.0)
        self.assertEqual(self.send(50, around), 1)

    def test_what_a_silent_entry_sent_counts_until_its_window_ends(self) -> None:
        """An entry that falls silent may be cut off and alive; its sends reached the replica."""
        around = Surroundings(wanted=0.0, news=0.1, part=1.0)
        self.rates.heard("a", [RateRow(1, 3.0, 0.1, 6)], written_at=100.0)
        self.clock.advance(1.5)
        self.assertEqual(self.send(50, around), 0)
        self.clock.advance(1.0)
        self.assertEqual(self.send(50, around), 6)

    def test_who_hears_of_nobody_takes_a_small_part_and_never_none(self) -> None:
        around = Surroundings(wanted=0.0, news=0.1, part=0.01)
        self.assertEqual(self.send(50, around), 0)
        self.clock.advance(1.0 / (3.0 * 0.01) + 0.1)
        self.assertEqual(self.send(50, around), 1)

    def test_a_replica_that_takes_none_is_still_asked(self) -> None:
        """It names no requests a second, and only an answer can say that it recovered."""
        self.clock.advance(1.0)
        self.rates.read("1", 0.0, sent_at=100.9)
        around = Surroundings(wanted=0.0, news=0.1, part=1.0)
        self.assertEqual(self.send(50, around), 1)
        self.clock.advance(1.0 / ASK_RATE + 0.1)
        self.assertEqual(self.send(50, around), 1)


class Hearing(unittest.TestCase):
    """The part of all entries that one hears of."""

    def test_entries_that_fell_silent_count_while_few_are_heard(self) -> None:
        """A cut-off entry takes itself for the only one, and a limit for its own alone."""
        peers = Peers("10.0.0.1", "brest")
        for at in range(2, 11):
            peers.record_hello(peer_hello(f"10.0.0.{at}"), Phase.READY, 0.0, 1.0)
        self.assertEqual(peers.reachable_fraction(0.0), 1.0)
        peers.drop(["10.0.0.2"], "silent", 1.0)
        self.assertEqual(peers.reachable_fraction(1.0), 0.9)
        self.assertEqual(peers.reachable_fraction(2.0 + MISSING_TTL_SECONDS), 1.0)
        peers.drop([f"10.0.0.{at}" for at in range(3, 11)], "silent", 50.0)
        self.assertEqual(peers.reachable_fraction(50.0 + 100 * MISSING_TTL_SECONDS), 1 / 9)

    def test_entries_replaced_over_weeks_are_not_missed_for_good(self) -> None:
        """A limit was used to a thirtieth, by entries that all heard each other.

        An entry an hour fell silent and came back under another address. No replica named a limit
        for a week, so nobody asked for the part and the silent ones piled up; once they were more
        than those heard, none of them was forgotten any more.
        """
        peers = Peers("10.0.0.1", "brest")
        for at in range(2, 8):
            peers.record_hello(peer_hello(f"10.0.0.{at}"), Phase.READY, 0.0, 1.0)
        for hour in range(200):
            now = 3600.0 * hour
            peers.drop([peers.ips()[0]], "silent", now)
            peers.record_hello(peer_hello(f"10.0.1.{hour}"), Phase.READY, now + 30.0, 1.0)
        self.assertEqual(peers.reachable_fraction(3600.0 * 200), 1.0)


class Bound(unittest.TestCase):
    """The check of the plays."""

    def test_only_entries_that_know_count_and_only_once_it_holds(self) -> None:
        limits = NamedLimits()
        limits.name("r", 1.0, 0.0)
        limits.passed_on("r", "a", 0.0)

        def over(entry: str, at: float, in_touch: bool = True) -> int:
            found = [Arrival(at + n / 100, entry, "r", in_touch) for n in range(12)]
            return len(limits.exceeded(found))

        self.assertEqual(over("a", 2.0), 0)
        self.assertEqual(over("a", 4.0), 1)
        self.assertEqual(over("b", 4.0), 0)
        self.assertEqual(over("a", 4.0, in_touch=False), 0)


def peer_hello(ip: str) -> Hello:
    """Return what an entry says of itself."""
    return Hello(
        ip=ip,
        incarnation="a",
        number=1,
        phase=Phase.READY,
        callers=f"{ip}:80",
        failure_domain="brest",
        interval=0.1,
        peers=[],
        works=[],
        news=News(1, 0.0, 0.0),
    )


def key(endpoint_id: str) -> int:
    """Return the number in an endpoint's name."""
    return int(endpoint_id)


if __name__ == "__main__":
    unittest.main()
