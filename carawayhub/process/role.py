"""What differs between an entry and an agent as members of the fleet."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from carawayhub.config.model import Configuration
from carawayhub.fleet.membership import Member
from carawayhub.limits.evidence import EndsRow
from carawayhub.peers.links import Peer
from carawayhub.peers.messages import (
    EndpointReport,
    Heartbeat,
    HeartbeatReply,
    Hello,
    OrganisationDemand,
)
from carawayhub.platform.ports import VmList


@dataclass(frozen=True, slots=True)
class WantedPeer:
    """A peer to keep a link with, and its record for the membership."""

    peer: Peer
    member: Member


class MemberRole(Protocol):
    """Callbacks that entries and agents implement differently."""

    def configured(self, cfg: Configuration) -> None:
        """Apply a version that came into force."""

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return the peers to open links to."""

    def vm_list_received(self, vms: VmList) -> None:
        """Apply a VM list."""

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Process a reply on a link that this process opened."""

    def peer_lost(self, peer: Peer) -> None:
        """Handle a peer that cannot be reached or is no longer linked."""

    def members_changed(self) -> None:
        """Handle a change of any peer's state in the membership."""

    def heartbeat_received(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Process a heartbeat on a link that a peer opened."""

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return the report on this process's endpoint, None from an entry."""

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return the demand of this entry's callers, to send to another entry."""

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return the requests during which endpoints ended, to send to another entry.

        Args:
            peer: The entry that receives it.
            sequence: Number of the heartbeat that carries it.
        """
