"""Admits requests by their route, their key and the age of the fleet view."""

import random
from collections.abc import Callable

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.line import MAX_RETRY_AFTER_RATIO
from carawayhub.gateway.loads import Work
from carawayhub.gateway.model import Organisation, Route, RouteTable
from carawayhub.gateway.returns import ReturnDetector
from carawayhub.gateway.view import FleetView
from carawayhub.limits.fingerprint import RequestTraits, fingerprint

VIEW_AGE_MARGIN_SECONDS = 0.4
"""Time before the revocation bound at which a view is considered too old. It covers the transfer of
a request from this entry to its endpoint."""

OTHER_ENTRY_RETRY_SECONDS = 0.03
"""Retry time for a caller whose request this entry cannot accept but others can: the caller
connects to another entry, and its answer can still be in time."""

START_SECONDS = 1.0
"""Expected time from the start of an entry to its first configuration while no other entry has one:
a read of the store, and one round of gossip."""

MIN_START_LEFT_SECONDS = 0.2
"""Minimum expected time until the first configuration."""

START_JITTER_SECONDS = 0.3
"""Seconds over which retries are spread after a simultaneous start of all entries."""


class AdmissionControl:
    """Checks the route and key of requests.

    Args:
        view: The view of the fleet.
        clock: Source of time.
        rng: Selects a service for routes with several.
        revoke_after: Seconds after which a revoked key must no longer be accepted.
        others_ready: Returns whether another entry accepts requests.
    """

    __slots__ = (
        "_clock",
        "_configured_at",
        "_max_view_age",
        "_others_ready",
        "_returns",
        "_rng",
        "_view",
    )

    def __init__(
        self,
        view: FleetView,
        clock: Clock,
        rng: random.Random,
        revoke_after: float,
        others_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._view = view
        self._clock = clock
        self._rng = rng
        self._max_view_age = revoke_after - VIEW_AGE_MARGIN_SECONDS
        self._returns = ReturnDetector(clock)
        self._others_ready = others_ready
        self._configured_at = clock.monotonic() + START_SECONDS

    def check_head(self, req: CallerRequest, arrived_at: float) -> float:
        """Return the time at which the caller or the route gives up, before the body is known.

        Raises:
            RequestError: NOT_READY, NOT_SERVED, KEY_UNKNOWN, VIEW_TOO_OLD.
        """
        _, route, _ = self._find_route(req)
        return arrived_at + min(_wait_seconds(req, route), route.timeout)

    def admit(self, req: CallerRequest, arrived_at: float) -> Admitted:
        """Return the request with its route, service and time limits.

        Raises:
            RequestError: NOT_READY, NOT_SERVED, KEY_UNKNOWN, VIEW_TOO_OLD.
        """
        table, route, organisation = self._find_route(req)
        waits = _wait_seconds(req, route)
        req.deadline = arrived_at + waits
        return Admitted(
            req=req,
            route=route,
            service=self._draw_service(route),
            organisation=organisation,
            arrived_at=arrived_at,
            ends_at=arrived_at + min(waits, route.timeout),
            returned=self._returns.has_returned(route.name, waits),
            work=Work(1, req.prompt_tokens, req.prompt_tokens + req.answer_tokens),
            traits=_traits(req, organisation),
            version=table.version,
        )

    def _find_route(self, req: CallerRequest) -> tuple[RouteTable, Route, Organisation | None]:
        table = self._view.table
        if table is None:
            raise RequestError(Code.NOT_READY, retry_after=self._start_retry(req))
        route = table.match(req.host, req.path)
        if route is None:
            raise RequestError(Code.NOT_SERVED, f"{req.host}{req.path}")
        return table, route, self._organisation(table, route, req)

    def _start_retry(self, req: CallerRequest) -> float:
        """Return the retry time of a request that arrives before the first configuration.

        After a power loss all entries start together. A caller that retries at once reaches
        another starting entry, is refused again and gives up.
        """
        if self._others_ready():
            return OTHER_ENTRY_RETRY_SECONDS
        left = max(MIN_START_LEFT_SECONDS, self._configured_at - self._clock.monotonic())
        wanted = left + self._rng.uniform(0.0, START_JITTER_SECONDS)
        if req.wait_seconds is None:
            return wanted
        return min(wanted, req.wait_seconds * MAX_RETRY_AFTER_RATIO)

    def _organisation(
        self, table: RouteTable, route: Route, req: CallerRequest
    ) -> Organisation | None:
        if route.public or not table.keys_required:
            return None
        if self._view.age > self._max_view_age:
            raise RequestError(
                Code.VIEW_TOO_OLD,
                f"{self._view.age:.1f} s old",
                retry_after=OTHER_ENTRY_RETRY_SECONDS,
            )
        organisation = table.organisations.get(req.key)
        if organisation is None:
            raise RequestError(Code.KEY_UNKNOWN)
        return organisation

    def _draw_service(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        return self._rng.choices(shares, [each.weight for each in shares])[0].service

    def refused(self) -> None:
        """Record that a caller was refused and asked to come back."""
        self._returns.refused()


def _wait_seconds(req: CallerRequest, route: Route) -> float:
    return route.timeout if req.wait_seconds is None else req.wait_seconds


def _traits(req: CallerRequest, organisation: Organisation | None) -> RequestTraits:
    caller = organisation.name if organisation is not None else ""
    content = fingerprint(caller, req.method, req.host, req.target, req.body)
    return RequestTraits(content, req.prompt_parts)
