"""Crowds of clients that do not behave, at the ports of the product's own entries and agents."""

import unittest

import anyio

from carawayhub.standins.fleet import CALLER_PORT
from carawayhub.standins.fleetshape import OPERATOR_PORT, FleetShape
from tests.crowd import CrowdPlan
from tests.crowd_world import Daemon, Peaks, ask_until_answered, crowd_of
from tests.processes import process_fleet

MEMORY_BYTES = 300_000_000
MAX_SOCKETS = 4_000
SHAPE = FleetShape(failure_domains=("attica",), entries=1, engines=1, services=0)
KEY = SHAPE.organisations[0].key
PATH = "/v1/chat/completions"

ORDINARY = {
    CALLER_PORT: (
        f"POST {PATH} HTTP/1.1\r\nAuthorization: Bearer {KEY}\r\n",
        b'{"model": "repair", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 2}',
    ),
    OPERATOR_PORT: ("GET /healthz HTTP/1.1\r\n", b""),
}
"""An ordinary request for each port."""


class OwnCrowd(unittest.TestCase):
    """Runs one crowd against one process of a small fleet."""

    port = CALLER_PORT
    role = "entry"

    def endure(self, kind: str, clients: int, *, key: str = "") -> None:
        """Check that the process lives, keeps its bounds and serves an ordinary request."""
        peaks = anyio.run(self.play, kind, clients, key)
        assert peaks is not None, "the process has ended"
        self.assertLess(peaks.memory, MEMORY_BYTES)
        self.assertLessEqual(peaks.sockets, MAX_SOCKETS)

    async def play(self, kind: str, clients: int, key: str) -> Peaks | None:
        """Return what the process held at most, None if it has ended."""
        async with process_fleet(SHAPE) as fleet, anyio.create_task_group() as tasks:
            nodes = fleet.plan.entries if self.role == "entry" else fleet.plan.nodes[1:]
            ip, handle = nodes[0].inner, fleet.daemons[nodes[0].name]
            daemon = Daemon(handle, ip)
            tasks.start_soon(daemon.watch)
            head, body = ORDINARY[self.port]
            await ask_until_answered(ip, self.port, head, body)
            plan = CrowdPlan(
                kind=kind, host=ip, port=self.port, path=PATH, clients=clients, key=key
            )
            async with crowd_of(plan):
                await ask_until_answered(ip, self.port, head, body)
                daemon.sample()
            await ask_until_answered(ip, self.port, head, body)
            tasks.cancel_scope.cancel()
            return daemon.peaks() if handle.running else None
        return None


class CallerCrowds(OwnCrowd):
    """Crowds at the port for callers."""

    def test_heads_without_end_of_short_lines(self) -> None:
        """Decoded header lines take many times the bytes that were sent."""
        self.endure("head_lines", 120)

    def test_trailers_without_end(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 30)

    def test_trailers_without_end_with_a_key(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 30, key=KEY)

    def test_large_bodies_with_a_key(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("whole_body", 80, key=KEY)

    def test_large_bodies_in_pieces_with_a_key(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("body_in_pieces", 80, key=KEY)

    def test_large_bodies(self) -> None:
        """Each body is legal, and all of them together fill the process."""
        self.endure("whole_body", 80)

    def test_empty_lines_without_end(self) -> None:
        """Empty lines before a request count towards no limit."""
        self.endure("empty_lines", 80)


class OperatorCrowds(OwnCrowd):
    """Crowds at an entry's port for operators."""

    port = OPERATOR_PORT

    def test_heads_without_end_of_short_lines(self) -> None:
        """Decoded header lines take many times the bytes that were sent."""
        self.endure("head_lines", 120)

    def test_trailers_without_end(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 30)


class AgentCrowds(OwnCrowd):
    """Crowds at an agent's port for operators."""

    port = OPERATOR_PORT
    role = "agent"

    def test_heads_without_end_of_short_lines(self) -> None:
        """Decoded header lines take many times the bytes that were sent."""
        self.endure("head_lines", 120)

    def test_trailers_without_end(self) -> None:
        """Trailers are kept as headers of a request that has long begun."""
        self.endure("trailers", 30)


if __name__ == "__main__":
    unittest.main()
