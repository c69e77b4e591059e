"""Chooses the entries for one answer of the directory by failure domain, capacity and load.

Handles entries of unequal capacity and callers that cache an answer for seconds and choose at
random among its addresses. Each answer is a new random sample in which an entry is as likely as its
share of the callers, so answers differ and callers do not gather at the same entries. A fixed
ranking would send all callers of a failure domain to the same few entries until the next answer.
"""

import math
import random
import statistics
from collections.abc import Sequence
from dataclasses import dataclass

MAX_ADDRESSES = 64
"""Maximum number of addresses that a caller reads from one answer."""

MIN_ADDRESSES = 4
"""Minimum number of addresses in an answer, if there are as many entries. If half of them have just
died, five of six callers find a live one with two attempts. A failure domain with fewer entries is
filled up with entries of others, so its callers keep a choice when all of its entries die."""

SHARING_UTILISATION = 0.6
"""Share of the capacity of a failure domain from which some of its callers get other entries. The
rest covers a rise of demand by half while callers use cached answers."""

MAX_SHARED = 0.75
"""Largest part of the callers of a failure domain that get other entries because of its load."""

SHARING_DECAY = 0.8
"""Part of the shared callers that are assumed to return if none were shared. Their failure domain
also serves callers of others; if all were assumed to return, domains that share with each other
would go on for good."""

SHARING_LAG_SECONDS = 3.0
"""Time after which an answer shows in the known load: callers use it for one to three seconds, and
the load is up to two seconds old."""

ROUNDING = 1e-6
"""Tolerance with which the size of an answer is rounded down."""

LOAD_OFFSET = 0.1
"""Utilisation added before entries are compared, as a difference of two requests says little while
entries are nearly idle."""

MAX_LOAD_FACTOR = 1.5
"""Bound on the factor by which load changes the share of an entry. The load in an answer is up to
two seconds old and acts for three more; an idle entry that has just started is thus not flooded."""

CORE_SECONDS_PER_REQUEST = 0.005
"""Processor time for one second of a stream: 2.3 ms for a new request and some 25 events of 0.1 ms,
as measured in ``docs/design/relay.md``."""

BASE_MEMORY_BYTES = 45_000_000
MEMORY_BYTES_PER_REQUEST = 41_000
"""Memory of an idle entry, and of each open stream; measured as well."""

DESCRIPTORS_PER_REQUEST = 4
"""A connection to the caller, one to the replica, and as many that are idle between requests."""

LINK_BYTES_PER_REQUEST = 16_000.0
"""Bytes on the link for one second of a stream, an estimate: a prompt of 4 KB, and 20 events of 200
bytes, both received and sent."""


@dataclass(frozen=True, slots=True)
class EntryOption:
    """An entry that an answer may list.

    Attributes:
        callers: ``ip:port`` at which it accepts callers.
        failure_domain: Its failure domain.
        capacity: Requests that it can have in flight, 0 if unknown.
        in_flight: Requests that it has in flight, -1 if unknown.
    """

    callers: str
    failure_domain: str
    capacity: int = 0
    in_flight: int = -1


@dataclass(frozen=True, slots=True)
class AnswerPlan:
    """How likely each entry is to be listed in an answer for the callers of a failure domain.

    Attributes:
        groups: Address and chance of each listed entry, by failure domain.
        shared: Part of the callers that are meant for entries of other failure domains.
        utilisation: Share of the capacity in use in the failure domain of the callers.
        own_entries: Number of entries in that failure domain.
    """

    groups: Sequence[Sequence[tuple[str, float]]]
    shared: float
    utilisation: float
    own_entries: int

    def draw(self, rng: random.Random) -> list[str]:
        """Return the addresses of one answer.

        The sample is systematic along the failure domains and so has its part of each.
        """
        found = []
        position = rng.random()
        reached = 0.0
        for group in self.groups:
            for address, chance in rng.sample(group, len(group)):
                reached += chance
                if reached > position:
                    found.append(address)
                    position += 1.0
        rng.shuffle(found)
        return found


class SharedParts:
    """Parts of the callers of each failure domain that recent answers meant for other entries.

    The known load of entries follows from answers of some seconds ago. It is the demand reduced by
    the part that was shared then, and not by the present one.
    """

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: dict[str, tuple[float, float]] = {}

    def recent(self, domain: str) -> float:
        """Return the part in effect in the known load, 0 if there was no answer."""
        return self._parts.get(domain, (0.0, 0.0))[0]

    def record(self, domain: str, shared: float, now: float) -> None:
        """Record the part of new answers."""
        before, at = self._parts.get(domain, (shared, now))
        weight = 1.0 - math.exp((at - now) / SHARING_LAG_SECONDS)
        self._parts[domain] = before + weight * (shared - before), now


