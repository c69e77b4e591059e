"""The endpoints that may serve one target, arranged for a quick weighted choice."""

import random
from bisect import bisect
from collections.abc import Mapping, Sequence
from itertools import accumulate
from statistics import median

from carawayhub.routing.candidate import MIN_FACTOR, Candidate
from carawayhub.routing.prefixes import home_key, rendezvous_rank

REFRESH_SECONDS = 0.2
MAX_HOMES = 1024
MAX_SPEED = 2.0
SLOW_PACE = 2.0


class Tier:
    """Usable endpoints of one provider that are equally near, with their weights.

    Attributes:
        members: The endpoints.
        mean: Estimated load for each unit of weighted capacity, over all members.
        fullness: The same of the load that is known.
    """

    __slots__ = ("_cumulative", "_homes", "fullness", "mean", "members")

    def __init__(self, members: list[Candidate]) -> None:
        self.members = members
        room = [candidate.capacity * candidate.weight for candidate in members]
        self._cumulative = list(accumulate(room))
        load = sum(candidate.load.value for candidate in members)
        known = sum(candidate.load.known for candidate in members)
        self.mean = load / self._cumulative[-1]
        self.fullness = known / self._cumulative[-1]
        self._homes: dict[int, Candidate] = {}

    def draw(self, rng: random.Random) -> Candidate:
        """Return a member at random, in proportion to its weighted capacity."""
        point = rng.random() * self._cumulative[-1]
        return self.members[min(bisect(self._cumulative, point), len(self.members) - 1)]

    def holders(self, blocks: Sequence[int]) -> list[tuple[int, Candidate]]:
        """Return the members that hold the first of some prefix blocks, and how many each holds."""
        first = blocks[0]
        return [(c.blocks.leading(blocks), c) for c in self.members if first in c.blocks]

    def home(self, blocks: Sequence[int]) -> Candidate:
        """Return the member that all entries take as the home of a prefix."""
        key = home_key(blocks)
        found = self._homes.get(key)
        if found is None:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            found = max(self.members, key=lambda c: rendezvous_rank(c.name, key))
            self._homes[key] = found
        return found


class Pool:
    """The endpoints that may serve one target for one set of organisations.

    Attributes:
        tiers: For each provider with a usable endpoint its tiers, the nearest first.
        nearby: For each such provider its endpoints in the nearest region, as one tier.
    """

    __slots__ = (
        "_domain",
        "_groups",
        "_heard",
        "_known",
        "_refreshed_at",
        "_region",
        "nearby",
        "tiers",
    )

    def __init__(
        self,
        groups: Sequence[Sequence[str]],
        known: Mapping[str, Candidate],
        failure_domain: str,
        region: str,
    ) -> None:
        """Make a pool.

        Args:
            groups: Its endpoints by lock-step group; a plain service has a group for each.
            known: The endpoints that were heard; looked at again after ``invalidate``.
            failure_domain: Of this entry.
            region: Of this entry.
        """
        self._groups = groups
        self._known = known
        self._domain = failure_domain
        self._region = region
        self._heard: list[list[Candidate]] | None = None
        self._refreshed_at: float | None = None
        self.tiers: Mapping[str, list[Tier]] = {}
        self.nearby: Mapping[str, Tier] = {}

    @property
    def broken(self) -> bool:
        """Whether a lock-step group among them is known not to step."""
        return any(candidate.group_failed for group in self._heard or () for candidate in group)

    def invalidate(self) -> None:
        """Have the next refresh work everything out again."""
        self._refreshed_at = None
        self._heard = None

    def refresh(self, now: float, wall: float) -> None:
        """Work out weights and tiers where they are older than ``REFRESH_SECONDS``.

        Loads change with each request and are read when a choice is made; only weights, tiers
        and means are kept that long.
        """
        if self._refreshed_at is not None and now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        if self._heard is None:
            known = self._known
            groups = ([known[name] for name in group if name in known] for group in self._groups)
            self._heard = [group for group in groups if group]
        self._weigh(self._heard, now, wall)
        self._arrange(self._heard, now)

    def _weigh(self, groups: list[list[Candidate]], now: float, wall: float) -> None:
        """Set each weight from ramp, failures, and the speed of the whole lock-step group.

        Guards against a straggler: all ranks of a group wait for its slowest, so the group's other
        endpoints are no faster than that one even where their own reports say so. A group's speed
        is that of its slowest endpoint, against the median of the groups.
        """
        steps = [max(c.step_seconds for c in group) for group in groups]
        usual_step = median([step for step in steps if step > 0.0] or [0.0])
        paces = [c.pace for group in groups for c in group if c.pace > 0.0]
        usual_pace = median(paces or [0.0])
        for group, step in zip(groups, steps, strict=True):
            speed = min(MAX_SPEED, usual_step / step) if step > 0.0 else 1.0
            if any(candidate.stalled(now) for candidate in group):
                speed = MIN_FACTOR
            for candidate in group:
                factor = speed * candidate.ramp(now, wall)
                if step <= 0.0 and candidate.pace > SLOW_PACE * usual_pace:
                    factor *= SLOW_PACE * usual_pace / candidate.pace
                if candidate.ejected(now):
                    factor = MIN_FACTOR
                candidate.weight = max(MIN_FACTOR, factor)

    def _arrange(self, groups: list[list[Candidate]], now: float) -> None:
        sorted_out: dict[str, dict[int, list[Candidate]]] = {}
        for candidate in (c for group in groups for c in group):
            if candidate.permitted(now):
                by_distance = sorted_out.setdefault(candidate.endpoint.provider, {})
                by_distance.setdefault(self._distance(candidate), []).append(candidate)
        self.tiers = {
            provider: [Tier(by_distance[distance]) for distance in sorted(by_distance)]
            for provider, by_distance in sorted_out.items()
        }
        self.nearby = {
            provider: Tier(by_distance.get(0, []) + by_distance.get(1, []) or by_distance[2])
            for provider, by_distance in sorted_out.items()
        }

    def _distance(self, candidate: Candidate) -> int:
        if candidate.endpoint.failure_domain == self._domain:
            return 0
        return 1 if candidate.endpoint.region == self._region else 2
