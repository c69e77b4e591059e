"""Orders to the ranks of a lock-step group, and what a rank says of itself.

Every order is idempotent and names all that it depends on, so that a late or repeated one either
has the effect its giver wanted or none. What an engine must keep to is in
``docs/design/map-change.md``.
"""

from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.groups.maps import ExpertMap, Load, MapId


@dataclass(frozen=True, slots=True, order=True)
class Term:
    """The fencing number of a decider.

    Attributes:
        number: Above that of every earlier decider whose orders the ranks have seen.
        decider: Random number drawn when the decider started; tells apart two of one number.
    """

    number: int = 0
    decider: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Formation:
    """One joining of ranks into a communicator; only its members step with each other.

    Attributes:
        id: Name of the communicator, never used twice.
        version: Configuration version that named the members.
        members: Incarnation of each rank, by rank.
        first_map: The map all members begin with.
    """

    id: str
    version: int
    members: tuple[int, ...]
    first_map: MapId


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One switch of the map; two changes are the same only if all of this is equal.

    Attributes:
        formation: Id of the formation that it is for.
        base: Map it replaces.
        target: Map it installs.
        step: First step that runs on the target.
    """

    formation: str
    base: MapId
    target: MapId
    step: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RankState:
    """What a rank says of itself.

    Attributes:
        rank: Its position in the group.
        incarnation: Random number drawn when its engine started.
        promised: Highest term it has seen; stays at zero where fencing is not checked.
        formation: The formation it is a member of, None after its start.
        map: The map its next step runs on, as long as nothing armed says otherwise.
        entered: Highest step of this formation whose collective it has entered.
        barred: No change is armed for a step up to this one.
        armed: The change it has agreed to; it does not enter the step before a verdict.
        committed: Whether the verdict on ``armed`` is to commit.
        staging: The map whose weights it fetches or has fetched.
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
        """The map it goes to as far as it knows a verdict, else the one it is on."""
        return self.armed.target if self.armed is not None and self.committed else self.map

    def holds(self, wanted: MapId) -> bool:
        """Return whether the weights of ``wanted`` are all here."""
        if self.map == wanted or (self.armed is not None and self.armed.target == wanted):
            return True
        return self.staging == wanted and self.missing == 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Read:
    """Promise to obey no earlier term than this one, and tell the state."""

    term: Term


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepare:
    """Set weights of ``map`` as the ones to fetch.

    Those of an earlier Prepare may go, but for the map in force and the one that is armed.
    """

    term: Term
    map: ExpertMap


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetch:
    """Fetch the weights of ``loads`` from the weight store beside the steps that run."""

    term: Term
    target: MapId
    loads: tuple[Load, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Form:
    """Leave formation ``replaces`` and join ``formation``.

    A rank obeys only if ``replaces`` is where it is and its own incarnation is a member: an order
    that comes late names a formation that the rank has left, and changes nothing.
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
    """Drop ``change`` and bar its step; sent only after a rank was seen that barred it."""

    term: Term
    change: Change


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Switch to ``change`` at its step; sent only after all ranks were seen to have agreed."""

    term: Term
    change: Change


Order = Read | Prepare | Fetch | Form | Arm | Withdraw | Abort | Commit


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A rank's answer to an order.

    Attributes:
        code: OK, ORDER_FENCED, ORDER_REFUSED, STAGING_FAILED or STORE_BUSY.
        state: The rank after the order.
        retry_after: Seconds after which the weight store wants to be asked again.
    """

    code: Code
    state: RankState
    retry_after: float = 0.0
