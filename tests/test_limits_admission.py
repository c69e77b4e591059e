"""Tests of admission control at one entry: rates, deadlines and retry budgets."""

import random
import unittest

from benchmarks.fakes import MODEL_TARGET, fake_configuration
from carawayhub.clock import ManualClock
from carawayhub.codes import Code, Outcome
from carawayhub.config.model import Limits
from carawayhub.errors import RequestError
from carawayhub.limits.admission import Admission
from carawayhub.limits.query import AdmitQuery
from carawayhub.limits.retries import RetryBudget, RetryQuery, RetryVerdict


class AdmissionCase(unittest.TestCase):
    """A single entry, which therefore holds all of each limit."""

    LIMITS = Limits(rate=10.0, burst=5.0, concurrency=3)

    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.admission = Admission(self.clock, random.Random(1), "entry-000")
        self.admission.configure(fake_configuration(1, 1, {"org": self.LIMITS}))
        self.admission.tick()
        self.clock.advance(5.0)

    def query(self, **changes: object) -> AdmitQuery:
        """Return a query of the organisation."""
        return AdmitQuery(organisation="org", target=MODEL_TARGET, **changes)  # type: ignore[arg-type]

    def refusal(self, **changes: object) -> RequestError:
        """Return the error that rejects a query."""
        with self.assertRaises(RequestError) as caught:
            self.admission.admit(self.query(**changes))
        return caught.exception


class LimitsOfOneEntry(AdmissionCase):
    """Which requests are rejected, with which code and ``retry_after``."""

    def test_burst_then_rate(self) -> None:
        for _ in range(5):
            self.admission.release(self.admission.admit(self.query()))
        refusal = self.refusal()
        self.assertEqual(refusal.code, Code.RATE_EXCEEDED)
        self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
        self.clock.advance(0.1)
        self.admission.admit(self.query())
        self.assertEqual(self.refusal().code, Code.RATE_EXCEEDED)

    def test_concurrency_is_given_back_once(self) -> None:
        admitted = [self.admission.admit(self.query()) for _ in range(3)]
        self.assertEqual(self.refusal().code, Code.CONCURRENCY_EXCEEDED)
        self.admission.release(admitted[0])
        self.admission.release(admitted[0])
        self.admission.admit(self.query())
        self.assertEqual(self.refusal().code, Code.CONCURRENCY_EXCEEDED)

    def test_every_refusal_says_when_to_come_back_and_not_all_at_once(self) -> None:
        hints = {self.refusal(deadline=0.0).retry_after for _ in range(20)}
        self.assertGreater(len(hints), 10)
        self.assertTrue(all(hint is not None and 0.1 <= hint <= 0.15 for hint in hints), hints)

    def test_a_refused_request_spends_nothing(self) -> None:
        for _ in range(50):
            self.assertEqual(self.refusal(deadline=1.0).code, Code.DEADLINE_PASSED)
        for _ in range(3):
            self.admission.admit(self.query())


