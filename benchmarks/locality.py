"""Ways to prefer replicas of an entry's own failure domain, on the same seeds, without a network.

Entries select replicas by what they know of each other's requests, which is some tenths of a second
old. Requests arrive at random at the entries of three failure domains and hold a slot for about a
second. The share of requests that cross failure domains and the spread over replicas are measured.

    python -m benchmarks.locality [--seeds N]
"""

import heapq
import math
import random
import statistics
import sys
from collections import Counter, deque
from collections.abc import Callable, Sequence, Set
from dataclasses import dataclass
from functools import partial
from itertools import count

from carawayhub.addresses import Address
from carawayhub.clock import ManualClock
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.locality import Locality
from carawayhub.gateway.model import Endpoint, EndpointState, Incarnation
from carawayhub.gateway.placement import Placement, Selection
from carawayhub.gateway.pool import MIN_SAMPLE_SIZE, SAMPLE_RATIO

DOMAINS = ("a", "b", "c")
SLOTS = 5
KV_TOKENS = 186_000
PROPAGATION_SECONDS = 0.3
"""Age of what an entry knows of others: three gossip intervals, as in large fleets."""

UPDATE_SECONDS = 0.1
WARM_UP_SECONDS = 3.0
RETRY_SECONDS = 0.05
"""Seconds after which a request that found no free slot tries again."""

OWN_WEIGHT = 4.0
"""Weight of the own failure domain's free slots in the way by weights."""

Choose = Callable[[Sequence[Endpoint], Work, int, Set[str], int], Selection | None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """A load.

    Attributes:
        replicas: Replicas in each failure domain.
        rates: Requests per second of the callers in each failure domain.
        holds: Mean seconds for which a request holds a slot, by failure domain of the replica.
        swing: Amplitude of the rates in relation to their mean, with the domains out of phase.
        kv_tokens: Token capacity of a replica, 0 for a plain service.
        entries: Entries in each failure domain.
        seconds: Duration.
    """

    replicas: tuple[int, int, int] = (22, 21, 21)
    rates: tuple[float, float, float] = (93.0, 91.0, 72.0)
    holds: tuple[float, float, float] = (0.9, 0.9, 0.9)
    swing: float = 0.0
    kv_tokens: int = KV_TOKENS
    entries: int = 5
    seconds: float = 12.0


SCENARIOS = {
    "steady": Scenario(),
    "swing": Scenario(swing=0.4),
    "few replicas in one domain": Scenario(replicas=(8, 28, 28), rates=(85.0, 85.0, 85.0)),
    "one domain evacuated": Scenario(replicas=(0, 32, 32), rates=(85.0, 85.0, 85.0)),
    "slow replicas in one domain": Scenario(
        holds=(1.6, 0.8, 0.8), rates=(75.0, 75.0, 75.0), kv_tokens=0
    ),
}
"""The first has the sizes and rates of deployment B."""


@dataclass(frozen=True, slots=True)
class Measured:
    """Result of one run.

    Attributes:
        crossing: Share of requests that went to another failure domain.
        deviation: Mean standard deviation of the requests in flight over replicas.
        excess: Mean of the requests in flight at the busiest replica beyond the mean replica.
        domain_excess: Mean share of slots in use in the fullest failure domain beyond the mean.
        waited: Share of requests that found no free slot when they arrived.
        beyond: Share of requests that started at a replica with no free slot.
        seconds: Mean seconds from arrival to end.
    """

    crossing: float
    deviation: float
    excess: float
    domain_excess: float
    waited: float
    beyond: float
    seconds: float


class ByWeights:
    """Draws the failure domain by free slots, those of the own one counting several times.

    Args:
        domain: Failure domain of the entry.
        loads: Work in flight.
        health: Health of endpoints.
        rng: Random number generator.
    """

    def __init__(self, domain: str, loads: Loads, health: Health, rng: random.Random) -> None:
        self._domain = domain
        self._loads = loads
        self._rng = rng
        self._placement = Placement(loads, health, rng)

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        work: Work,
        kv_tokens: int,
        tried: Set[str],
        sample: int = 0,
    ) -> Selection | None:
        """Return the endpoint for ``work``; see ``Placement.choose``."""
        free = dict.fromkeys((each.failure_domain for each in endpoints), 0.0)
        for each in endpoints:
            room = max(0, each.places - self._loads.total(each.id).requests)
            free[each.failure_domain] += room * (
                OWN_WEIGHT if each.failure_domain == self._domain else 1.0
            )
        if any(free.values()):
            drawn = self._rng.choices(list(free), list(free.values()))[0]
            endpoints = [each for each in endpoints if each.failure_domain == drawn]
        return self._placement.choose(endpoints, work, kv_tokens, tried, sample)


