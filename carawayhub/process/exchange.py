"""Heartbeats and replies of one process, on opened and accepted links."""

from dataclasses import dataclass

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.fleet.manifest import VersionId
from carawayhub.fleet.pace import heartbeat_interval, permit_bound
from carawayhub.peers.links import Intervals, Peer, peer_key
from carawayhub.peers.messages import Heartbeat, HeartbeatReply, Hello, ProcessRole
from carawayhub.peers.signal import Signal
from carawayhub.process.addressbook import AddressBook
from carawayhub.process.identity import Identity
from carawayhub.process.knowledge import Knowledge
from carawayhub.process.role import MemberRole

INBOUND_EXPIRY_TIMEOUTS = 2.0


@dataclass(slots=True)
class _InboundPeer:
    hello: Hello
    heard_at: float


class Exchange:
    """Handles both ends of links; see ``LinkOwner`` and ``LinkServer``.

    Args:
        identity: Identity of this process.
        knowledge: Its view of the fleet, which every exchange may extend or confirm.
        role: Handles the reports it receives.
        book: Stores the addresses of peers.
        clock: Source of time.

    Attributes:
        changed: Notified when this process must send its state to its peers at once.
        leaving: Whether this process is stopping.
    """

    def __init__(
        self,
        identity: Identity,
        knowledge: Knowledge,
        role: MemberRole,
        book: AddressBook,
        clock: Clock,
    ) -> None:
        self.changed = Signal()
        self.leaving = False
        self._identity = identity
        self._knowledge = knowledge
        self._role = role
        self._book = book
        self._clock = clock
        self._opened: dict[str, Peer] = {}
        self._inbound: dict[str, _InboundPeer] = {}
        self._pauses_at_send: dict[str, int] = {}
        self._pauses_seen = 0
        self._echoes: dict[str, int] = {}

    @property
    def known_peers(self) -> frozenset[str]:
        """Keys of the peers linked with this process, whichever side opened the link."""
        return frozenset(self._opened) | frozenset(self._inbound)

    def set_opened_peers(self, peers: dict[str, Peer]) -> None:
        """Set the peers to which this process opens links."""
        self._opened = peers

    def hello(self) -> Hello:
        """Return the hello message of this process."""
        return self._identity.hello()

    def intervals(self) -> Intervals:
        """Return the current heartbeat interval and timeout."""
        fleet = self._knowledge.fleet
        beat = heartbeat_interval(
            len(self._opened) + len(self._inbound),
            fleet.report_interval,
            permit_bound(fleet.permit_ttl),
        )
        return Intervals(beat, max(fleet.heartbeat_timeout, 2 * beat))

    # Links that this process opens.

    def heartbeat(self, peer: Peer, sequence: int) -> Heartbeat:
        """Return the next heartbeat for ``peer``."""
        self._check_pauses()
        self._pauses_at_send[peer.key] = self._knowledge.pauses.count
        sync = self._knowledge.sync
        return Heartbeat(
            sequence=sequence,
            version=sync.in_force.version,
            digest=sync.in_force.digest,
            echo=self._echoes.get(peer.key, 0),
            leaving=self.leaving,
            service_age=sync.service_age(),
            vms=self._knowledge.vms.number,
            demand=self._role.demand(peer),
            ends=self._role.ends(peer, sequence),
        )

    def link_up(self, peer: Peer, hello: Hello) -> None:
        """Record that ``peer`` answered on a new connection."""
        self._book.add_address(peer.key, peer.address)
        self._knowledge.membership.record_heartbeat(peer.key, hello.incarnation)

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Process a heartbeat reply."""
        knowledge = self._knowledge
        self._echoes[peer.key] = reply.pauses
        version = VersionId(reply.version, reply.digest)
        knowledge.sync.record_peer_version(peer.key, version, reply.service_age)
        knowledge.vms.record_peer_list_number(peer.key, reply.vms)
        if not knowledge.membership.record_heartbeat(peer.key, reply.incarnation, reply.leaving):
            return
        if reply.sequence:
            count = self._pauses_at_send.get(peer.key, -1)
            knowledge.confirm_membership(peer.key, count)
            knowledge.confirm_configuration(peer.key, reply.version, count)
        self._role.reply_received(peer, reply, asked_at)

    def link_lost(self, peer: Peer, reason: str) -> None:
        """Record that reconnecting to ``peer`` failed as well."""
        self._knowledge.sync.remove_peer(peer.key)
        self._knowledge.vms.remove_peer(peer.key)
        self._knowledge.membership.failed(peer.key, reason)
        self._role.peer_lost(peer)

    # Links that this process accepts.

    def reply(self, peer: Hello, heartbeat: Heartbeat | None) -> HeartbeatReply:
        """Return the reply to a heartbeat, or with None an announcement of a changed state."""
        self._check_pauses()
        if heartbeat is not None:
            self._receive_heartbeat(peer, heartbeat)
        sync = self._knowledge.sync
        return HeartbeatReply(
            sequence=0 if heartbeat is None else heartbeat.sequence,
            incarnation=self._identity.incarnation,
            pauses=self._knowledge.pauses.count,
            version=sync.in_force.version,
            digest=sync.in_force.digest,
            leaving=self.leaving,
            service_age=sync.service_age(),
            vms=self._knowledge.vms.number,
            report=self._role.report(peer),
        )

    def _receive_heartbeat(self, peer: Hello, heartbeat: Heartbeat) -> None:
        key = peer_key(peer.role, peer.name)
        knowledge = self._knowledge
        self._book.add_address(key, Address.parse(peer.address))
        self._inbound[key] = _InboundPeer(peer, self._clock.monotonic())
        self._drop_silent()
        version = VersionId(heartbeat.version, heartbeat.digest)
        knowledge.sync.record_peer_version(key, version, heartbeat.service_age)
        knowledge.vms.record_peer_list_number(key, heartbeat.vms)
        knowledge.membership.record_heartbeat(key, peer.incarnation, heartbeat.leaving)
        if self._identity.role is ProcessRole.AGENT:
            # An agent opens no links. A heartbeat may have been buffered in the socket while the
            # agent was paused. One that echoes the current pause count was sent after the reply
            # that carried this count, and so after the pause.
            knowledge.confirm_configuration(key, heartbeat.version, heartbeat.echo)
        self._role.heartbeat_received(peer, heartbeat)

    def _drop_silent(self) -> None:
        oldest = self._clock.monotonic() - INBOUND_EXPIRY_TIMEOUTS * self.intervals().timeout
        for key in [key for key, each in self._inbound.items() if each.heard_at < oldest]:
            del self._inbound[key]
            if key not in self._opened:
                self._knowledge.sync.remove_peer(key)
                self._knowledge.vms.remove_peer(key)

    def _check_pauses(self) -> None:
        pauses = self._knowledge.pauses
        pauses.check()
        if pauses.count != self._pauses_seen:
            self._pauses_seen = pauses.count
            self._knowledge.membership.reset_to_unconfirmed()
