"""Tracks incarnations of peers that handed over their complete ledger before a planned stop."""

from dataclasses import dataclass, field

from carawayhub.agent.messages import Handover, Member


@dataclass(slots=True, frozen=True)
class Closed:
    """An incarnation that stopped as planned.

    Attributes:
        incarnation: Its number.
        until: Timestamp until which keys without an entry in its ledger may have run.
    """

    incarnation: int
    until: float


@dataclass(slots=True)
class _Slot:
    """Messages received from one slot.

    Attributes:
        incarnation: Incarnation that sent the latest request.
        closed: That incarnation, once all parts of its handover have arrived.
        before: The preceding incarnation, if it had closed.
        parts: Numbers of the parts that have arrived.
        retired: Superseded incarnations; late messages from them are ignored.
    """

    incarnation: int
    closed: Closed | None = None
    before: Closed | None = None
    parts: set[int] = field(default_factory=set)
    retired: set[int] = field(default_factory=set)


class ClosedIncarnations:
    """Records for each slot the incarnation that closed, to report it to its direct successor.

    It is not reported to later incarnations: if the one in between crashed, the records of the keys
    that it ran are lost, and relying on the older handover would run them a second time. For the
    same reason a handover counts only while its sender is the latest incarnation of the slot.
    """

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[Member, _Slot] = {}

    def forget_closed(self) -> None:
        """Drop all closed incarnations, since the set of members has changed."""
        for slot in self._slots.values():
            slot.closed = None
            slot.before = None
            slot.parts = set()

    def receive(self, sender: Member, incarnation: int) -> Closed | None:
        """Note a request from a slot; return its direct predecessor if that one closed."""
        slot = self._slots.get(sender)
        if slot is None:
            self._slots[sender] = _Slot(incarnation)
            return None
        if incarnation in slot.retired:
            return None
        if incarnation != slot.incarnation:
            slot.retired.add(slot.incarnation)
            slot.before = slot.closed
            slot.closed = None
            slot.parts = set()
            slot.incarnation = incarnation
        return slot.before

    def note(self, handover: Handover, until: float) -> None:
        """Note one part of a handover; the incarnation has closed once all parts have arrived."""
        slot = self._slots.get(handover.sender)
        if slot is None or slot.incarnation != handover.incarnation:
            return
        slot.parts.add(handover.part)
        if slot.closed is None and len(slot.parts) == handover.parts:
            slot.closed = Closed(handover.incarnation, until)
