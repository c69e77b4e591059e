"""The agent of a rank on the users' platform."""

import signal
from collections.abc import Sequence

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import CommandError
from carawayhub.experts.agent import AgentOptions, ExpertAgent
from carawayhub.gateway.model import EngineProfile, superseded
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.http import HttpServer, bind
from carawayhub.inbound.shared import Inbound
from carawayhub.platform.probes import METRICS_PORT, metrics_app
from carawayhub.platform.ranks import RankClient
from carawayhub.platform.settings import NodeSettings
from carawayhub.platform.store import StoreClient


async def run_agent(settings: NodeSettings, clock: Clock) -> None:
    """Run an agent until a stop signal arrives.

    Raises:
        CommandError: SETTINGS_INVALID, PORT_IN_USE.
    """
    if settings.endpoint is None:
        raise CommandError(Code.SETTINGS_INVALID, "app is missing")
    options = AgentOptions(
        ip=settings.ip,
        port=settings.peer_ports[0],
        link_rate=settings.link_rate,
        direct=lambda address, instance: RankClient(address, instance, settings.ip),
        entries=tuple(seed.host for seed in settings.seeds),
        entry_port=settings.peer_ports[0] + 1,
    )
    rank = RankClient(settings.endpoint, source=settings.ip)
    roster = StoreRoster(StoreClient(settings.store, settings.ip), settings.service)
    agent = ExpertAgent(options, rank, roster, clock)
    inbound = Inbound(clock, settings.limits.memory, settings.limits.descriptors)
    metrics = HttpServer(
        metrics_app(lambda: agent.metrics() + inbound.metrics()),
        bind(Address(settings.ip, METRICS_PORT)),
        port="metrics",
        inbound=inbound,
    )
    logger.bind(service=settings.service, endpoint=str(settings.endpoint)).info("agent starts")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(agent.run)
        tasks.start_soon(metrics.run)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for each in signals:
                if each is not signal.SIGHUP:
                    break
                logger.info("settings changed; the agent applies them after a restart")
        tasks.cancel_scope.cancel()
    logger.info("agent stops")


class StoreRoster:
    """Finds the replicas of one service in the store; see ``Roster``.

    Args:
        store: The store.
        service: Name of the service.
    """

    __slots__ = ("_profile", "_service", "_service_names", "_store", "_version")

    def __init__(self, store: StoreClient, service: str) -> None:
        self._store = store
        self._service = service
        self._profile: EngineProfile | None = None
        self._service_names: frozenset[str] = frozenset()
        self._version = -1

    async def replicas(self, group: str) -> Sequence[tuple[str, Address]]:
        """Return the instance id and address of each replica that may belong to a group.

        Replicas whose entry has another group are left out: the reports of the replicas of all
        groups of a large service would saturate the link of this VM.
        """
        published = await self._read()
        listed = [
            change.endpoint
            for change in published.changes
            if isinstance(change, EndpointPublished)
            and change.endpoint.service in self._service_names
        ]
        superseded_ids = superseded(listed)
        return [
            (each.incarnation.replica, each.address)
            for each in listed
            if each.service == self._service
            and each.id not in superseded_ids
            and (each.membership is None or each.membership.group == group)
        ]

    async def profile(self) -> EngineProfile | None:
        """Return the profile of the service's engines."""
        if self._profile is None:
            await self._read()
        return self._profile

    async def _read(self) -> Published:
        published = await self._store.snapshot()
        for change in published.changes:
            # A store that returned from an older copy lists an older configuration.
            if isinstance(change, TablePublished) and change.table.version >= self._version:
                self._version = change.table.version
                self._service_names = frozenset(change.table.services)
                service = change.table.services.get(self._service)
                if service is not None:
                    self._profile = service.engine
        return published
