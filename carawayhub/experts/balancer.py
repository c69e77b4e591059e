"""Whether a group changes its map now, and to which."""

import math
from collections.abc import Sequence

from carawayhub.experts.demand import Demand
from carawayhub.experts.model import Growth, Placement, is_whole
from carawayhub.experts.planner import CopyLimits, Plan, plan, skew
from carawayhub.gateway.model import EngineProfile, ExpertShape

BYTES_FOR_SKEW = 2e10
"""Bytes of copies for each rank that a full group may make to take 1.0 off its skew; a group half
full a quarter as many. Copies beyond that take away too little to be worth their price. Ranks copy
side by side, so more of them cost no time while each has one. With experts of 2.2 GB and demand
that moves every 3.7 s the skew was 1.97 and 2.03 and the worth 0.447 and 0.382 at a quarter of this
and a least gain of 0.2; with these 1.82 and 1.96, and 0.503 and 0.400 (a jump to 1.8, two seeds).
At two and a half times this, the copies cost 0.02 of worth where experts have 0.78 GB."""

COPY_SECONDS = 0.17
"""Seconds for which the rank with most copies copies in one change. Demand stays for two to four
seconds: replayed on recorded counters, 0.11 to 0.22 s give a mean skew of 1.84 to 1.87, 0.33 s 1.96
and copying without a limit, up to 0.9 s, 2.16."""

LINK_PART = 0.5
"""Part of a rank's link rate that its copies get: 150 MB took 0.054 s at 5.5 GB/s."""

LEAST_GAIN = 0.1
"""Skew that a change must take away. Samples of a tenth of a second put the skew of a good map
above its true one by up to twice as much, but the next change can begin at once."""

LEAST_PRESSURE = 0.2
"""Part of the places that must be taken, at the skew that is to come, for a change to be worth
anything: below it no request waits, and passes are short whatever the map."""

PRESSURE_POWER = 2
"""Power of the pressure by which copies are worth less in a group that is not full: passes are
short there whatever the skew."""

PRESSURE_SECONDS = 0.35
"""Seconds over which the mean of places taken is formed, however often the group is looked at."""


class Balancer:
    """Decides for one group.

    Args:
        profile: Profile of its engines.
        shape: Shape of its maps.

    Attributes:
        pressure: Part of the places that will be taken at the present skew.
    """

    __slots__ = ("_demand", "_noted_at", "_places", "_shape", "_skew", "_taken", "pressure")

    def __init__(self, profile: EngineProfile, shape: ExpertShape) -> None:
        self._shape = shape
        self._places = max(1, profile.places)
        self._demand = Demand(shape.layers, shape.experts)
        self._taken = 0.0
        self._noted_at: float | None = None
        self._skew = 1.0
        self.pressure = 0.0

    def decide(self, current: Placement, growths: Sequence[Growth], now: float) -> Plan | None:
        """Return the change to make, None where none is worth its price.

        Args:
            current: The map in force.
            growths: How the counters of the ranks grew since the last look.
            now: Reading of a clock.
        """
        shares = self._demand.take(growths)
        if shares is None:
            return None
        self._note_pressure(growths, skew(current, shares), now)
        if self.pressure < LEAST_PRESSURE:
            return None
        best = plan(current, shares, self._limits(len(current[0])))
        if (best.skew_before - best.skew_after) * min(1.0, self.pressure) < LEAST_GAIN:
            return None
        shape = self._shape
        return best if is_whole(best.placement, shape.experts, shape.places) else None

    def _limits(self, ranks: int) -> CopyLimits:
        shape = self._shape
        copies_for_skew = BYTES_FOR_SKEW * ranks / max(1.0, shape.expert_bytes)
        worth = copies_for_skew * min(1.0, self.pressure) ** PRESSURE_POWER
        return CopyLimits(
            places=shape.places,
            new_in_set=shape.spare,
            new_in_rank=copies_within(COPY_SECONDS, shape),
            least_gain=shape.layers / max(1.0, worth),
        )

    def _note_pressure(self, growths: Sequence[Growth], skew_now: float, now: float) -> None:
        """Work out the part of the places that will be taken at the present skew.

        Requests stay as long as passes take, and passes grow with the skew. What is measured
        belongs to the skew of the last second; demand that has just changed shows in the counters
        before it shows in the places.
        """
        taken = sum(each.present for each in growths) / (self._places * len(growths))
        weight = self._weight(now)
        self._taken += weight * (taken - self._taken)
        share = self._shape.share
        stretch = (1.0 - share + share * skew_now) / (1.0 - share + share * self._skew)
        self._skew += weight * (skew_now - self._skew)
        self.pressure = self._taken * stretch

    def _weight(self, now: float) -> float:
        """Return the weight of a look by the time since the one before."""
        before, self._noted_at = self._noted_at, now
        passed = PRESSURE_SECONDS if before is None else now - before
        return 1.0 - math.exp(-passed / PRESSURE_SECONDS)


def copies_within(seconds: float, shape: ExpertShape) -> int:
    """Return how many experts a rank copies in ``seconds``; one at the least."""
    rate = shape.link_rate * LINK_PART
    return max(1, int(seconds * rate / max(1.0, shape.expert_bytes)))
