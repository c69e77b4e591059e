"""A stream that a leaving replica cuts off looks complete to its caller.

Two entries stand before eight replicas, each a process. One replica gives one long answer no
length, so that it ends with its connection; then this replica drains, serves on for its time and exits.
"""

import asyncio
import socket
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import (
    TROUBLE,
    CannotRunError,
    Daemon,
    Record,
    Servers,
    Store,
    play,
    read_body,
    read_head,
    settings,
    subnet,
)

ENTRIES, REPLICAS, SLOTS = 2, 8, 6
LONG_CALLERS, SHORT_CALLERS = 12, 24
LONG_EVENTS, SHORT_EVENTS, EVENT_TOKENS = 60, 3, 5
STAGGER_SECONDS = 0.5
TOTAL_SECONDS, TROUBLE_AT_SECONDS, MOST_WAIT_SECONDS = 14.0, 6.0, 40.0
DRAIN_SECONDS, LINGER_SECONDS = 2.0, 1.5
LEAVING = 0
ROUTE, KEY = "/chat/", "key-1"


class Replica:
    """A process with one replica."""

    def __init__(self, number: int, address: str) -> None:
        self.instance, self.address = f"i-{number}", address
        self.unframed = asyncio.Event()
        command = ["python3", str(Path(__file__).resolve().parent / "replica.py")]
        self.process = subprocess.Popen(
            [*command, self.instance, address], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )

    async def record(self, record: Record) -> None:
        """Record what it prints until it exits."""
        loop = asyncio.get_running_loop()
        while line := await loop.run_in_executor(None, self.process.stdout.readline):
            record(line.decode().strip())
            if b"gets no length" in line:
                self.unframed.set()

    def give_no_length(self) -> None:
        """Let it give its next long answer no length."""
        self.process.stdin.write(b"unframed\n")
        self.process.stdin.flush()

    def exit(self) -> None:
        """Let it exit."""
        if self.process.poll() is None:
            self.process.stdin.close()

    def end(self) -> None:
        """End it."""
        self.process.kill()
        self.process.wait()


