"""What the proofs of the promises share: one fleet of processes for the tests of a class."""

import unittest
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any, ClassVar

import anyio
import httpcore
import msgspec
from anyio.from_thread import BlockingPortal, start_blocking_portal

from carawayhub.standins.callers import Caller, CallerOptions
from carawayhub.standins.checker import EndpointJournal, Evidence, Leaving, check
from carawayhub.standins.faults import EngineFault, PlatformFault, ServiceFault
from carawayhub.standins.fleetshape import EndpointKind, FleetShape, OrganisationPlan
from carawayhub.standins.journal import RunRecord
from carawayhub.standins.records import CallRecord, Result
from tests.processes import ProcessFleet, process_fleet

SEED = 4
STORY_S = 30.0
WAIT_S = 15.0
POLL_S = 0.02
USABLE = frozenset({"serving", "ramping"})
CAFES = OrganisationPlan("cafes", priority=1)

Condition = Callable[[], bool] | Callable[[], Awaitable[bool]]


@dataclass(slots=True, frozen=True)
class RawAnswer:
    """An HTTP answer as it came.

    Attributes:
        status: HTTP status.
        headers: Headers by lower-case name.
        body: The whole body.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def error(self) -> dict[str, Any]:
        """What the system says of a request without an answer.

        Raises:
            AssertionError: The request was answered.
        """
        fields: dict[str, Any] = msgspec.json.decode(self.body)
        if "error" not in fields:
            raise AssertionError(f"answered with status {self.status}: {self.body!r}")
        error: dict[str, Any] = fields["error"]
        return error


class FaithfulCaller(Caller):
    """A caller that keeps to the entries it knows, so that a test can say which one it uses."""

    __slots__ = ()

    async def entries(self) -> list[str]:
        """Return the entries it knows."""
        return list(self._options.seeds)


class FleetTestCase(unittest.TestCase):
    """Tests that are coroutines and share one fleet, which is made whole after each of them.

    Attributes:
        shape: What the fleet is made of.
        mended: Whether the fleet is made whole after each test; not where it has one test only.
        fleet: The fleet.
    """

    shape: ClassVar[FleetShape] = FleetShape()
    mended: ClassVar[bool] = True
    fleet: ClassVar[ProcessFleet]
    _portal: ClassVar[BlockingPortal]

    @classmethod
    def setUpClass(cls) -> None:
        """Start the fleet."""
        cls._portal = cls.enterClassContext(start_blocking_portal())
        opened = cls._portal.wrap_async_context_manager(process_fleet(cls.shape, SEED))
        cls.fleet = cls.enterClassContext(opened)
        cls._portal.call(_settled, cls.fleet)

    def _callTestMethod(self, method: Callable[[], Awaitable[None]]) -> None:  # noqa: N802
        self._portal.call(self._tell, method)

    async def _tell(self, method: Callable[[], Awaitable[None]]) -> None:
        try:
            with anyio.fail_after(STORY_S):
                await method()
        finally:
            if self.mended:
                await _mend(self.fleet)

    @property
    def engines(self) -> list[str]:
        """Names of the engines."""
        return [each.name for each in self.fleet.plan.endpoints_of(EndpointKind.ENGINE)]

    @property
    def desks(self) -> list[str]:
        """Names of the plain services' endpoints."""
        return [each.name for each in self.fleet.plan.endpoints_of(EndpointKind.SERVICE)]

    @property
    def entries(self) -> list[str]:
        """Names of the entries."""
        return [node.name for node in self.fleet.plan.entries]

    def address(self, entry: str) -> str:
        """Return where callers reach an entry."""
        return f"{self.fleet.plan.node(entry).outer}:8080"

    def caller(self, name: str, entries: Iterable[str] = (), **options: Any) -> Caller:
        """Return a caller that asks which entries to use, or keeps to those named."""
        named = tuple(self.address(entry) for entry in entries)
        defaults: dict[str, Any] = {"deadline_s": 10.0, "attempts": 1, "api_key": CAFES.key}
        seeds = named or self.fleet.plan.seeds
        kind = FaithfulCaller if named else Caller
        return kind(CallerOptions(name=name, seeds=seeds, **(defaults | options)))

    def runs(self, content: str = "", endpoint: str = "") -> list[RunRecord]:
        """Return what was run, of one content and at one endpoint where they are named."""
        return [
            run
            for journal in self.fleet.journals()
            for run in journal.runs
            if content in ("", run.content) and endpoint in ("", journal.endpoint)
        ]

    def assert_whole(
        self, records: list[CallRecord], leaving: Iterable[Leaving] = (), completed: bool = True
    ) -> None:
        """Fail unless an outside observer finds no promise broken, and each call was answered."""
        report = check(Evidence(records, self.fleet.journals(), leaving=[*leaving]))
        self.assertEqual([str(each) for each in report.findings], [])
        if completed:
            failed = [each.attempts for each in records if each.result is not Result.COMPLETED]
            self.assertEqual(failed, [])


