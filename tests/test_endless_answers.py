"""Servers that send bytes without end, in a head or a body, until their client closes."""

import time
import unittest
from collections.abc import Callable

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.endpoints.boundedreads import (
    MAX_ANSWER_BYTES,
    AnswerMemory,
    AnswerTooLargeError,
    CollectedAnswer,
)
from carawayhub.errors import GroupError, PlatformError, RequestError
from carawayhub.gateway.events import MAX_EVENT_BYTES, EventBuffer
from carawayhub.gateway.model import Repeat
from carawayhub.platform.client import PlatformClient
from carawayhub.platform.ranks import RankClient
from carawayhub.platform.store import StoreClient
from tests.entry_harness import EntryHarness
from tests.scripted_endpoint import SEAL, ScriptedEndpoint, Taken, chunk, event, stream_head, whole

BLOCK = 65_536
SOCKET_BYTES = 16 * 1024 * 1024
"""Most bytes that the sockets of a connection hold between a sender and its receiver."""

DEADLINE_SECONDS = 3.0
"""Time that the callers of the harness wait."""


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Endless:
    """The script of an endpoint that sends a block again and again.

    Args:
        head: Returns what comes before the blocks.
        block: The block.
        pause: Seconds between two blocks.

    Attributes:
        sent: Bytes that its clients have taken, sockets included.
        closed: Connections that were closed by their client.
    """

    def __init__(self, head: Callable[[Taken], bytes], block: bytes, pause: float = 0.0) -> None:
        self.head, self.block, self.pause = head, block, pause
        self.sent = 0
        self.closed = 0

    async def __call__(self, stream, taken: Taken) -> None:
        try:
            await stream.send(self.head(taken))
            while True:
                await stream.send(self.block)
                self.sent += len(self.block)
                await anyio.sleep(self.pause)
        except anyio.BrokenResourceError:
            self.closed += 1
            raise


def plain_head(taken: Taken, framing: bytes = b"") -> bytes:
    """Return the head of an answer that is no stream."""
    head = b"HTTP/1.1 200 OK\r\nCarawayhub-Request-Id: %s\r\n" % taken.id
    return head + SEAL + framing + b"\r\n"


def chunked_head(taken: Taken) -> bytes:
    """Return the head of an answer in chunks."""
    return plain_head(taken, b"Transfer-Encoding: chunked\r\n")


def long_head(taken: Taken) -> bytes:
    """Return the head of an answer that states an enormous length."""
    return plain_head(taken, b"Content-Length: 1000000000000\r\n")


