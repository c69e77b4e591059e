"""The fence of one scope at one agent: whether the agent may run a key that it has no record of.

The agent is *established* at its key set once every other member, and every former member whose
keys have not expired, has promised at the same set to run none of this agent's keys, and has sent
its records of them. A peer that lost its memory adds a quarantine to its promise. The proof is in
``docs/design/run-once.md``.
"""

from dataclasses import dataclass

from carawayhub.agent.begin import Refuse
from carawayhub.agent.closed import ClosedIncarnations
from carawayhub.agent.formermembers import FormerMembers
from carawayhub.agent.keyset import KeySet
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    FenceAck,
    FenceRefusal,
    FenceReply,
    FenceRequest,
    FormerMember,
    Handover,
    Member,
    RunKey,
)
from carawayhub.agent.promises import Promises
from carawayhub.agent.stages import StageHistory
from carawayhub.clock import Clock
from carawayhub.codes import Code

RETRY_AFTER_SECONDS = 1.0


@dataclass(slots=True, frozen=True)
class Established:
    """New keys whose home is this agent run once the quarantine has ended.

    Attributes:
        quarantine: Remaining seconds in which keys without a record are refused.
    """

    quarantine: float


@dataclass(slots=True, frozen=True)
class Missing:
    """New keys are refused, except those whose home has not moved, which may still run.

    Attributes:
        members: Members without a promise; empty if the majority's confirmation has expired.
    """

    members: tuple[Member, ...]


