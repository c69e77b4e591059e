"""Decisions of an entry without a network: routes, slots, queue, retries, complete events."""

import random
import unittest

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.errors import RequestError
from carawayhub.gateway.admission import (
    OTHER_ENTRY_RETRY_SECONDS,
    START_JITTER_SECONDS,
    START_SECONDS,
    VIEW_AGE_MARGIN_SECONDS,
    AdmissionControl,
)
from carawayhub.gateway.calls import CallerRequest
from carawayhub.gateway.events import EventBuffer
from carawayhub.gateway.health import MIN_AVOID_SECONDS, Health
from carawayhub.gateway.line import RequestQueue, Requirements
from carawayhub.gateway.loads import Loads, Work, work_key
from carawayhub.gateway.model import Repeat, RouteTable
from carawayhub.gateway.placement import Placement
from carawayhub.gateway.ports import Published, TablePublished
from carawayhub.gateway.refusals import CLOSED_AFTER_REFUSALS, MAX_WAIT_SECONDS, Refusals
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from tests.gateway_world import KEY, endpoint, route, table, work

REVOKE = 5.0


def request(path: str = "/songs/1", key: str = KEY, waits: float | None = 8.05) -> CallerRequest:
    return CallerRequest(
        id=b"q1",
        method="POST",
        host="caraway.example",
        path=path,
        target=path.encode(),
        headers=[],
        key=key,
        wait_seconds=waits,
        prompt_tokens=800,
        answer_tokens=140,
        last_event_id=b"",
    )


class Routes(unittest.TestCase):
    """Route matching."""

    def setUp(self) -> None:
        self.table: RouteTable = table(1, route("/songs/"), route("/songs/new/", service="plain"))

    def test_longest_prefix_wins(self) -> None:
        found = self.table.match("caraway.example", "/songs/new/7")
        self.assertEqual(found.prefix, "/songs/new/")
        self.assertEqual(self.table.match("caraway.example", "/songs/newer").prefix, "/songs/")

    def test_prefix_ends_at_a_slash(self) -> None:
        self.assertIsNone(self.table.match("caraway.example", "/songster/1"))
        self.assertIsNone(self.table.match("other.example", "/songs/1"))

    def test_host_is_compared_without_case_and_port(self) -> None:
        self.assertIsNotNone(self.table.match("Caraway.Example:8080", "/songs/1"))


class DeskTest(unittest.TestCase):
    """Admission of requests."""

    def setUp(self) -> None:
        self.clock = ManualClock(50.0)
        self.view = FleetView(self.clock, 1.2)
        self.admission = AdmissionControl(self.view, self.clock, random.Random(1), REVOKE)

    def publish(self) -> None:
        changes = (TablePublished(table(1, route(), route("/open/", public=True))),)
        self.view.replace(Published(revision=Revision(0, 1), changes=changes))
        self.view.confirm(self.clock.monotonic())

    def refused(self, req: CallerRequest) -> RequestError:
        with self.assertRaises(RequestError) as caught:
            self.admission.admit(req, self.clock.monotonic())
        return caught.exception

    def test_entry_without_configuration_says_503(self) -> None:
        exc = self.refused(request())
        self.assertEqual(exc.meaning.status, 503)
        self.assertIsNotNone(exc.retry_after)

    def test_retry_time_covers_the_start_of_all_entries(self) -> None:
        """Guards against callers that use up their one retry at entries that are all starting."""
        ready = False
        self.admission = AdmissionControl(
            self.view, self.clock, random.Random(1), REVOKE, lambda: ready
        )
        retries = [self.refused(request()).retry_after for _ in range(20)]
        self.assertGreaterEqual(min(retries), START_SECONDS)
        self.assertLessEqual(max(retries), START_SECONDS + START_JITTER_SECONDS)
        self.assertGreater(max(retries) - min(retries), START_JITTER_SECONDS / 2)
        followed = self.refused(request(waits=1.5)).retry_after
        self.assertLessEqual(followed, 1.5 / 3)
        self.clock.advance(START_SECONDS - 0.4)
        self.assertLess(self.refused(request()).retry_after, 0.4 + START_JITTER_SECONDS + 0.01)
        ready = True
        self.assertEqual(self.refused(request()).retry_after, OTHER_ENTRY_RETRY_SECONDS)

    def test_unknown_route_and_key(self) -> None:
        self.publish()
        self.assertEqual(self.refused(request("/elsewhere/1")).code, Code.NOT_SERVED)
        self.assertEqual(self.refused(request(key="other")).code, Code.KEY_UNKNOWN)

    def test_old_view_opens_no_door(self) -> None:
        """Guards against accepting a revoked key after the revocation bound.

        An entry that cannot read the store does not know that an operator has revoked a key.
        """
        self.publish()
        self.clock.advance(REVOKE - VIEW_AGE_MARGIN_SECONDS - 0.01)
        self.admission.admit(request(), self.clock.monotonic())
        self.clock.advance(0.02)
        exc = self.refused(request())
        self.assertEqual(exc.code, Code.VIEW_TOO_OLD)
        self.assertLess(exc.retry_after, 0.1)
        self.admission.admit(request("/open/1", key=""), self.clock.monotonic())

    def test_caller_with_less_time_than_others_has_come_back(self) -> None:
        self.publish()
        self.assertFalse(self.admission.admit(request(), 50.0).returned)
        self.assertTrue(self.admission.admit(request(waits=6.0), 50.0).returned)


