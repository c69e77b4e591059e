"""Replicas that request a backoff with ``Retry-After``, and replicas that announce leaving."""

import time
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable

import anyio
from loguru import logger

from benchmarks.request_fleet import RequestFleet
from carawayhub.gateway.calls import RequestedBackoff, UnreadableValue
from carawayhub.gateway.model import Repeat
from carawayhub.gateway.ports import Published
from carawayhub.gateway.relay import GatewayRelay
from carawayhub.gateway.revision import Revision
from carawayhub.platform.headers import PlatformWire
from carawayhub.standins.stated import StatedArrival
from tests.entry_harness import CallerReply, EntryHarness, answers
from tests.scripted_endpoint import (
    SEAL,
    ClosedError,
    Script,
    chunk,
    event,
    refused,
    stream_head,
    whole,
)

STREAM_EVENTS = 25
AT_ONCE_SECONDS = 0.1


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def play(
    fleet: RequestFleet,
    rate: float,
    seconds: float,
    during: Callable[[], Awaitable[None]] | None = None,
) -> RequestFleet:
    """Send ``rate`` requests per second for some seconds, and run ``during`` beside them."""

    async def story() -> None:
        if during is not None:
            fleet.start(during)
        for at in range(round(rate * seconds)):
            fleet.start(fleet.ask, b"ask %d" % at)
            await anyio.sleep(1.0 / rate)
        await anyio.sleep(2.0)

    fleet.play(story)
    return fleet


def replica_ids(count: int) -> list[str]:
    """Return the ids of the first lifetimes of some replicas."""
    return [f"i-{at}-0" for at in range(count)]


def turns_away(seconds: bytes) -> Script:
    """Return the script of an endpoint that turns everything away and requests a backoff."""

    async def script(stream, taken) -> None:
        await stream.send(refused(b"Retry-After: %s\r\n" % seconds))

    return script


def retry_after(reply: CallerReply) -> float:
    """Return the seconds after which a caller is asked back."""
    lines = reply.head.lower().split(b"\r\n")
    (found,) = [line for line in lines if line.startswith(b"retry-after:")]
    return float(found.partition(b":")[2])


class Backoff(unittest.TestCase):
    """Some replicas turn everything away and ask each entry to leave them alone for 3 s."""

    def turning_away(self, count: int, *, plain: bool = False, **options: object) -> RequestFleet:
        fleet = RequestFleet(entries=7, ranks=12, events=STREAM_EVENTS, plain=plain, **options)
        fleet.stated.turning_away = dict.fromkeys(replica_ids(count), 1.0)
        return fleet

    def test_replica_that_requested_a_backoff_gets_no_requests_meanwhile(self) -> None:
        """Guards against a fixed time of the entry's own in place of the one that was stated."""
        fleet = play(self.turning_away(4), rate=14.0, seconds=10.0)
        self.assertEqual({each.replica for each in fleet.stated.backoffs}, set(replica_ids(4)))
        self.assertEqual(fleet.stated.broken_backoffs(), [])

    def test_replica_of_a_plain_service_that_requested_one_gets_no_requests_meanwhile(self) -> None:
        """Guards against sending on to plain services, which may be full for milliseconds only."""
        fleet = play(self.turning_away(4, plain=True), rate=70.0, seconds=10.0)
        self.assertEqual({each.replica for each in fleet.stated.backoffs}, set(replica_ids(4)))
        self.assertEqual(fleet.stated.broken_backoffs(), [])

    def test_callers_are_served_by_the_other_replicas(self) -> None:
        """Guards against taking a third of the replicas that refuse for a service that is closed.

        Callers waited for 1.3 s and were refused, while eight of twelve replicas had free slots.
        """
        fleet = play(self.turning_away(4), rate=14.0, seconds=10.0)
        refused = [each for each in fleet.told if each.status == 503]
        self.assertEqual([each for each in refused if each.seconds > AT_ONCE_SECONDS], [])
        self.assertLess(len(refused), 0.1 * len(fleet.told))


