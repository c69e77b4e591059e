"""What run-once requests cost an agent: memory, time, fences and handovers.

Run ``python -m benchmarks.ledger [--json]``. Times are the median of several rounds on one core;
memory is what ``tracemalloc`` counts. Nothing is sent: message counts and bytes are those of the
encoded messages.
"""

import argparse
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass

import msgspec

from carawayhub.agent.begin import Run
from carawayhub.agent.handover import PendingHandover
from carawayhub.agent.homes import Homes
from carawayhub.agent.keyset import Seat, key_set
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.ledger import ENTRY_BYTES, Ledger, LedgerLimits
from carawayhub.agent.messages import Answer, FenceReply, FenceRequest, Member, RunKey
from carawayhub.agent.record import answer_bytes
from carawayhub.agent.tickets import Epochs, TicketCodec
from carawayhub.clock import ManualClock

SCOPE = "service/booking"
KEY_TTL = 600.0
ENTRIES = 4000
ROUNDS = 5
ANSWER_SIZES = (0, 256, 2048, 15_000)
MEMBER_COUNTS = (3, 15, 64, 284)
BOOKING_RATES = (1, 10, 100, 1000)
BOOKING_ANSWER = 256
HEADERS = ((b"content-type", b"application/json"), (b"location", b"/bookings/000000000000"))
ROOMY = LedgerLimits(entries=10**6, total_bytes=2**31)


@dataclass(slots=True, frozen=True)
class Row:
    """One figure.

    Attributes:
        what: What was measured.
        case: Under which size.
        value: The figure.
        unit: Its unit.
    """

    what: str
    case: str
    value: float
    unit: str


def run() -> list[Row]:
    """Measure everything."""
    rows = [row for size in ANSWER_SIZES for row in _memory(size)]
    rows += _times()
    rows += [row for count in MEMBER_COUNTS for row in _fences(count)]
    rows += _handover()
    rows += [row for rate in BOOKING_RATES for row in _fits(rate)]
    return rows


def _member(number: int) -> Member:
    return Member(f"bench-{number}", f"10.0.{number // 250}.{number % 250}:7100", f"vm-{number}")


def _key(number: int) -> RunKey:
    return RunKey(SCOPE, "repair-cafe-patra", f"6f1c2a9e-7b1d-4c55-9a0e-{number:012d}")


def _answer(size: int) -> Answer:
    # Decoded anew, as the strings of a real answer are: literals would be shared by all entries.
    headers = [(name.decode(), value.decode()) for name, value in HEADERS]
    return Answer(201, tuple(headers), bytes(size))


def _filled(entries: int, size: int) -> Ledger:
    ledger = Ledger(ManualClock(), _member(0), 1, ROOMY)
    for number in range(entries):
        key = _key(number)
        begun = ledger.begin(key, number.to_bytes(32, "big"), KEY_TTL)
        assert isinstance(begun, Run)
        ledger.finish(key, begun.run, _answer(size))
    return ledger


def _memory(size: int) -> list[Row]:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    ledger = _filled(ENTRIES, size)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    counted = ledger.used_bytes / ENTRIES
    case = f"answer of {size} bytes"
    return [
        Row("memory of an entry", case, used / ENTRIES, "bytes"),
        Row("memory as counted against the bound", case, counted, "bytes"),
    ]


def _per_call(work: Callable[[int], object], calls: int) -> float:
    """Return the median time of a call over rounds, in microseconds."""
    rounds = []
    for turn in range(ROUNDS):
        start = time.process_time()
        for number in range(turn * calls, (turn + 1) * calls):
            work(number)
        rounds.append((time.process_time() - start) / calls * 1e6)
    return statistics.median(rounds)


def _times() -> list[Row]:
    ledger = Ledger(ManualClock(), _member(0), 1, ROOMY)
    answer = _answer(BOOKING_ANSWER)

    keys = [_key(number) for number in range(ENTRIES * ROUNDS)]

    def begin_and_finish(number: int) -> None:
        begun = ledger.begin(keys[number], b"d" * 32, KEY_TTL)
        assert isinstance(begun, Run)
        ledger.finish(keys[number], begun.run, answer)

    run_time = _per_call(begin_and_finish, ENTRIES)
    replay_time = _per_call(lambda number: ledger.begin(keys[number], b"d" * 32, 1.0), ENTRIES)
    ticket_codec = TicketCodec("secret")
    epochs = Epochs(ManualClock(), "bench-0", 1)
    issue = _per_call(lambda _: ticket_codec.issue(SCOPE, "patra", "bench-0", 1, 1), 1000)
    text = ticket_codec.issue(SCOPE, "patra", "bench-0", 1, 1)
    read = _per_call(lambda _: epochs.admit(ticket_codec.read(text)), 1000)
    return [
        Row("begin and finish", f"{ENTRIES} entries a round", run_time, "us"),
        Row("replay", f"{ENTRIES} entries a round", replay_time, "us"),
        Row("issue a ticket", "", issue, "us"),
        Row("read and admit a ticket", f"{len(text)} characters", read, "us"),
    ]


