"""What the policy is told, what it assumes and what it decides, as data."""

from dataclasses import dataclass, field
from enum import Enum

from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.stragglers import Straggler


class Reason(Enum):
    """Why a map stays or changes; the value is the text for operators."""

    DRAINING = "the group drains"
    CHANGING = "a change is under way"
    LEARNING = "too few counters so far"
    STALE = "the counters are too old"
    NO_WEIGHT = "the skew weight is 0: no gain is worth a move"
    NO_STAGING = "the weight store has nothing to give to this group now"
    BALANCED = "no layer's gain exceeds the noise and the cost of one move"
    STRAGGLER = "a rank is slow at an ordinary load: a matter of health, moves would not help"
    NOT_WORTH_IT = "the gain over the horizon is below the cost"
    SURGE = "the gain does not cover the cost in a surge"
    GAIN = "the gain over the horizon exceeds the cost"


@dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """What the decision must know of the group beside popularity.

    Attributes:
        draining: Whether the group or one of its endpoints is leaving.
        changing: Whether a change of its map is under way.
        utilisation: Part of its capacity in use, from 0 to 1 or above.
        running: Requests that run on it.
        step_seconds: Recent mean time of one step.
        staging_rate: Bytes a second that the weight store can give this group.
        routable: Part of the gain that routing can reach by itself, from 0 to 1.
        stragglers: Ranks known to be slow at an ordinary load.
    """

    draining: bool = False
    changing: bool = False
    utilisation: float = 0.5
    running: int = 32
    step_seconds: float = 0.006
    staging_rate: float = 1_000_000_000.0
    routable: float = 0.0
    stragglers: tuple[Straggler, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Effort:
    """How much one decision may search, which bounds its time.

    Attributes:
        steps: Small steps over all layers.
        searches: Layers that get the slow searches in one decision; the layers take turns.
    """

    steps: int = 140
    searches: int = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyOptions:
    """What a decision assumes.

    Attributes:
        horizon: Seconds over which a better balance is expected to last at first, and for which
            each change is measured; from then on the measurements tell how long gains last.
        longest_staging: Seconds for which the weight store may work for one change.
        certainty: Standard errors by which a gain must exceed zero.
        surge_from: Utilisation from which the group is in a surge.
        surge_price: Factor on all costs in a surge.
        staging_price: Seconds of step time that a second of the weight store's work is worth at
            equal weights; below 1, since steps run on meanwhile.
        effort: How much one decision may search.
    """

    horizon: float = 900.0
    certainty: float = 5.0
    surge_from: float = 0.85
    surge_price: float = 2.0
    longest_staging: float = 30.0
    staging_price: float = 0.5
    effort: Effort = field(default_factory=Effort)


@dataclass(frozen=True, slots=True, kw_only=True)
class Keep:
    """Leave the map as it is.

    Attributes:
        reason: Why.
        skew: Step-time skew estimated now.
    """

    reason: Reason
    skew: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Rebalance:
    """Change to another map.

    Attributes:
        reason: Why.
        map: The new map.
        skew: Step-time skew estimated now.
        expected_skew: Step-time skew expected under the new map.
        gain_seconds: Step time saved over the horizon, less what noise may explain.
        cost_seconds: Cost of the change.
        fetches: Experts that ranks must load.
        bytes: Their size.
    """

    reason: Reason
    map: ExpertMap
    skew: float
    expected_skew: float
    gain_seconds: float
    cost_seconds: float
    fetches: int
    bytes: int


Decision = Keep | Rebalance
