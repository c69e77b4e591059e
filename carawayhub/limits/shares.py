"""Rates and concurrency of all organisations, divided over the entries without shared state."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, Limits
from carawayhub.limits.placement import Cells, Place
from carawayhub.limits.split import FRESH_TICKS, PeerPart, Split
from carawayhub.peers.messages import OrganisationDemand

RESERVE_SECONDS = 30.0
START_TICKS = 3


@dataclass(frozen=True, slots=True)
class Demand:
    """What one organisation's callers ask of this entry.

    Attributes:
        rate: Requests a second.
        slots: Requests in flight that they would have.
        running: Requests in flight.
    """

    rate: float
    slots: float
    running: int


@dataclass(frozen=True, slots=True)
class Allowance:
    """What this entry may admit for one organisation.

    Attributes:
        rate: Requests a second.
        depth: Requests that may come at once.
        slots: Requests in flight.
        single: Whether one request may run where ``slots`` is below one.
    """

    rate: float
    depth: float
    slots: int
    single: bool


class _Peer:
    """Another entry as it was last heard."""

    __slots__ = ("demand", "heard_at", "incarnation")

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.incarnation: int | None = None
        self.demand: Mapping[str, OrganisationDemand] = {}


class _Shared:
    """One organisation's two limits and this entry's place in their division."""

    __slots__ = ("limits", "place", "rate", "slots")

    def __init__(self, limits: Limits, place: Place) -> None:
        self.limits = limits
        self.place = place
        self.rate = Split(limits.rate * place.part)
        self.slots = Split(limits.concurrency * place.part)


class Shares:
    """This entry's parts of all organisations' limits.

    A new entry holds nothing until it has heard all its peers, or ``START_TICKS`` have passed;
    until then it admits single requests.

    Attributes:
        divided: Organisations whose limits this entry divides with others; its parts of all other
            limits stay as they are.
    """

    __slots__ = (
        "_cells",
        "_claimed",
        "_clock",
        "_interval",
        "_organisations",
        "_own",
        "_peers",
        "_ticks",
        "divided",
    )

    def __init__(self, clock: Clock, own: str) -> None:
        """Make the shares of one entry.

        Args:
            clock: Where the time comes from.
            own: Name of this entry.
        """
        self._clock = clock
        self._own = own
        self._interval = 0.5
        self._cells = Cells((own,))
        self._organisations: dict[str, _Shared] = {}
        self._peers: dict[str, _Peer] = {}
        self._ticks = 0
        self._claimed = False
        self.divided: tuple[str, ...] = ()

    def configure(self, cfg: Configuration, gone: Collection[str] = frozenset()) -> None:
        """Take limits and entries into force.

        Args:
            cfg: The configuration.
            gone: Entries whose VM the platform's list no longer has. Their parts are free at once;
                an entry that is only silent keeps its part reserved.
        """
        now = self._clock.monotonic()
        self._interval = cfg.fleet.report_interval
        entries = frozenset(cfg.entries) - frozenset(gone) | {self._own}
        moved = entries != self._cells.entries
        if moved:
            self._cells = Cells(entries)
        neighbours = self.neighbours()
        self._peers = {name: self._peers.get(name) or _Peer(now) for name in neighbours}
        self._organisations = {
            name: self._shared(name, organisation.limits, moved)
            for name, organisation in cfg.organisations.items()
        }
        self.divided = tuple(
            name for name, shared in self._organisations.items() if len(shared.place.members) > 1
        )

    @property
    def started(self) -> bool:
        """Whether this entry has claimed its parts; before, it admits single requests only.

        Having heard all others is not enough: the claims move with the next tick, and until then
        an entry that calls itself ready would refuse requests that are well within every limit.
        """
        return self._claimed

    def neighbours(self) -> frozenset[str]:
        """Return the other entries whose demand this one needs to hear, and that need its own."""
        return self._cells.neighbours(self._own)

    def entries_for(self, organisation: str) -> frozenset[str]:
        """Return the entries that an organisation's callers are best sent to."""
        shared = self._organisations.get(organisation)
        if shared is None:
            return frozenset()
        return self._cells.entries_for(organisation, shared.limits.rate)

    def hear(self, entry: str, incarnation: int, demand: Collection[OrganisationDemand]) -> None:
        """Take what another entry announced.

        A process that was replaced under the same name holds nothing of what the one before held;
        its own first announcement says so.
        """
        peer = self._peers.get(entry)
        if peer is None:
            return
        peer.heard_at = self._clock.monotonic()
        peer.incarnation = incarnation
        peer.demand = {row.organisation: row for row in demand}

    def tick(self, demand: Mapping[str, Demand]) -> tuple[OrganisationDemand, ...]:
        """Move all claims, once in each report interval, and return what to announce."""
        now = self._clock.monotonic()
        self._ticks += 1
        for name in self.divided:
            self._move(name, self._organisations[name], demand.get(name, _NO_DEMAND), now)
        self._claimed = self._claimed or self._started(self._peers)
        return tuple(self._row(name, demand.get(name, _NO_DEMAND)) for name in self.divided)

    def for_peer(
        self, peer: str, rows: tuple[OrganisationDemand, ...]
    ) -> tuple[OrganisationDemand, ...]:
        """Return the rows that concern a peer: all for one of the same cell, none for others."""
        return rows if peer in self._peers else ()

    def allowance(self, organisation: str) -> Allowance:
        """Return what this entry may admit for an organisation that is declared."""
        shared = self._organisations[organisation]
        rate = shared.rate.claimed
        slots = math.floor(shared.slots.claimed + 1e-9)
        single = self._single(organisation, shared)
        return Allowance(rate, _depth(shared.limits, rate), slots, single)

    def _shared(self, name: str, limits: Limits, moved: bool) -> _Shared:
        """Return the division of an organisation's limits, keeping claims that still fit."""
        known = self._organisations.get(name)
        if known is not None and known.limits == limits and not moved:
            return known
        place = self._cells.place(self._own, name, limits.rate)
        if known is not None and known.limits == limits and known.place == place:
            return known
        shared = _Shared(limits, place)
        if len(place.members) == 1:
            shared.rate.claimed = shared.rate.total
            shared.slots.claimed = shared.slots.total
        elif known is not None:
            shared.rate.claimed = min(known.rate.claimed, shared.rate.total)
            shared.slots.claimed = min(known.slots.claimed, shared.slots.total)
        return shared

    def _move(self, name: str, shared: _Shared, demand: Demand, now: float) -> None:
        peers = shared.place.members - {self._own}
        if not self._started(peers):
            shared.rate.announced = demand.rate
            shared.slots.announced = demand.slots
            return
        rates: dict[str, PeerPart] = {}
        slots: dict[str, PeerPart] = {}
        for peer_name in peers:
            peer = self._peers[peer_name]
            row = peer.demand.get(name)
            age = now - peer.heard_at
            fresh = peer.incarnation is not None and age < FRESH_TICKS * self._interval
            settled = age >= RESERVE_SECONDS
            rate, held = (row.rate, row.rate_claimed) if row is not None else (0.0, 0.0)
            rates[peer_name] = PeerPart(rate, held, fresh, settled)
            wanted, held = (row.slots, row.slots_claimed) if row is not None else (0.0, 0.0)
            slots[peer_name] = PeerPart(wanted, held, fresh, settled)
        shared.rate.tick(rates, demand.rate, 0.0)
        shared.slots.tick(slots, demand.slots, demand.running)

    def _started(self, peers: Collection[str]) -> bool:
        """Return whether claims may be made.

        Guards against a replaced entry that takes its part before the others have made room:
        until it knows what they hold, it holds nothing.
        """
        if self._ticks > START_TICKS:
            return True
        return all(self._peers[name].incarnation is not None for name in peers)

    def _row(self, name: str, demand: Demand) -> OrganisationDemand:
        shared = self._organisations[name]
        return OrganisationDemand(
            organisation=name,
            rate=demand.rate,
            running=demand.running,
            rate_claimed=shared.rate.claimed,
            slots=demand.slots,
            slots_claimed=shared.slots.claimed,
        )

    def _single(self, organisation: str, shared: _Shared) -> bool:
        """Return whether the last heard requests in flight leave room for one more.

        Where an organisation has fewer slots than there are entries, each part is below one; the
        counts of the others then decide.
        """
        running = 0
        for name in shared.place.members - {self._own}:
            row = self._peers[name].demand.get(organisation)
            running += row.running if row is not None else 0
        return running < max(1.0, shared.slots.total)


def _depth(limits: Limits, rate: float) -> float:
    if limits.rate <= 0.0:
        return 1.0
    return max(1.0, limits.burst * rate / limits.rate)


_NO_DEMAND = Demand(0.0, 0.0, 0)