def _fences(count: int) -> list[Row]:
    """Establish one agent among ``count``; peers' sides are measured as well."""
    agents = _Agents(count)
    asking = agents.homes[0]
    start = time.process_time()
    requests = asking.requests(SCOPE)
    asked = time.process_time()
    replies = [agents.answer(peer, request) for peer, request in requests]
    answered = time.process_time()
    for reply in replies:
        assert asking.take(reply, agents.ledgers[0])
    taken = time.process_time()
    agents.confirm()
    size = sum(len(msgspec.msgpack.encode(request)) for _, request in requests)
    size += sum(len(msgspec.msgpack.encode(reply)) for reply in replies)
    admit = _per_call(lambda number: asking.admit(_key(number)), 200)
    rounds = 1 / KeyTiming().renewal(KEY_TTL)
    own_ms = (asked - start + taken - answered) * 1e3
    case = f"{count} members"
    return [
        Row("fence: calls made by an agent for a change of the set", case, count - 1, "calls"),
        Row("fence: bytes of these calls, both ways", case, size, "bytes"),
        Row("fence: time of the asking agent", case, own_ms, "ms"),
        Row("fence: time of all answering agents", case, (answered - asked) * 1e3, "ms"),
        Row("fence: calls to confirm, made by an agent", case, (count - 1) * rounds, "1/s"),
        Row("fence: bytes to confirm, made by an agent", case, size * rounds, "bytes/s"),
        Row("admit a new key", case, admit, "us"),
    ]


class _Agents:
    """Agents of one scope whose quarantines are over."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        members = [_member(number) for number in range(count)]
        keys = key_set(SCOPE, tuple(Seat(member) for member in members), KEY_TTL)
        self.homes = [Homes(self.clock, member, number) for number, member in enumerate(members)]
        self.ledgers = [Ledger(self.clock, member, number) for number, member in enumerate(members)]
        self._number = {member: number for number, member in enumerate(members)}
        for one in self.homes:
            one.adopt({SCOPE: keys}, 1)
        self.clock.advance(2 * KEY_TTL)

    def answer(self, peer: Member, request: FenceRequest) -> FenceReply:
        """Return the reply of ``peer``."""
        number = self._number[peer]
        return self.homes[number].answer(request, self.ledgers[number])

    def confirm(self) -> None:
        """Have the first agent's peers confirm their promises at the next renewal."""
        self.clock.advance(KeyTiming().renewal(KEY_TTL))
        for peer, request in self.homes[0].requests(SCOPE):
            self.homes[0].take(self.answer(peer, request), self.ledgers[0])


def _handover() -> list[Row]:
    clock = ManualClock()
    members = [_member(number) for number in range(3)]
    keys = key_set(SCOPE, tuple(Seat(member) for member in members), KEY_TTL)
    homes = Homes(clock, members[0], 1)
    homes.adopt({SCOPE: keys}, 1)
    ledger = _filled(ENTRIES, BOOKING_ANSWER)
    start = time.process_time()
    parts = PendingHandover(homes, ledger).pending()
    encoded = [msgspec.msgpack.encode(part) for _, part in parts]
    taken = time.process_time() - start
    size = sum(len(part) for part in encoded)
    case = f"{ENTRIES} entries, answers of {BOOKING_ANSWER} bytes, 3 members"
    return [
        Row("handover: bytes for an entry", case, size / ENTRIES, "bytes"),
        Row("handover: parts", case, len(parts), "messages"),
        Row("handover: largest part", case, max(len(part) for part in encoded), "bytes"),
        Row("handover: time to prepare and encode", case, taken * 1e3, "ms"),
    ]


def _fits(rate: int) -> list[Row]:
    """Work out what one agent keeps at ``rate`` bookings a second, from the ledger's own count."""
    limits = LedgerLimits()
    entry = ENTRY_BYTES + answer_bytes(_answer(BOOKING_ANSWER))
    room = min(limits.entries, limits.total_bytes // entry)
    retention = KeyTiming().retention(KEY_TTL)
    case = f"{rate} bookings/s at one agent, key_ttl {KEY_TTL:.0f} s"
    return [
        Row("entries wanted", case, rate * retention, "entries"),
        Row("entries that fit", case, room, "entries"),
        Row("longest key_ttl that fits", case, max(0.0, _longest_ttl(room, rate)), "s"),
    ]


def _longest_ttl(room: int, rate: int) -> float:
    timing = KeyTiming()
    per_second = timing.retention(1.0) - timing.retention(0.0)
    return (room / rate - timing.retention(0.0)) / per_second


def main(argv: list[str]) -> int:
    """Measure and print."""
    parser = argparse.ArgumentParser(prog="benchmarks.ledger", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print JSON in place of a table")
    options = parser.parse_args(argv)
    rows = run()
    if options.json:
        print(msgspec.json.encode([asdict(row) for row in rows]).decode())
        return 0
    for row in rows:
        print(f"{row.what:52} {row.case:58} {row.value:14.1f} {row.unit}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