class _Entry:
    """One entry with its own view of the load."""

    def __init__(
        self,
        domain: str,
        way: str,
        endpoints: Sequence[Endpoint],
        clock: ManualClock,
        rng: random.Random,
    ) -> None:
        self.domain = domain
        self.loads = Loads()
        self.health = Health(clock)
        self.reports: deque[dict[int, Work]] = deque()
        if way == "weights":
            self.choose: Choose = ByWeights(domain, self.loads, self.health, rng).choose
            return
        margin = float(way)
        locality = (
            Locality("llm", domain, margin, self.loads, clock, rng, lambda: endpoints)
            if margin
            else None
        )
        self.choose = Placement(self.loads, self.health, rng, locality).choose

    def report(self) -> None:
        """Record the own work, to be known to others after the propagation delay."""
        own = self.loads.own().items()
        self.reports.append({key: Work(w.requests, w.reading, w.tokens) for key, w in own})


class Model:
    """Entries and replicas in virtual time.

    Args:
        scenario: The load.
        way: "weights", or the margin as a number; "0" ignores failure domains.
        seed: Seed of arrivals, durations and selections.
    """

    def __init__(self, scenario: Scenario, way: str, seed: int) -> None:
        self._scenario = scenario
        self._arrivals = random.Random(seed)
        self._durations = random.Random(seed + 1)
        self._clock = ManualClock(0.0)
        selections = random.Random(seed + 2)
        self._endpoints = [
            _endpoint(f"{domain}{number}", domain)
            for domain, replicas in zip(DOMAINS, scenario.replicas, strict=True)
            for number in range(replicas)
        ]
        self._entries = [
            _Entry(domain, way, self._endpoints, self._clock, selections)
            for domain in DOMAINS
            for _ in range(scenario.entries)
        ]
        self._present = Counter({each.id: 0 for each in self._endpoints})
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._counts: Counter[str] = Counter()
        self._deviations: list[float] = []
        self._excesses: list[float] = []
        self._domain_excesses: list[float] = []
        self._seconds: list[float] = []

    def run(self) -> Measured:
        """Run the scenario."""
        for at, rate in enumerate(self._scenario.rates):
            self._at(self._next_arrival(at, rate, 0.0), partial(self._arrive, at))
        self._at(UPDATE_SECONDS, self._update)
        while self._events[0][0] < self._scenario.seconds:
            due_at, _, act = heapq.heappop(self._events)
            self._clock.advance(due_at - self._clock.monotonic())
            act()
        requests = self._counts["requests"]
        return Measured(
            self._counts["crossing"] / requests,
            statistics.fmean(self._deviations),
            statistics.fmean(self._excesses),
            statistics.fmean(self._domain_excesses),
            self._counts["waited"] / requests,
            self._counts["beyond"] / requests,
            statistics.fmean(self._seconds),
        )

    def _at(self, at: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), act))

    def _next_arrival(self, domain: int, rate: float, now: float) -> float:
        phase = 2.0 * math.pi * (now / self._scenario.seconds * 2.0 + domain / len(DOMAINS))
        rate *= 1.0 + self._scenario.swing * math.sin(phase)
        return now + self._arrivals.expovariate(rate)

    def _arrive(self, domain: int) -> None:
        now = self._clock.monotonic()
        rate = self._scenario.rates[domain]
        self._at(self._next_arrival(domain, rate, now), lambda: self._arrive(domain))
        number = domain * self._scenario.entries + self._arrivals.randrange(self._scenario.entries)
        self._send(self._entries[number], now)

    def _send(self, entry: _Entry, arrived_at: float) -> None:
        now = self._clock.monotonic()
        counts = now >= WARM_UP_SECONDS
        arrivals = sum(self._scenario.rates) * PROPAGATION_SECONDS
        sample = max(MIN_SAMPLE_SIZE, math.ceil(SAMPLE_RATIO * len(self._endpoints) / arrivals))
        work = Work(1, 800, 940)
        chosen = entry.choose(self._endpoints, work, self._scenario.kv_tokens, frozenset(), sample)
        assert chosen is not None
        if not chosen.free:
            if arrived_at == now:
                self._counts["waited"] += counts
            self._at(now + RETRY_SECONDS, lambda: self._send(entry, arrived_at))
            return
        endpoint = chosen.endpoint
        self._counts["requests"] += counts
        self._counts["crossing"] += counts and endpoint.failure_domain != entry.domain
        self._counts["beyond"] += counts and self._present[endpoint.id] >= SLOTS
        entry.loads.begin(endpoint.id, work)
        self._present[endpoint.id] += 1
        mean = self._scenario.holds[DOMAINS.index(endpoint.failure_domain)]
        ends_at = now + mean * self._durations.uniform(0.5, 1.5)

        def end() -> None:
            entry.loads.end(endpoint.id, work)
            entry.health.answered(endpoint.id, ends_at - now, ok=True)
            self._present[endpoint.id] -= 1
            if counts:
                self._seconds.append(ends_at - arrived_at)

        self._at(ends_at, end)

    def _update(self) -> None:
        now = self._clock.monotonic()
        for entry in self._entries:
            entry.report()
        if len(self._entries[0].reports) > PROPAGATION_SECONDS / UPDATE_SECONDS:
            known = {str(at): each.reports.popleft() for at, each in enumerate(self._entries)}
            for at, entry in enumerate(self._entries):
                for peer, works in known.items():
                    if peer != str(at):
                        entry.loads.update_peer(peer, works)
        if now >= WARM_UP_SECONDS:
            present = list(self._present.values())
            self._deviations.append(statistics.pstdev(present))
            self._excesses.append(max(present) - statistics.fmean(present))
            self._domain_excesses.append(self._domain_excess())
        self._at(now + UPDATE_SECONDS, self._update)

    def _domain_excess(self) -> float:
        by_domain: dict[str, list[int]] = {}
        for each in self._endpoints:
            by_domain.setdefault(each.failure_domain, []).append(self._present[each.id])
        fullest = max(statistics.fmean(present) for present in by_domain.values())
        return (fullest - statistics.fmean(self._present.values())) / SLOTS


