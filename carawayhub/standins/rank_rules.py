"""How a stand-in rank answers orders and enters steps: the engine's side of the agreement.

Pure functions over ``RankState``, so that the stand-in process and the exhaustive search run the
same rules.
"""

from dataclasses import dataclass, replace

from carawayhub.codes import Code
from carawayhub.groups.orders import (
    Abort,
    Arm,
    Change,
    Commit,
    Fetch,
    Form,
    Formation,
    Order,
    Prepare,
    RankState,
    Read,
    Withdraw,
)


@dataclass(frozen=True, slots=True)
class Answer:
    """The state after an order, and whether it was obeyed."""

    state: RankState
    code: Code


def obey(state: RankState, order: Order, *, checks_fencing: bool) -> Answer:
    """Return what a rank in ``state`` makes of ``order``.

    Staging orders only pass the fencing check here; the stand-in keeps the weights itself.
    """
    if checks_fencing:
        if order.term < state.promised:
            return Answer(state, Code.ORDER_FENCED)
        if order.term > state.promised:
            state = replace(state, promised=order.term)
    match order:
        case Read() | Prepare() | Fetch():
            return Answer(state, Code.OK)
        case Form(formation=formation, replaces=replaces):
            return _form(state, formation, replaces)
        case Arm(change=change):
            return _arm(state, change)
        case Withdraw(change=change):
            return _withdraw(state, change)
        case Abort(change=change):
            return _abort(state, change)
        case Commit(change=change):
            return _commit(state, change)


def enter_step(state: RankState) -> RankState | None:
    """Return the state of a rank that enters its next step, None where it waits for a verdict."""
    step = state.entered + 1
    armed = state.armed
    if armed is None or step < armed.step:
        return replace(state, entered=step)
    if not state.committed:
        return None
    switched = replace(state, entered=step, map=armed.target, armed=None, committed=False)
    return replace(switched, staging=None) if state.staging == armed.target else switched


def _form(state: RankState, formation: Formation, replaces: str) -> Answer:
    present = state.formation.id if state.formation is not None else ""
    if present == formation.id:
        return Answer(state, Code.OK)
    mine = formation.members[state.rank] if state.rank < len(formation.members) else None
    if present != replaces or mine != state.incarnation or not state.holds(formation.first_map):
        return Answer(state, Code.ORDER_REFUSED)
    return Answer(
        replace(
            state,
            formation=formation,
            map=formation.first_map,
            entered=0,
            barred=0,
            armed=None,
            committed=False,
            staging=None,
            missing=0,
        ),
        Code.OK,
    )


def _concerns(state: RankState, change: Change) -> bool:
    return state.formation is not None and state.formation.id == change.formation


def _arm(state: RankState, change: Change) -> Answer:
    if state.armed == change:
        return Answer(state, Code.OK)
    possible = (
        _concerns(state, change)
        and state.armed is None
        and state.map == change.base
        and state.holds(change.target)
        and change.step > max(state.entered, state.barred)
    )
    if not possible:
        return Answer(state, Code.ORDER_REFUSED)
    return Answer(replace(state, armed=change, committed=False), Code.OK)


def _withdraw(state: RankState, change: Change) -> Answer:
    if not _concerns(state, change) or state.armed == change:
        return Answer(state, Code.ORDER_REFUSED)
    return Answer(replace(state, barred=max(state.barred, change.step)), Code.OK)


def _abort(state: RankState, change: Change) -> Answer:
    if state.armed != change or state.committed:
        return _withdraw(state, change)
    barred = max(state.barred, change.step)
    return Answer(replace(state, armed=None, barred=barred), Code.OK)


def _commit(state: RankState, change: Change) -> Answer:
    if state.armed != change:
        return Answer(state, Code.ORDER_REFUSED)
    return Answer(replace(state, committed=True), Code.OK)
