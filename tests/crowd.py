"""A crowd of clients that do not behave: ``python -m tests.crowd PLAN``, run as its own process.

Each client opens a connection, sends its bytes until all are sent or the server closes, and then
keeps the connection open without reading. The program writes ``settled`` once no client sends any
more, and ends when its standard input is closed, at the latest after a minute.
"""

import asyncio
import signal
import socket
import sys
from collections.abc import Iterator

import msgspec

MAX_SECONDS = 60
"""Time after which the program ends in any case."""

BODY_BYTES = 4 * 1024 * 1024
"""Largest body that the default limits of a deployment allow."""

PIECE_BYTES = 16_384
PIECE_SECONDS = 0.002
STALL_SECONDS = 5.0
"""Seconds without any byte taken after which a client counts as held up and stops sending."""


class CrowdPlan(msgspec.Struct, kw_only=True):
    """What a crowd does.

    Attributes:
        kind: Name of a function of ``KINDS``.
        host: IP address of the server.
        port: Its port.
        path: Path that is requested.
        key: API key, empty to send none.
        clients: Connections at one time.
        returns: How often a client comes back after the server has closed its connection.
        gap: Seconds between the starts of two clients.
    """

    kind: str
    host: str
    port: int
    path: str
    clients: int
    key: str = ""
    returns: int = 0
    gap: float = 0.0


def _head(plan: CrowdPlan, *lines: str, method: str = "POST") -> bytes:
    head = [f"{method} {plan.path} HTTP/1.1", "Host: soak.example"]
    head += [f"Authorization: Bearer {plan.key}"] if plan.key else []
    head += ["Carawayhub-Request-Id: crowd", "Carawayhub-Request-Deadline: 60000", *lines]
    return "\r\n".join(head).encode() + b"\r\n"


def head_lines(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a head without end, of short lines."""
    yield _head(plan)
    for _ in range(4):
        yield b"a:b\r\n" * (1024 * 1024 // 20)


def long_header(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a head without end, of one long line."""
    yield _head(plan) + b"x: "
    for _ in range(8):
        yield b"y" * 131_072


def large_head(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a complete head far over the limit."""
    yield _head(plan) + b"a:b\r\n" * 40_000 + b"\r\n"


def empty_lines(plan: CrowdPlan) -> Iterator[bytes]:
    """Send empty lines in place of a request."""
    for _ in range(16):
        yield b"\r\n" * 65_536


def empty_line(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a single empty line and nothing more."""
    yield b"\r\n"


def trailers(plan: CrowdPlan) -> Iterator[bytes]:
    """Send trailers without end behind a chunked body."""
    yield _head(plan, "Transfer-Encoding: chunked", "") + b"1\r\nx\r\n0\r\n"
    for _ in range(8):
        yield b"t:v\r\n" * 13_000


def chunk_extension(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a chunk whose size line does not end."""
    yield _head(plan, "Transfer-Encoding: chunked", "") + b"1;x="
    for _ in range(16):
        yield b"y" * 131_072


def whole_body(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a large body at once, but for its last byte."""
    yield _head(plan, f"Content-Length: {BODY_BYTES}", "") + b"x" * (BODY_BYTES - 1)


def body_in_pieces(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a large body piece by piece, but for its last byte."""
    yield _head(plan, f"Content-Length: {BODY_BYTES}", "")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        yield b"x" * PIECE_BYTES
    yield b"x" * (PIECE_BYTES - 1)


def chunked_body(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a large body in chunks, but for its end."""
    yield _head(plan, "Transfer-Encoding: chunked", "")
    for _ in range(BODY_BYTES // PIECE_BYTES):
        yield b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n"


def endless_body(plan: CrowdPlan) -> Iterator[bytes]:
    """Send a chunked body far over the limit."""
    yield _head(plan, "Transfer-Encoding: chunked", "")
    for _ in range(16):
        yield b"%x\r\n" % BODY_BYTES + b"x" * BODY_BYTES + b"\r\n"


def pipelined(plan: CrowdPlan) -> Iterator[bytes]:
    """Send many small requests without reading an answer."""
    for _ in range(8):
        yield (_head(plan, "", method="GET")) * 500


def unread_answers(plan: CrowdPlan) -> Iterator[bytes]:
    """Send one complete request and never read its answer."""
    yield _head(plan, "Content-Length: 1", "") + b"x"


def silent(plan: CrowdPlan) -> Iterator[bytes]:
    """Connect and send nothing."""
    yield from ()


def half_head(plan: CrowdPlan) -> Iterator[bytes]:
    """Send the beginning of a head and nothing more."""
    yield _head(plan)


KINDS = {
    each.__name__: each
    for each in (
        head_lines,
        long_header,
        large_head,
        empty_lines,
        empty_line,
        trailers,
        chunk_extension,
        whole_body,
        body_in_pieces,
        chunked_body,
        endless_body,
        pipelined,
        unread_answers,
        silent,
        half_head,
    )
}


class _Client:
    """One client of the crowd; it never reads what it is sent."""

    def __init__(self, plan: CrowdPlan) -> None:
        self._plan = plan
        self._sock: socket.socket | None = None

    async def run(self, number: int) -> None:
        """Send everything, and come back as often as the plan says."""
        await asyncio.sleep(number * self._plan.gap)
        for _ in range(self._plan.returns + 1):
            if await self._send_all():
                return

    async def _send_all(self) -> bool:
        """Return whether the connection was still open at the end."""
        loop = asyncio.get_running_loop()
        self._sock = sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, (self._plan.host, self._plan.port))
            for data in KINDS[self._plan.kind](self._plan):
                async with asyncio.timeout(STALL_SECONDS):
                    await loop.sock_sendall(sock, data)
                await asyncio.sleep(PIECE_SECONDS)
        except TimeoutError:
            return True
        except OSError:
            sock.close()
            return False
        return True


async def main(plan: CrowdPlan) -> None:
    """Run a crowd until standard input is closed."""
    clients = [_Client(plan) for _ in range(plan.clients)]
    await asyncio.gather(*(each.run(number) for number, each in enumerate(clients)))
    print("settled", flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    signal.alarm(MAX_SECONDS)
    asyncio.run(main(msgspec.json.decode(sys.argv[1], type=CrowdPlan)))