class Unstated(unittest.TestCase):
    """Some replicas turn everything away and do not say for how long."""

    def test_engines_that_refuse_beside_others_that_run_close_no_service(self) -> None:
        """Guards against callers that wait for the few replicas which refused them."""
        fleet = RequestFleet(entries=7, ranks=12, events=STREAM_EVENTS)
        fleet.stated.seconds = None
        fleet.stated.turning_away = dict.fromkeys(replica_ids(4), 1.0)
        play(fleet, rate=14.0, seconds=10.0)
        refused = [each for each in fleet.told if each.status == 503]
        self.assertEqual([each for each in refused if each.seconds > AT_ONCE_SECONDS], [])


class Leaving(unittest.TestCase):
    """Some replicas announce their leaving in answers, and the store lists them as ready."""

    def late_arrivals(self, *, plain: bool) -> list[StatedArrival]:
        fleet = RequestFleet(entries=7, ranks=12, events=STREAM_EVENTS, plain=plain)
        fleet.stated.leaving = set(replica_ids(3))
        play(fleet, rate=14.0, seconds=10.0)
        self.assertGreater(len(fleet.stated.told_leaving), 7)
        self.assertTrue(all(each.served for each in fleet.told))
        return fleet.stated.late_at_leaving(fleet.asked_at)

    def test_rank_that_announced_its_leaving_gets_no_requests_later_on(self) -> None:
        """Guards against trusting the store's list alone, which an outage may keep outdated."""
        self.assertEqual(self.late_arrivals(plain=False), [])

    def test_plain_replica_that_announced_its_leaving_gets_no_requests_later_on(self) -> None:
        """Guards against the same at plain services."""
        self.assertEqual(self.late_arrivals(plain=True), [])


class Histories(unittest.TestCase):
    """Replicas that turn away and leave at random, entries that restart or are cut off."""

    def history(self, seed: int, *, plain: bool) -> RequestFleet:
        fleet = RequestFleet(entries=5, ranks=10, seed=seed, lost=0.03, plain=plain)
        stated = fleet.stated

        async def troubles() -> None:
            while True:
                replica = f"i-{fleet.rng.randrange(10)}-0"
                stated.seconds = fleet.rng.choice((None, 0.2, 1.0, 3.0))
                stated.turning_away[replica] = fleet.rng.choice((0.0, 0.2, 1.0))
                if fleet.rng.random() < 0.2 and len(stated.leaving) < 5:
                    stated.leaving.add(replica)
                if fleet.rng.random() < 0.2:
                    fleet.restart_entry(fleet.rng.choice(fleet.ips))
                if fleet.rng.random() < 0.2:
                    fleet.start(fleet.cut_entry, fleet.rng.choice(fleet.ips), 1.0)
                await anyio.sleep(fleet.rng.uniform(0.1, 0.8))

        return play(fleet, rate=50.0, seconds=10.0, during=troubles)

    def test_no_entry_breaks_a_backoff_or_uses_a_replica_that_left(self) -> None:
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                fleet = self.history(seed, plain=seed % 2 == 0)
                self.assertGreater(len(fleet.stated.backoffs), 10)
                self.assertEqual(fleet.stated.broken_backoffs(), [])
                self.assertEqual(fleet.stated.late_at_leaving(fleet.asked_at), [])
                self.assertGreater(sum(each.served for each in fleet.told), 0.5 * len(fleet.told))


