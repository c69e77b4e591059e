"""Reports of ranks and the orders they accept."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

Placement = tuple[tuple[tuple[int, ...], ...], ...]
"""Experts held, by layer set and rank."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RankReport:
    """State that a rank reports.

    Attributes:
        group: Name of its group.
        epoch: Formation of the group; a new one begins with the initial map and without orders.
        rank: Its position.
        size: Number of ranks of the group.
        open: Whether the group accepts requests.
        step: Last pass that began.
        version: Version of the map in force.
        prepared: Version whose experts are copied, 0 for none.
        armed: Version that the rank will switch to, 0 for none.
        armed_step: Pass at which it will switch, 0 for none.
        held: Pass that the group must not begin, 0 for none.
        running: Number of running requests.
        waiting: Number of queued requests.
        born: Start time by the rank's own clock, 0 if not reported.
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
        epoch: Formation at the time of the report.
        step: Last pass that began before the report.
        counts: Number of choices by expert, one layer set after the other.
        present: Number of running or queued requests.
        born: Start time by the rank's own clock, 0 if not reported.
        slowdown: Factor by which the rank is slower than usual, 1.0 for a rank at its usual speed.
    """

    epoch: int
    step: int
    counts: tuple[int, ...]
    present: int = 0
    born: int = 0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Growth:
    """Growth of a rank's counters since the previous poll.

    Attributes:
        unit: Number of choices per level.
        levels: Quantised growth by expert, one layer set after the other, a byte each. The few
            levels suffice to identify the popular experts and take a fraction of the bandwidth
            of the counters.
        present: Number of running or queued requests.
        slowdown: Factor by which the rank is slower than usual.
    """

    unit: float
    levels: bytes
    present: int
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldExperts:
    """The experts of one rank, by layer set.

    Attributes:
        version: Version of the map in force.
        experts: Experts of the rank under that map.
    """

    version: int
    experts: tuple[tuple[int, ...], ...]


@dataclass(frozen=True, slots=True)
class Prepare:
    """Order to copy the experts that a map adds to the rank.

    Attributes:
        version: Version of the map.
        placement: The map.
    """

    version: int
    placement: Placement


@dataclass(frozen=True, slots=True)
class Arm:
    """Order to switch to a prepared map when a pass begins.

    Attributes:
        version: Version of the map.
        step: The pass.
    """

    version: int
    step: int


@dataclass(frozen=True, slots=True)
class Disarm:
    """Order to cancel an armed switch.

    Attributes:
        version: Version of the map.
    """

    version: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Order not to begin a pass until a ``Go`` order.

    Attributes:
        step: The pass.
    """

    step: int


@dataclass(frozen=True, slots=True)
class Go:
    """Order to begin a pass that was held.

    Attributes:
        step: The pass.
    """

    step: int


RankOrder = Prepare | Arm | Disarm | Hold | Go


class OrderAnswer(Enum):
    """Result of an order; UNKNOWN if no answer was received."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderReceiver(Protocol):
    """Accepts orders for a rank."""

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Send an order that is valid only in one formation.

        An engine that checks fencing tokens refuses the order after one with a higher ``fence``. An
        order without an answer may still take effect later.
        """


class ReadableRank(OrderReceiver, Protocol):
    """A rank as used by a change of map."""

    async def report(self) -> RankReport:
        """Return the state of the rank.

        Raises:
            GroupError: RANK_UNREACHABLE, RANK_MALFORMED.
        """

    async def held_experts(self) -> HeldExperts:
        """Return the experts that the rank holds now.

        Raises:
            GroupError: As above.
        """


class Rank(ReadableRank, Protocol):
    """A rank as seen by the agent on its VM."""

    async def counts(self) -> RankCounts:
        """Return how often each expert was chosen.

        Raises:
            GroupError: As above.
        """


def experts_of_rank(placement: Placement, rank: int) -> tuple[tuple[int, ...], ...]:
    """Return the experts of a rank under a map, by layer set."""
    return tuple(layer[rank] for layer in placement)


def initial_placement(layers: int, experts: int, ranks: int) -> Placement:
    """Return the map of a new formation, with the experts distributed round-robin."""
    row = tuple(tuple(range(rank, experts, ranks)) for rank in range(ranks))
    return tuple(row for _ in range(layers))


def is_complete(placement: Placement, experts: int, places: int) -> bool:
    """Return whether a map places every expert and respects the capacity of each rank."""
    return all(
        _covers(layer, experts) and all(len(set(held)) == len(held) <= places for held in layer)
        for layer in placement
    )


def _covers(layer: Sequence[Sequence[int]], experts: int) -> bool:
    return {expert for held in layer for expert in held} == set(range(experts))