class Placing(unittest.TestCase):
    """Selection of the endpoint for a request."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.loads = Loads()
        self.health = Health(self.clock)
        self.placement = Placement(self.loads, self.health, random.Random(3))
        self.endpoints = [endpoint(f"i-{at}") for at in range(12)]

    def choose(self, tried: frozenset[str] = frozenset(), kv_tokens: int = 186_000):
        return self.placement.choose(self.endpoints, work(), kv_tokens, tried)

    def test_ranks_are_filled_evenly(self) -> None:
        """Guards against uneven load: in each pass, all ranks of a group wait for the slowest.

        36 requests must not leave one rank with five and another with one.
        """
        for _ in range(36):
            self.loads.begin(self.choose().endpoint.id, work())
        counts = [self.loads.total(each.id).requests for each in self.endpoints]
        self.assertEqual(counts, [3] * 12)

    def test_work_of_peers_counts(self) -> None:
        busy = {work_key(each.id): Work(2, 0, 2000) for each in self.endpoints[1:]}
        self.loads.update_peer("10.0.0.2", busy)
        self.assertEqual(self.choose().endpoint.id, "i-0")
        self.loads.remove_peer("10.0.0.2")
        self.assertEqual(self.loads.total("i-5").requests, 0)

    def test_prompts_still_to_be_read_break_ties(self) -> None:
        for each in self.endpoints:
            self.loads.begin(each.id, work())
        for each in self.endpoints[:-1]:
            self.loads.begin(each.id, work(prompt=2000))
        self.loads.mark_prompt_read("i-11", 800)
        self.loads.begin("i-11", work(prompt=100))
        self.assertEqual(self.choose().endpoint.id, "i-11")

    def test_full_endpoints_are_said_to_be_full(self) -> None:
        for each in self.endpoints:
            for _ in range(6):
                self.loads.begin(each.id, work())
        self.assertFalse(self.choose().free)

    def test_request_larger_than_what_is_left_of_memory_waits(self) -> None:
        for each in self.endpoints:
            self.loads.begin(each.id, work(prompt=100_000))
        chosen = self.placement.choose(self.endpoints, work(prompt=120_000), 186_000, frozenset())
        self.assertFalse(chosen.free)

    def test_unreachable_endpoint_is_avoided_for_a_while(self) -> None:
        self.health.unreachable("i-0")
        for _ in range(30):
            self.assertNotEqual(self.choose().endpoint.id, "i-0")
        self.clock.advance(MIN_AVOID_SECONDS + 0.01)
        self.assertFalse(self.health.avoided("i-0"))

    def test_failing_endpoint_gets_less(self) -> None:
        """An endpoint fails half of its requests while its health check succeeds.

        The entry counts the failures that callers receive.
        """
        for at in range(6):
            self.health.answered("i-0", 0.02, ok=at % 2 == 0)
        for each in self.endpoints[1:]:
            self.loads.begin(each.id, work())
        self.assertNotEqual(self.choose().endpoint.id, "i-0")

    def test_slow_plain_endpoint_gets_less(self) -> None:
        for each in self.endpoints:
            self.health.answered(each.id, 0.2 if each.id == "i-0" else 0.02, ok=True)
        for each in self.endpoints[1:]:
            self.loads.begin(each.id, work())
        self.assertNotEqual(self.choose(kv_tokens=0).endpoint.id, "i-0")


class Waiting(unittest.TestCase):
    """Order of the queue, rejection and retry times."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.queue = RequestQueue(self.clock, random.Random(5))
        self.served: list[str] = []

    def ends(self, count: int, per_second: float) -> None:
        """Let requests of this entry end at a constant rate."""
        for _ in range(count):
            self.clock.advance(1.0 / per_second)
            self.queue.ended()

    def join(self, name: str, *, rank: int = 1, returned: bool = False, patience: float = 0.25):
        requirements = Requirements(
            rank=rank, returned=returned, patience=patience, left=8.0, longest=1.3
        )
        return self.queue.join(
            requirements, lambda served: self.served.append(name if served else "-")
        )

    def test_load_beyond_capacity_keeps_those_in_time_that_are_taken(self) -> None:
        """Twice as many requests arrive as slots become free.

        If all waited, all would be late after a second; the queue accepts only those that can
        have their first event in time.
        """
        self.ends(20, 20.0)
        waits: list[float] = []
        arrived: dict[str, float] = {}
        for at in range(200):
            self.clock.advance(0.025)
            name = str(at)
            if self.join(name) is not None:
                arrived[name] = self.clock.monotonic()
            if at % 2:
                self.queue.ended()
                first = self.queue.first()
                if first is not None:
                    before = len(self.served)
                    self.queue.serve(first)
                    waits.append(self.clock.monotonic() - arrived[self.served[before]])
        self.assertGreater(len(waits), 90)
        self.assertLess(max(waits), 0.25 + 0.06)

    def test_who_is_new_goes_before_who_came_back_and_urgent_ones_before_both(self) -> None:
        """Guards against an overload in which hardly any request is answered in time.

        If returned requests, which are late in any case, were served first, new requests that
        could be in time would be refused and return late themselves.
        """
        self.ends(20, 100.0)
        self.join("back", returned=True)
        self.join("new")
        self.join("urgent", rank=0)
        while (first := self.queue.first()) is not None:
            self.queue.serve(first)
        self.assertEqual(self.served, ["urgent", "new", "back"])

    def test_one_may_wait_where_places_come_free_slowly(self) -> None:
        """Guards against rejecting requests while the queue is empty.

        Four requests of the entry end per second, so the next slot is expected in a quarter of a
        second, slightly later than the caller can wait. It is free in time more often than not.
        """
        self.ends(12, 4.0)
        self.assertIsNotNone(self.join("first", patience=0.2))
        self.assertIsNone(self.join("second", patience=0.2))

    def test_who_left_is_passed_over(self) -> None:
        self.ends(20, 100.0)
        waiter = self.join("gone")
        self.join("here")
        self.queue.leave(waiter)
        self.queue.serve(self.queue.first())
        self.assertEqual(self.served, ["here"])

    def test_who_left_does_not_count_as_ahead(self) -> None:
        """Guards against rejecting requests because of callers that have left the queue."""
        self.ends(20, 100.0)
        waiters = [self.join(str(at)) for at in range(10)]
        for each in waiters[1:]:
            self.queue.leave(each)
        self.assertLess(self.queue.expected_wait(1, returned=False), 0.03)

    def test_who_waited_too_long_is_told(self) -> None:
        self.ends(20, 100.0)
        self.join("late")
        self.clock.advance(1.0)
        self.assertIsNone(self.queue.first())
        self.assertEqual(self.served, ["-"])

    def test_nobody_waits_longer_than_callers_listen_to_silence(self) -> None:
        """Guards against engines that process prompts of callers about to leave.

        After a power loss of all VMs, callers leave after two seconds of silence. A request that
        has waited for most of that time must not be sent.
        """
        requirements = Requirements(
            rank=1, returned=True, patience=0.25, left=8.0, longest=1.3, recovery_wait=1.6
        )
        waiter = self.queue.join(requirements, lambda served: None)
        self.assertAlmostEqual(waiter.expires_at - self.clock.monotonic(), 1.3)

    def test_times_to_come_back_are_spread_and_within_what_callers_follow(self) -> None:
        """Guards against refused callers of a burst that all return at the same time."""
        self.ends(20, 20.0)
        times = [self.queue.retry_after(8.0) for _ in range(200)]
        self.assertLess(max(times), 8.0 / 3)
        self.assertGreater(max(times) - min(times), 0.8)

    def test_who_comes_while_nothing_ends_is_asked_back_soon(self) -> None:
        """Guards against callers that return long after the service is available again.

        After a power loss, engines take a second to form their group, so a retry time of two
        seconds would be too long.
        """
        self.assertLess(max(self.queue.retry_after(8.0) for _ in range(100)), 0.8)


