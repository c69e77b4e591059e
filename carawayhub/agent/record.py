"""What a ledger holds for one key, and how two agents' knowledge of it is joined."""

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
    """A try runs here."""

    run: RunId


@dataclass(slots=True, frozen=True)
class Idle:
    """Every try so far ended with nothing sent; the next one may run."""


IDLE = Idle()

State = Running | Idle | Answer | AnswerNotKept | OutcomeUnknown | RunsElsewhere


@dataclass(slots=True)
class Record:
    """One key.

    Attributes:
        body_digest: SHA-256 of method, path and body.
        deadline: Reading of the clock until which it is remembered.
        state: What became of the request.
        first: Number of the first try of this agent that this record could cover.
        unsent: Number of the last try of this agent that ended with nothing sent, 0 for none.
        done: Set when the running try ends; made only where somebody waits.
    """

    body_digest: bytes
    deadline: float
    state: State
    first: int
    unsent: int = 0
    done: anyio.Event | None = None

    def ended_unsent(self, number: int) -> bool:
        """Return whether try ``number`` of this agent is known to have sent nothing.

        A try from before this record is not known: an earlier record of the key may have held its
        answer until it expired.
        """
        return self.first <= number <= self.unsent


def answer_bytes(state: State) -> int:
    """Return the memory of the answer that ``state`` holds, rounded up."""
    if not isinstance(state, Answer):
        return 0
    headers = sum(HEADER_BYTES + len(name) + len(value) for name, value in state.headers)
    return ANSWER_BYTES + len(state.body) + headers


def join(mine: State, theirs: EntryState) -> State:
    """Return what is known of a key once another agent's knowledge is added.

    Nothing that says "may have run" is ever lost by it, in whatever order messages come: two tries
    elsewhere are both kept, since a late message may tell of the older one.
    """
    match mine, theirs:
        case (Running(), _):
            return mine
        case (Idle(), _):
            return theirs
        case (RunsElsewhere(runs=known), RunsElsewhere(runs=told)):
            return RunsElsewhere(tuple(sorted({*known, *told})))
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
    """Leave out tries of this very incarnation, none left: its own record knows how they ended."""
    if not isinstance(state, RunsElsewhere):
        return state
    runs = tuple(run for run in state.runs if run.incarnation != incarnation)
    return RunsElsewhere(runs) if runs else None
