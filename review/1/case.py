"""A late ``go`` releases a held pass while its ranks are being armed.

Twelve replicas form one group, with an agent beside each. Work waits at all of them all the time,
and the experts in demand change every two seconds, so the agents change the map again and again.
"""

import asyncio
import json
import signal
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import (
    TROUBLE,
    CannotRunError,
    Daemon,
    Record,
    Request,
    Servers,
    Store,
    json_answer,
    play,
    read_request,
    settings,
    subnet,
)

RANKS, SETS, EXPERTS, PLACES, SPARE = 12, 3, 96, 11, 4
PASS_SECONDS = 0.05
COPY_SECONDS = 0.2
SHIFT_SECONDS = 2.0
CHOICES = 40_000
SLOTS = 6

FROZEN_RANK = 3
FREEZE_SECONDS = 2.6
TROUBLE_SECONDS = 5.5
MAX_CALM_SECONDS = 2.2
MAX_UNANSWERED_SHARE = 0.35
MIN_LATE_SECONDS, MAX_LATE_SECONDS = 2.0, 12.0


@dataclass
class Order:
    """An order that got no answer."""

    rank: int
    body: dict
    sent_at: float


@dataclass
class Rank:
    """State of one replica."""

    version: int = 0
    highest: int = 0
    prepared: int = 0
    copied_at: float = 0.0
    armed: int = 0
    armed_step: int = 0
    held: int = 0
    counts: list[int] = field(default_factory=lambda: [0] * (SETS * EXPERTS))
    maps: dict[int, list] = field(default_factory=dict)


def first_map() -> list:
    """Return map 0, which assigns experts in turn, by set and rank."""
    return [[list(range(rank, EXPERTS, RANKS)) for rank in range(RANKS)] for _ in range(SETS)]


