"""What is promised to callers, endpoints and operators, and which soak checks it from outside.

`docs/soaks.md` shows the same rows; a test holds both together. A promise that no soak checks says
where it is checked instead, or that it is not.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from benchmarks.moved_routes import going_back, late
from benchmarks.soak import Soak
from benchmarks.soak_callers import Callers
from benchmarks.soak_deciders import beside_each_other
from benchmarks.soak_groups import GroupSoak
from benchmarks.soak_parts import PartSoak


@dataclass(frozen=True, slots=True, kw_only=True)
class Promise:
    """One promise.

    Attributes:
        name: What is promised.
        seen: What a checker outside the system sees of it.
        bound: How much of it may fail, or how late it may be.
        excused: Whom disturbances excuse.
        checker: Function of a soak that checks it, None where none does.
        variants: Broken entries that the checker must find; see ``tests.broken_entries``.
        otherwise: Where it is checked without a soak, empty where nowhere.
    """

    name: str
    seen: str
    bound: str
    excused: str
    checker: Callable[..., Any] | None = None
    variants: tuple[str, ...] = ()
    otherwise: str = ""


NOBODY = "nobody"
CALM = "entries disturbed within 3 s"

PROMISES = (
    Promise(
        name="whole answer to its own caller",
        seen="body and length at the caller",
        bound="none fails",
        excused=NOBODY,
        checker=Callers._look_at,
    ),
    Promise(
        name="events of a stream in order",
        seen="event ids at the caller",
        bound="none is missing, none comes twice",
        excused=NOBODY,
        checker=Callers._look_at,
    ),
    Promise(
        name="nothing runs that nobody asked",
        seen="ids and organisation at replicas",
        bound="none",
        excused=NOBODY,
        checker=Soak._check,
    ),
    Promise(
        name="what may run once runs once",
        seen="runs by id at replicas",
        bound="none runs twice",
        excused=NOBODY,
        checker=Soak._check,
        variants=("runs-twice",),
    ),
    Promise(
        name="refused means not run",
        seen="status at the caller, runs at replicas",
        bound="none",
        excused=NOBODY,
        checker=Soak._check,
    ),
    Promise(
        name="attempts of a request",
        seen="runs by id at replicas",
        bound="two",
        excused=NOBODY,
        checker=Soak._check,
    ),
    Promise(
        name="endpoint that leaves gets nothing new",
        seen="runs at replicas",
        bound="2 s after the acknowledgement",
        excused="times in which entries may not hear of changes",
        checker=Soak._check_drain,
        variants=("uses-leaving",),
    ),
    Promise(
        name="evacuated failure domain gets nothing",
        seen="arrivals at replicas by entry",
        bound="5 s after the acknowledgement, until the withdrawal",
        excused="entries that restarted or froze, or had no way to the store, within 5 s",
        checker=Soak._check_evacuated,
        variants=("ignores-evacuations",),
    ),
    Promise(
        name="revoked key opens nothing",
        seen="keys at callers, runs at replicas",
        bound="5 s after the acknowledgement",
        excused=NOBODY,
        checker=Soak._check,
        variants=("old-keys",),
    ),
    Promise(
        name="configuration in force in time",
        seen="which service ran a probe",
        bound="2 s after the acknowledgement",
        excused=CALM,
        checker=late,
        variants=("held-back", "deaf", "one-era"),
    ),
    Promise(
        name="configuration never goes back",
        seen="which service ran a probe, by process",
        bound="0.25 s after a newer one was seen",
        excused=NOBODY,
        checker=going_back,
        variants=("backwards",),
    ),
    Promise(
        name="service after faults",
        seen="statuses at callers",
        bound="95 in 100 from 4 s after the last fault",
        excused=NOBODY,
        checker=Soak._check,
    ),
    Promise(
        name="planned stop ends in order",
        seen="exit status",
        bound="status 0",
        excused="processes that have not got as far as their own code",
        checker=Soak._stop,
    ),
    Promise(
        name="one expert map in each pass",
        seen="maps at the ranks",
        bound="none differs",
        excused=NOBODY,
        checker=GroupSoak._check,
    ),
    Promise(
        name="one decider of a group at a time",
        seen="numbers of deciders at the ranks",
        bound="none orders again within 0.3 s of another",
        excused=NOBODY,
        checker=beside_each_other,
    ),
    Promise(
        name="backoff that a replica requests",
        seen="arrivals at replicas by entry",
        bound="two, from half a second after the refusal to the end of its time",
        excused="entries that restarted or froze, and disturbed links",
        checker=Soak._check_backoffs,
        variants=("ignores-backoff",),
    ),
    Promise(
        name="replica that announces its leaving gets nothing new",
        seen="arrivals at replicas by entry, time of the caller's request",
        bound="2 s after the entry passed such an answer on",
        excused="entries that restarted or froze",
        checker=Soak._check_announced,
        variants=("ignores-announced",),
    ),
    Promise(
        name="part of prompts that ends replicas is refused, and nothing else",
        seen="arrivals and ends at replicas, statuses at callers",
        bound="3 from 3 s after the fifth end; no 400 for sound requests, half of them served",
        excused="entries that restarted or froze within 3 s",
        checker=PartSoak._check,
        variants=("knows-whole-requests", "blames-every-part"),
    ),
    Promise(
        name="rate limits of replicas",
        seen="arrivals in windows of 4 s",
        bound="one and a half times the limit and 5",
        excused=CALM,
        otherwise="`benchmarks.rate_limit`, in virtual time",
    ),
    Promise(
        name="no work for callers who left",
        seen="arrivals after the caller's close",
        bound="half a second",
        excused=CALM,
        otherwise="`test_gateway_relay`, the users' bench",
    ),
    Promise(
        name="share of repeated sends",
        seen="arrivals beyond the first by service",
        bound="share of the requests and a number over all entries",
        excused=NOBODY,
        otherwise="the users' bench",
    ),
    Promise(
        name="time that is left is handed on",
        seen="deadline at replicas",
        bound="half a second over the caller's",
        excused=CALM,
        otherwise="the users' bench",
    ),
    Promise(
        name="timeout of the route",
        seen="time of the answer at the caller",
        bound="half a second past it",
        excused=CALM,
        otherwise="the users' bench",
    ),
    Promise(
        name="nobody is cut off by planned work",
        seen="connections that end without an answer",
        bound="none in flight",
        excused="unplanned disturbances beside it",
        otherwise="the users' bench",
    ),
    Promise(
        name="proper requests are not denied",
        seen="401, 403 and 404 at callers",
        bound="5 and one in 500",
        excused=CALM,
        otherwise="the users' bench",
    ),
    Promise(
        name="routes added later are served",
        seen="statuses of probes on new routes",
        bound="a quarter as often as the first ones",
        excused=CALM,
        otherwise="the users' bench",
    ),
    Promise(
        name="entry that leaves is in no directory",
        seen="answers of directories",
        bound="4 s after the signal",
        excused=CALM,
        otherwise="`test_gateway_large`, the users' bench",
    ),
)


def table() -> list[str]:
    """Return the promises as the lines of a table."""
    lines = [
        "| promise | seen from outside | bound | excused | checked by | must find |",
        "|---|---|---|---|---|---|",
    ]
    for each in PROMISES:
        cells = (
            each.name,
            each.seen,
            each.bound,
            each.excused,
            _where(each),
            ", ".join(f"`{name}`" for name in each.variants) or "none yet",
        )
        lines.append(f"| {' | '.join(cells)} |")
    return lines


def _where(promise: Promise) -> str:
    if promise.checker is not None:
        return f"`{promise.checker.__module__}.{promise.checker.__qualname__}`"
    return f"no soak; {promise.otherwise}"
