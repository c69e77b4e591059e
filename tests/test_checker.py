"""Callers and the observer see each broken promise, and none where nothing is broken.

The system's entries are played by scripted servers that answer well or badly on purpose.
"""

import unittest
from collections.abc import AsyncGenerator

import anyio
import httpcore
import msgspec

from carawayhub.standins.asks import Book, Generate, LookUp, to_wire
from carawayhub.standins.callers import Caller, CallerOptions, Once
from carawayhub.standins.checker import (
    EndpointJournal,
    Evidence,
    Leaving,
    Promise,
    Report,
    StepSample,
    VersionSample,
    check,
)
from carawayhub.standins.engine import Engine
from carawayhub.standins.faults import EngineFault
from carawayhub.standins.journal import RunRecord
from carawayhub.standins.load import Load, Share, bookings, look_ups, run_load, streams
from carawayhub.standins.options import EngineOptions
from carawayhub.standins.records import Attempt, CallRecord, Result
from carawayhub.standins.service import Service
from carawayhub.standins.web import Reply, Request, Router, StreamReply, json_reply, serving

LOOPBACK = "127.0.0.1:0"


def promises(report: Report) -> list[Promise]:
    return [finding.promise for finding in report.findings]


def run(accepted: float, content: str = "c", started: bool = True, offset: int = 0) -> RunRecord:
    return RunRecord(
        number=0,
        request_id="r",
        idempotency_key="",
        content=content,
        accepted=accepted,
        started=accepted if started else None,
        offset=offset,
    )


def record(*results: tuple[Result, float, float], run_once: bool = True) -> CallRecord:
    attempts = [
        Attempt(entry="e", request_id=f"a{n}", began=began, ended=ended, result=result)
        for n, (result, began, ended) in enumerate(results)
    ]
    return CallRecord(
        caller="c", kind="book", content="c", run_once=run_once, key="k", attempts=attempts
    )


def verdict(call: CallRecord, *runs: RunRecord) -> list[Promise]:
    return promises(check(Evidence([call], [EndpointJournal("e", runs)])))


class CheckerTest(unittest.TestCase):
    """The observer on evidence that was written by hand."""

    def test_one_run_is_fine_and_two_are_not(self) -> None:
        call = record((Result.UNKNOWN, 1, 2), (Result.COMPLETED, 3, 4))
        self.assertEqual(verdict(call, run(1.5)), [])
        self.assertEqual(verdict(call, run(1.5), run(3.5)), [Promise.RUNS_AT_MOST_ONCE])

    def test_two_runs_at_two_endpoints_count_as_well(self) -> None:
        journals = [EndpointJournal("e", [run(1.5)]), EndpointJournal("f", [run(1.6)])]
        found = promises(check(Evidence([record((Result.UNKNOWN, 1, 2))], journals)))
        self.assertEqual(found, [Promise.RUNS_AT_MOST_ONCE])

    def test_resumed_stream_and_queued_request_are_no_runs(self) -> None:
        call = record((Result.COMPLETED, 1, 2))
        self.assertEqual(verdict(call, run(1.5), run(1.6, offset=3), run(1.7, started=False)), [])

    def test_repeatable_call_may_run_twice(self) -> None:
        call = record((Result.CUT, 1, 2), (Result.COMPLETED, 3, 4), run_once=False)
        self.assertEqual(verdict(call, run(1.5), run(3.5)), [])

    def test_not_run_is_false_when_it_ran_meanwhile_or_runs_later(self) -> None:
        call = record((Result.NOT_RUN, 1, 2))
        self.assertEqual(verdict(call), [])
        self.assertEqual(verdict(call, run(1.5)), [Promise.NOT_RUN_IS_TRUE])
        self.assertEqual(verdict(call, run(9.0)), [Promise.NOT_RUN_IS_TRUE])

    def test_not_run_stays_true_when_a_later_attempt_ran(self) -> None:
        call = record((Result.NOT_RUN, 1, 2), (Result.COMPLETED, 3, 4))
        self.assertEqual(verdict(call, run(3.5)), [])
        self.assertEqual(verdict(call, run(2.5)), [Promise.NOT_RUN_IS_TRUE])

    def test_not_run_speaks_of_the_call_where_it_may_run_once(self) -> None:
        attempts = (Result.UNKNOWN, 1.0, 2.0), (Result.NOT_RUN, 3.0, 4.0)
        self.assertEqual(verdict(record(*attempts), run(1.5)), [Promise.NOT_RUN_IS_TRUE])
        self.assertEqual(verdict(record(*attempts, run_once=False), run(1.5)), [])

    def test_version_that_goes_back_also_over_a_restart(self) -> None:
        samples = [VersionSample("p", at, version) for at, version in ((1, 3), (3, 2), (2, 4))]
        found = promises(check(Evidence(versions=samples)))
        self.assertEqual(found, [Promise.VERSION_NEVER_REVERTS])
        self.assertEqual(promises(check(Evidence(versions=samples[::2]))), [])

    def test_new_work_after_the_grace_of_a_leaving_endpoint(self) -> None:
        leaving = [Leaving("e", since=10.0, until=20.0)]
        for accepted, offset, expected in (
            (12.9, 0, []),
            (13.1, 0, [Promise.NO_WORK_WHEN_LEAVING]),
            (13.1, 4, []),
            (20.1, 0, []),
        ):
            journal = EndpointJournal("e", [run(accepted, offset=offset)])
            found = promises(check(Evidence(journals=[journal], leaving=leaving)))
            self.assertEqual(found, expected)

    def test_step_under_two_maps(self) -> None:
        same = [StepSample("g", 7, 0, "a"), StepSample("g", 7, 1, "a"), StepSample("g", 8, 0, "b")]
        self.assertEqual(promises(check(Evidence(steps=same))), [])
        mixed = [*same, StepSample("g", 8, 1, "a")]
        self.assertEqual(promises(check(Evidence(steps=mixed))), [Promise.ONE_MAP_PER_STEP])


