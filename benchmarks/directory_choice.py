"""Ways of the directory to list entries, on the same seeds, without a network.

Callers of three failure domains cache an answer for one to three seconds, choose at random among
its addresses, and try one other address when the first is dead. Directories know the requests in
flight at each entry with the delay of member lists.

    python -m benchmarks.directory_choice [--seeds N]
"""

import random
import statistics
import sys
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from carawayhub.gateway.entrychoice import (
    MAX_ADDRESSES,
    SHARING_UTILISATION,
    EntryOption,
    SharedParts,
    plan_answers,
)

DOMAINS = ("a", "b", "c")
STEP_SECONDS = 0.1
HOLD_STEPS = 10
"""Steps for which a request is in flight."""

REPORT_STEPS = 8
"""Steps between two member lists, each of which is known one list later."""

CACHE_STEPS = (10, 30)
CAPACITIES = (100, 140, 200, 300, 430)
"""Requests in flight of entries with 0.5 to 2.15 cores."""

WARM_UP_STEPS = 60

List = Callable[[Sequence[EntryOption], str, random.Random, SharedParts, float], list[str]]


def list_all(
    options: Sequence[EntryOption],
    domain: str,
    rng: random.Random,
    parts: SharedParts,
    now: float,
) -> list[str]:
    """Return all entries alike, as without a margin."""
    found = [each.callers for each in options]
    return rng.sample(found, MAX_ADDRESSES) if len(found) > MAX_ADDRESSES else found


def list_by_threshold(
    options: Sequence[EntryOption],
    domain: str,
    rng: random.Random,
    parts: SharedParts,
    now: float,
) -> list[str]:
    """Return the own entries, or all from a utilisation on; both chosen by capacity."""
    own = [each for each in options if each.failure_domain == domain]
    used = sum(each.in_flight for each in own) / max(1, sum(each.capacity for each in own))
    chosen = own if own and used < SHARING_UTILISATION else options
    return plan_answers(chosen, "").draw(rng)


def list_gradually(
    options: Sequence[EntryOption],
    domain: str,
    rng: random.Random,
    parts: SharedParts,
    now: float,
) -> list[str]:
    """Return what the product chooses."""
    plan = plan_answers(options, domain, parts.recent(domain))
    parts.record(domain, plan.shared, now)
    return plan.draw(rng)


