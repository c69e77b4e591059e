"""Client side of a link: one task for each peer keeps one stream open.

A link is a bidirectional gRPC stream. The client sends a heartbeat at each interval and the peer
replies to each. The reply includes the peer's report, so one exchange serves liveness checks,
reports and the comparison of configuration versions.
"""

import random
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
from grpclib.client import Stream, StreamStreamMethod
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import PeerError
from carawayhub.peers.cancellation import withdraw_cancellation
from carawayhub.peers.channels import PeerChannel
from carawayhub.peers.codec import MessagePackCodec
from carawayhub.peers.messages import Heartbeat, HeartbeatReply, Hello, ProcessRole
from carawayhub.peers.methods import LINK
from carawayhub.peers.proofs import Prover

CONNECT_TIMEOUT = 1.0
FIRST_BACKOFF = 0.2
LONGEST_BACKOFF = 5.0

LinkFailure = (OSError, GRPCError, ProtocolError, StreamTerminatedError, PeerError, TimeoutError)


@dataclass(frozen=True, slots=True)
class Peer:
    """Another process of the system.

    Attributes:
        name: Its name; for an agent that of its endpoint.
        role: Its kind.
        address: Address at which it accepts links and calls.
    """

    name: str
    role: ProcessRole
    address: Address

    @property
    def key(self) -> str:
        """Name that is unique over both kinds of process."""
        return peer_key(self.role, self.name)


def peer_key(role: ProcessRole, name: str) -> str:
    """Return the name of a process that is unique over both kinds.

    Example:
        >>> peer_key(ProcessRole.ENTRY, "brest-1")
        'entry:brest-1'
    """
    return f"{role.value}:{name}"


class LinkOwner(Protocol):
    """Callbacks of the process that opens links."""

    def hello(self) -> Hello:
        """Return the first message of this process on a link."""

    def heartbeat(self, peer: Peer, sequence: int) -> Heartbeat:
        """Return the next heartbeat for ``peer``."""

    def intervals(self) -> "Intervals":
        """Return the intervals now in force."""

    def link_up(self, peer: Peer, hello: Hello) -> None:
        """Handle the handshake reply of ``peer`` on a new connection."""

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        """Handle a reply; ``asked_at`` is the timestamp at which its heartbeat was sent."""

    def link_lost(self, peer: Peer, reason: str) -> None:
        """Handle a failed attempt to open a new connection to ``peer``."""


@dataclass(frozen=True, slots=True)
class Intervals:
    """Seconds between heartbeats, and without a reply until the connection is replaced."""

    heartbeat: float
    timeout: float


class Link:
    """Keeps a stream to one peer open until cancelled.

    Args:
        peer: The peer.
        owner: Receives the events of the link.
        prover: Signs the stream request.
        clock: Source of time.
        rng: Source of jitter.
        source: IP address to connect from, empty for any.
    """

    __slots__ = ("_clock", "_codec", "_owner", "_prover", "_rng", "_sent", "_source", "peer")

    def __init__(
        self,
        peer: Peer,
        owner: LinkOwner,
        prover: Prover,
        clock: Clock,
        rng: random.Random,
        source: str = "",
    ) -> None:
        self.peer = peer
        self._source = source
        self._owner = owner
        self._prover = prover
        self._clock = clock
        self._rng = rng
        self._codec = MessagePackCodec()
        self._sent: dict[int, float] = {}

    async def run(self) -> None:
        """Open connections to the peer one after another.

        An unresponsive connection does not mean that the peer failed: it may be half-open, for
        example after a router dropped its connection-tracking entry, while new connections work.
        An established session is therefore replaced at once, and the peer counts as lost only
        when the new connection fails too.
        """
        failures = 0
        while True:
            reached, reason = await self._session()
            if reached:
                failures = 0
                logger.bind(peer=self.peer.name, reason=reason).info("link closed; reconnecting")
                await anyio.sleep(self._rng.uniform(0, FIRST_BACKOFF))
                continue
            failures += 1
            self._owner.link_lost(self.peer, reason)
            ceiling = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**failures)
            await anyio.sleep(self._rng.uniform(FIRST_BACKOFF, ceiling))

    async def _session(self) -> tuple[bool, str]:
        """Use one connection; return whether the peer answered on it and why it ended.

        The stream context always exits with an exception. On a normal exit ``grpclib`` would wait
        for the peer to end the stream, which never happens on an unresponsive connection.
        """
        channel = PeerChannel(self.peer.address, self._source, self._codec)
        reached = False
        try:
            method = StreamStreamMethod(channel, LINK.path, LINK.request, LINK.reply)
            async with method.open(metadata=self._prover.sign(LINK.path)) as stream:
                with anyio.fail_after(CONNECT_TIMEOUT), withdraw_cancellation():
                    await self._handshake(stream)
                reached = True
                await self._exchange(stream)
        except LinkFailure as exc:
            return reached, _reason(exc)
        except Exception as exc:
            # grpclib may raise undocumented exceptions when a connection breaks. Such a failure
            # of one link must not end the process and all its other links.
            logger.bind(peer=self.peer.name, error=repr(exc)).warning("link failed unexpectedly")
            return reached, _reason(exc)
        finally:
            channel.close()
        return reached, "ended"

    async def _handshake(self, stream: Stream[Any, Any]) -> None:
        await stream.send_message(self._owner.hello())
        answer = await stream.recv_message()
        if not isinstance(answer, Hello):
            raise PeerError(Code.PEER_PROTOCOL, "the peer did not introduce itself")
        if answer.name != self.peer.name:
            raise PeerError(Code.PEER_ID_MISMATCH, f"{answer.name} answers for {self.peer.name}")
        self._owner.link_up(self.peer, answer)

    async def _exchange(self, stream: Stream[Any, Any]) -> None:
        self._sent.clear()
        reason = "connection lost"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats, stream, tasks.cancel_scope)
            try:
                await self._receive(stream)
            except LinkFailure as exc:
                reason = _reason(exc)
            tasks.cancel_scope.cancel()
        raise PeerError(Code.PEER_SILENT, reason)

    async def _send_heartbeats(self, stream: Stream[Any, Any], scope: anyio.CancelScope) -> None:
        sequence = 0
        while True:
            sequence += 1
            self._sent[sequence] = self._clock.monotonic()
            try:
                with withdraw_cancellation():
                    await stream.send_message(self._owner.heartbeat(self.peer, sequence))
            except LinkFailure:
                scope.cancel()
                return
            await anyio.sleep(self._owner.intervals().heartbeat)

    async def _receive(self, stream: Stream[Any, Any]) -> None:
        while True:
            with anyio.fail_after(self._owner.intervals().timeout), withdraw_cancellation():
                reply = await stream.recv_message()
            match reply:
                case HeartbeatReply(sequence=0):
                    self._owner.reply_received(self.peer, reply, self._clock.monotonic())
                case HeartbeatReply(sequence=sequence):
                    asked_at = self._sent.pop(sequence, None)
                    if asked_at is None:
                        raise PeerError(
                            Code.PEER_ID_MISMATCH, f"reply to unknown heartbeat {sequence}"
                        )
                    self._owner.reply_received(self.peer, reply, asked_at)
                case _:
                    raise PeerError(Code.PEER_SILENT, "peer closed the stream")


def _reason(exc: BaseException) -> str:
    if isinstance(exc, TimeoutError):
        return "silent past the timeout"
    return str(exc) or type(exc).__name__
