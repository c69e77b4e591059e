"""Platform adapter: evacuations, cold replicas, regions and the resources of a VM."""

import json
import math
import unittest
from typing import Any, cast

import anyio

from carawayhub.codes import Code
from carawayhub.errors import CommandError, PlatformError
from carawayhub.gateway.directory import DirectoryQuery
from carawayhub.gateway.freshness import Bounds
from carawayhub.gateway.ports import DomainEvacuated, EvacuationEnded
from carawayhub.gateway.revision import Revision
from carawayhub.platform.changes import Event, decode_published
from carawayhub.platform.probes import probe_app
from carawayhub.platform.published import decode_route_table
from carawayhub.platform.registrations import decode_endpoint
from carawayhub.platform.settings import parse_node_settings
from carawayhub.platform.store import StoreClient
from tests.test_platform_wire import BEAT, CONFIG, SETTINGS, JsonServer, item


def changes(*events: Event) -> tuple:
    return decode_published(Revision(2, 9), events).changes


class Evacuations(unittest.TestCase):
    """Keys below ``op/evacuate/``."""

    def test_key_names_a_failure_domain_whatever_its_value(self) -> None:
        events = [Event("op/evacuate/brest", 7, content=value) for value in (b"{}", b"", b"\xff")]
        self.assertEqual(changes(*events), (DomainEvacuated("brest", Revision(2, 7)),) * 3)

    def test_removed_key_ends_the_evacuation(self) -> None:
        self.assertEqual(
            changes(Event("op/evacuate/brest", 8, deleted=True)), (EvacuationEnded("brest"),)
        )

    def test_key_without_a_failure_domain_and_other_keys_mean_nothing(self) -> None:
        self.assertEqual(changes(Event("op/evacuate/", 7), Event("op/other/brest", 8)), ())

    def test_listing_has_evacuations_whose_value_is_not_base64(self) -> None:
        """Guards against an evacuation that is missed since another writer spoiled its value."""

        def pages(query: dict, body: object) -> tuple[int, dict]:
            found = []
            if query["Prefix"] == "op/":
                broken = item("op/evacuate/brest", {}) | {"Value": "%%"}
                found = [item("op/config", CONFIG), broken]
            return 200, {"Items": found, "HasMore": False, "CurrentRev": 9}

        server = JsonServer({"/v1/kv-range": pages})

        async def scenario(address) -> None:
            published = await StoreClient(address).snapshot()
            self.assertIn(DomainEvacuated("brest", Revision(0, 1)), published.changes)
            self.assertEqual(published.unreadable, ())

        server.run(scenario)


class Lookups(unittest.TestCase):
    """Queries of callers to the directory."""

    def test_query_names_host_region_and_failure_domain(self) -> None:
        asked: list[DirectoryQuery] = []

        def addresses(query: DirectoryQuery) -> list[str]:
            asked.append(query)
            return []

        async def look_up(query: bytes) -> None:
            scope = {"path": "/v1/resolve", "query_string": query}

            async def send(message: dict[str, Any]) -> None:
                return

            app = probe_app(lambda: True, addresses, lambda: "")
            await app(scope, cast(Any, None), send)

        anyio.run(look_up, b"Name=caraway.example%3A80&Region=west&Zone=d%201&Other=1")
        anyio.run(look_up, b"Name=")
        stated = DirectoryQuery(host="caraway.example:80", region="west", failure_domain="d 1")
        expected = [stated, DirectoryQuery()]
        self.assertEqual(asked, expected)


