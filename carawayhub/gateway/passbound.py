"""Bounds the requests in flight at a lock-step group so that its passes stay within the pause.

Handles demand that swings within seconds around what a group can give. All streams of a group share
each pass, so a group that is filled slightly past what its passes bear makes all of them late, by
milliseconds. The published profile says how a pass grows with the requests in flight; by how much
passes are longer than that is observed, since it depends on the expert map and on slow ranks. The
bound is the number of requests at which a pass is predicted to end within the accepted pause.
"""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from carawayhub.gateway.grouplimits import GroupShape

WINDOW_SECONDS = 1.0
"""Time over which passes are averaged. The bound follows from the shorter ones of the two latest
windows: after a change of demand passes are long for about a second, until the expert map follows,
and a bound would only refuse callers meanwhile."""

PASS_MARGIN = 0.05
"""Fraction of the accepted pause that is left for passes which take longer than the mean."""

MIN_FRACTION = 0.6
"""Smallest bound as a fraction of the slots. If passes are so long that fewer requests were needed,
something else than the requests makes them long, and a bound would leave slots empty in vain."""


def request_bound(shape: "GroupShape", windows: Sequence[Sequence[float]]) -> int | None:
    """Return the maximum number of requests in flight, None for no bound.

    Args:
        shape: The group.
        windows: For each of the latest windows, the observed durations of passes in relation to the
            profile. Windows without a sample say that the group was idle.
    """
    if not windows or not all(windows):
        return None
    stretch = min(sum(each) / len(each) for each in windows)
    most = requests_within(shape, stretch)
    if most >= shape.slots or most < MIN_FRACTION * shape.slots:
        return None
    return int(most)


def requests_within(shape: "GroupShape", stretch: float) -> float:
    """Return the requests in flight at which a pass takes as long as callers accept.

    Args:
        shape: The group.
        stretch: Duration of passes in relation to the profile.
    """
    longest = shape.gap * (1.0 - PASS_MARGIN) / stretch
    idle = shape.pass_seconds(0.0)
    per_request = shape.pass_seconds(1.0) - idle
    return max(0.0, longest - idle) / per_request
