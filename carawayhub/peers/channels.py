"""Channels to peers, bound to the IP address of this process."""

from typing import Any

from grpclib.client import Channel
from grpclib.config import Configuration

from carawayhub.addresses import Address
from carawayhub.peers.codec import MessagePackCodec


class PeerChannel(Channel):
    """A channel whose connection is bound to a local IP address.

    A VM may have several IP addresses. Peers, firewalls and readers of their logs identify a
    process by the address in its settings, so outgoing connections use that address too.

    Args:
        address: The peer.
        source: IP address to connect from, empty for any.
        codec: Encodes messages.
        config: Options of ``grpclib``.
    """

    def __init__(
        self,
        address: Address,
        source: str,
        codec: MessagePackCodec,
        config: Configuration | None = None,
    ) -> None:
        super().__init__(address.host, address.port, codec=codec, config=config)
        self._source = source

    async def _create_connection(self) -> Any:
        local = (self._source, 0) if self._source else None
        _, protocol = await self._loop.create_connection(
            self._protocol_factory, self._host, self._port, local_addr=local
        )
        return protocol
