"""Refused clients, counted and logged by reason."""

from collections import Counter
from enum import Enum

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code

LOG_INTERVAL_SECONDS = 1.0
"""Shortest time between two log lines for one reason at one port; a crowd can be refused thousands
of times a second."""

RETRY_SECONDS = 1.0
"""Time after which a client may come back whose request did not fit into memory: requests that have
stalled for so long give way."""


class Refusal(Enum):
    """Why a request was refused, or its connection closed, before it was handled."""

    HEAD_TOO_LARGE = "head_too_large"
    HEAD_LATE = "head_late"
    FRAMING_TOO_LARGE = "framing_too_large"
    MALFORMED = "malformed"
    BODY_IDLE = "body_idle"
    MEMORY = "memory"
    BODY_AFTER_ANSWER = "body_after_answer"
    PIPELINE = "pipeline"
    CONNECTIONS = "connections"
    ANSWER_UNREAD = "answer_unread"

    @property
    def code(self) -> Code:
        """The numbered result that the client is told, OK where it is told nothing."""
        return _CODES.get(self, Code.OK)

    @property
    def retry_after(self) -> float | None:
        """Seconds after which the client may come back, None where that would not help."""
        return RETRY_SECONDS if self is Refusal.MEMORY else None


_CODES = {
    Refusal.HEAD_TOO_LARGE: Code.HEAD_TOO_LARGE,
    Refusal.HEAD_LATE: Code.HEAD_LATE,
    Refusal.FRAMING_TOO_LARGE: Code.HEAD_TOO_LARGE,
    Refusal.MALFORMED: Code.REQUEST_MALFORMED,
    Refusal.BODY_IDLE: Code.BODY_LATE,
    Refusal.MEMORY: Code.REQUEST_MEMORY_FULL,
}


class RefusalCounts:
    """Counts refusals by port and reason, and logs them at a bounded rate.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_clock", "_counts", "_logged_at", "_logged_counts")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._counts: Counter[tuple[str, Refusal]] = Counter()
        self._logged_at: dict[tuple[str, Refusal], float] = {}
        self._logged_counts: Counter[tuple[str, Refusal]] = Counter()

    def record(self, port: str, reason: Refusal, client: str) -> None:
        """Count a refusal.

        Args:
            port: Name of the port that the client connected to.
            reason: The reason.
            client: IP address of the client.
        """
        key = (port, reason)
        self._counts[key] += 1
        now = self._clock.monotonic()
        if now - self._logged_at.get(key, float("-inf")) < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[key] = now
        count = self._counts[key] - self._logged_counts[key]
        self._logged_counts[key] = self._counts[key]
        logger.bind(
            port=port, reason=reason.value, client=client, count=count, total=self._counts[key]
        ).warning("clients refused")

    def lines(self) -> list[str]:
        """Return the counters in the text format of metrics."""
        name = "carawayhub_inbound_refusals_total"
        counts = sorted((port, reason.value, n) for (port, reason), n in self._counts.items())
        return [
            f"# TYPE {name} counter",
            *(f'{name}{{port="{port}",reason="{reason}"}} {n}' for port, reason, n in counts),
        ]
