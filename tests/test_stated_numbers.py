"""Numbers that other parties state, at and beyond what processes can add up, encode or convert."""

import random
import unittest
from dataclasses import replace

import anyio
import msgspec
from loguru import logger

from benchmarks.virtual_time import LoopClock, VirtualTimeLoop
from carawayhub.errors import PlatformError, RequestError
from carawayhub.experts.agent import AgentOptions, ExpertAgent
from carawayhub.gateway.events import EventBuffer
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import WorkRow
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.telling import OwnAddress
from carawayhub.limits.evidence import EndsRow, is_valid
from carawayhub.limits.fingerprint import FINGERPRINT_BYTES
from carawayhub.limits.poison import PoisonRecords
from carawayhub.platform.headers import PlatformWire
from carawayhub.platform.published import configuration_version, decode_route_table
from carawayhub.platform.ranks import _Report, _report
from carawayhub.platform.registrations import decode_endpoint
from carawayhub.tasks import KeptTasks
from tests.gateway_world import rates
from tests.test_experts_members import REPORT, FakeClient, FakeReplica

LARGEST = 2**64 - 1
NUMBERS = (2**31, 2**53, 2**63 - 1, 2**63, LARGEST, 2**64, 10**30, 10**4000, 10**5000 - 1)
"""Around each bound of an encoding, and beyond what Python converts."""


def digits(number: int) -> bytes:
    """Return a number of any size in decimal."""
    return (b"9" * 5000) if number > 10**4000 else str(number).encode()


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def scope(**headers: bytes) -> dict:
    """Return an ASGI scope with some headers."""
    named = [(name.replace("_", "-").encode(), value) for name, value in headers.items()]
    return {
        "method": "POST",
        "headers": [(b"host", b"a.example"), *named],
        "query_string": b"",
        "raw_path": b"/chat/1",
    }


class Entry:
    """The gossip of one entry and its work in flight."""

    def __init__(self) -> None:
        self.clock = LoopClock()
        self.loads = Loads()
        self.gossip = Gossip(
            OwnAddress(ip="10.0.0.1", port=1, callers="10.0.0.1:2", failure_domain="a"),
            frozenset({"10.0.0.2"}),
            self.loads,
            PoisonRecords(self.clock),
            rates(self.clock),
            self.clock,
            random.Random(1),
        )


class Callers(unittest.TestCase):
    """Numbers in the headers of a request."""

    def run_gossip(self, works: list[Work], seconds: float = 0.5) -> int:
        """Run the gossip of an entry with some work in flight; return the datagrams it sent."""
        sent: list[bytes] = []

        async def main() -> None:
            entry = Entry()
            for number, work in enumerate(works):
                entry.loads.begin(f"i-{number % 2}", work)

            async def send(ip: str, data: bytes) -> None:
                sent.append(data)

            peer = Entry().gossip
            peer.own.address = OwnAddress(
                ip="10.0.0.2", port=1, callers="10.0.0.2:2", failure_domain="a"
            )
            for data in peer._builder.introductions(["10.0.0.1"]).values():
                received = entry.gossip.read(data)
                assert received is not None
                entry.gossip.take(received)
            with anyio.move_on_after(seconds):
                await entry.gossip.send_rounds(send)

        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
        return len(sent)

    def test_entry_survives_any_number_of_tokens(self) -> None:
        """Guards against entries that end because of one request that states many tokens.

        The sum of the tokens of requests in flight goes to other entries in 64 bits.
        """
        for number in NUMBERS:
            with self.subTest(digits=len(digits(number))):
                counts = digits(number) + b"," + digits(number)
                req = PlatformWire().request(scope(carawayhub_token_counts=counts))
                work = Work(1, req.prompt_tokens, req.prompt_tokens + req.answer_tokens)
                self.assertGreater(self.run_gossip([work] * 5000), 3)

    def test_tokens_are_counted_as_stated_where_endpoints_have_memory_for_them(self) -> None:
        for text, expected in ((b"1460,80", (1460, 80)), (b" 7 ,-1", (7, 0)), (b"007,0", (7, 0))):
            req = PlatformWire().request(scope(carawayhub_token_counts=text))
            self.assertEqual((req.prompt_tokens, req.answer_tokens), expected)

    def test_numbers_are_forwarded_as_stated(self) -> None:
        """Guards against an endpoint that gets other token counts than its caller stated."""
        counts = digits(LARGEST) + b",1"
        req = PlatformWire().request(scope(carawayhub_token_counts=counts))
        self.assertIn((b"carawayhub-token-counts", counts), req.headers)

    def test_any_deadline_is_a_time(self) -> None:
        """Guards against an error in place of an answer for a caller that waits without limit."""
        for text in (b"inf", b"1e400", b"1e300", digits(LARGEST), b"9" * 5000):
            req = PlatformWire().request(scope(carawayhub_request_deadline=text))
            assert req.wait_seconds is not None
            self.assertLess(req.wait_seconds, 1e6)
        for text in (b"nan", b"-1", b"0", b"soon"):
            with self.assertRaises(RequestError):
                PlatformWire().request(scope(carawayhub_request_deadline=text))


