"""Tickets: signed, for one incarnation, and refused from the moment they are forgotten."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhub.agent.begin import Refuse, Replay, Run
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import Answer, Member
from carawayhub.agent.tickets import Admitted, Epochs, TicketOffice
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.errors import RequestError

SCOPE = "service/booking"


class TicketsTest(unittest.TestCase):
    """An office, and one agent with a short ticket life."""

    def setUp(self):
        self.clock = ManualClock()
        self.office = TicketOffice("secret", random.Random(1).randbytes)
        self.epochs = Epochs(self.clock, "bench-1", 7, epoch_seconds=5.0, ticket_epochs=4)
        self.ledger = Ledger(self.clock, Member("bench-1", "10.0.0.1:7100"), 7)

    def ticket(self, incarnation=7, epoch=1, office=None):
        issued = (office or self.office).issue(SCOPE, "cafe", "bench-1", incarnation, epoch)
        return self.office.read(issued)

    def begin(self, ticket):
        admitted = self.epochs.admit(ticket)
        if isinstance(admitted, Refuse):
            return admitted
        return self.ledger.begin(ticket.run_key, b"d", admitted.keep_until)

    def test_a_ticket_runs_once_through_any_number_of_retries(self):
        ticket = self.ticket()
        run = self.begin(ticket)
        self.assertIsInstance(run, Run)
        self.ledger.finish(ticket.run_key, run.run, Answer(201))
        for _ in range(3):
            self.assertIsInstance(self.begin(ticket), Replay)

    def test_a_restarted_agent_does_not_run_the_ticket_of_the_one_before(self):
        """A booking runs, the agent crashes before it replies, and a new one starts there.

        The new one knows nothing; running the retry would put two people on one bench.
        """
        refused = self.epochs.admit(self.ticket(incarnation=6))
        self.assertEqual(refused, Refuse(Code.RUN_INCARNATION_GONE))

    def test_a_ticket_is_refused_from_the_reading_at_which_it_is_forgotten(self):
        """A tablet sleeps through the life of its ticket and sends the booking again on waking.

        Were the record forgotten a moment before the ticket is refused, it would run twice.
        """
        ticket = self.ticket()
        self.ledger.finish(ticket.run_key, self.begin(ticket).run, Answer(201))
        self.clock.advance(24.999)
        self.assertIsInstance(self.begin(ticket), Replay)
        self.clock.advance(0.001)
        self.assertEqual(self.begin(ticket), Refuse(Code.RUN_EXPIRED))
        self.assertEqual(self.ledger.export(lambda key: True), ())

    def test_a_ticket_that_expires_between_admission_and_begin_is_not_run(self):
        ticket = self.ticket()
        self.ledger.finish(ticket.run_key, self.begin(ticket).run, Answer(201))
        admitted = self.epochs.admit(ticket)
        self.assertIsInstance(admitted, Admitted)
        self.clock.advance(30.0)
        again = self.ledger.begin(ticket.run_key, b"d", admitted.keep_until)
        self.assertEqual(again, Refuse(Code.RUN_EXPIRED))

    def test_a_ticket_of_an_epoch_to_come_is_malformed(self):
        self.assertEqual(self.epochs.admit(self.ticket(epoch=2)).code, Code.TICKET_MALFORMED)

    def test_a_ticket_signed_with_another_key_is_malformed(self):
        with self.assertRaises(RequestError) as caught:
            self.ticket(office=TicketOffice("another"))
        self.assertEqual(caught.exception.code, Code.TICKET_MALFORMED)

    def test_a_request_that_was_long_on_its_way_is_refused(self):
        """An entry is paused for minutes with a booking in hand and wakes after its key expired."""
        self.assertIsNone(self.epochs.stamp_refusal(self.epochs.current))
        stamp = self.epochs.current
        self.clock.advance(self.epochs.late_arrival)
        self.assertEqual(self.epochs.stamp_refusal(stamp).code, Code.RUN_EXPIRED)

    @settings(derandomize=True, max_examples=300, database=None)
    @given(st.data())
    def test_no_changed_ticket_is_read(self, data):
        # A nonce of its own for each example would make the examples differ from run to run.
        office = TicketOffice("secret", random.Random(1).randbytes)
        text = office.issue(SCOPE, "cafe", "bench-1", 7, 1)
        place = data.draw(st.integers(0, len(text) - 2))
        other = data.draw(st.sampled_from("AZaz09-_").filter(lambda char: char != text[place]))
        with self.assertRaises(RequestError):
            self.office.read(text[:place] + other + text[place + 1 :])

    @settings(derandomize=True, max_examples=200, database=None)
    @given(st.text(max_size=80))
    def test_any_text_is_either_a_ticket_or_refused_by_code(self, text):
        with self.assertRaises(RequestError) as caught:
            self.office.read(text)
        self.assertEqual(caught.exception.code, Code.TICKET_MALFORMED)


if __name__ == "__main__":
    unittest.main()
