"""The stand-ins do what tests rely on: exact answers, true journals and faults that show."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

import anyio
import httpcore
import msgspec

from carawayhub.standins.content import answer_text, digest_of
from carawayhub.standins.engine import Engine
from carawayhub.standins.faults import EngineFault, PlatformFault, ServiceFault
from carawayhub.standins.journal import Journal, RunState, read_journal
from carawayhub.standins.options import EngineOptions, PlatformOptions
from carawayhub.standins.platform import Platform, Vm, VmState
from carawayhub.standins.prefixcache import BLOCK_CHARS, PrefixCache, prefix_blocks
from carawayhub.standins.service import Service

LOOPBACK = "127.0.0.1:0"
WAIT_S = 10.0


async def ask(
    pool: httpcore.AsyncConnectionPool, method: str, url: str, body: Any = None, **headers: str
) -> httpcore.Response:
    content = b"" if body is None else msgspec.json.encode(body)
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return await pool.request(method, f"http://{url}", content=content, headers=named)


def chat(text: str, tokens: int, stream: bool = True) -> dict[str, Any]:
    messages = [{"role": "user", "content": text}]
    return {"model": "m", "messages": messages, "max_tokens": tokens, "stream": stream}


def offsets(response: httpcore.Response) -> list[int]:
    events = [line[6:] for line in response.content.split(b"\n\n") if line]
    assert events[-1] == b"[DONE]"
    return [msgspec.json.decode(event)["offset"] for event in events[:-1]]


async def until(condition: Any) -> None:
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.002)


class EngineTest(unittest.IsolatedAsyncioTestCase):
    """The model engine."""

    async def test_whole_answer_is_a_function_of_the_request(self) -> None:
        engine = Engine(EngineOptions(step_ms=1))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            answer = await ask(pool, "POST", f"{url}/v1/chat/completions", chat("a", 3, False))
        choice = msgspec.json.decode(answer.content)["choices"][0]
        self.assertEqual(choice["message"]["content"], answer_text(digest_of(b"m\nuser: a"), 3))
        self.assertEqual(engine.journal.runs[0].state, RunState.COMPLETED)

    async def test_stream_goes_on_at_the_offset(self) -> None:
        engine = Engine(EngineOptions(step_ms=1, resumes=True))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            path = f"{url}/v1/chat/completions"
            first = await ask(pool, "POST", path, chat("a", 5), x_request_id="r")
            rest = await ask(pool, "POST", path, chat("a", 5), x_request_id="r", resume_offset="3")
            end = await ask(pool, "POST", path, chat("a", 5), x_request_id="r", resume_offset="5")
        self.assertEqual(offsets(first), [0, 1, 2, 3, 4, 5])
        self.assertEqual(offsets(rest), [3, 4, 5])
        self.assertEqual(offsets(end), [5])

    async def test_client_that_goes_away_frees_the_slot(self) -> None:
        engine = Engine(EngineOptions(step_ms=1, capacity=1))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            path = f"http://{url}/v1/chat/completions"
            body = msgspec.json.encode(chat("a", 1_000_000))
            async with pool.stream("POST", path, content=body) as response:
                await anext(aiter(response.aiter_stream()))
            answer = await ask(pool, "POST", f"{url}/v1/chat/completions", chat("b", 2))
        self.assertEqual(offsets(answer), [0, 1, 2])
        self.assertEqual(engine.journal.runs[0].state, RunState.CANCELLED)

    async def test_priority_goes_before_arrival(self) -> None:
        engine = Engine(EngineOptions(step_ms=1, capacity=1))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            engine.set_fault(EngineFault(stall_s=3600))
            path = f"{url}/v1/chat/completions"

            async def send(priority: str) -> None:
                await ask(pool, "POST", path, chat(priority, 1), x_priority=priority)

            async with anyio.create_task_group() as tg:
                for number, priority in enumerate(("5", "9", "0")):
                    tg.start_soon(send, priority)
                    await until(lambda number=number: len(engine.journal.runs) > number)
                engine.set_fault(EngineFault())
        begun = sorted(engine.journal.runs, key=lambda run: run.started or 0.0)
        self.assertEqual([run.number for run in begun], [0, 2, 1])

    async def test_cut_stream_raises_in_the_client(self) -> None:
        engine = Engine(EngineOptions(step_ms=1))
        engine.set_fault(EngineFault(cut_after=2))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            with self.assertRaises(httpcore.RemoteProtocolError):
                await ask(pool, "POST", f"{url}/v1/chat/completions", chat("a", 5))
        self.assertEqual(engine.journal.runs[0].state, RunState.CUT)

    async def test_orders_of_strange_and_old_givers_are_refused(self) -> None:
        engine = Engine(EngineOptions(checks_giver="agent-1", checks_fencing=True))
        async with engine.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            statuses = []
            for giver, fencing in (("agent-1", 2), ("agent-2", 3), ("agent-1", 1)):
                order = {"kind": "load_model", "giver": giver, "fencing": fencing}
                statuses.append((await ask(pool, "POST", f"{url}/orders", order)).status)
        self.assertEqual(statuses, [200, 403, 409])
        self.assertEqual([order.accepted for order in engine.orders], [True, False, False])


class PrefixCacheTest(unittest.TestCase):
    """The engine's prefix cache."""

    def test_shared_prefix_hits_and_the_least_used_block_goes(self) -> None:
        cache = PrefixCache(capacity=2)
        first = prefix_blocks("a" * BLOCK_CHARS * 2)
        self.assertEqual(cache.use(first, 0.0), 0)
        self.assertEqual(cache.use(first, 0.0), 2)
        cache.use(prefix_blocks("b" * BLOCK_CHARS), 0.0)
        self.assertEqual(cache.use(first, 0.0), 0)

    def test_events_come_late_and_with_gaps(self) -> None:
        cache = PrefixCache(capacity=100, lag=1.0, loss=0.5, seed=3)
        cache.use(prefix_blocks("a" * BLOCK_CHARS * 20), 0.0)
        self.assertEqual(cache.page(0, 0.5).events, [])
        numbers = [event.number for event in cache.page(0, 1.0).events]
        self.assertTrue(0 < len(numbers) < 20)


