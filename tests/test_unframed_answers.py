"""Answers with neither a length nor chunks, which end with their connection."""

import unittest

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.codes import Code
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Listening
from carawayhub.errors import RequestError
from carawayhub.gateway.model import EndpointState, Repeat
from carawayhub.gateway.ports import EndpointPublished, Published
from carawayhub.gateway.revision import Revision
from carawayhub.limits.fingerprint import part_fingerprint
from carawayhub.limits.poison import PoisonRecords
from tests.entry_harness import EntryHarness
from tests.gateway_world import endpoint
from tests.scripted_endpoint import SEAL, ClosedError, Taken, event

PART = part_fingerprint(b"", b"5c1e07a2")
PARTS = b"Carawayhub-Prompt-Prefix: 5c1e07a2:800,e4402b7d:250\r\n"


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


def head(taken: Taken, kind: bytes = b"text/event-stream") -> bytes:
    """Return the head of an answer that does not say where its body ends."""
    return b"HTTP/1.1 200 OK\r\nCarawayhub-Request-Id: %s\r\n%sContent-Type: %s\r\n\r\n" % (
        taken.id,
        SEAL,
        kind,
    )


def sends_and_closes(*parts: bytes, kind: bytes = b"text/event-stream"):
    """Return the script of an endpoint that sends an answer, closes the connection and lives."""

    async def script(stream, taken) -> None:
        await stream.send(head(taken, kind) + b"".join(parts))
        raise ClosedError

    return script


