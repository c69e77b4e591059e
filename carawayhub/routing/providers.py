"""Shares of a model's requests between providers, kept by a running deficit."""

import random
from collections.abc import Collection, Mapping

TOTAL_PERCENT = 100.0


class ProviderShares:
    """Decides which provider the next request of one model goes to.

    Each provider earns its share with every request and pays 100 when it is chosen; the one with
    the most credit is next. The count of each provider then never differs from its share by more
    than one request for each provider, which plain random drawing would reach only after
    thousands. The first credits are drawn at random, so that many entries with few requests each do
    not all begin with the largest provider.
    """

    __slots__ = ("_credit", "_shares")

    def __init__(self, shares: Mapping[str, float], rng: random.Random) -> None:
        self._shares = {name: share for name, share in shares.items() if share > 0.0}
        self._credit = {name: rng.uniform(0.0, share) for name, share in self._shares.items()}

    @property
    def shares(self) -> Mapping[str, float]:
        """Percent of requests by provider."""
        return self._shares

    def order(self, usable: Collection[str]) -> list[str]:
        """Return the usable providers that have a share, the next one first."""
        credit = self._credit
        shares = self._shares
        names = [name for name in credit if name in usable]
        names.sort(key=lambda name: credit[name] + shares[name], reverse=True)
        return names

    def charge(self, chosen: str, usable: Collection[str]) -> None:
        """Count a request for ``chosen``.

        Shares are renormalised over ``usable``. The credit of a provider with no usable endpoint
        stands still: if it grew, a provider that comes back would be sent everything at once.
        """
        names = [name for name in self._credit if name in usable]
        total = sum(self._shares[name] for name in names)
        if chosen not in names or total <= 0.0:
            return
        for name in names:
            self._credit[name] += TOTAL_PERCENT * self._shares[name] / total
        self._credit[chosen] -= TOTAL_PERCENT
