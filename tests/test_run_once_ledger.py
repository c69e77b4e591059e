"""The ledger: one record per key, never removed early, merged with other agents' entries."""

import tracemalloc
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carawayhub.agent.begin import Ask, Refuse, Replay, Run, Wait
from carawayhub.agent.ledger import ENTRY_BYTES, Ledger, LedgerLimits
from carawayhub.agent.messages import (
    Answer,
    LedgerEntry,
    LookUp,
    Member,
    NotRun,
    OutcomeUnknown,
    RunId,
    RunKey,
    RunsElsewhere,
)
from carawayhub.clock import ManualClock
from carawayhub.codes import Code

ALPHA = Member("alpha", "10.0.0.1:7100")
BETA = Member("beta", "10.0.0.2:7100")
KEY = RunKey("service/booking", "cafe", "k1")
KEEP = 100.0
CUT = OutcomeUnknown(int(Code.ANSWER_CUT))


def ledger_of(clock, member=ALPHA, incarnation=1, **limits):
    return Ledger(clock, member, incarnation, LedgerLimits(**limits))


class Case(unittest.TestCase):
    """One ledger and a helper that starts a request."""

    def setUp(self):
        self.clock = ManualClock()
        self.ledger = ledger_of(self.clock)

    def begin(self, key=KEY, digest=b"d", rejection=None, ledger=None):
        chosen = self.ledger if ledger is None else ledger
        return chosen.begin(key, digest, self.clock.monotonic() + KEEP, rejection)


class LedgerTest(Case):
    """A single agent."""

    def test_a_retry_after_a_lost_reply_gets_the_first_answer(self):
        """The reply to a request is lost and the client retries with the same key.

        Without the record the request would run twice.
        """
        run = self.begin().run
        self.ledger.finish(KEY, run, Answer(201, (), b"bench 4"))
        self.assertEqual(self.begin(), Replay(Answer(201, (), b"bench 4"), KEEP))

    def test_a_duplicate_waits_and_is_woken_by_the_end_of_the_run(self):
        run = self.begin().run
        waiting = self.begin()
        self.assertIsInstance(waiting, Wait)
        self.assertFalse(waiting.done.is_set())
        self.ledger.finish(KEY, run, CUT)
        self.assertTrue(waiting.done.is_set())
        self.assertEqual(self.begin(), Refuse(Code.ANSWER_CUT))

    def test_a_try_that_sent_nothing_may_be_made_again_but_not_finished_twice(self):
        first = self.begin().run
        self.assertTrue(self.ledger.finish(KEY, first, NotRun(int(Code.CONNECT_FAILED))))
        second = self.begin().run
        self.assertNotEqual(first, second)
        self.assertFalse(self.ledger.finish(KEY, first, Answer(200)))
        self.assertIsInstance(self.begin(), Wait)

    def test_the_same_key_with_another_body_is_refused(self):
        self.begin()
        self.assertEqual(self.begin(digest=b"other"), Refuse(Code.RUN_BODY_DIFFERS))

    def test_a_full_ledger_refuses_and_forgets_nothing(self):
        """A burst of requests fills the ledger.

        If the oldest records were evicted to make room, a late retry of one of them would run a
        second time.
        """
        small = ledger_of(self.clock, entries=1)
        run = self.begin(ledger=small).run
        small.finish(KEY, run, Answer(201))
        refused = self.begin(RunKey("service/booking", "cafe", "k2"), ledger=small)
        self.assertEqual((refused.code, refused.retry_after), (Code.OVERLOADED, KEEP))
        self.assertIsInstance(self.begin(ledger=small), Replay)

    def test_the_memory_that_is_counted_covers_the_memory_that_is_used(self):
        """If entries were larger than counted, a burst would take the agent past its 64 MB."""
        roomy = ledger_of(self.clock, entries=10_000, total_bytes=2**30)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(2000):
            key = RunKey("service/booking", "cafe", f"6f1c2a9e-7b1d-4c55-9a0e-{number:012d}")
            run = self.begin(key, digest=number.to_bytes(32, "big"), ledger=roomy).run
            headers = ((b"location".decode(), f"/bookings/{number}"),)
            roomy.finish(key, run, Answer(201, headers, bytes(number % 500)))
        self.assertLess(tracemalloc.get_traced_memory()[0], roomy.used_bytes)

    def test_an_answer_beyond_the_bound_is_not_kept_and_the_request_not_run_again(self):
        run = self.begin().run
        self.ledger.finish(KEY, run, Answer(200, (), b"x" * (LedgerLimits().answer_bytes + 1)))
        self.assertEqual(self.begin().code, Code.RUN_ANSWER_NOT_KEPT)

    def test_a_run_that_outlives_its_key_is_not_forgotten(self):
        run = self.begin().run
        self.clock.advance(KEEP * 2)
        self.assertIsInstance(self.begin(), Wait)
        self.ledger.finish(KEY, run, Answer(200))

    def test_a_key_that_expired_between_check_and_begin_is_refused(self):
        """An agent is paused between checking a ticket and starting it; the record expires."""
        self.assertEqual(
            self.ledger.begin(KEY, b"d", self.clock.monotonic()), Refuse(Code.RUN_EXPIRED)
        )

    def test_a_gate_stops_new_requests_and_not_what_is_known(self):
        shut = Refuse(Code.RUN_QUARANTINE, 5.0)
        self.assertEqual(self.begin(rejection=shut), shut)
        run = self.begin().run
        self.ledger.finish(KEY, run, Answer(200))
        self.assertIsInstance(self.begin(rejection=shut), Replay)

    def test_a_ticket_is_never_exported(self):
        self.begin(RunKey("service/booking", "cafe", "nonce", ticket=True))
        self.assertEqual(self.ledger.export(lambda key: True), ())


