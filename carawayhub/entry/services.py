"""Matches calls to plain services by method and path, and checks who may use them."""

from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Service, ServiceRoute
from carawayhub.entry.calls import ServiceTarget
from carawayhub.errors import RequestError

DOT_SEGMENTS = frozenset({".", ".."})


def service_target(cfg: Configuration, method: str, path: str) -> ServiceTarget:
    """Return the plain service and the route that match a call.

    Raises:
        RequestError: NOT_SERVED if no route matches.
    """
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        # The service would resolve the dot segments, so a path that matches a repeatable route
        # could reach an operation that must run only once.
        raise RequestError(Code.NOT_SERVED, "'.' and '..' are not allowed in the path")
    for service in cfg.services.values():
        for route in service.routes:
            if _matches(route, method, path):
                return ServiceTarget(service, route)
    raise RequestError(Code.NOT_SERVED, f"{method} {path}")


def check_allowed(service: Service, organisation: str) -> None:
    """Raise NOT_ALLOWED unless the organisation may use the service."""
    if service.organisations and organisation not in service.organisations:
        raise RequestError(Code.NOT_ALLOWED, service.name)


def _matches(route: ServiceRoute, method: str, path: str) -> bool:
    if route.method not in ("*", method):
        return False
    if route.path.endswith("*"):
        return path.startswith(route.path[:-1])
    return path == route.path