async def until(condition: Condition, what: str, seconds: float = WAIT_S) -> None:
    """Wait until a condition holds.

    Raises:
        AssertionError: It did not in time; the text says what was waited for.
    """
    with anyio.move_on_after(seconds):
        while not await _holds(condition):
            await anyio.sleep(POLL_S)
        return
    raise AssertionError(f"waited {seconds:g} s in vain: {what}")


async def request(
    address: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    key: str = CAFES.key,
    timeout: float = 15.0,
) -> RawAnswer:
    """Send one request, POST where it has a body, and return the answer whatever it is."""
    fields = {"host": address, "content-type": "application/json"} | (headers or {})
    if key:
        fields["authorization"] = f"Bearer {key}"
    method = "POST" if body else "GET"
    with anyio.fail_after(timeout):
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method, f"http://{address}{path}", headers=list(fields.items()), content=body
            )
    names = {name.decode().lower(): value.decode() for name, value in response.headers}
    return RawAnswer(response.status, names, response.content)


async def condition_at(fleet: ProcessFleet, entry: str, endpoint: str) -> str:
    """Return what an entry thinks of an endpoint."""
    rows = (await fleet.status(entry))["endpoints"]
    return str(next(row["condition"] for row in rows if row["name"] == endpoint))


def journal_of(fleet: ProcessFleet, endpoint: str) -> EndpointJournal:
    """Return what one endpoint ran."""
    return next(each for each in fleet.journals() if each.endpoint == endpoint)


async def publish_everywhere(
    fleet: ProcessFleet, name: str, content: bytes, nodes: Iterable[str] = ()
) -> int:
    """Publish one file and wait until the nodes named, or all, have the version in force."""
    version = fleet.publish(name, content)
    for node in nodes or fleet.daemons:
        await fleet.wait_for_version(node, version)
    return version


async def _holds(condition: Condition) -> bool:
    found = condition()
    return found if isinstance(found, bool) else await found


async def _mend(fleet: ProcessFleet) -> None:
    """Take all faults away, start what has ended and wait until everything serves."""
    fleet.plan.heal(fleet.proxy)
    fleet.platform.set_fault(PlatformFault())
    for handle in (*fleet.endpoints.values(), *fleet.daemons.values()):
        handle.resume()
        if not handle.running:
            handle.start()
    for endpoint in fleet.plan.endpoints:
        fault = EngineFault() if endpoint.kind is EndpointKind.ENGINE else ServiceFault()
        await until(lambda each=endpoint: _answers(each.address), f"{endpoint.name} starts")
        await fleet.control(endpoint.name, "/control/fault", fault)
    fleet.list_vms()
    first = fleet.plan.config_files()
    if fleet.files != first:
        fleet.files = first
        fleet.platform.publish(first)
    await _settled(fleet)


async def _settled(fleet: ProcessFleet) -> None:
    version = fleet.platform.manifest().version
    for node in fleet.daemons:
        await fleet.wait_until_ready(node)
        await fleet.wait_for_version(node, version)
    for entry in fleet.plan.entries:
        await until(lambda name=entry.name: _all_usable(fleet, name), f"{entry.name} sees all")


async def _answers(address: str) -> bool:
    try:
        return (await request(address, "/health", timeout=1.0)).status == 200
    except (httpcore.NetworkError, httpcore.ProtocolError, TimeoutError):
        return False


async def _all_usable(fleet: ProcessFleet, entry: str) -> bool:
    rows = (await fleet.status(entry))["endpoints"]
    return {row["condition"] for row in rows} <= USABLE