class TwoLedgersTest(Case):
    """An agent that starts keys and one that takes them over."""

    def setUp(self):
        super().setUp()
        self.other = ledger_of(self.clock, BETA, incarnation=2)

    def hand_over(self):
        self.other.merge(self.ledger.export(lambda key: True))

    def test_a_run_that_goes_on_elsewhere_is_asked_for_and_not_repeated(self):
        """A key moves to another agent while its request still runs at the first one."""
        run = self.begin().run
        self.hand_over()
        asked = self.begin(ledger=self.other)
        self.assertIsInstance(asked, Ask)
        self.other.resolve(self.ledger.look_up(asked.look_up))
        self.assertIsInstance(self.begin(ledger=self.other), Ask)
        self.ledger.finish(KEY, run, Answer(201))
        self.other.resolve(self.ledger.look_up(asked.look_up))
        self.assertIsInstance(self.begin(ledger=self.other), Replay)

    def test_a_run_elsewhere_that_sent_nothing_frees_the_key(self):
        run = self.begin().run
        self.hand_over()
        asked = self.begin(ledger=self.other)
        self.ledger.finish(KEY, run, NotRun(int(Code.CONNECT_FAILED)))
        self.other.resolve(self.ledger.look_up(asked.look_up))
        self.assertIsInstance(self.begin(ledger=self.other), Run)

    def test_an_agent_that_restarted_cannot_free_a_key(self):
        """The agent that runs a request crashes and restarts without a record of it.

        Treating "no record" as "did not run" would run the request twice.
        """
        self.begin()
        self.hand_over()
        asked = self.begin(ledger=self.other)
        restarted = ledger_of(self.clock, ALPHA, incarnation=3)
        self.other.resolve(restarted.look_up(asked.look_up))
        self.assertEqual(self.begin(ledger=self.other), Refuse(Code.RUN_INCARNATION_GONE))

    def test_a_forgotten_answer_cannot_free_a_key(self):
        """The home asks for an outcome just after the answer expired at the agent that ran it."""
        run = self.begin().run
        self.hand_over()
        asked = self.begin(ledger=self.other)
        self.ledger.finish(KEY, run, Answer(201))
        self.clock.advance(KEEP)
        reply = self.ledger.look_up(asked.look_up)
        self.assertEqual((reply.not_run, reply.entry), (False, None))

    def test_a_late_message_about_an_older_try_does_not_hide_a_newer_one(self):
        """A key was attempted at alpha, which sent nothing, then moved and started at gamma.

        The message about gamma's attempt arrives before the one about alpha's. If the later
        message replaced it, alpha's "sent nothing" would free the key while gamma runs it.
        """
        older, newer = self.begin().run, RunId(Member("gamma", "10.0.0.3:7100"), 3, 1)
        for run in (newer, older):
            self.other.merge((LedgerEntry(KEY, b"d", KEEP, RunsElsewhere((run,))),))
        self.ledger.finish(KEY, older, NotRun(int(Code.CONNECT_FAILED)))
        self.other.resolve(self.ledger.look_up(LookUp(KEY, older)))
        self.assertEqual(self.begin(ledger=self.other), Ask(LookUp(KEY, newer)))

    def test_a_full_ledger_takes_facts_over_and_gives_up_only_the_answer(self):
        small = ledger_of(self.clock, BETA, 2, total_bytes=ENTRY_BYTES + 10)
        self.ledger.finish(KEY, self.begin().run, Answer(201, (), b"x" * 2000))
        small.merge(self.ledger.export(lambda key: True))
        self.assertEqual(self.begin(ledger=small).code, Code.RUN_ANSWER_NOT_KEPT)


