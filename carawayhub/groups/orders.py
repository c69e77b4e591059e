"""Orders to the ranks of a lock-step group, and the state that a rank reports.

Every order is idempotent and names everything it depends on, so a late or repeated order has
either the effect its issuer intended or none. ``docs/design/map-change.md`` lists the rules that an
engine must follow.
"""

from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.groups.maps import ExpertMap, Load, MapId


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """The fencing number of a decider.

    Attributes:
        number: Higher than that of every earlier decider whose orders the ranks have received.
        decider: Random number drawn when the decider started; distinguishes two deciders with the
            same ``number``.
    """

    number: int = 0
    decider: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Formation:
    """A set of ranks joined in one communicator; only its members step together.

    Attributes:
        id: Name of the communicator, never reused.
        version: Configuration version that named the members.
        members: Incarnation of each rank, by rank.
        first_map: The map that all members begin with.
    """

    id: str
    version: int
    members: tuple[int, ...]
    first_map: MapId


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A switch to another map; two changes are equal only if all attributes are equal.

    Attributes:
        formation: Id of the formation that it applies to.
        base: Map to replace.
        target: Map to install.
        step: First step that runs on the target.
    """

    formation: str
    base: MapId
    target: MapId
    step: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RankState:
    """State that a rank reports.

    Attributes:
        rank: Position in the group.
        incarnation: Random number drawn when its engine started.
        promised: Highest term received; stays at zero if the engine does not check fencing.
        formation: The formation it is a member of, None after a start.
        map: The map that its next step runs on, unless an armed change applies at that step.
        entered: Highest step of the formation whose collective it has entered.
        barred: The rank arms no change for a step up to this one.
        armed: The change it has agreed to; it does not enter the step without a verdict.
        committed: Whether the verdict on ``armed`` is to commit.
        staging: The map whose weights it is fetching or has fetched.
        missing: Fetches still missing for ``staging``.
    """

    rank: int
    incarnation: int
    promised: Term = Term()
    formation: Formation | None = None
    map: MapId | None = None
    entered: int = 0
    barred: int = 0
    armed: Change | None = None
    committed: bool = False
    staging: MapId | None = None
    missing: int = 0

    @property
    def next_map(self) -> MapId | None:
        """The target of a committed change that is not yet in force, else the current map."""
        return self.armed.target if self.armed is not None and self.committed else self.map

    def holds(self, wanted: MapId) -> bool:
        """Return whether the rank holds all weights of ``wanted``."""
        if self.map == wanted or (self.armed is not None and self.armed.target == wanted):
            return True
        return self.staging == wanted and self.missing == 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """Promise to obey no lower term than this one, and report the state."""

    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepare:
    """Select the weights of ``map`` as those to fetch.

    Weights of an earlier Prepare may be dropped, except for the map in force and the armed one.
    """

    term: Term
    map: ExpertMap


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch:
    """Fetch the weights of ``loads`` from the weight store while the rank keeps stepping."""

    term: Term
    target: MapId
    loads: tuple[Load, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Form:
    """Leave formation ``replaces`` and join ``formation``.

    A rank obeys only if it is in ``replaces`` and its own incarnation is a member of ``formation``:
    a late order names a formation that the rank has already left, and has no effect.
    """

    term: Term
    formation: Formation
    replaces: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Arm:
    """Agree to ``change``, unless its step has been entered or barred."""

    term: Term
    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Withdraw:
    """Bar the step of ``change``, unless the rank has agreed to the change."""

    term: Term
    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Abort:
    """Drop ``change`` and bar its step; sent only after a rank has reported that it barred it."""

    term: Term
    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Apply ``change`` at its step; sent only after all ranks have reported their agreement."""

    term: Term
    change: Change


Order = Read | Prepare | Fetch | Form | Arm | Withdraw | Abort | Commit


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A rank's answer to an order.

    Attributes:
        code: OK, ORDER_FENCED, ORDER_REFUSED, STAGING_FAILED or STORE_BUSY.
        state: State of the rank after the order.
        retry_after: Seconds after which the weight store accepts a retry.
    """

    code: Code
    state: RankState
    retry_after: float = 0.0
