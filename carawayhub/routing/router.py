"""Choice of the endpoint for each attempt of a request."""

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
from carawayhub.routing.prefixes import blocks_room
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
SPILL_FROM = 0.6
SPILL_FULL = 0.9
CEILING = 2.0
CEILING_STEP = 0.1
AFFINITY_SLACK = 0.6
AFFINITY_FLOOR = 0.05


class Router:
    """Chooses endpoints and keeps this entry's own account of what runs where.

    Not safe for use from several threads.

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
        """Take a configuration into force; what is known of endpoints that stay is kept."""
        self._cfg = cfg
        now = self._clock.monotonic()
        self._candidates = {
            name: candidate
            for name, candidate in self._candidates.items()
            if _same_place(candidate, cfg.endpoints.get(name)) and not candidate.forgettable(now)
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
        """Name all endpoints whose VM the platform's list says is leaving or gone."""
        self._leaving = frozenset(endpoints)
        for name, candidate in self._candidates.items():
            candidate.leaving = name in self._leaving
        self._invalidate()

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Take an agent's report.

        Args:
            report: The report.
            asked_at: Reading of the clock when the heartbeat that it answers was sent.
        """
        candidate = self._candidates.get(report.endpoint) or self._meet(report.endpoint)
        if candidate is None:
            return
        room = blocks_room(len(self._candidates))
        if candidate.observe(report, asked_at, self._clock.monotonic(), room):
            self._invalidate()

    def lost(self, endpoint: str) -> None:
        """Note that the link to the endpoint's agent is gone."""
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.lost(self._clock.monotonic())
            self._invalidate()

    def permitted(self, endpoint: str) -> bool:
        """Return whether work may be sent to the endpoint at this moment."""
        candidate = self._candidates.get(endpoint)
        return candidate is not None and candidate.permitted(self._clock.monotonic())

    def is_leaving(self, endpoint: str) -> bool:
        """Return whether the endpoint is known to leave as planned, or is no longer declared."""
        candidate = self._candidates.get(endpoint)
        if candidate is None:
            return True
        return candidate.leaves()

    def choose(self, query: RouteQuery, exclude: frozenset[str] = frozenset()) -> Choice:
        """Return the endpoint for the next attempt of a request.

        Args:
            query: The request.
            exclude: Endpoints that earlier attempts of it have used.

        Raises:
            RequestError: ``NOT_SERVED`` or ``NOT_ALLOWED`` where nothing is declared for it,
                ``DEADLINE_PASSED``, ``NO_ENDPOINT`` where none is usable, ``GROUP_BROKEN`` where
                that is so because a lock-step group cannot step, ``OVERLOADED`` where all usable
                ones are full for its priority.
        """
        now = self._clock.monotonic()
        if now >= query.deadline:
            raise RequestError(Code.DEADLINE_PASSED)
        pool = self._pool(query)
        pool.refresh(now, self._clock.wall())
        limit = CEILING - CEILING_STEP * query.priority
        shares = self._shares.get(query.target.name)
        providers = shares.order(pool.tiers) if shares is not None else list(pool.tiers)
        for provider in providers or list(pool.tiers):
            found = self._holder(pool.nearby[provider], query)
            if found is None or not _open(found[0], exclude, limit, now):
                found = self._search(pool.tiers[provider], exclude, limit, now)
            if found is None:
                continue
            if shares is not None:
                shares.charge(provider, pool.tiers)
            candidate, reason = found
            return Choice(candidate.name, reason, candidate.blocks.leading(query.prefix_blocks))
        raise self._refusal(pool, exclude)

    def load_of(self, target: Target) -> float | None:
        """Return the load of a target's usable endpoints over their capacity, None for unknown."""
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
        """Count an attempt that is about to be sent; ``cost`` is 1.0 for an ordinary request."""
        now = self._clock.monotonic()
        candidate = self._candidates.get(endpoint)
        if candidate is not None:
            candidate.begun(cost, now)
        return InFlight(endpoint, cost, now)

    def progress(self, token: InFlight) -> None:
        """Note that bytes of the answer arrived; to be called for each read."""
        candidate = self._candidates.get(token.endpoint)
        if candidate is None:
            return
        now = self._clock.monotonic()
        candidate.progressed(now)
        if token.first_byte_at is None:
            token.first_byte_at = now
            candidate.first_byte(now - token.began)

    def finish(self, token: InFlight, ok: bool = True) -> None:
        """Count the end of an attempt; repeated calls do nothing.

        Args:
            token: What ``begin`` gave.
            ok: Whether the endpoint did its part. A caller that went away is no failure.
        """
        if token.finished:
            return
        token.finished = True
        candidate = self._candidates.get(token.endpoint)
        if candidate is not None:
            candidate.ended(token.cost, ok, self._clock.monotonic())

    def states(self, heard_only: bool = False) -> list[EndpointRow]:
        """Return rows by name, of all declared endpoints or only of those that were heard.

        In a large fleet an entry hears a small part of the endpoints, and rows for all take time.
        """
        now, wall = self._clock.monotonic(), self._clock.wall()
        for pool in self._pools.values():
            pool.refresh(now, wall)
        declared = self._cfg.endpoints if self._cfg is not None else {}
        names = self._candidates if heard_only else declared
        return [self._row(declared[name], now, wall) for name in sorted(names)]

    def _row(self, endpoint: Endpoint, now: float, wall: float) -> EndpointRow:
        candidate = self._candidates.get(endpoint.name)
        return (candidate or Candidate(endpoint)).row(now, wall)

    def _meet(self, name: str) -> Candidate | None:
        """Begin to keep account of an endpoint that is heard for the first time."""
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
        """Return the pool for a query; organisations that may use the same groups share one."""
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

    def _search(
        self, tiers: list[Tier], exclude: frozenset[str], limit: float, now: float
    ) -> tuple[Candidate, Reason] | None:
        """Return an endpoint of one provider, from the nearest tier that has room."""
        first = self._first_tier(tiers)
        for tier in tiers[first:] + tiers[:first]:
            found = self._pick(tier, exclude, limit, now)
            if found is not None:
                return found
        return None

    def _first_tier(self, tiers: list[Tier]) -> int:
        """Return the tier to try first: the nearest, or the next in proportion to its load.

        The part that spills grows smoothly from ``SPILL_FROM`` to ``SPILL_FULL``. A threshold
        would send everything across at once, and back again with the next report.
        """
        for index, tier in enumerate(tiers[:-1]):
            spill = (tier.fullness - SPILL_FROM) / (SPILL_FULL - SPILL_FROM)
            if spill <= 0.0 or tiers[index + 1].fullness >= tier.fullness:
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
            if _open(candidate, exclude, limit, now)
        ]
        if drawn:
            return min(drawn, key=_fullness), Reason.LOWER_LOAD
        rest = [c for c in tier.members if _open(c, exclude, limit, now)]
        if not rest:
            return None
        return min(rest, key=_fullness), Reason.LAST_RESORT

    def _holder(self, tier: Tier, query: RouteQuery) -> tuple[Candidate, Reason] | None:
        """Return the endpoint that holds the prompt's prefix, unless it is too loaded.

        The bound on its load grows with the part of the prompt that it holds.
        """
        blocks = query.prefix_blocks
        if not blocks:
            return None
        held = tier.holders(blocks)
        if held:
            longest = max(count for count, _ in held)
            chosen = min((c for count, c in held if count == longest), key=_fullness)
            reason = Reason.CACHED_PREFIX
        else:
            longest = 0
            chosen = tier.home(blocks)
            reason = Reason.PREFIX_HOME
        part = max(longest, 1) / len(blocks)
        bound = tier.mean * (1.0 + AFFINITY_SLACK * part) + AFFINITY_FLOOR
        if chosen.load.value > bound * chosen.capacity * chosen.weight:
            return None
        return chosen, reason

    def _refusal(self, pool: Pool, exclude: frozenset[str]) -> RequestError:
        usable = [c for tiers in pool.tiers.values() for tier in tiers for c in tier.members]
        left = [c for c in usable if c.name not in exclude]
        if left:
            return RequestError(Code.OVERLOADED, retry_after=self._retry_after())
        code = Code.GROUP_BROKEN if not usable and pool.broken else Code.NO_ENDPOINT
        return RequestError(code, retry_after=self._retry_after())

    def _retry_after(self) -> float:
        return RETRY_SECONDS * (1.0 + self._rng.uniform(-RETRY_JITTER, RETRY_JITTER))


def _same_place(candidate: Candidate, endpoint: Endpoint | None) -> bool:
    if endpoint is None:
        return False
    known = candidate.endpoint
    return known.vm == endpoint.vm and known.url == endpoint.url


def _open(candidate: Candidate, exclude: frozenset[str], limit: float, now: float) -> bool:
    if candidate.name in exclude or not candidate.permitted(now):
        return False
    return candidate.load.known < limit * candidate.capacity


def _fullness(candidate: Candidate) -> float:
    return (candidate.load.value + 1.0) / (candidate.capacity * candidate.weight)
