"""Applies the rate limits announced by a service's endpoints to the requests of one entry.

Handles overloaded endpoints that accept a few requests per second while callers send more. A
request goes to an endpoint that accepts it now, or waits if the limits admit it before its caller
gives up; otherwise it is rejected at once.
"""

from collections.abc import Callable, Sequence, Set

from loguru import logger

from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.coldreplicas import ColdReplicas
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.placement import Selection
from carawayhub.limits.replicarate import FleetEstimate, ReplicaRates

OVERLOAD_RATIO = 1.25
"""Ratio of callers' requests to the limits of endpoints above which every other entry is assumed to
have as many waiting requests as this one. Up to it, many still get capacity that others happen to
leave."""


class ServiceLimits:
    """Rate limits announced by the endpoints of one service, applied by its pool.

    Args:
        service: Name of the service.
        rates: Rate limits announced by replicas.
        rate: Returns the requests per second that arrive at this entry.
        fleet_delay: Returns the propagation delay in seconds, multiplied by the number of entries.
        propagation_delay: Returns the seconds after which entries know of each other's choices.
        known_share: Returns the share of all entries from which this one receives updates.
        cold: Cold replicas, None if they are not tracked.

    Attributes:
        held_back: Number of times that an endpoint was skipped because of its limit.
    """

    __slots__ = (
        "_cold",
        "_counted",
        "_counted_from",
        "_fleet_delay",
        "_known_share",
        "_limited",
        "_propagation_delay",
        "_rate",
        "_rates",
        "_service",
        "held_back",
    )

    def __init__(
        self,
        service: str,
        rates: ReplicaRates,
        rate: Callable[[], float],
        fleet_delay: Callable[[], float],
        propagation_delay: Callable[[], float],
        known_share: Callable[[], float],
        cold: ColdReplicas | None = None,
    ) -> None:
        self._cold = cold
        self._service = service
        self._rates = rates
        self._rate = rate
        self._fleet_delay = fleet_delay
        self._propagation_delay = propagation_delay
        self._known_share = known_share
        self._limited: Set[int] = frozenset()
        self._counted_from: Sequence[Endpoint] = ()
        self._counted: Sequence[Endpoint] = ()
        self.held_back = 0

    @property
    def any_limits(self) -> bool:
        """Whether some replica may have announced a limit; otherwise no check is needed."""
        return self._rates.any_limited

    def counted_endpoints(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints to count: those without a limit, or all if each has one."""
        if not self.any_limits:
            return endpoints
        limited = self._rates.limits().keys()
        if endpoints is not self._counted_from or limited != self._limited:
            self._limited, self._counted_from = limited, endpoints
            unlimited = [each for each in endpoints if self._rates.limit(each.id) is None]
            self._counted = unlimited or endpoints
        return self._counted

    def choose(
        self, pick: Callable[[Set[str]], Selection | None], tried: Set[str], arrivals: float
    ) -> Selection | None:
        """Return the best endpoint whose limit allows one more request.

        Args:
            pick: Returns the best endpoint except those with the given ids, None if none is left.
            tried: Ids of endpoints that the request may not go to.
            arrivals: Requests that arrive at all entries within one propagation delay.
        """
        cold = self._without_capacity()
        if not self.any_limits:
            return pick(tried | cold) if cold else pick(tried)
        surroundings = FleetEstimate(arrivals, self._propagation_delay(), self._known_share())
        excluded = set(tried) | cold
        while True:
            chosen = pick(excluded)
            if chosen is None or self._rates.may_send(chosen.endpoint.id, surroundings):
                return chosen
            excluded.add(chosen.endpoint.id)
            self.held_back += 1

    def _without_capacity(self) -> Set[str]:
        """Return the cold endpoints that get no request of this entry now."""
        if self._cold is None or not self._cold.any_cold:
            return frozenset()
        found = self._cold.without_capacity(self._service)
        self._cold.held_back += bool(found)
        return found

    def cold_room(self) -> int | None:
        """Return how many cold endpoints get a request of this entry now, None if none is cold."""
        if self._cold is None or not self._cold.any_cold:
            return None
        return self._cold.room(self._service)

    def warm_endpoints(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints that are not cold; the same sequence while little has changed."""
        if self._cold is None or not self._cold.any_cold:
            return endpoints
        return self._cold.warm_endpoints(self._service, endpoints)

    def sent(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to an endpoint."""
        self._rates.record_send(endpoint.id)
        if self._cold is not None:
            self._cold.reserve(endpoint)

    def claim_send(self, endpoint_id: str) -> bool:
        """Return whether a request may be sent now; called before its first byte."""
        return self._cold is None or self._cold.claim_send(endpoint_id)

    def mean_interval(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the mean seconds between two requests that the limits allow, 0 if there are none.

        The limits apply to all entries together, so this is the minimum wait of one request.
        """
        if not self.any_limits:
            return 0.0
        return self._rates.mean_interval(each.id for each in endpoints)

    def expected_wait(self, endpoints: Sequence[Endpoint], waiting: int) -> float:
        """Return the seconds that one more request would wait, 0 if no limit delays it.

        If callers send more than the limits allow, every other entry is assumed to have as many
        waiting requests as this one. Otherwise a request at one of 98 entries would wait in vain
        and be refused only after its caller could have been served elsewhere.

        Args:
            endpoints: Endpoints that serve requests.
            waiting: Number of requests that wait at this entry.
        """
        mean_interval = self.mean_interval(endpoints)
        if mean_interval <= 0.0:
            return 0.0
        propagation_delay = self._propagation_delay()
        entries = self._fleet_delay() / propagation_delay if propagation_delay > 0 else 1.0
        overloaded = self._rate() * entries * mean_interval > OVERLOAD_RATIO
        return mean_interval * (waiting + 1.0) * (entries if overloaded else 1.0)

    def log_rejection(
        self, call: Admitted, endpoints: Sequence[Endpoint], expected: float, longest: float
    ) -> None:
        """Log the rejection of a request, with the limits that caused it."""
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._service,
            limits={each.id: self._rates.limit(each.id) for each in endpoints},
            expected=round(expected, 3),
            longest=round(longest, 3),
        ).info("request rejected: no endpoint's rate limit admits it before the caller gives up")
