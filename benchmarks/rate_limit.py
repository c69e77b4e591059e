"""Entries before replicas that name a rate limit: how much these get, and what callers see.

    python -m benchmarks.rate_limit [--entries N ...] [--seeds N] [--policy together|alone|ignored]
        [--kind engines|plain|swinging|taken-back]

Each play is a seeded history: limits that are named and changed, entries that start anew or are cut
off, datagrams that are lost. What replicas got is held against the bound window by window. The exit
code is 1 where it was exceeded by entries that keep limits together.
"""

import argparse
import random
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any
from unittest.mock import patch

import anyio
import msgspec
from loguru import logger

from benchmarks.named_limits import Arrival
from benchmarks.request_fleet import RequestFleet
from carawayhub.limits.replicarate import FleetEstimate, RateRow, ReplicaRates
from carawayhub.output.tables import write_table

SIZES = (7, 45, 98)
SEEDS = 5
FIRST_AT = 1.0
PLAY_SECONDS = 18.0
SETTLED_AFTER = 5.0
"""Seconds after the first naming from which on the use of a limit is measured."""

LEAST_RATE = 0.5
MOST_RATE = 12.0
CUT_SECONDS = 3.0


SWING = 0.4
"""Part by which answers name more or less where each names another limit."""

NO_LIMIT_ONE_IN = 3
"""Changes of which one takes the limit back, where limits are taken back."""


class Kind(Enum):
    """What is drawn beside the changes and troubles of a history."""

    ENGINES = "engines"
    PLAIN = "plain"
    SWINGING = "swinging"
    TAKEN_BACK = "taken-back"


class Policy(Enum):
    """How entries treat limits."""

    TOGETHER = "together"
    ALONE = "alone"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class History:
    """One play.

    Attributes:
        entries: Number of entries.
        seed: Seed of all chance.
        limited: Replicas of three that name a limit.
        rate: The first limit, requests a second.
        demand: Requests of callers a second.
        changes: Whether the limit changes on the way.
        troubles: Whether entries start anew and are cut off.
        lost: Part of the datagrams that is lost.
        kind: What else is drawn.
    """

    entries: int
    seed: int
    limited: int = 1
    rate: float = 3.0
    demand: float = 20.0
    changes: bool = False
    troubles: bool = False
    lost: float = 0.03
    kind: Kind = Kind.ENGINES


class Played(msgspec.Struct, kw_only=True):
    """What came of a play.

    Attributes:
        entries: Number of entries.
        seed: Its seed.
        policy: How entries treated limits.
        rate: The first limit.
        exceeded: Windows above the bound.
        worst: The largest part of the bound that a window took.
        used: Part of the limits that was used.
        served: Part of the callers that got whole answers.
        at_once: Part of the refusals that were told within a tenth of a second.
    """

    entries: int
    seed: int
    policy: str
    rate: float
    exceeded: int
    worst: float
    used: float
    served: float
    at_once: float


def drawn(entries: int, seed: int, kind: Kind = Kind.ENGINES) -> History:
    """Return the history of a seed, with changes and troubles."""
    rng = random.Random(f"limit-{entries}-{seed}")
    return History(
        entries=entries,
        seed=seed,
        limited=rng.choice((1, 1, 3)),
        rate=round(rng.uniform(LEAST_RATE, MOST_RATE), 2),
        demand=rng.uniform(10.0, 40.0),
        changes=True,
        troubles=True,
        lost=rng.choice((0.0, 0.03, 0.1)),
        kind=kind,
    )


def play(history: History, policy: Policy = Policy.TOGETHER) -> Played:
    """Play a history."""
    fleet = RequestFleet(
        entries=history.entries,
        groups=1,
        ranks=3,
        seed=history.seed,
        lost=history.lost,
        places=60,
        events=3,
        plain=history.kind is Kind.PLAIN,
    )
    fleet.limits.swing = SWING if history.kind is Kind.SWINGING else 0.0
    rng = random.Random(history.seed)

    async def callers() -> None:
        for at in range(int(PLAY_SECONDS * history.demand)):
            fleet.start(fleet.ask, b"ask %d" % at)
            await anyio.sleep(rng.expovariate(history.demand))

    async def story() -> None:
        fleet.start(callers)
        if history.troubles:
            fleet.start(_trouble, fleet, rng)
        await anyio.sleep(FIRST_AT)
        await _name(fleet, history, rng)

    with _applied(policy):
        fleet.play(story)
    return _result(fleet, history, policy)


