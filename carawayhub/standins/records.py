"""What callers noted of their calls, for the observer and for measurements."""

from dataclasses import dataclass, field
from enum import Enum


class Result(Enum):
    """How an attempt ended, as its caller saw it.

    ``NOT_SENT`` means that no connection could be opened. ``NOT_RUN`` and ``UNKNOWN`` are what the
    system said, ``UNKNOWN`` also a reply that never came. ``CUT`` is an answer that broke off
    visibly. ``WRONG`` is an answer that is not the caller's own, or not whole though it looked so.
    """

    COMPLETED = "completed"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One request that was sent for a call.

    Attributes:
        entry: ``ip:port`` of the entry.
        request_id: Header ``x-request-id``.
        began: Clock reading in seconds when it was begun.
        ended: Clock reading when it had ended.
        result: How it ended.
        status: HTTP status, 0 without one.
        code: The system's numbered result, 0 without one.
        retry_after: Seconds that the system asked to wait.
        tokens: Tokens received.
        first_token_at: Clock reading at the first token.
        token_times: Clock reading at each token, where timing is wanted.
        detail: What was wrong.
    """

    entry: str
    request_id: str
    began: float
    ended: float = 0.0
    result: Result = Result.UNKNOWN
    status: int = 0
    code: int = 0
    retry_after: float = 0.0
    tokens: int = 0
    first_token_at: float = 0.0
    token_times: list[float] = field(default_factory=list)
    detail: str = ""


@dataclass(slots=True, kw_only=True)
class CallRecord:
    """One call with all its attempts.

    Attributes:
        caller: Name of the caller.
        kind: Name of the kind of call.
        content: Digest by which endpoints' journals know it.
        run_once: Whether it may run at most once.
        key: Idempotency key, empty without one.
        ticket: Ticket, empty without one.
        attempts: Attempts in order.
    """

    caller: str
    kind: str
    content: str
    run_once: bool
    key: str = ""
    ticket: str = ""
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def result(self) -> Result:
        """How the call ended: that of its last attempt."""
        return self.attempts[-1].result if self.attempts else Result.NOT_SENT

    @property
    def never_dispatched(self) -> bool:
        """Whether each attempt so far is known not to have run."""
        return all(each.result in (Result.NOT_SENT, Result.NOT_RUN) for each in self.attempts)
