"""Tests that a process detects that it was paused."""

import random
import unittest
from unittest.mock import Mock

import anyio

from benchmarks.virtual_time import LoopClock, run
from carawayhub.clock import ManualClock
from carawayhub.fleet.manifest import Manifest
from carawayhub.fleet.pauses import PauseDetector, View
from carawayhub.output.audit import AuditTrail
from carawayhub.peers.messages import Heartbeat, Hello, ProcessRole
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.exchange import Exchange
from carawayhub.process.identity import Identity
from carawayhub.process.knowledge import Knowledge

ENTRY = Hello(
    name="brest-1",
    role=ProcessRole.ENTRY,
    incarnation=7,
    failure_domain="brest",
    address="127.0.0.1:7000",
)
BOTH = frozenset({View.CONFIGURATION, View.MEMBERSHIP})


class PauseTest(unittest.TestCase):
    """The first check after a pause must report it, whichever code runs first."""

    def test_the_first_check_after_a_pause_tells(self) -> None:
        """Guards against sending a request to an endpoint that left ten seconds ago.

        The VM of an entry is suspended between the choice of an endpoint and the dispatch, and
        resumes with a stale view. No timer has run yet at the dispatch.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        self.assertFalse(pauses.check())
        clock.advance(10)
        self.assertTrue(pauses.check())
        self.assertTrue(pauses.check())

    def test_only_what_was_checked_again_is_believed(self) -> None:
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        clock.advance(10)
        pauses.check()
        pauses.confirm(View.CONFIGURATION, pauses.count)
        self.assertEqual(pauses.unconfirmed(), {View.MEMBERSHIP})
        pauses.confirm(View.MEMBERSHIP, pauses.count)
        self.assertFalse(pauses.check())

    def test_a_check_that_was_itself_paused_confirms_nothing(self) -> None:
        """Guards against confirming a view with an answer sent before a second pause.

        An entry is paused twice, the second time while it asks its peers for the version in force.
        Accepting the answer would make a view that is twenty seconds old appear current.
        """
        clock = ManualClock()
        pauses = PauseDetector(clock, BOTH)
        clock.advance(10)
        pauses.check()
        count = pauses.count
        clock.advance(20)
        pauses.confirm(View.CONFIGURATION, count)
        self.assertEqual(pauses.unconfirmed(), BOTH)

    def test_a_quiet_process_that_ticks_was_not_paused(self) -> None:
        async def scenario() -> None:
            pauses = PauseDetector(LoopClock(), BOTH)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pauses.run)
                await anyio.sleep(60)
                self.assertFalse(pauses.check())
                tasks.cancel_scope.cancel()

        run(scenario)


class EchoTest(unittest.TestCase):
    """Which heartbeats confirm the configuration of an agent, which opens no links itself."""

    def test_heartbeats_that_waited_in_the_socket_confirm_nothing(self) -> None:
        """Guards against an agent paused for 20 s running a booking for an endpoint that left.

        Heartbeats sent during the pause waited in its socket and name its version in force, as if
        no newer one existed. Only a heartbeat that echoes the pause count from the agent's first
        reply after the pause was sent after it.
        """

        async def scenario() -> None:
            clock = ManualClock()
            exchange, knowledge = agent(clock)
            exchange.reply(ENTRY, heartbeat(1, echo=0))
            clock.advance(20)
            for sequence in range(2, 40):
                reply = exchange.reply(ENTRY, heartbeat(sequence, echo=0))
            self.assertTrue(knowledge.pauses.check())
            exchange.reply(ENTRY, heartbeat(40, echo=reply.pauses))
            self.assertFalse(knowledge.pauses.check())

        run(scenario)

    def test_peer_that_knows_less_confirms_nothing(self) -> None:
        """Guards against accepting a message of a peer that just started or is isolated too."""

        async def scenario() -> None:
            clock = ManualClock()
            exchange, knowledge = agent(clock)
            knowledge.sync._history.advance(Manifest.of(3, {}))
            clock.advance(20)
            reply = exchange.reply(ENTRY, heartbeat(1, echo=0))
            for version in (0, 2):
                exchange.reply(ENTRY, heartbeat(2, reply.pauses, version))
                self.assertTrue(knowledge.pauses.check())
            exchange.reply(ENTRY, heartbeat(3, reply.pauses, 3))
            self.assertFalse(knowledge.pauses.check())

        run(scenario)


def heartbeat(sequence: int, echo: int, version: int = 0) -> Heartbeat:
    return Heartbeat(sequence=sequence, version=version, digest="", echo=echo)


def agent(clock: ManualClock) -> tuple[Exchange, Knowledge]:
    identity = Identity(
        name="endpoint-1",
        role=ProcessRole.AGENT,
        incarnation=1,
        vm="vm-1",
        failure_domain="brest",
        region="bretagne",
        address="127.0.0.1:7001",
    )
    book, audit = AddressBook(Mock()), AuditTrail("endpoint-1", clock)
    knowledge = Knowledge.empty(identity, book, Mock(), clock, random.Random(1), audit)
    role = Mock(report=Mock(return_value=None))
    return Exchange(identity, knowledge, role, book, clock), knowledge
