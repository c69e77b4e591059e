"""One link of the fault-injecting proxy: a listening address and the target behind it.

A link listens at one address and forwards to another. Its fault holds for all connections, or for
those of one source address only, so that a partition can part some clients from a target while
others reach it. Silence holds data back rather than dropping it: as on a real network, what was
under way arrives after the partition heals. A connection that was silenced for good stays so.
"""

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from carawayhub.standins.forward import Connection, Crossing, set_reset_on_close
from carawayhub.standins.linkstate import LinkState

CONNECT_TIMEOUT_S = 2.0
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

    __slots__ = ("_crossing", "accepted", "connections", "listen", "name", "state", "target")

    def __init__(self, name: str, listen: str, target: str, seed: int = 0) -> None:
        self.name = name
        self.listen = listen
        self.target = target
        self.connections: set[Connection] = set()
        self.accepted = 0
        self.state = LinkState(f"{seed}/{name}")
        self._crossing = Crossing()

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
        """Accept and forward for as long as the proxy lives; sets ``ready`` once it listens."""
        async with anyio.create_task_group() as connections:
            while True:
                if self.state.refuses_all:
                    await self.state.changed.wait()
                    continue
                await self._accept_until_refused(connections, ready)

    def _open(self, source: str) -> list[Connection]:
        return [each for each in self.connections if source in ("", each.source)]

    async def _accept_until_refused(self, connections: TaskGroup, ready: anyio.Event) -> None:
        host, _, port = self.listen.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=LISTEN_BACKLOG
        )
        self.listen = f"{host}:{listener.extra(SocketAttribute.local_port)}"
        ready.set()
        async with listener, anyio.create_task_group() as accepting:
            accepting.start_soon(listener.serve, self._handle, connections)
            while not self.state.refuses_all:
                await self.state.changed.wait()
            accepting.cancel_scope.cancel()

    async def _handle(self, client: SocketStream) -> None:
        self.accepted += 1
        source = str(client.extra(SocketAttribute.remote_address)[0])
        async with client:
            if self.state.fault_of(source).refuse:
                set_reset_on_close(client)
                return
            while self.state.fault_of(source).silent_to_target:
                await self.state.changed.wait()
            target = await self._connect()
            if target is None:
                set_reset_on_close(client)
                return
            async with target:
                connection = Connection(self.state, self._crossing, source, client, target)
                self.connections.add(connection)
                try:
                    await connection.run()
                finally:
                    self.connections.discard(connection)

    async def _connect(self) -> SocketStream | None:
        host, _, port = self.target.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                return await anyio.connect_tcp(host, int(port))
        except (OSError, TimeoutError):
            return None
