"""Counts the free slots of a service's endpoints.

The count is needed for each new request and, while requests wait, for each datagram from a peer. A
sum over all endpoints each time would be most of the cost of a decision, so only endpoints that
changed since the last call are counted again.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from carawayhub.gateway.loads import Loads, work_key
from carawayhub.gateway.model import Endpoint


class FreeSlots:
    """The known free slots of endpoints.

    Args:
        loads: Work in flight.
    """

    __slots__ = (
        "_changed",
        "_endpoints",
        "_free",
        "_groups",
        "_group_free",
        "_group_requests",
        "_loads",
        "_requests",
        "_slots",
        "_sum",
    )

    def __init__(self, loads: Loads) -> None:
        self._loads = loads
        self._changed: set[int] = set()
        self._endpoints: Sequence[Endpoint] = ()
        self._slots: dict[int, list[int]] = {}
        self._groups: dict[int, str] = {}
        self._free: dict[int, int] = {}
        self._requests: dict[int, int] = {}
        self._group_free: Counter[str] = Counter()
        self._group_requests: Counter[str] = Counter()
        self._sum = 0
        loads.watch(self._mark_changed)

    def count_free(self, endpoints: Sequence[Endpoint], limits: Mapping[str, int] = {}) -> int:
        """Return the free slots of endpoints; cheap if the sequence is that of the last call.

        Args:
            endpoints: The endpoints.
            limits: Maximum number of requests in flight at each group that has a limit.
        """
        self._update(endpoints)
        beyond = 0
        for group, limit in limits.items():
            room = max(0, limit - self._group_requests[group])
            beyond += max(0, self._group_free[group] - room)
        return self._sum - beyond

    def group_requests(self, endpoints: Sequence[Endpoint], group: str) -> int:
        """Return the requests in flight at those of the endpoints that belong to a group."""
        self._update(endpoints)
        return self._group_requests[group]

    def _update(self, endpoints: Sequence[Endpoint]) -> None:
        if endpoints is not self._endpoints:
            self._rebuild(endpoints)
        while self._changed:
            self._recount(self._changed.pop())

    def _rebuild(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        self._slots = {}
        self._groups = {}
        for each in endpoints:
            key = work_key(each.id)
            self._slots.setdefault(key, []).append(each.places)
            if each.membership is not None:
                self._groups[key] = each.membership.group
        self._free = {}
        self._requests = {}
        self._group_free.clear()
        self._group_requests.clear()
        self._sum = 0
        self._changed = set(self._slots)

    def _mark_changed(self, key: int) -> None:
        # Keys of other services and of removed endpoints would accumulate without bound.
        if key in self._slots:
            self._changed.add(key)

    def _recount(self, key: int) -> None:
        requests = self._loads.requests(key)
        free = sum(max(0, each - requests) for each in self._slots[key])
        growth = free - self._free.get(key, 0)
        self._sum += growth
        group = self._groups.get(key)
        if group is not None:
            self._group_free[group] += growth
            self._group_requests[group] += requests - self._requests.get(key, 0)
        self._free[key] = free
        self._requests[key] = requests
