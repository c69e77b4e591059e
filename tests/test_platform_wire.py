"""Platform adapter: settings, configuration, registrations, calls to the store and to ranks."""

import base64
import json
import unittest
from urllib.parse import parse_qs, urlsplit

import anyio

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError, GroupError, PlatformError
from carawayhub.experts.demand import GrowthMeter
from carawayhub.experts.model import Arm, Go, Hold, OrderAnswer, Prepare
from carawayhub.gateway.model import EndpointState, Repeat
from carawayhub.gateway.ports import (
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    TablePublished,
)
from carawayhub.gateway.revision import Revision
from carawayhub.platform.published import decode_route_table
from carawayhub.platform.ranks import RankClient
from carawayhub.platform.registrations import decode_endpoint
from carawayhub.platform.settings import parse_node_settings
from carawayhub.platform.store import StoreClient
from tests.scripted_endpoint import ScriptedEndpoint

SETTINGS = """
Node = "front-1"
Ip = "10.1.0.40"
Zone = "brest-hall"
Region = "bzh-west"
PortRange = [7340,7355]
Seeds = ["10.1.0.40:8229","10.2.0.29:8229"]
SomethingNew = 4
BeatIntervalMs = 1200
[ListenAddrs]
Front = "10.1.0.40:8227"
Ready = "10.1.0.40:8220"
Directory = "10.1.0.40:8224"
[Bounds]
RevokeMs = 5000
DrainMs = 2000
GraceS = 8
BudgetExtra = 88
[Platform]
Address = "10.200.1.7:8223"
"""

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Host": "Ficu95.example",
            "Prefix": "/songs/",
            "Kind": "streaming",
            "TimeoutMs": 8000,
            "FullCreditMs": 402,
            "Priority": 1,
            "Split": [{"Service": "a", "Weight": 90}, {"Service": "b", "Weight": 10}],
            "MaxAttempts": 2,
            "Public": False,
            "Resumable": True,
            "GapTargetMs": 120,
        },
        {
            "Name": "r2",
            "Host": "ficu95.example",
            "Prefix": "/tags/",
            "Kind": "non_idempotent",
            "Service": "b",
        },
    ],
    "Services": [
        {
            "Name": "a",
            "HealthPath": "/health",
            "MaxConns": 248,
            "Engine": {
                "Slots": 6,
                "KvCapacity": 186000,
                "Stride": 5,
                "step_ms": 5.85,
                "Sets": 3,
                "Experts": 96,
                "Places": 11,
                "Spare": 4,
                "ExpertMb": 780.0,
                "ExpertShare": 0.85,
                "usual": {"prompt": 835, "answer": 138},
            },
        },
        {"Name": "b", "HealthPath": "/health", "MaxConns": 96},
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
    "Tenants": [{"Name": "hule930", "Keys": ["k1", "k2"], "Priority": 1}],
}

BEAT = {
    "Service": "a",
    "Address": "10.1.0.9:8601",
    "Zone": "brest-hall",
    "Version": "v1",
    "Slots": 6,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 4,
    "Stage": "unified",
}


class Settings(unittest.TestCase):
    """Decoding of settings files."""

    def test_fields_and_unknown_ones(self) -> None:
        settings = parse_node_settings(SETTINGS, "local.toml")
        self.assertEqual(settings.callers, Address("10.1.0.40", 8227))
        self.assertIsNone(settings.endpoint)
        self.assertEqual(settings.bounds.revoke_after, 5.0)
        self.assertEqual(settings.heartbeat, 1.2)
        self.assertEqual(len(settings.seeds), 2)
        self.assertEqual(settings.lifted, frozenset())
        lifted = parse_node_settings('LiftedRejections = ["5c1E"]' + SETTINGS, "local.toml").lifted
        self.assertEqual(lifted, {b"\x5c\x1e"})

    def test_bad_settings_name_the_field(self) -> None:
        for bad, field in (
            (SETTINGS.replace('Node = "front-1"', ""), "Node"),
            (SETTINGS.replace("[7340,7355]", '"7340"'), "PortRange"),
            (SETTINGS.replace("10.200.1.7:8223", "somewhere"), "somewhere"),
            (SETTINGS.replace("RevokeMs = 5000", 'RevokeMs = "soon"'), "RevokeMs"),
            ('LiftedRejections = ["part 7"]' + SETTINGS, "LiftedRejections"),
            ("Node = ", "local.toml"),
        ):
            with self.subTest(field=field), self.assertRaises(CommandError) as caught:
                parse_node_settings(bad, "local.toml")
            self.assertEqual(caught.exception.code, Code.SETTINGS_INVALID)
            self.assertIn(field, str(caught.exception))


