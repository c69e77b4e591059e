"""The decider of a lock-step group: the task that the agent beside rank 0 runs.

It stands beside rank 0 because the group cannot step without rank 0, so nothing is lost when both
go together, and no election is needed. It keeps nothing that matters: a new one reads the ranks
and goes on from there. ``docs/design/map-change.md`` argues why two of them do no harm.
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
STALLED_POLLS = 2

STATUS_GRACE_SECONDS = 5.0
"""Seconds without a lease for which a group that stepped is still said to step."""


class MapPolicy(Protocol):
    """Decides whether and how to change the map; ``groups.policy.Policy`` is one."""

    def observe(self, counters: ExpertCounters) -> object:
        """Take a report of counters in."""

    def decide(self, current: ExpertMap, situation: Situation) -> Decision:
        """Return what to do with the map in force."""

    def applied(self, old: ExpertMap, decision: Rebalance) -> None:
        """Take note that a decision is in force."""

    def measured(self) -> Sequence[Outcome]:
        """Return the outcomes whose measurement ended since the last call."""


class GroupSignals(Protocol):
    """What the agent knows of the group beside its ranks' states."""

    async def counters(self) -> ExpertCounters | None:
        """Return the newest counters of tokens per expert, None where there are none."""

    def situation(self) -> Situation:
        """Return load, drain and what else the policy weighs."""

    async def wait_until_permitted(self) -> None:
        """Return once this agent may give orders."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DeciderOptions:
    """Timing of a decider, in seconds unless named otherwise.

    Attributes:
        watch_interval: Time between two looks at rank 0.
        full_read_interval: Time between two looks at all ranks.
        decision_interval: Time between two decisions.
        lead_steps: Steps between arming and the switch; all orders should arrive within them.
        agree_within: Time for all ranks to agree to a change before it is withdrawn.
        lost_after: Silence of a rank after which the group is taken out of routing.
        stage_within: Time for staging before a change is given up.
        form_within: Time for all ranks to join a formation before they are read again.
        stand_down: Time for which nothing is ordered after another decider was met.
        staging_rate: Bytes a second that the group may fetch from the weight store.
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
    """Keeps one group in one formation and changes its map.

    Args:
        group: The group as configured.
        version: Configuration version that says so.
        ports: Its ranks, in order.
        chooser: The policy.
        signals: What the policy is told.
        clock: Source of time.
        trail: Where events are recorded.
        rng: For the decider's own number and for spreading retries.
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
        """Tend the group until cancelled; cancelling is safe at any point."""
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
        """Read all ranks, mend what is found, and watch the group until it needs mending again.

        Raises:
            GroupError: The group cannot be mended now, or another decider has it.
        """
        states = await self._claim()
        if not is_formed(states, self._group.ranks):
            await self._form(states)
            states = await self._read()
        while (left := take_over(self._term, states)) is not None:
            self.status.changing = f"settling map {left.change.target}"
            verdict = await self._settle(left, -math.inf)
            committed = verdict is Verdict.COMMIT
            self._record(ChangeSettled(target=left.change.target, committed=committed))
            states = await self._read()
        await self._adopt(states)
        await self._watch()

    async def decide_once(self) -> Decision | None:
        """Ask the policy and carry its decision out; None where there are no counters yet."""
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
        """Read all ranks and have them promise to obey no earlier decider than this one.

        The first reading asks for no promise, yet names this decider: without a name, the readings
        of the decider in charge could not be told from those of one that should be silent.
        """
        states = await self._read(Term(0, self._term.decider))
        highest = max(state.promised.number for state in states.values())
        if self._term.number == 0 or any(s.promised > self._term for s in states.values()):
            self._term = Term(highest + 1, self._term.decider)
        newest = newest_version(states)
        if newest > self._version:
            raise GroupError(Code.CHANGE_OVERTAKEN, f"formed by configuration {newest}")
        return await self._read()

    async def _read(self, term: Term | None = None) -> dict[int, RankState]:
        """Return the state of every rank.

        Raises:
            GroupError: RANK_UNREACHABLE where not all answer, CHANGE_OVERTAKEN where one obeys
                another decider.
        """
        order = Read(term=self._term if term is None else term)
        # A read with term number 0 asks for no promise that counts, and must not be fenced.
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
        # The random part keeps the name from being used twice by two deciders of one term.
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
        """Take the map that the ranks go to as the one in force, and let requests in.

        Members of one formation that wait for no verdict all go to one map, so rank 0 tells it.
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

        Only rank 0 is read often: no rank steps without it, so a rank that waits for a verdict or
        is gone shows as steps that do not go on at rank 0 as well. One that cannot be reached from
        here, while the group steps on, shows only when all are read. So that time is one for the
        decider: were it counted anew when a change begins to stage, one that begins just before it
        would put it off again, and ranks that are cut off were told of after 20 s, not 10.

        A change that rank 0 is armed for between two decisions is another decider's, whose orders
        came late where ranks ignore fencing numbers. Nobody else settles it, and found only once
        the ranks wait at its step, it holds callers up for as long as two looks take.
        """
        entered = -1
        still = 0
        while self._clock.monotonic() < self._read_all_at:
            await anyio.sleep(self._options.watch_interval)
            replies = await send_orders(self._ports, {0: Read(term=self._term)})
            if 0 not in replies:
                return
            if deciding and _awaits_verdict(replies[0].state):
                return
            still = still + 1 if replies[0].state.entered == entered else 0
            if still >= STALLED_POLLS:
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
        """Have all ranks agree on a step to switch at, and settle it."""
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
        patience = self._options.lost_after
        return await settle(self._ports, progress, self._clock, agree_by, patience)

    async def _stage_while_watching(self, old: ExpertMap, new: ExpertMap) -> None:
        """Stage ``new``, unless the group breaks meanwhile.

        Staging may take minutes. A rank that is lost then would otherwise hold it up until its
        deadline, while the group cannot step and requests are still sent to it.
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
