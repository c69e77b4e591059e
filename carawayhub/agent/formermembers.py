"""Members that left a scope's set while keys that they ran may still be sent again."""

from dataclasses import dataclass

from carawayhub.agent.keyset import KeySet
from carawayhub.agent.messages import FormerMember, Member


@dataclass(slots=True)
class Former:
    """A member of an earlier set.

    Attributes:
        leaving: Whether it was listed as leaving before.
        fenced: Reading of its first promise since; none while there is none.
    """

    leaving: bool
    fenced: float | None = None


class FormerMembers:
    """The former members that one agent knows of."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[Member, Former] = {}

    @property
    def members(self) -> tuple[Member, ...]:
        """Their slots, sorted."""
        return tuple(sorted(self._known))

    def changed(self, old: KeySet, new: KeySet, fenced: dict[Member, float]) -> tuple[Member, ...]:
        """Follow a change of the set.

        Args:
            old: The set before.
            new: The set from now on.
            fenced: Readings of the first promises that members gave at the old set.

        Returns:
            Members that the operators removed after they were listed as leaving.
        """
        removed = [seat for seat in old.seats if new.seat(seat.member) is None]
        for seat in removed:
            # A promise given while it was leaving covers all keys: it was nobody's home then.
            promise = fenced.get(seat.member) if seat.leaving else None
            self._known[seat.member] = Former(seat.leaving, promise)
        for member in new.members:
            self._known.pop(member, None)
        return tuple(seat.member for seat in removed if seat.leaving)

    def learn(self, told: FormerMember, fenced: float | None) -> bool:
        """Take in what a peer tells; return whether it is news."""
        if told.member in self._known:
            return False
        self._known[told.member] = Former(told.leaving, fenced)
        return True

    def fence(self, member: Member, reading: float) -> None:
        """Note a former member's promise; the first one counts."""
        former = self._known.get(member)
        if former is not None and former.fenced is None:
            former.fenced = reading

    def drop_fenced_before(self, reading: float) -> None:
        """Forget those whose last keys have expired since they were fenced."""
        for member, former in list(self._known.items()):
            if former.fenced is not None and former.fenced <= reading:
                del self._known[member]

    def drop(self, member: Member) -> None:
        """Forget one."""
        self._known.pop(member, None)

    def told(self, now: float, retention: float) -> tuple[FormerMember, ...]:
        """Return what peers must know."""
        return tuple(
            FormerMember(
                member,
                former.leaving,
                None if former.fenced is None else former.fenced + retention - now,
            )
            for member, former in sorted(self._known.items())
        )
