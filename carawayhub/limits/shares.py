"""Divides the rate and concurrency limits of organisations among entries without shared state."""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, Limits
from carawayhub.limits.placement import Cells, Placement
from carawayhub.limits.split import FRESH_TICKS, PeerShare, Split
from carawayhub.peers.messages import OrganisationDemand

RESERVE_SECONDS = 30.0
START_TICKS = 3


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of one organisation's callers at this entry.

    Attributes:
        rate: Requests per second.
        slots: Concurrent requests that the callers would use.
        running: Requests in flight.
    """

    rate: float
    slots: float
    running: int


@dataclass(frozen=True, slots=True)
class Allowance:
    """Limits within which this entry may admit requests of one organisation.

    Attributes:
        rate: Requests per second.
        depth: Burst size in requests.
        slots: Concurrent requests.
        single: Whether one request may run although ``slots`` is zero.
    """

    rate: float
    depth: float
    slots: int
    single: bool


class _Peer:
    """Latest announcement received from another entry."""

    __slots__ = ("demand", "heard_at", "incarnation")

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.incarnation: int | None = None
        self.demand: Mapping[str, OrganisationDemand] = {}


class _OrganisationSplit:
    """One organisation's two limits and this entry's placement in their division."""

    __slots__ = ("limits", "placement", "rate", "slots")

    def __init__(self, limits: Limits, placement: Placement) -> None:
        self.limits = limits
        self.placement = placement
        self.rate = Split(limits.rate * placement.part)
        self.slots = Split(limits.concurrency * placement.part)


class Shares:
    """This entry's shares of all organisations' limits.

    A new entry claims nothing until it has received an announcement from every peer, or until
    ``START_TICKS`` have passed; before that it admits single requests only.

    Attributes:
        divided: Organisations whose limits this entry divides with others; its shares of all other
            limits are constant.
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
        """Initialize the shares of one entry.

        Args:
            clock: Source of time.
            own: Name of this entry.
        """
        self._clock = clock
        self._own = own
        self._interval = 0.5
        self._cells = Cells((own,))
        self._organisations: dict[str, _OrganisationSplit] = {}
        self._peers: dict[str, _Peer] = {}
        self._ticks = 0
        self._claimed = False
        self.divided: tuple[str, ...] = ()

    def configure(self, cfg: Configuration, removed: Collection[str] = frozenset()) -> None:
        """Apply limits and entries.

        Args:
            cfg: The configuration.
            removed: Entries whose VM is no longer in the platform's VM list. Their shares become
                free immediately; an entry that is only silent keeps its share reserved.
        """
        now = self._clock.monotonic()
        self._interval = cfg.fleet.report_interval
        entries = frozenset(cfg.entries) - frozenset(removed) | {self._own}
        entries_changed = entries != self._cells.entries
        if entries_changed:
            self._cells = Cells(entries)
        neighbours = self.neighbours()
        self._peers = {name: self._peers.get(name) or _Peer(now) for name in neighbours}
        self._organisations = {
            name: self._organisation_split(name, organisation.limits, entries_changed)
            for name, organisation in cfg.organisations.items()
        }
        self.divided = tuple(
            name for name, split in self._organisations.items() if len(split.placement.members) > 1
        )

    @property
    def started(self) -> bool:
        """Whether this entry has claimed its shares; before that it admits single requests only.

        Announcements from all others are not sufficient: claims change at the next tick, and until
        then an entry that reports itself ready would reject requests well within every limit.
        """
        return self._claimed

    def neighbours(self) -> frozenset[str]:
        """Return the other entries with which this one has to exchange demand."""
        return self._cells.neighbours(self._own)

    def entries_for(self, organisation: str) -> frozenset[str]:
        """Return the preferred entries for an organisation's callers."""
        split = self._organisations.get(organisation)
        if split is None:
            return frozenset()
        return self._cells.entries_for(organisation, split.limits.rate)

    def update_demand(
        self, entry: str, incarnation: int, demand: Collection[OrganisationDemand]
    ) -> None:
        """Update the demand and claims that another entry announced.

        A process that replaces another under the same name does not inherit its claims; its first
        announcement reports its own.
        """
        peer = self._peers.get(entry)
        if peer is None:
            return
        peer.heard_at = self._clock.monotonic()
        peer.incarnation = incarnation
        peer.demand = {row.organisation: row for row in demand}

    def tick(self, demand: Mapping[str, Demand]) -> tuple[OrganisationDemand, ...]:
        """Update all claims, once per report interval, and return the rows to announce."""
        now = self._clock.monotonic()
        self._ticks += 1
        for name in self.divided:
            self._update_claims(name, self._organisations[name], demand.get(name, _NO_DEMAND), now)
        self._claimed = self._claimed or self._started(self._peers)
        return tuple(self._row(name, demand.get(name, _NO_DEMAND)) for name in self.divided)

    def for_peer(
        self, peer: str, rows: tuple[OrganisationDemand, ...]
    ) -> tuple[OrganisationDemand, ...]:
        """Return the rows relevant to a peer: all if it is in the same cell, otherwise none."""
        return rows if peer in self._peers else ()

    def allowance(self, organisation: str) -> Allowance:
        """Return the limits of this entry for a configured organisation."""
        split = self._organisations[organisation]
        rate = split.rate.claimed
        slots = math.floor(split.slots.claimed + 1e-9)
        single = self._may_run_single(organisation, split)
        return Allowance(rate, _bucket_depth(split.limits, rate), slots, single)

    def _organisation_split(
        self, name: str, limits: Limits, entries_changed: bool
    ) -> _OrganisationSplit:
        """Return the split of an organisation's limits, keeping claims within the new limits."""
        known = self._organisations.get(name)
        if known is not None and known.limits == limits and not entries_changed:
            return known
        placement = self._cells.placement(self._own, name, limits.rate)
        if known is not None and known.limits == limits and known.placement == placement:
            return known
        split = _OrganisationSplit(limits, placement)
        if len(placement.members) == 1:
            split.rate.claimed = split.rate.total
            split.slots.claimed = split.slots.total
        elif known is not None:
            split.rate.claimed = min(known.rate.claimed, split.rate.total)
            split.slots.claimed = min(known.slots.claimed, split.slots.total)
        return split

    def _update_claims(
        self, name: str, split: _OrganisationSplit, demand: Demand, now: float
    ) -> None:
        peers = split.placement.members - {self._own}
        if not self._started(peers):
            split.rate.announced = demand.rate
            split.slots.announced = demand.slots
            return
        rates: dict[str, PeerShare] = {}
        slots: dict[str, PeerShare] = {}
        for peer_name in peers:
            peer = self._peers[peer_name]
            row = peer.demand.get(name)
            age = now - peer.heard_at
            fresh = peer.incarnation is not None and age < FRESH_TICKS * self._interval
            settled = age >= RESERVE_SECONDS
            rate, held = (row.rate, row.rate_claimed) if row is not None else (0.0, 0.0)
            rates[peer_name] = PeerShare(rate, held, fresh, settled)
            wanted, held = (row.slots, row.slots_claimed) if row is not None else (0.0, 0.0)
            slots[peer_name] = PeerShare(wanted, held, fresh, settled)
        split.rate.tick(rates, demand.rate, 0.0)
        split.slots.tick(slots, demand.slots, demand.running)

    def _started(self, peers: Collection[str]) -> bool:
        """Return whether claims may be made.

        Prevents a replacement entry from claiming its share before the others have reduced theirs:
        until it knows their claims, it claims nothing.
        """
        if self._ticks > START_TICKS:
            return True
        return all(self._peers[name].incarnation is not None for name in peers)

    def _row(self, name: str, demand: Demand) -> OrganisationDemand:
        split = self._organisations[name]
        return OrganisationDemand(
            organisation=name,
            rate=demand.rate,
            running=demand.running,
            rate_claimed=split.rate.claimed,
            slots=demand.slots,
            slots_claimed=split.slots.claimed,
        )

    def _may_run_single(self, organisation: str, split: _OrganisationSplit) -> bool:
        """Return whether the announced requests in flight leave a slot for one more.

        If an organisation has fewer slots than there are entries, each share is below one; the
        counts announced by the other entries then decide.
        """
        running = 0
        for name in split.placement.members - {self._own}:
            row = self._peers[name].demand.get(organisation)
            running += row.running if row is not None else 0
        return running < max(1.0, split.slots.total)


def _bucket_depth(limits: Limits, rate: float) -> float:
    if limits.rate <= 0.0:
        return 1.0
    return max(1.0, limits.burst * rate / limits.rate)


_NO_DEMAND = Demand(0.0, 0.0, 0)
