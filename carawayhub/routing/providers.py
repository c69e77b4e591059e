"""Splits a model's requests between providers by weighted deficit scheduling."""

import random
from collections.abc import Collection, Mapping

TOTAL_PERCENT = 100.0


class ProviderShares:
    """Selects the provider for the next request of one model.

    Each request adds every provider's share in percent to its credit and subtracts 100 from the
    selected one. The provider with the most credit is next. Each provider's count stays within one
    request per provider of its share, which random selection reaches only after thousands of
    requests. Initial credits are random, so that many entries with few requests each do not all
    start with the largest provider.
    """

    __slots__ = ("_credit", "_shares")

    def __init__(self, shares: Mapping[str, float], rng: random.Random) -> None:
        self._shares = {name: share for name, share in shares.items() if share > 0.0}
        self._credit = {name: rng.uniform(0.0, share) for name, share in self._shares.items()}

    @property
    def shares(self) -> Mapping[str, float]:
        """Percentage of requests by provider."""
        return self._shares

    def order(self, usable: Collection[str]) -> list[str]:
        """Return the usable providers that have a share, by descending priority."""
        credit = self._credit
        shares = self._shares
        names = [name for name in credit if name in usable]
        names.sort(key=lambda name: credit[name] + shares[name], reverse=True)
        return names

    def charge(self, chosen: str, usable: Collection[str]) -> None:
        """Record a request sent to ``chosen``.

        Shares are renormalised over ``usable``. The credit of a provider without usable endpoints
        does not change. If it grew, the provider would get all requests when it is available again.
        """
        names = [name for name in self._credit if name in usable]
        total = sum(self._shares[name] for name in names)
        if chosen not in names or total <= 0.0:
            return
        for name in names:
            self._credit[name] += TOTAL_PERCENT * self._shares[name] / total
        self._credit[chosen] -= TOTAL_PERCENT
