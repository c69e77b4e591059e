"""Tests of fleet-wide rate limits that replicas announce in their answers.

A replica that is short of memory sends ``Server-Limit: 3`` in its answers. Each entry sees only its
own answers and requests. In a fleet of seven, entries that each applied the limit independently
would send seven times as much; entries that ignore the header do not reduce their rate: with 20
requests per second for three replicas, each replica receives 6.7 per second.
"""

import random
import unittest

import anyio
from loguru import logger

from benchmarks.named_limits import Arrival, NamedLimits
from benchmarks.rate_limit import History, Kind, Policy, drawn, play
from benchmarks.request_fleet import RequestFleet
from carawayhub.clock import ManualClock
from carawayhub.gateway.calls import NamedLimit, UnreadableValue
from carawayhub.gateway.hello import Hello, News, Phase
from carawayhub.gateway.peers import MISSING_TTL_SECONDS, Peers
from carawayhub.limits.replicarate import (
    MAX_ROWS,
    MIN_PROBE_RATE,
    NO_LIMIT,
    WITHDRAWN_LIMIT_SECONDS,
    FleetEstimate,
    RateRow,
    ReplicaRates,
)
from carawayhub.platform.headers import PlatformWire

RATE = 3.0


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def arrivals(fleet: RequestFleet) -> list[Arrival]:
    """Return the requests that reached replicas."""
    return [Arrival(each.at, each.entry, each.replica, each.in_touch) for each in fleet.sent]


class Limited(unittest.TestCase):
    """One or all of three replicas announce a limit."""

    def play(self, limited: int, rate: float = RATE, seconds: float = 24.0) -> RequestFleet:
        """Send 20 requests per second to seven entries; limits are announced after ten seconds.

        By then the entries have measured their demand.
        """
        fleet = RequestFleet(entries=7, ranks=3, places=60, events=3)

        async def scenario() -> None:
            for at in range(int(20 * seconds)):
                if at == 200:
                    for each in list(fleet.by_host.values())[:limited]:
                        fleet.limits.name(each.id, rate, anyio.current_time())
                fleet.start(fleet.ask, b"ask %d" % at)
                await anyio.sleep(0.05)
            await anyio.sleep(1.0)

        fleet.play(scenario)
        self.assertEqual(fleet.limits.exceeded(arrivals(fleet)), [])
        return fleet

    def test_one_limited_replica_leaves_the_others_to_serve(self) -> None:
        fleet = self.play(limited=1)
        self.assertGreater(sum(each.served for each in fleet.told), 0.97 * len(fleet.told))

    def test_limited_replicas_refuse_what_is_beyond_their_limits(self) -> None:
        """All three accept nine per second together; other requests are rejected immediately."""
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
    """Changing limits, entries that restart or are partitioned, and lost datagrams."""

    def test_no_window_exceeds_the_bound(self) -> None:
        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.assertEqual(play(drawn(7, seed)).exceeded, 0)

    def test_plain_services_and_limits_that_come_and_go_keep_to_the_bound(self) -> None:
        """Plain services announce limits too; some change or withdraw them with each answer."""
        for kind in (Kind.PLAIN, Kind.SWINGING, Kind.TAKEN_BACK):
            with self.subTest(kind=kind):
                self.assertEqual(play(drawn(7, 2, kind)).exceeded, 0)

    def test_limits_are_used_while_more_is_asked(self) -> None:
        found = play(History(entries=7, seed=1, limited=3))
        self.assertGreaterEqual(found.used, 0.9)

    def test_large_fleet(self) -> None:
        """Each of 98 entries has one request in five minutes for a replica of three per second."""
        found = play(History(entries=98, seed=1, limited=3))
        self.assertEqual(found.exceeded, 0)
        self.assertGreaterEqual(found.used, 0.7)

    def test_the_bound_can_be_exceeded(self) -> None:
        history = History(entries=7, seed=1, limited=3)
        for policy in (Policy.IGNORED, Policy.ALONE):
            with self.subTest(policy=policy):
                self.assertGreater(play(history, policy).exceeded, 0)


class Wire(unittest.TestCase):
    """Parsing of the header."""

    def read(self, *values: bytes) -> NamedLimit | UnreadableValue | None:
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
                self.assertIsInstance(self.read(value), UnreadableValue)
        self.assertLessEqual(len(self.read(long).text), 40)

    def test_the_least_of_several_holds(self) -> None:
        self.assertEqual(self.read(b"5", b"2", b"x"), NamedLimit(2.0))

    def test_callers_do_not_see_it(self) -> None:
        head = PlatformWire().answer(200, [(b"Server-Limit", b"3"), (b"x-kind", b"song")])
        self.assertEqual(head.headers, [(b"x-kind", b"song")])


