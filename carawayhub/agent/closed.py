"""Which incarnations of peers stopped as planned and handed their whole ledger over before."""

from dataclasses import dataclass, field

from carawayhub.agent.messages import Handover, Member


@dataclass(slots=True, frozen=True)
class Closed:
    """An incarnation that stopped as planned.

    Attributes:
        incarnation: Its number.
        until: Reading until which keys that it had no entry of may have run.
    """

    incarnation: int
    until: float


@dataclass(slots=True)
class _Slot:
    """What was heard from one slot.

    Attributes:
        incarnation: Whose requests came last.
        closed: That incarnation, once all parts of its handover are here.
        before: The incarnation before it, where that one had closed.
        parts: Numbers of the parts that are here.
        retired: Incarnations that others came after; late messages of theirs mean nothing.
    """

    incarnation: int
    closed: Closed | None = None
    before: Closed | None = None
    parts: set[int] = field(default_factory=set)
    retired: set[int] = field(default_factory=set)


class ClosedIncarnations:
    """Remembers for each slot the incarnation that closed, for the one right after it.

    The next but one is not told: if the one in between crashed, the keys that it ran are lost, and
    taking the older handover for the whole truth would run them a second time. For the same reason
    a handover counts only while its sender is the last incarnation heard from the slot.
    """

    __slots__ = ("_slots",)

    def __init__(self) -> None:
        self._slots: dict[Member, _Slot] = {}

    def forget_closed(self) -> None:
        """Forget who closed, as the set of members has changed."""
        for slot in self._slots.values():
            slot.closed = None
            slot.before = None
            slot.parts = set()

    def hear(self, sender: Member, incarnation: int) -> Closed | None:
        """Note a request of a slot; return the incarnation right before its own if that closed."""
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
        """Note one part of a handover; the slot has closed once all parts are here."""
        slot = self._slots.get(handover.sender)
        if slot is None or slot.incarnation != handover.incarnation:
            return
        slot.parts.add(handover.part)
        if slot.closed is None and len(slot.parts) == handover.parts:
            slot.closed = Closed(handover.incarnation, until)
