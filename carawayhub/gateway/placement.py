"""Selects the endpoint for a request.

The ranks of a lock-step group execute each pass together and wait for the slowest, so a rank with
twice the requests slows down the streams of all. The expected load is many short streams over equal
ranks, with 40 to 100% of their slots in use. Ranks are therefore filled evenly: first by requests
in flight, then by prompt tokens still to be processed. ``locality.py`` prefers the ranks of the
entry's own failure domain where that is configured.
"""

import random
from collections.abc import Sequence, Set
from dataclasses import dataclass

from carawayhub.gateway.health import MAX_SLOWNESS, MIN_SLOWNESS, Health
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.locality import Locality, Origin
from carawayhub.gateway.model import Endpoint

ERROR_PENALTY = 6.0
"""Added relative load of an endpoint that fails every request. It is rarely selected, but still
gets some requests while the others are busy, which shows when it has recovered."""

PEER_BACKOFF_LOAD = 0.75
"""Minimum relative load with which an endpoint counts that requested a backoff of a peer. It runs
little and would look least loaded; but its free slots are used before a request has to wait."""


@dataclass(frozen=True, slots=True)
class Selection:
    """An endpoint selected for a request.

    Attributes:
        endpoint: The endpoint.
        free: Whether it is known to have a free slot.
    """

    endpoint: Endpoint
    free: bool


class Placement:
    """Selects endpoints by load and health.

    Args:
        loads: Work in flight.
        health: Failures, refusals and answer times of endpoints.
        rng: Breaks ties, so that entries with the same information do not all choose alike.
        locality: Preference for the entry's own failure domain, None to ignore failure domains.
    """

    __slots__ = ("_health", "_loads", "_locality", "_origin", "_rng")

    def __init__(
        self,
        loads: Loads,
        health: Health,
        rng: random.Random,
        locality: Locality | None = None,
    ) -> None:
        self._loads = loads
        self._health = health
        self._rng = rng
        self._locality = locality
        self._origin = Origin.ABSENT

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        work: Work,
        kv_tokens: int,
        tried: Set[str],
        sample: int = 0,
    ) -> Selection | None:
        """Return the endpoint for ``work``, or None if there is none.

        Args:
            endpoints: Endpoints of the service that may get work.
            work: Work that the request causes.
            kv_tokens: Token capacity of an endpoint's memory, 0 if unlimited.
            tried: Ids of endpoints that have failed the request or may not get it.
            sample: Number of endpoints drawn at random to choose from; 0 for all.
        """
        usable = self._usable(endpoints, tried)
        if not usable:
            return None
        usual = self._median_seconds(usable) if kv_tokens == 0 else 0.0
        if self._locality is not None:
            return self._choose_near(self._locality, usable, work, kv_tokens, usual, sample)
        sampled = self._sample(usable, sample)
        best = min(sampled, key=lambda each: self._cost(each, work, kv_tokens, usual))
        if not self.is_free(best, work, kv_tokens) and len(sampled) < len(usable):
            best = min(usable, key=lambda each: self._cost(each, work, kv_tokens, usual))
        return Selection(best, self.is_free(best, work, kv_tokens))

    def sent(self, endpoint: Endpoint) -> None:
        """Count a request that is sent to the endpoint that was selected last."""
        if self._locality is not None:
            self._locality.sent(endpoint, self._origin)

    def _choose_near(
        self,
        locality: Locality,
        usable: Sequence[Endpoint],
        work: Work,
        kv_tokens: int,
        usual: float,
        sample: int,
    ) -> Selection:
        """Return the best endpoint of the own failure domain unless others have far less load.

        The own and the other endpoints are sampled separately. The sample has the same size in
        each: the own failure domain has a part of the endpoints and gets the same part of the
        requests.
        """
        own, others = locality.split(usable)
        for near, far in (
            (self._sample(own, sample), self._sample(others, sample)),
            (own, others),
        ):
            best, origin = self._better(locality, near, far, work, kv_tokens, usual)
            if self.is_free(best, work, kv_tokens):
                break
        self._origin = origin
        return Selection(best, self.is_free(best, work, kv_tokens))

    def _better(
        self,
        locality: Locality,
        near: Sequence[Endpoint],
        far: Sequence[Endpoint],
        work: Work,
        kv_tokens: int,
        usual: float,
    ) -> tuple[Endpoint, Origin]:
        """Return the better of the least loaded own endpoint and the least loaded other one."""
        costs = {each.id: self._cost(each, work, kv_tokens, usual) for each in (*near, *far)}
        best_near = min(near, key=lambda each: costs[each.id], default=None)
        best_far = min(far, key=lambda each: costs[each.id], default=None)
        if best_near is None:
            assert best_far is not None
            return best_far, Origin.ABSENT
        if best_far is None:
            return best_near, Origin.OWN
        is_near_free = self.is_free(best_near, work, kv_tokens)
        is_far_free = self.is_free(best_far, work, kv_tokens)
        if is_far_free and not is_near_free:
            return best_far, Origin.OVERFLOW
        if locality.prefers_own(costs[best_near.id][0], costs[best_far.id][0]):
            return best_near, Origin.OWN
        if is_near_free and not is_far_free:
            # Averages include idle endpoints that this request may not use, such as cold ones.
            return best_near, Origin.OWN
        return best_far, Origin.OVERFLOW

    def _sample(self, endpoints: Sequence[Endpoint], size: int) -> Sequence[Endpoint]:
        if not 0 < size < len(endpoints):
            return endpoints
        return self._rng.sample(endpoints, size)

    def _usable(self, endpoints: Sequence[Endpoint], tried: Set[str]) -> Sequence[Endpoint]:
        """Return the endpoints that may get a request, avoided ones only if there are no others."""
        left = [each for each in endpoints if each.id not in tried] if tried else endpoints
        if self._health.all_available():
            return left
        accepting = [each for each in left if not self._health.refusing(each.id)]
        reachable = [each for each in accepting if not self._health.avoided(each.id)] or accepting
        return [each for each in reachable if not self._health.slow(each.id)] or reachable

    def is_free(self, endpoint: Endpoint, work: Work, kv_tokens: int) -> bool:
        """Return whether an endpoint has a free slot and memory for ``work``."""
        total = self._loads.total(endpoint.id)
        if total.requests >= endpoint.places:
            return False
        return not kv_tokens or total.requests == 0 or total.tokens + work.tokens <= kv_tokens

    def _cost(
        self, endpoint: Endpoint, work: Work, kv_tokens: int, usual: float
    ) -> tuple[float, float, float]:
        total = self._loads.total(endpoint.id)
        full = (total.requests + 1) / endpoint.places
        if kv_tokens:
            full = max(full, (total.tokens + work.tokens) / kv_tokens)
        full *= 1.0 + ERROR_PENALTY * self._health.errors(endpoint.id)
        if self._health.backs_off_peer(endpoint.id):
            full = max(full, PEER_BACKOFF_LOAD)
        seconds = self._health.seconds(endpoint.id)
        if usual and seconds:
            full *= min(MAX_SLOWNESS, max(MIN_SLOWNESS, seconds / usual))
        return full, total.reading, self._rng.random()

    def _median_seconds(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the median answer time, the reference for slow endpoints of a service.

        Used for plain services only: all ranks of a lock-step group answer at the pace of the
        slowest.
        """
        times = sorted(filter(None, (self._health.seconds(each.id) for each in endpoints)))
        return times[len(times) // 2] if times else 0.0
