"""Sizes of a fleet, and the links and paces that the product gives itself at each."""

from dataclasses import dataclass
from statistics import fmean

from carawayhub.config.model import FleetOptions
from carawayhub.entry.process import MAX_FULL_MESH_ENTRIES
from carawayhub.fleet.linkplan import AgentNode, plan
from carawayhub.fleet.neighbours import Node, gossip_neighbours
from carawayhub.fleet.pace import heartbeat_interval, permit_bound
from carawayhub.limits.placement import Cells

CHANGES_PER_SECOND = 27_000 / 86_400


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """A size of the fleet.

    Attributes:
        name: What it is called in tables.
        entries: Entry daemons.
        agents: Endpoints, each with an agent.
        domains: Failure domains.
        regions: Regions.
        models: Models; the endpoints are shared out evenly over them.
        changes: Changes of the configuration a second.
        files: Files of the configuration.
        links_per_agent: Entries with a link to one agent.
        permit_ttl: Seconds for which a report lets an entry dispatch.
    """

    name: str
    entries: int
    agents: int
    domains: int
    regions: int
    models: int
    changes: float
    files: int
    links_per_agent: int = FleetOptions().links_per_agent
    permit_ttl: float = FleetOptions().permit_ttl


TODAY = Size(
    name="today", entries=7, agents=15, domains=3, regions=1, models=2, changes=0.001, files=20
)
PLANNED = Size(
    name="planned",
    entries=780,
    agents=5_400,
    domains=16,
    regions=5,
    models=19,
    changes=CHANGES_PER_SECOND,
    files=500,
)


@dataclass(frozen=True, slots=True)
class Counts:
    """Links and paces that the product gives itself at a size; means over all entries.

    Attributes:
        agents: Agents that an entry opens links to.
        opened: Entries that it opens links to.
        sharing: Those of them that it divides limits with.
        most_links: Links of the entry that has most, accepted ones included.
        beat: Seconds between two heartbeats of a link of a mean entry.
        openers: Entries that have a link to one agent.
        keyset: Agents that agree on the keys of one model.
    """

    agents: float
    opened: float
    sharing: float
    most_links: int
    beat: float
    openers: float
    keyset: int

    @property
    def links(self) -> float:
        """Links of a mean entry, opened and accepted."""
        return self.agents + 2 * self.opened


def counts(size: Size) -> Counts:
    """Work out links and paces with the product's own functions."""
    places = [_node("entry", number, size) for number in range(size.entries)]
    served = [_node("agent", number, size) for number in range(size.agents)]
    nodes = [
        AgentNode(each.name, each.failure_domain, each.region, f"model-{number % size.models}")
        for number, each in enumerate(served)
    ]
    planned = plan(nodes, places, size.links_per_agent)
    cells = Cells([place.name for place in places])
    peers = {place.name: _entry_peers(place, places, cells) for place in places}
    accepted = dict.fromkeys(peers, 0)
    for opened in peers.values():
        for name in opened:
            accepted[name] += 1
    links = {
        name: len(planned.agents[name]) + len(opened) + accepted[name]
        for name, opened in peers.items()
    }
    shortest, longest = FleetOptions().report_interval, permit_bound(size.permit_ttl)
    return Counts(
        agents=fmean(len(each) for each in planned.agents.values()),
        opened=fmean(len(each) for each in peers.values()),
        sharing=fmean(len(cells.neighbours(name)) for name in peers),
        most_links=max(links.values()),
        beat=heartbeat_interval(round(fmean(links.values())), shortest, longest),
        openers=fmean(len(each) for each in planned.entries.values()),
        keyset=size.agents // size.models,
    )


def _node(kind: str, number: int, size: Size) -> Node:
    domain = number % size.domains
    return Node(f"{kind}-{number:04d}", f"domain-{domain}", f"region-{domain % size.regions}")


def _entry_peers(own: Node, places: list[Node], cells: Cells) -> set[str]:
    """Return the entries that one opens links to, as ``carawayhub.entry.process`` has it."""
    sharing = set(cells.neighbours(own.name))
    if len(places) <= MAX_FULL_MESH_ENTRIES:
        return {place.name for place in places} - {own.name}
    return sharing | set(gossip_neighbours(own.name, places))
