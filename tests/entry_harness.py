"""A complete entry with HTTP callers in front and scripted endpoints behind it."""

import random
import time

import anyio

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Upstream
from carawayhub.gateway.admission import AdmissionControl
from carawayhub.gateway.app import GatewayApp
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import CallerLimits, Repeat
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.relay import GatewayRelay, RelayParts
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.statements import ReplicaStatements
from carawayhub.gateway.tally import Tally
from carawayhub.gateway.view import FleetView
from carawayhub.http import HttpServer, bind
from carawayhub.limits.poison import PoisonRecords
from carawayhub.platform.headers import PlatformWire
from tests.gateway_world import KEY, endpoint, rates, route, table
from tests.scripted_endpoint import (
    ScriptedEndpoint,
    refused,
    whole,
)

HOST = b"caraway.example"


class CallerReply:
    """The bytes that a caller received."""

    def __init__(self, data: bytes, seconds: float) -> None:
        self.head, _, self.body = data.partition(b"\r\n\r\n")
        self.status = int(self.head.split()[1]) if self.head else 0
        self.seconds = seconds

    @property
    def whole(self) -> bool:
        """Whether a stream is complete."""
        return self.body.endswith(b"0\r\n\r\n")


class EntryHarness:
    """One entry with scripted endpoints.

    Args:
        scripts: A script for each endpoint.
        options: Options of the route of ``/songs/``.
    """

    def __init__(self, scripts, **options) -> None:
        self.endpoints = [ScriptedEndpoint(script) for script in scripts]
        self.options = options
        self.clock = SystemClock()
        self.view = FleetView(self.clock, 1.2)

    def run(self, scenario) -> None:
        async def main() -> None:
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as tasks:
                    for each in self.endpoints:
                        await tasks.start(each.serve)
                    await self._entry(tasks)
                    await scenario(self)
                    tasks.cancel_scope.cancel()

        try:
            anyio.run(main)
        finally:
            self.sock.close()

    def publish(self, version: int, born: int = 0) -> None:
        """Publish a configuration and all endpoints, in the lifetime that began at ``born``."""
        options = {"repeat": Repeat.STREAM} | self.options
        service = "llm" if options["repeat"] is Repeat.STREAM else "plain"
        config = table(version, route(service=service, **options))
        published = [
            EndpointPublished(endpoint(f"i-{at}", service, address=each.address, born=born))
            for at, each in enumerate(self.endpoints)
        ]
        self.view.replace(
            Published(revision=Revision(0, version), changes=(TablePublished(config), *published))
        )

    async def _entry(self, tasks: anyio.abc.TaskGroup) -> None:
        options = {"repeat": Repeat.STREAM} | self.options
        service = "llm" if options["repeat"] is Repeat.STREAM else "plain"
        self.publish(version=1)
        self.view.confirm(self.clock.monotonic() + 60.0)
        rng = random.Random(4)
        loads, health = Loads(), Health(self.clock)
        self.loads, self.health = loads, health
        self.pool = pool = ServicePool(
            service,
            self.view,
            loads,
            health,
            self.clock,
            rng,
            RetryShare(self.clock, 0.2, 88.0, 10.0),
        )
        self.tally = Tally()
        upstream = Upstream()
        self.records = PoisonRecords(self.clock)
        parts = RelayParts(
            clock=self.clock,
            view=self.view,
            health=health,
            upstream=upstream,
            wire=PlatformWire(),
            pool=lambda name: pool,
            entries=lambda: 1,
            load=loads.total,
            endings=Endings(upstream, self.records, self.clock, self.tally.endpoint_ended),
            statements=ReplicaStatements(rates(self.clock), self.view),
            answer_cut=self.tally.answer_cut,
        )
        desk = AdmissionControl(self.view, self.clock, rng, 5.0)
        self.relay = GatewayRelay(parts)
        app = GatewayApp(self.clock, PlatformWire(), desk, self.relay, CallerLimits, self.tally)
        self.sock = bind(Address("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        tasks.start_soon(HttpServer(app, self.sock).run)

    def request(self, method: bytes = b"POST", path: bytes = b"/songs/1", extra: bytes = b""):
        body = b"tempo" if method == b"POST" else b""
        return (
            method
            + b" "
            + path
            + b" HTTP/1.1\r\nHost: "
            + HOST
            + b"\r\nCarawayhub-Request-Id: q1\r\nCarawayhub-Request-Deadline: 3000\r\n"
            + b"Authorization: Bearer "
            + KEY.encode()
            + b"\r\nConnection: close\r\n"
            + extra
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )

    async def ask(self, data: bytes | None = None) -> CallerReply:
        """Send a request and return everything received until the connection is closed."""
        began = time.monotonic()
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        async with stream:
            await stream.send(data if data is not None else self.request())
            data_received = b""
            try:
                while True:
                    data_received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return CallerReply(data_received, time.monotonic() - began)

    def taken(self) -> list:
        return [taken for each in self.endpoints for taken in each.taken]


async def answers(stream, taken) -> None:
    await stream.send(whole(taken))


async def refuses(stream, taken) -> None:
    await stream.send(refused())