class Config(unittest.TestCase):
    """Decoding of the configuration and of registrations."""

    def test_configuration(self) -> None:
        table = decode_route_table(json.dumps(CONFIG).encode())
        route = table.match("ficu95.example", "/songs/9")
        self.assertEqual((route.repeat, route.timeout, route.gap), (Repeat.STREAM, 8.0, 0.12))
        self.assertEqual([share.weight for share in route.shares], [90, 10])
        self.assertFalse(table.match("ficu95.example", "/tags/1").repeatable)
        self.assertEqual(table.organisations["k2"].name, "hule930")
        self.assertEqual(table.services["a"].engine.experts.expert_bytes, 780e6)
        self.assertIsNone(table.services["b"].engine)

    def test_empty_list_of_tenants_closes_all_routes_that_are_not_public(self) -> None:
        """A configuration that takes the last tenant away opens every route to everybody."""
        closed = decode_route_table(json.dumps(CONFIG | {"Tenants": []}).encode())
        self.assertTrue(closed.keys_required)
        self.assertEqual(dict(closed.organisations), {})
        open_to_all = {name: value for name, value in CONFIG.items() if name != "Tenants"}
        self.assertFalse(decode_route_table(json.dumps(open_to_all).encode()).keys_required)
        with self.assertRaises(PlatformError):
            decode_route_table(json.dumps(CONFIG | {"Tenants": None}).encode())

    def test_unreadable_configuration_is_an_error_with_the_field(self) -> None:
        for change in ({"Version": "x"}, {"Routes": [{"Name": "r"}]}, {"Services": None}):
            with self.subTest(change=change), self.assertRaises(PlatformError) as caught:
                decode_route_table(json.dumps(CONFIG | change).encode())
            self.assertEqual(caught.exception.code, Code.PLATFORM_MALFORMED)
        unknown = json.loads(json.dumps(CONFIG))
        unknown["Routes"][0]["Kind"] = "sometimes"
        with self.assertRaises(PlatformError) as caught:
            decode_route_table(json.dumps(unknown).encode())
        self.assertIn("sometimes", str(caught.exception))

    def test_registration(self) -> None:
        endpoint = decode_endpoint("servers/i-1", json.dumps(BEAT).encode())
        self.assertEqual((endpoint.id, endpoint.places), ("i-1", 6))
        self.assertIs(endpoint.state, EndpointState.READY)
        draining = decode_endpoint("servers/i-1", json.dumps(BEAT | {"State": "draining"}).encode())
        self.assertIs(draining.state, EndpointState.DRAINING)
        with self.assertRaises(PlatformError):
            decode_endpoint("servers/i-1", b'{"Service":"a"}')


def item(key: str, value: object, revision: int = 1) -> dict:
    encoded = base64.b64encode(json.dumps(value).encode()).decode()
    return {"Key": key, "Value": encoded, "Rev": revision, "CreatedRev": 3, "Lease": 0}


