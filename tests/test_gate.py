"""Run-once requests when the connection to the endpoint fails in unexpected ways."""

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import msgspec

from carawayhub.agent.begin import Refuse
from carawayhub.agent.gate import Gate
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import LookUp, LookUpReply, Member, RunKey
from carawayhub.agent.reporter import Reporter
from carawayhub.agent.tickets import Epochs, TicketCodec
from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.endpoints.ports import CacheChange, Load
from carawayhub.endpoints.upstream import Upstream, UpstreamRequest, UpstreamResponse
from carawayhub.fleet.pauses import PauseDetector
from carawayhub.output.audit import AuditTrail
from carawayhub.output.logs import quiet_logs
from carawayhub.peers.messages import RunRequest
from carawayhub.platform.ports import VmList
from tests.relay_fakes import NAMES, service_configuration

NAME = NAMES[0]


def setUpModule() -> None:
    quiet_logs()


class FaultyUpstream(Upstream):
    """Raises an error that no library documents."""

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[UpstreamResponse]:
        req.still_allowed()
        raise AttributeError("'Connection' object has no attribute '_transport'")
        yield


class OneAnswer:
    """A complete answer with status 200."""

    status = 200
    headers = ()

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def aiter_stream(self) -> AsyncIterator[bytes]:
        yield self._body


class AnsweringUpstream(Upstream):
    """Returns the same answer to each request."""

    def __init__(self, body: bytes) -> None:
        super().__init__()
        self._body = body

    @asynccontextmanager
    async def open(self, req: UpstreamRequest) -> AsyncIterator[OneAnswer]:  # type: ignore
        yield OneAnswer(self._body)


class OpenRules:
    """Allows every key to start here."""

    def admit(self, key: RunKey) -> Refuse | None:
        return None

    def keep_until(self, key: RunKey) -> float:
        return 1e9

    async def ask(self, question: LookUp) -> LookUpReply:
        raise AssertionError("nobody else runs keys here")


class Watch:
    """An endpoint that answers polls."""

    async def load(self) -> Load:
        return Load()

    async def cache_changes(self, after: int) -> tuple[CacheChange, ...]:
        return ()


def run_request(key: str) -> RunRequest:
    return RunRequest(
        request_id="r1",
        organisation="bar",
        target="service/booking",
        key=key,
        ticket="",
        version=1,
        stamp=1,
        method="POST",
        path="/bookings",
        headers=(),
        body=b"{}",
        remaining=5.0,
    )


@asynccontextmanager
async def open_gate(upstream: Upstream) -> AsyncIterator[Gate]:
    """Yield the gate of an agent whose endpoint answers polls."""
    clock = ManualClock(100.0)
    ledger = Ledger(clock, Member(NAME, "127.0.0.1:1"), 7)
    reporter = Reporter(NAME, "vm", 7, clock, AuditTrail("agent", clock), lambda: None)
    async with anyio.create_task_group() as tasks:
        gate = Gate(
            clock,
            NAME,
            ledger,
            Epochs(clock, NAME, 7),
            TicketCodec("a key of the test fleet"),
            OpenRules(),
            reporter,
            PauseDetector(clock),
            upstream,
            tasks,
        )
        cfg = service_configuration()
        gate.configured(cfg)
        reporter.configured(cfg)
        reporter.listed(VmList(number=1, vms=()))
        with anyio.move_on_after(5.0):
            tasks.start_soon(reporter.poll, Watch())
            while reporter.reason:
                await anyio.lowlevel.checkpoint()
        yield gate
        tasks.cancel_scope.cancel()


class GateTest(unittest.IsolatedAsyncioTestCase):
    """The gate of one agent with a faulty connection to its endpoint."""

    async def test_an_unforeseen_fault_leaves_the_agent_and_its_ledger(self) -> None:
        """An unexpected exception in one run must not end the agent.

        An exception inside a library that escapes the task of the run would end the process, and
        the outcome of all other runs would be lost with the in-memory ledger.
        """
        async with open_gate(FaultyUpstream()) as gate:
            first = await gate.run("entry", run_request("k"))
            again = await gate.run("entry", run_request("k"))
        self.assertEqual((first.code, again.code), (Code.ENDPOINT_ERROR, Code.ENDPOINT_ERROR))
        self.assertEqual(gate._ledger.running(), 0)

    async def test_answer_without_the_id_of_its_request_is_refused(self) -> None:
        """An answer to another request must not be returned to the caller.

        If two answers are swapped between agent and engine, a run-once request can receive the
        reply to a load poll, which has status 200 and no header with a request id.
        """
        req = msgspec.structs.replace(run_request("k"), target="model/assistant")
        cases = {
            b'{"running": 1}': Code.ANSWER_MIXED,
            b'{"id": "other"}': Code.ANSWER_MIXED,
            b"no JSON": Code.ENDPOINT_ERROR,
            b'{"id": "cmpl-r1"}': Code.OK,
        }
        for body, code in cases.items():
            with self.subTest(body):
                async with open_gate(AnsweringUpstream(body)) as gate:
                    self.assertEqual((await gate.run("entry", req)).code, code)


if __name__ == "__main__":
    unittest.main()
