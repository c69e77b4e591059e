"""A request without a limit on its answer ends the entry that takes it.

Two entries stand before three engines and three replicas of a plain service. Callers book, each on
a connection that it keeps. Some others state the largest unsigned 64-bit number as the maximum
number of output tokens of a stream. Engines reject a request that is larger than their memory. The
platform starts a process that has ended again.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import (
    TROUBLE,
    CannotRunError,
    Daemon,
    Directory,
    Record,
    Servers,
    Store,
    answer,
    json_answer,
    play,
    read_body,
    read_head,
    read_request,
    settings,
    subnet,
)

ENTRIES, REPLICAS, SLOTS = 2, 3, 6
MEMORY_TOKENS = 186_000
EVENT_TOKENS, EVENT_SECONDS, FIRST_EVENT_SECONDS = 5, 0.02, 0.08
BOOKING_SECONDS = 0.045
ROUND_TRIP_SECONDS = 0.0028
BOOKING_CALLERS, STREAM_CALLERS = 16, 4
PROMPT, USUAL_ANSWER, UNLIMITED = 1460, 80, 2**64 - 1
PAUSE_SECONDS = 0.1
RESTART_SECONDS = 0.5
ENDS_FOR_FAULT = 3
MOST_SECONDS, CALM_SECONDS = 90.0, 12.0
STREAMS, BOOKINGS, KEY = "/chat/", "/book/", "key-1"


class Replica:
    """One engine or replica of the plain service.

    Attributes:
        runs: Ids of the requests that it began to run.
    """

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.runs: set[str] = set()
        self.too_large = 0
        self._busy = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        while (req := await read_request(reader)) is not None:
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            request = req.headers.get("carawayhub-request-id", "")
            if req.headers.get("carawayhub-expect-instance") != self.instance:
                writer.write(json_answer(421, {}))
                return
            tokens = sum(map(int, req.headers.get("carawayhub-token-counts", "0").split(",")))
            names = (("Carawayhub-Request-Id", request), ("Carawayhub-Not-Executed", "1"))
            if tokens > MEMORY_TOKENS or self._busy >= SLOTS:
                self.too_large += tokens > MEMORY_TOKENS
                writer.write(answer(503, b"", *names))
                continue
            self._busy += 1
            self.runs.add(request)
            try:
                if tokens:
                    await self._stream(request, (tokens - PROMPT) // EVENT_TOKENS, writer)
                else:
                    await asyncio.sleep(BOOKING_SECONDS)
                    seal = ("Carawayhub-Response-Seal", self.instance)
                    writer.write(answer(200, b"x" * 800, names[0], seal))
            finally:
                self._busy -= 1

    async def _stream(self, request: str, events: int, writer: asyncio.StreamWriter) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"Carawayhub-Request-Id: {request}\r\nCarawayhub-Response-Seal: {self.instance}\r\n\r\n"
        )
        await asyncio.sleep(FIRST_EVENT_SECONDS)
        writer.write(head.encode())
        for number in range(1, events + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: {request}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Entry:
    """An entry that the platform starts again when it ends."""

    def __init__(self, ip: str, daemon: Daemon, record: Record) -> None:
        self.address, self.ready = f"{ip}:8227", f"{ip}:8220"
        self.daemon = daemon
        self.ends = 0
        self._record = record

    async def keep_running(self) -> None:
        """Start it, and again each time that it has ended."""
        while True:
            self.daemon.start()
            while (status := self.daemon.process.poll()) is None:
                await asyncio.sleep(0.05)
            self.ends += 1
            lines = self.daemon.log().strip().splitlines()
            error = next((each for each in reversed(lines) if "Error" in each), "")
            self._record(f"{self.daemon.name} ended by itself with status {status}: {error[-90:]}")
            await asyncio.sleep(RESTART_SECONDS)


class Callers:
    """Callers; each keeps its connection until it breaks or a request is refused.

    Attributes:
        failed: Ids of bookings that were answered 500 or whose connection ended first.
    """

    def __init__(self, directories: list[str]) -> None:
        self.bookings: Counter[str] = Counter()
        self.streams: Counter[str] = Counter()
        self.failed: list[str] = []
        self.stopped = False
        self._directories = directories
        self._number = 0

    async def run(self) -> None:
        """Send requests until stopped."""
        bookings = (self._call(self.bookings) for _ in range(BOOKING_CALLERS))
        streams = (self._call(self.streams) for _ in range(STREAM_CALLERS))
        await asyncio.gather(*bookings, *streams)

    async def _call(self, statuses: Counter[str]) -> None:
        directory = Directory(self._directories)
        writer, address = None, ""
        while not self.stopped:
            await asyncio.sleep(PAUSE_SECONDS if statuses is self.streams else 0.0)
            entries = await directory.entries()
            if writer is not None and address not in entries:
                writer.close()
                writer = None
            if not entries:
                await asyncio.sleep(PAUSE_SECONDS)
                continue
            self._number += 1
            request = f"{self._number:016x}"
            try:
                if writer is None:
                    address = random.choice(entries)
                    host, port = address.split(":")
                    reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(self._request(request, statuses is self.streams))
                status, retry_after = await self._status(reader)
            except OSError:
                status, retry_after = "connection refused or reset", 0.0
            statuses[status] += 1
            if status not in ("200", "503") and statuses is self.bookings:
                self.failed.append(request)
            if status == "200":
                continue
            if status != "503":
                directory.failed(address)
            if writer is not None:
                writer.close()
                writer = None
            await asyncio.sleep(retry_after)

    def _request(self, request: str, is_stream: bool) -> bytes:
        path, deadline, more = BOOKINGS, 1520, ""
        if is_stream:
            path, deadline = STREAMS, 8050
            output = UNLIMITED if TROUBLE else USUAL_ANSWER
            more = f"Carawayhub-Model: m\r\nCarawayhub-Token-Counts: {PROMPT},{output}\r\n"
            more += f"Carawayhub-Prompt-Prefix: 5c1e07a2:40,{request}:{PROMPT - 40}\r\n"
        return (
            f"POST {path}1 HTTP/1.1\r\nHost: a.example\r\nCarawayhub-Request-Id: {request}\r\n"
            f"Carawayhub-Request-Deadline: {deadline}\r\nAuthorization: Bearer {KEY}\r\n"
            f"{more}Content-Length: 0\r\n\r\n"
        ).encode()

    async def _status(self, reader: asyncio.StreamReader) -> tuple[str, float]:
        found = await read_head(reader)
        if found is None:
            return "closed without an answer", 0.0
        status = found[0].split(" ")[1]
        try:
            await read_body(reader, found[1])
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return f"{status} broken off", 0.0
        return status, float(found[1].get("retry-after", "0"))


def configuration() -> dict:
    """Return a configuration with one route of streams."""
    engine = {
        "Slots": SLOTS,
        "KvCapacity": MEMORY_TOKENS,
        "Stride": 5,
        "step_ms": 5.85,
        "per_seq_ms": 0.355,
        "context_per_k": 0.036,
        "read_per_s": 61200,
        "chunk": 512,
        "usual": {"prompt": 800, "answer": 140},
        "report_lag_ms": 200,
    }
    route = {
        "Name": "chat",
        "Host": "a.example",
        "Prefix": STREAMS,
        "Kind": "streaming",
        "TimeoutMs": 8000,
        "FullCreditMs": 400,
        "Priority": 1,
        "Service": "llm",
        "MaxAttempts": 2,
        "Public": False,
        "Sticky": True,
        "Resumable": True,
        "GapTargetMs": 120,
    }
    booking = {
        "Name": "book",
        "Host": "a.example",
        "Prefix": BOOKINGS,
        "Kind": "non_idempotent",
        "TimeoutMs": 800,
        "FullCreditMs": 150,
        "Priority": 2,
        "Service": "portal",
        "MaxAttempts": 1,
        "Public": False,
    }
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": 1,
        "Routes": [route, booking],
        "Services": [
            {"Name": "llm", "HealthPath": "/health", "MaxConns": 408, "Engine": engine},
            {"Name": "portal", "HealthPath": "/health", "MaxConns": 100},
        ],
        "Limits": limits,
        "Tenants": [{"Name": "t1", "Keys": [KEY]}],
    }


def registration(service: str, address: str) -> dict:
    """Return the entry of a replica in the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": "z1",
        "Version": "v1",
        "Slots": SLOTS,
        "State": "ready",
        "ColdLeftMs": 0,
        "Seq": 1,
    }


