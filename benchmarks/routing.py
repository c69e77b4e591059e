"""Choice of endpoints: the router against round robin, least reported load and plain random.

Several entries, each with its own router, send one request stream to fake engines. One engine runs
at a third of its speed. All policies see the same arrivals and the same late reports.
"""

import json
import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import msgspec

from benchmarks.fakes import (
    DOMAINS,
    MODEL_TARGET,
    REGION,
    FakeEngine,
    FakeRequest,
    Timeline,
    arrivals,
    fake_configuration,
    percentile,
)
from benchmarks.routing_policies import (
    LeastReported,
    PlainRandom,
    Policy,
    RoundRobin,
    RouterPolicy,
)
from carawayhub.config.model import Configuration, Limits
from carawayhub.peers.messages import CacheEvents
from carawayhub.routing.directory import EntryDirectory
from carawayhub.routing.query import RouteQuery
from carawayhub.routing.router import Router

LAGS = (0.0, 0.5, 1.0, 2.0)
ENDPOINTS = 12
ENTRIES = 7
CAPACITY = 32
RATE = 120.0
SECONDS = 60.0
WARM_SECONDS = 10.0
REPORT_SECONDS = 0.5
PERMIT_SECONDS = 2.0
SLOWNESS = 3.0
CACHE_BLOCKS = 700
SESSIONS = 300
SYSTEM_BLOCKS = 4
SESSION_BLOCKS = 16
TOKENS = 100
EVENT_LOSS = 0.03
SEED = 7
PLANNED_ENDPOINTS = 5400
PLANNED_ENTRIES = 780
PLANNED_LINKS = 83
SHARES = {"provider-a": 62.0, "provider-b": 31.0, "provider-c": 7.0}
POLICIES = ("round_robin", "least_reported", "random", "router_without_prefixes", "router")


@dataclass(slots=True)
class PolicyRow:
    """Result of one policy at one report lag; times in milliseconds.

    Attributes:
        spread: Mean over time of the busiest endpoint's load over the mean of all.
        slow_part: Part of the requests that went to the slow endpoint.
        unanswered: Requests without a first token when the run ended.
    """

    lag: float
    policy: str
    requests: int
    first_p50: float
    first_p99: float
    whole_p99: float
    hit_share: float
    spread: float
    slow_part: float
    unanswered: int


@dataclass(slots=True)
class ShareRow:
    """Share of one provider over one run, in percent."""

    provider: str
    wanted: float
    measured: float
    error: float


@dataclass(slots=True)
class CostRow:
    """Processor time of one choice in microseconds."""

    endpoints: int
    prefix_blocks: int
    choose_us: float


@dataclass(slots=True)
class SlopeRow:
    """Processor time of one piece of work at the planned size, in microseconds."""

    work: str
    microseconds: float


