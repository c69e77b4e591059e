"""How many requests a lock-step group is given at once.

The load pattern this answers: more requests than a group can serve with pauses that callers still
accept. All ranks execute each pass together, so a pass that is too long makes every stream of the
group late at once, not only the one that was admitted last; and a group that is always full stays
so long after the burst that filled it. So it is given as many as keep its passes within the pause
that the routes accept, and what comes beyond that waits or is asked to come back.

How long a pass takes follows from the published profile of the engines and from what they have to
do, but for what only shows in use: how unevenly experts are loaded, ranks that are slow, copies of
experts that are under way. All of that is one factor, the stretch, which the entry sees in the
pauses of the streams that it relays: an event comes with each pass.

What counts is the worst of the last seconds. A stream lasts for two seconds or more, and demand for
experts moves every few seconds, so nearly every stream meets a map that does not fit yet; a group
that was filled while its map fitted is late as a whole then.
"""

from collections import deque
from collections.abc import Container
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.gateway.loads import Work
from carawayhub.gateway.model import EngineProfile

PAUSE_SECONDS = 8.0
"""Seconds for which a pause counts: longer than the time between two changes of demand, which come
every two to six seconds."""

QUANTILE = 0.97
"""Part of these pauses that lies below the stretch that is counted with; the rest are passes that
were held or stalled. Callers who come at 28 a second to a group of 72 places whose demand moves
every 3.7 s: 47% in time and 14% refused, against 12% in time and 2% refused with no limit, and 26%
and 15% with 0.9 of the last five seconds (``benchmarks.group_load``)."""

LEAST_SPACING = 0.02
"""Seconds between two pauses that are noted of a group: one for each pass, whose events come to all
streams within a few milliseconds."""

PAUSES_KEPT = 400
"""Pauses that are kept of a group: those of the time above, one every 20 ms."""

LEAST_PART = 0.5
"""Part of its places that a group is given whatever the stretch: with fewer, most of a pass is work
that does not depend on their number, and more callers are refused than are in time for it."""

ACCEPTED_PART = 0.95
"""Part of the accepted pause that a pass may be predicted to take; 0.9 and 1.0 gave 47% and 32% in
time where this gave 47%, with more refusals at 0.9."""

STRETCH_SECONDS = 0.1
"""Seconds for which a stretch is used once it was worked out; a pass takes about as long."""

LATE_PART = 0.5
"""Worth of a late answer against one in time, where more late ones are weighed against fewer in
time."""


@dataclass(frozen=True, slots=True)
class GroupLoad:
    """What the ranks of a group have to do.

    Attributes:
        ranks: Ranks of the group that take requests.
        requests: Requests in flight at them.
        reading: Prompt tokens that they still have to read.
    """

    ranks: int
    requests: int
    reading: int


class Pace:
    """Predicts the passes of the groups of one service.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_seen", "_stretches")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._seen: dict[str, deque[tuple[float, float]]] = {}
        self._stretches: dict[str, tuple[float, float]] = {}

    def is_due(self, group: str) -> bool:
        """Return whether a pause of a group is to be noted: one was not just now."""
        seen = self._seen.get(group)
        return not seen or self._clock.monotonic() - seen[-1][0] >= LEAST_SPACING

    def saw(self, group: str, pause: float, load: GroupLoad, profile: EngineProfile) -> None:
        """Note the seconds between two events of a stream.

        Args:
            group: The group that made them.
            pause: The seconds.
            load: What its ranks have to do.
            profile: Speed of its engines.
        """
        expected = usual_pass(load, profile)
        if expected <= 0.0:
            return
        seen = self._seen.setdefault(group, deque(maxlen=PAUSES_KEPT))
        seen.append((self._clock.monotonic(), pause / expected))

    def stretch(self, group: str) -> float:
        """Return by how much passes are longer than their work alone, 0 while that is not known."""
        now = self._clock.monotonic()
        value, until = self._stretches.get(group, (0.0, now))
        if now < until:
            return value
        recent = sorted(each for at, each in self._seen.get(group, ()) if at >= now - PAUSE_SECONDS)
        value = recent[int(QUANTILE * (len(recent) - 1))] if recent else 0.0
        self._stretches[group] = value, now + STRETCH_SECONDS
        return value

    def forget(self, keep: Container[str]) -> None:
        """Drop what was seen of groups that are not in ``keep``."""
        self._seen = {name: each for name, each in self._seen.items() if name in keep}

    def admits(
        self, group: str, load: GroupLoad, work: Work, profile: EngineProfile, accepted: float
    ) -> bool:
        """Return whether a group is given one more request.

        Args:
            group: The group.
            load: What its ranks have to do.
            work: The request.
            profile: Speed of its engines.
            accepted: Seconds between two events that callers accept, 0 where they name none.
        """
        most = self.most(group, load, profile, accepted)
        if load.requests + 1 > most:
            return False
        allowed = self._allowed(group, accepted)
        if not allowed or not load.reading:
            return True
        more = GroupLoad(load.ranks, load.requests + 1, load.reading + work.reading)
        return load.requests < LEAST_PART * most or usual_pass(more, profile) <= allowed

    def most(self, group: str, load: GroupLoad, profile: EngineProfile, accepted: float) -> float:
        """Return how many requests a group is given at once."""
        places = float(load.ranks * profile.places)
        allowed = self._allowed(group, accepted)
        if not allowed:
            return places
        most = _most_in_time(load.ranks, profile, allowed)
        if not _pays(most, load.ranks, profile, allowed):
            return places
        return max(most, LEAST_PART * places)

    def _allowed(self, group: str, accepted: float) -> float:
        """Return the seconds that the work of a pass may take, 0 where nothing bounds them."""
        stretch = self.stretch(group)
        return ACCEPTED_PART * accepted / stretch if stretch else 0.0


def usual_pass(load: GroupLoad, profile: EngineProfile) -> float:
    """Return the seconds of a pass in which nothing but its work counts."""
    if not load.ranks:
        return 0.0
    writing = profile.step + profile.step_per_request * load.requests / load.ranks
    most_read = profile.chunk * profile.stride
    read = min(load.reading / load.ranks, most_read) if most_read else load.reading / load.ranks
    return profile.stride * writing + (read / profile.read_rate if profile.read_rate else 0.0)


def _most_in_time(ranks: int, profile: EngineProfile, allowed: float) -> float:
    """Return how many requests a group may write at once with passes of ``allowed`` seconds.

    While one request writes its answer another reads its prompt, so each that writes stands for a
    part of a prompt in each pass as well.
    """
    each = profile.stride * profile.step_per_request + _usual_reading(profile)
    if each <= 0.0:
        return float(ranks * profile.places)
    most = (allowed - profile.stride * profile.step) / each
    return ranks * max(0.0, min(float(profile.places), most))


def _usual_reading(profile: EngineProfile) -> float:
    """Return the seconds of reading in a pass for each request that writes."""
    passes = max(1.0, profile.usual_answer / profile.stride)
    return profile.usual_prompt / passes / profile.read_rate if profile.read_rate else 0.0


def _pays(most: float, ranks: int, profile: EngineProfile, allowed: float) -> bool:
    """Return whether so many in time are worth more than a full group whose answers are late."""
    full = GroupLoad(ranks, ranks * profile.places, 0)
    late = LATE_PART * full.requests / max(usual_pass(full, profile), allowed)
    return most / allowed >= late
