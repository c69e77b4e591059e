"""The entry process: assembles the components and runs them until a planned stop."""

from collections.abc import Sequence

import anyio
import anyio.to_thread
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.agent.tickets import TicketCodec
from carawayhub.config.model import Configuration, Endpoint, EndpointState, EntryNode
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Upstream
from carawayhub.entry.app import EntryApp, EntryParts
from carawayhub.entry.ends import EndWatch
from carawayhub.entry.relay import Relay
from carawayhub.entry.reports import Reports
from carawayhub.entry.runonce import RunOnce
from carawayhub.fleet.linkplan import agents_of_entry, plan_key
from carawayhub.fleet.membership import Member, MemberState
from carawayhub.fleet.neighbours import entry_nodes, gossip_neighbours
from carawayhub.http import HttpServer, bind
from carawayhub.inbound.shared import CALLERS
from carawayhub.limits.admission import Admission
from carawayhub.limits.evidence import EndsRow
from carawayhub.limits.poison import PoisonRecords
from carawayhub.limits.poisonnews import PoisonUpdates
from carawayhub.limits.retries import RetryBudget
from carawayhub.output.audit import Subject
from carawayhub.peers.links import Peer, peer_key
from carawayhub.peers.messages import (
    EndpointReport,
    Heartbeat,
    HeartbeatReply,
    Hello,
    OrganisationDemand,
    ProcessRole,
)
from carawayhub.platform.ports import VmList, VmState
from carawayhub.process.host import Host
from carawayhub.process.operators import OperatorApp
from carawayhub.process.role import WantedPeer
from carawayhub.process.runtime import Runtime
from carawayhub.process.status import EndpointStatus, ProcessStatus
from carawayhub.routing.directory import EntryDirectory
from carawayhub.routing.query import EndpointRow
from carawayhub.routing.router import Router
from carawayhub.settings import EntrySettings

DRAIN_POLL_SECONDS = 0.05
AWAY_STATES = frozenset({MemberState.SUSPECT, MemberState.LEAVING, MemberState.GONE})
LARGE_FLEET_ENDPOINTS = 200
MAX_FULL_MESH_ENTRIES = 16
"""Up to this many entries are fully meshed, which benefits limits and the lists of entries."""


