"""A lock-step group in virtual time whose orders may be lost or take effect late."""

import random
from dataclasses import dataclass, field

import anyio

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.experts.model import (
    Arm,
    Disarm,
    Go,
    HeldExperts,
    Hold,
    OrderAnswer,
    Placement,
    Prepare,
    RankCounts,
    RankOrder,
    RankReport,
    experts_of_rank,
    initial_placement,
)

LATE_DELAY_RANGES = ((0.05, 0.6), (2.0, 12.0))
"""Ranges of the delay of late orders in seconds: within a change, or long after it."""


@dataclass(slots=True)
class RankState:
    """State of a rank."""

    version: int = 0
    highest: int = 0
    prepared: int = 0
    copied_at: float = 0.0
    armed: int = 0
    armed_step: int = 0
    held: int = 0
    born: int = 1
    maps: dict[int, Placement] = field(default_factory=dict)


class FakeGroup:
    """Ranks that execute each pass in lock-step.

    Args:
        ranks: Number of ranks.
        rng: Random numbers that select lost and late orders.
        late: Fraction of orders that take effect seconds later and get no answer.
        lost: Fraction of orders that never take effect and get no answer.
        answer_lost: Fraction of orders that take effect immediately and get no answer.
        silence: Timeout for reading a silent rank, in seconds.

    Attributes:
        mixed: Passes in which two ranks had different maps.
        stood: Seconds for which the group stalled at a held pass.
    """

    def __init__(
        self,
        ranks: int,
        rng: random.Random,
        *,
        late: float = 0.0,
        lost: float = 0.0,
        answer_lost: float = 0.0,
        silence: float = 0.2,
    ) -> None:
        self.rng = rng
        self.silence = silence
        self.late, self.lost, self.answer_lost = late, lost, answer_lost
        self.epoch = 1
        self.step = 10
        self.open = True
        self.idle = False
        self.silent: set[int] = set()
        self.states = [RankState() for _ in range(ranks)]
        self.mixed: list[tuple[int, tuple[int, ...]]] = []
        self.accepted: list[tuple[int, RankOrder]] = []
        self.stood = 0.0
        self.tasks: anyio.abc.TaskGroup | None = None

    def ranks(self) -> dict[int, "FakeRank"]:
        """Return clients of all ranks for one agent."""
        return {at: FakeRank(self, at) for at in range(len(self.states))}

    async def run(self, seconds_per_pass: float = 0.05) -> None:
        """Execute passes until cancelled."""
        while True:
            await anyio.sleep(seconds_per_pass)
            if not self.open or self.idle:
                continue
            if any(state.held == self.step + 1 for state in self.states):
                self.stood += seconds_per_pass
                continue
            self._begin_pass()

    def reform(self) -> None:
        """Restart all ranks in a new formation."""
        self.epoch += 1
        self.states = [RankState() for _ in self.states]

    def restart_rank(self, rank: int) -> None:
        """Restart a replica under the same id, which forms the group anew."""
        born = self.states[rank].born + 1
        self.reform()
        self.states[rank].born = born

    def _begin_pass(self) -> None:
        self.step += 1
        for state in self.states:
            if state.armed and state.armed_step == self.step:
                state.version, state.armed, state.armed_step = state.armed, 0, 0
                state.prepared = 0
        maps = {(each.version, each.maps.get(each.version)) for each in self.states}
        if len(maps) != 1:
            self.mixed.append((self.step, tuple(each.version for each in self.states)))

    def apply(self, rank: int, order: RankOrder, epoch: int, fence: int) -> bool:
        """Carry out an order; return whether it was accepted."""
        state = self.states[rank]
        if epoch != self.epoch or not self.open:
            return False
        accepted = self._accept(state, order)
        if accepted:
            self.accepted.append((rank, order))
        return accepted

    def _accept(self, state: RankState, order: RankOrder) -> bool:
        match order:
            case Prepare(version, placement):
                if version <= state.highest or state.armed:
                    return False
                state.highest = state.prepared = version
                state.copied_at = anyio.current_time() + self.rng.uniform(0.1, 0.5)
                state.maps[version] = placement
                return True
            case Arm(version, step):
                ready = state.prepared == version and state.copied_at <= anyio.current_time()
                if not ready or step <= self.step:
                    return False
                state.armed, state.armed_step = version, step
                return True
            case Disarm(version):
                if state.armed != version:
                    return False
                state.armed = state.armed_step = 0
                return True
            case Hold(step):
                if step <= self.step or state.held > self.step:
                    return False
                state.held = step
                return True
            case Go(step):
                if state.held != step:
                    return False
                state.held = 0
                return True

    async def order(self, rank: int, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Process an order that arrives over the network."""
        await anyio.sleep(self.rng.uniform(0.001, 0.01))
        drawn = self.rng.random()
        if rank in self.silent:
            await anyio.sleep(0.1)
            if self.rng.random() < 0.5:
                return OrderAnswer.UNKNOWN
            while rank in self.silent:
                await anyio.sleep(0.05)
            self.apply(rank, order, epoch, fence)
            return OrderAnswer.UNKNOWN
        if drawn < self.lost:
            await anyio.sleep(0.1)
            return OrderAnswer.UNKNOWN
        if drawn < self.lost + self.late:
            assert self.tasks is not None
            self.tasks.start_soon(self._apply_late, rank, order, epoch, fence)
            await anyio.sleep(0.1)
            return OrderAnswer.UNKNOWN
        accepted = self.apply(rank, order, epoch, fence)
        if drawn < self.lost + self.late + self.answer_lost:
            await anyio.sleep(0.1)
            return OrderAnswer.UNKNOWN
        return OrderAnswer.ACCEPTED if accepted else OrderAnswer.REFUSED

    async def _apply_late(self, rank: int, order: RankOrder, epoch: int, fence: int) -> None:
        await anyio.sleep(self.rng.uniform(*self.rng.choice(LATE_DELAY_RANGES)))
        self.apply(rank, order, epoch, fence)


class FakeRank:
    """One rank as seen by one agent; see ``carawayhub.experts.model.Rank``."""

    def __init__(self, group: FakeGroup, rank: int) -> None:
        self.group = group
        self.rank = rank

    async def report(self) -> RankReport:
        group, state = self.group, self.group.states[self.rank]
        await anyio.sleep(group.rng.uniform(0.001, 0.005))
        if self.rank in group.silent:
            await anyio.sleep(group.silence)
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self.rank}")
        state = group.states[self.rank]
        copied = state.copied_at <= anyio.current_time()
        return RankReport(
            group="g",
            epoch=group.epoch,
            rank=self.rank,
            size=len(group.states),
            open=group.open,
            step=group.step,
            version=state.version,
            prepared=state.prepared if copied else 0,
            armed=state.armed,
            armed_step=state.armed_step,
            held=state.held if state.held > group.step else 0,
            running=1,
            waiting=0,
            born=state.born,
        )

    async def counts(self) -> RankCounts:
        return RankCounts(epoch=self.group.epoch, step=self.group.step, counts=(), present=1)

    async def held_experts(self) -> HeldExperts:
        state = self.group.states[self.rank]
        start = initial_placement(1, len(self.group.states), len(self.group.states))
        placement = state.maps.get(state.version, start)
        return HeldExperts(version=state.version, experts=experts_of_rank(placement, self.rank))

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        return await self.group.order(self.rank, order, epoch, fence)