KEYS = st.sampled_from([RunKey("service/booking", "cafe", name) for name in "abc"])
RESULTS = st.sampled_from(
    [Answer(201, (), b"x" * 40), Answer(200, (), b"y" * 400), CUT, NotRun(int(Code.CONNECT_FAILED))]
)


class LedgerMachine(RuleBasedStateMachine):
    """Any sequence of starts, results, handovers, lookups and delays at two agents.

    ``sent`` counts the attempts of a key that may have sent something since it first started. The
    two agents model a home that moves: only ``home`` starts keys, and the move is a handover.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        limits = {"entries": 3, "total_bytes": 3 * ENTRY_BYTES + 600, "answer_bytes": 300}
        self.ledgers = [
            ledger_of(self.clock, ALPHA, 1, **limits),
            ledger_of(self.clock, BETA, 2, **limits),
        ]
        self.home = 0
        self.running = {}
        self.sent = {}
        self.begun = {}

    @rule(key=KEYS)
    def begin(self, key):
        if key not in self.begun:
            self.begun[key] = self.clock.monotonic()
        if self.clock.monotonic() >= self.begun[key] + KEEP:
            return
        until = self.clock.monotonic() + KEEP
        verdict = self.ledgers[self.home].begin(key, b"d", until)
        if isinstance(verdict, Run):
            assert self.sent.get(key, 0) == 0, f"{key} runs twice"
            self.sent[key] = 1
            self.running[key] = (self.home, verdict.run)
        if isinstance(verdict, Ask) and key in self.running:
            reply = self.ledgers[self.running[key][0]].look_up(verdict.look_up)
            self.ledgers[self.home].resolve(reply)

    @rule(key=KEYS, result=RESULTS)
    def finish(self, key, result):
        if key not in self.running:
            return
        where, run = self.running.pop(key)
        assert self.ledgers[where].finish(key, run, result)
        if isinstance(result, NotRun):
            self.sent[key] = 0

    @rule()
    def move_home(self):
        entries = self.ledgers[self.home].export(lambda key: True)
        self.home = 1 - self.home
        self.ledgers[self.home].merge(entries)

    @rule(seconds=st.sampled_from([1.0, 30.0, 60.0]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def memory_is_bounded(self):
        for ledger in self.ledgers:
            assert 0 <= ledger.used_bytes <= 2 * (3 * ENTRY_BYTES + 600)
            assert ledger.conflicts == 0


LedgerMachineTest = LedgerMachine.TestCase
LedgerMachineTest.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None, database=None
)

if __name__ == "__main__":
    unittest.main()
