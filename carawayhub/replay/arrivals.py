"""The calls of a trace: drawn at random, turned into asks, and recorded from a run."""

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from carawayhub.replay.trace import Arrival, LoadPhase, Trace
from carawayhub.standins.asks import Ask, Book, Generate, LookUp
from carawayhub.standins.records import CallRecord

BENCHES = 8


@dataclass(slots=True)
class PlayedCall:
    """A call of a trace and what came of it."""

    arrival: Arrival
    record: CallRecord


def arrivals_of(trace: Trace) -> tuple[Arrival, ...]:
    """Return the recorded arrivals, or random ones where the trace holds a load."""
    drawn = list(_draw(trace.load, trace.seed))
    return tuple(sorted([*trace.arrivals, *drawn], key=lambda arrival: arrival.at))


def ask_of(arrival: Arrival, number: int, model: str) -> Ask:
    """Return what a call asks; its number makes it unlike all others of the trace."""
    unique = f"call {number}"
    match arrival.ask:
        case "stream":
            prompt = f"{unique}: diagnose the fault"
            return Generate(model=model, prompt=prompt, max_tokens=arrival.tokens)
        case "whole":
            prompt = f"{unique}: tag the mood"
            return Generate(
                model=model, prompt=prompt, max_tokens=arrival.tokens, stream=False, chat=False
            )
        case "booking":
            return Book(bench=f"bench-{number % BENCHES}", slot=unique, visitor=unique)
        case _:
            return LookUp(path="/lookup", query={"q": unique})


def recorded(calls: Iterable[PlayedCall], began: float) -> tuple[Arrival, ...]:
    """Return the arrivals of a run as they really came, in order.

    Args:
        calls: What callers noted.
        began: Clock reading in seconds that is time 0 of the trace.
    """
    found = [_as_it_came(call, began) for call in calls if call.record.attempts]
    return tuple(sorted(found, key=lambda arrival: arrival.at))


def _as_it_came(call: PlayedCall, began: float) -> Arrival:
    planned = call.arrival
    at = max(0.0, round(call.record.attempts[0].began - began, 3))
    return Arrival(
        at, planned.organisation, planned.ask, planned.tokens, planned.once, planned.failure_domain
    )


def _draw(phases: Iterable[LoadPhase], seed: int) -> Iterator[Arrival]:
    rng = random.Random(seed)
    for phase in phases:
        weights = [share.weight for share in phase.mix]
        at = phase.begin
        while True:
            at += rng.expovariate(phase.per_second)
            if at >= phase.end:
                break
            share = rng.choices(phase.mix, weights)[0]
            yield Arrival(
                at,
                share.organisation,
                share.ask,
                share.tokens,
                share.once,
                share.failure_domain,
            )