class JsonServer:
    """Test server that maps each path to a function of the query and the body."""

    def __init__(self, calls: dict) -> None:
        self.calls = calls
        self.requests: list[tuple[str, dict, dict | None]] = []

    def run(self, scenario) -> None:
        async def script(stream, taken) -> None:
            url = urlsplit(taken.line.split()[1])
            query = {key: values[0] for key, values in parse_qs(url.query, True).items()}
            body = json.loads(taken.body) if taken.body else None
            self.requests.append((url.path, query, body))
            status, answer = self.calls[url.path](query, body)
            data = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            await stream.send(head + data)

        async def main() -> None:
            server = ScriptedEndpoint(script)
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.serve)
                with anyio.fail_after(10.0):
                    await scenario(Address.parse(server.address))
                tasks.cancel_scope.cancel()

        anyio.run(main)


class Store(unittest.TestCase):
    """Calls to the store."""

    def pages(self, query: dict, body: object) -> tuple[int, dict]:
        if query["Prefix"] == "op/":
            return 200, {"Items": [item("op/config", CONFIG)], "HasMore": False, "CurrentRev": 9}
        if "After" not in query:
            items = [item("servers/i-1", BEAT), item("servers/i-2", "no object")]
            return 200, {"Items": items, "HasMore": True, "CurrentRev": 11}
        self.assertEqual(query["After"], "servers/i-2")
        return 200, {"Items": [item("servers/i-3", BEAT)], "HasMore": False, "CurrentRev": 12}

    def test_snapshot_reads_all_pages_and_keeps_the_first_revision(self) -> None:
        server = JsonServer({"/v1/kv-range": self.pages})

        async def scenario(address: Address) -> None:
            published = await StoreClient(address).snapshot()
            self.assertEqual(published.revision, Revision(0, 9))
            found = [c.endpoint for c in published.changes if isinstance(c, EndpointPublished)]
            self.assertEqual([each.id for each in found], ["i-1", "i-3"])
            self.assertEqual([each.registered for each in found], [Revision(0, 3)] * 2)
            self.assertIsInstance(published.changes[0], TablePublished)
            unreadable = [c for c in published.changes if isinstance(c, EndpointUnreadable)]
            self.assertEqual([each.replica for each in unreadable], ["i-2"])

        server.run(scenario)

    def test_watch_gives_changes_removals_and_lost_history(self) -> None:
        events = [item("servers/i-1", BEAT, 12), {"Key": "servers/i-2", "Rev": 13, "Deleted": True}]

        def watch(query: dict, body: object) -> tuple[int, dict]:
            if query["After"] == "5":
                return 410, {}
            return 200, {"events": events, "CurrentRev": 13}

        async def scenario(address: Address) -> None:
            store = StoreClient(address)
            published = await store.changes(Revision(0, 11), 1.5)
            self.assertEqual(published.revision, Revision(0, 13))
            self.assertEqual(published.changes[0].endpoint.registered, Revision(0, 3))
            self.assertEqual(published.changes[1], EndpointRemoved("i-2"))
            self.assertIsNone(await store.changes(Revision(0, 5), 1.5))

        JsonServer({"/v1/kv-watch": watch}).run(scenario)

    def test_refusals_and_nonsense_are_errors(self) -> None:
        answers = iter([(503, {}), (429, {}), (200, b"<html>"), (200, {"Items": []})])

        async def scenario(address: Address) -> None:
            store = StoreClient(address)
            for code in (Code.PLATFORM_UNREACHABLE,) * 2 + (Code.PLATFORM_MALFORMED,) * 2:
                with self.assertRaises(PlatformError) as caught:
                    await store.revision()
                self.assertEqual(caught.exception.code, code)

        JsonServer({"/v1/kv-range": lambda query, body: next(answers)}).run(scenario)

    def test_silent_store_is_given_up(self) -> None:
        """The connection stays open without data; waiting on it would hide every change."""

        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def main() -> None:
            server = ScriptedEndpoint(silent)
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.serve)
                with anyio.fail_after(5.0), self.assertRaises(PlatformError):
                    await StoreClient(Address.parse(server.address)).revision()
                tasks.cancel_scope.cancel()

        anyio.run(main)


