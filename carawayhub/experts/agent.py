"""The agent beside a rank: answers for its rank; beside rank 0, it keeps the group balanced."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError, PlatformError
from carawayhub.experts.balancer import Balancer
from carawayhub.experts.demand import GrowthMeter
from carawayhub.experts.members import Family, GroupMembers, Roster
from carawayhub.experts.model import (
    Growth,
    Placement,
    Prepare,
    Rank,
    RankReport,
    ReadableRank,
    first_placement,
)
from carawayhub.experts.planner import Plan
from carawayhub.experts.remote import RankDesk, RemoteRank, relay
from carawayhub.experts.switch import Switch
from carawayhub.experts.tally import GroupTally
from carawayhub.gateway.model import ExpertShape
from carawayhub.peers.pace import LinkPacer
from carawayhub.peers.questions import Answer, Question, QuestionLink

LOOK_SECONDS = 0.08
"""Seconds between two looks at the demand of a busy group: about a pass of its engines. Demand
changes every few seconds, and until it is seen the busiest rank has three times the mean load."""

CALM_SECONDS = 0.3
"""Seconds between two looks at the demand of a group that is far from needing a change."""

CALM_PRESSURE = 0.15
"""Part of the places that must be taken for a group to be looked at often: less than what makes a
change worth its price, so that the first one of a day is not late."""

FOLLOW_SECONDS = 0.8
"""Seconds between two looks of an agent that hears from the one beside rank 0: less than the time
after which it would look for what that one left behind."""

NUMBERS_A_SECOND = 400_000
"""Counters of a whole group that the agent reads a second at the most: about an eighth of its share
of a core, and, as a third of a byte each goes over the link, a quarter of a link of 4 Mbit/s."""

MOST_PAUSE = 2.0
"""Seconds between two looks at a rank that does not answer or is no rank, at the most."""

TELL_SECONDS = 0.3
"""Seconds between two signs of life to the other agents during a change."""

SILENT_GIVER = 1.2
SILENT_GIVER_STEP = 0.4
"""Seconds without a sign of the agent beside rank 0 after which the agent beside rank 1 looks for a
pass that it left held, and how much longer each rank after it waits: together they bound how long
a group stands still when its giver dies."""

JUST_WOKEN = 2.5
"""Seconds between two looks from which on this agent counts as having been suspended."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentOptions:
    """What an agent is given.

    Attributes:
        ip: IP number of the VM.
        port: Port of all agents for their exchange.
        link_rate: Bytes a second that the link of the VM carries, 0 where that is not known.
        direct: Makes a client of a replica at an address, which must have an instance id.
    """

    ip: str
    port: int
    link_rate: float
    direct: Callable[[Address, str], Rank]


@dataclass(slots=True)
class _Lead:
    """What the agent beside rank 0 knows of one formation of its group.

    Attributes:
        family: The formation.
        ranks: Its ranks.
        shape: Shape of its maps.
        switch: Changes them.
        balancer: Decides about them.
        version: Version of the map below, -1 while it is not known.
        placement: The map in force.
        held: The pass that was seen held last.
        held_since: Since when.
    """

    family: Family
    ranks: dict[int, ReadableRank]
    shape: ExpertShape
    switch: Switch
    balancer: Balancer
    version: int = -1
    placement: Placement = ()
    held: int = 0
    held_since: float = 0.0


