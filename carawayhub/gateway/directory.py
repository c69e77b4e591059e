"""Selection of the entries announced to callers."""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.entrychoice import (
    MAX_ADDRESSES,
    AnswerPlan,
    EntryOption,
    SharedParts,
    plan_answers,
)
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.hello import Phase
from carawayhub.gateway.regions import AllowedRegions

ANSWER_TTL_SECONDS = 1.0
"""Time for which callers are asked to cache an answer. Some cache it for three times as long. A
stopping entry must keep serving until then, and a caller of a crashed entry may lose that time."""


PLAN_SECONDS = 0.1
"""Time for which answers follow one plan: the interval of gossip. Planning takes a millisecond with
780 entries, a draw a tenth of that."""

MAX_LOGGED_DOMAIN = 64
"""Characters of a failure domain in a log line, as callers may state any text."""

REPORT_INTERVAL_SECONDS = 1.0
"""Minimum time between two log lines on answers."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DirectoryQuery:
    """What a caller states when it asks for addresses; empty where it does not.

    Attributes:
        host: Host name of the caller's requests.
        region: Region of the caller.
        failure_domain: Failure domain of the caller.
    """

    host: str = ""
    region: str = ""
    failure_domain: str = ""


ANY_CALLER = DirectoryQuery()


class EntryDirectory:
    """Provides the addresses to which callers may connect.

    Args:
        gossip: Provides the other entries.
        own: ``ip:port`` of this entry for callers.
        rng: Selects the entries for an answer that can't list all of them.
        allowed: Allowed regions of hosts, and regions of failure domains.
        clock: Source of time; None to ignore failure domains, capacities and loads.
    """

    __slots__ = (
        "_allowed",
        "_clock",
        "_counts",
        "_domains",
        "_gossip",
        "_own",
        "_planned_until",
        "_plans",
        "_report_at",
        "_reported",
        "_rng",
        "_shared_parts",
    )

    def __init__(
        self,
        gossip: Gossip,
        own: str,
        rng: random.Random,
        allowed: AllowedRegions,
        clock: Clock | None = None,
    ) -> None:
        self._allowed = allowed
        self._gossip = gossip
        self._own = own
        self._rng = rng
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._reported: dict[str, str] = {}
        self._report_at = float("-inf")
        self._shared_parts = SharedParts()
        self._plans: dict[tuple[str, frozenset[str]], AnswerPlan] = {}
        self._domains: frozenset[str] = frozenset()
        self._planned_until = float("-inf")

    def counts(self) -> Mapping[str, int]:
        """Return the answers by the failure domains that they list; see ``_record``."""
        return dict(self._counts)

    def addresses(self, query: DirectoryQuery = ANY_CALLER) -> list[str]:
        """Return the addresses of entries that accept callers.

        Without a preference for failure domains, these are all, or a uniform sample if there are
        many; otherwise see ``entrychoice.py``. For a host with allowed regions these are entries
        there or in the caller's region, if any. If no entry can reach the store, the entries out of
        touch with it are returned. They still serve requests that need no key, and return an
        accurate retry time for others.
        """
        if self._clock is not None:
            return self._chosen(query, self._clock)
        found = [each.callers for each in self._options(self._wanted_regions(query))]
        if len(found) > MAX_ADDRESSES:
            return self._rng.sample(found, MAX_ADDRESSES)
        return found

    def _wanted_regions(self, query: DirectoryQuery) -> frozenset[str]:
        """Return the regions whose entries suit a query, empty for all regions."""
        allowed = self._allowed.of_host(query.host)
        # Callers may state any text; each set of regions has a plan of its own.
        return (
            allowed | {query.region}
            if allowed and self._allowed.is_region(query.region)
            else allowed
        )

    def _chosen(self, query: DirectoryQuery, clock: Clock) -> list[str]:
        now = clock.monotonic()
        if now >= self._planned_until:
            self._planned_until = now + PLAN_SECONDS
            self._plans = {}
        # Callers may state any text; failure domains without an entry are one case.
        domain = query.failure_domain if query.failure_domain in self._domains else ""
        regions = self._wanted_regions(query)
        plan = self._plans.get((domain, regions))
        if plan is None:
            plan = self._plan(query.failure_domain, regions, now)
        self._record(query.failure_domain, plan, now)
        return plan.draw(self._rng)

    def _plan(self, domain: str, regions: frozenset[str], now: float) -> AnswerPlan:
        options = self._options(regions)
        plan = plan_answers(options, domain, self._shared_parts.recent(domain))
        if plan.own_entries:
            self._shared_parts.record(domain, plan.shared, now)
        self._plans[domain if domain in self._domains else "", regions] = plan
        return plan

    def _options(self, regions: frozenset[str]) -> list[EntryOption]:
        """Return the entries that accept callers, those in some regions if there are any."""
        found = self._in_phase(Phase.READY) or self._in_phase(Phase.OUT_OF_TOUCH)
        self._domains = frozenset(each.failure_domain for each in found)
        if not regions:
            return found
        region_of = self._allowed.region_of
        return [each for each in found if region_of(each.failure_domain) in regions] or found

    def _in_phase(self, phase: Phase) -> list[EntryOption]:
        found = [
            EntryOption(each.callers, each.failure_domain, each.capacity, each.in_flight)
            for each in self._gossip.entries(phase)
        ]
        if self._gossip.phase is phase:
            own = self._gossip.own
            address = own.address
            found.append(
                EntryOption(self._own, address.failure_domain, address.capacity, own.in_flight())
            )
        return found

    def _record(self, domain: str, plan: AnswerPlan, now: float) -> None:
        """Count an answer, and log if it is of another kind than the last one for its domain.

        An answer lists entries of the caller's failure domain (``own``), of others as well
        (``mixed``), or there are none in that failure domain, or it is not known (``all``).
        """
        kind = "all" if not plan.own_entries else "mixed" if plan.shared > 0.0 else "own"
        self._counts[kind] += 1
        known = domain if plan.own_entries else ""
        if self._reported.get(known) == kind or now < self._report_at:
            return
        self._reported[known] = kind
        self._report_at = now + REPORT_INTERVAL_SECONDS
        logger.bind(
            domain=domain[:MAX_LOGGED_DOMAIN],
            kind=kind,
            own_entries=plan.own_entries,
            listed=sum(len(each) for each in plan.groups),
            utilisation=round(plan.utilisation, 3),
            shared=round(plan.shared, 3),
        ).info("directory answers of a failure domain change")
