"""The decider of a lock-step group: a task of the agent on the VM of rank 0.

It runs on the VM of rank 0 because the group cannot step without rank 0: losing both at once costs
nothing extra, and no election is needed. It has no durable state: a new decider reads the state of
the ranks and continues from it. ``docs/design/map-change.md`` explains why two concurrent deciders
are safe.
"""

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import ModelGroup
from carawayhub.errors import GroupError
from carawayhub.groups.change import ChangeProgress, Verdict, begin_change, take_over
from carawayhub.groups.maps import ExpertMap
from carawayhub.groups.membership import form, is_formed, newest_version, read_map, starting_map
from carawayhub.groups.orders import Change, Formation, RankState, Read, Term
from carawayhub.groups.outcomes import Outcome
from carawayhub.groups.policy import Decision, Keep, Rebalance, Situation
from carawayhub.groups.popularity import ExpertCounters
from carawayhub.groups.ranks import RankPort
from carawayhub.groups.rounds import send_orders
from carawayhub.groups.settle import settle
from carawayhub.groups.staging import Staging, StoreBudget, stage
from carawayhub.groups.status import (
    ChangeSettled,
    GainMeasured,
    GroupBroken,
    GroupEvent,
    GroupFormed,
    GroupStatus,
    MapChanged,
    MapKept,
    record_event,
)
from carawayhub.output.audit import AuditTrail

DECIDER_BITS = 62
MAX_STALLED_POLLS = 2

STATUS_GRACE_SECONDS = 5.0
"""Time without a lease after which a formed group is reported as not formed."""


class MapPolicy(Protocol):
    """Decides whether and how to change the map; implemented by ``groups.policy.Policy``."""

    def observe(self, counters: ExpertCounters) -> object:
        """Record a report of counters."""

    def decide(self, current: ExpertMap, situation: Situation) -> Decision:
        """Return whether to keep or replace the current map."""

    def applied(self, old: ExpertMap, decision: Rebalance) -> None:
        """Record that the map of a decision is in force."""

    def measured(self) -> Sequence[Outcome]:
        """Return the outcomes whose measurement has finished since the last call."""


