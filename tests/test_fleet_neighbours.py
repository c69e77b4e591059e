"""Tests of the choice of links between processes."""

import unittest
from collections import Counter

from carawayhub.fleet.linkplan import AgentNode, LinkPlan, plan
from carawayhub.fleet.neighbours import Node, gossip_neighbours

DOMAINS = tuple((f"domain-{number}", f"region-{number % 5}") for number in range(16))
LINKS = 12


class GossipTest(unittest.TestCase):
    """Links among entries."""

    def test_each_entry_has_few_spread_over_domains_and_regions(self) -> None:
        nodes = entries(160)
        region = {node.name: node.region for node in nodes}
        domain = {node.name: node.failure_domain for node in nodes}
        for node in nodes:
            picks = gossip_neighbours(node.name, nodes)
            self.assertLessEqual(len(picks), 9)
            self.assertNotIn(node.name, picks)
            self.assertEqual(len({region[name] for name in picks}), 5)
            near = [name for name in picks if region[name] == node.region]
            self.assertGreater(sum(domain[name] == node.failure_domain for name in near), 1)
            self.assertGreater(sum(domain[name] != node.failure_domain for name in near), 0)

    def test_all_entries_are_connected_also_within_a_domain_cut_off(self) -> None:
        nodes = entries(160)
        self.assertEqual(len(reached(nodes)), 160)
        inside = [node for node in nodes if node.failure_domain == "domain-3"]
        self.assertEqual(len(reached(inside)), len(inside))

    def test_a_replaced_entry_changes_the_links_of_few(self) -> None:
        before = {node.name: gossip_neighbours(node.name, entries(160)) for node in entries(160)}
        nodes = [*entries(160)[1:], Node("new", *DOMAINS[0])]
        after = {node.name: gossip_neighbours(node.name, nodes) for node in nodes}
        changed = [name for name in before if name in after and before[name] != after[name]]
        self.assertLess(len(changed), 40)

    def test_an_unlisted_entry_is_a_last_resort_yet_finds_its_own_links(self) -> None:
        nodes = [*entries(160), Node("new", *DOMAINS[0], listed=False)]
        chosen = {name for node in nodes[:-1] for name in gossip_neighbours(node.name, nodes)}
        self.assertNotIn("new", chosen)
        self.assertGreater(len(gossip_neighbours("new", nodes)), 5)
        pair = [Node("a", "x", "r"), Node("b", "x", "r", listed=False)]
        self.assertEqual(gossip_neighbours("a", pair), ("b",))


class LinkPlanTest(unittest.TestCase):
    """Links between entries and agents."""

    def test_each_agent_has_entries_in_other_failure_domains(self) -> None:
        nodes, links = entries(160), plan(agents(960), entries(160), LINKS)
        domain = {node.name: node.failure_domain for node in nodes}
        for agent in agents(960):
            served_by = Counter(domain[name] for name in links.entries[agent.name])
            self.assertEqual(served_by.total(), LINKS)
            self.assertGreaterEqual(LINKS - served_by[agent.failure_domain], LINKS // 2)

    def test_entries_carry_near_even_numbers_of_agents_and_of_each_model(self) -> None:
        links = plan(agents(960), entries(160), LINKS)
        counts = [len(names) for names in links.agents.values()]
        mean = 960 * LINKS / 160
        self.assertLess(max(counts), 1.25 * mean)
        self.assertGreater(min(counts), 0.75 * mean)
        target = {agent.name: agent.target for agent in agents(960)}
        for names in links.agents.values():
            self.assertEqual(len({target[name] for name in names}), 4)

    def test_a_small_fleet_is_a_full_mesh(self) -> None:
        links = plan(agents(15), entries(7), LINKS)
        self.assertEqual({len(names) for names in links.entries.values()}, {7})

    def test_one_change_moves_few_links(self) -> None:
        before = plan(agents(960), entries(160), LINKS)
        total = 960 * LINKS
        without_entry = plan(agents(960), entries(160)[1:], LINKS)
        self.assertLess(moved(before, without_entry), 0.04 * total)
        without_agent = plan(agents(960)[1:], entries(160), LINKS)
        self.assertLess(moved(before, without_agent), 0.01 * total)

    def test_one_domain_can_be_worked_out_on_its_own(self) -> None:
        whole = plan(agents(960), entries(160), LINKS)
        part = plan(agents(960), entries(160), LINKS, only="domain-4")
        names = [node.name for node in entries(160) if node.failure_domain == "domain-4"]
        self.assertEqual([part.agents[n] for n in names], [whole.agents[n] for n in names])


def entries(count: int) -> list[Node]:
    return [Node(f"entry-{number}", *DOMAINS[number % 16]) for number in range(count)]


def agents(count: int) -> list[AgentNode]:
    return [
        AgentNode(f"agent-{number}", *DOMAINS[number % 16], target=f"model-{number // 16 % 4}")
        for number in range(count)
    ]


def reached(nodes: list[Node]) -> set[str]:
    links: dict[str, set[str]] = {node.name: set() for node in nodes}
    for node in nodes:
        for peer in gossip_neighbours(node.name, nodes):
            links[node.name].add(peer)
            links[peer].add(node.name)
    seen, waiting = {nodes[0].name}, [nodes[0].name]
    while waiting:
        fresh = links[waiting.pop()] - seen
        seen |= fresh
        waiting += sorted(fresh)
    return seen


def moved(before: LinkPlan, after: LinkPlan) -> int:
    old = {(agent, entry) for agent, names in before.entries.items() for entry in names}
    new = {(agent, entry) for agent, names in after.entries.items() for entry in names}
    return len(new - old)
