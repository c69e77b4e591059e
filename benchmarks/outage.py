"""A group that loses a rank now and then: what its callers get of the entries' decisions.

Whole entries in virtual time before groups whose ranks end, stand still, and form anew once the
rank is back. Callers come at a steady rate, leave after two seconds without an event, follow a time
to come back up to a third of what they have left, and come back once.

    python -m benchmarks.outage [--groups N] [--seeds N] [--json]
"""

import random
import sys
from collections import Counter
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from benchmarks.request_fleet import RequestFleet, Told

RATE = 28.0
SECONDS = 42.0
ENDS_EVERY = 10.0
FIRST_END = 6.0
DEADLINE = 8.0
TARGET = 0.4
SILENCE = 2.0
FOLLOWED_PART = 1.0 / 3.0
LATE_WORTH = 0.5
SEEDS = 3


@dataclass(frozen=True, slots=True)
class Result:
    """What callers of one run got.

    Attributes:
        ends: Callers by end.
        wasted: Requests that reached ranks of a group that stood still.
    """

    ends: Counter[str]
    wasted: int

    @property
    def worth(self) -> float:
        """Share of what callers wanted, a late answer counting half."""
        worth = self.ends["in time"] + LATE_WORTH * self.ends["late"]
        return worth / max(1, self.ends.total())


def play(seed: int, groups: int = 1, back_seconds: float = 3.0) -> Result:
    """Play one run.

    Args:
        seed: Seed of all chance.
        groups: Number of groups, of twelve ranks together for each.
        back_seconds: Seconds for which a rank that ended is away.
    """
    fleet = RequestFleet(
        groups=groups,
        seed=seed,
        events=28,
        event_seconds=0.06,
        first_seconds=0.15,
        stalls=True,
        tells_groups=True,
        back_seconds=back_seconds,
    )
    ends: Counter[str] = Counter()

    async def end_ranks() -> None:
        await anyio.sleep(FIRST_END)
        while True:
            rank = fleet.rng.choice(sorted(fleet.by_host))
            fleet.by_host[rank].end()
            await anyio.sleep(ENDS_EVERY)

    async def caller(content: bytes) -> None:
        ends[await _call(fleet, content)] += 1

    async def story() -> None:
        rng = random.Random(seed)
        fleet.start(end_ranks)
        until = anyio.current_time() + SECONDS
        number = 0
        while anyio.current_time() < until:
            number += 1
            fleet.start(caller, b"request %d" % number)
            await anyio.sleep(rng.expovariate(RATE * groups))
        await anyio.sleep(DEADLINE + 1.0)

    fleet.play(story)
    return Result(ends, fleet.wasted)


async def _call(fleet: RequestFleet, content: bytes) -> str:
    """Ask as a caller does; return how it ends."""
    began_at = anyio.current_time()
    told = Told(content, began_at)
    for attempt in range(2):
        left = began_at + DEADLINE - anyio.current_time()
        told = await fleet.ask(content, deadline=left, patience=SILENCE)
        if told.served:
            return "in time" if told.first_at - began_at <= TARGET else "late"
        if attempt == 0:
            left = began_at + DEADLINE - anyio.current_time()
            await anyio.sleep(max(0.0, min(told.retry_after, left * FOLLOWED_PART)))
    return "refused" if told.status == 503 else "failed"


def main(words: list[str]) -> int:
    """Print the table."""
    logger.disable("carawayhub")
    groups = int(words[words.index("--groups") + 1]) if "--groups" in words else 1
    seeds = int(words[words.index("--seeds") + 1]) if "--seeds" in words else SEEDS
    rows = []
    for back in (1.5, 3.0, 4.5):
        for seed in range(1, seeds + 1):
            found = play(seed, groups, back)
            rows.append(
                {
                    "back_seconds": back,
                    "seed": seed,
                    "worth": round(found.worth, 3),
                    "wasted": found.wasted,
                    **{name: found.ends[name] for name in ("in time", "late", "refused", "failed")},
                }
            )
    if "--json" in words:
        print(msgspec.json.encode(rows).decode())
        return 0
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items()))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
