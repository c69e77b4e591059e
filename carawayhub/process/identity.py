"""Identity of a process."""

import secrets
from dataclasses import dataclass

from carawayhub.peers.links import peer_key
from carawayhub.peers.messages import Hello, ProcessRole
from carawayhub.settings import Settings

INCARNATION_BITS = 53


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Identity of one run of a process.

    Attributes:
        name: Its name in the configuration.
        role: Entry or agent.
        incarnation: Random number drawn at each start, so that a restart can be recognised.
        vm: Name of its VM.
        failure_domain: Its failure domain.
        region: The region of that failure domain.
        address: ``ip:port`` at which it accepts links and calls.
    """

    name: str
    role: ProcessRole
    incarnation: int
    vm: str
    failure_domain: str
    region: str
    address: str

    @classmethod
    def from_settings(cls, settings: Settings, role: ProcessRole) -> "Identity":
        """Return the identity of a process that starts with these settings."""
        return cls(
            name=settings.name,
            role=role,
            incarnation=secrets.randbits(INCARNATION_BITS),
            vm=settings.vm,
            failure_domain=settings.failure_domain,
            region=settings.region,
            address=settings.peer_address or settings.peer_listen,
        )

    @property
    def key(self) -> str:
        """Name that is unique across entries and agents."""
        return peer_key(self.role, self.name)

    def hello(self) -> Hello:
        """Return the hello message that opens a link."""
        return Hello(
            name=self.name,
            role=self.role,
            incarnation=self.incarnation,
            failure_domain=self.failure_domain,
            address=self.address,
        )
