"""Ranks that slow down their group: what agents report of them, and what entries do then."""

import random
import socket
import unittest

import anyio
import msgspec

from carawayhub.addresses import Address
from carawayhub.clock import ManualClock, SystemClock
from carawayhub.experts.slowranks import (
    EXPIRY_SECONDS,
    NOTIFY_SECONDS,
    SLOW_RANKS,
    SlowRankNotifier,
    slow_ranks,
)
from carawayhub.gateway.handing import MAX_SLOW_RANKS, ContentForwarder
from carawayhub.gateway.health import PEER_SLOW_SECONDS, SLOW_SECONDS, Health
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.placement import Placement
from carawayhub.peers.pace import LinkPacer
from carawayhub.peers.questions import Answer, Question, QuestionLink
from carawayhub.platform.store import StoreClient
from tests.gateway_world import endpoint, work


class SelectionTest(unittest.TestCase):
    """Which ranks of a group count as slow."""

    def test_rank_far_above_its_group_is_slow(self) -> None:
        self.assertEqual(slow_ranks({0: 1.0, 1: 12.0, 2: 1.1, 3: 1.0}), [1])

    def test_ranks_that_are_all_slow_are_all_used(self) -> None:
        """Guards against a service without endpoints when all of them turn slow."""
        self.assertEqual(slow_ranks(dict.fromkeys(range(12), 3.5)), [])

    def test_usual_variation_is_no_slowness(self) -> None:
        self.assertEqual(slow_ranks({0: 0.5, 1: 0.6, 2: 1.3}), [])
        self.assertEqual(slow_ranks({}), [])


class NotifierTest(unittest.TestCase):
    """Messages from an agent to an entry."""

    def run_notifier(self, scenario) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        self.received: list[list[str]] = []

        async def receive(question: Question, ip: str) -> Answer:
            self.assertEqual((question.subject, ip), (SLOW_RANKS, "127.0.0.1"))
            self.received.append(msgspec.msgpack.decode(question.content, type=list[str]))
            return Answer(number=question.number, asker=question.asker, ok=True)

        async def main() -> None:
            clock = SystemClock()
            pace = LinkPacer(clock, 0.0)
            entry = QuestionLink("127.0.0.2", port, receive, pace)
            notifier = SlowRankNotifier(
                QuestionLink("127.0.0.1", port, receive, pace), ("127.0.0.2",), clock
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(entry.run)
                tasks.start_soon(notifier.run)
                with anyio.fail_after(10.0):
                    await scenario(notifier)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_slow_ranks_are_reported_until_they_are_well(self) -> None:
        async def scenario(notifier: SlowRankNotifier) -> None:
            notifier.update(["i-7"])
            while len(self.received) < 2:
                await anyio.sleep(0.02)
            notifier.update([])
            await anyio.sleep(NOTIFY_SECONDS)
            before = len(self.received)
            await anyio.sleep(2 * NOTIFY_SECONDS)
            self.assertEqual(len(self.received), before)
            self.assertEqual(self.received[0], ["i-7"])

        self.run_notifier(scenario)

    def test_agent_that_lost_sight_of_its_group_reports_nothing(self) -> None:
        """Guards against a rank that is avoided for good after its group has a new leader."""

        async def scenario(notifier: SlowRankNotifier) -> None:
            notifier.update(["i-7"])
            await anyio.sleep(EXPIRY_SECONDS + NOTIFY_SECONDS)
            before = len(self.received)
            await anyio.sleep(2 * NOTIFY_SECONDS)
            self.assertEqual(len(self.received), before)

        self.run_notifier(scenario)


class EntryTest(unittest.TestCase):
    """What an entry does with a report."""

    def setUp(self) -> None:
        self.clock = ManualClock(10.0)
        self.health = Health(self.clock)
        self.loads = Loads()
        self.placement = Placement(self.loads, self.health, random.Random(3))
        self.endpoints = [endpoint(f"i-{at}", places=2) for at in range(4)]

    def chosen(self) -> set[str]:
        found = (self.placement.choose(self.endpoints, work(), 0, frozenset()) for _ in range(80))
        return {each.endpoint.id for each in found if each is not None}

    def test_slow_rank_gets_no_requests_while_it_is_reported(self) -> None:
        """Guards against passes that last longer with each request at the slow rank."""
        self.health.report_slow(["i-1"])
        self.assertEqual(self.chosen(), {"i-0", "i-2", "i-3"})
        self.assertEqual(self.health.reported_slow(), ["i-1"])
        self.clock.advance(SLOW_SECONDS)
        self.assertEqual(self.chosen(), {each.id for each in self.endpoints})
        self.assertEqual(self.health.reported_slow(), [])

    def test_report_to_a_peer_counts_and_is_not_passed_on(self) -> None:
        """Guards against two entries that keep a report alive by repeating it to each other."""
        self.health.peer_reported_slow(["i-1"])
        self.assertNotIn("i-1", self.chosen())
        self.assertEqual(self.health.reported_slow(), [])
        self.clock.advance(PEER_SLOW_SECONDS)
        self.assertIn("i-1", self.chosen())

    def test_slow_ranks_are_used_if_there_are_no_others(self) -> None:
        self.health.report_slow(each.id for each in self.endpoints)
        self.assertEqual(self.chosen(), {each.id for each in self.endpoints})

    def test_full_ranks_are_no_reason_to_use_a_slow_one(self) -> None:
        self.health.report_slow(["i-1"])
        for each in self.endpoints:
            if each.id != "i-1":
                self.loads.begin(each.id, Work(2))
        found = self.placement.choose(self.endpoints, work(), 0, frozenset())
        self.assertFalse(found is None or found.free)

    def test_malformed_and_oversized_reports_do_no_harm(self) -> None:
        state = StoreClient(Address("127.0.0.1", 9))
        forwarder = ContentForwarder(
            "127.0.0.1", 0, state, None, LinkPacer(self.clock, 0.0)  # type: ignore[arg-type]
        )
        received: list[str] = []
        forwarder.on_slow_ranks = received.extend

        def answer(content: bytes) -> Answer:
            question = Question(number=1, asker="a", subject=SLOW_RANKS, content=content)
            return anyio.run(forwarder.answer, question, "127.0.0.9")

        self.assertFalse(answer(b"\xc1").ok)
        self.assertFalse(answer(msgspec.msgpack.encode({"i-1": 3})).ok)
        self.assertEqual(received, [])
        self.assertTrue(answer(msgspec.msgpack.encode([f"i-{at}" for at in range(1000)])).ok)
        self.assertEqual(len(received), MAX_SLOW_RANKS)


if __name__ == "__main__":
    unittest.main()
