"""State and audit events of a lock-step group, as shown to operators."""

from dataclasses import dataclass

from carawayhub.groups.maps import MapId
from carawayhub.output.audit import AuditTrail, Subject


@dataclass(slots=True, kw_only=True)
class GroupStatus:
    """State of a group as known to its decider.

    Attributes:
        group: Name of the group.
        map_number: Number of the map in force, 0 before the first map is known.
        digest: Digest of that map.
        formed: Whether all ranks are in one formation; requests are routed to the group only then.
        changing: Operation in progress, empty if none.
        skew: Step-time skew estimated at the last decision.
        decision: The last decision.
        reason: Reason of the last decision.
        lost_ranks: Ranks that did not answer the last read.
    """

    group: str
    map_number: int = 0
    digest: str = ""
    formed: bool = False
    changing: str = ""
    skew: float = 1.0
    decision: str = "none yet"
    reason: str = ""
    lost_ranks: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class MapChanged:
    """A rebalance is in force.

    Attributes:
        before: Map before the change.
        after: Map after the change.
        gain_seconds: Step time expected to be saved over the policy's horizon.
        cost_seconds: Expected cost of the change.
        moved_bytes: Bytes fetched from the weight store.
        seconds: Time from the decision to the last rank's commit.
        reason: Reason of the decision.
    """

    before: MapId
    after: MapId
    gain_seconds: float
    cost_seconds: float
    moved_bytes: int
    seconds: float
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MapKept:
    """A rebalance was started but not applied; the old map stays in force."""

    before: MapId
    wanted: MapId
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class GainMeasured:
    """Expected and measured reduction of step-time skew by a rebalance."""

    map_number: int
    expected: float
    measured: float
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSettled:
    """A change that another decider left unfinished was settled."""

    target: MapId
    committed: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupFormed:
    """All ranks are in one formation."""

    formation: str
    first_map: MapId


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupBroken:
    """The ranks are not in one formation, or some do not answer."""

    reason: str


GroupEvent = MapChanged | MapKept | GainMeasured | ChangeSettled | GroupFormed | GroupBroken


def record_event(trail: AuditTrail, group: str, event: GroupEvent) -> None:
    """Write ``event`` to the audit trail."""
    before, after, reason = _texts(event)
    trail.record(Subject.GROUP, group, before, after, reason)


def _texts(event: GroupEvent) -> tuple[str, str, str]:
    match event:
        case MapChanged():
            cost = (
                f"expected gain {event.gain_seconds:.3f} s, cost {event.cost_seconds:.3f} s; "
                f"moved {event.moved_bytes} bytes in {event.seconds:.1f} s"
            )
            return f"map {event.before}", f"map {event.after}", f"{event.reason}; {cost}"
        case MapKept():
            return f"map {event.before}", f"map {event.before}", f"{event.wanted}: {event.reason}"
        case GainMeasured():
            text = f"skew fell by {event.measured:.4f}, expected {event.expected:.4f}"
            return "", f"map {event.map_number}", f"{text}, over {event.seconds:.0f} s"
        case ChangeSettled():
            verdict = "committed" if event.committed else "aborted"
            return "change left behind", verdict, f"map {event.target}: settled by the ranks' votes"
        case GroupFormed():
            return "not formed", f"map {event.first_map}", f"formation {event.formation}"
        case GroupBroken():
            return "formed", "not formed", event.reason
