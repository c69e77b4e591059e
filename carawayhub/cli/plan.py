"""The command that shows what the rebalancing policy would do on a recorded load, and why."""

from dataclasses import replace
from pathlib import Path

import msgspec

from carawayhub.codes import Code
from carawayhub.config.model import ModelGroup
from carawayhub.context import Environment
from carawayhub.errors import CommandError
from carawayhub.groups.outcomes import Outcome
from carawayhub.groups.recorded import Point, model_group, read_recording, run_policy
from carawayhub.output.plots import Line, Plot, draw
from carawayhub.output.tables import write_table
from carawayhub.status import ExitStatus

GB = 1e9


class PlanResult(msgspec.Struct, kw_only=True):
    """What programs read.

    Attributes:
        group: Name of the group.
        skew_weight: Weight that was used.
        rebalancing_weight: Weight that was used.
        mean_skew: Mean step-time skew under the policy.
        kept_mean_skew: The same, had the first map been kept.
        moved_bytes: Weights that it would have loaded.
        changes: How often it would have changed the map.
        outcomes: Expected and measured gain of each change that was measured.
        points: Interval by interval.
    """

    group: str
    skew_weight: float
    rebalancing_weight: float
    mean_skew: float
    kept_mean_skew: float
    moved_bytes: int
    changes: int
    outcomes: list[Outcome]
    points: list[Point]


def plan(
    env: Environment,
    recorded_load: Path,
    json_output: bool = False,
    plot: Path | None = None,
    skew_weight: float | None = None,
    rebalancing_weight: float | None = None,
) -> ExitStatus:
    """Run the policy over a recorded load and print what it would do.

    Args:
        env: The streams of the run.
        recorded_load: File of the recording; see ``carawayhub.groups.recorded``.
        json_output: Whether JSON is written.
        plot: File that takes a plot as SVG, None for none.
        skew_weight: In place of the recording's, None for that.
        rebalancing_weight: In place of the recording's, None for that.

    Raises:
        CommandError: With ``USAGE`` for a recording, a weight or a plot file that cannot be used.
    """
    recorded, samples = read_recording(recorded_load)
    group = _weighted(model_group(recorded), skew_weight, rebalancing_weight)
    points, outcomes = run_policy(group, samples)
    if not points:
        raise CommandError(Code.USAGE, f"{recorded_load}: no counter ever grows")
    result = _result(group, points, outcomes)
    if plot is not None:
        _write_plot(plot, result)
    if json_output:
        env.stdout.write(msgspec.json.encode(result).decode() + "\n")
        return ExitStatus.SUCCESS
    _write(env, result)
    return ExitStatus.SUCCESS


def _weighted(group: ModelGroup, skew: float | None, rebalancing: float | None) -> ModelGroup:
    for name, weight in (("skew", skew), ("rebalancing", rebalancing)):
        if weight is not None and not 0.0 <= weight <= 1.0:
            raise CommandError(Code.USAGE, f"the {name} weight {weight:g} is not from 0 to 1")
    return replace(
        group,
        skew_weight=group.skew_weight if skew is None else skew,
        rebalancing_weight=group.rebalancing_weight if rebalancing is None else rebalancing,
    )


def _result(group: ModelGroup, points: list[Point], outcomes: list[Outcome]) -> PlanResult:
    return PlanResult(
        group=group.name,
        skew_weight=group.skew_weight,
        rebalancing_weight=group.rebalancing_weight,
        mean_skew=sum(point.skew for point in points) / len(points),
        kept_mean_skew=sum(point.kept_skew for point in points) / len(points),
        moved_bytes=sum(point.moved_bytes for point in points),
        changes=sum(point.moves for point in points),
        outcomes=outcomes,
        points=points,
    )


def _write(env: Environment, result: PlanResult) -> None:
    env.stdout.write(
        f"group {result.group}: {result.changes} changes, {result.moved_bytes / GB:.1f} GB moved, "
        f"mean skew {result.mean_skew:.3f} instead of {result.kept_mean_skew:.3f}\n"
        f"weights: skew {result.skew_weight:g}, rebalancing {result.rebalancing_weight:g}\n"
    )
    headers = ("seconds", "map", "skew", "then", "gain s", "cost s", "GB", "decision")
    write_table(env.stdout, headers, [_row(point) for point in _notable(result.points)])


def _notable(points: list[Point]) -> list[Point]:
    """Return changes, and the first of each run of decisions with one reason to keep the map."""
    chosen: list[Point] = []
    last = ""
    for point in points:
        if point.reason and (point.moves or point.reason != last):
            chosen.append(point)
            last = point.reason
    return chosen


def _row(point: Point) -> tuple[object, ...]:
    skew = round(point.skew, 3)
    if not point.moves:
        return point.at, point.map_number, skew, None, None, None, None, f"keep: {point.reason}"
    return (
        point.at,
        point.map_number,
        skew,
        round(point.expected_skew, 3),
        round(point.gain_seconds, 1),
        round(point.cost_seconds, 1),
        round(point.moved_bytes / GB, 2),
        f"move: {point.reason}",
    )


def _write_plot(path: Path, result: PlanResult) -> None:
    points = result.points
    picture = Plot(
        title=f"{result.group}: skew {result.skew_weight:g}, "
        f"rebalancing {result.rebalancing_weight:g}",
        times=[point.at for point in points],
        lines=[
            Line("with the policy", [point.skew for point in points]),
            Line("first map kept", [point.kept_skew for point in points]),
        ],
        lines_label="step-time skew",
        bars=[point.moved_bytes / GB for point in points],
        bars_label="GB moved",
    )
    try:
        path.write_text(draw(picture))
    except OSError as exc:
        raise CommandError(Code.USAGE, f"{path}: {exc.strerror}") from exc
