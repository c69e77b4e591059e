"""Stand-ins for the scripts of the second review: store, replicas, callers and entry processes.

Only the standard library is used, so that nothing here depends on the code under review.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "cafe.example"
KEY = "n2ctnfzs989anu6wsjnb"
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "StableWindowMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "DowngradeSlackMs": 250,
    "StretchMaxMs": 5000,
    "StrictRevoke": True,
    "RevokeMs": 5000,
    "BudgetRatio": 0.2,
    "BudgetWindowS": 10,
    "BudgetExtra": 88,
    "RecoverS": 12,
    "PassMs": 120,
    "AgainS": 0,
    "stall_ms": 1500,
    "RequireFence": False,
    "ttl_max_s": 5,
}


class CannotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began

    def __call__(self, kind: str, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write and print a note."""
        self("note", text=repr(text))
        print(text, flush=True)


# HTTP/1.1, as far as the pages use it.


class Message:
    """Head and body of a request or an answer."""

    def __init__(self, first: str, headers: list[tuple[str, str]]) -> None:
        self.first = first
        self.headers = headers
        self.body = b""
        self.complete = False

    def get(self, name: str, default: str = "") -> str:
        """Return the first header of a name."""
        return next((value for key, value in self.headers if key == name.lower()), default)


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, [(name.strip().lower(), value.strip()) for name, _, value in pairs])


async def read_body(
    message: Message, reader: asyncio.StreamReader, *, until_end: bool = False
) -> None:
    """Read the body; ``complete`` tells whether it ended as its head says."""
    try:
        if "chunked" in message.get("transfer-encoding"):
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                message.body += await reader.readexactly(size)
                await reader.readexactly(2)
            while (await reader.readuntil(b"\r\n")) != b"\r\n":
                pass
        elif message.get("content-length"):
            message.body = await reader.readexactly(int(message.get("content-length")))
        elif until_end:
            while part := await reader.read(65536):
                message.body += part
        message.complete = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as exc:
        message.body += getattr(exc, "partial", b"")


# The store.


class Store:
    """The platform's store: listings, watches, revisions."""

    def __init__(self) -> None:
        self.revision = 100
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any) -> None:
        """Write a value; the write is acknowledged when this returns."""
        self.revision += 1
        known = self._items.get(key)
        item = {
            "Key": key,
            "Value": base64.b64encode(json.dumps(value).encode()).decode(),
            "Rev": self.revision,
            "CreatedRev": known["CreatedRev"] if known else self.revision,
            "Lease": 0,
        }
        self._items[key] = item
        self._publish(item)

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._publish({"Key": key, "Rev": self.revision, "Deleted": True})

    def _publish(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, host: str) -> int:
        """Serve on a free port and return it."""
        server = await asyncio.start_server(self._connection, host, 0)
        return server.sockets[0].getsockname()[1]

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                await read_body(request, reader)
                url = urlsplit(request.first.split(" ")[1])
                query = {name: found[0] for name, found in parse_qs(url.query).items()}
                status, content = await self._answer(url.path, query)
                data = json.dumps(content).encode()
                head = (
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        if path == "/v1/kv-range":
            prefix, after = query.get("Prefix", ""), query.get("After", "")
            items = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(prefix) and key > after
            ]
            return 200, {"Items": items, "HasMore": False, "CurrentRev": self.revision}
        if path == "/v1/kv-key":
            item = self._items.get(query.get("Key", ""))
            return (200, item | {"CurrentRev": self.revision}) if item else (404, {})
        if path != "/v1/kv-watch":
            return 404, {}
        after, prefix = int(query.get("After", 0)), query.get("Prefix", "")
        until = time.monotonic() + int(query.get("WaitMs", 0)) / 1000

        def found() -> list[dict[str, Any]]:
            return [e for e in self._events if e["Rev"] > after and e["Key"].startswith(prefix)]

        while not found() and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        return 200, {"events": found(), "CurrentRev": self.revision}


