"""What limits that replicas name cost an entry: each decision, and each exchange of news.

    python -m benchmarks.limit_cost [--json]

Decisions with no limit named stand beside the same decisions with the choice within limits taken
out, round by round in turn, so that a busy machine slows both.
"""

import random
import statistics
import sys
import time
from collections.abc import Callable, Set
from unittest.mock import patch

import msgspec
from loguru import logger

from carawayhub.clock import ManualClock
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads, Work, work_key
from carawayhub.gateway.placement import Selection
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.servicelimits import ServiceLimits
from carawayhub.gateway.view import FleetView
from carawayhub.limits.replicarate import RateRow, ReplicaRates
from carawayhub.output.tables import write_table
from tests.gateway_world import endpoint, route, table, work

SIZES = ((7, 15), (45, 72), (98, 192), (780, 5400))
"""Entries, and endpoints of one service before them."""

ROUNDS = 41
DECISIONS = 20
EXCHANGES = 20
LIMITED = 8
CHANGED = 5
TABLE_ROWS = 200
NEWS_SECONDS = 0.2
NEWS_MORE_AN_ENTRY = 0.002
ARRIVALS = 20.0


class Cost(msgspec.Struct, kw_only=True):
    """What one entry pays.

    Attributes:
        entries: Number of entries.
        endpoints: Endpoints of the service.
        bare_us: Microseconds of a decision without the choice within limits.
        unlimited_us: The same with it, while no replica names a limit.
        added: Part that this adds.
        limited_us: The same while some replicas name limits.
        row_bytes: Bytes of the rows in one datagram.
        tell_us: Microseconds to work these rows out.
        hear_us: Microseconds to take them from a datagram.
        work_us: Microseconds to take a peer's table of work in which some rows changed, and to
            see whether a place is free.
    """

    entries: int
    endpoints: int
    bare_us: float
    unlimited_us: float
    added: float
    limited_us: float
    row_bytes: int
    tell_us: float
    hear_us: float
    work_us: float


class Probe:
    """The pool of one entry.

    Args:
        entries: Number of entries.
        endpoints: Endpoints of the service.
    """

    def __init__(self, entries: int, endpoints: int) -> None:
        self._clock = ManualClock(100.0)
        self._rng = random.Random(5)
        self.ids = [f"i-{at}" for at in range(endpoints)]
        self.tellers = [f"10.0.0.{at}" for at in range(entries // 5 + 4)]
        self.rates = ReplicaRates(self._clock, self._rng, work_key)
        news = NEWS_SECONDS + NEWS_MORE_AN_ENTRY * entries
        retries = RetryShare(self._clock, 0.2, 90.0, 10.0)
        for _ in range(int(ARRIVALS)):
            retries.arrived()
        self._loads = Loads()
        self._pool = ServicePool(
            "llm",
            self._view(),
            self._loads,
            Health(self._clock),
            self._clock,
            self._rng,
            retries,
            lambda: news * entries,
            lambda: news,
            self.rates,
        )

    def _view(self) -> FleetView:
        view = FleetView(self._clock, 1e9)
        view.record_store_answer()
        listed = [
            EndpointPublished(endpoint(each, address=f"10.{at // 250}.{at % 250}.1:80"))
            for at, each in enumerate(self.ids)
        ]
        view.replace(Published(revision=Revision(0, 1), changes=(TablePublished(table()), *listed)))
        return view

    def name_limits(self) -> None:
        """Have some endpoints name limits, and every teller tell of them."""
        for each in self.ids[:LIMITED]:
            self.rates.record_limit(each, 3.0, self._clock.monotonic())
        rows = self.rates.rows()
        for teller in self.tellers:
            self.rates.receive_rows(teller, rows, self._clock.monotonic())

    def decide(self) -> None:
        """Make decisions, each on one request that then ends."""
        needed = _call()
        for _ in range(DECISIONS):
            place = self._pool._acquire_now(needed)
            if place is not None:
                self._pool.release(place)

    def hear_work(self) -> None:
        """Take a peer's table of work again and again, with a few rows changed each time."""
        needed = _call()
        for at in range(EXCHANGES):
            listed = self.ids[:TABLE_ROWS]
            works = {work_key(each): Work(1, 0, 900) for each in listed}
            for each in self._rng.sample(listed, CHANGED):
                works[work_key(each)] = Work(2, at, 1800)
            self._loads.update_peer(self.tellers[0], works)
            self._pool._may_claim(needed)

    def tell(self) -> list[RateRow]:
        """Return the rows of one datagram, again and again."""
        for _ in range(EXCHANGES):
            rows = self.rates.rows(self.tellers)
        return rows

    def hear(self, rows: list[RateRow]) -> None:
        """Take a datagram again and again."""
        for at in range(EXCHANGES):
            self.rates.receive_rows(
                self.tellers[at % len(self.tellers)], rows, self._clock.monotonic()
            )


def _call() -> Admitted:
    """Return a request without allowed regions."""
    return Admitted(
        req=CallerRequest(
            id=b"r",
            method="POST",
            host="caraway.example",
            path="/songs/1",
            target=b"/songs/1",
            headers=[],
            key="",
            wait_seconds=8.0,
            prompt_tokens=800,
            answer_tokens=140,
            last_event_id=b"",
        ),
        route=route(),
        service="llm",
        organisation=None,
        arrived_at=0.0,
        ends_at=8.0,
        returned=False,
        work=work(),
        version=1,
    )


def measured(entries: int, endpoints: int) -> Cost:
    """Return what limits cost an entry of a fleet."""
    probe = Probe(entries, endpoints)
    bare, unlimited = [], []
    for _ in range(ROUNDS):
        with patch.object(ServiceLimits, "choose", _unchecked):
            bare.append(_seconds(probe.decide))
        unlimited.append(_seconds(probe.decide))
    probe.name_limits()
    limited = [_seconds(probe.decide) for _ in range(ROUNDS)]
    rows = probe.tell()
    tell = [_seconds(probe.tell) for _ in range(ROUNDS)]
    hear = [_seconds(lambda: probe.hear(rows)) for _ in range(ROUNDS)]
    hear_work = [_seconds(probe.hear_work) for _ in range(ROUNDS)]
    return Cost(
        entries=entries,
        endpoints=endpoints,
        bare_us=_micros(bare, DECISIONS),
        unlimited_us=_micros(unlimited, DECISIONS),
        added=round(statistics.median(b / a for a, b in zip(bare, unlimited, strict=True)) - 1, 3),
        limited_us=_micros(limited, DECISIONS),
        row_bytes=len(msgspec.msgpack.encode(rows)),
        tell_us=_micros(tell, EXCHANGES),
        hear_us=_micros(hear, EXCHANGES),
        work_us=_micros(hear_work, EXCHANGES),
    )


def _unchecked(
    self: ServiceLimits,
    pick: Callable[[Set[str]], Selection | None],
    tried: Set[str],
    arrivals: float,
) -> Selection | None:
    return pick(tried)


def _seconds(function: Callable[[], object]) -> float:
    began = time.process_time()
    function()
    return time.process_time() - began


def _micros(seconds: list[float], calls: int) -> float:
    return round(min(seconds) / calls * 1e6, 1)


def main(argv: list[str]) -> int:
    """Measure all sizes."""
    logger.disable("carawayhub")
    rows = [measured(entries, endpoints) for entries, endpoints in SIZES]
    if "--json" in argv:
        sys.stdout.write(msgspec.json.encode(rows).decode() + "\n")
        return 0
    names = Cost.__struct_fields__
    write_table(sys.stdout, names, [[getattr(each, name) for name in names] for each in rows])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
