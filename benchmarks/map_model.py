"""What the search over the change of a map works on: its setups, its states and its result."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from carawayhub.groups.change import ChangeProgress, TakeOver, Vote, take_over
from carawayhub.groups.maps import MapId
from carawayhub.groups.orders import Change, Order, RankState, Term
from carawayhub.standins.rank_rules import Answer, obey

OLD = MapId(1, "old")
CHANGES = (
    Change(formation="f", base=OLD, target=MapId(2, "first"), step=1),
    Change(formation="f", base=OLD, target=MapId(2, "second"), step=1),
    Change(formation="f", base=OLD, target=MapId(2, "second"), step=2),
)
FIRST_CHANGE, NO_CHANGE = 0, -1
FIRST_TERM, SECOND_TERM = Term(1, 1), Term(2, 2)

Obey = Callable[[RankState, Order], Answer]


def obey_checked(state: RankState, order: Order) -> Answer:
    """Rules of a rank whose engine checks fencing numbers."""
    return obey(state, order, checks_fencing=True)


def obey_unchecked(state: RankState, order: Order) -> Answer:
    """Rules of a rank whose engine ignores fencing numbers."""
    return obey(state, order, checks_fencing=False)


@dataclass(frozen=True, slots=True, kw_only=True)
class Setup:
    """What is searched.

    Attributes:
        ranks: Ranks of the group.
        obey: Rules of a rank.
        handling: How a decider handles a change.
        take_over: What a decider that has read all ranks makes of a change it finds.
        proposes: Whether the second decider makes a change of its own where it finds none.
        last_step: Step after which the ranks stop; the first decider's change is for step 1.
        stops_at_fault: End at the first state with two maps; ``stuck`` then means nothing.
    """

    ranks: int
    obey: Obey
    handling: type[ChangeProgress] = ChangeProgress
    take_over: TakeOver = take_over
    proposes: bool = True
    last_step: int = 2
    stops_at_fault: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Found:
    """Result of a search.

    Attributes:
        states: Distinct states reached; those that differ only in the ranks' order count once.
        edges: Transitions between them.
        two_maps: States in which a step was entered under two maps.
        stuck: States without a path to one map and nothing armed.
        committed: States at rest under a new map.
        aborted: States at rest under the old map.
        seconds: Processor time.
    """

    states: int
    edges: int
    two_maps: int
    stuck: int
    committed: int
    aborted: int
    seconds: float


class Column(NamedTuple):
    """One rank and what concerns it; states and orders by their number in a ``Pool``.

    Attributes:
        state: The rank.
        sent: Bit set of the orders on their way to it; none ever goes away.
        first: Its vote as the first decider last read it.
        second: Its vote as the second decider last read it.
        read: Its state as the second decider read it, -1 where it has not.
    """

    state: int
    sent: int
    first: Vote
    second: Vote
    read: int


class Node(NamedTuple):
    """One state of the whole group.

    Attributes:
        columns: The ranks, in a canonical order.
        first_withdraws: Whether the first decider has given its change up.
        change: What the second decider handles, an index of ``CHANGES``.
        second_withdraws: Whether the second decider has given it up.
        reading: Whether the second decider reads all ranks.
        proposed: Whether the second decider has made its own change already.
    """

    columns: tuple[Column, ...]
    first_withdraws: bool = False
    change: int = NO_CHANGE
    second_withdraws: bool = False
    reading: bool = False
    proposed: bool = False
