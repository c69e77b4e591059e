"""Stand-in of the users' platform: configuration service, list of VMs and weight store."""

import hashlib
import math
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

import anyio
import msgspec

from carawayhub.clock import SystemClock
from carawayhub.standins.faults import PlatformFault
from carawayhub.standins.options import PlatformOptions
from carawayhub.standins.web import (
    CutError,
    Reply,
    Request,
    Router,
    error_reply,
    json_reply,
    serving,
    until_disconnect,
)

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0
WATCH_READ_S = 1.0
WEIGHT_BYTES = 1024
BINARY_TYPE = "application/octet-stream"


class VmState(Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Vm:
    """One line of the list of VMs."""

    name: str
    state: VmState
    failure_domain: str


@dataclass(slots=True, frozen=True)
class VmList:
    """The list of VMs; its number rises with each change."""

    number: int
    vms: list[Vm]


@dataclass(slots=True, frozen=True)
class Manifest:
    """One published configuration version: SHA-256 of each file by name."""

    version: int
    files: dict[str, str]


@dataclass(slots=True)
class ReadCounts:
    """Reads so far: in all, by kind, and by second of the machine's clock."""

    total: int = 0
    by_kind: Counter[str] = field(default_factory=Counter)
    by_second: Counter[int] = field(default_factory=Counter)


@dataclass(slots=True, kw_only=True)
class PublishOrder:
    """Control: publish a folder, or files by name; the next version unless one is named."""

    folder: str = ""
    files: dict[str, str] = field(default_factory=dict)
    version: int | None = None


class Platform:
    """The platform in this process; ``serving`` gives it an address."""

    __slots__ = (
        "_changed",
        "_clock",
        "_contents",
        "_manifests",
        "_newest",
        "_tokens",
        "_tokens_at",
        "_vm_lists",
        "counts",
        "fault",
        "options",
    )

    def __init__(self, options: PlatformOptions | None = None) -> None:
        self.options = options or PlatformOptions()
        self.fault = PlatformFault()
        self.counts = ReadCounts()
        self._clock = SystemClock()
        self._changed = anyio.Event()
        self._contents: dict[str, bytes] = {}
        self._manifests: dict[int, Manifest] = {0: Manifest(0, {})}
        self._newest = 0
        self._vm_lists: list[tuple[float, VmList]] = [(0.0, VmList(0, []))]
        self._tokens = self.options.weights_burst
        self._tokens_at = self._clock.monotonic()

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Serve on ``ip:port`` while the ``with`` runs; yields the address in use."""
        async with serving(self.app(), address) as actual:
            yield actual

    def app(self) -> Router:
        """Return the HTTP application."""
        router = Router()
        router.add("GET", "/config/manifest", self._manifest)
        router.add("GET", "/config/files/{}", self._file)
        router.add("GET", "/vms", self._vms)
        router.add("GET", "/weights/{}", self._weights)
        router.add("POST", "/control/publish", self._publish)
        router.add("POST", "/control/vms", self._set_vms)
        router.add("POST", "/control/fault", self._set_fault)
        router.add("GET", "/control/counts", self._counts)
        return router

    def publish(self, files: dict[str, bytes], version: int | None = None) -> int:
        """Publish ``files`` by name and return the version.

        Raises:
            ValueError: A file is larger than a value may be.
        """
        for name, data in files.items():
            if len(data) > MAX_VALUE_BYTES:
                raise ValueError(f"{name} is larger than {MAX_VALUE_BYTES} bytes; split it")
        number = self._newest + 1 if version is None else version
        digests = {name: hashlib.sha256(data).hexdigest() for name, data in files.items()}
        self._contents.update(zip(digests.values(), files.values(), strict=True))
        self._manifests[number] = Manifest(number, digests)
        self._newest = number
        self._wake()
        return number

    def publish_folder(self, folder: Path, version: int | None = None) -> int:
        """Publish the ``*.json`` files of ``folder`` and return the version."""
        files = {path.name: path.read_bytes() for path in sorted(folder.glob("*.json"))}
        return self.publish(files, version)

    def set_vms(self, vms: list[Vm]) -> None:
        """Replace the list of VMs; readers see it after the lag."""
        number = self._vm_lists[-1][1].number + 1
        visible_at = self._clock.monotonic() + self.options.vm_lag_s
        self._vm_lists.append((visible_at, VmList(number, vms)))
        self._wake()

    def set_fault(self, fault: PlatformFault) -> None:
        """Replace what is wrong with the platform."""
        self.fault = fault
        self._wake()

    def manifest(self) -> Manifest:
        """Return the version that is served now."""
        stale = self.fault.stale_version
        return self._manifests[self._newest if stale is None else stale]

    def vm_list(self) -> VmList:
        """Return the newest list that may be read by now."""
        now = self._clock.monotonic()
        return [vms for visible_at, vms in self._vm_lists if visible_at <= now][-1]

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    def _count(self, kind: str) -> bool:
        """Count one read and return whether it is within the rate."""
        second = int(self._clock.monotonic())
        self.counts.total += 1
        self.counts.by_kind[kind] += 1
        self.counts.by_second[second] += 1
        limit = self.options.reads_per_second
        return not limit or self.counts.by_second[second] <= limit

    async def _admit(self, kind: str) -> Reply | None:
        """Let faults and the rate act on a read; returns what to answer instead, if anything."""
        while self.fault.silent:
            await self._changed.wait()
        if self.fault.down:
            raise CutError
        if not self._count(kind):
            return error_reply(429, "too many reads", retry_after="1")
        if self.fault.slow_s:
            await anyio.sleep(self.fault.slow_s)
        return None

    async def _manifest(self, req: Request) -> Reply:
        refusal = await self._admit("manifest")
        if refusal is not None:
            return refusal
        after = int(req.number("after", -1))
        await self._watch(req, "manifest", lambda: self.manifest().version > after)
        return json_reply(self.manifest())

    async def _file(self, req: Request) -> Reply:
        refusal = await self._admit("files")
        if refusal is not None:
            return refusal
        data = self._contents.get(req.parts[0])
        if data is None:
            return error_reply(404, "no such file")
        return Reply(200, data, BINARY_TYPE)

    async def _vms(self, req: Request) -> Reply:
        refusal = await self._admit("vms")
        if refusal is not None:
            return refusal
        after = int(req.number("after", -1))
        await self._watch(req, "vms", lambda: self.vm_list().number > after)
        return json_reply(self.vm_list())

    async def _watch(self, req: Request, kind: str, news: Callable[[], bool]) -> None:
        """Wait for news, as long as the reader asked; each second of it counts as a read."""
        ends = self._clock.monotonic() + min(req.number("wait"), MAX_WAIT_S)
        counted_until = self._clock.monotonic() + WATCH_READ_S
        async with until_disconnect(req.receive):
            while not news() or self.fault.silent:
                now = self._clock.monotonic()
                if now >= ends and not self.fault.silent:
                    return
                if now >= counted_until:
                    self._count(kind)
                    counted_until += WATCH_READ_S
                await self._wait_for_change(now, min(ends, counted_until))
                if self.fault.down:
                    raise CutError

    async def _wait_for_change(self, now: float, until: float) -> None:
        pending = [at for at, _ in self._vm_lists if at > now]
        with anyio.move_on_after(max(0.0, min([until, *pending]) - now)):
            await self._changed.wait()

    async def _weights(self, req: Request) -> Reply:
        refusal = await self._admit("weights")
        if refusal is not None:
            return refusal
        now = self._clock.monotonic()
        earned = (now - self._tokens_at) * self.options.weights_per_second
        self._tokens = min(self._tokens + earned, self.options.weights_burst)
        self._tokens_at = now
        if self._tokens < 1:
            wait = (1 - self._tokens) / self.options.weights_per_second
            return error_reply(429, "the store's rate is spent", retry_after=f"{math.ceil(wait)}")
        self._tokens -= 1
        return Reply(200, req.parts[0].encode().ljust(WEIGHT_BYTES, b"."), BINARY_TYPE)

    async def _publish(self, req: Request) -> Reply:
        order = msgspec.json.decode(req.body, type=PublishOrder)
        if order.folder:
            version = self.publish_folder(Path(order.folder), order.version)
        else:
            files = {name: text.encode() for name, text in order.files.items()}
            version = self.publish(files, order.version)
        return json_reply(self._manifests[version])

    async def _set_vms(self, req: Request) -> Reply:
        self.set_vms(msgspec.json.decode(req.body, type=list[Vm]))
        return json_reply(self._vm_lists[-1][1])

    async def _set_fault(self, req: Request) -> Reply:
        self.set_fault(msgspec.json.decode(req.body, type=PlatformFault))
        return json_reply(self.fault)

    async def _counts(self, req: Request) -> Reply:
        return json_reply(self.counts)
