"""Requests that an entry refuses before their body is complete."""

import unittest

import anyio

from tests.crowd_world import FRONT, KEY, PlatformWorld, platform_world, request_line

WAIT_SECONDS = 10.0
DEADLINE_MS = 700


async def answer_to(world: PlatformWorld, data: bytes) -> bytes:
    """Send a part of a request and return the head of the answer."""
    found = b""
    with anyio.fail_after(WAIT_SECONDS):
        async with await anyio.connect_tcp(world.ip, FRONT) as stream:
            await stream.send(data)
            while b"\r\n\r\n" not in found:
                found += await stream.receive()
    return found


def begun(line: str) -> bytes:
    """Return a request whose body is incomplete."""
    return f"{line}Host: soak.example\r\nContent-Length: 4000000\r\n\r\nbody".encode()


class EarlyRefusals(unittest.TestCase):
    """Requests whose refusal does not depend on the rest of their body."""

    def assert_refused(self, line: str, status: bytes, code: bytes) -> None:
        async def scenario() -> bytes:
            async with platform_world("entry", 300, 4200) as world:
                return await answer_to(world, begun(line))

        head = anyio.run(scenario)
        self.assertTrue(head.startswith(b"HTTP/1.1 " + status), head)
        self.assertIn(b"x-carawayhub-code: " + code, head)

    def test_unknown_key(self) -> None:
        """Bodies of callers without a key are collected only to be refused."""
        self.assert_refused(request_line("/plain/1", "unknown"), b"401", b"2002")

    def test_unknown_route(self) -> None:
        """Bodies of requests without a route are collected only to be refused."""
        self.assert_refused(request_line("/else/1"), b"404", b"2003")

    def test_body_that_is_incomplete_when_its_caller_gives_up(self) -> None:
        """A body that stops is kept longer than its caller waits for the answer."""
        line = request_line("/plain/1", KEY).replace("4000", str(DEADLINE_MS))
        self.assert_refused(line, b"504", b"2023")


if __name__ == "__main__":
    unittest.main()
