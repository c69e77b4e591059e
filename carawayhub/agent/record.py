"""The record of one key in a ledger, and the merging of two agents' states of it."""

from dataclasses import dataclass

import anyio

from carawayhub.agent.messages import (
    Answer,
    AnswerNotKept,
    EntryState,
    OutcomeUnknown,
    RunId,
    RunsElsewhere,
)

ANSWER_BYTES = 150
HEADER_BYTES = 180


@dataclass(slots=True, frozen=True)
class Running:
    """An attempt runs here."""

    run: RunId


@dataclass(slots=True, frozen=True)
class Idle:
    """Every attempt so far ended with nothing sent; the next one may run."""


IDLE = Idle()

State = Running | Idle | Answer | AnswerNotKept | OutcomeUnknown | RunsElsewhere


@dataclass(slots=True)
class Record:
    """The record of one key.

    Attributes:
        body_digest: SHA-256 of method, path and body.
        deadline: Timestamp until which the record is kept.
        state: State of the request.
        first: Number of the first attempt of this agent that this record could cover.
        unsent: Number of the last attempt of this agent that ended with nothing sent, 0 for none.
        done: Set when the running attempt ends; created only if a task waits for it.
    """

    body_digest: bytes
    deadline: float
    state: State
    first: int
    unsent: int = 0
    done: anyio.Event | None = None

    def ended_unsent(self, number: int) -> bool:
        """Return whether attempt ``number`` of this agent is known to have sent nothing.

        An attempt from before this record is unknown: an earlier record of the key may have held
        its answer until it expired.
        """
        return self.first <= number <= self.unsent


def answer_bytes(state: State) -> int:
    """Return the memory of the answer that ``state`` holds, rounded up."""
    if not isinstance(state, Answer):
        return 0
    headers = sum(HEADER_BYTES + len(name) + len(value) for name, value in state.headers)
    return ANSWER_BYTES + len(state.body) + headers


def merge_states(mine: State, theirs: EntryState) -> State:
    """Return the state of a key after merging the state reported by another agent.

    A state that means "may have run" is never lost, in whatever order messages arrive: two attempts
    elsewhere are both kept, since a late message may report the older one.
    """
    match mine, theirs:
        case (Running(), _):
            return mine
        case (Idle(), _):
            return theirs
        case (RunsElsewhere(runs=known), RunsElsewhere(runs=reported)):
            return RunsElsewhere(tuple(sorted({*known, *reported})))
        case (RunsElsewhere(), _):
            return theirs
        case (OutcomeUnknown() | AnswerNotKept(), Answer()):
            return theirs
    return mine


def without_run(state: RunsElsewhere, run: RunId) -> State:
    """Return ``state`` once ``run`` is known to have sent nothing."""
    rest = tuple(known for known in state.runs if known != run)
    return RunsElsewhere(rest) if rest else IDLE


def without_own(state: EntryState, incarnation: int) -> EntryState | None:
    """Remove attempts of this incarnation, whose outcome is in its own record.

    Returns:
        The remaining state, or None if no attempt is left.
    """
    if not isinstance(state, RunsElsewhere):
        return state
    runs = tuple(run for run in state.runs if run.incarnation != incarnation)
    return RunsElsewhere(runs) if runs else None
