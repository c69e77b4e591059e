"""A process's view of the fleet: configuration, VM list, members, and whether it may be stale."""

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
    """The components that fetch and store the view of the fleet.

    Attributes:
        in_force: The configuration in force and its subscribers.
        sync: Synchronises the configuration.
        watcher: Reads the platform if this process is one of those chosen to.
        vms: Synchronises the VM list.
        membership: States of the peers that this process has links with.
        pauses: Detects pauses of this process.
        confirmed: Notified when a view left unverified by a pause is confirmed.
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
        """Return the empty view with which a process starts."""
        in_force = InForce(audit)
        acceptor = HighWaterAcceptor(HighWater(), in_force.apply_verdict)
        sync = ConfigSync(book, acceptor, clock, rng, SyncAudit(audit).record_event)
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
            pauses=PauseDetector(clock, _unverified_views(identity.role)),
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
        """Return what changed since a peer's configuration or VM list."""
        match req.document:
            case Document.CONFIGURATION:
                return self.sync.manifest(req)
            case Document.VM_LIST:
                return self.vms.manifest(req)

    async def wait_until_verified(self, timeout: float) -> bool:
        """Wait until no view is unverified after a pause; return whether none is.

        A process that was paused resumes with stale state: it would dispatch to endpoints that
        have left, and apply limits and keys that have changed. One exchange with a peer that began
        after the pause shows whether newer state exists.

        Args:
            timeout: Seconds to wait for verification.
        """
        with anyio.move_on_after(timeout):
            while self.pauses.check():
                await self.confirmed.wait()
        return not self.pauses.check()

    def confirm_configuration(self, peer: str, version: int, count: int) -> None:
        """Confirm the configuration in force if a peer has the same version.

        An older version confirms nothing: the peer has just started or is itself isolated.

        Args:
            peer: Key of the peer that reported the version.
            version: Version in force at the peer.
            count: Pauses that this process had detected when the exchange began.
        """
        if version == self.sync.in_force.version:
            self.pauses.confirm(View.CONFIGURATION, count, f"{peer} has version {version}")
            self.confirmed.notify()

    def confirm_membership(self, peer: str, count: int) -> None:
        """Confirm the membership by a peer's answer."""
        self.pauses.confirm(View.MEMBERSHIP, count, f"{peer} answers")
        self.confirmed.notify()


def _unverified_views(role: ProcessRole) -> frozenset[View]:
    """Return the views that a pause leaves unverified; an agent tracks no other members."""
    if role is ProcessRole.AGENT:
        return frozenset({View.CONFIGURATION})
    return frozenset({View.CONFIGURATION, View.MEMBERSHIP})