class Knowing(unittest.TestCase):
    """Which of several reports about a limit is valid."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rates = ReplicaRates(self.clock, random.Random(1), key)

    def test_an_answer_to_an_earlier_request_takes_no_limit_back(self) -> None:
        """Guards against briefly dropping a limit each time the answer to an old request arrives.

        The limit is known from a fast answer. The first event of a stream that was requested
        earlier arrives later, but its head was written before the replica ran short of memory.
        """
        self.rates.record_limit("1", 3.0, sent_at=99.9)
        self.rates.record_limit("1", None, sent_at=99.0)
        self.assertEqual(self.rates.limit("1"), 3.0)
        self.clock.advance(1.0)
        self.rates.record_limit("1", None, sent_at=100.5)
        self.assertIsNone(self.rates.limit("1"))

    def test_the_newest_word_holds_whoever_says_it(self) -> None:
        self.rates.record_limit("1", 3.0, sent_at=99.9)
        self.rates.receive_rows("peer", [RateRow(1, 9.0, 2.0, 0)], written_at=99.0)
        self.assertEqual(self.rates.limit("1"), 3.0)
        self.clock.advance(2.0)
        self.rates.receive_rows("peer", [RateRow(1, NO_LIMIT, 0.5, 0)], written_at=101.9)
        self.assertIsNone(self.rates.limit("1"))

    def test_datagrams_that_waited_bring_no_old_limit_back(self) -> None:
        """Guards against restoring an outdated limit from delayed datagrams.

        An entry that was suspended reads ten seconds of datagrams at once. Their ages are relative
        to when they were written, so each datagram is dated by the one that it answers.
        """
        self.rates.record_limit("1", 3.0, sent_at=99.9)
        self.clock.advance(10.0)
        self.rates.receive_rows("peer", [RateRow(1, 8.0, 0.0, 0)], written_at=95.0)
        self.assertEqual(self.rates.limit("1"), 3.0)

    def test_a_limit_ends_with_its_replica(self) -> None:
        self.rates.record_limit("1", 3.0, sent_at=99.9)
        self.rates.record_limit("2", 3.0, sent_at=99.9)
        self.rates.forget(["2"])
        self.assertEqual(self.rates.limits(), {2: 3.0})

    def test_that_a_limit_ended_is_told_for_some_time(self) -> None:
        self.rates.record_limit("1", 3.0, sent_at=99.9)
        self.clock.advance(1.0)
        self.rates.record_limit("1", None, sent_at=100.9)
        self.assertEqual([row.per_second for row in self.rates.rows()], [NO_LIMIT])
        self.clock.advance(WITHDRAWN_LIMIT_SECONDS + 1.0)
        self.rates.forget(["1"])
        self.assertEqual(self.rates.rows(), [])
        self.assertFalse(self.rates.any_limited)

    def test_what_is_told_is_bounded(self) -> None:
        for at in range(3 * MAX_ROWS):
            self.clock.advance(0.01)
            self.rates.record_limit(str(at), 3.0, sent_at=99.9)
        told = {row.key for row in self.rates.rows()}
        self.assertEqual(told, set(range(2 * MAX_ROWS, 3 * MAX_ROWS)))


class Deciding(unittest.TestCase):
    """Whether another request may be sent to a limited replica."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.rates = ReplicaRates(self.clock, random.Random(1), key)
        self.rates.record_limit("1", 3.0, sent_at=99.9)

    def send(self, count: int, estimate: FleetEstimate) -> int:
        """Try to send ``count`` requests at once; return how many were allowed."""
        sent = 0
        for _ in range(count):
            if self.rates.may_send("1", estimate):
                self.rates.record_send("1")
                sent += 1
        return sent

    def test_a_window_holds_what_the_limit_says(self) -> None:
        alone = FleetEstimate(expected_arrivals=0.0, propagation_delay=0.1, part=1.0)
        self.assertEqual(self.send(50, alone), 6)
        self.clock.advance(2.1)
        self.assertEqual(self.send(50, alone), 6)

    def test_what_others_sent_is_taken_off(self) -> None:
        estimate = FleetEstimate(expected_arrivals=0.0, propagation_delay=0.1, part=1.0)
        self.rates.receive_rows("a", [RateRow(1, 3.0, 0.1, 3)], written_at=100.0)
        self.rates.receive_rows("b", [RateRow(1, 3.0, 0.1, 2)], written_at=100.0)
        self.assertEqual(self.send(50, estimate), 1)

    def test_what_a_silent_entry_sent_counts_until_its_window_ends(self) -> None:
        """A silent entry may be partitioned but alive, and its requests reached the replica."""
        estimate = FleetEstimate(expected_arrivals=0.0, propagation_delay=0.1, part=1.0)
        self.rates.receive_rows("a", [RateRow(1, 3.0, 0.1, 6)], written_at=100.0)
        self.clock.advance(1.5)
        self.assertEqual(self.send(50, estimate), 0)
        self.clock.advance(1.0)
        self.assertEqual(self.send(50, estimate), 6)

    def test_who_hears_of_nobody_takes_a_small_part_and_never_none(self) -> None:
        estimate = FleetEstimate(expected_arrivals=0.0, propagation_delay=0.1, part=0.01)
        self.assertEqual(self.send(50, estimate), 0)
        self.clock.advance(1.0 / (3.0 * 0.01) + 0.1)
        self.assertEqual(self.send(50, estimate), 1)

    def test_a_replica_that_takes_none_is_still_asked(self) -> None:
        """A limit of zero can be raised only by an answer, so the replica must be probed."""
        self.clock.advance(1.0)
        self.rates.record_limit("1", 0.0, sent_at=100.9)
        estimate = FleetEstimate(expected_arrivals=0.0, propagation_delay=0.1, part=1.0)
        self.assertEqual(self.send(50, estimate), 1)
        self.clock.advance(1.0 / MIN_PROBE_RATE + 0.1)
        self.assertEqual(self.send(50, estimate), 1)


class Hearing(unittest.TestCase):
    """The fraction of all entries from which an entry receives updates."""

    def test_entries_that_fell_silent_count_while_few_are_heard(self) -> None:
        """Guards against a partitioned entry that assumes it is alone and uses a whole limit."""
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
        """Guards against using only a thirtieth of a limit although all entries are connected.

        If one entry per hour falls silent and is replaced under another address while no replica
        has a limit for a week, the fraction is never computed and silent entries accumulate. Once
        they outnumber the connected ones, none of them is dropped.
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
    """The check that the simulations use."""

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
    """Return the announcement of an entry."""
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
