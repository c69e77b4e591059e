"""Replicas that are cold, and the requests that this entry may send to them.

Handles a failure domain whose replicas return cold at once, while callers send more than these
accept. A cold replica gets at most this entry's units of its bound (``ColdQuotas``) in any window;
other requests go to warm replicas with free slots or wait. A warm replica isn't limited.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence, Set
from dataclasses import dataclass, field
from enum import Enum
from itertools import islice

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.loads import work_key
from carawayhub.gateway.model import Endpoint, Service
from carawayhub.gateway.ports import Source
from carawayhub.limits.coldquota import ColdQuotas
from carawayhub.limits.coldsends import WINDOW_SECONDS, ColdSends

MAX_LOGGED_PER_SECOND = 64
"""Lines per second about replicas that turn cold or warm; a returning domain has thousands."""

MAX_ADDED_PER_DECISION = 512
"""Cold replicas whose quotas are looked up in one decision. The others count as having no spare
capacity until a later one."""

MAX_RANKED_PER_DECISION = 8
"""Orders in which all entries are ranked in one decision; each takes 0.3 ms at 780 entries."""

WARM_REFRESH_SECONDS = 0.1
"""Interval at which the free slots of warm replicas are taken from a new list while some are cold.
Replicas of a domain turn cold and warm one by one, and each new list is counted anew."""

ROUNDING = 1e-6


class ColdSource(Enum):
    """Source of the information that a replica is cold or warm."""

    REGISTRATION = "registration"
    RESPONSE = "response"
    EVACUATION = "evacuation ended"
    UNREACHABLE = "unreachable"
    FORMATION = "group formed anew"
    TIME = "time"


@dataclass(slots=True)
class _Cold:
    """A cold replica.

    Attributes:
        service: Name of its service.
        since: When it turned cold, or was last uncertain to be warm.
        until: When it turns warm unless newer information states otherwise.
        source: Source of this information.
        held_until: Until when it gets no requests: other entries may have sent to it as to a warm
            replica.
        quota: Units of this entry in one window.
    """

    service: str
    since: float
    until: float
    source: ColdSource
    held_until: float
    quota: int = 0


@dataclass(slots=True)
class _ServiceCold:
    """The cold replicas of one service.

    Attributes:
        units: Units of all entries at each of them.
        version: Version of the quotas from which the sets follow.
        unranked: Replicas whose quota isn't known yet.
        usable: Replicas at which this entry has units.
        unusable: Replicas at which it has none.
        warm_from: Endpoints from which ``warm`` follows.
        warm: Endpoints that were warm at the last refresh.
        warm_until: When it is refreshed.
    """

    units: int = 0
    version: int = -1
    unranked: dict[str, None] = field(default_factory=dict)
    usable: dict[str, None] = field(default_factory=dict)
    unusable: dict[str, None] = field(default_factory=dict)
    warm_from: Sequence[Endpoint] = ()
    warm: Sequence[Endpoint] = ()
    warm_until: float = -math.inf

    def discard(self, endpoint_id: str) -> None:
        """Remove a replica."""
        for each in (self.unranked, self.usable, self.unusable):
            each.pop(endpoint_id, None)


class ColdReplicas:
    """Tracks cold replicas.

    Args:
        clock: Source of time; it must count suspensions.
        rng: Source of the time at which this entry's first requests are due.
        quotas: Computes this entry's units.
        service: Returns a service by name, None if it isn't configured.
        overage: Factor on the rate that a cold replica accepts, up to which it gets requests.

    Attributes:
        held_back: Number of decisions in which cold replicas were skipped, and of requests that
            were not sent at the last check.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_cold",
        "_ends",
        "_logged",
        "_logged_from",
        "_overage",
        "_quotas",
        "_rng",
        "_sends",
        "_service",
        "_services",
        "held_back",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        quotas: ColdQuotas,
        service: Callable[[str], Service | None],
        overage: float,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._quotas = quotas
        self._service = service
        self._overage = overage
        self._cold: dict[str, _Cold] = {}
        self._by_service: dict[str, _ServiceCold] = {}
        self._ends: list[tuple[float, str]] = []
        self._services: dict[str, str] = {}
        self._sends: dict[str, ColdSends] = {}
        self._logged = 0
        self._logged_from = -math.inf
        self.held_back = 0

    # Input.

    def record_registration(
        self, endpoint: Endpoint, before: Endpoint | None, source: Source
    ) -> None:
        """Record a registration.

        A listing repeats registrations of any age; one that states the same as before isn't new.

        Args:
            endpoint: The registration.
            before: The last one of this lifetime, None if the lifetime is new.
            source: Where it was read.
        """
        self._services[endpoint.id] = endpoint.service
        if before is None:
            self._set(endpoint.id, endpoint.cold_left, ColdSource.REGISTRATION, is_unused=True)
            return
        if _epoch(endpoint) != _epoch(before):
            self._set_uncertain(endpoint.id, ColdSource.FORMATION, endpoint.cold_left)
            return
        if source is Source.LISTING and before.cold_left == endpoint.cold_left:
            return
        known = self._cold.get(endpoint.id)
        if known is not None and known.source is ColdSource.EVACUATION:
            # This registration may have been written before the evacuation ended.
            left = max(endpoint.cold_left, known.until - self._clock.monotonic())
            self._set(endpoint.id, left, ColdSource.EVACUATION)
            return
        self._set(endpoint.id, endpoint.cold_left, ColdSource.REGISTRATION)

    def record_response(self, endpoint: Endpoint, seconds: float, sent_at: float) -> None:
        """Record the remaining time stated in a response.

        Args:
            endpoint: The endpoint.
            seconds: Seconds for which it stays cold, 0 if it is warm.
            sent_at: When the request was sent.
        """
        known = self._cold.get(endpoint.id)
        if seconds <= 0.0 and known is not None and sent_at < known.since:
            return
        self._services[endpoint.id] = endpoint.service
        service = self._service(endpoint.service)
        longest = service.cold_seconds if service is not None and service.cold_rate > 0.0 else 0.0
        self._set(endpoint.id, min(seconds, longest), ColdSource.RESPONSE)

    def record_evacuation_ended(self, endpoints: Iterable[Endpoint]) -> None:
        """Record that replicas are used again after an evacuation."""
        for each in endpoints:
            self._services[each.id] = each.service
            service = self._service(each.service)
            if service is not None and service.cold_rate > 0.0:
                self._set(each.id, service.cold_seconds, ColdSource.EVACUATION, is_unused=True)

    def record_unreachable(self, endpoint_id: str) -> None:
        """Record that a replica could not be reached and may have become cold."""
        self._set_uncertain(endpoint_id, ColdSource.UNREACHABLE, 0.0)

    def _set_uncertain(self, endpoint_id: str, source: ColdSource, stated: float) -> None:
        service = self._service(self._services.get(endpoint_id, ""))
        if service is None or service.cold_rate <= 0.0:
            return
        known = self._cold.get(endpoint_id)
        left = 0.0 if known is None else known.until - self._clock.monotonic()
        # A stalled group got no requests before it formed anew.
        is_unused = source is ColdSource.FORMATION
        self._set(endpoint_id, max(service.cold_seconds, stated, left), source, is_unused=is_unused)
        known = self._cold.get(endpoint_id)
        if known is not None:
            known.since = self._clock.monotonic()

    def _set(
        self, endpoint_id: str, seconds: float, source: ColdSource, *, is_unused: bool = False
    ) -> None:
        """Set the time for which a replica is cold.

        Args:
            endpoint_id: Id of its endpoint.
            seconds: Seconds from now on, 0 if it is warm.
            source: Source of this information.
            is_unused: Whether no other entry has just sent requests to it as to a warm replica.
        """
        self.expire()
        now = self._clock.monotonic()
        known = self._cold.get(endpoint_id)
        if seconds <= 0.0:
            if known is not None:
                self._end(endpoint_id, known, source)
            return
        heapq.heappush(self._ends, (now + seconds, endpoint_id))
        if known is not None:
            known.until, known.source = now + seconds, source
            return
        name = self._services.get(endpoint_id, "")
        held_until = now if is_unused else now + WINDOW_SECONDS
        self._cold[endpoint_id] = _Cold(name, now, now + seconds, source, held_until)
        self._by_service.setdefault(name, _ServiceCold()).unranked[endpoint_id] = None
        self._log(endpoint_id, name, source, seconds, "replica is cold")

    def _end(self, endpoint_id: str, known: _Cold, source: ColdSource) -> None:
        self._drop(endpoint_id)
        seconds = self._clock.monotonic() - known.since
        self._log(endpoint_id, known.service, source, seconds, "replica is warm")

    def _drop(self, endpoint_id: str) -> None:
        service = self._cold.pop(endpoint_id).service
        self._by_service[service].discard(endpoint_id)

    def _log(
        self, endpoint_id: str, service: str, source: ColdSource, seconds: float, event: str
    ) -> None:
        now = self._clock.monotonic()
        if now >= self._logged_from + 1.0:
            self._logged, self._logged_from = 0, now
        self._logged += 1
        if self._logged > MAX_LOGGED_PER_SECOND:
            return
        logger.bind(
            endpoint=endpoint_id,
            service=service,
            source=source.value,
            seconds=round(seconds, 3),
        ).info(event)

    # Decisions.

    @property
    def any_cold(self) -> bool:
        """Whether any replica may be cold; if none is, callers can skip all other checks."""
        if not self._cold:
            return False
        self.expire()
        return bool(self._cold)

    def without_capacity(self, service: str) -> Set[str]:
        """Return the cold replicas of a service that get no request of this entry now."""
        found = self._updated(service)
        if found is None:
            return frozenset()
        full = [each for each in found.usable if not self._has_room(each, found.units)]
        return set().union(found.unranked, found.unusable, full)

    def room(self, service: str) -> int:
        """Return how many cold replicas of a service get a request of this entry now."""
        found = self._updated(service)
        if found is None:
            return 0
        return sum(self._has_room(each, found.units) for each in found.usable)

    def warm_endpoints(self, service: str, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return those of the endpoints of a service that were warm at the last refresh."""
        found = self._updated(service)
        if found is None:
            return endpoints
        now = self._clock.monotonic()
        if found.warm_from is not endpoints or now >= found.warm_until:
            found.warm_from, found.warm_until = endpoints, now + WARM_REFRESH_SECONDS
            warm = [each for each in endpoints if each.id not in self._cold]
            if warm != found.warm:
                found.warm = warm
        return found.warm

    def counts(self) -> Counter[str]:
        """Return the number of cold replicas by service."""
        self.expire()
        found = Counter(each.service for each in self._cold.values())
        return Counter({name: count for name, count in found.items() if self._units(name)})

    def reserve(self, endpoint: Endpoint) -> None:
        """Record that a request has a slot at a replica and is about to be sent."""
        if self._units(endpoint.service):
            self._services[endpoint.id] = endpoint.service
            self._sends_to(endpoint.id).reserve(self._clock.monotonic())

    def claim_send(self, endpoint_id: str) -> bool:
        """Return whether a request may be sent now, and count it; called before the first byte."""
        units = self._units(self._services.get(endpoint_id, ""))
        if not units:
            return True
        now = self._clock.monotonic()
        sends = self._sends_to(endpoint_id)
        sends.unreserve()
        known = self._cold.get(endpoint_id)
        if known is not None and now < known.until and not self._may_send(endpoint_id, known, now):
            self.held_back += 1
            return False
        sends.send(now)
        return True

    def _may_send(self, endpoint_id: str, known: _Cold, now: float) -> bool:
        if now < known.held_until:
            return False
        found = self._updated(known.service)
        if found is None or endpoint_id not in found.usable:
            return False
        return self._sends_to(endpoint_id).may_send(now, known.quota)

    def _has_room(self, endpoint_id: str, units: int) -> bool:
        now = self._clock.monotonic()
        known = self._cold[endpoint_id]
        if now < known.held_until:
            return False
        service = self._service(known.service)
        rate = 0.0 if service is None else service.cold_rate * known.quota / units
        return self._sends_to(endpoint_id).may_reserve(now, known.quota, rate)

    def _sends_to(self, endpoint_id: str) -> ColdSends:
        found = self._sends.get(endpoint_id)
        if found is None:
            found = self._sends[endpoint_id] = ColdSends()
        return found

    def _updated(self, service: str) -> _ServiceCold | None:
        """Return the cold replicas of a service with their quotas, None if it has none."""
        self.expire()
        found = self._by_service.get(service)
        units = self._units(service)
        if found is None or not units:
            return None
        if (found.version, found.units) != (self._quotas.version, units):
            found.version, found.units = self._quotas.version, units
            found.unranked |= found.usable | found.unusable
            found.usable.clear()
            found.unusable.clear()
        if found.unranked:
            self._add_unranked(found)
        return found

    def _add_unranked(self, found: _ServiceCold) -> None:
        ranked = 0
        for endpoint_id in list(islice(found.unranked, MAX_ADDED_PER_DECISION)):
            ranked += not self._quotas.is_ranked(work_key(endpoint_id))
            if ranked > MAX_RANKED_PER_DECISION:
                return
            del found.unranked[endpoint_id]
            self._add(found, endpoint_id)

    def _add(self, found: _ServiceCold, endpoint_id: str) -> None:
        """Compute the quota at a cold replica.

        What this entry may send at once is drawn, so that all entries together send it over time.
        """
        known = self._cold[endpoint_id]
        before, known.quota = known.quota, self._quotas.quota(work_key(endpoint_id), found.units)
        (found.usable if known.quota else found.unusable)[endpoint_id] = None
        if known.quota and not before:
            saved = known.quota * self._rng.random()
            began_at = max(self._clock.monotonic(), known.held_until)
            self._sends_to(endpoint_id).begin(began_at, saved)

    def _units(self, name: str) -> int:
        """Return the requests that all entries may send to a cold replica in one window.

        ``ColdSlack`` isn't dealt out. It remains for entries that started without knowing all
        others, and for requests that are delayed in transit.
        """
        service = self._service(name)
        if service is None or service.cold_rate <= 0.0:
            return 0
        return max(1, int(service.cold_rate * max(1.0, self._overage) + ROUNDING))

    # Expiry.

    def expire(self) -> None:
        """Turn replicas warm whose time is over."""
        now = self._clock.monotonic()
        while self._ends and self._ends[0][0] <= now:
            _, endpoint_id = heapq.heappop(self._ends)
            known = self._cold.get(endpoint_id)
            if known is not None and known.until <= now:
                self._end(endpoint_id, known, ColdSource.TIME)

    def forget(self, published: Set[str]) -> None:
        """Drop the state of replicas that are no longer published."""
        for each in [each for each in self._cold if each not in published]:
            self._drop(each)
        self._sends = {name: each for name, each in self._sends.items() if name in published}
        self._services = {name: each for name, each in self._services.items() if name in published}


def _epoch(endpoint: Endpoint) -> int | None:
    return None if endpoint.membership is None else endpoint.membership.epoch
