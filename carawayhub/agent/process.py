"""The agent process: its components, startup and planned stop."""

from collections.abc import Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.agent.follower import GroupFollower
from carawayhub.agent.gate import Gate
from carawayhub.agent.grouptask import GroupTask, LocalAgent
from carawayhub.agent.homes import Homes
from carawayhub.agent.keys import KeyCoordinator
from carawayhub.agent.leasekeeper import LeaseKeeper
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import Member as Slot
from carawayhub.agent.reporter import Reporter, is_engine
from carawayhub.agent.tickets import Epochs, TicketCodec
from carawayhub.config.model import Configuration, Endpoint
from carawayhub.endpoints.upstream import Upstream
from carawayhub.endpoints.watch import EngineWatch, ServiceWatch
from carawayhub.groups.lease import Holder
from carawayhub.http import HttpServer
from carawayhub.limits.evidence import EndsRow
from carawayhub.output.audit import Subject
from carawayhub.peers.links import Peer
from carawayhub.peers.messages import (
    EndpointReport,
    Heartbeat,
    HeartbeatReply,
    Hello,
    OrganisationDemand,
    ProcessRole,
    RunReply,
    RunRequest,
)
from carawayhub.peers.methods import RUN, STANDING
from carawayhub.peers.server import UnaryCall
from carawayhub.platform.ports import VmList
from carawayhub.process.host import Host
from carawayhub.process.operators import OperatorApp
from carawayhub.process.role import WantedPeer
from carawayhub.process.runtime import Runtime
from carawayhub.process.status import EndpointStatus, ProcessStatus
from carawayhub.settings import AgentSettings

DRAIN_POLL_SECONDS = 0.05
HANDOVER_TIMEOUT_SECONDS = 10.0


