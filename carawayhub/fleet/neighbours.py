"""Chooses the peers of a process: few, spread over failure domains, the same in every view.

The choice depends only on the configuration and the VM list. Two processes with the same input
compute the same links, and with older input few links differ. Entries keep links among themselves
to distribute the configuration and share limits. Each agent is served by
``links_per_agent`` entries.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from carawayhub.config.model import Configuration, EndpointState, EntryNode
from carawayhub.fleet.rendezvous import ranked
from carawayhub.platform.ports import VmList, VmState

OWN_DOMAIN_PICKS = 2
REGION_PICKS = 2
OTHER_REGION_PICKS = 1


@dataclass(frozen=True, slots=True)
class Node:
    """The properties of a process that matter for its links.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain of the process.
        region: The region of that failure domain.
        listed: Whether its VM is live in the VM list.
    """

    name: str
    failure_domain: str
    region: str
    listed: bool = True


def entry_nodes(cfg: Configuration, vms: VmList | None, keep: str = "") -> tuple[Node, ...]:
    """Return the entries that links may be planned with, by name.

    Args:
        cfg: The configuration in force.
        vms: The VM list, None if unknown.
        keep: Name of the entry that plans for itself and counts as listed: the list lags, and a new
            entry must compute its links before the list contains it.
    """
    states = {} if vms is None else {vm.name: vm.state for vm in vms.vms}
    nodes = [
        Node(entry.name, entry.failure_domain, entry.region, _listed(entry, states, keep))
        for entry in cfg.entries.values()
        if entry.name == keep or not _leaving(entry, states)
    ]
    return tuple(sorted(nodes, key=lambda node: node.name))


def gossip_neighbours(name: str, nodes: Iterable[Node]) -> tuple[str, ...]:
    """Return the entries to which ``name`` opens links.

    In its own failure domain these are the next entry on a ring, which keeps the domain connected,
    and others by rendezvous hash; then entries in other failure domains of the region; then one in
    each other region. Entries missing from the VM list come last.
    """
    others = {node.name: node for node in nodes}
    own = others.pop(name, None)
    if own is None:
        return ()
    domain = [node for node in others.values() if node.failure_domain == own.failure_domain]
    region = [node for node in others.values() if _in_other_domain_of_region(node, own)]
    picks = [*_next_on_ring(own, domain), *_first_ranked(name, domain, OWN_DOMAIN_PICKS)]
    picks += _over_domains(name, region, REGION_PICKS)
    for _, far in sorted(_by_region(others.values(), own).items()):
        picks += _first_ranked(name, far, OTHER_REGION_PICKS)
    return tuple(dict.fromkeys(picks))


def _leaving(entry: EntryNode, states: dict[str, VmState]) -> bool:
    return entry.state is EndpointState.LEAVING or states.get(entry.vm) is VmState.LEAVING


def _listed(entry: EntryNode, states: dict[str, VmState], keep: str) -> bool:
    return entry.name == keep or not states or entry.vm in states


def _in_other_domain_of_region(node: Node, own: Node) -> bool:
    return node.region == own.region and node.failure_domain != own.failure_domain


def _next_on_ring(own: Node, domain: list[Node]) -> list[str]:
    ring = ranked(f"ring {own.failure_domain}", [own.name, *(n.name for n in domain if n.listed)])
    after = ring[(ring.index(own.name) + 1) % len(ring)]
    return [] if after == own.name else [after]


def _first_ranked(key: str, nodes: list[Node], count: int) -> list[str]:
    listed = ranked(key, [node.name for node in nodes if node.listed])
    unlisted = ranked(key, [node.name for node in nodes if not node.listed])
    return [*listed, *unlisted][:count]


def _over_domains(key: str, nodes: list[Node], count: int) -> list[str]:
    domains: dict[str, list[Node]] = defaultdict(list)
    for node in nodes:
        domains[node.failure_domain].append(node)
    order = ranked(key, domains)
    firsts = [_first_ranked(key, domains[domain], count) for domain in order]
    rounds = (
        pick for depth in range(count) for picks in firsts for pick in picks[depth : depth + 1]
    )
    return list(rounds)[:count]


def _by_region(nodes: Iterable[Node], own: Node) -> dict[str, list[Node]]:
    regions: dict[str, list[Node]] = defaultdict(list)
    for node in nodes:
        if node.region != own.region:
            regions[node.region].append(node)
    return regions
