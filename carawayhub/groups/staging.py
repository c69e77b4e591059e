"""Transfers the weights of a map to the ranks in the background, within the weight store's rate.

The rate is divided without shared state: each group of the configuration may use an equal share,
regardless of the others. An unused share is lost; in return no group can starve another. If the
store is slower than configured, groups back off when it refuses requests.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, Load, fetches
from carawayhub.groups.orders import Fetch, Prepare, RankState, Reply, Term
from carawayhub.groups.ranks import RankPort

BURST_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 30.0
POLL_SECONDS = 0.05


def fair_rate(store_rate: float, groups: int) -> float:
    """Return the share of one of ``groups`` groups, in bytes per second."""
    return store_rate / max(1, groups)


class StoreBudget:
    """A token bucket with backoff that limits the bytes one group fetches.

    Args:
        rate: Bytes per second.
        clock: Source of time.
        rng: Source of the jitter that spreads retries of different groups.
    """

    __slots__ = ("_backoff", "_clock", "_free_at", "_backoff_until", "_rate", "_rng")

    def __init__(self, rate: float, clock: Clock, rng: random.Random) -> None:
        self._rate = rate
        self._clock = clock
        self._rng = rng
        self._free_at = -math.inf
        self._backoff_until = -math.inf
        self._backoff = MIN_BACKOFF_SECONDS

    @property
    def rate(self) -> float:
        """Bytes per second."""
        return self._rate

    def reserve(self, size: int) -> float:
        """Reserve ``size`` bytes and return the timestamp from which they may be fetched."""
        now = self._clock.monotonic()
        begin = max(self._free_at, now - BURST_SECONDS)
        self._free_at = begin + size / self._rate
        return max(self._free_at, self._backoff_until, now)

    def back_off(self, retry_after: float) -> float:
        """Record a refusal by the store and return the timestamp before which nothing is fetched.

        Without exponential backoff and jitter, groups refused at the same time would retry at the
        same time and be refused again, indefinitely.
        """
        pause = max(retry_after, self._backoff) * self._rng.uniform(1.0, 1.5)
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
        self._backoff_until = max(self._backoff_until, self._clock.monotonic() + pause)
        return self._backoff_until

    def reset_backoff(self) -> None:
        """Reset the backoff after the store has accepted a request."""
        self._backoff = MIN_BACKOFF_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class Staging:
    """A map to transfer to the ranks.

    Attributes:
        term: Fencing number of the decider.
        old: Content of the map in force, None if the ranks hold no weights.
        new: The map to stage.
        expert_bytes: Size of one expert's weights of one layer.
        deadline: Timestamp at which staging is given up.
    """

    term: Term
    old: ExpertMap | None
    new: ExpertMap
    expert_bytes: int
    deadline: float


async def stage(
    ports: Sequence[RankPort], staging: Staging, budget: StoreBudget, clock: Clock
) -> None:
    """Transfer the weights of ``staging.new`` to all ranks while they keep stepping.

    Raises:
        GroupError: STAGING_FAILED after the deadline, CHANGE_OVERTAKEN if a rank has promised to
            obey another decider.
    """
    remaining = max(0.0, staging.deadline - clock.monotonic())
    try:
        with anyio.fail_after(remaining):
            await _stage_all(ports, staging, budget, clock)
    except TimeoutError:
        raise GroupError(Code.STAGING_FAILED, f"map {staging.new.id} not staged in time") from None


async def _stage_all(
    ports: Sequence[RankPort], staging: Staging, budget: StoreBudget, clock: Clock
) -> None:
    errors: list[GroupError] = []

    async def stage_one(port: RankPort) -> None:
        try:
            await _stage_rank(port, staging, budget, clock)
        except GroupError as exc:
            errors.append(exc)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for port in ports:
            tasks.start_soon(stage_one, port)
    if errors:
        raise errors[0]


async def _stage_rank(port: RankPort, staging: Staging, budget: StoreBudget, clock: Clock) -> None:
    loads = needed_loads(port.rank, staging.old, staging.new)
    state = await _prepare(port, staging)
    if state.holds(staging.new.id):
        return
    # A replaced rank holds no weights, even if the old map assigns it some.
    if state.missing > len(loads):
        loads = needed_loads(port.rank, None, staging.new)
    batch = max(1, int(budget.rate * BURST_SECONDS / staging.expert_bytes))
    for first in range(0, len(loads), batch):
        state = await _fetch(port, staging, loads[first : first + batch], budget, clock)
    while not state.holds(staging.new.id):
        await anyio.sleep(POLL_SECONDS)
        state = await _prepare(port, staging)


def needed_loads(rank: int, old: ExpertMap | None, new: ExpertMap) -> tuple[Load, ...]:
    """Return what ``rank`` must fetch for ``new``; all that it assigns if ``old`` is None."""
    if old is not None:
        return tuple(load for load in fetches(old, new) if load.rank == rank)
    loads: dict[tuple[int, int], Load] = {}
    for layer in range(len(new.layers)):
        for slot, expert in enumerate(new.held(rank, layer)):
            loads.setdefault((layer, expert), Load(rank, layer, slot, expert))
    return tuple(loads.values())


async def _prepare(port: RankPort, staging: Staging) -> RankState:
    while True:
        reply = await _send_order(port, Prepare(term=staging.term, map=staging.new))
        if reply is not None and reply.code is Code.OK:
            return reply.state
        await anyio.sleep(POLL_SECONDS)


async def _fetch(
    port: RankPort,
    staging: Staging,
    loads: tuple[Load, ...],
    budget: StoreBudget,
    clock: Clock,
) -> RankState:
    order = Fetch(term=staging.term, target=staging.new.id, loads=loads)
    size = len(loads) * staging.expert_bytes
    while True:
        await _sleep_until(budget.reserve(size), clock)
        reply = await _send_order(port, order)
        match reply:
            case Reply(code=Code.OK, state=state):
                budget.reset_backoff()
                return state
            case Reply(code=Code.STORE_BUSY, retry_after=retry_after):
                await _sleep_until(budget.back_off(retry_after), clock)
            case Reply(code=Code.ORDER_REFUSED):
                # The rank was replaced, or another decider prepared another map: prepare it again.
                await _prepare(port, staging)
                await anyio.sleep(POLL_SECONDS)
            case _:
                await anyio.sleep(POLL_SECONDS)


async def _send_order(port: RankPort, order: Prepare | Fetch) -> Reply | None:
    try:
        reply = await port.order(order)
    except GroupError:
        return None
    if reply.code is Code.ORDER_FENCED:
        raise GroupError(
            Code.CHANGE_OVERTAKEN, f"rank {port.rank} promised to obey {reply.state.promised}"
        )
    return reply


async def _sleep_until(timestamp: float, clock: Clock) -> None:
    await anyio.sleep(max(0.0, timestamp - clock.monotonic()))
