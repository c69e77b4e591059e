"""Time of one decision at the planned size: 64 ranks, 64 experts a layer, 60 layers."""

import random
import time
from dataclasses import dataclass

from benchmarks.popularity_traces import mixed, scaled
from carawayhub.clock import ManualClock
from carawayhub.config.model import ModelGroup
from carawayhub.groups.decisions import Rebalance, Situation
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.policy import Policy
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.recompute import recomputed_row

RANKS = EXPERTS = 64
LAYERS = 60
SLOTS = 2
INTERVALS = 72
FLASH_FROM = 24
DECIDE_EVERY = 3
TOKENS = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Processor time of one kind of call over a flash in all layers, in milliseconds."""

    call: str
    calls: int
    mean_ms: float
    max_ms: float


def timings(seed: int) -> list[Timing]:
    """Return the processor time of decisions and of reports of counters."""
    rng = random.Random(seed)
    base = [_profile(rng) for _ in range(LAYERS)]
    wanted = [_profile(rng, spread=2.0) for _ in range(LAYERS)]
    group = ModelGroup(
        name="group",
        model="model",
        endpoints=(),
        ranks=RANKS,
        experts=EXPERTS,
        layers=LAYERS,
        spare_slots=SLOTS - 1,
        skew_weight=0.8,
        rebalancing_weight=0.2,
    )
    clock = ManualClock()
    policy = Policy(group, clock)
    rows = tuple(recomputed_row(row, ranks=RANKS, slots=SLOTS) for row in base)
    current = ExpertMap(number=1, ranks=RANKS, layers=rows)
    counts = [[0] * EXPERTS for _ in range(LAYERS)]
    decisions: list[float] = []
    reports: list[float] = []
    for index in range(INTERVALS):
        clock.advance(10.0)
        part = 0.2 * min(1.0, max(0.0, (index - FLASH_FROM) / 6.0))
        for layer, row in enumerate(counts):
            for expert, share in enumerate(mixed(base[layer], wanted[layer], part)):
                row[expert] += round(TOKENS * share * rng.lognormvariate(0.0, 0.03))
        counters = ExpertCounters(
            source=0, taken_at=clock.monotonic(), counts=tuple(tuple(row) for row in counts)
        )
        started = time.process_time()
        policy.observe(counters)
        reports.append(time.process_time() - started)
        if index % DECIDE_EVERY:
            continue
        started = time.process_time()
        decision = policy.decide(current, Situation())
        decisions.append(time.process_time() - started)
        if isinstance(decision, Rebalance):
            policy.applied(current, decision)
            current = decision.map
    return [_timing("decide", decisions), _timing("observe", reports)]


def _profile(rng: random.Random, spread: float = 0.5) -> list[float]:
    return scaled([rng.lognormvariate(0.0, spread) for _ in range(EXPERTS)])


def _timing(call: str, seconds: list[float]) -> Timing:
    return Timing(
        call=call,
        calls=len(seconds),
        mean_ms=1e3 * sum(seconds) / len(seconds),
        max_ms=1e3 * max(seconds),
    )
