"""Stand-in ranks: lock-step groups on a barrier, with weights from a rate-limited store.

Used in memory through ``StandInPort``, or over HTTP through ``rank_app`` and the product's own
client. A rank stalls while ``StandInRank.stalled`` is set; ``rank_faults`` has the faults of links.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

import anyio
import msgspec

from carawayhub.agent.rank_client import ORDER_KINDS
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import Fetch, Order, Prepare, RankState, Reply
from carawayhub.standins.rank_rules import enter_step, obey
from carawayhub.standins.web import Reply as HttpReply
from carawayhub.standins.web import Request, Router, error_reply, json_reply

INCARNATION_BITS = 62


class WeightStore:
    """A store that delivers so many bytes a second and refuses what goes beyond.

    Args:
        rate: Bytes a second.
        clock: Source of time.
        burst: Seconds of the rate that may be taken at once.
    """

    __slots__ = ("_burst", "_clock", "_free_at", "delivered", "rate", "refusals", "refuse_all")

    def __init__(self, rate: float, clock: Clock, burst: float = 2.0) -> None:
        self.rate = rate
        self.delivered = 0
        self.refusals = 0
        self.refuse_all = False
        self._burst = burst
        self._clock = clock
        self._free_at = -math.inf

    def take(self, size: int) -> float:
        """Take ``size`` bytes; return 0, or the seconds after which to ask again."""
        now = self._clock.monotonic()
        ready = max(self._free_at, now - self._burst) + size / self.rate
        if self.refuse_all or ready > now:
            self.refusals += 1
            return max(ready - now, 0.01)
        self._free_at = ready
        self.delivered += size
        return 0.0


@dataclass(slots=True, frozen=True)
class RankStep:
    """One step that one rank made."""

    formation: str
    step: int
    rank: int
    map: MapId


class StandInRank:
    """One rank of a stand-in engine.

    Args:
        rank: Its position.
        store: Where it fetches weights.
        expert_bytes: Size of one expert's weights of one layer.
        rng: Draws its incarnation.
        checks_fencing: Whether it refuses orders of old terms.
    """

    def __init__(
        self,
        rank: int,
        store: WeightStore,
        expert_bytes: int,
        rng: random.Random,
        *,
        checks_fencing: bool = True,
    ) -> None:
        self.rank = rank
        self.checks_fencing = checks_fencing
        self.stalled = False
        self._store = store
        self._expert_bytes = expert_bytes
        self._rng = rng
        self.restart()

    def restart(self) -> None:
        """Lose all memory and begin a new incarnation."""
        self.state = RankState(rank=self.rank, incarnation=self._rng.getrandbits(INCARNATION_BITS))
        self._maps: dict[MapId, ExpertMap] = {}
        self._held: set[tuple[int, int]] = set()

    def handle(self, order: Order) -> Reply:
        """Obey or refuse ``order``."""
        answer = obey(self.state, order, checks_fencing=self.checks_fencing)
        self.state = answer.state
        if answer.code is not Code.OK:
            return Reply(code=answer.code, state=self.state)
        match order:
            case Prepare(map=wanted):
                return self._prepare(wanted)
            case Fetch():
                return self._fetch(order)
            case _:
                return Reply(code=Code.OK, state=self.state)

    def content(self, wanted: MapId) -> ExpertMap | None:
        """Return the content of a map it was given."""
        return self._maps.get(wanted)

    def _prepare(self, wanted: ExpertMap) -> Reply:
        armed = self.state.armed
        kept = {self.state.map, wanted.id, armed.target if armed else None}
        self._maps = {name: one for name, one in self._maps.items() if name in kept}
        self._maps[wanted.id] = wanted
        self._held &= {pair for one in self._maps.values() for pair in self._pairs(one)}
        self._count_missing(wanted)
        return Reply(code=Code.OK, state=self.state)

    def _fetch(self, order: Fetch) -> Reply:
        wanted = self._maps.get(order.target)
        if wanted is None or self.state.staging != order.target:
            return Reply(code=Code.ORDER_REFUSED, state=self.state)
        new = {(load.layer, load.expert) for load in order.loads} - self._held
        retry_after = self._store.take(len(new) * self._expert_bytes) if new else 0.0
        if retry_after > 0:
            return Reply(code=Code.STORE_BUSY, state=self.state, retry_after=retry_after)
        self._held |= new
        self._count_missing(wanted)
        return Reply(code=Code.OK, state=self.state)

    def _count_missing(self, wanted: ExpertMap) -> None:
        missing = len(self._pairs(wanted) - self._held)
        self.state = replace(self.state, staging=wanted.id, missing=missing)

    def _pairs(self, one: ExpertMap) -> set[tuple[int, int]]:
        layers = range(len(one.layers))
        return {(layer, expert) for layer in layers for expert in one.held(self.rank, layer)}


class StandInGroup:
    """Ranks that step together.

    Attributes:
        ranks: The ranks, in order.
        steps: Every step that every rank made.
        waits: Times that a rank was found waiting at a step for a verdict.
    """

    def __init__(self, ranks: Sequence[StandInRank]) -> None:
        self.ranks = tuple(ranks)
        self.steps: list[RankStep] = []
        self.waits = 0

    def advance(self) -> bool:
        """Let each rank enter its next step if it can; return whether one did."""
        moved = False
        for rank in self.ranks:
            if rank.stalled or not self._may_enter(rank.state):
                continue
            after = enter_step(rank.state)
            if after is None:
                self.waits += 1
                continue
            if after.formation is None or after.map is None:
                continue
            rank.state = after
            moved = True
            formation = after.formation.id
            self.steps.append(RankStep(formation, after.entered, rank.rank, after.map))
        return moved

    async def run(self, step_seconds: float = 0.001) -> None:
        """Step until cancelled."""
        while True:
            self.advance()
            await anyio.sleep(step_seconds)

    def two_maps(self) -> tuple[RankStep, ...]:
        """Return the steps made under another map than the step's first rank had."""
        maps: dict[tuple[str, int], MapId] = {}
        return tuple(
            one
            for one in self.steps
            if maps.setdefault((one.formation, one.step), one.map) != one.map
        )

    def _may_enter(self, state: RankState) -> bool:
        """Return whether all members have joined and have entered the step ``state`` is in."""
        formation = state.formation
        if formation is None or len(formation.members) != len(self.ranks):
            return False
        return all(
            rank.state.formation == formation and rank.state.entered >= state.entered
            for rank in self.ranks
        )


