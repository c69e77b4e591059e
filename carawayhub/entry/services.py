"""Which plain service a call is for, by method and path, and who may use it."""

from carawayhub.codes import Code
from carawayhub.config.model import Configuration, Service, ServiceRoute
from carawayhub.entry.calls import ServiceTarget
from carawayhub.errors import RequestError

DOT_SEGMENTS = frozenset({".", ".."})


def service_target(cfg: Configuration, method: str, path: str) -> ServiceTarget:
    """Return the plain service and the rule that cover a call.

    Raises:
        RequestError: NOT_SERVED where no rule matches.
    """
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        # The service would resolve them: a path under a rule that lets a call be repeated could
        # reach one that must run once.
        raise RequestError(Code.NOT_SERVED, "send the path without '.' and '..'")
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
