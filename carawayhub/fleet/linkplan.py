"""Plans the links between entries and agents.

With 780 entries and 5,400 agents a full mesh isn't feasible, so each agent has
``links_per_agent`` entries. Most are in its region, distributed over its failure domains, its own
first. Some are in other regions, in case its own region has no entry left. Within a failure domain
an agent uses the first entries with free capacity in a hash order. The agents of each model are
balanced separately, since an entry without a link to any endpoint of a model couldn't serve it.
"""

import itertools
import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from carawayhub.config.model import Configuration
from carawayhub.fleet.neighbours import Node, entry_nodes
from carawayhub.fleet.rendezvous import ranked, score
from carawayhub.platform.ports import VmList

ORDER_COUNT = 64
OTHER_REGIONS_DIVISOR = 6
MAX_LOAD_FACTOR = 1.15
ANY_TARGET = "*"


@dataclass(frozen=True, slots=True)
class AgentNode:
    """The properties of an agent that matter for its links.

    Attributes:
        name: Name of its endpoint.
        failure_domain: Failure domain of the agent.
        region: The region of that failure domain.
        target: Model or service that its endpoint serves, empty for none.
    """

    name: str
    failure_domain: str
    region: str
    target: str = ""


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """The links between entries and agents.

    Attributes:
        entries: Entries of each agent, those of its own failure domain first.
        agents: Agents of each entry.
    """

    entries: Mapping[str, tuple[str, ...]]
    agents: Mapping[str, tuple[str, ...]]


def agents_of_entry(cfg: Configuration, vms: VmList | None, entry: str) -> tuple[str, ...]:
    """Return the agents that ``entry`` opens links to.

    Only the failure domain of ``entry`` is planned, since failure domains are independent. At the
    planned size this takes some tens of milliseconds: call it in a worker thread, and only if
    ``plan_key`` changed.
    """
    own = cfg.entries.get(entry)
    if own is None:
        return ()
    nodes = entry_nodes(cfg, vms, keep=entry)
    links = plan(agent_nodes(cfg), nodes, cfg.fleet.links_per_agent, own.failure_domain)
    return links.agents.get(entry, ())


def plan_key(cfg: Configuration, vms: VmList | None, keep: str = "") -> int:
    """Return a hash that differs if the links may have changed."""
    nodes = entry_nodes(cfg, vms, keep)
    return hash((tuple(agent_nodes(cfg)), nodes, cfg.fleet.links_per_agent))


def agent_nodes(cfg: Configuration) -> tuple[AgentNode, ...]:
    """Return the agents of a configuration in the order of their names."""
    targets: dict[str, str] = {}
    for group in cfg.groups.values():
        targets.update(dict.fromkeys(group.endpoints, group.model))
    for service in cfg.services.values():
        targets.update(dict.fromkeys(service.endpoints, service.name))
    return tuple(
        AgentNode(name, each.failure_domain, each.region, targets.get(name, ""))
        for name, each in sorted(cfg.endpoints.items())
    )


def plan(
    agents: Iterable[AgentNode], entries: Iterable[Node], links: int, only: str = ""
) -> LinkPlan:
    """Distribute agents over entries.

    Args:
        agents: All agents.
        entries: All entries that links may be planned with.
        links: Number of entries for each agent.
        only: Failure domain to plan, empty for all.
    """
    return _Planner(tuple(entries), links, only).plan(tuple(agents))


@dataclass(slots=True)
class _Load:
    """Links planned so far with the entries of one failure domain."""

    total: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    by_target: dict[tuple[str, str], int] = field(default_factory=lambda: defaultdict(int))


