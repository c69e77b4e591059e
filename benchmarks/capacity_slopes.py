"""Fresh slopes for the capacity page, each from a short run of the product's own code."""

import asyncio
import json
import subprocess
import sys
import threading
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from statistics import median

import msgspec
import uvloop

from benchmarks import limits, links
from benchmarks.configuration import full_size_files
from benchmarks.fakes import fake_configuration
from carawayhub.agent.keyset import KeySets
from carawayhub.clock import SystemClock
from carawayhub.config.model import Configuration, Limits
from carawayhub.config.version import Accepted, HighWater
from carawayhub.endpoints.watch import EngineWatch
from carawayhub.fleet.linkplan import plan_key
from carawayhub.fleet.manifest import Manifest
from carawayhub.fleet.membership import Member, Membership
from carawayhub.fleet.neighbours import entry_nodes, gossip_neighbours
from carawayhub.fleet.watchers import Candidate
from carawayhub.limits.admission import Admission
from carawayhub.peers.links import peer_key
from carawayhub.peers.messages import CacheEvents, EndpointReport, ProcessRole, ServingState
from carawayhub.platform.ports import ListedVm, PublishedManifest, VmList, VmState
from carawayhub.routing.prefixes import KnownBlocks
from carawayhub.routing.router import Router

US = 1e6
KIB = 1_024.0
MIB = 1_024.0 * 1_024.0
ROUNDS = 5
POLLS = 200
BLOCKS = 20_000
PEERS = 100
FILES = 500
MANY = "one new step file after 3000 others, median processor time"
HEARD = 80
RESIDENT = (
    "import {module}\n"
    "print(next(line.split()[1] for line in open('/proc/self/status') if 'VmRSS' in line))"
)
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
LOAD = b'{"running": 12, "queued": 1, "capacity": 64, "step_seconds": 0.006, "tokens_rate": 4000.0}'


def measure(windows: int = 3) -> dict[str, float]:
    """Return all slopes by name: microseconds, bytes or KiB."""
    slopes = links.slopes(links.run(windows))
    slopes.update(_configuration())
    slopes.update(_changes())
    slopes.update(_memory())
    slopes.update(_smaller())
    return slopes


def _configuration() -> dict[str, float]:
    command = [sys.executable, "-m", "benchmarks.configuration", "--json"]
    done = subprocess.run(command, capture_output=True, timeout=90, check=True)
    rows = {row["name"]: row["value"] for row in json.loads(done.stdout)}
    gained = rows["first load, resident memory gained"] * 1e6
    return {
        "change checked": rows[MANY] * 1_000,
        "configuration kept": gained / KIB,
    }


def full_size() -> Configuration:
    """Return a configuration of the planned size."""
    verdict = HighWater().offer(1, full_size_files(0))
    if not isinstance(verdict, Accepted):
        raise RuntimeError(f"the configuration was not accepted: {verdict}")
    return verdict.configuration


def _changes() -> dict[str, float]:
    cfg = full_size()
    small = fake_configuration(15, 7, {f"org-{number}": Limits() for number in range(10)})
    return {
        "change in force: entry": _entry_change(cfg),
        "change in force: agent": _agent_change(cfg),
        "change in force: entry, today": _entry_change(small),
        "change in force: agent, today": _agent_change(small),
        "rows of one endpoint": _rows(cfg),
    }


def _entry_change(cfg: Configuration) -> float:
    """Measure what an entry does for a version beyond checking it."""
    own = next(iter(cfg.entries.values()))
    vms = _vm_list(cfg)
    clock, rng = SystemClock(), Random(1)
    router = Router(clock, rng, own.failure_domain, own.region)
    admission = Admission(clock, rng, own.name)
    return (
        _us(lambda: router.configure(cfg))
        + _us(lambda: admission.configure(cfg))
        + _us(lambda: plan_key(cfg, vms, own.name))
        + _us(lambda: gossip_neighbours(own.name, entry_nodes(cfg, vms, own.name)))
        + _us(lambda: {vm.name for vm in vms.vms if vm.state is VmState.LEAVING})
        + _agent_change(cfg)
    )


