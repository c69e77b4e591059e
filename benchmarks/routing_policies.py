"""Ways to choose an endpoint that ``benchmarks.routing`` compares."""

import random
from collections.abc import Sequence
from typing import Protocol

from carawayhub.peers.messages import EndpointReport
from carawayhub.routing.query import InFlight, RouteQuery
from carawayhub.routing.router import Router


class Policy(Protocol):
    """One entry's way to choose an endpoint."""

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Take a report."""

    def choose(self, query: RouteQuery) -> str:
        """Return an endpoint's name."""

    def begin(self, endpoint: str) -> InFlight | None:
        """Count a dispatch."""

    def progress(self, token: InFlight | None) -> None:
        """Note the first byte."""

    def finish(self, token: InFlight | None) -> None:
        """Count an end."""


class RouterPolicy:
    """The product's router."""

    def __init__(self, router: Router, use_prefixes: bool) -> None:
        self._router = router
        self._use_prefixes = use_prefixes

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Take a report."""
        self._router.observe(report, asked_at)

    def choose(self, query: RouteQuery) -> str:
        """Return an endpoint's name."""
        if not self._use_prefixes:
            query = RouteQuery(target=query.target, organisation=query.organisation)
        return self._router.choose(query).endpoint

    def begin(self, endpoint: str) -> InFlight | None:
        """Count a dispatch."""
        return self._router.begin(endpoint)

    def progress(self, token: InFlight | None) -> None:
        """Note the first byte."""
        if token is not None:
            self._router.progress(token)

    def finish(self, token: InFlight | None) -> None:
        """Count an end."""
        if token is not None:
            self._router.finish(token)


class Baseline:
    """What the simple policies have in common: they count nothing."""

    def __init__(self, names: Sequence[str], rng: random.Random) -> None:
        self.names = list(names)
        self.rng = rng
        self.reported = dict.fromkeys(names, 0)
        self.turn = rng.randrange(len(names))

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Keep the reported load."""
        self.reported[report.endpoint] = report.running + report.queued

    def begin(self, endpoint: str) -> InFlight | None:
        """Count nothing."""
        return None

    def progress(self, token: InFlight | None) -> None:
        """Count nothing."""

    def finish(self, token: InFlight | None) -> None:
        """Count nothing."""


class RoundRobin(Baseline):
    """Each endpoint in turn."""

    def choose(self, query: RouteQuery) -> str:
        """Return an endpoint's name."""
        self.turn += 1
        return self.names[self.turn % len(self.names)]


class LeastReported(Baseline):
    """The least load by the last report, ties broken at random."""

    def choose(self, query: RouteQuery) -> str:
        """Return an endpoint's name."""
        least = min(self.reported.values())
        return self.rng.choice([name for name in self.names if self.reported[name] == least])


class PlainRandom(Baseline):
    """Any endpoint."""

    def choose(self, query: RouteQuery) -> str:
        """Return an endpoint's name."""
        return self.rng.choice(self.names)
