"""Metrics of the agent of a rank, in the text format of metric collectors."""

from collections import Counter
from collections.abc import Callable, Mapping

from carawayhub.experts.planner import Plan
from carawayhub.experts.switch import ChangeOutcome
from carawayhub.output.metrics import Recorder, counter_lines, summary_lines


class GroupTally:
    """Metrics of one agent since it started.

    Args:
        task_failures: Returns how often each task of the process failed.

    Attributes:
        looks: Number of polls of the agent's rank or group.
        failed_looks: Number of failed polls.
        pressure: Expected fraction of occupied slots of the group as of the last poll, 0 for an
            agent that is not the leader of its group.
    """

    __slots__ = (
        "_changes",
        "_copies",
        "_plan",
        "_task_failures",
        "_times",
        "failed_looks",
        "looks",
        "pressure",
    )

    def __init__(self, task_failures: Callable[[], Mapping[str, int]] = dict) -> None:
        self._task_failures = task_failures
        self._changes: Counter[ChangeOutcome] = Counter()
        self._copies = 0
        self._plan: Plan | None = None
        self._times = Recorder()
        self.looks = 0
        self.failed_looks = 0
        self.pressure = 0.0

    def changed(self, plan: Plan, ended: ChangeOutcome, seconds: float) -> None:
        """Count a change of map by its outcome."""
        self._changes[ended] += 1
        if ended is not ChangeOutcome.SWITCHED:
            return
        self._copies += plan.copies
        self._plan = plan
        self._times.record(seconds)

    def page(self) -> str:
        """Return all metrics as text."""
        lines = [
            "# TYPE carawayhub_agent_looks_total counter",
            f"carawayhub_agent_looks_total {self.looks}",
            f"carawayhub_agent_failed_looks_total {self.failed_looks}",
            "# TYPE carawayhub_agent_pressure gauge",
            f"carawayhub_agent_pressure {self.pressure:.3f}",
            "# TYPE carawayhub_agent_changes_total counter",
        ]
        for ended in ChangeOutcome:
            labels = f'ended="{ended.name.lower()}"'
            lines.append(f"carawayhub_agent_changes_total{{{labels}}} {self._changes[ended]}")
        lines.append(f"carawayhub_agent_copies_total {self._copies}")
        lines += counter_lines(
            "carawayhub_agent_task_failures_total", "task", self._task_failures()
        )
        if self._plan is not None:
            lines.append(f"carawayhub_agent_skew_before {self._plan.skew_before:.3f}")
            lines.append(f"carawayhub_agent_skew_after {self._plan.skew_after:.3f}")
        lines += summary_lines("carawayhub_agent_change_milliseconds", "", self._times)
        return "\n".join(lines) + "\n"
