"""Members that left a scope's key set while callers may still retry keys that they ran."""

from dataclasses import dataclass

from carawayhub.agent.keyset import KeySet
from carawayhub.agent.messages import FormerMember, Member


@dataclass(slots=True)
class FormerMemberState:
    """State of a member of an earlier set.

    Attributes:
        leaving: Whether it was listed as leaving before.
        fenced: Timestamp of its first promise since then; None before that.
    """

    leaving: bool
    fenced: float | None = None


class FormerMembers:
    """The former members that one agent knows of."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[Member, FormerMemberState] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """The slots of all former members, sorted."""
        return tuple(sorted(self._known))

    def changed(self, old: KeySet, new: KeySet, fenced: dict[Member, float]) -> tuple[Member, ...]:
        """Apply a change of the set.

        Args:
            old: The set before.
            new: The set from now on.
            fenced: Timestamps of the first promises that members made under the old set.

        Returns:
            Members that operators removed after they had been listed as leaving.
        """
        removed = [seat for seat in old.seats if new.seat(seat.member) is None]
        for seat in removed:
            # A promise made while it was leaving covers all keys: it was the home of none then.
            promise = fenced.get(seat.member) if seat.leaving else None
            self._known[seat.member] = FormerMemberState(seat.leaving, promise)
        for member in new.members:
            self._known.pop(member, None)
        return tuple(seat.member for seat in removed if seat.leaving)

    def add(self, reported: FormerMember, fenced: float | None) -> bool:
        """Add a member reported by a peer; return whether it was unknown before."""
        if reported.member in self._known:
            return False
        self._known[reported.member] = FormerMemberState(reported.leaving, fenced)
        return True

    def fence(self, member: Member, timestamp: float) -> None:
        """Note a former member's promise; only the first one counts."""
        former = self._known.get(member)
        if former is not None and former.fenced is None:
            former.fenced = timestamp

    def drop_fenced_before(self, timestamp: float) -> None:
        """Drop the members whose last keys have expired since they were fenced."""
        for member, former in list(self._known.items()):
            if former.fenced is not None and former.fenced <= timestamp:
                del self._known[member]

    def drop(self, member: Member) -> None:
        """Drop a member."""
        self._known.pop(member, None)

    def announcements(self, now: float, retention: float) -> tuple[FormerMember, ...]:
        """Return the former members to announce to peers."""
        return tuple(
            FormerMember(
                member,
                former.leaving,
                None if former.fenced is None else former.fenced + retention - now,
            )
            for member, former in sorted(self._known.items())
        )
