"""The change of a group's expert map, so that each pass runs under one map at all ranks.

Orders may be lost, or carried out seconds after their answer was given up, and the process that
gives them may die or be suspended between any two. The order of steps keeps a pass from seeing two
maps all the same:

1. prepare the map at every rank, under a version that no other map ever has, and see it in each
   rank's report;
2. hold a pass that has not begun at rank 0, see that, and see that every rank still answers;
3. arm that map and that pass at every rank, and see it in each rank's report;
4. let the held pass go.

Only the agent beside rank 0 begins a change, so a hold has one way on: the one map that all ranks
have prepared is armed at the held pass everywhere, then the pass goes. Whoever finds a hold without
its giver does just that. Two processes that finish one change give the same orders, and an order
that takes effect late finds its work done or its pass begun. The one exception is the giver itself:
while it knows that nobody can have armed a rank yet, it may let the pass go unchanged.

The number of orders that a rank reports does not move with these orders, so it fences nothing. A
version serves as the fencing token instead, for engines that check one.
"""

import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import Enum

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.experts.model import (
    Arm,
    Go,
    Hold,
    OrderAnswer,
    Placement,
    Prepare,
    RankOrder,
    RankReport,
    ReadableRank,
    TakesOrders,
)

LEAD_SECONDS = 0.3
"""Time between the last pass begun and the one that is held: enough for the hold and the arms to
arrive before it, one of them a second time, so that the group does not stand still. A group that
stands for two passes makes the pauses of all its streams too long."""

LEAST_LEAD = 3
MOST_LEAD = 12
"""Passes that the lead has at least and at the most, whatever passes took just before."""

VERSIONS_A_SECOND = 1000.0
"""Versions are read off the clock of the giver's VM, which runs on while its processes restart. A
giver that died while a rank copied leaves a version that no report shows yet. A later one that gave
the same number to another map would have ranks with one version and two contents, which neither
ranks nor reports tell apart; one that gave a lower number could have its map replaced by an order
of the first that takes effect late."""

UNTOUCHED_SECONDS = 0.9
"""Seconds after the giver told the other agents that it lives for which none of them takes its
change over, with a margin: see ``SILENT_GIVER``."""

CHECK_SECONDS = 0.3
"""Seconds in which every rank must answer between the hold and the first arm. A live one does in a
few milliseconds, or after one more question where a datagram was lost; whoever takes longer may be
suspended. With 0.75 s, the time in which a silent rank counts as unreachable, the pass could no
longer be let go where the order to hold had taken 0.3 s: a group stood still for 4.1 s, until the
VM of its giver woke. Bounded so, it stands for about half a second."""

LATEST_SECONDS = 13.0
"""Seconds after which no order takes effect any more that had no answer."""

COPY_SECONDS = 6.0
"""Seconds in which a rank copies the experts of one change; it takes about half a second."""

SILENT_RANK_SECONDS = 1.0
"""Seconds for which a rank that only copies may be silent before its change is given up. One whose
VM is suspended stalls its group for longer, and no change would help that."""

POLL = 0.06
"""Seconds between two looks at a rank that is to get somewhere."""

FINISH_SECONDS = 12.0
"""Seconds for which a held pass is tried to be let go before the reports are read from the start:
orders may take effect as late as this."""


class Ended(Enum):
    """How a change ended."""

    SWITCHED = "switched"
    GIVEN_UP = "given up before anything was held"
    OVERTAKEN = "the group was formed anew"
    STUCK = "some rank does not answer"


Ranks = Mapping[int, ReadableRank]


class _GivenUpError(Exception):
    """A change cannot go on; nothing is held."""


class _OvertakenError(Exception):
    """The group was formed anew, which undoes everything."""


@dataclass(slots=True)
class ChangeTimes:
    """Seconds from the start of the latest change to the end of each of its steps, 0 before.

    Attributes:
        ordered: Every rank was told to prepare the map.
        copied: Every rank has copied its experts.
        held: A pass is held.
    """

    ordered: float = 0.0
    copied: float = 0.0
    held: float = 0.0


@dataclass(frozen=True, slots=True)
class _Aim:
    """What a hold leads to.

    Attributes:
        epoch: Formation of the group.
        version: Version of the map.
        step: The pass at which all ranks switch to it.
        held: The held pass; it differs from ``step`` where a hold took effect late.
    """

    epoch: int
    version: int
    step: int
    held: int