def request_capacity(cores: float, memory: int, descriptors: int, link_rate: float) -> int:
    """Return the requests that an entry can have in flight, 0 if no resource is known.

    Args:
        cores: Processor time in cores, 0 if unknown.
        memory: Bytes of memory, 0 if unknown.
        descriptors: Open files and sockets, 0 if unknown.
        link_rate: Bytes per second of the link, 0 if unknown.
    """
    bounds = (
        cores / CORE_SECONDS_PER_REQUEST,
        max(1, memory - BASE_MEMORY_BYTES) / MEMORY_BYTES_PER_REQUEST if memory > 0 else 0.0,
        descriptors / DESCRIPTORS_PER_REQUEST,
        link_rate / LINK_BYTES_PER_REQUEST,
    )
    return math.ceil(min((each for each in bounds if each > 0.0), default=0.0))


def plan_answers(options: Sequence[EntryOption], domain: str, recent: float = 0.0) -> AnswerPlan:
    """Return the plan of answers for the callers of a failure domain.

    Args:
        options: Entries that accept callers.
        domain: Failure domain of the callers, empty if unknown.
        recent: Part of these callers that recent answers meant for other entries.
    """
    own = [each for each in options if each.failure_domain == domain]
    others = [each for each in options if each.failure_domain != domain]
    capacities = _capacities(options)
    weights = _weights(options, capacities)
    used = _utilisation(own, capacities)
    others_used = _utilisation(others, capacities)
    demand = used / (1.0 - SHARING_DECAY * recent)
    shared = _shared(len(own), demand, others_used) if others else 0.0
    shares: list[tuple[EntryOption, float]] = []
    for entries, part in ((own, 1.0 - shared), (others, shared)):
        total = sum(weights[each.callers] for each in entries)
        if part > 0.0:
            shares += [(each, part * weights[each.callers] / total) for each in entries]
    groups: dict[str, list[tuple[str, float]]] = {}
    for (each, _), chance in zip(shares, _chances([part for _, part in shares]), strict=True):
        groups.setdefault(each.failure_domain, []).append((each.callers, chance))
    return AnswerPlan(tuple(groups.values()), shared, used, len(own))


def _capacities(options: Sequence[EntryOption]) -> dict[str, float]:
    """Return the capacity by address; unknown ones count as the median of the others."""
    known = [each.capacity for each in options if each.capacity > 0]
    usual = statistics.median(known) if known else 1.0
    return {each.callers: float(each.capacity if each.capacity > 0 else usual) for each in options}


def _weights(options: Sequence[EntryOption], capacities: dict[str, float]) -> dict[str, float]:
    """Return the weight by address: the capacity, corrected by load if that is known."""
    mean = _utilisation(options, capacities)
    weights = {}
    for each in options:
        capacity = capacities[each.callers]
        factor = 1.0
        if each.capacity > 0 and each.in_flight >= 0:
            factor = (mean + LOAD_OFFSET) / (each.in_flight / capacity + LOAD_OFFSET)
        bounded = min(MAX_LOAD_FACTOR, max(1.0 / MAX_LOAD_FACTOR, factor))
        weights[each.callers] = capacity * bounded
    return weights


def _utilisation(options: Sequence[EntryOption], capacities: dict[str, float]) -> float:
    """Return the share of the capacity in use, 0 if it is not known."""
    known = [each for each in options if each.capacity > 0 and each.in_flight >= 0]
    capacity = sum(capacities[each.callers] for each in known)
    return sum(each.in_flight for each in known) / capacity if known else 0.0


def _shared(own_entries: int, demand: float, others_used: float) -> float:
    """Return the part of the callers of a failure domain that get entries of others.

    Args:
        own_entries: Number of entries in the failure domain.
        demand: Requests in flight of all its callers, relative to the capacity of its entries.
        others_used: Share of the capacity of the other failure domains in use.
    """
    if not own_entries:
        return 1.0
    kept = max(SHARING_UTILISATION, others_used)
    by_load = min(MAX_SHARED, 1.0 - kept / demand) if demand > kept else 0.0
    return max(by_load, 1.0 - own_entries / MIN_ADDRESSES)


def _chances(shares: Sequence[float]) -> list[float]:
    """Return the chance of each entry to be listed, at most 1.

    Their sum is the size of an answer. It is the largest one that allows exact shares: a caller
    chooses among the listed ones alike, so an entry with a large share can't be listed more often
    than in every answer.
    """
    largest = max(shares, default=1.0)
    size = min(MAX_ADDRESSES, max(MIN_ADDRESSES, math.floor(1.0 / largest + ROUNDING)))
    if size >= len(shares):
        return [1.0] * len(shares)
    chances = [0.0] * len(shares)
    left = set(range(len(shares)))
    while left:
        total = sum(shares[each] for each in left)
        room = size - (len(shares) - len(left))
        for each in left:
            chances[each] = min(1.0, room * shares[each] / total)
        full = {each for each in left if chances[each] >= 1.0}
        if not full:
            break
        left -= full
    return chances
