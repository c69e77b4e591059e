"""Stand-in of all ranks of one lock-step group, for engines in this or in other processes.

Each engine keeps a connection open for the ranks it holds. While it stands, the ranks are there;
when it breaks, they are gone, and when the engine connects again they begin anew, with no memory.
What comes down that connection is whether the group steps, and in which formation.
"""

import random
from collections import Counter
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec

from carawayhub.agent.rank_client import ORDER_KINDS
from carawayhub.clock import SystemClock
from carawayhub.errors import GroupError
from carawayhub.groups.maps import MapId
from carawayhub.standins.checker import StepSample
from carawayhub.standins.drift import DriftingCounters
from carawayhub.standins.faults import RankFault
from carawayhub.standins.options import RankOptions
from carawayhub.standins.rank_faults import FaultyPort
from carawayhub.standins.ranks import StandInGroup, StandInPort, StandInRank, WeightStore
from carawayhub.standins.web import (
    CutError,
    Reply,
    Request,
    Router,
    StreamReply,
    error_reply,
    json_reply,
    serving,
)

STILL_AFTER_S = 0.25
PULSE_S = 0.02


class Pulse(msgspec.Struct, frozen=True):
    """What an engine is told of its group.

    Attributes:
        stepping: Whether the group steps.
        formation: Name of the formation of the engine's ranks, empty for none.
    """

    stepping: bool
    formation: str


