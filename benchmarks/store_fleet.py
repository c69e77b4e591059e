"""Entries that follow a store in virtual time: real clients of the store, gossip and content."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import httpcore

from benchmarks.virtual_time import LoopClock, VirtualTimeLoop
from carawayhub.addresses import Address
from carawayhub.gateway.freshness import Bounds
from carawayhub.gateway.ports import ReloadableSettings
from carawayhub.gateway.process import GatewayProcess
from carawayhub.peers.pace import LinkPacer
from carawayhub.platform.headers import PlatformWire
from carawayhub.platform.standin_store import StandinStore, StoreCopy
from carawayhub.platform.standins import configuration, registration
from carawayhub.platform.store import StoreClient
from tests.datagram_net import DatagramNet
from tests.gateway_world import BOUNDS, entry_options

STORE = Address("10.200.1.7", 8223)
CONNECT_SECONDS = 0.001
STORE_SECONDS = 0.004
DATAGRAM_SECONDS = 0.002
LINK_RATE = 125e6
LINK_QUEUE = 10**7
CONFIG_APPLY = BOUNDS.config_apply
IN_TOUCH = 3.0
"""Seconds without a disturbance after which bounds in time hold for an entry again."""

LOOK_SECONDS = 0.05

DRAIN = BOUNDS.drain
HEARTBEAT = 1.2
LEAVING_SECONDS = 8.0
"""Seconds for which the use of an endpoint that left is looked for."""


def _now() -> float:
    return anyio.current_time()


class StoreLine(httpcore.AsyncNetworkStream):
    """A connection of an entry to the store; once silent it carries nothing for good.

    Attributes:
        silent: Whether something between its ends has lost track of it.
        watching: Whether a call that waits for a change is under way.
    """

    def __init__(self, fleet: "StoreFleet", ip: str) -> None:
        self.silent = False
        self.watching = False
        self._fleet = fleet
        self._ip = ip
        self._written = b""
        self._unread = b""
        self._closed = False
        self._changed = anyio.Event()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what the store sent."""
        try:
            with anyio.fail_after(timeout):
                while not self._unread and not self._closed:
                    await self._changed.wait()
        except TimeoutError as exc:
            raise httpcore.ReadTimeout("silent") from exc
        found, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        return found

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Hand a call to the store once its head is whole."""
        self._written += buffer
        head, mark, _ = self._written.partition(b"\r\n\r\n")
        if mark:
            self._written = b""
            self._fleet.start(self._call, head.split(b" ")[1])

    async def aclose(self) -> None:
        """Close the entry's end."""
        self._closed = True
        self._fleet.lines[self._ip].discard(self)
        self._changed.set()

    def get_extra_info(self, info: str) -> Any:
        """Return whether the store closed its end, the one thing that is asked for."""
        return self._closed if info == "is_readable" else None

    async def _call(self, target: bytes) -> None:
        if self.silent or self._ip in self._fleet.cut:
            return
        self._fleet.calls += 1
        path, _, query = target.partition(b"?")
        self.watching = path.endswith(b"watch")
        answer = bytearray()

        async def send(message: dict[str, Any]) -> None:
            if message["type"] == "http.response.start":
                answer.extend(b"HTTP/1.1 %d OK\r\n" % message["status"])
                for name, value in message["headers"]:
                    answer.extend(name + b": " + value + b"\r\n")
                answer.extend(b"\r\n")
            else:
                answer.extend(message["body"])

        await anyio.sleep(STORE_SECONDS)
        scope = {"path": path.decode(), "query_string": query}
        await self._fleet.store(scope, _receive_nothing, send)
        self.watching = False
        if not self.silent and self._ip not in self._fleet.cut:
            self._unread += bytes(answer)
            self._changed.set()
            self._changed = anyio.Event()


async def _receive_nothing() -> dict[str, Any]:
    return {}


class _StoreNet(httpcore.AsyncNetworkBackend):
    """The way from one entry to the store."""

    def __init__(self, fleet: "StoreFleet", ip: str) -> None:
        self._fleet = fleet
        self._ip = ip

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Any = None,
    ) -> StoreLine:
        while self._ip in self._fleet.cut:
            await anyio.sleep(1.0)
        await anyio.sleep(CONNECT_SECONDS)
        line = StoreLine(self._fleet, self._ip)
        self._fleet.lines[self._ip].add(line)
        return line


