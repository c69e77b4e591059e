"""A whole fleet inside one process, for ``carawayhub demo`` and ``carawayhub replay``.

Platform and endpoints are the stand-ins; entries and agents are the product's own, each on a thread
with an event loop of its own. The fault proxy lies between all of them.
"""

import contextlib
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.to_thread
import httpcore
import msgspec

from carawayhub.agent.process import run_agent
from carawayhub.clock import SystemClock
from carawayhub.codes import Code
from carawayhub.entry.process import run_entry
from carawayhub.errors import CommandError
from carawayhub.local.threads import End, LocalProcess
from carawayhub.process.status import ProcessStatus
from carawayhub.settings import AgentSettings, EntrySettings
from carawayhub.standins.checker import (
    EndpointJournal,
    Evidence,
    Leaving,
    StepSample,
    VersionSample,
)
from carawayhub.standins.engine import Engine
from carawayhub.standins.fleet import FleetPlan
from carawayhub.standins.fleetshape import EndpointKind, EndpointPlan, FleetShape, SubnetLease
from carawayhub.standins.options import ServiceOptions
from carawayhub.standins.platform import Platform, Vm, VmState
from carawayhub.standins.proxy import Proxy
from carawayhub.standins.rankgroup import RankGroup
from carawayhub.standins.service import Service

READY_TIMEOUT = 40.0
POLL = 0.1
SAMPLE_INTERVAL = 0.25
STATUS_TIMEOUT = 1.0


