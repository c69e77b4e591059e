"""Tests of the HTTP interface of an entry: answers, error codes and the end of each request."""

import unittest

import anyio
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from carawayhub.codes import Code
from carawayhub.constants import MAX_BODY_BYTES
from carawayhub.entry import prompts
from carawayhub.entry.answer import Answer
from carawayhub.entry.app import CONFIRM_WAIT_SECONDS, UNVERIFIED_SECONDS, AnswerAborted
from carawayhub.entry.calls import MAX_TOKENS, Call
from carawayhub.errors import RequestError
from carawayhub.output.metrics import Latency
from tests.entry_fakes import ASK, CHAT, KEY, Caller, Desk
from tests.relay_fakes import DONE, LAST_CHUNK, STREAM_HEAD, Bench, chunk, model_call


def setUpModule() -> None:
    logger.disable("carawayhub.entry")


def tearDownModule() -> None:
    logger.enable("carawayhub.entry")


BOOKING = {"path": "/bookings", "body": (b"{}",)}
WITH_KEY = {**BOOKING, "headers": ((b"idempotency-key", b"k1"),)}


class AppTestCase(unittest.IsolatedAsyncioTestCase):
    """Base class with a new application for each test."""

    def setUp(self) -> None:
        self.desk = Desk()

    def tearDown(self) -> None:
        self.assertEqual(self.desk.app.running, 0)
        account = self.desk.admission._accounts["bar"]
        self.assertEqual(account.running, 0, "an admitted request was not released")

    async def refused(self, caller: Caller, code: Code, outcome: str = "not_run") -> Caller:
        """Send a request and check that it is rejected with this code and counted."""
        before = self.desk.counted().get(int(code), 0)
        await self.desk.ask(caller)
        self.assertEqual(caller.error["code"], code, caller.error)
        self.assertEqual(caller.code, code)
        self.assertEqual(caller.error["outcome"], outcome)
        self.assertTrue(caller.ended)
        self.assertEqual(self.desk.counted().get(int(code), 0), before + 1)
        if "retry-after" in caller.error["action"]:
            self.assertGreaterEqual(int(caller.answer_headers["retry-after"]), 1)
        return caller


class EntriesTest(AppTestCase):
    """The list of entries to use."""

    async def test_no_key_is_needed_and_the_answer_says_how_long_it_may_be_kept(self) -> None:
        query = b"failure_domain=brest&failure_domain=%ff&x"
        caller = await self.desk.ask(Caller("GET", "/v1/entries", (b"",), key="", query=query))
        found = msgspec.json.decode(caller.parts)
        self.assertEqual(caller.code, 0)
        self.assertEqual(len(found["entries"]), 1)
        self.assertEqual(found["keep_until"], self.desk.clock.wall() + found["ttl_s"])
        self.assertEqual((await self.desk.ask(Caller("GET", "/v1/entries", (b"",)))).code, 0)
        await self.refused(Caller("GET", "/v1/entries", (b"",), key="no"), Code.KEY_UNKNOWN)

    async def test_models_are_those_that_the_organisation_may_use(self) -> None:
        caller = await self.desk.ask(Caller("GET", "/v1/models", (b"",)))
        rows = msgspec.json.decode(caller.parts)["data"]
        self.assertEqual([row["id"] for row in rows], ["cat"])


