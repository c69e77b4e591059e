"""Bringing a map's weights to the ranks in the background, within the weight store's rate.

The store's rate is shared without shared state: each group of the configuration may use an equal
part of it, whatever the others do. A part that is not used is lost; in return no group can starve
another, and a store that turns out slower than said is met by backing off when it refuses.
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
    """Return the bytes a second that one of ``groups`` groups may fetch."""
    return store_rate / max(1, groups)


class StoreBudget:
    """A token bucket over the bytes that one group fetches, with backoff.

    Args:
        rate: Bytes a second.
        clock: Source of time.
        rng: Spreads the retries of groups that were refused together.
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
        """Bytes a second."""
        return self._rate

    def reserve(self, size: int) -> float:
        """Take ``size`` bytes and return the clock reading from which they may be fetched."""
        now = self._clock.monotonic()
        begin = max(self._free_at, now - BURST_SECONDS)
        self._free_at = begin + size / self._rate
        return max(self._free_at, self._backoff_until, now)

    def back_off(self, retry_after: float) -> float:
        """Return the clock reading before which nothing is fetched after the store refused.

        Without the growing pause and its jitter, groups refused together would come back together
        and be refused for ever.
        """
        pause = max(retry_after, self._backoff) * self._rng.uniform(1.0, 1.5)
        self._backoff = min(MAX_BACKOFF_SECONDS, 2 * self._backoff)
        self._backoff_until = max(self._backoff_until, self._clock.monotonic() + pause)
        return self._backoff_until

    def reset_backoff(self) -> None:
        """Take note that the store delivers."""
        self._backoff = MIN_BACKOFF_SECONDS


@dataclass(frozen=True, slots=True, kw_only=True)
class Staging:
    """One map to bring to the ranks.

    Attributes:
        term: Fencing number of the decider.
        old: Content of the map in force, None where the ranks hold nothing.
        new: The map to stage.
        expert_bytes: Size of one expert's weights of one layer.
        deadline: Clock reading at which staging is given up.
    """

    term: Term
    old: ExpertMap | None
    new: ExpertMap
    expert_bytes: int
    deadline: float


async def stage(
    ports: Sequence[RankPort], staging: Staging, budget: StoreBudget, clock: Clock
) -> None:
    """Bring the weights of ``staging.new`` to all ranks; the ranks step on meanwhile.

    Raises:
        GroupError: STAGING_FAILED after the deadline, CHANGE_OVERTAKEN where a rank has promised
            to obey another decider.
    """
    left = max(0.0, staging.deadline - clock.monotonic())
    try:
        with anyio.fail_after(left):
            await _stage_all(ports, staging, budget, clock)
    except TimeoutError:
        raise GroupError(Code.STAGING_FAILED, f"map {staging.new.id} not staged in time") from None


async def _stage_all(
    ports: Sequence[RankPort], staging: Staging, budget: StoreBudget, clock: Clock
) -> None:
    refusals: list[GroupError] = []

    async def one(port: RankPort) -> None:
        try:
            await _stage_rank(port, staging, budget, clock)
        except GroupError as exc:
            refusals.append(exc)
            tasks.cancel_scope.cancel()

    async with anyio.create_task_group() as tasks:
        for port in ports:
            tasks.start_soon(one, port)
    if refusals:
        raise refusals[0]


async def _stage_rank(port: RankPort, staging: Staging, budget: StoreBudget, clock: Clock) -> None:
    loads = needed_loads(port.rank, staging.old, staging.new)
    state = await _prepare(port, staging)
    if state.holds(staging.new.id):
        return
    # A rank that was replaced holds nothing, whatever the old map says.
    if state.missing > len(loads):
        loads = needed_loads(port.rank, None, staging.new)
    batch = max(1, int(budget.rate * BURST_SECONDS / staging.expert_bytes))
    for first in range(0, len(loads), batch):
        state = await _fetch(port, staging, loads[first : first + batch], budget, clock)
    while not state.holds(staging.new.id):
        await anyio.sleep(POLL_SECONDS)
        state = await _prepare(port, staging)


def needed_loads(rank: int, old: ExpertMap | None, new: ExpertMap) -> tuple[Load, ...]:
    """Return what ``rank`` must fetch for ``new``; everything it will hold if ``old`` is None."""
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
                # The rank was replaced, or another decider prepared another map: say it again.
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
        raise GroupError(Code.CHANGE_OVERTAKEN, f"rank {port.rank} obeys {reply.state.promised}")
    return reply


async def _sleep_until(reading: float, clock: Clock) -> None:
    await anyio.sleep(max(0.0, reading - clock.monotonic()))
