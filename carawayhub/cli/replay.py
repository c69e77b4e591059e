"""The command that replays a trace and judges its outcomes."""

from collections import Counter
from pathlib import Path

import anyio
import msgspec

from carawayhub.codes import Code
from carawayhub.context import Environment
from carawayhub.errors import CommandError
from carawayhub.output.logs import quiet_logs
from carawayhub.output.tables import write_table
from carawayhub.replay.player import Played, play
from carawayhub.replay.reading import read_trace
from carawayhub.replay.recorder import write_trace
from carawayhub.replay.verdicts import Verdict, judge
from carawayhub.standins.records import Result
from carawayhub.status import ExitStatus


class ReplayResult(msgspec.Struct, kw_only=True):
    """What programs read.

    Attributes:
        trace: File of the trace.
        met: Whether all outcomes were met.
        outcomes: Verdict by outcome.
        results: Calls by how they ended.
        codes: Requests by the numbered result that they were refused with.
    """

    trace: str
    met: bool
    outcomes: list[Verdict]
    results: dict[str, int]
    codes: dict[str, int]


def replay(
    env: Environment, path: Path, json_output: bool = False, record: Path | None = None
) -> ExitStatus:
    """Drive a local fleet through a trace and print outcome by outcome.

    Args:
        env: The streams of the run.
        path: File of the trace.
        json_output: Whether JSON is written.
        record: File that takes the trace with its arrivals as they came, None for none.
    """
    trace = read_trace(path)
    quiet_logs()
    if not json_output:
        env.stdout.write(f"{path.name}: {trace.about}\n")
        env.stdout.flush()
    played = anyio.run(play, trace, backend_options={"use_uvloop": True})
    if record is not None:
        _record(record, write_trace(played, path.name))
    result = _result(path, played)
    if json_output:
        env.stdout.write(msgspec.json.encode(result).decode() + "\n")
    else:
        _write(env, result)
    return ExitStatus.SUCCESS if result.met else ExitStatus.OUTCOME_MISSED


def _result(path: Path, played: Played) -> ReplayResult:
    verdicts = judge(played)
    results = Counter(call.record.result for call in played.calls)
    attempts = [each for call in played.calls for each in call.record.attempts]
    codes = Counter(each.code for each in attempts if each.code)
    return ReplayResult(
        trace=str(path),
        met=all(verdict.met for verdict in verdicts),
        outcomes=verdicts,
        results={result.value: results[result] for result in Result if results[result]},
        codes={f"{code} {Code(code).name}": count for code, count in sorted(codes.items())},
    )


def _write(env: Environment, result: ReplayResult) -> None:
    calls = ", ".join(f"{count} {name}" for name, count in result.results.items())
    env.stdout.write(f"calls: {calls}\n")
    if result.codes:
        told = ", ".join(f"{count} x {name}" for name, count in result.codes.items())
        env.stdout.write(f"requests refused or failed: {told}\n")
    rows = [
        (each.outcome, "met" if each.met else "MISSED", each.detail) for each in result.outcomes
    ]
    write_table(env.stdout, ("outcome", "verdict", "figures"), rows)


def _record(path: Path, text: str) -> None:
    try:
        path.write_text(text)
    except OSError as exc:
        raise CommandError(Code.USAGE, f"{path}: {exc.strerror}") from exc