class Switch:
    """Changes the maps of one group.

    Args:
        ranks: All ranks of the group by position.
        clock: Source of time.
        announce: Tells the other agents that the giver lives; returns whether all have heard it.
        holder: Rank 0 by a way that leads over another VM than its own, for the order to hold.
            A VM that is suspended right after it gave that order takes its replica along: nobody
            could let the pass go for as long. Where the giver is another VM, the group goes on.
        sleep: Waits for some seconds.

    Attributes:
        latest: The order that the latest change prepared, None before the first one.
        times: How long the latest change took up to each step.
    """

    __slots__ = (
        "_announce",
        "_began_at",
        "_born",
        "_clock",
        "_holder",
        "_ranks",
        "_sleep",
        "_untouched_until",
        "latest",
        "times",
    )

    def __init__(
        self,
        ranks: Ranks,
        clock: Clock,
        announce: Callable[[], Awaitable[bool]],
        holder: TakesOrders | None = None,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._ranks = ranks
        self._clock = clock
        self._announce = announce
        self._holder = holder or ranks[0]
        self._sleep = sleep
        self._born: dict[int, int] = {}
        self._untouched_until = float("-inf")
        self._began_at = clock.monotonic()
        self.latest: Prepare | None = None
        self.times = ChangeTimes()

    async def change(self, placement: Placement) -> Ended:
        """Bring a map into force; only the agent beside rank 0 may begin this."""
        self._began_at = self._clock.monotonic()
        self.times = ChangeTimes()
        try:
            reports = await self._reports()
            first = reports[0]
            if not _is_calm(reports):
                return await self.finish()
            version = self._next_version(reports)
            await self._prepare(placement, version, reports)
            self.times.copied = self._since()
            lead = await self._lead(first)
            await self._renew()
            held = await self._hold(first.epoch, version, lead)
            self.times.held = self._since()
        except (_GivenUpError, GroupError) as exc:
            logger.bind(reason=str(exc)).info("change of map given up")
            return Ended.GIVEN_UP
        except _OvertakenError:
            return Ended.OVERTAKEN
        aim = _Aim(first.epoch, version, held, held)
        if await self._all_prepared(aim):
            return await self._complete(aim)
        return await self._release(aim, self._untouched_until)

    async def finish(self, held_seconds: float = 0.0) -> Ended:
        """Bring a change to its end whose giver is gone.

        Args:
            held_seconds: For how long the hold has been seen.
        """
        try:
            reports = await self._reports()
        except GroupError as exc:
            logger.bind(reason=str(exc)).info("ranks cannot be read")
            return Ended.STUCK
        first = reports[0]
        if not first.held:
            return Ended.GIVEN_UP
        versions = {_coming(each) for each in reports.values()}
        epochs = {each.epoch for each in reports.values()}
        # A rank that is armed names the pass of the change. Arming it for the held one instead
        # could be undone by an order of that change which takes effect late.
        steps = {each.armed_step for each in reports.values() if each.armed} or {first.held}
        if len(versions) == len(epochs) == len(steps) == 1 and min(versions):
            aim = _Aim(first.epoch, min(versions), min(steps), first.held)
            logger.bind(step=aim.step, version=aim.version).warning("finishing a change")
            return await self._complete(aim)
        logger.bind(step=first.held, versions=sorted(versions)).error("held without one common map")
        if held_seconds < LATEST_SECONDS or any(each.armed for each in reports.values()):
            return Ended.STUCK
        ends_at = self._clock.monotonic() + FINISH_SECONDS
        return await self._release(_Aim(first.epoch, 0, 0, first.held), ends_at)

    async def _renew(self) -> None:
        """Keep the other agents from taking this change over for some time.

        Raises:
            _GivenUpError: One of them has not heard it, so it could at any moment.
        """
        until = self._clock.monotonic() + UNTOUCHED_SECONDS
        if not await self._announce():
            raise _GivenUpError("an agent does not answer")
        self._untouched_until = until

    def _next_version(self, reports: Mapping[int, RankReport]) -> int:
        highest = max(max(each.version, each.prepared, each.armed) for each in reports.values())
        return max(highest + 1, int(self._clock.monotonic() * VERSIONS_A_SECOND))

    async def _all_prepared(self, aim: _Aim) -> bool:
        """Return whether every rank answers and has the map: none may be missing from here on."""
        try:
            with anyio.fail_after(CHECK_SECONDS):
                await self._all(lambda rank: self._has_prepared(rank, aim))
        except TimeoutError:
            logger.bind(step=aim.step).warning("held, and a rank does not answer at once")
            return False
        except (GroupError, _GivenUpError, _OvertakenError) as exc:
            logger.bind(reason=str(exc), step=aim.step).warning("held, and a rank is not ready")
            return False
        return True

    async def _has_prepared(self, rank: int, aim: _Aim) -> None:
        if _coming(await self._read(rank, aim.epoch)) != aim.version:
            raise _GivenUpError(f"rank {rank} has another map prepared")

    async def _release(self, aim: _Aim, until: float) -> Ended:
        """Let a held pass go while no rank can be armed for it, which is so up to ``until``."""
        logger.bind(step=aim.held).warning("letting a held pass go unchanged")
        try:
            await self._go(aim, until)
        except (GroupError, _OvertakenError) as exc:
            logger.bind(reason=str(exc)).warning("held pass could not be let go")
            return Ended.STUCK
        return Ended.GIVEN_UP

    async def _complete(self, aim: _Aim) -> Ended:
        """Arm a held pass at every rank, see that it is, and let it go."""
        ends_at = self._clock.monotonic() + FINISH_SECONDS
        while self._clock.monotonic() < ends_at:
            try:
                await self._all(lambda rank: self._reach(rank, aim, ends_at))
                await self._go(aim, ends_at)
            except _OvertakenError:
                return Ended.OVERTAKEN
            except GroupError as exc:
                logger.bind(reason=str(exc)).info("held, and a rank does not answer")
                await self._sleep(POLL)
                continue
            return Ended.SWITCHED
        return Ended.STUCK

    async def _prepare(
        self, placement: Placement, version: int, reports: Mapping[int, RankReport]
    ) -> None:
        """Prepare a map at every rank and wait until all have copied its experts."""
        ends_at = self._clock.monotonic() + COPY_SECONDS
        epoch = reports[0].epoch
        order = self.latest = Prepare(version, placement)

        async def prepare(rank: int, report: RankReport) -> None:
            unanswered = False
            while report.prepared != version:
                if self._clock.monotonic() > ends_at:
                    raise _GivenUpError(f"rank {rank} has not prepared the map")
                answer = await self._ranks[rank].order(order, epoch, version)
                # A rank that took an order whose answer was lost refuses it the second time, and
                # reports nothing prepared while it still copies.
                if answer is OrderAnswer.ACCEPTED or (answer is OrderAnswer.REFUSED and unanswered):
                    return
                unanswered = answer is OrderAnswer.UNKNOWN
                report = await self._read_again(rank, epoch)
                if answer is OrderAnswer.REFUSED and report.prepared != version:
                    raise _GivenUpError(f"rank {rank} refused to prepare")

        await self._all(lambda rank: prepare(rank, reports[rank]))
        self.times.ordered = self._since()
        await self._all(lambda rank: self._copied(rank, epoch, version, ends_at))

    async def _copied(self, rank: int, epoch: int, version: int, ends_at: float) -> None:
        while (report := await self._read_again(rank, epoch)).prepared != version:
            if report.prepared > version or self._clock.monotonic() > ends_at:
                raise _GivenUpError(f"rank {rank} did not copy in time")
            await self._sleep(POLL)

    async def _read_again(self, rank: int, epoch: int) -> RankReport:
        """Return the report of a rank that may be silent for a moment.

        While ranks only copy, nothing is lost by asking again. Given up at the first silence, what
        63 ranks had copied was lost with one datagram of the last one.
        """
        until = self._clock.monotonic() + SILENT_RANK_SECONDS
        while True:
            try:
                return await self._read(rank, epoch)
            except GroupError:
                if self._clock.monotonic() > until:
                    raise
            await self._sleep(POLL)

    def _since(self) -> float:
        """Return the seconds since the latest change began."""
        return self._clock.monotonic() - self._began_at

    async def _lead(self, first: RankReport) -> int:
        """Return the passes that ``LEAD_SECONDS`` hold, as the time of copying showed."""
        begun = (await self._read(0, first.epoch)).step - first.step
        seconds = max(self._since(), POLL)
        return max(LEAST_LEAD, min(MOST_LEAD, math.ceil(LEAD_SECONDS * begun / seconds)))

    async def _hold(self, epoch: int, version: int, lead: int) -> int:
        """Hold a pass that has not begun; return it once rank 0 reports it."""
        ends_at = self._clock.monotonic() + COPY_SECONDS
        step = 0
        while self._clock.monotonic() < ends_at:
            report = await self._read(0, epoch)
            if report.held:
                return report.held
            if report.prepared != version:
                raise _GivenUpError("rank 0 has another map prepared")
            if self._clock.monotonic() > self._untouched_until - CHECK_SECONDS:
                await self._renew()
            # The same pass again as long as it lies ahead: of two holds that take effect, one late,
            # the second is then no other than the first.
            if step <= report.step:
                step = report.step + lead
            await self._holder.order(Hold(step), epoch, version)
        raise _GivenUpError("no pass could be held")

    async def _reach(self, rank: int, aim: _Aim, ends_at: float) -> None:
        """Arm a rank and see that it is."""
        while not _is_armed(report := await self._read(rank, aim.epoch), aim):
            await self._press(rank, Arm(aim.version, aim.step), report, aim, ends_at)

    async def _go(self, aim: _Aim, ends_at: float) -> None:
        """Let the held pass go and see that it is no longer held."""
        while (report := await self._read(0, aim.epoch)).held == aim.held:
            await self._press(0, Go(aim.held), report, aim, ends_at)

    async def _press(
        self, rank: int, order: RankOrder, report: RankReport, aim: _Aim, ends_at: float
    ) -> None:
        """Give an order that is given again until its effect is seen."""
        if self._clock.monotonic() > ends_at:
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {rank} does not take {order}")
        answer = await self._ranks[rank].order(order, report.epoch, aim.version)
        if answer is OrderAnswer.REFUSED:
            await self._sleep(POLL)

    async def _reports(self) -> dict[int, RankReport]:
        found: dict[int, RankReport] = {}

        async def read(rank: int) -> None:
            found[rank] = await self._ranks[rank].report()

        await self._all(read)
        self._born = {rank: report.born for rank, report in found.items()}
        return found

    async def _read(self, rank: int, epoch: int) -> RankReport:
        """Return the report of a rank that is still what it was when the change began.

        A replica that started again under its id has nothing prepared, armed or held.
        """
        report = await self._ranks[rank].report()
        started_again = report.born != self._born.get(rank, report.born)
        if report.epoch != epoch or not report.open or started_again:
            raise _OvertakenError
        return report

    async def _all(self, work: Callable[[int], Awaitable[None]]) -> None:
        """Do something at all ranks side by side; raise the first failure.

        A new formation ends it at once: the rank whose restart made it may be silent for long.
        """
        failures: list[Exception] = []
        overtaken: list[_OvertakenError] = []

        async def guarded(rank: int) -> None:
            try:
                await work(rank)
            except _OvertakenError as exc:
                overtaken.append(exc)
                tasks.cancel_scope.cancel()
            except (GroupError, _GivenUpError) as exc:
                failures.append(exc)

        async with anyio.create_task_group() as tasks:
            for rank in self._ranks:
                tasks.start_soon(guarded, rank)
        if overtaken or failures:
            raise [*overtaken, *failures][0]


def _is_calm(reports: Mapping[int, RankReport]) -> bool:
    """Return whether a change may begin: one formation, one map, nothing held or armed."""
    first = reports[0]
    if not first.open:
        raise _GivenUpError("the group is not open")
    if {each.epoch for each in reports.values()} != {first.epoch}:
        raise _GivenUpError("the ranks report several formations")
    if first.held:
        return False
    if any(each.armed for each in reports.values()):
        raise _GivenUpError("a rank is armed")
    return True


def _coming(report: RankReport) -> int:
    """Return the version that a rank can switch to, 0 for none."""
    return report.armed or report.prepared


def _is_armed(report: RankReport, aim: _Aim) -> bool:
    """Return whether a rank will switch at the held pass, or has done so."""
    if report.version == aim.version:
        return True
    return report.armed == aim.version and report.armed_step in (0, aim.step)
