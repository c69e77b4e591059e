"""What operators are shown of a lock-step group: its state and its audit events."""

from dataclasses import dataclass

from carawayhub.groups.maps import MapId
from carawayhub.output.audit import AuditTrail, Subject


@dataclass(slots=True, kw_only=True)
class GroupStatus:
    """State of one group as its decider knows it.

    Attributes:
        group: Its name.
        map_number: Number of the map in force, 0 where the group is not formed.
        digest: Digest of that map.
        formed: Whether all ranks are in one formation; requests are routed to it only then.
        changing: What is under way, empty for nothing.
        skew: Step-time skew estimated at the last decision.
        decision: The last decision.
        reason: Why it was taken.
        lost_ranks: Ranks that did not answer last.
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
        before: Map until then.
        after: Map from then on.
        gain_seconds: Step time expected to be saved over the policy's horizon.
        cost_seconds: Cost expected of the change.
        moved_bytes: Bytes fetched from the weight store.
        seconds: Time from the decision to the last rank's commit.
        reason: Why.
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
    """A rebalance was begun and is not in force; the old map goes on."""

    before: MapId
    wanted: MapId
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class GainMeasured:
    """What a rebalance brought: fall in step-time skew, expected and measured."""

    map_number: int
    expected: float
    measured: float
    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangeSettled:
    """A change that another decider had left was ended."""

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