class Unframed(unittest.TestCase):
    """What callers get, and what is learned of the request."""

    def ask(self, script, repeat: Repeat = Repeat.STREAM, ends: bool = False, extra: bytes = b""):
        """Send a request with a part that two endpoints ended under; return the reply."""
        found = []

        async def and_end(stream, taken) -> None:
            try:
                await script(stream, taken)
            except ClosedError:
                harness.endpoints[0].end()

        async def scenario(harness: EntryHarness) -> None:
            found.append(await harness.ask(harness.request(extra=PARTS + extra)))

        harness = EntryHarness([and_end if ends else script], repeat=repeat)
        harness.run(scenario)
        self.harness = harness
        return found[0]

    def test_stream_that_ends_between_events_is_whole_and_speaks_for_its_parts(self) -> None:
        """Guards against parts that nothing clears where all answers of a service are such."""
        reply = self.ask(sends_and_closes(event(1), event(2)))
        self.assertTrue(reply.whole)
        self.assertIn(b"line 2", reply.body)
        self.assertTrue(self.harness.records._was_answered(PART))

    def test_stream_that_ends_with_its_endpoint_is_not_whole(self) -> None:
        """Guards against a truncated stream that looks complete, and an end that goes unnoticed."""
        reply = self.ask(sends_and_closes(event(1)), ends=True)
        self.assertIn(b"line 1", reply.body)
        self.assertFalse(reply.whole)
        self.assertFalse(self.harness.records._was_answered(PART))
        self.assertEqual(len(self.harness.records._ends(PART)), 1)

    def test_stream_that_ends_with_its_endpoint_is_resumed_at_another_one(self) -> None:
        replies = []

        def rank(at: int):
            async def script(stream, taken) -> None:
                if taken.headers.get("last-event-id") == "1":
                    await stream.send(head(taken) + event(2))
                    raise ClosedError
                await stream.send(head(taken) + event(1))
                harness.endpoints[at].end()

            return script

        async def scenario(harness: EntryHarness) -> None:
            replies.append(await harness.ask())

        harness = EntryHarness([rank(0), rank(1)], attempts=2)
        harness.run(scenario)
        self.assertEqual([(each.whole, each.body.count(b"line")) for each in replies], [(True, 2)])

    def test_stream_that_ends_inside_an_event_is_broken_off(self) -> None:
        reply = self.ask(sends_and_closes(event(1), b"id: 2\ndata: li"))
        self.assertFalse(reply.whole)
        self.assertNotIn(b"li\n", reply.body)
        self.assertFalse(self.harness.records._was_answered(PART))

    def test_answer_of_an_endpoint_that_has_ended_is_not_taken_for_whole(self) -> None:
        """Guards against clearing by an answer that may have ended with its endpoint."""

        class Refusing:
            async def probe(self, address: Address) -> Listening:
                return Listening.NO

        endings = Endings(
            Refusing(), PoisonRecords(SystemClock()), SystemClock(), lambda service: None
        )
        with self.assertRaises(RequestError) as caught:
            anyio.run(endings.verify_end, Address("127.0.0.1", 1))
        self.assertEqual(caught.exception.code, Code.ANSWER_CUT)

    def test_stream_of_a_leaving_endpoint_that_ends_is_resumed_at_another_one(self) -> None:
        """Guards against a stream that looks complete though its endpoint left in the middle."""
        replies = []

        def rank(at: int):
            async def script(stream, taken) -> None:
                if taken.headers.get("last-event-id") == "1":
                    await stream.send(head(taken) + event(2))
                    raise ClosedError
                await stream.send(head(taken) + event(1))
                self.leave(harness, at)
                harness.endpoints[at].end()

            return script

        async def scenario(harness: EntryHarness) -> None:
            replies.append(await harness.ask())

        harness = EntryHarness([rank(0), rank(1)], attempts=2)
        harness.run(scenario)
        self.assertEqual([(each.whole, each.body.count(b"line")) for each in replies], [(True, 2)])

    def test_answer_of_a_leaving_endpoint_that_ends_is_not_delivered(self) -> None:
        """Guards against half an answer of a leaving endpoint that is passed on as a whole one."""
        replies = []

        async def script(stream, taken) -> None:
            await stream.send(head(taken, b"text/plain") + b"boo")
            self.leave(harness, 0)
            harness.endpoints[0].end()

        async def scenario(harness: EntryHarness) -> None:
            replies.append(await harness.ask())

        harness = EntryHarness([script], repeat=Repeat.ONCE)
        harness.run(scenario)
        self.assertEqual([each.status for each in replies], [502])
        self.assertEqual(len(harness.records._ends(PART)), 0)

    def leave(self, harness: EntryHarness, at: int) -> None:
        """Let an endpoint register that it drains."""
        service = "plain" if "repeat" in harness.options else "llm"
        draining = endpoint(
            f"i-{at}",
            service,
            address=harness.endpoints[at].address,
            born=0,
            state=EndpointState.DRAINING,
        )
        change = EndpointPublished(draining)
        harness.view.extend(Published(revision=Revision(0, 2), changes=(change,)))

    def test_resumed_stream_that_has_nothing_left_is_delivered(self) -> None:
        """Guards against a caller who has all events and is told that the stream broke off."""
        reply = self.ask(sends_and_closes(), extra=b"Last-Event-Id: 2\r\n")
        self.assertEqual((reply.status, reply.whole), (200, True))

    def test_stream_without_an_event_is_no_answer(self) -> None:
        self.assertEqual(self.ask(sends_and_closes()).status, 502)
        self.assertFalse(self.harness.records._was_answered(PART))

    def test_answer_that_ends_with_its_connection_is_delivered(self) -> None:
        script = sends_and_closes(b"booked", kind=b"text/plain")
        for repeat in (Repeat.ONCE, Repeat.IDEMPOTENT):
            reply = self.ask(script, repeat)
            self.assertEqual((reply.status, reply.body), (200, b"booked"))

    def test_answer_that_ends_with_its_endpoint_is_not_delivered(self) -> None:
        """Guards against half an answer that is passed on as a whole one."""
        script = sends_and_closes(b"boo", kind=b"text/plain")
        for repeat in (Repeat.ONCE, Repeat.IDEMPOTENT):
            self.assertEqual(self.ask(script, repeat, ends=True).status, 502)
            self.assertEqual(len(self.harness.records._ends(PART)), 1)


if __name__ == "__main__":
    unittest.main()
