"""Plan of a local fleet: names, addresses, configuration files, settings and fault links.

A plan starts nothing. Each fleet lives in a loopback subnet of its own, ``127.S.0.0/16``, so that
many can run on one machine. A node listens at its inner address; the configuration names its outer
one, and a link of the fault proxy joins the two. A node also connects *from* its inner IP number,
by which the proxy tells who is calling: a partition can so part any two nodes.
"""

import hashlib
import json
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from carawayhub.standins.faults import LinkFault
from carawayhub.standins.fleetshape import (
    ENDPOINT_PORT,
    EndpointKind,
    EndpointPlan,
    FleetShape,
    NodePlan,
)
from carawayhub.standins.options import EngineOptions
from carawayhub.standins.proxy import Proxy

CALLER_PORT = 8080
PEER_PORT = 7000
PLATFORM_PORT = 7100

INNER_OFFSET = 100
PLATFORM_BLOCK = 200
RANKS_PORT = 7200
RANKS_BLOCK = 202

SYSTEM_KEY = "system-key-of-a-local-fleet"
BOOKING_SERVICE = "booking"
REGION = "greece"


class FleetPlan:
    """Everything that a fleet of a shape is made of.

    Args:
        shape: What it is made of.
        subnet: Second number of its loopback addresses.

    Attributes:
        entries: VMs of entries.
        endpoints: Endpoints with their agents.
        platform: ``ip:port`` at which the platform listens.
        ranks: ``ip:port`` at which the ranks of the lock-step group run, if there is one.
    """

    __slots__ = ("endpoints", "entries", "platform", "ranks", "shape", "subnet")

    def __init__(self, shape: FleetShape, subnet: int) -> None:
        self.shape = shape
        self.subnet = subnet
        self.platform = f"127.{subnet}.{PLATFORM_BLOCK + 1}.1:{PLATFORM_PORT}"
        self.ranks = f"127.{subnet}.{RANKS_BLOCK}.1:{RANKS_PORT}"
        hosts: dict[str, int] = {}
        self.entries = [self._node("entry-", n, hosts) for n in range(shape.entries)]
        engines = [self._node("engine-", n, hosts) for n in range(shape.engines)]
        desks = [self._node("desk-", n, hosts) for n in range(shape.services)]
        self.endpoints = [
            *(EndpointPlan(node, EndpointKind.ENGINE) for node in engines),
            *self._lock_step_engines(hosts),
            *(EndpointPlan(node, EndpointKind.SERVICE) for node in desks),
        ]

    @property
    def platform_url(self) -> str:
        """Address of the platform as nodes use it, behind its link."""
        return f"http://127.{self.subnet}.{PLATFORM_BLOCK}.1:{PLATFORM_PORT}"

    @property
    def seeds(self) -> tuple[str, ...]:
        """``ip:port`` of the entries that callers know from the start."""
        return tuple(f"{node.outer}:{CALLER_PORT}" for node in self.entries)

    @property
    def nodes(self) -> list[NodePlan]:
        """All VMs."""
        return [*self.entries, *(endpoint.node for endpoint in self.endpoints)]

    def node(self, name: str) -> NodePlan:
        """Return the VM of a name."""
        return next(node for node in self.nodes if node.name == name)

    @property
    def lock_step(self) -> list[EndpointPlan]:
        """Return the engines of the lock-step group, that of rank 0 first."""
        return [endpoint for endpoint in self.endpoints if endpoint.ranks]

    def endpoints_of(self, kind: EndpointKind) -> list[EndpointPlan]:
        """Return the endpoints of a kind."""
        return [endpoint for endpoint in self.endpoints if endpoint.kind is kind]

    def config_files(self) -> dict[str, bytes]:
        """Return the first version of the configuration, by file name."""
        shape = self.shape
        desks = [each.name for each in self.endpoints_of(EndpointKind.SERVICE)]
        parts: dict[str, dict[str, Any]] = {
            "00-fleet.json": {"fleet": self._fleet_section(), "entries": self._entries_section()},
            "10-organisations.json": {"organisations": self._organisations_section()},
            "20-endpoints.json": {"endpoints": self._endpoints_section()},
            "30-groups.json": {"groups": self._groups_section()},
        }
        if desks:
            parts["40-services.json"] = {"services": _services_section(desks, shape.key_quarantine)}
        return {name: to_json(part) for name, part in parts.items()}

    def entry_settings(self, node: NodePlan) -> dict[str, Any]:
        """Return the settings of an entry."""
        return self._settings(node) | {"listen": f"{node.inner}:{CALLER_PORT}"}

    def agent_settings(self, endpoint: EndpointPlan) -> dict[str, Any]:
        """Return the settings of an agent."""
        return self._settings(endpoint.node)

    def engine_options(self, endpoint: EndpointPlan) -> EngineOptions:
        """Return how an engine behaves."""
        shape = self.shape
        options = EngineOptions(
            capacity=shape.capacity, step_ms=shape.step_ms, resumes=shape.resumes
        )
        if not endpoint.ranks or shape.lock_step is None:
            return options
        giver = self.lock_step[0].name if shape.lock_step.checks_giver else ""
        return replace(options, ranks_at=self.ranks, ranks=endpoint.ranks, checks_giver=giver)

    def add_links(self, proxy: Proxy) -> None:
        """Add to ``proxy`` a link for each address that the configuration names."""
        for node in self.entries:
            self._add_link(proxy, node.name, node, CALLER_PORT)
        for endpoint in self.endpoints:
            self._add_link(proxy, endpoint.name, endpoint.node, ENDPOINT_PORT)
        for node in self.nodes:
            self._add_link(proxy, f"{node.name}.peer", node, PEER_PORT)
        proxy.add("platform", self.platform_url.removeprefix("http://"), self.platform)

    def partition(self, proxy: Proxy, left: Iterable[str], right: Iterable[str]) -> None:
        """Part the failure domains of ``left`` from those of ``right`` in both directions."""
        silence = LinkFault(silent_to_target=True, silent_to_client=True)
        sides = {*left}, {*right}
        for one, other in (sides, sides[::-1]):
            sources = [node.inner for node in self.nodes if node.failure_domain in one]
            for node in self.nodes:
                if node.failure_domain not in other:
                    continue
                for link in (proxy.links[node.name], proxy.links[f"{node.name}.peer"]):
                    for source in sources:
                        link.state.set_fault(silence, source)

    def heal(self, proxy: Proxy) -> None:
        """Take all faults of all links away."""
        for link in proxy.links.values():
            link.state.clear()

    def _node(self, prefix: str, number: int, hosts: dict[str, int]) -> NodePlan:
        domains = self.shape.failure_domains
        index = number % len(domains)
        domain = domains[index]
        host = hosts[domain] = hosts.get(domain, 0) + 1
        name = f"{prefix}{domain}-{number // len(domains) + 1}"
        return NodePlan(
            name,
            domain,
            f"127.{self.subnet}.{index + 1}.{host}",
            f"127.{self.subnet}.{INNER_OFFSET + index + 1}.{host}",
        )

    def _lock_step_engines(self, hosts: dict[str, int]) -> list[EndpointPlan]:
        shape = self.shape.lock_step
        if shape is None:
            return []
        each = shape.ranks // shape.engines
        return [
            EndpointPlan(
                self._node("ranks-", number, hosts),
                EndpointKind.ENGINE,
                tuple(range(number * each, (number + 1) * each)),
            )
            for number in range(shape.engines)
        ]

    def _settings(self, node: NodePlan) -> dict[str, Any]:
        return {
            "name": node.name,
            "vm": node.name,
            "failure_domain": node.failure_domain,
            "region": REGION,
            "peer_listen": f"{node.inner}:{PEER_PORT}",
            "peer_address": f"{node.outer}:{PEER_PORT}",
            "operator_listen": node.operators,
            "platform": self.platform_url,
            "system_key": SYSTEM_KEY,
            "seeds": [f"{each.outer}:{PEER_PORT}" for each in self.entries if each != node],
        }

    def _add_link(self, proxy: Proxy, name: str, node: NodePlan, port: int) -> None:
        proxy.add(name, f"{node.outer}:{port}", f"{node.inner}:{port}")

    def _entries_section(self) -> dict[str, Any]:
        return {
            node.name: {
                "address": f"{node.outer}:{CALLER_PORT}",
                "peer_address": f"{node.outer}:{PEER_PORT}",
                "failure_domain": node.failure_domain,
                "region": REGION,
            }
            for node in self.entries
        }

    def _fleet_section(self) -> dict[str, float]:
        lock_step = self.shape.lock_step
        if lock_step is None:
            return self.shape.options
        timing = {
            "decision_interval_s": lock_step.decision_interval_s,
            "gain_horizon_s": lock_step.gain_horizon_s,
        }
        return timing | self.shape.options

    def _groups_section(self) -> dict[str, Any]:
        engines = self.endpoints_of(EndpointKind.ENGINE)
        groups: dict[str, Any] = {
            f"group-{each.name}": {"model": self.shape.model, "endpoints": [each.name]}
            for each in engines
            if not each.ranks
        }
        lock_step = self.shape.lock_step
        if lock_step is not None:
            groups[lock_step.name] = {
                "model": lock_step.model or self.shape.model,
                "endpoints": [each.name for each in self.lock_step],
                "ranks": lock_step.ranks,
                "experts": lock_step.experts,
                "layers": lock_step.layers,
                "spare_slots": lock_step.spare_slots,
                "expert_bytes": lock_step.expert_bytes,
            }
        return groups

    def _endpoints_section(self) -> dict[str, Any]:
        return {
            endpoint.name: {
                "url": f"http://{endpoint.node.outer}:{ENDPOINT_PORT}",
                "agent": f"{endpoint.node.outer}:{PEER_PORT}",
                "failure_domain": endpoint.node.failure_domain,
                "region": REGION,
                "provider": "old",
                "capacity": self.shape.capacity,
                "resumes": self.shape.resumes and endpoint.kind is EndpointKind.ENGINE,
            }
            for endpoint in self.endpoints
        }

    def _organisations_section(self) -> dict[str, Any]:
        return {
            each.name: {
                "keys": [f"sha256:{hashlib.sha256(each.key.encode()).hexdigest()}"],
                "priority": each.priority,
                "limits": {
                    "rate_per_s": each.rate,
                    "burst": each.rate,
                    "concurrency": each.concurrency,
                    "retry_share": each.retry_share,
                },
            }
            for each in self.shape.organisations
        }


def leaving_step(names: Iterable[str], number: int = 50) -> tuple[str, bytes]:
    """Return the name and content of a migration step by which endpoints leave."""
    step = {"endpoints": {name: {"state": "leaving"} for name in names}}
    return f"{number}-leaving.json", to_json(step)


def to_json(value: object) -> bytes:
    """Return ``value`` as people would write it in a file."""
    return json.dumps(value, indent=2).encode() + b"\n"


def _services_section(desks: list[str], quarantine: bool) -> dict[str, Any]:
    reads = ("/slots", "/roster", "/lookup", "/licences/*")
    routes = [{"method": "POST", "path": "/bookings", "repeatable": False}]
    routes += [{"method": "GET", "path": path, "repeatable": True} for path in reads]
    booking = {"endpoints": desks, "routes": routes, "key_quarantine": quarantine}
    return {BOOKING_SERVICE: booking}
