"""Requests that an agent has sent for promises, and the promises that came back."""

from dataclasses import dataclass

from carawayhub.agent.messages import FenceAck, Member

MAX_PENDING = 8


@dataclass(slots=True)
class Promise:
    """A peer's promise at the present set.

    Attributes:
        first: Reading at which the first request that it answered was sent.
        incarnation: The peer's.
        quarantine_until: Reading until which the peer's lost memory matters.
        closed: Incarnation of this slot that handed its ledger to the peer, none for unknown.
        closed_until: Reading until which the quarantine of that incarnation lasts.
    """

    first: float
    incarnation: int
    quarantine_until: float
    closed: int | None
    closed_until: float


class Promises:
    """The requests and promises of one stage; a new one is made for each stage."""

    __slots__ = ("_asked", "_pending", "made")

    def __init__(self) -> None:
        self._asked: dict[Member, float] = {}
        self._pending: dict[Member, dict[int, float]] = {}
        self.made: dict[Member, Promise] = {}

    def ask(self, peer: Member, sequence: int, now: float) -> None:
        """Note that request ``sequence`` is sent to a peer."""
        sent = self._pending.setdefault(peer, {})
        self._asked[peer] = sent[sequence] = now
        if len(sent) > MAX_PENDING:
            del sent[min(sent)]

    def sent(self, peer: Member, sequence: int) -> float | None:
        """Return when the request that a reply answers was sent, none where none waits for it."""
        return self._pending.get(peer, {}).pop(sequence, None)

    def due(self, peer: Member, oldest: float) -> bool:
        """Return whether to ask a peer, one that has promised only if last before ``oldest``."""
        return peer not in self.made or self._asked.get(peer, oldest) <= oldest

    def hear(self, ack: FenceAck, sent: float, now: float) -> None:
        """Take in a promise."""
        until = now + ack.quarantine
        made = self.made.get(ack.sender)
        if made is None:
            closed_until = now + ack.closed_quarantine
            made = Promise(sent, ack.incarnation, until, ack.closed, closed_until)
            self.made[ack.sender] = made
        # The first incarnation's promise stands after its end: a later one asks this agent first.
        if made.incarnation == ack.incarnation:
            made.quarantine_until = min(made.quarantine_until, until)

    def last(self) -> float:
        """Return the latest reading at which a first request was sent, 0 for none."""
        return max((promise.first for promise in self.made.values()), default=0.0)

    def closed_until(self, required: tuple[Member, ...]) -> float | None:
        """Return the end of the predecessor's quarantine, if all of ``required`` hold its ledger.

        An incarnation in between, which crashed, would have asked each of these peers before it
        ran anything, and they would not name the older one any more.
        """
        known = [self.made[peer] for peer in required if peer in self.made]
        if not known or len(known) < len(required):
            return None
        closed = {promise.closed for promise in known}
        if len(closed) > 1 or None in closed:
            return None
        return max(promise.closed_until for promise in known)
