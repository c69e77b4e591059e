"""The lock-step group that an agent decides for: the one whose rank 0 its endpoint holds."""

import random

import anyio
from anyio.abc import TaskGroup

from carawayhub.agent.rank_client import HttpRank
from carawayhub.agent.reporter import Reporter
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, EndpointState, ModelGroup
from carawayhub.endpoints.counters import EngineCounters
from carawayhub.groups.decider import DeciderOptions, GroupDecider
from carawayhub.groups.policy import Policy, Situation
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.staging import fair_rate
from carawayhub.groups.status import GroupStatus
from carawayhub.output.audit import AuditTrail
from carawayhub.process.status import GroupStatusRow

WATCH_INTERVAL = 0.25
GIVER_HEADER = "carawayhub-giver"


class GroupTask:
    """Runs the decider of one group for as long as the configuration says that it is this agent's.

    Args:
        endpoint: Name of this agent's endpoint.
        reporter: Told when the group cannot step, so that entries send it nothing.
        clock: Source of time.
        rng: Source of the decider's number and of jitter.
        audit: Takes what the decider does.
        tasks: Where the decider runs.
    """

    __slots__ = (
        "_audit",
        "_clock",
        "_endpoint",
        "_group",
        "_places",
        "_reporter",
        "_rng",
        "_scope",
        "_status",
        "_tasks",
    )

    def __init__(
        self,
        endpoint: str,
        reporter: Reporter,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
        tasks: TaskGroup,
    ) -> None:
        self._endpoint = endpoint
        self._reporter = reporter
        self._clock = clock
        self._rng = rng
        self._audit = audit
        self._tasks = tasks
        self._group: ModelGroup | None = None
        self._places: tuple[str, ...] = ()
        self._scope: anyio.CancelScope | None = None
        self._status: GroupStatus | None = None

    def configured(self, cfg: Configuration) -> None:
        """Begin, change or end the task as a version that came into force says."""
        wanted = led_group(cfg, self._endpoint)
        places = () if wanted is None else tuple(cfg.endpoints[n].url for n in wanted.endpoints)
        if wanted == self._group and places == self._places:
            return
        self._places = places
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
        self._group = wanted
        self._status = None
        self._reporter.set_out_of_step("")
        if wanted is not None:
            self._scope = anyio.CancelScope()
            self._reporter.set_out_of_step("the ranks of its group are not in one formation yet")
            self._tasks.start_soon(self._decide, cfg, wanted, self._scope)

    def rows(self) -> tuple[GroupStatusRow, ...]:
        """Return the group's row on the status page, nothing without a group."""
        status = self._status
        if status is None:
            return ()
        row = GroupStatusRow(
            name=status.group,
            map_number=status.map_number,
            skew=status.skew,
            decision=status.changing or status.decision,
            reason=status.reason,
            out_of_routing="" if status.formed else _why_not_formed(status),
        )
        return (row,)

    async def _decide(
        self, cfg: Configuration, group: ModelGroup, scope: anyio.CancelScope
    ) -> None:
        ports = rank_ports(cfg, group, self._endpoint)
        signals = _Signals(cfg, group, self._reporter)
        decider = GroupDecider(
            group,
            cfg.version,
            ports,
            Policy(group, self._clock),
            signals,
            self._clock,
            self._audit,
            self._rng,
            DeciderOptions(staging_rate=_staging_rate(cfg)),
        )
        self._status = decider.status
        with scope:
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(decider.run)
                    tasks.start_soon(self._follow, decider.status)
            finally:
                with anyio.CancelScope(shield=True):
                    await signals.close()
                    for port in ports:
                        await port.close()

    async def _follow(self, status: GroupStatus) -> None:
        """Keep the report in line with the decider's view of the group."""
        while True:
            self._reporter.map_number = status.map_number
            self._reporter.skew = status.skew
            self._reporter.set_out_of_step("" if status.formed else _why_not_formed(status))
            await anyio.sleep(WATCH_INTERVAL)


class _Signals:
    """What this agent knows of its group; see ``GroupSignals``."""

    __slots__ = ("_cfg", "_counters", "_group", "_reporter")

    def __init__(self, cfg: Configuration, group: ModelGroup, reporter: Reporter) -> None:
        self._cfg = cfg
        self._group = group
        self._reporter = reporter
        self._counters = EngineCounters(cfg.endpoints[group.endpoints[0]].url)

    async def counters(self) -> ExpertCounters | None:
        """Return the newest counters, None where there are none."""
        return await self._counters.read()

    def situation(self) -> Situation:
        """Return load, drain and what else the policy weighs."""
        load = self._reporter.load
        states = [self._cfg.endpoints[name].state for name in self._group.endpoints]
        return Situation(
            draining=EndpointState.LEAVING in states,
            utilisation=(load.running + load.queued) / max(load.capacity, 1),
            running=load.running,
            step_seconds=load.step_seconds or Situation().step_seconds,
        )

    async def close(self) -> None:
        """Close connections."""
        await self._counters.close()


def led_group(cfg: Configuration, endpoint: str) -> ModelGroup | None:
    """Return the lock-step group whose rank 0 an endpoint holds, None for none.

    A group of a single rank has nothing to agree on and needs no decider.
    """
    for group in cfg.groups.values():
        if group.ranks > 1 and group.endpoints[0] == endpoint:
            return group
    return None


def rank_ports(cfg: Configuration, group: ModelGroup, giver: str) -> list[HttpRank]:
    """Return a port to each rank; ranks are spread evenly over the endpoints, in order.

    Each order names its giver, for engines that check who gives it.
    """
    each = group.ranks // len(group.endpoints)
    headers = {GIVER_HEADER: giver}
    return [
        HttpRank(cfg.endpoints[group.endpoints[rank // each]].url, rank, headers)
        for rank in range(group.ranks)
    ]


def _staging_rate(cfg: Configuration) -> float:
    """Return the bytes a second that one group may fetch from the weight store."""
    changing = sum(group.ranks > 1 for group in cfg.groups.values())
    return fair_rate(cfg.fleet.weight_store_rate, max(1, changing))


def _why_not_formed(status: GroupStatus) -> str:
    if status.lost_ranks:
        return f"ranks {', '.join(map(str, status.lost_ranks))} of its group do not answer"
    return "the ranks of its group are not in one formation"
