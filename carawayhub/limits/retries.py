"""Budget for the retries that are made on behalf of an organisation."""

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
    """Whether an attempt may be retried, and if not, why."""

    ALLOWED = "allowed"
    MAY_NOT_REPEAT = "may_not_repeat"
    DEADLINE = "deadline"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryQuery:
    """A failed attempt.

    Attributes:
        organisation: Organisation that sent the request.
        outcome: Known outcome of the attempt.
        repeatable: Whether the request may run more than once.
        attempts: Attempts made so far, 1 after the first.
        deadline: Timestamp after which the answer is useless.
        answer_started: Whether part of the answer has been sent to the caller.
    """

    organisation: str
    outcome: Outcome
    repeatable: bool
    attempts: int
    deadline: float
    answer_started: bool = False


@dataclass(frozen=True, slots=True)
class RetryDecision:
    """What to do after a failed attempt.

    Attributes:
        verdict: Whether it may be retried.
        at: Timestamp at which to start the next attempt; the current time if it may not be retried.
    """

    verdict: RetryVerdict
    at: float

    @property
    def allowed(self) -> bool:
        """Whether the attempt may be retried."""
        return self.verdict is RetryVerdict.ALLOWED


class RetryBudget:
    """Limits retries to a fraction of each organisation's requests.

    Prevents retry storms: when endpoints fail or slow down, every failed request would be sent
    again, so the load would rise with the failures and keep the system overloaded after their cause
    is gone. Each request earns ``retry_share`` tokens and each retry spends one, so the added work
    is at most that fraction, plus ``INITIAL_TOKENS`` once and up to ``BUDGET_DEPTH`` saved tokens.
    """

    __slots__ = ("_budgets", "_cfg", "_clock", "_rng")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._cfg: Configuration | None = None
        self._budgets: dict[str, TokenBucket] = {}

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration; organisations that remain keep their budgets."""
        self._cfg = cfg
        self._budgets = {
            name: self._budgets.get(name) or self._new_budget() for name in cfg.organisations
        }

    def record_request(self, organisation: str) -> None:
        """Add the tokens that a request earns; call once per request, not per attempt."""
        budget = self._budgets.get(organisation)
        if budget is None or self._cfg is None:
            return
        share = self._cfg.organisations[organisation].limits.retry_share
        budget.add(share, self._clock.monotonic())

    def decide(self, query: RetryQuery) -> RetryDecision:
        """Decide whether a failed attempt may be retried, and if so spend a token."""
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