class Trial:
    """One run of one policy at one lag."""

    def __init__(self, policy: str, lag: float, cfg: Configuration, slowness: float) -> None:
        self.time = Timeline()
        self.rng = random.Random(SEED)
        self.lag = lag
        self.names = sorted(cfg.endpoints)
        self.engines = {
            name: FakeEngine(
                self.time, name, CAPACITY, slowness if index == 0 else 1.0, CACHE_BLOCKS
            )
            for index, name in enumerate(self.names)
        }
        self.entries = [self._entry(policy, index, cfg) for index in range(ENTRIES)]
        self.first: list[float] = []
        self.whole: list[float] = []
        self.spread: list[float] = []
        self.sent: Counter[str] = Counter()
        self.measured = 0

    def run(self) -> None:
        """Send all requests and wait a little for the last."""
        started = self.time.now
        for name in self.names:
            self.time.every(0.1, self.engines[name].sample, first=0.0)
            self.time.every(REPORT_SECONDS, lambda n=name: self._report(n), first=0.001)  # type: ignore[misc]
        self.time.every(0.25, self._measure_spread, first=WARM_SECONDS)
        for at in arrivals(self.rng, RATE, SECONDS):
            self.time.after(0.01 + at, lambda warm=at < WARM_SECONDS: self._send(warm))  # type: ignore[misc]
        self.time.run_until(started + SECONDS + 3.0)

    def _entry(self, policy: str, index: int, cfg: Configuration) -> Policy:
        rng = random.Random(SEED * 1000 + index)
        match policy:
            case "round_robin":
                return RoundRobin(self.names, rng)
            case "least_reported":
                return LeastReported(self.names, rng)
            case "random":
                return PlainRandom(self.names, rng)
        router = Router(self.time.clock, rng, DOMAINS[index % len(DOMAINS)], REGION)
        router.configure(cfg)
        return RouterPolicy(router, use_prefixes=policy == "router")

    def _report(self, name: str) -> None:
        report = self.engines[name].report(self.lag, PERMIT_SECONDS)
        if self.rng.random() < EVENT_LOSS:
            report = msgspec.structs.replace(report, cache=CacheEvents(first=0))
        for entry in self.entries:
            entry.observe(report, self.time.now)

    def _send(self, warm: bool) -> None:
        entry = self.rng.choice(self.entries)
        session = min(int(self.rng.expovariate(3.0 / SESSIONS)), SESSIONS - 1)
        blocks = _blocks(session, self.rng)
        query = RouteQuery(target=MODEL_TARGET, organisation="org", prefix_blocks=blocks)
        name = entry.choose(query)
        token = entry.begin(name)
        sent_at = self.time.now
        self.measured += not warm
        self.sent[name] += not warm

        def on_first() -> None:
            entry.progress(token)
            if not warm:
                self.first.append(self.time.now - sent_at)

        def on_end() -> None:
            entry.finish(token)
            if not warm:
                self.whole.append(self.time.now - sent_at)

        tokens = max(1, int(self.rng.expovariate(1.0 / TOKENS)))
        self.engines[name].submit(FakeRequest(blocks, tokens, 5, on_first, on_end))

    def _measure_spread(self) -> None:
        loads = [engine.load for engine in self.engines.values()]
        mean = sum(loads) / len(loads)
        if mean > 0:
            self.spread.append(max(loads) / mean)