class Deadlines(AdmissionCase):
    """Deadlines that cannot be met under the current load."""

    LIMITS = Limits(rate=1000.0, burst=1000.0, concurrency=1000)

    def test_a_deadline_that_cannot_be_met_is_refused_at_once(self) -> None:
        self._answers_take(2.0)
        refusal = self.refusal(deadline=self.clock.monotonic() + 0.5)
        self.assertEqual(refusal.code, Code.DEADLINE_UNREACHABLE)
        self.admission.admit(self.query(deadline=self.clock.monotonic() + 5.0))

    def test_less_work_than_usual_fits_a_near_deadline(self) -> None:
        self._answers_take(0.1, streamed=1.0)
        deadline = self.clock.monotonic() + 0.5
        self.assertEqual(self.refusal(deadline=deadline, cost=1.0).code, Code.DEADLINE_UNREACHABLE)
        self.admission.admit(self.query(deadline=deadline, cost=0.2))

    def test_a_generous_bound_on_tokens_is_no_reason_to_refuse(self) -> None:
        """Guards against rejecting a caller that allows 64 times the usual tokens when idle.

        Few answers reach such a bound. If the expected duration were derived from it, every such
        request would be rejected, and no answer would ever show the real duration.
        """
        self._answers_take(0.1, streamed=1.0)
        self.admission.admit(self.query(deadline=self.clock.monotonic() + 5.0, cost=64.0))

    def test_refusing_by_an_old_estimate_ends(self) -> None:
        """Guards against rejecting all requests permanently after one slow minute.

        An incident raises the estimated wait. As every request is then rejected, no new measurement
        can lower the estimate.
        """
        self._answers_take(4.0)
        self.assertEqual(
            self.refusal(deadline=self.clock.monotonic() + 0.5).code, Code.DEADLINE_UNREACHABLE
        )
        self.clock.advance(6.0)
        self.admission.admit(self.query(deadline=self.clock.monotonic() + 0.5))

    def _answers_take(self, wait: float, streamed: float = 0.0) -> None:
        for _ in range(40):
            admitted = self.admission.admit(self.query())
            self.clock.advance(wait)
            self.admission.first_byte(admitted)
            self.clock.advance(streamed)
            self.admission.release(admitted)


class Retries(unittest.TestCase):
    """Which attempts may be retried, and how often."""

    def setUp(self) -> None:
        self.clock = ManualClock(1000.0)
        self.budget = RetryBudget(self.clock, random.Random(2))
        self.budget.configure(fake_configuration(1, 1, {"org": Limits(retry_share=0.1)}))

    def decide(self, **changes: object) -> RetryVerdict:
        """Return the verdict on an attempt that was not run."""
        fields: dict[str, object] = {
            "organisation": "org",
            "outcome": Outcome.NOT_RUN,
            "repeatable": False,
            "attempts": 1,
            "deadline": self.clock.monotonic() + 60.0,
        }
        return self.budget.decide(RetryQuery(**{**fields, **changes})).verdict  # type: ignore[arg-type]

    def test_only_what_was_not_run_or_may_repeat(self) -> None:
        self.assertEqual(self.decide(), RetryVerdict.ALLOWED)
        unknown = Outcome.UNKNOWN
        self.assertEqual(self.decide(outcome=unknown), RetryVerdict.MAY_NOT_REPEAT)
        self.assertEqual(self.decide(outcome=unknown, repeatable=True), RetryVerdict.ALLOWED)
        self.assertEqual(self.decide(answer_started=True), RetryVerdict.MAY_NOT_REPEAT)

    def test_never_past_the_deadline(self) -> None:
        passed = self.clock.monotonic()
        self.assertEqual(self.decide(deadline=passed), RetryVerdict.DEADLINE)

    def test_retries_stay_a_fraction_of_requests(self) -> None:
        """Guards against retry storms.

        Endpoints fail, every request is sent four times, and the load keeps the endpoints failing.
        """
        retries = 0
        for _ in range(1000):
            self.budget.record_request("org")
            attempts = 1
            while self.decide(attempts=attempts) is RetryVerdict.ALLOWED:
                retries += 1
                attempts += 1
        self.assertLessEqual(retries, 0.1 * 1000 + 3)
        self.assertGreaterEqual(retries, 0.1 * 1000)
        self.assertEqual(self.decide(), RetryVerdict.BUDGET)

    def test_backoff_is_jittered(self) -> None:
        query = RetryQuery(
            organisation="org",
            outcome=Outcome.NOT_RUN,
            repeatable=True,
            attempts=3,
            deadline=self.clock.monotonic() + 60.0,
        )
        times = set()
        for _ in range(20):
            for _ in range(10):
                self.budget.record_request("org")
            times.add(self.budget.decide(query).at)
        self.assertEqual(len(times), 20)


if __name__ == "__main__":
    unittest.main()
