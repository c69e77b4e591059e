"""Judges what was observed of a trace by the outcomes that it states."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from carawayhub.local.threads import End
from carawayhub.replay import outcomes
from carawayhub.replay.arrivals import PlayedCall
from carawayhub.replay.player import Played
from carawayhub.standins.callers import Once
from carawayhub.standins.checker import VersionSample
from carawayhub.standins.journal import RunRecord
from carawayhub.standins.records import Result

MAX_SHOWN = 5


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether one outcome was met, and the figures."""

    outcome: str
    met: bool
    detail: str


def judge(played: Played) -> list[Verdict]:
    """Return a verdict for each outcome, in the order of the trace."""
    return [_judge(played, outcome) for outcome in played.trace.outcomes]


def _judge(played: Played, outcome: outcomes.Outcome) -> Verdict:
    name = outcome.__struct_config__.tag
    met, detail = _measure(played, outcome)
    return Verdict(str(name), met, detail)


def _measure(played: Played, outcome: outcomes.Outcome) -> tuple[bool, str]:
    match outcome:
        case outcomes.NoFindings():
            return _no_findings(played)
        case outcomes.Completed():
            return _completed(played, outcome)
        case outcomes.NoneRefused():
            return _none_refused(played, outcome)
        case outcomes.ShedOrder():
            return _shed_order(played, outcome)
        case outcomes.Goodput():
            return _goodput(played, outcome)
        case outcomes.NoRunAfter():
            return _no_run_after(played, outcome)
        case outcomes.RunOnceSettled():
            return _run_once(played, outcome)
        case outcomes.InForce():
            return _in_force(played, outcome)
        case outcomes.EndedInOrder():
            end = played.ends[outcome.target]
            return end is End.STOPPED, f"{outcome.target}: {end.value}"
        case outcomes.Resumed():
            return _resumed(played, outcome)
        case outcomes.BrokeOff():
            return _broke_off(played, outcome)
        case outcomes.ServesAfter():
            return _serves_after(played, outcome)


def _no_findings(played: Played) -> tuple[bool, str]:
    report = played.report
    if report.ok:
        seen = f"{report.attempts} requests, {report.runs} runs, {report.version_samples} samples"
        return True, f"0 findings in {seen}"
    shown = "; ".join(str(finding) for finding in report.findings[:MAX_SHOWN])
    return False, f"{len(report.findings)} findings: {shown}"


def _completed(played: Played, wanted: outcomes.Completed) -> tuple[bool, str]:
    calls = [
        call
        for call in _span(played.calls, wanted.since, wanted.until)
        if wanted.ask in ("", call.arrival.ask)
        and wanted.organisation in ("", call.arrival.organisation)
    ]
    whole = sum(_is_whole(call) for call in calls)
    part = whole / len(calls) if calls else 0.0
    what = " ".join(word for word in (wanted.organisation, wanted.ask) if word) or "all calls"
    return (
        bool(calls) and part >= wanted.at_least,
        f"{what}: {whole} of {len(calls)} ({part:.2%}), at least {wanted.at_least:.2%} wanted",
    )


def _none_refused(played: Played, wanted: outcomes.NoneRefused) -> tuple[bool, str]:
    calls = [c for c in played.calls if c.arrival.organisation == wanted.organisation]
    refused = [c for c in calls if c.record.result is Result.NOT_RUN]
    codes = sorted({call.record.attempts[-1].code for call in refused})
    told = f", codes {codes}" if codes else ""
    detail = f"{wanted.organisation}: {len(refused)} of {len(calls)} calls refused{told}"
    return bool(calls) and not refused, detail


def _shed_order(played: Played, wanted: outcomes.ShedOrder) -> tuple[bool, str]:
    """Compare how often first requests were refused: what callers' retries do is left out."""
    priorities = {name: part.priority for name, part in played.trace.fleet.organisations.items()}
    refusals: dict[int, list[bool]] = defaultdict(list)
    for call in _span(played.calls, wanted.since, wanted.until):
        refused = call.record.attempts[0].result is Result.NOT_RUN
        refusals[priorities[call.arrival.organisation]].append(refused)
    shares = [(priority, sum(held) / len(held)) for priority, held in sorted(refusals.items())]
    parts = [share for _, share in shares]
    met = bool(parts) and parts == sorted(parts) and parts[-1] >= wanted.at_least
    told = ", ".join(f"priority {priority}: {share:.1%}" for priority, share in shares)
    return met, f"first requests refused: {told}; lowest at least {wanted.at_least:.1%} wanted"


def _goodput(played: Played, wanted: outcomes.Goodput) -> tuple[bool, str]:
    calls = _span(played.calls, wanted.since, wanted.until)
    rate = sum(_is_whole(call) for call in calls) / (wanted.until - wanted.since)
    offered = len(calls) / (wanted.until - wanted.since)
    return (
        rate >= wanted.at_least,
        f"{rate:.1f}/s whole of {offered:.1f}/s offered, at least {wanted.at_least:g}/s wanted",
    )