def _blocks(session: int, rng: random.Random) -> tuple[int, ...]:
    system = session % 8
    depth = rng.randint(SESSION_BLOCKS // 2, SESSION_BLOCKS)
    head = tuple(hash((1, system, index)) for index in range(SYSTEM_BLOCKS))
    return head + tuple(hash((2, session, index)) for index in range(depth))


def run_policy(policy: str, lag: float) -> PolicyRow:
    """Measure one policy at one report lag."""
    cfg = fake_configuration(ENDPOINTS, ENTRIES, {"org": Limits()}, capacity=CAPACITY)
    trial = Trial(policy, lag, cfg, SLOWNESS)
    trial.run()
    served = sum(engine.served_blocks for engine in trial.engines.values())
    hits = sum(engine.hit_blocks for engine in trial.engines.values())
    return PolicyRow(
        lag=lag,
        policy=policy,
        requests=trial.measured,
        first_p50=round(1000 * percentile(trial.first, 0.5), 1),
        first_p99=round(1000 * percentile(trial.first, 0.99), 1),
        whole_p99=round(1000 * percentile(trial.whole, 0.99), 1),
        hit_share=round(hits / served, 3),
        spread=round(sum(trial.spread) / len(trial.spread), 2),
        slow_part=round(trial.sent[trial.names[0]] / trial.measured, 3),
        unanswered=trial.measured - len(trial.first),
    )


def run_shares() -> list[ShareRow]:
    """Measure the shares of three providers, all entries together."""
    cfg = fake_configuration(ENDPOINTS, ENTRIES, {"org": Limits()}, SHARES, CAPACITY)
    trial = Trial("router", 0.5, cfg, 1.0)
    trial.run()
    counts: Counter[str] = Counter()
    for name, count in trial.sent.items():
        counts[cfg.endpoints[name].provider] += count
    rows = []
    for provider, wanted in SHARES.items():
        measured = 100.0 * counts[provider] / trial.measured
        rows.append(
            ShareRow(provider, wanted, round(measured, 2), round(abs(measured - wanted), 2))
        )
    return rows


def run_cost(endpoints: int, prefix_blocks: int, rounds: int = 5000) -> CostRow:
    """Measure the processor time of a choice with its begin and finish, reports included."""
    timeline = Timeline()
    router = Router(timeline.clock, random.Random(SEED), DOMAINS[0], REGION)
    router.configure(fake_configuration(endpoints, 1, {"org": Limits()}))
    blocks = tuple(hash((3, index)) for index in range(prefix_blocks))
    query = RouteQuery(target=MODEL_TARGET, organisation="org", prefix_blocks=blocks)
    engines = [
        FakeEngine(timeline, f"endpoint-{index:03d}", CAPACITY, 1.0, CACHE_BLOCKS)
        for index in range(endpoints)
    ]
    for engine in engines:
        router.observe(engine.report(0.0, 1e9), timeline.now)
    spent = time.process_time()
    for _ in range(rounds):
        timeline.clock.advance(0.01)
        router.finish(router.begin(router.choose(query).endpoint))
    spent = time.process_time() - spent
    return CostRow(endpoints, prefix_blocks, round(1e6 * spent / rounds, 1))


def run_slopes() -> list[SlopeRow]:
    """Measure what routing costs one entry at the planned size, besides choices."""
    cfg = fake_configuration(PLANNED_ENDPOINTS, PLANNED_ENTRIES, {"org": Limits()})
    timeline = Timeline()
    router = Router(timeline.clock, random.Random(SEED), DOMAINS[0], REGION)
    router.configure(cfg)
    directory = EntryDirectory(timeline.clock, random.Random(SEED))
    directory.configure(cfg)
    reports = [
        FakeEngine(timeline, name, CAPACITY, 1.0, CACHE_BLOCKS).report(0.0, PERMIT_SECONDS)
        for name in sorted(cfg.endpoints)[:PLANNED_LINKS]
    ]

    def hear_all() -> None:
        timeline.clock.advance(REPORT_SECONDS)
        for report in reports:
            router.observe(report, timeline.now)

    return [
        SlopeRow("one report taken", _microseconds(hear_all, 50) / PLANNED_LINKS),
        SlopeRow("a configuration taken, router", _microseconds(lambda: router.configure(cfg), 20)),
        SlopeRow(
            "an answer to a caller", _microseconds(lambda: directory.answer(DOMAINS[0]), 2000)
        ),
        SlopeRow("status rows, heard only", _microseconds(lambda: router.states(True), 50)),
        SlopeRow("status rows, all declared", _microseconds(router.states, 5)),
    ]


def _microseconds(work: Callable[[], object], rounds: int) -> float:
    spent = time.process_time()
    for _ in range(rounds):
        work()
    return round(1e6 * (time.process_time() - spent) / rounds, 1)


@dataclass(slots=True)
class Result:
    """All rows of the benchmark."""

    policies: list[PolicyRow]
    shares: list[ShareRow]
    costs: list[CostRow]
    slopes: list[SlopeRow]


def run(lags: Sequence[float] = LAGS, policies: Sequence[str] = POLICIES) -> Result:
    """Run everything."""
    rows = [run_policy(policy, lag) for lag in lags for policy in policies]
    costs = [run_cost(endpoints, blocks) for endpoints in (12, 200) for blocks in (0, 20)]
    return Result(rows, run_shares(), costs, run_slopes())


def main(argv: list[str]) -> int:
    """Print the result as a table, or as JSON with ``--json``."""
    result = run()
    if "--json" in argv:
        print(json.dumps(asdict(result)))
        return 0
    print("lag s  policy                   first p50  first p99  whole p99   hits spread   slow")
    for row in result.policies:
        print(
            f"{row.lag:<6} {row.policy:<24} {row.first_p50:>9} {row.first_p99:>10} "
            f"{row.whole_p99:>10} {row.hit_share:>6.1%} {row.spread:>6} {row.slow_part:>6.1%}"
        )
    print("\nprovider      wanted %  measured %  error")
    for share in result.shares:
        print(f"{share.provider:<13} {share.wanted:>8} {share.measured:>11} {share.error:>6}")
    print("\nendpoints  prefix blocks  choose us")
    for cost in result.costs:
        print(f"{cost.endpoints:>9} {cost.prefix_blocks:>14} {cost.choose_us:>10}")
    print(f"\nat {PLANNED_ENDPOINTS} endpoints, {PLANNED_LINKS} of them linked       us")
    for slope in result.slopes:
        print(f"{slope.work:<36} {slope.microseconds:>8.1f}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
