"""Crowds of clients that do not behave, at each port of the platform's processes."""

import signal
import unittest

import anyio

from tests.crowd import BODY_BYTES, CrowdPlan
from tests.crowd_world import (
    DIRECTORY,
    FRONT,
    KEY,
    METRICS,
    READY,
    RESERVED_DESCRIPTORS,
    Peaks,
    PlatformWorld,
    ask,
    ask_until_answered,
    crowd_of,
    platform_world,
    request_line,
)

MEMORY_MB = 120
BYTES_PER_MEGABYTE = 1_000_000
DESCRIPTORS = 4200
FEW_DESCRIPTORS = RESERVED_DESCRIPTORS + 64

ORDINARY = {
    FRONT: (request_line("/plain/1"), b"ordinary"),
    READY: ("GET /v1/ready HTTP/1.1\r\n", b""),
    DIRECTORY: ("GET /v1/resolve?Name=soak.example HTTP/1.1\r\n", b""),
    METRICS: ("GET /metrics HTTP/1.1\r\n", b""),
}
"""An ordinary request for each port."""


class Crowd(unittest.TestCase):
    """Runs one crowd against one process.

    Attributes:
        role: Program that the crowd meets.
        port: Port that the crowd connects to.
    """

    role = "entry"
    port = FRONT
    peaks: Peaks | None = None
    max_sockets = 0

    def endure(
        self,
        kind: str,
        clients: int,
        *,
        key: str = "",
        path: str = "/plain/crowd",
        descriptors: int = DESCRIPTORS,
        returns: int = 0,
        gap: float = 0.0,
        paused: bool = False,
    ) -> None:
        """Check that the process lives, keeps its bounds and serves an ordinary request."""

        async def scenario() -> None:
            async with platform_world(self.role, MEMORY_MB, descriptors) as world:
                plan = CrowdPlan(
                    kind=kind,
                    host=world.ip,
                    port=self.port,
                    path=path,
                    clients=clients,
                    key=key,
                    returns=returns,
                    gap=gap,
                )
                if paused:
                    world.daemon.handle.pause()
                async with crowd_of(plan):
                    world.daemon.handle.resume()
                    await self.check_served(world)
                    world.daemon.sample()
                await self.check_served(world)
                self.note(world)

        anyio.run(scenario)
        self.check_bounds()

    async def check_served(self, world: PlatformWorld) -> None:
        """Check that the port still answers, and callers of an entry are served."""
        ports = {self.port, FRONT} if self.role == "entry" else {self.port}
        for port in sorted(ports):
            head, body = ORDINARY[port]
            await ask_until_answered(world.ip, port, head, body)

    def note(self, world: PlatformWorld) -> None:
        """Note what the process has held so far."""
        self.peaks = world.daemon.peaks() if world.daemon.handle.running else None
        self.max_sockets = world.descriptors - RESERVED_DESCRIPTORS

    def check_bounds(self) -> None:
        """Check that the process ran to the end and stayed within its machine."""
        assert self.peaks is not None, "the process has ended"
        self.assertLess(self.peaks.memory, MEMORY_MB * BYTES_PER_MEGABYTE)
        self.assertLessEqual(self.peaks.sockets, self.max_sockets)


