"""Maps that follow demand which changes every two seconds, by how much a change copies.

The load that it replays: groups of 24 ranks with 16 layer sets of 96 experts. The choices of a set
fall off as recorded (a ninth go to the first expert, a sixteenth to the second, and so on), most of
them move to other experts every 2.07 s, and a sample of a tenth of a second has some chance in it.
A copy takes 0.054 s at a rank. The figure is the load of the busiest rank over the mean, averaged
over time, and the copies made.

Run it with ``python -m benchmarks.expert_shift``.
"""

import json
import random
import sys
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace

from carawayhub.experts.balancer import Balancer
from carawayhub.experts.demand import Demand
from carawayhub.experts.model import Growth, Placement, initial_placement
from carawayhub.experts.planner import CopyLimits, Plan, plan, skew
from carawayhub.gateway.model import EngineProfile, ExpertShape
from carawayhub.output.tables import write_table

RANKS = 24
LAYERS = 16
EXPERTS = 96
PLACES = 5
SPARE = 2
LEAST_GAIN = 0.02
LOOK_SECONDS = 0.1
COPY_SECONDS = 0.054
SWITCH_SECONDS = 0.15
SHIFT_SECONDS = 2.07
MOVED = 0.7
HEAD = (0.11, 0.062, 0.042, 0.033, 0.029, 0.026, 0.022, 0.02, 0.019, 0.017)
CHOICES = 400_000
SLOW_RANK = 5
NOISE = 0.12

SHAPE = ExpertShape(
    layers=LAYERS,
    experts=EXPERTS,
    places=PLACES,
    spare=SPARE,
    share=0.85,
    expert_bytes=150e6,
    link_rate=5.5e9,
)
PROFILE = EngineProfile(
    places=5,
    kv_tokens=0,
    step=0.0046,
    step_per_request=0.002,
    prefill_rate=61_000.0,
    chunk=512,
    stride=5,
    mean_prompt_tokens=800.0,
    mean_answer_tokens=95.0,
    experts=SHAPE,
)

Shares = list[list[float]]


@dataclass(frozen=True, slots=True)
class Followed:
    """How well maps followed demand.

    Attributes:
        skew: Load of the busiest rank over the mean, averaged over time.
        copies: Copies made.
    """

    skew: float
    copies: int


class ShiftingDemand:
    """Shares of experts that change at once.

    Args:
        rng: Source of chance.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        rest = (1.0 - sum(HEAD)) / (EXPERTS - len(HEAD))
        self._profile = [*HEAD, *[rest] * (EXPERTS - len(HEAD))]
        self._order = [rng.sample(range(EXPERTS), EXPERTS) for _ in range(LAYERS)]

    def shift(self) -> None:
        """Give a part of the positions to other experts."""
        for order in self._order:
            moved = [at for at in range(EXPERTS) if self._rng.random() < MOVED]
            experts = [order[at] for at in moved]
            self._rng.shuffle(experts)
            for at, expert in zip(moved, experts, strict=True):
                order[at] = expert

    def shares(self) -> Shares:
        """Return the shares now."""
        layers = []
        for order in self._order:
            layer = [0.0] * EXPERTS
            for share, expert in zip(self._profile, order, strict=True):
                layer[expert] = share
            layers.append(layer)
        return layers

    def growth(self) -> Growth:
        """Return what one look sees of it."""
        counts = [
            share * CHOICES * self._rng.uniform(1 - 2 * NOISE, 1 + 2 * NOISE)
            for layer in self.shares()
            for share in layer
        ]
        unit = max(counts) / 255
        return Growth(unit=unit, levels=bytes(round(each / unit) for each in counts), present=0)


def follow_slow_rank(slowdown: float, *, known: bool, seconds: float = 6.0) -> Followed:
    """Return how well a balancer's maps follow while one rank of a full group is slow.

    Args:
        slowdown: Factor by which the rank is slower than usual.
        known: Whether the balancer is told of it.
        seconds: Simulated time.
    """
    balancer = Balancer(PROFILE, SHAPE)
    slowdowns = [slowdown if rank == SLOW_RANK else 1.0 for rank in range(RANKS)]

    def decide(current: Placement, growth: Growth, now: float) -> Plan | None:
        growths = [replace(growth, present=PROFILE.places)]
        return balancer.decide(current, growths, now, slowdowns if known else ())

    return _follow(decide, seconds, 1, slowdowns)


def follow(copies_a_rank: int, seconds: float = 12.0, seed: int = 1) -> Followed:
    """Return how well maps follow if a change copies at most so many experts a rank."""
    known = Demand(LAYERS, EXPERTS)
    limits = CopyLimits(
        places=PLACES, max_new_per_set=SPARE, max_new_per_rank=copies_a_rank, min_gain=LEAST_GAIN
    )

    def decide(current: Placement, growth: Growth, now: float) -> Plan | None:
        shares = known.update([growth])
        best = None if shares is None else plan(current, shares, limits)
        return best if best is not None and best.skew_before - best.skew_after >= 0.2 else None

    return _follow(decide, seconds, seed)


def _follow(
    decide: Callable[[Placement, Growth, float], Plan | None],
    seconds: float,
    seed: int,
    slowdowns: Sequence[float] = (),
) -> Followed:
    demand = ShiftingDemand(random.Random(seed))
    current = initial_placement(LAYERS, EXPERTS, RANKS)
    coming: tuple[float, Placement] | None = None
    total, copies, looks = 0.0, 0, round(seconds / LOOK_SECONDS)
    shift_at = SHIFT_SECONDS
    for look in range(looks):
        now = look * LOOK_SECONDS
        if now >= shift_at:
            demand.shift()
            shift_at += SHIFT_SECONDS
        if coming is not None and now >= coming[0]:
            current, coming = coming[1], None
        total += skew(current, demand.shares(), slowdowns)
        best = decide(current, demand.growth(), now)
        if coming is not None or best is None:
            continue
        copies += best.copies
        ready = now + SWITCH_SECONDS + COPY_SECONDS * best.most_copies
        coming = ready, best.placement
    return Followed(total / looks, copies)


def main(argv: Sequence[str]) -> None:
    """Print the table, or with ``--json`` the same as JSON."""
    found = {f"copies_{most}": follow(most) for most in (1, 2, 3, 4, 6, 16)}
    for slowdown in (2.25, 3.5, 12.0):
        found[f"slow_{slowdown:g}_unknown"] = follow_slow_rank(slowdown, known=False)
        found[f"slow_{slowdown:g}_known"] = follow_slow_rank(slowdown, known=True)
    if "--json" in argv:
        print(json.dumps({name: asdict(each) for name, each in found.items()}))
        return
    rows = [(name, f"{each.skew:.2f}", str(each.copies)) for name, each in found.items()]
    write_table(sys.stdout, ("copies a rank", "mean skew", "copies made"), rows)


if __name__ == "__main__":
    main(sys.argv[1:])
