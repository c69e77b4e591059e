"""Selects the entries that each caller should use."""

import random
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, EndpointState, EntryNode, FleetOptions

MAX_VIEWS = 512
MAX_DRAWS = 4


@dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """The entries for one caller.

    Attributes:
        addresses: ``ip:port`` of each entry, in the order to try them.
        keep_until: Wall clock time until which the answer may be cached.
        ttl: Seconds for which the answer may be cached.
    """

    addresses: tuple[str, ...]
    keep_until: float
    ttl: float


class _Rotation:
    """Returns members round-robin, shuffled in each pass, so all are returned equally often."""

    __slots__ = ("_members", "_queue")

    def __init__(self, members: list[str]) -> None:
        self._members = members
        self._queue: list[str] = []

    def next(self, rng: random.Random) -> str:
        if not self._queue:
            self._queue = list(self._members)
            rng.shuffle(self._queue)
        return self._queue.pop()


class _View:
    """Serving entries by failure domain, cached until the set of entries changes.

    Attributes:
        members: Names of the serving entries.
    """

    __slots__ = (
        "_declared_counts",
        "_domain_of",
        "_in_other_domains",
        "_in_domain",
        "_rotations",
        "members",
    )

    def __init__(self, domain_of: Mapping[str, str], declared_counts: Counter[str]) -> None:
        """Create a view.

        Args:
            domain_of: Failure domain of each serving entry.
            declared_counts: Number of declared entries by failure domain.
        """
        self.members = sorted(domain_of)
        self._domain_of = domain_of
        self._declared_counts = declared_counts
        self._in_domain: dict[str | None, list[str]] = {}
        self._in_other_domains: dict[str | None, list[str]] = {}
        self._rotations: dict[tuple[str | None, bool], _Rotation] = {}

    @property
    def domains(self) -> Collection[str]:
        """Failure domains with declared entries."""
        return self._declared_counts.keys()

    def first(self, domain: str | None, rng: random.Random) -> str:
        """Return the entry to try first, round-robin within the caller's failure domain.

        If a domain lost most of its entries, the remaining one would be overloaded by all its
        callers. So only the fraction of callers that its live entries served before stays in the
        domain, and the others go to other domains.
        """
        own = self._own(domain)
        stay_in_domain = bool(own) and rng.random() * self._declared_counts[domain or ""] < len(own)
        stay_in_domain = stay_in_domain or len(own) == len(self.members)
        rotation = self._rotations.get((domain, stay_in_domain))
        if rotation is None:
            rotation = _Rotation(own if stay_in_domain else self._others(domain))
            self._rotations[domain, stay_in_domain] = rotation
        return rotation.next(rng)

    def next(self, chosen_names: list[str], domain: str | None, rng: random.Random) -> str:
        """Return a further entry: the second from the caller's domain, the rest from others."""
        wanted = self._own(domain) if len(chosen_names) == 1 else self._others(domain)
        for _ in range(MAX_DRAWS if wanted else 0):
            drawn = rng.choice(wanted)
            if drawn not in chosen_names:
                return drawn
        left = [name for name in wanted if name not in chosen_names]
        return rng.choice(left or [name for name in self.members if name not in chosen_names])

    def _own(self, domain: str | None) -> list[str]:
        if domain not in self._in_domain:
            self._split(domain)
        return self._in_domain[domain]

    def _others(self, domain: str | None) -> list[str]:
        if domain not in self._in_other_domains:
            self._split(domain)
        return self._in_other_domains[domain]

    def _split(self, domain: str | None) -> None:
        domain_of = self._domain_of
        self._in_domain[domain] = [name for name in self.members if domain_of[name] == domain]
        self._in_other_domains[domain] = [
            name for name in self.members if domain_of[name] != domain
        ]


class EntryDirectory:
    """Tells callers which entries to use.

    The entries have no load balancer in front of them, so these answers alone distribute the
    callers. First addresses are assigned round-robin within the caller's failure domain. The second
    is from the same domain and the rest are from others, so a caller can fail over if its entry or
    its domain fails.
    """

    __slots__ = ("_excluded", "_clock", "_entries", "_fleet", "_longest_ttl", "_rng", "_views")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, EntryNode] = {}
        self._fleet = FleetOptions()
        self._excluded: frozenset[str] = frozenset()
        self._longest_ttl = 0.0
        self._views: dict[frozenset[str], _View] = {}

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration."""
        if cfg.entries != self._entries:
            self._entries = dict(cfg.entries)
            self._views.clear()
        self._fleet = cfg.fleet
        self._longest_ttl = max(self._longest_ttl, cfg.fleet.answer_ttl)

    def set_excluded(self, names: Collection[str]) -> None:
        """Set the entries to exclude from answers because they are leaving or suspected."""
        excluded = frozenset(names)
        if excluded != self._excluded:
            self._excluded = excluded
            self._views.clear()

    def answer(
        self, caller_domain: str | None = None, preferred: frozenset[str] = frozenset()
    ) -> EntriesAnswer:
        """Return the entries for one caller.

        Args:
            caller_domain: The caller's failure domain, None if unknown.
            preferred: Entries to select from if enough of them are serving, such as those that
                share the limits of the caller's organisation; empty for all.
        """
        domain = caller_domain if caller_domain in self._domains() else None
        view = self._view(preferred)
        if preferred and len(view.members) <= self._fleet.answer_size:
            view = self._view(frozenset())
        names = [view.first(domain, self._rng)] if view.members else []
        while len(names) < self._size(len(view.members)):
            names.append(view.next(names, domain, self._rng))
        addresses = tuple(self._entries[name].address for name in names)
        ttl = self._fleet.answer_ttl
        return EntriesAnswer(addresses, self._clock.wall() + ttl, ttl)

    def answers_expire_at(self, left_at: float) -> float:
        """Return when the last cached answer that includes a leaving entry expires.

        Other entries may include it until they learn that it is leaving or suspect it, at most one
        heartbeat timeout. Callers may cache such an answer for the longest TTL configured so far.

        Args:
            left_at: Timestamp at which the entry announced to its peers that it is leaving.
        """
        return left_at + self._fleet.heartbeat_timeout + self._longest_ttl

    def _view(self, preferred: frozenset[str]) -> _View:
        view = self._views.get(preferred)
        if view is None:
            if len(self._views) >= MAX_VIEWS:
                self._views.clear()
            view = self._views[preferred] = self._make_view(preferred)
        return view

    def _make_view(self, preferred: frozenset[str]) -> _View:
        """Return the view of the live entries.

        If no entry is live and none is preferred, it contains all entries that are not leaving.
        """
        declared = {
            name: entry.failure_domain
            for name, entry in self._entries.items()
            if not preferred or name in preferred
        }
        staying = {
            name: domain
            for name, domain in declared.items()
            if self._entries[name].state is not EndpointState.LEAVING
        }
        live = {name: domain for name, domain in staying.items() if name not in self._excluded}
        serving = live if live or preferred else staying
        return _View(serving, Counter(declared.values()))

    def _domains(self) -> Collection[str]:
        return self._view(frozenset()).domains

    def _size(self, serving: int) -> int:
        """Return the number of addresses in an answer.

        One or two serving entries are all included, so that there is a spare if possible. Of more,
        at least one is left out.
        """
        return min(self._fleet.answer_size, max(serving - 1, 2), serving)
