"""The agent beside a rank answers questions about it; at rank 0, it also balances the group.

The agent beside rank 0 is the leader of its group, the others are on standby.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError, PlatformError
from carawayhub.experts.balancer import MIN_SLOWDOWN, Balancer
from carawayhub.experts.demand import GrowthMeter
from carawayhub.experts.members import Family, GroupMembers, Roster
from carawayhub.experts.model import (
    Growth,
    Placement,
    Prepare,
    Rank,
    RankReport,
    ReadableRank,
    initial_placement,
)
from carawayhub.experts.planner import Plan
from carawayhub.experts.remote import RankResponder, RemoteRank, relay
from carawayhub.experts.slowranks import SlowRankNotifier, slow_ranks
from carawayhub.experts.switch import ChangeOutcome, Switch
from carawayhub.experts.tally import GroupTally
from carawayhub.gateway.model import ExpertShape
from carawayhub.peers.pace import LinkPacer
from carawayhub.peers.questions import Answer, Question, QuestionLink
from carawayhub.tasks import KeptTasks

BUSY_POLL_SECONDS = 0.08
"""Polling interval of the demand of a busy group, about one pass of its engines. Demand changes
every few seconds, and until a change is detected the busiest rank has three times the mean load."""

CALM_POLL_SECONDS = 0.3
"""Polling interval of the demand of a group that is far from needing a change."""

CALM_PRESSURE = 0.15
"""Fraction of occupied slots from which a group is polled often. It is lower than the threshold for
a change, so that the first change after an idle period is not delayed."""

STANDBY_POLL_SECONDS = 0.8
"""Polling interval of an agent that receives heartbeats from the leader; shorter than the time
after which it checks for an interrupted change."""

COUNTERS_PER_SECOND = 400_000
"""Maximum rate at which the agent reads the counters of a group. It takes about an eighth of the
agent's share of a core and, at a third of a byte per counter, a quarter of a link of 4 Mbit/s."""

MAX_BACKOFF_SECONDS = 2.0
"""Maximum polling interval for a rank that does not answer or is not part of a group."""

HEARTBEAT_SECONDS = 0.3
"""Interval between heartbeats to the other agents during a change."""

TAKEOVER_SECONDS = 1.2
TAKEOVER_STEP_SECONDS = 0.4
"""Time without a heartbeat from the leader after which the agent beside rank 1 checks for a pass
that was left held, and the additional delay of each further rank. Together they bound how long a
group stalls after its order issuer dies."""

STALL_SECONDS = 1.2
"""Time without a pass after which the leader of a group with requests looks for a held pass at all
ranks. A pass lasts a few tenths of a second even with a slow rank."""