class Retries(unittest.TestCase):
    """This entry's share of the retry budget."""

    def test_shares_of_all_entries_stay_within_the_budget(self) -> None:
        """Every endpoint fails at once, and each of six entries tries to repeat every request."""
        clock = ManualClock(10.0)
        shares = [RetryShare(clock, 0.2, 88.0, 10.0) for _ in range(6)]
        repeats = 0
        for _ in range(100):
            clock.advance(0.1)
            for share in shares:
                share.arrived()
                repeats += share.spend(6)
        self.assertLessEqual(repeats, 0.2 * 600 + 88)
        self.assertGreater(repeats, 0.5 * (0.2 * 600 + 88))

    def test_entry_that_knows_no_other_spends_little(self) -> None:
        share = RetryShare(ManualClock(1.0), 0.2, 88.0, 10.0)
        self.assertLessEqual(sum(share.spend(0) for _ in range(88)), 4)

    def test_entries_that_start_together_stay_within_the_budget(self) -> None:
        """47 entries restart after a power loss and know of no other entry yet."""
        clock = ManualClock(10.0)
        shares = [RetryShare(clock, 0.2, 252.0, 10.0) for _ in range(47)]
        repeats = sum(share.spend(0) for share in shares for _ in range(100))
        self.assertLessEqual(repeats, 252)