class Decoding(unittest.TestCase):
    """Fields of registrations, configurations and settings."""

    def test_registration_states_how_long_the_replica_stays_cold(self) -> None:
        value = json.dumps(BEAT | {"ColdLeftMs": 1500}).encode()
        self.assertEqual(decode_endpoint("servers/i-1", value).cold_left, 1.5)

    def test_configuration_has_cold_bounds_and_allowed_regions(self) -> None:
        service = CONFIG["Services"][0] | {"ColdS": 3.0, "ColdPerS": 26.0}
        routes = [CONFIG["Routes"][0] | {"AllowedRegions": ["west"]}]
        tenants = [{"Name": "armor", "Keys": ["k1"], "AllowedRegions": ["west", "north"]}]
        config = CONFIG | {"Services": [service], "Routes": routes, "Tenants": tenants}
        table = decode_route_table(json.dumps(config).encode())
        found = table.services[service["Name"]]
        self.assertEqual((found.cold_seconds, found.cold_rate), (3.0, 26.0))
        self.assertEqual(table.routes()[0].regions, {"west"})
        self.assertEqual(table.organisations["k1"].regions, {"west", "north"})

    def test_configuration_without_them_restricts_nothing(self) -> None:
        table = decode_route_table(json.dumps(CONFIG).encode())
        self.assertTrue(all(not each.cold_rate for each in table.services.values()))
        self.assertTrue(all(not each.regions for each in table.routes()))

    def test_allowed_region_without_a_name_makes_the_configuration_unreadable(self) -> None:
        """Guards against a list that also allows replicas whose region is unknown."""
        routes = [CONFIG["Routes"][0] | {"AllowedRegions": ["west", ""]}]
        tenants = [{"Name": "armor", "Keys": ["k1"], "AllowedRegions": [" "]}]
        for part in ({"Routes": routes}, {"Tenants": tenants}):
            with self.assertRaises(PlatformError) as caught:
                decode_route_table(json.dumps(CONFIG | part).encode())
            self.assertIn("AllowedRegions", caught.exception.detail)

    def test_settings_have_bounds_resources_and_regions(self) -> None:
        text = SETTINGS.replace(
            "[Bounds]", "[Bounds]\nEvacuateMs = 5000\nColdOverage = 1.5\nColdSlack = 5"
        )
        text += '[Zones]\nbrest-hall = "bzh-west"\n'
        text += "[Limits]\nCpuShare = 0.5\nCores = 2\nMemoryMb = 200\nMaxFds = 4100\n"
        settings = parse_node_settings(text, "local.toml")
        bounds, limits = settings.bounds, settings.limits
        self.assertEqual((bounds.evacuate, bounds.cold_overage, bounds.cold_slack), (5.0, 1.5, 5.0))
        self.assertEqual(settings.regions, {"brest-hall": "bzh-west"})
        self.assertEqual(
            (limits.cores, limits.memory, limits.descriptors), (1.0, 200_000_000, 4100)
        )

    def test_failure_domains_count_in_routing_only_where_the_settings_say_so(self) -> None:
        def margin(first_line: str) -> float:
            return parse_node_settings(first_line + SETTINGS, "local.toml").domain_margin

        self.assertEqual(margin(""), 0.0)
        self.assertGreater(margin('Contracts = ["base", "places"]'), 0.0)
        self.assertEqual(margin('Contracts = ["places"]\nDomainMargin = 0.0'), 0.0)
        self.assertEqual(margin("DomainMargin = 0.5"), 0.5)
        with self.assertRaises(CommandError) as caught:
            margin("DomainMargin = -1.0")
        self.assertEqual(caught.exception.code, Code.SETTINGS_INVALID)

    def test_evacuation_bound_counts_in_how_often_the_store_is_read(self) -> None:
        """Guards against entries that learn of an evacuation too late as other bounds are long."""
        bounds = Bounds(config_apply=9.0, drain=9.0, revoke_after=30.0, evacuate=2.0)
        self.assertEqual(bounds.shortest, 2.0)
        self.assertEqual(Bounds(config_apply=9.0, drain=9.0, revoke_after=30.0).evacuate, math.inf)
        self.assertEqual(Bounds(config_apply=9.0, drain=9.0, revoke_after=30.0).shortest, 9.0)


if __name__ == "__main__":
    unittest.main()