class RankGroup:
    """The ranks of one group; ``serving`` gives them an address.

    Args:
        options: How they behave.

    Attributes:
        group: The ranks, with every step they made.
        ports: A port with faults to each rank.
        counters: The counters of tokens per expert.
    """

    __slots__ = ("_clock", "_moved_at", "_options", "_holders", "counters", "group", "ports")

    def __init__(self, options: RankOptions) -> None:
        self._clock = SystemClock()
        self._options = options
        rng = random.Random(f"ranks-{options.seed}")
        store = WeightStore(options.store_rate, self._clock)
        ranks = [
            StandInRank(
                rank, store, options.expert_bytes, rng, checks_fencing=options.checks_fencing
            )
            for rank in range(options.ranks)
        ]
        for rank in ranks:
            rank.stalled = True
        self.group = StandInGroup(ranks)
        self.ports = [FaultyPort(StandInPort(rank)) for rank in ranks]
        self.counters = DriftingCounters(options)
        self._holders: dict[int, object] = {}
        self._moved_at = self._clock.monotonic()

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Step and serve on ``ip:port`` while the ``with`` runs; yields the address in use."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._step)
            tasks.start_soon(self._count)
            async with serving(self.app(), address) as actual:
                yield actual
            tasks.cancel_scope.cancel()

    def app(self) -> Router:
        """Return the HTTP application."""
        router = Router()
        router.add("POST", "/ranks/{}/orders/{}", self._order)
        router.add("GET", "/ranks/{}/maps/{}/{}", self._read_map)
        router.add("GET", "/experts/counters", self._read_counters)
        router.add("POST", "/hold/{}", self._hold)
        router.add("GET", "/control/states", self._list_states)
        router.add("GET", "/control/steps", self._list_steps)
        router.add("GET", "/control/givers", self._list_givers)
        router.add("POST", "/control/ranks/{}/fault", self._set_fault)
        router.add("POST", "/control/ranks/{}/deliver", self._deliver)
        router.add("POST", "/control/ranks/{}/repeat", self._repeat)
        router.add("POST", "/control/ranks/{}/restart", self._restart)
        router.add("POST", "/control/hot", self._set_hot)
        return router

    @property
    def stepping(self) -> bool:
        """Whether a step was made of late."""
        return self._clock.monotonic() - self._moved_at < STILL_AFTER_S

    def samples(self, name: str) -> list[StepSample]:
        """Return all steps for the observer; steps count anew with each formation."""
        return [
            StepSample(f"{name}/{step.formation}", step.step, step.rank, step.map.digest)
            for step in self.group.steps
        ]

    def set_fault(self, rank: int, fault: RankFault) -> None:
        """Replace what is wrong with a rank; what is held back stays held until delivered."""
        port, stand_in = self.ports[rank], self.group.ranks[rank]
        port.cut = fault.cut
        port.lose = {ORDER_KINDS[kind] for kind in fault.lose}
        port.lose_reply = {ORDER_KINDS[kind] for kind in fault.lose_reply}
        port.hold = {ORDER_KINDS[kind] for kind in fault.hold}
        stand_in.stalled = fault.stalled or rank not in self._holders
        checks = fault.checks_fencing
        stand_in.checks_fencing = self._options.checks_fencing if checks is None else checks

    async def _step(self) -> None:
        while True:
            if self.group.advance():
                self._moved_at = self._clock.monotonic()
            await anyio.sleep(self._options.step_ms / 1000)

    async def _count(self) -> None:
        while True:
            self.counters.advance(self._clock.monotonic())
            await anyio.sleep(self._options.sample_s)

    async def _order(self, req: Request) -> Reply:
        rank, kind = int(req.parts[0]), ORDER_KINDS.get(req.parts[1])
        if kind is None or rank not in self._holders:
            return error_reply(404, "no such rank or order")
        try:
            reply = await self.ports[rank].order(msgspec.json.decode(req.body, type=kind))
        except GroupError:
            raise CutError from None
        return json_reply(reply)

    async def _read_map(self, req: Request) -> Reply:
        rank, wanted = int(req.parts[0]), MapId(int(req.parts[1]), req.parts[2])
        found = self.group.ranks[rank].content(wanted) if rank in self._holders else None
        return error_reply(404, "no such map") if found is None else json_reply(found)

    async def _read_counters(self, req: Request) -> Reply:
        found = self.counters.read(self._clock.monotonic())
        return error_reply(404, "no counters yet") if found is None else json_reply(found)

    async def _hold(self, req: Request) -> StreamReply:
        ranks = tuple(int(part) for part in req.parts[0].split(","))
        return StreamReply(self._pulses(ranks), "application/x-ndjson")

    async def _pulses(self, ranks: tuple[int, ...]) -> AsyncGenerator[bytes, None]:
        """Have ``ranks`` begin anew, and tell of each change until their engine goes away."""
        holder = object()
        for rank in ranks:
            self.group.ranks[rank].restart()
            self._holders[rank] = holder
            self.group.ranks[rank].stalled = False
        told: Pulse | None = None
        try:
            while True:
                pulse = self._pulse(ranks[0])
                if pulse != told:
                    told = pulse
                    yield msgspec.json.encode(pulse) + b"\n"
                await anyio.sleep(PULSE_S)
        finally:
            for rank in ranks:
                # The engine may have connected again before the end of this connection was seen.
                if self._holders.get(rank) is holder:
                    del self._holders[rank]
                    self.group.ranks[rank].stalled = True

    def _pulse(self, rank: int) -> Pulse:
        formation = self.group.ranks[rank].state.formation
        name = "" if formation is None else formation.id
        return Pulse(stepping=bool(name) and self.stepping, formation=name)

    async def _list_states(self, req: Request) -> Reply:
        return json_reply([rank.state for rank in self.group.ranks])

    async def _list_steps(self, req: Request) -> Reply:
        return json_reply(self.samples(req.query.get("name", "group")))

    async def _list_givers(self, req: Request) -> Reply:
        """Answer with the orders of each decider that reached a rank, by its random number."""
        given = Counter(order.term.decider for port in self.ports for order in port.given)
        return json_reply({str(decider): count for decider, count in given.items()})

    async def _set_fault(self, req: Request) -> Reply:
        self.set_fault(int(req.parts[0]), msgspec.json.decode(req.body, type=RankFault))
        return json_reply({})

    async def _deliver(self, req: Request) -> Reply:
        await self.ports[int(req.parts[0])].deliver_held()
        return json_reply({})

    async def _repeat(self, req: Request) -> Reply:
        await self.ports[int(req.parts[0])].repeat()
        return json_reply({})

    async def _restart(self, req: Request) -> Reply:
        self.group.ranks[int(req.parts[0])].restart()
        return json_reply({})

    async def _set_hot(self, req: Request) -> Reply:
        self.counters.hot = msgspec.json.decode(req.body, type=int | None)
        return json_reply({})
