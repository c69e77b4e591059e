"""Backoff that the endpoints of a service request with ``Retry-After``.

Handles endpoints that turn requests away while others of their service have free slots. Such an
endpoint runs nothing and therefore appears least loaded. Until the end of the time that it stated
it gets no request of this entry, whatever the kind: first attempts, retries, resumed streams,
probes. Nothing but that time ends a backoff. A new lifetime of a replica has another endpoint id
and therefore starts without one.
"""

from collections.abc import Sequence

from carawayhub.clock import Clock
from carawayhub.gateway.model import Endpoint

MAX_BACKOFF_SECONDS = 3600.0
"""Longest backoff that is honoured. A replica that wants no requests for longer removes its
registration."""


class Backoffs:
    """Backoffs of the endpoints of one service.

    Args:
        clock: Source of time; it must count suspensions of the VM.
    """

    __slots__ = ("_accepting", "_clock", "_ends_at", "_next_end", "_selected_from")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ends_at: dict[str, float] = {}
        self._next_end = float("inf")
        self._accepting: Sequence[Endpoint] = ()
        self._selected_from: Sequence[Endpoint] | None = None

    def record(self, endpoint_id: str, seconds: float) -> None:
        """Record a requested backoff; a shorter one does not end a longer one."""
        ends_at = self._clock.monotonic() + min(seconds, MAX_BACKOFF_SECONDS)
        if seconds <= 0.0 or ends_at <= self._ends_at.get(endpoint_id, 0.0):
            return
        self._ends_at[endpoint_id] = ends_at
        self._update()

    def active_ids(self) -> list[str]:
        """Return the endpoints that want no requests now."""
        self._drop_ended()
        return list(self._ends_at)

    def active(self, endpoint_id: str) -> bool:
        """Return whether an endpoint wants no requests now."""
        self._drop_ended()
        return endpoint_id in self._ends_at

    def accepting(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Return the endpoints without a backoff; the same sequence as long as nothing changes."""
        self._drop_ended()
        if not self._ends_at:
            return endpoints
        if endpoints is not self._selected_from:
            self._selected_from = endpoints
            self._accepting = tuple(each for each in endpoints if each.id not in self._ends_at)
        return self._accepting

    def left(self, endpoints: Sequence[Endpoint]) -> float | None:
        """Return the seconds until the first backoff ends, None if some endpoint has none."""
        self._drop_ended()
        if not endpoints or any(each.id not in self._ends_at for each in endpoints):
            return None
        return min(self._ends_at[each.id] for each in endpoints) - self._clock.monotonic()

    def _drop_ended(self) -> None:
        now = self._clock.monotonic()
        if now < self._next_end:
            return
        self._ends_at = {name: at for name, at in self._ends_at.items() if at > now}
        self._update()

    def _update(self) -> None:
        self._next_end = min(self._ends_at.values(), default=float("inf"))
        self._selected_from = None