class AgentProcess:
    """One agent; see ``MemberRole`` for its role in the fleet.

    Args:
        runtime: Runtime environment of the process.
        settings: Settings of the agent.
        tasks: Task group in which runs continue after their caller has disconnected.
    """

    def __init__(self, runtime: Runtime, settings: AgentSettings, tasks: TaskGroup) -> None:
        clock, identity, member = runtime.clock, runtime.identity, runtime.member
        self.runtime = runtime
        self._tasks = tasks
        slot = Slot(identity.name, identity.address, identity.vm)
        self._ledger = Ledger(clock, slot, identity.incarnation)
        self._epochs = Epochs(clock, identity.name, identity.incarnation)
        self._reporter = Reporter(
            identity.name, identity.vm, identity.incarnation, clock, runtime.audit, member.announce
        )
        homes = Homes(clock, slot, identity.incarnation)
        self._keys = KeyCoordinator(
            homes, self._ledger, member.calls, clock, runtime.rng, runtime.audit
        )
        self._upstream = Upstream(clock=clock)
        self._gate = Gate(
            clock,
            identity.name,
            self._ledger,
            self._epochs,
            TicketCodec(settings.system_key),
            self._keys,
            self._reporter,
            member.knowledge.pauses,
            self._upstream,
            tasks,
        )
        source = Address.parse(settings.peer_listen).host
        local_agent = LocalAgent(identity.name, identity.address, source)
        self._follower = GroupFollower(local_agent, member.calls, self._reporter, tasks)
        holder = Holder(identity.name, identity.address, identity.vm)
        self._lease = LeaseKeeper(holder, member.calls, clock, runtime.rng)
        self._group = GroupTask(
            local_agent,
            member.knowledge.pauses.check,
            member.knowledge.wait_until_verified,
            self._lease,
            self._reporter,
            clock,
            runtime.rng,
            runtime.audit,
            tasks,
        )
        self._watch_scope: anyio.CancelScope | None = None
        self._watched: tuple[str, bool] | None = None

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        operators = HttpServer(
            self._operators(),
            self.runtime.operator_socket,
            port="operators",
            inbound=self.runtime.inbound,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.runtime.host.watch_stop, self.runtime.stop)
            tasks.start_soon(self._run_member)
            tasks.start_soon(self._keys.run)
            tasks.start_soon(self._lease.run)
            tasks.start_soon(operators.run)
            await self._drain_and_stop()
            tasks.cancel_scope.cancel()
        await self._upstream.close()

    async def _run_member(self) -> None:
        standing = UnaryCall(STANDING, self._group.standing)
        calls = (UnaryCall(RUN, self._run_once), standing, *self._keys.calls())
        await self.runtime.member.run(self, self.runtime.peer_socket, calls)

    async def _run_once(self, sender: str, req: RunRequest) -> RunReply:
        return await self._gate.run(sender, req)

    async def _drain_and_stop(self) -> None:
        """Stop the process without aborting a request or losing the record of a key.

        New work is refused at once, and the permits of entries that were not notified expire.
        Requests at the endpoint finish first, then the ledger is handed over to the other agents.
        The listening socket closes last, so that no other incarnation can start at this address
        before.
        """
        runtime = self.runtime
        await runtime.stop.wait()
        self._reporter.stopping()
        self._keys.close()
        runtime.member.leave()
        permit = runtime.member.knowledge.fleet.permit_ttl
        await anyio.sleep(permit + runtime.member.heartbeat_interval())
        while self._busy():
            await anyio.sleep(DRAIN_POLL_SECONDS)
        whole = await self._keys.hand_over(runtime.clock.monotonic() + HANDOVER_TIMEOUT_SECONDS)
        reason = (
            "all work has ended"
            if whole
            else "handover not accepted by all peers; the state of some keys stays unknown"
        )
        runtime.audit.record(Subject.PROCESS, runtime.identity.key, "leaving", "stopped", reason)

    def _busy(self) -> bool:
        load = self._reporter.load
        return self._ledger.running() > 0 or load.running > 0 or load.queued > 0

    def _watch_endpoint(self, cfg: Configuration, endpoint: Endpoint) -> None:
        """Poll the endpoint at its configured address."""
        wanted = (endpoint.url, is_engine(cfg, endpoint))
        if wanted == self._watched:
            return
        self._watched = wanted
        if self._watch_scope is not None:
            self._watch_scope.cancel()
        self._watch_scope = anyio.CancelScope()
        self._tasks.start_soon(self._poll, endpoint, wanted[1], self._watch_scope)

    async def _poll(self, endpoint: Endpoint, engine: bool, scope: anyio.CancelScope) -> None:
        watch: EngineWatch | ServiceWatch
        if engine:
            watch = EngineWatch(endpoint.url)
        else:
            watch = ServiceWatch(endpoint.url, endpoint.capacity)
        with scope:
            try:
                await self._reporter.poll(watch)
            finally:
                with anyio.CancelScope(shield=True):
                    await watch.close()

    # Callbacks of the fleet member.

    def configured(self, cfg: Configuration) -> None:
        """Apply a configuration version."""
        self._reporter.configured(cfg)
        self._gate.configured(cfg)
        self._keys.configured(cfg)
        self._group.configured(cfg)
        self._follower.configured(cfg)
        endpoint = cfg.endpoints.get(self.runtime.identity.name)
        if endpoint is not None:
            self._watch_endpoint(cfg, endpoint)

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return no peers: entries open the links."""
        return ()

    def vm_list_received(self, vms: VmList) -> None:
        """Apply a VM list."""
        self._reporter.listed(vms)
        self._keys.listed(vms)

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Do nothing: an agent opens no links."""

    def peer_lost(self, peer: Peer) -> None:
        """Do nothing: an agent opens no links."""

    def members_changed(self) -> None:
        """Do nothing: an agent opens no links."""

    def heartbeat_received(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Do nothing: only the version of an entry's heartbeat matters."""

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return the report on the endpoint."""
        return self._reporter.report(peer, self._epochs.current)

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return nothing: an agent has no callers."""
        return ()

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return nothing: entries observe how their requests end."""
        return ()

    # Interface for operators.

    def _operators(self) -> OperatorApp:
        return OperatorApp(
            self.runtime.audit,
            self.runtime.metrics,
            self.runtime.health,
            self._status,
            self.runtime.inbound,
        )

    def _status(self) -> ProcessStatus:
        reporter, identity = self._reporter, self.runtime.identity
        row = EndpointStatus(
            name=identity.name,
            provider="",
            failure_domain=identity.failure_domain,
            condition=reporter.state.value,
            reason=reporter.reason,
            load=reporter.load.running + reporter.load.queued,
            capacity=reporter.load.capacity,
            weight=1.0,
        )
        running = self._ledger.running()
        return msgspec.structs.replace(
            self.runtime.status(),
            running=running,
            endpoints=(row,),
            groups=self._group.rows(),
        )


async def run_agent(settings: AgentSettings, host: Host | None = None) -> None:
    """Run an agent until it is asked to stop and its work is complete.

    Args:
        settings: Settings of the agent.
        host: Host that the agent runs in; the process itself if None.

    Raises:
        CommandError: PORT_IN_USE.
    """
    runtime = Runtime.start(settings, ProcessRole.AGENT, host)
    async with anyio.create_task_group() as tasks:
        await AgentProcess(runtime, settings, tasks).run()
        tasks.cancel_scope.cancel()
    logger.info("stopped")
