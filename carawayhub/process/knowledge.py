"""What a process knows of the fleet: configuration, VM list, members, and whether it may be old."""

import random
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, FleetOptions
from carawayhub.config.version import HighWater
from carawayhub.fleet.acceptor import HighWaterAcceptor
from carawayhub.fleet.membership import MemberChange, Membership
from carawayhub.fleet.messages import Document, ManifestReply, ManifestRequest
from carawayhub.fleet.pauses import PauseDetector, View
from carawayhub.fleet.sync import ConfigSync
from carawayhub.fleet.vmsync import VmListSync
from carawayhub.fleet.watchers import PlatformWatcher
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.peers.messages import ProcessRole
from carawayhub.peers.signal import Signal
from carawayhub.platform.client import PlatformClient
from carawayhub.process.acceptance import InForce
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.identity import Identity
from carawayhub.process.syncaudit import SyncAudit


@dataclass(slots=True)
class Knowledge:
    """The parts that learn and keep it.

    Attributes:
        in_force: The configuration in force and who is told of a new one.
        sync: Learns of configurations.
        watcher: Reads the platform where this process is one of those that should.
        vms: Learns of the VM list.
        membership: States of the peers that this process has links with.
        pauses: Whether this process was paused.
        confirmed: Notified when something that a pause put in doubt was checked.
        members_changed: Notified when a peer's state changed.
    """

    in_force: InForce
    sync: ConfigSync
    watcher: PlatformWatcher
    vms: VmListSync
    membership: Membership
    pauses: PauseDetector
    confirmed: Signal
    members_changed: Signal

    @classmethod
    def empty(
        cls,
        identity: Identity,
        book: AddressBook,
        platform: PlatformClient,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
    ) -> "Knowledge":
        """Return what a process knows when it starts: nothing."""
        in_force = InForce(audit)
        acceptor = HighWaterAcceptor(HighWater(), in_force.decided)
        sync = ConfigSync(book, acceptor, clock, rng, SyncAudit(audit).note)
        watcher = PlatformWatcher(identity.key, sync, platform, clock, rng)
        members_changed = Signal()

        def changed(change: MemberChange) -> None:
            audit.record(
                Subject.MEMBER,
                change.name,
                change.before.value,
                change.after.value,
                change.reason,
            )
            members_changed.notify()

        return cls(
            in_force=in_force,
            sync=sync,
            watcher=watcher,
            vms=VmListSync(book, platform, lambda: watcher.is_watcher, clock, rng),
            membership=Membership(clock, changed),
            pauses=PauseDetector(clock, _views(identity.role)),
            confirmed=Signal(),
            members_changed=members_changed,
        )

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self.in_force.configuration

    @property
    def fleet(self) -> FleetOptions:
        """The fleet's options in force, the defaults before the first configuration."""
        cfg = self.configuration
        return FleetOptions() if cfg is None else cfg.fleet

    def manifest(self, req: ManifestRequest) -> ManifestReply:
        """Answer a peer that asks what changed since its configuration or VM list."""
        match req.document:
            case Document.CONFIGURATION:
                return self.sync.manifest(req)
            case Document.VM_LIST:
                return self.vms.manifest(req)

    async def checked(self, timeout: float) -> bool:
        """Return whether nothing that a pause put in doubt is unchecked.

        A process that was stopped goes on with what it knew before: it would dispatch to endpoints
        that have left and under limits and keys that were changed. Waiting for one exchange with a
        peer that began after the pause shows whether anything newer exists.

        Args:
            timeout: Seconds to wait for the check.
        """
        with anyio.move_on_after(timeout):
            while self.pauses.check():
                await self.confirmed.wait()
        return not self.pauses.check()

    def confirm_configuration(self, peer: str, version: int, count: int) -> None:
        """Take a peer's version as a check of the configuration in force.

        A peer that knows less proves nothing: it has just started, or hears nobody itself.

        Args:
            peer: Who told it.
            version: Version in force at the peer.
            count: Pauses that this process had seen when the exchange began.
        """
        if version == self.sync.in_force.version:
            self.pauses.confirm(View.CONFIGURATION, count, f"{peer} has version {version}")
            self.confirmed.notify()

    def confirm_membership(self, peer: str, count: int) -> None:
        """Take a peer's answer as a check of the membership."""
        self.pauses.confirm(View.MEMBERSHIP, count, f"{peer} answers")
        self.confirmed.notify()


def _views(role: ProcessRole) -> frozenset[View]:
    """Return what a pause puts in doubt; an agent knows of no other members."""
    if role is ProcessRole.AGENT:
        return frozenset({View.CONFIGURATION})
    return frozenset({View.CONFIGURATION, View.MEMBERSHIP})
