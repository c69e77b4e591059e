"""How one change of the map ends: the rules that every decider follows, old or new.

Each rank has a vote on a change that it casts once: it agrees (armed), or its step is barred. The
verdict follows from the votes alone: commit if all have agreed, abort if one has barred. Whoever
reads the votes, in whatever order and however late, comes to the same verdict, so that two
deciders that know nothing of each other cannot do harm, with or without fencing checks.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from carawayhub.groups.orders import (
    Abort,
    Arm,
    Change,
    Commit,
    Order,
    RankState,
    Read,
    Term,
    Withdraw,
)


class Vote(IntEnum):
    """Where one rank stands towards one change."""

    UNREAD = 0
    OPEN = 1
    AGREED = 2
    COMMITTED = 3
    BARRED = 4


class Verdict(IntEnum):
    """How a change ends."""

    OPEN = 0
    COMMIT = 1
    ABORT = 2


def vote(change: Change, state: RankState) -> Vote:
    """Return where a rank in ``state`` stands towards ``change``.

    BARRED and COMMITTED are final. AGREED gives way only to COMMITTED, or to BARRED after another
    rank has barred the change.
    """
    if state.formation is None or state.formation.id != change.formation:
        return Vote.BARRED
    if state.armed == change:
        return Vote.COMMITTED if state.committed else Vote.AGREED
    if state.map is not None and state.map.number >= change.target.number:
        return Vote.COMMITTED if state.map == change.target else Vote.BARRED
    if change.step <= max(state.entered, state.barred):
        return Vote.BARRED
    return Vote.OPEN


def verdict(votes: Iterable[Vote]) -> Verdict:
    """Return how a change with these votes of all ranks ends.

    One committed rank is proof that all had agreed; one barred rank is proof that not all ever
    will. Votes read at different moments may be mixed, since they do not swing back.
    """
    cast = tuple(votes)
    if Vote.COMMITTED in cast or all(one is Vote.AGREED for one in cast):
        return Verdict.COMMIT
    if Vote.BARRED in cast:
        return Verdict.ABORT
    return Verdict.OPEN


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeProgress:
    """What one decider knows of one change; driven by one message at a time.

    Attributes:
        term: Fencing number of the decider.
        change: The change.
        votes: What it last read of each rank, by rank.
        withdrawing: Whether it no longer wants the change; all ranks may have agreed nonetheless.
    """

    term: Term
    change: Change
    votes: tuple[Vote, ...]
    withdrawing: bool = False

    @property
    def verdict(self) -> Verdict:
        """How the change ends, as far as the votes read so far tell."""
        return verdict(self.votes)

    def with_state(self, state: RankState) -> "ChangeProgress":
        """Return what is known after a rank has told its state."""
        cast = vote(self.change, state)
        votes = self.votes[: state.rank] + (cast,) + self.votes[state.rank + 1 :]
        return replace(self, votes=votes)

    def withdraw(self) -> "ChangeProgress":
        """Return the same with the change no longer wanted."""
        return replace(self, withdrawing=True)

    def order(self, rank: int) -> Order | None:
        """Return what ``rank`` has to be told next, None where it has nothing to be told."""
        cast = self.votes[rank]
        if cast is Vote.UNREAD:
            return Read(term=self.term)
        match self.verdict:
            case Verdict.COMMIT:
                return self._commit_order(cast)
            case Verdict.ABORT:
                return self._abort_order(cast)
            case Verdict.OPEN:
                return self._vote_order(cast)

    @property
    def settled(self) -> bool:
        """Whether the verdict has reached every rank."""
        final = {Verdict.COMMIT: Vote.COMMITTED, Verdict.ABORT: Vote.BARRED}.get(self.verdict)
        return all(cast is final for cast in self.votes)

    def _commit_order(self, cast: Vote) -> Order | None:
        if cast is Vote.COMMITTED:
            return None
        return Commit(term=self.term, change=self.change)

    def _abort_order(self, cast: Vote) -> Order | None:
        match cast:
            case Vote.AGREED:
                return Abort(term=self.term, change=self.change)
            case Vote.OPEN:
                # A late Arm may still come here and would hold the rank up at the step: bar it.
                return Withdraw(term=self.term, change=self.change)
            case _:
                return None

    def _vote_order(self, cast: Vote) -> Order | None:
        if cast is Vote.AGREED:
            # Another decider may be settling the change: read on, to learn of it.
            return Read(term=self.term)
        if self.withdrawing:
            return Withdraw(term=self.term, change=self.change)
        return Arm(term=self.term, change=self.change)


TakeOver = Callable[[Term, Mapping[int, RankState]], ChangeProgress | None]


def begin_change(term: Term, change: Change, ranks: int) -> ChangeProgress:
    """Return the handling of a change that no rank has been told of yet."""
    return ChangeProgress(term=term, change=change, votes=(Vote.OPEN,) * ranks)


def take_over(term: Term, states: Mapping[int, RankState]) -> ChangeProgress | None:
    """Return the handling of a change that another decider left behind, None where there is none.

    A change that some rank is armed for is settled: it is committed where all have agreed, and
    otherwise the ranks that have not agreed are asked to bar it. One that all ranks have committed
    to and not yet reached is settled already.
    """
    armed = {state.armed for state in states.values() if state.armed is not None}
    if not armed:
        return None
    change = min(armed, key=lambda one: (one.step, one.target))
    progress = begin_change(term, change, len(states)).withdraw()
    for state in states.values():
        progress = progress.with_state(state)
    return None if progress.settled else progress
