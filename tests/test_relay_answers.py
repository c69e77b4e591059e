"""Tests of endpoint answers that are mixed up, truncated, stalled or never started."""

import unittest

import anyio
import anyio.lowlevel

from carawayhub.codes import Code, Outcome
from carawayhub.output.logs import quiet_logs
from carawayhub.peers.messages import ServingState
from tests.relay_fakes import (
    DONE,
    LAST_CHUNK,
    OTHER_ID,
    REQUEST_ID,
    STREAM_HEAD,
    STREAM_STALL,
    Bench,
    Cut,
    Silence,
    chunk,
    event,
    service_call,
)

END = chunk(DONE) + LAST_CHUNK
WHOLE = [STREAM_HEAD, chunk(event(0)), chunk(event(1)), END]
WHOLE_BODY = event(0) + event(1) + DONE


def setUpModule() -> None:
    quiet_logs()


class CrossedAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers of other requests, and events out of order."""

    async def test_events_with_another_id_never_reach_the_caller(self) -> None:
        """The caller would receive the answer of another caller.

        The endpoint answers with the stream of another request. Nothing has been sent to the caller
        yet, so the call is retried at the other endpoint, whose answer arrives complete.
        """
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0, OTHER_ID)), END]], "m2": [WHOLE]})
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)
        self.assertTrue(bench.caller.ended)

    async def test_a_foreign_event_in_the_middle_of_a_read_stops_right_before_it(self) -> None:
        """One read returns two events, the second of which belongs to another request.

        The first one is forwarded and then the stream is aborted. Without the check the caller
        would receive the text of another request.
        """
        mixed = chunk(event(1) + event(2, OTHER_ID))
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0)), mixed]], "m2": []})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_MIXED)
        self.assertEqual(bench.caller.body, event(0) + event(1))
        self.assertFalse(bench.caller.ended)

    async def test_a_stream_goes_on_after_the_own_events_of_a_read_with_a_foreign_one(self) -> None:
        """A token is missing in the middle of an answer that appears complete.

        One read returns two events of the request and one of another. If the first two were counted
        but not sent, the resumed stream would continue after them and the caller would miss them.
        """
        mixed = chunk(event(0)) + chunk(event(1)) + chunk(event(2, OTHER_ID))
        again = [STREAM_HEAD, chunk(event(2)), END]
        bench = Bench({"m1": [[STREAM_HEAD, mixed], again], "m2": []}, resumes=True)
        await bench.run()
        self.assertEqual(bench.caller.body, event(0) + event(1) + event(2) + DONE)

    async def test_a_stream_goes_on_after_the_events_before_bytes_that_are_no_chunk(self) -> None:
        """A part of the stream is duplicated, which makes the chunked encoding invalid.

        The events before the error in the same read are sent to the caller, and the stream is
        resumed after them, with each token sent once.
        """
        torn = chunk(event(0)) + chunk(event(1)) + b'[{"index":0\r\n'
        again = [STREAM_HEAD, chunk(event(2)), END]
        bench = Bench({"m1": [[STREAM_HEAD, torn], again], "m2": []}, resumes=True)
        await bench.run()
        self.assertEqual(bench.caller.body, event(0) + event(1) + event(2) + DONE)

    async def test_an_offset_that_skips_breaks_the_stream_off(self) -> None:
        """The endpoint's stream skips token 1.

        The caller must not take the rest for a complete answer.
        """
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0)), chunk(event(2)), END]], "m2": []})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_MIXED)
        self.assertEqual(bench.caller.body, event(0))

    async def test_an_event_that_comes_twice_breaks_the_stream_off(self) -> None:
        """The endpoint sends an event twice, so a token would be duplicated."""
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0)), chunk(event(0)), END]], "m2": []})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_MIXED)
        self.assertEqual(bench.caller.body, event(0))

    async def test_an_event_after_the_end_breaks_the_stream_off(self) -> None:
        """Tokens of a later request follow the end marker on the same stream."""
        late = chunk(DONE + event(1))
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0)), late]], "m2": []})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_MIXED)

    async def test_a_whole_answer_with_another_id_is_not_passed_on(self) -> None:
        """The endpoint mixes up two complete answers, which the id in the body reveals."""
        foreign = _whole(b'{"id":"%s"}' % OTHER_ID.encode())
        own = b'{"id":"%s"}' % REQUEST_ID.encode()
        bench = Bench({"m1": [[foreign]], "m2": [[_whole(own)]]})
        await bench.run()
        self.assertEqual(bench.caller.body, own)


class CutAnswers(unittest.IsolatedAsyncioTestCase):
    """Answers that end before they are complete."""

    async def test_a_stream_without_its_end_mark_is_not_ended_for_the_caller(self) -> None:
        """A truncated answer would appear complete.

        The endpoint closes its stream normally but without the end marker. The relay raises and
        sends no last chunk, so the caller's library reports an incomplete answer.
        """
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0)), LAST_CHUNK]], "m2": []})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_CUT)
        self.assertEqual(exc.outcome, Outcome.UNKNOWN)
        self.assertFalse(bench.caller.ended)

    async def test_a_cut_stream_of_an_endpoint_that_cannot_resume_is_broken_off(self) -> None:
        """The connection breaks after two tokens; another endpoint would generate other text."""
        bench = Bench({"m1": [[*WHOLE[:3], Cut()]], "m2": [WHOLE]})
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_CUT)
        self.assertEqual(bench.caller.body, event(0) + event(1))
        self.assertFalse(bench.caller.ended)

    async def test_a_cut_stream_goes_on_at_the_first_missing_token(self) -> None:
        """The connection breaks within the second token's event.

        The incomplete event is discarded, the stream is requested from offset 1 on a new
        connection, and the caller receives each token once and the end.
        """
        half = chunk(event(1))[:40]
        first = [STREAM_HEAD, chunk(event(0)), half, Cut()]
        bench = Bench({"m1": [first, [STREAM_HEAD, chunk(event(1)), END]], "m2": []}, resumes=True)
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)
        self.assertTrue(bench.caller.ended)
        self.assertIn(b"resume-offset: 1\r\n", bench.network.streams[1].written.lower())

    async def test_a_resumed_stream_that_begins_too_early_is_not_passed_on(self) -> None:
        """The engine resumes at token 0, which the caller already has and would receive twice."""
        first = [STREAM_HEAD, chunk(event(0)), Cut()]
        bench = Bench({"m1": [first, *[[STREAM_HEAD, chunk(event(0))]] * 3], "m2": []}, True)
        exc = await bench.failure()
        self.assertEqual(exc.code, Code.ANSWER_MIXED)
        self.assertEqual(bench.caller.body, event(0))

    async def test_a_whole_answer_without_length_is_not_taken_for_whole(self) -> None:
        """An answer that ends with its connection appears complete even if it was truncated."""
        endless = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n[1,2"
        bench = Bench({"m1": [[endless, b""]], "m2": [[_whole(b"[1,2,3]")]]})
        await bench.run(service_call(bench.clock))
        self.assertEqual(bench.caller.body, b"[1,2,3]")

    async def test_a_whole_answer_shorter_than_its_length_is_not_passed_on(self) -> None:
        """The connection ends before the declared content length."""
        bench = Bench({"m1": [[_whole(b"[1,2,3]")[:-2], b""]], "m2": [[_whole(b"[1,2,3]")]]})
        await bench.run(service_call(bench.clock))
        self.assertEqual(bench.caller.body, b"[1,2,3]")


class SilentEndpoints(unittest.IsolatedAsyncioTestCase):
    """Connections that stop delivering data."""

    async def test_a_stalled_stream_is_resumed_on_a_new_connection(self) -> None:
        """A device on the path has dropped the state of the connection.

        The stream stalls after one token. After the configured timeout the relay resumes it on a
        new connection; the caller sees a pause and then the complete answer.
        """
        first = [STREAM_HEAD, chunk(event(0)), Silence()]
        bench = Bench({"m1": [first, [STREAM_HEAD, chunk(event(1)), END]], "m2": []}, resumes=True)
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)
        self.assertEqual(bench.network.streams[0].silences[-1], STREAM_STALL)
        self.assertTrue(bench.network.streams[0].closed.is_set())

    async def test_an_endpoint_that_never_answers_leaves_time_for_another(self) -> None:
        """The connection stalls after the request; the wait is half of the remaining time."""
        bench = Bench({"m1": [[Silence()]], "m2": [WHOLE]})
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)
        self.assertEqual(bench.network.streams[0].silences, [30.0])


class AttemptsThatNeverBegan(unittest.IsolatedAsyncioTestCase):
    """Attempts of which no byte was sent."""

    async def test_a_refused_connect_goes_to_another_endpoint(self) -> None:
        """An endpoint has ended while the last permit of its agent is still valid."""
        bench = Bench({"m1": [None], "m2": [WHOLE]})
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)

    async def test_the_only_endpoint_is_tried_again_on_a_new_connection(self) -> None:
        """Calls of a model with a single, healthy endpoint are rejected.

        Its kept-alive connection stalled for good while new ones work. The endpoint counted as
        tried and was excluded, so that no endpoint was left.
        """
        bench = Bench({"m1": [[Silence()], [STREAM_HEAD, chunk(event(0)) + END]], "m2": []})
        bench.report("m2", ServingState.LEAVING)
        await bench.run()
        self.assertEqual(bench.caller.body, event(0) + DONE)
        self.assertEqual(len(bench.network.connects), 2)

    async def test_refused_everywhere_is_answered_as_not_run(self) -> None:
        """Both endpoints refuse the connection, so nothing was sent and the outcome is not run."""
        bench = Bench({"m1": [None] * 4, "m2": [None] * 4})
        exc = await bench.failure()
        self.assertEqual(exc.outcome, Outcome.NOT_RUN)

    async def test_a_permit_that_ends_during_the_connect_keeps_the_request_back(self) -> None:
        """Guards against new work for an endpoint that is leaving.

        The endpoint is chosen while it serves and starts to leave during the connect. No byte may
        be sent on the connection; the other endpoint answers.
        """
        bench = Bench({"m1": [WHOLE], "m2": [WHOLE]})
        bench.network.on_connect = lambda: (
            bench.report("m1", ServingState.LEAVING) if len(bench.network.connects) == 1 else None
        )
        await bench.run()
        first, second = bench.network.streams
        self.assertEqual(first.written, b"")
        self.assertTrue(first.closed.is_set())
        self.assertIn(REQUEST_ID.encode(), second.written)
        self.assertEqual(bench.caller.body, WHOLE_BODY)

    async def test_a_permit_that_ended_keeps_a_kept_connection_back_as_well(self) -> None:
        """The same on a connection kept alive from an earlier request."""
        bench = Bench({"m1": [[*WHOLE, *WHOLE]], "m2": [WHOLE]})
        await bench.run()
        sent = bench.network.streams[0].written
        choose = bench.router.choose

        def choose_then_leave(*args: object) -> object:
            choice = choose(*args)
            bench.report("m1", ServingState.LEAVING)
            return choice

        bench.router = _Replaced(bench.router, choose_then_leave)
        bench.relay._router = bench.router
        await bench.run()
        self.assertEqual(bench.network.streams[0].written, sent)
        self.assertEqual(bench.network.connects, [20_000, 20_001])


class Connections(unittest.IsolatedAsyncioTestCase):
    """Reuse and closing of connections."""

    async def test_a_connection_whose_answer_ended_whole_carries_the_next_request(self) -> None:
        bench = Bench({"m1": [[*WHOLE, *WHOLE]], "m2": []})
        await bench.run()
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY * 2)
        self.assertEqual(bench.network.connects, [20_000])

    async def test_an_endpoint_that_moved_gets_nothing_on_its_old_connection(self) -> None:
        """A migration step changes the endpoint's address while a connection is kept alive.

        The next request must go to the new address; another process may use the old one.
        """
        bench = Bench({"m1": [[*WHOLE, *WHOLE]], "m2": [WHOLE]})
        await bench.run()
        bench.move("m1", "m2")
        await bench.run()
        self.assertEqual(bench.network.connects, [20_000, 20_001])

    async def test_a_caller_that_goes_away_frees_the_endpoints_slot(self) -> None:
        """Guards against an engine that keeps generating and occupies a slot without a caller.

        The caller disconnects in the middle of the stream. The connection to the endpoint is
        closed, which is how engines detect it, and the router no longer counts the request.
        """
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0))]], "m2": []})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.run)
            while not bench.network.streams:
                await anyio.lowlevel.checkpoint()
            await bench.network.streams[0].waiting.wait()
            self.assertEqual(_load(bench), 1)
            tasks.cancel_scope.cancel()
        self.assertTrue(bench.network.streams[0].closed.is_set())
        self.assertEqual(_load(bench), 0)

    async def test_a_connection_that_was_cancelled_is_not_used_again(self) -> None:
        """The late answer of a cancelled request would be read as that of the next request."""
        bench = Bench({"m1": [[STREAM_HEAD, chunk(event(0))], WHOLE], "m2": []})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.run)
            await bench.caller.asked.wait()
            tasks.cancel_scope.cancel()
        bench.caller.parts.clear()
        await bench.run()
        self.assertEqual(bench.caller.body, WHOLE_BODY)
        self.assertEqual(bench.network.connects, [20_000, 20_000])


class _Replaced:
    """A router with a replaced ``choose`` method."""

    def __init__(self, router: object, choose: object) -> None:
        self._router = router
        self.choose = choose

    def __getattr__(self, name: str) -> object:
        return getattr(self._router, name)


def _load(bench: Bench) -> int:
    return next(row.load for row in bench.router.states() if row.endpoint == "m1")


def _whole(body: bytes) -> bytes:
    head = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
    return head % len(body) + body


if __name__ == "__main__":
    unittest.main()