class ClosedEngines(unittest.TestCase):
    """Engines that refuse all requests, as they do until their group has formed."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.refusals = Refusals(self.clock)

    def close(self) -> None:
        for _ in range(CLOSED_AFTER_REFUSALS):
            self.refusals.refused()

    def test_full_engine_closes_nothing(self) -> None:
        for _ in range(20):
            self.refusals.refused()
            self.refusals.answered()
        self.assertTrue(self.refusals.may_send())
        self.assertEqual(self.refusals.wait_left(), 0.0)

    def test_few_ask_while_all_refuse(self) -> None:
        """Guards against 40 entries that exceed the retry budget by forwarding every request."""
        self.close()
        probes = 0
        for _ in range(100):
            self.clock.advance(0.01)
            if self.refusals.may_send():
                probes += 1
                self.refusals.sent()
                self.refusals.refused()
        self.assertLessEqual(probes, 3)
        self.assertGreaterEqual(probes, 2)

    def test_first_answer_opens_for_all(self) -> None:
        self.close()
        self.assertFalse(self.refusals.may_send())
        self.assertTrue(self.refusals.answered())
        self.assertTrue(self.refusals.may_send())
        self.assertFalse(self.refusals.answered())

    def test_nobody_waits_for_engines_that_stay_closed(self) -> None:
        self.close()
        self.assertGreater(self.refusals.wait_left(), MAX_WAIT_SECONDS - 0.1)
        while self.refusals.wait_left():
            self.clock.advance(0.4)
            self.refusals.refused()
        self.clock.advance(0.4)
        self.refusals.refused()
        self.assertEqual(self.refusals.wait_left(), 0.0)

    def test_next_time_is_waited_for_anew(self) -> None:
        self.close()
        self.clock.advance(60.0)
        self.close()
        self.assertGreater(self.refusals.wait_left(), MAX_WAIT_SECONDS - 0.1)


class Events(unittest.TestCase):
    """Forwarding of complete events only."""

    def test_event_is_kept_back_until_it_is_whole(self) -> None:
        events = EventBuffer()
        self.assertEqual(events.feed(b"id: 1\ndata: a"), b"")
        self.assertEqual(events.feed(b"b\n\nid: 2\nda"), b"id: 1\ndata: ab\n\n")
        self.assertTrue(events.unfinished)
        self.assertEqual(events.last_id, b"1")

    def test_resumed_stream_repeats_nothing(self) -> None:
        """The connection to an endpoint ends within event 3.

        The next endpoint begins with event 2 again; the caller must receive each event once.
        """
        events = EventBuffer()
        events.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
        events.restart()
        again = events.feed(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
        self.assertEqual(again, b"id: 3\ndata: c\n\n")

    def test_either_line_end(self) -> None:
        events = EventBuffer()
        self.assertEqual(events.feed(b"id: 1\r\ndata: a\r\n\r\n"), b"id: 1\r\ndata: a\r\n\r\n")
        self.assertEqual(events.last_id, b"1")


class RepeatTest(unittest.TestCase):
    """Whether a request may be repeated depends on its route only."""

    def test_kinds(self) -> None:
        self.assertTrue(route(repeat=Repeat.IDEMPOTENT).repeatable)
        self.assertTrue(route(repeat=Repeat.STREAM).repeatable)
        self.assertFalse(route(repeat=Repeat.ONCE).repeatable)


if __name__ == "__main__":
    unittest.main()