class RefusalTest(AppTestCase):
    """Requests that are rejected before anything is sent."""

    async def test_each_fault_of_a_request_has_its_number(self) -> None:
        odd = ((b"authorization", b"Basic \xff"),)
        for caller, code in (
            (Caller(key=""), Code.KEY_MISSING),
            (Caller(key="", headers=odd), Code.KEY_MISSING),
            (Caller(key="\xff\xfe"), Code.KEY_UNKNOWN),
            (Caller(version="1.0"), Code.HTTP_VERSION),
            (Caller(path="/nowhere"), Code.NOT_SERVED),
            (Caller("PUT", CHAT), Code.NOT_SERVED),
            (Caller("POST", "/v1/entries"), Code.NOT_SERVED),
            (Caller(body=(b'{"model": "dog"}',)), Code.NOT_SERVED),
            (Caller(body=(b"",)), Code.BODY_MALFORMED),
            (Caller(body=(b'{"model": 1}',)), Code.BODY_MALFORMED),
            (Caller(body=(b'{"model": "\xff"}',)), Code.BODY_MALFORMED),
            (Caller(body=(ASK[:-1], None)), Code.BODY_MALFORMED),
            (Caller(**BOOKING), Code.RUN_ONCE_NEEDS_KEY),
            (Caller(**BOOKING, headers=((b"idempotency-key", b"  "),)), Code.RUN_ONCE_NEEDS_KEY),
        ):
            with self.subTest(caller=caller):
                await self.refused(caller, code)
        self.assertEqual(self.desk.relay.calls, [])

    async def test_a_deadline_that_is_no_time_is_refused_and_a_long_one_bounded(self) -> None:
        for text in (b"soon", b"nan", b"inf", b"-inf", b"1e999", b"\xb2"):
            with self.subTest(text):
                await self.refused(
                    Caller(headers=((b"x-deadline-ms", text),)), Code.DEADLINE_MALFORMED
                )
        for text in (b"0", b"-0.0", b"-5", b"-1e300"):
            with self.subTest(text):
                await self.refused(
                    Caller(headers=((b"x-deadline-ms", text),)), Code.DEADLINE_PASSED
                )
        await self.desk.ask(Caller(headers=((b"x-deadline-ms", b"1e300"),)))
        self.assertEqual(self.desk.relay.calls[0].deadline, self.desk.clock.monotonic() + 3600)

    async def test_a_body_over_the_limit_is_refused_declared_or_not(self) -> None:
        declared = ((b"content-length", b"%d" % (MAX_BODY_BYTES + 1)),)
        await self.refused(Caller(headers=declared, body=(None,)), Code.BODY_TOO_LARGE)
        for length in (b"9" * 5000, b"\xb2"):
            caller = Caller(headers=((b"content-length", length),), body=(b"",))
            code = Code.BODY_TOO_LARGE if length.isdigit() else Code.BODY_MALFORMED
            await self.refused(caller, code)
        half = b" " * (MAX_BODY_BYTES // 2)
        await self.refused(Caller(body=(half, half, b" ", None)), Code.BODY_TOO_LARGE)

    async def test_limits_refuse_with_the_time_to_come_back(self) -> None:
        started, waiting = anyio.Event(), anyio.Event()

        async def wait(call: Call, answer: Answer) -> None:
            started.set()
            await waiting.wait()
            await answer.complete(200, [], b"", Code.OK)

        self.desk.relay.script = wait
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.desk.ask, Caller())
            await started.wait()
            await self.refused(Caller(), Code.CONCURRENCY_EXCEEDED)
            waiting.set()

    async def test_an_entry_that_stops_or_is_not_ready_says_so(self) -> None:
        self.desk.is_ready = False
        await self.refused(Caller(), Code.NOT_READY)
        self.desk.app.accepting = False
        for caller in (Caller(), Caller("GET", "/v1/entries", (b"",), key="")):
            caller = await self.refused(caller, Code.ENTRY_STOPPING)
            self.assertIn("retry-after", caller.answer_headers)

    async def test_made_up_model_names_leave_nothing_behind(self) -> None:
        """Guards against unbounded growth of an entry's memory.

        A caller requests a different unknown model name each time. Admission would keep statistics
        for each of them, which are never removed.
        """
        for number in range(3):
            await self.refused(Caller(body=(b'{"model": "m%d"}' % number,)), Code.NOT_SERVED)
        self.assertEqual(self.desk.admission._controllers, {})