# Replicas.


class Replica:
    """A replica: runs requests in its slots, refuses what it has no slot for.

    Attributes:
        name: Its id.
        work: Seconds for a plain answer.
        events: Events of a stream, 0 for plain answers.
        pause: Seconds between two events.
        framed: Whether answers have a length or chunks; otherwise they end with their connection.
        stated: Headers that it adds to all its answers.
        report: Called with what happens here.
        versions: Version of its weights, 0 for none.
    """

    def __init__(
        self,
        name: str,
        report: Callable[..., None],
        *,
        work: float = 0.02,
        events: int = 0,
        pause: float = 0.0,
        framed: bool = True,
        slots: int = 6,
        version: int = 0,
    ) -> None:
        self.name = name
        self.report = report
        self.work, self.events, self.pause = work, events, pause
        self.framed, self.slots, self.version = framed, slots, version
        self.stated: Callable[[], list[tuple[str, str]]] = list
        self.busy = 0
        self.port = 0

    async def serve(self, host: str, port: int = 0) -> None:
        """Serve on a port, 0 for a free one."""
        server = await asyncio.start_server(self._connection, host, port, backlog=200)
        self.port = server.sockets[0].getsockname()[1]

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        peer = writer.get_extra_info("peername")[0]
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_head(reader)) is not None:
                await read_body(request, reader)
                run = asyncio.ensure_future(self._answer(request, writer, peer))
                gone = asyncio.ensure_future(_wait_for_end(reader))
                await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
                gone.cancel()
                if not run.done():
                    # The caller has closed its connection, so the work is dropped.
                    run.cancel()
                    break
                if not run.result() or request.get("connection") == "close":
                    break
        writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter, peer: str) -> bool:
        """Answer a request; return whether the connection stays open."""
        rid = request.get("carawayhub-request-id")
        head = [("Carawayhub-Request-Id", rid), *self.stated()]
        refusal = None
        expected = request.get("carawayhub-expect-version")
        is_other = request.get("carawayhub-expect-instance", self.name) != self.name
        if is_other or (expected and self.version and expected != str(self.version)):
            refusal = 421
        elif not rid:
            refusal = 400
        elif self.busy >= self.slots:
            refusal = 503
        if refusal is not None:
            self.report("refused", id=rid, replica=self.name, entry=peer, status=refusal)
            head += [("Carawayhub-Not-Executed", "1"), ("At-Server", self.name)]
            await _write(writer, refusal, head, b"{}")
            return True
        self.report("run", id=rid, replica=self.name, entry=peer)
        head.append(("Carawayhub-Response-Seal", f"{self.name}.{rid}"))
        if self.version:
            head.append(("Carawayhub-Weight-Versions", str(self.version)))
        self.busy += 1
        try:
            if self.events:
                await self._stream(request, writer, head)
            else:
                await asyncio.sleep(self.work)
                await _write(writer, 200, head, b"answer " + rid.encode(), framed=self.framed)
        finally:
            self.busy -= 1
        self.report("ran", id=rid, replica=self.name)
        return self.framed

    async def _stream(
        self, request: Message, writer: asyncio.StreamWriter, head: list[tuple[str, str]]
    ) -> None:
        framing = [("Transfer-Encoding", "chunked")] if self.framed else [("Connection", "close")]
        lines = [*head, ("Content-Type", "text/event-stream"), *framing]
        text = "".join(f"{name}: {value}\r\n" for name, value in lines)
        writer.write(f"HTTP/1.1 200 OK\r\n{text}\r\n".encode())
        for number in range(int(request.get("last-event-id", "0") or 0) + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, self.events)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framed else event)
            await writer.drain()
        if self.framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    """Return when the peer has closed its connection; it sends nothing before the answer."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.02)


async def _write(
    writer: asyncio.StreamWriter,
    status: int,
    head: list[tuple[str, str]],
    body: bytes,
    *,
    framed: bool = True,
) -> None:
    framing = ("Content-Length", str(len(body))) if framed else ("Connection", "close")
    text = "".join(f"{name}: {value}\r\n" for name, value in [*head, framing])
    writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: text/plain\r\n{text}\r\n".encode() + body)
    await writer.drain()


_BORN: dict[tuple[str, int], int] = {}


def registration(
    service: str, host: str, port: int, *, state: str = "ready", zone: str = "z1"
) -> dict[str, Any]:
    """Return the entry that a replica writes to the store; each address is one start of one."""
    return {
        "Service": service,
        "Address": f"{host}:{port}",
        "Zone": zone,
        "Version": "v1",
        "Slots": 6,
        "State": state,
        "ColdLeftMs": 0,
        "Seq": 1,
        "born": _BORN.setdefault((host, port), int(time.time() * 1000)),
    }


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 8000,
        "FullCreditMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
    } | fields


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    services = sorted({each["Service"] for each in routes})
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": name, "HealthPath": "/health", "MaxConns": 200} for name in services],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hule930", "Keys": [KEY]}],
    }


# Processes.


class Lab:
    """A small deployment on loopback addresses of its own."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.processes: list[subprocess.Popen[bytes]] = []
        self._copies: list[asyncio.Future[None]] = []
        self._temp = tempfile.TemporaryDirectory(prefix="review2-")
        self.temp = Path(self._temp.name)
        self.subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.base = random.randint(200, 290) * 100
        self.store_host = f"{self.subnet}.200"
        self.store_port = 0
        self.entries: list[str] = []
        self._settings: dict[str, Path] = {}

    def replica_host(self, number: int) -> str:
        """Return the address of a replica."""
        return f"{self.subnet}.{100 + number}"

    async def start_store(self, config: dict[str, Any]) -> None:
        """Start the store with a first configuration."""
        self.store.put("op/config", config)
        self.store_port = await self.store.serve(self.store_host)

    async def start_entries(self, count: int, **bounds: Any) -> None:
        """Start entries with the command of the deploy file and wait until they are ready."""
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build of the deploy file first")
        self.entries = [f"{self.subnet}.{10 + number}" for number in range(count)]
        for ip in self.entries:
            self._settings[ip] = self.temp / f"{ip}.toml"
            self._settings[ip].write_text(self._settings_text(ip, BOUNDS | bounds))
            self.start_entry(ip)
        await self.wait_ready(self.entries)

    def start_entry(self, ip: str) -> subprocess.Popen[bytes]:
        """Start an entry, without waiting until it is ready."""
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CARAWAYHUB_BOOT": str(self._settings[ip]),
        }
        log = (self.temp / f"{ip}.log").open("ab")
        process = subprocess.Popen(
            ["python3", "-m", "carawayhub.platform", "entry"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.processes.append(process)
        self.record("start", entry=ip, pid=process.pid)
        return process

    async def wait_ready(self, ips: list[str], seconds: float = 25.0) -> None:
        """Wait until entries say that they are ready."""
        until = time.monotonic() + seconds
        waiting = set(ips)
        while waiting:
            if time.monotonic() > until:
                raise CannotRunError(f"not ready in time: {sorted(waiting)}")
            for ip in sorted(waiting):
                if await self._is_ready(ip):
                    waiting.discard(ip)
                    self.record("ready", entry=ip)
            await asyncio.sleep(0.1)

    async def _is_ready(self, ip: str) -> bool:
        try:
            reader, writer = await asyncio.open_connection(ip, self.base + 20)
        except OSError:
            return False
        writer.write(f"GET /v1/ready HTTP/1.1\r\nHost: {ip}\r\nConnection: close\r\n\r\n".encode())
        answer = await read_head(reader)
        writer.close()
        return answer is not None and " 200" in answer.first

    async def start_replica(
        self, name: str, host: str, port: int = 0, **options: Any
    ) -> tuple[subprocess.Popen[bytes], int]:
        """Start a replica as a process; return it and its port."""
        words = [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        process = subprocess.Popen(
            [sys.executable, str(Path(__file__)), name, host, str(port), *words],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        assert process.stdout is not None
        lines = asyncio.StreamReader()
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(lines), process.stdout)
        try:
            first = await asyncio.wait_for(lines.readline(), 10.0)
            bound = int(json.loads(first)["port"])
        except (TimeoutError, ValueError, KeyError) as exc:
            raise CannotRunError(f"replica {name} did not start") from exc
        self.record("start", replica=name, address=f"{host}:{bound}", pid=process.pid)
        self._copies.append(asyncio.ensure_future(self._copy(lines)))
        return process, bound

    async def _copy(self, lines: asyncio.StreamReader) -> None:
        while line := await lines.readline():
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                self.record(fields.pop("what"), **fields)
                self.on_report(fields)

    def on_report(self, fields: dict[str, Any]) -> None:
        """Called with what replicas in other processes report."""

    def kill(self, process: subprocess.Popen[bytes], name: str) -> None:
        """Kill a process and wait for its end."""
        process.send_signal(signal.SIGKILL)
        process.wait()
        self.record("killed", name=name)

    def end(self) -> None:
        """End all processes that were started here."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for each in self.temp.glob("*.log"):
                (Path(keep) / each.name).write_bytes(each.read_bytes())
        self._temp.cleanup()

    def _settings_text(self, ip: str, bounds: dict[str, Any]) -> str:
        seeds = json.dumps([f"{each}:{self.base + 29}" for each in self.entries[:3]])
        lines = "\n".join(f"{name} = {json.dumps(value)}" for name, value in bounds.items())
        return f"""
Node = "front-{ip}"
Role = "entry"
MachineClass = "front"
Serves = ["front", "control", "directory"]
Ip = "{ip}"
Zone = "z1"
Region = "r1"
PortRange = [{self.base + 40},{self.base + 55}]
Seeds = {seeds}
FirstStart = true
LossCounted = false
Discovery = "platform"
Entry = "directory"
BeatIntervalMs = 1200
Contracts = [
    "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"
]
[Zones]
z1 = "r1"
[ListenAddrs]
Front = "{ip}:{self.base + 27}"
Ready = "{ip}:{self.base + 20}"
Control = "{ip}:{self.base + 29}"
Directory = "{ip}:{self.base + 24}"
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4200
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
{lines}
[Platform]
Address = "{self.store_host}:{self.store_port}"
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


# Callers.


class Answer:
    """What a caller got for one request.

    Attributes:
        status: HTTP status, 0 for none.
        complete: Whether the answer ended as its head says.
    """

    def __init__(self, rid: str) -> None:
        self.id = rid
        self.status = 0
        self.complete = False
        self.body = b""
        self.sealed = False
        self.code = ""
        self.sent_at = 0.0
        self.retry_after = 0.0


class Caller:
    """Sends requests, each on a new connection to an entry that the directory names."""

    def __init__(self, lab: Lab) -> None:
        self.lab = lab
        self.answers: list[Answer] = []
        self._number = 0
        self._named: list[str] = []
        self._named_until = 0.0

    async def _choose(self, wanted: str) -> str:
        """Return the wanted entry if the directory names it, else another one that it names.

        An answer is kept for the time that it states, and longer if there is no new one.
        """
        if time.monotonic() >= self._named_until:
            self._named_until = time.monotonic() + 0.2
            for ip in self.lab.entries:
                if found := await self._resolve(ip):
                    self._named, seconds = found
                    self._named_until = time.monotonic() + seconds
                    break
        if wanted in self._named or not self._named:
            return wanted
        return random.choice(self._named)

    async def _resolve(self, ip: str) -> tuple[list[str], float] | None:
        """Ask the directory of an entry; return what it names and for how long."""
        try:
            reader, writer = await asyncio.open_connection(ip, self.lab.base + 24)
            writer.write(
                f"GET /v1/resolve?Name={HOST}&Region=r1&Zone=z1 HTTP/1.1\r\nHost: {ip}\r\n"
                "Connection: close\r\n\r\n".encode()
            )
            answer = await asyncio.wait_for(read_head(reader), 1.0)
            if answer is None or " 200" not in answer.first:
                return None
            await read_body(answer, reader)
            writer.close()
            content = json.loads(answer.body)
            named = [each.rpartition(":")[0] for each in content["Addrs"]]
            return (named, min(float(content["TtlS"]), 5.0)) if named else None
        except (TimeoutError, OSError, ValueError, KeyError):
            return None

    async def send(
        self,
        entry: str,
        path: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1500,
        extra: str = "",
    ) -> Answer:
        """Send a request and return what came back."""
        entry = await self._choose(entry)
        self._number += 1
        rid = f"{random.getrandbits(32):08x}{self._number:06x}"
        answer = Answer(rid)
        answer.sent_at = self.lab.record.now()
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nCarawayhub-Request-Id: {rid}\r\n"
            f"Carawayhub-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            f"{length}{extra}\r\n"
        )
        self.lab.record("sent", id=rid, entry=entry, request=f"{method}:{path}")
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(
                self._exchange(entry, head.encode() + body, answer), deadline_ms / 1000 + 1.0
            )
        self.answers.append(answer)
        self.lab.record(
            "answered",
            id=rid,
            status=answer.status,
            complete=answer.complete,
            sealed=answer.sealed,
            bytes=len(answer.body),
            code=answer.code or "-",
        )
        return answer

    async def _exchange(self, entry: str, data: bytes, answer: Answer) -> None:
        reader, writer = await asyncio.open_connection(entry, self.lab.base + 27)
        try:
            writer.write(data)
            await writer.drain()
            message = await read_head(reader)
            if message is None:
                return
            answer.status = int(message.first.split(" ")[1])
            answer.sealed = bool(message.get("carawayhub-response-seal"))
            answer.retry_after = float(message.get("retry-after", "0") or 0)
            await read_body(message, reader, until_end=True)
            answer.body, answer.complete = message.body, message.complete
            if not answer.sealed:
                with contextlib.suppress(ValueError, KeyError, TypeError):
                    answer.code = str(json.loads(answer.body)["error"]["code"])
        finally:
            writer.close()


def main(folder: Path, case: Callable[[Lab], Awaitable[int]]) -> None:
    """Run a case and exit with its status."""
    lab = Lab(folder)
    status = NOT_RUN
    try:
        status = asyncio.run(asyncio.wait_for(case(lab), 110.0))
    except CannotRunError as exc:
        lab.record.say(f"could not run: {exc}")
    except (TimeoutError, OSError) as exc:
        lab.record.say(f"could not run: {exc!r}")
    finally:
        lab.end()
    lab.record.say(f"status {status}")
    sys.exit(status)


async def _run_replica(options: argparse.Namespace) -> None:
    def report(what: str, **fields: Any) -> None:
        print(json.dumps({"what": what} | fields), flush=True)

    replica = Replica(
        options.name,
        report,
        work=options.work,
        events=options.events,
        pause=options.pause,
        framed=bool(options.framed),
        version=options.version,
    )
    await replica.serve(options.host, options.port)

    def leave() -> None:
        replica.stated = lambda: [("Server-Leaving", "1")]

    # A replica that reports that it leaves says so in its answers too.
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leave)
    report("listens", port=replica.port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("name")
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("--work", type=float, default=0.02)
    parser.add_argument("--events", type=int, default=0)
    parser.add_argument("--pause", type=float, default=0.0)
    parser.add_argument("--framed", type=int, default=1)
    parser.add_argument("--version", type=int, default=0)
    asyncio.run(_run_replica(parser.parse_args()))
