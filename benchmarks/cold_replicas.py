"""Entries before replicas that are cold: how many requests these get in a second.

    python -m benchmarks.cold_replicas [--entries N ...] [--seeds N] [--kind steady|return|...]

Each play is a seeded history of real entries in virtual time. The requests that reach a cold
replica in any second are compared with the bound. The exit code is 1 where it was exceeded.
"""

import argparse
import random
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from unittest.mock import patch

import anyio
import msgspec
from loguru import logger

from benchmarks.named_limits import Arrival
from benchmarks.request_fleet import COLD_OVERAGE, COLD_SECONDS, COLD_SLACK, RequestFleet
from benchmarks.request_replicas import Replica
from carawayhub.clock import ManualClock
from carawayhub.gateway.coldreplicas import MAX_ADDED_PER_DECISION, ColdReplicas
from carawayhub.gateway.ports import DomainEvacuated, EndpointPublished, EvacuationEnded, Source
from carawayhub.gateway.revision import Revision
from carawayhub.limits.coldquota import ORDERS, STARTING_SECONDS, ColdQuotas
from carawayhub.output.tables import write_table
from tests.gateway_world import endpoint, table

SIZES = (7, 45, 98)
COST_SIZES = ((7, 15), (98, 192), (780, 5400))
"""Entries, and endpoints of one service before them."""

RATE = 26.0
BOUND = RATE * COLD_OVERAGE + COLD_SLACK
DOMAINS = 3
PLAY_SECONDS = 12.0
STEADY_SECONDS = 8.0
SETTLE_SECONDS = 2.0
"""Seconds after a replica turned cold from which on the use of its rate is measured."""

TURN_SECONDS = 1.0
"""Seconds after a warm replica turned cold from which on windows count. Before, arrivals include
those of requests that were sent to it while it was warm."""


class Kind(Enum):
    """What makes replicas cold."""

    STEADY = "steady"
    RETURN = "return"
    RESTART = "restart"
    AGAIN = "again"


@dataclass(frozen=True, slots=True, kw_only=True)
class History:
    """One play.

    Attributes:
        entries: Number of entries.
        seed: Seed of all chance.
        kind: What makes replicas cold.
        replicas: Number of replicas.
        demand: Requests of callers a second.
        troubles: Whether entries start anew and are cut off.
        lost: Part of the datagrams that is lost.
        plain: Whether the replicas are those of a plain service and not ranks of one group.
        limit: Requests a second that replicas announce as their limit, 0 for none.
        lead: Seconds for which entries run before the play.
    """

    entries: int
    seed: int
    kind: Kind = Kind.STEADY
    replicas: int = 3
    demand: float = 200.0
    troubles: bool = False
    lost: float = 0.03
    plain: bool = True
    limit: float = 0.0
    lead: float = STARTING_SECONDS


class Played(msgspec.Struct, kw_only=True):
    """What came of a play.

    Attributes:
        entries: Number of entries.
        seed: Its seed.
        kind: What made replicas cold.
        exceeded: Windows above the bound.
        worst: Most requests in a window.
        limits_exceeded: Windows above the bound of announced limits.
        used: Part of the rate that was used, over all cold replicas.
        served: Part of the callers that got whole answers.
    """

    entries: int
    seed: int
    kind: str
    exceeded: int
    worst: int
    limits_exceeded: int
    used: float
    served: float


class Cost(msgspec.Struct, kw_only=True):
    """What an entry pays while all endpoints of a service are cold.

    Attributes:
        entries: Number of entries.
        endpoints: Endpoints of the service.
        ranking_us: Microseconds that a decision takes which ranks the entries for some of them.
        decision_us: Microseconds that each later decision takes.
        update_us: Microseconds to update the set of entries, four times a second.
    """

    entries: int
    endpoints: int
    ranking_us: float
    decision_us: float
    update_us: float


@dataclass(frozen=True, slots=True)
class _Phase:
    """Time in which a replica is cold."""

    replica: str
    since: float
    until: float