class RunOnceTest(AppTestCase):
    """Requests that may run at most once."""

    async def test_a_ticket_is_for_one_service_that_the_organisation_may_use(self) -> None:
        def ask(body: bytes) -> Caller:
            return Caller(path="/v1/tickets", body=(body,))

        for body, code in (
            (b"", Code.BODY_MALFORMED),
            (b'{"service": "booking", "model": "cat"}', Code.BODY_MALFORMED),
            (b'{"service": "x"}', Code.NOT_SERVED),
            (b'{"service": "licence"}', Code.NOT_ALLOWED),
            (b'{"model": "hidden"}', Code.NOT_ALLOWED),
            (b'{"model": "cat"}', Code.NO_ENDPOINT),
        ):
            with self.subTest(body):
                await self.refused(ask(body), code)
        given = await self.desk.ask(ask(b'{"service": "booking"}'))
        ticket = msgspec.json.decode(given.parts)["ticket"].encode()
        headers = ((b"carawayhub-ticket", ticket),)
        caller = await self.desk.ask(Caller(**BOOKING, headers=headers))
        self.assertEqual((caller.status, caller.parts), (200, b"booked"))
        await self.refused(Caller(headers=headers), Code.TICKET_MALFORMED, "unknown")
        for text in (b"x", b"\xff", b"A" * 2000, ticket[:-2]):
            odd = Caller(**BOOKING, headers=((b"carawayhub-ticket", text),))
            await self.refused(odd, Code.TICKET_MALFORMED, "unknown")
        self.assertEqual(len(self.desk.agents.requests), 1)

    async def test_keys_may_hold_odd_bytes_but_not_many(self) -> None:
        caller = await self.desk.ask(
            Caller(**BOOKING, headers=((b"idempotency-key", b'\xe9 "k"'),))
        )
        self.assertEqual(caller.parts, b"booked")
        self.assertEqual(self.desk.agents.requests[0].key, '\xe9 "k"')
        long = Caller(**BOOKING, headers=((b"idempotency-key", b"k" * 201),))
        await self.refused(long, Code.BODY_MALFORMED, "unknown")

    async def test_of_a_header_sent_twice_the_last_counts(self) -> None:
        keys = ((b"idempotency-key", b"k1"), (b"idempotency-key", b"k2"))
        await self.desk.ask(Caller(**BOOKING, headers=keys))
        self.assertEqual(self.desk.agents.requests[0].key, "k2")

    async def test_an_organisation_that_may_not_use_a_service_is_refused(self) -> None:
        caller = Caller(path="/licences", body=(b"",), headers=WITH_KEY["headers"])
        await self.refused(caller, Code.NOT_ALLOWED, "unknown")

    async def test_no_refusal_of_the_entry_says_that_a_key_was_not_run(self) -> None:
        """After a false "not run" the caller would send its booking again under a new key.

        The first attempt ran through another entry and its answer was lost. The second attempt,
        with the same key, reaches an entry that rejects it, for whatever reason, without asking
        the agent that ran the first. The booking would run twice.
        """
        spent = (*WITH_KEY["headers"], (b"x-deadline-ms", b"0"))
        await self.refused(Caller(**BOOKING, headers=spent), Code.DEADLINE_PASSED, "unknown")
        await self.refused(Caller(**WITH_KEY, key="no"), Code.KEY_UNKNOWN, "unknown")
        await self.refused(Caller(**WITH_KEY, version="1.0"), Code.HTTP_VERSION, "unknown")
        self.desk.app.accepting = False
        await self.refused(Caller(**WITH_KEY), Code.ENTRY_STOPPING, "unknown")

    async def test_what_an_agent_vouches_for_is_passed_on(self) -> None:
        self.desk.agents.code = int(Code.ENDPOINT_LEAVING)
        await self.refused(Caller(**WITH_KEY), Code.ENDPOINT_LEAVING, "not_run")

    async def test_a_paused_entry_answers_run_once_requests_unknown_for_a_while(self) -> None:
        self.desk.is_confirmed = False
        await self.refused(Caller(), Code.PAUSED)
        await self.refused(Caller(**WITH_KEY), Code.PAUSED, "unknown")
        self.desk.is_confirmed, self.desk.has_doubt = True, True
        await self.refused(Caller(**WITH_KEY), Code.PAUSED, "unknown")
        self.assertEqual((await self.desk.ask(Caller())).code, 0)
        self.desk.has_doubt = False
        self.desk.clock.advance(UNVERIFIED_SECONDS - CONFIRM_WAIT_SECONDS)
        await self.refused(Caller(**WITH_KEY), Code.PAUSED, "unknown")
        self.desk.clock.advance(CONFIRM_WAIT_SECONDS)
        self.assertEqual((await self.desk.ask(Caller(**WITH_KEY))).parts, b"booked")


