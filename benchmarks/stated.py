"""Backoffs and leavings that stand-in replicas state, and whether entries keep to them."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

KNOWN_SECONDS = 0.5
"""Seconds after a requested backoff within which requests that were under way may arrive."""

ALLOWED_ARRIVALS = 2
DRAIN_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class StatedArrival:
    """A request that reached a replica.

    Attributes:
        at: When.
        entry: Run of the entry that sent it; another one after a restart.
        replica: Id of the lifetime that it reached.
        asked_at: When its caller sent it.
    """

    at: float
    entry: str
    replica: str
    asked_at: float


@dataclass(frozen=True, slots=True)
class StatedBackoff:
    """A backoff that a replica requested of one run of an entry."""

    at: float
    entry: str
    replica: str
    seconds: float

    def broken_by(self, arrivals: Iterable[StatedArrival]) -> list[StatedArrival]:
        """Return the arrivals within the backoff if there are more than allowed."""
        came = [
            each
            for each in arrivals
            if (each.entry, each.replica) == (self.entry, self.replica)
            and self.at + KNOWN_SECONDS < each.at <= self.at + self.seconds
        ]
        return came if len(came) > ALLOWED_ARRIVALS else []


@dataclass(slots=True)
class Stated:
    """What replicas state in their answers, and what reached them.

    Attributes:
        turning_away: Part of the requests that a replica turns away, by replica.
        seconds: Backoff that it requests with each refusal, None for a refusal without one.
        leaving: Replicas that announce their leaving in each answer.
        backoffs: Backoffs that were requested.
        told_leaving: When each run of an entry first got an answer of a leaving replica.
        arrivals: Requests that reached replicas.
    """

    turning_away: dict[str, float] = field(default_factory=dict)
    seconds: float | None = 3.0
    leaving: set[str] = field(default_factory=set)
    backoffs: list[StatedBackoff] = field(default_factory=list)
    told_leaving: dict[tuple[str, str], float] = field(default_factory=dict)
    arrivals: list[StatedArrival] = field(default_factory=list)

    def turns_away(self, replica: str, rng: random.Random) -> bool:
        """Return whether a replica turns its next request away."""
        part = self.turning_away.get(replica, 0.0)
        return part > 0.0 and rng.random() < part

    def headers(self, replica: str, entry: str, now: float, *, refusal: bool) -> bytes:
        """Return the header lines of an answer, and note to whom they are stated."""
        lines = b""
        if refusal and self.seconds is not None:
            self.backoffs.append(StatedBackoff(now, entry, replica, self.seconds))
            lines += f"retry-after: {self.seconds:g}\r\n".encode()
        if replica in self.leaving:
            self.told_leaving.setdefault((entry, replica), now)
            lines += b"server-leaving: 1\r\n"
        return lines

    def broken_backoffs(self) -> list[StatedBackoff]:
        """Return the backoffs in which more arrived than is allowed."""
        return [each for each in self.backoffs if each.broken_by(self.arrivals)]

    def late_at_leaving(self) -> list[StatedArrival]:
        """Return the requests that were sent too late to a replica known to leave."""
        found = []
        for each in self.arrivals:
            told = self.told_leaving.get((each.entry, each.replica))
            if told is not None and each.asked_at > told + DRAIN_SECONDS:
                found.append(each)
        return found
