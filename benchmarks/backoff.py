"""What entries do with a backoff that a replica requests: ignore it, keep it, or tell their peers.

    python -m benchmarks.backoff [--seeds N]

Entries in virtual time before a group of ranks, some of which turn requests away with
``Retry-After``. Callers come back once after the time that they are told.
"""

import argparse
import random
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import anyio
from loguru import logger

from benchmarks.request_fleet import RequestFleet
from carawayhub.gateway.health import Health
from carawayhub.gateway.pool import ServicePool

DEADLINE_SECONDS = 8.0
TARGET_SECONDS = 0.4
BACKOFF_SECONDS = 3.0
EVENTS = 25
RETRY_PART = 1.0 / 3.0
"""Part of the time left up to which callers follow a retry time."""


class Way(Enum):
    """What an entry does with a requested backoff."""

    IGNORED = "ignored"
    KEPT = "kept by the entry"
    KEPT_BY_ALL = "told; peers keep it too"
    PREFERRED = "told; peers prefer others"


@dataclass(frozen=True, slots=True)
class Load:
    """What replicas turn away, and what callers send.

    Attributes:
        name: For the table.
        replicas: Replicas of twelve that turn requests away.
        part: Part of the requests that they turn away.
        rate: Requests a second at all entries.
    """

    name: str
    replicas: int
    part: float
    rate: float


LOADS = (
    Load("four of twelve turn all away, a quarter of the load", 4, 1.0, 14.0),
    Load("four of twelve turn all away, as much as the others serve", 4, 1.0, 36.0),
    Load("four of twelve turn away 45 of 100, full load", 4, 0.45, 50.0),
    Load("all turn away 30 of 100, half the load", 12, 0.3, 28.0),
    Load("all turn away 10 of 100, twice the load", 12, 0.1, 110.0),
)


@dataclass(slots=True)
class Result:
    """Outcome for the callers.

    Attributes:
        asked: Callers.
        served: Callers with a whole answer.
        in_time: Callers with a first event within the target, counted from their first attempt.
        refused: Refusals.
        broken: Backoffs in which too much arrived.
        rejected_seconds: Sum of the times to a refusal.
    """

    asked: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    broken: int = 0
    rejected_seconds: float = 0.0


async def call(fleet: RequestFleet, content: bytes, result: Result) -> None:
    """Ask as a caller does that comes back once."""
    began = anyio.current_time()
    result.asked += 1
    left = DEADLINE_SECONDS
    for attempt in range(2):
        told = await fleet.ask(content + b" %d" % attempt, deadline=left)
        left = began + DEADLINE_SECONDS - anyio.current_time()
        if told.served:
            result.served += 1
            result.in_time += told.first_at - began <= TARGET_SECONDS
            return
        result.refused += 1
        result.rejected_seconds += told.seconds
        if not 0.0 <= told.retry_after <= left * RETRY_PART:
            return
        await anyio.sleep(told.retry_after)
        left -= told.retry_after


@contextmanager
def _acting(way: Way, fleet: RequestFleet) -> Iterator[None]:
    """Let all entries of a fleet treat backoffs in one way; the product's is ``PREFERRED``."""
    record, notify = ServicePool.record_backoff, Health.peer_backing_off

    def record_as(pool: ServicePool, endpoint_id: str, seconds: float) -> None:
        if way is not Way.IGNORED:
            record(pool, endpoint_id, seconds)
        if way is Way.KEPT_BY_ALL:
            for entry in fleet.live.values():
                record(entry.process.pool(pool._name), endpoint_id, seconds)

    def notify_as(health: Health, endpoint_ids: Iterable[str]) -> None:
        if way is Way.PREFERRED:
            notify(health, endpoint_ids)

    ServicePool.record_backoff = record_as  # type: ignore[method-assign, assignment]
    Health.peer_backing_off = notify_as  # type: ignore[method-assign, assignment]
    try:
        yield
    finally:
        ServicePool.record_backoff = record  # type: ignore[method-assign]
        Health.peer_backing_off = notify  # type: ignore[method-assign]


def play(load: Load, way: Way, seed: int, seconds: float = 10.0) -> Result:
    """Play one load."""
    fleet = RequestFleet(entries=7, ranks=12, events=EVENTS, seed=seed)
    fleet.stated.seconds = BACKOFF_SECONDS
    fleet.stated.turning_away = {f"i-{at}-0": load.part for at in range(load.replicas)}
    result = Result()
    rng = random.Random(seed)

    async def story() -> None:
        async with anyio.create_task_group() as tasks:
            for at in range(round(load.rate * seconds)):
                tasks.start_soon(call, fleet, b"ask %d" % at, result)
                await anyio.sleep(rng.expovariate(load.rate))

    with _acting(way, fleet):
        fleet.play(story)
    result.broken = len(fleet.stated.broken_backoffs())
    return result


def main() -> None:
    """Print a table of all loads and ways."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(1, parser.parse_args().seeds + 1)
    logger.disable("carawayhub")
    for load in LOADS:
        print(load.name)
        for way in Way:
            results = [play(load, way, seed) for seed in seeds]
            asked = sum(each.asked for each in results)
            refused = sum(each.refused for each in results)
            waited = sum(each.rejected_seconds for each in results) / max(1, refused)
            print(
                f"  {way.value:28} served {sum(each.served for each in results) / asked:.3f}"
                f"  in time {sum(each.in_time for each in results) / asked:.3f}"
                f"  refusals a caller {refused / asked:.3f} after {waited:.2f} s"
                f"  backoffs broken {sum(each.broken for each in results)}"
            )


if __name__ == "__main__":
    main()