class AnswerTest(AppTestCase):
    """Requests that reach an endpoint."""

    async def test_an_id_of_the_caller_comes_back_and_another_one_is_made_up(self) -> None:
        for given_id, kept in ((b"A-1.b_c:2", True), (b"a" * 65, False), (b"a b", False)):
            caller = await self.desk.ask(Caller(headers=((b"x-request-id", given_id),)))
            echoed = caller.answer_headers["x-request-id"]
            self.assertEqual(echoed == given_id.decode(), kept, given_id)
            self.assertRegex(echoed, r"\A[A-Za-z0-9._:-]{1,64}\Z")
        ids = {call.request_id for call in self.desk.relay.calls}
        self.assertEqual(len(ids), 3)

    async def test_each_log_line_while_a_request_is_served_carries_its_ids(self) -> None:
        async def fail(call: Call, answer: Answer) -> None:
            logger.info("tried")
            raise RequestError(Code.ANSWER_TIMEOUT)

        lines: list[dict] = []
        sink = logger.add(lambda message: lines.append(message.record), format="{message}")
        self.addCleanup(logger.remove, sink)
        logger.enable("carawayhub.entry")
        self.addCleanup(logger.disable, "carawayhub.entry")
        self.desk.relay.script = fail
        await self.desk.ask(Caller(headers=((b"x-request-id", b"mine"),)))
        logger.info("later")
        request_id = self.desk.relay.calls[0].request_id
        *served, later = lines
        self.assertGreaterEqual(len(served), 3)
        for line in served:
            self.assertEqual(line["extra"]["request"], request_id)
            self.assertEqual(line["extra"]["caller_id"], "mine")
        self.assertNotIn("request", later["extra"])

    async def test_the_tokens_that_a_caller_asks_for_weigh_its_request_within_bounds(self) -> None:
        for given_tokens, weighed in (
            (b"-5", 256),
            (b"0", 256),
            (b"7", 7),
            (b"9" * 400, MAX_TOKENS),
        ):
            body = b'{"model": "cat", "max_tokens": %s}' % given_tokens
            self.assertEqual((await self.desk.ask(Caller(body=(body,)))).code, 0)
            self.assertEqual(self.desk.relay.calls[-1].target.max_tokens, weighed)
            self.assertEqual(self.desk.relay.calls[-1].body, body)

    async def test_the_path_goes_on_as_the_caller_wrote_it(self) -> None:
        """A path with a percent-encoded accent fails each time, at every endpoint.

        The path was decoded and forwarded without encoding, which no HTTP library accepts.
        """
        caller = Caller("GET", "/slots/Le Bri\xe9", (b"",), query=b"d=%20")
        caller.raw_path = b"/slots/Le%20Bri%C3%A9"
        await self.desk.ask(caller)
        self.assertEqual(self.desk.relay.calls[0].path, "/slots/Le%20Bri%C3%A9?d=%20")

    async def test_a_path_that_a_service_would_resolve_to_another_is_refused(self) -> None:
        """A booking runs twice because it was treated as a repeatable call.

        Its path contains ".." and matches the route of a repeatable call, but the service resolves
        it to the path of bookings.
        """
        await self.refused(Caller("GET", "/slots/../bookings"), Code.NOT_SERVED)

    async def test_a_model_is_asked_for_no_answer_that_the_entry_cannot_read(self) -> None:
        """Every call of a caller whose library accepts compressed answers fails with 3004.

        The engine compresses its answer, so the entry finds the request's id in no event.
        """
        headers = ((b"accept-encoding", b"gzip"), (b"x-other", b"1"))
        await self.desk.ask(Caller(headers=headers))
        self.assertEqual(self.desk.relay.calls[0].headers[1:], headers[1:])
        await self.desk.ask(Caller("GET", "/slots/1", (b"",), headers))
        self.assertEqual(self.desk.relay.calls[1].headers[1:], headers)

    async def test_latencies_are_measured_from_the_arrival_of_a_request(self) -> None:
        async def slow(call: Call, answer: Answer) -> None:
            self.desk.clock.advance(0.25)
            answer.dispatched()
            self.desk.clock.advance(0.5)
            answer.dispatched()
            await answer.start(200, [], Code.OK)
            self.desk.clock.advance(1.0)
            await answer.end()

        self.desk.relay.script = slow
        await self.desk.ask(Caller())
        rows = {
            row.latency: row.max
            for row in self.desk.metrics.page().latencies
            if (row.dimension, row.name) == ("organisation", "bar")
        }
        for latency, ms in ((Latency.QUEUE, 250), (Latency.FIRST_TOKEN, 750)):
            self.assertAlmostEqual(rows[latency.value], ms, delta=10)
        self.assertAlmostEqual(rows["whole"], 1750, delta=20)
        self.assertEqual(self.desk.counted(), {0: 1})

    async def test_a_request_waits_until_its_first_byte_goes_out(self) -> None:
        bench = Bench({"m1": [None], "m2": [[STREAM_HEAD + chunk(DONE) + LAST_CHUNK]]})
        bench.network.on_connect = lambda: bench.clock.advance(0.5)
        answer = Answer(bench.caller.send, "c", bench.clock)
        arrived_at = bench.clock.monotonic()
        await bench.relay.run(model_call(bench.clock), answer)
        self.assertEqual(answer.dispatched_at, arrived_at + 0.5)
        await self.desk.ask(Caller(**WITH_KEY))
        found = {(row.name, row.latency) for row in self.desk.metrics.page().latencies}
        self.assertIn(("booking", "queue"), found)

    async def test_a_caller_that_leaves_ends_its_request(self) -> None:
        """Guards against callers that have disconnected but keep their slots, until none is free.

        The caller closes its connection while the endpoint still runs the request. The request must
        be cancelled and its slot released, and it must not count as answered.
        """
        for begun in (False, True):
            caller, ended = Caller(), anyio.Event()

            async def endless(
                call: Call,
                answer: Answer,
                caller: Caller = caller,
                ended: anyio.Event = ended,
                begun: bool = begun,
            ) -> None:
                if begun:
                    await answer.start(200, [], Code.OK)
                caller.left.set()
                try:
                    await anyio.sleep_forever()
                finally:
                    ended.set()

            self.desk.relay.script = endless
            with anyio.fail_after(5):
                await self.desk.ask(caller)
            self.assertTrue(ended.is_set())
        self.assertEqual(self.desk.counted(), {int(Code.CALLER_LEFT): 2})

    async def test_the_word_that_an_answer_is_whole_is_no_caller_that_leaves(self) -> None:
        """Connections to endpoints are closed after each answer instead of being kept alive.

        Once an answer is complete the HTTP server reports a disconnect of the caller. The request
        was then cancelled while its connection was being returned to the pool.
        """
        kept = anyio.Event()

        async def run(call: Call, answer: Answer) -> None:
            await answer.complete(200, [], b"", Code.OK)
            for _ in range(5):
                await anyio.lowlevel.checkpoint()
            kept.set()

        self.desk.relay.script = run
        await self.desk.ask(Caller())
        self.assertTrue(kept.is_set())

    async def test_a_request_that_is_cancelled_gives_its_place_back(self) -> None:
        with anyio.CancelScope() as scope:

            async def run(call: Call, answer: Answer) -> None:
                scope.cancel()
                await anyio.sleep_forever()

            self.desk.relay.script = run
            await self.desk.ask(Caller())
        self.assertEqual(self.desk.counted(), {int(Code.CALLER_LEFT): 1})

    async def test_a_fault_of_the_entry_has_a_number_and_a_line_in_the_log(self) -> None:
        """Callers receive a 500 without an error code and nothing is logged.

        An unexpected exception leaves the application, and the HTTP server answers it silently.
        """
        for begun in (False, True):

            async def fail(call: Call, answer: Answer, begun: bool = begun) -> None:
                if begun:
                    await answer.start(200, [], Code.OK)
                raise KeyError("odd")

            self.desk.relay.script = fail
            caller = Caller()
            if begun:
                with self.assertRaises(AnswerAborted):
                    await self.desk.ask(caller)
                self.assertIn(b'"code":3007', caller.parts)
            else:
                await self.refused(caller, Code.ENTRY_FAILED, "unknown")
        self.desk.parts.directory = None  # type: ignore
        caller = Caller("GET", "/v1/entries", (b"",))
        await self.refused(caller, Code.ENTRY_FAILED, "unknown")
        self.assertEqual(self.desk.counted(), {int(Code.ENTRY_FAILED): 3})

    async def test_a_failure_before_the_first_byte_is_a_numbered_reply(self) -> None:
        async def fail(call: Call, answer: Answer) -> None:
            raise RequestError(Code.ANSWER_TIMEOUT)

        self.desk.relay.script = fail
        await self.refused(Caller(), Code.ANSWER_TIMEOUT, "unknown")

    async def test_a_failure_after_the_first_byte_breaks_the_answer_off(self) -> None:
        """A caller would take a truncated answer for a complete one.

        The stream breaks after its first event and cannot be resumed. The answer must not end
        normally: an event gives the error, and the connection is closed before the last chunk.
        """

        async def fail(call: Call, answer: Answer) -> None:
            await answer.start(200, [], Code.OK)
            await answer.part(b"data: 1\n\n")
            raise RequestError(Code.ANSWER_CUT)

        self.desk.relay.script = fail
        caller = Caller()
        with self.assertRaises(AnswerAborted):
            await self.desk.ask(caller)
        self.assertFalse(caller.ended)
        first, _, event = caller.parts.partition(b"event: error\ndata: ")
        self.assertEqual(first, b"data: 1\n\n")
        self.assertEqual(msgspec.json.decode(event)["error"]["code"], Code.ANSWER_CUT)
        self.assertEqual(self.desk.counted(), {int(Code.ANSWER_CUT): 1})


