"""In-memory records of the run-once requests of one agent incarnation.

The invariant: a key has at most one record, a key whose record says that the request may have run
is never attempted again, and no record is removed before it expires. A full ledger rejects new
requests; it never evicts records to make room.

Example:
    >>> from carawayhub.clock import ManualClock
    >>> ledger = Ledger(ManualClock(), Member("bench-1", "10.0.0.1:7100"), incarnation=7)
    >>> key = RunKey("service/booking", "cafe", "k1")
    >>> begun = ledger.begin(key, b"digest", keep_until=600.0)
    >>> ledger.finish(key, begun.run, Answer(201, (), b"bench 4"))
    True
    >>> ledger.begin(key, b"digest", keep_until=600.0)
    Replay(answer=Answer(status=201, headers=(), body=b'bench 4'), remaining=600.0)
"""

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import anyio

from carawayhub.agent.begin import Ask, Begin, Refuse, Replay, Run, Wait
from carawayhub.agent.messages import (
    Answer,
    AnswerNotKept,
    EntryState,
    LedgerEntry,
    LookUp,
    LookUpReply,
    Member,
    NotRun,
    OutcomeUnknown,
    RunId,
    RunKey,
    RunResult,
    RunsElsewhere,
)
from carawayhub.agent.record import (
    IDLE,
    Idle,
    Record,
    Running,
    State,
    answer_bytes,
    merge_states,
    without_own,
    without_run,
)
from carawayhub.clock import Clock
from carawayhub.codes import Code

ENTRY_BYTES = 600
"""Memory of one record without its answer, rounded up; see ``benchmarks.ledger``."""


@dataclass(slots=True, frozen=True, kw_only=True)
class LedgerLimits:
    """Size limits of a ledger.

    Attributes:
        entries: Maximum number of records.
        total_bytes: Maximum memory of records and answers.
        answer_bytes: Size of the largest answer that is stored.
    """

    entries: int = 20_000
    total_bytes: int = 16 * 1024 * 1024
    answer_bytes: int = 16 * 1024