@contextmanager
def _applied(policy: Policy) -> Iterator[None]:
    """Take out of the entries of this process what a policy leaves out."""
    rates = ReplicaRates
    match policy:
        case Policy.IGNORED:
            taken_out: Any = patch.object(rates, "may_send", _always)
        case Policy.ALONE:
            taken_out = patch.object(rates, "receive_rows", _ignore)
        case Policy.TOGETHER:
            yield
            return
    with taken_out:
        yield


def _always(self: ReplicaRates, endpoint_id: str, around: FleetEstimate) -> bool:
    return True


def _ignore(self: ReplicaRates, teller: str, rows: list[RateRow], written_at: float) -> None:
    return


async def _name(fleet: RequestFleet, history: History, rng: random.Random) -> None:
    """Have replicas name limits until the play ends."""
    ends_at = anyio.current_time() + PLAY_SECONDS
    replicas = list(fleet.by_host.values())[: history.limited]
    rate = history.rate
    named: float | None = rate
    while anyio.current_time() < ends_at:
        for each in replicas:
            fleet.limits.name(each.id, named, anyio.current_time())
        if not history.changes:
            await anyio.sleep(PLAY_SECONDS)
            return
        await anyio.sleep(rng.uniform(3.0, 9.0))
        rate = round(rng.choice((0.5, 0.8, 1.25, 2.0)) * rate, 2)
        ends = history.kind is Kind.TAKEN_BACK and not rng.randrange(NO_LIMIT_ONE_IN)
        named = None if ends else rate


async def _trouble(fleet: RequestFleet, rng: random.Random) -> None:
    """Start entries anew and cut them off, one after the other."""
    while True:
        await anyio.sleep(rng.uniform(0.7, 2.5))
        ip = rng.choice(fleet.ips)
        if ip not in fleet.live or ip in fleet.cut:
            continue
        if rng.random() < 0.5:
            fleet.restart_entry(ip)
        else:
            fleet.start(fleet.cut_entry, ip, CUT_SECONDS)


def _result(fleet: RequestFleet, history: History, policy: Policy) -> Played:
    arrivals = [Arrival(each.at, each.entry, each.replica, each.in_touch) for each in fleet.sent]
    exceeded = fleet.limits.exceeded(arrivals)
    refused = [each for each in fleet.told if each.status in (429, 503)]
    at_once = sum(each.seconds < 0.1 for each in refused)
    return Played(
        entries=history.entries,
        seed=history.seed,
        policy=policy.value,
        rate=history.rate,
        exceeded=len(exceeded),
        worst=round(fleet.limits.worst(arrivals), 2),
        used=round(_used(fleet, arrivals), 2),
        served=round(sum(each.served for each in fleet.told) / max(1, len(fleet.told)), 3),
        at_once=round(at_once / len(refused), 2) if refused else 1.0,
    )


def _used(fleet: RequestFleet, arrivals: list[Arrival]) -> float:
    """Return the part of all limits that was used once entries had settled."""
    came = allowed = 0.0
    for replica, changes in fleet.limits.changes.items():
        since = changes[0][0] + SETTLED_AFTER
        until = max(each.at for each in arrivals)
        allowed += fleet.limits.allowed(replica, since, until)
        came += sum(each.replica == replica and since <= each.at <= until for each in arrivals)
    return came / allowed if allowed else 0.0


def main(argv: list[str] | None = None) -> int:
    """Print a row for each play; exit with 1 where the bound was exceeded."""
    parser = argparse.ArgumentParser(prog="benchmarks.rate_limit")
    parser.add_argument("--entries", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--policy", choices=[each.value for each in Policy], default="together")
    parser.add_argument("--kind", choices=[each.value for each in Kind], default="engines")
    parser.add_argument("--steady", action="store_true", help="no changes and no troubles")
    parser.add_argument("--limited", type=int, default=3, help="with --steady: limited of three")
    parser.add_argument("--rate", type=float, default=3.0, help="with --steady: the limit")
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    logger.disable("carawayhub")
    rows = []
    for entries in args.entries:
        for seed in range(args.first_seed, args.first_seed + args.seeds):
            history = drawn(entries, seed, Kind(args.kind))
            if args.steady:
                history = History(entries=entries, seed=seed, limited=args.limited, rate=args.rate)
            rows.append(play(history, Policy(args.policy)))
    if args.json:
        sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")
    else:
        names = Played.__struct_fields__
        write_table(sys.stdout, names, [[getattr(each, name) for name in names] for each in rows])
    broken = sum(each.exceeded for each in rows)
    sys.stdout.write(f"{len(rows)} histories, {broken} windows above the bound\n")
    return 1 if broken and args.policy == Policy.TOGETHER.value else 0


if __name__ == "__main__":
    sys.exit(main())
