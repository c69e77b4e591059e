"""Which clients give way when the memory or the connections of a process are used up."""

import unittest

from carawayhub.clock import ManualClock
from carawayhub.codes import Code
from carawayhub.inbound.connections import ConnectionTable
from carawayhub.inbound.memory import SMALL_BYTES, STALLED_SECONDS, HeldRequest, RequestMemory
from carawayhub.inbound.refusals import LOG_INTERVAL_SECONDS, Refusal, RefusalCounts
from carawayhub.inbound.unread import MIN_TOTAL_BYTES, UnreadAnswers

LARGE = 4 * SMALL_BYTES
TOTAL = 4 * LARGE


class MemoryTest(unittest.TestCase):
    """Memory of unanswered requests."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.memory = RequestMemory(self.clock, TOTAL)
        self.refused: list[str] = []

    def request(self, name: str, size: int) -> HeldRequest:
        held = HeldRequest(self.memory, lambda: self.refused.append(name))
        held.grow(size)
        return held

    def test_request_that_has_stalled_gives_way_first(self) -> None:
        """A crowd that stops short of its end keeps the memory from those that would finish."""
        self.request("stalled", SMALL_BYTES + 1)
        self.clock.advance(STALLED_SECONDS + 0.1)
        for number in range(3):
            self.request(f"arriving {number}", LARGE)
        self.request("last", LARGE)
        self.assertEqual(self.refused[0], "stalled")
        self.assertNotIn("last", self.refused[:1])

    def test_largest_request_gives_way_where_none_has_stalled(self) -> None:
        """Ordinary small requests are refused because of a crowd of large ones."""
        small = [self.request(f"small {number}", 4_000) for number in range(10)]
        self.request("largest", 2 * LARGE)
        self.request("large", LARGE)
        self.request("newest", LARGE)
        self.assertEqual(self.refused, ["largest"])
        self.assertEqual([each.refusal for each in small], [None] * 10)

    def test_complete_request_stays(self) -> None:
        """A request that is being handled is refused though it has been sent on."""
        kept = self.request("complete", 3 * LARGE)
        kept.complete()
        self.request("incomplete", LARGE)
        self.request("newest", SMALL_BYTES)
        self.assertIsNone(kept.refusal)
        self.assertEqual(self.refused, ["incomplete"])

    def test_request_that_is_alone_stays(self) -> None:
        """A body that the operators allow is refused though nothing else needs the memory."""
        large = self.request("alone", 2 * TOTAL)
        self.assertIsNone(large.refusal)
        self.request("second", SMALL_BYTES)
        self.assertEqual(self.refused, ["alone"])

    def test_memory_is_free_after_the_end(self) -> None:
        """Memory of requests that have ended is never given back, or twice."""
        for _ in range(20):
            held = self.request("one", LARGE)
            held.complete()
            held.release()
            held.release()
        late = self.request("refused", LARGE)
        late.refuse(Refusal.BODY_IDLE)
        late.grow(LARGE)
        late.release()
        self.assertEqual((self.memory.used, self.refused), (0, []))

    def test_refusal_says_not_run_and_when_to_come_back(self) -> None:
        self.assertEqual(Refusal.MEMORY.code, Code.REQUEST_MEMORY_FULL)
        self.assertEqual(Refusal.MEMORY.retry_after, STALLED_SECONDS)


class FakeConnection:
    """A connection that notes whether it had to give way."""

    def __init__(self) -> None:
        self.closed = False

    def give_way(self) -> None:
        self.closed = True


class ConnectionTableTest(unittest.TestCase):
    """Connections of one port."""

    def setUp(self) -> None:
        self.clock = ManualClock(100.0)
        self.table = ConnectionTable(self.clock, 3)

    def connect(self) -> FakeConnection:
        connection = FakeConnection()
        self.table.add(connection)
        return connection

    def test_silent_connection_gives_way_before_an_idle_one(self) -> None:
        """Callers lose the connections that they keep for reuse to clients that send nothing."""
        idle, silent, busy = self.connect(), self.connect(), self.connect()
        self.table.handled(idle)
        self.table.idle(idle)
        self.table.handled(busy)
        self.clock.advance(STALLED_SECONDS + 0.1)
        self.connect()
        self.assertEqual([idle.closed, silent.closed, busy.closed], [False, True, False])

    def test_idle_connection_gives_way_before_one_that_has_just_come(self) -> None:
        """A new caller is cut off before its first request arrives."""
        idle, new = self.connect(), self.connect()
        self.table.handled(idle)
        self.table.idle(idle)
        self.connect()
        self.connect()
        self.assertEqual([idle.closed, new.closed], [True, False])

    def test_request_that_is_handled_stays(self) -> None:
        """An answer is broken off for a connection that may never send anything."""
        kept = [self.connect() for _ in range(3)]
        for each in kept:
            self.table.handled(each)
        self.assertFalse(self.table.add(FakeConnection()))
        self.assertEqual([each.closed for each in kept], [False] * 3)

    def test_connection_that_moves_is_not_the_longest_stalled(self) -> None:
        """A slow sound body gives way to clients that send nothing."""
        moving, silent = self.connect(), self.connect()
        self.connect()
        self.clock.advance(STALLED_SECONDS + 0.1)
        self.table.moved(moving)
        self.connect()
        self.assertEqual([moving.closed, silent.closed], [False, True])

    def test_closed_connection_is_not_counted_again(self) -> None:
        """Bytes that arrive after the end bring a connection back into the table."""
        connection = self.connect()
        self.table.remove(connection)
        self.table.moved(connection)
        self.table.handled(connection)
        self.table.idle(connection)
        self.assertEqual(len(self.table), 0)


class FakeReader:
    """A connection whose client reads nothing."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.cut = False

    def unread_bytes(self) -> int:
        return self.size

    def cut_answer(self) -> None:
        self.cut = True


class UnreadAnswersTest(unittest.TestCase):
    """Answers that clients have not read."""

    def test_answer_that_waits_for_longest_is_cut(self) -> None:
        """A crowd that does not read its answers takes all memory, or that of a new caller."""
        answers = UnreadAnswers(0)
        readers = [FakeReader(MIN_TOTAL_BYTES // 2) for _ in range(4)]
        for each in readers:
            answers.add(each)
        self.assertEqual([each.cut for each in readers], [True, True, False, False])
        self.assertEqual(answers.used(), MIN_TOTAL_BYTES)

    def test_client_that_has_caught_up_is_not_cut(self) -> None:
        answers = UnreadAnswers(0)
        first, second = (FakeReader(MIN_TOTAL_BYTES) for _ in range(2))
        answers.add(first)
        answers.remove(first)
        answers.add(second)
        self.assertEqual([first.cut, second.cut], [False, False])


class RefusalCountsTest(unittest.TestCase):
    """Counters and log lines of refused clients."""

    def test_each_refusal_is_counted(self) -> None:
        clock = ManualClock(100.0)
        counts = RefusalCounts(clock)
        for _ in range(5):
            counts.record("callers", Refusal.MEMORY, "127.0.0.1")
            clock.advance(LOG_INTERVAL_SECONDS / 2)
        counts.record("readiness", Refusal.PIPELINE, "127.0.0.1")
        name = "carawayhub_inbound_refusals_total"
        self.assertIn(f'{name}{{port="callers",reason="memory"}} 5', counts.lines())
        self.assertIn(f'{name}{{port="readiness",reason="pipeline"}} 1', counts.lines())


if __name__ == "__main__":
    unittest.main()
