"""Simulation with real ledgers and homes for searching key histories, without network or processes.

Models idempotency keys, agents in slots, messages that arrive in any order, twice or never,
configurations that agents apply at any time, crashes, restarts and planned stops. Counts for each
key the attempts that may have reached an endpoint.
"""

from dataclasses import dataclass, field

from carawayhub.agent.begin import Ask, Refuse, Run
from carawayhub.agent.handover import PendingHandover
from carawayhub.agent.homes import Homes
from carawayhub.agent.keyset import KeySet, Seat, key_set
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    Answer,
    FenceAck,
    FenceRefusal,
    FenceRequest,
    Handover,
    HandoverTaken,
    LookUp,
    LookUpReply,
    Member,
    NotRun,
    RunId,
    RunKey,
)
from carawayhub.clock import ManualClock
from carawayhub.codes import Code, Outcome, meaning
from carawayhub.errors import PeerError

SCOPE = "service/booking"
KEY_TTL = 10.0
TIMING = KeyTiming(late_arrival=1.0)
RATES = {"a": 0.99, "b": 1.01, "c": 0.99, "d": 1.01}
"""Rates of the agents' clocks, whose origins differ too. The callers' clock is true time."""


class DoubleRunError(AssertionError):
    """Two attempts of the key may have reached endpoints."""


class FalseNotRunError(AssertionError):
    """An attempt that may have run was reported as not run."""


def key_of(number: int) -> RunKey:
    return RunKey(SCOPE, "cafe", f"k{number}")


def member(name: str) -> Member:
    return Member(name, f"{name}:7100", f"vm-{name}")


def set_of(names: str) -> KeySet:
    """Return the key set that ``names`` describes, for example ``"a b c-"`` with c leaving."""
    seats = [Seat(member(name.rstrip("-")), name.endswith("-")) for name in names.split()]
    return key_set(SCOPE, tuple(seats), KEY_TTL)


@dataclass(slots=True)
class Agent:
    """One agent incarnation."""

    ledger: Ledger
    homes: Homes
    version: int
    pending_handover: PendingHandover | None = None
    stopping: bool = False


@dataclass(slots=True)
class Message:
    """A message in transit."""

    to: Member
    body: object
    sender: Member | None = None


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """One request with the key, sent by its caller."""

    key: RunKey
    number: int
    sent: float


@dataclass(slots=True, frozen=True)
class LiveAttempt:
    """An attempt that may have reached the endpoint."""

    key: RunKey
    slot: Member
    attempt: int


