"""Client side of unary calls, with one reused channel for each peer."""

from typing import Any

import anyio
from grpclib.client import UnaryUnaryMethod
from grpclib.config import Configuration
from grpclib.exceptions import GRPCError

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import PeerError
from carawayhub.peers.cancellation import withdraw_cancellation
from carawayhub.peers.channels import PeerChannel
from carawayhub.peers.codec import MessagePackCodec
from carawayhub.peers.methods import Method
from carawayhub.peers.proofs import Prover

CONNECT_TIMEOUT = 1.0
KEEPALIVE = Configuration(
    _keepalive_time=1.0,
    _keepalive_timeout=2.0,
    _http2_max_pings_without_data=0,
    _http2_min_sent_ping_interval_without_data=1.0,
)
"""Pings a channel with calls in flight every second and closes it 2 s after an unanswered ping.

Without pings, a call on an unresponsive connection would wait until its own deadline, although a
new connection would reach the peer at once.
"""


class NotSentError(PeerError):
    """The call was not sent: no connection could be opened."""

    __slots__ = ()


class CallClient:
    """Sends unary calls to peers by address.

    Args:
        prover: Signs outgoing calls.
        source: IP address to connect from, empty for any.

    Calls to one peer share a channel. After a failure the channel accepts no new calls, because
    the connection may have failed rather than the peer. Calls still in flight on it complete
    independently, since HTTP/2 isolates their streams, and then the channel is closed.
    """

    __slots__ = ("_channels", "_codec", "_prover", "_source")

    def __init__(self, prover: Prover, source: str = "") -> None:
        self._prover = prover
        self._source = source
        self._codec = MessagePackCodec()
        self._channels: dict[Address, _SharedChannel] = {}

    async def call(self, address: Address, method: Method, request: Any, timeout: float) -> Any:
        """Return the peer's reply.

        Args:
            address: Address at which the peer accepts calls.
            method: Method to call.
            request: Instance of ``method.request``.
            timeout: Seconds until the call is abandoned.

        Raises:
            NotSentError: No connection could be opened, so the peer has not received the request.
            PeerError: The call failed after it may have been sent.
        """
        shared = self._shared(address)
        with shared:
            await self._connect(address, shared)
            unary = UnaryUnaryMethod(shared.channel, method.path, method.request, method.reply)
            try:
                with anyio.fail_after(timeout), withdraw_cancellation():
                    return await unary(request, metadata=self._prover.sign(method.path))
            except GRPCError as exc:
                raise PeerError(Code.PEER_PROTOCOL, str(exc.message)) from exc
            except Exception as exc:
                # grpclib may raise undocumented exceptions such as AttributeError when the
                # connection breaks. Report them to the caller as a lost call.
                self._retire(address, shared)
                raise PeerError(Code.PEER_SILENT, str(exc) or type(exc).__name__) from exc

    def close(self) -> None:
        """Close all channels."""
        for shared in self._channels.values():
            shared.channel.close()
        self._channels.clear()

    def _shared(self, address: Address) -> "_SharedChannel":
        shared = self._channels.get(address)
        if shared is None:
            channel = PeerChannel(address, self._source, self._codec, KEEPALIVE)
            shared = self._channels[address] = _SharedChannel(channel)
        return shared

    async def _connect(self, address: Address, shared: "_SharedChannel") -> None:
        try:
            with anyio.fail_after(CONNECT_TIMEOUT):
                await shared.channel.__connect__()
        except Exception as exc:
            self._retire(address, shared)
            raise NotSentError(Code.PEER_SILENT, f"{address}: {exc or 'no connection'}") from exc

    def _retire(self, address: Address, shared: "_SharedChannel") -> None:
        shared.retired = True
        if self._channels.get(address) is shared:
            del self._channels[address]


class _SharedChannel:
    """A channel that is closed once it is retired and its last call has ended."""

    __slots__ = ("_users", "channel", "retired")

    def __init__(self, channel: PeerChannel) -> None:
        self.channel = channel
        self.retired = False
        self._users = 0

    def __enter__(self) -> None:
        self._users += 1

    def __exit__(self, *_: object) -> None:
        self._users -= 1
        if self.retired and self._users == 0:
            self.channel.close()
