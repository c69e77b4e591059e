"""Drives a local fleet through a trace and keeps what was observed."""

import contextlib
from dataclasses import dataclass, field

import anyio

from carawayhub.clock import SystemClock
from carawayhub.local.fleet import LocalFleet
from carawayhub.local.threads import End
from carawayhub.replay.arrivals import PlayedCall, arrivals_of, ask_of
from carawayhub.replay.disturb import disturb
from carawayhub.replay.faults import Fault
from carawayhub.replay.trace import Arrival, Step, Trace
from carawayhub.standins.callers import Caller, CallerOptions
from carawayhub.standins.checker import Evidence, Report, check
from carawayhub.standins.fleet import CALLER_PORT, FleetPlan, to_json


@dataclass(slots=True, frozen=True)
class Publication:
    """A configuration step as it was published, with the clock reading in seconds."""

    version: int
    at: float


@dataclass(slots=True)
class Played:
    """What was observed of a trace.

    Attributes:
        trace: The trace.
        plan: The fleet's names and addresses.
        began: Clock reading in seconds that is time 0 of the trace.
        calls: All calls.
        published: Steps by the name of their file.
        evidence: What the outside observer saw.
        ends: How entries and agents ended that ended before the fleet did.
    """

    trace: Trace
    plan: FleetPlan
    began: float
    calls: list[PlayedCall] = field(default_factory=list)
    published: dict[str, Publication] = field(default_factory=dict)
    evidence: Evidence = field(default_factory=Evidence)
    ends: dict[str, End] = field(default_factory=dict)

    @property
    def report(self) -> Report:
        """The observer's verdict."""
        return check(self.evidence)

    def entry_name(self, address: str) -> str:
        """Return the name of the entry at an address that callers use."""
        for node in self.plan.entries:
            if address == f"{node.outer}:{CALLER_PORT}":
                return node.name
        return ""


async def play(trace: Trace) -> Played:
    """Run a trace from its first arrival until its last call has ended.

    Raises:
        CommandError: The local fleet could not start.
    """
    fleet = LocalFleet(trace.fleet.shape())
    async with fleet.running():
        return await _Player(trace, fleet).run()


class _Player:
    """Plays one trace on a fleet that is ready."""

    def __init__(self, trace: Trace, fleet: LocalFleet) -> None:
        self._trace = trace
        self._fleet = fleet
        self._clock = SystemClock()
        self._callers: dict[tuple[str, str], Caller] = {}
        self._played = Played(trace, fleet.plan, self._clock.monotonic())

    async def run(self) -> Played:
        arrivals = arrivals_of(self._trace)
        async with contextlib.AsyncExitStack() as stack:
            for arrival in arrivals:
                await self._open_caller(stack, arrival)
            self._played.began = self._clock.monotonic()
            async with anyio.create_task_group() as tasks:
                for fault in self._trace.faults:
                    tasks.start_soon(self._disturb, fault)
                for step in self._trace.steps:
                    tasks.start_soon(self._publish, step)
                for number, arrival in enumerate(arrivals):
                    tasks.start_soon(self._call, number, arrival)
                tasks.start_soon(self._until, self._trace.seconds)
        return self._observed()

    def _observed(self) -> Played:
        played, fleet = self._played, self._fleet
        played.evidence = fleet.evidence
        played.evidence.records = [call.record for call in played.calls]
        played.evidence.journals = fleet.journals()
        played.evidence.steps = fleet.steps()
        played.ends = {name: process.end for name, process in fleet.processes.items()}
        return played

    async def _open_caller(self, stack: contextlib.AsyncExitStack, arrival: Arrival) -> None:
        place = arrival.organisation, arrival.failure_domain
        if place in self._callers:
            return
        shape = self._fleet.plan.shape
        key = next(each.key for each in shape.organisations if each.name == arrival.organisation)
        options = CallerOptions(
            name="-".join(part for part in place if part),
            api_key=key,
            seeds=self._fleet.plan.seeds,
            failure_domain=arrival.failure_domain,
            attempts=self._trace.callers.attempts,
            deadline_s=self._trace.callers.deadline_s,
            seed=self._trace.seed,
        )
        self._callers[place] = await stack.enter_async_context(Caller(options).open())

    async def _until(self, at: float) -> None:
        await anyio.sleep(max(0.0, self._played.began + at - self._clock.monotonic()))

    async def _disturb(self, fault: Fault) -> None:
        await self._until(fault.at)
        await disturb(self._fleet, fault)

    async def _publish(self, step: Step) -> None:
        await self._until(step.at)
        for endpoint in step.leaving:
            self._fleet.note_leaving(endpoint)
        version = self._fleet.publish(step.file, to_json(step.content))
        self._played.published[step.file] = Publication(version, self._clock.monotonic())

    async def _call(self, number: int, arrival: Arrival) -> None:
        await self._until(arrival.at)
        caller = self._callers[arrival.organisation, arrival.failure_domain]
        ask = ask_of(arrival, number, self._trace.fleet.model)
        record = await caller.call(ask, arrival.once)
        self._played.calls.append(PlayedCall(arrival, record))
