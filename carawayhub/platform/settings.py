"""Decodes the settings file that the platform writes for a process."""

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError

SETTINGS_VARIABLE = "CARAWAYHUB_BOOT"
"""Environment variable that holds the path of the settings file."""

MS_PER_SECOND = 1000.0

DOMAINS_CONTRACT = "places"
"""Contract of deployments whose operators act on whole failure domains."""

DEFAULT_DOMAIN_MARGIN = 0.2
"""``DomainMargin`` of these deployments: one slot of five. It absorbs differences of demand between
failure domains and is too small to delay the first event of a stream."""

BYTES_PER_MEGABIT = 125_000.0
BYTES_PER_MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class GuaranteeBounds:
    """Bounds that the fleet guarantees; times are in seconds.

    Attributes:
        revoke_after: Time until a revoked key is rejected everywhere.
        drain: Time until a leaving endpoint receives no new requests.
        grace: Time from the stop signal to the end of the process.
        config_apply: Time until a published configuration is in force.
        retry_ratio: Retries per request of a service.
        retry_extra: Additional retries of a service in one window, over all VMs.
        retry_window: Length of that window.
        evacuate: Time until an evacuated failure domain gets no requests, infinite if not stated.
        cold_overage: Factor on the rate that a cold endpoint accepts, up to which it gets requests.
        cold_slack: Additional requests that it may get in one second.
    """

    revoke_after: float
    drain: float
    grace: float
    config_apply: float
    retry_ratio: float
    retry_extra: float
    retry_window: float
    evacuate: float = math.inf
    cold_overage: float = 1.0
    cold_slack: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLimits:
    """Resources of the VM of a process; 0 stands for unknown.

    Attributes:
        cores: Processor time that the process gets, in cores.
        memory: Bytes of memory that the process may use.
        descriptors: Maximum number of open files and sockets.
        link_rate: Bytes per second that the link of the VM carries.
    """

    cores: float = 0.0
    memory: int = 0
    descriptors: int = 0
    link_rate: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of one process.

    Attributes:
        name: Name of its VM.
        ip: IP address of the VM.
        failure_domain: Failure domain of the VM.
        region: Region of the failure domain.
        peer_ports: First and last port available for links between processes.
        seeds: Addresses of entries that may be alive.
        callers: Address for callers' requests, None if the process accepts none.
        readiness: Address of the readiness check.
        directory: Address at which callers look up the entries to use.
        store: Address of the platform's store.
        endpoint: The replica on the same VM, None for an entry.
        service: The service of that replica.
        heartbeat: Seconds between two heartbeats of an endpoint in the store.
        limits: Resources of the VM.
        bounds: Bounds that the fleet guarantees.
        regions: Region of each failure domain, empty if not stated.
        domain_margin: See ``GatewayOptions``.
        fair_shares: See ``GatewayOptions``.
        lifted: Fingerprints of requests or parts of prompts that an operator allows again.
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
    limits: VmLimits
    bounds: GuaranteeBounds
    regions: Mapping[str, str] = field(default_factory=dict)
    domain_margin: float = 0.0
    fair_shares: bool = False
    lifted: frozenset[bytes] = frozenset()

    @property
    def link_rate(self) -> float:
        """Bytes per second that the link of the VM carries, 0 if unknown."""
        return self.limits.link_rate


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
        "evacuate_ms": "EvacuateMs",
        "cold_overage": "ColdOverage",
        "cold_slack": "ColdSlack",
    },
):
    revoke_ms: float = 5000.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    config_ms: float = 2000.0
    budget_ratio: float = 0.2
    budget_extra: float = 20.0
    budget_window_s: float = 10.0
    evacuate_ms: float = math.inf
    cold_overage: float = 1.0
    cold_slack: float = 0.0


class _Limits(
    msgspec.Struct,
    frozen=True,
    rename={
        "cpu_share": "CpuShare",
        "cores": "Cores",
        "memory_mb": "MemoryMb",
        "descriptors": "MaxFds",
        "link_mbps": "LinkMbps",
    },
):
    cpu_share: float = 0.0
    cores: float = 1.0
    memory_mb: float = 0.0
    descriptors: int = 0
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
        "lifted": "LiftedRejections",
        "zones": "Zones",
        "contracts": "Contracts",
        "domain_margin": "DomainMargin",
        "fair_shares": "FairShares",
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
    lifted: list[str] = []
    zones: dict[str, str] = {}
    contracts: list[str] = []
    domain_margin: Annotated[float, msgspec.Meta(ge=0.0)] | None = None
    fair_shares: bool = False


def load_node_settings(path: Path) -> NodeSettings:
    """Load the settings from a file.

    Raises:
        CommandError: SETTINGS_INVALID with the file and the field.
    """
    try:
        content = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise CommandError(Code.SETTINGS_INVALID, f"{path}: {exc}") from exc
    return parse_node_settings(content, str(path))


def parse_node_settings(content: str, name: str) -> NodeSettings:
    """Decode the text of the settings file ``name``; unknown fields are ignored.

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
        heartbeat=wire.beat_ms / MS_PER_SECOND,
        limits=VmLimits(
            cores=wire.limits.cpu_share * wire.limits.cores,
            memory=int(wire.limits.memory_mb * BYTES_PER_MEGABYTE),
            descriptors=wire.limits.descriptors,
            link_rate=wire.limits.link_mbps * BYTES_PER_MEGABIT,
        ),
        bounds=GuaranteeBounds(
            revoke_after=bounds.revoke_ms / MS_PER_SECOND,
            drain=bounds.drain_ms / MS_PER_SECOND,
            grace=bounds.grace_s,
            config_apply=bounds.config_ms / MS_PER_SECOND,
            retry_ratio=bounds.budget_ratio,
            retry_extra=bounds.budget_extra,
            retry_window=bounds.budget_window_s,
            evacuate=bounds.evacuate_ms / MS_PER_SECOND,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
        ),
        regions=wire.zones,
        domain_margin=_domain_margin(wire),
        fair_shares=wire.fair_shares,
        lifted=frozenset(_fingerprint(text) for text in wire.lifted),
    )


def _domain_margin(wire: _Settings) -> float:
    if wire.domain_margin is not None:
        return wire.domain_margin
    return DEFAULT_DOMAIN_MARGIN if DOMAINS_CONTRACT in wire.contracts else 0.0


def _fingerprint(text: str) -> bytes:
    try:
        return bytes.fromhex(text)
    except ValueError as exc:
        raise ValueError(f"LiftedRejections: {text!r} is not hexadecimal") from exc


def _address(text: str) -> Address | None:
    return Address.parse(text) if text else None
