"""Soak of parts of prompts that end replicas: real entries as processes, faults from outside.

    python -m benchmarks.soak_parts --seed 7      one seed, with its faults and verdict
    python -m benchmarks.soak_parts --seeds 50    fifty fresh seeds, a line each

One part of prompts ends each replica that begins a request with it; the replica is back after a
second, under another id. Such requests come all the time, no two alike, among sound ones that share
their other parts, while entries are killed, paused and started and replicas end of themselves.
"""

import random
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import anyio

from benchmarks.soak_command import main_of, serve, subnet
from carawayhub.clock import SystemClock
from carawayhub.platform.settings import SETTINGS_VARIABLE
from carawayhub.platform.standin_store import StandinStore
from carawayhub.platform.standins import configuration, registration, request_head, settings
from tests.broken_entries import command_of_entry
from tests.processes import ProcessHandle
from tests.scripted_endpoint import ScriptedEndpoint, Taken, chunk, event, stream_head

ENTRIES = 3
REPLICAS = 8
SECONDS = 24.0
SOUND_GAP = 0.06
SPOILT_GAP = 0.4
BACK_SECONDS = 1.0
ENTRY_STAYS_SECONDS = 1.8
"""Seconds for which the store lists a replica that has ended."""

RUN_SECONDS = 0.05
EVENTS = 8
EVENT_SECONDS = 0.03
IN_TOUCH_SECONDS = 3.0
LATE_SENDS_ALLOWED = 3
SERVED_LEAST = 0.5
SPOILT = "bad0"
FRONT_PORT = 29227
KEY = "k1"


@dataclass(slots=True)
class PartAsk:
    """One request of a caller.

    Attributes:
        sent_at: When it was sent.
        spoilt: Whether it has the part that ends replicas.
        status: Status of the answer, 0 for none.
        whole: Whether its end came.
    """

    sent_at: float
    spoilt: bool
    status: int = 0
    whole: bool = False


