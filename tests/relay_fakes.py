"""An endpoint and a caller in memory, for tests of the relay; no sockets and no real time."""

import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import httpcore

from carawayhub.clock import ManualClock
from carawayhub.config.model import (
    Configuration,
    Endpoint,
    FleetOptions,
    Limits,
    ModelGroup,
    Organisation,
    Service,
    ServiceRoute,
)
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import PROBE_TIMEOUT, Upstream
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import Call, ModelTarget, ServiceTarget
from carawayhub.entry.ends import EndWatch
from carawayhub.entry.relay import Relay
from carawayhub.errors import RequestError
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.retries import RetryBudget
from carawayhub.output.metrics import Metrics
from carawayhub.peers.messages import EndpointReport, ServingState
from carawayhub.routing.router import Router

REQUEST_ID = "0123456789abcdef0123"
OTHER_ID = "ffffffffffffffffffff"
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
STREAM_STALL = 3.0
NAMES = ("m1", "m2")


class Cut:
    """In a script: the connection breaks here."""


class Silence:
    """In a script: nothing comes any more."""


Step = bytes | Cut | Silence


def event(offset: int, request_id: str = REQUEST_ID) -> bytes:
    """Return the event of one token, numbered as engines do."""
    return (
        b'data: {"id":"%s","offset":%d,"choices":[{"index":0,"finish_reason":null,'
        b'"delta":{"content":"w%d "}}]}\n\n' % (request_id.encode(), offset, offset)
    )


DONE = b"data: [DONE]\n\n"


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class FakeStream(httpcore.AsyncNetworkStream):
    """One connection that plays a script, one step for each read.

    Attributes:
        written: What the relay sent.
        reads: Steps played.
        silences: Silence that each read allowed.
        closed: Set when the relay closed it.
        waiting: Set when the script is at its end and the relay waits for more.
    """

    def __init__(self, script: list[Step]) -> None:
        self._script = deque(script)
        self.written = b""
        self.reads = 0
        self.silences: list[float] = []
        self.closed = anyio.Event()
        self.waiting = anyio.Event()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        await anyio.lowlevel.checkpoint()
        self.silences.append(timeout or 0.0)
        if not self._script:
            self.waiting.set()
            await anyio.sleep_forever()
        self.reads += 1
        match self._script.popleft():
            case Cut():
                raise httpcore.ReadError("connection reset")
            case Silence():
                raise httpcore.ReadTimeout("silent")
            case bytes(data):
                return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.written += buffer

    async def aclose(self) -> None:
        self.closed.set()

    def get_extra_info(self, info: str) -> Any:
        return self.closed.is_set() if info == "is_readable" else None


class FakeNetwork(httpcore.AsyncNetworkBackend):
    """Gives each connect the next script of that endpoint's port, or refuses it for None."""

    def __init__(self, scripts: dict[str, list[list[Step] | None]]) -> None:
        self._scripts = {_port(name): deque(each) for name, each in scripts.items()}
        self.streams: list[FakeStream] = []
        self.connects: list[int] = []
        self.on_connect = lambda: None

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Any = None,
    ) -> FakeStream:
        await anyio.lowlevel.checkpoint()
        if timeout == PROBE_TIMEOUT:
            return self._look(port)
        self.connects.append(port)
        script = self._scripts[port].popleft()
        if script is None:
            raise httpcore.ConnectError("refused") from ConnectionRefusedError()
        self.on_connect()
        stream = FakeStream(script)
        self.streams.append(stream)
        return stream

    def _look(self, port: int) -> FakeStream:
        """Answer a look at whether the endpoint still listens: as the next connect would find."""
        scripts = self._scripts[port]
        if scripts and scripts[0] is None:
            raise httpcore.ConnectError("refused") from ConnectionRefusedError()
        return FakeStream([])

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)


class FakeCaller:
    """Takes what an entry sends to a caller.

    Attributes:
        taking: Replace by an unset event for a caller that takes nothing more.
    """

    def __init__(self) -> None:
        self.status = 0
        self.parts: list[bytes] = []
        self.ended = False
        self.taking = anyio.Event()
        self.taking.set()
        self.asked = anyio.Event()

    @property
    def body(self) -> bytes:
        return b"".join(self.parts)

    async def send(self, message: dict[str, Any]) -> None:
        self.asked.set()
        await self.taking.wait()
        if message["type"] == "http.response.start":
            self.status = message["status"]
            return
        if message["body"]:
            self.parts.append(message["body"])
        self.ended = not message.get("more_body", False)


