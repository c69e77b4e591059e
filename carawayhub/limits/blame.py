"""Counts the ends of endpoints that speak against a request.

An end speaks against a request only if no other request at that endpoint explains it as well.
Requests that differ may share the cause, a part of their prompts. A request is therefore compared
by its traits: its whole content and the parts of its prompt. Parts that were together at each end
cannot be told apart; only requests with all of them are rejected, so that a sound request with some
of them is not.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Set

from carawayhub.limits.endrate import POISON_THRESHOLD
from carawayhub.limits.evidence import SURVIVAL_EVENTS, End
from carawayhub.limits.fingerprint import FINGERPRINT_BYTES, RequestTraits

MIN_SUSPECT_ENDS = POISON_THRESHOLD - 1
"""Ends from which a trait is compared with others: one more may make it the cause."""

SEPARATE_END_SECONDS = 0.2
"""Minimum time between two ends that both count against a part. Endpoints that fail together, such
as those of a failure domain, run many requests with the same popular parts."""

_NO_RIVALS: frozenset[bytes] = frozenset()


def is_part(trait: bytes) -> bool:
    """Return whether a trait is a part of prompts and not a whole request."""
    return len(trait) != FINGERPRINT_BYTES


class Suspects:
    """The traits with several ends, compared with each other.

    Args:
        ends: The ends of each trait, by the key of the endpoint's lifetime.
        causes: Traits that were identified as a cause before.
    """

    __slots__ = ("_all", "_causes", "_ends", "_rivals")

    def __init__(
        self, ends: Mapping[bytes, Mapping[int, End]], causes: Set[bytes] = frozenset()
    ) -> None:
        self._causes = causes
        self._all = {end: found.at for each in ends.values() for end, found in each.items()}
        self._ends = {trait: each for trait, each in ends.items() if len(each) >= MIN_SUSPECT_ENDS}
        at_end: defaultdict[int, list[bytes]] = defaultdict(list)
        for trait, each in self._ends.items():
            for end in each:
                at_end[end].append(trait)
        self._rivals = {
            (trait, end): found
            for end, traits in at_end.items()
            for trait in traits
            if (found := frozenset(rival for rival in traits if self._explains(rival, trait)))
        }

    def __contains__(self, trait: bytes) -> bool:
        return trait in self._ends

    def __iter__(self) -> Iterator[bytes]:
        return iter(self._ends)

    def __len__(self) -> int:
        return len(self._ends)

    def counted_ends(self, trait: bytes, traits: RequestTraits) -> int:
        """Return the ends that count against one trait of a request.

        Args:
            trait: The trait.
            traits: All traits of the request: what it holds itself is no other explanation.
        """
        own = {trait, *traits.all}
        counted = [
            each
            for end, each in self._ends.get(trait, {}).items()
            if self._rivals.get((trait, end), _NO_RIVALS) <= own
        ]
        if not is_part(trait):
            return len(counted)
        return _separate([each.at for each in _alike(counted)])

    def other_ends(self, trait: bytes, since: float) -> int:
        """Return the ends at which a trait was not, which had another cause."""
        own = self._ends.get(trait, {})
        return _separate([at for end, at in self._all.items() if end not in own and at >= since])

    def _explains(self, rival: bytes, trait: bytes) -> bool:
        """Return whether an end at which both were is explained by the rival as well."""
        if rival == trait:
            return False
        if is_part(rival) and not is_part(trait):
            return False
        if is_part(trait) and (rival in self._causes or not is_part(rival)):
            return len(self._ends[rival]) >= POISON_THRESHOLD
        return len(self._ends[rival]) >= len(self._ends[trait])


def _alike(ends: list[End]) -> list[End]:
    """Return the ends that one cause may have had.

    An answer that went on past the point of another end shows that the trait was not the cause of
    both.
    """
    least = min((each.events for each in ends), default=0)
    return [each for each in ends if each.events < least + SURVIVAL_EVENTS]


def _separate(times: list[float]) -> int:
    """Return how many times are left if those that follow another one closely are skipped."""
    count, last = 0, float("-inf")
    for at in sorted(times):
        if at - last >= SEPARATE_END_SECONDS:
            count, last = count + 1, at
    return count
