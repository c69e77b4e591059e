"""Which endpoint gets a request.

The ranks of a lock-step group execute each pass together and wait for the slowest, so a rank with
twice the requests slows the streams of all. The load pattern this answers: many short streams over
equal ranks, at 40 to 100 in 100 of their places. Ranks are so filled evenly: first by requests in
flight, then by prompt tokens that they still have to read.
"""

import random
from collections.abc import Sequence, Set
from dataclasses import dataclass

from carawayhub.gateway.health import LEAST_FACTOR, MOST_FACTOR, Health
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.model import Endpoint

ERROR_PRICE = 6.0
"""How much fuller an endpoint that fails every request counts: it is all but left out, and still
gets some work while the others are busy, which shows when it has recovered."""


@dataclass(frozen=True, slots=True)
class Chosen:
    """An endpoint for a request.

    Attributes:
        endpoint: It.
        free: Whether it has a free place as far as is known.
    """

    endpoint: Endpoint
    free: bool


class Placement:
    """Chooses endpoints.

    Args:
        loads: Work in flight.
        health: What requests showed of endpoints.
        rng: Breaks ties, so that entries that know the same do not all choose the same.
    """

    __slots__ = ("_health", "_loads", "_rng")

    def __init__(self, loads: Loads, health: Health, rng: random.Random) -> None:
        self._loads = loads
        self._health = health
        self._rng = rng

    def choose(
        self,
        endpoints: Sequence[Endpoint],
        work: Work,
        kv_tokens: int,
        tried: Set[str],
        sample: int = 0,
    ) -> Chosen | None:
        """Return the endpoint that ``work`` goes to, None where there is none.

        Args:
            endpoints: Endpoints of the service that may get work.
            work: What the request will need.
            kv_tokens: Tokens that an endpoint's memory holds, 0 where that does not matter.
            tried: Endpoints that have failed the request, or may not get it.
            sample: Endpoints from which one is chosen, drawn at random; 0 for all.
        """
        sound = self._sound(endpoints, tried)
        if not sound:
            return None
        usual = self._usual_seconds(sound) if kv_tokens == 0 else 0.0
        drawn = self._rng.sample(sound, sample) if 0 < sample < len(sound) else sound
        best = min(drawn, key=lambda each: self._cost(each, work, kv_tokens, usual))
        if not self.is_free(best, work, kv_tokens) and len(drawn) < len(sound):
            best = min(sound, key=lambda each: self._cost(each, work, kv_tokens, usual))
        return Chosen(best, self.is_free(best, work, kv_tokens))

    def _sound(self, endpoints: Sequence[Endpoint], tried: Set[str]) -> Sequence[Endpoint]:
        """Return the endpoints that may get a request, without those to avoid where others are."""
        left = [each for each in endpoints if each.id not in tried] if tried else endpoints
        if self._health.all_open():
            return left
        open_ones = [each for each in left if not self._health.refusing(each.id)]
        return [each for each in open_ones if not self._health.avoided(each.id)] or open_ones

    def is_free(self, endpoint: Endpoint, work: Work, kv_tokens: int) -> bool:
        """Return whether an endpoint has a place and memory for ``work``."""
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
        full *= 1.0 + ERROR_PRICE * self._health.errors(endpoint.id)
        seconds = self._health.seconds(endpoint.id)
        if usual and seconds:
            full *= min(MOST_FACTOR, max(LEAST_FACTOR, seconds / usual))
        return full, total.reading, self._rng.random()

    def _usual_seconds(self, endpoints: Sequence[Endpoint]) -> float:
        """Return the median time of answers, against which slow endpoints of a service stand out.

        Only for plain services: the answers of lock-step ranks all take the time of the slowest.
        """
        times = sorted(filter(None, (self._health.seconds(each.id) for each in endpoints)))
        return times[len(times) // 2] if times else 0.0
