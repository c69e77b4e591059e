"""Fleets of in-process nodes made of the product's own classes, on virtual time.

A node is what one process keeps for the configuration: its synchronisation, its watcher, and a task
for each link it opens, which carries heartbeats as the real links do.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from benchmarks.fleet_fakes import FakeNetwork, FakeService, PlainAcceptor
from benchmarks.virtual_time import OWNER, LoopClock
from carawayhub.errors import PeerError
from carawayhub.fleet.events import SyncEvent, VersionAccepted
from carawayhub.fleet.linkplan import AgentNode, plan
from carawayhub.fleet.manifest import Manifest, VersionId
from carawayhub.fleet.neighbours import Node, gossip_neighbours
from carawayhub.fleet.pace import heartbeat_interval
from carawayhub.fleet.start import Startup
from carawayhub.fleet.sync import NEVER, ConfigSync
from carawayhub.fleet.watchers import Candidate, PlatformWatcher
from carawayhub.peers.messages import EndpointReport, Heartbeat, HeartbeatReply, ServingState

ENTRY_SHARE = 780 / 6_180
LINKS_PER_AGENT = 12
IN_DOMAIN, IN_REGION, FAR = 0.001, 0.002, 0.040
LINK_SILENT = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Size and times of a fleet.

    Attributes:
        nodes: Entries and agents together.
        regions: Regions.
        domains: Failure domains over all regions.
        files: Files of the configuration.
        file_bytes: Size of each.
        heartbeat: Shortest time in seconds between two heartbeats of a link.
        paced: Whether an entry with many links beats each of them less often.
        watch: Whether every node watches the service, for comparison.
        links: Whether nodes keep links.
        announce: Whether an entry tells other entries of a new version at once.
        loss: Share of messages that are lost.
    """

    nodes: int
    regions: int = 5
    domains: int = 16
    files: int = 500
    file_bytes: int = 3_000
    heartbeat: float = 0.5
    paced: bool = True
    watch: bool = False
    links: bool = True
    announce: bool = True
    loss: float = 0.0

    @property
    def entries(self) -> int:
        """How many of the nodes are entries."""
        return max(6, round(self.nodes * ENTRY_SHARE))


@dataclass(slots=True)
class FleetNode:
    """One process.

    Attributes:
        place: Its name, failure domain and region.
        is_entry: Whether it is an entry.
        links: Peers that it opens links to.
        sync: Its configuration.
        watcher: Its reads of the service.
        accepted: Clock readings at which versions came into force.
        ready_at: Clock reading at which it may serve.
        scope: Ends its tasks.
    """

    place: Node
    is_entry: bool
    links: tuple[str, ...]
    sync: ConfigSync
    watcher: PlatformWatcher
    accepted: list[tuple[float, int]] = field(default_factory=list)
    ready_at: float = NEVER
    scope: anyio.CancelScope | None = None