@dataclass(slots=True)
class World:
    """The simulated fleet; ``sets`` are the configurations, starting with version 1."""

    sets: list[KeySet]
    latest: int = 1
    clock: ManualClock = field(default_factory=ManualClock)
    clocks: dict[Member, ManualClock] = field(default_factory=dict)
    agents: dict[Member, Agent] = field(default_factory=dict)
    in_transit: list[Message] = field(default_factory=list)
    live: dict[RunId, LiveAttempt] = field(default_factory=dict)
    first_sent: dict[RunKey, float] = field(default_factory=dict)
    attempts: int = 0
    incarnations: int = 0
    runs: int = 0
    replays: int = 0
    ended: set[RunId] = field(default_factory=set)
    gone: set[Member] = field(default_factory=set)

    def start(self, slot: Member, version: int) -> None:
        """Start a new incarnation; the slot's address is free, so no other is running there."""
        assert slot not in self.agents and slot not in self.gone
        self.incarnations += 1
        clock = self.clocks.setdefault(slot, ManualClock(now=1000.0 * len(self.clocks)))
        ledger = Ledger(clock, slot, self.incarnations)
        homes = Homes(clock, slot, self.incarnations, TIMING)
        self.agents[slot] = Agent(ledger, homes, 0)
        self.adopt(slot, version)

    def adopt(self, slot: Member, version: int) -> None:
        agent = self.agents[slot]
        agent.version = version
        agent.homes.adopt({SCOPE: self.sets[version - 1]}, version)

    def crash(self, slot: Member) -> None:
        """End an incarnation; what it ran may have reached the endpoint."""
        del self.agents[slot]

    def ask(self, slot: Member) -> None:
        """Send a round of fence requests."""
        for peer, request in self.agents[slot].homes.requests(SCOPE):
            self.in_transit.append(Message(peer, request, slot))

    def send(self, key: RunKey, version: int) -> None:
        """Send a key from the caller, through an entry with configuration ``version``."""
        now = self.clock.monotonic()
        home = self.home(key, version)
        if home is None or now > self.first_sent.setdefault(key, now) + KEY_TTL:
            return
        self.attempts += 1
        self.in_transit.append(Message(home, CallerRequest(key, self.attempts, now)))

    def home(self, key: RunKey, version: int) -> Member | None:
        """Return the agent to which an entry at ``version`` sends a key."""
        return self.sets[version - 1].home(key)

    def open_keys(self) -> list[RunKey]:
        """Return the keys that callers may still send."""
        now = self.clock.monotonic()
        return [key for key, sent in self.first_sent.items() if now <= sent + KEY_TTL]

    def deliver(self, place: int, keep: bool = False) -> None:
        """Deliver one message; ``keep`` leaves a copy in transit."""
        message = self.in_transit[place] if keep else self.in_transit.pop(place)
        agent = self.agents.get(message.to)
        if agent is not None:
            self._receive(message, agent)

    def advance(self, seconds: float) -> None:
        """Advance the clocks; attempts in transit for too long are rejected by their stamp."""
        self.clock.advance(seconds)
        for slot, clock in self.clocks.items():
            clock.advance(seconds * RATES[slot.endpoint])
        now = self.clock.monotonic()
        self.in_transit = [
            one
            for one in self.in_transit
            if not isinstance(one.body, CallerRequest) or now - one.body.sent <= TIMING.late_arrival
        ]

    def finishable(self) -> list[RunId]:
        """Return the attempts that still run."""
        return [
            run
            for run, one in self.live.items()
            if one.slot in self.agents
            and self.agents[one.slot].homes.incarnation == run.incarnation
            and run not in self.ended
        ]

    def finish(self, run: RunId, sent: bool) -> None:
        """End an attempt at its agent."""
        one = self.live[run]
        result = Answer(201) if sent else NotRun(int(Code.CONNECT_FAILED))
        if not self.agents[one.slot].ledger.finish(one.key, run, result):
            raise AssertionError(f"{run} was not running")
        self.ended.add(run)
        if not sent:
            del self.live[run]

    def stop(self, slot: Member) -> None:
        """Perform the next step of a planned stop."""
        agent = self.agents[slot]
        agent.homes.close()
        agent.stopping = True
        if agent.ledger.running():
            return
        if agent.pending_handover is None:
            agent.pending_handover = PendingHandover(agent.homes, agent.ledger)
        if agent.pending_handover.finished:
            del self.agents[slot]
            return
        for receiver, handover in agent.pending_handover.pending():
            self.in_transit.append(Message(receiver, handover, slot))

    def note_gone(self, slot: Member, at: Member) -> None:
        """Report to one agent, by the platform's list, that another's VM is gone."""
        self.gone.add(slot)
        self.agents[at].homes.note_gone([slot.vm])

    def _receive(self, message: Message, agent: Agent) -> None:
        sender = message.sender
        match message.body:
            case CallerRequest() as attempt:
                self._attempt(attempt, message.to, agent)
            case FenceRequest() as request:
                self._reply(message, agent.homes.answer(request, agent.ledger))
            case FenceAck() | FenceRefusal() as reply:
                agent.homes.take(reply, agent.ledger)
            case LookUp() as question:
                self._reply(message, agent.ledger.look_up(question))
            case LookUpReply() as reply:
                agent.ledger.resolve(reply)
            case Handover() as handover:
                try:
                    self._reply(message, agent.homes.take_handover(handover, agent.ledger))
                except PeerError:
                    return
            case HandoverTaken() as taken if agent.pending_handover is not None:
                if taken.incarnation == agent.homes.incarnation:
                    agent.pending_handover.mark_accepted(taken)
        assert sender is None or sender != message.to

    def _reply(self, message: Message, body: object) -> None:
        assert message.sender is not None
        self.in_transit.append(Message(message.sender, body, message.to))

    def _attempt(self, attempt: CallerRequest, slot: Member, agent: Agent) -> None:
        key = attempt.key
        rejection = agent.homes.admit(key)
        match agent.ledger.begin(key, b"d", agent.homes.keep_until(key), rejection):
            case Run(run=run):
                self.live[run] = LiveAttempt(key, slot, attempt.number)
                self.runs += 1
                live_attempts = [run for run, one in self.live.items() if one.key == key]
                if len(live_attempts) > 1:
                    raise DoubleRunError(f"{key.key}: {live_attempts}")
            case Ask(look_up=question):
                self.in_transit.append(Message(question.run.member, question, slot))
            case Refuse(code=code):
                self._check_refusal(attempt, code)
            case _:
                self.replays += 1

    def _check_refusal(self, attempt: CallerRequest, code: Code) -> None:
        started = {one.attempt for one in self.live.values()}
        if meaning(code).outcome is Outcome.NOT_RUN and attempt.number in started:
            raise FalseNotRunError(f"attempt {attempt.number}: {code.name}")