class ScriptedEntry:
    """An entry that names itself and answers as it is told."""

    def __init__(self) -> None:
        self.address = ""
        self.replies: list[Reply | bytes] = []
        self.requests: list[Request] = []

    def app(self) -> Router:
        router = Router()
        router.add("GET", "/v1/entries", self._entries)
        router.add("POST", "/v1/tickets", self._ticket)
        for path in ("/v1/chat/completions", "/bookings"):
            router.add("POST", path, self._answer)
        return router

    async def _entries(self, req: Request) -> Reply:
        return json_reply({"entries": [{"address": self.address}], "keep_until": 0, "ttl_s": 60})

    async def _ticket(self, req: Request) -> Reply:
        return json_reply({"ticket": f"ticket-{len(self.requests)}"})

    async def _answer(self, req: Request) -> Reply | StreamReply:
        self.requests.append(req)
        reply = self.replies.pop(0)
        if isinstance(reply, Reply):
            return reply
        return StreamReply(self._stream(reply))

    async def _stream(self, body: bytes) -> AsyncGenerator[bytes, None]:
        yield body


def refusal(status: int, code: int, outcome: str) -> Reply:
    error = {"code": code, "name": "N", "outcome": outcome, "message": "m", "retry_after_s": None}
    return json_reply({"error": error}, status)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Callers against a scripted entry, and against stand-ins that answer directly."""

    async def _result(self, reply: Reply | bytes, attempts: int = 1) -> Attempt:
        entry = ScriptedEntry()
        entry.replies = [reply]
        ask = Generate(model="m", prompt="p", max_tokens=2)
        async with serving(entry.app(), LOOPBACK) as entry.address:
            options = CallerOptions(
                name="c", api_key="k", seeds=(entry.address,), attempts=attempts
            )
            async with Caller(options).open() as caller:
                return (await caller.call(ask)).attempts[0]

    async def _stream_of_an_engine(self) -> bytes:
        ask = Generate(model="m", prompt="p", max_tokens=2)
        engine = Engine(EngineOptions(step_ms=1))
        entry = ScriptedEntry()
        router = engine.app()
        router.add("GET", "/v1/entries", entry._entries)
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            body = to_wire(ask).body
            response = await pool.request("POST", f"http://{url}/v1/chat/completions", content=body)
        return response.content

    async def test_stream_is_taken_as_whole_only_when_it_is(self) -> None:
        whole = await self._stream_of_an_engine()
        self.assertEqual((await self._result(whole)).result, Result.COMPLETED)
        events = whole.split(b"\n\n")[:-1]
        bad = {
            "cut short in order": events[:1],
            "without its end mark": events[:-1],
            "one token missing": [events[0], *events[2:]],
            "one token twice": [events[0], *events],
            "another's token": [events[0], events[1].replace(b".1", b".7"), *events[2:]],
            "another's id": [events[0], events[1].replace(b'"id":""', b'"id":"x"'), *events[2:]],
            "more behind the end": [*events, events[0]],
        }
        for name, parts in bad.items():
            with self.subTest(name):
                body = b"".join(part + b"\n\n" for part in parts)
                self.assertEqual((await self._result(body)).result, Result.WRONG)

    async def test_refusals_are_told_apart(self) -> None:
        not_run = await self._result(refusal(429, 2020, "not_run"))
        self.assertEqual((not_run.result, not_run.code), (Result.NOT_RUN, 2020))
        unknown = await self._result(refusal(502, 3001, "unknown"))
        self.assertEqual((unknown.result, unknown.code), (Result.UNKNOWN, 3001))
        self.assertEqual((await self._result(Reply(500, b"oops"))).result, Result.UNKNOWN)

    async def test_retry_keeps_key_and_takes_a_new_ticket_only_when_nothing_ran(self) -> None:
        book = Book(bench="b", slot="s", visitor="v")
        done = json_reply({"number": 1, "bench": "b", "slot": "s", "visitor": "v"}, 201)
        entry = ScriptedEntry()
        async with serving(entry.app(), LOOPBACK) as entry.address:
            options = CallerOptions(name="c", api_key="k", seeds=(entry.address,))
            async with Caller(options).open() as caller:
                for once, header in (
                    (Once.KEY, "idempotency-key"),
                    (Once.TICKET, "carawayhub-ticket"),
                ):
                    entry.requests.clear()
                    entry.replies = [refusal(503, 2025, "not_run"), refusal(502, 3014, "unknown")]
                    entry.replies.append(done)
                    call = await caller.call(book, once)
                    self.assertEqual(call.result, Result.COMPLETED)
                    first, second, third = [req.headers[header] for req in entry.requests]
                    self.assertEqual(second, third)
                    self.assertEqual(first == second, once is Once.KEY)

    async def test_no_entry_at_all_is_not_sent(self) -> None:
        options = CallerOptions(name="c", api_key="k", seeds=("127.0.0.1:1",), attempts=2)
        async with Caller(options).open() as caller:
            call = await caller.call(LookUp(path="/lookup"))
        self.assertEqual([each.result for each in call.attempts], [Result.NOT_SENT] * 2)

    async def test_load_against_stand_ins_is_answered_whole_but_for_the_cut(self) -> None:
        engine, service, entry = Engine(EngineOptions(step_ms=1)), Service(), ScriptedEntry()
        router = engine.app()
        router.add("GET", "/v1/entries", entry._entries)
        plain = service.app()

        async def app(scope: dict, receive: object, send: object) -> None:
            model = scope["path"].startswith(("/v1", "/control"))
            await (router if model else plain)(scope, receive, send)  # type: ignore[arg-type]

        engine.set_fault(EngineFault(cut_after=3, cut_count=1))
        mix = (Share(1, streams("m", 8)), Share(1, look_ups()), Share(1, bookings(Once.KEY)))
        async with serving(app, LOOPBACK) as entry.address, anyio.create_task_group() as tg:
            tg.start_soon(engine._batch.run)
            options = CallerOptions(name="c", api_key="k", seeds=(entry.address,), keeps_times=True)
            async with Caller(options).open() as caller:
                load = Load(per_second=200, seconds=0.5, mix=mix, seed=4)
                records = await run_load([caller], load)
            tg.cancel_scope.cancel()
        journals = [
            EndpointJournal("engine", engine.journal.runs),
            EndpointJournal("service", service.journal.runs),
        ]
        report = check(Evidence(records, journals))
        self.assertEqual(report.findings, [])
        self.assertEqual(report.results, {"completed": len(records)})
        self.assertEqual(report.attempts, len(records) + 1)
        self.assertEqual(report.availability, 1.0)
        self.assertTrue(msgspec.json.encode(report))
        timed = [each for call in records for each in call.attempts if each.token_times]
        self.assertTrue(timed)
