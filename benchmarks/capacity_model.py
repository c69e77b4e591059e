"""What each role keeps, sends and spends, as sums of count times slope.

Counts come from the product's own functions at the size in question; slopes are measured by
``benchmarks.capacity_slopes``. Each term names the module that carries it and whether it runs.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from benchmarks.capacity_counts import PLANNED, Counts, Size, counts
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.ledger import LedgerLimits
from carawayhub.agent.reporter import POLL_INTERVAL_SECONDS
from carawayhub.config.model import FleetOptions
from carawayhub.endpoints.watch import EngineWatch
from carawayhub.entry.process import MAX_FULL_MESH_ENTRIES
from carawayhub.fleet.watchers import WATCHERS_PER_FAILURE_DOMAIN
from carawayhub.groups.decider import DeciderOptions
from carawayhub.process.member import EVALUATE_INTERVAL_SECONDS

CALLS_PER_FETCH = 2
POLLS = (EngineWatch.load, EngineWatch.cache_changes)
ENDPOINTS_PER_GROUP = 8
RANKS_PER_GROUP = 64
MANIFEST_FILE_BYTES = 90
PERCENT = 100.0
KB = 1_000.0
KIB = 1_024.0
BLOCKS = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Term:
    """One part of what a role spends.

    Attributes:
        role: Which role.
        what: What it is spent on.
        module: What carries it.
        rate: Times a second.
        us: Processor time of each, in microseconds.
        size: Bytes of each on the wire, both ways, headers included.
        kib: Memory held for it.
        runs: Whether it runs today at this size; else it is designed.
    """

    role: str
    what: str
    module: str
    rate: float = 0.0
    us: float = 0.0
    size: float = 0.0
    kib: float = 0.0
    runs: bool = True

    @property
    def percent(self) -> float:
        """Percent of a core."""
        return self.rate * self.us / 1e6 * PERCENT

    @property
    def kilobytes(self) -> float:
        """Kilobytes a second."""
        return self.rate * self.size / KB


Slopes = dict[str, float]
ENTRY, WATCHER, AGENT, LEADER = "entry", "watching agent", "agent", "agent beside rank 0"


def terms(size: Size, slopes: Slopes) -> list[Term]:
    """Return all terms of all roles; a role that is another with more repeats only the more."""
    found = counts(size)
    full = size.entries > MAX_FULL_MESH_ENTRIES
    return [
        *_entry_terms(size, found, slopes, full),
        *_watcher_terms(size, slopes),
        *_agent_terms(size, found, slopes, full),
        *_leader_terms(slopes),
    ]


def _entry_terms(size: Size, found: Counts, slopes: Slopes, full: bool) -> Iterator[Term]:
    beats = 1 / found.beat
    per_entry = (size.entries + size.agents) / size.entries
    yield Term(
        role=ENTRY,
        what="processes, libraries, configuration",
        module="carawayhub",
        kib=slopes["entry resident, no links"] + (slopes["configuration kept"] if full else 0.0),
    )
    yield Term(
        role=ENTRY,
        what="heartbeats to agents",
        module="peers/links.py, process/exchange.py",
        rate=found.agents * beats,
        us=slopes["agent heartbeat: opening side"],
        size=slopes["agent heartbeat: bytes on the wire"],
        kib=found.agents * slopes["memory of a link: opening side"],
    )
    yield Term(
        role=ENTRY,
        what="heartbeats to entries",
        module="peers/links.py, limits/shares.py",
        rate=found.opened * beats,
        us=slopes["entry heartbeat, 16 demand rows: opening side"],
        size=slopes["entry heartbeat, 16 demand rows: bytes on the wire"],
        kib=found.opened * slopes["memory of a link: opening side"],
    )
    yield Term(
        role=ENTRY,
        what="heartbeats from entries",
        module="peers/server.py, limits/shares.py",
        rate=found.opened * beats,
        us=slopes["entry heartbeat, 16 demand rows: accepting side"],
        size=slopes["entry heartbeat, 16 demand rows: bytes on the wire"],
        kib=found.opened * slopes["memory of a link: accepting side"],
    )
    yield Term(
        role=ENTRY,
        what="division of limits, one tick a heartbeat",
        module="limits/shares.py",
        rate=beats,
        us=slopes["limits tick, planned" if full else "limits tick, today"],
    )
    yield Term(
        role=ENTRY,
        what="rows of endpoints for the audit trail",
        module="entry/process.py",
        rate=beats,
        us=slopes["rows of one endpoint"] * found.agents,
    )
    yield Term(
        role=ENTRY,
        what="a change: read and checked",
        module="config/version.py",
        rate=size.changes,
        us=slopes["change checked"],
    )
    yield Term(
        role=ENTRY,
        what="a change: put in force",
        module="entry/process.py, fleet/linkplan.py",
        rate=size.changes,
        us=slopes["change in force: entry" if full else "change in force: entry, today"],
    )
    yield Term(
        role=ENTRY,
        what="a change: fetched, and given to others",
        module="fleet/sync.py",
        rate=size.changes * CALLS_PER_FETCH * (1 + per_entry) / 2,
        us=(slopes["unary call: calling side"] + per_entry * slopes["unary call: called side"])
        * 2
        / (1 + per_entry),
        size=2 * slopes["unary call: bytes on the wire"],
    )
    yield Term(
        role=ENTRY,
        what="a change: announced by and to entries",
        module="process/member.py",
        rate=size.changes * 2 * found.opened,
        us=(slopes["push: opening side"] + slopes["push: accepting side"]) / 2,
        size=slopes["push: bytes on the wire"],
    )
    yield Term(
        role=ENTRY,
        what="states of peers",
        module="fleet/membership.py",
        rate=1 / EVALUATE_INTERVAL_SECONDS,
        us=slopes["membership, one peer"] * found.links,
    )
    if full:
        yield Term(
            role=ENTRY,
            what="known prefix blocks, at their bound",
            module="routing/prefixes.py",
            kib=slopes["known block"] * BLOCKS,
        )


def _watcher_terms(size: Size, slopes: Slopes) -> Iterator[Term]:
    yield Term(
        role=WATCHER,
        what="manifest read with each version",
        module="fleet/watchers.py, platform/client.py",
        rate=size.changes,
        us=slopes["manifest, one file"] * size.files,
        size=MANIFEST_FILE_BYTES * size.files,
    )


def _agent_terms(size: Size, found: Counts, slopes: Slopes, full: bool) -> Iterator[Term]:
    others = found.keyset - 1
    renewals = others / KeyTiming().renewal(FleetOptions().key_ttl)
    yield Term(
        role=AGENT,
        what="processes, libraries, configuration",
        module="carawayhub",
        kib=slopes["agent resident, no links"] + (slopes["configuration kept"] if full else 0.0),
    )
    yield Term(
        role=AGENT,
        what="heartbeats from entries",
        module="peers/server.py, agent/reporter.py",
        rate=found.openers / found.beat,
        us=slopes["agent heartbeat: accepting side"],
        size=slopes["agent heartbeat: bytes on the wire"],
        kib=found.openers * slopes["memory of a link: accepting side"],
    )
    yield Term(
        role=AGENT,
        what="load and cache events read from the engine",
        module="agent/reporter.py, endpoints/watch.py",
        rate=len(POLLS) / POLL_INTERVAL_SECONDS,
        us=slopes["endpoint poll"],
    )
    yield Term(
        role=AGENT,
        what="a change: read and checked",
        module="config/version.py",
        rate=size.changes,
        us=slopes["change checked"],
    )
    yield Term(
        role=AGENT,
        what="a change: put in force",
        module="agent/keyset.py",
        rate=size.changes,
        us=slopes["change in force: agent" if full else "change in force: agent, today"],
    )
    yield Term(
        role=AGENT,
        what="a change: fetched",
        module="fleet/sync.py",
        rate=size.changes * CALLS_PER_FETCH,
        us=slopes["unary call: calling side"],
        size=2 * slopes["unary call: bytes on the wire"],
    )
    yield Term(
        role=AGENT,
        what="promises on keys, asked and given",
        module="agent/fence.py, agent/keys.py",
        rate=2 * renewals,
        us=(slopes["unary call: calling side"] + slopes["unary call: called side"]) / 2,
        size=slopes["unary call: bytes on the wire"],
        kib=others
        * (slopes["memory of a link: opening side"] + slopes["memory of a link: accepting side"]),
    )
    yield Term(
        role=AGENT,
        what="ledger of run-once requests, at its bound",
        module="agent/ledger.py",
        kib=LedgerLimits().total_bytes / KIB,
    )


def _leader_terms(slopes: Slopes) -> Iterator[Term]:
    options = DeciderOptions()
    reads = 1 / options.watch_interval + RANKS_PER_GROUP / options.full_read_interval
    yield Term(
        role=LEADER,
        what="states of the ranks and counters of experts",
        module="groups/decider.py, agent/rank_client.py",
        rate=reads + 1 / options.decision_interval,
        us=slopes["endpoint poll"],
    )


BASE = {WATCHER: AGENT, LEADER: AGENT}


@dataclass(frozen=True, slots=True)
class Total:
    """What one role spends in all."""

    size: str
    role: str
    percent: float
    kilobytes: float
    mib: float


def totals(size: Size, found: list[Term]) -> list[Total]:
    """Sum the terms by role; a role that is another with more has the other's terms too."""
    rows = []
    for role in (ENTRY, WATCHER, AGENT, LEADER):
        own = [term for term in found if term.role in (role, BASE.get(role))]
        rows.append(
            Total(
                size.name,
                role,
                round(sum(term.percent for term in own), 3),
                round(sum(term.kilobytes for term in own), 2),
                round(sum(term.kib for term in own) / KIB, 1),
            )
        )
    return rows