class _Planner:
    __slots__ = (
        "_domains",
        "_links",
        "_load",
        "_only",
        "_orders",
        "_quota_cache",
        "_regions",
        "_demand",
    )

    def __init__(self, entries: tuple[Node, ...], links: int, only: str) -> None:
        self._links = links
        self._only = only
        self._domains: dict[str, list[str]] = defaultdict(list)
        self._regions: dict[str, list[str]] = defaultdict(list)
        for node in _listed_first(entries):
            self._domains[node.failure_domain].append(node.name)
            if node.failure_domain not in self._regions[node.region]:
                self._regions[node.region].append(node.failure_domain)
        self._orders: dict[tuple[str, int], list[str]] = {}
        self._quota_cache: dict[tuple[str, str, int], dict[str, int]] = {}
        self._load = _Load()
        self._demand: dict[tuple[str, str], int] = defaultdict(int)

    def plan(self, agents: tuple[AgentNode, ...]) -> LinkPlan:
        numbers = {agent.name: score("order", agent.name) for agent in agents}
        quotas = {agent.name: self._quotas(agent, numbers[agent.name]) for agent in agents}
        for agent in agents:
            for domain, count in quotas[agent.name].items():
                self._demand[(domain, agent.target)] += count
                self._demand[(domain, ANY_TARGET)] += count
        chosen: dict[str, tuple[str, ...]] = {}
        for agent in sorted(agents, key=lambda each: (numbers[each.name], each.name)):
            number = numbers[agent.name]
            chosen[agent.name] = tuple(self._choose(agent, quotas[agent.name], number))
        return LinkPlan(chosen, _inverse(chosen, self._domains))

    def _quotas(self, agent: AgentNode, number: int) -> dict[str, int]:
        """Return the number of entries of an agent in each failure domain."""
        key = (agent.region, agent.failure_domain, number % ORDER_COUNT)
        if key not in self._quota_cache:
            self._quota_cache[key] = self._new_quotas(*key)
        return self._quota_cache[key]

    def _new_quotas(self, region: str, failure_domain: str, number: int) -> dict[str, int]:
        near = self._regions.get(region, [])
        far = [name for name in self._regions if name != region]
        capacity = sum(len(self._domains[domain]) for domain in near)
        others = max(1, self._links // OTHER_REGIONS_DIVISOR, self._links - capacity) if far else 0
        neighbours = [domain for domain in near if domain != failure_domain]
        order = [domain for domain in near if domain == failure_domain]
        order += ranked(f"domains {number}", neighbours)
        quotas: dict[str, int] = {}
        self._share(quotas, order, self._links - others)
        self._share(quotas, self._far_domains(far, number), others)
        return quotas

    def _far_domains(self, far: list[str], number: int) -> list[str]:
        """Return the failure domains of other regions, alternating between the regions."""
        regions = [
            ranked(f"domains {number}", self._regions[region])
            for region in ranked(f"regions {number}", far)
        ]
        rounds = itertools.zip_longest(*regions)
        return [domain for domains in rounds for domain in domains if domain is not None]

    def _share(self, quotas: dict[str, int], domains: list[str], count: int) -> None:
        while count > 0:
            free = [name for name in domains if quotas.get(name, 0) < len(self._domains[name])]
            if not free:
                return
            for name in free[:count]:
                quotas[name] = quotas.get(name, 0) + 1
            count -= len(free[:count])

    def _choose(self, agent: AgentNode, quotas: dict[str, int], number: int) -> Iterator[str]:
        for domain, count in quotas.items():
            if self._only and domain != self._only:
                continue
            order = self._order(domain, number // ORDER_COUNT % ORDER_COUNT)
            for entry in self._with_capacity(domain, agent.target, order, count):
                self._load.total[entry] += 1
                self._load.by_target[(entry, agent.target)] += 1
                yield entry

    def _with_capacity(self, domain: str, target: str, order: list[str], count: int) -> list[str]:
        """Return the first entries with capacity: below the even share, then at it, then any."""
        share = self._demand[(domain, target)] / len(order)
        max_links = math.ceil(self._demand[(domain, ANY_TARGET)] / len(order) * MAX_LOAD_FACTOR)
        picks: list[str] = []
        for bound in (math.floor(share), math.ceil(share)):
            for entry in order:
                if len(picks) == count:
                    return picks
                if self._load.by_target[(entry, target)] >= bound or entry in picks:
                    continue
                if self._load.total[entry] < max_links:
                    picks.append(entry)
        rest = [entry for entry in order if entry not in picks]
        rest.sort(key=lambda entry: self._load.total[entry])
        return picks + rest[: count - len(picks)]

    def _order(self, domain: str, number: int) -> list[str]:
        order = self._orders.get((domain, number))
        if order is None:
            order = ranked(f"order {number}", self._domains[domain])
            self._orders[(domain, number)] = order
        return order


def _listed_first(entries: tuple[Node, ...]) -> list[Node]:
    """Return the entries to plan with; unlisted ones only if their domain has no listed one."""
    listed = {node.failure_domain for node in entries if node.listed}
    return [node for node in entries if node.listed or node.failure_domain not in listed]


def _inverse(
    chosen: Mapping[str, tuple[str, ...]], domains: Mapping[str, list[str]]
) -> dict[str, tuple[str, ...]]:
    agents: dict[str, list[str]] = {name: [] for names in domains.values() for name in names}
    for agent, entries in chosen.items():
        for entry in entries:
            agents[entry].append(agent)
    return {entry: tuple(sorted(names)) for entry, names in agents.items()}
