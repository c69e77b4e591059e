"""Server side of links and calls."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from grpclib.const import Cardinality, Handler, Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from loguru import logger

from carawayhub.codes import Code
from carawayhub.errors import CarawayhubError, PeerError
from carawayhub.peers.codec import MessagePackCodec
from carawayhub.peers.links import Intervals
from carawayhub.peers.messages import Heartbeat, HeartbeatReply, Hello
from carawayhub.peers.methods import LINK, Method
from carawayhub.peers.proofs import Prover
from carawayhub.peers.signal import Signal

SILENCE_FACTOR = 2.0


class LinkServer(Protocol):
    """Callbacks of the process that accepts links."""

    changed: Signal

    def hello(self) -> Hello:
        """Return the first message of this process on a link."""

    def intervals(self) -> Intervals:
        """Return the intervals now in force."""

    def reply(self, peer: Hello, heartbeat: Heartbeat | None) -> HeartbeatReply:
        """Return the reply to a heartbeat, or with None a report of a changed state."""


@dataclass(frozen=True, slots=True)
class UnaryCall:
    """A call with one request and one reply.

    Attributes:
        method: Its path and types.
        handle: Returns the reply to a request; receives the sender's name and the request.
    """

    method: Method
    handle: Callable[[str, Any], Awaitable[Any]]


class PeerServer:
    """Accepts links and calls from processes that prove possession of the system key."""

    __slots__ = ("_calls", "_links", "_prover", "_server")

    def __init__(
        self, links: LinkServer, prover: Prover, calls: tuple[UnaryCall, ...] = ()
    ) -> None:
        self._links = links
        self._prover = prover
        self._calls = calls
        self._server = Server([self], codec=MessagePackCodec())

    async def start(self, sock: Any) -> None:
        """Accept connections on a listening socket."""
        await self._server.start(sock=sock)

    async def stop(self) -> None:
        """Stop accepting connections and close the links."""
        self._server.close()
        await self._server.wait_closed()

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as ``grpclib`` requires."""
        mapping = {
            LINK.path: Handler(self._link, Cardinality.STREAM_STREAM, LINK.request, LINK.reply)
        }
        for call in self._calls:
            mapping[call.method.path] = Handler(
                self._unary(call), Cardinality.UNARY_UNARY, call.method.request, call.method.reply
            )
        return mapping

    def _unary(self, call: UnaryCall) -> Callable[[Stream[Any, Any]], Awaitable[None]]:
        async def handle(stream: Stream[Any, Any]) -> None:
            sender = self._authenticate(call.method.path, stream)
            request = await stream.recv_message()
            if request is None:
                raise GRPCError(Status.INVALID_ARGUMENT, "no request")
            try:
                reply = await call.handle(sender, request)
            except CarawayhubError as exc:
                raise GRPCError(Status.FAILED_PRECONDITION, str(exc)) from exc
            await stream.send_message(reply)

        return handle

    def _authenticate(self, path: str, stream: Stream[Any, Any]) -> str:
        try:
            return self._prover.check(path, stream.metadata)
        except PeerError as exc:
            logger.bind(code=int(exc.code)).warning("call rejected: {}", exc)
            raise GRPCError(Status.UNAUTHENTICATED, str(exc)) from exc

    async def _link(self, stream: Stream[Any, Any]) -> None:
        self._authenticate(LINK.path, stream)
        peer = await stream.recv_message()
        if not isinstance(peer, Hello):
            raise GRPCError(Status.INVALID_ARGUMENT, f"code {int(Code.PEER_PROTOCOL)}: no hello")
        await stream.send_message(self._links.hello())
        lock = anyio.Lock()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._push, stream, peer, lock, tasks.cancel_scope)
                await self._answer(stream, peer, lock)
                tasks.cancel_scope.cancel()
        except (OSError, ProtocolError, StreamTerminatedError) as exc:
            logger.bind(peer=peer.name).debug("link closed: {}", exc)

    async def _answer(self, stream: Stream[Any, Any], peer: Hello, lock: anyio.Lock) -> None:
        while True:
            heartbeat = None
            with anyio.move_on_after(self._links.intervals().timeout * SILENCE_FACTOR):
                heartbeat = await stream.recv_message()
            if not isinstance(heartbeat, Heartbeat):
                return
            async with lock:
                await stream.send_message(self._links.reply(peer, heartbeat))

    async def _push(
        self, stream: Stream[Any, Any], peer: Hello, lock: anyio.Lock, scope: anyio.CancelScope
    ) -> None:
        """Report a changed state at once; the lock keeps two messages from interleaving."""
        while True:
            await self._links.changed.wait()
            try:
                async with lock:
                    await stream.send_message(self._links.reply(peer, None))
            except (OSError, ProtocolError, StreamTerminatedError):
                scope.cancel()
                return
