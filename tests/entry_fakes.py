"""An entry's application between a caller in memory and scripted endpoints; no sockets."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

import anyio
import msgspec

from carawayhub.addresses import Address
from carawayhub.agent.tickets import TicketCodec
from carawayhub.clock import ManualClock
from carawayhub.config.check import load
from carawayhub.config.files import ConfigFile
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Listening
from carawayhub.entry.answer import Answer
from carawayhub.entry.app import EntryApp, EntryParts
from carawayhub.entry.calls import Call
from carawayhub.entry.ends import EndWatch
from carawayhub.entry.reports import Reports
from carawayhub.entry.runonce import RunOnce
from carawayhub.limits.admission import Admission
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.retries import RetryBudget
from carawayhub.output.metrics import Metrics
from carawayhub.peers.messages import EndpointReport, RunReply, RunRequest, ServingState
from carawayhub.routing.directory import EntryDirectory

KEY = "bar-key"
DIGEST = sha256(KEY.encode()).hexdigest()
CHAT = "/v1/chat/completions"
ASK = b'{"model": "cat"}'

Run = Callable[[Call, Answer], Awaitable[None]]


PLACE = '"failure_domain": "brest", "region": "west"'
FILE = f"""{{
  "entries": {{"e1": {{"address": "10.0.0.1:80", "peer_address": "10.0.0.1:70", {PLACE}}}}},
  "endpoints": {{
    "m1": {{"url": "http://10.0.0.2:80", "agent": "10.0.0.2:70", "provider": "p", {PLACE}}},
    "m2": {{"url": "http://10.0.0.4:80", "agent": "10.0.0.4:70", "provider": "p", {PLACE}}},
    "b1": {{"url": "http://10.0.0.3:80", "agent": "10.0.0.3:70", "provider": "p", {PLACE}}}
  }},
  "organisations": {{
    "bar": {{"keys": ["sha256:{DIGEST}"], "limits": {{"concurrency": 1}}}},
    "other": {{"keys": ["sha256:{'a' * 64}"]}}
  }},
  "groups": {{
    "cat": {{"model": "cat", "endpoints": ["m1"]}},
    "own": {{"model": "hidden", "endpoints": ["m2"], "organisations": ["other"]}}
  }},
  "services": {{
    "booking": {{"endpoints": ["b1"], "routes": [
      {{"method": "POST", "path": "/bookings", "repeatable": false}},
      {{"method": "GET", "path": "/slots*", "repeatable": true}}]}},
    "licence": {{"endpoints": ["b1"], "organisations": ["other"], "routes": [
      {{"method": "POST", "path": "/licences", "repeatable": false}}]}}
  }}
}}"""


class FakeRelay:
    """Answers each call with ``script``.

    Attributes:
        calls: What came.
    """

    def __init__(self) -> None:
        self.calls: list[Call] = []
        self.script: Run = _whole_answer

    async def run(self, call: Call, answer: Answer) -> None:
        self.calls.append(call)
        await self.script(call, answer)


class FakeAgents:
    """Answers what the entry sends to agents; ``code`` is that of the replies."""

    def __init__(self) -> None:
        self.requests: list[RunRequest] = []
        self.code = 0

    async def call(self, address: Any, method: Any, req: RunRequest, timeout: float) -> RunReply:
        self.requests.append(req)
        return RunReply(request_id=req.request_id, code=self.code, status=200, body=b"booked")


@dataclass
class Caller:
    """One request and what its caller gets.

    Attributes:
        body: Parts of the body; None breaks it off.
        left: Set when the caller goes away, and once it has the whole answer, which the HTTP
            server tells in the same way.
    """

    method: str = "POST"
    path: str = CHAT
    body: tuple[bytes | None, ...] = (ASK,)
    headers: tuple[tuple[bytes, bytes], ...] = ()
    key: str = KEY
    version: str = "1.1"
    query: bytes = b""
    raw_path: bytes | None = None
    left: anyio.Event = field(default_factory=anyio.Event)
    status: int = 0
    answer_headers: dict[str, str] = field(default_factory=dict)
    parts: bytes = b""
    ended: bool = False
    _sent: int = 0

    @property
    def scope(self) -> dict[str, Any]:
        key = [(b"authorization", b"Bearer " + self.key.encode("latin-1"))] if self.key else []
        return {
            "type": "http",
            "http_version": self.version,
            "method": self.method,
            "path": self.path,
            "raw_path": self.path.encode() if self.raw_path is None else self.raw_path,
            "query_string": self.query,
            "headers": [*key, *self.headers],
        }

    @property
    def error(self) -> dict[str, Any]:
        return dict(msgspec.json.decode(self.parts)["error"])

    @property
    def code(self) -> int:
        return int(self.answer_headers["x-carawayhub-code"])

    async def receive(self) -> dict[str, Any]:
        if self._sent < len(self.body):
            part = self.body[self._sent]
            self._sent += 1
            if part is None:
                return {"type": "http.disconnect"}
            return {"type": "http.request", "body": part, "more_body": self._sent < len(self.body)}
        await self.left.wait()
        return {"type": "http.disconnect"}

    async def send(self, message: dict[str, Any]) -> None:
        if message["type"] == "http.response.start":
            self.status = message["status"]
            pairs = message["headers"]
            self.answer_headers = {name.decode(): value.decode() for name, value in pairs}
            return
        self.parts += message["body"]
        self.ended = not message.get("more_body", False)
        if self.ended:
            self.left.set()


class FakeUpstream:
    """Says whether endpoints listen; see ``Upstream.look``."""

    def __init__(self) -> None:
        self.listening = Listening.YES

    async def probe(self, address: Address) -> Listening:
        return self.listening


class Desk:
    """An entry's application with its parts."""

    def __init__(self) -> None:
        self.clock = ManualClock(1000.0, wall_offset=1e9)
        self.relay, self.agents, self.metrics = FakeRelay(), FakeAgents(), Metrics()
        self.is_ready, self.is_confirmed, self.has_doubt = True, True, False
        rng = random.Random(5)
        self.reports = Reports()
        ticket_codec = TicketCodec("0123456789abcdef")
        self.records = PoisonRecords(self.clock)
        self.upstream = FakeUpstream()
        endings = Endings(
            self.upstream, self.records, self.clock, self.metrics.endpoint_ended  # type: ignore
        )
        ends = EndWatch(endings, lambda endpoint: False, self.clock, rng)
        run_once = RunOnce(self.clock, rng, self.reports, ticket_codec, self.agents, ends)  # type: ignore
        self.admission = Admission(self.clock, rng, "e1")
        self.parts = EntryParts(
            self.clock,
            self.admission,
            RetryBudget(self.clock, rng),
            self.relay,  # type: ignore
            run_once,
            EntryDirectory(self.clock, rng),
            self.metrics,
            lambda: self.is_ready,
            lambda: self.has_doubt,
            self._confirmed,
        )
        self.app = EntryApp(self.parts)
        self.cfg = load((ConfigFile("base.json", FILE.encode()),), 1)
        for part in (self.admission, self.parts.retries, self.parts.directory, run_once, self.app):
            part.configure(self.cfg)  # type: ignore
        self.admission.tick()
        self.clock.advance(5.0)
        report = EndpointReport(
            endpoint="b1", incarnation=1, state=ServingState.SERVING, permit=1e9, ticket_epoch=1
        )
        self.reports.observe(report, self.clock.monotonic(), self.clock.monotonic())

    async def ask(self, caller: Caller) -> Caller:
        """Let the application serve a request."""
        await self.app(caller.scope, caller.receive, caller.send)
        return caller

    def counted(self) -> dict[int, int]:
        """Return how many requests ended with each code."""
        counts: dict[int, int] = {}
        for row in self.metrics.page().requests:
            counts[row.code] = counts.get(row.code, 0) + row.count
        return counts

    async def _confirmed(self, timeout: float) -> bool:
        return self.is_confirmed


async def _whole_answer(call: Call, answer: Answer) -> None:
    answer.dispatched()
    await answer.complete(200, [(b"content-type", b"text/plain")], b"la la", 0)  # type: ignore
