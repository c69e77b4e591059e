"""Endpoints that left or are leaving, and that a store back from an older copy lists as ready.

Entries of replicas that are gone lapse again, and a replica that leaves reports that again. Until
then they must not get requests.
"""

from collections.abc import Iterable

from carawayhub.gateway.model import Endpoint, EndpointState

MAX_REMEMBERED = 512
"""Most removed endpoints that are remembered: those of some minutes in which all are replaced."""

LAPSE_HEARTBEATS = 3.0
"""Heartbeats of silence after which the store removes the entry of an endpoint."""

REMOVAL_MARGIN_SECONDS = 2.2
"""Seconds until an entry learns of such a removal, at the latest."""


class Departures:
    """Remembers endpoints that left, and holds them out of use while the store lists them again.

    A replica that is gone is silent, so the store removes its entry within three heartbeats. One
    that is listed for longer, or that registers anew, is running. A replica that was draining stays
    so until its entry is removed.

    Args:
        heartbeat: Seconds between two heartbeats of an endpoint in the store.
    """

    __slots__ = ("_draining", "_heartbeat", "_held_until", "_removed")

    def __init__(self, heartbeat: float) -> None:
        self._heartbeat = heartbeat
        self._removed: dict[str, None] = {}
        self._draining: set[str] = set()
        self._held_until = float("-inf")

    def record_removal(self, endpoint_id: str) -> None:
        """Remember that an endpoint was removed."""
        self._draining.discard(endpoint_id)
        self._removed.pop(endpoint_id, None)
        self._removed[endpoint_id] = None
        if len(self._removed) > MAX_REMEMBERED:
            del self._removed[next(iter(self._removed))]

    def record_write(self, endpoint_id: str) -> None:
        """Record that an endpoint wrote its entry, so it is running."""
        self._removed.pop(endpoint_id, None)

    def enter_era(self, now: float, listed: Iterable[Endpoint]) -> list[str]:
        """Hold endpoints that left or are leaving out of use, and return their IDs.

        Args:
            now: Current time.
            listed: Endpoints that are listed in the era that ends.
        """
        for each in listed:
            if each.state is EndpointState.DRAINING:
                self._draining.add(each.id)
            if not self.is_held_out(each.id, now):
                self._removed.pop(each.id, None)
        self._held_until = now + LAPSE_HEARTBEATS * self._heartbeat + REMOVAL_MARGIN_SECONDS
        return [*self._draining, *self._removed]

    def is_held_out(self, endpoint_id: str, now: float) -> bool:
        """Return whether an endpoint left, or is leaving, since before the store returned."""
        if endpoint_id in self._draining:
            return True
        return now < self._held_until and endpoint_id in self._removed

    def release(self, now: float) -> bool:
        """Return whether the time has come at which removed endpoints that are listed are used."""
        if not float("-inf") < self._held_until <= now:
            return False
        self._held_until = float("-inf")
        return True
