"""Tests of poison requests, which crash the engines that run them, through the entry's interface.

A certain prompt crashes an engine. The caller retries through another entry and under a new id.
Each entry tries two engines per call, so a group of engines stays down as long as the caller
retries.
"""

import unittest
from dataclasses import replace
from types import SimpleNamespace

import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.entry.calls import Call
from carawayhub.entry.process import EntryProcess
from carawayhub.errors import RequestError
from carawayhub.limits.fingerprint import RequestTraits
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.poisonnews import PoisonUpdates
from carawayhub.peers.links import Peer
from carawayhub.peers.messages import Heartbeat, HeartbeatReply, Hello, ProcessRole
from tests.entry_fakes import Caller, Desk
from tests.relay_fakes import (
    DONE,
    LAST_CHUNK,
    NAMES,
    STREAM_HEAD,
    Bench,
    Cut,
    chunk,
    event,
    model_call,
)

ENDS = [Cut()]
WHOLE = [STREAM_HEAD + chunk(event(0)), chunk(DONE) + LAST_CHUNK]
GONE = None
APART = 5.0
CONTENT = RequestTraits(b"0" * 12)


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Calls(unittest.IsolatedAsyncioTestCase):
    """Model calls of one entry."""

    async def again(self, bench: Bench) -> RequestError | None:
        """Repeat the call some seconds later, when the engines are available again."""
        bench.clock.advance(APART)
        for name in NAMES:
            bench.report(name)
        try:
            await bench.run(model_call(bench.clock))
        except RequestError as exc:
            return exc
        return None

    async def test_call_under_which_three_engines_ended_is_refused_without_a_try(self) -> None:
        """A connection refused after the interrupted answer proves that the engine ended.

        Each call is interrupted at one engine, retried at the other and interrupted there too.
        """
        bench = Bench({"m1": [ENDS, GONE] * 6, "m2": [ENDS, GONE] * 6})
        codes = [await self.again(bench) for _ in range(5)]
        self.assertEqual(bench.records.ends(model_call(bench.clock).traits), 3)
        self.assertEqual([each.code for each in codes[-2:]], [Code.POISON_REQUEST] * 2)
        self.assertIsNone(codes[-1].retry_after)
        tried = len(bench.network.connects)
        await self.again(bench)
        self.assertEqual(len(bench.network.connects), tried)

    async def test_calls_that_share_a_message_are_refused_for_it(self) -> None:
        """Guards against calls that differ, each of which ends an engine by the same message."""

        def call(bench: Bench, shared: str, number: int) -> Call:
            messages = [
                {"role": "system", "content": "tempo"},
                {"role": "user", "content": shared},
                {"role": "user", "content": f"line {number}"},
            ]
            body = msgspec.json.encode({"model": "cat", "stream": True, "messages": messages})
            return replace(model_call(bench.clock), body=body)

        bench = Bench({name: [ENDS, GONE] * 9 for name in NAMES})
        codes = []
        for at in range(7):
            bench.clock.advance(APART)
            for name in NAMES:
                bench.report(name)
            codes.append((await bench.failure(call(bench, "the message", at))).code)
        self.assertEqual(codes[-2:], [Code.POISON_REQUEST] * 2)
        self.assertEqual(bench.records.ends(call(bench, "the message", 9).traits), 3)
        self.assertFalse(bench.records.is_poison(call(bench, "another", 0).traits))

    async def test_engine_that_breaks_connections_and_lives_ends_under_nothing(self) -> None:
        bench = Bench({"m1": [ENDS] * 9, "m2": [ENDS] * 9})
        for _ in range(4):
            self.assertEqual((await self.again(bench)).code, Code.ANSWER_CUT)
        self.assertEqual(len(bench.records), 0)

    async def test_whole_answer_clears_the_call(self) -> None:
        bench = Bench({"m1": [ENDS, GONE, WHOLE] * 3, "m2": [WHOLE] * 9})
        self.assertIsNone(await self.again(bench))
        self.assertEqual(bench.records.ends(model_call(bench.clock).traits), 0)


class RunOnceCalls(unittest.IsolatedAsyncioTestCase):
    """Run-once calls that are repeated under a new key each time."""

    async def test_call_under_new_keys_is_refused_after_three_ends(self) -> None:
        """The ledger identifies calls by key, so new keys would allow attempts without end."""
        desk = Desk()
        desk.agents.code = int(Code.ANSWER_CUT)
        desk.upstream.listening = desk.upstream.listening.NO
        codes = []
        for at in range(5):
            desk.clock.advance(APART)
            caller = Caller(
                path="/bookings", body=(b"{}",), headers=((b"idempotency-key", b"k%d" % at),)
            )
            await desk.app(caller.scope, caller.receive, caller.send)
            codes.append(int(caller.answer_headers["x-carawayhub-code"]))
        self.assertEqual(codes, [Code.ANSWER_CUT] * 3 + [Code.POISON_REQUEST] * 2)
        self.assertEqual(len(desk.agents.requests), 3)


class Heartbeats(unittest.TestCase):
    """Exchange of poison records between linked entries."""

    def entry(self) -> EntryProcess:
        """Return an entry with only the attributes that links use."""
        entry = object.__new__(EntryProcess)
        entry._poison_updates = PoisonUpdates(PoisonRecords(ManualClock(5.0)))
        entry._runs = {}
        entry._admission = SimpleNamespace(update_demand=lambda *args: None)
        return entry

    def test_peer_is_told_until_it_answers_and_again_once_it_has_started_anew(self) -> None:
        first, second = self.entry(), self.entry()
        peer = Peer("e2", ProcessRole.ENTRY, Address("10.0.0.2", 70))
        hello = Hello(
            name="e1",
            role=ProcessRole.ENTRY,
            incarnation=1,
            failure_domain="brest",
            address="10.0.0.1:70",
        )
        first._poison_updates.records.record_end(CONTENT, 7)

        def replies(sequence: int, incarnation: int) -> None:
            reply = HeartbeatReply(sequence=sequence, incarnation=incarnation, version=1, digest="")
            first.reply_received(peer, reply, 0.0)

        self.assertEqual(first.ends(peer, 1), ())
        replies(1, incarnation=5)
        rows = first.ends(peer, 2)
        self.assertEqual(len(rows), 1)
        self.assertEqual(len(first.ends(peer, 3)), 1)
        second.heartbeat_received(hello, Heartbeat(sequence=3, version=1, digest="", ends=rows))
        self.assertEqual(second._poison_updates.records.ends(CONTENT), 1)
        replies(3, incarnation=5)
        self.assertEqual(first.ends(peer, 4), ())
        replies(1, incarnation=6)
        self.assertEqual(len(first.ends(peer, 2)), 1)
        agent = Peer("m1", ProcessRole.AGENT, Address("10.0.0.3", 70))
        self.assertEqual(first.ends(agent, 1), ())

    def test_heartbeat_carries_records_and_is_read_without_them(self) -> None:
        records = PoisonRecords(ManualClock(5.0))
        records.record_end(CONTENT, 7)
        rows = PoisonUpdates(records).rows_for("e2", "run", 1)
        sent = Heartbeat(sequence=1, version=2, digest="d", ends=tuple(rows))
        self.assertEqual(msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=Heartbeat), sent)
        plain = Heartbeat(sequence=1, version=2, digest="d")
        self.assertEqual(plain.ends, ())


if __name__ == "__main__":
    unittest.main()
