"""Entries before replicas that some requests end, in virtual time: whole requests, no sockets.

Each entry is the product's own process but for its sockets: datagrams of entries pass a network
that may lose them, requests reach replicas (``request_replicas``) over connections in memory.
"""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import httpcore

from benchmarks.named_limits import NamedLimits
from benchmarks.request_replicas import Line, Replica, Sent, Told
from benchmarks.virtual_time import LoopClock, run
from carawayhub.constants import CODE_HEADER
from carawayhub.gateway.hello import Phase
from carawayhub.gateway.model import Organisation, Repeat, Route, RouteTable
from carawayhub.gateway.ports import (
    Change,
    EndpointPublished,
    ForwardedContent,
    Published,
    ReloadableSettings,
    TablePublished,
)
from carawayhub.gateway.process import GatewayProcess
from carawayhub.gateway.revision import Eras, Revision
from carawayhub.limits.fingerprint import RequestTraits, fingerprint
from carawayhub.platform.headers import PlatformWire
from carawayhub.standins.stated import Stated, StatedArrival
from tests.gateway_world import KEY, entry_options, route, table

IN_TOUCH = 3.0
"""Seconds after a start or a cut from which on an entry counts as in touch."""

BACK_SECONDS = 3.0
STALL_SECONDS = 1.5
FORM_SECONDS = 0.6
DATAGRAM_SECONDS = 0.002
CONNECT_SECONDS = 0.001
DOMAINS = 5

COLD_OVERAGE = 1.5
COLD_SLACK = 5.0
COLD_SECONDS = 3.0


class _Net(httpcore.AsyncNetworkBackend):
    """The way from one entry to the replicas."""

    def __init__(self, fleet: "RequestFleet", entry: str, run: str) -> None:
        self._fleet = fleet
        self._entry = entry
        self._run = run

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Any = None,
    ) -> Line:
        await anyio.sleep(CONNECT_SECONDS)
        replica = self._fleet.by_host[host]
        if not replica.listens:
            raise httpcore.ConnectError("refused") from ConnectionRefusedError()
        line = Line(replica, self._entry, self._run)
        replica.lines[line] = None
        return line

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)


class _Mirror:
    """Published content that nobody hands on."""

    revision = Revision()
    version = -1

    def encode_after(self, revision: Revision, version: int = -1) -> bytes | None:
        """Return nothing."""
        return None

    def take(self, data: bytes) -> ForwardedContent | None:
        """Take nothing."""
        return None


class _State:
    """A store that nobody asks: what is published reaches the entries' views directly."""

    mirror = _Mirror()
    eras = Eras()

    async def snapshot(self) -> Published:
        """Return nothing."""
        return Published(revision=Revision(0, 0), changes=())

    async def changes(self, after: Revision, wait: float) -> Published | None:
        """Return nothing."""
        return None

    async def revision(self) -> Revision:
        """Return the first revision."""
        return Revision()

    async def check_reachable(self) -> None:
        """Do nothing."""


@dataclass(slots=True)
class _Entry:
    process: GatewayProcess
    disturbed_until: float
    tasks: anyio.abc.TaskGroup | None = None


class _Call:
    """One request as the ASGI server would hand it over, and what comes back.

    Args:
        told: Takes what the caller gets.
        content: Body of the request.

    Attributes:
        left: Set when the caller leaves.
        heard_at: When the caller heard something last.
    """

    def __init__(self, told: Told, content: bytes) -> None:
        self.left = anyio.Event()
        self.heard_at = _now()
        self._told = told
        self._asked = [{"type": "http.request", "body": content, "more_body": False}]

    async def receive(self) -> dict[str, Any]:
        if self._asked:
            return self._asked.pop()
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        told = self._told
        self.heard_at = _now()
        if message["type"] == "http.response.start":
            headers = dict(message["headers"])
            told.status = message["status"]
            told.code = int(headers.get(CODE_HEADER, b"0"))
            told.retry_after = float(headers.get(b"retry-after", b"-1"))
            return
        if message["body"] and not told.first_at:
            told.first_at = _now()
        told.events += message["body"].count(b"id: ")
        told.whole = not message.get("more_body", False)


