"""How many places of a service's endpoints are free.

The load pattern this answers: requests that wait ask for it at each datagram of a peer, and so does
each request that comes. Added up over all endpoints each time, that was most of what a decision
cost. Here only what changed since the last look is added up anew.
"""

from collections.abc import Sequence

from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import Endpoint


class FreePlaces:
    """The free places of endpoints, as far as is known.

    Args:
        loads: Work in flight.
    """

    __slots__ = ("_changed", "_endpoints", "_free", "_loads", "_places", "_sum")

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._changed: set[int] = set()
        self._endpoints: Sequence[Endpoint] = ()
        self._places: dict[int, list[int]] = {}
        self._free: dict[int, int] = {}
        self._sum = 0
        loads.watch(self._note)

    def of(self, endpoints: Sequence[Endpoint]) -> int:
        """Return the free places of endpoints; cheap while they are those of the last call."""
        if endpoints is not self._endpoints:
            self._begin_anew(endpoints)
        while self._changed:
            self._count(self._changed.pop())
        return self._sum

    def _begin_anew(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._places = {}
        for each in endpoints:
            self._places.setdefault(work_key(each.id), []).append(each.places)
        self._free = {}
        self._sum = 0
        self._changed = set(self._places)

    def _note(self, key: int) -> None:
        # Those of other services, and of endpoints that are gone, would pile up for ever.
        if key in self._places:
            self._changed.add(key)

    def _count(self, key: int) -> None:
        requests = self._loads.requests(key)
        free = sum(max(0, each - requests) for each in self._places[key])
        self._sum += free - self._free.get(key, 0)
        self._free[key] = free