class AnyPort:
    """What strangers can send to any port."""

    def test_heads_without_end_of_short_lines(self) -> None:
        """Decoded header lines take many times the bytes that were sent."""
        self.endure("head_lines", 60)

    def test_complete_heads_over_the_limit(self) -> None:
        """A head that ends within one read is taken whatever its size."""
        self.endure("large_head", 60)

    def test_trailers_without_end(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 20)

    def test_large_bodies_that_stop_short_of_their_end(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("whole_body", 40)

    def test_pipelined_requests(self) -> None:
        """Requests that wait for the answer before them take memory without a bound."""
        self.endure("pipelined", 40)

    def test_empty_lines_without_end(self) -> None:
        """Empty lines before a request count towards no limit and keep their connection open."""
        self.endure("empty_lines", 100, descriptors=FEW_DESCRIPTORS)

    def test_single_empty_lines(self) -> None:
        """An empty line stops the idle timer, and no timer of a head has begun."""
        self.endure("empty_line", 100, descriptors=FEW_DESCRIPTORS)

    def test_silent_connections(self) -> None:
        """Connections that send nothing take all descriptors of the process."""
        self.endure("silent", 100, descriptors=FEW_DESCRIPTORS)


class FrontCrowds(AnyPort, Crowd):
    """Crowds at the port for requests."""

    def test_heads_without_end_of_one_line(self) -> None:
        """A header without end is kept until it ends."""
        self.endure("long_header", 60)

    def test_chunk_extensions_without_end(self) -> None:
        """The size line of a chunk counts towards no limit."""
        self.endure("chunk_extension", 100, descriptors=FEW_DESCRIPTORS)

    def test_bodies_without_end(self) -> None:
        """A body is read on, without end, after it was refused for its size."""
        self.endure("endless_body", 20, key=KEY)

    def test_trailers_without_end_with_a_key(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 20, key=KEY)

    def test_large_bodies_with_a_key(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("whole_body", 40, key=KEY)

    def test_large_bodies_in_pieces(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("body_in_pieces", 40)

    def test_large_bodies_in_pieces_with_a_key(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("body_in_pieces", 40, key=KEY)

    def test_large_bodies_in_chunks(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("chunked_body", 40)

    def test_large_bodies_in_chunks_with_a_key(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("chunked_body", 40, key=KEY)

    def test_large_bodies_to_a_paused_entry(self) -> None:
        """After a pause everything that its sockets took meanwhile is read at once."""
        self.endure("whole_body", 40, key=KEY, paused=True)

    def test_clients_that_come_back(self) -> None:
        """A refused client connects again at once, and again."""
        self.endure("trailers", 20, returns=20)

    def test_half_heads(self) -> None:
        """Connections with half a head take all descriptors of the process."""
        self.endure("half_head", 100, descriptors=FEW_DESCRIPTORS)

    def test_callers_that_do_not_read_large_answers(self) -> None:
        """Answers stay in memory for as long as their callers do not read them."""
        self.endure("unread_answers", 30, key=KEY, path="/plain/large/1", gap=0.15)

    def test_crowd_beside_a_restart(self) -> None:
        """An entry that starts again meets the crowd before it knows a configuration."""

        async def scenario() -> None:
            async with platform_world("entry", MEMORY_MB, DESCRIPTORS) as world:
                plan = CrowdPlan(
                    kind="body_in_pieces",
                    host=world.ip,
                    port=FRONT,
                    path="/plain/crowd",
                    clients=40,
                    key=KEY,
                    returns=200,
                )
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self.restart, world)
                    async with crowd_of(plan):
                        await self.check_served(world)
                        world.daemon.sample()
                await self.check_served(world)
                self.note(world)

        anyio.run(scenario)
        self.check_bounds()

    async def restart(self, world: PlatformWorld) -> None:
        """Kill the entry while the crowd sends, and start it again."""
        await anyio.sleep(0.5)
        world.daemon.handle.signal(signal.SIGKILL)
        await world.daemon.handle.wait()
        world.daemon.handle.start()


class ReadinessCrowds(AnyPort, Crowd):
    """Crowds at the port of the readiness check."""

    port = READY


class DirectoryCrowds(AnyPort, Crowd):
    """Crowds at the port of the directory."""

    port = DIRECTORY


class MetricsCrowds(AnyPort, Crowd):
    """Crowds at the port of an entry's metrics."""

    port = METRICS


class AgentCrowds(AnyPort, Crowd):
    """Crowds at the only TCP port of an agent."""

    role = "agent"
    port = METRICS


class Calm(unittest.TestCase):
    """Single requests within the limits, without a crowd."""

    def serve(self, head: str, body: bytes, piece: int = 0) -> None:
        async def scenario() -> None:
            async with platform_world("entry", MEMORY_MB, DESCRIPTORS) as world:
                self.assertEqual(await ask(world.ip, FRONT, head, body, piece), 200)

        anyio.run(scenario)

    def test_body_of_the_largest_size(self) -> None:
        self.serve(request_line("/plain/1"), b"x" * BODY_BYTES)

    def test_body_of_the_largest_size_in_small_pieces(self) -> None:
        self.serve(request_line("/plain/1"), b"x" * BODY_BYTES, piece=8192)

    def test_head_of_many_short_lines(self) -> None:
        self.serve(request_line("/plain/1") + "a:b\r\n" * 3_000, b"x")

    def test_large_answer(self) -> None:
        self.serve(request_line("/plain/large/1"), b"x")


if __name__ == "__main__":
    unittest.main()
