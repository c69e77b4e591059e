"""Which entries a caller should use."""

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
        addresses: ``ip:port`` of each, to be tried in this order.
        keep_until: Wall time until which the answer may be kept.
        ttl: The same in seconds from now.
    """

    addresses: tuple[str, ...]
    keep_until: float
    ttl: float


class _Rotation:
    """Hands out members in turn, each pass in a new random order, so that all get equally many."""

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
    """The entries that serve, by failure domain, as long as nothing changes.

    Attributes:
        members: All of them.
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
        """Make a view.

        Args:
            domain_of: Failure domain of each entry that serves.
            before: Number of entries that are declared, by failure domain.
        """
        self.members = sorted(domain_of)
        self._domain_of = domain_of
        self._declared_counts = declared_counts
        self._in_domain: dict[str | None, list[str]] = {}
        self._in_other_domains: dict[str | None, list[str]] = {}
        self._rotations: dict[tuple[str | None, bool], _Rotation] = {}

    @property
    def domains(self) -> Collection[str]:
        """The failure domains in which entries are declared."""
        return self._declared_counts.keys()

    def first(self, domain: str | None, rng: random.Random) -> str:
        """Return the first address: of the caller's domain, each entry in its turn.

        Guards against a domain that has lost most of its entries: the one that is left would take
        all its callers. Only the part of the callers stays that its live entries had before.
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
        """Return a further address: the second of the caller's domain, the rest of others."""
        wanted = self._own(domain) if len(chosen_names) == 1 else self._others(domain)
        for _ in range(MAX_DRAWS if wanted else 0):
            drawn = rng.choice(wanted)
            if drawn not in chosen_names:
                return drawn
        remaining = [name for name in wanted if name not in chosen_names]
        return rng.choice(remaining or [name for name in self.members if name not in chosen_names])

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
    """Answers callers that ask which entries to use.

    No balancer stands before the entries, so these answers alone spread the callers. First
    addresses are handed out in turn within the caller's failure domain; the second is of the same
    domain, the rest of others, so a caller survives the death of its entry and of its domain.
    """

    __slots__ = ("_unavailable", "_clock", "_entries", "_fleet", "_longest_ttl", "_rng", "_views")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, EntryNode] = {}
        self._fleet = FleetOptions()
        self._unavailable: frozenset[str] = frozenset()
        self._longest_ttl = 0.0
        self._views: dict[frozenset[str], _View] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        if cfg.entries != self._entries:
            self._entries = dict(cfg.entries)
            self._views.clear()
        self._fleet = cfg.fleet
        self._longest_ttl = max(self._longest_ttl, cfg.fleet.answer_ttl)

    def set_unavailable(self, names: Collection[str]) -> None:
        """Name the entries that are leaving or suspected; answers leave them out from now on."""
        unavailable = frozenset(names)
        if unavailable != self._unavailable:
            self._unavailable = unavailable
            self._views.clear()

    def answer(
        self, caller_domain: str | None = None, preferred: frozenset[str] = frozenset()
    ) -> EntriesAnswer:
        """Return the entries for one caller.

        Args:
            caller_domain: The caller's failure domain, None where it is not known.
            preferred: Entries to choose from where enough of them serve, such as those that divide
                the limits of the caller's organisation; empty for all.
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
        """Return when the last kept answer that names a leaving entry has passed.

        Other entries may go on naming it until they hear that it is leaving, or suspect it: one
        heartbeat timeout. Callers keep such an answer for the longest time that was in force.

        Args:
            left_at: Reading of the clock when the entry told its peers that it is leaving.
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
        """Return the entries to choose from; without a preference all where none seems live."""
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
        live = {name: domain for name, domain in staying.items() if name not in self._unavailable}
        serving = live if live or preferred else staying
        return _View(serving, Counter(declared.values()))

    def _domains(self) -> Collection[str]:
        return self._view(frozenset()).domains

    def _size(self, serving: int) -> int:
        """Return how many to name: never all, but a spare wherever there are two."""
        return min(self._fleet.answer_size, max(serving - 1, 2), serving)
