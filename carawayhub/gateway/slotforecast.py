"""Forecasts how many slots new requests will lack, so that returned requests leave them.

Handles demand that swings within seconds around what the groups of a service can give. A request
that was refused before is answered late in any case; a slot that it takes while more new requests
arrive than slots become free makes one of them late or refused. The forecast follows from the
arrivals and ends of the last seconds at this entry and from their trend; it knows of no periods.
"""

from carawayhub.clock import Clock

BUCKET_SECONDS = 0.5
"""Time over which events are counted together."""

BUCKETS = 10
"""Complete buckets from which a rate and its trend are computed: 5 s, in which an entry with three
requests a second has enough of them."""

AHEAD_SECONDS = 1.0
"""Time that is forecast: about half of the time for which a request holds its slot."""


class Trend:
    """Rate of events and its change."""

    __slots__ = ("_counts", "_number")

    def __init__(self) -> None:
        self._counts = [0] * (BUCKETS + 1)
        self._number = 0

    def add(self, now: float) -> None:
        """Count an event."""
        self._advance(now)
        self._counts[self._number % len(self._counts)] += 1

    def line(self, now: float) -> tuple[float, float]:
        """Return the events per second at this time and their change per second.

        The change is reduced by its own statistical error: that of a few events is mostly chance.
        """
        self._advance(now)
        size = len(self._counts)
        counts = [self._counts[(self._number + 1 + at) % size] for at in range(BUCKETS)]
        total = sum(counts)
        if not total:
            return 0.0, 0.0
        span = BUCKETS * BUCKET_SECONDS
        middle = (BUCKETS - 1) / 2.0
        offset = sum(count * (at - middle) for at, count in enumerate(counts))
        spread = span * span / 12.0
        slope = total / span * (BUCKET_SECONDS * offset / total) / spread
        error = total / span / (spread * total) ** 0.5
        slope *= max(0.0, 1.0 - (error / slope) ** 2) if slope else 0.0
        return max(0.0, total / span + slope * span / 2.0), slope

    def _advance(self, now: float) -> None:
        number = int(now / BUCKET_SECONDS)
        size = len(self._counts)
        for each in range(max(self._number + 1, number - size + 1), number + 1):
            self._counts[each % size] = 0
        self._number = max(self._number, number)


class SlotForecast:
    """Arrivals and ends of the requests for one service at this entry.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_arrivals", "_clock", "_ends")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._arrivals = Trend()
        self._ends = Trend()

    def record_arrival(self) -> None:
        """Record a request that was not refused before."""
        self._arrivals.add(self._clock.monotonic())

    def record_end(self) -> None:
        """Record that a request ended and freed its slot."""
        self._ends.add(self._clock.monotonic())

    def shortage(self) -> float:
        """Return the slots that new requests are expected to lack at this entry, 0 for none."""
        now = self._clock.monotonic()
        arrivals, change = self._arrivals.line(now)
        ends, _ = self._ends.line(now)
        expected = max(0.0, arrivals + change * AHEAD_SECONDS / 2.0)
        return max(0.0, expected - ends) * AHEAD_SECONDS
