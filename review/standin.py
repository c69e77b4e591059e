"""Parts that the stand-ins of all cases share: an HTTP/1.1 server, the platform's store, processes.

Only the standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
CONTRACTS = json.dumps(
    [
        "base",
        "drain",
        "config",
        "cost",
        "retry",
        "recover",
        "engine",
        "stream",
        "tenants",
        "platform",
        "experts",
    ]
)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played to its end."""


class Record:
    """Writes what happened to ``record.txt``, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()
        self("trouble" if TROUBLE else "no trouble (TROUBLE=0)")

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._started_at:8.3f}  {text}\n")
        self._file.flush()


class Request:
    """A request that was read completely."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method, self.target, self.path = method, target, parts.path
        self.query = {name: found[0] for name, found in parse_qs(parts.query).items()}
        self.headers, self.body = headers, body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection, None at its end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(" ", 2)
    try:
        return Request(method, target, headers, await read_body(reader, headers))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def answer(status: int, body: bytes, *headers: tuple[str, str]) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(status: int, value: object) -> bytes:
    """Return the bytes of an answer with a JSON body."""
    return answer(status, json.dumps(value).encode(), ("Content-Type", "application/json"))


class Store:
    """The platform's store: listings and watches."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: object) -> None:
        """Write a value."""
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        created = self._items.get(key, {}).get("CreatedRev", self.revision)
        item = {"Key": key, "Value": text, "Rev": self.revision, "CreatedRev": created, "Lease": 0}
        self._items[key] = item
        self._events.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    def remove(self, key: str) -> None:
        """Remove a key."""
        del self._items[key]
        self.revision += 1
        self._events.append({"Key": key, "Rev": self.revision, "Deleted": True})
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection."""
        while (req := await read_request(reader)) is not None:
            writer.write(json_answer(200, await self._answer(req)))
            await writer.drain()

    async def _answer(self, req: Request) -> dict:
        if req.path == "/v1/kv-range":
            prefix, after = req.query.get("Prefix", ""), req.query.get("After", "")
            keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
            items = [self._items[key] for key in keys]
            return {"Items": items, "HasMore": False, "CurrentRev": self.revision}
        after = int(req.query.get("After", "0"))
        ends_at = time.monotonic() + int(req.query.get("WaitMs", "0")) / 1000
        while self.revision <= after and (left := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        events = [each for each in self._events if each["Rev"] > after]
        return {"events": events, "CurrentRev": self.revision}


class Servers:
    """Listening sockets of stand-ins, closed at the end."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []

    async def listen(self, host: str, handler, port: int = 0) -> str:
        """Serve on a free port; return its address."""

        async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                await handler(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(guarded, host, port)
        self._servers.append(server)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Stop listening."""
        for each in self._servers:
            each.close()


class Directory:
    """What one caller knows of the entries; it asks, and keeps and excludes, as the pages say.

    Args:
        addresses: Addresses of the daemons that serve the directory.
    """

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses
        self._known: list[str] = []
        self._failed: set[str] = set()
        self._until = 0.0

    async def entries(self) -> list[str]:
        """Return the entries to use, those that failed left out."""
        if time.monotonic() >= self._until:
            for each in random.sample(self._addresses, min(3, len(self._addresses))):
                try:
                    found = await asyncio.wait_for(self._ask(each), 1.0)
                except (OSError, TimeoutError, ValueError, KeyError, TypeError):
                    continue
                if found["Addrs"]:
                    self._known, self._failed = found["Addrs"], set()
                    self._until = time.monotonic() + min(5.0, found["TtlS"])
                    break
        return [each for each in self._known if each not in self._failed]

    def failed(self, address: str) -> None:
        """Leave an entry out until the next answer of the directory."""
        self._failed.add(address)

    async def _ask(self, address: str) -> dict:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            path = "/v1/resolve?Name=a.example&Region=r1&Zone=z1"
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode())
            found = await read_head(reader)
            if found is None:
                raise ConnectionResetError
            return json.loads(await read_body(reader, found[1]))
        finally:
            writer.close()


class Daemon:
    """A program of the project, started by the command of the deploy file."""

    def __init__(self, role: str, name: str, settings: str, folder: Path) -> None:
        self.name = name
        self._role = role
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(settings, encoding="utf-8")
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it."""
        path = f"{ROOT / 'target' / 'deps'}{os.pathsep}{ROOT}"
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        env |= {"PYTHONPATH": path, "CARAWAYHUB_BOOT": str(self._settings)}
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "carawayhub.platform", self._role],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=env,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End it."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def check_running(self) -> None:
        """Raise if it has ended by itself."""
        if self.process is not None and self.process.poll() is not None:
            tail = self._log.read_text(errors="replace")[-800:]
            raise CannotRunError(f"{self.name} ended with {self.process.returncode}: {tail}")

    def log(self) -> str:
        """Return what it has written."""
        return self._log.read_text(errors="replace")


def subnet() -> str:
    """Return the first three numbers of loopback addresses that no other run is likely to use."""
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"


def settings(name: str, ip: str, store: str, zone: str = "z1", **tables: str) -> str:
    """Return a settings file with the bounds of the small deployments.

    Args:
        name: Name of the machine.
        ip: Its address.
        store: Address of the store.
        zone: Its zone.
        tables: ``top`` and ``listen`` hold further lines of the top level and of ``ListenAddrs``.
    """
    return f"""Node = "{name}"
Ip = "{ip}"
Zone = "{zone}"
Region = "r1"
PortRange = [7340,7355]
FirstStart = true
LossCounted = false
Discovery = "platform"
Entry = "directory"
BeatIntervalMs = 1200
Contracts = {CONTRACTS}
{tables.get("top", "")}
[Zones]
z1 = "r1"
[ListenAddrs]
{tables.get("listen", "")}
[Limits]
CpuShare = 0.645
Cores = 1
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
StretchMaxMs = 5000
StrictRevoke = true
RevokeMs = 5000
BudgetRatio = 0.2
BudgetWindowS = 10
BudgetExtra = 90
RecoverS = 12
PassMs = 120
AgainS = 0
stall_ms = 1500
RequireFence = false
ttl_max_s = 5
[Platform]
Address = "{store}"
form = "read"
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"""


def play(case, limit: float) -> None:
    """Play a case and exit with its result.

    Args:
        case: Coroutine function that takes the record, a folder, servers and a list of daemons to
            end, and returns whether the rule was broken.
        limit: Most seconds that it may take.
    """
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    servers, daemons = Servers(), []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def main(logs: Path) -> bool:
        try:
            return await asyncio.wait_for(case(record, logs, servers, daemons), limit)
        finally:
            servers.close()

    with tempfile.TemporaryDirectory() as logs:
        try:
            broken = asyncio.run(main(Path(logs)))
        except (CannotRunError, TimeoutError, OSError) as exc:
            record(f"could not run: {exc!r}")
            print(f"could not run: {exc!r}")
            sys.exit(NOT_RUN)
        finally:
            for each in daemons:
                each.end()
    verdict = "rule broken" if broken else "rule held"
    record(verdict)
    print(verdict)
    sys.exit(BROKEN if broken else HELD)
