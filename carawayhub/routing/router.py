"""Selects the endpoint for each attempt of a request."""

import random
from collections.abc import Collection

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.leaders import group_leaders
from carawayhub.config.model import Configuration, Endpoint
from carawayhub.errors import RequestError
from carawayhub.peers.messages import EndpointReport
from carawayhub.routing.candidate import Candidate
from carawayhub.routing.catalogue import Catalogue
from carawayhub.routing.pool import Pool, Tier
from carawayhub.routing.prefixes import max_blocks_per_endpoint
from carawayhub.routing.providers import ProviderShares
from carawayhub.routing.query import (
    Choice,
    EndpointRow,
    InFlight,
    Reason,
    RouteQuery,
    Target,
)

RETRY_SECONDS = 1.0
RETRY_JITTER = 0.5
SPILL_START = 0.6
SPILL_FULL = 0.9
MAX_UTILISATION = 2.0
UTILISATION_STEP = 0.1
AFFINITY_SLACK = 0.6
AFFINITY_FLOOR = 0.05


class Router:
    """Selects endpoints and tracks the requests that this entry has in flight.

    Not thread-safe.

    Example:
        >>> choice = router.choose(query)  # doctest: +SKIP
        >>> token = router.begin(choice.endpoint)  # doctest: +SKIP
        >>> router.finish(token)  # doctest: +SKIP
    """

    __slots__ = (
        "_candidates",
        "_catalogue",
        "_cfg",
        "_clock",
        "_domain",
        "_leaders",
        "_leaving",
        "_pools",
        "_pools_of",
        "_region",
        "_rng",
        "_shares",
    )

    def __init__(self, clock: Clock, rng: random.Random, failure_domain: str, region: str) -> None:
        self._clock = clock
        self._rng = rng
        self._domain = failure_domain
        self._region = region
        self._cfg: Configuration | None = None
        self._candidates: dict[str, Candidate] = {}
        self._catalogue: Catalogue | None = None
        self._leaders: dict[str, str] = {}
        self._leaving: frozenset[str] = frozenset()
        self._pools: dict[tuple[Target, tuple[str, ...]], Pool] = {}
        self._pools_of: dict[tuple[Target, str], Pool] = {}
        self._shares: dict[str, ProviderShares] = {}

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration, keeping the state of endpoints whose address is unchanged."""
        self._cfg = cfg
        now = self._clock.monotonic()
        self._candidates = {
            name: candidate
            for name, candidate in self._candidates.items()
            if _same_address(candidate, cfg.endpoints.get(name)) and not candidate.evictable(now)
        }
        for name, candidate in self._candidates.items():
            candidate.endpoint = cfg.endpoints[name]
        self._leaders = group_leaders(cfg)
        self._set_leaders()
        self._catalogue = Catalogue(cfg)
        self._pools = {}
        self._pools_of = {}
        self._shares = {model: self._provider_shares(cfg, model) for model in cfg.shares}

    def set_leaving(self, endpoints: Collection[str]) -> None:
        """Set the endpoints whose VM the platform lists as leaving or gone."""
        self._leaving = frozenset(endpoints)
        for name, candidate in self._candidates.items():
            candidate.leaving = name in self._leaving
        self._invalidate()

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Process a report from an agent.

        Args:
            report: The report.
            asked_at: Timestamp at which the heartbeat that it answers was sent.
        """
        candidate = self._candidates.get(report.endpoint) or self._add_candidate(report.endpoint)
        if candidate is None:
            return
        max_blocks = max_blocks_per_endpoint(len(self._candidates))
        if candidate.observe(report, asked_at, self._clock.monotonic(), max_blocks):
            self._invalidate()

    def mark_link_lost(self, endpoint: str) -> None:
        """Record that the link to the endpoint's agent was lost."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.mark_link_lost(self._clock.monotonic())
            self._invalidate()

    def permitted(self, endpoint: str) -> bool:
        """Return whether requests may be sent to the endpoint now."""
        candidate = self._candidates.get(endpoint)
        return candidate is not None and candidate.permitted(self._clock.monotonic())

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the endpoint is leaving as planned.

        It is also true for an endpoint without state here, such as one that is no longer declared.
        """
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return True
        return candidate.leaving_as_planned()

    def choose(self, query: RouteQuery, exclude: frozenset[str] = frozenset()) -> Choice:
        """Select the endpoint for the next attempt of a request.

        Args:
            query: The request.
            exclude: Endpoints used by earlier attempts of the request.

        Raises:
            RequestError: ``NOT_SERVED`` or ``NOT_ALLOWED`` if no endpoint is declared for it,
                ``NOT_READY`` before the first configuration, ``DEADLINE_PASSED``,
                ``NO_ENDPOINT`` if none is usable, ``GROUP_BROKEN`` if none is usable and a
                lock-step group cannot step, ``OVERLOADED`` if every usable endpoint is full for
                its priority.
        """
        now = self._clock.monotonic()
        if now >= query.deadline:
            raise RequestError(Code.DEADLINE_PASSED)
        pool = self._pool(query)
        pool.refresh(now, self._clock.wall())
        limit = MAX_UTILISATION - UTILISATION_STEP * query.priority
        shares = self._shares.get(query.target.name)
        providers = shares.order(pool.tiers) if shares is not None else list(pool.tiers)
        for provider in providers or list(pool.tiers):
            found = self._pick_by_prefix(pool.nearby[provider], query)
            if found is None or not _accepts(found[0], exclude, limit, now):
                found = self._pick_from_tiers(pool.tiers[provider], exclude, limit, now)
            if found is None:
                continue
            if shares is not None:
                shares.charge(provider, pool.tiers)
            candidate, reason = found
            return Choice(
                candidate.name, reason, candidate.blocks.count_leading(query.prefix_blocks)
            )
        raise self._rejection(pool, exclude)

    def load_of(self, target: Target) -> float | None:
        """Return the utilisation of a target's usable endpoints, None if unknown."""
        members = {
            candidate.name: candidate
            for (wanted, _), pool in self._pools.items()
            if wanted == target
            for tiers in pool.tiers.values()
            for tier in tiers
            for candidate in tier.members
        }.values()
        capacity = sum(candidate.capacity for candidate in members)
        if capacity == 0:
            return None
        return sum(candidate.load.known for candidate in members) / capacity

    def begin(self, endpoint: str, cost: float = 1.0) -> InFlight:
        """Record an attempt that is about to be sent; ``cost`` is 1.0 for an ordinary request."""
        now = self._clock.monotonic()
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.record_start(cost, now)
        return InFlight(endpoint, cost, now)

    def progress(self, token: InFlight) -> None:
        """Record that response bytes arrived; call it after each read."""
        candidate = self._candidates.get(token.endpoint)
        if candidate is None:
            return
        now = self._clock.monotonic()
        candidate.record_progress(now)
        if token.first_byte_at is None:
            token.first_byte_at = now
            candidate.record_first_byte(now - token.sent_at)

    def finish(self, token: InFlight, ok: bool = True) -> None:
        """Record the end of an attempt; repeated calls have no effect.

        Args:
            token: The value that ``begin`` returned.
            ok: Whether the endpoint succeeded. A caller that disconnects is not a failure.
        """
        if token.finished:
            return
        token.finished = True
        candidate = self._candidates.get(token.endpoint)
        if candidate is not None:
            candidate.record_end(token.cost, ok, self._clock.monotonic())

    def states(self, reported_only: bool = False) -> list[EndpointRow]:
        """Return status rows sorted by name.

        In a large fleet an entry receives reports from a small part of the endpoints, and building
        rows for all of them takes time.

        Args:
            reported_only: Include only endpoints that have sent a report, instead of all declared.
        """
        now, wall = self._clock.monotonic(), self._clock.wall()
        for pool in self._pools.values():
            pool.refresh(now, wall)
        declared = self._cfg.endpoints if self._cfg is not None else {}
        names = self._candidates if reported_only else declared
        return [self._row(declared[name], now, wall) for name in sorted(names)]

    def _row(self, endpoint: Endpoint, now: float, wall: float) -> EndpointRow:
        candidate = self._candidates.get(endpoint.name)
        return (candidate or Candidate(endpoint)).row(now, wall)

    def _add_candidate(self, name: str) -> Candidate | None:
        """Create the state of an endpoint that sent its first report."""
        endpoint = self._cfg.endpoints.get(name) if self._cfg is not None else None
        if endpoint is None:
            return None
        candidate = self._candidates[name] = Candidate(endpoint)
        candidate.leaving = name in self._leaving
        self._set_leaders()
        return candidate

    def _set_leaders(self) -> None:
        for name, candidate in self._candidates.items():
            candidate.leader = self._candidates.get(self._leaders.get(name, ""))

    def _provider_shares(self, cfg: Configuration, model: str) -> ProviderShares:
        wanted = {row.provider: row.share for row in cfg.shares[model]}
        known = self._shares.get(model)
        if known is not None and known.shares == wanted:
            return known
        return ProviderShares(wanted, self._rng)

    def _invalidate(self) -> None:
        for pool in self._pools.values():
            pool.invalidate()

    def _pool(self, query: RouteQuery) -> Pool:
        """Return the pool for a query.

        Organisations that are allowed the same groups share one pool.
        """
        pool = self._pools_of.get((query.target, query.organisation))
        if pool is not None:
            return pool
        if self._catalogue is None:
            raise RequestError(Code.NOT_READY, retry_after=self._retry_after())
        groups = self._catalogue.eligible(query)
        key = (query.target, tuple(groups))
        pool = self._pools.get(key)
        if pool is None:
            by_group = list(groups.values())
            pool = Pool(by_group, self._candidates, self._domain, self._region)
            self._pools[key] = pool
        self._pools_of[query.target, query.organisation] = pool
        return pool

    def _pick_from_tiers(
        self, tiers: list[Tier], exclude: frozenset[str], limit: float, now: float
    ) -> tuple[Candidate, Reason] | None:
        """Return an endpoint of one provider, trying the preferred tier first."""
        first = self._first_tier(tiers)
        for tier in tiers[first:] + tiers[:first]:
            found = self._pick(tier, exclude, limit, now)
            if found is not None:
                return found
        return None

    def _first_tier(self, tiers: list[Tier]) -> int:
        """Return the index of the tier to try first.

        The nearest tier is preferred. As its utilisation grows from ``SPILL_START`` to
        ``SPILL_FULL``, a growing fraction of requests spills over to the next tier. A threshold
        would move all traffic to the next tier at once, and back with the next report.
        """
        for index, tier in enumerate(tiers[:-1]):
            spill = (tier.utilisation - SPILL_START) / (SPILL_FULL - SPILL_START)
            if spill <= 0.0 or tiers[index + 1].utilisation >= tier.utilisation:
                return index
            if self._rng.random() >= spill:
                return index
        return len(tiers) - 1

    def _pick(
        self, tier: Tier, exclude: frozenset[str], limit: float, now: float
    ) -> tuple[Candidate, Reason] | None:
        drawn = [
            candidate
            for candidate in (tier.draw(self._rng), tier.draw(self._rng))
            if _accepts(candidate, exclude, limit, now)
        ]
        if drawn:
            return min(drawn, key=_utilisation), Reason.LOWER_LOAD
        rest = [c for c in tier.members if _accepts(c, exclude, limit, now)]
        if not rest:
            return None
        return min(rest, key=_utilisation), Reason.LAST_RESORT

    def _pick_by_prefix(self, tier: Tier, query: RouteQuery) -> tuple[Candidate, Reason] | None:
        """Return the endpoint that holds the prompt's prefix, None if its load is too high.

        If no endpoint holds the prefix, its home endpoint is used. The bound on the load grows
        with the fraction of the prompt that is cached.
        """
        blocks = query.prefix_blocks
        if not blocks:
            return None
        held = tier.holders(blocks)
        if held:
            longest = max(count for count, _ in held)
            chosen = min((c for count, c in held if count == longest), key=_utilisation)
            reason = Reason.CACHED_PREFIX
        else:
            longest = 0
            chosen = tier.home(blocks)
            reason = Reason.PREFIX_HOME
        part = max(longest, 1) / len(blocks)
        bound = tier.mean_load * (1.0 + AFFINITY_SLACK * part) + AFFINITY_FLOOR
        if chosen.load.value > bound * chosen.capacity * chosen.weight:
            return None
        return chosen, reason

    def _rejection(self, pool: Pool, exclude: frozenset[str]) -> RequestError:
        usable = [c for tiers in pool.tiers.values() for tier in tiers for c in tier.members]
        left = [c for c in usable if c.name not in exclude]
        if left:
            return RequestError(Code.OVERLOADED, retry_after=self._retry_after())
        code = Code.GROUP_BROKEN if not usable and pool.broken else Code.NO_ENDPOINT
        return RequestError(code, retry_after=self._retry_after())

    def _retry_after(self) -> float:
        return RETRY_SECONDS * (1.0 + self._rng.uniform(-RETRY_JITTER, RETRY_JITTER))


def _same_address(candidate: Candidate, endpoint: Endpoint | None) -> bool:
    if endpoint is None:
        return False
    known = candidate.endpoint
    return known.vm == endpoint.vm and known.url == endpoint.url


def _accepts(candidate: Candidate, exclude: frozenset[str], limit: float, now: float) -> bool:
    if candidate.name in exclude or not candidate.permitted(now):
        return False
    return candidate.load.known < limit * candidate.capacity


def _utilisation(candidate: Candidate) -> float:
    return (candidate.load.value + 1.0) / (candidate.capacity * candidate.weight)
