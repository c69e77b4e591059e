"""Which entries a caller should use."""

import random
from collections import Counter
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, EndpointState, EntryNode, FleetOptions

MAX_VIEWS = 512
DRAWS = 4


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

    __slots__ = ("_before", "_domain_of", "_elsewhere", "_inside", "_rotations", "members")

    def __init__(self, domain_of: Mapping[str, str], before: Counter[str]) -> None:
        """Make a view.

        Args:
            domain_of: Failure domain of each entry that serves.
            before: Number of entries that are declared, by failure domain.
        """
        self.members = sorted(domain_of)
        self._domain_of = domain_of
        self._before = before
        self._inside: dict[str | None, list[str]] = {}
        self._elsewhere: dict[str | None, list[str]] = {}
        self._rotations: dict[tuple[str | None, bool], _Rotation] = {}

    @property
    def domains(self) -> Collection[str]:
        """The failure domains in which entries are declared."""
        return self._before.keys()

    def first(self, domain: str | None, rng: random.Random) -> str:
        """Return the first address: of the caller's domain, each entry in its turn.

        Guards against a domain that has lost most of its entries: the one that is left would take
        all its callers. Only the part of the callers stays that its live entries had before.
        """
        own = self._own(domain)
        stays = bool(own) and rng.random() * self._before[domain or ""] < len(own)
        stays = stays or len(own) == len(self.members)
        rotation = self._rotations.get((domain, stays))
        if rotation is None:
            rotation = _Rotation(own if stays else self._others(domain))
            self._rotations[domain, stays] = rotation
        return rotation.next(rng)

    def next(self, taken: list[str], domain: str | None, rng: random.Random) -> str:
        """Return a further address: the second of the caller's domain, the rest of others."""
        wanted = self._own(domain) if len(taken) == 1 else self._others(domain)
        for _ in range(DRAWS if wanted else 0):
            drawn = rng.choice(wanted)
            if drawn not in taken:
                return drawn
        left = [name for name in wanted if name not in taken]
        return rng.choice(left or [name for name in self.members if name not in taken])

    def _own(self, domain: str | None) -> list[str]:
        if domain not in self._inside:
            self._split(domain)
        return self._inside[domain]

    def _others(self, domain: str | None) -> list[str]:
        if domain not in self._elsewhere:
            self._split(domain)
        return self._elsewhere[domain]

    def _split(self, domain: str | None) -> None:
        domain_of = self._domain_of
        self._inside[domain] = [name for name in self.members if domain_of[name] == domain]
        self._elsewhere[domain] = [name for name in self.members if domain_of[name] != domain]


class EntryDirectory:
    """Answers callers that ask which entries to use.

    No balancer stands before the entries, so these answers alone spread the callers. First
    addresses are handed out in turn within the caller's failure domain; the second is of the same
    domain, the rest of others, so a caller survives the death of its entry and of its domain.
    """

    __slots__ = ("_away", "_clock", "_entries", "_fleet", "_longest_ttl", "_rng", "_views")

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, EntryNode] = {}
        self._fleet = FleetOptions()
        self._away: frozenset[str] = frozenset()
        self._longest_ttl = 0.0
        self._views: dict[frozenset[str], _View] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        if cfg.entries != self._entries:
            self._entries = dict(cfg.entries)
            self._views.clear()
        self._fleet = cfg.fleet
        self._longest_ttl = max(self._longest_ttl, cfg.fleet.answer_ttl)

    def set_away(self, names: Collection[str]) -> None:
        """Name the entries that are leaving or suspected; answers leave them out from now on."""
        away = frozenset(names)
        if away != self._away:
            self._away = away
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

    def kept_until(self, left_at: float) -> float:
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
        live = {name: domain for name, domain in staying.items() if name not in self._away}
        serving = live if live or preferred else staying
        return _View(serving, Counter(declared.values()))

    def _domains(self) -> Collection[str]:
        return self._view(frozenset()).domains

    def _size(self, serving: int) -> int:
        """Return how many to name: never all, but a spare wherever there are two."""
        return min(self._fleet.answer_size, max(serving - 1, 2), serving)