@dataclass(frozen=True, slots=True)
class Weighed:
    """What the links of an entry would cost with other options."""

    links_per_agent: int
    permit_ttl: float
    links: float
    beat: float
    percent: float
    kilobytes: float


HEARTBEATS = ("heartbeats to agents", "heartbeats to entries", "heartbeats from entries")


def weigh(slopes: Slopes) -> list[Weighed]:
    """Return the cost of heartbeats at the planned size for some options."""
    rows = []
    for links_per_agent in (12, 6, 4):
        for permit_ttl in (2.0, 3.0, 6.0):
            size = replace(PLANNED, links_per_agent=links_per_agent, permit_ttl=permit_ttl)
            found = counts(size)
            own = [
                term for term in _entry_terms(size, found, slopes, True) if term.what in HEARTBEATS
            ]
            rows.append(
                Weighed(
                    links_per_agent,
                    permit_ttl,
                    round(found.links, 1),
                    round(found.beat, 2),
                    round(sum(term.percent for term in own), 2),
                    round(sum(term.kilobytes for term in own), 1),
                )
            )
    return rows


def watchers(size: Size) -> int:
    """Return how many processes watch the service."""
    return WATCHERS_PER_FAILURE_DOMAIN * size.domains


def reads(size: Size) -> float:
    """Return reads a second: each watcher's waiting watch, and a read with each version."""
    return watchers(size) * (1 + size.changes)
