"""Requests for promises that an agent has sent, and the promises it received."""

from dataclasses import dataclass

from carawayhub.agent.messages import FenceAck, Member

MAX_PENDING = 8


@dataclass(slots=True)
class Promise:
    """A peer's promise under the current set.

    Attributes:
        first: Timestamp at which the first request that it answered was sent.
        incarnation: Incarnation of the peer.
        quarantine_until: Timestamp until which keys that the peer has no entry of may have run.
        closed: Incarnation of this slot that handed its ledger to the peer, None if unknown.
        closed_until: Timestamp at which the quarantine of that incarnation ends.
    """

    first: float
    incarnation: int
    quarantine_until: float
    closed: int | None
    closed_until: float


class Promises:
    """The requests and promises of one stage; each stage has its own instance."""

    __slots__ = ("_last_asked", "_pending", "made")

    def __init__(self) -> None:
        self._last_asked: dict[Member, float] = {}
        self._pending: dict[Member, dict[int, float]] = {}
        self.made: dict[Member, Promise] = {}

    def ask(self, peer: Member, sequence: int, now: float) -> None:
        """Note that request ``sequence`` is sent to a peer."""
        sent = self._pending.setdefault(peer, {})
        self._last_asked[peer] = sent[sequence] = now
        if len(sent) > MAX_PENDING:
            del sent[min(sent)]

    def sent(self, peer: Member, sequence: int) -> float | None:
        """Return when the request of a reply was sent, or None if no such request is pending."""
        return self._pending.get(peer, {}).pop(sequence, None)

    def due(self, peer: Member, oldest: float) -> bool:
        """Return whether to ask a peer; after a promise, only if last asked by ``oldest``."""
        return peer not in self.made or self._last_asked.get(peer, oldest) <= oldest

    def receive(self, ack: FenceAck, sent: float, now: float) -> None:
        """Record a received promise."""
        until = now + ack.quarantine
        made = self.made.get(ack.sender)
        if made is None:
            closed_until = now + ack.closed_quarantine
            made = Promise(sent, ack.incarnation, until, ack.closed, closed_until)
            self.made[ack.sender] = made
        # The promise stays valid after its incarnation ends: a later one asks this agent first.
        if made.incarnation == ack.incarnation:
            made.quarantine_until = min(made.quarantine_until, until)

    def last(self) -> float:
        """Return the latest timestamp of a first request that was answered, 0 for none."""
        return max((promise.first for promise in self.made.values()), default=0.0)

    def closed_until(self, required: tuple[Member, ...]) -> float | None:
        """Return the end of the predecessor's quarantine, if all of ``required`` hold its ledger.

        An incarnation in between that crashed would have asked each of these peers before it ran
        anything, and they would no longer report the older one.
        """
        known = [self.made[peer] for peer in required if peer in self.made]
        if not known or len(known) < len(required):
            return None
        closed = {promise.closed for promise in known}
        if len(closed) > 1 or None in closed:
            return None
        return max(promise.closed_until for promise in known)
