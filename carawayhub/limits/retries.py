"""A budget for the retries that the system makes on an organisation's behalf."""

import random
from dataclasses import dataclass
from enum import Enum

from carawayhub.clock import Clock
from carawayhub.codes import Outcome
from carawayhub.config.model import Configuration
from carawayhub.limits.bucket import TokenBucket

BUDGET_DEPTH = 10.0
INITIAL_TOKENS = 3.0
INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
MAX_ATTEMPTS = 4


class RetryVerdict(Enum):
    """Whether an attempt may be repeated, and if not, why."""

    ALLOWED = "allowed"
    MAY_NOT_REPEAT = "may_not_repeat"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryQuery:
    """An attempt that failed.

    Attributes:
        organisation: Whose request it is.
        outcome: What is known of the attempt.
        repeatable: Whether the request may run more than once.
        attempts: Attempts made so far, 1 after the first.
        deadline: Reading of the clock after which the answer is of no use.
        answer_begun: Whether the caller has been sent a part of the answer.
    """

    organisation: str
    outcome: Outcome
    repeatable: bool
    attempts: int
    deadline: float
    answer_started: bool = False


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """What to do after an attempt that failed.

    Attributes:
        verdict: Whether it may be repeated.
        at: Reading of the clock at which to begin the next attempt; now where it may not.
    """

    verdict: RetryVerdict
    at: float

    @property
    def allowed(self) -> bool:
        """Whether it may be repeated."""
        return self.verdict is RetryVerdict.ALLOWED


class RetryBudget:
    """Keeps retries to a fraction of each organisation's requests.

    Guards against a retry storm: at the moment when endpoints fail or slow down, every failed
    request would be sent again, the load would rise with the failures and hold the system down
    after their cause is gone. Each request earns ``retry_share`` of a retry and each retry spends
    a whole one, so the work added is at most that fraction, plus ``FIRST_TOKENS`` once and
    ``DEPTH`` saved up.
    """

    __slots__ = ("_budgets", "_cfg", "_clock", "_rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._cfg: Configuration | None = None
        self._budgets: dict[str, TokenBucket] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force; budgets of organisations that stay are kept."""
        self._cfg = cfg
        self._budgets = {
            name: self._budgets.get(name) or self._new_budget() for name in cfg.organisations
        }

    def record_request(self, organisation: str) -> None:
        """Note a request, not an attempt, which earns its fraction of a retry."""
        budget = self._budgets.get(organisation)
        if budget is None or self._cfg is None:
            return
        share = self._cfg.organisations[organisation].limits.retry_share
        budget.add(share, self._clock.monotonic())

    def decide(self, query: RetryQuery) -> RetryDecision:
        """Say whether a failed attempt may be repeated and spend from the budget if so."""
        now = self._clock.monotonic()
        if query.answer_started or not (query.repeatable or query.outcome is Outcome.NOT_RUN):
            return RetryDecision(RetryVerdict.MAY_NOT_REPEAT, now)
        if query.attempts >= MAX_ATTEMPTS:
            return RetryDecision(RetryVerdict.ATTEMPTS, now)
        at = now + self._backoff(query.attempts)
        if at >= query.deadline:
            return RetryDecision(RetryVerdict.DEADLINE, now)
        budget = self._budgets.get(query.organisation)
        if budget is None or not budget.spend(1.0, now):
            return RetryDecision(RetryVerdict.BUDGET, now)
        return RetryDecision(RetryVerdict.ALLOWED, at)

    def _new_budget(self) -> TokenBucket:
        return TokenBucket(0.0, BUDGET_DEPTH, INITIAL_TOKENS, self._clock.monotonic())

    def _backoff(self, attempts: int) -> float:
        longest = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2.0 ** (attempts - 1))
        return self._rng.uniform(0.0, longest)
