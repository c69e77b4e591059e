"""How reads of a stream are put off for a while, and what a slow caller holds back."""

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
    """Let every other task run as far as it can."""
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


class Source:
    """Parts that come at given times, read on a clock that only moves by waiting.

    Attributes:
        now: The clock's reading.
        slept: How long each read was put off.
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
    """Reads are put off only where parts come faster than the window."""

    async def test_fast_parts_are_read_once_a_window(self) -> None:
        """One core is too little for the tokens of an entry, each with a read of its own.

        Tokens come each 6 ms. After two that had to be waited for, reads are put off, and what
        comes meanwhile is there at once.
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
        """At 30 ms between tokens a wait would gather nothing and only keep the caller."""
        source = Source(*(0.03 * at for at in range(1, 9)))
        await read_all(source.body())
        self.assertEqual(source.slept, [])

    async def test_a_window_of_nothing_puts_no_read_off(self) -> None:
        source = Source(*(0.006 * at for at in range(1, 9)))
        await read_all(source.body(join=0.0))
        self.assertEqual(source.slept, [])

    async def test_a_part_is_put_off_for_less_than_the_window_and_one_gap(self) -> None:
        """Callers are promised 43 ms between tokens; what joining adds must stay well below."""
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
    """What is not taken is not read."""

    async def test_a_caller_that_takes_nothing_stops_the_reads(self) -> None:
        """An entry runs out of memory and takes all its callers with it.

        A caller opens a stream and stops reading. The endpoint has thousands of events ready. The
        relay must leave them there: while the caller takes nothing it reads no further.
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
