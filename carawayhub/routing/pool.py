"""Endpoints that may serve one target, grouped into tiers for fast weighted selection."""

import random
from bisect import bisect
from collections.abc import Mapping, Sequence
from itertools import accumulate
from statistics import median

from carawayhub.routing.candidate import MIN_FACTOR, Candidate
from carawayhub.routing.prefixes import home_key, rendezvous_rank

REFRESH_SECONDS = 0.2
MAX_CACHED_HOMES = 1024
MAX_SPEED = 2.0
SLOW_TTFB_RATIO = 2.0


class Tier:
    """Usable endpoints of one provider at the same distance, with their weights.

    Attributes:
        members: The endpoints.
        mean_load: Estimated load per unit of weighted capacity.
        utilisation: Known load per unit of weighted capacity.
    """

    __slots__ = ("_cumulative", "_homes", "utilisation", "mean_load", "members")

    def __init__(self, members: list[Candidate]) -> None:
        self.members = members
        weighted_capacity = [candidate.capacity * candidate.weight for candidate in members]
        self._cumulative = list(accumulate(weighted_capacity))
        load = sum(candidate.load.value for candidate in members)
        known = sum(candidate.load.known for candidate in members)
        self.mean_load = load / self._cumulative[-1]
        self.utilisation = known / self._cumulative[-1]
        self._homes: dict[int, Candidate] = {}

    def draw(self, rng: random.Random) -> Candidate:
        """Return a random member, in proportion to its weighted capacity."""
        point = rng.random() * self._cumulative[-1]
        return self.members[min(bisect(self._cumulative, point), len(self.members) - 1)]

    def holders(self, blocks: Sequence[int]) -> list[tuple[int, Candidate]]:
        """Return the members that hold the first block, each with its count of leading blocks."""
        first = blocks[0]
        return [(c.blocks.count_leading(blocks), c) for c in self.members if first in c.blocks]

    def home(self, blocks: Sequence[int]) -> Candidate:
        """Return the home of a prefix; all entries choose the same by rendezvous hashing."""
        key = home_key(blocks)
        found = self._homes.get(key)
        if found is None:
            if len(self._homes) >= MAX_CACHED_HOMES:
                self._homes.clear()
            found = max(self.members, key=lambda c: rendezvous_rank(c.name, key))
            self._homes[key] = found
        return found


class Pool:
    """Endpoints that may serve one target for the organisations allowed the same groups.

    Attributes:
        tiers: Tiers of each provider that has a usable endpoint, nearest first.
        nearby: For each such provider, its usable endpoints in this entry's region as one tier, or
            in other regions if there are none.
    """

    __slots__ = (
        "_domain",
        "_groups",
        "_candidate_groups",
        "_known_candidates",
        "_refreshed_at",
        "_region",
        "nearby",
        "tiers",
    )

    def __init__(
        self,
        groups: Sequence[Sequence[str]],
        known_candidates: Mapping[str, Candidate],
        failure_domain: str,
        region: str,
    ) -> None:
        """Create a pool.

        Args:
            groups: Endpoint names by lock-step group; each endpoint of a plain service is its own
                group.
            known_candidates: Endpoints that have sent a report; read again after ``invalidate``.
            failure_domain: Failure domain of this entry.
            region: Region of this entry.
        """
        self._groups = groups
        self._known_candidates = known_candidates
        self._domain = failure_domain
        self._region = region
        self._candidate_groups: list[list[Candidate]] | None = None
        self._refreshed_at: float | None = None
        self.tiers: Mapping[str, list[Tier]] = {}
        self.nearby: Mapping[str, Tier] = {}

    @property
    def broken(self) -> bool:
        """Whether a lock-step group in the pool is known to be unable to step."""
        return any(
            candidate.group_failed for group in self._candidate_groups or () for candidate in group
        )

    def invalidate(self) -> None:
        """Make the next refresh recompute everything."""
        self._refreshed_at = None
        self._candidate_groups = None

    def refresh(self, now: float, wall: float) -> None:
        """Recompute weights and tiers if they are older than ``REFRESH_SECONDS``.

        Loads change with each request and are read at each selection. Only weights, tiers and
        their mean load and utilisation are cached.
        """
        if self._refreshed_at is not None and now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        if self._candidate_groups is None:
            known_candidates = self._known_candidates
            groups = (
                [known_candidates[name] for name in group if name in known_candidates]
                for group in self._groups
            )
            self._candidate_groups = [group for group in groups if group]
        self._set_weights(self._candidate_groups, now, wall)
        self._build_tiers(self._candidate_groups, now)

    def _set_weights(self, groups: list[list[Candidate]], now: float, wall: float) -> None:
        """Set each weight from ramp, failures and the speed of its lock-step group.

        All ranks of a group wait for the straggler, so its other endpoints are no faster even if
        their own reports say so. A group's speed is that of its slowest endpoint, relative to the
        median of the groups.
        """
        steps = [max(c.step_seconds for c in group) for group in groups]
        median_step = median([step for step in steps if step > 0.0] or [0.0])
        ttfbs = [c.ttfb_seconds for group in groups for c in group if c.ttfb_seconds > 0.0]
        median_ttfb = median(ttfbs or [0.0])
        for group, step in zip(groups, steps, strict=True):
            speed = min(MAX_SPEED, median_step / step) if step > 0.0 else 1.0
            if any(candidate.stalled(now) for candidate in group):
                speed = MIN_FACTOR
            for candidate in group:
                factor = speed * candidate.ramp(now, wall)
                if step <= 0.0 and candidate.ttfb_seconds > SLOW_TTFB_RATIO * median_ttfb:
                    factor *= SLOW_TTFB_RATIO * median_ttfb / candidate.ttfb_seconds
                if candidate.ejected(now):
                    factor = MIN_FACTOR
                candidate.weight = max(MIN_FACTOR, factor)

    def _build_tiers(self, groups: list[list[Candidate]], now: float) -> None:
        by_provider: dict[str, dict[int, list[Candidate]]] = {}
        for candidate in (c for group in groups for c in group):
            if candidate.permitted(now):
                by_distance = by_provider.setdefault(candidate.endpoint.provider, {})
                by_distance.setdefault(self._distance(candidate), []).append(candidate)
        self.tiers = {
            provider: [Tier(by_distance[distance]) for distance in sorted(by_distance)]
            for provider, by_distance in by_provider.items()
        }
        self.nearby = {
            provider: Tier(by_distance.get(0, []) + by_distance.get(1, []) or by_distance[2])
            for provider, by_distance in by_provider.items()
        }

    def _distance(self, candidate: Candidate) -> int:
        if candidate.endpoint.failure_domain == self._domain:
            return 0
        return 1 if candidate.endpoint.region == self._region else 2
