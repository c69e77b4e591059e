"""What ranks report and which orders they take."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

Placement = tuple[tuple[tuple[int, ...], ...], ...]
"""Experts held, by layer set and rank."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RankReport:
    """What a rank says of itself.

    Attributes:
        group: Name of its group.
        epoch: Formation of the group; a new one begins with the first map and without orders.
        rank: Its position.
        size: Ranks of the group.
        open: Whether the group takes work.
        step: Last pass that was begun.
        version: Version of the map in force.
        prepared: Version whose experts it has copied, 0 for none.
        armed: Version that it switches to, 0 for none.
        armed_step: Pass at which it does, 0 for none.
        held: Pass that the group does not begin, 0 for none.
        running: Requests that it runs.
        waiting: Requests that wait in it.
        born: When it started, by a clock of its own; 0 where it does not say.
    """

    group: str
    epoch: int
    rank: int
    size: int
    open: bool
    step: int
    version: int
    prepared: int
    armed: int
    armed_step: int
    held: int
    running: int
    waiting: int
    born: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RankCounts:
    """How often the requests of a rank chose each expert since it started.

    Attributes:
        epoch: Formation in which it was read.
        step: Last pass then.
        counts: By expert, one layer set after the other.
        present: Requests that run or wait in it.
        born: When it started, by a clock of its own; 0 where it does not say.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    present: int = 0
    born: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Growth:
    """How the counters of a rank grew since they were last looked at.

    Attributes:
        unit: Choices that one step of ``levels`` stands for.
        levels: Growth by expert, one layer set after the other, a byte each with few values:
            enough to tell the experts that matter, and a fraction of the counters on the link.
        present: Requests that run or wait in the rank.
    """

    unit: float
    levels: bytes
    present: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldExperts:
    """The experts of one rank, by layer set.

    Attributes:
        version: Version of the map in force.
        experts: Its experts.
    """

    version: int
    experts: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Prepare:
    """Copy the experts that a map adds to the rank.

    Attributes:
        version: Version of the map.
        placement: The map.
    """

    version: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class Arm:
    """Switch to a prepared map as a pass begins.

    Attributes:
        version: Version of the map.
        step: The pass.
    """

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Do not switch after all.

    Attributes:
        version: Version of the map.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Do not begin a pass until told to go.

    Attributes:
        step: The pass.
    """

    step: int


@dataclass(frozen=True, slots=True)
class Go:
    """Begin a pass that was held.

    Attributes:
        step: The pass.
    """

    step: int


RankOrder = Prepare | Arm | Disarm | Hold | Go


class OrderAnswer(Enum):
    """What came of an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class TakesOrders(Protocol):
    """A way by which orders reach a rank."""

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Give an order that holds only in a formation.

        An engine that checks fencing tokens refuses it after one with a higher ``fence``. An order
        without an answer may be carried out any time later.
        """


class ReadableRank(TakesOrders, Protocol):
    """A rank as a change of map needs it."""

    async def report(self) -> RankReport:
        """Return what the rank says of itself.

        Raises:
            GroupError: RANK_UNREACHABLE, RANK_MALFORMED.
        """

    async def held_experts(self) -> HeldExperts:
        """Return the experts of the rank now.

        Raises:
            GroupError: As above.
        """


class Rank(ReadableRank, Protocol):
    """A rank as the agent beside it reaches it."""

    async def counts(self) -> RankCounts:
        """Return how often each expert was chosen.

        Raises:
            GroupError: As above.
        """


def held_of(placement: Placement, rank: int) -> tuple[tuple[int, ...], ...]:
    """Return the experts that a rank holds under a map, by layer set."""
    return tuple(layer[rank] for layer in placement)


def first_placement(layers: int, experts: int, ranks: int) -> Placement:
    """Return the map of a new formation, which deals the experts out in turn."""
    row = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return tuple(row for _ in range(layers))


def is_whole(placement: Placement, experts: int, places: int) -> bool:
    """Return whether a map holds every expert somewhere and fits the places of each rank."""
    return all(
        _covers(layer, experts) and all(len(set(held)) == len(held) <= places for held in layer)
        for layer in placement
    )


def _covers(layer: Sequence[Sequence[int]], experts: int) -> bool:
    return {expert for held in layer for expert in held} == set(range(experts))
