"""Outages of a service's lock-step groups, of all and of some of them."""

from collections import Counter
from collections.abc import Sequence

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.outage import Outage, OutageState
from carawayhub.gateway.view import FleetView


class ServiceOutages:
    """Outages of one service.

    Args:
        service: Name of the service.
        view: Provides the endpoints.
        clock: Source of time.
    """

    __slots__ = ("_complete", "_partial", "_service", "_view")

    def __init__(self, service: str, view: FleetView, clock: Clock) -> None:
        self._service = service
        self._view = view
        self._complete = Outage(clock)
        self._partial = Outage(clock)

    def update(self) -> None:
        """Update the outages from the availability of the service's groups."""
        stalled = self._view.standing_still(self._service)
        available = bool(self._view.serving(self._service)) or not stalled
        before = self._complete.left()
        forming = _is_about_to_form(stalled)
        self._complete.update(OutageState(available, forming))
        self._partial.update(OutageState(not stalled, forming))
        after = self._complete.left()
        if (before is None) is not (after is None):
            usual = self._complete.usual
            logger.bind(
                service=self._service,
                expected=None if after is None else round(after, 2),
                usual=None if usual is None else round(usual, 2),
                standing_still=len(stalled),
            ).warning(
                "no group is available" if after is not None else "a group is available again"
            )

    def left(self) -> float | None:
        """Return the expected seconds until some group is available, None if one is."""
        return self._complete.left()

    def group_recovery(self, within: float) -> float | None:
        """Return the expected seconds until a stalled group recovers, None if not in time.

        Until then the other groups get more requests than they can run. A caller that retries
        earlier is queued behind all new ones and finally refused; once the group is available, it
        finds free slots.

        Args:
            within: Seconds within which it must recover.
        """
        recovery = self._partial.left()
        return recovery if recovery is not None and recovery <= within else None


def _is_about_to_form(stalled: Sequence[Endpoint]) -> bool:
    """Return whether some unavailable group has all its ranks and is about to form.

    Only ranks that report their group as not formed are counted: the registration of an ended rank
    remains for some seconds with its old content.
    """
    memberships = [
        each.membership
        for each in stalled
        if each.membership is not None and not each.membership.formed
    ]
    ranks = Counter((membership.group, membership.size) for membership in memberships)
    return any(size and count >= size for (_, size), count in ranks.items())