class EntryProcess:
    """One entry; see ``MemberRole`` for the callbacks from the fleet membership.

    Args:
        runtime: Services of the process, such as its clock and sockets.
        settings: Settings of the entry.
    """

    def __init__(self, runtime: Runtime, settings: EntrySettings) -> None:
        clock, rng, identity = runtime.clock, runtime.rng, runtime.identity
        self.runtime = runtime
        self._listen = bind(Address.parse(settings.listen))
        self._router = Router(clock, rng, identity.failure_domain, identity.region)
        self._admission = Admission(clock, rng, identity.name, self._router.load_of)
        runtime.pending_reason = self._waits_for
        self._retries = RetryBudget(clock, rng)
        self._directory = EntryDirectory(clock, rng)
        self._reports = Reports()
        self._upstream = Upstream(Address.parse(settings.peer_listen).host, clock=clock)
        metrics = runtime.metrics
        records = PoisonRecords(clock)
        self._poison_updates = PoisonUpdates(records)
        self._runs: dict[str, str] = {}
        endings = Endings(self._upstream, records, clock, metrics.endpoint_ended)
        ends = EndWatch(endings, self._router.is_leaving, clock, rng)
        self._relay = Relay(clock, rng, self._router, self._retries, self._upstream, metrics, ends)
        ticket_codec = TicketCodec(settings.system_key)
        calls = runtime.member.calls
        self._run_once = RunOnce(clock, rng, self._reports, ticket_codec, calls, ends)
        self._app = EntryApp(
            EntryParts(
                clock,
                self._admission,
                self._retries,
                self._relay,
                self._run_once,
                self._directory,
                metrics,
                runtime.ready,
                runtime.member.knowledge.pauses.check,
                runtime.member.knowledge.wait_until_verified,
            )
        )
        self._demand: tuple[OrganisationDemand, ...] = ()
        self._agents: tuple[str, ...] = ()
        self._plan_key = 0
        self._rows: dict[str, str] = {}

    async def run(self) -> None:
        """Serve until a planned stop has completed."""
        callers = HttpServer(self._app, self._listen, port=CALLERS, inbound=self.runtime.inbound)
        operators = HttpServer(
            self._operators(),
            self.runtime.operator_socket,
            port="operators",
            inbound=self.runtime.inbound,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.runtime.host.watch_stop, self.runtime.stop)
            tasks.start_soon(self._run_member)
            tasks.start_soon(self._tick)
            tasks.start_soon(operators.run)
            tasks.start_soon(self._shut_down, callers, operators)
            await callers.run()
            await self._upstream.close()
            tasks.cancel_scope.cancel()

    async def _run_member(self) -> None:
        await self.runtime.member.run(self, self.runtime.peer_socket, ())

    async def _shut_down(self, callers: HttpServer, operators: HttpServer) -> None:
        """Stop the process without failing any request.

        Callers cache the list of entries, so an entry that closed at once would refuse connections
        from callers that still have its address. It is therefore first removed from the lists of
        all entries, serves until the last cached list has expired, and then waits for the requests
        in flight.
        """
        runtime = self.runtime
        await runtime.stop.wait()
        runtime.member.leave()
        self._update_away()
        deadline = self._directory.answers_expire_at(runtime.clock.monotonic())
        runtime.audit.record(
            Subject.PROCESS, runtime.identity.key, "serving", "leaving", runtime.stop.reason
        )
        await anyio.sleep(max(0.0, deadline - runtime.clock.monotonic()))
        self._app.accepting = False
        while self._app.running:
            await anyio.sleep(DRAIN_POLL_SECONDS)
        runtime.audit.record(
            Subject.PROCESS, runtime.identity.key, "leaving", "stopped", "all requests have ended"
        )
        callers.stop()
        operators.stop()

    async def _tick(self) -> None:
        """Adjust the shares of limits and record changes of endpoints in the audit log."""
        while True:
            await anyio.sleep(self.runtime.member.heartbeat_interval())
            self._demand = self._admission.tick()
            self._poison_updates.records.expire()
            self._audit_endpoints()

    def _audit_endpoints(self) -> None:
        for row in self._router.states(reported_only=True):
            before = self._rows.get(row.endpoint)
            condition = row.condition.value
            if before is not None and before != condition:
                self.runtime.audit.record(
                    Subject.ENDPOINT, row.endpoint, before, condition, row.reason or "heard again"
                )
            self._rows[row.endpoint] = condition

    # Callbacks of ``MemberRole``.

    def configured(self, cfg: Configuration) -> None:
        """Apply a new version of the configuration."""
        self._router.configure(cfg)
        self._admission.configure(cfg)
        self._retries.configure(cfg)
        self._directory.configure(cfg)
        self._relay.configure(cfg)
        self._run_once.configure(cfg)
        self._app.configure(cfg)
        self._update_leaving()
        self._update_away()

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return the entries and agents to open links to."""
        name = self.runtime.identity.name
        sharing = self._admission.shares.neighbours() & cfg.entries.keys()
        entries = sorted(_entry_peers(cfg, vms, name) | sharing)
        agents = await self._linked_agents(cfg, vms)
        return [
            *(_wanted_entry(cfg.entries[neighbour]) for neighbour in entries),
            *(_wanted_agent(cfg.endpoints[endpoint]) for endpoint in agents),
        ]

    async def _linked_agents(self, cfg: Configuration, vms: VmList | None) -> tuple[str, ...]:
        """Return the agents to open links to; computed in a thread in a large fleet.

        With thousands of endpoints this takes a tenth of a second, which would block the event loop
        and delay every token.
        """
        name = self.runtime.identity.name
        key = plan_key(cfg, vms, name)
        if key == self._plan_key:
            return self._agents
        if len(cfg.endpoints) > LARGE_FLEET_ENDPOINTS:
            found = await anyio.to_thread.run_sync(agents_of_entry, cfg, vms, name)
        else:
            found = agents_of_entry(cfg, vms, name)
        self._agents, self._plan_key = found, key
        return found

    def vm_list_received(self, vms: VmList) -> None:
        """Apply a new VM list."""
        self._update_leaving()
        self._update_away()

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Process a peer's reply to a heartbeat."""
        if reply.report is not None:
            self._router.observe(reply.report, asked_at)
            self._reports.observe(reply.report, asked_at, self.runtime.clock.monotonic())

        if peer.role is ProcessRole.ENTRY and reply.sequence:
            run = self._runs[peer.name] = str(reply.incarnation)
            self._poison_updates.acknowledge(peer.name, run, reply.sequence)

    def peer_lost(self, peer: Peer) -> None:
        """Discard the state of a peer that cannot be reached."""
        self._runs.pop(peer.name, None)
        if peer.role is ProcessRole.AGENT:
            self._router.mark_link_lost(peer.name)
            self._reports.lost(peer.name)

    def members_changed(self) -> None:
        """Remove entries that are suspect, leaving or gone from the lists for callers."""
        self._admission.set_removed_entries(self._gone_entries())
        self._update_away()

    def heartbeat_received(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Process a heartbeat of another entry."""
        if peer.role is ProcessRole.ENTRY:
            self._admission.update_demand(peer.name, peer.incarnation, heartbeat.demand)
            self._poison_updates.records.merge(heartbeat.ends)

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return None, since an entry has no endpoint."""
        return None

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return the demand of this entry's callers for a peer."""
        if peer.role is not ProcessRole.ENTRY:
            return ()
        return self._admission.shares.for_peer(peer.name, self._demand)

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return the poison records that another entry has not yet acknowledged."""
        run = self._runs.get(peer.name)
        if peer.role is not ProcessRole.ENTRY or run is None:
            return ()
        return tuple(self._poison_updates.rows_for(peer.name, run, sequence))

    def _waits_for(self) -> str:
        """Return why the entry is not ready, empty if it is.

        Until the limits are divided between the entries, each organisation gets little.
        """
        started = self._admission.shares.started
        return "" if started else "waits to hear how the other entries divide the limits"

    def _gone_entries(self) -> frozenset[str]:
        cfg = self.runtime.member.configuration
        if cfg is None:
            return frozenset()
        state = self.runtime.member.knowledge.membership.state
        return frozenset(
            name
            for name in cfg.entries
            if state(peer_key(ProcessRole.ENTRY, name)) is MemberState.GONE
        )

    def _update_leaving(self) -> None:
        """Stop using endpoints on leaving VMs before their agents announce it."""
        knowledge = self.runtime.member.knowledge
        cfg, vms = knowledge.configuration, knowledge.vms.current
        if cfg is None or vms is None:
            return
        leaving = _leaving_vms(vms)
        self._router.set_leaving(
            [name for name, endpoint in cfg.endpoints.items() if endpoint.vm in leaving]
        )

    def _update_away(self) -> None:
        """Update the entries to omit from the lists for callers.

        To a process that is itself cut off, all other entries appear unavailable; the directory
        then lists all configured entries.
        """
        knowledge, identity = self.runtime.member.knowledge, self.runtime.identity
        cfg = knowledge.configuration
        if cfg is None:
            return
        state = knowledge.membership.state
        leaving = _leaving_vms(knowledge.vms.current)
        away = {
            name
            for name, entry in cfg.entries.items()
            if entry.vm in leaving or state(peer_key(ProcessRole.ENTRY, name)) in AWAY_STATES
        }
        if self.runtime.member.leaving:
            away.add(identity.name)
        self._directory.set_excluded(away)

    # Operator interface.

    def _operators(self) -> OperatorApp:
        return OperatorApp(
            self.runtime.audit,
            self.runtime.metrics,
            self.runtime.health,
            self._status,
            self.runtime.inbound,
        )

    def _status(self) -> ProcessStatus:
        status = self.runtime.status()
        rows = tuple(_row(row) for row in self._router.states())
        return msgspec.structs.replace(status, running=self._app.running, endpoints=rows)


async def run_entry(settings: EntrySettings, host: Host | None = None) -> None:
    """Run an entry until a planned stop has completed.

    Args:
        settings: Settings of the entry.
        host: Host environment; that of this process if None.

    Raises:
        CommandError: PORT_IN_USE.
    """
    runtime = Runtime.start(settings, ProcessRole.ENTRY, host)
    await EntryProcess(runtime, settings).run()
    logger.info("stopped")


def _entry_peers(cfg: Configuration, vms: VmList | None, own: str) -> set[str]:
    """Return the entries to open links to: all in a small fleet, else the gossip neighbours."""
    if len(cfg.entries) <= MAX_FULL_MESH_ENTRIES:
        return set(cfg.entries) - {own}
    return set(gossip_neighbours(own, entry_nodes(cfg, vms, own)))


def _wanted_entry(entry: EntryNode) -> WantedPeer:
    peer = Peer(entry.name, ProcessRole.ENTRY, Address.parse(entry.peer_address))
    leaving = entry.state is EndpointState.LEAVING
    return WantedPeer(peer, Member(peer.key, entry.vm, entry.failure_domain, leaving))


def _wanted_agent(endpoint: Endpoint) -> WantedPeer:
    peer = Peer(endpoint.name, ProcessRole.AGENT, Address.parse(endpoint.agent))
    leaving = endpoint.state is EndpointState.LEAVING
    return WantedPeer(peer, Member(peer.key, endpoint.vm, endpoint.failure_domain, leaving))


def _leaving_vms(vms: VmList | None) -> frozenset[str]:
    if vms is None:
        return frozenset()
    return frozenset(vm.name for vm in vms.vms if vm.state is VmState.LEAVING)


def _row(row: EndpointRow) -> EndpointStatus:
    return EndpointStatus(
        name=row.endpoint,
        provider=row.provider,
        failure_domain=row.failure_domain,
        condition=row.condition.value,
        reason=row.reason,
        load=row.load,
        capacity=row.capacity,
        weight=row.weight,
    )
