"""Settings of a process as the platform writes them, decoded once."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError

SETTINGS_VARIABLE = "CARAWAYHUB_BOOT"
"""Environment variable that holds the path of the settings file."""

MS = 1000.0
BYTES_OF_MEGABIT = 125_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class PromiseBounds:
    """Bounds of the fleet's promises, in seconds unless said otherwise.

    Attributes:
        revoke_after: A key that was taken away opens nothing any more after this.
        drain: An endpoint that is leaving gets nothing new after this.
        grace: From the stop signal to the end of the process.
        config_apply: A configuration is in force after this.
        retry_ratio: Repeated sends for each request of a service.
        retry_extra: Repeated sends of a service beyond that, in one window, over all VMs.
        retry_window: Length of that window.
    """

    revoke_after: float
    drain: float
    grace: float
    config_apply: float
    retry_ratio: float
    retry_extra: float
    retry_window: float


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        name: Name of its VM.
        ip: IP number of the VM.
        failure_domain: Where it stands.
        region: The region of that failure domain.
        peer_ports: First and last port that are free for links between processes.
        seeds: Addresses of entries that may be alive.
        callers: Where callers' requests arrive, None where the process takes none.
        readiness: Where the platform asks whether the entry is ready.
        directory: Where callers ask which entries to use.
        store: Address of the platform's store.
        endpoint: The replica on the same VM, None for an entry.
        service: The service of that replica.
        heartbeat: Seconds between two heartbeats of an endpoint in the store.
        link_rate: Bytes a second that the link of the VM carries, 0 where that is not said.
        bounds: Bounds of the promises.
    """

    name: str
    ip: str
    failure_domain: str
    region: str
    peer_ports: tuple[int, int]
    seeds: tuple[Address, ...]
    callers: Address | None
    readiness: Address | None
    directory: Address | None
    store: Address
    endpoint: Address | None
    service: str
    heartbeat: float
    link_rate: float
    bounds: PromiseBounds


class _Listen(
    msgspec.Struct,
    frozen=True,
    rename={"front": "Front", "ready": "Ready", "directory": "Directory"},
):
    front: str = ""
    ready: str = ""
    directory: str = ""


class _Bounds(
    msgspec.Struct,
    frozen=True,
    rename={
        "revoke_ms": "RevokeMs",
        "drain_ms": "DrainMs",
        "grace_s": "GraceS",
        "config_ms": "ConfigApplyMs",
        "budget_ratio": "BudgetRatio",
        "budget_extra": "BudgetExtra",
        "budget_window_s": "BudgetWindowS",
    },
):
    revoke_ms: float = 5000.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    budget_ratio: float = 0.2
    budget_extra: float = 20.0
    budget_window_s: float = 10.0


class _Limits(msgspec.Struct, frozen=True, rename={"link_mbps": "LinkMbps"}):
    link_mbps: float = 0.0


class _Store(msgspec.Struct, frozen=True, rename={"address": "Address"}):
    address: str


class _Settings(
    msgspec.Struct,
    frozen=True,
    rename={
        "node": "Node",
        "ip": "Ip",
        "zone": "Zone",
        "region": "Region",
        "port_range": "PortRange",
        "seeds": "Seeds",
        "listen": "ListenAddrs",
        "bounds": "Bounds",
        "platform": "Platform",
        "limits": "Limits",
        "service": "Service",
        "beat_ms": "BeatIntervalMs",
    },
):
    node: str
    ip: str
    zone: str
    region: str
    port_range: tuple[int, int]
    platform: _Store
    bounds: _Bounds
    seeds: list[str] = []
    listen: _Listen = _Listen()
    limits: _Limits = _Limits()
    app: str = ""
    service: str = ""
    beat_ms: float = 1000.0


def load_node_settings(path: Path) -> NodeSettings:
    """Return the settings in a file.

    Raises:
        CommandError: SETTINGS_INVALID with the file and the field.
    """
    try:
        content = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(Code.SETTINGS_INVALID, f"{path}: {exc}") from exc
    return parse_node_settings(content, str(path))


def parse_node_settings(content: str, name: str) -> NodeSettings:
    """Return the settings in the text of a file called ``name``; unknown fields are ignored.

    Raises:
        CommandError: SETTINGS_INVALID with the file and the field.
    """
    try:
        values: dict[str, Any] = tomllib.loads(content)
        wire = msgspec.convert(values, _Settings)
        return _decoded(wire)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError, ValueError) as exc:
        raise CommandError(Code.SETTINGS_INVALID, f"{name}: {exc}") from exc


def _decoded(wire: _Settings) -> NodeSettings:
    bounds = wire.bounds
    return NodeSettings(
        name=wire.node,
        ip=wire.ip,
        failure_domain=wire.zone,
        region=wire.region,
        peer_ports=wire.port_range,
        seeds=tuple(Address.parse(seed) for seed in wire.seeds),
        callers=_address(wire.listen.front),
        readiness=_address(wire.listen.ready),
        directory=_address(wire.listen.directory),
        store=Address.parse(wire.platform.address),
        endpoint=_address(wire.app),
        service=wire.service,
        heartbeat=wire.beat_ms / MS,
        link_rate=wire.limits.link_mbps * BYTES_OF_MEGABIT,
        bounds=PromiseBounds(
            revoke_after=bounds.revoke_ms / MS,
            drain=bounds.drain_ms / MS,
            grace=bounds.grace_s,
            config_apply=bounds.config_ms / MS,
            retry_ratio=bounds.budget_ratio,
            retry_extra=bounds.budget_extra,
            retry_window=bounds.budget_window_s,
        ),
    )


def _address(text: str) -> Address | None:
    return Address.parse(text) if text else None
