"""Tests that reads of a stream are batched and that a slow caller causes backpressure."""

import unittest
from collections.abc import AsyncIterator

import anyio
import anyio.lowlevel

from carawayhub.endpoints.body import StreamBody
from carawayhub.output.logs import quiet_logs
from tests.relay_fakes import DONE, LAST_CHUNK, STREAM_HEAD, Bench, chunk, event

END = chunk(DONE) + LAST_CHUNK
JOIN = 0.02
LONG = 2000
TURNS = 100


def setUpModule() -> None:
    quiet_logs()


async def turns() -> None:
    """Let every other task run until it blocks."""
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


class Source:
    """Parts that arrive at given times, on a clock that only advances by waiting.

    Attributes:
        now: Current time of the clock.
        slept: Delay of each read.
    """

    def __init__(self, *comes_at: float) -> None:
        self._comes_at = comes_at
        self.now = 0.0
        self.slept: list[float] = []

    async def parts(self) -> AsyncIterator[bytes]:
        for number, due in enumerate(self._comes_at):
            self.now = max(self.now, due)
            yield b"%d" % number

    async def sleep(self, seconds: float) -> None:
        self.slept.append(round(seconds, 6))
        self.now += seconds

    def body(self, join: float = JOIN) -> StreamBody:
        return StreamBody(self.parts(), join, lambda: self.now, self.sleep)


async def read_all(body: StreamBody) -> list[bytes]:
    return [part async for part in _parts(body)]


async def _parts(body: StreamBody) -> AsyncIterator[bytes]:
    while part := await body.read():
        yield part


class Joining(unittest.IsolatedAsyncioTestCase):
    """Reads are delayed only if parts arrive faster than the window."""

    async def test_fast_parts_are_read_once_a_window(self) -> None:
        """With a separate read for each token, one core cannot handle the tokens of an entry.

        Tokens arrive every 6 ms. After two reads that had to wait, reads are delayed, and all parts
        that arrive in the meantime are returned without waiting.
        """
        source = Source(*(0.1 + 0.006 * at for at in range(12)))
        parts = await read_all(source.body())
        self.assertEqual(parts, [b"%d" % at for at in range(12)])
        self.assertEqual(source.slept, [JOIN] * len(source.slept))
        self.assertGreaterEqual(len(source.slept), 2)
        self.assertLessEqual(len(source.slept), 4)

    async def test_the_first_part_is_never_held_back(self) -> None:
        source = Source(0.1)
        body = source.body()
        self.assertEqual(await body.read(), b"0")
        self.assertEqual((source.now, source.slept), (0.1, []))

    async def test_parts_slower_than_the_window_are_never_held_back(self) -> None:
        """At 30 ms between tokens a delay would batch nothing and only add latency."""
        source = Source(*(0.03 * at for at in range(1, 9)))
        await read_all(source.body())
        self.assertEqual(source.slept, [])

    async def test_a_window_of_nothing_puts_no_read_off(self) -> None:
        source = Source(*(0.006 * at for at in range(1, 9)))
        await read_all(source.body(join=0.0))
        self.assertEqual(source.slept, [])

    async def test_a_part_is_put_off_for_less_than_the_window_and_one_gap(self) -> None:
        """Callers are promised 43 ms between tokens; the added delay must stay well below that."""
        gap = 0.006
        source = Source(*(0.1 + gap * at for at in range(50)))
        body = source.body()
        worst = 0.0
        for at in range(50):
            await body.read()
            worst = max(worst, source.now - (0.1 + gap * at))
        self.assertLessEqual(worst, JOIN + gap)

    async def test_parts_of_one_read_reach_the_caller_whole(self) -> None:
        three = chunk(event(0)) + chunk(event(1)) + chunk(event(2))
        bench = Bench({"m1": [[STREAM_HEAD, three, chunk(event(3)) + END]], "m2": []}, join=JOIN)
        await bench.run()
        self.assertEqual(bench.caller.body, b"".join(map(event, range(4))) + DONE)
        self.assertTrue(bench.caller.ended)


class SlowCallers(unittest.IsolatedAsyncioTestCase):
    """Nothing is read from the endpoint until the caller has accepted the previous data."""

    async def test_a_caller_that_takes_nothing_stops_the_reads(self) -> None:
        """Guards against an entry that runs out of memory, which fails all its callers.

        A caller opens a stream and stops reading while the endpoint has thousands of events ready.
        The relay must not read them before the caller reads again.
        """
        script = [STREAM_HEAD, *[chunk(event(at)) for at in range(LONG)], END]
        bench = Bench({"m1": [script], "m2": []})
        bench.caller.taking = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(bench.run)
            await bench.caller.asked.wait()
            await turns()
            self.assertEqual(bench.network.streams[0].reads, 2)
            bench.caller.taking.set()
        self.assertEqual(bench.caller.body, b"".join(map(event, range(LONG))) + DONE)


if __name__ == "__main__":
    unittest.main()