SUSPENDED_SECONDS = 2.5
"""Time between two polls above which this agent counts as having been suspended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentOptions:
    """Options of an agent.

    Attributes:
        ip: IP address of the VM.
        port: Port on which all agents exchange messages.
        link_rate: Bandwidth of the VM's link in bytes per second, 0 if unknown.
        direct: Creates a client for the replica with an instance id at an address.
        entries: IP addresses of entries that may be running.
        entry_port: Port on which entries receive messages.
    """

    ip: str
    port: int
    link_rate: float
    direct: Callable[[Address, str], Rank]
    entries: tuple[str, ...] = ()
    entry_port: int = 0


@dataclass(slots=True)
class _LeaderState:
    """State of the leader for one formation of its group.

    Attributes:
        family: The formation.
        ranks: Its ranks.
        shape: Shape of its maps.
        switch: Changes the maps.
        balancer: Decides when to change them.
        version: Version of ``placement``, -1 while it is unknown.
        placement: The map in force.
        step: The last pass that was observed as begun.
        step_at: When it was first observed, or the group last had no requests.
        slowdowns: Last known slowdown of each rank.
    """

    family: Family
    ranks: dict[int, ReadableRank]
    shape: ExpertShape
    switch: Switch
    balancer: Balancer
    version: int = -1
    placement: Placement = ()
    step: int = -1
    step_at: float = 0.0
    slowdowns: dict[int, float] = field(default_factory=dict)


class ExpertAgent:
    """The agent of one rank.

    Args:
        options: Options of the agent.
        rank: The rank on this VM.
        roster: Lists the replicas of the group.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_leader_seen_at",
        "_leader_state",
        "_link",
        "_members",
        "_meter",
        "_notifier",
        "_options",
        "_polled_at",
        "_rank",
        "_responder",
        "_roster",
        "_tally",
        "_tasks",
    )

    def __init__(self, options: AgentOptions, rank: Rank, roster: Roster, clock: Clock) -> None:
        self._options = options
        self._rank = rank
        self._roster = roster
        self._clock = clock
        self._link = QuestionLink(
            options.ip, options.port, self._handle, LinkPacer(clock, options.link_rate)
        )
        self._members = GroupMembers(options.ip, self._link, options.direct, roster, clock)
        entry_link = QuestionLink(
            options.ip, options.entry_port, _reject, LinkPacer(clock, options.link_rate)
        )
        self._notifier = SlowRankNotifier(entry_link, options.entries, clock)
        self._meter = GrowthMeter()
        self._responder = RankResponder(rank, self._meter)
        self._leader_seen_at = clock.monotonic()
        self._polled_at = clock.monotonic()
        self._leader_state: _LeaderState | None = None
        self._tasks = KeptTasks()
        self._tally = GroupTally(lambda: self._tasks.failures)

    def metrics(self) -> str:
        """Return the metrics as text."""
        return self._tally.page()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._tasks.run, "questions", self._link.run)
            tasks.start_soon(self._tasks.run, "slow ranks", self._notifier.run)
            tasks.start_soon(self._tasks.run, "polls", self._poll_loop)

    async def _poll_loop(self) -> None:
        failures = 0
        while True:
            began_at = self._clock.monotonic()
            try:
                await self._poll()
                failures = 0
            except (GroupError, PlatformError) as exc:
                failures += 1
                self._tally.failed_looks += 1
                logger.bind(error=str(exc), failures=failures).info("poll of the group failed")
            except Exception as exc:
                failures += 1
                self._tally.failed_looks += 1
                self._tasks.record("poll", exc)
            await anyio.sleep(
                max(
                    self._poll_delay(began_at),
                    min(failures * CALM_POLL_SECONDS, MAX_BACKOFF_SECONDS),
                )
            )

    def _poll_delay(self, began_at: float) -> float:
        """Return the seconds until the next poll after the one that began at ``began_at``."""
        leader = self._leader_state
        if leader is None:
            leader_seen = self._clock.monotonic() - self._leader_seen_at < STANDBY_POLL_SECONDS
            return STANDBY_POLL_SECONDS if leader_seen else CALM_POLL_SECONDS
        counter_count = leader.shape.layers * leader.shape.experts * len(leader.ranks)
        calm = leader.balancer.pressure < CALM_PRESSURE
        due_at = began_at + counter_count / COUNTERS_PER_SECOND
        return max(
            CALM_POLL_SECONDS if calm else BUSY_POLL_SECONDS, due_at - self._clock.monotonic()
        )

    async def _poll(self) -> None:
        self._tally.looks += 1
        report = await self._rank.report()
        now = self._clock.monotonic()
        if now - self._polled_at > SUSPENDED_SECONDS:
            # Heartbeats from the meantime are not processed yet, so the issuer would seem silent.
            self._leader_seen_at = now
        self._polled_at = now
        if report.rank == 0:
            await self._run_leader(report)
        else:
            self._leader_state = None
            await self._run_standby(report)

    async def _handle(self, question: Question, ip: str) -> Answer:
        match question.subject:
            case "relay":
                return await relay(question, self._options.direct)
            case "alive":
                return self._receive_alive(question)
            case "members":
                return self._receive_members(question, ip)
            case _:
                return await self._responder.answer(question)

    def _receive_alive(self, question: Question) -> Answer:
        """Process a heartbeat; the answer reports whether its members are known here."""
        self._leader_seen_at = self._clock.monotonic()
        known = self._members.matches_checksum(question.content)
        return Answer(number=question.number, asker=question.asker, ok=known)

    def _receive_members(self, question: Question, ip: str) -> Answer:
        try:
            self._members.family = msgspec.msgpack.decode(question.content, type=Family)
        except msgspec.DecodeError as exc:
            logger.bind(peer=ip, error=str(exc)).warning("could not decode the announced members")
        self._leader_seen_at = self._clock.monotonic()
        return Answer(number=question.number, asker=question.asker, ok=True)

    async def _run_standby(self, report: RankReport) -> None:
        """Finish a change if its issuer is silent, otherwise do nothing."""
        silent = self._clock.monotonic() - self._leader_seen_at
        family = self._members.family
        if family is None or silent < TAKEOVER_SECONDS + TAKEOVER_STEP_SECONDS * (report.rank - 1):
            return
        if not family.includes(report) or not report.open:
            return
        ranks = self._members.ranks(report.rank, self._rank)
        if not report.held and not (await ranks[0].report()).held:
            return
        logger.bind(silent_seconds=round(silent, 2)).warning(
            "order issuer is silent while a pass is held; taking over"
        )
        switch = Switch(ranks, self._clock, self._members.announce_with_retry, own_rank=report.rank)
        ended = await switch.finish()
        logger.bind(ended=ended.value).info("interrupted change of expert map ended")

    async def _run_leader(self, report: RankReport) -> None:
        if not report.open:
            return
        leader = await self._find_group(report)
        if leader is None:
            return
        if report.held or self._is_stalled(leader, report):
            await self._end_hold(leader, report)
            return
        growths = await self._growths(leader)
        self._update_slowdowns(leader, growths)
        if report.armed:
            # The previous change ends with a pass that has not begun yet, and blocks the next one.
            leader.balancer.observe(growths.values())
            return
        await self._update_placement(leader, report)
        plan = leader.balancer.decide(
            leader.placement,
            tuple(growths.values()),
            self._clock.monotonic(),
            tuple(leader.slowdowns.get(rank, 1.0) for rank in range(report.size)),
        )
        self._tally.pressure = leader.balancer.pressure
        if plan is not None:
            await self._change(leader, plan, report)

    async def _change(self, leader: _LeaderState, plan: Plan, report: RankReport) -> None:
        began = self._clock.monotonic()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_heartbeats)
            ended = await leader.switch.change(plan.placement)
            tasks.cancel_scope.cancel()
        seconds = self._clock.monotonic() - began
        self._tally.changed(plan, ended, seconds)
        times = leader.switch.times
        logger.bind(
            ended=ended.value,
            pressure=round(leader.balancer.pressure, 2),
            skew_before=round(plan.skew_before, 3),
            skew_after=round(plan.skew_after, 3),
            copies=plan.copies,
            step=report.step,
            most_copies=plan.most_copies,
            ordered=round(times.ordered, 3),
            copied=round(times.copied, 3),
            held=round(times.held, 3),
            seconds=round(seconds, 3),
        ).info("change of expert map ended")

    async def _send_heartbeats(self) -> None:
        """Send heartbeats during a change, so that no other agent takes it over."""
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            await self._members.announce()

    async def _find_group(self, report: RankReport) -> _LeaderState | None:
        """Return the state for the group, None until all its ranks and its profile are found."""
        leader = self._leader_state
        if leader is not None and leader.family.includes(report):
            return leader
        self._leader_state = None
        if not await self._members.find(report):
            return None
        profile = await self._roster.profile()
        family = self._members.family
        if family is None or profile is None or profile.experts is None:
            return None
        ranks = self._members.ranks(report.rank, self._rank)
        switch = Switch(
            ranks,
            self._clock,
            self._members.announce_with_retry,
            self._members.relay_to_first_rank(),
        )
        balancer = Balancer(profile, profile.experts)
        self._leader_state = _LeaderState(family, ranks, profile.experts, switch, balancer)
        return self._leader_state

    def _is_stalled(self, leader: _LeaderState, report: RankReport) -> bool:
        """Return whether a group with requests has begun no pass for ``STALL_SECONDS``."""
        now = self._clock.monotonic()
        if leader.step != report.step or not report.running + report.waiting:
            leader.step, leader.step_at = report.step, now
        return now - leader.step_at > STALL_SECONDS

    async def _end_hold(self, leader: _LeaderState, report: RankReport) -> None:
        """Release a pass that some rank holds, by a change to the map in force if need be."""
        leader.step_at = self._clock.monotonic()
        await self._members.announce()
        ended = await leader.switch.finish()
        if ended is ChangeOutcome.STUCK and not report.armed:
            await self._update_placement(leader, report)
            ended = await leader.switch.change(leader.placement)
        logger.bind(ended=ended.value, step=report.step, held=report.held).info(
            "interrupted change of expert map ended"
        )

    async def _update_placement(self, leader: _LeaderState, report: RankReport) -> None:
        """Update the map in force; read it from the ranks only if it was not set here."""
        if leader.version == report.version:
            return
        latest = leader.switch.latest
        if report.version == 0:
            leader.placement = initial_placement(
                leader.shape.layers, leader.shape.experts, report.size
            )
        elif latest is not None and latest.version == report.version:
            leader.placement = latest.placement
        else:
            leader.placement = await self._read_placement(leader, report)
        leader.version = report.version
        self._members.maps.in_force = Prepare(leader.version, leader.placement)

    async def _read_placement(self, leader: _LeaderState, report: RankReport) -> Placement:
        held: dict[int, tuple[tuple[int, ...], ...]] = {}

        async def read(rank: int, each: ReadableRank) -> None:
            try:
                found = await each.held_experts()
            except GroupError as exc:
                logger.bind(rank=rank, error=str(exc)).info("could not read the experts of a rank")
                return
            if found.version == report.version:
                held[rank] = found.experts

        async with anyio.create_task_group() as tasks:
            for rank, each in leader.ranks.items():
                tasks.start_soon(read, rank, each)
        if len(held) != report.size:
            raise GroupError(
                Code.RANK_UNREACHABLE, "could not read the map in force from all ranks"
            )
        layers = len(held[0])
        return tuple(
            tuple(held[rank][layer] for rank in range(report.size)) for layer in range(layers)
        )

    def _update_slowdowns(self, leader: _LeaderState, growths: Mapping[int, Growth]) -> None:
        """Update the slowdown of the ranks that answered; the others keep their last known one."""
        for rank, growth in growths.items():
            before = leader.slowdowns.get(rank, 1.0)
            leader.slowdowns[rank] = growth.slowdown
            if (before >= MIN_SLOWDOWN) is not (growth.slowdown >= MIN_SLOWDOWN):
                logger.bind(rank=rank, before=round(before, 2), now=round(growth.slowdown, 2)).info(
                    "slowdown of a rank changed"
                )
        slow = slow_ranks(leader.slowdowns)
        self._notifier.update(
            [each.instance for each in leader.family.members if each.rank in slow]
        )

    async def _growths(self, leader: _LeaderState) -> dict[int, Growth]:
        """Return the growth of the counters at the ranks that answer, and send heartbeats."""
        growths = {0: self._meter.measure(await self._rank.counts())}

        async def read(rank: int, each: RemoteRank) -> None:
            try:
                growths[rank] = await each.growth()
            except GroupError as exc:
                logger.bind(error=str(exc)).info("could not read the counters of a rank")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._members.announce)
            for rank, each in leader.ranks.items():
                if isinstance(each, RemoteRank):
                    tasks.start_soon(read, rank, each)
        return growths


async def _reject(question: Question, ip: str) -> Answer:
    """Answer a question on the link to entries, which ask agents nothing."""
    logger.bind(peer=ip, subject=question.subject).warning("unexpected question from an entry")
    return Answer(number=question.number, asker=question.asker, ok=False)