def _agent_change(cfg: Configuration) -> float:
    """Measure what every process does for a version that moves no member of a key set."""
    kept = KeySets()
    changed = replace(cfg, endpoints=dict(cfg.endpoints))
    kept.of(cfg)
    keys = _us(lambda: (kept.of(changed), kept.of(cfg))) / 2
    known = _candidates(cfg)
    return keys + _us(lambda: _candidates(cfg) == known)


def _candidates(cfg: Configuration) -> tuple[Candidate, ...]:
    """Return who may watch, as ``carawayhub.process.member`` does for each version."""
    entries = (
        Candidate(peer_key(ProcessRole.ENTRY, entry.name), entry.failure_domain)
        for entry in cfg.entries.values()
    )
    agents = (
        Candidate(
            peer_key(ProcessRole.AGENT, node.name), node.failure_domain, has_spare_capacity=True
        )
        for node in cfg.endpoints.values()
    )
    return (*entries, *agents)


def _rows(cfg: Configuration) -> float:
    clock = SystemClock()
    router = Router(clock, Random(1), "", "")
    router.configure(cfg)
    for name in list(cfg.endpoints)[:HEARD]:
        report = EndpointReport(
            endpoint=name, incarnation=1, state=ServingState.SERVING, permit=1e6, capacity=64
        )
        router.observe(report, clock.monotonic())
    return _us(lambda: router.states(reported_only=True)) / HEARD


def _vm_list(cfg: Configuration) -> VmList:
    names = [entry.vm for entry in cfg.entries.values()]
    names += [endpoint.vm for endpoint in cfg.endpoints.values()]
    return VmList(number=1, vms=tuple(ListedVm(name=n, state=VmState.LIVE) for n in names))


def _memory() -> dict[str, float]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    rng = Random(2)
    known = KnownBlocks()
    blocks = tuple(rng.getrandbits(63) for _ in range(BLOCKS))
    known.observe(CacheEvents(first=1, added=blocks), BLOCKS)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return {
        "known block": held / BLOCKS / KIB,
        "entry resident, no links": _resident("carawayhub.entry.process, uvloop"),
        "agent resident, no links": _resident("carawayhub.agent.process, uvloop"),
    }


def _resident(module: str) -> float:
    command = [sys.executable, "-c", RESIDENT.format(module=module)]
    return float(subprocess.run(command, capture_output=True, timeout=20, check=True).stdout)


def _smaller() -> dict[str, float]:
    names = [f"{number:05d}.json" for number in range(FILES)]
    published = PublishedManifest(version=2, files=dict.fromkeys(names, 64 * "a"))
    text = msgspec.json.encode(published)

    def manifest() -> object:
        read = msgspec.json.decode(text, type=PublishedManifest)
        return Manifest.of(read.version, read.files)

    members = Membership(SystemClock(), lambda change: None)
    members.set_peers(Member(f"peer-{n}", f"vm-{n}", f"domain-{n % 16}") for n in range(PEERS))
    return {
        "manifest, one file": _us(manifest) / FILES,
        "membership, one peer": _us(members.evaluate) / PEERS,
        "limits tick, today": limits.run_cost(7, 10).tick_us,
        "limits tick, planned": limits.run_cost(780, 380, rounds=20).tick_us,
        "endpoint poll": _poll(),
    }


def _us(work: Callable[[], object]) -> float:
    """Return the median processor time of a call in microseconds."""
    spent = []
    for _ in range(ROUNDS):
        begin = time.process_time()
        work()
        spent.append(time.process_time() - begin)
    return US * median(spent)


def _poll() -> float:
    """Measure one reading of an engine over HTTP; the engine is a fixed answer in a thread."""
    with _engine() as port:
        return uvloop.run(_read(f"http://127.0.0.1:{port}"))


async def _read(url: str) -> float:
    watch = EngineWatch(url)
    for _ in range(10):
        await watch.load()
    begin = time.thread_time()
    for _ in range(POLLS):
        await watch.load()
    spent = time.thread_time() - begin
    await watch.close()
    return US * spent / POLLS


@contextmanager
def _engine() -> Iterator[int]:
    loop = asyncio.new_event_loop()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(ANSWER % (len(LOAD), LOAD))
        except asyncio.IncompleteReadError:
            writer.close()

    server = loop.run_until_complete(asyncio.start_server(answer, "127.0.0.1", 0))
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
