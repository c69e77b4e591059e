"""Data types for the inputs, options and decisions of the rebalancing policy."""

from dataclasses import dataclass, field
from enum import Enum

from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.stragglers import Straggler


class Reason(Enum):
    """Why a map is kept or changed; the value is the text shown to operators."""

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
    """The state of the group that a decision needs besides expert popularity.

    Attributes:
        draining: Whether the group or one of its endpoints is leaving.
        changing: Whether a change of its map is under way.
        utilisation: Fraction of its capacity in use, from 0 to 1, or above 1 under overload.
        running: Number of running requests.
        step_seconds: Recent mean time of one step.
        staging_rate: Bytes per second that the weight store can deliver to this group.
        routing_share: Fraction of the gain that routing alone can achieve, from 0 to 1.
        stragglers: Ranks that are slower than their load explains.
    """

    draining: bool = False
    changing: bool = False
    utilisation: float = 0.5
    running: int = 32
    step_seconds: float = 0.006
    staging_rate: float = 1_000_000_000.0
    routing_share: float = 0.0
    stragglers: tuple[Straggler, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class SearchBudget:
    """Limits on the search of one decision, which bound its run time.

    Attributes:
        steps: Maximum number of search steps over all layers.
        slow_searches: Number of layers per decision that get the slow searches, in rotation.
    """

    steps: int = 140
    slow_searches: int = 12


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyOptions:
    """Assumptions behind a decision.

    Attributes:
        horizon: Seconds for which a better balance is initially expected to last, and for which
            each change is measured; the measurements then replace the initial value.
        max_staging_seconds: Maximum time that the weight store may spend on one change.
        min_standard_errors: Standard errors by which a gain must exceed zero.
        surge_utilisation: Utilisation from which the group is in a surge.
        surge_cost_factor: Factor on all costs in a surge.
        staging_cost_factor: Seconds of step time that equal one second of the weight store's work
            at equal weights; below 1 because steps continue during staging.
        search_budget: Limits on the search of one decision.
    """

    horizon: float = 900.0
    min_standard_errors: float = 5.0
    surge_utilisation: float = 0.85
    surge_cost_factor: float = 2.0
    max_staging_seconds: float = 30.0
    staging_cost_factor: float = 0.5
    search_budget: SearchBudget = field(default_factory=SearchBudget)


@dataclass(frozen=True, slots=True, kw_only=True)
class Keep:
    """Keep the current map.

    Attributes:
        reason: Why the map is kept.
        skew: Current estimate of the step-time skew.
    """

    reason: Reason
    skew: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Rebalance:
    """Change to another map.

    Attributes:
        reason: Why the map changes.
        map: The new map.
        skew: Current estimate of the step-time skew.
        expected_skew: Step-time skew expected under the new map.
        gain_seconds: Step time saved over the horizon, less the part that noise may explain.
        cost_seconds: Cost of the change in seconds of step time.
        fetches: Number of experts that ranks must load.
        bytes: Total size of those experts.
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
