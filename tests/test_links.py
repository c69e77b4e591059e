"""Links and calls between processes when a peer breaks its connections."""

import random
import socket
import unittest
from typing import Any

import anyio

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.errors import PeerError
from carawayhub.fleet.messages import FilesReply, FilesRequest
from carawayhub.http import bind
from carawayhub.peers.calls import CallClient
from carawayhub.peers.links import Intervals, Link, Peer
from carawayhub.peers.messages import Heartbeat, HeartbeatReply, Hello, ProcessRole
from carawayhub.peers.methods import FILES
from carawayhub.peers.proofs import Prover
from carawayhub.peers.server import PeerServer, UnaryCall
from carawayhub.peers.signal import Signal
from carawayhub.process.linkset import LinkSet
from carawayhub.standins.proxy import Proxy

KEY = "a key of the test fleet"
LOCAL = Address("127.0.0.1", 0)


class RecordingEnd:
    """One end of a link that records its events."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.changed = Signal()
        self.replies = 0
        self.lost: list[str] = []
        self.updated = Signal()

    def hello(self) -> Hello:
        return Hello(
            name=self.name,
            role=ProcessRole.AGENT,
            incarnation=1,
            failure_domain="brest",
            address="127.0.0.1:1",
        )

    def intervals(self) -> Intervals:
        return Intervals(0.02, 1.0)

    def heartbeat(self, peer: Peer, sequence: int) -> Heartbeat:
        return Heartbeat(sequence=sequence, version=1, digest="")

    def reply(self, peer: Hello, heartbeat: Heartbeat | None) -> HeartbeatReply:
        sequence = 0 if heartbeat is None else heartbeat.sequence
        return HeartbeatReply(sequence=sequence, version=1, digest="")

    def link_up(self, peer: Peer, hello: Hello) -> None:
        return

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        self.replies += 1
        self.updated.notify()

    def link_lost(self, peer: Peer, reason: str) -> None:
        self.lost.append(reason)
        self.updated.notify()

    async def until_replies(self, count: int) -> None:
        while self.replies < count:
            await self.updated.wait()

    async def until_lost(self) -> None:
        while not self.lost:
            await self.updated.wait()


class TwoPeers(RecordingEnd):
    """Owner of links to two peers that records the events of each."""

    def __init__(self) -> None:
        super().__init__("near")
        self.dying, self.living = RecordingEnd("near"), RecordingEnd("near")

    def reply_received(self, peer: Peer, reply: HeartbeatReply, asked_at: float) -> None:
        self._notes(peer).reply_received(peer, reply, asked_at)

    def link_lost(self, peer: Peer, reason: str) -> None:
        self._notes(peer).link_lost(peer, reason)

    def _notes(self, peer: Peer) -> RecordingEnd:
        return self.dying if peer.name == "dying" else self.living


async def keep_links(owner: TwoPeers, peers: tuple[Peer, ...]) -> None:
    async with anyio.create_task_group() as tasks:
        links = LinkSet(owner, Prover(KEY, "near"), SystemClock(), random.Random(1), tasks)
        links.set_peers(peers)
        await anyio.sleep_forever()


async def start(name: str, key: str, sock: socket.socket, calls: Any = ()) -> PeerServer:
    server = PeerServer(RecordingEnd(name), Prover(key, name), calls)
    await server.start(sock)
    return server


async def call_then_check_cancellation(
    client: CallClient, address: Address, resumed: anyio.Event
) -> None:
    with anyio.CancelScope():
        try:
            await client.call(address, FILES, FilesRequest(digests=()), 10.0)
        except PeerError:
            with anyio.CancelScope() as scope:
                scope.cancel()
                await anyio.sleep_forever()
            resumed.set()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def peer_at(sock: socket.socket, name: str = "far") -> Peer:
    return Peer(name, ProcessRole.AGENT, Address(*sock.getsockname()[:2]))


def link_to(peer: Peer, end: RecordingEnd) -> Link:
    return Link(peer, end, Prover(KEY, "near"), SystemClock(), random.Random(1))


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """Tests of links that the client keeps open."""

    async def test_one_dead_peer_leaves_the_other_links_up(self) -> None:
        """Guards against an entry that refuses every call after one of its endpoints failed.

        When the connection of a link breaks, grpclib cancels the link's task and does not withdraw
        the cancellation. The task's next cancel scope propagated it, which silently ended the task
        group that holds all links of the process.
        """
        dying, living = bind(LOCAL), bind(LOCAL)
        first = await start("dying", KEY, dying)
        second = await start("living", KEY, living)
        owner = TwoPeers()
        proxy = Proxy()
        address = f"127.0.0.1:{free_port()}"
        broken = proxy.add("dying", address, "{}:{}".format(*dying.getsockname()[:2]))
        peers = (
            Peer("dying", ProcessRole.AGENT, Address.parse(address)),
            peer_at(living, "living"),
        )
        with anyio.fail_after(20):
            async with proxy.running(), anyio.create_task_group() as tasks:
                tasks.start_soon(keep_links, owner, peers)
                await owner.dying.until_replies(2)
                for _ in range(3):
                    broken.cut_open()
                    await owner.dying.until_replies(owner.dying.replies + 2)
                await owner.living.until_replies(owner.living.replies + 3)
                tasks.cancel_scope.cancel()
        await first.stop()
        await second.stop()

    async def test_a_peer_that_comes_back_is_linked_again(self) -> None:
        """Guards against an endpoint that never gets work again after its agent restarted.

        The agent ends and a new process listens at its address. The link must reconnect to it.
        """
        sock = bind(LOCAL)
        address = Address(*sock.getsockname()[:2])
        server = await start("far", KEY, sock)
        end = RecordingEnd("near")
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link_to(Peer("far", ProcessRole.AGENT, address), end).run)
                await end.until_replies(2)
                await server.stop()
                await end.until_lost()
                server = await start("far", KEY, bind(address))
                await end.until_replies(end.replies + 2)
                tasks.cancel_scope.cancel()
        await server.stop()

    async def test_another_process_at_the_address_is_not_taken_for_the_peer(self) -> None:
        """Guards against routing requests for one endpoint by the reports of another.

        The address was reassigned to another VM, whose agent answers with its own name.
        """
        sock = bind(LOCAL)
        server = await start("stranger", KEY, sock)
        end = RecordingEnd("near")
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link_to(peer_at(sock), end).run)
                await end.until_lost()
                tasks.cancel_scope.cancel()
        await server.stop()
        self.assertEqual(end.replies, 0)
        self.assertIn("stranger answers for far", end.lost[0])

    async def test_a_stranger_without_the_key_gets_no_link(self) -> None:
        """Guards against exchanging reports with a process of another system.

        The process was configured with the address by mistake and signs with its own key.
        """
        sock = bind(LOCAL)
        server = await start("far", "a key of another fleet", sock)
        end = RecordingEnd("near")
        with anyio.fail_after(20):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(link_to(peer_at(sock), end).run)
                await end.until_lost()
                tasks.cancel_scope.cancel()
        await server.stop()
        self.assertEqual(end.replies, 0)


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Tests of calls over channels that break."""

    async def test_a_connection_that_is_reset_is_a_lost_call(self) -> None:
        """Guards against an agent that ends with an AttributeError during its start.

        A peer accepts the connection and resets it at once. grpclib then raises an internal error
        in some of the calls, which ended the process.
        """
        client = CallClient(Prover(KEY, "near"))
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def reset(stream: anyio.abc.SocketStream) -> None:
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            await stream.aclose()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, reset)
            for _ in range(100):
                with self.assertRaises(PeerError):
                    request = FilesRequest(digests=())
                    await client.call(Address("127.0.0.1", port), FILES, request, 5.0)
            tasks.cancel_scope.cancel()
        client.close()

    async def test_a_lost_call_leaves_the_caller_cancellable(self) -> None:
        """Guards against a process that cannot shut down cleanly after calling a failing peer.

        The call is lost with its connection, but the caller's task still counts as being
        cancelled, and its next cancel scope to exit does not catch its own cancellation.
        """
        sock = bind(LOCAL)
        entered, resumed = anyio.Event(), anyio.Event()

        async def never(sender: str, request: FilesRequest) -> FilesReply:
            entered.set()
            await anyio.sleep_forever()
            raise AssertionError("unreachable")

        server = await start("far", KEY, sock, (UnaryCall(FILES, never),))
        client = CallClient(Prover(KEY, "near"))
        proxy = Proxy()
        address = f"127.0.0.1:{free_port()}"
        broken = proxy.add("far", address, "{}:{}".format(*sock.getsockname()[:2]))
        with anyio.fail_after(20):
            async with proxy.running(), anyio.create_task_group() as tasks:

                async def cut_once_entered() -> None:
                    await entered.wait()
                    broken.cut_open()

                tasks.start_soon(cut_once_entered)
                tasks.start_soon(
                    call_then_check_cancellation, client, Address.parse(address), resumed
                )
                await resumed.wait()
                tasks.cancel_scope.cancel()
        client.close()
        await server.stop()


if __name__ == "__main__":
    unittest.main()
