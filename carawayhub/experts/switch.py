"""Changes the expert map of a group so that each pass runs under one map at all ranks.

Orders may be lost, or take effect seconds after the wait for their answer timed out, and the
process that issues them may die or be suspended between any two of them. The sequence of steps
nevertheless prevents a pass from running under two maps:

1. prepare the map at every rank, under a version that is unique to this map, and confirm it by each
   rank's report;
2. at rank 0, hold a pass that has not begun, confirm it by the report, and check that every rank
   still answers;
3. arm that map for that pass at every rank, and confirm it by each rank's report;
4. release the held pass.

Only the agent beside rank 0 begins a change. If a rank does not answer in step 2, that agent, and
no other, releases the pass unchanged. Such a release may take effect at any later time, also while
ranks are being armed for the same pass: by the agent itself once the rank answers, by another agent
that finds its issuer gone, or by the agent's next process, which knows of no release. Whoever arms
ranks for a pass that such a release may concern therefore holds the pass at another rank first. The
other rank is ordered to release it only after every rank has been reported as armed, so that the
pass has one continuation, whatever takes effect at rank 0. This second hold is left out where no
release can be under way: for the issuer of a hold of a pass that no former hold can have concerned.

All other orders are harmless when late. A late order to arm is refused, since its pass begins only
after every rank is armed. A late hold delays the group until an agent finds it and finishes the
change, with a new map if the ranks have no common one. Versions only increase. Nothing depends on a
limit on how late an order takes effect, so orders that another agent relays need none either.

The number of orders that a rank reports does not increase with these orders, so it cannot serve as
a fencing token. For engines that check one, the version is the fencing token instead.
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
    OrderReceiver,
    Placement,
    Prepare,
    RankOrder,
    RankReport,
    ReadableRank,
)

HOLD_LEAD_SECONDS = 0.3
"""Time between the last pass that began and the one to hold. It suffices for the hold and arm
orders to arrive before that pass, including one retry, so that the group does not stall. A stall of
two passes makes the pauses of all streams too long."""

MIN_LEAD_PASSES = 1
MAX_LEAD_PASSES = 12
"""Bounds of the lead in passes, regardless of the measured duration of passes. With a slow rank a
pass may last a second, and the map that ends this takes effect after the lead."""

VERSIONS_PER_SECOND = 1000.0
"""Versions are derived from the clock of the issuer's VM, which keeps running across restarts of
its processes. An issuer that dies while a rank copies leaves a version that no report contains yet.
If a later issuer used the same number for another map, ranks would have two maps under one version,
which neither ranks nor reports can distinguish. If it used a lower number, a late order of the
first issuer could replace its map."""

PREPARED_CHECK_SECONDS = 0.3
"""Time within which every rank must answer between the hold and the first arm order. A live rank
answers within a few milliseconds, or after one retry if a datagram is lost; a slower one may be
suspended, and its group would stall until it resumes."""

SECOND_HOLD_SECONDS = 0.3
"""Time within which a rank other than 0 must confirm a second hold before the pass is released
unchanged."""

COPY_TIMEOUT_SECONDS = 6.0
"""Timeout for copying the experts of one change (about half a second) and for holding a pass."""

SILENT_RANK_SECONDS = 1.0
"""Time for which a rank may be silent while ranks copy before the change is given up. A rank whose
VM is suspended stalls its group for longer, which no change of map could prevent."""

POLL_SECONDS = 0.06
"""Interval between polls of a rank that has not reached the expected state yet."""

RELEASE_TIMEOUT_SECONDS = 12.0
"""Time for which the release of a held pass is retried before all reports are read again."""

UNCHANGED_RELEASE_SECONDS = 0.6
"""Time for which the release of a pass without a change is retried before all reports are read
again. By then the rank for which the change was given up may be back."""


class ChangeOutcome(Enum):
    """Outcome of a change."""

    SWITCHED = "switched"
    GIVEN_UP = "given up before anything was held"
    OVERTAKEN = "the group was formed anew"
    STUCK = "some rank does not answer"


Ranks = Mapping[int, ReadableRank]


class _GivenUpError(Exception):
    """The change cannot continue; no pass is held."""


class _OvertakenError(Exception):
    """The group was formed anew, which discards all orders."""


@dataclass(slots=True)
class ChangeTimes:
    """Seconds from the start of the latest change to the end of each step, 0 for later steps.

    Attributes:
        ordered: Every rank was ordered to prepare the map.
        copied: Every rank has copied its experts.
        held: A pass is held.
    """

    ordered: float = 0.0
    copied: float = 0.0
    held: float = 0.0


@dataclass(frozen=True, slots=True)
class _SwitchPoint:
    """Map and pass to which a held group switches.

    Attributes:
        epoch: Formation of the group.
        version: Version of the map.
        step: The pass at which all ranks switch to it, which is held.
    """

    epoch: int
    version: int
    step: int


class Switch:
    """Changes the maps of one group.

    Args:
        ranks: All ranks of the group by position.
        clock: Source of time.
        announce: Announces to the other agents that the issuer is alive; returns whether all of
            them have received it.
        hold_receiver: Receives the hold order for rank 0 and relays it from another VM. If the VM
            of rank 0 sent the order and were suspended right after, its replica would be suspended
            as well, and nobody could release the pass until it resumes. With another sending VM,
            the group continues.
        own_rank: Position of the rank beside the issuer.
        sleep: Waits for some seconds.

    Attributes:
        latest: The order that the latest change prepared, None before the first one.
        times: Time that the latest change took up to each step.
    """

    __slots__ = (
        "_announce",
        "_born",
        "_clock",
        "_hold_receiver",
        "_other_ranks",
        "_ranks",
        "_releasable_until",
        "_released",
        "_sleep",
        "_started_at",
        "latest",
        "times",
    )

    def __init__(
        self,
        ranks: Ranks,
        clock: Clock,
        announce: Callable[[], Awaitable[bool]],
        hold_receiver: OrderReceiver | None = None,
        own_rank: int = 0,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._ranks = ranks
        self._clock = clock
        self._announce = announce
        self._hold_receiver = hold_receiver or ranks[0]
        self._sleep = sleep
        self._born: dict[int, int] = {}
        # Orders from the rank's own VM are free, and need no other agent.
        self._other_ranks = sorted(set(ranks) - {0}, key=lambda rank: (rank != own_rank, rank))
        self._releasable_until: int | None = None
        self._released = 0
        self._started_at = clock.monotonic()
        self.latest: Prepare | None = None
        self.times = ChangeTimes()

    async def change(self, placement: Placement) -> ChangeOutcome:
        """Bring a map into force; only the agent beside rank 0 may call this."""
        self._started_at = self._clock.monotonic()
        self.times = ChangeTimes()
        try:
            reports = await self._reports()
            first = reports[0]
            held = _held_passes(reports)
            if held and not _needs_map(reports):
                return await self._finish(reports)
            _check_may_begin(reports)
            version = self._next_version(reports)
            await self._prepare(placement, version, reports)
            self.times.copied = self._elapsed()
            if held:
                return await self.finish()
            lead = await self._lead(first)
            if not await self._announce():
                raise _GivenUpError("an agent did not acknowledge the announcement")
            step = await self._hold(first.epoch, version, lead)
            self.times.held = self._elapsed()
        except (_GivenUpError, GroupError) as exc:
            logger.bind(reason=str(exc)).info("change of expert map given up")
            return ChangeOutcome.GIVEN_UP
        except _OvertakenError:
            return ChangeOutcome.OVERTAKEN
        point = _SwitchPoint(first.epoch, version, step)
        if not await self._all_prepared(point):
            return await self._release_unchanged(point)
        if not self._is_releasable(step):
            return await self._complete(point, {0}, may_arm=True)
        second = await self._hold_second_in_time(point)
        if second is None:
            return await self._release_unchanged(point)
        return await self._complete(point, {0, second}, may_arm=True)

    async def finish(self) -> ChangeOutcome:
        """Finish a change whose issuer is gone, or one that this issuer could not release."""
        try:
            reports = await self._reports()
        except GroupError as exc:
            logger.bind(reason=str(exc)).info("could not read the reports of all ranks")
            return await self._release_again()
        return await self._finish(reports)

    async def _finish(self, reports: Mapping[int, RankReport]) -> ChangeOutcome:
        first = reports[0]
        held = _held_passes(reports)
        if not held:
            return ChangeOutcome.GIVEN_UP
        versions = {_pending_version(each) for each in reports.values()}
        epochs = {each.epoch for each in reports.values()}
        # An armed rank reports the pass of the change, which a late hold may precede.
        steps = {each.armed_step for each in reports.values() if each.armed} or {min(held.values())}
        if len(versions) == len(epochs) == len(steps) == 1 and min(versions):
            point = _SwitchPoint(first.epoch, min(versions), min(steps))
            logger.bind(step=point.step, version=point.version, held=held).warning(
                "finishing an interrupted change of expert map"
            )
            may_arm = any(held.get(rank) == point.step for rank in self._other_ranks)
            return await self._complete(point, set(held), may_arm=may_arm)
        logger.bind(held=held, versions=sorted(versions)).error(
            "a pass is held but the ranks have no common prepared map"
        )
        return ChangeOutcome.STUCK

    def _is_releasable(self, step: int) -> bool:
        """Return whether an order to release a pass unchanged may still take effect."""
        return self._releasable_until is None or step <= self._releasable_until

    def _next_version(self, reports: Mapping[int, RankReport]) -> int:
        highest = max(max(each.version, each.prepared, each.armed) for each in reports.values())
        return max(highest + 1, int(self._clock.monotonic() * VERSIONS_PER_SECOND))

    async def _all_prepared(self, point: _SwitchPoint) -> bool:
        """Return whether every rank answers and has the map, as needed from here on."""
        try:
            with anyio.fail_after(PREPARED_CHECK_SECONDS):
                await self._run_on_all_ranks(lambda rank: self._check_prepared(rank, point))
        except TimeoutError:
            logger.bind(step=point.step).warning("pass held, but a rank did not answer in time")
            return False
        except (GroupError, _GivenUpError, _OvertakenError) as exc:
            logger.bind(reason=str(exc), step=point.step).warning(
                "pass held, but a rank is not ready to switch"
            )
            return False
        return True

    async def _check_prepared(self, rank: int, point: _SwitchPoint) -> None:
        if _pending_version(await self._read(rank, point.epoch)) != point.version:
            raise _GivenUpError(f"rank {rank} has another map prepared")

    async def _release_unchanged(self, point: _SwitchPoint) -> ChangeOutcome:
        """Release a pass for which this agent has armed no rank, without a change of map."""
        logger.bind(step=point.step).warning("releasing the held pass without a change of map")
        self._released = point.step
        self._releasable_until = max(self._releasable_until or 0, point.step)
        deadline_at = self._clock.monotonic() + UNCHANGED_RELEASE_SECONDS
        try:
            await self._release(0, point, deadline_at)
        except (GroupError, _OvertakenError) as exc:
            logger.bind(reason=str(exc)).warning("could not release the held pass")
            return ChangeOutcome.STUCK
        return ChangeOutcome.GIVEN_UP

    async def _release_again(self) -> ChangeOutcome:
        """Retry the release of a pass that this agent has decided to release unchanged."""
        try:
            first = await self._ranks[0].report()
        except GroupError as exc:
            logger.bind(reason=str(exc)).info("could not read the report of rank 0")
            return ChangeOutcome.STUCK
        if not first.held or first.held != self._released:
            return ChangeOutcome.STUCK
        return await self._release_unchanged(_SwitchPoint(first.epoch, 0, first.held))

    async def _hold_second_in_time(self, point: _SwitchPoint) -> int | None:
        """Hold a pass at a second rank within ``SECOND_HOLD_SECONDS``; return it, None if none."""
        deadline_at = self._clock.monotonic() + SECOND_HOLD_SECONDS
        try:
            with anyio.fail_after(SECOND_HOLD_SECONDS):
                return await self._hold_second(point, deadline_at)
        except (TimeoutError, GroupError, _GivenUpError, _OvertakenError) as exc:
            logger.bind(reason=repr(exc), step=point.step).warning(
                "pass held, but no second rank confirmed that it holds it too"
            )
            return None

    async def _hold_second(self, point: _SwitchPoint, deadline_at: float) -> int:
        """Hold the pass of a change at a rank other than 0; return that rank.

        Raises:
            GroupError: No rank confirmed it before the deadline.
            _GivenUpError: The pass has begun without the change.
            _OvertakenError: The group was formed anew.
        """
        if len(self._ranks) == 1:
            return 0
        for rank in self._other_ranks:
            if await self._hold_at(rank, point, deadline_at):
                return rank
        raise GroupError(Code.RANK_UNREACHABLE, "every rank holds another pass")

    async def _hold_at(self, rank: int, point: _SwitchPoint, deadline_at: float) -> bool:
        """Hold the pass of a change at a rank; return False if it holds another pass.

        Raises:
            GroupError, _GivenUpError, _OvertakenError: See ``_hold_second``.
        """
        while True:
            answer = await self._ranks[rank].order(Hold(point.step), point.epoch, point.version)
            if answer is OrderAnswer.ACCEPTED:
                return True
            report = await self._read(rank, point.epoch)
            if point.step == report.held or point.version == report.version:
                return True
            if report.step >= point.step:
                raise _GivenUpError(f"pass {point.step} has begun")
            if report.held:
                return False
            if self._clock.monotonic() > deadline_at:
                raise GroupError(Code.RANK_UNREACHABLE, f"rank {rank} did not hold the pass")
            if answer is OrderAnswer.REFUSED:
                await self._sleep(POLL_SECONDS)

    async def _complete(
        self, point: _SwitchPoint, holding: set[int], *, may_arm: bool
    ) -> ChangeOutcome:
        """Arm every rank for a held pass, confirm it by the reports, and release the pass.

        Args:
            point: Map and pass of the change.
            holding: Ranks that may hold this pass or an earlier one.
            may_arm: Whether the pass needs no second hold, or has one.
        """
        deadline_at = self._clock.monotonic() + RELEASE_TIMEOUT_SECONDS
        while self._clock.monotonic() < deadline_at:
            try:
                if not may_arm:
                    holding = holding | {await self._hold_second(point, deadline_at)}
                    may_arm = True
                await self._run_on_all_ranks(lambda rank: self._arm_rank(rank, point, deadline_at))
                for rank in sorted(holding):
                    await self._release(rank, point, deadline_at)
            except _OvertakenError:
                return ChangeOutcome.OVERTAKEN
            except _GivenUpError as exc:
                logger.bind(reason=str(exc)).info("change of expert map given up")
                return ChangeOutcome.GIVEN_UP
            except GroupError as exc:
                logger.bind(reason=str(exc)).info("pass held, but a rank does not answer; retrying")
                await self._sleep(POLL_SECONDS)
                continue
            return ChangeOutcome.SWITCHED
        return ChangeOutcome.STUCK

    async def _prepare(
        self, placement: Placement, version: int, reports: Mapping[int, RankReport]
    ) -> None:
        """Prepare a map at every rank and wait until all ranks have copied its experts."""
        deadline_at = self._clock.monotonic() + COPY_TIMEOUT_SECONDS
        epoch = reports[0].epoch
        order = self.latest = Prepare(version, placement)

        async def prepare(rank: int, report: RankReport) -> None:
            unanswered = False
            while report.prepared != version:
                if self._clock.monotonic() > deadline_at:
                    raise _GivenUpError(f"rank {rank} did not prepare the map in time")
                answer = await self._ranks[rank].order(order, epoch, version)
                # A rank that accepted an order whose answer was lost refuses the retry, and doesn't
                # report the map as prepared while it is copying.
                if answer is OrderAnswer.ACCEPTED or (answer is OrderAnswer.REFUSED and unanswered):
                    return
                unanswered = answer is OrderAnswer.UNKNOWN
                report = await self._read_with_retry(rank, epoch)
                if answer is OrderAnswer.REFUSED and report.prepared != version:
                    raise _GivenUpError(f"rank {rank} refused to prepare the map")

        await self._run_on_all_ranks(lambda rank: prepare(rank, reports[rank]))
        self.times.ordered = self._elapsed()
        await self._run_on_all_ranks(
            lambda rank: self._wait_until_copied(rank, epoch, version, deadline_at)
        )

    async def _wait_until_copied(
        self, rank: int, epoch: int, version: int, deadline_at: float
    ) -> None:
        while (report := await self._read_with_retry(rank, epoch)).prepared != version:
            if report.prepared > version or self._clock.monotonic() > deadline_at:
                raise _GivenUpError(f"rank {rank} did not copy its experts in time")
            await self._sleep(POLL_SECONDS)

    async def _read_with_retry(self, rank: int, epoch: int) -> RankReport:
        """Return the report of a rank, with retries for up to ``SILENT_RANK_SECONDS``.

        While ranks only copy, a retry does no harm. Without it, one lost datagram of one rank
        discards the copies of 63 others.
        """
        until = self._clock.monotonic() + SILENT_RANK_SECONDS
        while True:
            try:
                return await self._read(rank, epoch)
            except GroupError:
                if self._clock.monotonic() > until:
                    raise
            await self._sleep(POLL_SECONDS)

    def _elapsed(self) -> float:
        """Return the seconds since the latest change began."""
        return self._clock.monotonic() - self._started_at

    async def _lead(self, first: RankReport) -> int:
        """Return ``HOLD_LEAD_SECONDS`` in passes, by the duration of passes during copying."""
        begun = (await self._read(0, first.epoch)).step - first.step
        seconds = max(self._elapsed(), POLL_SECONDS)
        return max(
            MIN_LEAD_PASSES, min(MAX_LEAD_PASSES, math.ceil(HOLD_LEAD_SECONDS * begun / seconds))
        )

    async def _hold(self, epoch: int, version: int, lead: int) -> int:
        """Hold a pass that has not begun; return its number once rank 0 reports it as held."""
        deadline_at = self._clock.monotonic() + COPY_TIMEOUT_SECONDS
        step = 0
        while self._clock.monotonic() < deadline_at:
            report = await self._read(0, epoch)
            if report.held:
                return report.held
            if report.prepared != version:
                raise _GivenUpError("rank 0 has another map prepared")
            # Retry with the same pass until it begins, so that a first order that takes effect late
            # holds no other pass than the second one.
            if step <= report.step:
                step = report.step + lead
            await self._hold_receiver.order(Hold(step), epoch, version)
        raise _GivenUpError("could not hold a pass in time")

    async def _arm_rank(self, rank: int, point: _SwitchPoint, deadline_at: float) -> None:
        """Arm a rank and confirm it by its report."""
        while not _is_armed(report := await self._read(rank, point.epoch), point):
            await self._send_order(rank, Arm(point.version, point.step), report, point, deadline_at)

    async def _release(self, rank: int, point: _SwitchPoint, deadline_at: float) -> None:
        """Release the pass of a change, or one before it, at a rank; confirm it by its report."""
        while 0 < (report := await self._read(rank, point.epoch)).held <= point.step:
            await self._send_order(rank, Go(report.held), report, point, deadline_at)

    async def _send_order(
        self,
        rank: int,
        order: RankOrder,
        report: RankReport,
        point: _SwitchPoint,
        deadline_at: float,
    ) -> None:
        """Send an order that the caller repeats until a report shows its effect."""
        if self._clock.monotonic() > deadline_at:
            raise GroupError(
                Code.RANK_UNREACHABLE, f"rank {rank} did not carry out {order} in time"
            )
        answer = await self._ranks[rank].order(order, report.epoch, point.version)
        if answer is OrderAnswer.REFUSED:
            await self._sleep(POLL_SECONDS)

    async def _reports(self) -> dict[int, RankReport]:
        found: dict[int, RankReport] = {}

        async def read(rank: int) -> None:
            found[rank] = await self._ranks[rank].report()

        await self._run_on_all_ranks(read)
        self._born = {rank: report.born for rank, report in found.items()}
        if self._releasable_until is None:
            # A former process of this agent may have released any pass that it could hold.
            self._releasable_until = found[0].step + MAX_LEAD_PASSES
        return found

    async def _read(self, rank: int, epoch: int) -> RankReport:
        """Return the report of a rank, provided that its formation and replica are unchanged.

        A replica that restarted under the same id has nothing prepared, armed or held.

        Raises:
            _OvertakenError: The group was formed anew, is closed, or the replica restarted.
        """
        report = await self._ranks[rank].report()
        restarted = report.born != self._born.get(rank, report.born)
        if report.epoch != epoch or not report.open or restarted:
            raise _OvertakenError
        return report

    async def _run_on_all_ranks(self, work: Callable[[int], Awaitable[None]]) -> None:
        """Run ``work`` for all ranks concurrently; raise the first failure.

        A new formation cancels the others immediately, since the rank whose restart caused it may
        stay silent for a long time.
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


