"""Open-loop load: calls arrive at random times whether or not earlier ones were answered."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from carawayhub.standins.asks import Ask, Book, Generate, LookUp
from carawayhub.standins.callers import Caller, Once
from carawayhub.standins.records import CallRecord


@dataclass(slots=True, frozen=True)
class Planned:
    """One call to come."""

    ask: Ask
    once: Once = Once.NO


Maker = Callable[[random.Random, str], Planned]


@dataclass(slots=True, frozen=True)
class Share:
    """A kind of call and its weight in the mix; ``make`` gets a text unlike any other."""

    weight: float
    make: Maker


@dataclass(slots=True, frozen=True, kw_only=True)
class Load:
    """How many calls arrive.

    Attributes:
        per_second: Mean arrivals a second.
        seconds: Length.
        mix: Kinds of calls.
        seed: Seed of times and kinds.
    """

    per_second: float
    seconds: float
    mix: tuple[Share, ...]
    seed: int = 0


async def run_load(callers: Sequence[Caller], load: Load) -> list[CallRecord]:
    """Send the calls of ``load`` and return what came of them once all have ended."""
    rng = random.Random(load.seed)
    records: list[CallRecord] = []
    weights = [share.weight for share in load.mix]

    async def send(caller: Caller, planned: Planned) -> None:
        records.append(await caller.call(planned.ask, planned.once))

    async with anyio.create_task_group() as tg:
        due = anyio.current_time()
        end = due + load.seconds
        number = 0
        while True:
            due += rng.expovariate(load.per_second)
            if due >= end:
                break
            await anyio.sleep_until(due)
            share = rng.choices(load.mix, weights)[0]
            planned = share.make(rng, f"s{load.seed}n{number}")
            tg.start_soon(send, callers[number % len(callers)], planned)
            number += 1
    return records


def streams(model: str, tokens: int) -> Maker:
    """Make streamed chat calls."""

    def make(rng: random.Random, unique: str) -> Planned:
        prompt = f"{unique} diagnose the fault"
        return Planned(Generate(model=model, prompt=prompt, max_tokens=tokens))

    return make


def whole_answers(model: str, tokens: int, once: Once = Once.NO) -> Maker:
    """Make calls whose answer comes whole; with ``once`` they run at most once."""

    def make(rng: random.Random, unique: str) -> Planned:
        prompt = f"{unique} tag the mood"
        ask = Generate(model=model, prompt=prompt, max_tokens=tokens, stream=False, chat=False)
        return Planned(ask, once)

    return make


def look_ups(path: str = "/lookup") -> Maker:
    """Make look-ups at a plain service."""

    def make(rng: random.Random, unique: str) -> Planned:
        return Planned(LookUp(path=path, query={"q": unique}))

    return make


def bookings(once: Once) -> Maker:
    """Make bookings of benches."""

    def make(rng: random.Random, unique: str) -> Planned:
        ask = Book(bench=f"bench-{rng.randrange(8)}", slot=unique, visitor=unique)
        return Planned(ask, once)

    return make