def _endpoint(name: str, domain: str) -> Endpoint:
    return Endpoint(
        id=name,
        incarnation=Incarnation(name),
        service="llm",
        address=Address("127.0.0.1", 9),
        failure_domain=domain,
        places=SLOTS,
        state=EndpointState.READY,
    )


def compare(scenario: Scenario, ways: Sequence[str], seeds: int) -> dict[str, Measured]:
    """Return the mean results of several ways on the same seeds."""
    found = {}
    for way in ways:
        runs = [Model(scenario, way, 100 * seed).run() for seed in range(seeds)]
        found[way] = Measured(
            *(
                statistics.fmean(getattr(run, name) for run in runs)
                for name in Measured.__dataclass_fields__
            )
        )
    return found


def main(seeds: int) -> None:
    """Print a table of all scenarios and ways."""
    ways = ("0", "1e-6", "0.2", "0.4", "weights")
    print(
        "| load | way | crossing | deviation | excess | domain excess | waited |"
        " beyond slots | seconds |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for name, scenario in SCENARIOS.items():
        for way, each in compare(scenario, ways, seeds).items():
            print(
                f"| {name} | {way} | {each.crossing:.3f} | {each.deviation:.2f} | {each.excess:.2f}"
                f" | {each.domain_excess:.3f} | {each.waited:.3f}"
                f" | {each.beyond:.3f} | {each.seconds:.3f} |"
            )


if __name__ == "__main__":
    main(int(sys.argv[2]) if sys.argv[1:2] == ["--seeds"] else 3)