@dataclass
class Bench:
    """A relay between a fake caller and fake endpoints."""

    scripts: dict[str, list[list[Step] | None]]
    resumes: bool = False
    join: float = 0.0
    clock: ManualClock = field(default_factory=lambda: ManualClock(1000.0))
    caller: FakeCaller = field(default_factory=FakeCaller)

    def __post_init__(self) -> None:
        rng = random.Random(7)
        cfg = _configuration(self.resumes, self.join)
        self.router = Router(self.clock, rng, "brest", "west")
        self.router.configure(cfg)
        for name in NAMES:
            self.report(name)
        retries = RetryBudget(self.clock, rng)
        retries.configure(cfg)
        self.network = FakeNetwork(self.scripts)
        self.metrics = Metrics()
        upstream = Upstream(backend=self.network)
        self.records = PoisonRecords(self.clock)
        endings = Endings(upstream, self.records, self.clock, self.metrics.endpoint_ended)
        self.ends = EndWatch(endings, self.router.is_leaving, self.clock, rng)
        self.relay = Relay(self.clock, rng, self.router, retries, upstream, self.metrics, self.ends)
        self.relay.configure(cfg)

    def report(self, name: str, state: ServingState = ServingState.SERVING) -> None:
        """Let the agent of an endpoint report; the first endpoint is the idle one."""
        report = EndpointReport(
            endpoint=name,
            incarnation=1,
            state=state,
            permit=100.0 if state is ServingState.SERVING else 0.0,
            running=0 if name == NAMES[0] else 60,
            capacity=64,
        )
        self.router.observe(report, self.clock.monotonic())

    def move(self, name: str, address_of: str) -> None:
        """Give an endpoint the address of another by a new configuration."""
        cfg = _configuration(self.resumes, self.join)
        moved = replace(cfg.endpoints[name], url=cfg.endpoints[address_of].url)
        self.relay.configure(replace(cfg, endpoints={**cfg.endpoints, name: moved}))

    async def run(self, call: Call | None = None) -> None:
        """Relay one call."""
        answer = Answer(self.caller.send, "caller-1", self.clock)
        await self.relay.run(call or model_call(self.clock), answer)

    async def failure(self, call: Call | None = None) -> RequestError:
        """Relay one call that must fail, and return how."""
        try:
            await self.run(call)
        except RequestError as exc:
            return exc
        raise AssertionError("the call was answered")


def model_call(clock: ManualClock) -> Call:
    """Return a streamed model call."""
    return _call(clock, ModelTarget("cat", True, 16), "POST", "/v1/chat/completions")


def service_call(clock: ManualClock) -> Call:
    """Return a call of the plain service that may be repeated."""
    route = ServiceRoute(method="GET", path="/slots", repeatable=True)
    service = Service(name="booking", endpoints=NAMES, routes=(route,))
    return _call(clock, ServiceTarget(service, route), "GET", "/slots")


def _call(clock: ManualClock, target: ModelTarget | ServiceTarget, method: str, path: str) -> Call:
    return Call(
        request_id=REQUEST_ID,
        caller_id="caller-1",
        organisation=Organisation(name="bar", key_digests=(), limits=Limits()),
        target=target,
        method=method,
        path=path,
        headers=(),
        body=b'{"model":"cat","stream":true}',
        deadline=clock.monotonic() + 60.0,
        key="",
        ticket="",
    )


def _port(name: str) -> int:
    return 20_000 + NAMES.index(name)


def service_configuration() -> Configuration:
    """Return the configuration of the bench, for an agent of one of its endpoints."""
    return _configuration(False, 0.0)


def _configuration(resumes: bool, join: float) -> Configuration:
    route = ServiceRoute(method="GET", path="/slots", repeatable=True)
    return Configuration(
        version=1,
        digest="",
        fleet=FleetOptions(stream_stall=STREAM_STALL, join_window=join),
        entries={},
        endpoints={
            name: Endpoint(
                name=name,
                vm=f"vm-{name}",
                url=f"http://127.0.0.1:{_port(name)}",
                agent="",
                failure_domain="brest",
                region="west",
                provider="own",
                resumes=resumes,
            )
            for name in NAMES
        },
        organisations={
            "bar": Organisation(name="bar", key_digests=(), limits=Limits(retry_share=1.0))
        },
        groups={name: ModelGroup(name=name, model="cat", endpoints=(name,)) for name in NAMES},
        services={"booking": Service(name="booking", endpoints=NAMES, routes=(route,))},
        shares={},
    )
