"""How the outcome of a map change is decided: the rules that every decider follows.

Each rank votes once on a change: it agrees to it (armed), or bars its step. The verdict depends on
the votes alone: commit if all ranks have agreed, abort if one has barred the step. Every decider
that reads the votes, in any order and at any time, reaches the same verdict, so two deciders that
are unaware of each other are safe, with or without fencing checks.
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
    """Vote of one rank on one change."""

    UNREAD = 0
    OPEN = 1
    AGREED = 2
    COMMITTED = 3
    BARRED = 4


class Verdict(IntEnum):
    """Outcome of a change."""

    OPEN = 0
    COMMIT = 1
    ABORT = 2


def vote(change: Change, state: RankState) -> Vote:
    """Return the vote on ``change`` of a rank in ``state``.

    BARRED and COMMITTED are final. AGREED changes only to COMMITTED, or to BARRED after another
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
    """Return the verdict on a change from the votes of all ranks.

    One committed rank proves that all have agreed; one barred rank proves that not all ever will.
    Votes read at different times may be combined, since a final vote never changes.
    """
    cast = tuple(votes)
    if Vote.COMMITTED in cast or all(one is Vote.AGREED for one in cast):
        return Verdict.COMMIT
    if Vote.BARRED in cast:
        return Verdict.ABORT
    return Verdict.OPEN


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeProgress:
    """What one decider knows about one change; updated by one reply at a time.

    Attributes:
        term: Fencing number of the decider.
        change: The change.
        votes: Last vote read from each rank, by rank.
        withdrawing: Whether the decider no longer wants the change; all ranks may still agree.
    """

    term: Term
    change: Change
    votes: tuple[Vote, ...]
    withdrawing: bool = False

    @property
    def verdict(self) -> Verdict:
        """Verdict on the change from the votes read so far."""
        return verdict(self.votes)

    def with_state(self, state: RankState) -> "ChangeProgress":
        """Return a copy updated with the reported state of a rank."""
        cast = vote(self.change, state)
        votes = self.votes[: state.rank] + (cast,) + self.votes[state.rank + 1 :]
        return replace(self, votes=votes)

    def withdraw(self) -> "ChangeProgress":
        """Return a copy that no longer wants the change."""
        return replace(self, withdrawing=True)

    def order(self, rank: int) -> Order | None:
        """Return the next order for ``rank``, or None if it needs none."""
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
                # A late Arm may still arrive and would block the rank at the step: bar it.
                return Withdraw(term=self.term, change=self.change)
            case _:
                return None

    def _vote_order(self, cast: Vote) -> Order | None:
        if cast is Vote.AGREED:
            # Another decider may settle the change: keep reading to detect that.
            return Read(term=self.term)
        if self.withdrawing:
            return Withdraw(term=self.term, change=self.change)
        return Arm(term=self.term, change=self.change)


TakeOver = Callable[[Term, Mapping[int, RankState]], ChangeProgress | None]


def begin_change(term: Term, change: Change, ranks: int) -> ChangeProgress:
    """Return the progress of a change that no rank has received yet."""
    return ChangeProgress(term=term, change=change, votes=(Vote.OPEN,) * ranks)


def take_over(term: Term, states: Mapping[int, RankState]) -> ChangeProgress | None:
    """Return the progress of a change left unfinished by another decider, or None.

    A change that some rank is armed for must be settled: it is committed if all ranks have agreed;
    otherwise the ranks that have not agreed are asked to bar it. A change that all ranks have
    committed to is settled, even if they have not reached its step.
    """
    armed = {state.armed for state in states.values() if state.armed is not None}
    if not armed:
        return None
    change = min(armed, key=lambda one: (one.step, one.target))
    progress = begin_change(term, change, len(states)).withdraw()
    for state in states.values():
        progress = progress.with_state(state)
    return None if progress.settled else progress
