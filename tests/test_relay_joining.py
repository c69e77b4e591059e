"""How the parts of a stream are joined, and what a slow caller holds back."""

import asyncio
import unittest
from collections.abc import Callable

import anyio
import anyio.lowlevel
import httpcore

from carawayhub.endpoints.network import StreamBody
from carawayhub.endpoints.stream import MAX_UNREAD_BYTES, EndpointStream
from carawayhub.output.logs import quiet_logs
from tests.relay_fakes import DONE, LAST_CHUNK, STREAM_HEAD, Bench, FakeStream, chunk, event

END = chunk(DONE) + LAST_CHUNK
LONG = 2000
TURNS = 100
FAR = 3600.0


def setUpModule() -> None:
    quiet_logs()


class FakeTransport(asyncio.Transport):
    """Notes whether the stream lets the other end send."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True
        self.written = b""
        self.aborted = False

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.aborted

    def abort(self) -> None:
        self.aborted = True

    def write(self, data: bytes) -> None:
        self.written += data


class ManualLoop:
    """The part of an event loop that a stream uses, with a clock that moves only when told to."""

    def __init__(self) -> None:
        self._now = 1000.0
        self._timers: list[_Timer] = []

    def time(self) -> float:
        return self._now

    def call_at(self, when: float, callback: Callable[[], None]) -> "_Timer":
        timer = _Timer(when, callback)
        self._timers.append(timer)
        return timer

    def create_future(self) -> asyncio.Future[None]:
        return asyncio.get_running_loop().create_future()

    def advance(self, seconds: float) -> None:
        """Move the clock and run the timers that are due."""
        self._now += seconds
        due = [timer for timer in self._timers if timer.when <= self._now]
        self._timers = [timer for timer in self._timers if timer.when > self._now]
        for timer in due:
            if not timer.cancelled:
                timer.callback()


class _Timer:
    def __init__(self, when: float, callback: Callable[[], None]) -> None:
        self.when = when
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


def open_stream(loop: ManualLoop | None = None) -> tuple[EndpointStream, FakeTransport]:
    """Return a stream with its transport."""
    stream, transport = EndpointStream(loop or ManualLoop()), FakeTransport()
    stream.connection_made(transport)
    return stream, transport


async def turns() -> None:
    """Let all other tasks run on."""
    for _ in range(TURNS):
        await anyio.lowlevel.checkpoint()


class Joining(unittest.IsolatedAsyncioTestCase):
    """Parts that come within the window go out together, and nothing else waits."""

    async def test_parts_of_one_read_go_out_in_one_write(self) -> None:
        three = chunk(event(0)) + chunk(event(1)) + chunk(event(2))
        bench = Bench({"m1": [[STREAM_HEAD, three, chunk(event(3)) + END]], "m2": []})
        await bench.run()
        self.assertEqual(bench.caller.parts, [event(0) + event(1) + event(2), event(3) + DONE])

    async def test_the_first_read_is_not_held_back_and_the_next_ones_are_by_the_window(
        self,
    ) -> None:
        """Each token costs a read and a write of its own, and one core is too little for all."""
        stream = FakeStream([chunk(event(0)), chunk(event(1)), END])
        now = 100.0
        stream.time = lambda: now
        body = StreamBody(stream, silence=3.0, join=0.02)
        await body.read()
        now = 100.005
        await body.read()
        await body.read()
        self.assertEqual([round(each, 6) for each in stream.holds], [0.0, 100.02, 100.025])
        self.assertTrue(body.ended)

    async def test_tokens_slower_than_the_window_find_nothing_to_wait_for(self) -> None:
        """At 30 ms between tokens any wait would only keep the caller.

        The window of 20 ms counts from the read before. It has passed when the token comes.
        """
        stream = FakeStream([chunk(event(0)), chunk(event(1))])
        now = 100.0
        stream.time = lambda: now
        body = StreamBody(stream, silence=3.0, join=0.02)
        await body.read()
        now = 100.03
        await body.read()
        self.assertLess(stream.holds[1], now)

    async def test_what_comes_within_the_window_is_returned_together(self) -> None:
        loop = ManualLoop()
        stream, _ = open_stream(loop)
        stream.data_received(b"a")
        async with anyio.create_task_group() as tasks:
            held = _Read(stream, stream.time() + 0.02)
            tasks.start_soon(held.run)
            await turns()
            stream.data_received(b"b")
            loop.advance(0.015)
            await turns()
            self.assertIsNone(held.data)
            loop.advance(0.015)
        self.assertEqual(held.data, b"ab")

    async def test_the_end_of_an_answer_does_not_wait_for_the_window(self) -> None:
        """The last words stand still on the screen although the answer has ended.

        A read is held back for long; a token comes and nothing happens; the last chunk comes and
        both are returned at once.
        """
        stream, _ = open_stream()
        async with anyio.create_task_group() as tasks:
            held = _Read(stream, stream.time() + FAR)
            tasks.start_soon(held.run)
            await turns()
            stream.data_received(chunk(event(0)))
            await turns()
            self.assertIsNone(held.data)
            stream.data_received(END)
        self.assertEqual(held.data, chunk(event(0)) + END)

    async def test_a_broken_connection_does_not_wait_for_the_window(self) -> None:
        stream, _ = open_stream()
        async with anyio.create_task_group() as tasks:
            held = _Read(stream, stream.time() + FAR)
            tasks.start_soon(held.run)
            await turns()
            stream.connection_lost(OSError("reset"))
        self.assertIsInstance(held.error, httpcore.ReadError)


class Silences(unittest.IsolatedAsyncioTestCase):
    """The bound on silence of a stream."""

    async def test_silence_past_the_bound_ends_the_read(self) -> None:
        """A connection is lost track of in the middle and stays open for ever.

        Nothing comes any more, not even a close. The read must not wait for ever.
        """
        loop = ManualLoop()
        stream, _ = open_stream(loop)
        async with anyio.create_task_group() as tasks:
            read = _Read(stream, 0.0, silence=3.0)
            tasks.start_soon(read.run)
            await turns()
            loop.advance(2.9)
            await turns()
            self.assertIsNone(read.error)
            loop.advance(0.2)
        self.assertIsInstance(read.error, httpcore.ReadTimeout)

    async def test_the_bound_counts_from_the_read_and_not_from_the_one_before(self) -> None:
        """A slow caller kept the relay from reading for longer than the bound on silence.

        That is no silence of the endpoint. The timer of the first read fires 4 s after it, during
        the next read, which has waited for 2 s; it gets the rest of its time.
        """
        loop = ManualLoop()
        stream, _ = open_stream(loop)
        async with anyio.create_task_group() as tasks:
            first = _Read(stream, 0.0, silence=3.0)
            tasks.start_soon(first.run)
            await turns()
            stream.data_received(b"a")
        loop.advance(2.0)
        async with anyio.create_task_group() as tasks:
            second = _Read(stream, 0.0, silence=3.0)
            tasks.start_soon(second.run)
            await turns()
            loop.advance(2.0)
            await turns()
            self.assertIsNone(second.error)
            stream.data_received(b"b")
        self.assertEqual(second.data, b"b")


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

    async def test_a_stream_that_nobody_reads_stops_the_other_end(self) -> None:
        """The same one layer below: what the event loop reads ahead is bounded.

        The endpoint sends on while nobody reads. Past the bound the socket is read no more, and
        once all was taken it is read again.
        """
        stream, transport = open_stream()
        part = b"x" * 1024
        sent = 0
        while transport.reading:
            stream.data_received(part)
            sent += len(part)
        self.assertLessEqual(sent, MAX_UNREAD_BYTES + len(part))
        self.assertEqual(len(await stream.receive(FAR)), sent)
        self.assertTrue(transport.reading)


class _Read:
    """A read in a task of its own."""

    def __init__(self, stream: EndpointStream, hold_until: float, silence: float = FAR) -> None:
        self._stream = stream
        self._hold_until = hold_until
        self._silence = silence
        self.data: bytes | None = None
        self.error: Exception | None = None

    async def run(self) -> None:
        try:
            self.data = await self._stream.receive(self._silence, self._hold_until)
        except (httpcore.NetworkError, httpcore.TimeoutException) as exc:
            self.error = exc


if __name__ == "__main__":
    unittest.main()
