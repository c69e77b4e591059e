"""Decides whether a group changes its map now, and to which one."""

import math
from collections.abc import Iterable, Sequence

from carawayhub.experts.demand import Demand
from carawayhub.experts.model import Growth, Placement, is_complete
from carawayhub.experts.planner import CopyLimits, Plan, plan, skew
from carawayhub.gateway.model import EngineProfile, ExpertShape

COPY_BYTES_PER_SKEW = 2e10
"""Bytes per rank that a fully loaded group may copy to reduce its skew by 1.0; a group at half load
may copy a quarter of that. Further copies gain less than they cost: at 2.5 times this value, the
copies cost 0.02 of worth with experts of 0.78 GB. At a quarter of this value and a minimum gain of
0.2, the skew of experts of 2.2 GB is 1.97 to 2.03 instead of 1.82 to 1.96. Ranks copy
in parallel, so additional copies take no additional time while each rank copies one expert."""

COPY_BUDGET_SECONDS = 0.17
"""Copying time per change at the rank with the most copies. Demand changes every two to four
seconds, so long changes take effect too late: on recorded counters, 0.11 to 0.22 s give a mean skew
of 1.84 to 1.87, 0.33 s gives 1.96, and unlimited copying (up to 0.9 s) gives 2.16."""

LINK_SHARE = 0.5
"""Fraction of a rank's link rate that is available to copies: copying 150 MB takes 0.054 s over a
link of 5.5 GB/s."""

MIN_GAIN = 0.1
"""Minimum reduction of the skew that justifies a change. Samples of 0.1 s overestimate the skew of
a good map by up to twice this value, which is acceptable since the next change can begin
immediately."""

MIN_PRESSURE = 0.2
"""Minimum fraction of occupied slots, at the expected skew, that justifies a change: below it no
request is queued, and passes are short under any map."""

PRESSURE_EXPONENT = 2
"""Exponent of the pressure that scales down the value of copies in a group that isn't full, where
passes are short regardless of the skew."""

PRESSURE_WINDOW_SECONDS = 0.35
"""Time constant of the moving average of occupied slots, independent of the polling interval."""


USUAL_MAX_SKEW = 3.4
"""Skew of the initial map of a group without slow ranks. A slow rank leads to a higher skew, and a
change may take proportionally longer, since the group waits for this rank in each pass."""

MIN_SLOWDOWN = 1.25
"""Minimum factor by which a slow rank is slower than usual; a smaller one is treated as 1."""


class Balancer:
    """Decides when one group changes its map.

    Args:
        profile: Profile of its engines.
        shape: Shape of its maps.

    Attributes:
        pressure: Expected fraction of occupied slots at the current skew.
    """

    __slots__ = ("_demand", "_places", "_shape", "_skew", "_updated_at", "_utilisation", "pressure")

    def __init__(self, profile: EngineProfile, shape: ExpertShape) -> None:
        self._shape = shape
        self._places = max(1, profile.places)
        self._demand = Demand(shape.layers, shape.experts)
        self._utilisation = 0.0
        self._updated_at: float | None = None
        self._skew = 1.0
        self.pressure = 0.0

    def observe(self, growths: Iterable[Growth]) -> None:
        """Add the growth of the ranks' counters to the demand while no change is possible."""
        self._demand.update(growths)

    def decide(
        self,
        current: Placement,
        growths: Sequence[Growth],
        now: float,
        slowdowns: Sequence[float] = (),
    ) -> Plan | None:
        """Return the change to make, None if none is worth its cost.

        Args:
            current: The map in force.
            growths: Growth of the ranks' counters since the previous poll.
            now: Timestamp of a monotonic clock.
            slowdowns: Factor by which each rank is slower than usual; empty if none is slow.
        """
        shares = self._demand.update(growths)
        if shares is None:
            return None
        slow = [each if each >= MIN_SLOWDOWN else 1.0 for each in slowdowns]
        skew_now = skew(current, shares, slow)
        self._update_pressure(growths, skew_now, now)
        if self.pressure < MIN_PRESSURE:
            return None
        best_plan = plan(current, shares, self._limits(len(current[0]), skew_now), slow)
        if (best_plan.skew_before - best_plan.skew_after) * min(1.0, self.pressure) < MIN_GAIN:
            return None
        shape = self._shape
        return best_plan if is_complete(best_plan.placement, shape.experts, shape.places) else None

    def _limits(self, ranks: int, skew_now: float) -> CopyLimits:
        shape = self._shape
        max_copies_per_skew = COPY_BYTES_PER_SKEW * ranks / max(1.0, shape.expert_bytes)
        copies_per_skew = max_copies_per_skew * min(1.0, self.pressure) ** PRESSURE_EXPONENT
        budget = COPY_BUDGET_SECONDS * max(1.0, skew_now / USUAL_MAX_SKEW)
        return CopyLimits(
            places=shape.places,
            max_new_per_set=shape.spare,
            max_new_per_rank=copies_within(budget, shape),
            min_gain=shape.layers / max(1.0, copies_per_skew),
        )

    def _update_pressure(self, growths: Sequence[Growth], skew_now: float, now: float) -> None:
        """Estimate the fraction of occupied slots at the current skew.

        The duration of passes, and so that of requests, grows with the skew. The measured occupancy
        reflects the skew of the last second; a change of demand is visible in the counters before
        it affects the occupancy.
        """
        utilisation = sum(each.present for each in growths) / (self._places * len(growths))
        weight = self._sample_weight(now)
        self._utilisation += weight * (utilisation - self._utilisation)
        share = self._shape.share
        pass_time_ratio = (1.0 - share + share * skew_now) / (1.0 - share + share * self._skew)
        self._skew += weight * (skew_now - self._skew)
        self.pressure = self._utilisation * pass_time_ratio

    def _sample_weight(self, now: float) -> float:
        """Return the weight of a sample, given the time since the previous one."""
        before, self._updated_at = self._updated_at, now
        elapsed = PRESSURE_WINDOW_SECONDS if before is None else now - before
        return 1.0 - math.exp(-elapsed / PRESSURE_WINDOW_SECONDS)


def copies_within(seconds: float, shape: ExpertShape) -> int:
    """Return how many experts a rank can copy in ``seconds``, at least one."""
    rate = shape.link_rate * LINK_SHARE
    return max(1, int(seconds * rate / max(1.0, shape.expert_bytes)))
