"""One link of the fault-injecting proxy: a listening address and the target behind it.

A link listens at one address and forwards to another. Its fault holds for all connections, or for
those of one source address only, so that a partition can part some clients from a target while
others reach it. Silence holds data back rather than dropping it: as on a real network, what was
under way arrives after the partition heals. A connection that was silenced for good stays so.

A link refuses connections while its target does; only the connection by which it finds out is
accepted and then reset.
"""

import socket
from contextlib import suppress

import anyio
from anyio.abc import SocketStream, TaskGroup

from carawayhub.standins.forward import Connection, Crossing, set_reset_on_close
from carawayhub.standins.linkstate import LinkState
from carawayhub.standins.web import address_of, bind

CONNECT_TIMEOUT_S = 2.0
TARGET_POLL_S = 0.02
LISTEN_BACKLOG = 512


class Link:
    """One listening address and the target behind it.

    Args:
        name: Its name.
        listen: ``ip:port`` at which clients connect.
        target: ``ip:port`` that is forwarded to.
        seed: Seed of the jitter.

    Attributes:
        connections: Open connections.
        accepted: Connections so far.
        state: Its faults.
    """

    __slots__ = (
        "_crossing",
        "_target_is_down",
        "accepted",
        "connections",
        "listen",
        "name",
        "state",
        "target",
    )

    def __init__(self, name: str, listen: str, target: str, seed: int = 0) -> None:
        self.name = name
        self.listen = listen
        self.target = target
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.state = LinkState(f"{seed}/{name}")
        self._crossing = Crossing()
        self._target_is_down = False

    def cut_open(self, source: str = "") -> int:
        """Reset the open connections of a source or of all; returns how many."""
        found = self._open(source)
        for connection in found:
            connection.reset()
        return len(found)

    def silence_open(self, source: str = "") -> int:
        """Silence the open connections of a source or of all for good; new ones work."""
        found = self._open(source)
        for connection in found:
            connection.silenced = True
        return len(found)

    async def run(self, ready: anyio.Event) -> None:
        """Accept and forward for as long as the proxy lives.

        Args:
            ready: Set once it listens, or once it knows that its target is down.
        """
        async with anyio.create_task_group() as connections:
            while True:
                if self.state.refuses_all:
                    await self.state.changed.wait()
                    continue
                self._target_is_down = not await self._target_answers()
                if self._target_is_down:
                    ready.set()
                    await anyio.sleep(TARGET_POLL_S)
                    continue
                await self._accept_until_refused(connections, ready)

    def _open(self, source: str) -> list[Connection]:
        return [each for each in self.connections if source in ("", each.source)]

    async def _accept_until_refused(self, connections: TaskGroup, ready: anyio.Event) -> None:
        with bind(self.listen) as sock:
            sock.listen(LISTEN_BACKLOG)
            sock.setblocking(False)
            self.listen = address_of(sock)
            ready.set()
            async with anyio.create_task_group() as accepting:
                accepting.start_soon(self._accept, sock, connections)
                while not (self.state.refuses_all or self._target_is_down):
                    await self.state.changed.wait()
                accepting.cancel_scope.cancel()

    async def _accept(self, sock: socket.socket, connections: TaskGroup) -> None:
        # anyio's own listener may lose a connection that comes while its wait is cancelled.
        while True:
            await anyio.wait_readable(sock)
            with suppress(BlockingIOError):
                accepted, address = sock.accept()
                with suppress(OSError, ValueError):
                    # One that was reset before it was taken: whoever opened it only looked whether
                    # something listens here.
                    client = await SocketStream.from_socket(accepted)
                    connections.start_soon(self._handle, client, str(address[0]))

    async def _handle(self, client: SocketStream, source: str) -> None:
        self.accepted += 1
        async with client:
            if self.state.fault_of(source).refuse:
                set_reset_on_close(client)
                return
            while self.state.fault_of(source).silent_to_target:
                await self.state.changed.wait()
            target = await self._connect(source)
            if target is None:
                set_reset_on_close(client)
                self._target_is_down = True
                self.state.notify()
                return
            async with target:
                connection = Connection(self.state, self._crossing, source, client, target)
                self.connections.add(connection)
                try:
                    await connection.run()
                finally:
                    self.connections.discard(connection)

    async def _target_answers(self) -> bool:
        stream = await self._connect()
        if stream is None:
            return False
        await stream.aclose()
        return True

    async def _connect(self, source: str = "") -> SocketStream | None:
        """Connect to the target, which sees the client's own address."""
        host, _, port = self.target.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await anyio.connect_tcp(host, int(port), local_host=source or None)
        except (OSError, TimeoutError):
            return None
