"""The agent process: its parts joined, from start to planned stop."""

from collections.abc import Sequence

import anyio
import msgspec
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.agent.follower import GroupFollower
from carawayhub.agent.gate import Gate
from carawayhub.agent.grouptask import GroupTask, Seat
from carawayhub.agent.homes import Homes
from carawayhub.agent.keys import KeyKeeper
from carawayhub.agent.leasekeeper import LeaseKeeper
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import Member as Slot
from carawayhub.agent.reporter import Reporter, is_engine
from carawayhub.agent.tickets import Epochs, TicketOffice
from carawayhub.config.model import Configuration, Endpoint
from carawayhub.endpoints.upstream import Upstream
from carawayhub.endpoints.watch import EngineWatch, ServiceWatch
from carawayhub.groups.lease import Holder
from carawayhub.http import HttpServer
from carawayhub.limits.poison import EndsRow
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
from carawayhub.process.operators import Operators
from carawayhub.process.role import WantedPeer
from carawayhub.process.runtime import Runtime
from carawayhub.process.status import EndpointStatus, ProcessStatus
from carawayhub.settings import AgentSettings

DRAIN_POLL = 0.05
HANDOVER_BOUND = 10.0


class AgentProcess:
    """One agent; see ``MemberRole`` for the part it plays in the fleet.

    Args:
        runtime: Its surroundings.
        settings: Its settings.
        tasks: Where runs go on after their caller has left.
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
        self._keys = KeyKeeper(homes, self._ledger, member.calls, clock, runtime.rng, runtime.audit)
        self._upstream = Upstream(clock=clock)
        self._gate = Gate(
            clock,
            identity.name,
            self._ledger,
            self._epochs,
            TicketOffice(settings.system_key),
            self._keys,
            self._reporter,
            member.knowledge.pauses,
            self._upstream,
            tasks,
        )
        source = Address.parse(settings.peer_listen).host
        seat = Seat(identity.name, identity.address, source)
        self._follower = GroupFollower(seat, member.calls, self._reporter, tasks)
        holder = Holder(identity.name, identity.address, identity.vm)
        self._lease = LeaseKeeper(holder, member.calls, clock, runtime.rng)
        self._group = GroupTask(
            seat,
            member.knowledge.pauses.check,
            member.knowledge.checked,
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
        """Serve until a planned stop has come to its end."""
        operators = HttpServer(self._operators(), self.runtime.operator_socket)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.runtime.host.watch_stop, self.runtime.stop)
            tasks.start_soon(self._run_member)
            tasks.start_soon(self._keys.run)
            tasks.start_soon(self._lease.run)
            tasks.start_soon(operators.run)
            await self._stop_in_order()
            tasks.cancel_scope.cancel()
        await self._upstream.close()

    async def _run_member(self) -> None:
        standing = UnaryCall(STANDING, self._group.standing)
        calls = (UnaryCall(RUN, self._run_once), standing, *self._keys.calls())
        await self.runtime.member.run(self, self.runtime.peer_socket, calls)

    async def _run_once(self, sender: str, req: RunRequest) -> RunReply:
        return await self._gate.run(sender, req)

    async def _stop_in_order(self) -> None:
        """End the process so that no request is cut and no key forgotten.

        New work stops at once, also from entries that have not heard: their permits run out. What
        runs at the endpoint ends first, then the ledger goes to the other agents. The listening
        socket closes last, so that no other incarnation can start at this address before.
        """
        runtime = self.runtime
        await runtime.stop.wait()
        self._reporter.stopping()
        self._keys.close()
        runtime.member.leave()
        permit = runtime.member.knowledge.fleet.permit_ttl
        await anyio.sleep(permit + runtime.member.heartbeat_interval())
        while self._busy():
            await anyio.sleep(DRAIN_POLL)
        whole = await self._keys.hand_over(runtime.clock.monotonic() + HANDOVER_BOUND)
        reason = "all work has ended" if whole else "handover not taken by all; keys stay unknown"
        runtime.audit.record(Subject.PROCESS, runtime.identity.key, "leaving", "stopped", reason)

    def _busy(self) -> bool:
        load = self._reporter.load
        return self._ledger.running() > 0 or load.running > 0 or load.queued > 0

    def _follow(self, cfg: Configuration, endpoint: Endpoint) -> None:
        """Watch the endpoint at the address that the configuration gives."""
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

    # The agent as a member of the fleet.

    def configured(self, cfg: Configuration) -> None:
        """Take a version that came into force."""
        self._reporter.configured(cfg)
        self._gate.configured(cfg)
        self._keys.configured(cfg)
        self._group.configured(cfg)
        self._follower.configured(cfg)
        endpoint = cfg.endpoints.get(self.runtime.identity.name)
        if endpoint is not None:
            self._follow(cfg, endpoint)

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return no peers: entries open the links."""
        return ()

    def listed(self, vms: VmList) -> None:
        """Take a VM list."""
        self._reporter.listed(vms)
        self._keys.listed(vms)

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take nothing: an agent opens no links."""

    def lost(self, peer: Peer) -> None:
        """Take nothing: an agent opens no links."""

    def members_changed(self) -> None:
        """Take nothing: an agent opens no links."""

    def heard(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Take nothing: what counts of an entry's heartbeat is its version."""

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return the report on the endpoint."""
        return self._reporter.report(peer, self._epochs.current)

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return nothing: an agent has no callers."""
        return ()

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return nothing: entries see what their requests end under."""
        return ()

    # What operators see.

    def _operators(self) -> Operators:
        return Operators(
            self.runtime.audit, self.runtime.metrics, self.runtime.health, self._status
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
    """Run an agent until it was asked to stop and its work is done.

    Args:
        settings: Its settings.
        host: What it runs in; the process itself if None.

    Raises:
        CommandError: PORT_IN_USE.
    """
    runtime = Runtime.start(settings, ProcessRole.AGENT, host)
    async with anyio.create_task_group() as tasks:
        await AgentProcess(runtime, settings, tasks).run()
        tasks.cancel_scope.cancel()
    logger.info("stopped")
