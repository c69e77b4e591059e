"""Prefers endpoints of an entry's own failure domain.

Handles traffic between failure domains that costs as much as the machines, while the load of each
domain changes by tens of percent within seconds. A request stays in the failure domain of its entry
until the endpoints there are on average fuller than others by a margin, or the best of them is far
worse than the best of the others. Both bound the imbalance among the ranks of a lock-step group,
whose passes wait for the slowest rank.
"""

import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from enum import Enum

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.freeslots import FreeSlots
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import Endpoint

LOAD_TOLERANCE = 1e-9
"""Difference of relative loads that counts as none: 0.6 exceeds 0.4 by 0.2 only after rounding."""

FULL_PREFERENCE_RATIO = 0.25
"""Fraction of the margin up to which all requests stay. Beyond it, a decreasing part of them stays,
none at the margin: entries with the same outdated averages would otherwise all change at once, and
a domain with few replicas would alternate between overload and idleness. Its busiest replica had
5.4 requests more than the mean one when half of the margin was used, and 5.0 with this."""

SINGLE_MARGIN_RATIO = 2.0
"""Ratio of the margin between two single endpoints to that between averages. The best endpoints of
two samples differ by a slot by chance; a difference beyond it comes from endpoints that are slow or
fail, or from a rank that would slow down its group."""

REPORT_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines of one service. Under a load near the margin, requests change
between own and other endpoints many times a second."""


class Origin(Enum):
    """Why a request goes to the failure domain of its endpoint."""

    OWN = "own"
    OVERFLOW = "overflow"
    ABSENT = "absent"


class _AverageLoad:
    """Average relative load of some endpoints, updated as requests begin and end.

    Args:
        loads: Work in flight.
    """

    __slots__ = ("_endpoints", "_free", "_slots")

    def __init__(self, loads: Loads) -> None:
        self._free = FreeSlots(loads)
        self._endpoints: Sequence[Endpoint] = ()
        self._slots = 0

    def replace(self, endpoints: Sequence[Endpoint]) -> None:
        """Count other endpoints from now on."""
        self._endpoints = endpoints
        self._slots = sum(each.places for each in endpoints)

    def value(self) -> float:
        """Return the share of slots in use, 0 if there are none."""
        if not self._slots:
            return 0.0
        return 1.0 - self._free.count_free(self._endpoints) / self._slots


class Locality:
    """Preference for the endpoints of one failure domain, for one service.

    Args:
        service: Name of the service.
        failure_domain: Failure domain of this entry.
        margin: Relative load by which its endpoints may be fuller than others, above 0.
        loads: Work in flight.
        clock: Source of time.
        rng: Selects the requests that stay while only a part of them does.
        counted: Returns the endpoints whose average load counts; the same sequence as long as they
            do not change.

    Attributes:
        sent_requests: Requests sent, by whether the endpoint is in the own failure domain
            (``OWN``), in another one since own endpoints are fuller (``OVERFLOW``), or in another
            one since no own endpoint may be used (``ABSENT``).
    """

    __slots__ = (
        "_clock",
        "_counted",
        "_counted_from",
        "_domain",
        "_margin",
        "_others_load",
        "_own_load",
        "_report_at",
        "_reported",
        "_rng",
        "_service",
        "_since_report",
        "_split",
        "_split_from",
        "sent_requests",
    )

    def __init__(
        self,
        service: str,
        failure_domain: str,
        margin: float,
        loads: Loads,
        clock: Clock,
        rng: random.Random,
        counted: Callable[[], Sequence[Endpoint]],
    ) -> None:
        self._service = service
        self._domain = failure_domain
        self._margin = margin
        self._clock = clock
        self._rng = rng
        self._counted = counted
        self._counted_from: Sequence[Endpoint] = ()
        self._own_load = _AverageLoad(loads)
        self._others_load = _AverageLoad(loads)
        self._split_from: Sequence[Endpoint] = ()
        self._split: tuple[Sequence[Endpoint], Sequence[Endpoint]] = (), ()
        self._report_at = float("-inf")
        self._reported = Origin.OWN
        self._since_report: Counter[Origin] = Counter()
        self.sent_requests: Counter[Origin] = Counter()

    def split(self, endpoints: Sequence[Endpoint]) -> tuple[Sequence[Endpoint], Sequence[Endpoint]]:
        """Return the endpoints in the own failure domain and the others.

        Cheap if the sequence is that of the last call; it must not be changed in between.
        """
        if endpoints is not self._split_from:
            self._split_from = endpoints
            self._split = self._partition(endpoints)
        return self._split

    def prefers_own(self, own: float, other: float) -> bool:
        """Return whether a request goes to the best own endpoint and not to the best other one.

        Args:
            own: Relative load of the own endpoint with the request, higher if it is slow or fails.
            other: The same for the other endpoint.
        """
        if own > other + SINGLE_MARGIN_RATIO * self._margin + LOAD_TOLERANCE:
            return False
        own_average, others_average = self._averages()
        used = (own_average - others_average - LOAD_TOLERANCE) / self._margin
        if used <= FULL_PREFERENCE_RATIO or used >= 1.0:
            return used < 1.0
        return self._rng.random() < (1.0 - used) / (1.0 - FULL_PREFERENCE_RATIO)

    def _averages(self) -> tuple[float, float]:
        """Return the average relative load of the own endpoints and of the others."""
        counted = self._counted()
        if counted is not self._counted_from:
            self._counted_from = counted
            own, others = self._partition(counted)
            self._own_load.replace(own)
            self._others_load.replace(others)
        return self._own_load.value(), self._others_load.value()

    def _partition(
        self, endpoints: Sequence[Endpoint]
    ) -> tuple[Sequence[Endpoint], Sequence[Endpoint]]:
        own = [each for each in endpoints if each.failure_domain == self._domain]
        if len(own) == len(endpoints):
            return endpoints, ()
        return own, [each for each in endpoints if each.failure_domain != self._domain]

    def sent(self, endpoint: Endpoint, origin: Origin) -> None:
        """Count a request sent to an endpoint, and log if requests now go elsewhere."""
        self.sent_requests[origin] += 1
        self._since_report[origin] += 1
        now = self._clock.monotonic()
        if origin is self._reported or now < self._report_at:
            return
        self._reported = origin
        self._report_at = now + REPORT_INTERVAL_SECONDS
        own, others = self._averages()
        logger.bind(
            service=self._service,
            domain=self._domain,
            origin=origin.value,
            endpoint=endpoint.id,
            to=endpoint.failure_domain,
            own_load=round(own, 3),
            others_load=round(others, 3),
            margin=self._margin,
            sent={each.value: count for each, count in self._since_report.items()},
        ).info("requests change between own and other failure domains")
        self._since_report.clear()

    def counts(self) -> Mapping[str, int]:
        """Return the requests sent, by name of the origin."""
        return {each.value: self.sent_requests[each] for each in Origin}
