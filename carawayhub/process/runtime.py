"""Resources that every process needs: sockets, logs, signals, operator HTTP."""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock, SystemClock
from carawayhub.http import bind
from carawayhub.inbound.shared import Inbound
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.output.metrics import Metrics
from carawayhub.peers.messages import ProcessRole
from carawayhub.process.host import Host, OwnProcess
from carawayhub.process.identity import Identity
from carawayhub.process.member import Member
from carawayhub.process.operators import HealthBody
from carawayhub.process.status import ProcessStatus
from carawayhub.process.stop import StopRequest
from carawayhub.settings import Settings


@dataclass(slots=True)
class Runtime:
    """Resources and shared components of one process.

    Attributes:
        settings: Its settings.
        identity: Its identity.
        clock: Source of time.
        rng: Source of random choices and jitter.
        audit: Its audit trail.
        metrics: Its metrics.
        member: Its membership in the fleet.
        host: Its environment, the source of stop requests.
        pending_reason: Returns what the process itself still waits for before it may serve, empty
            for nothing.
        stop: Its stop request.
        peer_socket: Listening socket for links and calls.
        operator_socket: Listening socket for operators.
        inbound: What the servers of the process share.
    """

    settings: Settings
    identity: Identity
    clock: Clock
    rng: random.Random
    audit: AuditTrail
    metrics: Metrics
    member: Member
    peer_socket: socket.socket
    operator_socket: socket.socket
    host: Host
    inbound: Inbound
    pending_reason: Callable[[], str] = lambda: ""
    stop: StopRequest = field(default_factory=StopRequest)

    @classmethod
    def start(cls, settings: Settings, role: ProcessRole, host: Host | None = None) -> "Runtime":
        """Bind the sockets and create the components.

        Raises:
            CommandError: PORT_IN_USE.
        """
        clock = SystemClock()
        rng = random.Random()
        identity = Identity.from_settings(settings, role)
        audit = AuditTrail(identity.key, clock)
        runtime = cls(
            settings=settings,
            identity=identity,
            clock=clock,
            rng=rng,
            audit=audit,
            metrics=Metrics(),
            member=Member(identity, settings, clock, rng, audit),
            peer_socket=bind(Address.parse(settings.peer_listen)),
            operator_socket=bind(Address.parse(settings.operator_listen)),
            host=host or OwnProcess(),
            inbound=Inbound(clock),
        )
        audit.record(Subject.PROCESS, identity.key, "stopped", "started", "the process started")
        logger.bind(incarnation=identity.incarnation).info("started")
        return runtime

    def health(self) -> HealthBody:
        """Return whether the process may serve."""
        member = self.member
        reason = ""
        if member.leaving:
            reason = "the process is stopping"
        elif not member.ready:
            state = member.startup_state()
            reason = f"waiting for peers or service; not reached: {', '.join(state.unreached)}"
        else:
            reason = self.pending_reason()
        return HealthBody(name=self.identity.key, ready=not reason, reason=reason)

    def ready(self) -> bool:
        """Return whether the process has what it needs to serve."""
        return self.member.ready and not self.pending_reason()

    def status(self) -> ProcessStatus:
        """Return the part of the status page that every process has."""
        member, identity = self.member, self.identity
        in_force = member.knowledge.sync.in_force
        return ProcessStatus(
            name=identity.name,
            role=identity.role.value,
            incarnation=identity.incarnation,
            failure_domain=identity.failure_domain,
            version=in_force.version,
            digest=in_force.digest,
            newest_known=member.knowledge.sync.newest_known().version,
            ready=self.ready(),
            leaving=member.leaving,
            unreached=member.startup_state().unreached,
            refusals=tuple(
                f"{id.version}: {error}" for id, error in member.knowledge.sync.refusals.items()
            ),
        )
