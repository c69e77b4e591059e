"""Soak: real entries as processes while routes move and their ways to the store fail.

    python -m benchmarks.soak_configuration --seed 7       one seed, with its faults and verdict
    python -m benchmarks.soak_configuration --seeds 50     fifty fresh seeds, a line each

Each entry reaches the store over a fault-injecting proxy of its own. One route moves to another
service with each configuration, alone or ten times in quick succession, while connections go silent
for good, links are cut, and processes are stopped, paused, killed and started. Meanwhile the store
goes away and returns from older copies of itself, again and again. A prober asks every entry ten
times a second over a connection that it keeps; the replicas say which service ran what.
"""

import math
import random
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio

from benchmarks.moved_routes import (
    Disturbance,
    Probe,
    Published,
    going_back,
    in_touch,
    late,
)
from benchmarks.soak_callers import FRONT_PORT
from benchmarks.soak_command import main_of, serve, subnet
from benchmarks.soak_timeline import Occurrence, Record, write_record
from carawayhub.clock import SystemClock
from carawayhub.platform.settings import SETTINGS_VARIABLE
from carawayhub.platform.standin_store import StandinStore, StoreCopy
from carawayhub.platform.standins import (
    StandinReplica,
    configuration,
    registration,
    request_head,
    settings,
)
from carawayhub.standins.faults import LinkFault
from carawayhub.standins.proxy import Proxy
from tests.broken_entries import command_of_entry
from tests.processes import ProcessHandle

ENTRIES = 6
DOMAINS = 3
SERVICES = 6
START_SECONDS = 60.0
"""Seconds for all entries to serve; six start at one moment on a machine that may be busy."""

STRIKE_SECONDS = 20.0
CALM_SECONDS = 4.0
PROBE_SECONDS = 0.1
PROBE_PATIENCE = 1.0
LINK_PORT = 29500
LEAST_JUDGED = 50
STARVED_SECONDS = 0.5
"""Seconds in a look for which a process that could run waited for a processor: a slowed VM."""

LOOK_SECONDS = 1.0
BROKEN_AT = 4
"""Number of the entry that runs a broken variant, where one is named: no first of its domain."""

CALM_ENTRIES = 2
"""Entries that no fault of a process or link strikes at any one time."""