HEADER_NAMES = (
    b"authorization",
    b"content-length",
    b"x-deadline-ms",
    b"x-request-id",
    b"idempotency-key",
    b"carawayhub-ticket",
)
BODIES = st.one_of(
    st.binary(max_size=200),
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    ).map(lambda value: msgspec.json.encode({"model": "cat", "messages": value})),
    st.integers().map(lambda number: b'{"model": "cat", "max_tokens": %d}' % number),
)
HEADERS = st.lists(
    st.tuples(st.sampled_from(HEADER_NAMES), st.binary(max_size=30) | st.just(b"Bearer bar-key"))
)
PATHS = st.sampled_from([CHAT, "/bookings", "/slots/1", "/v1/tickets", "/v1/models", "/v1/entries"])


class AnyBytesTest(unittest.TestCase):
    """A caller receives an error code whatever bytes it sends."""

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(
        headers=HEADERS,
        body=BODIES,
        path=PATHS,
        method=st.sampled_from(["GET", "POST"]),
        key=st.sampled_from([KEY, ""]),
        query=st.binary(max_size=20),
    )
    def test_no_bytes_raise_anything_but_a_number(self, headers: list, **rest: object) -> None:
        body = rest.pop("body")
        caller = Caller(body=(body,), headers=tuple(headers), **rest)  # type: ignore
        desk = Desk()
        anyio.run(desk.ask, caller)
        self.assertIn(caller.code, set(Code) - {Code.ENTRY_FAILED})
        self.assertTrue(caller.ended)

    @settings(derandomize=True, deadline=None)
    @given(BODIES)
    def test_a_prompt_of_any_bytes_has_blocks_or_none(self, body: bytes) -> None:
        self.assertIsInstance(prompts.prompt_blocks(body), tuple)
        self.assertIsInstance(prompts.prompt_parts(body), tuple)

    def test_json_that_is_nested_without_end_is_refused(self) -> None:
        """A request ends in an internal error without an error code.

        Its body nests a hundred thousand brackets, which overflows the parser's stack.
        """
        deep = b"[" * 100_000 + b"]" * 100_000
        for field in (b"messages", b"prompt", b"other"):
            body = b'{"model": "cat", "%s": [%s]}' % (field, deep)
            caller = Caller(body=(body,))
            anyio.run(Desk().ask, caller)
            self.assertEqual(caller.code, Code.BODY_MALFORMED)
            self.assertEqual(prompts.prompt_blocks(body), ())
            self.assertEqual(prompts.prompt_parts(body), ())


if __name__ == "__main__":
    unittest.main()
