"""Failure domains whose endpoints get no more requests since operators evacuate them."""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.ports import DomainEvacuated, Source
from carawayhub.gateway.revision import Revision

HOLD_SECONDS = 60.0
"""Time for which an evacuation is held that a store back from an older copy does not list.

The copy may have lost the request. Whoever wrote it, a program or a person, has this time to write
it again; the store tells nobody that an evacuation of which it knows nothing is withdrawn."""


@dataclass(slots=True)
class _Evacuation:
    """One evacuated failure domain.

    Attributes:
        revision: Revision at which the evacuation was requested.
        held_until: Time at which it ends unless it is requested anew.
    """

    revision: Revision
    held_until: float = math.inf


class Evacuations:
    """The evacuated failure domains.

    Args:
        clock: Source of time; it must count suspensions of the VM.
    """

    __slots__ = ("_by_domain", "_clock", "_next_expiry")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._by_domain: dict[str, _Evacuation] = {}
        self._next_expiry = math.inf

    def __contains__(self, domain: str) -> bool:
        return domain in self._by_domain

    def revisions(self) -> Mapping[str, Revision]:
        """Return the evacuated failure domains with the revisions of the requests."""
        return {domain: each.revision for domain, each in self._by_domain.items()}

    def begin(self, change: DomainEvacuated, source: Source, age: float) -> None:
        """Evacuate a failure domain.

        Args:
            change: The request.
            source: Where it was read.
            age: Seconds since the view was last proved to be the newest.
        """
        known = self._by_domain.get(change.domain)
        if known is not None and known.revision == change.revision:
            return
        self._by_domain[change.domain] = _Evacuation(change.revision)
        self._update_expiry()
        logger.bind(
            domain=change.domain,
            revision=change.revision.number,
            era=change.revision.era,
            source=source.value,
            age=_rounded(age),
            again=known is not None,
        ).info("failure domain is evacuated")

    def end(self, domain: str, source: Source, age: float) -> bool:
        """End an evacuation; return whether there was one.

        Args:
            domain: The failure domain.
            source: Where the withdrawal was read.
            age: Seconds since the view was last proved to be the newest.
        """
        known = self._by_domain.pop(domain, None)
        if known is None:
            return False
        self._update_expiry()
        logger.bind(
            domain=domain,
            revision=known.revision.number,
            era=known.revision.era,
            source=source.value,
            age=_rounded(age),
        ).info("evacuation of a failure domain ended")
        return True

    def missing(self, listed: frozenset[str]) -> list[str]:
        """Return the evacuated failure domains that a complete listing shows to be in use again.

        Args:
            listed: Evacuated failure domains in the listing.
        """
        return [
            domain
            for domain, each in self._by_domain.items()
            if domain not in listed and math.isinf(each.held_until)
        ]

    def enter_era(self) -> None:
        """Hold all evacuations: the store returned from a copy that may lack them."""
        held_until = self._clock.monotonic() + HOLD_SECONDS
        for each in self._by_domain.values():
            each.held_until = min(each.held_until, held_until)
        self._update_expiry()
        if self._by_domain:
            logger.bind(domains=sorted(self._by_domain), seconds=HOLD_SECONDS).warning(
                "the store may have lost evacuations; they stay in force until they are written"
                " again or the time is over"
            )

    def expire(self) -> list[str]:
        """End the evacuations that were held and not requested anew; return their domains."""
        now = self._clock.monotonic()
        if now < self._next_expiry:
            return []
        expired = [domain for domain, each in self._by_domain.items() if each.held_until <= now]
        for domain in expired:
            known = self._by_domain.pop(domain)
            logger.bind(
                domain=domain, revision=known.revision.number, era=known.revision.era
            ).warning("evacuation ended: it was not requested again since the store returned")
        self._update_expiry()
        return expired

    def _update_expiry(self) -> None:
        self._next_expiry = min(
            (each.held_until for each in self._by_domain.values()), default=math.inf
        )


def _rounded(seconds: float) -> float | None:
    return None if math.isinf(seconds) else round(seconds, 3)
