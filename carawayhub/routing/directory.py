"""Which entries a caller should use."""

import random
from collections.abc import Collection
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, EndpointState, EntryNode, FleetOptions

MAX_ROTATIONS = 256


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

    def __init__(self, members: frozenset[str]) -> None:
        self._members = members
        self._queue: list[str] = []

    def next(self, rng: random.Random) -> str:
        if not self._queue:
            self._queue = sorted(self._members)
            rng.shuffle(self._queue)
        return self._queue.pop()


class EntryDirectory:
    """Answers callers that ask which entries to use.

    No balancer stands before the entries, so these answers alone spread the callers. First
    addresses are handed out in turn within the caller's failure domain; the second is of the same
    domain, the rest of others, so a caller survives the death of its entry and of its domain.
    """

    __slots__ = (
        "_away",
        "_clock",
        "_entries",
        "_fleet",
        "_longest_ttl",
        "_rng",
        "_rotations",
    )

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._entries: dict[str, EntryNode] = {}
        self._fleet = FleetOptions()
        self._away: frozenset[str] = frozenset()
        self._longest_ttl = 0.0
        self._rotations: dict[frozenset[str], _Rotation] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        self._entries = dict(cfg.entries)
        self._fleet = cfg.fleet
        self._longest_ttl = max(self._longest_ttl, cfg.fleet.answer_ttl)

    def set_away(self, names: Collection[str]) -> None:
        """Name the entries that are leaving or suspected; answers leave them out from now on."""
        self._away = frozenset(names)

    def answer(
        self, caller_domain: str | None = None, preferred: Collection[str] = ()
    ) -> EntriesAnswer:
        """Return the entries for one caller.

        Args:
            caller_domain: The caller's failure domain, None where it is not known.
            preferred: Entries to choose from where enough of them serve, such as those that divide
                the limits of the caller's organisation; empty for all.
        """
        serving = self._serving()
        declared = frozenset(self._entries)
        chosen = {name: serving[name] for name in preferred if name in serving}
        if len(chosen) > self._fleet.answer_size:
            serving = chosen
            declared = declared.intersection(preferred)
        first = self._first(serving, declared, caller_domain)
        names = [first]
        while len(names) < self._size(len(serving)):
            names.append(self._next(serving, names, caller_domain))
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

    def _serving(self) -> dict[str, EntryNode]:
        """Return the entries to choose from; all that are declared where none seems live."""
        declared = {
            name: entry
            for name, entry in self._entries.items()
            if entry.state is not EndpointState.LEAVING
        }
        live = {name: entry for name, entry in declared.items() if name not in self._away}
        return live or declared

    def _size(self, serving: int) -> int:
        """Return how many to name: never all, but a spare wherever there are two."""
        return min(self._fleet.answer_size, max(serving - 1, 2), serving)

    def _first(
        self, serving: dict[str, EntryNode], declared: frozenset[str], domain: str | None
    ) -> str:
        """Return the first address: of the caller's domain, each entry in its turn.

        Guards against a domain that has lost most of its entries: the one that is left would take
        all its callers. Only the part of the callers stays that its live entries had before.
        """
        own = frozenset(n for n, entry in serving.items() if entry.failure_domain == domain)
        before = sum(self._entries[name].failure_domain == domain for name in declared)
        if own and self._rng.random() * before < len(own):
            return self._in_turn(own)
        return self._in_turn(frozenset(serving) - own or own)

    def _next(self, serving: dict[str, EntryNode], taken: list[str], domain: str | None) -> str:
        """Return a further address: the second of the caller's domain, the rest of others."""
        left = frozenset(serving) - frozenset(taken)
        own = frozenset(name for name in left if serving[name].failure_domain == domain)
        wanted = own if len(taken) == 1 else left - own
        return self._rng.choice(sorted(wanted or left))

    def _in_turn(self, members: frozenset[str]) -> str:
        rotation = self._rotations.get(members)
        if rotation is None:
            if len(self._rotations) >= MAX_ROTATIONS:
                self._rotations.clear()
            rotation = self._rotations[members] = _Rotation(members)
        return rotation.next(self._rng)
