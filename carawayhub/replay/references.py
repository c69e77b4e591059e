"""What the parts of a trace refer to, so that a misspelt name is found before anything starts."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from carawayhub.config.check import build
from carawayhub.config.files import ConfigFile
from carawayhub.replay import faults, outcomes
from carawayhub.replay.trace import Trace
from carawayhub.standins.fleet import FleetPlan, to_json
from carawayhub.standins.fleetshape import EndpointKind

ASKS = ("booking", "lookup", "stream", "whole")
ANY_SUBNET = 0


@dataclass(slots=True, frozen=True)
class Reference:
    """A value that must be one of those known, or within a bound.

    Attributes:
        steps: Path of its key.
        name: The value.
        known: What it may be, None where a bound is meant.
        detail: What kind of name it is, or what the bound is.
        holds: Whether all is well.
    """

    steps: tuple[str | int, ...]
    name: str
    known: Collection[str] | None
    detail: str
    holds: bool


class _Names:
    """The names that a trace's fleet has."""

    __slots__ = ("desks", "domains", "endpoints", "engines", "entries", "links", "organisations")

    def __init__(self, trace: Trace) -> None:
        plan = FleetPlan(trace.fleet.shape(), ANY_SUBNET)
        self.entries = {node.name for node in plan.entries}
        self.engines = {each.name for each in plan.endpoints_of(EndpointKind.ENGINE)}
        self.desks = {each.name for each in plan.endpoints_of(EndpointKind.SERVICE)}
        self.endpoints = self.engines | self.desks
        nodes = self.entries | self.endpoints
        self.links = {"platform"} | nodes | {f"{name}.peer" for name in nodes}
        self.domains = set(trace.fleet.failure_domains)
        self.organisations = set(trace.fleet.organisations)

    @property
    def processes(self) -> set[str]:
        return self.entries | self.endpoints


def references(trace: Trace) -> Iterator[Reference]:
    """Return all references of a trace, those that hold included."""
    names = _Names(trace)
    yield from _arrivals(trace, names)
    for place, fault in enumerate(trace.faults):
        at = ("faults", place)
        yield _within((*at, "at"), fault.at, trace.seconds)
        yield from _fault(at, fault, names)
    for place, step in enumerate(trace.steps):
        yield _within(("steps", place, "at"), step.at, trace.seconds)
    yield from _configurations(trace)
    for place, outcome in enumerate(trace.outcomes):
        yield from _outcome(("outcomes", place), outcome, names, trace)


def _arrivals(trace: Trace, names: _Names) -> Iterator[Reference]:
    for place, arrival in enumerate(trace.arrivals):
        at = ("arrivals", place)
        yield _within((*at, 0), arrival.at, trace.seconds)
        yield _name((*at, 1), arrival.organisation, names.organisations, "organisation")
        yield _name((*at, 2), arrival.ask, ASKS, "kind of call")
    for place, phase in enumerate(trace.load):
        for inner, share in enumerate(phase.mix):
            spot = ("load", place, "mix", inner)
            yield _name(
                (*spot, "organisation"), share.organisation, names.organisations, "organisation"
            )
            yield _name((*spot, "ask"), share.ask, ASKS, "kind of call")


def _configurations(trace: Trace) -> Iterator[Reference]:
    """Check the fleet's configuration and what each step makes of it, as every process does."""
    files = FleetPlan(trace.fleet.shape(), ANY_SUBNET).config_files()
    yield _accepted(("fleet",), files)
    steps = sorted(enumerate(trace.steps), key=lambda each: each[1].at)
    for place, step in steps:
        files[step.file] = to_json(step.content)
        yield _accepted(("steps", place, "content"), files)


def _accepted(steps: tuple[str | int, ...], files: dict[str, bytes]) -> Reference:
    held = tuple(ConfigFile(name, files[name]) for name in sorted(files))
    problems = build(held).problems
    detail = f"its configuration is refused: {problems[0]}" if problems else ""
    return Reference(steps, "", None, detail, not problems)


def _fault(at: tuple[str | int, ...], fault: faults.Fault, names: _Names) -> Iterator[Reference]:
    match fault:
        case faults.Pause() | faults.Stop() | faults.Kill() | faults.Restart():
            yield _name((*at, "target"), fault.target, names.processes, "entry or agent")
        case faults.KillVm():
            yield _name((*at, "target"), fault.target, names.endpoints, "endpoint")
        case faults.EngineTrouble():
            yield _name((*at, "target"), fault.target, names.engines, "model endpoint")
        case faults.ServiceTrouble():
            yield _name((*at, "target"), fault.target, names.desks, "plain service")
        case faults.LinkTrouble():
            yield _name((*at, "link"), fault.link, names.links, "link")
        case faults.SilenceConnections():
            yield _name((*at, "link"), fault.link, names.links, "link")
            yield _name((*at, "source"), fault.source, {"", *names.processes}, "node")
        case faults.Partition():
            for side in ("left", "right"):
                for place, domain in enumerate(getattr(fault, side)):
                    yield _name((*at, side, place), domain, names.domains, "failure domain")


def _outcome(
    at: tuple[str | int, ...], outcome: outcomes.Outcome, names: _Names, trace: Trace
) -> Iterator[Reference]:
    match outcome:
        case outcomes.Completed():
            known = {"", *names.organisations}
            yield _name((*at, "organisation"), outcome.organisation, known, "organisation")
            yield _name((*at, "ask"), outcome.ask, {"", *ASKS}, "kind of call")
        case outcomes.NoneRefused():
            known = names.organisations
            yield _name((*at, "organisation"), outcome.organisation, known, "organisation")
        case outcomes.NoRunAfter():
            yield _name((*at, "endpoint"), outcome.endpoint, names.endpoints, "endpoint")
        case outcomes.EndedInOrder():
            yield _name((*at, "target"), outcome.target, names.processes, "entry or agent")
        case outcomes.ServesAfter():
            yield _name((*at, "entry"), outcome.entry, names.entries, "entry")
        case outcomes.InForce():
            files = {step.file for step in trace.steps}
            yield _name((*at, "step"), outcome.step, files, "step")
            for place, name in enumerate(outcome.except_for):
                known = names.processes
                yield _name((*at, "except_for", place), name, known, "entry or agent")
        case outcomes.RunOnceSettled():
            for place, domain in enumerate(outcome.sides):
                yield _name((*at, "sides", place), domain, names.domains, "failure domain")


def _name(steps: tuple[str | int, ...], name: str, known: Collection[str], kind: str) -> Reference:
    return Reference(steps, name, known, kind, name in known)


def _within(steps: tuple[str | int, ...], at: float, seconds: float) -> Reference:
    detail = f"{at:g} is not within the trace; choose 0 to {seconds:g}"
    return Reference(steps, "", None, detail, 0 <= at <= seconds)