class GroupSignals(Protocol):
    """What the agent knows about the group besides the state of its ranks."""

    async def counters(self) -> ExpertCounters | None:
        """Return the latest token counters per expert, or None if there are none."""

    def situation(self) -> Situation:
        """Return the load, the drain state and the other inputs of the policy."""

    async def wait_until_permitted(self) -> None:
        """Wait until this agent may issue orders."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DeciderOptions:
    """Timing of a decider, in seconds unless named otherwise.

    Attributes:
        watch_interval: Time between two polls of rank 0.
        full_read_interval: Time between two polls of all ranks.
        decision_interval: Time between two decisions.
        lead_steps: Steps between arming and the switch; all orders should arrive within them.
        agree_timeout: Time for all ranks to agree to a change before it is withdrawn.
        lost_after: Time without a reply from a rank after which the group is taken out of routing.
        stage_timeout: Time for staging before a change is given up.
        form_timeout: Time for all ranks to join a formation before they are read again.
        overtaken_pause: Time without orders after another decider was detected.
        staging_rate: Bytes per second that the group may fetch from the weight store.
    """

    watch_interval: float = 1.0
    full_read_interval: float = 10.0
    decision_interval: float = 10.0
    lead_steps: int = 64
    agree_timeout: float = 2.0
    lost_after: float = 3.0
    stage_timeout: float = 900.0
    form_timeout: float = 5.0
    overtaken_pause: float = 5.0
    staging_rate: float = 125_000_000.0


class GroupDecider:
    """Keeps all ranks of a group in one formation and changes its map.

    Args:
        group: Configuration of the group.
        version: Configuration version that ``group`` is from.
        ports: The ranks of the group, in order.
        map_policy: Decides about map changes.
        signals: Inputs of the policy.
        clock: Source of time.
        trail: Where events are recorded.
        rng: Source of the decider's random number and of retry jitter.
        options: Timing.

    ``status`` may be read at any time.
    """

    def __init__(
        self,
        group: ModelGroup,
        version: int,
        ports: Sequence[RankPort],
        map_policy: MapPolicy,
        signals: GroupSignals,
        clock: Clock,
        trail: AuditTrail,
        rng: random.Random,
        options: DeciderOptions | None = None,
    ) -> None:
        self.status = GroupStatus(group=group.name)
        self._group = group
        self._version = version
        self._ports = ports
        self._map_policy = map_policy
        self._signals = signals
        self._clock = clock
        self._trail = trail
        self._options = options or DeciderOptions()
        self._budget = StoreBudget(self._options.staging_rate, clock, rng)
        self._term = Term(0, rng.getrandbits(DECIDER_BITS))
        self._formations = 0
        self._current: ExpertMap | None = None
        self._decide_at = clock.monotonic() + self._options.decision_interval
        self._read_all_at = clock.monotonic()

    async def run(self) -> None:
        """Manage the group until cancelled; cancelling is safe at any point."""
        while True:
            try:
                await self.reconcile()
            except GroupError as exc:
                self._handle_error(exc)
                if exc.code is Code.LEASE_LAPSED:
                    await self._until_permitted()
                    continue
                fenced = exc.code is Code.CHANGE_OVERTAKEN
                options = self._options
                await anyio.sleep(options.overtaken_pause if fenced else options.watch_interval)

    async def reconcile(self) -> None:
        """Read all ranks, repair the group, and watch it until it needs a repair again.

        Raises:
            GroupError: The group cannot be repaired now, or another decider is in charge of it.
        """
        states = await self._claim()
        if not is_formed(states, self._group.ranks):
            await self._form(states)
            states = await self._read()
        while (unfinished := take_over(self._term, states)) is not None:
            self.status.changing = f"settling map {unfinished.change.target}"
            verdict = await self._settle(unfinished, -math.inf)
            committed = verdict is Verdict.COMMIT
            self._record(ChangeSettled(target=unfinished.change.target, committed=committed))
            states = await self._read()
        await self._adopt(states)
        await self._watch()

    async def decide_once(self) -> Decision | None:
        """Carry out the decision of the policy and return it, or None if no map is in force yet."""
        current = self._current
        counters = await self._signals.counters()
        if counters is not None:
            self._map_policy.observe(counters)
        if current is None:
            return None
        decision = self._map_policy.decide(current, self._signals.situation())
        self._report_gains()
        self.status.skew = decision.skew
        self.status.reason = decision.reason.value
        match decision:
            case Keep():
                self.status.decision = f"keep map {current.id}"
            case Rebalance():
                self.status.decision = f"change map {current.id} to {decision.map.id}"
                await self._change(current, decision)
        return decision

    async def _claim(self) -> dict[int, RankState]:
        """Read all ranks and have them promise to obey no decider with a lower term.

        A term is the fencing number of a decider. The first read asks for no promise but carries
        the random number of this decider. Without it, the reads of the decider in charge look the
        same as those of a decider that should send nothing.
        """
        states = await self._read(Term(0, self._term.decider))
        highest = max(state.promised.number for state in states.values())
        if self._term.number == 0 or any(s.promised > self._term for s in states.values()):
            self._term = Term(highest + 1, self._term.decider)
        newest = newest_version(states)
        if newest > self._version:
            raise GroupError(
                Code.CHANGE_OVERTAKEN, f"the group was formed by configuration version {newest}"
            )
        return await self._read()

    async def _read(self, term: Term | None = None) -> dict[int, RankState]:
        """Return the state of every rank.

        Raises:
            GroupError: RANK_UNREACHABLE if a rank does not answer, CHANGE_OVERTAKEN if a rank has
                promised to obey another decider.
        """
        order = Read(term=self._term if term is None else term)
        # A read with term number 0 asks for no promise, so being fenced is not an error.
        replies = await send_orders(
            self._ports, {port.rank: order for port in self._ports}, fenced_is_error=term is None
        )
        lost = tuple(port.rank for port in self._ports if port.rank not in replies)
        self.status.lost_ranks = lost
        if lost:
            raise GroupError(Code.RANK_UNREACHABLE, f"ranks {lost} of {self._group.name}")
        return {rank: reply.state for rank, reply in replies.items()}

    async def _form(self, states: Mapping[int, RankState]) -> None:
        self._mark_not_formed("the ranks are not in one formation")
        first = await starting_map(self._group, self._ports, states)
        self.status.changing = f"joining under map {first.id}"
        await self._stage(None, first)
        self._formations += 1
        # The random number keeps two deciders with the same term number from using the same name.
        name = f"{self._version}-{self._term.number}-{self._term.decider:x}-{self._formations}"
        formation = Formation(
            id=name,
            version=self._version,
            members=tuple(states[port.rank].incarnation for port in self._ports),
            first_map=first.id,
        )
        deadline = self._clock.monotonic() + self._options.form_timeout
        await form(self._ports, states, formation, self._term, self._clock, deadline)

    async def _adopt(self, states: Mapping[int, RankState]) -> None:
        """Set the next map of the ranks as the current map and report the group as formed.

        If no member of a formation waits for a verdict, all have the same next map, so reading
        rank 0 is enough.
        """
        self._read_all_at = self._clock.monotonic() + self._options.full_read_interval
        state = states[0]
        if self._current is None or self._current.id != state.next_map:
            self._current = await read_map(self._ports[0], state)
        was_formed = self.status.formed
        self._set_current_map(self._current)
        self.status.formed = True
        if not was_formed and state.formation is not None:
            self._record(GroupFormed(formation=state.formation.id, first_map=self._current.id))

    async def _watch(self, *, deciding: bool = True) -> None:
        """Decide at each interval; return when the ranks have to be read again.

        Only rank 0 is polled often: no rank steps without it, so a rank that waits for a verdict
        or is gone stalls the steps of rank 0 as well. A rank that is unreachable from here while
        the group keeps stepping is detected only when all ranks are read. The deadline for that
        read is kept across calls: restarting it when staging begins would let a change that begins
        just before the deadline delay the report of unreachable ranks from 10 s to 20 s.

        A change that rank 0 is armed for between two decisions belongs to another decider, whose
        orders arrived late at ranks that ignore fencing numbers. Nothing else settles it. If it
        were found only once the ranks wait at its step, callers would be delayed by two polls.
        """
        entered = -1
        stalled_polls = 0
        while self._clock.monotonic() < self._read_all_at:
            await anyio.sleep(self._options.watch_interval)
            replies = await send_orders(self._ports, {0: Read(term=self._term)})
            if 0 not in replies:
                return
            if deciding and _awaits_verdict(replies[0].state):
                return
            stalled_polls = stalled_polls + 1 if replies[0].state.entered == entered else 0
            if stalled_polls >= MAX_STALLED_POLLS:
                return
            entered = replies[0].state.entered
            if deciding and self._clock.monotonic() >= self._decide_at:
                self._decide_at = self._clock.monotonic() + self._options.decision_interval
                await self.decide_once()

    async def _change(self, current: ExpertMap, decision: Rebalance) -> None:
        began = self._clock.monotonic()
        new = decision.map
        self.status.changing = f"staging map {new.id}"
        try:
            await self._stage_while_watching(current, new)
            verdict = await self._switch(current, new)
        except GroupError as exc:
            self._record(MapKept(before=current.id, wanted=new.id, reason=str(exc)))
            raise
        finally:
            self.status.changing = ""
        if verdict is not Verdict.COMMIT:
            reason = "not all ranks agreed in time"
            self._record(MapKept(before=current.id, wanted=new.id, reason=reason))
            return
        self._set_current_map(new)
        self._map_policy.applied(current, decision)
        self._record(
            MapChanged(
                before=current.id,
                after=new.id,
                gain_seconds=decision.gain_seconds,
                cost_seconds=decision.cost_seconds,
                moved_bytes=decision.bytes,
                seconds=self._clock.monotonic() - began,
                reason=decision.reason.value,
            )
        )

    async def _switch(self, current: ExpertMap, new: ExpertMap) -> Verdict:
        """Ask all ranks to switch at a common step, and settle the change."""
        states = await self._read()
        if not is_formed(states, self._group.ranks):
            raise GroupError(Code.GROUP_BROKEN, "a rank left the formation while staging")
        formation = states[0].formation
        assert formation is not None
        self.status.changing = f"switching to map {new.id}"
        change = Change(
            formation=formation.id,
            base=current.id,
            target=new.id,
            step=max(state.entered for state in states.values()) + self._options.lead_steps,
        )
        progress = begin_change(self._term, change, self._group.ranks)
        agree_by = self._clock.monotonic() + self._options.agree_timeout
        return await self._settle(progress, agree_by)

    async def _settle(self, progress: ChangeProgress, agree_by: float) -> Verdict:
        lost_after = self._options.lost_after
        return await settle(self._ports, progress, self._clock, agree_by, lost_after)

    async def _stage_while_watching(self, old: ExpertMap, new: ExpertMap) -> None:
        """Stage ``new``, unless the group breaks during staging.

        Staging may take minutes. If it were not watched, losing a rank would block staging until
        its deadline, while the group cannot step and requests are still routed to it.
        """
        failures: list[GroupError] = []

        async def watch() -> None:
            try:
                await self._watch_until_broken()
            except GroupError as exc:
                failures.append(exc)
                tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            try:
                await self._stage(old, new)
            except GroupError as exc:
                failures.append(exc)
            tasks.cancel_scope.cancel()
        if failures:
            raise failures[0]

    async def _watch_until_broken(self) -> None:
        while True:
            await self._watch(deciding=False)
            if not is_formed(await self._read(), self._group.ranks):
                raise GroupError(Code.GROUP_BROKEN, "a rank left the formation while staging")
            self._read_all_at = self._clock.monotonic() + self._options.full_read_interval

    async def _stage(self, old: ExpertMap | None, new: ExpertMap) -> None:
        staging = Staging(
            term=self._term,
            old=old,
            new=new,
            expert_bytes=self._group.expert_bytes,
            deadline=self._clock.monotonic() + self._options.stage_timeout,
        )
        await stage(self._ports, staging, self._budget, self._clock)

    def _set_current_map(self, current: ExpertMap) -> None:
        self._current = current
        self.status.map_number = current.number
        self.status.digest = current.digest
        self.status.changing = ""

    async def _until_permitted(self) -> None:
        with anyio.move_on_after(STATUS_GRACE_SECONDS):
            await self._signals.wait_until_permitted()
            return
        self._mark_not_formed("too few witnesses confirm its decider")
        await self._signals.wait_until_permitted()

    def _handle_error(self, exc: GroupError) -> None:
        if exc.code in (Code.GROUP_BROKEN, Code.RANK_UNREACHABLE):
            self._mark_not_formed(str(exc))
        self.status.changing = ""

    def _mark_not_formed(self, reason: str) -> None:
        if self.status.formed:
            self._record(GroupBroken(reason=reason))
        self.status.formed = False

    def _report_gains(self) -> None:
        for outcome in self._map_policy.measured():
            self._record(
                GainMeasured(
                    map_number=outcome.map_number,
                    expected=outcome.expected,
                    measured=outcome.measured,
                    seconds=outcome.seconds,
                )
            )

    def _record(self, event: GroupEvent) -> None:
        record_event(self._trail, self._group.name, event)


def _awaits_verdict(state: RankState) -> bool:
    return state.armed is not None and not state.committed