def _held_passes(reports: Mapping[int, RankReport]) -> dict[int, int]:
    """Return the pass that each rank holds, without those that hold none."""
    return {rank: each.held for rank, each in reports.items() if each.held}


def _needs_map(reports: Mapping[int, RankReport]) -> bool:
    """Return whether the ranks need a common map before a held pass can be released.

    This is so if a hold took effect late, after the map for which it was ordered was replaced.
    """
    unarmed = not any(each.armed for each in reports.values())
    versions = {each.prepared for each in reports.values()}
    return unarmed and (len(versions) > 1 or 0 in versions)


def _check_may_begin(reports: Mapping[int, RankReport]) -> None:
    """Check that a change may begin.

    Raises:
        _GivenUpError: The group is not open, its ranks report several formations, or one is armed.
    """
    first = reports[0]
    if not first.open:
        raise _GivenUpError("the group is not open")
    if {each.epoch for each in reports.values()} != {first.epoch}:
        raise _GivenUpError("the ranks report different formations")
    if any(each.armed for each in reports.values()):
        raise _GivenUpError("a rank is already armed")


def _pending_version(report: RankReport) -> int:
    """Return the version that a rank has armed or prepared, 0 for none."""
    return report.armed or report.prepared


def _is_armed(report: RankReport, point: _SwitchPoint) -> bool:
    """Return whether a rank is armed for the switch or has already switched."""
    if report.version == point.version:
        return True
    return report.armed == point.version and report.armed_step in (0, point.step)
