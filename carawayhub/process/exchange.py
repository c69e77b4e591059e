"""Heartbeats and replies of one process, on links that it opens and on links that it accepts."""

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

SILENCES_KEPT = 2.0


@dataclass(slots=True)
class _Inbound:
    hello: Hello
    heard_at: float


class Exchange:
    """Both ends of links; see ``LinkOwner`` and ``LinkServer``.

    Args:
        identity: Who this process is.
        knowledge: What it knows, which every exchange may extend or confirm.
        role: What it does with reports.
        book: Takes addresses of peers.
        clock: Source of time.

    Attributes:
        changed: Notified when this process's state must reach its peers at once.
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
        self._inbound: dict[str, _Inbound] = {}
        self._pauses_at_send: dict[str, int] = {}
        self._pauses_seen = 0
        self._echoes: dict[str, int] = {}

    @property
    def known_peers(self) -> frozenset[str]:
        """Keys of the peers that links are kept with, whoever opened them."""
        return frozenset(self._opened) | frozenset(self._inbound)

    def opening(self, peers: dict[str, Peer]) -> None:
        """Note to whom links are opened."""
        self._opened = peers

    def hello(self) -> Hello:
        """Return the introduction of this process."""
        return self._identity.hello()

    def intervals(self) -> Intervals:
        """Return the times in force now."""
        fleet = self._knowledge.fleet
        beat = heartbeat_interval(
            len(self._opened) + len(self._inbound),
            fleet.report_interval,
            permit_bound(fleet.permit_ttl),
        )
        return Intervals(beat, max(fleet.heartbeat_timeout, 2 * beat))

    # The opening end.

    def heartbeat(self, peer: Peer, sequence: int) -> Heartbeat:
        """Return the next heartbeat for ``peer``."""
        self._distrust_after_pause()
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
        """Note that ``peer`` answered on a new connection."""
        self._book.note(peer.key, peer.address)
        self._knowledge.membership.heard(peer.key, hello.incarnation)

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take a reply."""
        knowledge = self._knowledge
        self._echoes[peer.key] = reply.pauses
        version = VersionId(reply.version, reply.digest)
        knowledge.sync.heard(peer.key, version, reply.service_age)
        knowledge.vms.heard(peer.key, reply.vms)
        if not knowledge.membership.heard(peer.key, reply.incarnation, reply.leaving):
            return
        if reply.sequence:
            count = self._pauses_at_send.get(peer.key, -1)
            knowledge.confirm_membership(peer.key, count)
            knowledge.confirm_configuration(peer.key, reply.version, count)
        self._role.reply_received(peer, reply, asked_at)

    def link_lost(self, peer: Peer, reason: str) -> None:
        """Note that a new connection to ``peer`` failed as well."""
        self._knowledge.sync.forget(peer.key)
        self._knowledge.vms.forget(peer.key)
        self._knowledge.membership.failed(peer.key, reason)
        self._role.lost(peer)

    # The accepting end.

    def reply(self, peer: Hello, heartbeat: Heartbeat | None) -> HeartbeatReply:
        """Answer a heartbeat, or with None tell of a changed state."""
        self._distrust_after_pause()
        if heartbeat is not None:
            self._heard(peer, heartbeat)
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

    def _heard(self, peer: Hello, heartbeat: Heartbeat) -> None:
        key = peer_key(peer.role, peer.name)
        knowledge = self._knowledge
        self._book.note(key, Address.parse(peer.address))
        self._inbound[key] = _Inbound(peer, self._clock.monotonic())
        self._drop_silent()
        version = VersionId(heartbeat.version, heartbeat.digest)
        knowledge.sync.heard(key, version, heartbeat.service_age)
        knowledge.vms.heard(key, heartbeat.vms)
        knowledge.membership.heard(key, peer.incarnation, heartbeat.leaving)
        if self._identity.role is ProcessRole.AGENT:
            # An agent opens no links. A heartbeat may have lain in the socket for as long as the
            # agent was paused; one that repeats the count of pauses was sent after the reply that
            # told it, so after the pause.
            knowledge.confirm_configuration(key, heartbeat.version, heartbeat.echo)
        self._role.heard(peer, heartbeat)

    def _drop_silent(self) -> None:
        oldest = self._clock.monotonic() - SILENCES_KEPT * self.intervals().timeout
        for key in [key for key, each in self._inbound.items() if each.heard_at < oldest]:
            del self._inbound[key]
            if key not in self._opened:
                self._knowledge.sync.forget(key)
                self._knowledge.vms.forget(key)

    def _distrust_after_pause(self) -> None:
        pauses = self._knowledge.pauses
        pauses.check()
        if pauses.count != self._pauses_seen:
            self._pauses_seen = pauses.count
            self._knowledge.membership.distrust()
