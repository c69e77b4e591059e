"""Whether the engines of a service are given one more request now.

Joins what is known: the work of each group, the pace of its passes, and which free places are this
entry's to take. Plain services have neither groups nor passes and take whatever has a place.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.gateway.claims import Claims
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.model import Endpoint, EngineProfile
from carawayhub.gateway.pace import GroupLoad, Pace


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineService:
    """What is published of a service with engines.

    Attributes:
        profile: Speed of its engines.
        accepted: Shortest pause between two events that its callers accept, in seconds, 0 for none.
        endpoints: Endpoints that may get work.
    """

    profile: EngineProfile
    accepted: float
    endpoints: Sequence[Endpoint]


class EngineAdmission:
    """Admits requests to the engines of one service.

    Args:
        loads: Work in flight.
        clock: Source of time.
        rng: Source of chance.
        news: Gives the seconds until entries hear of each other's choices.
    """

    __slots__ = ("_claims", "_loads", "_news", "_pace")

    def __init__(
        self, loads: Loads, clock: Clock, rng: random.Random, news: Callable[[], float]
    ) -> None:
        self._loads = loads
        self._news = news
        self._pace = Pace(clock)
        self._claims = Claims(clock, rng)

    def paused(self, endpoint: Endpoint, seconds: float, service: EngineService) -> None:
        """Note the seconds between two events of a stream from an endpoint."""
        group = group_of(endpoint)
        if not self._pace.is_due(group):
            return
        load = self.group_loads(service.endpoints).get(group)
        if load is not None:
            self._pace.saw(group, seconds, load, service.profile)

    def freed(self) -> None:
        """Note that a request of this entry gave its place back."""
        self._claims.freed()

    def taken(self) -> None:
        """Note that a request of this entry took a place."""
        self._claims.taken()

    def open_to(self, work: Work, wanted: float, service: EngineService) -> Sequence[Endpoint]:
        """Return the endpoints that may be given a request, none where it has to wait.

        Args:
            work: The request.
            wanted: Requests that come to all entries before they hear of each other.
            service: The service.
        """
        loads = self.group_loads(service.endpoints)
        profile, accepted = service.profile, service.accepted
        free = sum(
            max(0.0, self._pace.most(group, load, profile, accepted) - load.requests)
            for group, load in loads.items()
        )
        if not self._claims.may_take(free, wanted, self._news()):
            return ()
        slow = {
            group
            for group, load in loads.items()
            if not self._pace.admits(group, load, work, profile, accepted)
        }
        if not slow:
            return service.endpoints
        return [each for each in service.endpoints if group_of(each) not in slow]

    def stretch_of(self, group: str) -> float:
        """Return by how much passes of a group are longer than their work, 0 if unknown."""
        return self._pace.stretch(group)

    def group_loads(self, endpoints: Sequence[Endpoint]) -> Mapping[str, GroupLoad]:
        """Return what the groups of a service have to do, by name."""
        found: dict[str, list[int]] = {}
        for each in endpoints:
            total = self._loads.total(each.id)
            row = found.setdefault(group_of(each), [0, 0, 0])
            row[0] += 1
            row[1] += total.requests
            row[2] += total.reading
        return {group: GroupLoad(*row) for group, row in found.items()}


def group_of(endpoint: Endpoint) -> str:
    """Return the group whose passes an endpoint executes; one without a group is its own."""
    return endpoint.seat.group if endpoint.seat is not None else endpoint.id
