"""Free slots of a service's endpoints, within the limits of its lock-step groups."""

from collections.abc import Callable, Mapping, Sequence

from carawayhub.clock import Clock
from carawayhub.gateway.freeslots import FreeSlots
from carawayhub.gateway.grouplimits import GroupLimits, GroupShape, group_shapes
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import Endpoint, RouteTable
from carawayhub.gateway.passbound import PassBounds


class ServiceSlots:
    """Slots of one service.

    Args:
        service: Name of the service.
        clock: Source of time.
        loads: Work in flight.
        table: Returns the configuration in force.
        accepting: Returns the endpoints that may get requests; the same sequence as long as they
            do not change.
        counted: Returns those of them whose slots count; the same sequence likewise.
        fleet_rate: Returns the requests per second for the service at all entries.
    """

    __slots__ = (
        "_accepting",
        "_bounds",
        "_counted",
        "_counts",
        "_fleet_rate",
        "_limits",
        "_service",
        "_shapes",
        "_shapes_from",
        "_table",
    )

    def __init__(
        self,
        service: str,
        clock: Clock,
        loads: Loads,
        table: Callable[[], RouteTable | None],
        accepting: Callable[[], Sequence[Endpoint]],
        counted: Callable[[], Sequence[Endpoint]],
        fleet_rate: Callable[[], float],
    ) -> None:
        self._service = service
        self._table = table
        self._accepting = accepting
        self._counted = counted
        self._fleet_rate = fleet_rate
        self._counts = FreeSlots(loads)
        self._limits = GroupLimits(clock)
        self._bounds = PassBounds(clock)
        self._shapes: dict[str, GroupShape] = {}
        self._shapes_from: tuple[RouteTable | None, Sequence[Endpoint]] = (None, ())

    def free(self) -> int:
        """Return the known number of free slots."""
        return self._counts.count_free(self._counted(), self.group_limits())

    def group_limits(self) -> dict[str, int]:
        """Return the maximum number of requests in flight at each group that has a limit."""
        shapes = self._group_shapes()
        limits = self._limits.limits(shapes, self._fleet_rate())
        for group, bound in self._bounds.bounds(shapes).items():
            limits[group] = min(bound, limits.get(group, bound))
        return limits

    def pass_bounds(self) -> Mapping[str, int]:
        """Return the bounds that keep the passes of groups within the accepted pause."""
        return self._bounds.bounds(self._group_shapes())

    def below_limits(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints whose groups are below their limits, or all if there are none."""
        limits = self.group_limits()
        if not limits:
            return endpoints
        counted = self._counted()
        full = {
            group
            for group, limit in limits.items()
            if self._counts.group_requests(counted, group) >= limit
        }
        if not full:
            return endpoints
        left = [
            each
            for each in endpoints
            if each.membership is None or each.membership.group not in full
        ]
        return left or endpoints

    def record_pause(self, endpoint: Endpoint, seconds: float) -> None:
        """Record the time between two events of a stream."""
        if endpoint.membership is None:
            return
        group, epoch = endpoint.membership.group, endpoint.membership.epoch

        def usual() -> float:
            return self._usual_pass_seconds(group)

        self._limits.record_pause(group, seconds, usual)
        self._bounds.record_pause(group, epoch, seconds, usual)

    def _usual_pass_seconds(self, group: str) -> float:
        """Return the seconds of a pass by the profile, 0 if the group has no streams."""
        shape = self._group_shapes().get(group)
        if shape is None:
            return 0.0
        requests = self._counts.group_requests(self._counted(), group)
        return shape.pass_seconds(max(1, requests))

    def _group_shapes(self) -> dict[str, GroupShape]:
        """Return the shapes of the groups whose ranks serve requests, by name."""
        table, endpoints = self._table(), self._accepting()
        if self._shapes_from[0] is not table or self._shapes_from[1] is not endpoints:
            self._shapes_from = table, endpoints
            self._shapes = {} if table is None else group_shapes(table, self._service, endpoints)
        return self._shapes