class Ledger:
    """The run-once requests of one agent incarnation.

    Args:
        clock: The agent's clock.
        member: The agent's slot.
        incarnation: Random number that the agent drew when it started.
        limits: Size limits.
    """

    __slots__ = (
        "_bytes",
        "_clock",
        "_expiry",
        "_incarnation",
        "_limits",
        "_member",
        "_previous_run_number",
        "_records",
        "conflicts",
    )

    def __init__(
        self, clock: Clock, member: Member, incarnation: int, limits: LedgerLimits | None = None
    ) -> None:
        self._clock = clock
        self._member = member
        self._incarnation = incarnation
        self._limits = limits or LedgerLimits()
        self._records: dict[RunKey, Record] = {}
        self._expiry: list[tuple[float, RunKey]] = []
        self._bytes = 0
        self._previous_run_number = 0
        self.conflicts = 0

    @property
    def entries(self) -> int:
        """Number of keys with a record."""
        return len(self._records)

    @property
    def used_bytes(self) -> int:
        """Memory of records and answers, as counted against ``LedgerLimits.total_bytes``."""
        return self._bytes

    def begin(
        self, key: RunKey, body_digest: bytes, keep_until: float, rejection: Refuse | None = None
    ) -> Begin:
        """Decide what to do with a request.

        Args:
            key: The request.
            body_digest: SHA-256 of its method, path and body.
            keep_until: Timestamp until which its record must be kept.
            rejection: Why a request without a record may not start, or None if it may. It must have
                been determined in the same task step, with no ``await`` in between.
        """
        self._expire()
        record = self._records.get(key)
        if record is None:
            return self._begin_new(key, body_digest, keep_until, rejection)
        if record.body_digest != body_digest:
            return Refuse(Code.RUN_BODY_DIFFERS)
        return self._begin_known(key, record, rejection)

    def finish(self, key: RunKey, run: RunId, result: RunResult) -> bool:
        """Record the outcome of an attempt and wake the tasks that wait for it.

        Returns:
            Whether ``run`` was the running attempt of ``key``.
        """
        record = self._records.get(key)
        if record is None or record.state != Running(run):
            return False
        if isinstance(result, NotRun):
            record.unsent = run.number
            self._set_state(record, IDLE)
        else:
            self._set_state(record, self._limit_answer_size(result))
        if record.done is not None:
            record.done.set()
            record.done = None
        return True

    def look_up(self, question: LookUp) -> LookUpReply:
        """Answer another agent that asks for the outcome of an attempt of this agent."""
        self._expire()
        record = self._records.get(question.key)
        if record is None or question.run.incarnation != self._incarnation:
            return LookUpReply(question.key, question.run)
        not_run = record.ended_unsent(question.run.number)
        entry = self._entry(question.key, record)
        return LookUpReply(question.key, question.run, not_run=not_run, entry=entry)

    def resolve(self, reply: LookUpReply) -> None:
        """Apply the reply of the agent that made an attempt.

        An attempt of which its agent has no record any more, or whose agent has ended, may have
        run: its outcome stays unknown permanently.
        """
        record = self._records.get(reply.key)
        if record is None or not isinstance(record.state, RunsElsewhere):
            return
        if reply.run not in record.state.runs:
            return
        if reply.entry is None and not reply.not_run:
            self._set_state(record, OutcomeUnknown(int(Code.RUN_INCARNATION_GONE)))
            return
        if reply.not_run:
            self._set_state(record, without_run(record.state, reply.run))
        if reply.entry is not None:
            self.merge((reply.entry,))

    def export(self, wanted: Callable[[RunKey], bool]) -> tuple[LedgerEntry, ...]:
        """Return the entries of idempotency keys that match ``wanted``, for another agent.

        Tickets are excluded: no other incarnation may run them.
        """
        self._expire()
        return tuple(self._matching_entries(wanted))

    def merge(self, entries: tuple[LedgerEntry, ...]) -> None:
        """Merge the entries of another agent.

        Entries are added even when the ledger is full: dropping one could let a key run twice. Only
        the body of an answer is dropped then.
        """
        for entry in entries:
            self._merge_entry(entry)

    def running(self) -> int:
        """Return the number of requests that run here now."""
        return sum(isinstance(record.state, Running) for record in self._records.values())

    def _begin_new(
        self, key: RunKey, body_digest: bytes, keep_until: float, rejection: Refuse | None
    ) -> Begin:
        if rejection is not None:
            return rejection
        if keep_until <= self._clock.monotonic():
            # Its record may just have expired, so this run could be the second one.
            return Refuse(Code.RUN_EXPIRED)
        if self._full():
            return Refuse(Code.OVERLOADED, self._seconds_to_next_expiry(), "the ledger is full")
        record = self._add(key, body_digest, keep_until, IDLE)
        return self._start(record)

    def _begin_known(self, key: RunKey, record: Record, rejection: Refuse | None) -> Begin:
        match record.state:
            case Running():
                record.done = record.done or anyio.Event()
                return Wait(record.done)
            case Idle():
                return rejection if rejection is not None else self._start(record)
            case Answer() as answer:
                return Replay(answer, self._remaining(record))
            case AnswerNotKept(status=status):
                return Refuse(
                    Code.RUN_ANSWER_NOT_KEPT, detail=f"the answer's HTTP status was {status}"
                )
            case OutcomeUnknown(code=code):
                return Refuse(Code(code))
            case RunsElsewhere(runs=runs):
                return Ask(LookUp(key, runs[0]))

    def _start(self, record: Record) -> Run:
        run = self._next_run()
        record.state = Running(run)
        return Run(run)

    def _next_run(self) -> RunId:
        self._previous_run_number += 1
        return RunId(self._member, self._incarnation, self._previous_run_number)

    def _add(self, key: RunKey, body_digest: bytes, deadline: float, state: State) -> Record:
        record = Record(body_digest, deadline, state, first=self._previous_run_number + 1)
        self._records[key] = record
        self._bytes += ENTRY_BYTES + answer_bytes(state)
        heapq.heappush(self._expiry, (record.deadline, key))
        return record

    def _set_state(self, record: Record, state: State) -> None:
        self._bytes += answer_bytes(state) - answer_bytes(record.state)
        record.state = state

    def _limit_answer_size(self, state: EntryState) -> EntryState:
        if not isinstance(state, Answer):
            return state
        size = answer_bytes(state)
        fits = self._bytes + size <= self._limits.total_bytes
        return state if fits and size <= self._limits.answer_bytes else AnswerNotKept(state.status)

    def _full(self) -> bool:
        if len(self._records) >= self._limits.entries:
            return True
        return self._bytes + ENTRY_BYTES > self._limits.total_bytes

    def _seconds_to_next_expiry(self) -> float:
        if not self._expiry:
            return 1.0
        return max(1.0, self._expiry[0][0] - self._clock.monotonic())

    def _expire(self) -> None:
        now = self._clock.monotonic()
        while self._expiry and self._expiry[0][0] <= now:
            _, key = heapq.heappop(self._expiry)
            record = self._records.get(key)
            if record is None:
                continue
            if record.deadline > now:
                heapq.heappush(self._expiry, (record.deadline, key))
                continue
            if isinstance(record.state, Running):
                # The run outlasts its key; without the record the key could run a second time.
                record.deadline = now + 1.0
                heapq.heappush(self._expiry, (record.deadline, key))
                continue
            del self._records[key]
            self._bytes -= ENTRY_BYTES + answer_bytes(record.state)

    def _remaining(self, record: Record) -> float:
        return max(0.0, record.deadline - self._clock.monotonic())

    def _matching_entries(self, wanted: Callable[[RunKey], bool]) -> Iterator[LedgerEntry]:
        for key, record in self._records.items():
            if key.ticket or not wanted(key):
                continue
            entry = self._entry(key, record)
            if entry is not None:
                yield entry

    def _entry(self, key: RunKey, record: Record) -> LedgerEntry | None:
        match record.state:
            case Idle():
                return None
            case Running(run=run):
                state: EntryState = RunsElsewhere((run,))
            case _ as known:
                state = known
        return LedgerEntry(key, record.body_digest, self._remaining(record), state)

    def _merge_entry(self, entry: LedgerEntry) -> None:
        state = without_own(entry.state, self._incarnation)
        if state is None:
            return
        deadline = self._clock.monotonic() + entry.remaining
        record = self._records.get(entry.key)
        if record is None:
            self._add(entry.key, entry.body_digest, deadline, self._limit_answer_size(state))
            return
        if isinstance(record.state, Running) and not isinstance(state, RunsElsewhere):
            self.conflicts += 1
        record.deadline = max(record.deadline, deadline)
        merged = merge_states(record.state, state)
        if merged is state:
            merged = self._limit_answer_size(state)
        self._set_state(record, merged)