async def until_ready(address: str, daemon: Daemon) -> None:
    """Wait until an entry says that it is ready."""
    host, port = address.split(":")
    ends_at = time.monotonic() + 20.0
    while time.monotonic() < ends_at:
        daemon.check_running()
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            found = await read_head(reader)
            writer.close()
        except OSError:
            found = None
        if found is not None and found[0].split(" ")[1] == "200":
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{daemon.name} did not become ready")


async def case(record: Record, folder: Path, servers: Servers, daemons: list[Daemon]) -> bool:
    """Return whether both entries ended by themselves three times."""
    net, store = subnet(), Store()
    store.put("op/config", configuration())
    store_address = await servers.listen(f"{net}.1", store.serve)
    replicas = {}
    for service in ("llm", "portal"):
        for _ in range(REPLICAS):
            each = Replica(f"i-{len(replicas)}")
            address = await servers.listen(f"{net}.{41 + len(replicas)}", each.serve)
            replicas[each.instance] = each
            store.put(f"servers/{each.instance}", registration(service, address))
    ips = [f"{net}.{11 + at}" for at in range(ENTRIES)]
    seeds = ",".join(f'"{ip}:8229"' for ip in ips)
    entries = []
    for ip in ips:
        listen = f'Front = "{ip}:8227"\nReady = "{ip}:8220"\nControl = "{ip}:8229"\n'
        listen += f'Directory = "{ip}:8224"'
        top = 'Role = "entry"\nMachineClass = "front"\nServes = ["front","control","directory"]\n'
        top += f"Seeds = [{seeds}]"
        name = f"front-{ip.rsplit('.', 1)[1]}"
        text = settings(name, ip, store_address, top=top, listen=listen)
        daemons.append(Daemon("entry", name, text, folder))
        entries.append(Entry(ip, daemons[-1], record))
    running = [asyncio.create_task(each.keep_running()) for each in entries]
    await asyncio.sleep(0.1)
    for each in entries:
        await until_ready(each.ready, each.daemon)
    record("all entries are ready")
    callers = Callers([f"{ip}:8224" for ip in ips])
    work = asyncio.create_task(callers.run())
    ends_at = time.monotonic() + (MOST_SECONDS if TROUBLE else CALM_SECONDS)
    while time.monotonic() < ends_at and min(each.ends for each in entries) < ENDS_FOR_FAULT:
        await asyncio.sleep(0.1)
        if work.done():
            work.result()
    callers.stopped = True
    for each in [work, *running]:
        each.cancel()
    record(f"bookings: {dict(callers.bookings)}")
    record(f"streams {'without' if TROUBLE else 'with'} a limit: {dict(callers.streams)}")
    record(f"rejected by engines as too large: {sum(each.too_large for each in replicas.values())}")
    record(f"ends of entries by themselves: {[each.ends for each in entries]}")
    ran = set().union(*(each.runs for each in replicas.values()))
    failed = sum(request in ran for request in callers.failed)
    record(f"{failed} bookings ran and their callers got 500 or no answer")
    if callers.bookings["200"] < 200:
        raise CannotRunError("too few requests were answered")
    return min(each.ends for each in entries) >= ENDS_FOR_FAULT


play(case, 110.0)