@dataclass(slots=True)
class RequestFleet:
    """Entries and replicas.

    Attributes:
        entries: Number of entries.
        groups: Number of groups.
        ranks: Ranks of each.
        seed: Seed of all chance.
        lost: Part of the entries' datagrams that is lost.
        places: Requests that a rank runs at once.
        events: Events of an answer.
        event_seconds: Seconds between two of them.
        first_seconds: Seconds more before the first one.
        back_seconds: Seconds for which a rank that ended is away.
        wasted: Requests that reached a group which stood still.
        stalls: Whether ranks hold what comes until their group has noticed its loss.
        tells_groups: Whether ranks register whether their group stands.
        unframed: Whether streams have neither a length nor chunks and end with their connection.
        plain: Whether the replicas are those of a plain service and not ranks.
        domains: Failure domains of the replicas.
        regions: Region of each failure domain.
        entry_regions: Region of each entry's failure domain, empty if unknown.
        organisation: Organisation of all requests, None for that of the default configuration.
        allowed: Regions in which requests of the route may run, empty for any.
        ending: Contents that end each replica that begins them.
        ending_parts: Parts of prompts that end each replica that begins a request with them.
        part_ends: When replicas ended for one of these parts.
        cut: Entries whose datagrams are all lost.
        sent: Requests that reached replicas.
        ends: When replicas ended, by each content that they were running.
        told: What callers got.
        limits: Rate limits that replicas name, and to whom they named them.
        cold_rate: Requests a second that a cold replica accepts, 0 where none is ever cold.
        cold_until: Until when lifetimes of replicas are cold, by id.
        stated: Backoffs and leavings that replicas state, and what reached them.
        starts: Starts of entries so far.
        lifted: Fingerprints that an operator lists in the settings.
        asked_at: When each content was last asked for.
    """

    entries: int = 7
    groups: int = 1
    ranks: int = 12
    seed: int = 1
    lost: float = 0.0
    places: int = 6
    events: int = 10
    event_seconds: float = 0.05
    first_seconds: float = 0.0
    back_seconds: float = BACK_SECONDS
    wasted: int = 0
    stalls: bool = False
    tells_groups: bool = False
    unframed: bool = False
    plain: bool = False
    domains: int = 1
    regions: dict[str, str] = field(default_factory=dict)
    entry_regions: dict[str, str] = field(default_factory=dict)
    organisation: Organisation | None = None
    allowed: frozenset[str] = frozenset()
    ending: set[bytes] = field(default_factory=set)
    ending_parts: set[bytes] = field(default_factory=set)
    part_ends: dict[bytes, list[float]] = field(default_factory=dict)
    cut: set[str] = field(default_factory=set)
    sent: list[Sent] = field(default_factory=list)
    ends: dict[bytes, list[float]] = field(default_factory=dict)
    told: list[Told] = field(default_factory=list)
    limits: NamedLimits = field(default_factory=NamedLimits)
    cold_rate: float = 0.0
    cold_until: dict[str, float] = field(default_factory=dict)
    stated: Stated = field(default_factory=Stated)
    starts: int = 0
    lifted: frozenset[bytes] = frozenset()
    asked_at: dict[str, float] = field(default_factory=dict)
    rng: random.Random = field(default_factory=random.Random)
    closed_until: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    stalled_until: defaultdict[int, float] = field(default_factory=lambda: defaultdict(float))
    epochs: Counter[int] = field(default_factory=Counter)
    formed: defaultdict[int, bool] = field(default_factory=lambda: defaultdict(lambda: True))
    by_host: dict[str, Replica] = field(default_factory=dict)
    live: dict[str, _Entry] = field(default_factory=dict)
    revision: int = 1
    tasks: anyio.abc.TaskGroup | None = None

    @property
    def ips(self) -> list[str]:
        """IP numbers of all entry VMs, whether their entries live or not."""
        return [f"10.{at % DOMAINS + 1}.0.{at // DOMAINS + 10}" for at in range(self.entries)]

    def play(self, story: Callable[[], Awaitable[None]]) -> None:
        """Start everything and run a story once the entries know each other."""
        self.rng.seed(self.seed)
        for at in range(self.groups * self.ranks):
            replica = Replica(self, at, at % self.groups)
            self.by_host[replica.address.host] = replica

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                for ip in self.ips:
                    self.start_entry(ip)
                await anyio.sleep(IN_TOUCH + 1.0)
                await story()
                tasks.cancel_scope.cancel()

        run(main)

    def start(self, function: Callable[..., Coroutine[Any, Any, Any]], *args: Any) -> None:
        """Run something beside the story."""
        assert self.tasks is not None
        self.tasks.start_soon(function, *args)

    def start_entry(self, ip: str) -> None:
        """Start an entry that knows nobody."""
        options = replace(entry_options(ip, self.ips), regions=self.regions | self.entry_regions)
        if self.cold_rate:
            options = replace(options, cold_overage=COLD_OVERAGE, cold_slack=COLD_SLACK)
        rng = random.Random(self.rng.random())
        process = GatewayProcess(
            options,
            _State(),
            PlatformWire(),
            LoopClock(),
            rng,
            lambda: ReloadableSettings(options.seeds, self.lifted),
        )
        self.starts += 1
        process._upstream._backend = _Net(self, ip, f"{ip}/{self.starts}")
        listed = [EndpointPublished(each.endpoint()) for each in self.by_host.values()]
        table_published = TablePublished(self.table(1))
        process._view.replace(
            Published(revision=Revision(0, 1), changes=(table_published, *listed))
        )
        process._gossip.set_phase(Phase.READY)
        entry = self.live[ip] = _Entry(process, _now() + IN_TOUCH)

        async def live() -> None:
            if self.live.get(ip) is not entry:
                return
            async with anyio.create_task_group() as entry.tasks:
                entry.tasks.start_soon(
                    process._gossip.send_rounds, lambda to, data: self._carry(ip, to, data)
                )
                entry.tasks.start_soon(process._tick)
                entry.tasks.start_soon(self._confirm, process)

        self.start(live)

    def table(self, version: int) -> RouteTable:
        """Return a configuration with the allowed regions as they are now.

        Its second route has the same service and no list.
        """
        config = table(version, replace(self._route(), regions=self.allowed))
        if self.allowed:
            config.add(replace(self._route(), name="anywhere", prefix="/anywhere/"))
        if self.organisation is not None:
            config.organisations = {KEY: self.organisation}
        if self.cold_rate:
            config.services = {
                name: replace(each, cold_seconds=COLD_SECONDS, cold_rate=self.cold_rate)
                for name, each in config.services.items()
            }
        return config

    def cold_left(self, replica_id: str) -> float:
        """Return the seconds for which a lifetime of a replica stays cold."""
        return max(0.0, self.cold_until.get(replica_id, 0.0) - _now())

    def _route(self) -> Route:
        if self.plain:
            return route(service="plain", repeat=Repeat.IDEMPOTENT, attempts=2)
        return route(attempts=2)

    async def _confirm(self, process: GatewayProcess) -> None:
        while True:
            process._view.confirm(_now())
            await anyio.sleep(0.5)

    def kill_entry(self, ip: str) -> None:
        """End an entry without a word."""
        entry = self.live.pop(ip)
        if entry.tasks is not None:
            entry.tasks.cancel_scope.cancel()

    def restart_entry(self, ip: str) -> None:
        """End an entry and start it anew."""
        self.kill_entry(ip)
        self.start_entry(ip)

    async def cut_entry(self, ip: str, seconds: float) -> None:
        """Let all datagrams of an entry be lost for some seconds."""
        self.cut.add(ip)
        self.live[ip].disturbed_until = math.inf
        await anyio.sleep(seconds)
        self.cut.discard(ip)
        self.live[ip].disturbed_until = _now() + IN_TOUCH

    async def _carry(self, ip: str, to: str, data: bytes) -> None:
        if self.rng.random() >= self.lost and not {ip, to} & self.cut:
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

    def publish(self, *changes: Change) -> None:
        """Let all entries know of changes."""
        self.revision += 1
        for each in self.live.values():
            each.process._view.extend(
                Published(revision=Revision(0, self.revision), changes=changes)
            )

    def domain_of(self, replica_id: str) -> str:
        """Return the failure domain of a replica."""
        return next(each.domain for each in self.by_host.values() if each.id == replica_id)

    def note_sent(
        self, replica: Replica, line: Line, content: bytes, parts: tuple[bytes, ...]
    ) -> None:
        """Note that a request reached a replica."""
        now = _now()
        live = self.live.get(line.entry)
        in_touch = live is not None and now >= live.disturbed_until
        self.sent.append(Sent(now, line.entry, in_touch, content, replica.id, parts))
        arrival = StatedArrival(now, line.run, replica.id, content.decode())
        self.stated.arrivals.append(arrival)

    def note_part_ends(self, parts: tuple[bytes, ...]) -> None:
        """Note that a replica ends for a part of a prompt."""
        for part in self.ending_parts.intersection(parts):
            self.part_ends.setdefault(part, []).append(_now())

    def note_ended(self, replica: Replica) -> None:
        """Note that a replica ended, and break its group."""
        now = _now()
        for content in sorted(set(replica.running.values())):
            self.ends.setdefault(content, []).append(now)
        group = replica.group
        self.closed_until[group] = now + self.back_seconds + FORM_SECONDS
        self.stalled_until[group] = now + STALL_SECONDS
        self.start(self._stall, replica)

    async def _stall(self, replica: Replica) -> None:
        await anyio.sleep(STALL_SECONDS)
        for each in self.by_host.values():
            if each.group == replica.group:
                each.break_off()
        if not self.tells_groups:
            return
        self.formed[replica.group] = False
        self._publish_group(replica)
        lost_until = self.closed_until[replica.group]
        await anyio.sleep(lost_until - _now())
        if self.closed_until[replica.group] > lost_until:
            return
        self.epochs[replica.group] += 1
        self.formed[replica.group] = True
        self._publish_group(replica)

    def _publish_group(self, replica: Replica) -> None:
        self.publish(*(EndpointPublished(each.endpoint()) for each in replica.ranks_listening()))

    async def ask(
        self,
        content: bytes,
        ip: str = "",
        path: bytes = b"/songs/1",
        deadline: float = 8.0,
        patience: float = math.inf,
        parts: tuple[bytes, ...] = (),
    ) -> Told:
        """Send a request to an entry, any one that lives if none is named.

        Args:
            content: Its body.
            ip: The entry.
            path: Its path.
            deadline: Seconds for which the caller says that it waits.
            patience: Seconds without an event after which it leaves.
            parts: Ids of the parts of its prompt, before its own.
        """
        told = Told(content, _now())
        self.told.append(told)
        self.asked_at[content.decode()] = told.asked_at
        up = sorted(name for name, each in self.live.items() if each.tasks is not None)
        if not up:
            return told
        entry = self.live[ip or self.rng.choice(up)]
        call = _Call(told, content)
        done = anyio.Event()

        async def serve() -> None:
            try:
                await entry.process._app(
                    self._scope(content, path, deadline, parts), call.receive, call.send
                )
            finally:
                done.set()

        assert entry.tasks is not None
        entry.tasks.start_soon(serve)
        while not done.is_set():
            with anyio.move_on_after(max(0.0, call.heard_at + patience - _now())):
                await done.wait()
            if not done.is_set() and _now() >= call.heard_at + patience:
                call.left.set()
                await done.wait()
        told.seconds = _now() - told.asked_at
        return told

    def _scope(
        self, content: bytes, path: bytes, deadline: float, parts: tuple[bytes, ...]
    ) -> dict[str, Any]:
        request = f"{self.rng.getrandbits(64):016x}".encode()
        prompt = b",".join(b"%s:40" % part for part in (*parts, request))
        return {
            "type": "http",
            "method": "POST",
            "raw_path": path,
            "query_string": b"",
            "headers": [
                (b"host", b"caraway.example"),
                (b"carawayhub-request-id", request),
                (b"carawayhub-request-deadline", b"%d" % (deadline * 1000)),
                (b"carawayhub-token-counts", b"600,140"),
                (b"carawayhub-prompt-prefix", prompt),
                (b"authorization", b"Bearer " + KEY.encode()),
                (b"content-length", str(len(content)).encode()),
            ],
        }

    def traits(self, content: bytes) -> RequestTraits:
        """Return how entries name a request with this body and no shared parts."""
        found = fingerprint("armor", "POST", "caraway.example", b"/songs/1", content)
        return RequestTraits(found)

    def late_sends(self, content: bytes, after: int = 3, slack: float = IN_TOUCH) -> list[Sent]:
        """Return the sends by entries in touch, ``slack`` after a content's third end."""
        ends = self.ends.get(content, [])
        if len(ends) < after:
            return []
        since = ends[after - 1] + slack
        return [
            each
            for each in self.sent
            if each.content == content and each.at > since and each.in_touch
        ]

    def late_part_sends(self, part: bytes, after: int = 5, slack: float = IN_TOUCH) -> list[Sent]:
        """Return the sends by entries in touch, ``slack`` after the fifth end for a part."""
        ends = self.part_ends.get(part, [])
        if len(ends) < after:
            return []
        since = ends[after - 1] + slack
        return [
            each for each in self.sent if part in each.parts and each.at > since and each.in_touch
        ]


def _now() -> float:
    return anyio.current_time()
