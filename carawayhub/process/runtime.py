"""What every process does around its own work: sockets, logs, signals, operators' HTTP."""

import random
import socket
from collections.abc import Callable
from dataclasses import dataclass, field

from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock, SystemClock
from carawayhub.http import bind
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
    """One process's surroundings.

    Attributes:
        settings: Its settings.
        identity: Who it is.
        clock: Source of time.
        rng: Source of random choices and jitter.
        audit: Its audit trail.
        metrics: Its measurements.
        member: It as a member of the fleet.
        host: What it runs in.
        waits_for: Says what the process itself still waits for before it may serve, empty for
            nothing.
        stop: Whether it was asked to stop.
        peer_socket: Listening socket for links and calls.
        operator_socket: Listening socket for operators.
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
    waits_for: Callable[[], str] = lambda: ""
    stop: StopRequest = field(default_factory=StopRequest)

    @classmethod
    def start(cls, settings: Settings, role: ProcessRole, host: Host | None = None) -> "Runtime":
        """Bind the sockets and make the parts.

        Raises:
            CommandError: PORT_IN_USE.
        """
        clock = SystemClock()
        rng = random.Random()
        identity = Identity.of(settings, role)
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
        )
        audit.record(Subject.PROCESS, identity.key, "stopped", "started", "the process started")
        logger.bind(incarnation=identity.incarnation).info("started")
        return runtime

    def health(self) -> HealthBody:
        """Return whether the process may serve."""
        member = self.member
        reason = ""
        if member.leaving:
            reason = "it is stopping"
        elif not member.ready:
            state = member.startup_state()
            reason = f"waits for peers or service; not reached: {', '.join(state.unreached)}"
        else:
            reason = self.waits_for()
        return HealthBody(name=self.identity.key, ready=not reason, reason=reason)

    def ready(self) -> bool:
        """Return whether the process has what it needs to serve."""
        return self.member.ready and not self.waits_for()

    def status(self) -> ProcessStatus:
        """Return the part of the status page that every process has."""
        member, identity = self.member, self.identity
        held = member.knowledge.sync.in_force
        return ProcessStatus(
            name=identity.name,
            role=identity.role.value,
            incarnation=identity.incarnation,
            failure_domain=identity.failure_domain,
            version=held.version,
            digest=held.digest,
            newest_known=member.knowledge.sync.newest_known().version,
            ready=self.ready(),
            leaving=member.leaving,
            unreached=member.startup_state().unreached,
            refusals=tuple(
                f"{id.version}: {error}" for id, error in member.knowledge.sync.refusals.items()
            ),
        )