class _Play:
    """One play of a history.

    Args:
        history: The history.
    """

    def __init__(self, history: History) -> None:
        self.history = history
        self.rng = random.Random(f"cold-{history.entries}-{history.seed}")
        self.phases: list[_Phase] = []
        self.fleet = RequestFleet(
            entries=history.entries,
            groups=history.replicas if history.plain else 1,
            ranks=1 if history.plain else history.replicas,
            seed=history.seed,
            lost=history.lost,
            places=60,
            events=3,
            plain=history.plain,
            domains=DOMAINS,
            cold_rate=RATE,
        )

    def run(self) -> Played:
        """Play it."""
        self.fleet.play(self._story)
        return self._result()

    async def _story(self) -> None:
        await anyio.sleep(self.history.lead)
        self.fleet.start(self._callers)
        if self.history.troubles:
            self.fleet.start(self._trouble)
        match self.history.kind:
            case Kind.STEADY:
                self._turn_cold(list(self.fleet.by_host.values())[:1], STEADY_SECONDS)
                await anyio.sleep(STEADY_SECONDS)
            case Kind.RETURN:
                await self._evacuate()
            case Kind.RESTART:
                await self._restart()
            case Kind.AGAIN:
                await anyio.sleep(2.0)
                self._turn_cold(list(self.fleet.by_host.values()), COLD_SECONDS)
                await anyio.sleep(COLD_SECONDS)

    def _turn_cold(self, replicas: Sequence[Replica], seconds: float) -> None:
        now = anyio.current_time()
        for each in replicas:
            self.fleet.cold_until[each.id] = now + seconds
            turn = TURN_SECONDS if self.history.kind is Kind.AGAIN else 0.0
            self.phases.append(_Phase(each.id, now + turn, now + seconds))
            if self.history.limit:
                self.fleet.limits.name(each.id, self.history.limit, now)
        self.fleet.publish(*(EndpointPublished(each.endpoint()) for each in replicas))

    async def _evacuate(self) -> None:
        """Let a whole domain return at once, twice."""
        for _ in range(2):
            self.fleet.publish(DomainEvacuated("d0", Revision(0, self.fleet.revision + 1)))
            await anyio.sleep(2.0)
            now = anyio.current_time()
            for each in self.fleet.by_host.values():
                if each.domain == "d0":
                    self.fleet.cold_until[each.id] = now + COLD_SECONDS
                    self.phases.append(_Phase(each.id, now, now + COLD_SECONDS))
            self.fleet.publish(EvacuationEnded("d0"))
            await anyio.sleep(COLD_SECONDS + 0.5)

    async def _restart(self) -> None:
        """Let all replicas of a domain end at once and return in a new lifetime."""
        for each in self.fleet.by_host.values():
            if each.domain == "d0":
                each.end()
        await anyio.sleep(PLAY_SECONDS - 1.0)
        for replica, until in self.fleet.cold_until.items():
            self.phases.append(_Phase(replica, until - COLD_SECONDS, until))

    async def _callers(self) -> None:
        at = 0
        while True:
            self.fleet.start(self.fleet.ask, b"ask %d" % at)
            at += 1
            await anyio.sleep(self.rng.expovariate(self.history.demand))

    async def _trouble(self) -> None:
        """Start entries anew and cut them off, one after the other."""
        fleet = self.fleet
        while True:
            await anyio.sleep(self.rng.uniform(0.3, 1.2))
            ip = self.rng.choice(fleet.ips)
            if ip not in fleet.live or ip in fleet.cut:
                continue
            if self.rng.random() < 0.5:
                fleet.restart_entry(ip)
            else:
                fleet.start(fleet.cut_entry, ip, 3.0)

    def _result(self) -> Played:
        sent = self.fleet.sent
        arrivals = [Arrival(each.at, each.entry, each.replica, each.in_touch) for each in sent]
        windows: list[int] = []
        came = allowed = 0.0
        for phase in self.phases:
            times = sorted(
                each.at
                for each in self.fleet.sent
                if each.replica == phase.replica and phase.since <= each.at <= phase.until
            )
            windows += _windows(times)
            settled = phase.since + (SETTLE_SECONDS if self.history.kind is Kind.STEADY else 0.0)
            came += sum(each >= settled for each in times)
            allowed += RATE * (phase.until - settled)
        told = [each for each in self.fleet.told if each.status or each.seconds]
        return Played(
            entries=self.history.entries,
            seed=self.history.seed,
            kind=self.history.kind.value,
            exceeded=sum(each > BOUND for each in windows),
            worst=max(windows, default=0),
            limits_exceeded=len(self.fleet.limits.exceeded(arrivals)),
            used=round(came / allowed, 2) if allowed else 0.0,
            served=round(sum(each.served for each in told) / max(1, len(told)), 3),
        )