@dataclass(slots=True)
class Entry:
    """One run of an entry.

    Attributes:
        process: Its parts.
        ran_from: When it started.
        in_force: When each version came into force, in this order.
        tasks: Its tasks.
    """

    process: GatewayProcess
    ran_from: float
    in_force: list[tuple[float, int]] = field(default_factory=list)
    tasks: anyio.abc.TaskGroup | None = None


@dataclass(slots=True)
class Late:
    """A version that an undisturbed entry did not have in force in time.

    Attributes:
        ip: The entry.
        version: The version.
        seconds: Time from its acknowledgement.
    """

    ip: str
    version: int
    seconds: float


@dataclass(slots=True)
class UsedAfterLeaving:
    """An endpoint that an entry used though it was bound by its leaving.

    Attributes:
        ip: The entry.
        endpoint: Number of the endpoint.
        seconds: Time from the acknowledgement of the leaving.
    """

    ip: str
    endpoint: int
    seconds: float


class StoreFleet:
    """Entries, the store that they follow, and disturbances of both.

    Args:
        entries: How many entries.
        seed: Seed of all chance.
        domains: Failure domains.
        lost: Part of the datagrams that is lost.
        bounds: Within how many seconds what is published must hold.
        routes: Routes of each configuration; some 250 fill the datagram of an answer.

    Attributes:
        store: The store.
        lines: Open connections to it by entry.
        cut: Entries whose packets to and from the store vanish.
        deaf: Entries whose datagrams vanish.
        acks: When each version was acknowledged.
        calls: Calls that reached the store.
        used: Endpoints that entries used though they were bound by their leaving.
    """

    def __init__(
        self,
        entries: int,
        seed: int,
        domains: int = 3,
        lost: float = 0.0,
        bounds: Bounds = BOUNDS,
        routes: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.store = StandinStore()
        self.ips = [f"10.{at % domains + 1}.0.{at // domains + 10}" for at in range(entries)]
        self.lines: dict[str, set[StoreLine]] = {ip: set() for ip in self.ips}
        self.cut: set[str] = set()
        self.deaf: set[str] = set()
        self.acks: dict[int, float] = {}
        self.calls = 0
        self.used: list[UsedAfterLeaving] = []
        self._endpoints = 100
        self.live: dict[str, Entry] = {}
        self.runs: list[tuple[str, Entry, float]] = []
        self.disturbed: list[tuple[str, float, float]] = []
        self.tasks: anyio.abc.TaskGroup | None = None
        self._lost = lost
        self._bounds = bounds
        self._version = 0
        self._routes = routes
        self._net = DatagramNet(LINK_RATE, LINK_QUEUE, self.rng, lost)

    def play(self, story: Callable[[], Awaitable[None]]) -> None:
        """Start all entries, and run a story once they follow the store."""

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                self.tasks = self._net.tasks = tasks
                for at in range(6):
                    self.write_endpoint(at)
                self.move_route()
                for ip in self.ips:
                    self.start_entry(ip)
                await anyio.sleep(4.0)
                await story()
                for ip in list(self.live):
                    self.runs.append((ip, self.live.pop(ip), _now()))
                tasks.cancel_scope.cancel()

        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})

    def start(self, function: Callable[..., Any], *args: Any) -> None:
        """Run something beside the story."""
        assert self.tasks is not None
        self.tasks.start_soon(function, *args)

    def move_route(self) -> int:
        """Publish a version in which the route goes to the other service; return the version."""
        self._version += self.rng.randint(1, 3)
        service = ("desk", "hall")[len(self.acks) % 2]
        routes = {"/moved/": ("idempotent", service)}
        routes |= {f"/kept-{at}/": ("idempotent", "desk") for at in range(1, self._routes)}
        self.store.put("op/config", configuration(self._version, ["k1"], routes))
        self.acks[self._version] = _now()
        return self._version

    def start_entry(self, ip: str) -> None:
        """Start an entry that knows nobody."""
        process = self._process(ip)
        entry = self.live[ip] = Entry(process, _now())
        process._view.on_table = lambda _: self._note_table(entry)
        handing = process._handing
        handing._link = self._net.link(ip, handing.answer, LinkPacer(LoopClock(), LINK_RATE))

        async def live() -> None:
            async with anyio.create_task_group() as entry.tasks:
                entry.tasks.start_soon(
                    process._gossip.send_rounds, lambda to, data: self._carry(ip, to, data)
                )
                entry.tasks.start_soon(process._follower.run)
                entry.tasks.start_soon(process._tick)

        self.start(live)

    def _process(self, ip: str) -> GatewayProcess:
        options = entry_options(ip, self.ips, self._bounds)
        client = StoreClient(STORE, backend=_StoreNet(self, ip))
        rng = random.Random(self.rng.random())
        return GatewayProcess(
            options,
            client,
            PlatformWire(),
            LoopClock(),
            rng,
            lambda: ReloadableSettings(options.seeds),
        )

    def _note_table(self, entry: Entry) -> None:
        table = entry.process._view.table
        assert table is not None
        entry.in_force.append((_now(), table.version))

    async def _carry(self, ip: str, to: str, data: bytes) -> None:
        if self.rng.random() >= self._lost and not {ip, to} & self.deaf:
            self.start(self._arrive, to, data)

    async def _arrive(self, to: str, data: bytes) -> None:
        await anyio.sleep(DATAGRAM_SECONDS)
        entry = self.live.get(to)
        if entry is None:
            return
        gossip = entry.process._gossip
        heard = gossip.read(data)
        if heard is not None:
            gossip.take(heard)

    def readers(self) -> list[str]:
        """Return the entries that read the store for all."""
        return [ip for ip, each in self.live.items() if each.process._gossip.is_reader()]

    def silence(self, ip: str) -> None:
        """Let all open connections of an entry to the store go silent; new ones work."""
        for line in self.lines[ip]:
            line.silent = True

    def silence_watches(self, ip: str) -> None:
        """Do the same with the connections alone on which the entry waits for changes."""
        for line in self.lines[ip]:
            line.silent |= line.watching

    async def cut_off(self, ip: str, seconds: float) -> None:
        """Cut an entry off from the store alone for some seconds."""
        began_at = _now()
        self.cut.add(ip)
        self.disturbed.append((ip, began_at, began_at + seconds))
        await anyio.sleep(seconds)
        self.cut.discard(ip)

    async def isolate(self, ip: str, seconds: float) -> None:
        """Cut an entry off from the store and from its peers for some seconds."""
        self.deaf.add(ip)
        await self.cut_off(ip, seconds)
        self.deaf.discard(ip)

    async def return_from(self, copy: StoreCopy, away: float) -> None:
        """Let the store go away for some seconds and return from a copy."""
        began_at = _now()
        self.store.down = True
        await anyio.sleep(away)
        self.store.restore(copy)
        self.store.down = False
        self.disturbed += [(ip, began_at, _now()) for ip in self.ips]

    def write_endpoint(self, at: int, state: str = "ready", born: int = 0) -> None:
        """Write the registration of an endpoint."""
        record = registration("desk", f"10.9.0.{at + 1}:80", state)
        self.store.put(f"servers/i-{at}", record | ({"born": born} if born else {}))

    def users(self, at: int) -> list[str]:
        """Return the entries that may send requests to an endpoint."""
        return [
            ip
            for ip, entry in self.live.items()
            if entry.process._view.endpoint_of(f"i-{at}") is not None
        ]

    async def leave(self, *, drains: bool) -> None:
        """Let a new endpoint leave, and note each entry that uses it though it knows better.

        Args:
            drains: Whether it reports that it leaves; otherwise its registration is removed.
        """
        at, self._endpoints = self._endpoints, self._endpoints + 1
        self.write_endpoint(at)
        await anyio.sleep(1.0)
        while self.store.down:
            await anyio.sleep(LOOK_SECONDS)
        self._write_leaving(at, drains)
        acked_at = _now()
        knew: set[int] = set()
        acted: set[int] = set()
        lost_at: float | None = None
        while _now() < acked_at + LEAVING_SECONDS:
            self._look_for_use(at, acked_at, knew, acted)
            if self.store.down or self._has_left(at, drains):
                lost_at = None
            elif lost_at is None:
                lost_at = _now()
            elif _now() - lost_at > HEARTBEAT * (1.0 if drains else 3.0):
                self._write_leaving(at, drains)
            await anyio.sleep(LOOK_SECONDS)
        self.store.remove(f"servers/i-{at}")

    def _write_leaving(self, at: int, drains: bool) -> None:
        if drains:
            self.write_endpoint(at, "draining")
        else:
            self.store.remove(f"servers/i-{at}")

    def _has_left(self, at: int, drains: bool) -> bool:
        content = self.store.content(f"servers/i-{at}")
        return (content is not None and b"draining" in content) if drains else content is None

    def _look_for_use(self, at: int, acked_at: float, knew: set[int], acted: set[int]) -> None:
        """Note the use of an endpoint by entries that acted on its leaving or should have.

        An entry that does not use an endpoint of which it has not heard acts on nothing.
        """
        for ip, entry in self.live.items():
            uses = entry.process._view.endpoint_of(f"i-{at}") is not None
            if f"i-{at}" in entry.process._view.ids():
                knew.add(id(entry))
            if not uses and id(entry) in knew and entry.ran_from < acked_at:
                acted.add(id(entry))
                continue
            is_due = _now() > acked_at + DRAIN
            calm = self._calm_throughout(ip, entry, acked_at, _now())
            if uses and (id(entry) in acted or (is_due and calm)):
                self.used.append(UsedAfterLeaving(ip, at, round(_now() - acked_at, 2)))

    async def restart(self, ip: str, seconds: float) -> None:
        """End an entry without a word and start it anew after some seconds."""
        entry = self.live.pop(ip, None)
        if entry is None:
            return
        self.disturbed.append((ip, _now(), _now() + seconds))
        self.runs.append((ip, entry, _now()))
        assert entry.tasks is not None
        entry.tasks.cancel_scope.cancel()
        self.lines[ip].clear()
        await anyio.sleep(seconds)
        self.start_entry(ip)

    async def replace_endpoints(self, count: int, gap: float) -> None:
        """Replace endpoints one after the other."""
        for _ in range(count):
            at = self.rng.randrange(6)
            self.store.remove(f"servers/i-{at}")
            self.write_endpoint(at)
            await anyio.sleep(gap)

    def late(self, bound: float = CONFIG_APPLY) -> list[Late]:
        """Return the versions that undisturbed entries did not have in force within a bound."""
        found = []
        for ip, entry, ended_at in self.runs:
            for version, acked_at in self.acks.items():
                in_force_at = self._in_force_at(entry, version, ended_at)
                if self._calm_between(ip, entry, acked_at + bound, in_force_at):
                    found.append(Late(ip, version, round(in_force_at - acked_at, 2)))
        return found

    def delays(self) -> list[float]:
        """Return the seconds from versions acknowledged to in force, at entries that stay calm."""
        found = []
        for ip, entry, ended_at in self.runs:
            for version, acked_at in self.acks.items():
                at = self._in_force_at(entry, version, ended_at)
                if self._calm_throughout(ip, entry, acked_at, at):
                    found.append(at - acked_at)
        return found

    def went_back(self) -> list[str]:
        """Return the entries that put an older version into force after a newer one."""
        return [
            ip
            for ip, entry, _ in self.runs
            if [version for _, version in entry.in_force]
            != sorted(version for _, version in entry.in_force)
        ]

    def _in_force_at(self, entry: Entry, version: int, ended_at: float) -> float:
        return min((at for at, found in entry.in_force if found >= version), default=ended_at)

    def _calm_throughout(self, ip: str, entry: Entry, begin: float, end: float) -> bool:
        """Return whether bounds in time held for an entry all the while between two moments."""
        return entry.ran_from + IN_TOUCH <= begin and not any(
            each == ip and began <= end and begin - IN_TOUCH < ended
            for each, began, ended in self.disturbed
        )

    def _calm_between(self, ip: str, entry: Entry, begin: float, end: float) -> bool:
        """Return whether bounds in time held for an entry at some moment between two."""
        at = max(begin, entry.ran_from + IN_TOUCH)
        while at < end:
            if not any(
                each == ip and began - LOOK_SECONDS <= at and at - IN_TOUCH < ended
                for each, began, ended in self.disturbed
            ):
                return True
            at += LOOK_SECONDS
        return False
