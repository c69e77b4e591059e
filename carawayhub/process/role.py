"""What differs between an entry and an agent as members of the fleet."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from carawayhub.config.model import Configuration
from carawayhub.fleet.membership import Member
from carawayhub.limits.poison import EndsRow
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
    """A peer to keep a link with, and what membership must know of it."""

    peer: Peer
    member: Member


class MemberRole(Protocol):
    """The part that a process plays in the fleet."""

    def configured(self, cfg: Configuration) -> None:
        """Take a version that came into force."""

    async def peers(self, cfg: Configuration, vms: VmList | None) -> Sequence[WantedPeer]:
        """Return the peers to open links to."""

    def listed(self, vms: VmList) -> None:
        """Take a VM list."""

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Take what a peer reports on a link that this process opened."""

    def lost(self, peer: Peer) -> None:
        """Note that a peer cannot be reached, or is no longer linked."""

    def members_changed(self) -> None:
        """Note that some peer's state in the membership changed."""

    def heard(self, peer: Hello, heartbeat: Heartbeat) -> None:
        """Take a heartbeat on a link that a peer opened."""

    def report(self, peer: Hello) -> EndpointReport | None:
        """Return the report on this process's endpoint, None from an entry."""

    def demand(self, peer: Peer) -> tuple[OrganisationDemand, ...]:
        """Return what this entry's callers ask for, for another entry."""

    def ends(self, peer: Peer, sequence: int) -> tuple[EndsRow, ...]:
        """Return under which requests endpoints ended, for another entry.

        Args:
            peer: That entry.
            sequence: Number of the heartbeat that tells it.
        """
