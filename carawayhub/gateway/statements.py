"""Evaluates what replicas state about themselves in their answers.

A replica may state a rate limit, request a backoff or announce that it is leaving. Its statements
count only if the answer is its own: one from another lifetime at the same address, to another
request, or without the marks of a replica may come from anybody.
"""

from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta

from loguru import logger

from carawayhub.gateway.calls import (
    Admitted,
    AnswerHead,
    NamedLimit,
    RequestedBackoff,
    UnreadableValue,
)
from carawayhub.gateway.coldreplicas import ColdReplicas
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.view import FleetView
from carawayhub.limits.replicarate import ReplicaRates

MAX_UNREADABLE_LOGGED = 256
"""Endpoints whose unreadable backoff is logged; a faulty service must not fill the log."""


@dataclass(frozen=True, slots=True)
class StatementCounts:
    """Statements received so far, by service.

    Attributes:
        backoffs: Answers that requested a backoff.
        leavings: Replicas that announced that they are leaving.
        rejections: Requests rejected since all endpoints had requested a backoff.
    """

    backoffs: Counter[str] = field(default_factory=Counter)
    leavings: Counter[str] = field(default_factory=Counter)
    rejections: Counter[str] = field(default_factory=Counter)


class ReplicaStatements:
    """Evaluates the statements of replicas.

    Args:
        rates: Rate limits that replicas state.
        view: Known state of the fleet.
        cold: Cold replicas, None if they are not tracked.

    Attributes:
        counts: Statements received so far.
    """

    __slots__ = ("_cold", "_rates", "_unreadable", "_view", "counts")

    def __init__(
        self, rates: ReplicaRates, view: FleetView, cold: ColdReplicas | None = None
    ) -> None:
        self._cold = cold
        self._rates = rates
        self._view = view
        self._unreadable: set[str] = set()
        self.counts = StatementCounts()

    def evaluate(
        self,
        call: Admitted,
        pool: ServicePool,
        endpoint: Endpoint,
        head: AnswerHead,
        sent_at: float,
    ) -> None:
        """Evaluate the statements in an answer.

        Args:
            call: The request.
            pool: The pool of its service.
            endpoint: The endpoint that it was sent to.
            head: Head of the answer.
            sent_at: When the request was sent.
        """
        if not _is_own_answer(call, head):
            return
        self._record_limit(endpoint, head, sent_at)
        self._record_backoff(call, pool, endpoint, head)
        if self._cold is not None and head.cold_left is not None:
            self._cold.record_response(endpoint, head.cold_left, sent_at)
        if head.leaving:
            self._record_leaving(call, endpoint)

    def _record_limit(self, endpoint: Endpoint, head: AnswerHead, sent_at: float) -> None:
        match head.limit:
            case NamedLimit(per_second=per_second):
                self._rates.record_limit(endpoint.id, per_second, sent_at)
            case UnreadableValue(text=text):
                self._rates.record_unreadable(endpoint.id, text)
            case None:
                self._rates.record_limit(endpoint.id, None, sent_at)

    def _record_backoff(
        self, call: Admitted, pool: ServicePool, endpoint: Endpoint, head: AnswerHead
    ) -> None:
        match head.backoff:
            case RequestedBackoff(seconds=seconds):
                pool.record_backoff(endpoint.id, seconds)
                self.counts.backoffs[call.service] += 1
                logger.bind(
                    request=call.req.id.decode("latin-1"),
                    service=call.service,
                    endpoint=endpoint.id,
                    seconds=seconds,
                    until=(datetime.now(UTC) + timedelta(seconds=seconds)).isoformat(),
                ).info("replica requested a backoff")
            case UnreadableValue(text=text):
                self._log_unreadable(endpoint, text)

    def _log_unreadable(self, endpoint: Endpoint, text: str) -> None:
        if endpoint.id in self._unreadable or len(self._unreadable) >= MAX_UNREADABLE_LOGGED:
            return
        self._unreadable.add(endpoint.id)
        logger.bind(endpoint=endpoint.id, text=text).warning(
            "cannot parse the backoff in a replica's answer"
        )

    def _record_leaving(self, call: Admitted, endpoint: Endpoint) -> None:
        if not self._view.record_leaving(endpoint.id):
            return
        self.counts.leavings[call.service] += 1
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=call.service,
            endpoint=endpoint.id,
            registered=endpoint.state.value,
        ).info("replica announced that it is leaving")


def _is_own_answer(call: Admitted, head: AnswerHead) -> bool:
    """Return whether the endpoint that a request was sent to gave this answer to it."""
    if head.misdirected or head.request_id not in (b"", call.req.id):
        return False
    return head.sealed or head.not_run
