"""What the rate limits of a service's endpoints leave to the requests of one entry.

The load pattern this answers: endpoints in need take a few requests a second, and callers ask for
more. Each request goes to one that takes it now, or waits while what the limits leave to all who
wait comes before its caller is gone; the others are told at once.
"""

from collections.abc import Callable, Sequence, Set

from loguru import logger

from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.placement import Chosen
from carawayhub.limits.replicarate import FleetEstimate, ReplicaRates

OVERLOAD = 1.25
"""Requests of callers over what limited endpoints take from which on waiting is in vain. Up to it
many still get what others leave by chance."""


class ServiceLimits:
    """The limits that endpoints of one service name, as its pool meets them.

    Args:
        service: Name of the service.
        rates: Limits that replicas name.
        rate: Gives the requests a second that callers bring to this entry.
        spread: Gives the seconds for which entries choose by the same news, times the entries.
        news: Gives those seconds alone.
        part_heard: Gives the part of all entries that this one hears of.

    Attributes:
        held_back: Times that a request did not go to an endpoint because of its limit.
    """

    __slots__ = (
        "_counted",
        "_counted_of",
        "_limited",
        "_news",
        "_part_heard",
        "_rate",
        "_rates",
        "_service",
        "_spread",
        "held_back",
    )

    def __init__(
        self,
        service: str,
        rates: ReplicaRates,
        rate: Callable[[], float],
        spread: Callable[[], float],
        news: Callable[[], float],
        part_heard: Callable[[], float],
    ) -> None:
        self._service = service
        self._rates = rates
        self._rate = rate
        self._spread = spread
        self._news = news
        self._part_heard = part_heard
        self._limited: Set[int] = frozenset()
        self._counted_of: Sequence[Endpoint] = ()
        self._counted: Sequence[Endpoint] = ()
        self.held_back = 0

    @property
    def any_named(self) -> bool:
        """Whether some replica may name a limit: where none does, nothing else need be asked."""
        return self._rates.any_limited

    def to_count_on(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints whose free places count: those with a limit only beside no other."""
        if not self.any_named:
            return endpoints
        limited = self._rates.limits().keys()
        if endpoints is not self._counted_of or limited != self._limited:
            self._limited, self._counted_of = limited, endpoints
            unlimited = [each for each in endpoints if self._rates.limit(each.id) is None]
            self._counted = unlimited or endpoints
        return self._counted

    def choose(
        self, pick: Callable[[Set[str]], Chosen | None], tried: Set[str], wanted: float
    ) -> Chosen | None:
        """Return the best endpoint that takes one more request by the limit that it names.

        Args:
            pick: Gives the best endpoint beside those named, None where none is left.
            tried: Endpoints that the request may not go to.
            wanted: Requests that come to all entries before they hear of each other.
        """
        if not self.any_named:
            return pick(tried)
        around = FleetEstimate(wanted, self._news(), self._part_heard())
        passed = set(tried)
        while True:
            chosen = pick(passed)
            if chosen is None or self._rates.may_send(chosen.endpoint.id, around):
                return chosen
            passed.add(chosen.endpoint.id)
            self.held_back += 1

    def sent(self, endpoint: Endpoint) -> None:
        """Count a request that goes to an endpoint."""
        self._rates.record_send(endpoint.id)

    def pause(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the mean seconds between two requests that endpoints take, 0 if they say none.

        Over those of all entries: the wait of one request is that long at the least.
        """
        if not self.any_named:
            return 0.0
        return self._rates.mean_interval(each.id for each in endpoints)

    def expected_wait(self, endpoints: Sequence[Endpoint], waiting: int) -> float:
        """Return the seconds that one more request would wait, 0 where no limit holds it up.

        Where callers ask for more than the limits allow, as many as here wait at each other entry.
        What waits in vain at 98 entries would be refused after the time in which its caller could
        have been served elsewhere.

        Args:
            endpoints: Those that serve.
            waiting: Requests that wait at this entry.
        """
        pause = self.pause(endpoints)
        if pause <= 0.0:
            return 0.0
        news = self._news()
        entries = self._spread() / news if news > 0 else 1.0
        overloaded = self._rate() * entries * pause > OVERLOAD
        return pause * (waiting + 1.0) * (entries if overloaded else 1.0)

    def log_in_vain(
        self, call: Admitted, endpoints: Sequence[Endpoint], expected: float, longest: float
    ) -> None:
        """Say why a request is turned away."""
        logger.bind(
            request=call.req.id.decode("latin-1"),
            service=self._service,
            limits={each.id: self._rates.limit(each.id) for each in endpoints},
            expected=round(expected, 3),
            longest=round(longest, 3),
        ).info("turned away, all endpoints name limits and none takes it while its caller listens")