class OneEntry(unittest.TestCase):
    """Each way in which an entry sends requests, and what must not end a backoff or a leaving."""

    def harness(self, *scripts: Script, **options: object) -> EntryHarness:
        return EntryHarness(list(scripts), **options)

    def test_new_request_is_refused_at_once_rather_than_sent_as_a_last_resort(self) -> None:
        """Guards against a request that waits, or is sent, while no replica wants any."""
        for options in ({}, {"repeat": Repeat.ONCE}, {"repeat": Repeat.IDEMPOTENT}):

            async def scenario(harness: EntryHarness) -> None:
                for _ in range(3):
                    reply = await harness.ask()
                    self.assertEqual(reply.status, 503)
                    self.assertLess(reply.seconds, 0.2)
                    self.assertLessEqual(retry_after(reply), 1.0)
                self.assertEqual(len(harness.taken()), 1)

            with self.subTest(**options):
                self.harness(turns_away(b"30"), **options).run(scenario)

    def test_second_attempt_goes_to_a_replica_without_a_backoff(self) -> None:
        async def fails(stream, taken) -> None:
            await stream.send(whole(taken, b"no", "500 Internal Server Error"))

        async def scenario(harness: EntryHarness) -> None:
            while not harness.endpoints[0].taken:
                await harness.ask()
            for _ in range(6):
                await harness.ask()
            self.assertEqual(len(harness.endpoints[0].taken), 1)
            self.assertGreater(len(harness.endpoints[2].taken), 3)

        self.harness(turns_away(b"30"), fails, answers, repeat=Repeat.IDEMPOTENT).run(scenario)

    def test_broken_stream_is_not_resumed_at_a_replica_with_a_backoff(self) -> None:
        async def breaks(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)))
            await anyio.sleep(0.05)
            raise ClosedError

        async def scenario(harness: EntryHarness) -> None:
            harness.pool.record_backoff("i-0", 30.0)
            reply = await harness.ask()
            self.assertFalse(reply.whole)
            self.assertEqual(harness.endpoints[0].taken, [])

        self.harness(answers, breaks).run(scenario)

    def test_refused_request_does_not_wait_to_be_sent_to_the_same_replicas(self) -> None:
        """Guards against the incident: requests that had spent their attempts waited for 1.3 s."""

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual(reply.status, 503)
            self.assertLess(reply.seconds, 0.2)
            self.assertEqual(len(harness.taken()), 2)
            self.assertLess(retry_after(reply), 0.1, "the third replica has free slots")

        self.harness(turns_away(b"3"), turns_away(b"4"), turns_away(b"5")).run(scenario)

    def test_request_waits_for_a_backoff_that_ends_in_time(self) -> None:
        until = [0.0]

        async def short(stream, taken) -> None:
            if time.monotonic() < until[0]:
                await stream.send(refused(b"Retry-After: 0.2\r\n"))
                return
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            until[0] = time.monotonic() + 0.15
            reply = await harness.ask()
            self.assertEqual(reply.status, 200)
            self.assertLess(reply.seconds, 0.6)
            self.assertEqual(len(harness.taken()), 2)

        self.harness(short, target=1.0).run(scenario)

    def test_connection_being_opened_when_the_backoff_arrives_carries_no_request(self) -> None:
        """Guards against requests that were assigned to a replica just before it asked for one."""

        async def scenario(harness: EntryHarness) -> None:
            claim = harness.relay._claim_send

            def claim_late(progress, pool, endpoint_id) -> bool:
                pool.record_backoff(endpoint_id, 30.0)
                return claim(progress, pool, endpoint_id)

            with unittest.mock.patch.object(GatewayRelay, "_claim_send", staticmethod(claim_late)):
                reply = await harness.ask()
            self.assertEqual(reply.status, 503)
            self.assertEqual(harness.taken(), [])

        self.harness(answers, repeat=Repeat.ONCE).run(scenario)

    def test_nothing_but_time_ends_a_backoff(self) -> None:
        """A success of an earlier stream, news of a peer, a new list, a new configuration."""
        streams = [0]

        async def one_stream(stream, taken) -> None:
            streams[0] += 1
            if streams[0] > 1:
                await stream.send(refused(b"Retry-After: 30\r\n"))
                return
            await stream.send(stream_head(taken) + chunk(event(1)))
            await anyio.sleep(0.4)
            await stream.send(chunk(event(2)) + chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            replies = []

            async def ask() -> None:
                replies.append(await harness.ask())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(ask)
                await anyio.sleep(0.1)
                tasks.start_soon(ask)
            self.assertEqual(sorted(each.status for each in replies), [200, 503])
            harness.health.peer_refused(["i-0"])
            harness.health.clear_refusals(["i-0"])
            harness.publish(version=2)
            self.assertEqual((await harness.ask()).status, 503)
            self.assertEqual(streams[0], 2)

        self.harness(one_stream).run(scenario)

    def test_another_lifetime_of_the_replica_is_used_at_once(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            harness.pool.record_backoff("i-0", 30.0)
            harness.view.record_leaving("i-0")
            self.assertEqual((await harness.ask()).status, 503)
            harness.publish(version=2, born=5)
            self.assertEqual((await harness.ask()).status, 200)

        self.harness(answers, repeat=Repeat.ONCE).run(scenario)

    def test_leaving_holds_against_new_lists(self) -> None:
        """Guards against a store that lists a replica as ready which has announced its leaving."""

        async def leaves(stream, taken) -> None:
            await stream.send(whole(taken, extra=SEAL + b"Server-Leaving: 1\r\n"))

        async def scenario(harness: EntryHarness) -> None:
            self.assertEqual((await harness.ask()).status, 200)
            harness.publish(version=2)
            self.assertEqual((await harness.ask()).status, 503)
            harness.view.replace(Published(revision=Revision(0, 8), changes=()))
            harness.publish(version=3)
            self.assertEqual((await harness.ask()).status, 503)
            self.assertEqual(len(harness.taken()), 1)

        self.harness(leaves, repeat=Repeat.ONCE).run(scenario)

    def test_answers_that_are_not_the_replicas_own_state_nothing(self) -> None:
        """Guards against a process at a reused address that takes a replica out of service."""
        stated = b"Retry-After: 30\r\nServer-Leaving: 1\r\n"
        for answer in (
            b"HTTP/1.1 421 Misdirected Request\r\n" + stated + b"Content-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\n" + stated + b"Content-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 Service Unavailable\r\nCarawayhub-Not-Executed: 1\r\n"
            b"Carawayhub-Request-Id: other\r\n" + stated + b"Content-Length: 0\r\n\r\n",
        ):

            async def strange(stream, taken, answer=answer) -> None:
                await stream.send(answer)

            async def scenario(harness: EntryHarness) -> None:
                await harness.ask()
                self.assertTrue(harness.pool.is_accepting("i-0"))
                self.assertTrue(harness.view.record_leaving("i-0"))

            with self.subTest(answer=answer):
                self.harness(strange, repeat=Repeat.ONCE).run(scenario)

    def test_zero_and_unreadable_times_change_nothing(self) -> None:
        for value in (b"0", b"-3", b"soon", b"Thu, 03 Dec 2026 21:00:00 GMT"):

            async def scenario(harness: EntryHarness) -> None:
                await harness.ask()
                self.assertTrue(harness.pool.is_accepting("i-0"))

            with self.subTest(value=value):
                self.harness(turns_away(value), repeat=Repeat.ONCE).run(scenario)


class Wire(unittest.TestCase):
    """Parsing of the headers."""

    def backoff(
        self, *values: bytes, status: int = 503
    ) -> RequestedBackoff | UnreadableValue | None:
        return PlatformWire().answer(status, [(b"Retry-After", each) for each in values]).backoff

    def test_decimal_numbers(self) -> None:
        for value, seconds in ((b"3", 3.0), (b"0.25", 0.25), (b"0", 0.0), (b"007.50", 7.5)):
            self.assertEqual(self.backoff(value), RequestedBackoff(seconds))
        self.assertIsNone(self.backoff())

    def test_what_cannot_be_read(self) -> None:
        date = b"Thu, 03 Dec 2026 21:00:00 GMT"
        for value in (b"", b"-1", b"+1", b"1e3", b"nan", b"inf", b"soon", date, b"9" * 10_000):
            with self.subTest(value=value[:20]):
                self.assertIsInstance(self.backoff(value), UnreadableValue)

    def test_many_digits_ask_for_the_longest_backoff(self) -> None:
        """Guards against a replica that asks for very long and gets requests at once."""
        self.assertEqual(self.backoff(b"9999999999"), RequestedBackoff(9_999_999_999.0))
        self.assertEqual(self.backoff(b"9" * 19), RequestedBackoff(float("9" * 19)))

    def test_the_longest_of_several_holds(self) -> None:
        self.assertEqual(self.backoff(b"2", b"5", b"x"), RequestedBackoff(5.0))

    def test_other_statuses_speak_to_the_caller(self) -> None:
        for status in (200, 408, 421, 429, 500):
            self.assertIsNone(self.backoff(b"3", status=status))

    def test_leaving_is_read_and_not_returned(self) -> None:
        head = PlatformWire().answer(200, [(b"Server-Leaving", b"1"), (b"x-kind", b"song")])
        self.assertTrue(head.leaving)
        self.assertEqual(head.headers, [(b"x-kind", b"song")])
        for value in (b"", b"0", b"maybe"):
            self.assertFalse(PlatformWire().answer(200, [(b"Server-Leaving", value)]).leaving)


if __name__ == "__main__":
    unittest.main()
