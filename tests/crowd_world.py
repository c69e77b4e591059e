"""One process of the product as clients reach it, and what a crowd of clients costs it."""

import os
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import anyio
import msgspec

from carawayhub.entry.calls import Receive, Send
from carawayhub.platform.headers import REQUEST_ID, SEAL
from carawayhub.platform.settings import SETTINGS_VARIABLE
from carawayhub.platform.standin_store import StandinStore
from carawayhub.platform.standins import configuration, registration
from carawayhub.standins.web import serving
from tests.crowd import CrowdPlan
from tests.processes import ProcessHandle

KEY = "k1"
ANSWER_BYTES = 12 * 1024 * 1024
"""Size of a large answer; the sockets between an entry and a caller hold a part of it."""
FRONT, READY, DIRECTORY, METRICS = 29227, 29220, 29224, 9464
SAMPLE_SECONDS = 0.02
LISTEN_STATE = "0A"
"""State of a listening socket in ``/proc/net/tcp``, whose queue holds no bytes."""

HANG_SECONDS = 50.0
"""Time after which a process that has not answered counts as hung."""

RETRY_SECONDS = 0.25
ANSWER_SECONDS = 5.0
RESERVED_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files; sockets take the others."""


@dataclass(slots=True)
class Peaks:
    """The most that a process has held at one time.

    Attributes:
        memory: Resident memory and received bytes that were not read, in bytes.
        sockets: Open sockets.
    """

    memory: int = 0
    sockets: int = 0


@dataclass(slots=True)
class Daemon:
    """A process of the product and its resources.

    Attributes:
        handle: The process.
        ip: IP address that it alone listens at.
        unread: Most received bytes seen in its sockets at one time.
        peak_sockets: Most open sockets seen.
    """

    handle: ProcessHandle
    ip: str
    unread: int = 0
    peak_sockets: int = 0

    def sockets(self) -> int:
        """Return the number of sockets that the process has open."""
        folder = f"/proc/{self.handle.pid}/fd"
        return sum(_is_socket(f"{folder}/{each}") for each in os.listdir(folder))

    def peaks(self) -> Peaks:
        """Return the peaks since the process started."""
        lines = Path(f"/proc/{self.handle.pid}/status").read_text().splitlines()
        resident = next(int(line.split()[1]) for line in lines if line.startswith("VmHWM"))
        return Peaks(resident * 1024 + self.unread, self.peak_sockets)

    async def watch(self) -> None:
        """Note peaks that the kernel does not keep, until cancelled."""
        while True:
            self.sample()
            await anyio.sleep(SAMPLE_SECONDS)

    def sample(self) -> None:
        """Note what the process holds now."""
        if self.handle.running:
            self.unread = max(self.unread, _unread_bytes(self.ip))
            self.peak_sockets = max(self.peak_sockets, self.sockets())


def _is_socket(path: str) -> bool:
    try:
        return os.readlink(path).startswith("socket:")
    except FileNotFoundError:
        return False


def _unread_bytes(ip: str) -> int:
    """Return the bytes that connections to an address have received and nobody has read."""
    wanted = "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(wanted) and fields[3] != LISTEN_STATE:
            total += int(fields[4].partition(":")[2], 16)
    return total


@asynccontextmanager
async def crowd_of(plan: CrowdPlan) -> AsyncIterator[None]:
    """Run a crowd; its clients have sent everything, and stay, while the ``with`` runs."""
    command = [sys.executable, "-m", "tests.crowd", msgspec.json.encode(plan).decode()]
    process = subprocess.Popen(
        command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=Path(__file__).parent.parent
    )
    try:
        assert process.stdout is not None
        line = await anyio.to_thread.run_sync(process.stdout.readline)
        assert line == b"settled\n", "the crowd did not settle"
        yield
    finally:
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout):
            assert pipe is not None
            pipe.close()


async def ask(ip: str, port: int, head: str, body: bytes = b"", piece: int = 0) -> int:
    """Send one request on a new connection and return the status of its answer, 0 without one.

    Args:
        ip: Address of the process.
        port: Its port.
        head: Request line and headers, without the length of the body.
        body: The body.
        piece: Size of the pieces in which the body is sent, 0 to send it at once.
    """
    data = f"{head}Host: soak.example\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    size = piece or max(1, len(body))
    pieces = [body[at : at + size] for at in range(0, len(body), size)]
    found = b""
    try:
        with anyio.fail_after(ANSWER_SECONDS):
            async with await anyio.connect_tcp(ip, port) as stream:
                await stream.send(data)
                for each in pieces:
                    await stream.send(each)
                    if piece:
                        await anyio.sleep(0.001)
                while b"\r\n" not in found:
                    found += await stream.receive()
    except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        return 0
    return int(found.split()[1])


async def ask_until_answered(ip: str, port: int, head: str, body: bytes = b"") -> None:
    """Send an ordinary request, again after a refusal, until it is served.

    Raises:
        TimeoutError: It was never served.
    """
    with anyio.fail_after(HANG_SECONDS):
        while await ask(ip, port, head, body) != 200:
            await anyio.sleep(RETRY_SECONDS)


class Replica:
    """A replica that answers at once; below ``/plain/large/`` with a large body."""

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer one request."""
        while (await receive()).get("more_body"):
            pass
        headers = dict(scope["headers"])
        size = ANSWER_BYTES if scope["path"].startswith("/plain/large/") else 2
        head = [
            (REQUEST_ID, headers.get(REQUEST_ID, b"")),
            (SEAL, b"i-1"),
            (b"content-length", b"%d" % size),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": head})
        await send({"type": "http.response.body", "body": b"x" * size})


def _own_address() -> str:
    """Return a loopback address of this process alone: programs listen on fixed ports."""
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{1 + number % 250}.31"


@dataclass(slots=True, kw_only=True)
class PlatformWorld:
    """An entry or an agent of the platform, with a store and a replica.

    Attributes:
        role: ``entry`` or ``agent``.
        memory_mb: Memory of its machine in megabytes.
        descriptors: Descriptors that it may have open.
        daemon: The process.
    """

    role: str
    memory_mb: int
    descriptors: int
    folder: Path = field(default_factory=Path)
    ip: str = field(default_factory=_own_address)
    daemon: Daemon = field(init=False)

    def start(self, store: str, replica: str) -> None:
        """Start the process."""
        path = self.folder / "local.toml"
        path.write_text(self._settings(store, replica))
        self.daemon = Daemon(
            ProcessHandle(
                self.role,
                ["carawayhub.platform", self.role],
                self.folder / "daemon.log",
                env={SETTINGS_VARIABLE: str(path)},
            ),
            self.ip,
        )
        self.daemon.handle.start()

    def _settings(self, store: str, replica: str) -> str:
        listen = f'Front = "{self.ip}:{FRONT}"\nReady = "{self.ip}:{READY}"\n'
        listen += f'Directory = "{self.ip}:{DIRECTORY}"'
        return f"""
Node = "{self.ip}"
Ip = "{self.ip}"
Zone = "z1"
Region = "r1"
PortRange = [29340,29350]
Seeds = ["{self.ip}:29229"]
BeatIntervalMs = 600
app = "{replica}"
Service = "plain"
[ListenAddrs]
{listen if self.role == "entry" else ""}
[Limits]
CpuShare = 1.0
Cores = 1
MemoryMb = {self.memory_mb}
MaxFds = {self.descriptors}
LinkMbps = 1000.0
[Bounds]
RevokeMs = 5000
DrainMs = 2000
GraceS = 6
[Platform]
Address = "{store}"
"""


def request_line(path: str, key: str = KEY) -> str:
    """Return the head of an ordinary request, without its length."""
    return (
        f"POST {path} HTTP/1.1\r\nCarawayhub-Request-Id: r1\r\n"
        f"Carawayhub-Request-Deadline: 4000\r\nAuthorization: Bearer {key}\r\n"
    )


@asynccontextmanager
async def platform_world(
    role: str, memory_mb: int, descriptors: int
) -> AsyncIterator[PlatformWorld]:
    """Run an entry or an agent while the ``with`` runs; an entry serves requests."""
    store = StandinStore()
    with TemporaryDirectory() as folder:
        world = PlatformWorld(
            role=role, memory_mb=memory_mb, descriptors=descriptors, folder=Path(folder)
        )
        async with (
            serving(store, "127.0.0.1:0") as store_address,
            serving(Replica(), "127.0.0.1:0") as replica,
        ):
            store.put("op/config", configuration(1, [KEY], {"/plain/": ("idempotent", "plain")}))
            store.put("servers/i-1", registration("plain", replica) | {"Slots": 64})
            world.start(store_address, replica)
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(world.daemon.watch)
                    if role == "entry":
                        await ask_until_answered(world.ip, FRONT, request_line("/plain/1"), b"x")
                    else:
                        await ask_until_answered(world.ip, METRICS, "GET /metrics HTTP/1.1\r\n")
                    yield world
                    tasks.cancel_scope.cancel()
            finally:
                world.daemon.handle.resume()
                world.daemon.handle.kill()