class Fleet:
    """All nodes with the fakes between them.

    Args:
        shape: Size and times.
        seed: Seed of all random choices.
    """

    def __init__(self, shape: Shape, seed: int) -> None:
        self.shape = shape
        self.clock = LoopClock()
        self.rng = random.Random(seed)
        self.service = FakeService(self.clock)
        self.network = FakeNetwork(self.clock, lose=self._lost, delay=self._delay)
        self.nodes: dict[str, FleetNode] = {}
        self.places = list(_places(shape))
        self._links = _links(shape, self.places) if shape.links else {}
        self._served_by = _inverse(self._links)
        self._candidates = _candidates(shape, self.places)
        self._where = {node.name: node for node in self.places}
        self.network.group_of = {node.name: node.region for node in self.places}
        self.heartbeats = 0

    def publish_first(self) -> None:
        """Publish version 1 with all files."""
        contents = {f"{number:05}.json": self._text() for number in range(self.shape.files)}
        self.service.publish(1, contents)

    def publish_change(self) -> int:
        """Publish a version that rewrites one file, and return its number."""
        name = f"{self.rng.randrange(self.shape.files):05}.json"
        self.service.publish(self.service.version + 1, {name: self._text()})
        return self.service.version

    def _text(self) -> bytes:
        """Return the text of one file: endpoints with names and addresses drawn at random."""
        lines = []
        size = 0
        while size < self.shape.file_bytes:
            number = self.rng.randrange(10_000)
            address = f"10.{self.rng.randrange(256)}.{self.rng.randrange(256)}.{number % 256}"
            line = (
                f'"model-{number % 19}-{number}": {{"vm": "vm-{number}", '
                f'"url": "http://{address}:8000", "agent": "{address}:7400", '
                f'"failure_domain": "domain-{number % 16}", "provider": "p{number % 3}"}},\n'
            )
            lines.append(line)
            size += len(line)
        return "".join(lines).encode()[: self.shape.file_bytes]

    async def start(
        self, names: Iterable[str], tasks: anyio.abc.TaskGroup, seeded: bool = False
    ) -> None:
        """Start nodes, empty or with the published version in force."""
        for name in names:
            tasks.start_soon(self._run, await self.place(name, seeded))

    async def place(self, name: str, seeded: bool = False) -> FleetNode:
        """Make a node without starting its tasks."""
        node = self._new_node(self._where[name])
        self.nodes[name] = node
        self.network.syncs[name] = node.sync
        if seeded:
            manifest = Manifest.of(self.service.version, self.service.files)
            await node.sync.apply_published(manifest, _Local(self.service.contents))
        return node

    def stop(self, name: str) -> None:
        """Kill a node; nothing of it remains."""
        node = self.nodes.pop(name)
        del self.network.syncs[name]
        if node.scope is not None:
            node.scope.cancel()

    def names(self, match: Callable[[Node], bool] = lambda node: True) -> list[str]:
        """Return the names of the nodes that match."""
        return [node.name for node in self.places if match(node)]

    def _new_node(self, place: Node) -> FleetNode:
        rng = random.Random(self.rng.random())
        accepted: list[tuple[float, int]] = []

        def report(event: SyncEvent) -> None:
            if isinstance(event, VersionAccepted):
                accepted.append((self.clock.monotonic(), event.id.version))

        calls = self.network.calls_of(place.name)
        sync = ConfigSync(calls, PlainAcceptor(), self.clock, rng, report)
        reader = self.service.reader(place.name)
        watcher = PlatformWatcher(place.name, sync, reader, self.clock, rng)
        watcher.update(self._candidates, fleet_size=self.shape.nodes)
        is_entry = place.name.startswith("entry")
        links = self._links.get(place.name, ())
        return FleetNode(place, is_entry, links, sync, watcher, accepted)

    async def _run(self, node: FleetNode) -> None:
        OWNER.set(node.place.name)
        with anyio.CancelScope() as node.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.sync.run)
                tasks.start_soon(node.watcher.run)
                tasks.start_soon(self._become_ready, node)
                for peer in node.links:
                    tasks.start_soon(self._link, node, peer)
                    if self.shape.announce and peer.startswith("entry"):
                        tasks.start_soon(self._announce, node, peer)

    async def _become_ready(self, node: FleetNode) -> None:
        name = node.place.name
        peers = frozenset(node.links) or frozenset(self._served_by.get(name, ()))
        started = Startup(node.sync, node.watcher, lambda: peers, self.clock)
        await started.run()
        node.ready_at = self.clock.monotonic()

    async def _link(self, node: FleetNode, peer: str) -> None:
        interval = self._interval(node)
        await anyio.sleep(self.rng.uniform(0, interval))
        while True:
            try:
                await self._beat(node, peer)
                await anyio.sleep(interval)
            except PeerError:
                node.sync.remove_peer(peer)
                await anyio.sleep(self.rng.uniform(0.2, LINK_SILENT))

    def _interval(self, node: FleetNode) -> float:
        if not self.shape.paced:
            return self.shape.heartbeat
        gossip = sum(peer.startswith("entry") for peer in node.links)
        return heartbeat_interval(len(node.links) + gossip, self.shape.heartbeat)

    async def _announce(self, node: FleetNode, peer: str) -> None:
        while True:
            await node.sync.changed.wait()
            try:
                await self._beat(node, peer)
            except PeerError:
                continue

    async def _beat(self, node: FleetNode, peer: str) -> None:
        """Send a heartbeat and take its reply."""
        self.heartbeats += 1
        name = node.place.name
        beat = _heartbeat(node.sync)
        beat = self.network.carry(name, peer, beat, Heartbeat)
        await self.network.travel(name, peer)
        other = self.network.reached(peer)
        other.record_peer_version(name, VersionId(beat.version, beat.digest), beat.service_age)
        reply = _reply(other, peer)
        reply = self.network.carry(peer, name, reply, HeartbeatReply)
        await self.network.travel(peer, name)
        node.sync.record_peer_version(
            peer, VersionId(reply.version, reply.digest), reply.service_age
        )

    def _lost(self) -> bool:
        return self.shape.loss > 0 and self.rng.random() < self.shape.loss

    def _delay(self, sender: str, receiver: str) -> float:
        here, there = self._where[sender], self._where[receiver]
        if here.region != there.region:
            return FAR
        return IN_DOMAIN if here.failure_domain == there.failure_domain else IN_REGION


class _Local:
    __slots__ = ("_contents",)

    def __init__(self, contents: dict[str, bytes]) -> None:
        self._contents = contents

    async def file(self, digest: str) -> bytes:
        return self._contents[digest]


def _heartbeat(sync: ConfigSync) -> Heartbeat:
    id, age = sync.in_force, sync.service_age()
    return Heartbeat(sequence=1, version=id.version, digest=id.digest, service_age=age)


def _reply(sync: ConfigSync, name: str) -> HeartbeatReply:
    id, age = sync.in_force, sync.service_age()
    report = None
    if name.startswith("agent"):
        report = EndpointReport(
            endpoint=name, incarnation=2**53, state=ServingState.SERVING, permit=2.0
        )
    return HeartbeatReply(
        sequence=1, version=id.version, digest=id.digest, service_age=age, report=report
    )


def _places(shape: Shape) -> Iterable[Node]:
    for number in range(shape.nodes):
        is_entry = number < shape.entries
        name = f"entry-{number}" if is_entry else f"agent-{number}"
        index = number if is_entry else number - shape.entries
        domain = index % shape.domains
        yield Node(name, f"domain-{domain}", f"region-{domain % shape.regions}")


def _links(shape: Shape, places: list[Node]) -> dict[str, tuple[str, ...]]:
    entries, others = places[: shape.entries], places[shape.entries :]
    agents = [AgentNode(each.name, each.failure_domain, each.region) for each in others]
    planned = plan(agents, entries, LINKS_PER_AGENT)
    return {
        entry.name: (*gossip_neighbours(entry.name, entries), *planned.agents[entry.name])
        for entry in entries
    }


def _inverse(links: dict[str, tuple[str, ...]]) -> dict[str, list[str]]:
    openers: dict[str, list[str]] = {}
    for opener, peers in links.items():
        for peer in peers:
            openers.setdefault(peer, []).append(opener)
    return openers


def _candidates(shape: Shape, places: list[Node]) -> list[Candidate]:
    if shape.watch:
        # Alone in its failure domain, each is among the few that watch there.
        return [Candidate(node.name, node.name) for node in places]
    return [
        Candidate(node.name, node.failure_domain, has_spare_capacity=node.name.startswith("agent"))
        for node in places
    ]