def _no_run_after(played: Played, wanted: outcomes.NoRunAfter) -> tuple[bool, str]:
    after = played.began + wanted.after
    runs = next(j.runs for j in played.evidence.journals if j.endpoint == wanted.endpoint)
    late = [run for run in runs if run.accepted > after and not run.offset]
    detail = f"{wanted.endpoint}: {len(late)} of {len(runs)} runs came after {wanted.after:g} s"
    return bool(runs) and not late, detail


def _run_once(played: Played, wanted: outcomes.RunOnceSettled) -> tuple[bool, str]:
    calls = [call for call in played.calls if call.arrival.once is not Once.NO]
    runs = _runs_by_content(played)
    doubled = sum(len(runs[call.record.content]) > 1 for call in calls)
    whole = [call for call in calls if _is_whole(call)]
    retried = sum(len(call.record.attempts) > 1 for call in calls)
    sides = {_answering_domain(played, call) for call in whole}
    part = len(whole) / len(calls) if calls else 0.0
    met = not doubled and part >= wanted.answered and retried >= wanted.retried
    told = f"{len(calls)} calls, {doubled} run twice, {len(whole)} answered whole ({part:.1%})"
    told += f", {retried} asked again, answered in {', '.join(sorted(sides))}"
    return met and set(wanted.sides) <= sides, told


def _answering_domain(played: Played, call: PlayedCall) -> str:
    name = played.entry_name(call.record.attempts[-1].entry)
    return played.plan.node(name).failure_domain


def _in_force(played: Played, wanted: outcomes.InForce) -> tuple[bool, str]:
    """Look for a ready process that shows an older version after the time allowed."""
    step = played.published[wanted.step]
    due = step.at + wanted.within_s
    samples = [s for s in played.evidence.versions if _name_of(s) not in wanted.except_for]
    older = [s for s in samples if s.at > due and s.version < step.version]
    shown = {_name_of(s) for s in samples if s.at > due}
    slowest = max(_delays(samples, step.version, step.at), default=0.0)
    detail = f"version {step.version}: slowest process had it after {slowest:.1f} s"
    detail += f", {wanted.within_s:g} s allowed; {len(shown)} processes seen after that"
    if older:
        names = ", ".join(sorted({_name_of(sample) for sample in older})[:MAX_SHOWN])
        detail += f"; older at {names}"
    return bool(shown) and not older, detail


def _delays(samples: Iterable[VersionSample], version: int, since: float) -> list[float]:
    """Return after how many seconds each process that ran before was first seen with a version."""
    held = list(samples)
    before = {sample.process for sample in held if sample.at <= since}
    first: dict[str, float] = {}
    for sample in held:
        if sample.version >= version and sample.process in before:
            first.setdefault(sample.process, sample.at - since)
    return list(first.values())


def _name_of(sample: VersionSample) -> str:
    """Return a process's name without its role and incarnation."""
    return sample.process.split(":")[1]


def _resumed(played: Played, wanted: outcomes.Resumed) -> tuple[bool, str]:
    whole = {call.record.content for call in played.calls if _is_whole(call)}
    found = {
        run.content
        for journal in played.evidence.journals
        for run in journal.runs
        if run.offset and run.content in whole
    }
    detail = f"{len(found)} streams were resumed and came whole, {wanted.at_least} wanted"
    return len(found) >= wanted.at_least, detail


def _broke_off(played: Played, wanted: outcomes.BrokeOff) -> tuple[bool, str]:
    found = sum(
        any(attempt.result is Result.CUT for attempt in call.record.attempts)
        for call in played.calls
        if _is_whole(call)
    )
    detail = f"{found} streams broke off and came whole when asked again, {wanted.at_least} wanted"
    return found >= wanted.at_least, detail


def _serves_after(played: Played, wanted: outcomes.ServesAfter) -> tuple[bool, str]:
    after = played.began + wanted.after
    served = sum(
        attempt.result is Result.COMPLETED
        and attempt.began >= after
        and played.entry_name(attempt.entry) == wanted.entry
        for call in played.calls
        for attempt in call.record.attempts
    )
    detail = f"{wanted.entry}: {served} calls answered whole, {wanted.at_least} wanted"
    return served >= wanted.at_least, detail


def _span(calls: Iterable[PlayedCall], since: float, until: float) -> list[PlayedCall]:
    return [call for call in calls if since <= call.arrival.at < until]


def _is_whole(call: PlayedCall) -> bool:
    return call.record.result is Result.COMPLETED


def _runs_by_content(played: Played) -> dict[str, list[RunRecord]]:
    found: dict[str, list[RunRecord]] = defaultdict(list)
    for journal in played.evidence.journals:
        for run in journal.runs:
            if run.started is not None and not run.offset:
                found[run.content].append(run)
    return found
