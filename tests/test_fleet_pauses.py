"""How a process notices that it was paused."""

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
    """The first check after a pause must tell, whichever code comes first."""

    def test_the_first_check_after_a_pause_tells(self) -> None:
        """A request goes to an endpoint that left ten seconds ago.

        The VM of an entry is suspended between the choice of an endpoint and the dispatch, and
        wakes up believing what it knew. No timer has run yet when the dispatch comes.
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
        """An entry is stopped twice, the second time while it asks its peers what is in force.

        The answer was given before the second stop. Taken as a confirmation it would make what is
        twenty seconds old look fresh.
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
        async def story() -> None:
            pauses = PauseDetector(LoopClock(), BOTH)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pauses.run)
                await anyio.sleep(60)
                self.assertFalse(pauses.check())
                tasks.cancel_scope.cancel()

        run(story)


class EchoTest(unittest.TestCase):
    """What an agent, which opens no links, takes for a sign that its configuration is current."""

    def test_heartbeats_that_waited_in_the_socket_confirm_nothing(self) -> None:
        """An agent that was stopped for 20 s runs a booking for an endpoint that has left.

        Heartbeats sent during the stop waited in its socket. They name the version that it has in
        force, as if nothing newer existed. Only one that repeats the count of pauses, which the
        agent's reply after the stop tells, was sent after it.
        """

        async def story() -> None:
            clock = ManualClock()
            exchange, knowledge = agent(clock)
            exchange.reply(ENTRY, heartbeat(1, echo=0))
            clock.advance(20)
            for sequence in range(2, 40):
                reply = exchange.reply(ENTRY, heartbeat(sequence, echo=0))
            self.assertTrue(knowledge.pauses.check())
            exchange.reply(ENTRY, heartbeat(40, echo=reply.pauses))
            self.assertFalse(knowledge.pauses.check())

        run(story)

    def test_peer_that_knows_less_confirms_nothing(self) -> None:
        """Guards against the word of a peer that has just started, or is cut off as well."""

        async def story() -> None:
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

        run(story)


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
