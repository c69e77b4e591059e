"""The regions in which a request may run, and the endpoints that lie there.

Handles routes and organisations whose requests must stay within some regions, beside others without
such a list. The lists are those of the configuration in force, also for a request that was admitted
by a former one. An endpoint whose region is unknown is in no allowed region.
"""

from collections.abc import Iterator, Mapping, Sequence

from loguru import logger

from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.model import Endpoint, Organisation, Route, RouteTable
from carawayhub.gateway.view import FleetView

MAX_LOGGED = 16
"""Maximum number of faults of one configuration that are logged one by one."""

MAX_SELECTIONS = 64
"""Sets of regions for which the endpoints are kept; a configuration has a few of them."""


class AllowedRegions:
    """Allowed regions of requests, and regions of failure domains.

    Args:
        view: Provides the configuration in force.
        regions: Region of each failure domain.
    """

    __slots__ = ("_has_lists", "_regions", "_table", "_view")

    def __init__(self, view: FleetView, regions: Mapping[str, str]) -> None:
        self._view = view
        self._regions = regions
        self._table: RouteTable | None = None
        self._has_lists = False

    @property
    def restricts(self) -> bool:
        """Whether some route or organisation has a list; otherwise no check is needed."""
        table = self._view.table
        if table is not self._table:
            self._table = table
            self._has_lists = table is not None and _has_lists(table)
        return self._has_lists

    def of(self, call: Admitted) -> frozenset[str] | None:
        """Return the regions in which a request may run, None for any.

        The set is empty if the lists of the route and the organisation contradict each other. If
        the configuration in force lacks its route or key, the list that admitted the request stays.
        """
        if not self.restricts and not call.route.regions and not _regions_of(call.organisation):
            return None
        route, organisation = self._current(call)
        return allowed_regions(route, organisation)

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, empty if unknown."""
        return self._regions.get(failure_domain, "")

    def is_region(self, name: str) -> bool:
        """Return whether a failure domain is in a region of this name."""
        return name in self._regions.values()

    def allows(self, call: Admitted, endpoint: Endpoint) -> bool:
        """Return whether a request may run at an endpoint."""
        regions = self.of(call)
        return regions is None or self.region_of(endpoint.failure_domain) in regions

    def of_host(self, host: str) -> frozenset[str]:
        """Return the regions that the lists of a host's routes contain, empty without lists."""
        table = self._view.table
        if table is None or not self.restricts:
            return frozenset()
        return frozenset().union(*(each.regions for each in table.routes_of(host)))

    def check_table(self) -> None:
        """Log what the lists of the configuration in force exclude; see ``faults``."""
        if not self.restricts or self._table is None:
            return
        found = list(faults(self._table, frozenset(self._regions.values())))
        for fault in found[:MAX_LOGGED]:
            logger.bind(version=self._table.version, fault=fault).warning(
                "allowed regions exclude requests"
            )
        if len(found) > MAX_LOGGED:
            logger.bind(version=self._table.version, faults=len(found)).warning(
                "allowed regions exclude requests of further routes or organisations"
            )

    def _current(self, call: Admitted) -> tuple[Route, Organisation | None]:
        """Return the route and the organisation of a request in the configuration in force."""
        table = self._view.table
        if table is None or table.version == call.version:
            return call.route, call.organisation
        route = table.match(call.req.host, call.req.path) or call.route
        if call.organisation is None:
            return route, None
        return route, table.organisations.get(call.req.key, call.organisation)


class RegionSelection:
    """Endpoints of one service in allowed regions.

    The same sequence is returned as long as neither the endpoints nor the regions change, so a
    choice costs no pass over the endpoints that are elsewhere.

    Args:
        allowed: Regions of failure domains.
    """

    __slots__ = ("_allowed", "_found", "_selected_from")

    def __init__(self, allowed: AllowedRegions) -> None:
        self._allowed = allowed
        self._selected_from: Sequence[Endpoint] = ()
        self._found: dict[frozenset[str], Sequence[Endpoint]] = {}

    def select(
        self, endpoints: Sequence[Endpoint], regions: frozenset[str] | None
    ) -> Sequence[Endpoint]:
        """Return the endpoints in some regions, all for None."""
        if regions is None:
            return endpoints
        if endpoints is not self._selected_from or len(self._found) >= MAX_SELECTIONS:
            self._selected_from = endpoints
            self._found = {}
        found = self._found.get(regions)
        if found is None:
            found = self._found[regions] = tuple(
                each
                for each in endpoints
                if self._allowed.region_of(each.failure_domain) in regions
            )
        return found


def allowed_regions(route: Route, organisation: Organisation | None) -> frozenset[str] | None:
    """Return the regions that both lists allow, None if there is no list."""
    lists = [each for each in (route.regions, _regions_of(organisation)) if each]
    return frozenset.intersection(*lists) if lists else None


def faults(table: RouteTable, known: frozenset[str]) -> Iterator[str]:
    """Yield what lists of allowed regions exclude.

    Args:
        table: A configuration.
        known: Regions of the known failure domains; empty to check no names.
    """
    organisations = {each.name: each for each in table.organisations.values() if each.regions}
    routes = [each for each in table.routes() if each.regions]
    for kind, name, regions in (
        *(("route", each.name, each.regions) for each in routes),
        *(("organisation", each.name, each.regions) for each in organisations.values()),
    ):
        unknown = sorted(regions - known) if known else []
        if unknown:
            yield f"{kind} {name}: no failure domain is in {', '.join(unknown)}"
    for route in routes:
        for each in organisations.values():
            if not route.public and not route.regions & each.regions:
                yield f"route {route.name} and organisation {each.name} have no region in common"


def _has_lists(table: RouteTable) -> bool:
    return any(each.regions for each in table.routes()) or any(
        each.regions for each in table.organisations.values()
    )


def _regions_of(organisation: Organisation | None) -> frozenset[str]:
    return organisation.regions if organisation is not None else frozenset()