class Group:
    """The replicas of the group."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.ranks = [Rank(maps={0: first_map()}) for _ in range(RANKS)]
        self.agents: list[Daemon] = []
        self.step = 10
        self.hot = 0
        self.switches = 0
        self.mixed = 0
        self.frozen: set[int] = set()
        self.thawed = asyncio.Event()
        self.trouble_at = 0.0
        self.trouble_ended_at = 0.0
        self.hold_sent = False
        self.late: list[Order] = []
        self.releasing: asyncio.Task | None = None
        self.total = self.unanswered = 0

    async def run_passes(self) -> None:
        """Execute passes."""
        while True:
            await asyncio.sleep(PASS_SECONDS)
            self.hot = int(time.monotonic() / SHIFT_SECONDS) * 7 % EXPERTS
            if not self.frozen and all(each.held != self.step + 1 for each in self.ranks):
                self.begin_pass()

    def begin_pass(self) -> None:
        """Begin a pass at all ranks."""
        self.step += 1
        switched = False
        for each in self.ranks:
            if each.armed and each.armed_step <= self.step:
                each.version, each.armed, each.armed_step, each.prepared = each.armed, 0, 0, 0
                switched = True
            for at in range(SETS * EXPERTS):
                each.counts[at] += CHOICES // EXPERTS // 2
                each.counts[at] += CHOICES // 6 if (at - self.hot) % EXPERTS < 3 else 0
        versions = [each.version for each in self.ranks]
        maps = [each.maps[each.version] for each in self.ranks]
        if any(each != maps[0] for each in maps) or len(set(versions)) > 1:
            self.mixed += 1
            if self.mixed <= 5:
                self.record(f"pass {self.step} begins with the maps {versions} at ranks 0 to 11")
        elif switched:
            self.switches += 1
            self.record(f"pass {self.step} begins with map {versions[0]} at all ranks")

    def report(self, at: int) -> dict:
        """Return the report of a rank."""
        rank = self.ranks[at]
        copied = rank.copied_at <= time.monotonic()
        armed = {"Version": rank.armed, "step": rank.armed_step} if rank.armed else None
        return {
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": not copied,
            "Seq": 0,
            "Queued": 0,
            "InFlight": SLOTS,
            "KvUsed": 4000,
            "KvTotal": 186000,
            "Handles": 0,
            "pace": 1.0,
            "group": {"Name": "g", "epoch": 1, "rank": at, "State": "open"},
            "size": RANKS,
            "step": self.step,
            "Map": rank.version,
            "Prepared": rank.prepared if copied else 0,
            "Armed": armed,
            "held": rank.held if rank.held > self.step else 0,
        }

    def apply(self, at: int, body: dict) -> int:
        """Carry an order out; return the status."""
        rank, now = self.ranks[at], time.monotonic()
        if body.get("epoch", 1) != 1:
            return 409
        match body:
            case {"Operation": "prepare", "Version": version, "Map": experts}:
                if version <= rank.highest or rank.armed:
                    return 409
                held = rank.maps[rank.version]
                for layer in range(SETS):
                    if len(set(experts[layer][at]) - set(held[layer][at])) > SPARE:
                        return 409
                rank.highest = rank.prepared = version
                rank.copied_at = now + COPY_SECONDS
                rank.maps[version] = experts
                return 202
            case {"Operation": "arm", "Version": version, "step": step}:
                if (rank.armed, rank.armed_step) == (version, step):
                    return 200
                if rank.prepared != version or rank.copied_at > now or step <= self.step:
                    return 409
                rank.armed, rank.armed_step = version, step
                return 202
            case {"Operation": "disarm", "Version": version}:
                if rank.version == version:
                    return 409
                rank.armed = rank.armed_step = 0
                return 200
            case {"Operation": "Hold", "step": step}:
                if step <= self.step or (rank.held > self.step and rank.held != step):
                    return 409
                rank.held = step
                return 202
            case {"Operation": "go", "step": step}:
                if rank.held != step or step <= self.step:
                    return 409
                rank.held = 0
                return 202
        return 400

    def is_left_unanswered(self, at: int, body: dict) -> bool:
        """Return whether the disturbance strikes an order."""
        if not self.trouble_at or self.trouble_ended_at:
            return False
        if time.monotonic() - self.trouble_at > TROUBLE_SECONDS:
            raise CannotRunError("the disturbance lasted too long")
        match body["Operation"]:
            case "go":
                return self.hold_sent
            case "arm":
                return self.hold_sent and at == FROZEN_RANK
        return False

    async def order(self, at: int, req: Request) -> bytes | None:
        """Answer an order, None for no answer."""
        body = json.loads(req.body)
        told = {name: body[name] for name in ("Operation", "Version", "step") if name in body}
        if self.trouble_at and not self.trouble_ended_at:
            self.total += 1
        if self.is_left_unanswered(at, body):
            self.unanswered += 1
            self.late.append(Order(at, body, time.monotonic()))
            self.record(f"rank {at}: {told} gets no answer and will be carried out late")
            if body["Operation"] == "arm" and self.releasing is None:
                self.releasing = asyncio.create_task(self.release_late())
            return None
        status = self.apply(at, body)
        self.record(f"rank {at}: {told} -> {status}")
        if TROUBLE and body["Operation"] == "Hold" and status == 202:
            self.on_hold()
        return json_answer(status, {})

    def on_hold(self) -> None:
        """Begin the disturbance with a change, and freeze a machine at the next one."""
        if self.hold_sent or self.switches < 2:
            return
        now = time.monotonic()
        if not self.trouble_at or now - self.trouble_at > MAX_CALM_SECONDS:
            # The whole change before the one that is disturbed counts for the share of late orders.
            self.trouble_at, self.total = now, 0
            self.record("orders may get lost from now on")
            return
        self.hold_sent = True
        self.frozen.add(FROZEN_RANK)
        self.agents[FROZEN_RANK].signal(signal.SIGSTOP)
        self.record(f"the machine of rank {FROZEN_RANK} freezes")
        asyncio.get_running_loop().call_later(FREEZE_SECONDS, self.thaw)

    def thaw(self) -> None:
        """Wake the machine."""
        self.frozen.clear()
        self.agents[FROZEN_RANK].signal(signal.SIGCONT)
        self.thawed.set()
        self.record(f"the machine of rank {FROZEN_RANK} wakes")

    async def release_late(self) -> None:
        """Carry out the orders that got no answer: a ``go`` as soon as the others are armed."""
        others = [each for at, each in enumerate(self.ranks) if at != FROZEN_RANK]
        while not all(each.armed for each in others):
            await asyncio.sleep(0.001)
        await self.carry_out("go", 1)
        held = others[0].armed_step
        while self.step < held and time.monotonic() - self.trouble_at < TROUBLE_SECONDS:
            await asyncio.sleep(0.001)
        self.trouble_ended_at = time.monotonic()
        self.record(
            f"orders are answered again after {self.trouble_ended_at - self.trouble_at:.1f} s, in"
            f" which {self.unanswered} of {self.total} got no answer"
        )
        if self.unanswered > MAX_UNANSWERED_SHARE * self.total:
            raise CannotRunError("more orders than allowed got no answer")
        await self.carry_out("go", len(self.late))
        await self.carry_out("arm", len(self.late))

    async def carry_out(self, operation: str, count: int) -> None:
        """Carry out the oldest orders of one kind that got no answer."""
        found = [each for each in self.late if each.body["Operation"] == operation]
        for each in found[:count]:
            self.late.remove(each)
            while (age := time.monotonic() - each.sent_at) < MIN_LATE_SECONDS:
                await asyncio.sleep(0.001)
            if age > MAX_LATE_SECONDS:
                raise CannotRunError("an order would be carried out too late")
            status = self.apply(each.rank, each.body)
            self.record(
                f"rank {each.rank}: {each.body['Operation']} of {age:.2f} s ago is carried out"
                f" -> {status}"
            )

    def server(self, at: int):
        """Return the handler of a replica's connections."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (req := await read_request(reader)) is not None:
                while at in self.frozen:
                    await asyncio.sleep(0.005)
                instance = req.headers.get("carawayhub-expect-instance", f"i-{at}")
                if instance != f"i-{at}":
                    data = json_answer(421, {})
                elif req.path == "/v1/report":
                    data = json_answer(200, self.report(at))
                elif req.path == "/v1/picked" and "Lists" in req.query:
                    rank = self.ranks[at]
                    experts = [layer[at] for layer in rank.maps[rank.version]]
                    held = {"Version": rank.version, "Experts": experts}
                    data = json_answer(200, {"Map": held, "Prepared": None})
                elif req.path == "/v1/picked":
                    counts = self.ranks[at].counts
                    data = json_answer(200, {"step": self.step, "epoch": 1, "Counts": counts})
                elif req.path == "/v1/order":
                    data = await self.order(at, req)
                else:
                    data = json_answer(400, {})
                if data is None:
                    await reader.read()
                    return
                writer.write(data)
                await writer.drain()

        return serve