REPORT = {
    "group": {"Name": "g0", "epoch": 3, "rank": 2, "State": "open"},
    "size": 12,
    "Seq": 5,
    "Queued": 1,
    "InFlight": 4,
    "step": 90,
    "Map": 7,
    "Prepared": 8,
    "Armed": {"Version": 8, "step": 95},
    "held": 95,
    "pace": 1.0,
}


class Ranks(unittest.TestCase):
    """Calls to ranks."""

    def test_report_counts_and_lists(self) -> None:
        def picked(query: dict, body: object) -> tuple[int, dict]:
            if "Lists" in query:
                return 200, {
                    "step": 90,
                    "epoch": 3,
                    "Map": {"Version": 7, "Experts": [[1, 2], [3]]},
                    "Prepared": None,
                }
            return 200, {"step": 90, "epoch": 3, "Counts": [5, 0, 9]}

        async def scenario(address: Address) -> None:
            rank = RankClient(address)
            report = await rank.report()
            self.assertEqual((report.group, report.epoch, report.rank), ("g0", 3, 2))
            self.assertEqual((report.version, report.prepared, report.armed), (7, 8, 8))
            self.assertEqual((report.armed_step, report.held), (95, 95))
            counts = await rank.counts()
            self.assertEqual((counts.counts, counts.present), ((5, 0, 9), 5))
            held = await rank.held_experts()
            self.assertEqual((held.version, held.experts), (7, ((1, 2), (3,))))

        calls = {"/v1/report": lambda query, body: (200, REPORT), "/v1/picked": picked}
        JsonServer(calls).run(scenario)

    def test_counts_tell_how_slow_a_rank_is(self) -> None:
        """Guards against a balancer that takes a slow rank for one at its usual speed."""
        picked = {"step": 90, "epoch": 3, "Counts": [5, 0, 9]}
        slow = {name: each for name, each in REPORT.items() if name != "pace"}
        for report, expected in ((REPORT | {"pace": 3.5}, 3.5), (slow, 1.0)):
            calls = {
                "/v1/report": lambda query, body, report=report: (200, report),
                "/v1/picked": lambda query, body: (200, picked),
            }

            async def scenario(address: Address, expected: float = expected) -> None:
                counts = await RankClient(address).counts()
                self.assertEqual(counts.slowdown, expected)
                growth = GrowthMeter().measure(counts)
                self.assertEqual(growth.slowdown, expected)

            with self.subTest(slowdown=expected):
                JsonServer(calls).run(scenario)

    def test_orders_carry_formation_and_fence(self) -> None:
        statuses = iter([202, 200, 409, 500])
        server = JsonServer({"/v1/order": lambda query, body: (next(statuses), {})})

        async def scenario(address: Address) -> None:
            rank = RankClient(address)
            answers = [
                await rank.order(Prepare(8, (((0,), (1,)),)), 3, 5),
                await rank.order(Arm(8, 95), 3, 6),
                await rank.order(Hold(95), 3, 6),
                await rank.order(Go(95), 3, 7),
            ]
            expected = [OrderAnswer.ACCEPTED] * 2 + [OrderAnswer.REFUSED, OrderAnswer.UNKNOWN]
            self.assertEqual(answers, expected)

        server.run(scenario)
        bodies = [body for _, _, body in server.requests]
        self.assertEqual([body["Fence"] for body in bodies], [5, 6, 6, 7])
        self.assertEqual({body["epoch"] for body in bodies}, {3})
        self.assertEqual([body["Operation"] for body in bodies], ["prepare", "arm", "Hold", "go"])
        self.assertEqual(bodies[0]["Map"], [[[0], [1]]])

    def test_unreadable_report_is_an_error(self) -> None:
        async def scenario(address: Address) -> None:
            with self.assertRaises(GroupError) as caught:
                await RankClient(address).report()
            self.assertEqual(caught.exception.code, Code.RANK_MALFORMED)

        JsonServer({"/v1/report": lambda query, body: (200, {"size": 1})}).run(scenario)


if __name__ == "__main__":
    unittest.main()
