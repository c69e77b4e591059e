"""Calls between the system's processes are taken only from those that hold the system key."""

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import PeerError
from carawayhub.fleet.messages import Document, ManifestRequest
from carawayhub.peers.calls import CallClient
from carawayhub.peers.messages import RunRequest
from carawayhub.peers.methods import MANIFEST, RUN
from carawayhub.peers.proofs import Prover
from carawayhub.standins.asks import Book, to_wire
from carawayhub.standins.fleet import SYSTEM_KEY
from carawayhub.standins.fleetshape import FleetShape
from tests.stories import CAFES, FleetTestCase

TIMEOUT_S = 5.0


class SystemKeyTest(FleetTestCase):
    """Strangers at the doors of processes."""

    shape = FleetShape(
        failure_domains=("attica",), entries=1, engines=0, services=1, key_quarantine=False
    )

    def client(self, key: str) -> CallClient:
        """Return one that calls with a key."""
        return CallClient(Prover(key, "entry:stranger"))

    def agent(self) -> Address:
        """Return where the desk's agent takes calls."""
        return Address.parse(f"{self.fleet.plan.node(self.desks[0]).outer}:7000")

    async def test_stranger_is_refused_and_nothing_runs(self) -> None:
        """A process of another system, or an intruder, sends a booking straight to an agent.

        It does not hold the system key, so the agent must refuse it before anything runs.
        """
        wire = to_wire(Book(bench="bench-1", slot="10:00", visitor="stranger"))
        booking = RunRequest(
            request_id="stranger",
            organisation=CAFES.name,
            target="service/booking",
            key="stranger-1",
            ticket="",
            version=1,
            stamp=1,
            method=wire.method,
            path=wire.path,
            headers=(),
            body=wire.body,
            remaining=TIMEOUT_S,
        )
        client = self.client("a wrong key")
        with self.assertRaises(PeerError) as refused:
            await client.call(self.agent(), RUN, booking, TIMEOUT_S)
        self.assertIn(str(int(Code.PEER_UNAUTHENTICATED)), str(refused.exception))
        client.close()
        self.assertEqual(self.runs(wire.content), [])

    async def test_stranger_learns_nothing_of_the_configuration(self) -> None:
        """An intruder asks for the configuration, which one with the key gets."""
        question = ManifestRequest(document=Document.CONFIGURATION)
        stranger, friend = self.client("a wrong key"), self.client(SYSTEM_KEY)
        with self.assertRaises(PeerError):
            await stranger.call(self.agent(), MANIFEST, question, TIMEOUT_S)
        reply = await friend.call(self.agent(), MANIFEST, question, TIMEOUT_S)
        self.assertGreater(reply.version, 0)
        stranger.close()
        friend.close()