class ServiceTest(unittest.IsolatedAsyncioTestCase):
    """The plain service."""

    async def test_lost_reply_leaves_a_run_in_the_journal(self) -> None:
        service = Service()
        service.set_fault(ServiceFault(lose_reply_count=1))
        wish = {"bench": "b1", "slot": "10:00", "visitor": "v"}
        async with service.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            with self.assertRaises(httpcore.RemoteProtocolError):
                await ask(pool, "POST", f"{url}/bookings", wish, idempotency_key="k")
            second = await ask(pool, "POST", f"{url}/bookings", wish, idempotency_key="k")
        self.assertEqual(second.status, 201)
        self.assertEqual([run.idempotency_key for run in service.journal.runs], ["k", "k"])
        self.assertEqual(len(service.bookings), 2)


class PlatformTest(unittest.IsolatedAsyncioTestCase):
    """The users' platform."""

    async def test_watch_answers_when_a_version_is_published(self) -> None:
        platform = Platform()
        platform.publish({"a.json": b"{}"})
        async with platform.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            async with anyio.create_task_group() as tg:

                async def watch() -> None:
                    answers.append(await ask(pool, "GET", f"{url}/config/manifest?after=1&wait=30"))

                answers: list[httpcore.Response] = []
                tg.start_soon(watch)
                await until(lambda: platform.counts.total == 1)
                platform.publish({"b.json": b"[]"})
            manifest = msgspec.json.decode(answers[0].content)
            content = await ask(pool, "GET", f"{url}/config/files/{manifest['files']['b.json']}")
        self.assertEqual(manifest["version"], 2)
        self.assertEqual(content.content, b"[]")

    async def test_waiting_watch_counts_one_read_a_second(self) -> None:
        platform = Platform()
        async with platform.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            await ask(pool, "GET", f"{url}/vms?after=0&wait=1.5")
        self.assertEqual(platform.counts.by_kind["vms"], 2)

    async def test_stale_and_down(self) -> None:
        platform = Platform()
        platform.publish({"a.json": b"{}"})
        platform.publish({"a.json": b"{} "})
        async with platform.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            platform.set_fault(PlatformFault(stale_version=1))
            answer = await ask(pool, "GET", f"{url}/config/manifest?after=0")
            self.assertEqual(msgspec.json.decode(answer.content)["version"], 1)
            platform.set_fault(PlatformFault(down=True))
            with self.assertRaises(httpcore.RemoteProtocolError):
                await ask(pool, "GET", f"{url}/config/manifest?after=0")

    async def test_list_of_vms_lags(self) -> None:
        platform = Platform(PlatformOptions(vm_lag_s=0.1))
        platform.set_vms([Vm("vm-1", VmState.LIVE, "Brest")])
        self.assertEqual(platform.vm_list().number, 0)
        async with platform.serving(LOOPBACK) as url, httpcore.AsyncConnectionPool() as pool:
            answer = await ask(pool, "GET", f"{url}/vms?after=0&wait=30")
        self.assertEqual(msgspec.json.decode(answer.content)["number"], 1)

    async def test_weight_store_refuses_past_its_rate(self) -> None:
        options = PlatformOptions(weights_per_second=0.01, weights_burst=2)
        async with (
            Platform(options).serving(LOOPBACK) as url,
            httpcore.AsyncConnectionPool() as pool,
        ):
            answers = [await ask(pool, "GET", f"{url}/weights/e{n}") for n in range(3)]
        self.assertEqual([answer.status for answer in answers], [200, 200, 429])
        self.assertIn(b"retry-after", dict(answers[2].headers))


class JournalTest(unittest.TestCase):
    """Journals that outlive their endpoint."""

    def test_file_of_an_endpoint_that_was_started_twice_keeps_both_journals(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "journal"
            for state in (RunState.COMPLETED, RunState.CANCELLED):
                journal = Journal(path)
                journal.end(journal.accept("r", "k", "c"), state)
                journal.close()
            with path.open("ab") as file:
                file.write(b'{"number": 1, "requ')
            runs = read_journal(path)
        self.assertEqual([run.state for run in runs], [RunState.COMPLETED, RunState.CANCELLED])
