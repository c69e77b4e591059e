"""Divides a target's concurrency among priorities and, within each, among organisations."""

import math
from dataclasses import dataclass

from carawayhub.limits.fill import water_fill

INTERVAL_SECONDS = 0.1
RATE_GAIN = 0.2
HOLD_TIME_GAIN = 0.05
MARGIN_DEVIATIONS = 2.0
NEW_FLOW_FRACTION = 0.05
IDLE_RATE = 0.01


@dataclass(frozen=True, slots=True)
class Key:
    """Priority and organisation whose requests are counted together."""

    priority: int
    organisation: str


class _Flow:
    """The requests of one key.

    Attributes:
        arrivals: Requests since the last division.
        rate: Smoothed requests per second.
        running: Number of running requests.
        allotted: Requests that may run when the target is near its limit.
    """

    __slots__ = ("allotted", "arrivals", "rate", "running")

    def __init__(self, allotted: float) -> None:
        self.arrivals = 0
        self.rate = 0.0
        self.running = 0
        self.allotted = allotted


class Allotment:
    """Serves priorities in strict order and divides max-min fairly among organisations within each.

    The demand of a key is its arrival rate times the mean time for which a request is held. Load
    shedding thus starts with the lowest priority, and a surging organisation is cut back to its
    even share while another of the same priority keeps everything it demands.
    """

    __slots__ = ("_divided_at", "_flows", "_mean_hold")

    def __init__(self) -> None:
        self._flows: dict[Key, _Flow] = {}
        self._mean_hold = 0.0
        self._divided_at: float | None = None

    def record_arrival(self, key: Key, now: float, limit: float) -> None:
        """Count a request, admitted or not."""
        self._flow(key, limit).arrivals += 1
        if self._divided_at is None:
            self._divided_at = now
        elif now - self._divided_at >= INTERVAL_SECONDS:
            self._divide(limit, now - self._divided_at)
            self._divided_at = now

    def has_room(self, key: Key, limit: float, full: bool) -> bool:
        """Return whether a request of the key is within its allotment.

        Args:
            key: Priority and organisation of the request.
            limit: Requests that may run concurrently at the target.
            full: Whether that many are running; a key is then held to its own demand.
        """
        flow = self._flow(key, limit)
        allotted = min(flow.allotted, self._requested_slots(flow)) if full else flow.allotted
        return flow.running < allotted

    def record_start(self, key: Key) -> None:
        """Count a request that was admitted."""
        self._flow(key, 0.0).running += 1

    def record_end(self, key: Key, held: float) -> None:
        """Count the end of a request that was held for ``held`` seconds."""
        self._flow(key, 0.0).running -= 1
        self._mean_hold = (
            held
            if self._mean_hold <= 0.0
            else self._mean_hold + HOLD_TIME_GAIN * (held - self._mean_hold)
        )

    def _flow(self, key: Key, limit: float) -> _Flow:
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow(1.0 + NEW_FLOW_FRACTION * limit)
        return flow

    def _requested_slots(self, flow: _Flow) -> float:
        """Return the expected running requests of a flow plus a margin for random variation."""
        mean = flow.rate * self._mean_hold
        return mean + MARGIN_DEVIATIONS * math.sqrt(mean) + 1.0

    def _divide(self, limit: float, elapsed: float) -> None:
        by_priority: dict[int, dict[Key, float]] = {}
        for key, flow in list(self._flows.items()):
            flow.rate += RATE_GAIN * (flow.arrivals / elapsed - flow.rate)
            flow.arrivals = 0
            if flow.rate < IDLE_RATE and flow.running == 0:
                del self._flows[key]
                continue
            by_priority.setdefault(key.priority, {})[key] = self._requested_slots(flow)
        left = limit
        for priority in sorted(by_priority):
            parts = water_fill(left, by_priority[priority])
            left -= sum(parts.values())
            for key, part in parts.items():
                self._flows[key].allotted = part
        if left > 0.0:
            for flow in self._flows.values():
                flow.allotted += left