class StandInPort:
    """A rank in the same process."""

    def __init__(self, rank: StandInRank) -> None:
        self._rank = rank

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._rank.rank

    async def order(self, order: Order) -> Reply:
        """Give an order and return the rank's answer."""
        await anyio.lowlevel.checkpoint()
        return self._rank.handle(order)

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map that the rank holds or stages."""
        await anyio.lowlevel.checkpoint()
        found = self._rank.content(wanted)
        if found is None:
            raise GroupError(Code.ORDER_REFUSED, f"rank {self.rank} does not know map {wanted}")
        return found


def rank_app(group: StandInGroup) -> Router:
    """Return an ASGI application that answers for all ranks of ``group``."""

    async def order(req: Request) -> HttpReply:
        rank, kind = int(req.parts[0]), ORDER_KINDS.get(req.parts[1])
        if kind is None or rank >= len(group.ranks):
            return error_reply(404, "no such rank or order")
        return json_reply(group.ranks[rank].handle(msgspec.json.decode(req.body, type=kind)))

    async def read_map(req: Request) -> HttpReply:
        rank, number, digest = int(req.parts[0]), int(req.parts[1]), req.parts[2]
        found = (
            group.ranks[rank].content(MapId(number, digest)) if rank < len(group.ranks) else None
        )
        return error_reply(404, "no such map") if found is None else json_reply(found)

    router = Router()
    router.add("POST", "/ranks/{}/orders/{}", order)
    router.add("GET", "/ranks/{}/maps/{}/{}", read_map)
    return router
