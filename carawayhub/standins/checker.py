"""Outside observer: compares what callers were told with what endpoints really did.

It knows nothing of the system's inside. Its inputs are callers' records, endpoints' journals and
samples of what processes say of themselves; each broken promise is one finding, and none is
tolerated.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import pairwise

from carawayhub.standins.journal import RunRecord
from carawayhub.standins.records import Attempt, CallRecord, Result

LEAVING_GRACE_S = 3.0


class Promise(Enum):
    """What must always hold; the value names the finding."""

    RUNS_AT_MOST_ONCE = "double run"
    WHOLE_OWN_ANSWER = "wrong, mixed or cut answer"
    NOT_RUN_IS_TRUE = "false not run"
    VERSION_NEVER_REVERTS = "version went back"
    NO_WORK_WHEN_LEAVING = "new work on a leaving endpoint"
    ONE_MAP_PER_STEP = "step with two maps"


@dataclass(slots=True, frozen=True)
class EndpointJournal:
    """All runs of one endpoint, over all its starts."""

    endpoint: str
    runs: Sequence[RunRecord]


@dataclass(slots=True, frozen=True)
class VersionSample:
    """What a ready process said is in force at it.

    Attributes:
        process: Its name; a process that was started again keeps it.
        at: Clock reading in seconds when it was asked.
        version: The version in force.
    """

    process: str
    at: float
    version: int


@dataclass(slots=True, frozen=True)
class StepSample:
    """The map under which one rank made one step of its group."""

    group: str
    step: int
    rank: int
    map_digest: str


@dataclass(slots=True, frozen=True)
class Leaving:
    """When the first source said that an endpoint is leaving, as a clock reading in seconds.

    Attributes:
        endpoint: Its name.
        since: When it was said.
        until: When the endpoint took up work again, if it did.
    """

    endpoint: str
    since: float
    until: float = float("inf")


@dataclass(slots=True)
class Evidence:
    """All that was observed."""

    records: list[CallRecord] = field(default_factory=list)
    journals: list[EndpointJournal] = field(default_factory=list)
    versions: list[VersionSample] = field(default_factory=list)
    steps: list[StepSample] = field(default_factory=list)
    leaving: list[Leaving] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Finding:
    """One broken promise."""

    promise: Promise
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise.value}: {self.subject}: {self.detail}"


@dataclass(slots=True, frozen=True)
class Report:
    """The verdict.

    Attributes:
        findings: Broken promises.
        results: Calls by how they ended.
        run_once_results: The same for calls that may run at most once.
        attempts: Requests sent.
        runs: Runs that endpoints began.
        version_samples: Samples of versions that were looked at.
        steps: Steps of groups that were looked at.
    """

    findings: list[Finding]
    results: dict[str, int]
    run_once_results: dict[str, int]
    attempts: int
    runs: int
    version_samples: int
    steps: int

    @property
    def ok(self) -> bool:
        """Whether nothing was broken."""
        return not self.findings

    @property
    def availability(self) -> float:
        """Part of the repeatable calls that were answered whole, 1.0 where there were none."""
        total = sum(self.results.values()) - sum(self.run_once_results.values())
        done = self.results.get("completed", 0) - self.run_once_results.get("completed", 0)
        return done / total if total else 1.0

    def counts(self) -> dict[str, int]:
        """Return how often each promise was broken, zeros included."""
        found = Counter(finding.promise for finding in self.findings)
        return {promise.value: found[promise] for promise in Promise}


def check(evidence: Evidence) -> Report:
    """Return what the evidence shows."""
    runs = _runs_by_content(evidence.journals)
    findings = [
        *_double_runs(evidence.records, runs),
        *_wrong_answers(evidence.records),
        *_false_not_run(evidence.records, runs),
        *_reverted_versions(evidence.versions),
        *_work_when_leaving(evidence.leaving, evidence.journals),
        *_mixed_steps(evidence.steps),
    ]
    return Report(
        findings=findings,
        results=_count_results(evidence.records),
        run_once_results=_count_results(r for r in evidence.records if r.run_once),
        attempts=sum(len(record.attempts) for record in evidence.records),
        runs=sum(len(begun) for begun in runs.values()),
        version_samples=len(evidence.versions),
        steps=len({(sample.group, sample.step) for sample in evidence.steps}),
    )


def _count_results(records: Iterable[CallRecord]) -> dict[str, int]:
    return dict(Counter(record.result.value for record in records))


def _runs_by_content(journals: Sequence[EndpointJournal]) -> dict[str, list[RunRecord]]:
    """Return the runs that were begun from their start; a resumed stream is no new run."""
    found: dict[str, list[RunRecord]] = defaultdict(list)
    for journal in journals:
        for run in journal.runs:
            if run.started is not None and not run.offset:
                found[run.content].append(run)
    return found


def _double_runs(
    records: Sequence[CallRecord], runs: dict[str, list[RunRecord]]
) -> Iterable[Finding]:
    for record in records:
        begun = runs.get(record.content, [])
        if record.run_once and len(begun) > 1:
            ids = ", ".join(run.request_id for run in begun)
            yield Finding(
                Promise.RUNS_AT_MOST_ONCE, _name(record), f"{len(begun)} runs, by requests {ids}"
            )


def _wrong_answers(records: Sequence[CallRecord]) -> Iterable[Finding]:
    for record in records:
        for attempt in record.attempts:
            if attempt.result is Result.WRONG:
                yield Finding(Promise.WHOLE_OWN_ANSWER, attempt.request_id, attempt.detail)


def _false_not_run(
    records: Sequence[CallRecord], runs: dict[str, list[RunRecord]]
) -> Iterable[Finding]:
    for record in records:
        begun = [run for run in runs.get(record.content, ()) if run.started is not None]
        for denial in _denials(record):
            for run in begun:
                if denial.since <= (run.started or 0.0) < denial.until:
                    yield Finding(
                        Promise.NOT_RUN_IS_TRUE,
                        denial.attempt.request_id,
                        f"code {denial.attempt.code}, but run by {run.request_id}",
                    )


@dataclass(slots=True, frozen=True)
class _Denial:
    """An attempt said not to have run; a run that began in this span of time belies it."""

    attempt: Attempt
    since: float
    until: float


def _denials(record: CallRecord) -> Iterable[_Denial]:
    """Return what was said not to have run.

    Of a run-once call the answer speaks of the call, whichever attempt could have run it. Of a
    call that may be repeated it speaks of the attempt: behind an earlier attempt that may have
    run, a run cannot be laid to either with certainty, so such attempts are left out.
    """
    may_have_run = False
    for attempt, following in pairwise([*record.attempts, None]):
        assert attempt is not None
        if attempt.result is Result.NOT_RUN and (record.run_once or not may_have_run):
            since = 0.0 if record.run_once else attempt.began
            yield _Denial(attempt, since, following.began if following else float("inf"))
        may_have_run |= attempt.result not in (Result.NOT_RUN, Result.NOT_SENT)


def _reverted_versions(samples: Sequence[VersionSample]) -> Iterable[Finding]:
    highest: dict[str, int] = {}
    for sample in sorted(samples, key=lambda each: each.at):
        before = highest.get(sample.process, 0)
        if sample.version < before:
            yield Finding(
                Promise.VERSION_NEVER_REVERTS,
                sample.process,
                f"{sample.version} in force after {before}",
            )
        highest[sample.process] = max(before, sample.version)


def _work_when_leaving(
    leaving: Sequence[Leaving], journals: Sequence[EndpointJournal]
) -> Iterable[Finding]:
    runs = {journal.endpoint: journal.runs for journal in journals}
    for each in leaving:
        for run in runs.get(each.endpoint, ()):
            late = run.accepted - each.since
            # A resumed stream is work that was in flight before.
            if late > LEAVING_GRACE_S and run.accepted < each.until and not run.offset:
                yield Finding(
                    Promise.NO_WORK_WHEN_LEAVING,
                    each.endpoint,
                    f"{run.request_id} came {late:.1f} s after it began to leave",
                )


def _mixed_steps(samples: Sequence[StepSample]) -> Iterable[Finding]:
    maps: dict[tuple[str, int], set[str]] = defaultdict(set)
    for sample in samples:
        maps[sample.group, sample.step].add(sample.map_digest)
    for (group, step), digests in maps.items():
        if len(digests) > 1:
            yield Finding(Promise.ONE_MAP_PER_STEP, group, f"step {step} under {sorted(digests)}")


def _name(record: CallRecord) -> str:
    return record.key or record.ticket[:16] or record.attempts[-1].request_id
