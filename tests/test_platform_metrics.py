"""Metrics of entries and agents, at the address in the deploy file."""

import tomllib
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

import anyio

from carawayhub.codes import Code
from carawayhub.experts.planner import Plan
from carawayhub.experts.switch import ChangeOutcome
from carawayhub.experts.tally import GroupTally
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.statements import StatementCounts
from carawayhub.gateway.tally import Tally, ViewStatus
from carawayhub.limits.poison import PoisonCounts
from carawayhub.platform.probes import METRICS_PATH, METRICS_PORT, metrics_app, probe_app

DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "system.toml"


def get(app: Any, path: str) -> tuple[int, str]:
    """Return status and body of an answer."""
    sent: list[dict[str, Any]] = []

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    anyio.run(app, {"type": "http", "path": path}, None, send)
    return sent[0]["status"], sent[1]["body"].decode()


class Metrics(unittest.TestCase):
    """The metrics page that collectors read."""

    def test_deploy_file_names_the_address_for_every_role(self) -> None:
        roles = tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["roles"]
        named = {name: role.get("metrics") for name, role in roles.items()}
        expected = f"{METRICS_PORT}{METRICS_PATH}"
        self.assertEqual(named, {"entry": expected, "agent": expected})

    def test_agent_tells_changes_by_how_they_ended(self) -> None:
        tally = GroupTally()
        tally.looks, tally.pressure = 40, 0.75
        tally.changed(Plan((), 3.4, 1.5, 72, 3), ChangeOutcome.SWITCHED, 0.26)
        tally.changed(Plan((), 3.0, 1.4, 60, 3), ChangeOutcome.GIVEN_UP, 0.02)
        status, text = get(metrics_app(tally.page), METRICS_PATH)
        self.assertEqual(status, 200)
        for line in (
            "carawayhub_agent_looks_total 40",
            "carawayhub_agent_pressure 0.750",
            'carawayhub_agent_changes_total{ended="switched"} 1',
            'carawayhub_agent_changes_total{ended="given_up"} 1',
            "carawayhub_agent_copies_total 72",
            "carawayhub_agent_skew_after 1.500",
            "carawayhub_agent_change_milliseconds_count 1",
        ):
            self.assertIn(line, text.splitlines())

    def test_entry_tells_ends_and_quantiles_of_each_route(self) -> None:
        tally = Tally()
        for _ in range(9):
            tally.ended("songs", "armor", Code.OK, 200, 0.02)
        tally.ended("songs", "armor", Code.OVERLOADED, 503, 0.001)
        app = probe_app(lambda: True, lambda query: [], tally.page)
        text = get(app, METRICS_PATH)[1].splitlines()
        labels = 'route="songs",organisation="armor",code="0",status="200"'
        self.assertIn(f"carawayhub_gateway_requests_total{{{labels}}} 9", text)
        self.assertIn('carawayhub_gateway_milliseconds{route="songs",quantile="0.5"} 20', text)
        self.assertIn('carawayhub_gateway_milliseconds_count{route="songs"} 10', text)

    def test_entry_tells_what_it_knows_of_the_published_state(self) -> None:
        tally = Tally(
            view_status=lambda: ViewStatus(version=7, revision=Revision(0, 31), age=0.4, reads=True)
        )
        tally.table_applied(float("inf"))
        tally.table_applied(0.25)
        app = probe_app(lambda: True, lambda query: [], tally.page)
        text = get(app, METRICS_PATH)[1].splitlines()
        for line in (
            "carawayhub_gateway_configuration_version 7",
            "carawayhub_gateway_revision 31",
            "carawayhub_gateway_view_age_seconds 0.400",
            "carawayhub_gateway_reads_for_peers 1",
            'carawayhub_gateway_configuration_late_milliseconds{quantile="0.99"} 250',
            "carawayhub_gateway_configuration_late_milliseconds_count 1",
        ):
            self.assertIn(line, text)

    def test_entry_tells_what_replicas_stated(self) -> None:
        counts = StatementCounts(Counter(llm=3), Counter(plain=1))
        tally = Tally(statement_counts=lambda: counts)
        text = get(probe_app(lambda: True, lambda query: [], tally.page), METRICS_PATH)[
            1
        ].splitlines()
        self.assertIn('carawayhub_gateway_requested_backoffs_total{service="llm"} 3', text)
        self.assertIn('carawayhub_gateway_announced_leavings_total{service="plain"} 1', text)

    def test_entry_tells_the_bounds_of_groups(self) -> None:
        tally = Tally(pass_bounds=lambda: {"g1": 88})
        text = get(probe_app(lambda: True, list, tally.page), METRICS_PATH)[1].splitlines()
        self.assertIn('carawayhub_gateway_group_pass_bound{group="g1"} 88', text)

    def test_entry_tells_what_it_rejects_since_it_ends_endpoints(self) -> None:
        tally = Tally(poison_counts=lambda: PoisonCounts(1, 2, 3, 4))
        text = get(probe_app(lambda: True, lambda query: [], tally.page), METRICS_PATH)[
            1
        ].splitlines()
        for line in (
            'carawayhub_gateway_poison_rejections_total{trait="content"} 1',
            'carawayhub_gateway_poison_rejections_total{trait="part"} 2',
            "carawayhub_gateway_poison_suspects_cleared_total 3",
            "carawayhub_gateway_poison_suspects 4",
        ):
            self.assertIn(line, text)

    def test_other_paths_are_not_found(self) -> None:
        self.assertEqual(get(metrics_app(str), "/v1/ready")[0], 404)


if __name__ == "__main__":
    unittest.main()