@dataclass(slots=True)
class LocalEndpoint:
    """A stand-in endpoint that runs; ``scope`` ends it as the death of its VM would."""

    plan: EndpointPlan
    server: Engine | Service
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class LocalFleet:
    """A fleet of a shape; ``running`` starts and ends it.

    Attributes:
        plan: Names and addresses.
        platform: The platform's stand-in.
        proxy: The fault proxy.
        endpoints: Endpoints by name.
        processes: Entries and agents by name.
        evidence: What an observer outside noted so far.
        ranks: The ranks of the lock-step group, None without one.
    """

    def __init__(self, shape: FleetShape) -> None:
        self._lease = SubnetLease()
        self.plan = FleetPlan(shape, self._lease.number)
        self.platform = Platform()
        self.proxy = Proxy()
        self.endpoints: dict[str, LocalEndpoint] = {}
        self.processes: dict[str, LocalProcess] = {}
        self.evidence = Evidence()
        lock_step = shape.lock_step
        self.ranks = None if lock_step is None else RankGroup(lock_step.options(shape.step_ms))
        self.files = self.plan.config_files()
        self._clock = SystemClock()
        self._tasks: anyio.abc.TaskGroup | None = None

    @asynccontextmanager
    async def running(self) -> AsyncIterator["LocalFleet"]:
        """Run the fleet while the ``with`` runs; it is ready when the ``with`` begins.

        Raises:
            CommandError: An entry or agent could not start.
        """
        self.plan.add_links(self.proxy)
        self._list_vms()
        self.platform.publish(self.files)
        async with anyio.create_task_group() as tasks, contextlib.AsyncExitStack() as stack:
            self._tasks = tasks
            await stack.enter_async_context(self.platform.serving(self.plan.platform))
            await stack.enter_async_context(self.proxy.running())
            if self.ranks is not None:
                await stack.enter_async_context(self.ranks.serving(self.plan.ranks))
            for endpoint in self.plan.endpoints:
                await self._start_endpoint(endpoint)
            try:
                await self._start_processes()
                await self.until_ready(self.processes)
                tasks.start_soon(self._sample)
                yield self
            finally:
                with anyio.CancelScope(shield=True):
                    await self._end_processes()
                self._lease.release()
            # Only after an end in good order: a scope that is cancelled here while the interrupt of
            # a person passes through would take that for its own cancellation and swallow it.
            tasks.cancel_scope.cancel()

    def publish(self, step: str, content: bytes) -> int:
        """Drop one more file into the configuration folder and return the new version."""
        self.files = {**self.files, step: content}
        return self.platform.publish(self.files)

    def note_leaving(self, endpoint: str) -> None:
        """Note for the observer that an endpoint is said to be leaving from now on."""
        self.evidence.leaving.append(Leaving(endpoint, self._clock.monotonic()))

    def kill_vm(self, endpoint: str) -> None:
        """End an endpoint and its agent at once, as the death of their VM would."""
        self.endpoints[endpoint].scope.cancel()
        self.processes[endpoint].kill()

    async def stop(self, name: str) -> End:
        """Stop an entry or agent as planned; return how it ended."""
        process = self.processes[name]
        process.stop()
        return await anyio.to_thread.run_sync(process.join)

    async def restart(self, name: str) -> None:
        """Start an entry or agent anew, as on a replaced VM, and wait until it is ready."""
        old = self.processes[name]
        process = LocalProcess(run_entry if _is_entry(old) else run_agent, old.settings)
        self.processes[name] = process
        await self._start_process(process)
        await self.until_ready([name])

    async def until_ready(self, names: "list[str] | dict[str, LocalProcess]") -> None:
        """Wait until entries and agents may serve.

        Raises:
            CommandError: One has failed, or did not become ready in time.
        """
        with anyio.move_on_after(READY_TIMEOUT):
            for name in names:
                while not await self._is_ready(name):
                    await anyio.sleep(POLL)
            return
        raise CommandError(Code.TARGET_UNREACHABLE, "the local fleet did not become ready")

    async def status(self, name: str) -> ProcessStatus | None:
        """Return the status page of an entry or agent, None where it does not answer."""
        url = f"http://{self.plan.node(name).operators}/status"
        try:
            with anyio.fail_after(STATUS_TIMEOUT):
                async with httpcore.AsyncConnectionPool() as pool:
                    response = await pool.request("GET", url)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError):
            return None
        return msgspec.json.decode(response.content, type=ProcessStatus)

    def journals(self) -> list[EndpointJournal]:
        """Return what ran at each endpoint, also at those that ended."""
        return [
            EndpointJournal(name, endpoint.server.journal.runs)
            for name, endpoint in self.endpoints.items()
        ]

    def steps(self) -> list[StepSample]:
        """Return every step that every rank of the lock-step group made."""
        lock_step = self.plan.shape.lock_step
        if self.ranks is None or lock_step is None:
            return []
        return self.ranks.samples(lock_step.name)

    def _list_vms(self) -> None:
        vms = [Vm(node.name, VmState.LIVE, node.failure_domain) for node in self.plan.nodes]
        self.platform.set_vms(vms)

    async def _start_endpoint(self, plan: EndpointPlan) -> None:
        assert self._tasks is not None
        endpoint = LocalEndpoint(plan, self._server(plan))
        self.endpoints[plan.name] = endpoint
        await self._tasks.start(self._serve_endpoint, endpoint)

    def _server(self, plan: EndpointPlan) -> Engine | Service:
        if plan.kind is EndpointKind.SERVICE:
            return Service(ServiceOptions())
        return Engine(self.plan.engine_options(plan))

    async def _serve_endpoint(
        self, endpoint: LocalEndpoint, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        with endpoint.scope:
            async with endpoint.server.serving(endpoint.plan.address):
                task_status.started()
                await anyio.sleep_forever()

    async def _start_processes(self) -> None:
        for node in self.plan.entries:
            settings = msgspec.convert(self.plan.entry_settings(node), EntrySettings)
            self.processes[node.name] = LocalProcess(run_entry, settings)
        for endpoint in self.plan.endpoints:
            agent = msgspec.convert(self.plan.agent_settings(endpoint), AgentSettings)
            self.processes[endpoint.name] = LocalProcess(run_agent, agent)
        for process in self.processes.values():
            await self._start_process(process)

    async def _start_process(self, process: LocalProcess) -> None:
        await anyio.to_thread.run_sync(process.start)
        if process.end is End.FAILED:
            detail = f"{process.settings.name}: {process.failure}"
            raise CommandError(Code.TARGET_UNREACHABLE, detail)

    async def _end_processes(self) -> None:
        """End all at once: in a fleet that ends as a whole nobody is left to hand over to."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            await anyio.to_thread.run_sync(process.join)

    async def _is_ready(self, name: str) -> bool:
        process = self.processes[name]
        if process.end is End.FAILED:
            detail = f"{name}: {process.failure}"
            raise CommandError(Code.TARGET_UNREACHABLE, detail)
        status = await self.status(name)
        return status is not None and status.ready

    async def _sample(self) -> None:
        """Note which version is in force where, for the observer."""
        while True:
            for name in list(self.processes):
                status = await self.status(name)
                if status is not None and status.ready and status.version:
                    at = self._clock.monotonic()
                    sample = VersionSample(f"{status.role}:{name}", at, status.version)
                    self.evidence.versions.append(sample)
            await anyio.sleep(SAMPLE_INTERVAL)


def _is_entry(process: LocalProcess) -> bool:
    return isinstance(process.settings, EntrySettings)