def bodies() -> dict[str, Endless]:
    """Return endpoints whose answers do not end."""
    return {
        "body without length": Endless(plain_head, b"x" * BLOCK),
        "chunks": Endless(chunked_head, chunk(b"x" * BLOCK)),
        "length of a terabyte": Endless(long_head, b"x" * BLOCK),
        "head": Endless(lambda taken: b"HTTP/1.1 200 OK\r\n", b"x-filler: 1\r\n" * 500),
        "one line of a head": Endless(lambda taken: b"HTTP/1.1 200 OK\r\nx: ", b"y" * BLOCK),
        "no answer at all": Endless(lambda taken: b"", b"\x00\xff" * (BLOCK // 2)),
        "interim answers": Endless(lambda taken: b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
        "a byte now and then": Endless(chunked_head, chunk(b"x"), pause=0.02),
        "a header now and then": Endless(
            lambda taken: b"HTTP/1.1 200 OK\r\n", b"x-filler: 1\r\n", pause=0.02
        ),
    }


def streams() -> dict[str, Endless]:
    """Return endpoints whose streams do not get on after their first event."""

    def first(taken: Taken) -> bytes:
        return stream_head(taken) + chunk(event(1))

    return {
        "event": Endless(first, chunk(b"x" * BLOCK)),
        "a byte now and then": Endless(first, chunk(b"x"), pause=0.02),
    }


async def answers(stream, taken: Taken) -> None:
    await stream.send(whole(taken))


async def streams_two(stream, taken: Taken) -> None:
    """Send two events, or the second one where the first is known."""
    after = int(taken.headers.get("last-event-id", "0"))
    events = [chunk(event(number)) for number in (1, 2) if number > after]
    await stream.send(stream_head(taken) + b"".join(events) + chunk(b""))


class Callers(unittest.TestCase):
    """What callers of an entry get."""

    def ask(self, scripts, repeat: Repeat = Repeat.IDEMPOTENT, requests: int = 1) -> list:
        """Send requests to an entry, one after the other; return the replies."""
        replies = []

        async def scenario(harness: EntryHarness) -> None:
            for _ in range(requests):
                replies.append(await harness.ask())
            await anyio.sleep(0.1)

        self.harness = EntryHarness(scripts, repeat=repeat)
        self.harness.run(scenario)
        return replies

    def test_another_replica_answers(self) -> None:
        """Guards against entries that run out of memory, and callers that get nothing.

        An entry collected whatever came until the time of the request was over: 80 MB in 3 s.
        """
        for name, endless in bodies().items():
            for scripts in ([endless, answers], [answers, endless]):
                with self.subTest(name=name, first=scripts[0] is endless):
                    replies = self.ask(scripts, requests=2)
                    self.assertEqual([each.status for each in replies], [200, 200])
                    self.assertLess(max(each.seconds for each in replies), DEADLINE_SECONDS)
            self.assertGreater(endless.closed, 0, name)
            most = endless.closed * (MAX_ANSWER_BYTES + SOCKET_BYTES)
            self.assertLess(endless.sent, most, name)

    def test_answers_that_are_cut_are_counted(self) -> None:
        self.ask([bodies()["chunks"], bodies()["chunks"]])
        line = 'carawayhub_gateway_cut_answers_total{service="plain",code="3008"} 2'
        self.assertIn(line, self.harness.tally.page().splitlines())

    def test_caller_is_answered_by_its_deadline(self) -> None:
        """Guards against callers that wait in vain where every replica is in trouble."""
        for name in bodies():
            with self.subTest(name=name):
                (reply,) = self.ask([bodies()[name], bodies()[name]])
                self.assertIn(reply.status, (502, 504))
                self.assertLess(reply.seconds, DEADLINE_SECONDS + 0.3)

    def test_request_that_may_run_once_is_not_sent_again(self) -> None:
        """Guards against a booking that runs twice because its answer had no end."""
        for name in ("chunks", "head", "a byte now and then"):
            with self.subTest(name=name):
                (reply,) = self.ask([bodies()[name], bodies()[name]], Repeat.ONCE)
                self.assertIn(reply.status, (502, 504))
                self.assertEqual(len(self.harness.taken()), 1)

    def test_stream_goes_on_at_another_replica(self) -> None:
        """Guards against streams that stop, and memory that fills, at an event without end."""
        for name, endless in streams().items():
            with self.subTest(name=name):
                for scripts in ([endless, streams_two], [streams_two, endless]):
                    for reply in self.ask(scripts, Repeat.STREAM, requests=2):
                        self.assertTrue(reply.whole)
                        self.assertEqual(reply.body.count(b"line 1\n"), 1)
                        self.assertEqual(reply.body.count(b"line 2\n"), 1)
                self.assertGreater(endless.closed, 0)
                self.assertLess(endless.sent, endless.closed * (MAX_EVENT_BYTES + SOCKET_BYTES))

    def test_sound_large_answers_pass(self) -> None:
        """Guards against bounds that cut answers which are only large."""
        sizes = (100_000, 4 * 1024 * 1024, MAX_ANSWER_BYTES)

        def in_chunks(body: bytes):
            async def script(stream, taken: Taken) -> None:
                parts = (body[at : at + BLOCK] for at in range(0, len(body), BLOCK))
                data = b"".join(map(chunk, parts))
                await stream.send(chunked_head(taken) + data + chunk(b""))

            return script

        def with_length(body: bytes):
            async def script(stream, taken: Taken) -> None:
                await stream.send(whole(taken, body))

            return script

        for size in sizes:
            for script in (in_chunks, with_length):
                with self.subTest(size=size, script=script.__name__):
                    body = b"z" * size
                    (reply,) = self.ask([script(body)])
                    self.assertEqual(reply.status, 200)
                    self.assertEqual(reply.body, body)

    def test_event_of_half_a_megabyte_passes(self) -> None:
        large = b"id: 1\ndata: " + b"z" * (MAX_EVENT_BYTES // 2) + b"\n\n"

        async def script(stream, taken: Taken) -> None:
            await stream.send(stream_head(taken) + chunk(large) + chunk(b""))

        (reply,) = self.ask([script], Repeat.STREAM)
        self.assertTrue(reply.whole)
        self.assertIn(large, reply.body)


class Memory(unittest.IsolatedAsyncioTestCase):
    """The memory that all collected answers share."""

    @staticmethod
    async def parts(size: int):
        for _ in range(size // BLOCK):
            yield b"x" * BLOCK

    async def test_large_answers_share_a_bound_and_give_it_back(self) -> None:
        """Guards against an entry that ends because several answers are large at once."""
        memory = AnswerMemory(MAX_ANSWER_BYTES)
        with CollectedAnswer(memory) as first:
            await first.read(self.parts(MAX_ANSWER_BYTES * 3 // 4))
            with CollectedAnswer(memory) as second, self.assertRaises(AnswerTooLargeError):
                await second.read(self.parts(MAX_ANSWER_BYTES // 2))
            with CollectedAnswer(memory) as third:
                self.assertEqual(len(await third.read(self.parts(BLOCK))), BLOCK)
        with CollectedAnswer(memory) as fourth:
            await fourth.read(self.parts(MAX_ANSWER_BYTES))

    async def test_stated_length_is_judged_before_the_body_is_read(self) -> None:
        async def unread():
            raise AssertionError
            yield b""

        with CollectedAnswer(AnswerMemory()) as answer, self.assertRaises(AnswerTooLargeError):
            await answer.read(unread(), MAX_ANSWER_BYTES + 1)


class Events(unittest.TestCase):
    """Events whose end does not come."""

    def test_event_in_tiny_parts_costs_no_more_than_in_one(self) -> None:
        """Guards against an entry that only copies: each part took a copy of all before."""
        events = EventBuffer()
        began = time.process_time()
        for _ in range(500_000):
            events.feed(b"x")
        self.assertLess(time.process_time() - began, 5.0)

    def test_event_without_end_is_refused(self) -> None:
        events = EventBuffer()
        with self.assertRaises(RequestError) as caught:
            for _ in range(2 * MAX_EVENT_BYTES // BLOCK):
                events.feed(b"x" * BLOCK)
        self.assertIs(caught.exception.code, Code.ANSWER_TOO_LARGE)

    def test_blank_line_in_two_parts_ends_an_event(self) -> None:
        for blank in (b"\n\n", b"\r\n\r\n"):
            for cut in range(1, len(blank)):
                events = EventBuffer()
                self.assertEqual(events.feed(b"id: 1" + blank[:cut]), b"")
                self.assertEqual(events.feed(blank[cut:] + b"id"), b"id: 1" + blank)


class Clients(unittest.TestCase):
    """Clients of ranks and of the store."""

    def call(self, script: Endless, call) -> float:
        """Call a server that sends without end; return the seconds that the call took."""
        seconds = []

        async def main() -> None:
            server = ScriptedEndpoint(script)
            async with anyio.create_task_group() as tasks:
                await tasks.start(server.serve)
                began = time.monotonic()
                await call(Address.parse(server.address))
                seconds.append(time.monotonic() - began)
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        return seconds[0]

    def assert_cut(self, call) -> None:
        for name, endless in bodies().items():
            with self.subTest(name=name):
                self.assertLess(self.call(endless, call), 2.5)
                self.assertEqual(endless.closed, 1)
                self.assertLess(endless.sent, MAX_ANSWER_BYTES + SOCKET_BYTES)

    def test_report_of_a_rank(self) -> None:
        """Guards against agents that run out of memory beside a rank in trouble."""

        async def call(address: Address) -> None:
            with self.assertRaises(GroupError):
                await RankClient(address).report()

        self.assert_cut(call)

    def test_store(self) -> None:
        """Guards against entries that run out of memory while they read the store."""

        async def call(address: Address) -> None:
            with self.assertRaises(PlatformError):
                await StoreClient(address).revision()

        self.assert_cut(call)

    def test_watch_of_the_store_is_cut_long_before_its_time_is_over(self) -> None:
        async def call(address: Address) -> None:
            with self.assertRaises(PlatformError):
                await StoreClient(address).changes(await self.revision(), 20.0)

        for name in ("body without length", "chunks", "head", "interim answers"):
            with self.subTest(name=name):
                self.assertLess(self.call(bodies()[name], call), 2.5)

    @staticmethod
    async def revision():
        return StoreClient(Address("127.0.0.1", 1)).mirror.revision

    def test_configuration_service(self) -> None:
        async def call(address: Address) -> None:
            with self.assertRaises(PlatformError):
                await PlatformClient(f"http://{address}").vms(0, 0.0)

        for name in ("body without length", "chunks", "head", "interim answers"):
            with self.subTest(name=name):
                self.assertLess(self.call(bodies()[name], call), 2.5)


if __name__ == "__main__":
    unittest.main()
