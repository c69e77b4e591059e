"""Runs the decider of the lock-step group whose rank 0 belongs to this agent's endpoint."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from carawayhub.agent.checked_rank import CheckedRank, LeasedRank
from carawayhub.agent.leasekeeper import LeaseKeeper
from carawayhub.agent.rank_client import HttpRank
from carawayhub.agent.reporter import Reporter
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, EndpointState, ModelGroup
from carawayhub.endpoints.checkedwrites import MaySend
from carawayhub.endpoints.counters import EngineCounters
from carawayhub.groups.decider import DeciderOptions, GroupDecider
from carawayhub.groups.policy import Policy, PolicyOptions, Situation
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.ranks import RankPort
from carawayhub.groups.staging import fair_rate
from carawayhub.groups.status import GroupStatus
from carawayhub.output.audit import AuditTrail
from carawayhub.peers.messages import ServingState, StandingReply, StandingRequest
from carawayhub.process.status import GroupStatusRow

WATCH_INTERVAL_SECONDS = 0.25
CHECK_WAIT_SECONDS = 60.0
HANDOVER_GRACE_SECONDS = 2.0
ISSUER_HEADER = "carawayhub-giver"
NO_LEASE_REASON = "too few witnesses confirm that its agent decides for it"
PAUSED_REASON = "its agent was paused and has not checked its configuration since"


@dataclass(frozen=True, slots=True)
class LocalAgent:
    """The endpoint and addresses of this agent.

    Attributes:
        endpoint: Name of its endpoint.
        address: ``ip:port`` on which it accepts calls.
        source: IP number to connect from, empty for any.
    """

    endpoint: str
    address: str
    source: str = ""


@dataclass(frozen=True, slots=True)
class _Plan:
    """The configuration of a decider; a change replaces the decider.

    Attributes:
        group: The group.
        urls: Address of each of its endpoints, in the order of their ranks.
        options: Timing and staging rate.
        horizon: Seconds for which an improved balance is expected to last.
    """

    group: ModelGroup
    urls: tuple[str, ...]
    options: DeciderOptions
    horizon: float


class GroupTask:
    """Runs the decider of a group while the configuration assigns the group to this agent.

    Args:
        local_agent: This agent.
        paused: Returns whether the configuration is unverified since a pause of this process.
        checked: Waits up to some seconds for verification; returns whether it succeeded.
        lease: Lease that permits this agent to order the ranks.
        reporter: Receives whether the group can step, so that entries stop routing to it if not.
        clock: Source of time.
        rng: Source of the decider's random number and of retry jitter.
        audit: Records the decider's actions.
        tasks: Task group in which the decider runs.
    """

    __slots__ = (
        "_audit",
        "_checked",
        "_clock",
        "_draining",
        "_lease",
        "_local_agent",
        "_paused",
        "_plan",
        "_reporter",
        "_rng",
        "_scope",
        "_status",
        "_tasks",
    )

    def __init__(
        self,
        local_agent: LocalAgent,
        paused: Callable[[], bool],
        checked: Callable[[float], Awaitable[bool]],
        lease: LeaseKeeper,
        reporter: Reporter,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
        tasks: TaskGroup,
    ) -> None:
        self._local_agent = local_agent
        self._paused = paused
        self._checked = checked
        self._lease = lease
        self._reporter = reporter
        self._clock = clock
        self._rng = rng
        self._audit = audit
        self._tasks = tasks
        self._plan: _Plan | None = None
        self._draining = False
        self._scope: anyio.CancelScope | None = None
        self._status: GroupStatus | None = None

    def configured(self, cfg: Configuration) -> None:
        """Start, replace or stop the decider as the new configuration version requires."""
        plan = _plan(cfg, self._local_agent)
        self._lease.configured(cfg, None if plan is None else plan.group)
        self._draining = plan is not None and _is_draining(cfg, plan.group)
        if plan == self._plan:
            return
        before, self._plan = self._plan, plan
        continues = before is not None and plan is not None and before.urls == plan.urls
        continues = continues and self._status is not None and self._status.formed
        decides_for = "" if plan is None else plan.group.name
        logger.bind(version=cfg.version, group=decides_for).info(
            "decider started, replaced or stopped"
        )
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
        self._status = None
        if not continues:
            first = "the ranks of its group are not in one formation yet"
            self._reporter.set_out_of_step("" if plan is None else first)
        if plan is not None:
            self._scope = anyio.CancelScope()
            silent = self._clock.monotonic() + (HANDOVER_GRACE_SECONDS if continues else 0.0)
            self._tasks.start_soon(self._decide, cfg, plan, self._scope, silent)

    def rows(self) -> tuple[GroupStatusRow, ...]:
        """Return the group's row of the status page, or no rows without a group."""
        status = self._status
        if status is None:
            return ()
        row = GroupStatusRow(
            name=status.group,
            map_number=status.map_number,
            skew=status.skew,
            decision=status.changing or status.decision,
            reason=status.reason,
            out_of_routing=self._out_of_step_reason(status),
        )
        return (row,)

    async def standing(self, sender: str, req: StandingRequest) -> StandingReply:
        """Report whether the group can step to an agent that runs beside its other ranks."""
        if self._plan is None or req.endpoint != self._local_agent.endpoint:
            return StandingReply()
        return StandingReply(out_of_step=self._reporter.out_of_step)

    async def _decide(
        self,
        cfg: Configuration,
        plan: _Plan,
        scope: anyio.CancelScope,
        report_not_formed_after: float,
    ) -> None:
        group = plan.group
        clients = rank_clients(plan, self._local_agent, self._may_send)
        ports: list[RankPort] = [
            LeasedRank(CheckedRank(client, self._checked), self._lease.valid) for client in clients
        ]
        signals = _Signals(
            plan,
            self._reporter,
            self._checked,
            self._lease.held,
            lambda: self._draining,
        )
        decider = GroupDecider(
            group,
            cfg.version,
            ports,
            Policy(group, self._clock, options=PolicyOptions(horizon=plan.horizon)),
            signals,
            self._clock,
            self._audit,
            self._rng,
            plan.options,
        )
        self._status = decider.status
        with scope:
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(decider.run)
                    tasks.start_soon(self._report_status, decider.status, report_not_formed_after)
            finally:
                with anyio.CancelScope(shield=True):
                    await signals.close()
                    for client in clients:
                        await client.close()

    def _may_send(self) -> bool:
        return self._lease.valid() and not self._paused()

    async def _report_status(self, status: GroupStatus, report_not_formed_after: float) -> None:
        """Copy the decider's view of the group to the reporter.

        A decider that replaces one of a formed group, for example after a weight change, has not
        read the ranks yet. Until ``report_not_formed_after`` the group therefore stays in routing.
        """
        while True:
            if status.formed or self._clock.monotonic() >= report_not_formed_after:
                self._reporter.map_number = status.map_number
                self._reporter.skew = status.skew
                self._reporter.set_out_of_step(self._out_of_step_reason(status))
            await anyio.sleep(WATCH_INTERVAL_SECONDS)

    def _out_of_step_reason(self, status: GroupStatus) -> str:
        if status.formed:
            return ""
        if not self._lease.valid():
            return NO_LEASE_REASON
        return PAUSED_REASON if self._paused() else _not_formed_reason(status)