def configuration() -> dict:
    """Return a configuration with the one service and its engine."""
    engine = {
        "Slots": SLOTS,
        "KvCapacity": 186000,
        "Stride": 5,
        "step_ms": 5.85,
        "per_seq_ms": 0.355,
        "context_per_k": 0.036,
        "read_per_s": 61200,
        "chunk": 512,
        "usual": {"prompt": 800, "answer": 140},
        "report_lag_ms": 200,
        "LinkMbps": 44000,
        "Sets": SETS,
        "Experts": EXPERTS,
        "Places": PLACES,
        "Spare": SPARE,
        "ExpertMb": 780.0,
        "ExpertShare": 0.85,
    }
    route = {
        "Name": "r",
        "Host": "a.example",
        "Prefix": "/s/",
        "Kind": "streaming",
        "TimeoutMs": 8000,
        "FullCreditMs": 400,
        "Priority": 1,
        "Service": "llm",
        "MaxAttempts": 2,
        "Public": True,
        "Sticky": True,
        "Resumable": True,
        "GapTargetMs": 120,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    service = {"Name": "llm", "HealthPath": "/health", "MaxConns": 248, "Engine": engine}
    return {"Version": 1, "Routes": [route], "Services": [service], "Limits": limits}


async def case(record: Record, folder: Path, servers: Servers, daemons: list[Daemon]) -> bool:
    """Return whether a pass began while two ranks had different maps."""
    net, store, group = subnet(), Store(), Group(record)
    store.put("op/config", configuration())
    store_address = await servers.listen(f"{net}.1", store.serve)
    for at in range(RANKS):
        ip = f"{net}.{11 + at}"
        replica = await servers.listen(ip, group.server(at))
        entry = {
            "Service": "llm",
            "Address": replica,
            "Zone": "z1",
            "Version": "v1",
            "Slots": SLOTS,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "group": {"Name": "g", "epoch": 1, "rank": at, "State": "open"},
            "size": RANKS,
        }
        store.put(f"servers/i-{at}", entry)
        top = 'Role = "agent"\nMachineClass = "side"\nServes = ["side"]\nSeeds = []\n'
        top += f'app = "{replica}"\nService = "llm"'
        daemon = Daemon(
            "agent", f"side-{at}", settings(f"side-{at}", ip, store_address, top=top), folder
        )
        daemons.append(daemon)
        group.agents.append(daemon)
        daemon.start()
    passes = asyncio.create_task(group.run_passes())
    ends_at = time.monotonic() + 60.0
    while time.monotonic() < ends_at and not group.mixed:
        await asyncio.sleep(0.1)
        for each in daemons:
            each.check_running()
        if passes.done():
            raise CannotRunError("the stand-in group ended")
        if not TROUBLE and group.switches >= 8:
            break
        if group.releasing is not None and group.releasing.done():
            group.releasing.result()
        if group.trouble_ended_at and time.monotonic() - group.trouble_ended_at > 14.0:
            break
    record(f"{group.switches} changes of map, {group.mixed} passes under two maps")
    if TROUBLE and not group.trouble_ended_at and not group.mixed:
        raise CannotRunError("the disturbance did not come about")
    if not TROUBLE and group.switches < 3:
        raise CannotRunError("too few changes of map")
    passes.cancel()
    if TROUBLE:
        # The limits of the disturbance hold before there is a verdict.
        until = time.monotonic() + 1.0
        while not group.trouble_ended_at and time.monotonic() < until:
            await asyncio.sleep(0.01)
        seconds = group.trouble_ended_at - group.trouble_at
        if not 0.0 < seconds <= TROUBLE_SECONDS:
            raise CannotRunError("orders were lost for too long")
        if group.unanswered > MAX_UNANSWERED_SHARE * group.total:
            raise CannotRunError("more orders than allowed got no answer")
    return group.mixed > 0


play(case, 100.0)