def play(history: History, *, limited: bool = True) -> Played:
    """Play a history.

    Args:
        history: The history.
        limited: Whether entries limit what they send to cold replicas.
    """
    if limited:
        return _Play(history).run()
    with (
        patch.object(ColdReplicas, "any_cold", False),
        patch.object(ColdReplicas, "claim_send", _always),
    ):
        return _Play(history).run()


def _always(self: ColdReplicas, endpoint_id: str) -> bool:
    return True


def _windows(times: Sequence[float]) -> list[int]:
    """Return the requests in the second that ends with each of them."""
    found, first = [], 0
    for at, now in enumerate(times):
        while times[first] <= now - 1.0:
            first += 1
        found.append(at - first + 1)
    return found


def costs(entries: int, endpoints: int) -> Cost:
    """Measure a decision while all endpoints of a service are cold."""
    clock = ManualClock(100.0)
    peers = {f"10.0.{at // 250}.{at % 250}": False for at in range(1, entries)}
    quotas = ColdQuotas(clock, "10.0.0.0", (), lambda: peers, lambda: True)
    quotas.update()
    clock.advance(STARTING_SECONDS)
    quotas.update()
    service = replace(table().services["plain"], cold_seconds=COLD_SECONDS, cold_rate=RATE)
    cold = ColdReplicas(clock, random.Random(1), quotas, lambda name: service, COLD_OVERAGE)
    for at in range(endpoints):
        published = replace(endpoint(f"i-{at}", "plain"), cold_left=1000.0)
        cold.record_registration(published, None, Source.LISTING)
    first = _micros(lambda: cold.without_capacity("plain"))
    for _ in range(ORDERS + endpoints // MAX_ADDED_PER_DECISION):
        cold.without_capacity("plain")
    later = min(_micros(lambda: cold.without_capacity("plain")) for _ in range(20))
    return Cost(
        entries=entries,
        endpoints=endpoints,
        ranking_us=first,
        decision_us=later,
        update_us=min(_micros(quotas.update) for _ in range(20)),
    )


def _micros(function: Callable[[], object]) -> float:
    began = time.process_time()
    function()
    return round((time.process_time() - began) * 1e6, 1)


def main(argv: list[str] | None = None) -> int:
    """Print a row for each play; exit with 1 where the bound was exceeded."""
    parser = argparse.ArgumentParser(prog="benchmarks.cold_replicas")
    parser.add_argument("--entries", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--kind", choices=[each.value for each in Kind], default="steady")
    parser.add_argument("--demand", type=float, default=200.0, help="requests a second")
    parser.add_argument("--replicas", type=int, default=3)
    parser.add_argument("--lead", type=float, default=STARTING_SECONDS)
    parser.add_argument("--troubles", action="store_true")
    parser.add_argument("--ignored", action="store_true", help="entries do not limit their sends")
    parser.add_argument("--cost", action="store_true", help="measure decisions instead")
    args = parser.parse_args(argv)
    logger.disable("carawayhub")
    if args.cost:
        measured = [costs(*each) for each in COST_SIZES]
        names = Cost.__struct_fields__
        write_table(
            sys.stdout, names, [[getattr(each, name) for name in names] for each in measured]
        )
        return 0
    rows = [
        play(
            History(
                entries=entries,
                seed=seed,
                kind=Kind(args.kind),
                demand=args.demand,
                replicas=args.replicas,
                troubles=args.troubles,
                lead=args.lead,
            ),
            limited=not args.ignored,
        )
        for entries in args.entries
        for seed in range(args.first_seed, args.first_seed + args.seeds)
    ]
    names = Played.__struct_fields__
    write_table(sys.stdout, names, [[getattr(each, name) for name in names] for each in rows])
    broken = sum(each.exceeded for each in rows)
    sys.stdout.write(f"{len(rows)} histories, {broken} windows above the bound\n")
    return 1 if broken and not args.ignored else 0


if __name__ == "__main__":
    sys.exit(main())
