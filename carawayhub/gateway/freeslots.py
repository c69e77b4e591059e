"""Counts the free slots of a service's endpoints.

The count is needed for each new request and, while requests wait, for each datagram from a peer. A
sum over all endpoints each time would be most of the cost of a decision, so only endpoints that
changed since the last call are counted again.
"""

from collections.abc import Sequence

from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import Endpoint


class FreeSlots:
    """The known free slots of endpoints.

    Args:
        loads: Work in flight.
    """

    __slots__ = ("_changed", "_endpoints", "_free", "_loads", "_slots", "_sum")

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._changed: set[int] = set()
        self._endpoints: Sequence[Endpoint] = ()
        self._slots: dict[int, list[int]] = {}
        self._free: dict[int, int] = {}
        self._sum = 0
        loads.watch(self._mark_changed)

    def count_free(self, endpoints: Sequence[Endpoint]) -> int:
        """Return the free slots of endpoints; cheap if the sequence is that of the last call."""
        if endpoints is not self._endpoints:
            self._rebuild(endpoints)
        while self._changed:
            self._recount(self._changed.pop())
        return self._sum

    def _rebuild(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._slots = {}
        for each in endpoints:
            self._slots.setdefault(work_key(each.id), []).append(each.places)
        self._free = {}
        self._sum = 0
        self._changed = set(self._slots)

    def _mark_changed(self, key: int) -> None:
        # Keys of other services and of removed endpoints would accumulate without bound.
        if key in self._slots:
            self._changed.add(key)

    def _recount(self, key: int) -> None:
        requests = self._loads.requests(key)
        free = sum(max(0, each - requests) for each in self._slots[key])
        self._sum += free - self._free.get(key, 0)
        self._free[key] = free
