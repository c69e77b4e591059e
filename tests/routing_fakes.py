"""Routers fed with constructed reports, for routing tests."""

import random
from collections import Counter

from benchmarks.fakes import MODEL_TARGET, REGION, fake_configuration
from carawayhub.clock import ManualClock
from carawayhub.config.model import Configuration, Limits
from carawayhub.peers.messages import CacheEvents, EndpointReport, ServingState
from carawayhub.routing.query import RouteQuery
from carawayhub.routing.router import Router

PERMIT = 1000.0


def configuration(endpoints: int = 6, shares: dict[str, float] | None = None) -> Configuration:
    """Return a configuration with one model and one organisation."""
    return fake_configuration(endpoints, 7, {"org": Limits()}, shares)


def query(**changes: object) -> RouteQuery:
    """Return a query for the one model."""
    return RouteQuery(target=MODEL_TARGET, organisation="org", **changes)  # type: ignore[arg-type]


def report(endpoint: str, **changes: object) -> EndpointReport:
    """Return a report of a serving endpoint."""
    fields: dict[str, object] = {
        "endpoint": endpoint,
        "incarnation": 1,
        "state": ServingState.SERVING,
        "permit": PERMIT,
        "capacity": 32,
        "cache": CacheEvents(first=0),
    }
    return EndpointReport(**{**fields, **changes})  # type: ignore[arg-type]


class RouterHarness:
    """A router with a clock and reports controlled by the test."""

    def __init__(
        self,
        cfg: Configuration,
        seed: int = 1,
        clock: ManualClock | None = None,
        failure_domain: str = "without-endpoints",
    ) -> None:
        self.clock = clock or ManualClock(1000.0)
        self.cfg = cfg
        self.names = sorted(cfg.endpoints)
        self.router = Router(self.clock, random.Random(seed), failure_domain, REGION)
        self.router.configure(cfg)

    def receive_all(self, **changes: object) -> None:
        """Receive the same report from every endpoint."""
        for name in self.names:
            self.receive(name, **changes)

    def receive(self, endpoint: str, **changes: object) -> None:
        """Receive a report from one endpoint, in answer to a heartbeat sent now."""
        self.router.observe(report(endpoint, **changes), self.clock.monotonic())

    def send_and_finish(self, count: int, **changes: object) -> Counter[str]:
        """Count requests by endpoint, finishing each before the next is sent."""
        sent: Counter[str] = Counter()
        for _ in range(count):
            choice = self.router.choose(query(**changes))
            sent[choice.endpoint] += 1
            self.router.finish(self.router.begin(choice.endpoint))
        return sent

    def send_and_hold(self, count: int) -> Counter[str]:
        """Count requests by endpoint while all of them are in flight."""
        tokens = [self.router.begin(self.router.choose(query()).endpoint) for _ in range(count)]
        for token in tokens:
            self.router.finish(token)
        return Counter(token.endpoint for token in tokens)
