"""Memory of what an entry keeps for the fleet at the planned size, by ``tracemalloc``.

The configuration's own objects are not in it; ``python -m benchmarks.configuration`` has them.
"""

import json
import random
import sys
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.fleet_fakes import FakeNetwork, PlainAcceptor, digest_of
from benchmarks.virtual_time import LoopClock
from benchmarks.virtual_time import run as run_virtual
from carawayhub.fleet.linkplan import AgentNode, LinkPlan, plan
from carawayhub.fleet.manifest import Manifest
from carawayhub.fleet.membership import Member, Membership
from carawayhub.fleet.neighbours import Node
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.vmsync import VmListSync
from carawayhub.platform.ports import ListedVm, VmList, VmState

ENTRIES, AGENTS, DOMAINS, REGIONS, MODELS, LINKS = 780, 5_400, 16, 5, 19, 12
FILES, FILE_BYTES, CHANGES = 500, 3_000, 300
PEERS = 101
MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """What one part takes, in megabytes: kept, and at most while it is worked out."""

    part: str
    kept: float
    peak: float


def run() -> tuple[Row, ...]:
    """Measure each part on its own."""
    return (
        _measure("versions: 500 files of 3 KB, after 300 changes", _versions),
        _measure("VM list of 6,180", _vm_list),
        _measure("members: 101 peers", _members),
        _measure("link plan of an entry", _link_plan),
    )


def _measure(part: str, build: Callable[[], Any]) -> Row:
    build()
    tracemalloc.start()
    kept = build()
    size, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return Row(part=part, kept=round(size / MEGABYTE, 2), peak=round(peak / MEGABYTE, 2))


def _versions() -> ConfigSync:
    sync: ConfigSync = run_virtual(_publish_all)
    return sync


async def _publish_all() -> ConfigSync:
    clock, rng = LoopClock(), random.Random(1)
    peers = FakeNetwork(clock).calls_of("a")
    sync = ConfigSync(peers, PlainAcceptor(), clock, rng)
    contents = _Contents()
    files = {f"{number:05}.json": contents.add(rng) for number in range(FILES)}
    await sync.apply_published(Manifest.of(1, files), contents)
    for version in range(2, 2 + CHANGES):
        files[f"{rng.randrange(FILES):05}.json"] = contents.add(rng)
        await sync.apply_published(Manifest.of(version, files), contents)
    return sync


class _Contents:
    """Gives each content once and forgets it, as a link does."""

    __slots__ = ("_fresh",)

    def __init__(self) -> None:
        self._fresh: dict[str, bytes] = {}

    def add(self, rng: random.Random) -> str:
        content = rng.randbytes(FILE_BYTES)
        digest = digest_of(content)
        self._fresh[digest] = content
        return digest

    async def file(self, digest: str) -> bytes:
        return self._fresh.pop(digest)


def _vm_list() -> VmListSync:
    sync: VmListSync = run_virtual(_take_list)
    return sync


async def _take_list() -> VmListSync:
    clock, rng = LoopClock(), random.Random(1)
    peers = FakeNetwork(clock).calls_of("a")
    sync = VmListSync(peers, _NoDirectory(), lambda: False, clock, rng)
    vms = tuple(
        ListedVm(name=f"vm-{n}", state=VmState.LIVE, failure_domain=f"domain-{n % DOMAINS}")
        for n in range(ENTRIES + AGENTS)
    )
    sync.apply(VmList(number=1, vms=vms))
    return sync


class _NoDirectory:
    __slots__ = ()

    async def vms(self, after: int, wait: float) -> VmList:
        raise AssertionError("the list is given")


def _members() -> Membership:
    members = Membership(LoopClock())
    members.set_peers(Member(f"peer-{n}", f"vm-{n}", f"domain-{n % DOMAINS}") for n in range(PEERS))
    return members


def _link_plan() -> LinkPlan:
    entries = [Node(f"entry-{n}", *_place(n)) for n in range(ENTRIES)]
    agents = [AgentNode(f"agent-{n}", *_place(n), f"model-{n % MODELS}") for n in range(AGENTS)]
    links = plan(agents, entries, LINKS, only="domain-3")
    return LinkPlan({}, {"entry-3": links.agents["entry-3"]})


def _place(number: int) -> tuple[str, str]:
    domain = number % DOMAINS
    return f"domain-{domain}", f"region-{domain % REGIONS}"


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    rows = run()
    if "--json" in argv:
        print(json.dumps([asdict(row) for row in rows]))
        return 0
    print(f"{'part':<50}{'kept MB':>8}{'peak MB':>8}")
    for row in rows:
        print(f"{row.part:<50}{row.kept:>8.2f}{row.peak:>8.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