@dataclass(slots=True)
class PartSoak:
    """One run.

    Attributes:
        seed: Its seed.
        folder: Where logs and settings go.
        struck: Faults that struck.
        asks: Requests.
        ends: When replicas ended for the part.
        arrivals: When requests with the part reached replicas, and from which entry.
        disturbed: Entries with the times from which and until which they were not in touch.
        problems: Broken promises.
    """

    seed: int
    folder: Path
    struck: Counter[str] = field(default_factory=Counter)
    asks: list[PartAsk] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    disturbed: list[tuple[str, float, float]] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)
    rng: random.Random = field(default_factory=random.Random)
    clock: SystemClock = field(default_factory=SystemClock)
    store: StandinStore = field(default_factory=StandinStore)
    live: dict[str, ScriptedEndpoint] = field(default_factory=dict)
    entries: dict[str, ProcessHandle] = field(default_factory=dict)

    @property
    def ips(self) -> list[str]:
        """Addresses of the entries."""
        return [f"{subnet()}.{11 + at}" for at in range(ENTRIES)]

    async def run(self) -> None:
        """Start everything, let callers ask while faults strike, and check the promises."""
        self.rng.seed(self.seed)
        async with anyio.create_task_group() as tasks:
            store = serve(tasks, self.store)
            self.store.put("op/config", configuration(1, [KEY], {"/stream/": ("streaming", "llm")}))
            for at in range(REPLICAS):
                tasks.start_soon(self._replica, tasks, at)
            try:
                for ip in self.ips:
                    self._start(ip, store)
                await self._until_served()
                until = self.clock.monotonic() + SECONDS
                tasks.start_soon(self._ask_on, tasks, SOUND_GAP, False)
                tasks.start_soon(self._ask_on, tasks, SPOILT_GAP, True)
                await self._strike(until)
            finally:
                for each in self.entries.values():
                    each.resume()
                    each.kill()
            tasks.cancel_scope.cancel()
        self._check()

    def _start(self, ip: str, store: str) -> None:
        path = self.folder / f"{ip}.toml"
        path.write_text(settings(ip, self.ips, store))
        self.entries[ip] = ProcessHandle(
            ip,
            command_of_entry(True),
            self.folder / f"{ip}.log",
            env={SETTINGS_VARIABLE: str(path)},
        )
        self.entries[ip].start()

    async def _replica(self, tasks: anyio.abc.TaskGroup, at: int) -> None:
        """Let one replica live, end and come back under another id."""
        for lifetime in range(10_000):
            name = f"i-{at}-{lifetime}"
            replica = ScriptedEndpoint(partial(self._run, name))
            async with anyio.create_task_group() as own:
                await own.start(replica.serve)
                self.live[name] = replica
                self.store.put(f"servers/{name}", registration("llm", replica.address))
            del self.live[name]
            tasks.start_soon(self._unlist, name)
            await anyio.sleep(BACK_SECONDS)

    async def _unlist(self, name: str) -> None:
        await anyio.sleep(ENTRY_STAYS_SECONDS)
        self.store.remove(f"servers/{name}")

    async def _run(self, name: str, stream: anyio.abc.SocketStream, taken: Taken) -> None:
        """Answer a request, or end under it."""
        parts = [
            each.partition(":")[0] for each in taken.headers["carawayhub-prompt-prefix"].split(",")
        ]
        if SPOILT in parts:
            entry = stream.extra(anyio.abc.SocketAttribute.remote_address)[0]
            self.arrivals.append((self.clock.monotonic(), entry))
            await anyio.sleep(RUN_SECONDS)
            self.ends.append(self.clock.monotonic())
            self.live[name].end()
            return
        await stream.send(stream_head(taken))
        for number in range(1, EVENTS + 1):
            await anyio.sleep(EVENT_SECONDS)
            await stream.send(chunk(event(number)))
        await stream.send(chunk(b""))

    async def _until_served(self) -> None:
        with anyio.fail_after(30.0):
            for ip in self.ips:
                while not await self._ask(ip, ("a0", "b0"), PartAsk(0.0, False)):
                    await anyio.sleep(0.1)

    async def _ask_on(self, tasks: anyio.abc.TaskGroup, gap: float, spoilt: bool) -> None:
        for at in range(10_000):
            parts = ("a0", SPOILT, f"b{at % 12}") if spoilt else (f"a{at % 3}", f"b{at % 12}")
            ask = PartAsk(self.clock.monotonic(), spoilt)
            self.asks.append(ask)
            tasks.start_soon(self._ask, self.rng.choice(self.ips), parts, ask)
            await anyio.sleep(gap)

    async def _ask(self, ip: str, parts: tuple[str, ...], ask: PartAsk) -> bool:
        """Send a request on a connection of its own; return whether it was served."""
        request = f"{self.rng.getrandbits(64):016x}"
        prompt = ",".join(f"{part}:40" for part in (*parts, request))
        head = request_head("/stream/1", request, KEY, 4000, request.encode())
        added = f"\r\nCarawayhub-Prompt-Prefix: {prompt}\r\n\r\n".encode()
        data = b""
        try:
            with anyio.fail_after(6.0):
                async with await anyio.connect_tcp(ip, FRONT_PORT) as stream:
                    await stream.send(head.replace(b"\r\n\r\n", added, 1))
                    while not data.endswith(b"0\r\n\r\n"):
                        data += await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
            pass
        ask.status = int(data.split()[1]) if data else 0
        ask.whole = data.endswith(b"0\r\n\r\n")
        return ask.status == 200 and ask.whole

    async def _strike(self, until: float) -> None:
        acts = [self._kill, self._pause, self._end_replica, self._end_replica]
        async with anyio.create_task_group() as tasks:
            while self.clock.monotonic() < until:
                act = self.rng.choice(acts)
                self.struck[act.__name__.strip("_")] += 1
                tasks.start_soon(act)
                await anyio.sleep(self.rng.uniform(1.0, 3.0))

    async def _kill(self) -> None:
        ip = self.rng.choice(self.ips)
        began = self.clock.monotonic()
        self.entries[ip].resume()
        self.entries[ip].kill()
        await anyio.sleep(0.5)
        self.entries[ip].start()
        self.disturbed.append((ip, began, self.clock.monotonic() + IN_TOUCH_SECONDS))

    async def _pause(self) -> None:
        ip = self.rng.choice(self.ips)
        began = self.clock.monotonic()
        self.entries[ip].signal(signal.SIGSTOP)
        await anyio.sleep(self.rng.uniform(0.2, 1.5))
        self.entries[ip].resume()
        self.disturbed.append((ip, began, self.clock.monotonic() + IN_TOUCH_SECONDS))

    async def _end_replica(self) -> None:
        """End a replica that begins no request with the part."""
        if self.live:
            self.live[self.rng.choice(sorted(self.live))].end()

    def _check(self) -> None:
        """Hold what callers and replicas saw against the promises."""
        if len(self.ends) < 3:
            self.problems.append(f"only {len(self.ends)} replicas ended for the part")
            return
        late = [each for each in self.arrivals if self._is_late(*each)]
        if len(late) > LATE_SENDS_ALLOWED:
            self.problems.append(f"{len(late)} requests with the part were sent late")
        sound = [each for each in self.asks if not each.spoilt]
        refused = sum(each.status == 400 for each in sound)
        if refused:
            self.problems.append(f"{refused} sound requests were refused for good")
        after = [each for each in sound if each.sent_at > self.ends[2] + 2 * IN_TOUCH_SECONDS]
        served = sum(each.status == 200 and each.whole for each in after)
        if served < SERVED_LEAST * len(after):
            self.problems.append(f"{served} of {len(after)} sound requests were served")

    def _is_late(self, at: float, entry: str) -> bool:
        if len(self.ends) < 5 or at <= self.ends[4] + IN_TOUCH_SECONDS:
            return False
        return not any(ip == entry and began <= at <= until for ip, began, until in self.disturbed)

    def line(self) -> str:
        """Return the outcome in one line."""
        statuses = dict(sorted(Counter(each.status for each in self.asks).items()))
        return f"{len(self.asks)} requests {statuses}, {len(self.ends)} ends for the part"


async def play(seed: int, folder: Path) -> PartSoak:
    """Play one seed and return what became of it."""
    soak = PartSoak(seed, folder)
    await soak.run()
    return soak


if __name__ == "__main__":
    sys.exit(main_of(play, __doc__ or ""))
