"""Tracks which lock-step groups can run requests.

All ranks of a group execute each pass together. If one is lost, the others are stalled: requests
sent to them wait for 1.5 s and are refused, until the rank is available again and the group has
formed anew.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.gateway.model import Endpoint, GroupMembership

LOSS_NOTICE_SECONDS = 2.5
"""Time within which ranks register that their group lost one: they detect it after 1.5 s, and their
registration is received here within tenths of a second. If none has registered a loss by then, the
rank is considered not to have ended."""


@dataclass(frozen=True, slots=True)
class _RankLoss:
    """The observed end of a rank.

    Attributes:
        epoch: Epoch of the formation that the loss ended.
        until: When the loss expires, unless ranks have registered it.
    """

    epoch: int
    until: float


@dataclass(frozen=True, slots=True)
class _Formation:
    """The newest formation that the ranks of a group report.

    Attributes:
        epoch: Its epoch.
        formed: Whether all ranks that report this epoch also report that it accepts work.
    """

    epoch: int
    formed: bool


class GroupAvailability:
    """Availability of each group.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_formations", "_losses")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._formations: dict[str, _Formation] = {}
        self._losses: dict[str, _RankLoss] = {}

    def update(self, endpoints: Iterable[Endpoint]) -> None:
        """Replace the formations by those that endpoints have registered."""
        found: dict[str, _Formation] = {}
        for each in endpoints:
            if each.membership is not None:
                group = each.membership.group
                found[group] = _newest(found.get(group), each.membership)
        self._formations = found

    def rank_ended(self, seat: GroupMembership) -> None:
        """Record that a rank ended: its group is stalled until it forms anew."""
        known = self._formations.get(seat.group)
        epoch = seat.epoch if known is None else known.epoch
        until = self._clock.monotonic() + LOSS_NOTICE_SECONDS
        self._losses[seat.group] = _RankLoss(epoch, until)

    def is_available(self, endpoint: Endpoint) -> bool:
        """Return whether the group of an endpoint is believed to be able to run requests.

        The registration of an ended rank remains for some seconds and still reports a formed group.
        It is overruled by the other ranks of the group and, once they have formed anew, by their
        newer epoch.
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

    def next_expiry(self) -> float:
        """Return when the next loss expires, infinite if there is none."""
        return min((each.until for each in self._losses.values()), default=float("inf"))

    def drop_expired(self) -> None:
        """Drop expired losses."""
        now = self._clock.monotonic()
        self._losses = {name: each for name, each in self._losses.items() if each.until > now}


def _newest(known: _Formation | None, seat: GroupMembership) -> _Formation:
    if known is None or seat.epoch > known.epoch:
        return _Formation(seat.epoch, seat.formed)
    if seat.epoch < known.epoch:
        return known
    return _Formation(known.epoch, known.formed and seat.formed)