class ExpertAgent:
    """The agent of one rank.

    Args:
        options: What it is given.
        rank: The rank on this VM.
        roster: Finds the others.
        clock: Source of time.
    """

    __slots__ = (
        "_clock",
        "_desk",
        "_giver_heard_at",
        "_lead_state",
        "_link",
        "_looked_at",
        "_members",
        "_meter",
        "_options",
        "_rank",
        "_roster",
        "_tally",
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
        self._meter = GrowthMeter()
        self._desk = RankDesk(rank, self._meter)
        self._giver_heard_at = clock.monotonic()
        self._looked_at = clock.monotonic()
        self._lead_state: _Lead | None = None
        self._tally = GroupTally()

    def metrics(self) -> str:
        """Return the metrics as text."""
        return self._tally.page()

    async def run(self) -> None:
        """Serve until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._link.run)
            tasks.start_soon(self._work)

    async def _work(self) -> None:
        failures = 0
        while True:
            began_at = self._clock.monotonic()
            try:
                await self._look()
                failures = 0
            except (GroupError, PlatformError) as exc:
                failures += 1
                self._tally.failed_looks += 1
                logger.bind(error=str(exc), failures=failures).info("look given up")
            await anyio.sleep(max(self._pause(began_at), min(failures * CALM_SECONDS, MOST_PAUSE)))

    def _pause(self, began_at: float) -> float:
        """Return the seconds to the next look after the one that began at ``began_at``."""
        lead = self._lead_state
        if lead is None:
            heard = self._clock.monotonic() - self._giver_heard_at < FOLLOW_SECONDS
            return FOLLOW_SECONDS if heard else CALM_SECONDS
        numbers = lead.shape.layers * lead.shape.experts * len(lead.ranks)
        calm = lead.balancer.pressure < CALM_PRESSURE
        due_at = began_at + numbers / NUMBERS_A_SECOND
        return max(CALM_SECONDS if calm else LOOK_SECONDS, due_at - self._clock.monotonic())

    async def _look(self) -> None:
        self._tally.looks += 1
        report = await self._rank.report()
        now = self._clock.monotonic()
        if now - self._looked_at > JUST_WOKEN:
            # What the giver said meanwhile still waits to be read: it would seem silent.
            self._giver_heard_at = now
        self._looked_at = now
        if report.rank == 0:
            await self._lead(report)
        else:
            self._lead_state = None
            await self._follow(report)

    async def _handle(self, question: Question, ip: str) -> Answer:
        match question.subject:
            case "relay":
                return await relay(question, self._options.direct)
            case "alive":
                return self._hear_of_life(question)
            case "members":
                return self._hear_of_members(question, ip)
            case _:
                return await self._desk.answer(question)

    def _hear_of_life(self, question: Question) -> Answer:
        """Note that the agent beside rank 0 lives; answer whether its members are known here."""
        self._giver_heard_at = self._clock.monotonic()
        known = self._members.knows(question.content)
        return Answer(number=question.number, asker=question.asker, ok=known)

    def _hear_of_members(self, question: Question, ip: str) -> Answer:
        try:
            self._members.family = msgspec.msgpack.decode(question.content, type=Family)
        except msgspec.DecodeError as exc:
            logger.bind(peer=ip, error=str(exc)).warning("members cannot be read")
        self._giver_heard_at = self._clock.monotonic()
        return Answer(number=question.number, asker=question.asker, ok=True)

    async def _follow(self, report: RankReport) -> None:
        """Finish a change whose giver is gone; otherwise leave everything to it."""
        silent = self._clock.monotonic() - self._giver_heard_at
        family = self._members.family
        if family is None or silent < SILENT_GIVER + SILENT_GIVER_STEP * (report.rank - 1):
            return
        if not family.is_of(report) or not report.open:
            return
        ranks = self._members.ranks(report.rank, self._rank)
        if not (await ranks[0].report()).held:
            return
        logger.bind(silent_seconds=round(silent, 2)).warning("giver is silent with a pass held")
        ended = await Switch(ranks, self._clock, self._members.tell_surely).finish()
        logger.bind(ended=ended.value).info("change left behind")

    async def _lead(self, report: RankReport) -> None:
        if not report.open:
            return
        lead = await self._know_group(report)
        if lead is None:
            return
        if report.held:
            await self._members.tell()
            ended = await lead.switch.finish(self._held_seconds(lead, report))
            logger.bind(ended=ended.value).info("change left behind")
            return
        if report.armed:
            # The change before ends with a pass that has not begun yet; none can follow till then.
            return
        await self._know_placement(lead, report)
        growths = await self._growths(lead)
        best = lead.balancer.decide(lead.placement, growths, self._clock.monotonic())
        self._tally.pressure = lead.balancer.pressure
        if best is not None:
            await self._change(lead, best, report)

    async def _change(self, lead: _Lead, best: Plan, report: RankReport) -> None:
        began = self._clock.monotonic()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._go_on_telling)
            ended = await lead.switch.change(best.placement)
            tasks.cancel_scope.cancel()
        seconds = self._clock.monotonic() - began
        self._tally.changed(best, ended, seconds)
        times = lead.switch.times
        logger.bind(
            ended=ended.value,
            pressure=round(lead.balancer.pressure, 2),
            skew_before=round(best.skew_before, 3),
            skew_after=round(best.skew_after, 3),
            copies=best.copies,
            step=report.step,
            most_copies=best.most_copies,
            ordered=round(times.ordered, 3),
            copied=round(times.copied, 3),
            held=round(times.held, 3),
            seconds=round(seconds, 3),
        ).info("change of map")

    async def _go_on_telling(self) -> None:
        """Keep the other agents from taking a change over while its giver lives."""
        while True:
            await anyio.sleep(TELL_SECONDS)
            await self._members.tell()

    async def _know_group(self, report: RankReport) -> _Lead | None:
        """Return what is known of the group, None while some rank of it cannot be found."""
        lead = self._lead_state
        if lead is not None and lead.family.is_of(report):
            return lead
        self._lead_state = None
        if not await self._members.find(report):
            return None
        profile = await self._roster.profile()
        family = self._members.family
        if family is None or profile is None or profile.experts is None:
            return None
        ranks = self._members.ranks(report.rank, self._rank)
        switch = Switch(ranks, self._clock, self._members.tell_surely, self._members.detour())
        balancer = Balancer(profile, profile.experts)
        self._lead_state = _Lead(family, ranks, profile.experts, switch, balancer)
        return self._lead_state

    def _held_seconds(self, lead: _Lead, report: RankReport) -> float:
        """Return for how long this agent has seen the present hold."""
        now = self._clock.monotonic()
        if lead.held != report.held:
            lead.held, lead.held_since = report.held, now
        return now - lead.held_since

    async def _know_placement(self, lead: _Lead, report: RankReport) -> None:
        """Find out which map is in force, from the ranks only where it was not set here."""
        if lead.version == report.version:
            return
        latest = lead.switch.latest
        if report.version == 0:
            lead.placement = first_placement(lead.shape.layers, lead.shape.experts, report.size)
        elif latest is not None and latest.version == report.version:
            lead.placement = latest.placement
        else:
            lead.placement = await self._read_placement(lead, report)
        lead.version = report.version
        self._members.maps.in_force = Prepare(lead.version, lead.placement)

    async def _read_placement(self, lead: _Lead, report: RankReport) -> Placement:
        held: dict[int, tuple[tuple[int, ...], ...]] = {}

        async def read(rank: int, each: ReadableRank) -> None:
            try:
                found = await each.held_experts()
            except GroupError as exc:
                logger.bind(rank=rank, error=str(exc)).info("rank cannot be read")
                return
            if found.version == report.version:
                held[rank] = found.experts

        async with anyio.create_task_group() as tasks:
            for rank, each in lead.ranks.items():
                tasks.start_soon(read, rank, each)
        if len(held) != report.size:
            raise GroupError(Code.RANK_UNREACHABLE, "the map in force cannot be read")
        layers = len(held[0])
        return tuple(
            tuple(held[rank][layer] for rank in range(report.size)) for layer in range(layers)
        )

    async def _growths(self, lead: _Lead) -> list[Growth]:
        """Return how the counters grew at the ranks that answer, and tell their agents of life."""
        growths = [self._meter.take(await self._rank.counts())]

        async def read(each: RemoteRank) -> None:
            try:
                growths.append(await each.growth())
            except GroupError as exc:
                logger.bind(error=str(exc)).info("rank cannot be read")

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._members.tell)
            for each in lead.ranks.values():
                if isinstance(each, RemoteRank):
                    tasks.start_soon(read, each)
        return growths
