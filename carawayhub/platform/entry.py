"""The gateway entry on the users' platform."""

import random
from collections.abc import Callable

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import CommandError
from carawayhub.gateway.freshness import Bounds
from carawayhub.gateway.ports import ReloadableSettings
from carawayhub.gateway.process import GatewayOptions, GatewayProcess, VmResources
from carawayhub.http import HttpServer, bind
from carawayhub.platform.headers import PlatformWire
from carawayhub.platform.probes import METRICS_PORT, probe_app
from carawayhub.platform.settings import NodeSettings
from carawayhub.platform.store import StoreClient


async def run_gateway(
    settings: NodeSettings,
    clock: Clock,
    rng: random.Random,
    read_settings: Callable[[], NodeSettings],
) -> None:
    """Run an entry until a stop signal arrives and its last request has ended.

    Args:
        settings: Settings of the entry.
        clock: Source of time.
        rng: Random number generator.
        read_settings: Reads the current settings.

    Raises:
        CommandError: SETTINGS_INVALID, PORT_IN_USE.
    """
    callers = _required(settings.callers, "ListenAddrs.Front")
    probes = {
        settings.directory: "directory",
        _required(settings.readiness, "ListenAddrs.Ready"): "readiness",
        Address(settings.ip, METRICS_PORT): "metrics",
    }

    def reloadable() -> ReloadableSettings:
        current = read_settings()
        return ReloadableSettings(frozenset(seed.host for seed in current.seeds), current.lifted)

    store = StoreClient(settings.store, settings.ip)
    process = GatewayProcess(
        _options(settings, callers), store, PlatformWire(), clock, rng, reloadable
    )
    app = probe_app(process.is_ready, process.addresses, process.metrics)
    await process.run(
        [
            HttpServer(app, bind(at), port=port, inbound=process.inbound)
            for at, port in probes.items()
            if at is not None
        ]
    )


def _options(settings: NodeSettings, callers: Address) -> GatewayOptions:
    bounds = settings.bounds
    return GatewayOptions(
        callers=callers,
        seeds=frozenset(seed.host for seed in settings.seeds),
        ip=settings.ip,
        peer_port=settings.peer_ports[0],
        content_port=settings.peer_ports[0] + 1,
        link_rate=settings.link_rate,
        failure_domain=settings.failure_domain,
        heartbeat=settings.heartbeat,
        bounds=Bounds(
            config_apply=bounds.config_apply,
            drain=bounds.drain,
            revoke_after=bounds.revoke_after,
            evacuate=bounds.evacuate,
        ),
        grace=bounds.grace,
        retry_ratio=bounds.retry_ratio,
        retry_extra=bounds.retry_extra,
        retry_window=bounds.retry_window,
        region=settings.region,
        regions=settings.regions,
        resources=VmResources(
            cores=settings.limits.cores,
            memory=settings.limits.memory,
            descriptors=settings.limits.descriptors,
        ),
        cold_overage=bounds.cold_overage,
        cold_slack=bounds.cold_slack,
        domain_margin=settings.domain_margin,
        fair_shares=settings.fair_shares,
    )


def _required(address: Address | None, field: str) -> Address:
    if address is None:
        raise CommandError(Code.SETTINGS_INVALID, f"{field} is missing")
    return address