class Callers:
    """Callers that keep their connections and send one request after the other."""

    def __init__(self, addresses: list[str], record: Record) -> None:
        self.statuses: Counter[str] = Counter()
        self.short: dict[str, int] = {}
        self._addresses = addresses
        self._record = record
        self._number = 0
        self.stopped = False

    async def run(self) -> None:
        """Send requests until stopped."""
        callers = range(LONG_CALLERS + SHORT_CALLERS)
        await asyncio.gather(*(self._call(each) for each in callers))

    async def _call(self, caller: int) -> None:
        events = LONG_EVENTS if caller < LONG_CALLERS else SHORT_EVENTS
        host, port = self._addresses[caller % len(self._addresses)].split(":")
        writer = None
        await asyncio.sleep(caller * STAGGER_SECONDS if caller < LONG_CALLERS else 0.0)
        while not self.stopped:
            if writer is None:
                reader, writer = await asyncio.open_connection(host, int(port))
            self._number += 1
            request = f"{self._number:016x}"
            body = b"prompt of %s" % request.encode()
            head = (
                f"POST {ROUTE}1 HTTP/1.1\r\nHost: a.example\r\nCarawayhub-Request-Id: {request}\r\n"
                f"Carawayhub-Request-Deadline: 8050\r\nAuthorization: Bearer {KEY}\r\n"
                f"Carawayhub-Model: m\r\nCarawayhub-Token-Counts: 200,{events * EVENT_TOKENS}\r\n"
                f"Carawayhub-Prompt-Prefix: {request}:200\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            status, retry_after = await self._status(request, events, reader)
            self.statuses[status] += 1
            if status != "complete":
                self._record(f"caller: {request} {status}")
                writer.close()
                writer = None
                await asyncio.sleep(retry_after)

    async def _status(
        self, request: str, events: int, reader: asyncio.StreamReader
    ) -> tuple[str, float]:
        """Return how a stream ended and when to come back.

        One that ends properly must have all events in order.
        """
        found = await read_head(reader)
        if found is None:
            return "closed", 0.0
        status = found[0].split(" ")[1]
        try:
            body = await read_body(reader, found[1])
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            return f"{status} broken off", 0.0
        if status != "200":
            return status, float(found[1].get("retry-after", "0"))
        ids = [int(line[3:]) for line in body.decode().splitlines() if line.startswith("id:")]
        if ids == list(range(1, events + 1)):
            return "complete", 0.0
        self.short[request] = ids[-1] if ids else 0
        return f"200 ended properly after event {self.short[request]} of {events}", 0.0


def configuration() -> dict:
    """Return a configuration with one route of streams that may be resumed."""
    engine = {
        "Slots": SLOTS,
        "KvCapacity": 186000,
        "Stride": 5,
        "step_ms": 5.85,
        "per_seq_ms": 0.355,
        "context_per_k": 0.036,
        "read_per_s": 61200,
        "chunk": 512,
        "usual": {"prompt": 200, "answer": 300},
        "report_lag_ms": 200,
    }
    route = {
        "Name": "chat",
        "Host": "a.example",
        "Prefix": ROUTE,
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
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    return {
        "Version": 1,
        "Routes": [route],
        "Services": [{"Name": "llm", "HealthPath": "/health", "MaxConns": 408, "Engine": engine}],
        "Limits": limits,
        "Tenants": [{"Name": "t1", "Keys": [KEY]}],
    }


def registration(address: str, state: str = "ready") -> dict:
    """Return the entry of a replica in the store."""
    return {
        "Service": "llm",
        "Address": address,
        "Zone": "z1",
        "Version": "v1",
        "Slots": SLOTS,
        "State": state,
        "ColdLeftMs": 0,
        "Seq": 1 if state == "ready" else 2,
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


def free_port(host: str) -> int:
    """Return a port of an address that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


async def leave(replica: Replica, store: Store, record: Record) -> None:
    """Let a replica drain, serve on for its time, exit, and lose its entry."""
    store.put(f"servers/{replica.instance}", registration(replica.address, "draining"))
    record(f"{replica.instance} is registered as draining")
    await asyncio.sleep(DRAIN_SECONDS + LINGER_SECONDS)
    replica.exit()
    await asyncio.sleep(0.1)
    store.remove(f"servers/{replica.instance}")
    record(f"the entry of {replica.instance} is removed")


async def play_fleet(
    record: Record, folder: Path, servers: Servers, daemons: list[Daemon], replicas: list[Replica]
) -> bool:
    """Return whether a stream ended as complete before its last event."""
    net, store = subnet(), Store()
    store.put("op/config", configuration())
    store_address = await servers.listen(f"{net}.1", store.serve)
    for number in range(REPLICAS):
        host = f"{net}.{41 + number}"
        replicas.append(Replica(number, f"{host}:{free_port(host)}"))
        store.put(f"servers/i-{number}", registration(replicas[-1].address))
    printing = [asyncio.create_task(each.record(record)) for each in replicas]
    ips = [f"{net}.{11 + at}" for at in range(ENTRIES)]
    seeds = ",".join(f'"{ip}:8229"' for ip in ips)
    for ip in ips:
        listen = f'Front = "{ip}:8227"\nReady = "{ip}:8220"\nControl = "{ip}:8229"\n'
        listen += f'Directory = "{ip}:8224"'
        top = 'Role = "entry"\nMachineClass = "front"\nServes = ["front","control","directory"]\n'
        top += f"Seeds = [{seeds}]"
        name = f"front-{ip.rsplit('.', 1)[1]}"
        text = settings(name, ip, store_address, top=top, listen=listen)
        daemons.append(Daemon("entry", name, text, folder))
        daemons[-1].start()
    for ip, daemon in zip(ips, daemons, strict=True):
        await until_ready(f"{ip}:8220", daemon)
    callers = Callers([f"{ip}:8227" for ip in ips], record)
    work = asyncio.create_task(callers.run())
    await asyncio.sleep(TROUBLE_AT_SECONDS)
    if TROUBLE:
        replicas[LEAVING].give_no_length()
        await asyncio.wait_for(replicas[LEAVING].unframed.wait(), MOST_WAIT_SECONDS)
        await leave(replicas[LEAVING], store, record)
    await asyncio.sleep(TOTAL_SECONDS - TROUBLE_AT_SECONDS)
    callers.stopped = True
    await work
    for each in daemons:
        each.check_running()
    for each in replicas:
        each.exit()
    await asyncio.gather(*printing)
    record(f"streams: {dict(callers.statuses)}")
    record(f"{len(callers.short)} streams ended as complete before their last event")
    if callers.statuses["complete"] < 100:
        raise CannotRunError("too few streams were complete")
    return bool(callers.short)


async def case(record: Record, folder: Path, servers: Servers, daemons: list[Daemon]) -> bool:
    """Return whether the rule was broken, and end all replicas."""
    replicas: list[Replica] = []
    try:
        return await play_fleet(record, folder, servers, daemons, replicas)
    finally:
        for each in replicas:
            each.end()


play(case, 90.0)