@dataclass(slots=True)
class ConfigurationSoak:
    """One run.

    Attributes:
        seed: Its seed.
        folder: Where logs and settings go.
        returns: Whether the store returns from older copies.
        struck: Faults that struck.
        probes: Requests to single entries.
        published: Configurations in their order.
        disturbed: When bounds in time do not hold for an entry.
        problems: Broken promises.
    """

    seed: int
    folder: Path
    returns: bool = False
    struck: Counter[str] = field(default_factory=Counter)
    probes: list[Probe] = field(default_factory=list)
    published: list[Published] = field(default_factory=list)
    disturbed: list[Disturbance] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)
    clock: SystemClock = field(default_factory=SystemClock)
    store: StandinStore = field(default_factory=StandinStore)
    replicas: list[StandinReplica] = field(default_factory=list)
    entries: dict[str, ProcessHandle] = field(default_factory=dict)
    proxy: Proxy = field(default_factory=Proxy)
    struck_now: set[str] = field(default_factory=set)
    did: list[Occurrence] = field(default_factory=list)

    async def run(self) -> None:
        """Start everything, move the route while faults strike, and check what ran where."""
        self.rng.seed(self.seed)
        async with anyio.create_task_group() as tasks:
            store = serve(tasks, self.store)
            for at in range(SERVICES):
                self.replicas.append(StandinReplica(f"i-{at}-0"))
                record = registration(f"s{at}", serve(tasks, self.replicas[at]))
                self.store.put(f"servers/i-{at}-0", record)
            self._publish()
            ips = [f"{subnet()}.{11 + at}" for at in range(ENTRIES)]
            for at, ip in enumerate(ips):
                self.proxy.add(ip, f"{subnet()}.9:{LINK_PORT + at}", store)
            async with self.proxy.running():
                try:
                    for at, ip in enumerate(ips):
                        self._prepare(at, ip, ips)
                        self.entries[ip].start()
                    await self._until_served(ips)
                    for ip in ips:
                        tasks.start_soon(self._probe_on, ip)
                        tasks.start_soon(self._look_for_starvation, ip)
                    if self.returns:
                        tasks.start_soon(self._return_often)
                    await self._strike()
                    await anyio.sleep(CALM_SECONDS)
                finally:
                    for each in self.entries.values():
                        each.resume()
                        each.kill()
            tasks.cancel_scope.cancel()
        self._check()

    def line(self) -> str:
        """Return the outcome in one line."""
        ran = sum(each.service >= 0 for each in self.probes)
        return f"{len(self.published)} configurations, {ran} of {len(self.probes)} probes ran"

    def _prepare(self, at: int, ip: str, ips: list[str]) -> None:
        path = self.folder / f"{ip}.toml"
        store = f"{subnet()}.9:{LINK_PORT + at}"
        path.write_text(settings(ip, ips[:DOMAINS], store, zone=f"z{at % DOMAINS}"))
        self.entries[ip] = ProcessHandle(
            ip,
            command_of_entry(at == BROKEN_AT),
            self.folder / f"{ip}.log",
            env={SETTINGS_VARIABLE: str(path)},
        )

    def _publish(self) -> None:
        number = len(self.published)
        version = 3 * number + self.rng.randint(1, 3)
        routes = {"/moved/": ("idempotent", f"s{number % SERVICES}")}
        table = configuration(version, ["k1"], routes)
        table["Services"] = [{"Name": f"s{at}"} for at in range(SERVICES)]
        self.store.put("op/config", table)
        self.published.append(Published(number % SERVICES, self.clock.monotonic()))
        self._note(f"configuration {number}, version {version}, acknowledged: s{number % SERVICES}")

    async def _until_served(self, ips: list[str]) -> None:
        with anyio.fail_after(START_SECONDS):
            for ip in ips:
                while (await self._ask_once(ip)).service < 0:
                    await anyio.sleep(0.1)

    async def _ask_once(self, ip: str) -> Probe:
        try:
            async with await anyio.connect_tcp(ip, FRONT_PORT) as stream:
                return await self._ask(stream, ip)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
            now = self.clock.monotonic()
            return Probe(ip, 0, now, now)

    async def _probe_on(self, ip: str) -> None:
        """Ask one entry until cancelled, over one connection while that lasts."""
        while True:
            try:
                async with await anyio.connect_tcp(ip, FRONT_PORT) as stream:
                    while True:
                        self.probes.append(await self._ask(stream, ip))
                        await anyio.sleep(PROBE_SECONDS)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
                await anyio.sleep(PROBE_SECONDS)

    async def _ask(self, stream: anyio.abc.SocketStream, ip: str) -> Probe:
        now = self.clock.monotonic()
        probe = Probe(ip, self.entries[ip].pid, now, now)
        name = _name(probe)
        await stream.send(
            request_head("/moved/1", name, "k1", int(PROBE_PATIENCE * 1000), b"tempo")
        )
        data = b""
        with anyio.fail_after(2 * PROBE_PATIENCE):
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, body = data.partition(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            while len(body) < length:
                body += await stream.receive()
        probe.ended_at = self.clock.monotonic()
        probe.service = self._ran_at(name)
        return probe

    def _ran_at(self, request: str) -> int:
        """Return the number of the service that ran a request just now, -1 for none."""
        for number, each in enumerate(self.replicas):
            if any(run.request == request for run in each.runs[-2 * ENTRIES :]):
                return number
        return -1

    async def _strike(self) -> None:
        quiet = [self._move_often, self._silence_one, self._silence_all, self._silence_often]
        struck = [self._cut, self._cut_two, self._pause, self._kill, self._stop]
        acts: list[Callable[[], Coroutine[Any, Any, None]]] = [*quiet, *quiet, *struck]
        until = self.clock.monotonic() + STRIKE_SECONDS
        async with anyio.create_task_group() as tasks:
            while self.clock.monotonic() < until:
                for act in (self._move_once, self.rng.choice(acts)):
                    self.struck[act.__name__.strip("_")] += 1
                    tasks.start_soon(act)
                await anyio.sleep(self.rng.uniform(0.3, 1.5))

    async def _return_often(self) -> None:
        """Let the store return from copies, with randomness of its own."""
        rng = random.Random(f"{self.seed}/returns")
        until = self.clock.monotonic() + STRIKE_SECONDS
        while self.clock.monotonic() < until:
            await anyio.sleep(rng.uniform(0.5, 3.0))
            copy = self.store.copy()
            await anyio.sleep(rng.uniform(0.5, 6.0))
            self.struck["return"] += 1
            await self._return_from(copy, rng.uniform(0.3, 2.5))
            await anyio.sleep(rng.uniform(0.0, 0.8))
            self._publish()

    async def _return_from(self, copy: StoreCopy, away: float) -> None:
        began_at = self.clock.monotonic()
        self._note("the store goes away")
        disturbances = [Disturbance(ip, began_at, math.inf) for ip in self.entries]
        self.disturbed += disturbances
        self.store.down = True
        await anyio.sleep(away)
        self.store.restore(copy)
        self.store.down = False
        for each in disturbances:
            each.ended_at = self.clock.monotonic()
        self._note(f"the store is back at revision {copy.revision}, in era {self.store.era}")

    async def _move_once(self) -> None:
        await anyio.sleep(self.rng.uniform(0.0, 0.5))
        if not self.store.down:
            self._publish()

    async def _move_often(self) -> None:
        for _ in range(10):
            if not self.store.down:
                self._publish()
            await anyio.sleep(0.4)

    async def _silence_one(self) -> None:
        ip = self.rng.choice(list(self.entries))
        self._note(f"connections of {ip} to the store go silent")
        self.proxy.links[ip].silence_open()

    async def _silence_all(self) -> None:
        self._note("all connections to the store go silent")
        for ip in self.entries:
            self.proxy.links[ip].silence_open()

    async def _silence_often(self) -> None:
        for _ in range(5):
            await self._silence_all()
            await anyio.sleep(self.rng.uniform(0.2, 1.0))

    def _take_one(self) -> str | None:
        """Return an entry to disturb, None while too many are."""
        free = [ip for ip in self.entries if ip not in self.struck_now]
        if len(free) <= CALM_ENTRIES:
            return None
        ip = self.rng.choice(free)
        self.struck_now.add(ip)
        return ip

    async def _disturb(self, ip: str, what: str, act: Coroutine[Any, Any, None]) -> None:
        """Let something happen to an entry; bounds in time do not hold for it meanwhile."""
        disturbance = Disturbance(ip, self.clock.monotonic(), math.inf)
        self.disturbed.append(disturbance)
        self._note(f"{ip}: {what} begins")
        await act
        self._note(f"{ip}: {what} ends")
        disturbance.ended_at = self.clock.monotonic()
        self.struck_now.discard(ip)

    async def _cut(self) -> None:
        if (ip := self._take_one()) is not None:
            await self._disturb(ip, "cut from the store", self._cut_link(ip))

    async def _cut_two(self) -> None:
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(self._cut)

    async def _cut_link(self, ip: str) -> None:
        state = self.proxy.links[ip].state
        state.set_fault(LinkFault(silent_to_target=True, silent_to_client=True))
        await anyio.sleep(self.rng.uniform(0.5, 6.0))
        state.clear()
        self.proxy.links[ip].cut_open()

    async def _pause(self) -> None:
        if (ip := self._take_one()) is not None:
            await self._disturb(ip, "pause", self._paused(ip))

    async def _kill(self) -> None:
        if (ip := self._take_one()) is not None:
            await self._disturb(ip, "loss of the process", self._killed(ip))

    async def _stop(self) -> None:
        if (ip := self._take_one()) is not None:
            await self._disturb(ip, "planned stop", self._replace(ip))

    async def _paused(self, ip: str) -> None:
        self.entries[ip].pause()
        await anyio.sleep(self.rng.uniform(0.3, 4.0))
        self.entries[ip].resume()

    async def _killed(self, ip: str) -> None:
        self.entries[ip].kill()
        await anyio.sleep(self.rng.uniform(0.1, 1.0))
        self.entries[ip].start()

    async def _replace(self, ip: str) -> None:
        await self.entries[ip].stop()
        self.entries[ip].start()

    def _wall(self, at: float) -> float:
        return at + self.clock.wall() - self.clock.monotonic()

    def _note(self, text: str) -> None:
        self.did.append(Occurrence(self.clock.wall(), text))

    async def _look_for_starvation(self, ip: str) -> None:
        """Note when an entry, or the store and proxies in this process, got no processor time."""
        waited = _waited(self.entries[ip].pid)
        while True:
            began_at = self.clock.monotonic()
            await anyio.sleep(LOOK_SECONDS)
            now, before = _waited(self.entries[ip].pid), waited
            waited = now
            if now - before > STARVED_SECONDS:
                self.struck["starved"] += 1
                self._note(f"{ip} or the soak got no processor time")
                self.disturbed.append(Disturbance(ip, began_at, self.clock.monotonic()))

    def _check(self) -> None:
        """Hold what replicas ran against the promises."""
        broken = late(self.probes, self.published, self.disturbed)
        broken += going_back(self.probes, self.published)
        broken.sort(key=lambda each: each.probe.sent_at)
        self.problems += [each.text for each in broken]
        found = [
            Occurrence(self._wall(each.probe.sent_at), each.text, _name(each.probe))
            for each in broken
        ]
        write_record(self.folder, Record(self.did, found))
        judged = sum(each.service >= 0 and in_touch(each, self.disturbed) for each in self.probes)
        if judged < LEAST_JUDGED:
            self.problems.append(f"only {judged} probes ran at entries that nothing disturbed")


def _name(probe: Probe) -> str:
    return f"{probe.entry}/{probe.sent_at:.6f}"


def _waited(pid: int) -> float:
    """Return the seconds that a process and this one have waited for a processor so far."""
    total = 0.0
    for each in (str(pid), "self"):
        try:
            total += int(Path(f"/proc/{each}/schedstat").read_text().split()[1]) / 1e9
        except FileNotFoundError:
            continue
    return total


async def play(seed: int, folder: Path, returns: bool = False) -> ConfigurationSoak:
    """Play one seed and return what became of it."""
    soak = ConfigurationSoak(seed, folder, returns)
    await soak.run()
    return soak


async def play_with_returns(seed: int, folder: Path) -> ConfigurationSoak:
    """Play one seed in which the store returns from older copies, too."""
    return await play(seed, folder, returns=True)


if __name__ == "__main__":
    sys.exit(main_of(play_with_returns, __doc__ or ""))