WAYS: dict[str, List] = {
    "all alike": list_all,
    "threshold": list_by_threshold,
    "gradual": list_gradually,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load.

    Attributes:
        entries: Entries in each failure domain.
        demand: Requests in flight of the callers of each domain, relative to the mean capacity of
            a domain.
        dying: Number of the failure domain whose entries all die in the middle, None for none.
        equal: Whether all entries have the same capacity.
    """

    entries: tuple[int, int, int] = (16, 15, 15)
    demand: tuple[float, float, float] = (0.3, 0.3, 0.3)
    dying: int | None = None
    equal: bool = False


SCENARIOS = {
    "ample": Scenario(),
    "one domain overloaded": Scenario(demand=(1.3, 0.3, 0.3)),
    "few entries in one domain": Scenario(entries=(2, 20, 20), demand=(0.1, 0.3, 0.3)),
    "few entries, all of them die": Scenario(
        entries=(2, 2, 3), demand=(0.3, 0.3, 0.3), dying=0, equal=True
    ),
}


@dataclass(frozen=True, slots=True)
class Measured:
    """Result of one run.

    Attributes:
        crossing: Share of requests that went to an entry of another failure domain.
        spread: Mean standard deviation of the share of capacity in use over entries.
        over: Share of requests that arrived at an entry beyond its capacity.
        swing: Standard deviation in time of the share of capacity in use of the first domain.
        failed: Share of requests that found only dead entries.
    """

    crossing: float
    spread: float
    over: float
    swing: float
    failed: float


class Model:
    """Callers, entries and directories in steps of virtual time.

    Args:
        scenario: The load.
        way: Lists the entries for an answer.
        seed: Seed of all random decisions.
    """

    def __init__(self, scenario: Scenario, way: List, seed: int) -> None:
        self._scenario = scenario
        self._way = way
        self._rng = random.Random(seed)
        self._lists = random.Random(seed + 1)
        self._parts = SharedParts()
        self._entries = {
            f"{domain}{at}": EntryOption(
                f"{domain}{at}", domain, 200 if scenario.equal else CAPACITIES[at % 5], 0
            )
            for domain, entries in zip(DOMAINS, scenario.entries, strict=True)
            for at in range(entries)
        }
        self._live = dict(self._entries)
        self._present: Counter[str] = Counter()
        self._ends: deque[list[str]] = deque([[] for _ in range(HOLD_STEPS)])
        self._reported = self._known = list(self._entries.values())
        self._callers = [domain for domain in DOMAINS for _ in range(60)]
        self._cached: list[tuple[list[str], int]] = [([], 0) for _ in self._callers]
        self._counts: Counter[str] = Counter()

    def run(self, steps: int = 300) -> Measured:
        """Run the scenario."""
        spreads, first = [], []
        for step in range(steps):
            if self._scenario.dying is not None and step == steps // 2:
                gone = DOMAINS[self._scenario.dying]
                self._live = {
                    name: each for name, each in self._live.items() if each.failure_domain != gone
                }
            if step % REPORT_STEPS == 0:
                self._report()
            for name in self._ends.popleft():
                self._present[name] -= 1
            started: list[str] = []
            for number, domain in enumerate(self._callers):
                started += self._call(number, domain, step)
            self._ends.append(started)
            if step >= WARM_UP_STEPS:
                used = {
                    each.callers: self._present[each.callers] / each.capacity
                    for each in self._live.values()
                }
                spreads.append(statistics.pstdev(used.values()))
                own = [each for each in self._entries.values() if each.failure_domain == "a"]
                first.append(
                    sum(self._present[each.callers] for each in own)
                    / sum(each.capacity for each in own)
                )
        requests = self._counts["requests"]
        return Measured(
            self._counts["crossing"] / requests,
            statistics.fmean(spreads),
            self._counts["over"] / requests,
            statistics.pstdev(first),
            self._counts["failed"] / requests,
        )

    def _report(self) -> None:
        self._known = self._reported
        self._reported = [
            replace(each, in_flight=self._present[each.callers]) for each in self._live.values()
        ]

    def _call(self, number: int, domain: str, step: int) -> list[str]:
        """Send the requests of one caller in one step; return the entries that they went to."""
        addresses, expires_at = self._cached[number]
        if step >= expires_at:
            addresses = self._way(
                self._known, domain, self._lists, self._parts, step * STEP_SECONDS
            )
            self._cached[number] = addresses, step + self._rng.randint(*CACHE_STEPS)
        mean = sum(each.capacity for each in self._entries.values()) / len(DOMAINS)
        demand = self._scenario.demand[DOMAINS.index(domain)] * mean
        rate = demand / HOLD_STEPS / (len(self._callers) / len(DOMAINS))
        requests = int(rate) + (self._rng.random() < rate % 1.0)
        started = []
        for _ in range(requests):
            tried = self._rng.sample(addresses, min(2, len(addresses)))
            found = next((each for each in tried if each in self._live), None)
            counts = step >= WARM_UP_STEPS
            self._counts["requests"] += counts
            if found is None:
                self._counts["failed"] += counts
                continue
            entry = self._live[found]
            self._counts["crossing"] += counts and entry.failure_domain != domain
            self._counts["over"] += counts and self._present[found] >= entry.capacity
            self._present[found] += 1
            started.append(found)
        return started


def compare(scenario: Scenario, seeds: int) -> dict[str, Measured]:
    """Return the mean results of all ways on the same seeds."""
    found = {}
    for name, way in WAYS.items():
        runs = [Model(scenario, way, 100 * seed).run() for seed in range(seeds)]
        found[name] = Measured(
            *(
                statistics.fmean(getattr(run, field) for run in runs)
                for field in Measured.__dataclass_fields__
            )
        )
    return found


def main(seeds: int) -> None:
    """Print a table of all scenarios and ways."""
    print("| load | way | crossing | spread | beyond capacity | swing | failed |")
    print("|---|---|---|---|---|---|---|")
    for name, scenario in SCENARIOS.items():
        for way, each in compare(scenario, seeds).items():
            print(
                f"| {name} | {way} | {each.crossing:.3f} | {each.spread:.3f} | {each.over:.3f}"
                f" | {each.swing:.3f} | {each.failed:.4f} |"
            )


if __name__ == "__main__":
    main(int(sys.argv[2]) if sys.argv[1:2] == ["--seeds"] else 3)