class Fence:
    """Decides whether keys without a record may run; see the module docstring.

    Args:
        clock: The agent's clock.
        member: The agent's slot.
        incarnation: Random number that the agent drew when it started.
        scope: Service or model.
        started: Timestamp of the agent's start.
        timing: Derives retention, renewal and quarantine from the time to live of keys.
    """

    __slots__ = (
        "_clock",
        "_closed",
        "_formers",
        "_gone",
        "_history",
        "_incarnation",
        "_lost_until",
        "_member",
        "_promises",
        "_retention",
        "_scope",
        "_sequence",
        "_started",
        "_timing",
        "_version",
        "closing",
    )

    def __init__(
        self,
        clock: Clock,
        member: Member,
        incarnation: int,
        scope: str,
        started: float,
        timing: KeyTiming,
    ) -> None:
        self._clock = clock
        self._member = member
        self._incarnation = incarnation
        self._scope = scope
        self._started = started
        self._timing = timing
        self._closed = ClosedIncarnations()
        self._formers = FormerMembers()
        self._gone: dict[Member, float] = {}
        self._promises = Promises()
        self._lost_until: float | None = None
        self._retention = 0.0
        self._sequence = 0
        self._history = StageHistory(clock, member, scope, timing)
        self._version = 0
        self.closing = False

    @property
    def key_set(self) -> KeySet:
        """The current key set."""
        return self._history.current.key_set

    @property
    def retention(self) -> float:
        """Seconds for which the record of a key that starts now is kept."""
        return self._timing.retention(self.key_set.key_ttl)

    def adopt(self, key_set: KeySet, version: int) -> None:
        """Switch to the key set of a newer configuration."""
        self._version = version
        if key_set.digest == self.key_set.digest:
            return
        fenced = {member: promise.first for member, promise in self._promises.made.items()}
        for member in key_set.members:
            if self.key_set.seat(member) is None:
                self._gone.pop(member, None)
        for member in self._formers.changed(self.key_set, key_set, fenced):
            # Operators remove a member that was listed as leaving only after it has stopped.
            self._gone.setdefault(member, self._clock.monotonic())
        self._retention = max(self._retention, self._timing.retention(key_set.key_ttl))
        self._history.enter(key_set)
        self._promises = Promises()
        self._closed.forget_closed()
        self._update_establishment()

    def admit(self, key: RunKey) -> Refuse | None:
        """Return why a key without a record may not run here, or None if it may."""
        home = self.key_set.home(key)
        if home != self._member:
            where = "nowhere" if home is None else f"{home.endpoint} at {home.agent}"
            return Refuse(Code.RUN_HOME_UNREACHABLE, RETRY_AFTER_SECONDS, f"its home is {where}")
        run_from = self._history.run_from(key)
        if run_from is None:
            return self._refuse_unconfirmed()
        quarantine = run_from - self._clock.monotonic()
        if quarantine > 0:
            return Refuse(Code.RUN_QUARANTINE, quarantine)
        if self.closing:
            return Refuse(Code.ENDPOINT_LEAVING, RETRY_AFTER_SECONDS)
        return None

    def status(self) -> Established | Missing:
        """Return whether the agent is established at its key set."""
        self._update_establishment()
        stage = self._history.current
        if stage.run_from is None or not self._history.confirmed(stage.key_set):
            return Missing(self.missing())
        return Established(max(0.0, stage.run_from - self._clock.monotonic()))

    def missing(self) -> tuple[Member, ...]:
        """Return the required members that have not promised and are not known to be gone."""
        made = self._promises.made
        return tuple(m for m in self._required() if m not in made and m not in self._gone)

    def requests(self) -> tuple[tuple[Member, FenceRequest], ...]:
        """Return the requests that are due.

        Members without a promise are asked at each call. The others are asked to confirm theirs
        only at the renewal interval, so that one unreachable member doesn't cost a call to each of
        the others every second.
        """
        self._update_establishment()
        confirm_interval = self._timing.renewal(self.key_set.key_ttl) / 2
        oldest = self._clock.monotonic() - confirm_interval
        due = [peer for peer in self._required() if self._promises.due(peer, oldest)]
        return tuple((peer, self._request(peer)) for peer in due)

    def answer(self, request: FenceRequest, ledger: Ledger) -> FenceReply:
        """Promise a peer to run none of its keys from now on, if it has the same key set."""
        if self._gone.pop(request.sender, None) is not None:
            self._update_establishment()
        if request.digest != self.key_set.digest:
            return FenceRefusal(
                scope=self._scope,
                sender=self._member,
                asker=request.incarnation,
                sequence=request.sequence,
                version=self._version,
            )
        return self._promise(request, ledger)

    def accept_reply(self, reply: FenceReply, ledger: Ledger) -> bool:
        """Process a peer's reply.

        A reply to a request of another stage is dropped. It may be a delayed one from an earlier
        stage at the same key set, sent before keys moved to other members and back.

        Returns:
            Whether the reply was a valid promise.
        """
        sent = self._promises.sent(reply.sender, reply.sequence)
        if sent is None or reply.asker != self._incarnation:
            return False
        self._gone.pop(reply.sender, None)
        if not isinstance(reply, FenceAck) or reply.digest != self.key_set.digest:
            self._update_establishment()
            return False
        ledger.merge(reply.entries)
        self._record_promise(reply, sent)
        for former in reply.formers:
            self._learn_former(former)
        for member in {*reply.gone} & {*self.missing()}:
            self._gone[member] = self._clock.monotonic()
        self._update_establishment()
        return True

    def record_handover(self, handover: Handover) -> None:
        """Record that a peer hands over its ledger and stops."""
        if handover.digest == self.key_set.digest:
            until = self._clock.monotonic() + handover.quarantine
            self._closed.note(handover, until)

    def note_gone(self, member: Member) -> None:
        """Record that the member's VM is gone according to the platform's VM list."""
        self._gone.setdefault(member, self._clock.monotonic())
        self._update_establishment()

    def quarantine(self) -> float:
        """Return the seconds for which a key without an entry here may already have run."""
        own = self._own_quarantine_until()
        latest = self._history.latest()
        until = own if latest is None else max(own, latest)
        return max(0.0, until - self._clock.monotonic())

    def _refuse_unconfirmed(self) -> Refuse:
        """Return the refusal of a key that no stage confirms.

        If all members have promised, the majority is missing because they have lost their memory,
        as after a simultaneous start. The refusal carries the minimum remaining time: with
        "unreachable", each caller would retry every second for minutes.
        """
        missing = ", ".join(member.endpoint for member in self.missing())
        quarantine = self.quarantine()
        if not missing and quarantine > 0:
            return Refuse(Code.RUN_QUARANTINE, quarantine)
        waiting = f"waiting for {missing or 'a majority'}"
        return Refuse(Code.RUN_HOME_UNREACHABLE, RETRY_AFTER_SECONDS, waiting)

    def _promise(self, request: FenceRequest, ledger: Ledger) -> FenceAck:
        now = self._clock.monotonic()
        closed = self._closed.receive(request.sender, request.incarnation)
        wanted = _HasHome(self.key_set, request.sender)
        self._drop_expired()
        return FenceAck(
            scope=self._scope,
            sender=self._member,
            incarnation=self._incarnation,
            asker=request.incarnation,
            sequence=request.sequence,
            version=self._version,
            digest=self.key_set.digest,
            quarantine=self.quarantine(),
            entries=() if request.holds else ledger.export(wanted),
            formers=self._formers.announcements(now, self._retention),
            closed=None if closed is None else closed.incarnation,
            closed_quarantine=0.0 if closed is None else max(0.0, closed.until - now),
            remembers=self._own_quarantine_until() <= now,
            gone=tuple(sorted(self._gone)),
        )

    def _request(self, peer: Member) -> FenceRequest:
        self._sequence += 1
        self._promises.ask(peer, self._sequence, self._clock.monotonic())
        return FenceRequest(
            scope=self._scope,
            sender=self._member,
            incarnation=self._incarnation,
            sequence=self._sequence,
            version=self._version,
            digest=self.key_set.digest,
            holds=peer in self._promises.made,
        )

    def _record_promise(self, ack: FenceAck, sent: float) -> None:
        if ack.remembers:
            self._history.confirm(ack.sender, sent)
        self._promises.receive(ack, sent, self._clock.monotonic())
        self._formers.fence(ack.sender, sent)

    def _required(self) -> tuple[Member, ...]:
        if self.key_set.seat(self._member) is None:
            return ()
        members = (*self.key_set.members, *self._formers.members)
        return tuple(member for member in members if member != self._member)

    def _update_establishment(self) -> None:
        """Recompute whether the current stage is established."""
        self._drop_expired()
        stage = self._history.current
        if self.key_set.seat(self._member) is None or self.missing():
            stage.run_from = None
            return
        required = self._required()
        closed_until = self._promises.closed_until(required)
        if closed_until is not None:
            self._lost_until = min(closed_until, self._own_quarantine_until())
        stage.run_from = max(
            [self._own_quarantine_until(), *(self._quarantine_until(peer) for peer in required)]
        )

    def _quarantine_until(self, peer: Member) -> float:
        promise = self._promises.made.get(peer)
        if promise is not None:
            return promise.quarantine_until
        # Starts no earlier than the last promise: until then a peer may have confirmed the member
        # that is presumed gone, which may still run on the other side of a partition.
        since = max(self._gone[peer], self._promises.last())
        return since + self._timing.gone_quarantine(self.key_set.key_ttl, self._retention)

    def _own_quarantine_until(self) -> float:
        if not self.key_set.quarantine:
            return self._started
        if self._lost_until is not None:
            return self._lost_until
        return self._started + self._retention

    def _learn_former(self, reported: FormerMember) -> None:
        if reported.member == self._member or self.key_set.seat(reported.member) is not None:
            return
        now = self._clock.monotonic()
        fenced = None if reported.remaining is None else now - self._retention + reported.remaining
        if self._formers.add(reported, fenced) and reported.leaving:
            self._gone.setdefault(reported.member, now)

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        self._formers.drop_fenced_before(now - self._retention)
        run_from = self._history.current.run_from
        if run_from is None or run_from > now:
            return
        for member in self._formers.members:
            if member not in self._promises.made:
                # It is presumed gone, and the quarantine for it has ended.
                self._formers.drop(member)
                self._gone.pop(member, None)


@dataclass(slots=True, frozen=True)
class _HasHome:
    """Selects the keys whose home is one member."""

    key_set: KeySet
    member: Member

    def __call__(self, key: RunKey) -> bool:
        return key.scope == self.key_set.scope and self.key_set.home(key) == self.member
