"""Peer addresses by key, and the calls that fetch the configuration from a peer."""

from typing import Any

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import PeerError
from carawayhub.fleet.messages import FilesReply, FilesRequest, ManifestReply, ManifestRequest
from carawayhub.peers.calls import CallClient
from carawayhub.peers.methods import FILES, MANIFEST, Method

CALL_TIMEOUT_SECONDS = 3.0


class AddressBook:
    """Calls peers by their keys."""

    __slots__ = ("_addresses", "_calls")

    def __init__(self, calls: CallClient) -> None:
        self._calls = calls
        self._addresses: dict[str, Address] = {}

    def add_address(self, key: str, address: Address) -> None:
        """Store the address at which a peer accepts calls."""
        self._addresses[key] = address

    async def manifest(self, peer: str, req: ManifestRequest) -> ManifestReply:
        """Request the list of changed files from a peer; see ``FleetPeers``."""
        reply: ManifestReply = await self._call(peer, MANIFEST, req)
        return reply

    async def files(self, peer: str, req: FilesRequest) -> FilesReply:
        """Request file contents from a peer; see ``FleetPeers``."""
        reply: FilesReply = await self._call(peer, FILES, req)
        return reply

    async def _call(self, peer: str, method: Method, req: ManifestRequest | FilesRequest) -> Any:
        address = self._addresses.get(peer)
        if address is None:
            raise PeerError(Code.PEER_SILENT, f"no address of {peer} is known")
        return await self._calls.call(address, method, req, CALL_TIMEOUT_SECONDS)
