"""Looks up the endpoints that a configuration allows for a request."""

from carawayhub.codes import Code
from carawayhub.config.model import Configuration, ModelGroup
from carawayhub.errors import RequestError
from carawayhub.routing.query import RouteQuery, TargetKind


class Catalogue:
    """Models and plain services of one configuration version."""

    __slots__ = ("_cfg", "_groups_of")

    def __init__(self, cfg: Configuration) -> None:
        self._cfg = cfg
        self._groups_of: dict[str, list[ModelGroup]] = {}
        for group in cfg.groups.values():
            self._groups_of.setdefault(group.model, []).append(group)

    def eligible(self, query: RouteQuery) -> dict[str, tuple[str, ...]]:
        """Return the endpoints that may serve a query, by lock-step group.

        Each endpoint of a plain service is its own group.

        Raises:
            RequestError: ``NOT_SERVED`` if no model or service has this name, ``NOT_ALLOWED`` if
                the organisation may use none of its endpoints.
        """
        if query.target.kind is TargetKind.SERVICE:
            return self._of_service(query)
        name = query.target.name
        groups = self._groups_of.get(name)
        if not groups:
            raise RequestError(Code.NOT_SERVED, name)
        allowed = {
            group.name: group.endpoints
            for group in groups
            if not group.organisations or query.organisation in group.organisations
        }
        if not allowed:
            raise RequestError(Code.NOT_ALLOWED, name)
        return allowed

    def _of_service(self, query: RouteQuery) -> dict[str, tuple[str, ...]]:
        service = self._cfg.services.get(query.target.name)
        if service is None:
            raise RequestError(Code.NOT_SERVED, query.target.name)
        if service.organisations and query.organisation not in service.organisations:
            raise RequestError(Code.NOT_ALLOWED, query.target.name)
        return {endpoint: (endpoint,) for endpoint in service.endpoints}