class Replicas(unittest.TestCase):
    """Numbers in answers of endpoints."""

    def test_fractions_of_any_length_are_read(self) -> None:
        """Guards against a limit or a backoff that is ignored since 7 / 3 has many digits."""
        wire = PlatformWire()
        for text, value in (
            (b"2.3333333333333335", 7 / 3),
            (b"2.6666666666666665", 8 / 3),
            (b"0.1000000000000000055511151231257827", 0.1),
            (b"2." + b"3" * 10_000, 7 / 3),
        ):
            with self.subTest(text=text[:20]):
                limit = wire.answer(200, [(b"Server-Limit", text)]).limit
                self.assertAlmostEqual(limit.per_second, value, places=12)
                backoff = wire.answer(503, [(b"Retry-After", text)]).backoff
                self.assertAlmostEqual(backoff.seconds, value, places=12)
                cold = wire.answer(200, [(b"Carawayhub-Cold-Remaining", text)]).cold_left
                self.assertAlmostEqual(cold, value / 1000, places=12)

    def test_event_ids_of_any_length_are_compared(self) -> None:
        """Guards against a stream that fails because of an id that Python does not convert."""
        events = EventBuffer()
        long = b"9" * 5000
        for event_id in (b"1", b"2", long):
            event = b"id: " + event_id + b"\ndata: x\n\n"
            self.assertEqual(events.feed(event), event)
        events.restart()
        self.assertEqual(events.feed(b"id: 3\ndata: x\n\n"), b"")
        self.assertEqual(events.last_id, long)


class Peers(unittest.TestCase):
    """Numbers in datagrams of other entries and agents."""

    def test_work_that_cannot_be_added_up_is_not_taken(self) -> None:
        for number in (2**62, LARGEST):
            with self.assertRaises(msgspec.DecodeError):
                data = msgspec.msgpack.encode([1, 1, number, number])
                msgspec.msgpack.decode(data, type=WorkRow)

    def test_ends_that_cannot_be_announced_again_are_not_taken(self) -> None:
        row = EndsRow(bytes(FINGERPRINT_BYTES), 0, [1], 0.1, [5], [2])
        self.assertTrue(is_valid(row))
        for bad in ({"series": LARGEST}, {"end_ages": [LARGEST]}, {"end_events": [LARGEST]}):
            self.assertFalse(is_valid(msgspec.structs.replace(row, **bad)))


class Store(unittest.TestCase):
    """Numbers in the store, also in entries of other writers."""

    CONFIG = {
        "Version": 3,
        "Routes": [
            {"Name": "r", "Host": "h", "Prefix": "/a/", "Kind": "idempotent", "Service": "s"}
        ],
        "Services": [{"Name": "s"}],
    }

    def test_versions_beyond_64_bits_are_refused(self) -> None:
        """Guards against entries that end when they announce the version in force."""
        for number in (LARGEST, 2**64, 10**30):
            value = msgspec.json.encode(self.CONFIG).replace(
                b'"Version":3', b'"Version":%d' % number
            )
            self.assertIsNone(configuration_version(value))
            with self.assertRaises(PlatformError):
                decode_route_table(value)

    def test_priorities_beyond_64_bits_are_refused(self) -> None:
        value = msgspec.json.encode(self.CONFIG).replace(
            b'"Kind"', b'"Priority":%d,"Kind"' % LARGEST
        )
        with self.assertRaises(PlatformError):
            decode_route_table(value)

    def test_times_without_limit_are_bounded(self) -> None:
        value = msgspec.json.encode(self.CONFIG).replace(b'"Kind"', b'"TimeoutMs":1e308,"Kind"')
        (route,) = decode_route_table(value).routes()
        self.assertLess(route.timeout, 1e7)

    def test_entries_with_numbers_beyond_64_bits_are_unreadable(self) -> None:
        entry = {
            "Service": "s",
            "Address": "10.0.0.1:80",
            "Zone": "a",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdLeftMs": 0,
            "Seq": 1,
            "born": 1,
        }
        decode_endpoint("servers/i-1", msgspec.json.encode(entry))
        for field in ("Slots", "Seq", "born"):
            value = msgspec.json.encode(entry).replace(
                b'"%s":%d' % (field.encode(), entry[field]), b'"%s":%d' % (field.encode(), 2**64)
            )
            with self.assertRaises(PlatformError):
                decode_endpoint("servers/i-1", value)


class Ranks(unittest.TestCase):
    """Numbers in reports of ranks."""

    def test_numbers_that_agents_cannot_exchange_are_malformed(self) -> None:
        """Guards against an agent that ends when it hands on the report of its rank."""
        for field in (b"step", b"held", b"Map", b"born"):
            body = b'{"group":{"Name":"g"},"%s":%d}' % (field, 2**64)
            with self.assertRaises((msgspec.ValidationError, ValueError)):
                _report(msgspec.json.decode(body, type=_Report))


class Tasks(unittest.TestCase):
    """Errors that nobody expected."""

    def test_failed_task_runs_again(self) -> None:
        """Guards against the end of a process because of an error in one of its tasks."""
        tasks = KeptTasks()
        calls: list[int] = []

        async def work() -> None:
            calls.append(1)
            if len(calls) < 3:
                raise OverflowError("too large")

        async def main() -> None:
            await tasks.run("work", work)

        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
        self.assertEqual(len(calls), 3)
        self.assertEqual(tasks.failures, {"work": 2})

    def test_agent_goes_on_after_an_error_that_nobody_expected(self) -> None:
        """Guards against an agent that ends because of one report of its rank."""

        class Broken(FakeClient):
            polls = 0

            async def report(self):
                self.polls += 1
                if self.polls == 1:
                    raise OverflowError("too large")
                return replace(REPORT, rank=1)

        rank = Broken(FakeReplica(1, "i-1"))

        async def main() -> None:
            options = AgentOptions(ip="127.0.0.1", port=0, link_rate=0.0, direct=lambda *_: rank)
            agent = ExpertAgent(options, rank, None, LoopClock())
            with anyio.move_on_after(3.0):
                await agent._poll_loop()

        anyio.run(main, backend_options={"loop_factory": VirtualTimeLoop})
        self.assertGreater(rank.polls, 1)


if __name__ == "__main__":
    unittest.main()
