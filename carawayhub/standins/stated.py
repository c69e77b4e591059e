"""Backoffs and leavings that stand-in replicas state, and whether entries keep to them."""

import random
from collections.abc import Iterable, Mapping
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
        request: Names the request.
    """

    at: float
    entry: str
    replica: str
    request: str


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

    def headers(
        self, replica: str, entry: str, now: float, *, refusal: bool = False
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer, and note to whom they are stated."""
        found = []
        if refusal and self.seconds is not None:
            self.backoffs.append(StatedBackoff(now, entry, replica, self.seconds))
            found.append((b"retry-after", f"{self.seconds:g}".encode()))
        if replica in self.leaving:
            self.told_leaving.setdefault((entry, replica), now)
            found.append((b"server-leaving", b"1"))
        return found

    def broken_backoffs(self) -> list[StatedBackoff]:
        """Return the backoffs in which more arrived than is allowed."""
        return [each for each in self.backoffs if each.broken_by(self.arrivals)]

    def late_at_leaving(self, asked_at: Mapping[str, float]) -> list[StatedArrival]:
        """Return the arrivals at replicas that their entry knew to leave for too long.

        Args:
            asked_at: When callers sent their requests.
        """
        found = []
        for each in self.arrivals:
            told = self.told_leaving.get((each.entry, each.replica))
            asked = asked_at.get(each.request)
            if told is not None and asked is not None and asked > told + DRAIN_SECONDS:
                found.append(each)
        return found
