"""Which lock-step groups can run requests now.

All ranks of a group execute each pass together. With one of them lost the others stand still; what
they get waits for 1.5 s and is refused, until the rank is back and the group has formed anew.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.gateway.model import Endpoint, GroupMembership

NOTICE_SECONDS = 2.5
"""Seconds within which ranks have registered that their group lost one: they notice it after 1.5 s,
and what they register is known here within tenths of a second. An end that they say nothing of by
then was none."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A rank that was seen to end.

    Attributes:
        epoch: Formation that it ended.
        until: When it counts no more, unless ranks have registered it.
    """

    epoch: int
    until: float


@dataclass(frozen=True, slots=True)
class _Formation:
    """What the ranks of a group say of it.

    Attributes:
        epoch: The newest formation that one of them names.
        formed: Whether all that name it say that it takes work.
    """

    epoch: int
    formed: bool


class GroupStanding:
    """What is known of each group.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_formations", "_losses")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._formations: dict[str, _Formation] = {}
        self._losses: dict[str, _Loss] = {}

    def take(self, endpoints: Iterable[Endpoint]) -> None:
        """Take in what endpoints have registered."""
        found: dict[str, _Formation] = {}
        for each in endpoints:
            if each.membership is not None:
                group = each.membership.group
                found[group] = _newest(found.get(group), each.membership)
        self._formations = found

    def rank_ended(self, seat: GroupMembership) -> None:
        """Note that a rank ended: its group stands still until it forms anew."""
        known = self._formations.get(seat.group)
        epoch = seat.epoch if known is None else known.epoch
        until = self._clock.monotonic() + NOTICE_SECONDS
        self._losses[seat.group] = _Loss(epoch, until)

    def stands(self, endpoint: Endpoint) -> bool:
        """Return whether the group of an endpoint can run requests, as far as is known.

        What a rank that ended registered before stays for some seconds and says that all is well;
        the others of its group know better, and once they have formed anew it is not one of them.
        """
        seat = endpoint.membership
        if seat is None:
            return True
        formation = self._formations.get(seat.group)
        if formation is None:
            return seat.formed
        if seat.epoch < formation.epoch or not formation.formed:
            return False
        loss = self._losses.get(seat.group)
        return loss is None or seat.epoch > loss.epoch

    def changes_at(self) -> float:
        """Return when the next loss counts no more, infinite where there is none."""
        return min((each.until for each in self._losses.values()), default=float("inf"))

    def forget_old(self) -> None:
        """Drop losses that count no more."""
        now = self._clock.monotonic()
        self._losses = {name: each for name, each in self._losses.items() if each.until > now}


def _newest(known: _Formation | None, seat: GroupMembership) -> _Formation:
    if known is None or seat.epoch > known.epoch:
        return _Formation(seat.epoch, seat.formed)
    if seat.epoch < known.epoch:
        return known
    return _Formation(known.epoch, known.formed and seat.formed)
