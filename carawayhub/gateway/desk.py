"""Whether a request may be served at all: its route, its key and the age of what is known."""

import random

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.loads import Work
from carawayhub.gateway.model import Organisation, Route, RouteTable
from carawayhub.gateway.view import FleetView
from carawayhub.limits.fingerprint import fingerprint

AGE_MARGIN = 0.4
"""Seconds by which a view is held to be too old before keys that were taken away must be: it covers
the way of a request from here to its endpoint."""

RETURN_GAP = 0.15
"""Seconds by which a caller's patience must be shorter than the longest seen on its route for the
request to count as one that was refused before and came back."""

ELSEWHERE_SECONDS = 0.03
"""Seconds after which a caller comes back whose request this entry cannot take but others can: it
connects to another one, and its answer can still be in time."""


class Desk:
    """Admits requests.

    Args:
        view: What is known of the fleet.
        clock: Source of time.
        rng: Draws the service of routes that are shared by several.
        revoke_after: Seconds after which a key that was taken away must open nothing.
    """

    __slots__ = ("_clock", "_longest", "_most_age", "_rng", "_view")

    def __init__(
        self, view: FleetView, clock: Clock, rng: random.Random, revoke_after: float
    ) -> None:
        self._view = view
        self._clock = clock
        self._rng = rng
        self._most_age = revoke_after - AGE_MARGIN
        self._longest: dict[str, float] = {}

    def admit(self, req: CallerRequest, arrived_at: float) -> Admitted:
        """Return the request with its route, service and times.

        Raises:
            RequestError: NOT_READY, NOT_SERVED, KEY_UNKNOWN, DEADLINE_PASSED.
        """
        table = self._view.table
        if table is None:
            raise RequestError(Code.NOT_READY, retry_after=ELSEWHERE_SECONDS)
        route = table.match(req.host, req.path)
        if route is None:
            raise RequestError(Code.NOT_SERVED, f"{req.host}{req.path}")
        organisation = self._organisation(table, route, req)
        waits = route.timeout if req.wait_seconds is None else req.wait_seconds
        req.deadline = arrived_at + waits
        return Admitted(
            req=req,
            route=route,
            service=self._draw(route),
            organisation=organisation,
            arrived_at=arrived_at,
            ends_at=arrived_at + min(waits, route.timeout),
            returned=self._is_back(route, waits),
            work=Work(1, req.prompt_tokens, req.prompt_tokens + req.answer_tokens),
            fingerprint=fingerprint(
                organisation.name if organisation is not None else "",
                req.method,
                req.host,
                req.target,
                req.body,
            ),
            version=table.version,
        )

    def _organisation(
        self, table: RouteTable, route: Route, req: CallerRequest
    ) -> Organisation | None:
        if route.public or not table.keys_required:
            return None
        if self._view.age > self._most_age:
            raise RequestError(
                Code.VIEW_TOO_OLD, f"{self._view.age:.1f} s old", retry_after=ELSEWHERE_SECONDS
            )
        organisation = table.organisations.get(req.key)
        if organisation is None:
            raise RequestError(Code.KEY_UNKNOWN)
        return organisation

    def _draw(self, route: Route) -> str:
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        return self._rng.choices(shares, [each.weight for each in shares])[0].service

    def _is_back(self, route: Route, waits: float) -> bool:
        """Return whether the caller has waited before: it then has less time left than others."""
        longest = max(self._longest.get(route.name, 0.0), waits)
        self._longest[route.name] = longest
        return waits < longest - RETURN_GAP