class _Signals:
    """Implements ``GroupSignals`` with what this agent knows of its group."""

    __slots__ = ("_checked", "_counters", "_draining", "_held", "_plan", "_reporter")

    def __init__(
        self,
        plan: _Plan,
        reporter: Reporter,
        checked: Callable[[float], Awaitable[bool]],
        held: Callable[[], Awaitable[None]],
        draining: Callable[[], bool],
    ) -> None:
        self._checked = checked
        self._held = held
        self._draining = draining
        self._plan = plan
        self._reporter = reporter
        self._counters = EngineCounters(plan.urls[0], plan.group.layers, plan.group.experts)

    async def counters(self) -> ExpertCounters | None:
        """Return the latest counters, or None if there are none.

        The decider acts on them at once. A paused agent may have been replaced, or its group
        changed, so this waits until the configuration is verified; a new one stops the decider.
        """
        while not await self._checked(CHECK_WAIT_SECONDS):
            pass
        return await self._counters.read()

    def situation(self) -> Situation:
        """Return the load, the drain state and the other inputs of the policy."""
        load = self._reporter.load
        return Situation(
            draining=self._draining() or self._reporter.state is ServingState.LEAVING,
            utilisation=(load.running + load.queued) / max(load.capacity, 1),
            running=load.running,
            step_seconds=load.step_seconds or Situation().step_seconds,
            staging_rate=self._plan.options.staging_rate,
        )

    async def wait_until_permitted(self) -> None:
        """Wait until this agent may issue orders."""
        await self._held()

    async def close(self) -> None:
        """Close connections."""
        await self._counters.close()


def led_group(cfg: Configuration, local_agent: LocalAgent) -> ModelGroup | None:
    """Return the lock-step group whose rank 0 belongs to the agent's endpoint, or None.

    A group with a single rank has nothing to coordinate and needs no decider. An agent whose
    address differs from the configured one runs on a replaced VM and decides for no group.
    """
    for group in cfg.groups.values():
        if group.ranks > 1 and group.endpoints[0] == local_agent.endpoint:
            return (
                group if cfg.endpoints[local_agent.endpoint].agent == local_agent.address else None
            )
    return None


def rank_clients(plan: _Plan, local_agent: LocalAgent, may_send: MaySend) -> list[HttpRank]:
    """Return a client for each rank; the endpoints hold equal, consecutive shares of the ranks.

    Each order carries the name of its issuer, for engines that check it.
    """
    ranks = plan.group.ranks
    ranks_per_endpoint = ranks // len(plan.urls)
    headers = {ISSUER_HEADER: local_agent.endpoint}
    return [
        HttpRank(plan.urls[rank // ranks_per_endpoint], rank, headers, local_agent.source, may_send)
        for rank in range(ranks)
    ]


def _plan(cfg: Configuration, local_agent: LocalAgent) -> _Plan | None:
    group = led_group(cfg, local_agent)
    if group is None:
        return None
    sharing = sum(each.ranks > 1 for each in cfg.groups.values())
    interval = cfg.fleet.decision_interval
    options = DeciderOptions(
        watch_interval=min(DeciderOptions().watch_interval, interval),
        decision_interval=interval,
        staging_rate=fair_rate(cfg.fleet.weight_store_rate, sharing),
    )
    urls = tuple(cfg.endpoints[name].url for name in group.endpoints)
    return _Plan(group, urls, options, cfg.fleet.gain_horizon)


def _is_draining(cfg: Configuration, group: ModelGroup) -> bool:
    return any(cfg.endpoints[name].state is EndpointState.LEAVING for name in group.endpoints)


def _not_formed_reason(status: GroupStatus) -> str:
    if status.lost_ranks:
        return f"ranks {', '.join(map(str, status.lost_ranks))} of its group do not answer"
    return "the ranks of its group are not in one formation"
